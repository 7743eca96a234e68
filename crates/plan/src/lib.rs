//! Plan before apply: the difference of two fleets by meaning ([`diff`]), what it risks ([`risks`]), the plan file
//! that holds both ([`Plan`]), and its application to a store as one commit ([`apply`]).
//!
//! Nothing here reads a clock or does I/O of its own; [`apply`] commits through the store that it is given.

mod apply;
mod diff;
mod file;
mod objects;
mod risk;
mod shadow;

pub use apply::{Applied, ApplyError, Versions, apply, current};
pub use diff::{Counts, Edit, Step, StepError, counts, diff, replay};
pub use file::{FORMAT, Plan, PlanError, Request};
pub use objects::{Address, Object};
pub use risk::{Load, PoolLoad, Risk, Seen, risks};
