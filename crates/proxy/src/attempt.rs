//! One attempt: sends a request to one endpoint and waits for the head of the response.

use crate::headers::{LAST_EVENT_ID, PRIORITY, TARGET, TIME_BUDGET};
use crate::outgoing::Outgoing;
use crate::pool::{Connection, Connections, NoConnection};
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

/// Subtracted from the time budget that an endpoint is given, for its response to travel back.
const RESPONSE_MARGIN: Duration = Duration::from_millis(25);

/// A response whose head has been received.
pub struct ResponseStarted {
    /// The head, and the body as it is received.
    pub response: Response<Incoming>,
    /// The connection that it is received on.
    pub connection: Connection,
    /// Whether the body has no length and ends with the connection.
    pub ends_with_connection: bool,
}

/// An attempt that ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptError {
    /// The outcome, for `runtrack-balancer`.
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

/// Sends a request to an endpoint, on one of at most `limit` connections of all proxies, and waits for the head of the
/// response. A stream is resumed behind the event with the id `after`.
pub async fn attempt(
    state: &Rc<State>,
    connections: &Connections,
    target: &Target,
    limit: u32,
    outgoing: &Outgoing,
    after: Option<&HeaderValue>,
) -> Result<ResponseStarted, AttemptError> {
    loop {
        let proxies = state.router().proxies();
        let taken = connections.take(target, outgoing.reuse(), limit, proxies, outgoing.deadline).await;
        let mut connection = taken.map_err(|none| {
            AttemptError::unsent(match none {
                NoConnection::Full => Outcome::Rejected,
                NoConnection::Failed => Outcome::ConnectFailed,
            })
        })?;
        // Time may have passed: connecting may have been slow, or the process paused.
        if !state.is_ready(target.key) || !outgoing.is_wanted() {
            return Err(AttemptError::unsent(Outcome::NotSent));
        }
        let Some(request) = request(target, outgoing, after) else {
            return Err(AttemptError::unsent(Outcome::NotSent));
        };
        let sent = timeout_at(outgoing.deadline, connection.sender.try_send_request(request)).await;
        return match sent {
            Err(_) => Err(AttemptError::sent(Outcome::TimedOut)),
            // Nothing of it was written. That an idle connection has ended says nothing about its endpoint.
            Ok(Err(error)) if error.message().is_some() => {
                if connection.fresh {
                    return Err(AttemptError::unsent(Outcome::ConnectFailed));
                }
                continue;
            }
            Ok(Err(_)) => Err(AttemptError::sent(Outcome::Reset)),
            Ok(Ok(response)) => accept(outgoing, target, response, connection),
        };
    }
}

fn request(
    target: &Target,
    outgoing: &Outgoing,
    after: Option<&HeaderValue>,
) -> Option<Request<Full<Bytes>>> {
    let left = outgoing.deadline.saturating_duration_since(Instant::now()).saturating_sub(RESPONSE_MARGIN);
    if left.as_millis() == 0 {
        return None;
    }
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    let mut headers = outgoing.headers.clone();
    headers.insert(TIME_BUDGET, HeaderValue::from(left.as_millis() as u64));
    headers.insert(TARGET, HeaderValue::from_str(&target.id).ok()?);
    headers.insert(PRIORITY, HeaderValue::from(u16::from(outgoing.priority)));
    if let Some(after) = after {
        headers.insert(LAST_EVENT_ID, after.clone());
    }
    *request.headers_mut() = headers;
    Some(request)
}

/// The result of an attempt whose response head has been received.
fn accept(
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
