//! Client of the platform's discovery service: the endpoint list, and a client that fetches it and watches for changes.
//!
//! Both the sidecar and the control service learn of endpoints through this crate. It implements the protocol and
//! manages connections; the callers interpret the changes.

mod client;
mod clock;
mod framing;
mod list;

pub use client::{Client, ClientCommand, Update, WatchMode};
pub use clock::Clock;
pub use list::{List, State, Target};
