//! The platform's discovery: its list, and a client that asks for it and follows its changes.
//!
//! Both the sidecar and the control service learn of endpoints through this crate. It knows the words of the
//! protocol and keeps connections; what a change means is its callers' concern.

mod client;
mod clock;
mod framing;
mod list;

pub use client::{Client, ClientCommand, Update, WatchMode};
pub use clock::Clock;
pub use list::{List, State, Target};
