//! What is learned of endpoints: of each one alone, and how many own attempts may be out in all.

use super::*;

pub(super) struct Endpoint {
    pub(super) info: EndpointInfo,
    pub(super) in_flight: u32,
    /// Recent failures as calls in flight.
    pub(super) heat: Fading,
    /// It is there and fails: the last that came from it was an error.
    pub(super) ill: bool,
    /// Its latency as a multiple of the class's unhurried mean, beyond one: what calls of
    /// others, unseen here, do to it. Own counts say little where a caller has one call out or none.
    pub(super) drag: Fading,
    /// Own calls it may hold: the paper's C, learned from late and timely answers.
    pub(super) limit: f64,
    opening: bool,
    limit_cut_at: Duration,
    /// When it last answered, and left a connection idle.
    pub(super) heard: Option<Duration>,
    /// Sends the cold budget still allows, as of `cold_at`.
    pub(super) cold_tokens: f64,
    pub(super) cold_at: Duration,
}

impl Endpoint {
    /// An endpoint that has just been listed; its first cold budget is drawn, so that callers don't agree.
    pub(super) fn new(now: Duration, info: EndpointInfo, cold_tokens: f64) -> Self {
        let opening = info.started_at.is_none();
        Endpoint {
            info,
            in_flight: 0,
            heat: Fading::default(),
            ill: false,
            drag: Fading::default(),
            limit: LIMIT_START,
            opening,
            limit_cut_at: now,
            heard: None,
            cold_tokens,
            cold_at: now,
        }
    }

    /// Takes what discovery says of it now.
    pub(super) fn update(&mut self, now: Duration, info: EndpointInfo) {
        if info.started_at != self.info.started_at {
            self.drag.value = 0.0;
            self.heat.value = 0.0; // another process: its forerunner's failures say nothing
            (self.cold_tokens, self.cold_at) = (0.0, now);
        }
        self.info = info;
    }

    /// Learns from an outcome how many own calls it may hold. Answers of its class usually take `usual`;
    /// while it opens, a timely one adds the part `share` of a step.
    pub(super) fn learn_limit(&mut self, now: Duration, judged: &Judged, usual: Duration, share: f64) {
        self.opening &= !judged.late;
        if judged.late && now >= self.limit_cut_at + usual {
            (self.limit, self.limit_cut_at) = ((self.limit * (1.0 - LIMIT_CUT)).max(1.0), now);
        } else if judged.answered && !judged.late && f64::from(self.in_flight) * 2.0 > self.limit {
            let step = match self.opening {
                true if self.limit < LIMIT_OPEN => 1.0,
                true if judged.elapsed * 2.0 < judged.late_after => LIMIT_ROUND,
                _ => 0.0,
            };
            self.limit += (step * share).max(1.0 / self.limit);
        }
    }

    /// Learns from an answer whose time is this multiple of its class's unhurried mean.
    pub(super) fn learn_drag(&mut self, now: Duration, multiple: f64, memory: f64) {
        let drag = self.drag.read(now, memory);
        // The longer ago the last answer, the more this one says.
        let weight = (1.0 - self.drag.left(now, DRAG_SECONDS)).clamp(DRAG_WEIGHT, 0.5);
        self.drag.set(now, drag + weight * (multiple - 1.0 - drag));
    }

    pub(super) fn is_ready(&self) -> bool {
        self.info.state == EndpointState::Ready
    }

    pub(super) fn add_heat(&mut self, now: Duration, memory: f64) {
        self.heat.set(now, (self.heat(now, memory) + FAILURE_HEAT).min(MAX_HEAT));
    }

    pub(super) fn heat(&self, now: Duration, memory: f64) -> f64 {
        let heat = self.heat.read(now, if self.ill { memory.max(HEAT_SECONDS) } else { HEAT_SECONDS });
        if heat < MIN_HEAT { 0.0 } else { heat }
    }
}

/// Own attempts out, and how many may be: keeps many balancers from adding up to a jam.
#[derive(Clone, Copy)]
pub(super) struct Window {
    pub(super) size: f64,
    pub(super) out: u32,
    pub(super) opening: bool,
    /// The most that was out of late.
    pub(super) used: Fading,
}

impl Window {
    pub(super) fn sent(&mut self, now: Duration) {
        self.out += 1;
        self.used.set(now, f64::from(self.out).max(self.used.read(now, USED_SECONDS)));
    }

    /// An attempt has ended. `part` is one call an endpoint, parted among all balancers. It is the least a
    /// window falls to, and the larger a window the less it gains: else what starts first measures idle
    /// servers, yields to what starts last and measured crowded ones, and is starved for good.
    pub(super) fn ended(&mut self, now: Duration, judged: &Judged, part: f64) {
        if judged.late {
            self.size = (self.size - WINDOW_CUT).max(part.max(1.0));
            self.opening = false;
        } else if judged.answered && f64::from(self.out) * WINDOW_SPARE > self.size {
            self.size += if self.opening { part.min(1.0) } else { WINDOW_GAIN * part / self.size };
        }
        let spare = (self.used.read(now, USED_SECONDS) * WINDOW_SPARE).max(WINDOW_START * part).max(1.0);
        self.size = self.size.min(spare);
        self.out = self.out.saturating_sub(1);
    }
}
