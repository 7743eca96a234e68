//! A replicated state machine for the control instances, on Raft.
//!
//! [`State`] is the replicated state: it applies commands and returns outcomes and effects, without I/O. [`Node`] is one
//! Raft member: it takes ticks, messages and proposals, persists entries and votes in a [`MemberStore`], and returns
//! messages to send and the commands that were applied. The consensus algorithm itself is that of the `raft` crate.
//! Neither opens sockets nor reads a clock, so the same code runs in production and in the simulator.
//!
//! [`host`] runs a node in a process: on a thread with a clock, with gRPC links to the other members and a folder on disk.
//!
//! Members trust each other: Byzantine faults are not tolerated.

pub mod command;
mod disk;
pub mod host;
mod memory;
mod message;
mod node;
mod record;
pub mod state;

pub use command::{Command, MemberChange, MemberId, Outcome, Proposal};
pub use disk::{
    DiskError, Identity, Invitation, LogBase, MemberStore, RecoveredState, SnapshotMeta, identity,
};
pub use message::{MAX_MESSAGE_BYTES, PeerMessage};
pub use node::{Applied, MemberStatus, Node, NodeError, Output, PeerProgress, Role, SnapshotFetch, Tuning};
pub use record::{Entry, HardStateRecord, Record};
pub use state::{
    Effects, MAX_MEMBERS, MAX_OUTCOMES, MAX_TEXT_BYTES, Member, Pool, RemovedMember, Rollout, State,
};
