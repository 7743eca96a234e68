//! Endpoint selection: eligibility, sampling, occupancy, and the budget of cold endpoints.

use super::*;

impl Balancer {
    /// Chooses an endpoint: samples the eligible ones and takes the least occupied, ties at random.
    pub(super) fn choose(&mut self, now: Duration, id: RequestId) -> Option<usize> {
        self.decay_s = self.decay_s(now);
        self.shared_penalty = self.lower_quartile_penalty(now);
        // From this balancer's subset, or from all endpoints where too few of the subset are eligible.
        for set in [0, 2] {
            let near = self.sample(now, id, set);
            let far = self.sample(now, id, set + 1);
            if set == 0 && near.1 + far.1 < CHOICES {
                continue;
            }
            // The own zone is preferred: another zone must be better by a margin.
            match (near.0, far.0) {
                (Some((_, a)), Some((j, b))) if b + CROSS_ZONE_MARGIN < a => return Some(j),
                (Some((i, _)), _) | (None, Some((i, _))) => return Some(i),
                (None, None) => {}
            }
        }
        None
    }

    /// Draws `CHOICES` eligible endpoints of a set without replacement. Returns the least occupied with its
    /// occupancy, and how many were found. The first drawn wins ties.
    fn sample(&mut self, now: Duration, id: RequestId, set: usize) -> (Option<(usize, f64)>, usize) {
        let (mut best, mut found): (Option<(usize, f64)>, usize) = (None, 0);
        let room = self.has_room(now, self.value(id), set % 2);
        let size = if room { self.sets.len(set) } else { 0 };
        for k in 0..size.min(MAX_DRAWS) {
            let drawn = k + self.rng.below(size - k);
            let i = self.sets.swap(set, k, drawn);
            let pending = self.requests.get(&id).filter(|p| self.is_eligible(now, i, p));
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

    /// Time constant of per-endpoint observations, in seconds.
    fn decay_s(&self, now: Duration) -> f64 {
        let used = (self.sets.len(0) + self.sets.len(1)) as f64;
        let rate = self.arrivals.rate(now, RATE_SECONDS, self.created_at);
        (DECAY_CALLS * used / rate.max(1e-3)).clamp(MIN_DECAY_SECONDS, MAX_DECAY_SECONDS)
    }

    /// Lower quartile of the endpoints' penalties, over an evenly spaced sample in a large fleet.
    fn lower_quartile_penalty(&mut self, now: Duration) -> f64 {
        let step = self.endpoints.len().div_ceil(MAX_DRAWS).max(1);
        let skipped = self.rng.below(step);
        let ready = self.endpoints.iter().skip(skipped).step_by(step).filter(|e| e.is_ready());
        let mut penalties: Vec<f64> = ready.map(|e| e.penalty(now, self.decay_s)).collect();
        penalties.sort_by(f64::total_cmp);
        penalties.get(penalties.len() / 4).copied().unwrap_or(0.0)
    }

    /// Own calls in flight plus the penalty beyond the shared one.
    fn load(&self, now: Duration, i: usize) -> f64 {
        let endpoint = &self.endpoints[i];
        f64::from(endpoint.in_flight) + (endpoint.penalty(now, self.decay_s) - self.shared_penalty).max(0.0)
    }

    /// Load plus what slow answers and an earlier attempt of the same request count for.
    fn occupancy(&self, now: Duration, i: usize, pending: &Pending) -> f64 {
        let endpoint = &self.endpoints[i];
        let excess = (endpoint.excess_latency.read(now, self.decay_s) - EXCESS_LATENCY_FREE).max(0.0);
        let tried = pending.attempts.iter().any(|a| a.endpoint == endpoint.info.id);
        self.load(now, i) + excess + if tried { MAX_PENALTY } else { 0.0 }
    }

    /// Hard limits: readiness, concurrency, the cold budget, and the deduplication scope of a keyed request.
    fn is_eligible(&self, now: Duration, i: usize, pending: &Pending) -> bool {
        let endpoint = &self.endpoints[i];
        let room = (endpoint.limit * self.capacity(now, i)).max(1.0);
        let overspent = self.capacity(now, i) < 1.0 && self.cold_tokens(now, i) < 1.0;
        if !endpoint.is_ready() || self.load(now, i) + 1.0 > room || overspent {
            return false;
        }
        let Semantics::Keyed { scope, .. } = self.settings.classes[pending.class].semantics else {
            return true;
        };
        pending.maybe_executed().all(|a| match scope {
            DedupScope::All => true,
            DedupScope::Zone => a.zone == endpoint.info.zone,
            DedupScope::Cell => a.cell == endpoint.info.cell,
        })
    }

    /// Fraction of its capacity that an endpoint has at least; rises linearly from `cold_share` to 1.
    pub(super) fn capacity(&self, now: Duration, i: usize) -> f64 {
        let rules = &self.settings.rules;
        let Some(started_at) = self.endpoints[i].info.started_at else { return 1.0 };
        let age = now.saturating_sub(started_at).as_secs_f64() / rules.warm_within.as_secs_f64().max(1e-3);
        (rules.cold_share + (1.0 - rules.cold_share) * age).clamp(0.01, 1.0)
    }

    /// Sends that rule 4 leaves to a cold endpoint (token bucket). Together, balancers use a fraction of the
    /// overload factor; each takes its proportion, estimated from the rate that warm endpoints serve for it.
    pub(super) fn cold_tokens(&self, now: Duration, i: usize) -> f64 {
        let rules = &self.settings.rules;
        let endpoint = &self.endpoints[i];
        let rate = self.capacity(now, i) * rules.cold_overload_factor * COLD_SAFETY * self.proven_rate(now);
        let cap = (rate * rules.cold_overload_window.as_secs_f64() * COLD_SAFETY).max(1.0);
        (endpoint.cold_tokens + rate * now.saturating_sub(endpoint.cold_tokens_at).as_secs_f64()).min(cap)
    }

    pub(super) fn record_served(&mut self, now: Duration) {
        self.served.count(now, RATE_SECONDS);
        // Divided by all ready endpoints, warm or not: underestimating the warm ones is the safe side.
        let rate = self.served.read(now, RATE_SECONDS) / self.ready_count().max(1.0);
        if rate > self.proven_rate(now) || self.proven.value == 0.0 {
            self.proven.set(now, rate);
        }
    }

    /// Requests per second that one warm endpoint serves for this balancer.
    fn proven_rate(&self, now: Duration) -> f64 {
        if self.proven.value > 0.0 {
            return self.proven.read(now, PROVEN_RATE_SECONDS);
        }
        self.arrivals.rate(now, RATE_SECONDS, self.created_at) / self.ready_count().max(1.0)
    }
}
