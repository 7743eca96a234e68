//! Handling of ended attempts: what their outcome says of endpoints, and whether to retry.

use super::*;

/// An outcome, assessed against the usual latency of its class.
pub(super) struct Assessed {
    pub(super) answered: bool,
    /// Seconds until it came, and seconds after which it is slow.
    pub(super) elapsed: f64,
    pub(super) late_after: f64,
    slow: bool,
    /// Whether it signals overload.
    pub(super) late: bool,
}

impl Balancer {
    pub(super) fn on_attempt_ended(&mut self, now: Duration, ended: AttemptEnded, out: &mut Actions) {
        let id = ended.request;
        let Some((class, attempt)) = self.close_attempt(&ended) else { return };
        let answered = ended.outcome == Outcome::Ok;
        let seconds = answered.then_some(ended.elapsed.as_secs_f64());
        let max_wait = self.objective_limit(class);
        self.latency[class].ended(now, attempt.seq, seconds, max_wait);
        self.loss.record_idle_result(answered, attempt.idle);
        let overtaken = |p: &Pending| {
            p.attempts[..ended.attempt.0 as usize].iter().copied().find(|a| a.state == Exec::InFlight)
        };
        if answered && let Some(lost) = self.requests.get(&id).and_then(overtaken) {
            self.record_loss(now, lost);
        }
        self.record_outcome(now, attempt.endpoint, class, &ended);
        if ended.finished {
            self.finish(id, out);
        }
        if self.requests.get(&id).is_some_and(|p| !p.is_settled() && p.none_in_flight()) {
            self.retry_or_give_up(now, id, ended.outcome, out);
        }
        self.forget(id);
        self.dispatch_queued(now, out);
    }

    /// Marks an attempt as ended; returns its class and itself, or `None` for a duplicate event.
    fn close_attempt(&mut self, ended: &AttemptEnded) -> Option<(usize, Attempt)> {
        let pending = self.requests.get_mut(&ended.request)?;
        let attempt = pending.attempts.get_mut(ended.attempt.0 as usize)?;
        if attempt.state != Exec::InFlight {
            return None;
        }
        attempt.state = if ended.outcome.never_ran() { Exec::NotExecuted } else { Exec::MaybeExecuted };
        Some((pending.class, *attempt))
    }

    fn retry_or_give_up(&mut self, now: Duration, id: RequestId, outcome: Outcome, out: &mut Actions) {
        // Resending an attempt that was never sent costs no retry token.
        let cost = if outcome == Outcome::NotSent { 0.0 } else { 1.0 };
        if self.retry_tokens >= cost && self.may_retry(now, id) {
            self.retry_tokens -= cost;
            self.advance(now, id, out);
        } else {
            self.give_up(id, out);
        }
    }

    /// Updates the windows and the endpoint's state from an outcome.
    fn record_outcome(&mut self, now: Duration, id: EndpointId, class: usize, ended: &AttemptEnded) {
        let Some(&i) = self.index.get(&id) else { return };
        let assessed = self.assess(now, class, ended);
        let (fair_share, side) = (self.fair_share(), self.side(i));
        self.windows[side].ended(now, &assessed, fair_share);
        let typical = Duration::from_secs_f64(self.latency[class].mean());
        let step_fraction = (SUBSET_CALLERS / f64::from(self.settings.balancers.max(1))).min(1.0);
        let endpoint = &mut self.endpoints[i];
        endpoint.update_limit(now, &assessed, typical, step_fraction);
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        match ended.outcome {
            Outcome::Ok => self.record_answer(now, i, class, &assessed),
            Outcome::Cancelled | Outcome::NotSent => {}
            outcome => {
                endpoint.add_penalty(now, self.decay_s);
                endpoint.failing = outcome == Outcome::Error;
            }
        }
    }

    fn assess(&self, now: Duration, class: usize, ended: &AttemptEnded) -> Assessed {
        let (elapsed, suspect) = (ended.elapsed.as_secs_f64(), self.loss.is_suspected(now));
        let late_after = self.late_after(class);
        let slow = elapsed > late_after;
        let late = match ended.outcome {
            Outcome::Ok => self.settings.tier == 0 && slow,
            Outcome::Error | Outcome::Reset => slow,
            Outcome::Cancelled => slow && !suspect,
            Outcome::TimedOut => !suspect,
            outcome => outcome == Outcome::Rejected,
        };
        Assessed { answered: ended.outcome == Outcome::Ok, elapsed, late_after, slow, late }
    }

    fn record_answer(&mut self, now: Duration, i: usize, class: usize, assessed: &Assessed) {
        self.loss.record_answer(now, assessed.slow);
        let multiple = assessed.elapsed / self.latency[class].typical().max(1e-6);
        let endpoint = &mut self.endpoints[i];
        (endpoint.last_answer, endpoint.failing) = (Some(now), false);
        endpoint.update_excess_latency(now, multiple, self.decay_s);
        if self.capacity(now, i) >= 1.0 {
            self.record_served(now);
        }
    }

    /// Seconds after which an answer signals overload.
    fn late_after(&self, class: usize) -> f64 {
        let by_objective = self.objective_limit(class).as_secs_f64();
        let baseline = self.latency[class].baseline();
        baseline.map_or(by_objective, |mean| by_objective.min((mean * LATE_MULTIPLE).max(MIN_LATE_SECONDS)))
    }

    /// The part of the class's objective that an answer may take before it is late.
    fn objective_limit(&self, class: usize) -> Duration {
        self.settings.classes[class].objective.mul_f64(LATE_OBJECTIVE_FRACTION)
    }
}
