//! The choice of an endpoint: the eligible set, a sample of it, the least occupied.

use super::*;

impl Balancer {
    /// The eligible set, then d samples, then the least occupied, ties at random.
    pub(super) fn pick(&mut self, now: Duration, id: RequestId) -> Option<usize> {
        self.memory = self.memory(now);
        self.common_heat = self.shared_heat(now);
        // Of this balancer's part, or of all where too few of it can take the call.
        for pool in [0, 2] {
            let near = self.sample(now, id, pool);
            let far = self.sample(now, id, pool + 1);
            if pool == 0 && near.1 + far.1 < CHOICES {
                continue;
            }
            // Own zone first: another one's best sample must be better by a clear margin.
            match (near.0, far.0) {
                (Some((_, a)), Some((j, b))) if b + CROSS_MARGIN < a => return Some(j),
                (Some((i, _)), _) | (None, Some((i, _))) => return Some(i),
                (None, None) => {}
            }
        }
        None
    }

    /// Draws d eligible endpoints of a pool without replacement: the least occupied and how many there
    /// were. The first drawn wins ties.
    fn sample(&mut self, now: Duration, id: RequestId, pool: usize) -> (Option<(usize, f64)>, usize) {
        let (mut best, mut found): (Option<(usize, f64)>, usize) = (None, 0);
        let room = self.has_room(now, self.value(id), pool % 2);
        let size = if room { self.pools.len(pool) } else { 0 };
        for k in 0..size.min(DRAWS) {
            let drawn = k + self.draws.below(size - k);
            let i = self.pools.swap(pool, k, drawn);
            let pending = self.requests.get(&id).filter(|p| self.allowed(now, i, p));
            let Some(occupancy) = pending.map(|p| self.occupancy(now, i, p)) else { continue };
            found += 1;
            if best.is_none_or(|(_, least)| occupancy < least) {
                best = Some((i, occupancy));
            }
            if found == CHOICES {
                break;
            }
        }
        (best, found)
    }

    /// Seconds for which what was learned of an endpoint is remembered.
    fn memory(&self, now: Duration) -> f64 {
        let used = (self.pools.len(0) + self.pools.len(1)) as f64;
        let rate = self.arrivals.rate(now, RATE_SECONDS, self.born);
        (DRAG_CALLS * used / rate.max(1e-3)).clamp(DRAG_SECONDS, MAX_DRAG_SECONDS)
    }

    /// The heat of the best quarter, of all endpoints or of every so many.
    fn shared_heat(&mut self, now: Duration) -> f64 {
        let step = self.endpoints.len().div_ceil(DRAWS).max(1);
        let skipped = self.draws.below(step);
        let ready = self.endpoints.iter().skip(skipped).step_by(step).filter(|e| e.is_ready());
        let mut heats: Vec<f64> = ready.map(|e| e.heat(now, self.memory)).collect();
        heats.sort_by(f64::total_cmp);
        heats.get(heats.len() / 4).copied().unwrap_or(0.0)
    }

    /// Own calls in flight and what failures beyond the common measure count for.
    fn load(&self, now: Duration, i: usize) -> f64 {
        let endpoint = &self.endpoints[i];
        f64::from(endpoint.in_flight) + (endpoint.heat(now, self.memory) - self.common_heat).max(0.0)
    }

    /// Own calls in flight plus what failures, slow answers and an earlier attempt there count for.
    fn occupancy(&self, now: Duration, i: usize, pending: &Pending) -> f64 {
        let endpoint = &self.endpoints[i];
        let drag = (endpoint.drag.read(now, self.memory) - DRAG_FREE).max(0.0);
        let tried = pending.attempts.iter().any(|a| a.endpoint == endpoint.info.id);
        self.load(now, i) + drag + if tried { MAX_HEAT } else { 0.0 }
    }

    /// Hard limits: the list, the cold budget, and rule 2 for a keyed request that may have run.
    fn allowed(&self, now: Duration, i: usize, pending: &Pending) -> bool {
        let endpoint = &self.endpoints[i];
        let room = (endpoint.limit * self.warmth(now, i)).max(1.0);
        let overspent = self.warmth(now, i) < 1.0 && self.cold_tokens(now, i) < 1.0;
        if !endpoint.is_ready() || self.load(now, i) + 1.0 > room || overspent {
            return false;
        }
        let Semantics::Keyed { scope, .. } = self.settings.classes[pending.class].semantics else {
            return true;
        };
        pending.may_have_run().all(|a| match scope {
            DedupScope::All => true,
            DedupScope::Zone => a.zone == endpoint.info.zone,
            DedupScope::Cell => a.cell == endpoint.info.cell,
        })
    }

    /// The part of its capacity that an endpoint surely has: it rises evenly from the cold share.
    pub(super) fn warmth(&self, now: Duration, i: usize) -> f64 {
        let rules = &self.settings.rules;
        let Some(started_at) = self.endpoints[i].info.started_at else { return 1.0 };
        let age = now.saturating_sub(started_at).as_secs_f64() / rules.warm_within.as_secs_f64().max(1e-3);
        (rules.cold_share + (1.0 - rules.cold_share) * age).clamp(0.01, 1.0)
    }

    /// Rule 4. All balancers together may send a cold endpoint a part of the multiple at which it
    /// falls; each keeps to its own proportion, judged by what warm endpoints serve for it.
    pub(super) fn cold_tokens(&self, now: Duration, i: usize) -> f64 {
        let rules = &self.settings.rules;
        let endpoint = &self.endpoints[i];
        let rate = self.warmth(now, i) * rules.cold_overload_factor * COLD_CAUTION * self.proven_rate(now);
        let most = (rate * rules.cold_overload_window.as_secs_f64() * COLD_CAUTION).max(1.0);
        (endpoint.cold_tokens + rate * now.saturating_sub(endpoint.cold_at).as_secs_f64()).min(most)
    }

    pub(super) fn prove(&mut self, now: Duration) {
        self.served.count(now, RATE_SECONDS);
        // Over all that are ready, warm or not: too low a rate for the warm ones errs on the safe side.
        let rate = self.served.read(now, RATE_SECONDS) / self.ready().max(1.0);
        if rate > self.proven_rate(now) || self.proven.value == 0.0 {
            self.proven.set(now, rate);
        }
    }

    /// Requests a second that one warm endpoint serves for this balancer alone.
    fn proven_rate(&self, now: Duration) -> f64 {
        if self.proven.value > 0.0 {
            return self.proven.read(now, PROOF_SECONDS);
        }
        self.arrivals.rate(now, RATE_SECONDS, self.born) / self.ready().max(1.0)
    }
}
