//! Detection of lost attempts, whose answers never come, and hedging against them.

use super::*;

/// Estimates whether attempts are being lost.
#[derive(Default)]
pub(super) struct LossDetector {
    /// Recently lost attempts, minus a credit for each answer.
    level: Decaying,
    late_fraction: f64,
    /// Evidence that idle connections are dropped silently, and the idle time from which they are.
    idle_loss: f64,
    idle_dropped_after: Option<Duration>,
}

impl LossDetector {
    /// Whether attempts are lost while other answers are timely: dead machines, silently dropped connections,
    /// a class that gets no answers. Under overload answers are late, and hedging would add to the load.
    pub(super) fn is_suspected(&self, now: Duration) -> bool {
        self.late_fraction < MAX_LATE_FRACTION && self.level.read(now, LOSS_SECONDS) >= LOSS_THRESHOLD
    }

    /// Records a lost attempt whose connection had been idle this long.
    fn record(&mut self, now: Duration, idle: Duration) {
        self.level.set(now, (self.level.read(now, LOSS_SECONDS) + 1.0).min(MAX_LOSS));
        if idle.is_zero() {
            self.idle_loss -= 1.0;
        } else {
            self.idle_loss = (self.idle_loss + 1.0).min(MAX_LOSS);
            self.idle_dropped_after = Some(self.idle_dropped_after.map_or(idle, |known| known.min(idle)));
        }
    }

    /// Records an answer.
    pub(super) fn record_answer(&mut self, now: Duration, slow: bool) {
        let level = self.level.read(now, LOSS_SECONDS) - ANSWER_CREDIT;
        self.level.set(now, level.max(0.0));
        self.late_fraction += ANSWER_WEIGHT * (f64::from(u8::from(slow)) - self.late_fraction);
    }

    /// Records an ended attempt whose connection had been idle this long.
    pub(super) fn record_idle_result(&mut self, answered: bool, idle: Duration) {
        if answered && self.is_idle_dropped(idle) {
            self.idle_loss -= IDLE_ANSWER_CREDIT;
        }
        if self.idle_loss < 1.0 {
            (self.idle_dropped_after, self.idle_loss) = (None, self.idle_loss.max(0.0));
        }
    }

    /// Whether connections idle for this long appear to be dropped silently.
    pub(super) fn is_idle_dropped(&self, idle: Duration) -> bool {
        self.idle_dropped_after.is_some_and(|after| idle >= after)
    }
}

impl Balancer {
    /// Records an attempt that a later one overtook, or that is overdue, as lost.
    pub(super) fn record_loss(&mut self, now: Duration, attempt: Attempt) {
        self.loss.record(now, attempt.idle);
        if let Some(&i) = self.index.get(&attempt.endpoint) {
            self.endpoints[i].add_penalty(now, self.decay_s);
        }
    }

    /// Hedges an overdue attempt with a second one, or where that is not allowed cancels it to retry.
    pub(super) fn hedge(&mut self, now: Duration, id: RequestId, number: AttemptNo, out: &mut Actions) {
        let Some(pending) = self.requests.get(&id) else { return };
        let n = number.0 as usize;
        let (attempt, tries) = (pending.attempts[n], pending.attempts.len());
        if pending.is_settled() || attempt.state != Exec::InFlight || tries > n + 1 {
            return;
        }
        let Some(threshold) = self.latency[pending.class].overdue(LOST_DEVIATIONS) else { return };
        // A single lost attempt is hedged too, since answers may be lost at random. Retry tokens bound the
        // extra load, which would hurt where work is so uneven that answers often take this long.
        let lost = now + self.settings.clock_resolution >= attempt.sent + threshold
            && self.loss.late_fraction < MAX_LATE_FRACTION;
        if lost {
            self.record_loss(now, attempt);
        }
        let (limits, hedging) = (&self.settings.limits, self.settings.limits.hedging);
        let affordable = tries < limits.max_attempts as usize && self.retry_tokens >= 1.0;
        let wanted = lost && hedging || self.loss.is_suspected(now);
        if !affordable || !wanted || !self.may_retry(now, id) {
            return;
        }
        if !hedging && limits.cancellation {
            out.push(Action::Cancel { request: id, attempt: number });
        } else if hedging && let Some(i) = self.choose(now, id) {
            self.retry_tokens -= 1.0;
            self.send(now, id, i, out);
        }
    }
}
