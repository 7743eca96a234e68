//! Small tools that decide nothing: a value that fades, what a class's answers take, seeded draws.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::VecDeque;
use std::time::Duration;

/// The first latencies of a class, averaged evenly: before so many its mean is not yet judged by.
pub(crate) const LATENCY_WARMUP_ANSWERS: u32 = 20;
/// Weight of one latency in the running mean.
const LATENCY_WEIGHT: f64 = 0.05;
/// Calls after which the unhurried mean only falls with the mean: where each of many balancers has few calls,
/// a jam can form before twenty answers have come, and would pass for normal.
const BASELINE_WARMUP_CALLS: u32 = 5;
/// Seconds in which the least mean rises by two thirds of the way to the mean: by time and slowly, or a jam
/// would pass for normal, the sooner the more calls a balancer has.
const BASELINE_RISE_SECONDS: f64 = 60.0;

/// A value, as of `at`, that falls to a third in a stated number of seconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct Decaying {
    pub(crate) value: f64,
    at: Duration,
}

/// What is left of a value after so many seconds, if it falls to a third in `time_constant`.
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

    /// What is left of any value that was set then.
    pub(crate) fn retained(&self, now: Duration, time_constant: f64) -> f64 {
        decay_factor(now.saturating_sub(self.at).as_secs_f64(), time_constant)
    }

    pub(crate) fn set(&mut self, now: Duration, value: f64) {
        (self.value, self.at) = (value, now);
    }

    /// Counts one more: what is read with the same `seconds` is then the rate a second.
    pub(crate) fn count(&mut self, now: Duration, seconds: f64) {
        self.set(now, self.read(now, seconds) + 1.0 / seconds);
    }

    /// The rate a second, put right for the counting not having gone on for long yet.
    pub(crate) fn rate(&self, now: Duration, seconds: f64, began: Duration) -> f64 {
        let age = now.saturating_sub(began).as_secs_f64().max(0.5);
        self.read(now, seconds) / (1.0 - decay_factor(age, seconds))
    }
}

/// A mean of latencies, in seconds: even over the first ones, then of the last ones.
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

/// A call's place in the order of sending, within its class.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct CallSeq(u64);

/// What became of a call.
#[derive(Clone, Copy)]
pub(crate) enum Call {
    InFlight(Duration),
    Answered(f64),
    /// Ended without an answer that says what work takes.
    Unanswered,
}

/// What the answers to a class's calls take, in seconds: in the order of their coming, and, for the unhurried
/// mean, in the order of sending. What comes first after a start is what took least, whatever else is still
/// out: the least mean by order of coming was a third of the true one where work is long and uneven, and half
/// of all answers then passed for late (the second deployment: 40 to 56 in 100 refused at seven tenths of
/// what the fleet can do).
#[derive(Clone, Default)]
pub(crate) struct Latency {
    mean: Mean,
    /// Mean distance from the mean.
    mean_deviation: f64,
    /// Calls from the first one still out on.
    pub(crate) calls: VecDeque<Call>,
    /// The turn of the first of `calls`.
    first_seq: u64,
    by_send_order: Mean,
    baseline: f64,
    at: Duration,
}

impl Latency {
    /// Mean of the latest answers; 0 before any.
    pub(crate) fn mean(&self) -> f64 {
        self.mean.seconds
    }

    /// The mean and so many times the mean distance from it, which is never taken for less than a quarter of
    /// the mean: where all answers take alike, the next one may still be a little later. None before enough
    /// answers were seen.
    pub(crate) fn overdue(&self, deviations: f64) -> Option<Duration> {
        let seconds = self.mean() + deviations * self.mean_deviation.max(self.mean() / 4.0);
        (self.mean.samples >= LATENCY_WARMUP_ANSWERS).then(|| Duration::from_secs_f64(seconds))
    }

    /// The least mean of late, by the order of sending; none before enough calls have ended.
    pub(crate) fn baseline(&self) -> Option<f64> {
        (self.by_send_order.samples >= BASELINE_WARMUP_CALLS).then_some(self.baseline)
    }

    /// The unhurried mean, or the mean so far; 0 before any answer.
    pub(crate) fn typical(&self) -> f64 {
        self.baseline().unwrap_or(self.mean())
    }

    /// A call goes out.
    pub(crate) fn sent(&mut self, now: Duration) -> CallSeq {
        self.calls.push_back(Call::InFlight(now));
        CallSeq(self.first_seq + self.calls.len() as u64 - 1)
    }

    /// A call has ended, with an answer after so many seconds or without one. Calls behind one that is out for
    /// `max_wait` no longer wait for it: it counts as having taken so long.
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

/// Random numbers from a balancer's own seed.
pub(crate) struct Rng(Pcg32);

impl Rng {
    pub(crate) fn new(seed: u64) -> Self {
        Rng(Pcg32::seed_from_u64(seed))
    }

    /// An even draw from `0.0..1.0`.
    pub(crate) fn uniform(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// An unbiased draw from `0..n`, by rejection.
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
