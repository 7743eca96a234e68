//! Handles a request from its head to its final response: routing, attempts, forwarding the response.

use crate::client::{ClientDisconnect, ClientMonitor};
use crate::pool::Connections;
use crate::reply_body::{ReplyBody, full_body};
use crate::retry::{AttemptState, Failure, RequestError};
use crate::routed::{RoutedRequest, TruncatedResponse, time_budget};
use crate::state::{State, service_key};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, interval, timeout_at};

/// Interval at which expired idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// A response to a client.
pub type Reply = Response<ReplyBody>;

/// Forwards requests.
pub struct Forwarder {
    pub(crate) state: Rc<State>,
    pub(crate) connections: Rc<Connections>,
}

impl Forwarder {
    /// Creates a forwarder without connections.
    pub fn new(state: Rc<State>) -> Rc<Self> {
        Rc::new(Forwarder { state, connections: Rc::default() })
    }

    /// Closes idle connections that are too old or whose endpoint is not ready, for as long as the process runs.
    pub async fn sweep(self: Rc<Self>) {
        let mut ticks = interval(SWEEP_INTERVAL);
        loop {
            ticks.tick().await;
            self.connections.sweep(|key| self.state.is_ready(key));
        }
    }

    /// Returns the final response to a request.
    pub async fn handle(self: Rc<Self>, request: Request<Incoming>, client: ClientMonitor) -> Reply {
        let received_at = Instant::now();
        let Some(table) = self.state.routes() else {
            return self.refusal("there is no configuration yet");
        };
        let (head, body) = request.into_parts();
        let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
        let draw = self.state.router().random_fraction();
        let Some(routed) = table.find(host, head.uri.path(), draw) else {
            return text_reply(StatusCode::NOT_FOUND, "no route");
        };
        let (route, service) = (routed.route.clone(), routed.service.clone());
        let deadline = received_at + time_budget(&route, &head.headers);
        let body = match read_body(body, table.config().limits.body_bytes, deadline).await {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        let now = self.state.now();
        self.state.router().on_request(now, service_key(&service.name));
        let request = RoutedRequest::new(&route, &service, head, body, deadline, client.clone());
        tokio::select! {
            reply = self.handle_routed(Rc::new(request)) => reply,
            () = ClientDisconnect::of(client) => disconnected_reply(),
        }
    }

    async fn handle_routed(self: Rc<Self>, request: Rc<RoutedRequest>) -> Reply {
        let mut attempts = AttemptState::default();
        loop {
            let active = match self.begin(&request, &mut attempts, None).await {
                Ok(active) => active,
                Err(error) => return self.error_reply(error),
            };
            let forwarded = if request.streaming && active.started.response.status().is_success() {
                self.clone().forward_stream(&request, active, &attempts).await
            } else {
                self.clone().forward_complete(&request, active, &attempts).await
            };
            match forwarded {
                Ok(reply) if !reply.status().is_server_error() => return reply,
                forwarded => {
                    if !attempts.may_retry(&self.state, &request, Failure::BadResponse) {
                        return forwarded.unwrap_or_else(|TruncatedResponse| {
                            self.error_reply(RequestError::after(&request, &attempts))
                        });
                    }
                }
            }
        }
    }

    /// The response to a request that has not run and never will, with `Retry-After`.
    pub(crate) fn refusal(&self, reason: &'static str) -> Reply {
        let mut reply = text_reply(StatusCode::SERVICE_UNAVAILABLE, reason);
        let wait = self.state.router().retry_after();
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64())) {
            reply.headers_mut().insert(header::RETRY_AFTER, value);
        }
        reply
    }

    fn error_reply(&self, error: RequestError) -> Reply {
        match error {
            RequestError::Refused => self.refusal("no endpoint took the request"),
            RequestError::TimedOut => text_reply(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
            RequestError::Failed => text_reply(StatusCode::BAD_GATEWAY, "the endpoint failed"),
        }
    }
}

/// Receives a request's body of at most `max_bytes` until the deadline. The error is the response to a body that is
/// incomplete, late or too large.
async fn read_body(body: Incoming, max_bytes: usize, deadline: Instant) -> Result<Bytes, Reply> {
    let (status, reason) = match timeout_at(deadline, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => return Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
        }
        Ok(Err(_)) => (StatusCode::BAD_REQUEST, "the body was not complete"),
        Err(_) => (StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
    };
    Err(text_reply(status, reason))
}

/// Response that closes the connection of a client that has disconnected. No one reads it; dropping the attempt ends
/// the work at the endpoint.
fn disconnected_reply() -> Reply {
    let mut reply = text_reply(StatusCode::BAD_GATEWAY, "the client has left");
    reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// A plain-text response that the proxy itself generates.
pub fn text_reply(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(full_body(Bytes::from_static(text.as_bytes())));
    *reply.status_mut() = status;
    reply
}
