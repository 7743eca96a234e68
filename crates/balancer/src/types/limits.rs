//! What a deployment allows, and the figures of its rules.

use std::time::Duration;

/// What the deployment allows.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Probes may be sent.
    pub probes: bool,
    /// Messages to other balancers may be sent.
    pub peer_messages: bool,
    /// Refusals may carry advice on when to come back.
    pub retry_after: bool,
    /// Longest such advice that clients heed.
    pub max_retry_after: Duration,
    /// Two attempts of one request may be out at once.
    pub hedging: bool,
    /// Attempts a request may have.
    pub max_attempts: u32,
    /// A connection not up after this long has failed.
    pub connect_timeout: Duration,
    /// Simultaneous attempts one connection carries.
    pub streams_per_connection: u32,
    /// Idle connections are closed after this long; zero where nothing is said.
    pub idle_timeout: Duration,
    /// Open requests this balancer may have; more are turned away before they reach it. Zero: not stated.
    pub max_open_requests: u32,
    /// Processor time this balancer may use in a second; zero: not stated.
    pub cpu_per_s: Duration,
    /// Processor time for a request with its outcomes; zero: no limit.
    pub cpu_per_request: Duration,
}

impl Limits {
    /// What a refusal may say of when to come back, where this long would be of use.
    pub fn capped_retry_after(&self, wait: Duration) -> Option<Duration> {
        self.retry_after.then(|| wait.min(self.max_retry_after))
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            cancellation: true,
            probes: false,
            peer_messages: false,
            retry_after: true,
            max_retry_after: Duration::from_secs(1),
            hedging: false,
            max_attempts: 3,
            connect_timeout: Duration::from_millis(250),
            streams_per_connection: 1,
            idle_timeout: Duration::ZERO,
            max_open_requests: 0,
            cpu_per_s: Duration::ZERO,
            cpu_per_request: Duration::ZERO,
        }
    }
}

/// Figures of the four rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// With [`Discovery::Subscribe`](crate::Discovery::Subscribe): ask again within this.
    pub resubscribe_within: Duration,
    /// A cold endpoint starts at this fraction of its capacity or more.
    pub cold_share: f64,
    /// And is warm within this.
    pub warm_within: Duration,
    /// Sends to a draining endpoint must stop within this.
    pub drain_grace: Duration,
    /// A cold endpoint sent more than this multiple of its capacity ...
    pub cold_overload_factor: f64,
    /// ... for this long falls over.
    pub cold_overload_window: Duration,
    /// A final answer still counts this long after the deadline.
    pub answer_grace: Duration,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            resubscribe_within: Duration::from_secs(10),
            cold_share: 0.25,
            warm_within: Duration::from_secs(10),
            drain_grace: Duration::from_millis(250),
            cold_overload_factor: 2.0,
            cold_overload_window: Duration::from_secs(1),
            answer_grace: Duration::from_millis(10),
        }
    }
}
