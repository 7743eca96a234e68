//! The script of a round as data.

use serde::{Deserialize, Serialize};

/// A round: its processes and faults. Times are in milliseconds from the end of the startup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Seed of the random choices that the script leaves open, such as the instance that a client calls.
    pub seed: u64,
    /// Number of control instances.
    pub instances: u32,
    /// Number of simulated proxies, alternating between both xDS variants and spread over the instances.
    pub proxies: u32,
    /// Duration of the round until all faults are ended.
    pub lasts: u32,
    /// Faults, and operations of clients during the round.
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

/// The instance that a fault applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRef {
    /// The leader at that time.
    Leader,
    /// The instance with this number, from 0.
    Instance(u32),
}

/// A disturbance of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkFault {
    /// Nothing is delivered and new connections hang; pending data is delivered when the fault ends.
    Held,
    /// Like `Held`, for data from the disturbed instance only.
    HeldThere,
    /// Like `Held`, for data to the disturbed instance only.
    HeldBack,
    /// Existing and new connections are reset.
    Refused,
    /// Existing connections are reset once.
    Reset,
    /// Data is delayed by so many milliseconds plus a jitter of up to as many.
    Late(u32),
    /// Throughput is limited to so many KiB per second.
    Slow(u32),
    /// The link is blocked and unblocked so many times per second.
    Flaps(u32),
}

/// A kind of fault, or an operation of a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Disturbs all links between an instance and the others.
    Cut {
        /// The instance.
        who: InstanceRef,
        /// The disturbance.
        how: LinkFault,
    },
    /// Disturbs the links between two instances.
    Link {
        /// One instance.
        from: InstanceRef,
        /// The other instance.
        to: InstanceRef,
        /// The disturbance.
        how: LinkFault,
    },
    /// Blocks the link from an instance to discovery.
    Blind {
        /// The instance.
        who: InstanceRef,
    },
    /// SIGKILL; restarted with its folder after the duration.
    Kill {
        /// The instance.
        who: InstanceRef,
    },
    /// SIGKILL and loss of the data folder: the member is removed and replaced by a new one.
    Lose {
        /// The instance.
        who: InstanceRef,
    },
    /// SIGSTOP, and SIGCONT after the duration.
    Stop {
        /// The instance.
        who: InstanceRef,
    },
    /// SIGTERM; restarted after the duration.
    End {
        /// The instance.
        who: InstanceRef,
    },
    /// SIGKILL of all instances at once; restarted after the duration.
    PowerOff,
    /// An endpoint starts draining.
    Drain,
    /// A proxy moves to another instance.
    Move {
        /// The proxy, from 0.
        proxy: u32,
        /// The instance.
        to: u32,
    },
    /// An operator plans a change and applies it twice with `runtrackctl`.
    Apply,
    /// An operator transfers leadership.
    Transfer {
        /// The instance that is to lead.
        to: u32,
    },
}

impl FaultKind {
    /// Name of the kind, for counting pairs of kinds.
    pub fn kind(&self) -> &'static str {
        match self {
            FaultKind::Cut { how, .. } => match how {
                LinkFault::Held => "cut held",
                LinkFault::HeldThere | LinkFault::HeldBack => "cut one way",
                LinkFault::Refused => "cut refused",
                LinkFault::Reset => "cut reset",
                LinkFault::Late(_) => "cut late",
                LinkFault::Slow(_) => "cut slow",
                LinkFault::Flaps(_) => "cut flaps",
            },
            FaultKind::Link { .. } => "link",
            FaultKind::Blind { .. } => "blind",
            FaultKind::Kill { .. } => "kill",
            FaultKind::Lose { .. } => "lose",
            FaultKind::Stop { .. } => "stop",
            FaultKind::End { .. } => "end",
            FaultKind::PowerOff => "power off",
            FaultKind::Drain => "drain",
            FaultKind::Move { .. } => "move",
            FaultKind::Apply => "apply",
            FaultKind::Transfer { .. } => "transfer",
        }
    }
}
