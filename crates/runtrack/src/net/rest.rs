//! How long a connection rests after an answer, free of I/O.
//!
//! What comes behind an answer, a second copy or noise, would otherwise answer the next request on that
//! connection, and nothing could tell it from that one's answer. So a connection is used again only once it
//! has been silent for a time that the endpoint has earned: long at first, short after many silences that
//! were watched to their end, long again and longer as soon as anything came.

use std::time::Duration;
use tokio::time::Instant;

/// The rest of connections to an endpoint of which nothing is known yet.
pub const START: Duration = Duration::from_millis(25);
/// The rest that an endpoint can earn. Not none: what comes behind an answer comes for the first time once.
pub const LEAST: Duration = Duration::from_millis(5);
/// The longest rest.
pub const MOST: Duration = Duration::from_millis(200);
/// So many silences, one after another, halve the rest ...
pub const SILENCES: u32 = 32;
/// ... but not sooner than this after the last change where it has been longer than at the start: many calls
/// must not make a spoiling endpoint trusted within a moment.
pub const FADE: Duration = Duration::from_secs(5);

/// What one endpoint's connections have earned.
pub struct Rest {
    time: Duration,
    silences: u32,
    changed: Option<Instant>,
}

impl Default for Rest {
    fn default() -> Self {
        Rest { time: START, silences: 0, changed: None }
    }
}

impl Rest {
    /// For how long a connection rests.
    pub fn time(&self) -> Duration {
        self.time
    }

    /// A connection was silent for at least its rest.
    pub fn silent(&mut self, now: Instant) {
        self.silences += 1;
        let faded = self.time <= START || self.changed.is_none_or(|at| now >= at + FADE);
        if self.silences >= SILENCES && self.time > LEAST && faded {
            self.time = (self.time / 2).max(LEAST);
            (self.silences, self.changed) = (0, Some(now));
        }
    }

    /// Something came that no request had asked for, or that was no answer.
    pub fn spoilt(&mut self, now: Instant) {
        self.time = (self.time.max(START) * 2).min(MOST);
        (self.silences, self.changed) = (0, Some(now));
    }
}
