//! The script of a round of the fleet as data.

use serde::{Deserialize, Serialize};

/// A round: its processes and faults. Times are in milliseconds from the end of the startup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Seed of the random choices that the script leaves open, such as the member that a client calls.
    pub seed: u64,
    /// Number of controllers.
    pub members: usize,
    /// Number of agents, each with a client at its feed.
    pub agents: usize,
    /// Duration of the round until all faults are ended.
    pub lasts: u32,
    /// Maximum pause between two changes of one operator.
    pub pause: u32,
    /// Time from which operators change nothing; `None`: they change the configuration all the time.
    pub quiet_from: Option<u32>,
    /// The faults.
    pub faults: Vec<Fault>,
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start time.
    pub at: u32,
    /// Duration.
    pub lasts: u32,
    /// The kind of fault.
    pub what: FaultKind,
}

/// A cut of links.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cut {
    /// Nothing is delivered in either direction.
    Both,
    /// Data from the member that is cut off is not delivered.
    Outbound,
    /// Data to the member that is cut off is not delivered.
    Inbound,
    /// Existing and new connections are reset.
    Refused,
}

/// A kind of fault. Members are numbered by slot; a replacement takes over the slot of the member that it replaces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// SIGKILL; restarted with its disk after the duration.
    Kill {
        /// Slot of the member.
        member: usize,
    },
    /// SIGTERM; restarted with its disk after the duration.
    Terminate {
        /// Slot of the member.
        member: usize,
    },
    /// SIGKILL of all members at once; restarted with their disks after the duration.
    PowerOff,
    /// SIGSTOP, and SIGCONT after the duration.
    Stop {
        /// Slot of the member.
        member: usize,
    },
    /// Cuts all links between a member and the others.
    CutMember {
        /// Slot of the member.
        member: usize,
        /// The kind of cut.
        cut: Cut,
    },
    /// Cuts the links between two members.
    CutPair {
        /// Slot of one member.
        member: usize,
        /// Slot of the other member.
        other: usize,
    },
    /// Cuts all links of an agent.
    CutAgent {
        /// Number of the agent.
        agent: usize,
    },
    /// SIGKILL of an agent; restarted after the duration.
    KillAgent {
        /// Number of the agent.
        agent: usize,
    },
    /// SIGSTOP of an agent, and SIGCONT after the duration.
    StopAgent {
        /// Number of the agent.
        agent: usize,
    },
    /// SIGKILL and loss of the disk; restarted with an empty disk after the duration.
    Wipe {
        /// Slot of the member.
        member: usize,
    },
    /// Copies the disk; after `age` SIGKILL, and the copy is restored.
    Restore {
        /// Slot of the member.
        member: usize,
        /// Age of the copy at the kill, in milliseconds.
        age: u32,
    },
    /// Permanent SIGKILL; a new machine with an empty disk starts after the duration.
    Replace {
        /// Slot of the member.
        member: usize,
    },
}

impl FaultKind {
    /// Name of the kind, for counting pairs of kinds.
    pub fn kind(&self) -> &'static str {
        match self {
            FaultKind::Kill { .. } => "kill",
            FaultKind::Terminate { .. } => "terminate",
            FaultKind::PowerOff => "power off",
            FaultKind::Stop { .. } => "stop",
            FaultKind::CutMember { cut: Cut::Both, .. } => "cut member",
            FaultKind::CutMember { cut: Cut::Refused, .. } => "cut refused",
            FaultKind::CutMember { .. } => "cut one way",
            FaultKind::CutPair { .. } => "cut pair",
            FaultKind::CutAgent { .. } => "cut agent",
            FaultKind::KillAgent { .. } => "kill agent",
            FaultKind::StopAgent { .. } => "stop agent",
            FaultKind::Wipe { .. } => "wipe",
            FaultKind::Restore { .. } => "restore",
            FaultKind::Replace { .. } => "replace",
        }
    }
}
