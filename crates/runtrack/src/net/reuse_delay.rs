//! Delay before a connection to an endpoint is reused after an answer.
//!
//! Unsolicited bytes that follow an answer, such as a duplicate answer or garbage, would be taken as the answer to
//! the next request on that connection. A connection is therefore reused only after it has been silent for a delay
//! kept per endpoint. The delay starts long, is halved after a run of reuses without unsolicited bytes, and is
//! doubled whenever unsolicited bytes arrive. This module does no I/O.

use std::time::Duration;
use tokio::time::Instant;

/// Delay for an endpoint without history.
pub const INITIAL_DELAY: Duration = Duration::from_millis(25);
/// Lower bound of the delay. It is not zero because a trusted endpoint may still send unsolicited bytes.
pub const MIN_DELAY: Duration = Duration::from_millis(5);
/// Upper bound of the delay.
pub const MAX_DELAY: Duration = Duration::from_millis(200);
/// Number of consecutive silent delays after which the delay is halved.
pub const SILENCES_TO_HALVE: u32 = 32;
/// Minimum time between a change and the next halving while the delay is above `INITIAL_DELAY`: a high call rate
/// must not restore trust in a misbehaving endpoint within moments.
pub const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// The reuse delay of one endpoint's connections.
pub struct ReuseDelay {
    delay: Duration,
    silences: u32,
    changed: Option<Instant>,
}

impl Default for ReuseDelay {
    fn default() -> Self {
        ReuseDelay { delay: INITIAL_DELAY, silences: 0, changed: None }
    }
}

impl ReuseDelay {
    /// The current delay.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Records that a connection was silent for at least the delay.
    pub fn record_silence(&mut self, now: Instant) {
        self.silences += 1;
        let recovered =
            self.delay <= INITIAL_DELAY || self.changed.is_none_or(|at| now >= at + RECOVERY_TIME);
        if self.silences >= SILENCES_TO_HALVE && self.delay > MIN_DELAY && recovered {
            self.delay = (self.delay / 2).max(MIN_DELAY);
            (self.silences, self.changed) = (0, Some(now));
        }
    }

    /// Records unsolicited bytes or an answer that could not be parsed.
    pub fn record_unsolicited(&mut self, now: Instant) {
        self.delay = (self.delay.max(INITIAL_DELAY) * 2).min(MAX_DELAY);
        (self.silences, self.changed) = (0, Some(now));
    }
}
