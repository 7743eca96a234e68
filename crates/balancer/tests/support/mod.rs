//! A driver for the balancer on a simulated clock, and a checker of the four rules that is independent of its decisions.
#![allow(dead_code)]

use runtrack_balancer::*;
use std::collections::HashMap;
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn endpoint(id: u64) -> EndpointInfo {
    EndpointInfo::ready(id)
}

pub fn endpoints(n: u64) -> Vec<EndpointInfo> {
    (1..=n).map(endpoint).collect()
}

/// Endpoints 1 to 6 over three zones; 3 and 6 are in the own zone of the default settings.
pub fn three_zones() -> Vec<EndpointInfo> {
    (1..=6).map(|id| EndpointInfo { zone: ZoneId((id % 3) as u32), ..endpoint(id) }).collect()
}

pub fn with_class(semantics: Semantics) -> Settings {
    Settings { classes: vec![Class { semantics, ..Class::default() }], ..Settings::default() }
}

/// An attempt as seen by the checker.
#[derive(Clone)]
struct Sent {
    endpoint: EndpointId,
    zone: ZoneId,
    cell: CellId,
    at: Duration,
    outcome: Option<Outcome>,
}

struct TrackedRequest {
    class: usize,
    deadline: Duration,
    answered: bool,
    sent: Vec<Sent>,
}

/// Asserts the four rules over events and actions.
pub struct Checker {
    settings: Settings,
    listed: HashMap<EndpointId, EndpointInfo>,
    unavailable_since: HashMap<EndpointId, Duration>,
    tracked: HashMap<RequestId, TrackedRequest>,
    /// Sends to each cold endpoint, for rule 4.
    pub cold_sends: HashMap<EndpointId, Vec<Duration>>,
}

impl Checker {
    pub fn new(settings: &Settings) -> Self {
        Checker {
            settings: settings.clone(),
            listed: HashMap::new(),
            unavailable_since: HashMap::new(),
            tracked: HashMap::new(),
            cold_sends: HashMap::new(),
        }
    }

    pub fn on_event(&mut self, now: Duration, event: &Event) {
        match event {
            Event::Membership(Membership::Full(list) | Membership::Cached(list)) => {
                for id in self.listed.keys().copied().collect::<Vec<_>>() {
                    if !list.iter().any(|info| info.id == id) {
                        self.unavailable_since.entry(id).or_insert(now);
                    }
                }
                self.record_states(now, list);
            }
            Event::Membership(Membership::Delta(list)) => self.record_states(now, list),
            Event::Request(request) => {
                self.tracked.entry(request.id).or_insert(TrackedRequest {
                    class: request.class.0,
                    deadline: now + request.time_left,
                    answered: false,
                    sent: Vec::new(),
                });
            }
            Event::AttemptEnded(ended) => {
                if let Some(tracked) = self.tracked.get_mut(&ended.request) {
                    tracked.answered |= ended.finished;
                    if let Some(sent) = tracked.sent.get_mut(ended.attempt.0 as usize) {
                        sent.outcome.get_or_insert(ended.outcome);
                    }
                }
            }
            Event::RequestGone(id) => {
                if let Some(tracked) = self.tracked.get_mut(id) {
                    tracked.answered = true;
                }
            }
            _ => {}
        }
    }

    fn record_states(&mut self, now: Duration, list: &[EndpointInfo]) {
        for info in list {
            if info.state == EndpointState::Ready {
                self.unavailable_since.remove(&info.id);
            } else {
                self.unavailable_since.entry(info.id).or_insert(now);
            }
            self.listed.insert(info.id, info.clone());
        }
    }

    pub fn on_actions(&mut self, now: Duration, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { request, endpoint, .. } => self.sent(now, *request, *endpoint),
                Action::Refuse { request, .. } => {
                    let tracked = self.tracked.get_mut(request).expect("refused request is known");
                    assert!(!tracked.answered, "rule 1: a second final answer");
                    let ran = tracked.sent.iter().any(|s| s.outcome.is_none_or(|o| !o.never_ran()));
                    match self.settings.classes[tracked.class].semantics {
                        Semantics::Safe | Semantics::Keyed { scope: DedupScope::All, .. } => {}
                        _ => assert!(!ran, "rule 2: refused although it may have been executed"),
                    }
                    tracked.answered = true;
                }
                Action::Fail { request } => {
                    let tracked = self.tracked.get_mut(request).expect("failed request is known");
                    assert!(!tracked.answered, "rule 1: a second final answer");
                    tracked.answered = true;
                }
                Action::Cancel { request, attempt } => {
                    assert!(
                        self.settings.limits.cancellation,
                        "cancelled although cancellation is not allowed"
                    );
                    let tracked = &self.tracked[request];
                    assert!(
                        (attempt.0 as usize) < tracked.sent.len(),
                        "cancelled an attempt that was never sent"
                    );
                }
                Action::Probe { .. } => {
                    assert!(self.settings.limits.probes, "probed although probes are not allowed")
                }
                _ => {}
            }
        }
    }

    fn sent(&mut self, now: Duration, request: RequestId, endpoint: EndpointId) {
        let info = self.listed.get(&endpoint).expect("endpoint is listed").clone();
        if let Some(unavailable_since) = self.unavailable_since.get(&endpoint) {
            assert!(
                now <= *unavailable_since + self.settings.rules.drain_grace,
                "rule 3: sent to a drained endpoint"
            );
        }
        let tracked = self.tracked.get_mut(&request).expect("sent request is known");
        assert!(!tracked.answered, "rule 1: sent after the final answer");
        assert!((tracked.sent.len() as u32) < self.settings.limits.max_attempts, "too many attempts");
        if !self.settings.limits.hedging {
            assert!(tracked.sent.iter().all(|s| s.outcome.is_some()), "rule 2: two attempts at once");
        }
        for previous in tracked.sent.iter().filter(|s| s.outcome.is_none_or(|o| !o.never_ran())) {
            match self.settings.classes[tracked.class].semantics {
                Semantics::Safe => {}
                Semantics::Unsafe => panic!("rule 2: retried a maybe executed unsafe request"),
                Semantics::Keyed { scope, window } => {
                    assert!(now <= previous.at + window, "rule 2: retried after the deduplication window");
                    match scope {
                        DedupScope::All => {}
                        DedupScope::Zone => assert_eq!(previous.zone, info.zone, "rule 2: other zone"),
                        DedupScope::Cell => assert_eq!(previous.cell, info.cell, "rule 2: other cell"),
                    }
                }
            }
        }
        tracked.sent.push(Sent { endpoint, zone: info.zone, cell: info.cell, at: now, outcome: None });
        if info.started_at.is_some_and(|at| now < at + self.settings.rules.warm_within) {
            self.cold_sends.entry(endpoint).or_default().push(now);
        }
    }

    /// Rule 1: asserts that no request is past its deadline and grace without an answer.
    pub fn assert_none_overdue(&self, now: Duration) {
        for (id, tracked) in &self.tracked {
            let overdue = now > tracked.deadline + self.settings.rules.answer_grace;
            assert!(tracked.answered || !overdue, "rule 1: {id:?} is overdue");
        }
    }
}

/// Runs a balancer on a simulated clock, fires its timers and checks the rules throughout.
pub struct Driver {
    pub balancer: Balancer,
    pub checker: Checker,
    pub now: Duration,
    pub timers: Vec<(Duration, TimerToken)>,
    /// Attempts in flight: request, number, endpoint, timeout.
    pub out: Vec<(RequestId, AttemptNo, EndpointId, Duration)>,
    attempts: HashMap<RequestId, u32>,
    next: u64,
}

impl Driver {
    pub fn new(settings: Settings, list: Vec<EndpointInfo>) -> Self {
        Self::seeded(settings, list, 1)
    }

    pub fn seeded(settings: Settings, list: Vec<EndpointInfo>, seed: u64) -> Self {
        let checker = Checker::new(&settings);
        let now = Duration::from_secs(100);
        let balancer = Balancer::new(settings, seed, now).expect("valid settings");
        let (timers, out, attempts) = Default::default();
        let mut driver = Driver { balancer, checker, now, timers, out, attempts, next: 0 };
        driver.feed(Event::Membership(Membership::Cached(list)));
        driver
    }

    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        if let Event::AttemptEnded(ended) = &event {
            self.out.retain(|o| (o.0, o.1) != (ended.request, ended.attempt));
        }
        self.checker.on_event(self.now, &event);
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.checker.on_actions(self.now, &actions);
        for action in &actions {
            match action {
                Action::SetTimer { token, after } => self.timers.push((self.now + *after, *token)),
                Action::Send { request, endpoint, timeout } => {
                    let number = self.attempts.entry(*request).or_default();
                    self.out.push((*request, AttemptNo(*number), *endpoint, self.now + *timeout));
                    *number += 1;
                }
                _ => {}
            }
        }
        actions
    }

    pub fn list(&mut self, news: Membership) -> Vec<Action> {
        self.feed(Event::Membership(news))
    }

    pub fn request(&mut self, left: Duration) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        (id, self.feed(Event::request(id, left)))
    }

    /// A request of the given class and tenant.
    pub fn request_of(&mut self, class: usize, tenant: usize, left: Duration) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let Event::Request(mut request) = Event::request(id, left) else { unreachable!() };
        request.class = ClassId(class);
        request.tenant = TenantId(tenant);
        (id, self.feed(Event::Request(request)))
    }

    /// Sends requests until one is queued.
    pub fn fill(&mut self) {
        while !sends(&self.request(ms(60_000)).1).is_empty() {}
    }

    /// Ends the attempt in flight for a request.
    pub fn end(&mut self, id: RequestId, outcome: Outcome, elapsed: Duration) -> Vec<Action> {
        self.end_reporting(id, outcome, elapsed, None)
    }

    pub fn end_reporting(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        elapsed: Duration,
        report: Option<Vec<f64>>,
    ) -> Vec<Action> {
        let &(request, attempt, endpoint, _) =
            self.out.iter().find(|o| o.0 == id).expect("an attempt is in flight");
        let finished = outcome == Outcome::Ok;
        self.feed(Event::AttemptEnded(AttemptEnded {
            request,
            attempt,
            endpoint,
            outcome,
            elapsed,
            finished,
            report,
        }))
    }

    /// Advances the clock, firing timers as they expire.
    pub fn advance(&mut self, by: Duration) -> Vec<Action> {
        let until = self.now + by;
        let mut all = Vec::new();
        while let Some(due) = self.timers.iter().map(|t| t.0).filter(|t| *t <= until).min() {
            self.now = self.now.max(due);
            let at = self.timers.iter().position(|t| t.0 == due).expect("just found");
            let (_, token) = self.timers.remove(at);
            all.extend(self.feed(Event::Timer(token)));
        }
        self.now = until;
        self.checker.assert_none_overdue(self.now);
        all
    }
}

/// Runs `count` requests one at a time, ending each attempt with `outcome`; counts attempts per endpoint.
pub fn run_requests(
    d: &mut Driver,
    count: usize,
    outcome: impl Fn(EndpointId) -> (Outcome, u64),
) -> HashMap<EndpointId, usize> {
    let mut counts: HashMap<EndpointId, usize> = HashMap::new();
    for _ in 0..count {
        let (id, _) = d.request(ms(2000));
        while let Some(to) = d.out.iter().find(|o| o.0 == id).map(|o| o.2) {
            *counts.entry(to).or_default() += 1;
            let (how, elapsed) = outcome(to);
            d.advance(ms(elapsed));
            d.end(id, how, ms(elapsed));
        }
    }
    counts
}

pub fn sends(actions: &[Action]) -> Vec<EndpointId> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Send { endpoint, .. } => Some(*endpoint),
            _ => None,
        })
        .collect()
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { request, .. } if *request == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { request } if *request == id))
}
