//! Rate limit for the requests of one stream.

use tokio::time::Instant;

/// A token bucket that holds the tokens of ten seconds.
pub struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// A full bucket that refills at `rate` tokens per second.
    pub fn new(rate: f64) -> Self {
        TokenBucket { rate, tokens: rate * 10.0, refilled_at: Instant::now() }
    }

    /// Takes a token. Returns false if there was none left.
    pub fn take(&mut self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.rate;
        self.refilled_at = now;
        self.tokens = (self.tokens + refill).min(self.rate * 10.0) - 1.0;
        self.tokens >= 0.0
    }
}
