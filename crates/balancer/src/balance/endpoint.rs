//! State of each endpoint as learned from outcomes, and the windows on all own attempts in flight.

use super::*;

pub(super) struct Endpoint {
    pub(super) info: EndpointInfo,
    pub(super) in_flight: u32,
    /// Recent failures, in units of calls in flight.
    pub(super) penalty: Decaying,
    /// Reachable, but its last answer was an error.
    pub(super) failing: bool,
    /// Latency over the class's baseline, minus one. Shows the load of other balancers, which own counts do
    /// not show where a caller has at most one call in flight.
    pub(super) excess_latency: Decaying,
    /// Concurrency limit for own calls, adapted by late and timely answers (AIMD).
    pub(super) limit: f64,
    slow_start: bool,
    limit_cut_at: Duration,
    /// When it last answered, which left a connection idle.
    pub(super) last_answer: Option<Duration>,
    /// Sends left in the cold budget, as of `cold_tokens_at`.
    pub(super) cold_tokens: f64,
    pub(super) cold_tokens_at: Duration,
}

impl Endpoint {
    /// Creates a newly listed endpoint. The caller draws `cold_tokens` at random, so that callers differ.
    pub(super) fn new(now: Duration, info: EndpointInfo, cold_tokens: f64) -> Self {
        let slow_start = info.started_at.is_none();
        Endpoint {
            info,
            in_flight: 0,
            penalty: Decaying::default(),
            failing: false,
            excess_latency: Decaying::default(),
            limit: INITIAL_LIMIT,
            slow_start,
            limit_cut_at: now,
            last_answer: None,
            cold_tokens,
            cold_tokens_at: now,
        }
    }

    pub(super) fn update(&mut self, now: Duration, info: EndpointInfo) {
        if info.started_at != self.info.started_at {
            self.excess_latency.value = 0.0;
            self.penalty.value = 0.0; // a new process: old failures do not apply
            (self.cold_tokens, self.cold_tokens_at) = (0.0, now);
        }
        self.info = info;
    }

    /// Adapts the limit to an outcome, with one decrease per `typical` latency at most. In slow start a
    /// timely answer adds `gain` of a step.
    pub(super) fn update_limit(&mut self, now: Duration, outcome: &Assessed, typical: Duration, gain: f64) {
        self.slow_start &= !outcome.late;
        if outcome.late && now >= self.limit_cut_at + typical {
            (self.limit, self.limit_cut_at) = ((self.limit * (1.0 - LIMIT_DECREASE)).max(1.0), now);
        } else if outcome.answered && !outcome.late && f64::from(self.in_flight) * 2.0 > self.limit {
            let step = match self.slow_start {
                true if self.limit < SLOW_START_LIMIT => 1.0,
                true if outcome.elapsed * 2.0 < outcome.late_after => SLOW_START_GAIN,
                _ => 0.0,
            };
            self.limit += (step * gain).max(1.0 / self.limit);
        }
    }

    /// Records an answer whose latency is this multiple of its class's baseline.
    pub(super) fn update_excess_latency(&mut self, now: Duration, multiple: f64, decay_s: f64) {
        let excess = self.excess_latency.read(now, decay_s);
        // The older the last answer, the more this one weighs.
        let weight = (1.0 - self.excess_latency.retained(now, MIN_DECAY_SECONDS)).clamp(ANSWER_WEIGHT, 0.5);
        self.excess_latency.set(now, excess + weight * (multiple - 1.0 - excess));
    }

    pub(super) fn is_ready(&self) -> bool {
        self.info.state == EndpointState::Ready
    }

    pub(super) fn add_penalty(&mut self, now: Duration, decay_s: f64) {
        self.penalty.set(now, (self.penalty(now, decay_s) + FAILURE_PENALTY).min(MAX_PENALTY));
    }

    pub(super) fn penalty(&self, now: Duration, decay_s: f64) -> f64 {
        let p = self
            .penalty
            .read(now, if self.failing { decay_s.max(PENALTY_SECONDS) } else { PENALTY_SECONDS });
        if p < MIN_PENALTY { 0.0 } else { p }
    }
}

/// Congestion window on own attempts in flight, so that many balancers do not overload the fleet together.
#[derive(Clone, Copy)]
pub(super) struct Window {
    pub(super) size: f64,
    pub(super) in_flight: u32,
    pub(super) slow_start: bool,
    /// Recent maximum of `in_flight`.
    pub(super) peak: Decaying,
}

impl Window {
    pub(super) fn sent(&mut self, now: Duration) {
        self.in_flight += 1;
        self.peak.set(now, f64::from(self.in_flight).max(self.peak.read(now, PEAK_SECONDS)));
    }

    /// Adapts the window to an ended attempt. `share`, one call per endpoint divided among all balancers, is
    /// its floor, and a larger window grows less: otherwise a balancer that measured idle servers would yield
    /// for good to those that started later and measured loaded ones.
    pub(super) fn ended(&mut self, now: Duration, outcome: &Assessed, share: f64) {
        if outcome.late {
            self.size = (self.size - WINDOW_DECREASE).max(share.max(1.0));
            self.slow_start = false;
        } else if outcome.answered && f64::from(self.in_flight) * HEADROOM > self.size {
            self.size += if self.slow_start { share.min(1.0) } else { WINDOW_INCREASE * share / self.size };
        }
        let cap = (self.peak.read(now, PEAK_SECONDS) * HEADROOM).max(INITIAL_WINDOW * share).max(1.0);
        self.size = self.size.min(cap);
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
