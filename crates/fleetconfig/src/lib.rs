//! What the fleet is told: the operator's configuration ([`FleetConfig`]) and a process's settings file ([`Node`]).
//!
//! Both are read within bounds and checked whole: every finding has the place it belongs to, and all of them are
//! reported together. Nothing here does I/O but [`Node::from_env`].

mod check;
mod fleet;
mod node;
mod read;
mod routes;
mod wire;

pub use fleet::{Engine, FleetConfig, Limits, Route, RouteKind, Service, Share};
pub use node::{Bounds, Node, SettingsError, Tolerance};
pub use read::ConfigError;
pub use routes::{RouteTable, Routed};

/// The largest configuration that is read.
pub const MAX_CONFIG: usize = 8 << 20;

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Where, such as `routes[3].timeoutMs`.
    pub place: String,
    /// What.
    pub problem: String,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.place, self.problem)
    }
}
