//! What is put into the log, and what comes of it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A member's number. Never given twice in the life of a cluster, and never 0.
pub type MemberId = u64;

/// Longest write id that is taken, in bytes.
pub const MAX_WRITE_ID_BYTES: usize = 64;

/// A command and the id of the write that it is: a repeat with the same id is answered and not run again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// The write's id, of its client's making; empty: nobody will repeat it.
    pub id: String,
    /// What is to be done.
    pub command: Command,
}

/// What is to be done. Times are the proposer's, Unix time in milliseconds, and are only shown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// A new version of the fleet.
    Commit(Commit),
    /// A step of a roll-out.
    Rollout(RolloutStep),
    /// What discovery is believed to say of a pool.
    Listed(PoolUpdate),
    /// An endpoint drains: heard by one instance.
    Draining {
        /// The pool.
        pool: String,
        /// The endpoint.
        uid: String,
        /// When its process started, as discovery has it: a later one is another process.
        boot_ms: u64,
        /// The version of discovery's list that said so.
        rev: u64,
    },
    /// Somebody wants nothing new sent to an endpoint, whatever discovery says, or no longer wants that.
    Hold {
        /// The pool.
        pool: String,
        /// The endpoint.
        uid: String,
        /// Whether it is held.
        held: bool,
        /// Who, why and when.
        by: Attribution,
    },
    /// A member's folder has shown itself for the first time.
    Seen {
        /// The member.
        member: MemberId,
        /// The ticket of its invitation.
        ticket: String,
        /// The folder's own random number.
        folder: String,
    },
}

/// Who, why and when.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Attribution {
    /// Who.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When.
    pub at_ms: u64,
}

/// A new version of the fleet, on top of one of this serial and hash and no other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Commit {
    /// The serial that it builds on; 0: none.
    pub on: u64,
    /// That version's hash; empty for none.
    pub parent: String,
    /// The fleet, in its canonical form.
    pub text: String,
    /// Who, why and when.
    pub by: Attribution,
    /// The id of the plan that it carries out; empty for none.
    pub plan: String,
    /// Parts of the proxies that get it one after the other, in 10,000; empty: all at once.
    pub stages: Vec<u32>,
    /// Least time between two stages, in milliseconds.
    pub pause_ms: u64,
}

/// A step of the roll-out of a version. It names the stage that it follows, so that none is skipped or taken twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutStep {
    /// The version.
    pub serial: u64,
    /// The stage that it is in now, from 0.
    pub stage: usize,
    /// What happens.
    pub to: RolloutAction,
}

/// Where a roll-out goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutAction {
    /// On to the next stage, or to its end.
    Next,
    /// No further, for this reason.
    Halt(String),
    /// On again after a halt.
    Resume,
}

/// What discovery is believed to say of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolUpdate {
    /// The pool.
    pub pool: String,
    /// The version of discovery's list.
    pub rev: u64,
    /// What is not named is gone.
    pub whole: bool,
    /// It has stood long enough to be believed against an older word that had a higher version: the source may have
    /// begun to count anew.
    pub settled: bool,
    /// Endpoints by uid; none: it is gone.
    pub endpoints: BTreeMap<String, Option<Endpoint>>,
}

/// An endpoint as it is listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// All that discovery says of it, in its own words (JSON).
    pub said: String,
    /// Whether it drains.
    pub draining: bool,
    /// When its process started, Unix time in milliseconds; 0: long ago.
    pub boot_ms: u64,
}

/// A change of the members, of which there is one at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberChange {
    /// A new one, which learns and does not vote.
    Add {
        /// Its number: the next that was never given.
        member: MemberId,
        /// Its name.
        name: String,
        /// Where other members reach it.
        address: String,
        /// What its folder must show once.
        ticket: String,
    },
    /// A learner votes from now on.
    Promote {
        /// Which.
        member: MemberId,
    },
    /// A member is no more.
    Remove {
        /// Which.
        member: MemberId,
    },
}

impl MemberChange {
    /// Whom it is about.
    pub fn member(&self) -> MemberId {
        match self {
            MemberChange::Add { member, .. }
            | MemberChange::Promote { member }
            | MemberChange::Remove { member } => *member,
        }
    }
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It is done.
    Done,
    /// It is this version of the fleet now.
    Committed(u64),
    /// The plan had been applied as this version; nothing was done.
    Before(u64),
    /// The state is no longer the one that it builds on.
    Moved {
        /// The serial that it builds on.
        expected: u64,
        /// The serial that is there.
        found: u64,
        /// Who made that, and why.
        by: String,
    },
    /// Nothing was done, for this reason.
    Refused(String),
}

impl Outcome {
    /// Whether it changed anything or had done so before.
    pub fn is_done(&self) -> bool {
        matches!(self, Outcome::Done | Outcome::Committed(_) | Outcome::Before(_))
    }
}
