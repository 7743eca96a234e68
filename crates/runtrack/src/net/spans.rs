//! Mean time that served calls spend in each processing stage, for the periodic log summary.

use std::fmt;
use std::time::Duration;

/// Number of served calls and the sum of their times in each stage.
#[derive(Default)]
pub struct Spans {
    calls: u32,
    sums: [Duration; 5],
}

impl Spans {
    /// Adds one call. The stages, in order: reading the request; deciding and queueing until the attempt starts;
    /// waiting for a connection; waiting for the first byte of the answer; reading the rest of the answer.
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
