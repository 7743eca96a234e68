//! Fault injection tests on real processes of the project.
//!
//! A [`script`] lists the processes and the faults of a round; it is generated from a seed ([`draw`]) or written by
//! hand. [`round`] starts the processes with a [`link`] of the rig between each two of them, runs the script, ends all
//! faults and waits for recovery. All events go into one [`history`] on one clock, which [`check`] examines
//! afterwards. The rig starts only the project's own programs, on loopback, and stops those that it started.

pub mod check;
pub mod draw;
pub mod fleet;
pub mod history;
pub mod link;
pub mod measure;
pub mod process;
pub mod round;
pub mod script;
