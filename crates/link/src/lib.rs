//! What the fleet's three programs share: framed links between processes, the hub that keeps their copies of the
//! fleet's state alike, JSON logs and the start of a process.
//!
//! Every link works alike, whichever programs it joins: each side says what it has, gets what differs, and from then on
//! hears of each change at once. A link that has been silent for [`SILENT_MOST`] is given up, since behind a cut
//! nothing ever ends by itself.

mod hub;
mod logs;
mod process;
mod session;

pub use hub::{Hub, Outside};
pub use logs::json_logger;
pub use process::{Signals, program, run_single_threaded};
pub use session::{CONNECT_MOST, PING, SILENT_MOST, Session, dial_for_ever, listen};
pub use slog::{self, Logger};
