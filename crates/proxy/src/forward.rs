//! A request from its head to its final answer: the route, the attempts, the way back.

use crate::attempt::{Begun, Failed, Outgoing, attempt};
use crate::events::EventTracker;
use crate::headers::{
    ATTEMPT_ID, LAST_EVENT_ID, PROMPT_PREFIX, TIME_BUDGET, closes, keep_alive, remove_hop_headers,
};
use crate::pool::{Connection, Connections};
use crate::prompt::prompt_of;
use crate::relay::{CutShort, ReplyBody, StreamSender, next_bytes, stream, whole};
use crate::state::{State, Target, service_key};
use bytes::Bytes;
use http_body_util::{BodyExt, Either, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use runtrack_fleetconfig::{Route, RouteKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, interval, timeout, timeout_at};
use weirwharf::fleet::{Ask, Prompt};
use weirwharf::{EndpointId, Outcome};

/// Connections that come up badly are not counted as tries of the route, but there is an end to them.
const CONNECT_TRIES: usize = 5;
/// Bytes of an answer that is read whole before it goes on; a longer one goes on as it comes.
const WHOLE_MOST: u64 = 256 << 10;
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_millis(500);
/// A stream that is under way and says nothing for so many of the longest pauses it may make, or for this long at the
/// least, speaks against its endpoint.
const SILENT_PAUSES: u32 = 4;
const SILENT_LEAST: Duration = Duration::from_millis(1000);

/// An answer to a client.
pub type Reply = Response<ReplyBody>;

/// Forwards requests.
pub struct Forwarder {
    state: Rc<State>,
    connections: Rc<Connections>,
}

/// A request with its route.
struct Call {
    outgoing: Outgoing,
    service: String,
    limit: u32,
    max_tries: u32,
    resumable: bool,
    streaming: bool,
    silent_after: Duration,
    prompt: Option<Prompt>,
}

/// What has become of a call so far.
#[derive(Default)]
struct Tries {
    tried: Vec<EndpointId>,
    arrived: u32,
    may_have_run: bool,
    unconnected: usize,
}

/// Why a call was given up.
enum GivenUp {
    /// It never ran.
    Refused,
    /// Its time is up, and it may have run.
    TimedOut,
    /// It may have run.
    Failed,
}

/// Takes an attempt off the counts, whatever way it ends.
struct Counted {
    state: Rc<State>,
    key: EndpointId,
    outcome: Outcome,
}

impl Drop for Counted {
    fn drop(&mut self) {
        let now = self.state.now();
        self.state.router().ended(now, self.key, self.outcome);
    }
}

/// An answer that is going on to the client.
struct Running {
    begun: Begun,
    counted: Counted,
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
    pub async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Reply {
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
            repeatable: route.repeatable(),
            deadline,
        };
        let call = Call {
            outgoing,
            service: service.name,
            limit: service.connection_limit,
            max_tries: route.max_tries,
            resumable: route.resumable,
            streaming: route.kind == RouteKind::Streaming,
            silent_after: silent_after(&route),
            prompt,
        };
        self.serve(call).await
    }

    async fn serve(self: Rc<Self>, call: Call) -> Reply {
        let mut tries = Tries::default();
        loop {
            let running = match self.begin(&call, &mut tries, &[]).await {
                Ok(running) => running,
                Err(given_up) => return self.given_up(given_up),
            };
            let status = running.begun.response.status();
            if !call.streaming || !status.is_success() {
                match self.read_whole(&call, running).await {
                    Ok(reply) => {
                        let again = reply.status().is_server_error() && call.outgoing.repeatable;
                        if !again || !self.may_go_on(&call, &mut tries) {
                            return reply;
                        }
                    }
                    Err(()) => {
                        tries.may_have_run = true;
                        if !call.outgoing.repeatable || !self.may_go_on(&call, &mut tries) {
                            return self.given_up(self.end_of(&call, &tries));
                        }
                    }
                }
                continue;
            }
            match self.clone().start_stream(call, running, tries).await {
                Ok(reply) => return reply,
                Err(back) => {
                    let (back_call, back_tries) = *back;
                    if !back_call.outgoing.repeatable {
                        return self.given_up(self.end_of(&back_call, &back_tries));
                    }
                    (tries, _) = (back_tries, ());
                    return self.serve_again(back_call, tries).await;
                }
            }
        }
    }

    /// Goes on with a stream that broke before its first event.
    async fn serve_again(self: Rc<Self>, call: Call, mut tries: Tries) -> Reply {
        if !self.may_go_on(&call, &mut tries) {
            return self.given_up(self.end_of(&call, &tries));
        }
        match self.begin(&call, &mut tries, &[]).await {
            Ok(running) if running.begun.response.status().is_success() => {
                let this = self.clone();
                match this.start_stream(call, running, tries).await {
                    Ok(reply) => reply,
                    Err(back) => self.given_up(self.end_of(&back.0, &back.1)),
                }
            }
            Ok(running) => match self.read_whole(&call, running).await {
                Ok(reply) => reply,
                Err(()) => self.given_up(GivenUp::Failed),
            },
            Err(given_up) => self.given_up(given_up),
        }
    }

    /// Whether a call that has arrived at an endpoint may be sent to another one.
    fn may_go_on(&self, call: &Call, tries: &mut Tries) -> bool {
        if tries.arrived >= call.max_tries || Instant::now() >= call.outgoing.deadline {
            return false;
        }
        let now = self.state.now();
        self.state.router().may_send_again(now, service_key(&call.service))
    }

    fn end_of(&self, call: &Call, tries: &Tries) -> GivenUp {
        match tries.may_have_run {
            false => GivenUp::Refused,
            true if Instant::now() >= call.outgoing.deadline => GivenUp::TimedOut,
            true => GivenUp::Failed,
        }
    }

    fn choose(&self, call: &Call, tries: &Tries) -> Option<Target> {
        let pool = self.state.pool(&call.service);
        let ask =
            Ask { now: self.state.now(), ready: &pool.ready, tried: &tries.tried, prompt: call.prompt };
        let key = self.state.router().choose(ask)?;
        pool.target(key).cloned()
    }

    /// Tries endpoints until one begins to answer.
    async fn begin(
        &self,
        call: &Call,
        tries: &mut Tries,
        extra: &[(HeaderName, HeaderValue)],
    ) -> Result<Running, GivenUp> {
        loop {
            let Some(target) = self.choose(call, tries) else { return Err(self.end_of(call, tries)) };
            self.state.router().sent(target.key);
            let mut counted =
                Counted { state: self.state.clone(), key: target.key, outcome: Outcome::Cancelled };
            let sent =
                attempt(&self.state, &self.connections, &target, call.limit, &call.outgoing, extra).await;
            tries.tried.push(target.key);
            let failed = match sent {
                Ok(begun) => {
                    tries.arrived += 1;
                    return Ok(Running { begun, counted });
                }
                Err(failed) => failed,
            };
            counted.outcome = failed.outcome;
            drop(counted);
            if failed.outcome != Outcome::Full {
                self.connections.close_idle(target.key);
            }
            if !self.after_failure(call, tries, failed) {
                return Err(self.end_of(call, tries));
            }
        }
    }

    fn after_failure(&self, call: &Call, tries: &mut Tries, failed: Failed) -> bool {
        if !failed.arrived {
            tries.unconnected += 1;
            return tries.unconnected < CONNECT_TRIES && Instant::now() < call.outgoing.deadline;
        }
        tries.arrived += 1;
        if !failed.never_ran() {
            tries.may_have_run = true;
            if !call.outgoing.repeatable {
                return false;
            }
        }
        self.may_go_on(call, tries)
    }

    /// Reads an answer whole, so that one that breaks off can be asked for again, or goes on as a failure.
    async fn read_whole(&self, call: &Call, running: Running) -> Result<Reply, ()> {
        let Running { begun, mut counted } = running;
        let (head, body) = begun.response.into_parts();
        let read =
            timeout_at(call.outgoing.deadline, Limited::new(body, WHOLE_MOST as usize).collect()).await;
        let body = match read {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => {
                counted.outcome = Outcome::Reset;
                return Err(());
            }
            Err(_) => {
                counted.outcome = Outcome::TimedOut;
                return Err(());
            }
        };
        counted.outcome = if head.status.is_server_error() { Outcome::Error } else { Outcome::Ok };
        self.keep(counted.key, begun.connection, &head.headers);
        let mut reply = Response::new(whole(body));
        *reply.status_mut() = head.status;
        *reply.headers_mut() = head.headers;
        remove_hop_headers(reply.headers_mut());
        Ok(reply)
    }

    fn keep(&self, key: EndpointId, connection: Connection, headers: &HeaderMap) {
        if !closes(headers) {
            self.connections.put_back(key, connection, keep_alive(headers));
        }
    }

    /// Passes a stream on from its first bytes; hands the call back where it breaks before them.
    async fn start_stream(
        self: Rc<Self>,
        call: Call,
        mut running: Running,
        mut tries: Tries,
    ) -> Result<Reply, Box<(Call, Tries)>> {
        let mut events = EventTracker::default();
        let first = loop {
            let body = running.begun.response.body_mut();
            match timeout_at(call.outgoing.deadline, next_bytes(body)).await {
                Ok(Some(Ok(bytes))) if call.resumable => match events.take(&bytes) {
                    Some(whole) => break Some(Bytes::from(whole)),
                    None => {}
                },
                Ok(Some(Ok(bytes))) => break Some(bytes),
                Ok(None) => break None,
                Ok(Some(Err(_))) | Err(_) => {
                    running.counted.outcome = Outcome::Reset;
                    tries.may_have_run = true;
                    return Err(Box::new((call, tries)));
                }
            }
        };
        let (sender, body) = stream();
        let mut reply = Response::new(Either::Right(body));
        *reply.status_mut() = running.begun.response.status();
        *reply.headers_mut() = running.begun.response.headers().clone();
        remove_hop_headers(reply.headers_mut());
        match first {
            Some(bytes) => {
                // There is room for the first one.
                let _ = sender.try_send(Ok(bytes));
                spawn_local(self.relay(call, running, tries, events, sender));
            }
            None => self.end_stream(running),
        }
        Ok(reply)
    }

    fn end_stream(&self, mut running: Running) {
        running.counted.outcome = Outcome::Ok;
        let headers = running.begun.response.headers().clone();
        self.keep(running.counted.key, running.begun.connection, &headers);
    }

    /// Passes a stream on to its end, over several endpoints if need be.
    async fn relay(
        self: Rc<Self>,
        call: Call,
        mut running: Running,
        mut tries: Tries,
        mut events: EventTracker,
        sender: StreamSender,
    ) {
        loop {
            let done = tokio::select! {
                done = self.relay_one(&call, &mut running, &mut events, &sender) => done,
                () = sender.closed() => return, // the client has gone
            };
            match done {
                Ok(()) => {
                    if call.resumable && !events.partial().is_empty() {
                        let _ = sender.send(Ok(Bytes::copy_from_slice(events.partial()))).await;
                    }
                    return self.end_stream(running);
                }
                Err(outcome) => running.counted.outcome = outcome,
            }
            let (counted, begun) = (running.counted, running.begun);
            self.connections.close_idle(counted.key);
            drop((counted, begun));
            match self.resume(&call, &mut tries, &mut events).await {
                Some(next) => running = next,
                None => {
                    let _ = sender.send(Err(CutShort)).await; // the client may have gone
                    return;
                }
            }
        }
    }

    /// Another endpoint that goes on with a stream after its last whole event.
    async fn resume(&self, call: &Call, tries: &mut Tries, events: &mut EventTracker) -> Option<Running> {
        tries.may_have_run = true;
        if !call.resumable || events.last_id().is_none() || !self.may_go_on(call, tries) {
            return None;
        }
        events.drop_partial();
        let last = HeaderValue::from_str(events.last_id()?).ok()?;
        let running = self.begin(call, tries, &[(LAST_EVENT_ID, last)]).await.ok()?;
        running.begun.response.status().is_success().then_some(running)
    }

    /// Passes on what comes from one endpoint; how it ended if it did not end well.
    async fn relay_one(
        &self,
        call: &Call,
        running: &mut Running,
        events: &mut EventTracker,
        sender: &StreamSender,
    ) -> Result<(), Outcome> {
        let body = running.begun.response.body_mut();
        loop {
            let next = match timeout(call.silent_after, next_bytes(body)).await {
                Ok(next) => next,
                Err(_) if Instant::now() >= call.outgoing.deadline => return Err(Outcome::TimedOut),
                Err(_) => {
                    let now = self.state.now();
                    self.state.router().silent(now, running.counted.key);
                    if call.resumable {
                        return Err(Outcome::TimedOut);
                    }
                    match timeout_at(call.outgoing.deadline, next_bytes(body)).await {
                        Ok(next) => next,
                        Err(_) => return Err(Outcome::TimedOut),
                    }
                }
            };
            let bytes = match next {
                None => return Ok(()),
                Some(Err(_)) => return Err(Outcome::Reset),
                Some(Ok(bytes)) if call.resumable => match events.take(&bytes) {
                    Some(whole) => Bytes::from(whole),
                    None => continue,
                },
                Some(Ok(bytes)) => bytes,
            };
            if sender.send(Ok(bytes)).await.is_err() {
                return Err(Outcome::Cancelled);
            }
        }
    }

    fn refusal(&self, why: &'static str) -> Reply {
        let mut reply = text(StatusCode::SERVICE_UNAVAILABLE, why);
        let wait = self.state.router().retry_after();
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64())) {
            reply.headers_mut().insert(header::RETRY_AFTER, value);
        }
        reply
    }

    fn given_up(&self, why: GivenUp) -> Reply {
        match why {
            GivenUp::Refused => self.refusal("no endpoint took the request"),
            GivenUp::TimedOut => text(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
            GivenUp::Failed => text(StatusCode::BAD_GATEWAY, "the endpoint failed"),
        }
    }
}

fn silent_after(route: &Route) -> Duration {
    route.pause.map_or(SILENT_LEAST, |pause| (pause * SILENT_PAUSES).max(SILENT_LEAST))
}

/// An answer of our own.
pub fn text(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(whole(Bytes::from_static(text.as_bytes())));
    *reply.status_mut() = status;
    reply
}
