//! Client connections: accepts and validates requests, sends final answers, limits the number of connections, and
//! drains at shutdown.

use super::budget::{Budget, Holder, Permit};
use super::config::Names;
use super::driver::{Answer, Inbox, IncomingRequest, Input};
use super::outbound::{Forward, MAX_BODY_BYTES, MAX_BUFFER_BYTES, Outbound};
use super::socket::{Socket, SocketState};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use runtrack_balancer::{ClassId, RequestId, Semantics, Settings, TenantId};
use runtrack_net::{Connection, Listener, PeekStatus, mutant};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Subtracted from a client's timeout, so that the answer reaches it in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);
/// Time within which a request must be complete, from the connection's start or, for later requests, from the first
/// byte: misbehaving clients must get an error or a close within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Additional read time for a request that has unread input in the kernel at its timeout.
const UNREAD_GRACE: Duration = Duration::from_millis(50);
/// Connections that are idle between requests for this long are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// `Retry-After` for a client refused for lack of sockets, if the settings permit that header; limited by the
/// settings' maximum.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Interval at which a connection checks its timeouts.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed accept. Without descriptors the next accept would fail at once, in a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// How long connections are accepted after SIGTERM. New ones arrive for up to 0.4 s after it.
const SHUTDOWN_ACCEPT_TIME: Duration = Duration::from_millis(500);
/// The listen backlog counts as empty once no connection could be accepted for this long.
const BACKLOG_EMPTY_AFTER: Duration = Duration::from_millis(30);
/// When sockets run out, connections that have been idle between requests for this long may be closed.
const MIN_IDLE_TO_EVICT: Duration = Duration::from_secs(2);
/// When sockets run out, connections that have sent no complete request for this long may be closed: a client with a
/// request sends it at once.
const MIN_SILENCE_TO_EVICT: Duration = Duration::from_millis(50);
/// Interval of further attempts to close a connection when none could be closed.
const EVICT_RETRY: Duration = Duration::from_millis(10);
/// During shutdown, a connection without input is closed after this time.
const NEW_CONN_GRACE: Duration = Duration::from_millis(200);
/// SIGKILL follows SIGTERM after the longest deadline, or `MAX_SHUTDOWN_DEADLINE` if that is less, plus 0.7 s.
/// Requests still open after that deadline plus this slack are failed, which leaves time to send the answers.
const SHUTDOWN_SLACK: Duration = Duration::from_millis(450);
/// The longest deadline that delays SIGKILL.
const MAX_SHUTDOWN_DEADLINE: Duration = Duration::from_secs(3);
/// Time limit of a lingering close: input is read and discarded until the client closes too. A client that behaves well
/// does so within a round trip.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum input discarded in a lingering close, in bytes.
const LINGER_MAX_BYTES: usize = 16 * MAX_BODY_BYTES;
/// Time for sending the last answers at shutdown.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(150);

/// State shared by all client connections.
pub struct Inbound {
    settings: Settings,
    classes: Vec<String>,
    tenants: Vec<String>,
    budget: Rc<Budget>,
    outbound: Rc<Outbound>,
    inbox: Inbox,
    next_id: Cell<u64>,
    shutting_down: Cell<bool>,
    /// Open requests have been failed at shutdown, and no more requests are taken.
    terminated: Cell<bool>,
    /// The last accept failed; logged once until an accept succeeds.
    accept_failing: Cell<bool>,
    /// Open connections in the order in which they were accepted.
    connections: RefCell<BTreeMap<u64, Rc<ClientConn>>>,
    /// `X-Request-ID` of each open request, with the connection on which it arrived.
    open: RefCell<HashMap<HeaderValue, Rc<SocketState>>>,
}

/// Keeps a request's `X-Request-ID` registered as open until dropped; a second open request must not use the same id.
struct OpenIdGuard<'a> {
    open: &'a RefCell<HashMap<HeaderValue, Rc<SocketState>>>,
    id: HeaderValue,
    on: &'a Rc<SocketState>,
}

impl Drop for OpenIdGuard<'_> {
    fn drop(&mut self) {
        let mut open = self.open.borrow_mut();
        // The id may have been registered again by a newer connection, whose entry must stay.
        if open.get(&self.id).is_some_and(|on| Rc::ptr_eq(on, self.on)) {
            open.remove(&self.id);
        }
    }
}

/// Reports to the driver, on drop, that the client disconnected before its answer.
struct DisconnectGuard<'a> {
    inbox: &'a Inbox,
    id: RequestId,
    answered: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.inbox.send(Input::ClientGone(self.id));
        }
    }
}

/// State of a client's connection.
struct ClientConn {
    socket: Rc<SocketState>,
    accepted: Instant,
    /// Accepted over the limit, only to be refused.
    shed: bool,
    /// A request is being read or answered.
    busy: Cell<bool>,
    /// When the last answer was given; `None` before the first.
    answered: Cell<Option<Instant>>,
    /// The next answer is the connection's last and carries `Connection: close`.
    is_last: Cell<bool>,
    /// It was selected to be closed for lack of sockets.
    evicted: Cell<bool>,
    /// Our side is closed; waiting for the client to close.
    lingering: Cell<bool>,
    /// Wakes the connection to close itself.
    close: Notify,
}

impl ClientConn {
    /// How long it has been idle between requests; `None` before the first one or while one arrives or is open.
    fn idle_for(&self) -> Option<Duration> {
        self.answered
            .get()
            .filter(|_| !self.busy.get() && self.socket.first_byte_at().is_none())
            .map(|at| at.elapsed())
    }

    /// Whether a request has begun to arrive, even if only in the kernel's buffer: closing now would reset it.
    fn request_arriving(&self) -> bool {
        !self.busy.get()
            && (self.socket.first_byte_at().is_some() || self.socket.peek_status() == PeekStatus::Data)
            && !mutant("closes-with-unread-input")
    }

    /// How long it has been without a request since it was accepted, or with an incomplete request head.
    fn silent_for(&self) -> Option<Duration> {
        let since =
            if self.answered.get().is_none() { Some(self.accepted) } else { self.socket.first_byte_at() };
        since.filter(|_| !self.busy.get()).map(|at| at.elapsed())
    }

    /// When the first request, or one that has begun to arrive, must be complete.
    fn request_deadline(&self) -> Instant {
        match (self.answered.get(), self.socket.first_byte_at()) {
            (None, _) | (_, None) => self.accepted + REQUEST_TIMEOUT,
            (Some(_), Some(began)) => began + REQUEST_TIMEOUT,
        }
    }

    /// When it is closed unless input arrives; `None` while a request is open.
    fn close_at(&self) -> Option<Instant> {
        match self.answered.get() {
            _ if self.busy.get() => None,
            Some(at) if self.socket.first_byte_at().is_none() => Some(at + IDLE_TIMEOUT),
            _ => Some(self.request_deadline()),
        }
    }
}

type Reply = Response<Full<Bytes>>;

/// Status and text of the answer to an invalid request.
type RequestError = (StatusCode, &'static str);

impl Inbound {
    /// Creates the shared state, without connections.
    pub fn new(
        settings: Settings,
        names: &Names,
        budget: Rc<Budget>,
        outbound: Rc<Outbound>,
        inbox: Inbox,
    ) -> Rc<Self> {
        let list = |names: &[super::config::NamedEntry]| names.iter().map(|n| n.name.clone()).collect();
        Rc::new(Inbound {
            classes: list(&names.classes),
            tenants: list(&names.tenants),
            settings,
            budget,
            outbound,
            inbox,
            next_id: Cell::new(0),
            shutting_down: Cell::new(false),
            terminated: Cell::new(false),
            accept_failing: Cell::new(false),
            connections: RefCell::default(),
            open: RefCell::default(),
        })
    }

    /// Serves until `drain` is notified, then drains: every connection that the kernel has accepted is answered.
    pub async fn serve(self: Rc<Self>, listener: Box<dyn Listener>, drain: &Notify) {
        loop {
            tokio::select! {
                biased;
                () = drain.notified() => break,
                () = self.accept(&*listener) => {}
            }
        }
        let drain_started = Instant::now();
        log::info!("draining: {} clients connected", self.budget.clients());
        self.shutting_down.set(true);
        while timeout_at(drain_started + SHUTDOWN_ACCEPT_TIME, self.accept(&*listener)).await.is_ok() {}
        let longest = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let until = drain_started + longest.min(MAX_SHUTDOWN_DEADLINE) + SHUTDOWN_SLACK;
        // Connections in the backlog must be served: closing the listener would reset them. The time spent waiting
        // for a free socket does not count as an empty backlog, since requests may queue behind connections without
        // one.
        while let Ok(true) = timeout_at(until, self.accept_within(&*listener, BACKLOG_EMPTY_AFTER)).await {}
        drop(listener);
        self.connections.borrow().values().for_each(|conn| conn.close.notify_one());
        if !mutant("lost-on-term") && timeout_at(until, self.clients_gone()).await.is_err() {
            self.terminated.set(true);
            let _ = self.inbox.send(Input::GiveUp);
            let _ = timeout(LAST_ANSWER_TIME, self.clients_gone()).await;
        }
        log::info!("drained in {} ms", drain_started.elapsed().as_millis());
    }

    async fn clients_gone(&self) {
        while self.budget.clients() > 0 {
            self.budget.client_freed().await;
        }
    }

    /// Accepts one connection once a socket is available.
    async fn accept(self: &Rc<Self>, listener: &dyn Listener) {
        let permit = self.acquire_slot().await;
        let accepted = poll_fn(|cx| listener.poll_accept(cx)).await;
        self.serve_accepted(accepted, permit).await;
    }

    /// Like `accept`, but waits at most `time` once a socket is available; whether a connection was accepted.
    async fn accept_within(self: &Rc<Self>, listener: &dyn Listener, time: Duration) -> bool {
        let wait = if mutant("backlog-assumed-empty") { time } else { Duration::MAX };
        let Ok(permit) = timeout(wait, self.acquire_slot()).await else { return false };
        let Ok(accepted) = timeout(time, poll_fn(|cx| listener.poll_accept(cx))).await else {
            return false;
        };
        self.serve_accepted(accepted, permit).await;
        true
    }

    /// Spawns the task that serves an accepted connection, or pauses after a failed accept.
    async fn serve_accepted(
        self: &Rc<Self>,
        accepted: io::Result<Box<dyn Connection>>,
        permit: Option<Permit>,
    ) {
        match accepted {
            Ok(stream) => {
                self.accept_failing.set(false);
                let permit = permit.or_else(|| self.budget.acquire(Holder::Client));
                let shed = permit.is_none();
                let permit = permit.or_else(|| self.budget.acquire(Holder::Shed));
                let (transport, conn, number) = self.register(stream, shed);
                let this = self.clone();
                spawn_local(async move {
                    let _permit = permit;
                    this.serve_conn(transport, &conn).await;
                    this.linger(&conn).await;
                    this.connections.borrow_mut().remove(&number);
                });
            }
            Err(e) => {
                if !self.accept_failing.replace(true) {
                    log::info!("accept: {e}");
                }
                self.outbound.close_oldest_idle();
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }

    /// Waits for a permit for one more client; `None` if the client can only be refused.
    async fn acquire_slot(&self) -> Option<Permit> {
        loop {
            while self.budget.endpoints_block_clients() && self.outbound.close_oldest_idle() {}
            if let Some(permit) = self.budget.acquire(Holder::Client) {
                return Some(permit);
            }
            if !self.evict(false) {
                if let Some(permit) = self.budget.acquire(Holder::Shed) {
                    drop(permit);
                    return None;
                }
                self.evict(true);
            }
            let _ = timeout(EVICT_RETRY, self.budget.client_freed()).await;
        }
    }

    /// Closes one connection to free a socket: one that is lingering, else the oldest that has sent no complete
    /// request, else the one idle longest. If there is none, marks a connection to be closed after its next answer.
    /// Returns whether one is closed, or will be once it has been silent long enough. Shed connections are only
    /// closed for other shed ones, and regular ones for regular ones.
    fn evict(&self, shed: bool) -> bool {
        let connections = self.connections.borrow();
        let same_kind =
            || connections.values().filter(|conn| conn.shed == shed || mutant("backlog-assumed-empty"));
        let close_to_evict = |conn: &Rc<ClientConn>| {
            conn.evicted.set(true);
            conn.close.notify_one();
            true
        };
        let mut lingering = same_kind().filter(|conn| conn.lingering.get() && !conn.evicted.get());
        if let Some(conn) = lingering.next() {
            return close_to_evict(conn);
        }
        let open = || same_kind().filter(|conn| !conn.evicted.get() && !conn.lingering.get());
        let silent = open().find(|conn| conn.silent_for().is_some());
        if silent.is_some_and(|conn| conn.silent_for().is_some_and(|time| time < MIN_SILENCE_TO_EVICT)) {
            return true;
        }
        let idle = || {
            let idle = open().filter_map(|conn| Some((conn.idle_for()?, conn)));
            idle.filter(|(time, _)| *time >= MIN_IDLE_TO_EVICT)
                .max_by_key(|(time, _)| *time)
                .map(|(_, conn)| conn)
        };
        match silent.or_else(idle) {
            Some(conn) => close_to_evict(conn),
            None => {
                // A connection just used is likely to be used again at once, and a request that crosses the close is
                // lost or sent twice. So its next answer announces the close.
                if let Some(conn) = open().find(|conn| !conn.is_last.get()) {
                    conn.is_last.set(true);
                }
                false
            }
        }
    }

    /// Registers a new connection at once, so that notifications to all connections reach it too.
    fn register(&self, stream: Box<dyn Connection>, shed: bool) -> (Socket, Rc<ClientConn>, u64) {
        let (transport, socket) = Socket::new(stream);
        let (busy, answered, is_last, evicted, lingering, close) = Default::default();
        let accepted = Instant::now();
        let conn = Rc::new(ClientConn {
            socket,
            accepted,
            shed,
            busy,
            answered,
            is_last,
            evicted,
            lingering,
            close,
        });
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        self.connections.borrow_mut().insert(number, conn.clone());
        (transport, conn, number)
    }

    /// Lingering close: waits for a limited time until the client has read the answer and closes too. It is cut short
    /// if the connection is selected to be closed for lack of sockets.
    async fn linger(&self, conn: &ClientConn) {
        if conn.evicted.replace(false)
            && conn.answered.get().is_none()
            && conn.socket.peek_status() != PeekStatus::Data
        {
            return; // closed for its silence: there is no data that the close could discard
        }
        conn.lingering.set(true);
        let mut lingered = pin!(conn.socket.linger(LINGER_TIMEOUT, LINGER_MAX_BYTES));
        while !mutant("no-linger") {
            tokio::select! {
                biased;
                () = &mut lingered => return,
                () = conn.close.notified() => {}
            }
            // An earlier notification was meant for the open connection and does not end the lingering.
            if conn.evicted.get() {
                return;
            }
        }
    }

    /// Serves a connection until its end.
    async fn serve_conn(&self, transport: Socket, conn: &ClientConn) {
        let service = service_fn(|request| self.answer(request, conn));
        let connection = http1::Builder::new()
            .keep_alive(!conn.shed)
            .max_buf_size(MAX_BUFFER_BYTES)
            .serve_connection(TokioIo::new(transport), service);
        let mut connection = pin!(connection);
        let mut new_until = None;
        loop {
            let until = new_until
                .into_iter()
                .chain(conn.close_at())
                .fold(Instant::now() + CHECK_INTERVAL, Instant::min);
            tokio::select! {
                biased;
                _ = connection.as_mut() => return, // an error means that the client disconnected
                () = conn.close.notified() => {
                    if conn.busy.get() {
                        conn.is_last.set(true);
                    } else if self.shutting_down.get() && conn.answered.get().is_none() && !conn.evicted.get() {
                        // The first request counts as accepted: closing now would lose a request that the client
                        // is just writing.
                        new_until = Some(Instant::now() + NEW_CONN_GRACE);
                    } else if conn.evicted.get()
                        && conn.socket.first_byte_at().is_some()
                        && conn.socket.peek_status() != PeekStatus::Data
                    {
                        return; // closed for lack of sockets; the client stopped within a request head
                    } else if conn.request_arriving() {
                        // A request crosses the close: it is answered, and the answer announces the close.
                        conn.evicted.set(false);
                        conn.is_last.set(true);
                    } else if conn.silent_for().is_some() {
                        return;
                    } else {
                        connection.as_mut().graceful_shutdown();
                    }
                }
                () = sleep_until(until) => {
                    let now = Instant::now();
                    let unused = new_until.take_if(|at| *at <= now).is_some() && !conn.request_arriving();
                    if conn.close_at().is_some_and(|at| at <= now || unused) {
                        match conn.silent_for() {
                            Some(_) => return,
                            None if conn.request_arriving() => conn.is_last.set(true),
                            None => connection.as_mut().graceful_shutdown(),
                        }
                    }
                }
            }
        }
    }

    async fn answer(&self, request: Request<Incoming>, conn: &ClientConn) -> Result<Reply, Infallible> {
        conn.busy.set(true);
        // A kept connection can't be evicted for 2 s after its answer: idle ones would use up the sockets and new
        // clients would be refused although few requests are open.
        let mut is_last = conn.shed || self.budget.clients_near_limit();
        let mut reply = if request.uri().path() == "/-/ready" && request.body().is_end_stream() {
            // Close after a readiness check: hundreds of kept probe connections would use up the clients' sockets.
            is_last = true;
            let status =
                if self.shutting_down.get() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
            plain(status, "")
        } else if conn.shed {
            self.refuse_unsent("too many connections")
        } else {
            match self.serve_request(request, conn).await {
                Ok(reply) => reply,
                Err((status, problem)) => {
                    // Nothing else from this client is read.
                    is_last = true;
                    plain(status, problem)
                }
            }
        };
        // Checked only now, since shutdown may have begun while the request was open.
        is_last |= self.shutting_down.get() && !mutant("no-close-header");
        conn.busy.set(false);
        conn.answered.set(Some(Instant::now()));
        conn.socket.clear_first_byte();
        if is_last || conn.is_last.get() {
            reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(reply)
    }

    /// Refuses a request that was not sent to any endpoint, so that it may be retried anywhere.
    fn refuse_unsent(&self, reason: &'static str) -> Reply {
        let by_settings = self.settings.limits.capped_retry_after(SHED_RETRY_AFTER);
        refusal(
            reason,
            if mutant("retry-after-unconditional") { Some(SHED_RETRY_AFTER) } else { by_settings },
        )
    }

    /// Awaits `future`, or fails if the client sends more input meanwhile: pipelined requests are not supported.
    async fn reject_pipelined<F: Future>(conn: &ClientConn, future: F) -> Result<F::Output, RequestError> {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if conn.socket.may_have_more() {
                return Poll::Ready(Err((StatusCode::BAD_REQUEST, "more than one request at once")));
            }
            future.as_mut().poll(cx).map(Ok)
        })
        .await
    }

    async fn serve_request(
        &self,
        request: Request<Incoming>,
        conn: &ClientConn,
    ) -> Result<Reply, RequestError> {
        let (mut head, body) = request.into_parts();
        // Clients must use Content-Length. If both are present, hyper gives Transfer-Encoding precedence over
        // Content-Length and would parse the remaining body as the next request (request smuggling).
        if head.headers.contains_key(header::TRANSFER_ENCODING) && !mutant("smuggled") {
            return Err((StatusCode::LENGTH_REQUIRED, "no Transfer-Encoding"));
        }
        let (mut request, time) = self.read(&head.method, &head.uri, &head.headers)?;
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too long"));
        }
        if head.method == Method::GET && !body.is_end_stream() {
            return Err(invalid("a body where none goes"));
        }
        let id = head.headers.get("x-request-id").cloned().ok_or(invalid("X-Request-ID is missing"))?;
        let _open = self.open_id(id, &conn.socket)?;
        let mut body = pin!(Limited::new(body, MAX_BODY_BYTES).collect());
        let mut read = timeout_at(conn.request_deadline(), body.as_mut()).await;
        if read.is_err() && conn.socket.peek_status() == PeekStatus::Data {
            // The timeout passed while this process lacked processor time: input in the kernel arrived in time.
            read = timeout(UNREAD_GRACE, body).await;
        }
        let body = match read {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too long"));
            }
            Ok(Err(_)) => return Err(invalid("body broken")),
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "body never came")),
        };
        Self::reject_pipelined(conn, std::future::ready(())).await?;
        if self.terminated.get() && !mutant("sends-after-forced-end") {
            return Ok(self.refuse_unsent("ending"));
        }
        // The client's timeout starts at its last byte.
        let received_at = Instant::now();
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        request.id = id;
        strip_hop_by_hop(&mut head.headers);
        let (answer, answered) = oneshot::channel();
        let forward = Rc::new(Forward { method: head.method, uri: head.uri, headers: head.headers, body });
        let time = if mutant("late-deadline") { time * 3 } else { time };
        let deadline = received_at + time - ANSWER_MARGIN.min(time / 10);
        let semantics = self.settings.classes[request.class.0].semantics;
        let at_most_once = semantics == Semantics::Unsafe;
        let repeat_window = match semantics {
            Semantics::Keyed { window, .. } => Some(window),
            Semantics::Safe | Semantics::Unsafe => None,
        };
        let read_time = conn.socket.first_byte_at().map_or(Duration::ZERO, |began| received_at - began);
        let incoming = IncomingRequest {
            request,
            read_time,
            received_at,
            deadline,
            forward,
            at_most_once,
            repeat_window,
            answer,
        };
        let mut guard = DisconnectGuard { inbox: &self.inbox, id, answered: false };
        let _ = self.inbox.send(Input::RequestReceived(Box::new(incoming)));
        // A safeguard: if the decision module lost a request, its client would still be answered in time.
        let answer = Self::reject_pipelined(conn, timeout_at(received_at + time, answered)).await?;
        guard.answered = answer.is_ok();
        Ok(match answer {
            Ok(Ok(Answer::Served(body))) => Response::new(Full::new(body)),
            Ok(Ok(Answer::Refused(retry_after))) => refusal("refused", retry_after),
            Ok(Ok(Answer::Failed) | Err(_)) => plain(StatusCode::BAD_GATEWAY, "failed"),
            Err(_) => plain(StatusCode::GATEWAY_TIMEOUT, "out of time"),
        })
    }

    /// Registers a request's id as open. A client that reconnects at once may be read before the close of its old
    /// connection has been noticed, so that one's unread input is checked for the close.
    fn open_id<'a>(
        &'a self,
        id: HeaderValue,
        on: &'a Rc<SocketState>,
    ) -> Result<OpenIdGuard<'a>, RequestError> {
        let mut open = self.open.borrow_mut();
        if let Some(other) = open.get(&id)
            && (other.peek_status() != PeekStatus::Eof || mutant("old-connection-not-checked"))
        {
            return Err((StatusCode::CONFLICT, "a request of that id is open"));
        }
        open.insert(id.clone(), on.clone());
        Ok(OpenIdGuard { open: &self.open, id, on })
    }

    /// Validates a request's head; returns the request for the decision module and the client's timeout.
    fn read(
        &self,
        method: &Method,
        uri: &hyper::Uri,
        headers: &HeaderMap,
    ) -> Result<(runtrack_balancer::Request, Duration), RequestError> {
        let target = uri.path_and_query().map(|target| target.as_str()).unwrap_or_default();
        if !target.bytes().all(|byte| byte.is_ascii_graphic())
            || headers.values().any(|value| std::str::from_utf8(value.as_bytes()).is_err())
        {
            return Err(invalid("what is no text"));
        }
        let text = |name: &str| {
            let mut values = headers.get_all(name).iter();
            match (values.next(), values.next()) {
                (None, _) => Ok(None),
                (Some(value), None) => value.to_str().map(Some).map_err(|_| invalid("a header is no text")),
                (Some(_), Some(_)) => Err(invalid("a header comes twice")),
            }
        };
        let name = uri.path().split('/').nth(1).unwrap_or_default();
        let class = self.classes.iter().position(|class| class == name);
        let class = class.ok_or((StatusCode::NOT_FOUND, "unknown class"))?;
        if text("x-request-id")?.is_none_or(|id| id.is_empty() || !id.bytes().all(|b| b.is_ascii_graphic()))
        {
            return Err(invalid("X-Request-ID is missing or bad"));
        }
        let keyed = text("idempotency-key")?.is_some();
        let (method_wanted, key_wanted) = match self.settings.classes[class].semantics {
            Semantics::Safe => (Method::GET, keyed),
            Semantics::Keyed { .. } => (Method::POST, true),
            Semantics::Unsafe => (Method::POST, false),
        };
        if *method != method_wanted {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "not the class's method"));
        }
        if keyed != key_wanted {
            return Err(invalid("Idempotency-Key does not go with the class"));
        }
        let time =
            text("x-timeout")?.and_then(parse_timeout).ok_or(invalid("X-Timeout is missing or bad"))?;
        // The client's timeout is capped, so that state of open requests does not accumulate.
        let time = time.min(self.settings.classes[class].deadline);
        let tenant = match text("x-tenant-id")? {
            _ if self.tenants.is_empty() => 0,
            Some(name) => {
                self.tenants.iter().position(|tenant| tenant == name).ok_or(invalid("unknown tenant"))?
            }
            None => return Err(invalid("X-Tenant-Id is missing")),
        };
        let query = uri.query().unwrap_or_default().split('&');
        let user = query.filter_map(|pair| pair.strip_prefix("user=")).next();
        let key = user.map(|user| parse_user_key(user).ok_or(invalid("user is bad"))).transpose()?;
        let work_hint =
            text("x-cost")?.map(|cost| micros(cost, 1.0).ok_or(invalid("X-Cost is bad"))).transpose()?;
        let request = runtrack_balancer::Request {
            id: RequestId(0),
            class: ClassId(class),
            tenant: TenantId(tenant),
            time_left: Duration::ZERO,
            work_hint,
            key,
            client_retry: text("x-retried")? == Some("1"),
            write: text("x-attrs")?
                .is_some_and(|attrs| attrs.split(',').any(|attr| attr.trim() == "write=1")),
        };
        Ok((request, time))
    }
}

fn invalid(problem: &'static str) -> RequestError {
    (StatusCode::BAD_REQUEST, problem)
}

/// A refusal, optionally with a `Retry-After` in seconds.
fn refusal(reason: &'static str, retry_after: Option<Duration>) -> Reply {
    let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, reason);
    if let Some(wait) = retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64()))
    {
        reply.headers_mut().insert(header::RETRY_AFTER, value);
    }
    reply
}

fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *reply.status_mut() = status;
    reply
}

/// Parses a positive timeout: a decimal number with the unit `m` for milliseconds or `u` for microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let time = match text.strip_suffix('m') {
        Some(number) => micros(number, 1000.0),
        None => micros(text.strip_suffix('u')?, 1.0),
    };
    time.filter(|time| !time.is_zero())
}

/// Parses a decimal number of units of `unit` microseconds. Only digits and one point are valid: no signs, exponents
/// or special values.
fn micros(number: &str, unit: f64) -> Option<Duration> {
    let digits = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let micros = number.parse::<f64>().ok().filter(|_| digits)? * unit;
    micros.is_finite().then(|| Duration::from_micros(micros as u64))
}

/// Parses a key of up to 16 hex digits.
fn parse_user_key(text: &str) -> Option<u64> {
    let hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| hex)
}

/// Removes hop-by-hop headers and those that are set for each attempt.
fn strip_hop_by_hop(headers: &mut HeaderMap) {
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
