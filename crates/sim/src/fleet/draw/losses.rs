//! Losses of core machines, so that no more are lost at once than the tolerance bears.

/// A machine that was lost counts as lost for so long after it is back.
const SETTLE: u32 = 4_000;

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
