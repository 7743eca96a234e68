//! What happens in a round of the fleet.

use serde::{Deserialize, Serialize};

/// A configuration as a round knows it: its version, and the name that its one sender gave it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// Its version; 0: there is none yet.
    pub number: u64,
    /// Its name; `?` where a body is none that was sent.
    pub name: String,
}

impl Version {
    /// That of a fleet without a configuration.
    pub fn none() -> Version {
        Version { number: 0, name: String::new() }
    }
}

/// What an endpoint tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes requests.
    Ready,
    /// It is about to leave.
    Draining,
    /// It has left.
    Gone,
}

/// What somebody did or saw in a round of the fleet. An event without an end is a call that got no answer in time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "did")]
pub enum EventKind {
    /// The rig harmed members or agents, for this time.
    Trouble {
        /// The kind.
        kind: String,
        /// Places of members that were harmed.
        members: Vec<usize>,
        /// Agents that were harmed.
        agents: Vec<usize>,
        /// The member that had no link to any other, in either direction.
        isolated: Option<usize>,
    },
    /// Somebody asked a member to replace the configuration.
    Replace {
        /// The member's place.
        member: usize,
        /// Version that it builds on.
        base: u64,
        /// What is to come into force.
        version: Version,
        /// Whether the body may be taken at all.
        valid: bool,
        /// Whether the caller gave up at once, so that the answer was lost.
        lost: bool,
        /// The answer; none: there was none.
        status: Option<u16>,
    },
    /// Somebody read the configuration.
    Read {
        /// The member's place.
        member: usize,
        /// The answer; none: there was none.
        status: Option<u16>,
        /// What was read.
        version: Option<Version>,
    },
    /// An endpoint called a member.
    Call {
        /// The member's place.
        member: usize,
        /// The endpoint's id.
        endpoint: String,
        /// What it told.
        state: State,
        /// The answer; none: there was none.
        status: Option<u16>,
    },
    /// An agent told a configuration at its feed.
    Told {
        /// The agent.
        agent: usize,
        /// Its life: one more at each start.
        life: u64,
        /// What it told.
        version: Version,
    },
    /// An agent told at its feed that an endpoint drains or is gone.
    Heard {
        /// The agent.
        agent: usize,
        /// Its life: one more at each start.
        life: u64,
        /// The endpoint's id.
        endpoint: String,
        /// Its state.
        state: State,
    },
    /// The last lines that the members logged, where something did not come back.
    Logged {
        /// The lines.
        text: String,
    },
    /// Something came back after all was healed.
    Back {
        /// What.
        what: String,
        /// Whether it did within its time.
        well: bool,
    },
}

/// An event of a round of the fleet.
pub type Event = crate::history::Event<EventKind>;
/// The history of a round of the fleet.
pub type History = crate::history::History<EventKind>;
