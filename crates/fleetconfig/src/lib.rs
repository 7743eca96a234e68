//! The operator's configuration ([`FleetConfig`]) and the settings file of a process ([`Node`]).
//!
//! Both are parsed with bounds on their size and then checked: every finding names its field, and all findings are
//! reported together. Only [`Node::from_env`] does I/O.

mod amend;
mod check;
mod error;
mod fleet;
mod node;
mod read;
mod routes;
mod wire;

pub use amend::Amendment;
pub use error::ConfigError;
pub use fleet::{Engine, FleetConfig, Limits, Route, RouteKind, Service, Share};
pub use node::{Bounds, Node, SettingsError, Tolerance};
pub use routes::{RouteTable, Routed};

/// Maximum size of a configuration in bytes.
pub const MAX_CONFIG: usize = 8 << 20;

/// A problem in a configuration or settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The field, such as `routes[3].timeoutMs`.
    pub place: String,
    /// What is wrong with it.
    pub problem: String,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.place, self.problem)
    }
}
