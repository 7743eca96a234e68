//! Real processes of the project with faults between them.
//!
//! A [`script`] says what is there and what goes wrong when; it is drawn from a seed ([`draw`]) or written. [`round`]
//! starts the processes, with every link between two of them through a [`link`] of the rig's, plays the script, heals
//! everything and waits for the whole to come back. All that happened goes into one [`history`], on one clock, and
//! [`check`] judges that afterwards. It starts nothing but the project's own programs, on loopback, and ends what it
//! started.

pub mod check;
pub mod draw;
pub mod fleet;
pub mod history;
pub mod link;
pub mod measure;
pub mod process;
pub mod round;
pub mod script;
