//! Decisions of the fleet's proxy for one call: which endpoint, whether another one may be tried, when to come back.
//!
//! The ordinary path is SQ(d), as in `balance`: `CHOICES` ready endpoints drawn at random, the one with the fewest
//! of this proxy's own calls in flight, ties at random. Two things add to an endpoint's occupancy, and neither is a
//! second chooser:
//!
//! - **Prompts.** A prompt whose shared parts an endpoint has read before is read faster there, and nobody says what an
//!   endpoint keeps. So rendezvous hashing of the shared parts names a home and a second home, the same for all proxies
//!   without a word between them; both join the sample, and any other endpoint counts as fuller by what reading the
//!   shared parts again costs. For prompts without shared parts nothing changes.
//! - **Backlogs.** Own counts are nearly always 0 or 1 where many proxies share many endpoints. What an endpoint has been
//!   sent and has not begun to answer, by this proxy and, as far as is told, by the others, counts as the calls that it
//!   takes to read. Where nothing is told, or it is old, only own requests count.
//! - **Failures.** A recent failure counts as calls in flight, and an endpoint that could not be reached is left out
//!   for a time that doubles: quick errors would keep its count low. Where this would leave out every one, none is.

use crate::stats::{Draws, Fading};
use crate::types::{EndpointId, Outcome};
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

/// Endpoints drawn for a call: the paper's d.
const CHOICES: usize = 2;
/// Homes of a prompt that join the sample.
const HOMES: usize = 2;
/// Tokens that must be read again weigh as one call in flight: what a call's own prompt takes to read, within a half.
const TOKENS_A_CALL: f64 = 2048.0;
/// Tokens that are read again weigh this many times tokens that wait to be read: they take the place of parts that are
/// kept, which are then read again in turn. Measured from 1 to 16 (`docs/design/model-routing.md`).
const READ_AGAIN: f64 = 8.0;
/// The second home of a prompt may have it or not.
const SECOND_HOME: f64 = 0.5;
/// What others have sent counts for this long after it was told.
const TOLD_FOR: Duration = Duration::from_millis(400);
/// Prompts and endpoints that are remembered as read, and as many again.
const MAX_READ: usize = 8192;
/// A failure weighs like this many calls in flight.
const FAILURE_HEAT: f64 = 2.0;
/// Failures weigh no more than this together.
const MAX_HEAT: f64 = 12.0;
/// Less heat than this is none: a trace of it would lose every tie and bar an idle endpoint for good.
const MIN_HEAT: f64 = 0.25;
/// Seconds in which the weight of failures falls to a third.
const HEAT_SECONDS: f64 = 3.0;
/// An endpoint that could not be reached, or fell silent, is left out for this long; doubles each time ...
const EJECT_FIRST: Duration = Duration::from_millis(600);
/// ... up to this.
const MAX_EJECTION: Duration = Duration::from_secs(5);
/// Second sends stay below this part of what the fleet may make: members come and go, and counts are late.
const BUDGET_PART: f64 = 0.5;
/// When a client is to come back, at the least, and up to as much more: a crowd that was refused together must not
/// come back together.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// What the fleet may do in second sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// For each request of a service.
    pub ratio: f64,
    /// Over the whole fleet beyond that.
    pub slack: f64,
    /// The window in which both are counted.
    pub window: Duration,
}

/// A prompt, as far as it matters where it is read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Names the parts that others share, all together; 0 where there are none.
    pub key: u64,
    /// Tokens of the parts that others share.
    pub shared_tokens: u32,
    /// Tokens of its own.
    pub own_tokens: u32,
}

/// A request that wants an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct SelectionRequest<'a> {
    /// Now, on the caller's clock.
    pub now: Duration,
    /// The service's ready endpoints.
    pub ready: &'a [EndpointId],
    /// Endpoints that this request has tried.
    pub tried: &'a [EndpointId],
    /// Its prompt, where it has one.
    pub prompt: Option<Prompt>,
}

#[derive(Default)]
struct Load {
    in_flight: u32,
    /// Tokens of own requests that it has not begun to answer.
    unread: u32,
    /// The same of other proxies' requests, as told last.
    unread_of_others: u32,
    heat: Fading,
    ejected_until: Duration,
    ejected_for: Duration,
}

/// Sends and requests of a service within the window.
#[derive(Default)]
struct Sends {
    requests: VecDeque<Duration>,
    seconds: VecDeque<Duration>,
}

impl Sends {
    fn forget(&mut self, before: Duration) {
        for times in [&mut self.requests, &mut self.seconds] {
            while times.front().is_some_and(|at| *at < before) {
                times.pop_front();
            }
        }
    }
}

/// The decisions of one proxy.
pub struct Router {
    draws: Draws,
    loads: HashMap<EndpointId, Load>,
    sends: HashMap<u64, Sends>,
    second: RetryBudget,
    proxies: u32,
    /// When the backlogs of others were told.
    told: Option<Duration>,
    /// Prompts whose home has read their shared parts for this proxy, and the prompts before these.
    cached_prefixes: [HashSet<u64>; 2],
}

impl Router {
    /// A router that has sent nothing yet. Until it is told, it takes the fleet for `proxies` large.
    pub fn new(seed: u64, second: RetryBudget, proxies: u32) -> Self {
        Router {
            draws: Draws::new(seed),
            loads: HashMap::new(),
            sends: HashMap::new(),
            second,
            proxies,
            told: None,
            cached_prefixes: Default::default(),
        }
    }

    /// How many proxies share what the fleet may do.
    pub fn set_proxies(&mut self, proxies: u32) {
        self.proxies = proxies.max(1);
    }

    /// How many proxies share what the fleet may do.
    pub fn proxies(&self) -> u32 {
        self.proxies
    }

    /// An even draw from 0 to below 1.
    pub fn draw(&mut self) -> f64 {
        self.draws.uniform()
    }

    /// Counts a request of a service.
    pub fn arrived(&mut self, now: Duration, service: u64) {
        let sends = self.sends.entry(service).or_default();
        sends.forget(now.saturating_sub(self.second.window));
        sends.requests.push_back(now);
    }

    /// Whether a request of a service may be sent to a second endpoint; counts it if so.
    pub fn try_acquire_retry(&mut self, now: Duration, service: u64) -> bool {
        let share = self.second.slack / f64::from(self.proxies.max(1));
        let sends = self.sends.entry(service).or_default();
        sends.forget(now.saturating_sub(self.second.window));
        let most = (sends.requests.len() as f64 * self.second.ratio + share) * BUDGET_PART;
        let may = (sends.seconds.len() as f64) + 1.0 <= most;
        if may {
            sends.seconds.push_back(now);
        }
        may
    }

    /// When a client that is refused is to come back.
    pub fn retry_after(&mut self) -> Duration {
        RETRY_AFTER.mul_f64(1.0 + self.draws.uniform())
    }

    /// Own calls in flight at an endpoint.
    pub fn in_flight(&self, endpoint: EndpointId) -> u32 {
        self.loads.get(&endpoint).map_or(0, |load| load.in_flight)
    }

    /// The endpoint to send to; none where there is none that was not tried.
    pub fn choose(&mut self, request: SelectionRequest<'_>) -> Option<EndpointId> {
        let untried = || request.ready.iter().copied().filter(|id| !request.tried.contains(id));
        let in_service =
            |id: &EndpointId| self.loads.get(id).is_none_or(|load| load.ejected_until <= request.now);
        let mut eligible: Vec<EndpointId> = untried().filter(in_service).collect();
        if eligible.is_empty() {
            eligible = untried().collect();
        }
        let shared = request.prompt.filter(|prompt| prompt.shared_tokens > 0);
        let homes = shared.map_or([None; HOMES], |prompt| preferred_endpoints(prompt.key, &eligible));
        let mut best: Option<(f64, EndpointId)> = None;
        let mut ties = 0;
        let sample = self.sample(&eligible);
        let joined = homes.iter().flatten().copied().filter(|home| !sample.contains(home));
        for id in sample.iter().copied().chain(joined.collect::<Vec<_>>()) {
            let occupancy = self.occupancy(request.now, id) + prefill_cost(shared, &homes, id);
            match best {
                Some((least, _)) if occupancy > least => {}
                Some((least, _)) if occupancy == least => {
                    ties += 1;
                    if self.draws.below(ties + 1) == 0 {
                        best = Some((occupancy, id));
                    }
                }
                _ => (best, ties) = (Some((occupancy, id)), 0),
            }
        }
        best.map(|(_, id)| id)
    }

    /// Draws without replacement.
    fn sample(&mut self, eligible: &[EndpointId]) -> Vec<EndpointId> {
        let mut sample = Vec::with_capacity(CHOICES + HOMES);
        while sample.len() < CHOICES.min(eligible.len()) {
            let drawn = eligible[self.draws.below(eligible.len())];
            if !sample.contains(&drawn) {
                sample.push(drawn);
            }
        }
        sample
    }

    fn occupancy(&self, now: Duration, id: EndpointId) -> f64 {
        let Some(load) = self.loads.get(&id) else { return 0.0 };
        let heat = load.heat.read(now, HEAT_SECONDS);
        let told = self.told.is_some_and(|told| now.saturating_sub(told) < TOLD_FOR);
        let unread = load.unread + if told { load.unread_of_others } else { 0 };
        f64::from(load.in_flight)
            + if heat < MIN_HEAT { 0.0 } else { heat }
            + f64::from(unread) / TOKENS_A_CALL
    }

    /// A call goes to an endpoint; the tokens that it will have to read for it.
    pub fn sent(&mut self, id: EndpointId, prompt: Option<Prompt>) -> u32 {
        let tokens = prompt.map_or(0, |prompt| {
            let kept = self.cached_prefixes.iter().any(|read| read.contains(&mark(prompt.key, id)));
            prompt.own_tokens.saturating_add(if kept { 0 } else { prompt.shared_tokens })
        });
        let load = self.loads.entry(id).or_default();
        load.in_flight += 1;
        load.unread = load.unread.saturating_add(tokens);
        tokens
    }

    /// An endpoint has begun to answer, or will not: it has nothing more to read for a call.
    pub fn prefill_finished(&mut self, id: EndpointId, tokens: u32) {
        let load = self.loads.entry(id).or_default();
        load.unread = load.unread.saturating_sub(tokens);
    }

    /// An endpoint has read a prompt, and keeps its shared parts for a while.
    pub fn record_cached_prefix(&mut self, id: EndpointId, prompt: Prompt) {
        if self.cached_prefixes[0].len() >= MAX_READ {
            self.cached_prefixes.swap(0, 1);
            self.cached_prefixes[0].clear();
        }
        self.cached_prefixes[0].insert(mark(prompt.key, id));
    }

    /// What endpoints have to read for this proxy's calls, of those that have anything.
    pub fn backlog(&self) -> Vec<(EndpointId, u32)> {
        let with = self.loads.iter().filter(|(_, load)| load.unread > 0);
        with.map(|(id, load)| (*id, load.unread)).collect()
    }

    /// What endpoints have to read for all proxies' calls, of those that have anything; `told` is what this proxy had told
    /// when that was summed up.
    pub fn set_fleet_backlog(
        &mut self,
        now: Duration,
        all: &[(EndpointId, u32)],
        told: &[(EndpointId, u32)],
    ) {
        self.told = Some(now);
        for load in self.loads.values_mut() {
            load.unread_of_others = 0;
        }
        for (id, tokens) in all {
            let own = told.iter().find(|(other, _)| other == id).map_or(0, |(_, own)| *own);
            self.loads.entry(*id).or_default().unread_of_others = tokens.saturating_sub(own);
        }
    }

    /// A call that was sent has ended.
    pub fn ended(&mut self, now: Duration, id: EndpointId, outcome: Outcome) {
        let load = self.loads.entry(id).or_default();
        load.in_flight = load.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Ok => load.ejected_for = Duration::ZERO,
            Outcome::Cancelled | Outcome::Moot => {}
            Outcome::Full | Outcome::Error => load.fail(now),
            Outcome::ConnectFailed | Outcome::Reset | Outcome::TimedOut => {
                load.fail(now);
                load.eject(now);
            }
        }
    }

    /// An endpoint that works on calls of ours has said nothing for too long.
    pub fn silent(&mut self, now: Duration, id: EndpointId) {
        self.loads.entry(id).or_default().eject(now);
    }

    /// Forgets an endpoint that has ended.
    pub fn forget(&mut self, id: EndpointId) {
        if self.loads.get(&id).is_some_and(|load| load.in_flight == 0) {
            self.loads.remove(&id);
        }
    }
}

impl Load {
    fn fail(&mut self, now: Duration) {
        let heat = self.heat.read(now, HEAT_SECONDS) + FAILURE_HEAT;
        self.heat.set(now, heat.min(MAX_HEAT));
    }

    fn eject(&mut self, now: Duration) {
        if self.ejected_until > now {
            return; // several calls tell of one failure
        }
        self.ejected_for = (self.ejected_for * 2).clamp(EJECT_FIRST, MAX_EJECTION);
        self.ejected_until = now + self.ejected_for;
    }
}

/// The endpoints with the highest weights for a key.
fn preferred_endpoints(key: u64, eligible: &[EndpointId]) -> [Option<EndpointId>; HOMES] {
    let mut best: [Option<(u64, EndpointId)>; HOMES] = [None; HOMES];
    for id in eligible.iter().copied() {
        let mut next = Some((mark(key, id), id));
        for place in &mut best {
            if next > *place {
                std::mem::swap(place, &mut next);
            }
        }
    }
    best.map(|home| home.map(|(_, id)| id))
}

/// What reading a prompt's shared parts at an endpoint weighs.
fn prefill_cost(prompt: Option<Prompt>, homes: &[Option<EndpointId>; HOMES], id: EndpointId) -> f64 {
    let Some(prompt) = prompt else { return 0.0 };
    let calls = f64::from(prompt.shared_tokens) * READ_AGAIN / TOKENS_A_CALL;
    match homes.iter().position(|home| *home == Some(id)) {
        Some(0) => 0.0,
        Some(_) => calls * SECOND_HOME,
        None => calls,
    }
}

/// A prompt's shared parts at an endpoint.
fn mark(key: u64, id: EndpointId) -> u64 {
    mix(key ^ mix(id.0))
}

/// Spreads the bits of a number (the finalizer of splitmix64).
fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
