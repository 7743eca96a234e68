//! A round as data.

use serde::{Deserialize, Serialize};

/// A round: what is there, and what goes wrong. Times are in milliseconds from the moment at which all stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Of what the script leaves open: who is asked, and when.
    pub seed: u64,
    /// Control instances.
    pub instances: u32,
    /// Stand-in proxies, by turns of either variant; each begins at an instance of its own.
    pub proxies: u32,
    /// LinkFault long the round lasts before everything is healed.
    pub lasts: u32,
    /// FaultKind goes wrong, and what people do meanwhile.
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

/// An instance, as a script names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRef {
    /// Whoever leads then.
    Leader,
    /// This one, from 0.
    Instance(u32),
}

/// LinkFault a link is spoilt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkFault {
    /// Nothing gets through, new connections hang; what was sent comes when it is over, all at once.
    Held,
    /// The same for what the one that connects sends; answers get through.
    HeldThere,
    /// The same for what comes back.
    HeldBack,
    /// Connections end at once, new ones too.
    Refused,
    /// Connections are reset once.
    Reset,
    /// All is late by so many milliseconds, and up to as many more.
    Late(u32),
    /// So many KiB a second get through.
    Slow(u32),
    /// Held and open again so often a second.
    Flaps(u32),
}

/// FaultKind happens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// All links between an instance and the other ones.
    Cut {
        /// Which.
        who: InstanceRef,
        /// LinkFault.
        how: LinkFault,
    },
    /// The links of one instance to another, and back.
    Link {
        /// From whom.
        from: InstanceRef,
        /// To whom.
        to: InstanceRef,
        /// LinkFault.
        how: LinkFault,
    },
    /// An instance's link to discovery.
    Blind {
        /// Which.
        who: InstanceRef,
    },
    /// SIGKILL; started again when it is over, with its folder.
    Kill {
        /// Whom.
        who: InstanceRef,
    },
    /// SIGKILL, and its folder is lost: it is removed, and another member takes its place.
    Lose {
        /// Whom.
        who: InstanceRef,
    },
    /// SIGSTOP, then SIGCONT.
    Stop {
        /// Whom.
        who: InstanceRef,
    },
    /// SIGTERM; started again when it is over.
    End {
        /// Whom.
        who: InstanceRef,
    },
    /// Every instance is killed at once, and started again.
    PowerOff,
    /// An endpoint drains from now on.
    Drain,
    /// A proxy goes over to another instance.
    Move {
        /// The proxy, from 0.
        proxy: u32,
        /// To this instance.
        to: u32,
    },
    /// Somebody plans a change and applies it, twice, with `runtrackctl`.
    Apply,
    /// Somebody has leadership handed over.
    Transfer {
        /// To this instance.
        to: u32,
    },
}

impl FaultKind {
    /// The kind, for what came together with what.
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
