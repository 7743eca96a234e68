//! What one proxy knows of an endpoint's load and failures.

use crate::stats::Decaying;
use std::time::Duration;

/// What others have sent counts for this long after it was reported.
pub(super) const REPORT_TTL: Duration = Duration::from_millis(400);
/// A failure weighs like this many calls in flight.
const FAILURE_PENALTY: f64 = 2.0;
/// Failures weigh no more than this together.
const MAX_PENALTY: f64 = 12.0;
/// A lesser penalty is none: a trace of it would lose every tie and bar an idle endpoint for good.
const MIN_PENALTY: f64 = 0.25;
/// Seconds in which the penalty falls to a third.
const PENALTY_SECONDS: f64 = 3.0;
/// An endpoint that could not be reached, or stalled, is ejected for this long; doubles each time ...
const FIRST_EJECTION: Duration = Duration::from_millis(600);
/// ... up to this.
const MAX_EJECTION: Duration = Duration::from_secs(5);

/// Load and failures of an endpoint.
#[derive(Default)]
pub(super) struct Load {
    /// Own calls in flight.
    pub(super) in_flight: u32,
    /// Tokens of own calls that it has not prefilled.
    pub(super) pending_prefill: u32,
    /// The same of other proxies' calls, as reported last.
    pub(super) reported_pending: u32,
    /// Tokens of prefixes that others have placed there since their pending prefill was reported.
    placed: u32,
    last_placed: Duration,
    penalty: Decaying,
    ejected_until: Duration,
    ejected_for: Duration,
}

impl Load {
    /// Whether it is left out for now.
    pub(super) fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until > now
    }

    /// Another proxy has placed a prefix there, which is prefilled now.
    pub(super) fn place(&mut self, now: Duration, tokens: u32) {
        self.placed = self.placed_prefill(now).saturating_add(tokens);
        self.last_placed = now;
    }

    /// Tokens of prefixes that others have placed there and that their last report does not hold.
    pub(super) fn placed_prefill(&self, now: Duration) -> u32 {
        if now.saturating_sub(self.last_placed) < REPORT_TTL { self.placed } else { 0 }
    }

    /// Others report what they have pending, which holds what they had placed.
    pub(super) fn report(&mut self, pending: u32) {
        self.reported_pending = pending;
        self.placed = 0;
    }

    /// The weight of its failures in calls in flight.
    pub(super) fn penalty(&self, now: Duration) -> f64 {
        let penalty = self.penalty.read(now, PENALTY_SECONDS);
        if penalty < MIN_PENALTY { 0.0 } else { penalty }
    }

    /// A call has failed.
    pub(super) fn fail(&mut self, now: Duration) {
        let penalty = self.penalty.read(now, PENALTY_SECONDS) + FAILURE_PENALTY;
        self.penalty.set(now, penalty.min(MAX_PENALTY));
    }

    /// Leaves it out for a while.
    pub(super) fn eject(&mut self, now: Duration) {
        if self.is_ejected(now) {
            return; // several calls report one failure
        }
        self.ejected_for = (self.ejected_for * 2).clamp(FIRST_EJECTION, MAX_EJECTION);
        self.ejected_until = now + self.ejected_for;
    }

    /// A call has succeeded: the next ejection is a short one again.
    pub(super) fn succeed(&mut self) {
        self.ejected_for = Duration::ZERO;
    }
}
