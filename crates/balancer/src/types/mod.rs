//! The module's whole interface: settings, events, actions and outcomes.
//!
//! Times are `Duration`s on the caller's clock, which may start anywhere.

mod action;
mod endpoint;
mod event;
mod ids;
mod limits;
mod settings;
mod validate;

pub use action::Action;
pub use endpoint::{EndpointInfo, EndpointState, Membership, Standing};
pub use event::{AttemptEnded, Event, Outcome, Request};
pub use ids::{AttemptNo, CellId, ClassId, EndpointId, KindId, RequestId, TenantId, TimerToken, ZoneId};
pub use limits::{Limits, Rules};
pub use settings::{
    Class, Costs, CountedBy, Discovery, Goal, Group, LoadField, LoadReports, ReportVia, Semantics,
    Settings, Tenant, WeightKind,
};
pub use validate::SettingsError;
