//! Requests that a stream may still send.

use tokio::time::Instant;

/// So many a second, saved up for ten.
pub struct Allowance {
    rate: f64,
    left: f64,
    at: Instant,
}

impl Allowance {
    /// All of it is there.
    pub fn new(rate: f64) -> Self {
        Allowance { rate, left: rate * 10.0, at: Instant::now() }
    }

    /// Takes one; says whether there was one.
    pub fn take(&mut self) -> bool {
        let now = Instant::now();
        let earned = now.duration_since(self.at).as_secs_f64() * self.rate;
        self.at = now;
        self.left = (self.left + earned).min(self.rate * 10.0) - 1.0;
        self.left >= 0.0
    }
}
