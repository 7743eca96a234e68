//! Where served calls spent their time.

use std::fmt;
use std::time::Duration;

/// Where served calls spent their time, summed by stage.
#[derive(Default)]
pub struct Spans {
    calls: u32,
    sums: [Duration; 5],
}

impl Spans {
    /// Reading the request, until it was sent on (decided, and held for want of room), until it had a connection,
    /// until an answer began, until that was whole.
    pub fn add(&mut self, stages: [Duration; 5]) {
        self.calls += 1;
        self.sums.iter_mut().zip(stages).for_each(|(sum, stage)| *sum += stage);
    }
}

impl fmt::Display for Spans {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "served {}, mean us:", self.calls)?;
        for (name, sum) in ["read", "decided", "connected", "answer begun", "whole"].iter().zip(self.sums) {
            write!(f, " {name} {}", sum.as_micros() / u128::from(self.calls.max(1)))?;
        }
        Ok(())
    }
}
