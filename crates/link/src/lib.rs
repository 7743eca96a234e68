//! What the fleet's three programs share: framed links between processes, the gossip that keeps their copies of the
//! fleet's state alike, JSON logs and the start of a process.
//!
//! Every link works alike, whichever programs it joins: each side says what it has, gets what differs, and from then on
//! hears of each change at once. A link that has been silent for [`IDLE_LINK_TIMEOUT`] is given up, since behind a cut
//! nothing ever ends by itself.

mod connection;
mod dials;
mod environment;
mod gossip;
mod logs;
mod process;
mod session;
mod trust;

pub use connection::{CONNECT_TIMEOUT, PING_INTERVAL, dial_for_ever, listen};
pub use dials::Dials;
pub use environment::{Environment, ProcessEvent, ProcessEvents};
pub use gossip::{Gossip, MessageHandler};
pub use logs::json_logger;
pub use process::{Signals, program, run_single_threaded};
pub use session::{IDLE_LINK_TIMEOUT, Session};
pub use slog::{self, Logger};
pub use trust::START_WAIT;
