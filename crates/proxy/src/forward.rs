//! A request from its head to its final answer: the route, the attempts, the way back.

use crate::attempt::{AttemptError, Outgoing, ResponseStarted, attempt};
use crate::client::Presence;
use crate::headers::{ATTEMPT_ID, PROMPT_PREFIX, TIME_BUDGET, remove_hop_headers};
use crate::pool::Connections;
use crate::prompt::prompt_of;
use crate::relay::{ReplyBody, whole};
use crate::state::{State, Target, service_key};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode};
use runtrack_fleetconfig::{Route, RouteKind};
use runtrack_net::mutant;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, interval, timeout_at};
use weirwharf::fleet::{Ask, Prompt};
use weirwharf::{EndpointId, Outcome};

/// Connections that come up badly are not counted as attempts of the route, but there is an end to them.
const CONNECT_TRIES: usize = 5;
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_millis(500);
/// A stream that is under way and says nothing for so many of the longest pauses it may make, or for this long at the
/// least, speaks against its endpoint.
const SILENT_PAUSES: u32 = 4;
const MIN_SILENCE: Duration = Duration::from_millis(1000);

/// An answer to a client.
pub type Reply = Response<ReplyBody>;

/// Forwards requests.
pub struct Forwarder {
    pub(crate) state: Rc<State>,
    pub(crate) connections: Rc<Connections>,
}

/// A request with what its route says of it.
pub(crate) struct Call {
    pub(crate) outgoing: Outgoing,
    service: String,
    connection_limit: u32,
    max_tries: u32,
    pub(crate) resumable: bool,
    streaming: bool,
    /// A stream that pauses for longer speaks against its endpoint.
    pub(crate) silent_after: Duration,
    pub(crate) prompt: Option<Prompt>,
}

/// What has become of a call so far.
#[derive(Clone, Default)]
pub(crate) struct AttemptState {
    tried: Vec<EndpointId>,
    dispatched: u32,
    pub(crate) may_have_run: bool,
    unconnected: usize,
    /// The next second send has been taken off the budget already.
    pub(crate) retry_acquired: bool,
}

/// The answer broke off before any of it went on.
pub(crate) struct TruncatedResponse;

/// Why a call was given up.
pub(crate) enum RequestError {
    /// It never ran.
    Refused,
    /// Its time is up, and it may have run.
    TimedOut,
    /// It may have run.
    Failed,
}

/// Takes an attempt off the counts, whatever way it ends.
pub(crate) struct Counted {
    state: Rc<State>,
    pub(crate) key: EndpointId,
    pub(crate) outcome: Outcome,
    /// Tokens that the endpoint has to read before it answers.
    unread: u32,
}

impl Counted {
    fn new(state: &Rc<State>, key: EndpointId, prompt: Option<Prompt>) -> Self {
        let unread = state.router().sent(key, prompt);
        state.backlog_changed(unread);
        Counted { state: state.clone(), key, outcome: Outcome::Cancelled, unread }
    }

    /// The endpoint has response_started to answer.
    pub(crate) fn answers(&mut self, prompt: Option<Prompt>) {
        self.nothing_more_to_read();
        if let Some(prompt) = prompt {
            self.state.router().keeps(self.key, prompt);
        }
    }

    fn nothing_more_to_read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.state.router().read(self.key, unread);
        self.state.backlog_changed(unread);
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.nothing_more_to_read();
        let now = self.state.now();
        self.state.router().ended(now, self.key, self.outcome);
    }
}

/// An answer that is going on to the client.
pub(crate) struct Running {
    pub(crate) response_started: ResponseStarted,
    pub(crate) counted: Counted,
}

impl Forwarder {
    /// Forwards with this state.
    pub fn new(state: Rc<State>) -> Rc<Self> {
        Rc::new(Forwarder { state, connections: Rc::default() })
    }

    /// Closes idle connections in time, for as long as the process runs.
    pub async fn sweep(self: Rc<Self>) {
        let mut ticks = interval(SWEEP);
        loop {
            ticks.tick().await;
            self.connections.sweep(|key| self.state.is_ready(key));
        }
    }

    /// The final answer to a request.
    pub async fn answer(self: Rc<Self>, request: Request<Incoming>, client: Presence) -> Reply {
        let came = Instant::now();
        let Some(table) = self.state.routes() else {
            return self.refusal("there is no configuration yet");
        };
        let (mut head, body) = request.into_parts();
        let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
        let draw = self.state.router().draw();
        let Some(routed) = table.find(host, head.uri.path(), draw) else {
            return text(StatusCode::NOT_FOUND, "no route");
        };
        let (route, service) = (routed.route.clone(), routed.service.clone());
        let budget =
            head.headers.get(TIME_BUDGET).and_then(|value| value.to_str().ok()?.trim().parse().ok());
        let budget = budget.map_or(route.timeout, Duration::from_millis).min(route.timeout);
        let deadline = came + budget;
        let most = table.config().limits.body_bytes;
        let body = match timeout_at(deadline, Limited::new(body, most).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
            }
            Ok(Err(_)) => return text(StatusCode::BAD_REQUEST, "the body did not come whole"),
            Err(_) => return text(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
        };
        let now = self.state.now();
        self.state.router().arrived(now, service_key(&service.name));
        let prefix = head.headers.get(PROMPT_PREFIX).and_then(|value| value.to_str().ok());
        let prompt = prefix.filter(|_| route.pinned).and_then(prompt_of);
        let id = head.headers.get(ATTEMPT_ID).cloned();
        remove_hop_headers(&mut head.headers);
        let outgoing = Outgoing {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            id,
            priority: route.priority,
            idempotent: route.repeatable(),
            deadline,
            client,
        };
        let call = Call {
            outgoing,
            service: service.name,
            connection_limit: service.connection_limit,
            max_tries: route.max_tries,
            resumable: route.resumable,
            streaming: route.kind == RouteKind::Streaming,
            silent_after: silent_after(&route),
            prompt,
        };
        self.serve(Rc::new(call)).await
    }

    async fn serve(self: Rc<Self>, call: Rc<Call>) -> Reply {
        let mut attempts = AttemptState::default();
        loop {
            let running = match self.begin(&call, &mut attempts, None).await {
                Ok(running) => running,
                Err(error_reply) => return self.error_reply(error_reply),
            };
            let passed_on = if call.streaming && running.response_started.response.status().is_success() {
                self.clone().pass_on_stream(&call, running, &attempts).await
            } else {
                self.clone().pass_on_whole(&call, running, &attempts).await
            };
            match passed_on {
                Ok(reply) if !reply.status().is_server_error() || !call.outgoing.idempotent => {
                    return reply;
                }
                Ok(reply) if !self.may_retry(&call, &mut attempts) => return reply,
                Ok(_) => attempts.may_have_run = true,
                Err(TruncatedResponse) => {
                    attempts.may_have_run = true;
                    if !call.outgoing.idempotent || !self.may_retry(&call, &mut attempts) {
                        return self.error_reply(end_of(&call, &attempts));
                    }
                }
            }
        }
    }

    /// Whether a call that has arrived at an endpoint may be sent to another one.
    pub(crate) fn may_retry(&self, call: &Call, attempts: &mut AttemptState) -> bool {
        let acquired = std::mem::take(&mut attempts.retry_acquired);
        if attempts.dispatched >= call.max_tries || Instant::now() >= call.outgoing.deadline {
            return false;
        }
        let now = self.state.now();
        acquired || self.state.router().may_send_again(now, service_key(&call.service))
    }

    fn choose(&self, call: &Call, attempts: &AttemptState) -> Option<Target> {
        let pool = self.state.pool(&call.service);
        let ask =
            Ask { now: self.state.now(), ready: &pool.ready, tried: &attempts.tried, prompt: call.prompt };
        let key = self.state.router().choose(ask)?;
        pool.target(key).cloned()
    }

    /// AttemptState endpoints until one begins to answer.
    pub(crate) async fn begin(
        &self,
        call: &Call,
        attempts: &mut AttemptState,
        after: Option<&HeaderValue>,
    ) -> Result<Running, RequestError> {
        loop {
            let Some(target) = self.choose(call, attempts) else { return Err(end_of(call, attempts)) };
            let mut counted = Counted::new(&self.state, target.key, call.prompt);
            let sent = attempt(
                &self.state,
                &self.connections,
                &target,
                call.connection_limit,
                &call.outgoing,
                after,
            )
            .await;
            attempts.tried.push(target.key);
            let failed = match sent {
                Ok(response_started) => {
                    attempts.dispatched += 1;
                    return Ok(Running { response_started, counted });
                }
                Err(failed) => failed,
            };
            counted.outcome = failed.outcome;
            drop(counted);
            if failed.outcome != Outcome::Full {
                self.connections.close_idle(target.key);
            }
            if !self.after_failure(call, attempts, failed) {
                return Err(end_of(call, attempts));
            }
        }
    }

    fn after_failure(&self, call: &Call, attempts: &mut AttemptState, failed: AttemptError) -> bool {
        if !failed.dispatched {
            attempts.unconnected += 1;
            return attempts.unconnected < CONNECT_TRIES && call.outgoing.is_wanted();
        }
        attempts.dispatched += 1;
        if !failed.never_ran() {
            attempts.may_have_run = true;
            if !call.outgoing.idempotent && !mutant("proxy_repeats_what_runs_once") {
                return false;
            }
        }
        self.may_retry(call, attempts)
    }

    /// An answer to what has not run and never will, with the time after which to come back.
    pub(crate) fn refusal(&self, why: &'static str) -> Reply {
        let mut reply = text(StatusCode::SERVICE_UNAVAILABLE, why);
        let wait = self.state.router().retry_after();
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64())) {
            reply.headers_mut().insert(header::RETRY_AFTER, value);
        }
        reply
    }

    fn error_reply(&self, why: RequestError) -> Reply {
        match why {
            RequestError::Refused => self.refusal("no endpoint took the request"),
            RequestError::TimedOut => text(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
            RequestError::Failed => text(StatusCode::BAD_GATEWAY, "the endpoint failed"),
        }
    }
}

fn end_of(call: &Call, attempts: &AttemptState) -> RequestError {
    match attempts.may_have_run {
        _ if mutant("proxy_refuses_what_was_sent") => RequestError::Refused,
        false => RequestError::Refused,
        true if Instant::now() >= call.outgoing.deadline => RequestError::TimedOut,
        true => RequestError::Failed,
    }
}

fn silent_after(route: &Route) -> Duration {
    route.pause.map_or(MIN_SILENCE, |pause| (pause * SILENT_PAUSES).max(MIN_SILENCE))
}

/// An answer of our own.
pub fn text(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(whole(Bytes::from_static(text.as_bytes())));
    *reply.status_mut() = status;
    reply
}
