//! The course of a request: its attempts, and its final answer.

use super::*;

impl Balancer {
    pub(super) fn on_request(&mut self, now: Duration, request: Request, out: &mut Actions) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        self.arrivals.count(now, RATE_SECONDS);
        self.retry_tokens = (self.retry_tokens + RETRY_EARN).min(RETRY_SAVED);
        let class = request.class.0.min(self.settings.classes.len() - 1);
        let over_share = self.over_share(now, request.tenant.0);
        let mut part = if over_share { self.settings.over_share_value } else { 1.0 };
        if request.client_retry {
            part *= self.settings.classes[class].late_value.max(MIN_REPEAT);
        }
        let (arrived, deadline) = (now, now + request.time_left);
        let (attempts, due, finished, streaming) = Default::default();
        let pending = Pending { class, arrived, deadline, part, attempts, due, finished, streaming };
        self.requests.insert(id, pending);
        self.set_timer(deadline, Timer::Deadline(id));
        self.advance(now, id, out);
    }

    /// Sends a request that has no attempt out, or holds it, or gives it up.
    pub(super) fn advance(&mut self, now: Duration, id: RequestId, out: &mut Actions) {
        let Some(pending) = self.requests.get(&id) else { return };
        if pending.settled() {
            return;
        }
        let spent = pending.attempts.len() as u32 >= self.settings.limits.max_attempts;
        // A held repeat may have outlived the time in which its key is remembered: ask again here.
        let spent = spent || pending.deadline <= now || self.too_late(now, pending);
        if spent || !self.may_repeat(now, id) {
            return self.give_up(id, out);
        }
        let Some(i) = self.pick(now, id) else {
            let Some(pending) = self.requests.get(&id) else { return };
            self.held.entry(pending.group()).or_default().insert((pending.arrived, id));
            return self.set_recheck(now);
        };
        self.send(now, id, i, out);
    }

    /// Whether the answer to a request that has waited untried would come after the objective or the
    /// deadline, were it sent now.
    pub(super) fn too_late(&self, now: Duration, pending: &Pending) -> bool {
        let usual = Duration::from_secs_f64(self.latency[pending.class].mean());
        let objective = pending.arrived + self.settings.classes[pending.class].objective;
        pending.attempts.is_empty()
            && now > pending.arrived
            && now + usual > objective.min(pending.deadline)
    }

    pub(super) fn send(&mut self, now: Duration, id: RequestId, i: usize, out: &mut Actions) {
        let (cold_tokens, side) = (self.cold_tokens(now, i), self.side(i));
        let silent = self.silence.is_on(now);
        let heard = self.endpoints[i].heard;
        let mut idle = heard.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let reaped = self.silence.is_reaped(idle);
        let endpoint = &mut self.endpoints[i];
        let Some(pending) = self.requests.get_mut(&id) else { return };
        if silent && reaped {
            // Something on the way drops idle connections unseen; a handshake costs less than a lost call.
            out.push(Action::CloseIdle { endpoint: endpoint.info.id });
            endpoint.heard = None;
            idle = Duration::ZERO;
        }
        endpoint.in_flight += 1;
        self.windows[side].sent(now);
        (endpoint.cold_tokens, endpoint.cold_at) = (cold_tokens - 1.0, now);
        pending.attempts.push(Attempt {
            endpoint: endpoint.info.id,
            cell: endpoint.info.cell,
            zone: endpoint.info.zone,
            sent: now,
            idle,
            turn: self.latency[pending.class].sent(now),
            fate: Fate::Out,
        });
        let timeout = pending.deadline.saturating_sub(now);
        out.push(Action::Send { request: id, endpoint: endpoint.info.id, timeout });
        let (number, class) = (AttemptNo(pending.attempts.len() as u32 - 1), pending.class);
        let overdue = self.latency[class].overdue(if silent { OVERDUE_SPREADS } else { SILENT_SPREADS });
        if let Some(overdue) = overdue.filter(|overdue| *overdue < timeout) {
            self.set_timer(now + overdue, Timer::Overdue(id, number));
        }
    }

    /// Rule 2: whether a further attempt is allowed at all.
    pub(super) fn may_repeat(&self, now: Duration, id: RequestId) -> bool {
        let Some(pending) = self.requests.get(&id) else { return false };
        let ran = pending.may_have_run().next();
        match (self.settings.classes[pending.class].semantics, ran) {
            (_, None) | (Semantics::Safe, _) => true,
            (Semantics::Unsafe, Some(_)) => false,
            (Semantics::Keyed { window, .. }, Some(first)) => now < first.sent + window,
        }
    }

    /// The last word on a request that can't be served: a refusal where that is true, else a failure.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Actions) {
        let Some(pending) = self.requests.get(&id) else { return };
        if pending.settled() {
            return;
        }
        let may_have_run = pending.may_have_run().next().is_some();
        let harmless = match self.settings.classes[pending.class].semantics {
            Semantics::Safe => true,
            Semantics::Keyed { scope, .. } => scope == DedupScope::All || !may_have_run,
            Semantics::Unsafe => !may_have_run,
        };
        // The time in which a place comes free.
        let usual = Duration::from_secs_f64(self.latency[pending.class].mean()).max(HOLD_RECHECK);
        let retry_after = self.settings.limits.capped_retry_after(usual);
        let refusal = Action::Refuse { request: id, retry_after };
        out.push(if harmless { refusal } else { Action::Fail { request: id } });
        self.finish(id, out);
    }

    /// Marks a request finished, stops what is still out for it, and forgets it if nothing is.
    pub(super) fn finish(&mut self, id: RequestId, out: &mut Actions) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        if !pending.finished {
            pending.finished = true;
            for due in pending.due.drain(..) {
                self.timers.remove(&due);
            }
            for (number, attempt) in pending.attempts.iter().enumerate() {
                if attempt.fate == Fate::Out && !pending.streaming && self.settings.limits.cancellation {
                    out.push(Action::Cancel { request: id, attempt: AttemptNo(number as u32) });
                }
            }
        }
        self.unhold(id);
        self.forget(id);
    }

    pub(super) fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|p| p.finished && p.none_out()) {
            self.requests.remove(&id);
        }
    }
}
