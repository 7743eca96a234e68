//! Actions that a balancer asks its host to carry out.

use super::{AttemptNo, EndpointId, RequestId, TimerToken};
use std::time::Duration;

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request; attempts are numbered from 0 in this order.
    Send {
        /// The request.
        request: RequestId,
        /// Where to send it.
        endpoint: EndpointId,
        /// Report the attempt as timed out after this long.
        timeout: Duration,
    },
    /// Final answer: refused. The client may safely retry.
    Refuse {
        /// The request.
        request: RequestId,
        /// Delay to advise before a retry.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed. The request may have been executed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Send [`Event::Timer`](crate::Event::Timer) after a delay.
    SetTimer {
        /// The token to pass in the event.
        token: TimerToken,
        /// Delay from now.
        after: Duration,
    },
    /// Subscribe to changes of the endpoint list (or unsubscribe).
    Watch(bool),
    /// Fetch the complete endpoint list once.
    FetchList,
    /// Request a load report from an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Write a log line.
    Log(String),
}
