//! Configuration model of the control service: pools of endpoints, request classes, listeners with their routes, and
//! the parameters of the four load balancing rules. A [`Fleet`] is read from TOML with [`Fleet::from_toml`], validated
//! as a whole, and has one canonical form with a content hash. Nothing here does I/O or reads a clock.
//!
//! ```
//! let fleet = runtrack_model::Fleet::from_toml(r#"
//!     [[pool]]
//!     name = "exchange"
//!     [[pool.endpoint]]
//!     name = "x1"
//!     address = "127.0.0.1:9001"
//! "#)?;
//! assert_eq!(fleet.pools.len(), 1);
//! # Ok::<(), runtrack_model::Diagnostics>(())
//! ```

mod check;
mod fleet;
mod problem;
mod read;
mod toml;

pub use check::{RISK_KINDS, ValidationError};
pub use fleet::{
    Class, Endpoint, EndpointState, Fleet, Listener, Pool, Route, Rules, Semantics, Severity, Source,
    WeightedPool, Zones,
};
pub use problem::{Diagnostic, Diagnostics};
