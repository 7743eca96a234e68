//! Clients' connections: takes requests, gives final answers, and drains at the end.

use super::budget::{Budget, Holder, Permit};
use super::config::Names;
use super::driver::{Answer, Arrival, Inbox, Input};
use super::outbound::{BODY_MOST, BUFFER_MOST, Forward, Outbound};
use super::socket::{Heard, Socket};
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

/// Kept back from a client's time, for the answer to reach it.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);
/// A request must have come whole within this, counted from the connection's start or, later, from its
/// first byte: bad clients are owed an error or a close within 3 s.
const REQUEST_TIME: Duration = Duration::from_secs(2);
/// A request whose rest lies unread when its time is up is read for so much longer.
const UNREAD_WAIT: Duration = Duration::from_millis(50);
/// A connection is closed once it has been between requests for this long.
const IDLE_MOST: Duration = Duration::from_secs(20);
/// When a client that found no room is to come back, where the settings let it be told and wait so long.
const SHED_RETRY: Duration = Duration::from_millis(500);
/// How often a connection looks whether its time is up.
const TICK: Duration = Duration::from_millis(500);
/// Wait after a failed accept: out of descriptors it would fail again at once, and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// New connections come for up to 0.4 s after SIGTERM, so we accept for a little longer.
const SHUTDOWN_ACCEPT: Duration = Duration::from_millis(500);
/// The backlog is empty once nothing has come out of it for this long.
const BACKLOG_EMPTY: Duration = Duration::from_millis(30);
/// Where room is wanted, connections are closed that have been between requests for this long ...
const IDLE_LEAST: Duration = Duration::from_secs(2);
/// ... or are this old and have brought no request: who has one sends it at once.
const SILENT_LEAST: Duration = Duration::from_millis(50);
/// Where nobody can be closed, that is looked at again after this.
const ROOM_RECHECK: Duration = Duration::from_millis(10);
/// While shutting down, a connection on which nothing has come yet is closed after this.
const FRESH_WAIT: Duration = Duration::from_millis(200);
/// SIGKILL comes no sooner than the longest deadline, but at most `DEADLINE_MOST`, and 0.7 s more:
/// what is open this long after it is failed, which leaves the answers time to go out.
const SHUTDOWN_SLACK: Duration = Duration::from_millis(450);
const DEADLINE_MOST: Duration = Duration::from_secs(3);
/// A connection that we have ended is read on for so long at most, and so much, until its client has ended it too. A
/// client on the way to one of our own endpoints or behind the front does so within a round trip.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_MOST: usize = 16 * BODY_MOST;
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
    shutting_down: Cell<bool>,
    /// What was open has been given up, and nothing more is taken.
    over: Cell<bool>,
    /// Accepting fails; said once in the log until it works again.
    failing: Cell<bool>,
    /// The connections in the order of their coming.
    connections: RefCell<BTreeMap<u64, Rc<Turn>>>,
    /// The clients' own ids of the requests that are open, and the connections that they came on.
    open: RefCell<HashMap<HeaderValue, Rc<Heard>>>,
}

/// A request's own id while it is open: a second one by the same id would be taken for it.
struct OpenId<'a> {
    open: &'a RefCell<HashMap<HeaderValue, Rc<Heard>>>,
    id: HeaderValue,
    on: &'a Rc<Heard>,
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        let mut open = self.open.borrow_mut();
        // Its client may have come again by the same id, and that one's is not for us to forget.
        if open.get(&self.id).is_some_and(|on| Rc::ptr_eq(on, self.on)) {
            open.remove(&self.id);
        }
    }
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
struct Turn {
    heard: Rc<Heard>,
    accepted: Instant,
    /// There was no room for it: it is only to be told so.
    shed: bool,
    /// A request is being read or answered.
    busy: Cell<bool>,
    /// When the last answer was given; none on a new connection.
    answered: Cell<Option<Instant>>,
    /// The next answer is the connection's last, and says so.
    last: Cell<bool>,
    /// It was told to close to make room.
    closing: Cell<bool>,
    /// We have ended it, and wait for its client to do so.
    lingering: Cell<bool>,
    /// Wakes the connection to close itself.
    close: Notify,
}

impl Turn {
    /// How long it has been between requests; none before the first.
    fn idle(&self) -> Option<Duration> {
        self.answered
            .get()
            .filter(|_| !self.busy.get() && self.heard.began().is_none())
            .map(|at| at.elapsed())
    }

    /// A request has begun to come, if only to this machine: to end the connection now would reset it.
    fn coming(&self) -> bool {
        !self.busy.get()
            && (self.heard.began().is_some() || self.heard.came() == PeekStatus::Data)
            && !mutant("closed-unread")
    }

    /// How long it has been silent or in the middle of a request's head.
    fn silent(&self) -> Option<Duration> {
        let since = if self.answered.get().is_none() { Some(self.accepted) } else { self.heard.began() };
        since.filter(|_| !self.busy.get()).map(|at| at.elapsed())
    }

    /// When a request that has begun to come, or the first one, must have come whole.
    fn request_until(&self) -> Instant {
        match (self.answered.get(), self.heard.began()) {
            (None, _) | (_, None) => self.accepted + REQUEST_TIME,
            (Some(_), Some(began)) => began + REQUEST_TIME,
        }
    }

    /// When it is closed unless something comes; none while a request is open.
    fn until(&self) -> Option<Instant> {
        match self.answered.get() {
            _ if self.busy.get() => None,
            Some(at) if self.heard.began().is_none() => Some(at + IDLE_MOST),
            _ => Some(self.request_until()),
        }
    }
}

type Reply = Response<Full<Bytes>>;

/// What is wrong with a request.
type Bad = (StatusCode, &'static str);

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
            shutting_down: Cell::new(false),
            over: Cell::new(false),
            failing: Cell::new(false),
            connections: RefCell::default(),
            open: RefCell::default(),
        })
    }

    /// Serves until told to end, then drains: all that the kernel has accepted is answered.
    pub async fn serve(self: Rc<Self>, listener: Box<dyn Listener>, drain: &Notify) {
        loop {
            tokio::select! {
                biased;
                () = drain.notified() => break,
                () = self.accept(&*listener) => {}
            }
        }
        let asked = Instant::now();
        log::info!("draining: {} clients connected", self.budget.clients());
        self.shutting_down.set(true);
        while timeout_at(asked + SHUTDOWN_ACCEPT, self.accept(&*listener)).await.is_ok() {}
        let longest = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let until = asked + longest.min(DEADLINE_MOST) + SHUTDOWN_SLACK;
        // What still waits in the backlog counts as taken: closing the listener would reset it.
        // A wait for room says nothing of the backlog: behind a crowd that is let go there may be requests.
        while let Ok(true) = timeout_at(until, self.accept_within(&*listener, BACKLOG_EMPTY)).await {}
        drop(listener);
        self.connections.borrow().values().for_each(|turn| turn.close.notify_one());
        if !mutant("lost-on-term") && timeout_at(until, self.all_gone()).await.is_err() {
            self.over.set(true);
            let _ = self.inbox.send(Input::GiveUp);
            let _ = timeout(LAST_ANSWERS, self.all_gone()).await;
        }
        log::info!("drained in {} ms", asked.elapsed().as_millis());
    }

    async fn all_gone(&self) {
        while self.budget.clients() > 0 {
            self.budget.freed().await;
        }
    }

    /// Accepts one connection, once there is room for it.
    async fn accept(self: &Rc<Self>, listener: &dyn Listener) {
        let permit = self.room().await;
        let accepted = poll_fn(|cx| listener.poll_accept(cx)).await;
        self.take(accepted, permit).await;
    }

    /// The same, where one comes within this time of there being room; whether one did.
    async fn accept_within(self: &Rc<Self>, listener: &dyn Listener, time: Duration) -> bool {
        let wait = if mutant("crowd-is-empty") { time } else { Duration::MAX };
        let Ok(permit) = timeout(wait, self.room()).await else { return false };
        let Ok(accepted) = timeout(time, poll_fn(|cx| listener.poll_accept(cx))).await else {
            return false;
        };
        self.take(accepted, permit).await;
        true
    }

    /// Takes a connection in and serves it, or waits for a moment where there was none to take.
    async fn take(self: &Rc<Self>, accepted: io::Result<Box<dyn Connection>>, permit: Option<Permit>) {
        match accepted {
            Ok(stream) => {
                self.failing.set(false);
                let permit = permit.or_else(|| self.budget.take(Holder::Client));
                let shed = permit.is_none();
                let permit = permit.or_else(|| self.budget.take(Holder::Shed));
                let (socket, turn, number) = self.take_in(stream, shed);
                let this = self.clone();
                spawn_local(async move {
                    let _permit = permit;
                    this.follow(socket, &turn).await;
                    this.linger(&turn).await;
                    this.connections.borrow_mut().remove(&number);
                });
            }
            Err(e) => {
                if !self.failing.replace(true) {
                    log::info!("accept: {e}");
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
            if !self.make_room(false) {
                if let Some(permit) = self.budget.take(Holder::Shed) {
                    drop(permit);
                    return None;
                }
                self.make_room(true);
            }
            let _ = timeout(ROOM_RECHECK, self.budget.freed()).await;
        }
    }

    /// Closes the connection that is missed least: who has been silent longest, else who has been idle
    /// longest. Where there is none, somebody's next answer will be the connection's last. Whether one
    /// goes, or will as soon as its silence has lasted. Those over the cap make room for their like alone.
    fn make_room(&self, shed: bool) -> bool {
        let connections = self.connections.borrow();
        let alike = || connections.values().filter(|turn| turn.shed == shed || mutant("crowd-is-empty"));
        let told = |turn: &Rc<Turn>| {
            turn.closing.set(true);
            turn.close.notify_one();
            true
        };
        let mut lingering = alike().filter(|turn| turn.lingering.get() && !turn.closing.get());
        if let Some(turn) = lingering.next() {
            return told(turn);
        }
        let open = || alike().filter(|turn| !turn.closing.get() && !turn.lingering.get());
        let silent = open().find(|turn| turn.silent().is_some());
        if silent.is_some_and(|turn| turn.silent().is_some_and(|time| time < SILENT_LEAST)) {
            return true;
        }
        let idle = || {
            let idle = open().filter_map(|turn| Some((turn.idle()?, turn)));
            idle.filter(|(time, _)| *time >= IDLE_LEAST).max_by_key(|(time, _)| *time).map(|(_, turn)| turn)
        };
        match silent.or_else(idle) {
            Some(turn) => told(turn),
            None => {
                // One just used is likely to be used again at once, and a request that crosses our
                // closing is lost, or sent twice: the next answer says that it is the last.
                if let Some(turn) = open().find(|turn| !turn.last.get()) {
                    turn.last.set(true);
                }
                false
            }
        }
    }

    /// Notes a new connection, at once: what is told to all connections is told to it too.
    fn take_in(&self, stream: Box<dyn Connection>, shed: bool) -> (Socket, Rc<Turn>, u64) {
        let (socket, heard) = Socket::new(stream);
        let (busy, answered, last, closing, lingering, close) = Default::default();
        let accepted = Instant::now();
        let turn = Rc::new(Turn { heard, accepted, shed, busy, answered, last, closing, lingering, close });
        let number = self.next.get();
        self.next.set(number + 1);
        self.connections.borrow_mut().insert(number, turn.clone());
        (socket, turn, number)
    }

    /// Waits, for a while, until the client has read what we have written and ends its side too. Where room is wanted
    /// this is cut short.
    async fn linger(&self, turn: &Turn) {
        if turn.closing.replace(false)
            && turn.answered.get().is_none()
            && turn.heard.came() != PeekStatus::Data
        {
            return; // it made room by its silence: there is nothing that the close could take along
        }
        turn.lingering.set(true);
        let mut lingered = pin!(turn.heard.linger(LINGER, LINGER_MOST));
        while !mutant("no-linger") {
            tokio::select! {
                biased;
                () = &mut lingered => return,
                () = turn.close.notified() => {}
            }
            // What was told before belonged to the connection's life, not to its end.
            if turn.closing.get() {
                return;
            }
        }
    }

    /// Serves a connection until its end.
    async fn follow(&self, socket: Socket, turn: &Turn) {
        let service = service_fn(|request| self.answer(request, turn));
        let connection = http1::Builder::new()
            .keep_alive(!turn.shed)
            .max_buf_size(BUFFER_MOST)
            .serve_connection(TokioIo::new(socket), service);
        let mut connection = pin!(connection);
        let mut fresh_until = None;
        loop {
            let until =
                fresh_until.into_iter().chain(turn.until()).fold(Instant::now() + TICK, Instant::min);
            tokio::select! {
                biased;
                _ = connection.as_mut() => return, // an error here is the client's leaving
                () = turn.close.notified() => {
                    if turn.busy.get() {
                        turn.last.set(true);
                    } else if self.shutting_down.get() && turn.answered.get().is_none() && !turn.closing.get() {
                        // The first request is as good as taken: to close now would lose what the
                        // client is just writing.
                        fresh_until = Some(Instant::now() + FRESH_WAIT);
                    } else if turn.closing.get()
                        && turn.heard.began().is_some()
                        && turn.heard.came() != PeekStatus::Data
                    {
                        return; // room is wanted, and this one stopped in the middle of a head
                    } else if turn.coming() {
                        // It crosses our end: it is answered, and the answer says that it is the last.
                        turn.closing.set(false);
                        turn.last.set(true);
                    } else if turn.silent().is_some() {
                        return;
                    } else {
                        connection.as_mut().graceful_shutdown();
                    }
                }
                () = sleep_until(until) => {
                    let now = Instant::now();
                    let unused = fresh_until.take_if(|at| *at <= now).is_some() && !turn.coming();
                    if turn.until().is_some_and(|at| at <= now || unused) {
                        match turn.silent() {
                            Some(_) => return,
                            None if turn.coming() => turn.last.set(true),
                            None => connection.as_mut().graceful_shutdown(),
                        }
                    }
                }
            }
        }
    }

    async fn answer(&self, request: Request<Incoming>, turn: &Turn) -> Result<Reply, Infallible> {
        turn.busy.set(true);
        // Who keeps a connection after the answer keeps it for 2 s at least: where those fill up, new
        // clients would find no room, while hardly anybody is being answered.
        let mut last = turn.shed || self.budget.clients_crowd();
        let mut reply = if request.uri().path() == "/-/ready" && request.body().is_end_stream() {
            // Who only asks this is no client yet: hundreds that then stayed would take the clients' room.
            last = true;
            let status =
                if self.shutting_down.get() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
            plain(status, "")
        } else if turn.shed {
            self.come_again("too many connections")
        } else {
            match self.serve_request(request, turn).await {
                Ok(reply) => reply,
                Err((status, problem)) => {
                    // Whatever else such a client has sent is not to be read.
                    last = true;
                    plain(status, problem)
                }
            }
        };
        // Asked now: it may have been told to end while the request was open.
        last |= self.shutting_down.get() && !mutant("end-unsaid");
        turn.busy.set(false);
        turn.answered.set(Some(Instant::now()));
        turn.heard.forget();
        if last || turn.last.get() {
            reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(reply)
    }

    /// A refusal of what was never sent on, wherever it is tried next.
    fn come_again(&self, why: &'static str) -> Reply {
        let by_settings = self.settings.limits.capped_retry_after(SHED_RETRY);
        refusal(why, if mutant("retry-unasked") { Some(SHED_RETRY) } else { by_settings })
    }

    /// Waits for something that comes to the client's connection, or is refused because the client
    /// goes on sending: one request at a time is the rule, and what is behind it is no request of ours.
    async fn undisturbed<F: Future>(turn: &Turn, future: F) -> Result<F::Output, Bad> {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if turn.heard.more() {
                return Poll::Ready(Err((StatusCode::BAD_REQUEST, "more than one request at once")));
            }
            future.as_mut().poll(cx).map(Ok)
        })
        .await
    }

    async fn serve_request(&self, request: Request<Incoming>, turn: &Turn) -> Result<Reply, Bad> {
        let (mut head, body) = request.into_parts();
        // Clients state a body's length. hyper would let chunks win over a length beside them, and take
        // what was hidden in that body for the next request.
        if head.headers.contains_key(header::TRANSFER_ENCODING) && !mutant("smuggled") {
            return Err((StatusCode::LENGTH_REQUIRED, "no Transfer-Encoding"));
        }
        let (mut request, time) = self.read(&head.method, &head.uri, &head.headers)?;
        if body.size_hint().lower() > BODY_MOST as u64 {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too long"));
        }
        if head.method == Method::GET && !body.is_end_stream() {
            return Err(bad("a body where none goes"));
        }
        let id = head.headers.get("x-request-id").cloned().ok_or(bad("X-Request-ID is missing"))?;
        let _open = self.open_id(id, &turn.heard)?;
        let mut body = pin!(Limited::new(body, BODY_MOST).collect());
        let mut read = timeout_at(turn.request_until(), body.as_mut()).await;
        if read.is_err() && turn.heard.came() == PeekStatus::Data {
            // Its time has passed while this process had no processor: what lies here has come.
            read = timeout(UNREAD_WAIT, body).await;
        }
        let body = match read {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too long"));
            }
            Ok(Err(_)) => return Err(bad("body broken")),
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "body never came")),
        };
        Self::undisturbed(turn, std::future::ready(())).await?;
        if self.over.get() && !mutant("over-unsaid") {
            return Ok(self.come_again("ending"));
        }
        // The client counts from its last byte.
        let came = Instant::now();
        let id = RequestId(self.next.get());
        self.next.set(id.0 + 1);
        request.id = id;
        drop_hop_headers(&mut head.headers);
        let (answer, answered) = oneshot::channel();
        let forward = Rc::new(Forward { method: head.method, uri: head.uri, headers: head.headers, body });
        let time = if mutant("late-deadline") { time * 3 } else { time };
        let deadline = came + time - ANSWER_MARGIN.min(time / 10);
        let semantics = self.settings.classes[request.class.0].semantics;
        let never_twice = semantics == Semantics::Unsafe;
        let repeat_within = match semantics {
            Semantics::Keyed { window, .. } => Some(window),
            Semantics::Safe | Semantics::Unsafe => None,
        };
        let reading = turn.heard.began().map_or(Duration::ZERO, |began| came - began);
        let arrival =
            Arrival { request, reading, came, deadline, forward, never_twice, repeat_within, answer };
        let mut waiting = Waiting { inbox: &self.inbox, id, answered: false };
        let _ = self.inbox.send(Input::Arrived(Box::new(arrival)));
        // Where the module were to forget a request, its client would still be told in time.
        let answer = Self::undisturbed(turn, timeout_at(came + time, answered)).await?;
        waiting.answered = answer.is_ok();
        Ok(match answer {
            Ok(Ok(Answer::Served(body))) => Response::new(Full::new(body)),
            Ok(Ok(Answer::Refused(retry_after))) => refusal("refused", retry_after),
            Ok(Ok(Answer::Failed) | Err(_)) => plain(StatusCode::BAD_GATEWAY, "failed"),
            Err(_) => plain(StatusCode::GATEWAY_TIMEOUT, "out of time"),
        })
    }

    /// Notes a request's own id as open. A client that has left and come again at once may be read before the end of
    /// its old connection is: that one is looked at.
    fn open_id<'a>(&'a self, id: HeaderValue, on: &'a Rc<Heard>) -> Result<OpenId<'a>, Bad> {
        let mut open = self.open.borrow_mut();
        if let Some(other) = open.get(&id)
            && (other.came() != PeekStatus::Eof || mutant("end-unlooked-for"))
        {
            return Err((StatusCode::CONFLICT, "a request of that id is open"));
        }
        open.insert(id.clone(), on.clone());
        Ok(OpenId { open: &self.open, id, on })
    }

    /// What the module is to know of a request, and the client's time.
    fn read(
        &self,
        method: &Method,
        uri: &hyper::Uri,
        headers: &HeaderMap,
    ) -> Result<(runtrack_balancer::Request, Duration), Bad> {
        let wanted = uri.path_and_query().map(|target| target.as_str()).unwrap_or_default();
        if !wanted.bytes().all(|byte| byte.is_ascii_graphic())
            || headers.values().any(|value| std::str::from_utf8(value.as_bytes()).is_err())
        {
            return Err(bad("what is no text"));
        }
        let text = |name: &str| {
            let mut values = headers.get_all(name).iter();
            match (values.next(), values.next()) {
                (None, _) => Ok(None),
                (Some(value), None) => value.to_str().map(Some).map_err(|_| bad("a header is no text")),
                (Some(_), Some(_)) => Err(bad("a header comes twice")),
            }
        };
        let name = uri.path().split('/').nth(1).unwrap_or_default();
        let class = self.classes.iter().position(|class| class == name);
        let class = class.ok_or((StatusCode::NOT_FOUND, "unknown class"))?;
        if text("x-request-id")?.is_none_or(|id| id.is_empty() || !id.bytes().all(|b| b.is_ascii_graphic()))
        {
            return Err(bad("X-Request-ID is missing or bad"));
        }
        let keyed = text("idempotency-key")?.is_some();
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
        let time = text("x-timeout")?.and_then(parse_timeout).ok_or(bad("X-Timeout is missing or bad"))?;
        // However long a client says that it waits: what is kept for a request must not pile up.
        let time = time.min(self.settings.classes[class].deadline);
        let tenant = match text("x-tenant-id")? {
            _ if self.tenants.is_empty() => 0,
            Some(name) => {
                self.tenants.iter().position(|tenant| tenant == name).ok_or(bad("unknown tenant"))?
            }
            None => return Err(bad("X-Tenant-Id is missing")),
        };
        let query = uri.query().unwrap_or_default().split('&');
        let user = query.filter_map(|pair| pair.strip_prefix("user=")).next();
        let key = user.map(|user| parse_key(user).ok_or(bad("user is bad"))).transpose()?;
        let work_hint =
            text("x-cost")?.map(|cost| micros(cost, 1.0).ok_or(bad("X-Cost is bad"))).transpose()?;
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

fn bad(problem: &'static str) -> Bad {
    (StatusCode::BAD_REQUEST, problem)
}

/// A refusal, which may tell when to come again.
fn refusal(why: &'static str, retry_after: Option<Duration>) -> Reply {
    let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, why);
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

/// A number and its unit: `m` for milliseconds or `u` for microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let time = match text.strip_suffix('m') {
        Some(number) => micros(number, 1000.0),
        None => micros(text.strip_suffix('u')?, 1.0),
    };
    time.filter(|time| !time.is_zero())
}

/// A decimal number of units of so many microseconds: digits and at most one point, which leaves out
/// signs, exponents and what is no number.
fn micros(number: &str, unit: f64) -> Option<Duration> {
    let digits = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let micros = number.parse::<f64>().ok().filter(|_| digits)? * unit;
    micros.is_finite().then(|| Duration::from_micros(micros as u64))
}

/// A key of up to 16 hex digits.
fn parse_key(text: &str) -> Option<u64> {
    let hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| hex)
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
