//! An endpoint's load and failures, as known to one proxy.

use crate::stats::Decaying;
use std::time::Duration;

/// Time for which other proxies' reports of pending prefill are used.
pub(super) const REPORT_TTL: Duration = Duration::from_millis(400);
/// Penalty of a failure, in calls in flight.
const FAILURE_PENALTY: f64 = 2.0;
/// Bound on an endpoint's penalty.
const MAX_PENALTY: f64 = 12.0;
/// A lower penalty counts as zero: a residue would lose every tie and exclude an idle endpoint for good.
const MIN_PENALTY: f64 = 0.25;
/// Time constant of the penalty's exponential decay, in seconds.
const PENALTY_SECONDS: f64 = 3.0;
/// Time for which an unreachable or stalled endpoint is ejected; doubles each time ...
const FIRST_EJECTION: Duration = Duration::from_millis(600);
/// ... up to this.
const MAX_EJECTION: Duration = Duration::from_secs(5);

/// Load and failures of an endpoint.
#[derive(Default)]
pub(super) struct Load {
    /// This proxy's calls in flight.
    pub(super) in_flight: u32,
    /// Tokens of this proxy's calls that are not yet prefilled.
    pub(super) pending_prefill: u32,
    /// The same for other proxies' calls, as last reported.
    pub(super) reported_pending: u32,
    /// Tokens of prefixes that other proxies placed there since their last report of pending prefill.
    placed: u32,
    last_placed: Duration,
    penalty: Decaying,
    ejected_until: Duration,
    ejected_for: Duration,
}

impl Load {
    /// Whether it is currently ejected.
    pub(super) fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until > now
    }

    /// Records a prefix that another proxy placed there, which is now being prefilled.
    pub(super) fn place(&mut self, now: Duration, tokens: u32) {
        self.placed = self.placed_prefill(now).saturating_add(tokens);
        self.last_placed = now;
    }

    /// Tokens of recently placed prefixes that the last report does not include.
    pub(super) fn placed_prefill(&self, now: Duration) -> u32 {
        if now.saturating_sub(self.last_placed) < REPORT_TTL { self.placed } else { 0 }
    }

    /// Sets other proxies' pending prefill, which includes what they had placed.
    pub(super) fn report(&mut self, pending: u32) {
        self.reported_pending = pending;
        self.placed = 0;
    }

    /// The penalty for recent failures, in calls in flight.
    pub(super) fn penalty(&self, now: Duration) -> f64 {
        let penalty = self.penalty.read(now, PENALTY_SECONDS);
        if penalty < MIN_PENALTY { 0.0 } else { penalty }
    }

    /// Records a failed call.
    pub(super) fn fail(&mut self, now: Duration) {
        let penalty = self.penalty.read(now, PENALTY_SECONDS) + FAILURE_PENALTY;
        self.penalty.set(now, penalty.min(MAX_PENALTY));
    }

    /// Ejects the endpoint for a while.
    pub(super) fn eject(&mut self, now: Duration) {
        if self.is_ejected(now) {
            return; // several calls report the same failure
        }
        self.ejected_for = (self.ejected_for * 2).clamp(FIRST_EJECTION, MAX_EJECTION);
        self.ejected_until = now + self.ejected_for;
    }

    /// Records a successful call, which resets the ejection time.
    pub(super) fn succeed(&mut self) {
        self.ejected_for = Duration::ZERO;
    }
}
