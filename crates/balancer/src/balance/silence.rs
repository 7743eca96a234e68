//! Attempts that stay without an answer.

use super::*;

/// What is known of attempts that stay without an answer.
#[derive(Default)]
pub(super) struct Silence {
    /// Attempts lately without an answer, less what answers refute.
    level: Fading,
    late_share: f64,
    /// How far silence goes with connections that lay idle, and from how long on.
    stale: f64,
    reaped_after: Option<Duration>,
}

impl Silence {
    /// Whether answers fail to come while those that come are timely: dead machines, connections dropped
    /// unseen, a class swallowed. In a jam answers come late, and copies would only feed it.
    pub(super) fn is_on(&self, now: Duration) -> bool {
        self.late_share < LATE_SHARE && self.level.read(now, SILENCE_SECONDS) >= SILENCE_ACTS
    }

    /// An attempt stays without an answer; its connection had lain idle for so long.
    fn note(&mut self, now: Duration, idle: Duration) {
        self.level.set(now, (self.level.read(now, SILENCE_SECONDS) + 1.0).min(MAX_SILENCE));
        if idle.is_zero() {
            self.stale -= 1.0;
        } else {
            self.stale = (self.stale + 1.0).min(MAX_SILENCE);
            self.reaped_after = Some(self.reaped_after.map_or(idle, |known| known.min(idle)));
        }
    }

    /// An answer has come, on time or late.
    pub(super) fn refute(&mut self, now: Duration, slow: bool) {
        let level = self.level.read(now, SILENCE_SECONDS) - SILENCE_REFUTED;
        self.level.set(now, level.max(0.0));
        self.late_share += DRAG_WEIGHT * (f64::from(u8::from(slow)) - self.late_share);
    }

    /// An attempt has ended, on a connection that had lain idle for so long.
    pub(super) fn judge_idle_connection(&mut self, answered: bool, idle: Duration) {
        if answered && self.is_reaped(idle) {
            self.stale -= STALE_REFUTED;
        }
        if self.stale < 1.0 {
            (self.reaped_after, self.stale) = (None, self.stale.max(0.0));
        }
    }

    /// Whether connections that lay idle for so long seem to be dropped unseen.
    pub(super) fn is_reaped(&self, idle: Duration) -> bool {
        self.reaped_after.is_some_and(|after| idle >= after)
    }
}

impl Balancer {
    /// An attempt was overtaken, or is out for far longer than any answer takes.
    pub(super) fn note_silence(&mut self, now: Duration, attempt: Attempt) {
        self.silence.note(now, attempt.idle);
        if let Some(&i) = self.index.get(&attempt.endpoint) {
            self.endpoints[i].add_heat(now, self.memory);
        }
    }

    /// Sends a second copy, or where none is allowed the request again, while endpoints are silent.
    pub(super) fn on_silent(&mut self, now: Duration, id: RequestId, number: AttemptNo, out: &mut Actions) {
        let Some(pending) = self.requests.get(&id) else { return };
        let n = number.0 as usize;
        let (attempt, tries) = (pending.attempts[n], pending.attempts.len());
        if pending.settled() || attempt.fate != Fate::Out || tries > n + 1 {
            return;
        }
        let Some(long) = self.latency[pending.class].overdue(SILENT_SPREADS) else { return };
        // One alone, too: answers may be swallowed here and there, whatever the endpoint. Retries' tokens
        // bound the copies; they would hurt where work is so uneven that answers often take as long.
        let lone = now + self.settings.clock_resolution >= attempt.sent + long
            && self.silence.late_share < LATE_SHARE;
        if lone {
            self.note_silence(now, attempt);
        }
        let (limits, copies) = (&self.settings.limits, self.settings.limits.hedging);
        let affordable = tries < limits.max_attempts as usize && self.retry_tokens >= 1.0;
        let wanted = lone && copies || self.silence.is_on(now);
        if !affordable || !wanted || !self.may_repeat(now, id) {
            return;
        }
        if !copies && limits.cancellation {
            out.push(Action::Cancel { request: id, attempt: number });
        } else if copies && let Some(i) = self.pick(now, id) {
            self.retry_tokens -= 1.0;
            self.send(now, id, i, out);
        }
    }
}
