//! Failure detection between the members of the control plane: which of them a process has proven contact with, and which
//! a majority suspects (an unreliable failure detector: Chandra and Toueg, 1996). No I/O and no clock.
//!
//! `runtrack-controller` sends the probes and passes replies in ([`ContactTable::probe`], [`ContactTable::on_reply`]); what
//! comes out gates its answers to operators and its changes of members. Suspicion by itself changes nothing: a member is
//! replaced by `runtrack-register`'s membership, which stays safe where a suspicion was wrong.

mod contact;

pub use contact::{ContactTable, ContactTimes};
