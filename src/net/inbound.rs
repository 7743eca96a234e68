//! Clients' connections: takes requests, gives final answers, and drains at the end.

use super::budget::{Budget, Holder, Permit};
use super::config::Names;
use super::driver::{Answer, Arrival, Forward, Inbox, Input};
use super::outbound::{BODY_MOST, BUFFER_MOST, Outbound};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::Signal;
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use weirwharf::{ClassId, RequestId, Semantics, Settings, TenantId};

/// Kept back from a client's time, for the answer to reach it.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);
/// A request's head must have come within this, counted from when it could first be sent: a silent
/// client does not keep its socket for good.
const HEAD_MOST: Duration = Duration::from_secs(30);
/// A request's body must have come within this.
const BODY_TIME: Duration = Duration::from_secs(10);
/// Wait after a failed accept: out of descriptors it would fail again at once, and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// New connections come for up to 0.4 s after SIGTERM, so we accept for a little longer.
const DRAIN_ACCEPT: Duration = Duration::from_millis(500);
/// The backlog is empty once nothing has come out of it for this long.
const BACKLOG_EMPTY: Duration = Duration::from_millis(30);
/// Where room is wanted, only connections that have been between requests for this long are closed.
const IDLE_LEAST: Duration = Duration::from_secs(1);
/// While draining, a connection on which nothing has come yet is closed after this.
const FRESH_WAIT: Duration = Duration::from_millis(200);
/// SIGKILL comes no sooner than the longest deadline, but at most `DEADLINE_MOST`, and 0.7 s more:
/// what is open this long after it is failed, which leaves the answers time to go out.
const DRAIN_SLACK: Duration = Duration::from_millis(450);
const DEADLINE_MOST: Duration = Duration::from_secs(3);
/// The last answers go out within this.
const LAST_ANSWERS: Duration = Duration::from_millis(150);

/// What all clients' connections share.
pub struct Inbound {
    settings: Settings,
    classes: Vec<String>,
    tenants: Vec<String>,
    budget: Rc<Budget>,
    outbound: Rc<Outbound>,
    inbox: Inbox,
    next: Cell<u64>,
    draining: Cell<bool>,
    /// Accepting fails; said once in the log until it works again.
    failing: Cell<bool>,
    /// Each change says that connections are to make room, or while draining, to end.
    close: watch::Sender<()>,
}

/// Tells the driver when a client leaves before its answer.
struct Waiting<'a> {
    inbox: &'a Inbox,
    id: RequestId,
    answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.inbox.send(Input::ClientGone(self.id));
        }
    }
}

/// Where a client's connection stands.
#[derive(Default)]
struct Turn {
    /// A request is being answered.
    busy: Cell<bool>,
    /// When the last answer was given; none on a new connection.
    answered: Cell<Option<Instant>>,
    /// The next answer is the connection's last, and says so.
    last: Cell<bool>,
}

impl Turn {
    /// How long it has been between requests; none before the first.
    fn idle(&self) -> Option<Duration> {
        self.answered.get().map(|at| at.elapsed())
    }
}

type Reply = Response<Full<Bytes>>;

impl Inbound {
    /// No clients yet.
    pub fn new(
        settings: Settings,
        names: &Names,
        budget: Rc<Budget>,
        outbound: Rc<Outbound>,
        inbox: Inbox,
    ) -> Rc<Self> {
        let list = |names: &[super::config::Named]| names.iter().map(|n| n.name.clone()).collect();
        Rc::new(Inbound {
            classes: list(&names.classes),
            tenants: list(&names.tenants),
            settings,
            budget,
            outbound,
            inbox,
            next: Cell::new(0),
            draining: Cell::new(false),
            failing: Cell::new(false),
            close: watch::Sender::new(()),
        })
    }

    /// Serves until told to end, then drains: all that the kernel has accepted is answered.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, mut term: Signal) {
        loop {
            tokio::select! {
                _ = term.recv() => break,
                () = self.accept(&listener) => {}
            }
        }
        let asked = Instant::now();
        eprintln!("draining: {} clients connected", self.budget.clients());
        self.draining.set(true);
        while timeout_at(asked + DRAIN_ACCEPT, self.accept(&listener)).await.is_ok() {}
        let longest = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let until = asked + longest.min(DEADLINE_MOST) + DRAIN_SLACK;
        // What still waits in the backlog counts as taken: closing the listener would reset it.
        while Instant::now() < until && timeout(BACKLOG_EMPTY, self.accept(&listener)).await.is_ok() {}
        drop(listener);
        self.close.send_replace(());
        if timeout_at(until, self.all_gone()).await.is_err() {
            let _ = self.inbox.send(Input::GiveUp);
            let _ = timeout(LAST_ANSWERS, self.all_gone()).await;
        }
        eprintln!("drained in {} ms", asked.elapsed().as_millis());
    }

    async fn all_gone(&self) {
        while self.budget.clients() > 0 {
            self.budget.freed().await;
        }
    }

    /// Accepts one connection, once there is room for it.
    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let permit = self.room().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                self.failing.set(false);
                let permit = permit.or_else(|| self.budget.take(Holder::Client));
                let shed = permit.is_none();
                let permit = permit.or_else(|| self.budget.take(Holder::Shed));
                let this = self.clone();
                spawn_local(async move { this.connection(stream, shed, permit).await });
            }
            Err(e) => {
                if !self.failing.replace(true) {
                    eprintln!("accept: {e}");
                }
                self.outbound.close_oldest_idle();
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }

    /// A permit for one more client; none where it can only be told that there is no room.
    async fn room(&self) -> Option<Permit> {
        loop {
            while self.budget.endpoints_crowd() && self.outbound.close_oldest_idle() {}
            if let Some(permit) = self.budget.take(Holder::Client) {
                return Some(permit);
            }
            // Idle clients make room for new ones.
            self.close.send_replace(());
            if let Some(permit) = self.budget.take(Holder::Shed) {
                drop(permit);
                return None;
            }
            self.budget.freed().await;
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream, shed: bool, _permit: Option<Permit>) {
        let _ = stream.set_nodelay(true);
        let mut close = self.close.subscribe();
        let turn = Turn::default();
        let service = service_fn(|request| self.answer(request, shed, &turn));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_MOST)
            .keep_alive(!shed)
            .max_buf_size(BUFFER_MOST)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let mut fresh_until = None;
        loop {
            tokio::select! {
                biased;
                _ = connection.as_mut() => return, // an error here is the client's leaving
                _ = close.changed() => match turn.idle() {
                    _ if turn.busy.get() => turn.last.set(true),
                    // On a new connection the first request is as good as taken: to close it now
                    // would lose what the client is just writing.
                    None if self.draining.get() => fresh_until = Some(Instant::now() + FRESH_WAIT),
                    // One just used is likely to be used again at once, and a request that crosses
                    // our closing is lost, or sent twice: the next answer says that it is the last.
                    Some(idle) if self.draining.get() || idle >= IDLE_LEAST => {
                        connection.as_mut().graceful_shutdown();
                    }
                    _ => turn.last.set(true),
                },
                () = reached(fresh_until) => {
                    fresh_until = None;
                    if !turn.busy.get() {
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        shed: bool,
        turn: &Turn,
    ) -> Result<Reply, Infallible> {
        turn.busy.set(true);
        let mut reply = if request.uri().path() == "/-/ready" {
            let status = if self.draining.get() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
            plain(status, "")
        } else if shed {
            plain(StatusCode::SERVICE_UNAVAILABLE, "too many connections")
        } else {
            match self.serve_request(request).await {
                Ok(reply) => reply,
                Err((status, problem)) => plain(status, problem),
            }
        };
        turn.busy.set(false);
        turn.answered.set(Some(Instant::now()));
        if self.draining.get() || shed || turn.last.get() {
            reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(reply)
    }

    async fn serve_request(&self, request: Request<Incoming>) -> Result<Reply, (StatusCode, &'static str)> {
        let (mut head, body) = request.into_parts();
        if body.size_hint().lower() > BODY_MOST as u64 {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too long"));
        }
        let body = match timeout(BODY_TIME, Limited::new(body, BODY_MOST).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too long"));
            }
            Ok(Err(_)) => return Err((StatusCode::BAD_REQUEST, "body broken")),
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "body never came")),
        };
        // The client counts from its last byte.
        let came = Instant::now();
        let (mut request, time) = self.read(&head.method, &head.uri, &head.headers)?;
        let id = RequestId(self.next.get());
        self.next.set(id.0 + 1);
        request.id = id;
        drop_hop_headers(&mut head.headers);
        let (answer, answered) = oneshot::channel();
        let forward = Forward { method: head.method, uri: head.uri, headers: head.headers, body };
        let deadline = came + time - ANSWER_MARGIN.min(time / 10);
        let arrival = Arrival { request, deadline, forward, answer };
        let mut waiting = Waiting { inbox: &self.inbox, id, answered: false };
        let _ = self.inbox.send(Input::Arrived(Box::new(arrival)));
        // Where the module were to forget a request, its client would still be told in time.
        let answer = timeout_at(came + time, answered).await;
        waiting.answered = answer.is_ok();
        Ok(match answer {
            Ok(Ok(Answer::Served(body))) => Response::new(Full::new(body)),
            Ok(Ok(Answer::Refused(retry_after))) => {
                let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
                if let Some(wait) = retry_after
                    && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64()))
                {
                    reply.headers_mut().insert(header::RETRY_AFTER, value);
                }
                reply
            }
            Ok(Ok(Answer::Failed) | Err(_)) => plain(StatusCode::BAD_GATEWAY, "failed"),
            Err(_) => plain(StatusCode::GATEWAY_TIMEOUT, "out of time"),
        })
    }

    /// What the module is to know of a request, and the client's time.
    fn read(
        &self,
        method: &Method,
        uri: &hyper::Uri,
        headers: &HeaderMap,
    ) -> Result<(weirwharf::Request, Duration), (StatusCode, &'static str)> {
        let bad = |problem| (StatusCode::BAD_REQUEST, problem);
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let name = uri.path().split('/').nth(1).unwrap_or_default();
        let class = self.classes.iter().position(|class| class == name);
        let class = class.ok_or((StatusCode::NOT_FOUND, "unknown class"))?;
        if text("x-request-id").is_none_or(str::is_empty) {
            return Err(bad("X-Request-ID is missing"));
        }
        let keyed = headers.contains_key("idempotency-key");
        let (wanted, key_wanted) = match self.settings.classes[class].semantics {
            Semantics::Safe => (Method::GET, keyed),
            Semantics::Keyed { .. } => (Method::POST, true),
            Semantics::Unsafe => (Method::POST, false),
        };
        if *method != wanted {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "not the class's method"));
        }
        if keyed != key_wanted {
            return Err(bad("Idempotency-Key does not go with the class"));
        }
        let time = text("x-timeout").and_then(parse_timeout).ok_or(bad("X-Timeout is missing or bad"))?;
        // However long a client says that it waits: what is kept for a request must not pile up.
        let time = time.min(self.settings.classes[class].deadline);
        let tenant = match text("x-tenant-id") {
            _ if self.tenants.is_empty() => 0,
            Some(name) => {
                self.tenants.iter().position(|tenant| tenant == name).ok_or(bad("unknown tenant"))?
            }
            None => return Err(bad("X-Tenant-Id is missing")),
        };
        let query = uri.query().unwrap_or_default().split('&');
        let user = query.filter_map(|pair| pair.strip_prefix("user=")).next();
        let work_hint =
            text("x-cost").map(|cost| micros(cost, 1.0).ok_or(bad("X-Cost is bad"))).transpose()?;
        let request = weirwharf::Request {
            id: RequestId(0),
            class: ClassId(class),
            tenant: TenantId(tenant),
            time_left: Duration::ZERO,
            work_hint,
            key: user.and_then(|user| u64::from_str_radix(user, 16).ok()),
            client_retry: text("x-retried") == Some("1"),
            write: text("x-attrs")
                .is_some_and(|attrs| attrs.split(',').any(|attr| attr.trim() == "write=1")),
        };
        Ok((request, time))
    }
}

/// Waits for a time; for ever if there is none.
async fn reached(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *reply.status_mut() = status;
    reply
}

/// A number and its unit: `m` for milliseconds or `u` for microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let time = match text.strip_suffix('m') {
        Some(number) => micros(number, 1000.0),
        None => micros(text.strip_suffix('u')?, 1.0),
    };
    time.filter(|time| !time.is_zero())
}

/// A number of units of so many microseconds.
fn micros(number: &str, unit: f64) -> Option<Duration> {
    let micros = number.parse::<f64>().ok()? * unit;
    (micros >= 0.0 && micros.is_finite()).then(|| Duration::from_micros(micros as u64))
}

/// Removes what concerns the client's connection alone, and what is set anew for each attempt.
fn drop_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = (headers.get_all(header::CONNECTION).iter())
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != "x-request-id" && *name != "idempotency-key")
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::HOST,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
