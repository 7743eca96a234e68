//! Connections to endpoints: pooling, attempts, probes, and the classification of how they end.

use super::budget::{Budget, Holder, Permit};
use super::reuse_delay::ReuseDelay;
use super::socket::{Socket, SocketState};
use super::window::RepeatWindow;
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

/// Maximum length of a request's or an answer's body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Size of a connection's read and write buffers in bytes; also the limit of a message's head.
pub const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Fraction of the endpoints' idle timeout after which the sidecar closes a connection itself: a request written
/// while the endpoint closes the connection is reset, and an unsafe request can't be repeated then.
const IDLE_CLOSE_FRACTION: f64 = 0.7;
/// How long idle connections are kept if the settings give no idle timeout.
const DEFAULT_IDLE_CLOSE: Duration = Duration::from_secs(5);
/// Interval at which idle connections are checked for closing.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// How long the last byte of a body is delayed after the rest. A connection that the peer has dropped or is about to
/// drop answers the first bytes with a reset; an endpoint starts execution only after the last byte, so that a
/// request reset before it was not executed and may be sent again even if it must not be repeated. This covers
/// closing endpoints, intermediate proxies and restarts. With a longer round trip the reset arrives too late to help.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(1);
/// The last byte is delayed only if the endpoint has not answered within this time on any connection, or has reset
/// one since, or the connection is aged: an endpoint that has just answered is unlikely to be gone, and at high call
/// rates the delay would dominate latency.
const RECENT_ANSWER: Duration = Duration::from_millis(5);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time from the first byte of an answer until it must be complete. An answer with a wrong length or an endless head
/// never completes and would use up the time in which the request could be sent again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection counts as aged: an intermediary or the endpoint may have dropped it well before
/// the configured idle timeout, and then resets the next request on it.
const AGED_IDLE_TIME: Duration = Duration::from_millis(100);
/// Number of resets on aged connections, reduced by `AGED_ANSWER_CREDIT` for each answer on one, after which aged
/// connections are not reused for `AGED_PAUSE`.
const MAX_AGED_RESETS: f64 = 2.0;
/// Reduction of the count of resets for each answer on an aged connection.
const AGED_ANSWER_CREDIT: f64 = 0.05;
/// How long aged connections are not reused. It is long, since a reset loses an unsafe request while a new connection
/// only costs a handshake.
const AGED_PAUSE: Duration = Duration::from_secs(30);
/// Connect timeout if the settings give none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How an attempt or a probe ended.
pub struct AttemptEnd {
    /// The outcome.
    pub outcome: Outcome,
    /// The body of a 200.
    pub body: Bytes,
    /// The endpoint's load report, if the answer had one.
    pub report: Option<Vec<f64>>,
    /// When the request was handed to a connection, and when the first byte of the answer arrived.
    pub stages: Option<(Instant, Instant)>,
}

impl AttemptEnd {
    /// An end with this outcome and no answer.
    pub fn of(outcome: Outcome) -> Self {
        AttemptEnd { outcome, body: Bytes::new(), report: None, stages: None }
    }
}

/// How much of an attempt has been sent.
#[derive(Clone, Default)]
pub struct Progress {
    /// It was handed to a connection, and its first byte may have been sent.
    started: Rc<Cell<bool>>,
    /// Its last byte was handed to the connection: an attempt that ends before that was not executed.
    fully_sent: Rc<Cell<bool>>,
}

impl Progress {
    /// Whether its first byte may have been sent.
    pub fn started(&self) -> bool {
        self.started.get()
    }

    /// The outcome at a timeout: a request that was not completely written was not executed.
    pub fn timeout_outcome(&self) -> Outcome {
        if self.fully_sent.get() && !mutant("late-never-ran") {
            Outcome::TimedOut
        } else {
            Outcome::ConnectFailed
        }
    }

    /// The outcome of cancelling the attempt.
    pub fn cancel_outcome(&self) -> Outcome {
        if self.started() { Outcome::Cancelled } else { Outcome::NotSent }
    }
}

/// A request's body, optionally with its last byte delayed by `LAST_BYTE_DELAY`.
struct DelayedBody {
    remaining: Bytes,
    delay_last: bool,
    timer: Option<Pin<Box<Sleep>>>,
    /// Set when the last byte is handed to the connection.
    fully_sent: Rc<Cell<bool>>,
}

impl Body for DelayedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.delay_last {
            let (first, length) = (self.timer.is_none(), self.remaining.len().saturating_sub(1));
            let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(LAST_BYTE_DELAY)));
            if first && length > 0 {
                return Poll::Ready(Some(Ok(Frame::data(self.remaining.split_to(length)))));
            }
            ready!(timer.as_mut().poll(cx));
        }
        self.fully_sent.set(!mutant("unsaid-last-byte"));
        let last = std::mem::take(&mut self.remaining);
        Poll::Ready((!last.is_empty()).then_some(Ok(Frame::data(last))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }
}

/// An open HTTP/1.1 connection to an endpoint.
struct PooledConnection {
    sender: SendRequest<DelayedBody>,
    socket: Rc<SocketState>,
    address: SocketAddr,
    idle_since: Instant,
    /// Dropping the task closes the connection, even while an answer is pending.
    _connection: JoinSet<()>,
    _permit: Permit,
}

/// The connection pool of one endpoint.
#[derive(Default)]
struct Pool {
    /// Idle connections, the most recently used last.
    idle: Vec<PooledConnection>,
    reuse_delay: Rc<RefCell<ReuseDelay>>,
    /// When the endpoint last answered; `None` if it has reset a connection since.
    last_answer: Option<Instant>,
}

/// A request to forward to an endpoint.
pub struct Forward {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Forward {
    /// The HTTP request for one attempt, with this time left in `X-Timeout`.
    fn request(&self, address: SocketAddr, time_left: Duration, body: DelayedBody) -> Request<DelayedBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        let text = |text: String| HeaderValue::from_maybe_shared(Bytes::from(text));
        let text = |line| text(line).unwrap_or(HeaderValue::from_static(""));
        headers.insert(header::HOST, text(address.to_string()));
        headers.insert(HeaderName::from_static("x-timeout"), text(format!("{}u", time_left.as_micros())));
        request
    }
}

/// An attempt to send a request to an endpoint.
pub struct Attempt {
    /// The request to send.
    pub forward: Rc<Forward>,
    /// When the caller gives up the attempt.
    pub give_up_at: Instant,
    /// The repeat window shared with the request's other attempts, and the number of this attempt; `None` if the
    /// request has no such window.
    pub window: Option<(Rc<RepeatWindow>, usize)>,
    /// The request must not be sent again once it may have been executed.
    pub at_most_once: bool,
}

/// The connection pools of all endpoints.
pub struct Outbound {
    network: Rc<dyn Network>,
    budget: Rc<Budget>,
    pools: RefCell<BTreeMap<EndpointId, Pool>>,
    connect_timeout: Duration,
    max_idle: Duration,
    /// Resets on aged connections, less the credit for answers, and until when aged connections are not reused.
    aged_resets: Cell<f64>,
    aged_until: Cell<Option<Instant>>,
    load_fields: Vec<LoadField>,
}

impl Outbound {
    /// Creates empty pools.
    pub fn new(network: Rc<dyn Network>, settings: &Settings, budget: Rc<Budget>) -> Rc<Self> {
        let (connect, idle) = (settings.limits.connect_timeout, settings.limits.idle_timeout);
        let or_default = |time: Duration, unstated| if time.is_zero() { unstated } else { time };
        Rc::new(Outbound {
            network,
            budget,
            pools: RefCell::default(),
            aged_resets: Cell::default(),
            aged_until: Cell::default(),
            connect_timeout: or_default(connect, DEFAULT_CONNECT_TIMEOUT),
            max_idle: or_default(idle.mul_f64(IDLE_CLOSE_FRACTION), DEFAULT_IDLE_CLOSE),
            load_fields: settings.load_reports.fields.clone(),
        })
    }

    /// Sends one attempt and waits for its end. The request is written at most once: it is sent on another connection
    /// only if it provably was not written.
    pub async fn attempt(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        attempt: Attempt,
        progress: &Progress,
    ) -> AttemptEnd {
        let Attempt { forward, give_up_at, window, at_most_once } = attempt;
        self.pools.borrow_mut().entry(endpoint).or_default();
        // An informational response (1xx) does not tell when the final answer will arrive.
        let informational = Arc::new(AtomicBool::new(false));
        loop {
            progress.started.set(false);
            if let Some((window, number)) = &window {
                window.record_not_executed(*number);
            }
            let Some((mut conn, is_new)) = self.pooled_connection(endpoint, address).await else {
                return AttemptEnd::of(Outcome::ConnectFailed);
            };
            // That an idle connection is closed may be noticed only now.
            if !conn.sender.is_ready()
                && !matches!(timeout(self.connect_timeout, conn.sender.ready()).await, Ok(Ok(())))
            {
                if is_new {
                    return AttemptEnd::of(Outcome::ConnectFailed);
                }
                continue;
            }
            // Read after connecting, since another attempt may have started meanwhile.
            let write_deadline =
                window.as_ref().and_then(|(window, number)| window.write_deadline(*number));
            let write_deadline = write_deadline.filter(|_| !mutant("ignores-earlier-copy"));
            if write_deadline.is_some_and(|by| Instant::now() >= by) {
                if !is_new {
                    self.return_to_pool(endpoint, conn);
                }
                return AttemptEnd::of(Outcome::ConnectFailed);
            }
            let idle = conn.idle_since.elapsed();
            // A request without a body is complete with its head, which is not delayed.
            let (remaining, fully_sent) = (forward.body.clone(), progress.fully_sent.clone());
            fully_sent.set(remaining.is_empty());
            let delay_last =
                at_most_once && ((!is_new && idle >= AGED_IDLE_TIME) || !self.recently_answered(endpoint));
            let time_left = give_up_at.saturating_duration_since(Instant::now());
            let body = DelayedBody { remaining, delay_last, timer: None, fully_sent };
            let mut request = forward.request(address, time_left, body);
            let seen = informational.clone();
            hyper::ext::on_informational(&mut request, move |_| seen.store(true, Ordering::Relaxed));
            conn.socket.clear_first_byte();
            conn.socket.set_write_deadline(write_deadline);
            progress.started.set(true);
            if let Some((window, number)) = &window {
                window.record_start(*number);
            }
            let sent_at = Instant::now();
            let exchange = async {
                match conn.sender.try_send_request(request).await {
                    Ok(response) => self.read(response).await,
                    Err(error) => {
                        if error.message().is_some() || conn.socket.write_refused() {
                            progress.fully_sent.set(false); // returned unsent, or its last byte was refused
                        }
                        if error.error().is_parse() {
                            self.record_unsolicited(endpoint);
                        }
                        AttemptEnd::of(Outcome::Reset)
                    }
                }
            };
            let mut ended = tokio::select! {
                biased;
                ended = exchange => ended,
                () = stalled(&conn.socket, &informational) => AttemptEnd::of(Outcome::Reset),
            };
            if !is_new && idle >= AGED_IDLE_TIME {
                self.record_aged_end(
                    ended.outcome == Outcome::Reset && conn.socket.first_byte_at().is_none(),
                );
            }
            ended.stages = conn.socket.first_byte_at().map(|first_byte_at| (sent_at, first_byte_at));
            let last_answer = (ended.outcome != Outcome::Reset).then(Instant::now);
            if let Some(pool) = self.pools.borrow_mut().get_mut(&endpoint) {
                pool.last_answer = last_answer;
            }
            if ended.outcome != Outcome::Reset {
                if progress.fully_sent.get() && !conn.sender.is_closed() {
                    conn.idle_since = Instant::now();
                    self.return_to_pool(endpoint, conn);
                }
                return ended;
            }
            match (progress.fully_sent.get(), is_new) {
                (true, _) if mutant("reset-never-ran") => return AttemptEnd::of(Outcome::ConnectFailed),
                (true, _) => return ended,
                (false, is_new) if is_new || conn.socket.write_refused() => {
                    return AttemptEnd::of(Outcome::ConnectFailed);
                }
                (false, _) => {} // a stale pooled connection says nothing about its endpoint: try another one
            }
        }
    }

    /// Reads the complete answer and classifies it. An answer that breaks off or is malformed counts as a reset and
    /// is never passed on, and its headers don't prove that the request was not executed.
    async fn read(&self, response: Response<Incoming>) -> AttemptEnd {
        let (head, body) = response.into_parts();
        let never_ran = head.headers.get("x-not-processed").is_some_and(|v| v.as_bytes() == b"1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => Outcome::Rejected,
            _ => Outcome::Error,
        };
        let report = self.inline_report(&head.headers);
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return AttemptEnd::of(Outcome::Reset);
        }
        match Limited::new(body, MAX_BODY_BYTES).collect().await {
            Ok(body) => AttemptEnd { outcome, body: body.to_bytes(), report, stages: None },
            Err(_) => AttemptEnd::of(Outcome::Reset),
        }
    }

    /// Requests an endpoint's load report.
    pub async fn probe(&self, endpoint: EndpointId, address: SocketAddr) -> AttemptEnd {
        let uri = Uri::from_static("/-/load");
        let (method, headers, body) = (Method::GET, HeaderMap::new(), Bytes::new());
        let forward = Rc::new(Forward { method, uri, headers, body });
        let attempt = Attempt {
            forward,
            give_up_at: Instant::now() + PROBE_TIMEOUT,
            window: None,
            at_most_once: false,
        };
        let progress = Progress::default();
        match timeout(PROBE_TIMEOUT, self.attempt(endpoint, address, attempt, &progress)).await {
            Ok(mut ended) => {
                let body = std::mem::take(&mut ended.body);
                let in_body = std::str::from_utf8(&body).ok().and_then(|text| self.parse_report(text));
                ended.report = in_body.or(ended.report);
                ended
            }
            Err(_) => AttemptEnd::of(progress.timeout_outcome()),
        }
    }

    /// Number of idle connections.
    pub fn idle(&self) -> usize {
        self.pools.borrow().values().map(|pool| pool.idle.len()).sum()
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&endpoint) {
            pool.idle.clear();
        }
    }

    /// Removes the pool of a removed endpoint: closes its idle connections and drops its reuse delay.
    pub fn forget(&self, endpoint: EndpointId) {
        self.pools.borrow_mut().remove(&endpoint);
    }

    /// Closes the endpoint's connections that have been idle since before `since`. After a network failure they stay
    /// open without answering, and each would cost one more request its time, whereas a new connection fails and
    /// proves that the request was not executed.
    pub fn close_idle_since(&self, endpoint: EndpointId, since: Instant) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&endpoint) {
            pool.idle.retain(|conn| conn.idle_since > since);
        }
    }

    /// Closes the connection that has been idle longest; false if there is none.
    pub fn close_oldest_idle(&self) -> bool {
        let mut pools = self.pools.borrow_mut();
        let oldest = pools.values_mut().filter(|pool| !pool.idle.is_empty());
        let Some(pool) = oldest.min_by_key(|pool| pool.idle[0].idle_since) else { return false };
        pool.idle.remove(0);
        true
    }

    /// Periodically closes connections that have been idle for too long or were closed by the endpoint.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            for pool in self.pools.borrow_mut().values_mut() {
                pool.idle.retain(|conn| self.usable(conn));
            }
        }
    }

    fn usable(&self, conn: &PooledConnection) -> bool {
        let paused = self.aged_until.get().is_some_and(|until| Instant::now() < until);
        let max_idle = if paused { AGED_IDLE_TIME.min(self.max_idle) } else { self.max_idle };
        !conn.sender.is_closed() && conn.idle_since.elapsed() < max_idle
    }

    /// Counts the end of an attempt on an aged connection, and stops reusing aged connections after too many resets.
    fn record_aged_end(&self, reset: bool) {
        let change = if reset { 1.0 } else { -AGED_ANSWER_CREDIT };
        let resets = (self.aged_resets.get() + change).max(0.0);
        self.aged_resets.set(resets);
        if resets >= MAX_AGED_RESETS {
            // After the pause, one more reset stops their reuse again.
            self.aged_resets.set(MAX_AGED_RESETS - 1.0);
            self.aged_until.set(Some(Instant::now() + AGED_PAUSE));
            log::info!(
                "aged connections are reset on reuse: not reusing them for {} s",
                AGED_PAUSE.as_secs()
            );
        }
    }

    /// Returns a connection to send on and whether it is new. It prefers an idle connection past its reuse delay;
    /// otherwise it opens a new one within the budget, or takes the idle one whose delay ends first, whichever is
    /// available earlier.
    async fn pooled_connection(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
    ) -> Option<(PooledConnection, bool)> {
        loop {
            let idle_conn = match self.take_idle(endpoint, address) {
                Some((conn, true)) => return Some((conn, false)),
                Some((conn, false)) => conn,
                None => return Some((self.connect(endpoint, address, true).await?, true)),
            };
            let delay = self.reuse_delay(endpoint);
            let usable_at = idle_conn.idle_since + delay.borrow().delay();
            let connected = tokio::select! {
                biased;
                connected = self.connect(endpoint, address, false) => connected,
                () = sleep_until(usable_at) => None,
            };
            match connected {
                Some(conn) => {
                    self.return_to_pool(endpoint, idle_conn);
                    return Some((conn, true));
                }
                None => sleep_until(usable_at).await,
            }
            if self.is_silent(endpoint, address, &idle_conn) {
                return Some((idle_conn, false));
            }
        }
    }

    /// Takes the most recently used idle connection past its reuse delay, so that the others may age and be closed;
    /// otherwise the one whose delay ends first. The flag says whether the delay is over.
    fn take_idle(&self, endpoint: EndpointId, address: SocketAddr) -> Option<(PooledConnection, bool)> {
        loop {
            let (conn, reusable) = {
                let mut pools = self.pools.borrow_mut();
                let pool = pools.get_mut(&endpoint)?;
                let delay = pool.reuse_delay.borrow().delay();
                let now = Instant::now();
                // They are sorted by the start of their idle time.
                let index =
                    pool.idle.partition_point(|conn| now >= conn.idle_since + delay).saturating_sub(1);
                let conn = (index < pool.idle.len()).then(|| pool.idle.remove(index))?;
                let reusable = now >= conn.idle_since + delay;
                (conn, reusable)
            };
            if mutant("no-rest") {
                return Some((conn, true));
            }
            if !reusable || self.is_silent(endpoint, address, &conn) {
                return Some((conn, reusable));
            }
        }
    }

    /// Whether a connection past its reuse delay may be used: it leads to the endpoint's current address, is not idle
    /// for too long, and the kernel holds no unread input or close. hyper's own view may be outdated if the process
    /// lacked processor time.
    fn is_silent(&self, endpoint: EndpointId, address: SocketAddr, conn: &PooledConnection) -> bool {
        if conn.address != address || !self.usable(conn) {
            return false;
        }
        let status = conn.socket.peek_status();
        match status {
            PeekStatus::Empty => self.reuse_delay(endpoint).borrow_mut().record_silence(Instant::now()),
            PeekStatus::Data => self.record_unsolicited(endpoint),
            PeekStatus::Eof => {}
        }
        status == PeekStatus::Empty
    }

    /// Whether the endpoint answered within `RECENT_ANSWER` and has not reset a connection since.
    fn recently_answered(&self, endpoint: EndpointId) -> bool {
        let last_answer = self.pools.borrow().get(&endpoint).and_then(|pool| pool.last_answer);
        last_answer.is_some_and(|at| at.elapsed() < RECENT_ANSWER)
    }

    /// Returns a connection to its endpoint's pool, or closes it if the endpoint has been removed.
    fn return_to_pool(&self, endpoint: EndpointId, conn: PooledConnection) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&endpoint) {
            let index = pool.idle.partition_point(|other| other.idle_since <= conn.idle_since);
            pool.idle.insert(index, conn);
            self.budget.notify_endpoint_reclaimable();
        }
    }

    fn reuse_delay(&self, endpoint: EndpointId) -> Rc<RefCell<ReuseDelay>> {
        self.pools.borrow().get(&endpoint).map(|pool| pool.reuse_delay.clone()).unwrap_or_default()
    }

    /// Records unsolicited bytes or an unparsable answer from an endpoint.
    fn record_unsolicited(&self, endpoint: EndpointId) {
        self.reuse_delay(endpoint).borrow_mut().record_unsolicited(Instant::now());
    }

    /// Opens a connection. Unless `forced`, it opens one only if the budget has spare sockets, since the caller can
    /// wait for an idle connection instead.
    async fn connect(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        forced: bool,
    ) -> Option<PooledConnection> {
        if !forced && !self.budget.has_spare_endpoint_socket() {
            return None;
        }
        let permit = loop {
            match self.budget.acquire(Holder::Endpoint) {
                Some(permit) => break permit,
                None if forced && self.close_oldest_idle() => {}
                // Another attempt may end soon and release its socket.
                None if forced => timeout(self.connect_timeout, self.budget.endpoint_freed()).await.ok()?,
                None => return None,
            }
        };
        // An unreachable machine never answers: without a timeout the attempt would hang.
        let stream = timeout(self.connect_timeout, self.network.connect(address)).await.ok()?.ok()?;
        let (transport, socket) = Socket::new(stream);
        let handshake =
            http1::Builder::new().max_buf_size(MAX_BUFFER_BYTES).handshake(TokioIo::new(transport));
        let (sender, connection) = handshake.await.ok()?;
        let (mut task, delay) = (JoinSet::new(), self.reuse_delay(endpoint));
        task.spawn_local(async move {
            if connection.await.is_err_and(|e| is_unsolicited(&e)) {
                delay.borrow_mut().record_unsolicited(Instant::now());
            }
        });
        Some(PooledConnection {
            sender,
            socket,
            address,
            idle_since: Instant::now(),
            _connection: task,
            _permit: permit,
        })
    }

    fn inline_report(&self, headers: &HeaderMap) -> Option<Vec<f64>> {
        self.parse_report(headers.get("x-server-load")?.to_str().ok()?)
    }

    /// Parses the configured load fields, in their order; `None` unless all are present and valid.
    fn parse_report(&self, text: &str) -> Option<Vec<f64>> {
        let value = |field: &LoadField| {
            let pairs = text.trim().split(',').filter_map(|pair| pair.split_once('='));
            let (_, value) = pairs.into_iter().find(|(name, _)| *name == wire_name(*field))?;
            value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0)
        };
        if self.load_fields.is_empty() {
            return None;
        }
        self.load_fields.iter().map(value).collect()
    }
}

/// Whether a connection ended because of unsolicited bytes, an error that hyper does not classify.
fn is_unsolicited(e: &hyper::Error) -> bool {
    let known = e.is_canceled() || e.is_closed() || e.is_incomplete_message() || e.is_user();
    e.is_parse() || (!known && e.source().is_none())
}

/// Completes when an answer has begun but not ended within `ANSWER_TIMEOUT`.
async fn stalled(socket: &SocketState, informational: &AtomicBool) {
    loop {
        let at = match socket.first_byte_at() {
            Some(at) if at.elapsed() >= ANSWER_TIMEOUT && !informational.load(Ordering::Relaxed) => return,
            Some(at) if !informational.load(Ordering::Relaxed) => at + ANSWER_TIMEOUT,
            _ => Instant::now() + ANSWER_TIMEOUT / 4,
        };
        sleep_until(at).await;
    }
}

/// The wire name of a load report's field.
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
