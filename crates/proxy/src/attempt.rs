//! One attempt: sends a request to one endpoint and waits for the head of the response.

use crate::headers::{LAST_EVENT_ID, PRIORITY, TARGET_INSTANCE, TIME_BUDGET};
use crate::outgoing::Outgoing;
use crate::pool::{Connection, ConnectionError, Connections};
use crate::response_class::{ResponseClass, classify};
use crate::state::{State, Target};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response};
use runtrack_balancer::Outcome;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Subtracted from the time budget sent to an endpoint, to allow for the transfer of its response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(25);

/// A response whose head has been received.
pub struct ResponseStarted {
    /// The head, and the body as it is received.
    pub response: Response<Incoming>,
    /// The connection that the response is received on.
    pub connection: Connection,
    /// Whether the body has neither a length nor chunks, and so ends with the connection.
    pub ends_with_connection: bool,
}

/// An attempt that failed before a valid response started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptError {
    /// The outcome reported to `runtrack-balancer`.
    pub outcome: Outcome,
    /// Whether the request was sent to the endpoint.
    pub dispatched: bool,
}

impl AttemptError {
    fn unsent(outcome: Outcome) -> Self {
        AttemptError { outcome, dispatched: false }
    }

    fn sent(outcome: Outcome) -> Self {
        AttemptError { outcome, dispatched: true }
    }

    /// Whether it is certain that the request has not run at the endpoint and never will.
    pub fn never_ran(&self) -> bool {
        self.outcome.never_ran()
    }
}

/// Sends a request to an endpoint and waits for the head of the response. `connection_limit` is the maximum number of
/// connections that all proxies together may have to the endpoint. A stream is resumed after the event `last_event_id`.
pub async fn attempt(
    state: &Rc<State>,
    connections: &Connections,
    target: &Target,
    connection_limit: u32,
    outgoing: &Outgoing,
    last_event_id: Option<&HeaderValue>,
) -> Result<ResponseStarted, AttemptError> {
    loop {
        let proxies = state.router().proxies();
        let acquired = connections
            .acquire(target, outgoing.reuse(), connection_limit, proxies, outgoing.deadline)
            .await;
        let mut connection = acquired.map_err(|error| {
            AttemptError::unsent(match error {
                ConnectionError::LimitReached => Outcome::Rejected,
                ConnectionError::ConnectFailed => Outcome::ConnectFailed,
            })
        })?;
        // Checks again, since connecting may have been slow or the process may have been paused.
        if !state.is_ready(target.key) || !outgoing.is_wanted() {
            return Err(AttemptError::unsent(Outcome::NotSent));
        }
        let Some(request) = build_request(target, outgoing, last_event_id) else {
            return Err(AttemptError::unsent(Outcome::NotSent));
        };
        let sent = timeout_at(outgoing.deadline, connection.sender.try_send_request(request)).await;
        return match sent {
            Err(_) => Err(AttemptError::sent(Outcome::TimedOut)),
            // Nothing of the request was written. An idle connection that has ended does not count against its
            // endpoint.
            Ok(Err(error)) if error.message().is_some() => {
                if connection.fresh {
                    return Err(AttemptError::unsent(Outcome::ConnectFailed));
                }
                continue;
            }
            Ok(Err(_)) => Err(AttemptError::sent(Outcome::Reset)),
            Ok(Ok(response)) => attempt_result(outgoing, target, response, connection),
        };
    }
}

/// Builds the request for one endpoint; `None` if no time is left or the endpoint's id is no valid header value.
fn build_request(
    target: &Target,
    outgoing: &Outgoing,
    last_event_id: Option<&HeaderValue>,
) -> Option<Request<Full<Bytes>>> {
    let remaining =
        outgoing.deadline.saturating_duration_since(Instant::now()).saturating_sub(RESPONSE_MARGIN);
    if remaining.as_millis() == 0 {
        return None;
    }
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    let mut headers = outgoing.headers.clone();
    headers.insert(TIME_BUDGET, HeaderValue::from(remaining.as_millis() as u64));
    headers.insert(TARGET_INSTANCE, HeaderValue::from_str(&target.id).ok()?);
    headers.insert(PRIORITY, HeaderValue::from(u16::from(outgoing.priority)));
    if let Some(last_event_id) = last_event_id {
        headers.insert(LAST_EVENT_ID, last_event_id.clone());
    }
    *request.headers_mut() = headers;
    Some(request)
}

/// The result of an attempt whose response head has been received.
fn attempt_result(
    outgoing: &Outgoing,
    target: &Target,
    response: Response<Incoming>,
    connection: Connection,
) -> Result<ResponseStarted, AttemptError> {
    match classify(outgoing, &target.id, &response) {
        ResponseClass::Valid => {
            let headers = response.headers();
            let ends_with_connection =
                !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING);
            Ok(ResponseStarted { response, connection, ends_with_connection })
        }
        ResponseClass::NotExecuted => Err(AttemptError::sent(Outcome::Rejected)),
        ResponseClass::Unknown(outcome) => Err(AttemptError::sent(outcome)),
    }
}
