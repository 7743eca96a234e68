//! Admission under overload: which requests are queued, in which order they are sent, which are refused.

use super::*;
use std::ops::Bound;

/// Position of one pass over the queue of a value class.
struct Cursor {
    newest_first: bool,
    last: Option<QueueEntry>,
}

impl Cursor {
    fn next(&self, entries: &BTreeSet<QueueEntry>) -> Option<QueueEntry> {
        let bound = self.last.map_or(Bound::Unbounded, Bound::Excluded);
        match self.newest_first {
            true => entries.range((Bound::Unbounded, bound)).next_back().copied(),
            false => entries.range((bound, Bound::Unbounded)).next().copied(),
        }
    }
}

impl Balancer {
    /// Whether the window has room for a request of this value. While requests of higher value are refused,
    /// part of the window is reserved for them. Inner tiers always admit: a waiting caller holds a slot.
    pub(super) fn has_room(&self, now: Duration, value: f64, side: usize) -> bool {
        let fraction = (value / self.refused_value.read(now, REFUSED_SECONDS).max(1e-9)).sqrt().min(1.0);
        let (window, total) = (self.windows[side], self.windows[0].in_flight + self.windows[1].in_flight);
        // With many balancers, even two windows at their floor of one call each overload the endpoints.
        let spared = window.size > 1.0 || total == 0 || MAX_FLOOR_CALLS * self.fair_share() >= 1.0;
        let fits = f64::from(window.in_flight) < window.size * fraction;
        self.settings.tier > 0 || (fits && spared)
    }

    /// Whether the own zone or the others have endpoints and room for a request of the highest value.
    fn has_any_room(&self, now: Duration) -> bool {
        (0..2).any(|side| self.sets.len(2 + side) > 0 && self.has_room(now, f64::MAX, side))
    }

    /// Value of serving a request, per second of server time.
    pub(super) fn value(&self, id: RequestId) -> f64 {
        let Some(pending) = self.requests.get(&id) else { return 0.0 };
        self.value_per_second(pending.class, pending.value_share)
    }

    fn value_per_second(&self, class: usize, value_share: f64) -> f64 {
        self.settings.classes[class].value * value_share / self.latency[class].typical().max(0.001)
    }

    /// Counts a tenant's request; returns whether it exceeds the tenant's share. A balancer sees an unknown
    /// part of all traffic, so a tenant is compared with the median tenant.
    pub(super) fn over_share(&mut self, now: Duration, tenant: usize) -> bool {
        let Some(rate) = self.tenant_rps.get_mut(tenant) else { return false };
        rate.count(now, RATE_SECONDS);
        let used = |t: usize| {
            self.tenant_rps[t].read(now, RATE_SECONDS) / self.settings.tenants[t].allowance_per_s.max(1e-9)
        };
        let mut uses: Vec<f64> = (0..self.tenant_rps.len()).map(used).collect();
        uses.sort_by(f64::total_cmp);
        let fair = uses[(uses.len() - 1) / 2] * TENANT_SLACK;
        let excess = 1.0 - fair / used(tenant).max(1e-9);
        self.rng.uniform() < excess
    }

    /// Sends queued requests as far as there is room. Returns early without room: with hundreds queued,
    /// looking at endpoints took more time than handling the answers.
    pub(super) fn dispatch_queued(&mut self, now: Duration, out: &mut Actions) {
        if self.queue.is_empty() || !self.has_any_room(now) {
            return;
        }
        // Highest value first. Equal values are sent in FIFO order while the oldest is still within its
        // patience, else LIFO: under overload the oldest, and all behind it, would miss their objective.
        let start = |(key, entries): (&ValueClass, &BTreeSet<QueueEntry>)| {
            let patience = self.settings.classes[key.0].objective.mul_f64(FIFO_FRACTION);
            let oldest = entries.first().map_or(now, |entry| entry.0);
            (*key, Cursor { newest_first: now > oldest + patience, last: None })
        };
        let mut cursors: HashMap<ValueClass, Cursor> = self.queue.iter().map(start).collect();
        while let Some((key, entry)) = self.next_queued(&cursors) {
            if let Some(cursor) = cursors.get_mut(&key) {
                cursor.last = Some(entry);
            }
            let untried = self.requests.get(&entry.1).is_some_and(|p| p.attempts.is_empty());
            self.dequeue(entry.1);
            self.advance(now, entry.1, out);
            // An untried request may use any endpoint; if it found none, the others find none either.
            let still_queued = self.queue.get(&key).is_some_and(|entries| entries.contains(&entry));
            if !self.has_any_room(now) || (untried && still_queued) {
                return;
            }
        }
    }

    /// The queued request of highest value that this pass has not visited.
    fn next_queued(&self, cursors: &HashMap<ValueClass, Cursor>) -> Option<(ValueClass, QueueEntry)> {
        let next = |(key, entries): (&ValueClass, &BTreeSet<QueueEntry>)| {
            let entry = cursors.get(key)?.next(entries)?;
            Some((self.value_per_second(key.0, f64::from_bits(key.1)), entry, *key))
        };
        let next = self.queue.iter().filter_map(next);
        let (_, entry, key) = next.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))?;
        Some((key, entry))
    }

    /// Refuses queued requests that can no longer be served in time.
    pub(super) fn refuse_late(&mut self, now: Duration, out: &mut Actions) {
        let late = |id: &RequestId| self.requests.get(id).is_some_and(|p| self.too_late(now, p));
        let late: Vec<RequestId> = self.queue.values().flatten().map(|(_, id)| *id).filter(late).collect();
        for id in late {
            let value = self.value(id);
            self.refused_value.set(now, value.max(self.refused_value.read(now, REFUSED_SECONDS)));
            self.give_up(id, out);
        }
        if !self.queue.is_empty() {
            self.set_recheck(now);
        }
    }

    pub(super) fn dequeue(&mut self, id: RequestId) {
        if !self.queue.is_empty()
            && let Some(pending) = self.requests.get(&id)
            && let Some(entries) = self.queue.get_mut(&pending.value_class())
        {
            entries.remove(&(pending.arrived, id));
            if entries.is_empty() {
                self.queue.remove(&pending.value_class());
            }
        }
    }

    pub(super) fn queue_len(&self) -> usize {
        self.queue.values().map(BTreeSet::len).sum()
    }

    pub(super) fn set_recheck(&mut self, now: Duration) {
        if !self.recheck_set {
            self.recheck_set = true;
            self.set_timer(now + QUEUE_RECHECK, Timer::RecheckQueue);
        }
    }
}
