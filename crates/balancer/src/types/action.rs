//! What a balancer asks its host to do.

use super::{AttemptNo, EndpointId, RequestId, TimerToken};
use std::time::Duration;

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// Give up on it after this long.
        timeout: Duration,
    },
    /// Final answer: refused; trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Advice to stay away this long.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed; nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Wake the balancer.
    SetTimer {
        /// Comes back with the event.
        token: TimerToken,
        /// From now.
        after: Duration,
    },
    /// Follow changes of the endpoint list (or stop).
    Watch(bool),
    /// Ask for the complete list once.
    FetchList,
    /// Ask an endpoint for its load.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A line for the operators.
    Log(String),
}
