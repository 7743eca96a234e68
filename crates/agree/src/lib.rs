//! One ordered log for several control instances.
//!
//! [`State`] is what is agreed: commands in, outcomes and effects out, no I/O. [`Node`] is a member: it takes ticks,
//! messages and proposals, keeps its promises on a [`MemberStore`], and gives messages and what was applied. Consensus itself is
//! the library `raft`'s. Neither opens a socket nor asks a clock: the same code runs in service and in a virtual world.
//!
//! [`host`] is the thin shell round a node: a thread with a clock, gRPC links to the others, the folder of a real disk.
//!
//! What it does not do: it trusts members, and a member that lies can do what it likes.

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
