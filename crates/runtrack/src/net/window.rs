//! The time window within which a keyed request may be repeated, shared by the request's attempts.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Start times of a request's attempts that may have been executed. The earliest start bounds all other attempts,
/// whatever the order in which they were created: an attempt created first can start last when its connection is
/// established late and a second copy has been executed meanwhile.
pub struct RepeatWindow {
    length: Duration,
    started: RefCell<BTreeMap<usize, Instant>>,
}

impl RepeatWindow {
    /// A window of this length without started attempts.
    pub fn new(length: Duration) -> Self {
        RepeatWindow { length, started: RefCell::default() }
    }

    /// Records that this attempt starts now.
    pub fn record_start(&self, attempt: usize) {
        self.started.borrow_mut().insert(attempt, Instant::now());
    }

    /// Records that this attempt provably was not executed.
    pub fn record_not_executed(&self, attempt: usize) {
        self.started.borrow_mut().remove(&attempt);
    }

    /// The time by which this attempt must be written; `None` if no other attempt may have been executed.
    pub fn write_deadline(&self, attempt: usize) -> Option<Instant> {
        let started = self.started.borrow();
        let others = started.iter().filter(|(other, _)| **other != attempt);
        others.map(|(_, at)| *at + self.length).min()
    }
}
