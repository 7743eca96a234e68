//! The window within which a keyed request may be repeated, shared by its attempts.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// When which attempts of a request began, of those that may have run. One that was chosen first may begin last, when its
/// connection comes up late and a second copy has run meanwhile: whichever began first binds all others.
pub struct Window {
    length: Duration,
    begun: RefCell<BTreeMap<usize, Instant>>,
}

impl Window {
    /// Of this length, with nothing begun.
    pub fn new(length: Duration) -> Self {
        Window { length, begun: RefCell::default() }
    }

    /// This attempt begins.
    pub fn begin(&self, attempt: usize) {
        self.begun.borrow_mut().insert(attempt, Instant::now());
    }

    /// This attempt is known not to have run.
    pub fn never_ran(&self, attempt: usize) {
        self.begun.borrow_mut().remove(&attempt);
    }

    /// By when this attempt must be written, if another may have run.
    pub fn write_by(&self, attempt: usize) -> Option<Instant> {
        let begun = self.begun.borrow();
        let others = begun.iter().filter(|(other, _)| **other != attempt);
        others.map(|(_, at)| *at + self.length).min()
    }
}
