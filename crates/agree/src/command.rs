//! Commands that are replicated through the log, and their outcomes.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A member's id: never 0, and never reused within a cluster.
pub type MemberId = u64;

/// Maximum length of a write id, in bytes.
pub const MAX_WRITE_ID_BYTES: usize = 64;

/// A command with the id of its write. A repeat with the same id gets the first one's outcome and is not applied again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Id chosen by the client; empty if the write will not be repeated.
    pub id: String,
    /// The command to apply.
    pub command: Command,
}

/// A command. Times are by the proposer's clock, Unix time in milliseconds, and are for display only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Commits a new version of the fleet.
    Commit(Commit),
    /// Advances, halts or resumes a roll-out.
    Rollout(RolloutStep),
    /// Updates a pool's endpoints from discovery.
    Listed(PoolUpdate),
    /// Marks an endpoint as draining, as one control instance heard it from discovery.
    Draining {
        /// Pool name.
        pool: String,
        /// Endpoint uid.
        uid: String,
        /// Start time of the endpoint's process according to discovery; a process that started later is not affected.
        boot_ms: u64,
        /// Revision of discovery's list that reported the drain.
        rev: u64,
    },
    /// Sets or removes an operator's hold: a held endpoint gets no new requests, whatever discovery says.
    Hold {
        /// Pool name.
        pool: String,
        /// Endpoint uid.
        uid: String,
        /// Whether the endpoint is held from now on.
        held: bool,
        /// Author, reason and time.
        by: Attribution,
    },
    /// Binds a member to its storage folder, at the member's first contact.
    Seen {
        /// The member.
        member: MemberId,
        /// Ticket from the member's invitation.
        ticket: String,
        /// Random id of the folder.
        folder: String,
    },
}

/// Author, reason and time of a change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Attribution {
    /// Author of the change.
    pub author: String,
    /// Reason given for the change.
    pub reason: String,
    /// Unix time in milliseconds.
    pub at_ms: u64,
}

/// A new version of the fleet. It is refused unless the current version has the serial `on` and the hash `parent`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Commit {
    /// Serial of the version that it builds on; 0 for the first version.
    pub on: u64,
    /// Hash of that version; empty for the first version.
    pub parent: String,
    /// The fleet, in its canonical form.
    pub text: String,
    /// Author, reason and time.
    pub by: Attribution,
    /// Id of the plan that the commit applies; empty for none.
    pub plan: String,
    /// Roll-out stages: the share of proxies that gets the version in each, in parts of 10,000; empty: all at once.
    pub stages: Vec<u32>,
    /// Minimum time between two stages, in milliseconds.
    pub pause_ms: u64,
}

/// A step of a version's roll-out. It names the current stage, so that a delayed or repeated step skips no stage and
/// applies to none twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutStep {
    /// Serial of the version.
    pub serial: u64,
    /// Index of the current stage, from 0.
    pub stage: usize,
    /// The action to take.
    pub to: RolloutAction,
}

/// Action on a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutAction {
    /// Starts the next stage, or ends the roll-out after the last one.
    Next,
    /// Halts the roll-out, for this reason.
    Halt(String),
    /// Resumes a halted roll-out.
    Resume,
}

/// An update of a pool's endpoints, from discovery's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolUpdate {
    /// Pool name.
    pub pool: String,
    /// Revision of discovery's list.
    pub rev: u64,
    /// The update is a full list: endpoints that it does not contain are removed.
    pub whole: bool,
    /// The list has been stable long enough to override an earlier drain of a higher revision: the source may have
    /// restarted its revisions.
    pub settled: bool,
    /// Endpoints by uid; `None` removes the endpoint.
    pub endpoints: BTreeMap<String, Option<Endpoint>>,
}

/// An endpoint as discovery lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Discovery's entry for the endpoint, as unmodified JSON.
    pub said: String,
    /// Whether the endpoint is draining.
    pub draining: bool,
    /// Start of its process, Unix time in milliseconds; 0 counts as long ago.
    pub boot_ms: u64,
}

/// A membership change. Only one may be in progress at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberChange {
    /// Adds a member as a learner, without a vote.
    Add {
        /// Id of the new member: the next unused one.
        member: MemberId,
        /// Name of the new member.
        name: String,
        /// Address at which other members reach it.
        address: String,
        /// Ticket that the member's folder must present once.
        ticket: String,
    },
    /// Makes a learner a voter.
    Promote {
        /// The learner to promote.
        member: MemberId,
    },
    /// Removes a member.
    Remove {
        /// The member to remove.
        member: MemberId,
    },
}

impl MemberChange {
    /// The member that is added, promoted or removed.
    pub fn member(&self) -> MemberId {
        match self {
            MemberChange::Add { member, .. }
            | MemberChange::Promote { member }
            | MemberChange::Remove { member } => *member,
        }
    }
}

/// Outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The command was applied.
    Done,
    /// The fleet was committed as the version of this serial.
    Committed(u64),
    /// The plan had already been applied as the version of this serial; nothing was changed.
    Before(u64),
    /// The current version is not the one that the commit builds on.
    Moved {
        /// The serial that the commit builds on.
        expected: u64,
        /// The current serial.
        found: u64,
        /// Author and reason of the current version.
        by: String,
    },
    /// The command was refused for this reason, and nothing was changed.
    Refused(String),
}

impl Outcome {
    /// Whether the command took effect, now or at an earlier attempt.
    pub fn is_done(&self) -> bool {
        matches!(self, Outcome::Done | Outcome::Committed(_) | Outcome::Before(_))
    }
}
