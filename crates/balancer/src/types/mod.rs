//! The interface of the balancer: settings, events, actions and outcomes.
//!
//! Times are `Duration`s on the caller's clock, which may have any origin.

mod action;
mod endpoint;
mod event;
mod ids;
mod limits;
mod settings;
mod validate;

pub use action::Action;
pub use endpoint::{EndpointInfo, EndpointState, EndpointStatus, Membership};
pub use event::{AttemptEnded, Event, Outcome, Request};
pub use ids::{
    AttemptNo, CellId, ClassId, EndpointId, MachineTypeId, RequestId, TenantId, TimerToken, ZoneId,
};
pub use limits::{Limits, Rules};
pub use settings::{
    Class, Costs, DedupScope, Discovery, LoadField, LoadReports, ReportDelivery, ScoreWeights, Semantics,
    Settings, Tenant, ValueBasis, WeightKind,
};
pub use validate::SettingsError;
