//! Shared code of the fleet's three programs: framed links between processes, the gossip that keeps their replicas of the
//! fleet's state equal, JSON logs and the start of a process.
//!
//! Every link works the same way, whichever programs it connects: both sides exchange digests of their state, send what
//! differs, and from then on send each change at once. A link that has carried nothing for [`IDLE_LINK_TIMEOUT`] is closed,
//! since a network partition ends no connection by itself.

mod changes;
mod config_exchange;
mod connection;
mod dials;
mod environment;
mod gossip;
mod logs;
mod process;
mod session;
mod trust;

pub use changes::{ChangeReceiver, Changes};
pub use connection::{CONNECT_TIMEOUT, PING_INTERVAL, listen, maintain_link};
pub use dials::Dials;
pub use environment::{Environment, ProcessEvent, ProcessEvents};
pub use gossip::{Gossip, MessageHandler};
pub use logs::json_logger;
pub use process::{Signals, program, run_single_threaded};
pub use session::{IDLE_LINK_TIMEOUT, Session};
pub use slog::{self, Logger};
pub use trust::START_WAIT;
