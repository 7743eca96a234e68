//! Limits of a deployment, and the parameters of its rules.

use std::time::Duration;

/// What the deployment allows a balancer to do.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Probes may be sent.
    pub probes: bool,
    /// Messages to other balancers may be sent.
    pub peer_messages: bool,
    /// Refusals may advise a delay before the next retry.
    pub retry_after: bool,
    /// Longest advised delay that clients honor.
    pub max_retry_after: Duration,
    /// Two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Maximum attempts of a request.
    pub max_attempts: u32,
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Concurrent attempts that one connection carries.
    pub streams_per_connection: u32,
    /// Idle connections are closed after this long; zero: not stated.
    pub idle_timeout: Duration,
    /// Maximum open requests; more are rejected before they reach the balancer. Zero: not stated.
    pub max_open_requests: u32,
    /// Processor time this balancer may use per second; zero: not stated.
    pub cpu_per_s: Duration,
    /// Processor time for one request including its outcomes; zero: no limit.
    pub cpu_per_request: Duration,
}

impl Limits {
    /// The delay to advise in a refusal, if allowed: `wait`, capped at `max_retry_after`.
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

/// Parameters of the four rules: 1, every request gets one final answer in time; 2, a request that may have been
/// executed is retried only as its [`Semantics`](crate::Semantics) allow; 3, draining endpoints get no new requests;
/// 4, cold endpoints are not overloaded.
#[derive(Clone, Debug)]
pub struct Rules {
    /// With [`Discovery::Subscribe`](crate::Discovery::Subscribe): time within which to subscribe again.
    pub resubscribe_within: Duration,
    /// Least fraction of its capacity that a cold endpoint starts with.
    pub cold_share: f64,
    /// Time from its start until it is warm.
    pub warm_within: Duration,
    /// Time within which sends to a draining endpoint must stop.
    pub drain_grace: Duration,
    /// A cold endpoint fails when it is sent more than this multiple of its capacity ...
    pub cold_overload_factor: f64,
    /// ... for this long.
    pub cold_overload_window: Duration,
    /// Time after the deadline within which a final answer still counts.
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
