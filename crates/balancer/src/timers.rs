//! A queue of timers; the host is asked to wake the balancer for the next one only.

use crate::types::TimerToken;
use std::collections::BTreeMap;
use std::time::Duration;

/// Expiry time of a timer, and a number that makes equal times distinct.
pub(crate) type TimerKey = (Duration, u64);

/// Timers ordered by expiry time.
pub(crate) struct TimerQueue<T> {
    timers: BTreeMap<TimerKey, T>,
    /// Wake-ups requested from the host; each is earlier than the ones before, so there are few.
    armed: Vec<(Duration, TimerToken)>,
    next_number: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue { timers: BTreeMap::new(), armed: Vec::new(), next_number: 0 }
    }
}

impl<T> TimerQueue<T> {
    /// Adds a timer that expires at `at`.
    pub(crate) fn insert(&mut self, at: Duration, timer: T) -> TimerKey {
        self.next_number += 1;
        let key = (at, self.next_number);
        self.timers.insert(key, timer);
        key
    }

    /// Cancels a timer.
    pub(crate) fn remove(&mut self, key: &TimerKey) {
        self.timers.remove(key);
    }

    /// Removes and returns the next expired timer.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<(TimerKey, T)> {
        let entry = self.timers.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(entry.remove_entry())
    }

    /// Records that the host delivered the wake-up with this token.
    pub(crate) fn on_fired(&mut self, token: TimerToken) {
        self.armed.retain(|(_, armed)| *armed != token);
    }

    /// The wake-up to request from the host, as token and delay; `None` if an earlier one is already pending.
    pub(crate) fn arm_next(&mut self, now: Duration) -> Option<(TimerToken, Duration)> {
        let (&(at, number), _) = self.timers.first_key_value()?;
        if self.armed.last().is_some_and(|(armed, _)| at >= *armed) {
            return None;
        }
        let token = TimerToken(number);
        self.armed.push((at, token));
        // Whole microseconds, rounded up, so that a host that rounds down does not wake too early.
        let after = Duration::from_micros(at.saturating_sub(now).as_nanos().div_ceil(1000) as u64);
        Some((token, after))
    }

    /// Number of stored timers and pending wake-ups.
    pub(crate) fn len(&self) -> usize {
        self.timers.len() + self.armed.len()
    }
}
