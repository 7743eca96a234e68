//! Requests that wait for the member's disk. No I/O and no clock.
//!
//! While the disk stalls the queue keeps only the newest requests. Senders of older ones have timed out, and answering those
//! would cost a useless write. To the sender a dropped request equals a lost message.

use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of waiting requests; beyond it the oldest are dropped.
pub const MAX_QUEUED_REQUESTS: usize = 64;
/// A request that has waited for longer is dropped: the round that it belongs to is over.
pub const REQUEST_LIFETIME: Duration = Duration::from_millis(2000);

/// Requests, oldest first.
#[derive(Debug)]
pub struct RequestQueue<T> {
    waiting: VecDeque<(Duration, T)>,
}

impl<T> Default for RequestQueue<T> {
    fn default() -> Self {
        RequestQueue { waiting: VecDeque::new() }
    }
}

impl<T> RequestQueue<T> {
    /// Takes a request that came at this time, which is counted from the member's start.
    pub fn push(&mut self, now: Duration, request: T) {
        if self.waiting.len() == MAX_QUEUED_REQUESTS {
            self.waiting.pop_front();
        }
        self.waiting.push_back((now, request));
    }

    /// Drops requests whose sender has stopped waiting.
    pub fn discard(&mut self, is_obsolete: impl Fn(&T) -> bool) {
        self.waiting.retain(|(_, request)| !is_obsolete(request));
    }

    /// The oldest request that somebody still waits for at this time.
    pub fn pop(&mut self, now: Duration) -> Option<T> {
        while let Some((received_at, request)) = self.waiting.pop_front() {
            if now.saturating_sub(received_at) <= REQUEST_LIFETIME {
                return Some(request);
            }
        }
        None
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none wait.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
