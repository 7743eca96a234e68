//! The lifecycle of a request: its attempts and its final answer.

use super::*;

impl Balancer {
    pub(super) fn on_request(&mut self, now: Duration, request: Request, out: &mut Actions) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        self.arrivals.count(now, RATE_SECONDS);
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_EARNED).min(MAX_RETRY_TOKENS);
        let class = request.class.0.min(self.settings.classes.len() - 1);
        let over_share = self.over_share(now, request.tenant.0);
        let mut value_share = if over_share { self.settings.over_share_value } else { 1.0 };
        if request.client_retry {
            value_share *= self.settings.classes[class].late_value.max(MIN_RETRY_VALUE);
        }
        let (arrived, deadline) = (now, now + request.time_left);
        let (attempts, timers, finished, streaming) = Default::default();
        let pending =
            Pending { class, arrived, deadline, value_share, attempts, timers, finished, streaming };
        self.requests.insert(id, pending);
        self.set_timer(deadline, Timer::Deadline(id));
        self.advance(now, id, out);
    }

    /// Sends a request that has no attempt in flight, or queues it, or gives it up.
    pub(super) fn advance(&mut self, now: Duration, id: RequestId, out: &mut Actions) {
        let Some(pending) = self.requests.get(&id) else { return };
        if pending.is_settled() {
            return;
        }
        let exhausted = pending.attempts.len() as u32 >= self.settings.limits.max_attempts;
        // While it was queued, the deduplication window of a retried request may have ended.
        let exhausted = exhausted || pending.deadline <= now || self.too_late(now, pending);
        if exhausted || !self.may_retry(now, id) {
            return self.give_up(id, out);
        }
        let Some(i) = self.choose(now, id) else {
            let Some(pending) = self.requests.get(&id) else { return };
            self.queue.entry(pending.value_class()).or_default().insert((pending.arrived, id));
            return self.set_recheck(now);
        };
        self.send(now, id, i, out);
    }

    /// Whether a queued request without attempts would miss its objective or deadline if it were sent now.
    pub(super) fn too_late(&self, now: Duration, pending: &Pending) -> bool {
        let typical = Duration::from_secs_f64(self.latency[pending.class].mean());
        let objective = pending.arrived + self.settings.classes[pending.class].objective;
        pending.attempts.is_empty()
            && now > pending.arrived
            && now + typical > objective.min(pending.deadline)
    }

    pub(super) fn send(&mut self, now: Duration, id: RequestId, i: usize, out: &mut Actions) {
        let (cold_tokens, side) = (self.cold_tokens(now, i), self.side(i));
        let suspect = self.loss.is_suspected(now);
        let last_answer = self.endpoints[i].last_answer;
        let mut idle = last_answer.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let idle_dropped = self.loss.is_idle_dropped(idle);
        let endpoint = &mut self.endpoints[i];
        let Some(pending) = self.requests.get_mut(&id) else { return };
        if suspect && idle_dropped {
            // A middlebox drops idle connections silently; a handshake costs less than a lost call.
            out.push(Action::CloseIdle { endpoint: endpoint.info.id });
            endpoint.last_answer = None;
            idle = Duration::ZERO;
        }
        endpoint.in_flight += 1;
        self.windows[side].sent(now);
        (endpoint.cold_tokens, endpoint.cold_tokens_at) = (cold_tokens - 1.0, now);
        pending.attempts.push(Attempt {
            endpoint: endpoint.info.id,
            cell: endpoint.info.cell,
            zone: endpoint.info.zone,
            sent: now,
            idle,
            seq: self.latency[pending.class].sent(now),
            state: Exec::InFlight,
        });
        let timeout = pending.deadline.saturating_sub(now);
        out.push(Action::Send { request: id, endpoint: endpoint.info.id, timeout });
        let (number, class) = (AttemptNo(pending.attempts.len() as u32 - 1), pending.class);
        let overdue = self.latency[class].overdue(if suspect { HEDGE_DEVIATIONS } else { LOST_DEVIATIONS });
        if let Some(overdue) = overdue.filter(|overdue| *overdue < timeout) {
            self.set_timer(now + overdue, Timer::Overdue(id, number));
        }
    }

    /// Whether rule 2 (retry safety) allows a further attempt.
    pub(super) fn may_retry(&self, now: Duration, id: RequestId) -> bool {
        let Some(pending) = self.requests.get(&id) else { return false };
        let ran = pending.maybe_executed().next();
        match (self.settings.classes[pending.class].semantics, ran) {
            (_, None) | (Semantics::Safe, _) => true,
            (Semantics::Unsafe, Some(_)) => false,
            (Semantics::Keyed { window, .. }, Some(first)) => now < first.sent + window,
        }
    }

    /// Answers a request that can't be served: a refusal where a client retry is safe, else a failure.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Actions) {
        let Some(pending) = self.requests.get(&id) else { return };
        if pending.is_settled() {
            return;
        }
        let maybe_executed = pending.maybe_executed().next().is_some();
        let retry_safe = match self.settings.classes[pending.class].semantics {
            Semantics::Safe => true,
            Semantics::Keyed { scope, .. } => scope == DedupScope::All || !maybe_executed,
            Semantics::Unsafe => !maybe_executed,
        };
        // The time in which a slot is expected to become free.
        let typical = Duration::from_secs_f64(self.latency[pending.class].mean()).max(QUEUE_RECHECK);
        let retry_after = self.settings.limits.capped_retry_after(typical);
        let refusal = Action::Refuse { request: id, retry_after };
        out.push(if retry_safe { refusal } else { Action::Fail { request: id } });
        self.finish(id, out);
    }

    /// Marks a request finished and cancels its attempts; forgets it once none is in flight.
    pub(super) fn finish(&mut self, id: RequestId, out: &mut Actions) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        if !pending.finished {
            pending.finished = true;
            for key in pending.timers.drain(..) {
                self.timers.remove(&key);
            }
            for (number, attempt) in pending.attempts.iter().enumerate() {
                if attempt.state == Exec::InFlight
                    && !pending.streaming
                    && self.settings.limits.cancellation
                {
                    out.push(Action::Cancel { request: id, attempt: AttemptNo(number as u32) });
                }
            }
        }
        self.dequeue(id);
        self.forget(id);
    }

    pub(super) fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|p| p.finished && p.none_in_flight()) {
            self.requests.remove(&id);
        }
    }
}
