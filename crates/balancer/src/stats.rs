//! Statistics: exponentially decaying values, latencies of a class, seeded random numbers.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::VecDeque;
use std::time::Duration;

/// Answers of a class that are averaged evenly; with fewer, its mean is not used for timeouts.
pub(crate) const LATENCY_WARMUP_ANSWERS: u32 = 20;
/// Weight of one latency in the running mean.
const LATENCY_WEIGHT: f64 = 0.05;
/// Calls after which the baseline no longer rises with the mean at once. Fewer than for the mean: with many
/// balancers of few calls each, an overload can form before twenty answers and would be taken for normal.
const BASELINE_WARMUP_CALLS: u32 = 5;
/// Time constant with which the baseline rises to the mean. By time rather than per call, and slow: otherwise
/// a lasting overload would become the baseline, the sooner the more calls a balancer has.
const BASELINE_RISE_SECONDS: f64 = 60.0;

/// A value as of `at` that decays exponentially. Time constants are in seconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct Decaying {
    pub(crate) value: f64,
    at: Duration,
}

/// The fraction of a value that is left after `seconds`.
fn decay_factor(seconds: f64, time_constant: f64) -> f64 {
    (-seconds / time_constant).exp()
}

impl Decaying {
    pub(crate) fn read(&self, now: Duration, time_constant: f64) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * decay_factor(now.saturating_sub(self.at).as_secs_f64(), time_constant)
    }

    /// The fraction of the last value set that is left.
    pub(crate) fn retained(&self, now: Duration, time_constant: f64) -> f64 {
        decay_factor(now.saturating_sub(self.at).as_secs_f64(), time_constant)
    }

    pub(crate) fn set(&mut self, now: Duration, value: f64) {
        (self.value, self.at) = (value, now);
    }

    /// Counts one event; reading with the same time constant gives the rate per second.
    pub(crate) fn count(&mut self, now: Duration, seconds: f64) {
        self.set(now, self.read(now, seconds) + 1.0 / seconds);
    }

    /// The rate per second, corrected for counting that began only at `began`.
    pub(crate) fn rate(&self, now: Duration, seconds: f64, began: Duration) -> f64 {
        let age = now.saturating_sub(began).as_secs_f64().max(0.5);
        self.read(now, seconds) / (1.0 - decay_factor(age, seconds))
    }
}

/// A mean of latencies in seconds: an even average of the first ones, then exponentially weighted.
#[derive(Clone, Copy, Default)]
struct Mean {
    seconds: f64,
    samples: u32,
}

impl Mean {
    fn weight(&self) -> f64 {
        if self.samples < LATENCY_WARMUP_ANSWERS {
            1.0 / f64::from(self.samples + 1)
        } else {
            LATENCY_WEIGHT
        }
    }

    fn add(&mut self, seconds: f64) {
        self.seconds += self.weight() * (seconds - self.seconds);
        self.samples = self.samples.saturating_add(1);
    }
}

/// Sequence number of a call in send order, within its class.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct CallSeq(u64);

/// State of a call.
#[derive(Clone, Copy)]
pub(crate) enum Call {
    InFlight(Duration),
    Answered(f64),
    /// Ended without an answer that measures latency.
    Unanswered,
}

/// Latencies of a class in seconds: a mean in order of arrival, and a baseline (least recent mean) in send
/// order. After a start the shortest calls are answered first, so a baseline in order of arrival was a third
/// of the true mean where work is long and uneven; half of all answers then counted as late (second
/// deployment: 40 to 56 % refused at 70 % of the fleet's capacity).
#[derive(Clone, Default)]
pub(crate) struct Latency {
    mean: Mean,
    /// Mean absolute deviation from the mean.
    mean_deviation: f64,
    /// Calls in send order, from the first one still in flight.
    pub(crate) calls: VecDeque<Call>,
    /// Sequence number of the first of `calls`.
    first_seq: u64,
    by_send_order: Mean,
    baseline: f64,
    at: Duration,
}

impl Latency {
    /// Mean of the recent answers; 0 before any.
    pub(crate) fn mean(&self) -> f64 {
        self.mean.seconds
    }

    /// The mean plus `deviations` mean deviations; `None` before enough answers. The deviation counts as a
    /// quarter of the mean at least: where all answers take equally long, the next may still be a bit later.
    pub(crate) fn overdue(&self, deviations: f64) -> Option<Duration> {
        let seconds = self.mean() + deviations * self.mean_deviation.max(self.mean() / 4.0);
        (self.mean.samples >= LATENCY_WARMUP_ANSWERS).then(|| Duration::from_secs_f64(seconds))
    }

    /// The least recent mean in send order; `None` before enough calls have ended.
    pub(crate) fn baseline(&self) -> Option<f64> {
        (self.by_send_order.samples >= BASELINE_WARMUP_CALLS).then_some(self.baseline)
    }

    /// The baseline, or the mean while there is none; 0 before any answer.
    pub(crate) fn typical(&self) -> f64 {
        self.baseline().unwrap_or(self.mean())
    }

    /// Records a sent call.
    pub(crate) fn sent(&mut self, now: Duration) -> CallSeq {
        self.calls.push_back(Call::InFlight(now));
        CallSeq(self.first_seq + self.calls.len() as u64 - 1)
    }

    /// Records the end of a call, with the seconds until its answer if there was one. A call in flight for
    /// `max_wait` counts as having taken that long, so that it does not hold up those sent after it.
    pub(crate) fn ended(&mut self, now: Duration, seq: CallSeq, answered: Option<f64>, max_wait: Duration) {
        if let Some(seconds) = answered {
            self.mean_deviation +=
                self.mean.weight() * ((seconds - self.mean()).abs() - self.mean_deviation);
            self.mean.add(seconds);
        }
        let position = seq.0.checked_sub(self.first_seq).map(|position| position as usize);
        if let Some(call) = position.and_then(|position| self.calls.get_mut(position)) {
            *call = answered.map_or(Call::Unanswered, Call::Answered);
        }
        while let Some(call) = self.calls.front() {
            match *call {
                Call::InFlight(at) if now < at + max_wait => break,
                Call::InFlight(_) => self.add_in_send_order(now, max_wait.as_secs_f64()),
                Call::Answered(seconds) => self.add_in_send_order(now, seconds),
                Call::Unanswered => {}
            }
            self.calls.pop_front();
            self.first_seq += 1;
        }
    }

    fn add_in_send_order(&mut self, now: Duration, seconds: f64) {
        let kept = decay_factor(now.saturating_sub(self.at).as_secs_f64(), BASELINE_RISE_SECONDS);
        self.at = now;
        self.by_send_order.add(seconds);
        let mean = self.by_send_order.seconds;
        self.baseline = mean + kept * (self.baseline - mean);
        if self.by_send_order.samples <= BASELINE_WARMUP_CALLS || mean < self.baseline {
            self.baseline = mean;
        }
    }
}

/// Random number generator of a balancer, seeded.
pub(crate) struct Rng(Pcg32);

impl Rng {
    pub(crate) fn new(seed: u64) -> Self {
        Rng(Pcg32::seed_from_u64(seed))
    }

    /// A uniform draw from `0.0..1.0`.
    pub(crate) fn uniform(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// A uniform draw from `0..n`, unbiased by rejection.
    pub(crate) fn below(&mut self, n: usize) -> usize {
        let n = n as u32;
        let limit = u32::MAX - u32::MAX % n;
        loop {
            let draw = self.0.next_u32();
            if draw < limit {
                return (draw % n) as usize;
            }
        }
    }
}
