//! Changes of the endpoint list, and the subset of it that this balancer uses.

use super::*;
use std::collections::HashSet;

/// Zones whose subset must be recomputed, with their new endpoints.
type TouchedZones = BTreeMap<ZoneId, Vec<EndpointId>>;

impl Balancer {
    pub(super) fn on_membership(&mut self, now: Duration, update: Membership, out: &mut Actions) {
        let subscribe = self.settings.discovery == Discovery::Subscribe;
        match update {
            Membership::Failed if subscribe => return self.retry_discovery(now),
            Membership::Failed => return,
            Membership::Delta(entries) => self.update_endpoints(now, entries),
            Membership::Full(entries) | Membership::Cached(entries) => self.replace_endpoints(now, entries),
        }
        if subscribe && !self.has_list {
            // Instances may all start at once, and discovery answers them one at a time: spread them out.
            let max_delay = self.settings.rules.resubscribe_within.as_secs_f64() / 8.0;
            let delay = Duration::from_secs_f64(self.rng.uniform() * max_delay);
            self.set_timer(now + delay, Timer::Subscribe);
        } else {
            self.discovery_failures = 0;
        }
        if !std::mem::replace(&mut self.has_list, true) {
            let size = (INITIAL_WINDOW * self.fair_share()).max(1.0);
            self.windows.iter_mut().for_each(|window| window.size = size);
        }
        self.dispatch_queued(now, out);
    }

    /// Subscribes again after a jittered delay, so that instances refused together do not retry together.
    /// A list stays valid for four times `askWithinMs` after a failed call (see WIRE).
    fn retry_discovery(&mut self, now: Duration) {
        let doubled = BACKOFF_SECONDS * f64::from(1u32 << self.discovery_failures.min(4));
        let stated = self.settings.rules.resubscribe_within.as_secs_f64();
        let max_delay = if stated > 0.0 { MAX_BACKOFF_SECONDS.min(stated) } else { MAX_BACKOFF_SECONDS };
        let delay = doubled.min(max_delay) * (0.5 + self.rng.uniform());
        self.discovery_failures += 1;
        self.set_timer(now + Duration::from_secs_f64(delay), Timer::Subscribe);
    }

    /// Applies a complete list; endpoints missing from it are removed.
    fn replace_endpoints(&mut self, now: Duration, mut entries: Vec<EndpointInfo>) {
        let listed: HashSet<EndpointId> = entries.iter().map(|e| e.id).collect();
        let missing = self.endpoints.iter().filter(|e| !listed.contains(&e.info.id));
        let removed = |e: &Endpoint| EndpointInfo { state: EndpointState::Removed, ..e.info.clone() };
        entries.extend(missing.map(removed));
        self.update_endpoints(now, entries);
    }

    /// Applies single changes, at a cost that does not grow with the fleet.
    fn update_endpoints(&mut self, now: Duration, entries: Vec<EndpointInfo>) {
        let mut touched = TouchedZones::new();
        self.promote_warmed(now, &mut touched);
        for info in entries {
            self.update_endpoint(now, info, &mut touched);
        }
        self.forget_departed();
        for (zone, new) in touched {
            self.choose_subset(zone, &new);
        }
    }

    fn promote_warmed(&mut self, now: Duration, touched: &mut TouchedZones) {
        while let Some((_, id)) = self.warming.first().copied().filter(|(at, _)| *at <= now) {
            self.warming.pop_first();
            let Some(&i) = self.index.get(&id).filter(|&&i| self.endpoints[i].is_ready()) else { continue };
            if self.capacity(now, i) >= 1.0 {
                let zone = self.endpoints[i].info.zone;
                self.rings.entry(zone).or_default().insert(id, true);
                touched.entry(zone).or_default();
            }
        }
    }

    fn update_endpoint(&mut self, now: Duration, info: EndpointInfo, touched: &mut TouchedZones) {
        let (id, removed) = (info.id, info.state == EndpointState::Removed);
        let i = match self.index.get(&id) {
            Some(&i) => i,
            None if removed => return,
            None => self.add_endpoint(now, info.clone()),
        };
        let e = &mut self.endpoints[i];
        let (zone, started_at, was_ready) = (e.info.zone, e.info.started_at, e.is_ready());
        let same = (info.zone, info.started_at) == (zone, started_at);
        e.update(now, info);
        let ready = e.is_ready();
        let on_ring = self.rings.get(&zone).is_some_and(|ring| ring.contains(id));
        if on_ring && !(was_ready && ready && same) {
            (0..4).for_each(|set| self.sets.set(set, i, false));
            self.rings.entry(zone).or_default().remove(id);
            touched.entry(zone).or_default();
        }
        if ready && !(on_ring && same) {
            self.add_to_ring(now, i, touched);
        }
        if removed {
            self.departing.push(id);
        }
    }

    fn add_to_ring(&mut self, now: Duration, i: usize, touched: &mut TouchedZones) {
        let warm = self.capacity(now, i) >= 1.0;
        let EndpointInfo { id, zone, started_at, .. } = self.endpoints[i].info;
        self.rings.entry(zone).or_default().insert(id, warm);
        if let Some(started_at) = started_at.filter(|_| !warm) {
            // One microsecond later, so that rounding does not leave it slightly below warm.
            let at = started_at + self.settings.rules.warm_within + Duration::from_micros(1);
            self.warming.insert((at, id));
        }
        self.sets.set(2 + self.side(i), i, true);
        touched.entry(zone).or_default().push(id);
    }

    /// Drops removed endpoints whose last call has ended.
    fn forget_departed(&mut self) {
        for id in std::mem::take(&mut self.departing) {
            let Some(&i) = self.index.get(&id) else { continue };
            match &self.endpoints[i] {
                endpoint if endpoint.info.state != EndpointState::Removed => {}
                endpoint if endpoint.in_flight > 0 => self.departing.push(id),
                _ => self.forget_endpoint(i),
            }
        }
    }

    fn add_endpoint(&mut self, now: Duration, info: EndpointInfo) -> usize {
        let i = self.endpoints.len();
        self.index.insert(info.id, i);
        self.sets.push_slot();
        let cold_tokens = self.rng.uniform();
        self.endpoints.push(Endpoint::new(now, info, cold_tokens));
        i
    }

    fn forget_endpoint(&mut self, i: usize) {
        self.index.remove(&self.endpoints[i].info.id);
        self.endpoints.swap_remove(i);
        self.sets.swap_remove_slot(i);
        if let Some(moved) = self.endpoints.get(i) {
            self.index.insert(moved.info.id, i);
        }
    }

    /// Deterministic subsetting: balancers share a zone's ring, and each starts at an offset spaced by the
    /// golden ratio, so that subsets cover the ring evenly for any consecutive run of balancer indices.
    fn choose_subset(&mut self, zone: ZoneId, new: &[EndpointId]) {
        let Some(ring) = self.rings.get_mut(&zone) else { return };
        if ring.len() == 0 {
            self.rings.remove(&zone);
            return;
        }
        let (size, callers) = (ring.len() as f64, f64::from(self.settings.balancers.max(1)));
        let start = (size * (f64::from(self.settings.balancer_index) * GOLDEN_RATIO_STEP).fract()) as usize;
        // Cold endpoints do not count: during a rollout a subset of cold ones alone would be overloaded.
        let side = usize::from(zone != self.settings.zone);
        // Only the balancers of this zone send here first, so only they share its endpoints.
        let zones = if side == 0 { f64::from(self.settings.zones.max(1)) } else { 1.0 };
        let target = (size * SUBSET_CALLERS * zones / callers).max(MIN_SUBSET);
        let (sets, index) = (&mut self.sets, &self.index);
        ring.set_arc(start, target.ceil() as usize, new, |id, inside| sets.set(side, index[&id], inside));
    }

    /// 0 for an endpoint in the own zone, 1 for another zone.
    pub(super) fn side(&self, i: usize) -> usize {
        usize::from(self.endpoints[i].info.zone != self.settings.zone)
    }

    pub(super) fn ready_count(&self) -> f64 {
        (self.sets.len(2) + self.sets.len(3)) as f64
    }

    /// This balancer's share of one call per ready endpoint.
    pub(super) fn fair_share(&self) -> f64 {
        self.ready_count() / f64::from(self.settings.balancers.max(1))
    }
}
