//! Drives the module: turns what happens on the sockets into its events, and carries out its
//! actions. It decides nothing, but keeps what must hold whatever is decided: one final answer a
//! request, no attempt beyond the limit or the deadline, nothing sent for what is finished.

use super::listing::{Listing, News};
use super::outbound::{Attempt, Ended, Forward, Outbound, Progress};
use super::spans::Spans;
use super::window::Window;
use hyper::body::Bytes;
use runtrack_balancer::{
    Action, AttemptEnded, AttemptNo, Balancer, EndpointId, EndpointState, Event, Membership, Outcome,
    RequestId, TimerToken,
};
use runtrack_discovery::{ClientCommand, Clock};
use runtrack_net::mutant;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Unusual outcomes are summed up in the log this often.
const SUMMARY: Duration = Duration::from_secs(10);

/// Inputs taken one after another before timers and sockets have their turn.
const BATCH: usize = 64;

/// Where the rest of the sidecar reports to the driver.
pub type Inbox = UnboundedSender<Input>;

/// Something that happened on a socket.
pub enum Input {
    /// A request has come whole.
    Arrived(Box<Arrival>),
    /// Its client has gone.
    ClientGone(RequestId),
    /// An attempt ended.
    AttemptEnded(RequestId, AttemptNo, Ended),
    /// A probe ended; it took so long.
    ProbeEnded(EndpointId, Ended, Duration),
    /// News from discovery.
    List(News),
    /// Somebody asks how much is open.
    Report(oneshot::Sender<Gauges>),
    /// The process must end: fail what is still open.
    GiveUp,
}

/// A request as it came in.
pub struct Arrival {
    /// For the module; its time left is set here.
    pub request: runtrack_balancer::Request,
    /// How long it took to come, from its first byte.
    pub reading: Duration,
    /// When it had come whole.
    pub came: Instant,
    /// When the answer must be on its way.
    pub deadline: Instant,
    /// What goes on to an endpoint.
    pub forward: Rc<Forward>,
    /// It must not run twice, wherever it goes.
    pub never_twice: bool,
    /// It may be repeated for so long after it may have run first.
    pub repeat_within: Option<Duration>,
    /// Where the final answer goes.
    pub answer: oneshot::Sender<Answer>,
}

/// A final answer.
pub enum Answer {
    /// Served, with the body of an endpoint's answer.
    Served(Bytes),
    /// Refused: trying again is harmless, after this long if it is stated.
    Refused(Option<Duration>),
    /// Failed.
    Failed,
}

struct Try {
    endpoint: EndpointId,
    sent: Instant,
    /// Dropped to cancel; gone once the attempt has ended.
    cancel: Option<oneshot::Sender<()>>,
    progress: Progress,
}

impl Try {
    /// Stops it. It tells its end itself, unless another outcome is already on its way.
    fn stop(&mut self) {
        if let Some(cancel) = &mut self.cancel {
            let (kept, _) = oneshot::channel();
            drop(std::mem::replace(cancel, kept));
        }
    }

    /// Stops it if it has not begun: it waits for a socket, for a connection's rest or for a new connection, and none
    /// of its bytes has gone.
    fn withdraw(&mut self) {
        if !self.progress.begun() {
            self.stop();
        }
    }
}

/// A request until it has its final answer and all its attempts have ended.
struct Open {
    forward: Rc<Forward>,
    never_twice: bool,
    window: Option<Rc<Window>>,
    reading: Duration,
    came: Instant,
    deadline: Instant,
    /// Gone once the request is finished: so there is never a second final answer.
    answer: Option<oneshot::Sender<Answer>>,
    tries: Vec<Try>,
    out: usize,
}

/// How much is open.
#[derive(Clone, Copy, Debug)]
pub struct Gauges {
    /// Requests with no final answer, or with an attempt that has not ended.
    pub open: usize,
    /// Attempts that have not ended.
    pub attempts: usize,
    /// Calls that the module counts as in flight.
    pub calls_in_flight: u32,
    /// What the module remembers of requests.
    pub remembered: usize,
}

/// Owns the module, its timers, and the requests and attempts in flight.
pub struct Driver {
    balancer: Balancer,
    clock: Clock,
    max_attempts: usize,
    requests: HashMap<RequestId, Open>,
    addresses: HashMap<EndpointId, SocketAddr>,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Events that the driver's own doings brought about.
    due: VecDeque<Event>,
    unusual: HashMap<&'static str, u64>,
    spans: Spans,
    summary_at: Instant,
    outbound: Rc<Outbound>,
    listing: Rc<Listing>,
    calls: UnboundedSender<ClientCommand>,
    inbox: Inbox,
    /// What was open has been given up, and nothing more is sent.
    over: bool,
}

impl Driver {
    /// A driver of this module.
    pub fn new(
        balancer: Balancer,
        clock: Clock,
        max_attempts: u32,
        outbound: Rc<Outbound>,
        listing: Rc<Listing>,
        calls: UnboundedSender<ClientCommand>,
        inbox: Inbox,
    ) -> Self {
        Driver {
            balancer,
            clock,
            max_attempts: max_attempts as usize,
            requests: HashMap::new(),
            addresses: HashMap::new(),
            timers: BinaryHeap::new(),
            due: VecDeque::new(),
            unusual: HashMap::new(),
            spans: Spans::default(),
            summary_at: Instant::now() + SUMMARY,
            outbound,
            listing,
            calls,
            inbox,
            over: false,
        }
    }

    /// Runs until nothing can report any more.
    pub async fn run(mut self, mut inputs: UnboundedReceiver<Input>) {
        let mut batch = Vec::new();
        let mut wake = pin!(sleep_until(self.summary_at));
        loop {
            let next = self.timers.peek().map_or(self.summary_at, |Reverse((at, _))| *at);
            let next = next.min(self.summary_at);
            // Waking too early does no harm, and moving the timer at each input would cost more.
            if next < wake.deadline() || wake.is_elapsed() {
                wake.as_mut().reset(next);
            }
            tokio::select! {
                biased;
                count = inputs.recv_many(&mut batch, BATCH) => match count {
                    0 => return,
                    _ => batch.drain(..).for_each(|input| self.take(input)),
                },
                () = &mut wake => {}
            }
            self.fire();
        }
    }

    /// Ends what has not begun of requests whose time is up, before the module gives them up: an attempt tells its own end
    /// only when its turn comes, and until then counts as one that may have run.
    fn end_overdue(&mut self, now: Instant) {
        if mutant("overdue-untold") {
            return;
        }
        for id in self.in_order(|open| open.answer.is_some() && open.deadline <= now) {
            self.end_unbegun(id, Outcome::ConnectFailed);
        }
    }

    /// Ends a request's attempts that have not begun. None of their bytes has gone, and none goes from now on.
    fn end_unbegun(&mut self, id: RequestId, outcome: Outcome) {
        let tries = self.requests.get(&id).map_or(&[][..], |open| &open.tries);
        let waits = |tried: &Try| tried.cancel.is_some() && !tried.progress.begun();
        let unbegun: Vec<usize> = (0..tries.len()).filter(|&number| waits(&tries[number])).collect();
        for number in unbegun {
            self.attempt_ended(id, AttemptNo(number as u32), Ended::bare(outcome));
        }
    }

    fn fire(&mut self) {
        let now = Instant::now();
        if self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            self.end_overdue(now);
        }
        while let Some(&Reverse((at, token))) = self.timers.peek()
            && at <= now
        {
            self.timers.pop();
            self.handle(Event::Timer(TimerToken(token)));
        }
        if now >= self.summary_at {
            self.summary_at = now + SUMMARY;
            let mut counts: Vec<_> = self.unusual.drain().collect();
            counts.sort();
            log::info!("{}", std::mem::take(&mut self.spans));
            // What is kept must stay in proportion to what is open and listed.
            let (open, timers, module) =
                (self.requests.len(), self.timers.len(), self.balancer.state_size());
            let (listed, names, links) = (self.addresses.len(), self.listing.names(), self.outbound.idle());
            log::info!(
                "outcomes in {} s: {counts:?}; open {open}, timers {timers}, module {module}, \
                 listed {listed}, names {names}, idle connections {links}",
                SUMMARY.as_secs()
            );
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Arrived(arrival) => self.arrived(*arrival),
            Input::ClientGone(id) => self.gone(id),
            Input::AttemptEnded(id, attempt, ended) => self.attempt_ended(id, attempt, ended),
            Input::ProbeEnded(endpoint, Ended { outcome, report, .. }, elapsed) => {
                self.handle(Event::ProbeEnded { endpoint, outcome, elapsed, report });
            }
            Input::List(news) => self.list(news),
            Input::Report(to) => drop(to.send(self.gauges())), // who asked may have gone
            Input::GiveUp => {
                let open = self.in_order(|open| open.answer.is_some());
                log::info!("giving up {} requests", open.len());
                self.over = !mutant("over-unsaid");
                for id in open {
                    if !mutant("given-up-alike") {
                        self.end_unbegun(id, Outcome::NotSent);
                        self.handle(Event::GiveUp(id));
                    }
                    // The module's word on it has come; without one it has failed all the same.
                    self.finish(id, Answer::Failed);
                    self.tidy(id);
                }
            }
        }
    }

    /// Such requests in the order of their coming, and not of a hash.
    fn in_order(&self, such: impl Fn(&Open) -> bool) -> Vec<RequestId> {
        let mut ids: Vec<RequestId> =
            self.requests.iter().filter(|(_, open)| such(open)).map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    fn gauges(&self) -> Gauges {
        Gauges {
            open: self.requests.len(),
            attempts: self.requests.values().map(|open| open.out).sum(),
            calls_in_flight: self.balancer.calls_in_flight(),
            remembered: self.balancer.state_size(),
        }
    }

    fn arrived(&mut self, arrival: Arrival) {
        let Arrival { mut request, reading, came, deadline, forward, never_twice, repeat_within, answer } =
            arrival;
        request.time_left = deadline.saturating_duration_since(Instant::now());
        let (answer, tries) = (Some(answer), Vec::new());
        let window = repeat_within.map(|length| Rc::new(Window::new(length)));
        let open = Open { forward, never_twice, window, reading, came, deadline, answer, tries, out: 0 };
        self.requests.insert(request.id, open);
        self.handle(Event::Request(request));
    }

    fn gone(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if open.answer.take().is_some() {
            // Whatever the settings say of cancelling: what has not begun is no one's work yet.
            if !mutant("sent-for-nobody") {
                open.tries.iter_mut().for_each(Try::withdraw);
            }
            self.count("client gone");
            self.handle(Event::RequestGone(id));
        }
        self.tidy(id);
    }

    fn attempt_ended(&mut self, id: RequestId, attempt: AttemptNo, ended: Ended) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(tried) = open.tries.get_mut(attempt.0 as usize) else { return };
        if tried.cancel.take().is_none() {
            return; // its outcome has been told
        }
        open.out -= 1;
        if let Some(window) = open.window.as_ref().filter(|_| ended.outcome.never_ran()) {
            window.never_ran(attempt.0 as usize);
        }
        let (endpoint, sent, elapsed) = (tried.endpoint, tried.sent, tried.sent.elapsed());
        let Ended { outcome, body, report, stages } = ended;
        if let Some((handed, began)) = stages.filter(|_| outcome == Outcome::Ok) {
            self.spans.add([
                open.reading,
                sent.saturating_duration_since(open.came),
                handed.saturating_duration_since(sent),
                began.saturating_duration_since(handed),
                began.elapsed(),
            ]);
        }
        if outcome == Outcome::TimedOut {
            self.outbound.close_unheard(endpoint, sent);
        }
        if outcome == Outcome::Ok {
            self.finish(id, Answer::Served(body));
        } else {
            self.count(outcome_name(outcome));
        }
        if outcome == Outcome::Reset && mutant("count-not-lowered") {
            return;
        }
        let finished = self.requests.get(&id).is_none_or(|open| open.answer.is_none());
        self.handle(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt,
            endpoint,
            outcome,
            elapsed,
            finished,
            report,
        }));
        self.tidy(id);
    }

    fn list(&mut self, news: News) {
        // Endpoints to which nothing new goes, or not where it was to go.
        let mut withdrawn = HashSet::new();
        for (id, address) in &news.addresses {
            let before = self.addresses.insert(*id, *address);
            if before.is_some_and(|before| before != *address) {
                self.outbound.close_idle(*id);
                withdrawn.insert(*id);
            }
        }
        let (whole, entries) = match &news.membership {
            Membership::Full(entries) | Membership::Cached(entries) => (true, entries),
            Membership::Delta(entries) => (false, entries),
            Membership::Failed => return self.handle(Event::Membership(news.membership)),
        };
        for entry in entries.iter().filter(|entry| entry.state != EndpointState::Ready) {
            // Nothing new goes there.
            withdrawn.insert(entry.id);
            let state = if entry.state == EndpointState::Removed {
                self.addresses.remove(&entry.id);
                self.outbound.forget(entry.id);
                "gone"
            } else {
                self.outbound.close_idle(entry.id);
                "draining"
            };
            log::info!("list: {} is {state}", self.listing.uid(entry.id));
        }
        if whole {
            let outbound = &self.outbound;
            self.addresses.retain(|id, _| {
                let listed = entries.iter().any(|entry| entry.id == *id);
                if !listed {
                    outbound.forget(*id);
                    withdrawn.insert(*id);
                }
                listed
            });
        }
        // A connection may come up only after the grace: what waits for one goes elsewhere at once.
        if !withdrawn.is_empty() && !mutant("drain-waits") {
            let to = |tried: &Try| withdrawn.contains(&tried.endpoint);
            for id in self.in_order(|open| open.tries.iter().any(to)) {
                let tries = self.requests.get_mut(&id).into_iter().flat_map(|open| &mut open.tries);
                tries.filter(|tried| to(tried)).for_each(Try::withdraw);
            }
        }
        self.listing.keep(|id| self.addresses.contains_key(&id));
        self.handle(Event::Membership(news.membership));
    }

    /// Gives the module an event and carries out what it wants done, and what comes of that.
    fn handle(&mut self, event: Event) {
        self.due.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.due.pop_front() {
            let about = match &event {
                Event::AttemptEnded(ended) => Some(ended.request),
                _ => None,
            };
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
            if let Some(id) = about {
                self.tidy(id);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint, timeout } => self.send(request, endpoint, timeout),
            Action::Refuse { request, retry_after } => {
                self.finish(request, Answer::Refused(retry_after));
                self.tidy(request);
            }
            Action::Fail { request } if mutant("refuse-for-fail") => {
                self.finish(request, Answer::Refused(None));
                self.tidy(request);
            }
            Action::Fail { request } => {
                self.finish(request, Answer::Failed);
                self.tidy(request);
            }
            Action::Cancel { request, attempt } => {
                if let Some(open) = self.requests.get_mut(&request)
                    && let Some(tried) = open.tries.get_mut(attempt.0 as usize)
                {
                    tried.stop();
                }
            }
            Action::SetTimer { token, after } => {
                self.timers.push(Reverse((Instant::now() + after, token.0)));
            }
            // These fail only while the process ends.
            Action::Watch(on) => drop(self.calls.send(ClientCommand::Watch(on))),
            Action::FetchList => drop(self.calls.send(ClientCommand::Fetch)),
            Action::Probe { endpoint } => self.probe(endpoint),
            Action::CloseIdle { endpoint } => self.outbound.close_idle(endpoint),
            Action::Log(text) => log::info!("module: {}", text.replace(['\n', '\r'], " ")),
        }
    }

    /// Starts an attempt. What must not be sent is numbered all the same, and ends as moot.
    fn send(&mut self, id: RequestId, endpoint: EndpointId, timeout: Duration) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let (now, attempt) = (Instant::now(), AttemptNo(open.tries.len() as u32));
        let address = self.addresses.get(&endpoint).copied();
        let until = open.deadline.min(now + timeout);
        let moot =
            self.over || open.answer.is_none() || open.tries.len() >= self.max_attempts || until <= now;
        let Some(address) = address.filter(|_| !moot) else {
            let progress = Progress::default();
            open.tries.push(Try { endpoint, sent: now, cancel: None, progress });
            self.due.push_back(Event::AttemptEnded(AttemptEnded {
                request: id,
                attempt,
                endpoint,
                outcome: Outcome::NotSent,
                elapsed: Duration::ZERO,
                finished: open.answer.is_none(),
                report: None,
            }));
            return self.count(outcome_name(Outcome::NotSent));
        };
        let (cancel, mut cancelled) = oneshot::channel();
        let window = open.window.clone().map(|window| (window, open.tries.len()));
        let progress = Progress::default();
        let tried = Try { endpoint, sent: now, cancel: Some(cancel), progress: progress.clone() };
        open.tries.push(tried);
        open.out += 1;
        let attempted =
            Attempt { forward: open.forward.clone(), until, window, never_twice: open.never_twice };
        let (outbound, inbox) = (self.outbound.clone(), self.inbox.clone());
        spawn_local(async move {
            let exchange = timeout_at(until, outbound.attempt(endpoint, address, attempted, &progress));
            let ended = tokio::select! {
                biased;
                _ = &mut cancelled => Ended::bare(progress.stopped()),
                ended = exchange => ended.unwrap_or_else(|_| Ended::bare(progress.given_up())),
            };
            let _ = inbox.send(Input::AttemptEnded(id, attempt, ended));
        });
    }

    fn probe(&mut self, endpoint: EndpointId) {
        let Some(&address) = self.addresses.get(&endpoint) else {
            let (outcome, elapsed, report) = (Outcome::ConnectFailed, Duration::ZERO, None);
            return self.due.push_back(Event::ProbeEnded { endpoint, outcome, elapsed, report });
        };
        let (outbound, inbox, sent) = (self.outbound.clone(), self.inbox.clone(), Instant::now());
        spawn_local(async move {
            let ended = outbound.probe(endpoint, address).await;
            let _ = inbox.send(Input::ProbeEnded(endpoint, ended, sent.elapsed()));
        });
    }

    /// Gives a request its final answer, unless it has had one.
    fn finish(&mut self, id: RequestId, answer: Answer) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(to) = open.answer.take() else { return };
        open.tries.iter_mut().for_each(Try::withdraw);
        match &answer {
            Answer::Served(_) => {}
            Answer::Refused(_) => self.count("refused"),
            Answer::Failed => self.count("failed"),
        }
        let _ = to.send(answer); // fails where the client has just gone
    }

    /// Forgets a request that nothing more can be heard of.
    fn tidy(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| open.answer.is_none() && open.out == 0) {
            self.requests.remove(&id);
        }
    }

    fn count(&mut self, what: &'static str) {
        *self.unusual.entry(what).or_default() += 1;
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Rejected => "turned away",
        Outcome::TimedOut => "timed out",
        Outcome::ConnectFailed => "not connected",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "moot",
    }
}
