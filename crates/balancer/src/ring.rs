//! A zone's endpoints on a ring, and sets of endpoints that can be sampled. In both, the cost of a single change
//! does not grow with the fleet, except for sums over a ring's buckets.

use crate::types::EndpointId;

/// Endpoints in a bucket beyond which it is split; balances sums over all buckets against moves within one.
const MAX_BUCKET: usize = 128;
/// Positions by which the ends of an arc may move to be updated incrementally; otherwise the ring is rescanned.
const MAX_TRACKED_SHIFT: usize = 64;

/// Position of a slot that is not in a set.
const NOT_IN_SET: u32 = u32::MAX;

/// Four unordered sets of slots; a slot is the index of an endpoint.
#[derive(Default)]
pub(crate) struct SlotSets {
    sets: [Vec<usize>; 4],
    /// Position of each slot in each set.
    positions: Vec<[u32; 4]>,
}

impl SlotSets {
    /// Adds a slot that is in no set.
    pub(crate) fn push_slot(&mut self) {
        self.positions.push([NOT_IN_SET; 4]);
    }

    /// Removes a slot; the last slot takes its index.
    pub(crate) fn swap_remove_slot(&mut self, slot: usize) {
        for set in 0..4 {
            self.set(set, slot, false);
        }
        self.positions.swap_remove(slot);
        if let Some(positions) = self.positions.get(slot) {
            for (set, &position) in
                positions.iter().enumerate().filter(|&(_, &position)| position != NOT_IN_SET)
            {
                self.sets[set][position as usize] = slot;
            }
        }
    }

    /// Adds a slot to a set, or removes it.
    pub(crate) fn set(&mut self, set: usize, slot: usize, inside: bool) {
        let position = self.positions[slot][set];
        if inside && position == NOT_IN_SET {
            self.positions[slot][set] = self.sets[set].len() as u32;
            self.sets[set].push(slot);
        } else if !inside && position != NOT_IN_SET {
            self.sets[set].swap_remove(position as usize);
            self.positions[slot][set] = NOT_IN_SET;
            if let Some(&moved) = self.sets[set].get(position as usize) {
                self.positions[moved][set] = position;
            }
        }
    }

    /// Number of slots in a set.
    pub(crate) fn len(&self, set: usize) -> usize {
        self.sets[set].len()
    }

    /// Swaps positions `a` and `b` of a set; returns the slot that is then at `a`.
    pub(crate) fn swap(&mut self, set: usize, a: usize, b: usize) -> usize {
        self.sets[set].swap(a, b);
        let (at_a, at_b) = (self.sets[set][a], self.sets[set][b]);
        (self.positions[at_a][set], self.positions[at_b][set]) = (a as u32, b as u32);
        at_a
    }
}

/// Endpoints ordered by id, each warm or cold, and an arc of them.
#[derive(Default)]
pub(crate) struct Ring {
    buckets: Vec<Vec<(EndpointId, bool)>>,
    /// Number of warm endpoints in each bucket.
    warm: Vec<usize>,
    size: usize,
    arc: LastArc,
}

/// The arc as last reported, by its first and last endpoint.
#[derive(Clone, Copy, Default)]
enum LastArc {
    #[default]
    None,
    All,
    Between(EndpointId, EndpointId),
}

impl Ring {
    /// Number of endpoints on the ring.
    pub(crate) fn len(&self) -> usize {
        self.size
    }

    fn bucket(&self, id: EndpointId) -> usize {
        self.buckets.partition_point(|bucket| bucket[0].0 <= id).saturating_sub(1)
    }

    fn position(&self, id: EndpointId) -> (usize, Result<usize, usize>) {
        let b = self.bucket(id);
        let position =
            self.buckets.get(b).map_or(Err(0), |bucket| bucket.binary_search_by_key(&id, |e| e.0));
        (b, position)
    }

    /// Adds an endpoint, or updates whether it is warm.
    pub(crate) fn insert(&mut self, id: EndpointId, warm: bool) {
        if self.buckets.is_empty() {
            self.buckets.push(Vec::new());
            self.warm.push(0);
        }
        let (b, position) = match self.buckets[0].is_empty() {
            true => (0, Err(0)),
            false => self.position(id),
        };
        match position {
            Ok(at) => {
                let old = std::mem::replace(&mut self.buckets[b][at].1, warm);
                self.warm[b] = self.warm[b] + usize::from(warm) - usize::from(old);
            }
            Err(at) => {
                self.buckets[b].insert(at, (id, warm));
                self.warm[b] += usize::from(warm);
                self.size += 1;
                if self.buckets[b].len() > MAX_BUCKET {
                    let upper = self.buckets[b].split_off(MAX_BUCKET / 2);
                    let warm = upper.iter().filter(|e| e.1).count();
                    self.warm[b] -= warm;
                    self.warm.insert(b + 1, warm);
                    self.buckets.insert(b + 1, upper);
                }
            }
        }
    }

    /// Removes an endpoint if it is on the ring.
    pub(crate) fn remove(&mut self, id: EndpointId) {
        let (b, Ok(at)) = self.position(id) else { return };
        let (_, warm) = self.buckets[b].remove(at);
        self.warm[b] -= usize::from(warm);
        self.size -= 1;
        if self.buckets[b].is_empty() {
            self.buckets.remove(b);
            self.warm.remove(b);
        }
    }

    /// Whether an endpoint is on the ring.
    pub(crate) fn contains(&self, id: EndpointId) -> bool {
        self.position(id).1.is_ok()
    }

    /// Number of endpoints with lower ids, and whether the endpoint is on the ring.
    fn rank(&self, id: EndpointId) -> (usize, bool) {
        let (b, position) = self.position(id);
        let before: usize = self.buckets[..b].iter().map(Vec::len).sum();
        (before + position.unwrap_or_else(|at| at), position.is_ok())
    }

    fn at(&self, mut rank: usize) -> EndpointId {
        for bucket in &self.buckets {
            if rank < bucket.len() {
                return bucket[rank].0;
            }
            rank -= bucket.len();
        }
        EndpointId(u64::MAX) // not reached: ranks are below the size
    }

    /// Number of warm endpoints of lower rank.
    fn warm_before(&self, mut rank: usize) -> usize {
        let mut sum = 0;
        for (bucket, warm) in self.buckets.iter().zip(&self.warm) {
            if rank < bucket.len() {
                return sum + bucket[..rank].iter().filter(|e| e.1).count();
            }
            (rank, sum) = (rank - bucket.len(), sum + warm);
        }
        sum
    }

    /// Rank of the `nth` warm endpoint, from 0.
    fn nth_warm(&self, mut nth: usize) -> usize {
        let mut rank = 0;
        for (bucket, warm) in self.buckets.iter().zip(&self.warm) {
            if nth < *warm {
                let mut warm = bucket.iter().enumerate().filter(|(_, e)| e.1);
                return rank + warm.nth(nth).map_or(0, |(at, _)| at);
            }
            (nth, rank) = (nth - warm, rank + bucket.len());
        }
        rank
    }

    /// Sets the arc that begins at rank `start` and holds `warm` warm endpoints and the cold ones between them, up to
    /// the whole ring. Reports for each endpoint in `updated`, and each whose membership may have changed, whether it
    /// is on the arc.
    pub(crate) fn set_arc(
        &mut self,
        start: usize,
        warm: usize,
        updated: &[EndpointId],
        mut report: impl FnMut(EndpointId, bool),
    ) {
        let size = self.size;
        if size == 0 {
            self.arc = LastArc::None;
            return;
        }
        let all_warm: usize = self.warm.iter().sum();
        let length = match all_warm < warm {
            true => size,
            false => {
                let last = self.warm_before(start) + warm - 1;
                let end = if last < all_warm {
                    self.nth_warm(last)
                } else {
                    self.nth_warm(last - all_warm) + size
                };
                end + 1 - start
            }
        };
        let old = self.previous_arc();
        self.arc = match length == size {
            true => LastArc::All,
            false => LastArc::Between(self.at(start), self.at((start + length - 1) % size)),
        };
        let inside = |rank: usize| (rank + size - start) % size < length;
        for &id in updated {
            if let (rank, true) = self.rank(id) {
                report(id, inside(rank));
            }
        }
        let spans = old.and_then(|old| changed_spans(old, (start, length), size));
        let Some(spans) = spans else {
            let all = self.buckets.iter().flatten().enumerate();
            return all.for_each(|(rank, &(id, _))| report(id, inside(rank)));
        };
        for (from, count) in spans {
            for rank in (from..from + count).map(|rank| rank % size) {
                report(self.at(rank), inside(rank));
            }
        }
    }

    /// Start and length of the last reported arc on the current ring; `None` where that is ambiguous.
    fn previous_arc(&self) -> Option<(usize, usize)> {
        match self.arc {
            LastArc::None => Some((0, 0)),
            LastArc::All => Some((0, self.size)),
            LastArc::Between(first, last) => {
                let start = self.rank(first).0 % self.size;
                let (rank, is_present) = self.rank(last);
                let end = (rank + usize::from(is_present)) % self.size;
                // Equal ends: either all of the arc was removed, or all outside it.
                (start != end).then(|| (start, (end + self.size - start) % self.size))
            }
        }
    }
}

/// Spans (start and length) that cover all ranks on only one of two arcs; `None` if there are too many.
fn changed_spans(old: (usize, usize), new: (usize, usize), size: usize) -> Option<[(usize, usize); 2]> {
    let gap = |(start, length): (usize, usize)| ((start + length) % size, size - length);
    if old.1.max(new.1) <= MAX_TRACKED_SHIFT {
        return Some([old, new]);
    }
    let (old_gap, new_gap) = (gap(old), gap(new));
    if old_gap.1.max(new_gap.1) <= MAX_TRACKED_SHIFT {
        return Some([old_gap, new_gap]);
    }
    // Each end moves the shorter way, and neither passes the other.
    let shorter_span = |from: usize, to: usize| {
        let ahead = (to + size - from) % size;
        if ahead <= size - ahead { (from, ahead) } else { (to, size - ahead) }
    };
    let (starts, ends) = (shorter_span(old.0, new.0), shorter_span(old_gap.0, new_gap.0));
    let short = old.1.min(new.1).min(old_gap.1).min(new_gap.1);
    (starts.1.max(ends.1) * 2 < short.min(2 * MAX_TRACKED_SHIFT)).then_some([starts, ends])
}
