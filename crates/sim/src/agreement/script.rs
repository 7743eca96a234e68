//! A run as data, and the run that a seed draws.

use super::{ENDPOINTS, PROXIES};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

/// A run as data. Times are in ticks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Of every draw that the script leaves open.
    pub seed: u64,
    /// Members at the start.
    pub members: u64,
    /// How long before everything is healed.
    pub lasts: u64,
    /// A message takes from one to so many ticks.
    pub late: u64,
    /// What goes wrong, and what people do.
    pub faults: Vec<Fault>,
}

/// Something that happens at a tick, and may last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When.
    pub at: u64,
    /// For how long.
    pub lasts: u64,
    /// What.
    pub what: FaultKind,
}

/// What happens. Members are named by their place among those there are then; 99: whoever leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// It is cut off from all others.
    Cut(u64),
    /// What it sends is lost.
    Mute(u64),
    /// What is sent to it is lost.
    Deaf(u64),
    /// Of a hundred messages so many are lost, everywhere.
    Lossy(u64),
    /// Its power goes, with what was not synced.
    Crash(u64),
    /// An operation of its disk fails, so many from now.
    DiskFull(u64, u64),
    /// Its disk is cut off in the middle of an operation, so many from now, and its power goes.
    DiskCut(u64, u64),
    /// It stops, and goes on with what it believed.
    Stall(u64),
    /// Whoever has given a vote loses its power at once, every other time.
    Flicker,
    /// A member is removed.
    Remove(u64),
    /// A member is added, and promoted once it has caught up.
    Add,
    /// Leadership is handed over.
    Transfer(u64),
    /// An endpoint drains.
    Drain(u64),
    /// It hears nothing of discovery.
    Blind(u64),
    /// A proxy goes over to a member.
    Move(usize, u64),
}

impl FaultKind {
    /// The kind, for what came together with what.
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

/// The run of a seed.
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
