//! A compare-and-set register in two rounds at a majority (CASPaxos: Rystsov, "CASPaxos: Replicated State Machines without
//! logs", 2018), with its own membership in the value. No I/O and no clock: an [`Acceptor`] takes requests and states what
//! must be on disk before its reply may be sent; a [`Round`] takes replies and states what to send next.
//!
//! `runtrack-controller` hosts it: sockets, disk and timers are there. Messages are `runtrack-message`'s.
//!
//! Membership changes by joint sets (Ongaro's thesis, 4.3, on a register): a value names the sets of members at each
//! of which a majority must accept. A change first writes a value with the old set and the new one, then one with the
//! new set alone. A round whose promises show a value with sets that it has not asked asks these too, so a proposer
//! with an old view finds the way to the newest value. The second half is written only on top of a first half that is
//! known to be chosen: a round that finds joint sets which may not be chosen makes sure of them and decides nothing
//! ([`Outcome::MembershipCommitted`]).
//!
//! A round that wants to answer without writing still makes sure that what it saw is chosen, by accepting it again
//! unless a majority already has it under one ballot. Without that a rejected request could come into force later.
//!
//! A [`QuorumRead`] finds what is chosen without any ballot: members only report what they have accepted, and nothing is
//! written. Where their answers leave it open, the reader takes a [`Round`].

mod acceptor;
mod change;
mod digest;
mod membership;
mod quorum_read;
mod record;
mod recovery;
mod replicas;
mod request;
mod round;
mod sets;
mod watermark;

pub use acceptor::{Accepted, Acceptor, Durable, is_superseded};
pub use change::{Decision, finish_membership, initial_value, replace_members};
pub use digest::{amendment_digest, legacy_request_digest, request_digest};
pub use membership::{
    MembershipPlan, MembershipTimes, MembershipView, PresentMember, WaitReason, plan_membership,
};
pub use quorum_read::{Inspection, QuorumRead, ReadOutcome, ReadProgress, inspect};
pub use record::{PromiseRecord, ValueRecord};
pub use recovery::{Recovery, recover};
pub use replicas::{JOIN_LAG, ReplicaEvent, ReplicaTable};
pub use request::{ConfigAnswer, ConfigChange, ConfigRequest, MAX_APPLIED_REQUESTS, Step};
pub use round::{Outcome, Progress, Round, Send};
pub use sets::{has_majority, is_joint, majority_of, members_of, sets_of};
pub use watermark::{DiskCheck, DiskVerdict, DurableWatermarks, LATE_ANSWERS_TIMEOUT};
