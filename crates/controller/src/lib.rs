//! A control member: the operator's API and the endpoints' on one side, links to agents and other members on the
//! other, the register and its disk within.
//!
//! `api` serves HTTP; `components` dispatches messages of the links. The register: `member` answers rounds (CASPaxos: Rystsov,
//! 2018), `proposer` starts them, `membership` and `copies` change the members one at a time, `disk` stores the durable state
//! and `disk_guard` checks it at the start. Besides: `contact` with a majority, `endpoints` with `confirmations`, `leaves` and
//! `endpoint_store`, `backlog` and `placements` for the proxies. The guarantees are in `docs/design/control-state.md`.

pub mod api;
mod backlog;
mod components;
pub mod confirmation_tracker;
mod confirmations;
mod contact;
mod copies;
pub mod disk;
mod disk_guard;
mod endpoint_store;
mod endpoints;
mod error;
mod incarnation;
mod leave_sync;
mod leaves;
mod member;
mod membership;
pub mod pending;
mod placements;
mod proposer;
pub mod request_queue;
mod run;

pub use error::ControllerError;
pub use incarnation::new_incarnation;
pub use run::{run, run_in};
