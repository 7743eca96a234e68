//! Which requests go first where there is too little room, and which are held back.

use super::*;
use std::ops::Bound;

/// How far a round of releases has gone among requests of equal value.
struct Cursor {
    newest_first: bool,
    last: Option<Place>,
}

impl Cursor {
    fn next(&self, group: &BTreeSet<Place>) -> Option<Place> {
        let bound = self.last.map_or(Bound::Unbounded, Bound::Excluded);
        match self.newest_first {
            true => group.range((Bound::Unbounded, bound)).next_back().copied(),
            false => group.range((bound, Bound::Unbounded)).next().copied(),
        }
    }
}

impl Balancer {
    /// Own calls in flight leave room for one more of such value: while higher ones are refused, a part is
    /// theirs alone. A caller inside a tier holds a slot while it waits: what got so far is not held up.
    pub(super) fn has_room(&self, now: Duration, value: f64, side: usize) -> bool {
        let part = (value / self.missed.read(now, MISSED_SECONDS).max(1e-9)).sqrt().min(1.0);
        let (window, out) = (self.windows[side], self.windows[0].out + self.windows[1].out);
        // At its floor of one call: two such windows of each of many balancers would still be a jam.
        let spared = window.size > 1.0 || out == 0 || FLOOR_CALLS * self.part() >= 1.0;
        let fits = f64::from(window.out) < window.size * part;
        self.settings.tier > 0 || (fits && spared)
    }

    /// Some zone with endpoints has room for the highest value.
    fn any_room(&self, now: Duration) -> bool {
        (0..2).any(|side| self.pools.len(2 + side) > 0 && self.has_room(now, f64::MAX, side))
    }

    /// What serving a request adds to the result for the time it keeps a server busy.
    pub(super) fn value(&self, id: RequestId) -> f64 {
        let Some(pending) = self.requests.get(&id) else { return 0.0 };
        self.value_per_second(pending.class, pending.part)
    }

    fn value_per_second(&self, class: usize, part: f64) -> f64 {
        self.settings.classes[class].value * part / self.latency[class].usual().max(0.001)
    }

    /// Counts a tenant's request and tells whether it lies above the tenant's share. A balancer sees
    /// an unknown part of all traffic, so tenants are judged against the median one.
    pub(super) fn over_share(&mut self, now: Duration, tenant: usize) -> bool {
        let Some(rate) = self.tenants.get_mut(tenant) else { return false };
        rate.count(now, RATE_SECONDS);
        let used = |t: usize| {
            self.tenants[t].read(now, RATE_SECONDS) / self.settings.tenants[t].allowance_per_s.max(1e-9)
        };
        let mut uses: Vec<f64> = (0..self.tenants.len()).map(used).collect();
        uses.sort_by(f64::total_cmp);
        let fair = uses[(uses.len() - 1) / 2] * SHARE_SLACK;
        let excess = 1.0 - fair / used(tenant).max(1e-9);
        self.draws.uniform() < excess
    }

    /// Sends what is held, as far as there is room. Looks at no endpoint where there is none: with
    /// hundreds held that took more time than the answers themselves.
    pub(super) fn release_held(&mut self, now: Duration, out: &mut Actions) {
        if self.held.is_empty() || !self.any_room(now) {
            return;
        }
        // The highest value first. Of equals the one that came first, while it has time: the others can wait
        // as long. In a jam the one that came last: the oldest would only be answered after its objective,
        // and so would all behind it.
        let start = |(key, group): (&Alike, &BTreeSet<Place>)| {
            let patience = self.settings.classes[key.0].objective.mul_f64(PATIENT_PART);
            let oldest = group.first().map_or(now, |place| place.0);
            (*key, Cursor { newest_first: now > oldest + patience, last: None })
        };
        let mut cursors: HashMap<Alike, Cursor> = self.held.iter().map(start).collect();
        while let Some((key, place)) = self.next_held(&cursors) {
            if let Some(cursor) = cursors.get_mut(&key) {
                cursor.last = Some(place);
            }
            let untried = self.requests.get(&place.1).is_some_and(|p| p.attempts.is_empty());
            self.unhold(place.1);
            self.advance(now, place.1, out);
            // What found no endpoint, though all are open to it, leaves none to the others either.
            let still_held = self.held.get(&key).is_some_and(|group| group.contains(&place));
            if !self.any_room(now) || (untried && still_held) {
                return;
            }
        }
    }

    /// The held request of highest value that was not looked at yet.
    fn next_held(&self, cursors: &HashMap<Alike, Cursor>) -> Option<(Alike, Place)> {
        let next = |(key, group): (&Alike, &BTreeSet<Place>)| {
            let place = cursors.get(key)?.next(group)?;
            Some((self.value_per_second(key.0, f64::from_bits(key.1)), place, *key))
        };
        let next = self.held.iter().filter_map(next);
        let (_, place, key) = next.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))?;
        Some((key, place))
    }

    /// Refuses what is held and can't be served in time any more.
    pub(super) fn drop_late(&mut self, now: Duration, out: &mut Actions) {
        let late = |id: &RequestId| self.requests.get(id).is_some_and(|p| self.too_late(now, p));
        let late: Vec<RequestId> = self.held.values().flatten().map(|(_, id)| *id).filter(late).collect();
        for id in late {
            let value = self.value(id);
            self.missed.set(now, value.max(self.missed.read(now, MISSED_SECONDS)));
            self.give_up(id, out);
        }
        if !self.held.is_empty() {
            self.set_recheck(now);
        }
    }

    pub(super) fn unhold(&mut self, id: RequestId) {
        if !self.held.is_empty()
            && let Some(pending) = self.requests.get(&id)
            && let Some(group) = self.held.get_mut(&pending.group())
        {
            group.remove(&(pending.arrived, id));
            if group.is_empty() {
                self.held.remove(&pending.group());
            }
        }
    }

    pub(super) fn held_count(&self) -> usize {
        self.held.values().map(BTreeSet::len).sum()
    }

    pub(super) fn set_recheck(&mut self, now: Duration) {
        if !self.recheck_set {
            self.recheck_set = true;
            self.set_timer(now + HOLD_RECHECK, Timer::Recheck);
        }
    }
}
