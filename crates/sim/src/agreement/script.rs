//! Script of a run, and its generation from a seed.

use super::{ENDPOINTS, PROXIES};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

/// The script of a run. Times are in ticks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Seed of everything the script leaves open.
    pub seed: u64,
    /// Number of members at the start.
    pub members: u64,
    /// Duration until all faults end.
    pub lasts: u64,
    /// Highest message delay; the lowest is one tick.
    pub late: u64,
    /// Faults and operator actions.
    pub faults: Vec<Fault>,
}

/// A fault or operator action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Its start.
    pub at: u64,
    /// Its duration.
    pub lasts: u64,
    /// Its kind.
    pub what: FaultKind,
}

/// Kind of a fault. Members are given by their position among the current members; 99 is the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A member is partitioned from all others.
    Cut(u64),
    /// A member's outgoing messages are lost.
    Mute(u64),
    /// A member's incoming messages are lost.
    Deaf(u64),
    /// This percentage of all messages is lost.
    Lossy(u64),
    /// A member loses power, and with it unsynced data.
    Crash(u64),
    /// A member's disk fails after this many further operations.
    DiskFull(u64, u64),
    /// A member loses power in the middle of a disk operation, after this many further ones.
    DiskCut(u64, u64),
    /// A member is paused, and continues with its old state.
    Stall(u64),
    /// A member that has granted a vote loses power at once, with a probability of one half.
    Flicker,
    /// A member is removed.
    Remove(u64),
    /// A member is added, and promoted once its folder is known.
    Add,
    /// Leadership is transferred to a member.
    Transfer(u64),
    /// An endpoint drains.
    Drain(u64),
    /// A member gets no news of discovery.
    Blind(u64),
    /// A proxy moves its session to a member.
    Move(usize, u64),
}

impl FaultKind {
    /// Name of the kind, for statistics of combinations.
    pub fn kind(&self) -> &'static str {
        match self {
            FaultKind::Cut(_) => "cut",
            FaultKind::Mute(_) => "mute",
            FaultKind::Deaf(_) => "deaf",
            FaultKind::Lossy(_) => "lossy",
            FaultKind::Crash(_) => "crash",
            FaultKind::DiskFull(..) => "disk full",
            FaultKind::DiskCut(..) => "disk cut",
            FaultKind::Stall(_) => "stall",
            FaultKind::Flicker => "flicker",
            FaultKind::Remove(_) => "remove",
            FaultKind::Add => "add",
            FaultKind::Transfer(_) => "transfer",
            FaultKind::Drain(_) => "drain",
            FaultKind::Blind(_) => "blind",
            FaultKind::Move(..) => "move",
        }
    }
}

/// Generates the script of a seed.
pub fn script(seed: u64) -> Script {
    let mut draws = Pcg32::seed_from_u64(seed ^ 0xa9ee);
    let mut below = |most: u64| u64::from(draws.next_u32()) % most.max(1);
    let members = if below(3) == 0 { 5 } else { 3 };
    let lasts = 250 + below(250);
    let late = 1 + below(4);
    let mut faults = Vec::new();
    for _ in 0..2 + below(5) {
        let place = if below(2) == 0 { 99 } else { below(members) };
        let what = match below(18) {
            0 | 1 => FaultKind::Cut(place),
            2 => FaultKind::Mute(place),
            3 => FaultKind::Deaf(place),
            4 => FaultKind::Lossy(5 + below(40)),
            5..=7 => FaultKind::Crash(place),
            8 => FaultKind::DiskFull(place, below(12)),
            9 | 10 => FaultKind::DiskCut(place, below(12)),
            11 | 12 => FaultKind::Stall(place),
            13 => FaultKind::Remove(below(members)),
            14 => FaultKind::Add,
            15 => FaultKind::Transfer(below(members)),
            _ => FaultKind::Blind(place),
        };
        faults.push(Fault { at: 20 + below(lasts - 40), lasts: 10 + below(120), what });
    }
    if below(3) == 0 {
        let at = 20 + below(lasts - 40);
        faults.push(Fault { at, lasts: 60 + below(120), what: FaultKind::Flicker });
        faults.push(Fault { at: at + 5, lasts: 40, what: FaultKind::Cut(99) });
    }
    for _ in 0..1 + below(3) {
        faults.push(Fault {
            at: 20 + below(lasts - 40),
            lasts: 0,
            what: FaultKind::Drain(below(ENDPOINTS)),
        });
    }
    for _ in 0..below(4) {
        let what = FaultKind::Move(below(PROXIES as u64) as usize, below(members));
        faults.push(Fault { at: 20 + below(lasts - 40), lasts: 0, what });
    }
    faults.sort_by_key(|fault| fault.at);
    Script { seed, members, lasts, late, faults }
}
