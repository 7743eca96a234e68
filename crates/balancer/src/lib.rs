//! Load-balancing decisions for service-to-service calls, without I/O.
//!
//! [`Balancer`] performs no I/O and reads no clock. The caller passes it [`Event`]s with the time of its
//! own clock and carries out the [`Action`]s that it appends:
//!
//! ```
//! use runtrack_balancer::{Action, Balancer, EndpointInfo, Event, Membership, RequestId, Settings};
//! use std::time::Duration;
//!
//! let mut balancer = Balancer::new(Settings::default(), 7, Duration::ZERO)?;
//! let mut actions = Vec::new();
//! let list = vec![EndpointInfo::ready(1), EndpointInfo::ready(2), EndpointInfo::ready(3)];
//! balancer.handle(Duration::ZERO, Event::Membership(Membership::Full(list)), &mut actions);
//!
//! let left = Duration::from_millis(800);
//! balancer.handle(Duration::from_millis(5), Event::request(RequestId(42), left), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: RequestId(42), .. })));
//! # Ok::<(), runtrack_balancer::SettingsError>(())
//! ```

#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;

mod balance;
pub mod fleet;
mod ring;
mod stats;
mod timers;
mod types;
pub mod wire;

pub use balance::Balancer;
pub use types::*;
