//! A round of the fleet as data.

use serde::{Deserialize, Serialize};

/// A round: what is there, and what goes wrong. Times are in milliseconds from the moment at which all stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Of what the script leaves open: who is called, and when.
    pub seed: u64,
    /// Controllers at the start.
    pub members: usize,
    /// Agents, each with a listener at its feed.
    pub agents: usize,
    /// LinkFault long the round lasts before everything is healed.
    pub lasts: u32,
    /// Pause between two replaces of one operator, at most.
    pub pause: u32,
    /// From then on no operator changes anything; none: all the time.
    pub quiet_from: Option<u32>,
    /// FaultKind goes wrong.
    pub faults: Vec<Fault>,
}

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When.
    pub at: u32,
    /// For how long.
    pub lasts: u32,
    /// FaultKind.
    pub what: FaultKind,
}

/// LinkFault links are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cut {
    /// Nothing gets through in either direction.
    Both,
    /// Nothing that the one that is cut off sends.
    Outbound,
    /// Nothing that is sent to the one that is cut off.
    Inbound,
    /// Connections are reset, new ones too.
    Refused,
}

/// FaultKind happens. Members are numbered by their places: a machine that is added takes the place of the one that is gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// SIGKILL; started again with its disk when it is over.
    Kill {
        /// Which member.
        member: usize,
    },
    /// SIGTERM; started again with its disk when it is over.
    Terminate {
        /// Which member.
        member: usize,
    },
    /// SIGKILL to all members at once; started again with their disks.
    PowerOff,
    /// SIGSTOP, then SIGCONT.
    Stop {
        /// Which member.
        member: usize,
    },
    /// All links between a member and the other members.
    CutMember {
        /// Which member.
        member: usize,
        /// LinkFault.
        cut: Cut,
    },
    /// The links between two members.
    CutPair {
        /// One.
        member: usize,
        /// The other.
        other: usize,
    },
    /// All links of an agent.
    CutAgent {
        /// Which agent.
        agent: usize,
    },
    /// SIGKILL of an agent; started again when it is over.
    KillAgent {
        /// Which agent.
        agent: usize,
    },
    /// SIGSTOP of an agent, then SIGCONT.
    StopAgent {
        /// Which agent.
        agent: usize,
    },
    /// SIGKILL, and the disk is lost; started again with an empty one when it is over.
    Wipe {
        /// Which member.
        member: usize,
    },
    /// A copy of the disk is taken; after so many milliseconds SIGKILL, and the copy is put back.
    Restore {
        /// Which member.
        member: usize,
        /// Age of the copy at the kill.
        age: u32,
    },
    /// SIGKILL for good; a new machine with an empty disk starts when it is over.
    Replace {
        /// Which member.
        member: usize,
    },
}

impl FaultKind {
    /// The kind, for what came together with what.
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
