//! What the end of an attempt teaches, and what becomes of its request.

use super::*;

/// An outcome, judged by what answers of its class usually take.
pub(super) struct Judged {
    pub(super) answered: bool,
    /// Seconds that it took, and after which it is slow.
    pub(super) elapsed: f64,
    pub(super) late_after: f64,
    slow: bool,
    /// It says that servers hold too much.
    pub(super) late: bool,
}

impl Balancer {
    pub(super) fn on_attempt_ended(&mut self, now: Duration, ended: AttemptEnded, out: &mut Actions) {
        let id = ended.request;
        let Some((class, attempt)) = self.close_attempt(&ended) else { return };
        let answered = ended.outcome == Outcome::Ok;
        let seconds = answered.then_some(ended.elapsed.as_secs_f64());
        let longest = self.objective_part(class);
        self.latency[class].ended(now, attempt.turn, seconds, longest);
        self.silence.judge_idle_connection(answered, attempt.idle);
        let overtaken = |p: &Pending| {
            p.attempts[..ended.attempt.0 as usize].iter().copied().find(|a| a.fate == Fate::Out)
        };
        if answered && let Some(silent) = self.requests.get(&id).and_then(overtaken) {
            self.note_silence(now, silent);
        }
        self.learn(now, attempt.endpoint, class, &ended);
        if ended.finished {
            self.finish(id, out);
        }
        if self.requests.get(&id).is_some_and(|p| !p.settled() && p.none_out()) {
            self.retry_or_give_up(now, id, ended.outcome, out);
        }
        self.forget(id);
        self.release_held(now, out);
    }

    /// Notes an attempt's fate: its class and itself, or nothing for an outcome that was told before.
    fn close_attempt(&mut self, ended: &AttemptEnded) -> Option<(usize, Attempt)> {
        let pending = self.requests.get_mut(&ended.request)?;
        let attempt = pending.attempts.get_mut(ended.attempt.0 as usize)?;
        if attempt.fate != Fate::Out {
            return None;
        }
        attempt.fate = if ended.outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        Some((pending.class, *attempt))
    }

    fn retry_or_give_up(&mut self, now: Duration, id: RequestId, outcome: Outcome, out: &mut Actions) {
        // What was never sent is no retry.
        let price = if outcome == Outcome::NotSent { 0.0 } else { 1.0 };
        if self.retry_tokens >= price && self.may_repeat(now, id) {
            self.retry_tokens -= price;
            self.advance(now, id, out);
        } else {
            self.give_up(id, out);
        }
    }

    /// Lets an outcome speak for or against its endpoint.
    fn learn(&mut self, now: Duration, id: EndpointId, class: usize, ended: &AttemptEnded) {
        let Some(&i) = self.index.get(&id) else { return };
        let judged = self.judge(now, class, ended);
        let (part, side) = (self.part(), self.side(i));
        self.windows[side].ended(now, &judged, part);
        let usual = Duration::from_secs_f64(self.latency[class].mean());
        let opening_part = (PART_CALLERS / f64::from(self.settings.balancers.max(1))).min(1.0);
        let endpoint = &mut self.endpoints[i];
        endpoint.learn_limit(now, &judged, usual, opening_part);
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        match ended.outcome {
            Outcome::Ok => self.learn_from_answer(now, i, class, &judged),
            Outcome::Cancelled | Outcome::NotSent => {}
            outcome => {
                endpoint.add_heat(now, self.memory);
                endpoint.ill = outcome == Outcome::Error;
            }
        }
    }

    fn judge(&self, now: Duration, class: usize, ended: &AttemptEnded) -> Judged {
        let (elapsed, silent) = (ended.elapsed.as_secs_f64(), self.silence.is_on(now));
        let late_after = self.late_after(class);
        let slow = elapsed > late_after;
        let late = match ended.outcome {
            Outcome::Ok => self.settings.tier == 0 && slow,
            Outcome::Error | Outcome::Reset => slow,
            Outcome::Cancelled => slow && !silent,
            Outcome::TimedOut => !silent,
            outcome => outcome == Outcome::Rejected,
        };
        Judged { answered: ended.outcome == Outcome::Ok, elapsed, late_after, slow, late }
    }

    fn learn_from_answer(&mut self, now: Duration, i: usize, class: usize, judged: &Judged) {
        self.silence.refute(now, judged.slow);
        let multiple = judged.elapsed / self.latency[class].usual().max(1e-6);
        let endpoint = &mut self.endpoints[i];
        (endpoint.heard, endpoint.ill) = (Some(now), false);
        endpoint.learn_drag(now, multiple, self.memory);
        if self.warmth(now, i) >= 1.0 {
            self.prove(now);
        }
    }

    /// Seconds after which an answer says that servers hold too much.
    fn late_after(&self, class: usize) -> f64 {
        let by_objective = self.objective_part(class).as_secs_f64();
        let unhurried = self.latency[class].unhurried();
        unhurried.map_or(by_objective, |mean| by_objective.min((mean * LATE_MULTIPLE).max(MIN_LATE)))
    }

    /// The part of its objective that an answer may take at most.
    fn objective_part(&self, class: usize) -> Duration {
        self.settings.classes[class].objective.mul_f64(LATE_PART)
    }
}
