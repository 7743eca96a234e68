//! Losses of core machines, so that no more are lost at once than the tolerance bears.

use crate::fleet::script::{Fault, Script};

/// A machine that was lost counts as lost for so long after it is back.
pub const SETTLE: u32 = 4_000;

/// Losses of core machines, so that never more are lost at once than may be.
pub struct Losses {
    tolerance: u32,
    lost: Vec<(u32, u32, u32)>,
}

impl Losses {
    /// Nothing is lost yet.
    pub fn new(tolerance: u32) -> Self {
        Losses { tolerance, lost: Vec::new() }
    }

    /// Takes a loss in, if it may be.
    pub fn take(&mut self, core: u32, at: u32, until: u32) -> bool {
        let until = until + SETTLE;
        let overlaps = self.lost.iter().filter(|(_, from, to)| *from < until && at < *to);
        let mut others: Vec<u32> =
            overlaps.map(|(other, _, _)| *other).filter(|other| *other != core).collect();
        others.sort_unstable();
        others.dedup();
        let may = (others.len() as u32) < self.tolerance;
        if may {
            self.lost.push((core, at, until));
        }
        may
    }

    /// Nothing is lost in that time, and this is all of them.
    pub fn take_all(&mut self, cores: u32, at: u32, until: u32) -> bool {
        let until = until + SETTLE;
        let free = self.lost.iter().all(|(_, from, to)| *from >= until || at >= *to);
        if free {
            self.lost.extend((0..=cores + 8).map(|core| (core, at, until)));
        }
        free
    }
}

/// Whether a core machine loses what was on its disk.
fn loses_disk(fault: &Fault) -> bool {
    matches!(fault, Fault::Wipe { .. } | Fault::Replace { .. } | Fault::OlderDisk { .. })
}

/// Until when a lost disk is made up for: trouble at any machine may hold its repair up.
fn repaired(faults: &[Fault], lost: &Fault) -> u32 {
    let (at, lasts) = lost.span();
    let mut until = at + lasts + SETTLE;
    let holds_up = |fault: &&Fault| !matches!(fault, Fault::Spare { .. } | Fault::Seeds { .. });
    let mut spans: Vec<(u32, u32)> = faults.iter().filter(holds_up).map(Fault::span).collect();
    spans.sort_unstable();
    for (from, lasts) in spans.into_iter().filter(|(from, lasts)| from + lasts > at) {
        if from < until {
            until = until.max(from + lasts + SETTLE);
        }
    }
    until
}

/// Takes out losses of disks that come before as many others as may be lost have been made up for.
pub fn leave_repairs_time(script: &mut Script) {
    let mut faults = script.faults.clone();
    faults.sort_by_key(|fault| fault.span().0);
    let mut open: Vec<u32> = Vec::new();
    let mut early = Vec::new();
    for lost in faults.iter().filter(|fault| loses_disk(fault)) {
        let (at, _) = lost.span();
        open.retain(|until| *until > at);
        if open.len() < script.tolerance as usize {
            open.push(repaired(&faults, lost));
        } else {
            early.push(lost.clone());
        }
    }
    script.faults.retain(|fault| !early.contains(fault));
}
