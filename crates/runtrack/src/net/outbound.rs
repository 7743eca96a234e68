//! Connections to endpoints: attempts and probes, and how they end.

use super::budget::{Budget, Holder, Permit};
use super::rest::Rest;
use super::socket::{Heard, Socket};
use super::window::Window;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use runtrack_balancer::{EndpointId, LoadField, Outcome, Settings};
use runtrack_net::{Network, PeekStatus, mutant};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::error::Error as _;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, Sleep, sleep, sleep_until, timeout};

/// No body on the wire is longer.
pub const BODY_MOST: usize = 64 * 1024;
/// Buffer of a connection, either way; also bounds a message's head.
pub const BUFFER_MOST: usize = 64 * 1024;
/// Part of the endpoints' idle time after which we close a connection ourselves: what is written to
/// one that the endpoint is just closing ends as a reset, and an unsafe request is then lost for good.
const IDLE_PART: f64 = 0.7;
/// Idle connections kept where the settings say nothing of idle time.
const IDLE_UNSTATED: Duration = Duration::from_secs(5);
/// How often idle connections are looked over.
const SWEEP: Duration = Duration::from_millis(500);
/// A body's last byte waits for this long behind the rest. A connection that was dropped, or is about to
/// be, answers the first bytes with a reset; an endpoint begins with the last byte, so that what is reset
/// before it never ran and may go again, though nothing may be repeated. It covers all who close under a
/// request: endpoints, proxies, restarts. Farther away than this a reset comes too late to help.
const LAST_BYTE: Duration = Duration::from_millis(1);
/// Held back only where the endpoint has not answered for this long, on whichever connection, or has reset one
/// since, or the connection is aged: one that has just answered is the less likely to be gone the shorter ago
/// that is, and where calls are as dense the wait would be the cost.
const PROVEN: Duration = Duration::from_millis(5);
/// A probe that takes longer has failed.
const PROBE: Duration = Duration::from_secs(1);
/// An answer that has begun must be whole within this: with a length that doesn't fit, or a head without
/// end, it never would be, and cost a request all its time that could be sent again.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// A connection idle for this long is aged: something on the way, or the endpoint, may have dropped it
/// well before the stated time, and resets the next request on it.
const AGED: Duration = Duration::from_millis(100);
/// So many resets of aged connections, less a part of one for each answer on one, and they are given up ...
const AGED_RESETS: f64 = 2.0;
const AGED_ANSWER: f64 = 0.05;
/// ... for this long: a reset loses an unsafe request for good, a new connection only costs a handshake.
const AGED_PAUSE: Duration = Duration::from_secs(30);
/// Limit of an attempt's connection where the settings say nothing.
const CONNECT_UNSTATED: Duration = Duration::from_millis(500);

/// How an attempt or a probe ended.
pub struct Ended {
    /// The outcome.
    pub outcome: Outcome,
    /// The body of a 200.
    pub body: Bytes,
    /// The load report, if one came.
    pub report: Option<Vec<f64>>,
    /// When the request was handed to a connection, and when the first byte of an answer came.
    pub stages: Option<(Instant, Instant)>,
}

impl Ended {
    /// An end that brought nothing but itself.
    pub fn bare(outcome: Outcome) -> Self {
        Ended { outcome, body: Bytes::new(), report: None, stages: None }
    }
}

/// How far an attempt has come.
#[derive(Clone, Default)]
pub struct Progress {
    /// It was handed to a connection, and its first byte may have gone.
    begun: Rc<Cell<bool>>,
    /// Its last byte was handed over: what is stopped before that never ran.
    whole: Rc<Cell<bool>>,
}

impl Progress {
    /// Whether its first byte may have gone.
    pub fn begun(&self) -> bool {
        self.begun.get()
    }

    /// The outcome of no longer waiting: a request not written whole proves that it never ran.
    pub fn given_up(&self) -> Outcome {
        if self.whole.get() && !mutant("late-never-ran") {
            Outcome::TimedOut
        } else {
            Outcome::ConnectFailed
        }
    }

    /// The outcome of being stopped.
    pub fn stopped(&self) -> Outcome {
        if self.begun() { Outcome::Cancelled } else { Outcome::NotSent }
    }
}

/// A request's body, its last byte held back for a while where that is of use.
struct HeldBack {
    rest: Bytes,
    hold: bool,
    wait: Option<Pin<Box<Sleep>>>,
    /// Set as the last byte goes.
    whole: Rc<Cell<bool>>,
}

impl Body for HeldBack {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.hold {
            let (first, most) = (self.wait.is_none(), self.rest.len().saturating_sub(1));
            let wait = self.wait.get_or_insert_with(|| Box::pin(sleep(LAST_BYTE)));
            if first && most > 0 {
                return Poll::Ready(Some(Ok(Frame::data(self.rest.split_to(most)))));
            }
            ready!(wait.as_mut().poll(cx));
        }
        self.whole.set(!mutant("unsaid-last-byte"));
        let last = std::mem::take(&mut self.rest);
        Poll::Ready((!last.is_empty()).then_some(Ok(Frame::data(last))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

struct Pooled {
    sender: SendRequest<HeldBack>,
    heard: Rc<Heard>,
    address: SocketAddr,
    idle_since: Instant,
    /// Dropping a link closes its connection, also with an answer still to come.
    _connection: JoinSet<()>,
    _permit: Permit,
}

/// The connection pool of one endpoint.
#[derive(Default)]
struct Pool {
    /// Idle ones, the most recently used last.
    idle: Vec<Pooled>,
    rest: Rc<RefCell<Rest>>,
    /// When it last answered, unless it has reset a connection since.
    answered: Option<Instant>,
}

/// A request as it goes on to an endpoint.
pub struct Forward {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Forward {
    /// The request for one connection, with the time that is left.
    fn request(&self, address: SocketAddr, left: Duration, body: HeldBack) -> Request<HeldBack> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        let text = |text: String| HeaderValue::from_maybe_shared(Bytes::from(text));
        let text = |line| text(line).unwrap_or(HeaderValue::from_static(""));
        headers.insert(header::HOST, text(address.to_string()));
        headers.insert(HeaderName::from_static("x-timeout"), text(format!("{}u", left.as_micros())));
        request
    }
}

/// An attempt as it is to be made.
pub struct Attempt {
    /// What is sent.
    pub forward: Rc<Forward>,
    /// When it will be given up.
    pub until: Instant,
    /// The window that it shares with the request's other attempts, and its number among them; none: no such bound.
    pub window: Option<(Rc<Window>, usize)>,
    /// Where it may not be sent again once it may have run.
    pub never_twice: bool,
}

/// The connections to all endpoints.
pub struct Outbound {
    network: Rc<dyn Network>,
    budget: Rc<Budget>,
    pools: RefCell<BTreeMap<EndpointId, Pool>>,
    connect_timeout: Duration,
    idle_most: Duration,
    /// What speaks against aged connections, and until when they are not used.
    aged_resets: Cell<f64>,
    aged_until: Cell<Option<Instant>>,
    fields: Vec<LoadField>,
}

impl Outbound {
    /// No connections yet.
    pub fn new(network: Rc<dyn Network>, settings: &Settings, budget: Rc<Budget>) -> Rc<Self> {
        let (connect, idle) = (settings.limits.connect_timeout, settings.limits.idle_timeout);
        let or = |time: Duration, unstated| if time.is_zero() { unstated } else { time };
        Rc::new(Outbound {
            network,
            budget,
            pools: RefCell::default(),
            aged_resets: Cell::default(),
            aged_until: Cell::default(),
            connect_timeout: or(connect, CONNECT_UNSTATED),
            idle_most: or(idle.mul_f64(IDLE_PART), IDLE_UNSTATED),
            fields: settings.load_reports.fields.clone(),
        })
    }

    /// Sends one attempt and waits for its end. It is written at most once: only what provably was
    /// never written goes to another connection.
    pub async fn attempt(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        attempt: Attempt,
        progress: &Progress,
    ) -> Ended {
        let Attempt { forward, until, window, never_twice } = attempt;
        self.pools.borrow_mut().entry(endpoint).or_default();
        // What comes ahead of an answer says nothing of when that will come.
        let ahead = Arc::new(AtomicBool::new(false));
        loop {
            progress.begun.set(false);
            if let Some((window, number)) = &window {
                window.never_ran(*number);
            }
            let Some((mut link, fresh)) = self.link(endpoint, address).await else {
                return Ended::bare(Outcome::ConnectFailed);
            };
            // An idle connection may be found closed only now.
            if !link.sender.is_ready()
                && !matches!(timeout(self.connect_timeout, link.sender.ready()).await, Ok(Ok(())))
            {
                if fresh {
                    return Ended::bare(Outcome::ConnectFailed);
                }
                continue;
            }
            // Asked when there is a connection: that may have taken long, and another attempt may have begun meanwhile.
            let write_by = window.as_ref().and_then(|(window, number)| window.write_by(*number));
            let write_by = write_by.filter(|_| !mutant("copy-unseen"));
            if write_by.is_some_and(|by| Instant::now() >= by) {
                if !fresh {
                    self.put_back(endpoint, link);
                }
                return Ended::bare(Outcome::ConnectFailed);
            }
            let idle = link.idle_since.elapsed();
            // What has no body is whole with its head, and goes at once.
            let (rest, whole) = (forward.body.clone(), progress.whole.clone());
            whole.set(rest.is_empty());
            let hold = never_twice && ((!fresh && idle >= AGED) || !self.proven(endpoint));
            let left = until.saturating_duration_since(Instant::now());
            let body = HeldBack { rest, hold, wait: None, whole };
            let mut request = forward.request(address, left, body);
            let seen = ahead.clone();
            hyper::ext::on_informational(&mut request, move |_| seen.store(true, Ordering::Relaxed));
            link.heard.forget();
            link.heard.write_by(write_by);
            progress.begun.set(true);
            if let Some((window, number)) = &window {
                window.begin(*number);
            }
            let handed = Instant::now();
            let exchange = async {
                match link.sender.try_send_request(request).await {
                    Ok(response) => self.read(response).await,
                    Err(error) => {
                        if error.message().is_some() || link.heard.refused() {
                            progress.whole.set(false); // handed back unsent, or its last byte held back for good
                        }
                        if error.error().is_parse() {
                            self.spoilt(endpoint);
                        }
                        Ended::bare(Outcome::Reset)
                    }
                }
            };
            let mut ended = tokio::select! {
                biased;
                ended = exchange => ended,
                () = stalled(&link.heard, &ahead) => Ended::bare(Outcome::Reset),
            };
            if !fresh && idle >= AGED {
                self.learn_aged(ended.outcome == Outcome::Reset && link.heard.began().is_none());
            }
            ended.stages = link.heard.began().map(|began| (handed, began));
            let answered = (ended.outcome != Outcome::Reset).then(Instant::now);
            if let Some(pool) = self.pools.borrow_mut().get_mut(&endpoint) {
                pool.answered = answered;
            }
            if ended.outcome != Outcome::Reset {
                if progress.whole.get() && !link.sender.is_closed() {
                    link.idle_since = Instant::now();
                    self.put_back(endpoint, link);
                }
                return ended;
            }
            match (progress.whole.get(), fresh) {
                (true, _) if mutant("reset-never-ran") => return Ended::bare(Outcome::ConnectFailed),
                (true, _) => return ended,
                (false, fresh) if fresh || link.heard.refused() => {
                    return Ended::bare(Outcome::ConnectFailed);
                }
                (false, _) => {} // a kept connection says nothing of its endpoint: another one
            }
        }
    }

    /// The outcome that an answer stands for. It is read whole first: a break half-way is an outcome and
    /// never a torn answer, and one that is spoilt proves nothing, not even that it never ran.
    async fn read(&self, response: Response<Incoming>) -> Ended {
        let (head, body) = response.into_parts();
        let never_ran = head.headers.get("x-not-processed").is_some_and(|v| v.as_bytes() == b"1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => Outcome::Rejected,
            _ => Outcome::Error,
        };
        let report = self.inline_report(&head.headers);
        if body.size_hint().lower() > BODY_MOST as u64 {
            return Ended::bare(Outcome::Reset);
        }
        match Limited::new(body, BODY_MOST).collect().await {
            Ok(body) => Ended { outcome, body: body.to_bytes(), report, stages: None },
            Err(_) => Ended::bare(Outcome::Reset),
        }
    }

    /// Asks an endpoint for its load.
    pub async fn probe(&self, endpoint: EndpointId, address: SocketAddr) -> Ended {
        let uri = Uri::from_static("/-/load");
        let (method, headers, body) = (Method::GET, HeaderMap::new(), Bytes::new());
        let forward = Rc::new(Forward { method, uri, headers, body });
        let attempt = Attempt { forward, until: Instant::now() + PROBE, window: None, never_twice: false };
        let progress = Progress::default();
        match timeout(PROBE, self.attempt(endpoint, address, attempt, &progress)).await {
            Ok(mut ended) => {
                let body = std::mem::take(&mut ended.body);
                let in_body = std::str::from_utf8(&body).ok().and_then(|text| self.report(text));
                ended.report = in_body.or(ended.report);
                ended
            }
            Err(_) => Ended::bare(progress.given_up()),
        }
    }

    /// How many connections are idle.
    pub fn idle(&self) -> usize {
        self.pools.borrow().values().map(|pool| pool.idle.len()).sum()
    }

    /// Closes idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&endpoint) {
            pool.idle.clear();
        }
    }

    /// Closes idle connections to an endpoint that is no more, and forgets what it has earned.
    pub fn forget(&self, endpoint: EndpointId) {
        self.pools.borrow_mut().remove(&endpoint);
    }

    /// Closes idle connections to an endpoint on which nothing was heard since then: a machine that is
    /// cut off leaves them open and silent, and each would cost one more request all its time, where a
    /// new connection fails at once and proves that nothing ran.
    pub fn close_unheard(&self, endpoint: EndpointId, since: Instant) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&endpoint) {
            pool.idle.retain(|link| link.idle_since > since);
        }
    }

    /// Closes the connection that has been idle longest; false if there is none.
    pub fn close_oldest_idle(&self) -> bool {
        let mut all = self.pools.borrow_mut();
        let oldest = all.values_mut().filter(|pool| !pool.idle.is_empty());
        let Some(pool) = oldest.min_by_key(|pool| pool.idle[0].idle_since) else { return false };
        pool.idle.remove(0);
        true
    }

    /// Closes, from time to time, what has been idle for too long or was closed by the endpoint.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP).await;
            for pool in self.pools.borrow_mut().values_mut() {
                pool.idle.retain(|link| self.usable(link));
            }
        }
    }

    fn usable(&self, link: &Pooled) -> bool {
        let paused = self.aged_until.get().is_some_and(|until| Instant::now() < until);
        let most = if paused { AGED.min(self.idle_most) } else { self.idle_most };
        !link.sender.is_closed() && link.idle_since.elapsed() < most
    }

    /// Lets the end of an attempt on an aged connection speak for or against them all.
    fn learn_aged(&self, reset: bool) {
        let change = if reset { 1.0 } else { -AGED_ANSWER };
        let resets = (self.aged_resets.get() + change).max(0.0);
        self.aged_resets.set(resets);
        if resets >= AGED_RESETS {
            // One more is enough to give them up again after the pause.
            self.aged_resets.set(AGED_RESETS - 1.0);
            self.aged_until.set(Some(Instant::now() + AGED_PAUSE));
            log::info!(
                "aged connections are reset at the next request: not used for {} s",
                AGED_PAUSE.as_secs()
            );
        }
    }

    /// A connection to send on, and whether it is new: an idle one that has rested; else a new one, within the
    /// budget; else the first that will have rested, should that be sooner.
    async fn link(&self, endpoint: EndpointId, address: SocketAddr) -> Option<(Pooled, bool)> {
        loop {
            let resting = match self.take_idle(endpoint, address) {
                Some((link, true)) => return Some((link, false)),
                Some((link, false)) => link,
                None => return Some((self.connect(endpoint, address, true).await?, true)),
            };
            let rest = self.rest(endpoint);
            let until = resting.idle_since + rest.borrow().time();
            let made = tokio::select! {
                biased;
                made = self.connect(endpoint, address, false) => made,
                () = sleep_until(until) => None,
            };
            match made {
                Some(link) => {
                    self.put_back(endpoint, resting);
                    return Some((link, true));
                }
                None => sleep_until(until).await,
            }
            if self.silent(endpoint, address, &resting) {
                return Some((resting, false));
            }
        }
    }

    /// The most recently used idle connection that has rested, so that the others may age and be closed; else
    /// the first that will have.
    fn take_idle(&self, endpoint: EndpointId, address: SocketAddr) -> Option<(Pooled, bool)> {
        loop {
            let (link, rested) = {
                let mut all = self.pools.borrow_mut();
                let pool = all.get_mut(&endpoint)?;
                let rest = pool.rest.borrow().time();
                let now = Instant::now();
                // They lie in the order in which they came.
                let place =
                    pool.idle.partition_point(|link| now >= link.idle_since + rest).saturating_sub(1);
                let link = (place < pool.idle.len()).then(|| pool.idle.remove(place))?;
                let rested = now >= link.idle_since + rest;
                (link, rested)
            };
            if mutant("no-rest") {
                return Some((link, true));
            }
            if !rested || self.silent(endpoint, address, &link) {
                return Some((link, rested));
            }
        }
    }

    /// Whether nothing has come on a connection that has rested, not even its end, and it may be used. At another
    /// address another machine may listen by now; and hyper sees only what the runtime has seen, which may be
    /// long ago where the processor is short.
    fn silent(&self, endpoint: EndpointId, address: SocketAddr, link: &Pooled) -> bool {
        if link.address != address || !self.usable(link) {
            return false;
        }
        let came = link.heard.came();
        match came {
            PeekStatus::Empty => self.rest(endpoint).borrow_mut().silent(Instant::now()),
            PeekStatus::Data => self.spoilt(endpoint),
            PeekStatus::Eof => {}
        }
        came == PeekStatus::Empty
    }

    /// Whether an endpoint is there, beyond much doubt.
    fn proven(&self, endpoint: EndpointId) -> bool {
        let answered = self.pools.borrow().get(&endpoint).and_then(|pool| pool.answered);
        answered.is_some_and(|at| at.elapsed() < PROVEN)
    }

    /// Keeps a connection, unless its endpoint has been forgotten meanwhile.
    fn put_back(&self, endpoint: EndpointId, link: Pooled) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&endpoint) {
            let place = pool.idle.partition_point(|other| other.idle_since <= link.idle_since);
            pool.idle.insert(place, link);
            self.budget.may_free_endpoint();
        }
    }

    fn rest(&self, endpoint: EndpointId) -> Rc<RefCell<Rest>> {
        self.pools.borrow().get(&endpoint).map(|pool| pool.rest.clone()).unwrap_or_default()
    }

    /// Something came from an endpoint that no request had asked for, or that was no answer.
    fn spoilt(&self, endpoint: EndpointId) {
        self.rest(endpoint).borrow_mut().spoilt(Instant::now());
    }

    /// A new connection. Where one is resting that could be waited for, only out of what the budget has to spare.
    async fn connect(&self, endpoint: EndpointId, address: SocketAddr, must: bool) -> Option<Pooled> {
        if !must && !self.budget.endpoints_spare() {
            return None;
        }
        let permit = loop {
            match self.budget.take(Holder::Endpoint) {
                Some(permit) => break permit,
                None if must && self.close_oldest_idle() => {}
                // Another attempt may be over soon.
                None if must => timeout(self.connect_timeout, self.budget.endpoint_freed()).await.ok()?,
                None => return None,
            }
        };
        // A machine that is cut off never answers: without a limit of ours the attempt would hang.
        let stream = timeout(self.connect_timeout, self.network.connect(address)).await.ok()?.ok()?;
        let (socket, heard) = Socket::new(stream);
        let handshake = http1::Builder::new().max_buf_size(BUFFER_MOST).handshake(TokioIo::new(socket));
        let (sender, connection) = handshake.await.ok()?;
        let (mut task, rest) = (JoinSet::new(), self.rest(endpoint));
        task.spawn_local(async move {
            if connection.await.is_err_and(|e| unasked(&e)) {
                rest.borrow_mut().spoilt(Instant::now());
            }
        });
        Some(Pooled {
            sender,
            heard,
            address,
            idle_since: Instant::now(),
            _connection: task,
            _permit: permit,
        })
    }

    fn inline_report(&self, headers: &HeaderMap) -> Option<Vec<f64>> {
        self.report(headers.get("x-server-load")?.to_str().ok()?)
    }

    /// The values of the settings' fields, in their order; none unless all are there.
    fn report(&self, text: &str) -> Option<Vec<f64>> {
        let value = |field: &LoadField| {
            let pairs = text.trim().split(',').filter_map(|pair| pair.split_once('='));
            let (_, value) = pairs.into_iter().find(|(name, _)| *name == wire_name(*field))?;
            value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0)
        };
        if self.fields.is_empty() {
            return None;
        }
        self.fields.iter().map(value).collect()
    }
}

/// Whether a connection ended because more came than had been asked for. hyper has no other name for it.
fn unasked(e: &hyper::Error) -> bool {
    let known = e.is_canceled() || e.is_closed() || e.is_incomplete_message() || e.is_user();
    e.is_parse() || (!known && e.source().is_none())
}

/// Ends once an answer has begun and has not become whole in its time.
async fn stalled(heard: &Heard, ahead: &AtomicBool) {
    loop {
        let at = match heard.began() {
            Some(at) if at.elapsed() >= ANSWER_TIME && !ahead.load(Ordering::Relaxed) => return,
            Some(at) if !ahead.load(Ordering::Relaxed) => at + ANSWER_TIME,
            _ => Instant::now() + ANSWER_TIME / 4,
        };
        sleep_until(at).await;
    }
}

/// A load report's field as endpoints name it.
fn wire_name(field: LoadField) -> &'static str {
    match field {
        LoadField::Outstanding => "inflight",
        LoadField::Backlog => "queue",
        LoadField::Utilization => "util",
        LoadField::RecentMs => "latency_ms",
        LoadField::Throughput => "qps",
        LoadField::ErrorsPerS => "eps",
        LoadField::Other => "",
    }
}
