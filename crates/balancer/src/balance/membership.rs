//! Changes of the endpoint list.

use super::*;
use std::collections::HashSet;

/// Zones of which the part is to be looked at again, and their new endpoints.
type Touched = BTreeMap<ZoneId, Vec<EndpointId>>;

impl Balancer {
    pub(super) fn on_membership(&mut self, now: Duration, news: Membership, out: &mut Actions) {
        let ask = self.settings.discovery == Discovery::Subscribe;
        match news {
            Membership::Failed if ask => return self.retry_discovery(now),
            Membership::Failed => return,
            Membership::Delta(entries) => self.update_endpoints(now, entries),
            Membership::Full(entries) | Membership::Cached(entries) => self.replace_endpoints(now, entries),
        }
        if ask && !self.has_list {
            // All instances may start at once; discovery answers them one after another.
            let most = self.settings.rules.resubscribe_within.as_secs_f64() / 8.0;
            let wait = Duration::from_secs_f64(self.draws.uniform() * most);
            self.set_timer(now + wait, Timer::Ask);
        } else {
            self.ask_failures = 0;
        }
        if !std::mem::replace(&mut self.has_list, true) {
            let size = (WINDOW_START * self.part()).max(1.0);
            self.windows.iter_mut().for_each(|window| window.size = size);
        }
        self.release_held(now, out);
    }

    /// Subscribes again after a jittered delay, so that instances refused together do not retry together.
    /// A list stays valid for four times `askWithinMs` after a failed call (see WIRE).
    fn retry_discovery(&mut self, now: Duration) {
        let doubled = ASK_BACKOFF * f64::from(1u32 << self.ask_failures.min(4));
        let stated = self.settings.rules.resubscribe_within.as_secs_f64();
        let most = if stated > 0.0 { MAX_ASK_BACKOFF.min(stated) } else { MAX_ASK_BACKOFF };
        let wait = doubled.min(most) * (0.5 + self.draws.uniform());
        self.ask_failures += 1;
        self.set_timer(now + Duration::from_secs_f64(wait), Timer::Ask);
    }

    /// Takes a complete list: what is missing from it is gone.
    fn replace_endpoints(&mut self, now: Duration, mut entries: Vec<EndpointInfo>) {
        let listed: HashSet<EndpointId> = entries.iter().map(|e| e.id).collect();
        let missing = self.endpoints.iter().filter(|e| !listed.contains(&e.info.id));
        let gone = |e: &Endpoint| EndpointInfo { state: EndpointState::Removed, ..e.info.clone() };
        entries.extend(missing.map(gone));
        self.update_endpoints(now, entries);
    }

    /// Takes single changes at a cost that does not grow with the fleet.
    fn update_endpoints(&mut self, now: Duration, entries: Vec<EndpointInfo>) {
        let mut touched = Touched::new();
        self.promote_warmed(now, &mut touched);
        for info in entries {
            self.update_endpoint(now, info, &mut touched);
        }
        self.forget_departed();
        for (zone, new) in touched {
            self.choose_part(zone, &new);
        }
    }

    /// Marks endpoints that are no longer cold on their ring.
    fn promote_warmed(&mut self, now: Duration, touched: &mut Touched) {
        while let Some((_, id)) = self.warming.first().copied().filter(|(at, _)| *at <= now) {
            self.warming.pop_first();
            let Some(&i) = self.index.get(&id).filter(|&&i| self.endpoints[i].is_ready()) else { continue };
            if self.warmth(now, i) >= 1.0 {
                let zone = self.endpoints[i].info.zone;
                self.rings.entry(zone).or_default().insert(id, true);
                touched.entry(zone).or_default();
            }
        }
    }

    fn update_endpoint(&mut self, now: Duration, info: EndpointInfo, touched: &mut Touched) {
        let (id, gone) = (info.id, info.state == EndpointState::Removed);
        let i = match self.index.get(&id) {
            Some(&i) => i,
            None if gone => return,
            None => self.add_endpoint(now, info.clone()),
        };
        let endpoint = &mut self.endpoints[i];
        let (zone, started_at, was_ready) =
            (endpoint.info.zone, endpoint.info.started_at, endpoint.is_ready());
        let same = (info.zone, info.started_at) == (zone, started_at);
        endpoint.update(now, info);
        let ready = endpoint.is_ready();
        let on_ring = self.rings.get(&zone).is_some_and(|ring| ring.contains(id));
        if on_ring && !(was_ready && ready && same) {
            (0..4).for_each(|set| self.pools.set(set, i, false));
            self.rings.entry(zone).or_default().remove(id);
            touched.entry(zone).or_default();
        }
        if ready && !(on_ring && same) {
            self.put_on_ring(now, i, touched);
        }
        if gone {
            self.leaving.push(id);
        }
    }

    fn put_on_ring(&mut self, now: Duration, i: usize, touched: &mut Touched) {
        let warm = self.warmth(now, i) >= 1.0;
        let EndpointInfo { id, zone, started_at, .. } = self.endpoints[i].info;
        self.rings.entry(zone).or_default().insert(id, warm);
        if let Some(started_at) = started_at.filter(|_| !warm) {
            // A moment more than the time itself, which rounding could miss.
            let at = started_at + self.settings.rules.warm_within + Duration::from_micros(1);
            self.warming.insert((at, id));
        }
        self.pools.set(2 + self.side(i), i, true);
        touched.entry(zone).or_default().push(id);
    }

    /// Forgets endpoints that left, once their last call has ended.
    fn forget_departed(&mut self) {
        for id in std::mem::take(&mut self.leaving) {
            let Some(&i) = self.index.get(&id) else { continue };
            match &self.endpoints[i] {
                endpoint if endpoint.info.state != EndpointState::Removed => {}
                endpoint if endpoint.in_flight > 0 => self.leaving.push(id),
                _ => self.forget_endpoint(i),
            }
        }
    }

    fn add_endpoint(&mut self, now: Duration, info: EndpointInfo) -> usize {
        let i = self.endpoints.len();
        self.index.insert(info.id, i);
        self.pools.push_slot();
        let cold_tokens = self.draws.uniform();
        self.endpoints.push(Endpoint::new(now, info, cold_tokens));
        i
    }

    fn forget_endpoint(&mut self, i: usize) {
        self.index.remove(&self.endpoints[i].info.id);
        self.endpoints.swap_remove(i);
        self.pools.swap_remove_slot(i);
        if let Some(moved) = self.endpoints.get(i) {
            self.index.insert(moved.info.id, i);
        }
    }

    /// All balancers see the endpoints of a zone on the same ring; each begins at a place of its own, by the
    /// golden ratio: so parts cover it evenly, also for those of one zone, however they are numbered.
    fn choose_part(&mut self, zone: ZoneId, new: &[EndpointId]) {
        let Some(ring) = self.rings.get_mut(&zone) else { return };
        if ring.len() == 0 {
            self.rings.remove(&zone);
            return;
        }
        let (size, callers) = (ring.len() as f64, f64::from(self.settings.balancers.max(1)));
        let start = (size * (f64::from(self.settings.balancer_index) * PLACE_STEP).fract()) as usize;
        // Cold endpoints come on top: through a release a part of them alone would be crowded.
        let side = usize::from(zone != self.settings.zone);
        // Those of a zone send there first, and have to even out among themselves.
        let zones = if side == 0 { f64::from(self.settings.zones.max(1)) } else { 1.0 };
        let wanted = (size * PART_CALLERS * zones / callers).max(MIN_PART);
        let (pools, index) = (&mut self.pools, &self.index);
        ring.arc(start, wanted.ceil() as usize, new, |id, within| pools.set(side, index[&id], within));
    }

    /// 0 for an endpoint of the own zone, 1 for one of another.
    pub(super) fn side(&self, i: usize) -> usize {
        usize::from(self.endpoints[i].info.zone != self.settings.zone)
    }

    pub(super) fn ready(&self) -> f64 {
        (self.pools.len(2) + self.pools.len(3)) as f64
    }

    /// This balancer's part of one call at each endpoint.
    pub(super) fn part(&self) -> f64 {
        self.ready() / f64::from(self.settings.balancers.max(1))
    }
}
