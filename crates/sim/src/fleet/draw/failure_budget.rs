//! Limits how many core machines fail at the same time to what the cluster tolerates.

use crate::fleet::script::{Fault, Script};

/// A failed machine counts as failed for this long after it is back, in milliseconds.
pub const REPAIR_MS: u32 = 4_000;

/// The times during which core machines are reserved for failures.
pub struct FailureBudget {
    tolerance: u32,
    /// Core machine, start and end of each reservation, in milliseconds.
    reserved: Vec<(u32, u32, u32)>,
}

impl FailureBudget {
    /// Creates a budget without reservations that allows `tolerance` machines to fail at once.
    pub fn new(tolerance: u32) -> Self {
        FailureBudget { tolerance, reserved: Vec::new() }
    }

    /// Reserves a machine for a failure; returns `false` if too many others fail at that time.
    pub fn reserve(&mut self, core: u32, at: u32, until: u32) -> bool {
        let until = until + REPAIR_MS;
        let overlaps = self.reserved.iter().filter(|(_, from, to)| *from < until && at < *to);
        let mut others: Vec<u32> =
            overlaps.map(|(other, _, _)| *other).filter(|other| *other != core).collect();
        others.sort_unstable();
        others.dedup();
        let is_allowed = (others.len() as u32) < self.tolerance;
        if is_allowed {
            self.reserved.push((core, at, until));
        }
        is_allowed
    }

    /// Reserves all machines for a failure; returns `false` if any machine fails at that time.
    pub fn reserve_all(&mut self, cores: u32, at: u32, until: u32) -> bool {
        let until = until + REPAIR_MS;
        let free = self.reserved.iter().all(|(_, from, to)| *from >= until || at >= *to);
        if free {
            self.reserved.extend((0..=cores + 8).map(|core| (core, at, until)));
        }
        free
    }
}

/// Whether a fault makes a core machine lose the content of its disk.
fn loses_disk(fault: &Fault) -> bool {
    matches!(fault, Fault::Wipe { .. } | Fault::Replace { .. } | Fault::OlderDisk { .. })
}

/// Time by which a lost disk is repaired. Faults of any machine may delay the repair.
fn repair_end(faults: &[Fault], lost: &Fault) -> u32 {
    let (at, lasts) = lost.span();
    let mut until = at + lasts + REPAIR_MS;
    let holds_up = |fault: &&Fault| !matches!(fault, Fault::Spare { .. } | Fault::Seeds { .. });
    let mut spans: Vec<(u32, u32)> = faults.iter().filter(holds_up).map(Fault::span).collect();
    spans.sort_unstable();
    for (from, lasts) in spans.into_iter().filter(|(from, lasts)| from + lasts > at) {
        if from < until {
            until = until.max(from + lasts + REPAIR_MS);
        }
    }
    until
}

/// Removes disk losses that exceed the tolerance because earlier ones have not been repaired by then.
pub fn remove_early_disk_losses(script: &mut Script) {
    let mut faults = script.faults.clone();
    faults.sort_by_key(|fault| fault.span().0);
    let mut pending_repairs: Vec<u32> = Vec::new();
    let mut too_early = Vec::new();
    for lost in faults.iter().filter(|fault| loses_disk(fault)) {
        let (at, _) = lost.span();
        pending_repairs.retain(|until| *until > at);
        if pending_repairs.len() < script.tolerance as usize {
            pending_repairs.push(repair_end(&faults, lost));
        } else {
            too_early.push(lost.clone());
        }
    }
    script.faults.retain(|fault| !too_early.contains(fault));
}
