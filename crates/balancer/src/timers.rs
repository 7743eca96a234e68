//! Tools that decide nothing: a queue of timers, of which the host is asked for the next one alone.

use crate::types::TimerToken;
use std::collections::BTreeMap;
use std::time::Duration;

/// A timer by its time; the number tells equal times apart.
pub(crate) type TimerKey = (Duration, u64);

/// What comes due when.
pub(crate) struct TimerQueue<T> {
    timers: BTreeMap<TimerKey, T>,
    /// The timers asked of the host: each one earlier than those before it, so there are never many.
    armed: Vec<(Duration, TimerToken)>,
    next_number: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue { timers: BTreeMap::new(), armed: Vec::new(), next_number: 0 }
    }
}

impl<T> TimerQueue<T> {
    /// Adds a timer.
    pub(crate) fn insert(&mut self, at: Duration, timer: T) -> TimerKey {
        self.next_number += 1;
        let key = (at, self.next_number);
        self.timers.insert(key, timer);
        key
    }

    /// Takes a timer out before its time.
    pub(crate) fn remove(&mut self, key: &TimerKey) {
        self.timers.remove(key);
    }

    /// The next timer that has come due.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<(TimerKey, T)> {
        let entry = self.timers.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(entry.remove_entry())
    }

    /// The host has woken the module by this token.
    pub(crate) fn on_fired(&mut self, token: TimerToken) {
        self.armed.retain(|(_, armed)| *armed != token);
    }

    /// What the host is to be asked for: the next timer, where it won't wake the module by then already.
    pub(crate) fn arm_next(&mut self, now: Duration) -> Option<(TimerToken, Duration)> {
        let (&(at, number), _) = self.timers.first_key_value()?;
        if self.armed.last().is_some_and(|(armed, _)| at >= *armed) {
            return None;
        }
        let token = TimerToken(number);
        self.armed.push((at, token));
        // In whole microseconds, rounded up: a host that rounds down would wake the module too early.
        let after = Duration::from_micros(at.saturating_sub(now).as_nanos().div_ceil(1000) as u64);
        Some((token, after))
    }

    /// Timers and wake-ups that are remembered.
    pub(crate) fn len(&self) -> usize {
        self.timers.len() + self.armed.len()
    }
}
