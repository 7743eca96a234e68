//! Events of a round of the fleet.

use serde::{Deserialize, Serialize};

/// A configuration: its version number and the unique name that its sender gave it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// Version number; 0: there is no configuration yet.
    pub number: u64,
    /// Name; `?` if the body differs from what was sent.
    pub name: String,
}

impl Version {
    /// The version of a fleet without a configuration.
    pub fn none() -> Version {
        Version { number: 0, name: String::new() }
    }
}

/// State that an endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepts requests.
    Ready,
    /// About to leave.
    Draining,
    /// Has left.
    Gone,
}

/// An operation or observation in a round of the fleet. An event without an end is a call without a response in time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "did")]
pub enum EventKind {
    /// Members or agents were under a fault during this event.
    Trouble {
        /// The kind of fault.
        kind: String,
        /// Slots of the affected members.
        members: Vec<usize>,
        /// The affected agents.
        agents: Vec<usize>,
        /// The member without a link to any other in either direction.
        isolated: Option<usize>,
    },
    /// An operator requested to replace the configuration.
    Replace {
        /// Slot of the called member.
        member: usize,
        /// Base version of the change.
        base: u64,
        /// The requested version.
        version: Version,
        /// Whether the body is valid.
        valid: bool,
        /// Whether the client closed the connection early, so that the response was lost.
        lost: bool,
        /// Status of the response; `None`: there was none.
        status: Option<u16>,
    },
    /// An operator read the configuration.
    Read {
        /// Slot of the called member.
        member: usize,
        /// Status of the response; `None`: there was none.
        status: Option<u16>,
        /// The version that was read.
        version: Option<Version>,
    },
    /// An endpoint called a member.
    Call {
        /// Slot of the called member.
        member: usize,
        /// Id of the endpoint.
        endpoint: String,
        /// State that the endpoint reported.
        state: State,
        /// Status of the response; `None`: there was none.
        status: Option<u16>,
    },
    /// An agent reported a configuration in its feed.
    Told {
        /// The agent.
        agent: usize,
        /// Incarnation of the agent: increases at each start.
        life: u64,
        /// The reported version.
        version: Version,
    },
    /// An agent reported in its feed that an endpoint is draining or gone.
    Heard {
        /// The agent.
        agent: usize,
        /// Incarnation of the agent: increases at each start.
        life: u64,
        /// Id of the endpoint.
        endpoint: String,
        /// The reported state.
        state: State,
    },
    /// The last lines of the members' logs, recorded if recovery failed.
    Logged {
        /// The lines.
        text: String,
    },
    /// Outcome of waiting for recovery after all faults have ended.
    Back {
        /// The condition that was waited for.
        what: String,
        /// Whether it held within the time limit.
        well: bool,
    },
}

/// An event of a round of the fleet.
pub type Event = crate::history::Event<EventKind>;
/// The history of a round of the fleet.
pub type History = crate::history::History<EventKind>;
