//! Planned changes of a fleet: the semantic difference of two fleets ([`diff`]), its risks ([`assess_risks`]), the plan
//! file that holds both ([`Plan`]), and the application of a plan to a store as one commit ([`apply`]).
//!
//! The crate reads no clock and performs no I/O; [`apply`] commits through the store passed to it.

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
