//! The clock that start times in the list compare with.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// One monotonic clock, anchored once to Unix time so that endpoints' start times compare with it.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix }
    }

    /// A clock that starts now, at this Unix time: the wall clock is not asked.
    pub fn at(unix: Duration) -> Self {
        Clock { start: Instant::now(), unix }
    }

    /// The time now.
    pub fn now(&self) -> Duration {
        self.unix + self.start.elapsed()
    }
}
