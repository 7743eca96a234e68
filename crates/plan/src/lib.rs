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

pub use apply::{Applied, ApplyError, VersionStore, apply, fleet_at};
pub use diff::{Edit, Step, StepCounts, StepError, apply_steps, count_steps, diff};
pub use file::{FORMAT, Plan, PlanError, PlanRequest};
pub use objects::{Address, Fields};
pub use risk::{Load, PoolLoad, Risk, RiskContext, assess_risks};
