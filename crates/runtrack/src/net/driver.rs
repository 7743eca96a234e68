//! Drives the decision module: turns socket events into its events and executes its actions. The driver makes no
//! load-balancing decisions, but enforces invariants whatever the module decides: one final answer per request, no
//! attempt beyond the attempt limit or the deadline, and no attempt for a finished request.

use super::membership::{MembershipTranslator, MembershipUpdate};
use super::outbound::{Attempt, AttemptEnd, Forward, Outbound, Progress};
use super::spans::Spans;
use super::window::RepeatWindow;
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

/// Interval between log summaries of unusual outcomes.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of inputs handled in a row before timers and sockets are polled again.
const MAX_INPUT_BATCH: usize = 64;

/// Sender of inputs to the driver.
pub type Inbox = UnboundedSender<Input>;

/// An input of the driver.
pub enum Input {
    /// A request was received completely.
    RequestReceived(Box<IncomingRequest>),
    /// The request's client disconnected before its answer.
    ClientGone(RequestId),
    /// An attempt ended.
    AttemptEnded(RequestId, AttemptNo, AttemptEnd),
    /// A probe ended, after this time.
    ProbeEnded(EndpointId, AttemptEnd, Duration),
    /// A membership change from discovery.
    List(MembershipUpdate),
    /// Send the current gauges.
    Report(oneshot::Sender<Gauges>),
    /// The process is about to exit: finish all open requests.
    GiveUp,
}

/// A request received from a client.
pub struct IncomingRequest {
    /// The request for the decision module; the driver sets its `time_left`.
    pub request: runtrack_balancer::Request,
    /// Time from its first byte until it was complete.
    pub read_time: Duration,
    /// When it was complete.
    pub received_at: Instant,
    /// When the answer must be sent.
    pub deadline: Instant,
    /// The request to forward to an endpoint.
    pub forward: Rc<Forward>,
    /// It must not be executed twice, on any endpoint.
    pub at_most_once: bool,
    /// How long after its first possible execution it may be repeated; `None` if there is no such limit.
    pub repeat_window: Option<Duration>,
    /// Receives the final answer.
    pub answer: oneshot::Sender<Answer>,
}

/// A final answer.
pub enum Answer {
    /// Served, with the body of the endpoint's answer.
    Served(Bytes),
    /// Refused without having been executed: the client may retry, after this time if given.
    Refused(Option<Duration>),
    /// Failed; it may have been executed.
    Failed,
}

/// An attempt of an open request.
struct AttemptState {
    endpoint: EndpointId,
    started_at: Instant,
    /// Dropping the sender cancels the attempt; `None` once the attempt has ended.
    cancel: Option<oneshot::Sender<()>>,
    progress: Progress,
}

impl AttemptState {
    /// Cancels the attempt. Its task still reports an outcome, which may be another one that was already queued.
    fn stop(&mut self) {
        if let Some(cancel) = &mut self.cancel {
            let (kept, _) = oneshot::channel();
            drop(std::mem::replace(cancel, kept));
        }
    }

    /// Cancels the attempt if it has not started: it waits for a socket, for a connection's reuse delay or for a new
    /// connection, and none of its bytes has been sent.
    fn cancel_if_unstarted(&mut self) {
        if !self.progress.started() {
            self.stop();
        }
    }
}

/// A request that has no final answer yet or has active attempts.
struct OpenRequest {
    forward: Rc<Forward>,
    at_most_once: bool,
    window: Option<Rc<RepeatWindow>>,
    read_time: Duration,
    received_at: Instant,
    deadline: Instant,
    /// `None` once the request is finished, so that no second final answer is sent.
    answer: Option<oneshot::Sender<Answer>>,
    attempts: Vec<AttemptState>,
    active_attempts: usize,
}

/// Numbers of open requests, attempts and calls.
#[derive(Clone, Copy, Debug)]
pub struct Gauges {
    /// Requests without a final answer or with an active attempt.
    pub open: usize,
    /// Attempts that have not ended.
    pub attempts: usize,
    /// Calls that the decision module counts as in flight.
    pub calls_in_flight: u32,
    /// Entries that the decision module keeps for requests.
    pub remembered: usize,
}

/// Owns the decision module, its timers, and the open requests and attempts.
pub struct Driver {
    balancer: Balancer,
    clock: Clock,
    max_attempts: usize,
    requests: HashMap<RequestId, OpenRequest>,
    addresses: HashMap<EndpointId, SocketAddr>,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Events caused by the driver's own actions, not yet passed to the decision module.
    pending_events: VecDeque<Event>,
    outcome_counts: HashMap<&'static str, u64>,
    spans: Spans,
    summary_at: Instant,
    outbound: Rc<Outbound>,
    membership: Rc<MembershipTranslator>,
    discovery_calls: UnboundedSender<ClientCommand>,
    inbox: Inbox,
    /// `GiveUp` was handled: open requests have been finished and no attempt is started any more.
    terminated: bool,
}

impl Driver {
    /// A driver of this decision module, without requests.
    pub fn new(
        balancer: Balancer,
        clock: Clock,
        max_attempts: u32,
        outbound: Rc<Outbound>,
        membership: Rc<MembershipTranslator>,
        discovery_calls: UnboundedSender<ClientCommand>,
        inbox: Inbox,
    ) -> Self {
        Driver {
            balancer,
            clock,
            max_attempts: max_attempts as usize,
            requests: HashMap::new(),
            addresses: HashMap::new(),
            timers: BinaryHeap::new(),
            pending_events: VecDeque::new(),
            outcome_counts: HashMap::new(),
            spans: Spans::default(),
            summary_at: Instant::now() + SUMMARY_INTERVAL,
            outbound,
            membership,
            discovery_calls,
            inbox,
            terminated: false,
        }
    }

    /// Runs until all senders of inputs have been dropped.
    pub async fn run(mut self, mut inputs: UnboundedReceiver<Input>) {
        let mut batch = Vec::new();
        let mut wake = pin!(sleep_until(self.summary_at));
        loop {
            let next = self.timers.peek().map_or(self.summary_at, |Reverse((at, _))| *at);
            let next = next.min(self.summary_at);
            // The timer is reset only if it must fire earlier: a spurious wake-up is cheaper than a reset at each
            // input.
            if next < wake.deadline() || wake.is_elapsed() {
                wake.as_mut().reset(next);
            }
            tokio::select! {
                biased;
                count = inputs.recv_many(&mut batch, MAX_INPUT_BATCH) => match count {
                    0 => return,
                    _ => batch.drain(..).for_each(|input| self.take(input)),
                },
                () = &mut wake => {}
            }
            self.fire_timers();
        }
    }

    /// Ends unstarted attempts of requests past their deadline, before the decision module handles the deadline. The
    /// attempt's own task reports its end only when it is scheduled; until then the request would count as possibly
    /// executed.
    fn end_overdue_attempts(&mut self, now: Instant) {
        if mutant("overdue-attempts-not-ended") {
            return;
        }
        for id in self.sorted_ids(|open| open.answer.is_some() && open.deadline <= now) {
            self.end_unstarted_attempts(id, Outcome::ConnectFailed);
        }
    }

    /// Ends a request's unstarted attempts. None of their bytes has been sent, and none will be.
    fn end_unstarted_attempts(&mut self, id: RequestId, outcome: Outcome) {
        let attempts = self.requests.get(&id).map_or(&[][..], |open| &open.attempts);
        let is_waiting = |state: &AttemptState| state.cancel.is_some() && !state.progress.started();
        let unstarted: Vec<usize> =
            (0..attempts.len()).filter(|&number| is_waiting(&attempts[number])).collect();
        for number in unstarted {
            self.attempt_ended(id, AttemptNo(number as u32), AttemptEnd::of(outcome));
        }
    }

    fn fire_timers(&mut self) {
        let now = Instant::now();
        if self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            self.end_overdue_attempts(now);
        }
        while let Some(&Reverse((at, token))) = self.timers.peek()
            && at <= now
        {
            self.timers.pop();
            self.handle(Event::Timer(TimerToken(token)));
        }
        if now >= self.summary_at {
            self.summary_at = now + SUMMARY_INTERVAL;
            let mut counts: Vec<_> = self.outcome_counts.drain().collect();
            counts.sort();
            log::info!("{}", std::mem::take(&mut self.spans));
            // Retained state should stay proportional to open requests and listed endpoints.
            let (open, timers, module) =
                (self.requests.len(), self.timers.len(), self.balancer.state_size());
            let (listed, names, links) =
                (self.addresses.len(), self.membership.names(), self.outbound.idle());
            log::info!(
                "outcomes in {} s: {counts:?}; open {open}, timers {timers}, module {module}, \
                 listed {listed}, names {names}, idle connections {links}",
                SUMMARY_INTERVAL.as_secs()
            );
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::RequestReceived(incoming) => self.request_received(*incoming),
            Input::ClientGone(id) => self.client_gone(id),
            Input::AttemptEnded(id, attempt, ended) => self.attempt_ended(id, attempt, ended),
            Input::ProbeEnded(endpoint, AttemptEnd { outcome, report, .. }, elapsed) => {
                self.handle(Event::ProbeEnded { endpoint, outcome, elapsed, report });
            }
            Input::List(update) => self.apply_membership(update),
            Input::Report(to) => drop(to.send(self.gauges())), // fails if the receiver was dropped
            Input::GiveUp => {
                let open = self.sorted_ids(|open| open.answer.is_some());
                log::info!("shutdown time is over: finishing {} open requests", open.len());
                self.terminated = !mutant("sends-after-forced-end");
                for id in open {
                    if !mutant("unsent-fails-at-exit") {
                        self.end_unstarted_attempts(id, Outcome::NotSent);
                        self.handle(Event::GiveUp(id));
                    }
                    // The decision module has normally finished it by now; if not, it fails.
                    self.finish(id, Answer::Failed);
                    self.remove_if_done(id);
                }
            }
        }
    }

    /// Ids of the requests that match, in order of arrival; the map's iteration order is not deterministic.
    fn sorted_ids(&self, filter: impl Fn(&OpenRequest) -> bool) -> Vec<RequestId> {
        let mut ids: Vec<RequestId> =
            self.requests.iter().filter(|(_, open)| filter(open)).map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    fn gauges(&self) -> Gauges {
        Gauges {
            open: self.requests.len(),
            attempts: self.requests.values().map(|open| open.active_attempts).sum(),
            calls_in_flight: self.balancer.calls_in_flight(),
            remembered: self.balancer.state_size(),
        }
    }

    fn request_received(&mut self, incoming: IncomingRequest) {
        let IncomingRequest {
            mut request,
            read_time,
            received_at,
            deadline,
            forward,
            at_most_once,
            repeat_window,
            answer,
        } = incoming;
        request.time_left = deadline.saturating_duration_since(Instant::now());
        let (answer, attempts) = (Some(answer), Vec::new());
        let window = repeat_window.map(|length| Rc::new(RepeatWindow::new(length)));
        let open = OpenRequest {
            forward,
            at_most_once,
            window,
            read_time,
            received_at,
            deadline,
            answer,
            attempts,
            active_attempts: 0,
        };
        self.requests.insert(request.id, open);
        self.handle(Event::Request(request));
    }

    fn client_gone(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if open.answer.take().is_some() {
            // Unstarted attempts are cancelled even where the settings forbid cancelling: no endpoint has begun work.
            if !mutant("sent-for-nobody") {
                open.attempts.iter_mut().for_each(AttemptState::cancel_if_unstarted);
            }
            self.count("client gone");
            self.handle(Event::RequestGone(id));
        }
        self.remove_if_done(id);
    }

    fn attempt_ended(&mut self, id: RequestId, attempt: AttemptNo, ended: AttemptEnd) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(state) = open.attempts.get_mut(attempt.0 as usize) else { return };
        if state.cancel.take().is_none() {
            return; // its outcome has already been reported
        }
        open.active_attempts -= 1;
        if let Some(window) = open.window.as_ref().filter(|_| ended.outcome.never_ran()) {
            window.record_not_executed(attempt.0 as usize);
        }
        let (endpoint, started_at, elapsed) =
            (state.endpoint, state.started_at, state.started_at.elapsed());
        let AttemptEnd { outcome, body, report, stages } = ended;
        if let Some((handed, began)) = stages.filter(|_| outcome == Outcome::Ok) {
            self.spans.add([
                open.read_time,
                started_at.saturating_duration_since(open.received_at),
                handed.saturating_duration_since(started_at),
                began.saturating_duration_since(handed),
                began.elapsed(),
            ]);
        }
        if outcome == Outcome::TimedOut {
            self.outbound.close_idle_since(endpoint, started_at);
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
        self.remove_if_done(id);
    }

    fn apply_membership(&mut self, update: MembershipUpdate) {
        // Endpoints that take no new requests, or have a new address.
        let mut unavailable = HashSet::new();
        for (id, address) in &update.addresses {
            let before = self.addresses.insert(*id, *address);
            if before.is_some_and(|before| before != *address) {
                self.outbound.close_idle(*id);
                unavailable.insert(*id);
            }
        }
        let (is_full, entries) = match &update.membership {
            Membership::Full(entries) | Membership::Cached(entries) => (true, entries),
            Membership::Delta(entries) => (false, entries),
            Membership::Failed => return self.handle(Event::Membership(update.membership)),
        };
        for entry in entries.iter().filter(|entry| entry.state != EndpointState::Ready) {
            unavailable.insert(entry.id);
            let state = if entry.state == EndpointState::Removed {
                self.addresses.remove(&entry.id);
                self.outbound.forget(entry.id);
                "gone"
            } else {
                self.outbound.close_idle(entry.id);
                "draining"
            };
            log::info!("list: {} is {state}", self.membership.uid(entry.id));
        }
        if is_full {
            let outbound = &self.outbound;
            self.addresses.retain(|id, _| {
                let listed = entries.iter().any(|entry| entry.id == *id);
                if !listed {
                    outbound.forget(*id);
                    unavailable.insert(*id);
                }
                listed
            });
        }
        // A pending connection may be established only after the drain grace period: its attempt is cancelled at
        // once, so that the request goes to another endpoint.
        if !unavailable.is_empty() && !mutant("drain-keeps-pending-attempts") {
            let to = |state: &AttemptState| unavailable.contains(&state.endpoint);
            for id in self.sorted_ids(|open| open.attempts.iter().any(to)) {
                let attempts = self.requests.get_mut(&id).into_iter().flat_map(|open| &mut open.attempts);
                attempts.filter(|state| to(state)).for_each(AttemptState::cancel_if_unstarted);
            }
        }
        self.membership.retain_names(|id| self.addresses.contains_key(&id));
        self.handle(Event::Membership(update.membership));
    }

    /// Passes an event to the decision module and executes its actions, until no events are pending.
    fn handle(&mut self, event: Event) {
        self.pending_events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.pending_events.pop_front() {
            let ended_request = match &event {
                Event::AttemptEnded(ended) => Some(ended.request),
                _ => None,
            };
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
            if let Some(id) = ended_request {
                self.remove_if_done(id);
            }
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint, timeout } => self.send(request, endpoint, timeout),
            Action::Refuse { request, retry_after } => {
                self.finish(request, Answer::Refused(retry_after));
                self.remove_if_done(request);
            }
            Action::Fail { request } if mutant("refuse-for-fail") => {
                self.finish(request, Answer::Refused(None));
                self.remove_if_done(request);
            }
            Action::Fail { request } => {
                self.finish(request, Answer::Failed);
                self.remove_if_done(request);
            }
            Action::Cancel { request, attempt } => {
                if let Some(open) = self.requests.get_mut(&request)
                    && let Some(state) = open.attempts.get_mut(attempt.0 as usize)
                {
                    state.stop();
                }
            }
            Action::SetTimer { token, after } => {
                self.timers.push(Reverse((Instant::now() + after, token.0)));
            }
            // Sending fails only during process exit.
            Action::Watch(on) => drop(self.discovery_calls.send(ClientCommand::Watch(on))),
            Action::FetchList => drop(self.discovery_calls.send(ClientCommand::Fetch)),
            Action::Probe { endpoint } => self.probe(endpoint),
            Action::CloseIdle { endpoint } => self.outbound.close_idle(endpoint),
            Action::Log(text) => log::info!("module: {}", text.replace(['\n', '\r'], " ")),
        }
    }

    /// Starts an attempt. One that must not be sent still gets a number, and ends as moot.
    fn send(&mut self, id: RequestId, endpoint: EndpointId, timeout: Duration) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let (now, attempt) = (Instant::now(), AttemptNo(open.attempts.len() as u32));
        let address = self.addresses.get(&endpoint).copied();
        let give_up_at = open.deadline.min(now + timeout);
        let must_not_send = self.terminated
            || open.answer.is_none()
            || open.attempts.len() >= self.max_attempts
            || give_up_at <= now;
        let Some(address) = address.filter(|_| !must_not_send) else {
            let progress = Progress::default();
            open.attempts.push(AttemptState { endpoint, started_at: now, cancel: None, progress });
            self.pending_events.push_back(Event::AttemptEnded(AttemptEnded {
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
        let window = open.window.clone().map(|window| (window, open.attempts.len()));
        let progress = Progress::default();
        let state =
            AttemptState { endpoint, started_at: now, cancel: Some(cancel), progress: progress.clone() };
        open.attempts.push(state);
        open.active_attempts += 1;
        let attempted =
            Attempt { forward: open.forward.clone(), give_up_at, window, at_most_once: open.at_most_once };
        let (outbound, inbox) = (self.outbound.clone(), self.inbox.clone());
        spawn_local(async move {
            let exchange =
                timeout_at(give_up_at, outbound.attempt(endpoint, address, attempted, &progress));
            let ended = tokio::select! {
                biased;
                _ = &mut cancelled => AttemptEnd::of(progress.cancel_outcome()),
                ended = exchange => ended.unwrap_or_else(|_| AttemptEnd::of(progress.timeout_outcome())),
            };
            let _ = inbox.send(Input::AttemptEnded(id, attempt, ended));
        });
    }

    fn probe(&mut self, endpoint: EndpointId) {
        let Some(&address) = self.addresses.get(&endpoint) else {
            let (outcome, elapsed, report) = (Outcome::ConnectFailed, Duration::ZERO, None);
            return self.pending_events.push_back(Event::ProbeEnded { endpoint, outcome, elapsed, report });
        };
        let (outbound, inbox, started_at) = (self.outbound.clone(), self.inbox.clone(), Instant::now());
        spawn_local(async move {
            let ended = outbound.probe(endpoint, address).await;
            let _ = inbox.send(Input::ProbeEnded(endpoint, ended, started_at.elapsed()));
        });
    }

    /// Sends a request's final answer, unless one has been sent.
    fn finish(&mut self, id: RequestId, answer: Answer) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(to) = open.answer.take() else { return };
        open.attempts.iter_mut().for_each(AttemptState::cancel_if_unstarted);
        match &answer {
            Answer::Served(_) => {}
            Answer::Refused(_) => self.count("refused"),
            Answer::Failed => self.count("failed"),
        }
        let _ = to.send(answer); // fails if the client has just disconnected
    }

    /// Removes a request that is finished and has no active attempts.
    fn remove_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| open.answer.is_none() && open.active_attempts == 0) {
            self.requests.remove(&id);
        }
    }

    fn count(&mut self, what: &'static str) {
        *self.outcome_counts.entry(what).or_default() += 1;
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
