//! A monotonic clock in Unix time, for comparison with the start times in the list.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock, anchored once to Unix time so that it compares with endpoints' start times.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Duration,
}

impl Clock {
    /// Creates a clock that is anchored to the current wall-clock time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix }
    }

    /// Creates a clock that starts at the given Unix time, without reading the wall clock.
    pub fn at(unix: Duration) -> Self {
        Clock { start: Instant::now(), unix }
    }

    /// The current time, since the Unix epoch.
    pub fn now(&self) -> Duration {
        self.unix + self.start.elapsed()
    }
}
