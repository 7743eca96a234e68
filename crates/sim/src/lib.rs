//! Deterministic simulation of the sidecar's real network code. A run uses one thread, one seed and a virtual clock that
//! advances only when no task is ready, so the same script always gives the same run. [`oracle`] checks the behaviour of
//! the code under test against the recorded facts alone.

pub mod agreement;
pub mod campaign;
mod client;
mod discovery;
pub mod draw;
mod endpoint;
pub mod facts;
pub mod fleet;
mod gate;
pub mod http;
pub mod mutants;
pub mod net;
pub mod oracle;
pub mod run;
pub mod script;
pub mod shrink;
pub mod timeline;
mod world;
