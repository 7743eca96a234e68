//! Every decision of the balancer. Its interface (settings, events, actions) is in `types.rs`.
//!
//! The ordinary path is SQ(d): sample `CHOICES` ready endpoints at random, send to the one with
//! the fewest of this balancer's own calls in flight, break ties at random. Each exception either
//! narrows the eligible set or adds to an endpoint's occupancy; none is a second chooser.

use crate::ring::{Pools, Ring};
use crate::stats::{Draws, Fading, Latency, Turn};
use crate::types::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::ops::Bound;
use std::time::Duration;

/// Endpoints sampled for a call: the paper's d; two gives most of the gain.
const CHOICES: usize = 2;
/// Endpoints of a pool looked at for one choice, open or not: work a request must not grow with the fleet.
const DRAWS: usize = 16;
/// A failure weighs like this many calls in flight, or quick errors would win every sample.
const FAILURE_HEAT: f64 = 1.0;
/// Failures weigh no more than this together, so that an endpoint cools within some seconds.
const HEAT_MOST: f64 = 12.0;
/// Less heat than this is none: a trace of it would lose every tie and bar an idle endpoint for good.
const HEAT_LEAST: f64 = 0.5;
/// Seconds in which the weight of failures falls to a third: long enough for a streak to add up.
const HEAT_SECONDS: f64 = 4.0;
/// An endpoint's answers may take longer than the unhurried mean by this multiple of it before that counts.
const DRAG_FREE: f64 = 0.5;
/// Weight of one answer in an endpoint's drag, and in the share of late answers.
const DRAG_WEIGHT: f64 = 0.15;
/// Seconds in which drag is forgotten to a third, so that a slow endpoint is tried again.
const DRAG_SECONDS: f64 = 6.0;
/// Or the time of so many calls to one endpoint, where that is longer: of hundreds of callers each meets an
/// endpoint once in seconds, would have forgotten it by then, and all of them together would keep it busy.
const DRAG_CALLS: f64 = 8.0;
const DRAG_MOST: f64 = 60.0;
/// Occupancy by which an endpoint of another zone must be better: a crossing costs time and money.
const CROSS_MARGIN: f64 = 1.0;
/// Retries that each new request earns; all tiers retry, so the product must stay near one.
const RETRY_EARN: f64 = 0.2;
/// Retries that can be saved up, for a fault that strikes many calls at once.
const RETRY_SAVED: f64 = 10.0;
/// Share of the multiple at which a cold endpoint falls that all balancers together may use.
const COLD_CAUTION: f64 = 0.5;
/// Seconds over which rates are averaged.
const RATE_SECONDS: f64 = 5.0;
/// Seconds for which a warm endpoint's proven rate is believed without new proof.
const PROOF_SECONDS: f64 = 30.0;
/// An attempt's answer may never come once it is out for the mean and so many mean distances from it: few
/// answers take as long even where work is heavy-tailed ...
const SILENT_SPREADS: f64 = 8.0;
/// ... or already after so many, while endpoints are known to be silent.
const OVERDUE_SPREADS: f64 = 2.0;
/// Silences less those that answers refute, before they are acted on: above one in ten attempts.
const SILENCE_ACTS: f64 = 1.5;
const SILENCE_REFUTED: f64 = 0.1;
const SILENCE_MOST: f64 = 6.0;
/// Seconds in which silence is forgotten to a third, so that old connections are trusted again.
const SILENCE_SECONDS: f64 = 15.0;
/// What an answer on an old connection says against its kind being dropped unseen.
const STALE_REFUTED: f64 = 0.25;
/// Above this share of late answers silence is taken for a jam.
const LATE_SHARE: f64 = 0.3;
/// Own calls in flight at an endpoint that is not known yet: the paper's C before any measurement.
const LIMIT_START: f64 = 3.0;
/// Until its first late answer each timely one adds a call, up to so many: or few endpoints would hold a
/// first surge up for seconds. Not where they are newly started: through a release those would be crowded.
/// Of many balancers each adds less, or they add up to a jam. It could hurt where answers stay timely until
/// a queue overflows.
const LIMIT_OPEN: f64 = 8.0;
/// From there, until the first late answer, each that takes less than half of what is late adds this much: a
/// quarter a round, or endpoints that hold hundreds would be found out one call a round.
const LIMIT_ROUND: f64 = 0.25;
/// One late answer takes this share of the limit; each round of timely ones adds one call.
const LIMIT_CUT: f64 = 0.07;
/// Part of the objective that an answer may take before the endpoint counts as overfull.
const LATE_PART: f64 = 0.8;
/// Calls of all balancers at each endpoint before any measurement; own windows start at their part of that,
/// or a hundred balancers would open with a jam. Until the first late answer each timely one adds a part.
const WINDOW_START: f64 = 4.0;
/// A timely answer adds this many parts over the window, a late one takes the cut. So where each endpoint
/// holds 1.5 calls of all balancers, one answer in two may be late; where twice as many, one in three.
const WINDOW_GAIN: f64 = 0.75;
/// Less than a call: where a balancer has one or two out, single slow answers are mostly chance.
const WINDOW_CUT: f64 = 0.5;
/// A window that is not used falls to so many times the most that was out of late (RFC 7661): room that was
/// never tried out says nothing of what endpoints can hold, and would let a slowdown fill them up.
const WINDOW_SPARE: f64 = 1.5;
/// Seconds in which the most that was out is forgotten to a third.
const USED_SECONDS: f64 = 10.0;
/// Calls of all balancers at each endpoint beyond which floors of one call are too many.
const FLOOR_CALLS: f64 = 8.0;
/// An answer is also late beyond this multiple of its class's unhurried mean: work times spread.
const LATE_MULTIPLE: f64 = 2.5;
/// But never within this: what is over so soon keeps no queue worth the name, and a few times a mean of
/// microseconds is the noise of any machine. It would hide a jam only where all answers take less.
const LATE_LEAST: f64 = 0.005;
/// Balancers that share each endpoint. One that uses many learns too little of each (i44da9d); its idle
/// connections fill their tables, which takes capacity. The sum of n unlike loads is uneven by the root of n
/// less: with nine, where some balancers carry several times the mean, by a third of it.
const PART_CALLERS: f64 = 9.0;
/// Endpoints of a zone that a caller uses at least, so that d samples still find a choice among failing ones.
const PART_LEAST: f64 = 4.0;
/// Step from one balancer's place on the ring to the next one's: the golden ratio spaces any run evenly.
const PLACE_STEP: f64 = 0.618_033_988_75;
/// Seconds in which the value of a refused request fades to a third.
const MISSED_SECONDS: f64 = 2.0;
/// A client's repeat has spent some of its objective: it counts as a late answer does, or at least so much.
const REPEAT_LEAST: f64 = 0.1;
/// Held requests are looked at again this often, besides whenever a call ends.
const HOLD_RECHECK: Duration = Duration::from_millis(20);
/// Part of their objective for which held requests wait in the order of their coming.
const PATIENT_PART: f64 = 0.25;
/// A tenant is over its share beyond this multiple of what the median tenant uses of its own.
const SHARE_SLACK: f64 = 1.5;
/// First wait before discovery is asked again after a failure, up to half of it sooner or later; doubles ...
const ASK_BACKOFF: f64 = 0.5;
/// ... up to this: what discovery has to tell counts as told after 6 s (PROTOCOL, "Figures"), and with half
/// as much again the wait is no longer. Nor much shorter: calls that are refused take their part of
/// discovery's time, and many callers that came again sooner would keep each other out for good.
const ASK_BACKOFF_MOST: f64 = 4.0;

/// What an attempt is known to have done.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Copy)]
struct Attempt {
    endpoint: EndpointId,
    cell: CellId,
    zone: ZoneId,
    sent: Duration,
    /// How long the connection it went out on had lain idle; none for a new one.
    idle: Duration,
    turn: Turn,
    fate: Fate,
}

/// A request until it is finished and all its attempts have ended.
struct Pending {
    class: usize,
    arrived: Duration,
    deadline: Duration,
    /// Part of its class's worth: little above its tenant's share, and for a repeat.
    part: f64,
    attempts: Vec<Attempt>,
    /// Its timers, to be dropped with it.
    due: Vec<Due>,
    finished: bool,
    streaming: bool,
}

struct Endpoint {
    info: EndpointInfo,
    in_flight: u32,
    /// Recent failures as calls in flight.
    heat: Fading,
    /// It is there and fails: the last that came from it was an error.
    ill: bool,
    /// Its latency as a multiple of the class's unhurried mean, beyond one: what calls of
    /// others, unseen here, do to it. Own counts say little where a caller has one call out or none.
    drag: Fading,
    /// Own calls it may hold: the paper's C, learned from late and timely answers.
    limit: f64,
    opening: bool,
    limit_cut_at: Duration,
    /// When it last answered, and left a connection idle.
    heard: Option<Duration>,
    /// Sends the cold budget still allows, as of `cold_at`.
    cold_tokens: f64,
    cold_at: Duration,
}

/// Own attempts out, and how many may be: keeps many balancers from adding up to a jam.
#[derive(Clone, Copy)]
struct Window {
    size: f64,
    out: u32,
    opening: bool,
    /// The most that was out of late.
    used: Fading,
}

#[derive(Clone, Copy, PartialEq)]
enum Timer {
    Deadline(RequestId),
    Overdue(RequestId, AttemptNo),
    Ask,
    Recheck,
}

/// Requests of equal value: their class and the bits of their part.
type Alike = (usize, u64);
/// A held request among its like: when it came.
type Place = (Duration, RequestId);
/// A timer by its time; the number tells equal times apart.
type Due = (Duration, u64);

/// The decisions of one balancer.
pub struct Balancer {
    settings: Settings,
    born: Duration,
    draws: Draws,
    endpoints: Vec<Endpoint>,
    index: HashMap<EndpointId, usize>,
    /// Ready endpoints: of the own zone, of others, each first those of this balancer's part, then all.
    pools: Pools,
    /// Ready endpoints of each zone, and this balancer's part of them.
    rings: BTreeMap<ZoneId, Ring>,
    /// When cold endpoints will be warm.
    warming: BTreeSet<(Duration, EndpointId)>,
    /// Endpoints that left with calls still out.
    leaving: Vec<EndpointId>,
    requests: HashMap<RequestId, Pending>,
    /// Held requests by class and the bits of their part, which their value follows from; of each the last
    /// to have come is the last.
    held: BTreeMap<Alike, BTreeSet<Place>>,
    /// Heat that three quarters of the endpoints share: it comes from below and is nobody's fault here.
    /// Not the median's, or a zone lost would pass for it.
    common_heat: f64,
    /// Seconds for which what was learned of an endpoint is remembered, as of the last choice.
    memory: f64,
    /// Of the own zone and of all others together: a crowded zone must not shut the others.
    windows: [Window; 2],
    recheck_set: bool,
    /// The value of the worthiest request refused of late without having been sent.
    missed: Fading,
    /// What comes due when. What is over is taken out: deadlines of answered requests must not pile up.
    timers: BTreeMap<Due, Timer>,
    /// The timers asked of the host: each one earlier than those before it, so there are never many.
    armed: Vec<(Duration, TimerToken)>,
    next_timer: u64,
    latency: Vec<Latency>,
    retry_tokens: f64,
    /// Requests by tenant.
    tenants: Vec<Fading>,
    arrivals: Fading,
    /// Requests served by warm endpoints.
    served: Fading,
    /// The most a warm endpoint has lately been seen to serve for this balancer, a second.
    proven: Fading,
    /// Attempts lately without an answer, less what answers refute.
    silence: Fading,
    late_share: f64,
    /// How far silence goes with connections that lay idle, and from how long on.
    stale: f64,
    reaped_after: Duration,
    ask_failures: u32,
    started: bool,
}

impl Pending {
    /// Whether nothing is to be decided for it any more.
    fn settled(&self) -> bool {
        self.finished || self.streaming
    }

    /// Where it is held.
    fn group(&self) -> Alike {
        (self.class, self.part.to_bits())
    }

    fn none_out(&self) -> bool {
        self.attempts.iter().all(|a| a.fate != Fate::Out)
    }

    /// The attempts that are not known never to have run.
    fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.fate != Fate::NeverRan)
    }
}

impl Balancer {
    /// A balancer that knows no endpoints yet. Equal settings, seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64, now: Duration) -> Result<Self, SettingsError> {
        settings.validate()?;
        let (classes, tenants) = (settings.classes.len(), settings.tenants.len());
        Ok(Balancer {
            settings,
            born: now,
            draws: Draws::new(seed),
            endpoints: Vec::new(),
            index: HashMap::new(),
            pools: Pools::default(),
            rings: BTreeMap::new(),
            warming: BTreeSet::new(),
            leaving: Vec::new(),
            requests: HashMap::new(),
            held: BTreeMap::new(),
            common_heat: 0.0,
            memory: DRAG_SECONDS,
            windows: [Window { size: 1.0, out: 0, opening: true, used: Fading::default() }; 2],
            recheck_set: false,
            missed: Fading::default(),
            timers: BTreeMap::new(),
            armed: Vec::new(),
            next_timer: 0,
            latency: vec![Latency::default(); classes],
            retry_tokens: RETRY_SAVED,
            tenants: vec![Fading::default(); tenants],
            arrivals: Fading::default(),
            served: Fading::default(),
            proven: Fading::default(),
            silence: Fading::default(),
            late_share: 0.0,
            stale: 0.0,
            reaped_after: Duration::MAX,
            ask_failures: 0,
            started: false,
        })
    }

    /// Takes one event at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Membership(news) => self.on_membership(now, news, out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::StreamStarted { request, .. } => {
                if let Some(pending) = self.requests.get_mut(&request) {
                    pending.streaming = true;
                }
            }
            Event::AttemptEnded(ended) => self.on_attempt_ended(now, ended, out),
            Event::RequestGone(id) => self.finish(id, out),
            Event::GiveUp(id) => self.give_up(id, out),
            Event::Timer(token) => {
                self.armed.retain(|(_, armed)| *armed != token);
                self.on_due(now, out);
            }
            Event::ProbeEnded { .. } | Event::PeerMessage { .. } => {}
        }
        // The host is asked for the next timer alone, and only where it won't wake the module by then.
        if let Some((&(at, number), _)) = self.timers.first_key_value()
            && self.armed.last().is_none_or(|(armed, _)| at < *armed)
        {
            let token = TimerToken(number);
            self.armed.push((at, token));
            // In whole microseconds, rounded up: a host that rounds down would wake the module too early.
            let after = Duration::from_micros(at.saturating_sub(now).as_nanos().div_ceil(1000) as u64);
            out.push(Action::SetTimer { token, after });
        }
    }

    fn on_due(&mut self, now: Duration, out: &mut Vec<Action>) {
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let (due, timer) = entry.remove_entry();
            if let Timer::Deadline(id) | Timer::Overdue(id, _) = timer
                && let Some(pending) = self.requests.get_mut(&id)
            {
                pending.due.retain(|other| *other != due);
            }
            match timer {
                Timer::Deadline(id) => self.give_up(id, out),
                Timer::Overdue(id, attempt) => self.on_overdue(now, id, attempt, out),
                Timer::Ask => out.push(Action::Watch(true)),
                Timer::Recheck => {
                    self.recheck_set = false;
                    self.drop_late(now, out);
                    self.release_held(now, out);
                }
            }
        }
    }

    /// Own calls in flight at all endpoints that are listed.
    pub fn calls_in_flight(&self) -> u32 {
        self.endpoints.iter().map(|endpoint| endpoint.in_flight).sum()
    }

    /// Things remembered: endpoints, requests, timers. Stays in proportion to what is going on.
    pub fn remembered(&self) -> usize {
        self.endpoints.len()
            + self.requests.len()
            + self.timers.len()
            + self.armed.len()
            + self.held_count()
    }

    /// How an endpoint that is on the list stands.
    pub fn standing(&self, now: Duration, id: EndpointId) -> Option<Standing<'_>> {
        let i = *self.index.get(&id)?;
        let endpoint = &self.endpoints[i];
        let (part, heat) = (self.warmth(now, i), endpoint.heat(now, self.memory));
        Some(Standing { info: &endpoint.info, part, heat, in_flight: endpoint.in_flight })
    }

    // ---- the endpoint list ----

    fn on_membership(&mut self, now: Duration, news: Membership, out: &mut Vec<Action>) {
        let ask = self.settings.discovery == Discovery::Ask;
        match news {
            Membership::Failed => {
                if ask {
                    // Jittered, so that instances refused together do not return together. After a call that
                    // failed a list counts as good for four times `ask_within` (WIRE, `askWithinMs`).
                    let doubled = ASK_BACKOFF * f64::from(1u32 << self.ask_failures.min(4));
                    let stated = self.settings.rules.ask_within.as_secs_f64();
                    let most = if stated > 0.0 { ASK_BACKOFF_MOST.min(stated) } else { ASK_BACKOFF_MOST };
                    let wait = doubled.min(most) * (0.5 + self.draws.uniform());
                    self.ask_failures += 1;
                    self.set_timer(now + Duration::from_secs_f64(wait), Timer::Ask);
                }
                return;
            }
            Membership::Delta(entries) => self.update_endpoints(now, entries),
            Membership::Full(mut entries) | Membership::Cached(mut entries) => {
                let listed: HashSet<EndpointId> = entries.iter().map(|e| e.id).collect();
                let missing = self.endpoints.iter().filter(|e| !listed.contains(&e.info.id));
                let gone = |e: &Endpoint| EndpointInfo { state: EndpointState::Gone, ..e.info.clone() };
                entries.extend(missing.map(gone));
                self.update_endpoints(now, entries);
            }
        }
        if ask && !self.started {
            // All instances may start at once; discovery answers them one after another.
            let most = self.settings.rules.ask_within.as_secs_f64() / 8.0;
            let wait = Duration::from_secs_f64(self.draws.uniform() * most);
            self.set_timer(now + wait, Timer::Ask);
        } else {
            self.ask_failures = 0;
        }
        if !std::mem::replace(&mut self.started, true) {
            let size = (WINDOW_START * self.part()).max(1.0);
            self.windows.iter_mut().for_each(|window| window.size = size);
        }
        self.release_held(now, out);
    }

    /// Takes single changes at a cost that does not grow with the fleet.
    fn update_endpoints(&mut self, now: Duration, entries: Vec<EndpointInfo>) {
        // Zones of which the part is to be looked at again, and their new endpoints.
        let mut touched: BTreeMap<ZoneId, Vec<EndpointId>> = BTreeMap::new();
        while let Some((_, id)) = self.warming.first().copied().filter(|(at, _)| *at <= now) {
            self.warming.pop_first();
            let Some(&i) = self.index.get(&id).filter(|&&i| self.endpoints[i].is_ready()) else { continue };
            if self.warmth(now, i) >= 1.0 {
                let zone = self.endpoints[i].info.zone;
                self.rings.entry(zone).or_default().insert(id, true);
                touched.entry(zone).or_default();
            }
        }
        for info in entries {
            let (id, gone) = (info.id, info.state == EndpointState::Gone);
            let i = match self.index.get(&id) {
                Some(&i) => i,
                None if gone => continue,
                None => self.add_endpoint(now, info.clone()),
            };
            let endpoint = &mut self.endpoints[i];
            let (before, ready) = (endpoint.info.clone(), endpoint.is_ready());
            if info.started != before.started {
                endpoint.drag.value = 0.0;
                endpoint.heat.value = 0.0; // another process: its forerunner's failures say nothing
                (endpoint.cold_tokens, endpoint.cold_at) = (0.0, now);
            }
            let same = (info.zone, info.started) == (before.zone, before.started);
            endpoint.info = info;
            let now_ready = endpoint.is_ready();
            let on_ring = self.rings.get(&before.zone).is_some_and(|ring| ring.contains(id));
            if on_ring && !(ready && now_ready && same) {
                (0..4).for_each(|set| self.pools.set(set, i, false));
                self.rings.entry(before.zone).or_default().remove(id);
                touched.entry(before.zone).or_default();
            }
            if now_ready && !(on_ring && same) {
                let (zone, warm) = (self.endpoints[i].info.zone, self.warmth(now, i) >= 1.0);
                self.rings.entry(zone).or_default().insert(id, warm);
                if let Some(started) = self.endpoints[i].info.started.filter(|_| !warm) {
                    // A moment more than the time itself, which rounding could miss.
                    let at = started + self.settings.rules.warm_within + Duration::from_micros(1);
                    self.warming.insert((at, id));
                }
                self.pools.set(2 + self.side(i), i, true);
                touched.entry(zone).or_default().push(id);
            }
            if gone {
                self.leaving.push(id);
            }
        }
        // Endpoints that left are forgotten once their last call has ended.
        for id in std::mem::take(&mut self.leaving) {
            match self
                .index
                .get(&id)
                .copied()
                .filter(|&i| self.endpoints[i].info.state == EndpointState::Gone)
            {
                Some(i) if self.endpoints[i].in_flight > 0 => self.leaving.push(id),
                Some(i) => self.forget_endpoint(i),
                None => {}
            }
        }
        for (zone, new) in touched {
            self.choose_part(zone, &new);
        }
    }

    fn add_endpoint(&mut self, now: Duration, info: EndpointInfo) -> usize {
        let i = self.endpoints.len();
        self.index.insert(info.id, i);
        self.pools.push_slot();
        let (cold_tokens, opening) = (self.draws.uniform(), info.started.is_none());
        self.endpoints.push(Endpoint {
            info,
            in_flight: 0,
            heat: Fading::default(),
            ill: false,
            drag: Fading::default(),
            limit: LIMIT_START,
            opening,
            limit_cut_at: now,
            heard: None,
            cold_tokens,
            cold_at: now,
        });
        i
    }

    fn forget_endpoint(&mut self, i: usize) {
        self.index.remove(&self.endpoints[i].info.id);
        self.endpoints.swap_remove(i);
        self.pools.swap_remove_slot(i);
        if let Some(moved) = self.endpoints.get(i) {
            self.index.insert(moved.info.id, i);
        }
    }

    /// All balancers see the endpoints of a zone on the same ring; each begins at a place of its own, by the
    /// golden ratio: so parts cover it evenly, also for those of one zone, however they are numbered.
    fn choose_part(&mut self, zone: ZoneId, new: &[EndpointId]) {
        let Some(ring) = self.rings.get_mut(&zone) else { return };
        if ring.len() == 0 {
            self.rings.remove(&zone);
            return;
        }
        let (size, callers) = (ring.len() as f64, f64::from(self.settings.balancers.max(1)));
        let start = (size * (f64::from(self.settings.me) * PLACE_STEP).fract()) as usize;
        // Cold endpoints come on top: through a release a part of them alone would be crowded.
        let side = usize::from(zone != self.settings.zone);
        // Those of a zone send there first, and have to even out among themselves.
        let zones = if side == 0 { f64::from(self.settings.zones.max(1)) } else { 1.0 };
        let wanted = (size * PART_CALLERS * zones / callers).max(PART_LEAST);
        let (pools, index) = (&mut self.pools, &self.index);
        ring.arc(start, wanted.ceil() as usize, new, |id, within| pools.set(side, index[&id], within));
    }

    // ---- requests ----

    fn on_request(&mut self, now: Duration, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        self.arrivals.count(now, RATE_SECONDS);
        self.retry_tokens = (self.retry_tokens + RETRY_EARN).min(RETRY_SAVED);
        let class = request.class.0.min(self.settings.classes.len() - 1);
        let over_share = self.over_share(now, request.tenant.0);
        let mut part = if over_share { self.settings.over_share_worth } else { 1.0 };
        if request.client_retry {
            part *= self.settings.classes[class].late_value.max(REPEAT_LEAST);
        }
        let (arrived, deadline) = (now, now + request.time_left);
        let (attempts, due, finished, streaming) = Default::default();
        let pending = Pending { class, arrived, deadline, part, attempts, due, finished, streaming };
        self.requests.insert(id, pending);
        self.set_timer(deadline, Timer::Deadline(id));
        self.advance(now, id, out);
    }

    /// Sends a request that has no attempt out, or holds it, or gives it up.
    fn advance(&mut self, now: Duration, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        if pending.settled() {
            return;
        }
        let spent = pending.attempts.len() as u32 >= self.settings.limits.max_attempts;
        // A held repeat may have outlived the time in which its key is remembered: ask again here.
        let spent = spent || pending.deadline <= now || self.too_late(now, pending);
        if spent || !self.may_repeat(now, id) {
            return self.give_up(id, out);
        }
        let Some(i) = self.pick(now, id) else {
            let Some(pending) = self.requests.get(&id) else { return };
            self.held.entry(pending.group()).or_default().insert((pending.arrived, id));
            return self.set_recheck(now);
        };
        self.send(now, id, i, out);
    }

    /// Whether the answer to a request that has waited untried would come after the objective or the
    /// deadline, were it sent now.
    fn too_late(&self, now: Duration, pending: &Pending) -> bool {
        let usual = Duration::from_secs_f64(self.latency[pending.class].mean());
        let objective = pending.arrived + self.settings.classes[pending.class].objective;
        pending.attempts.is_empty()
            && now > pending.arrived
            && now + usual > objective.min(pending.deadline)
    }

    fn send(&mut self, now: Duration, id: RequestId, i: usize, out: &mut Vec<Action>) {
        let (cold_tokens, side) = (self.cold_tokens(now, i), self.side(i));
        let silent = self.silent(now);
        let endpoint = &mut self.endpoints[i];
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let mut idle = endpoint.heard.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        if silent && idle >= self.reaped_after {
            // Something on the way drops idle connections unseen; a handshake costs less than a lost call.
            out.push(Action::CloseIdle { endpoint: endpoint.info.id });
            endpoint.heard = None;
            idle = Duration::ZERO;
        }
        endpoint.in_flight += 1;
        self.windows[side].sent(now);
        (endpoint.cold_tokens, endpoint.cold_at) = (cold_tokens - 1.0, now);
        pending.attempts.push(Attempt {
            endpoint: endpoint.info.id,
            cell: endpoint.info.cell,
            zone: endpoint.info.zone,
            sent: now,
            idle,
            turn: self.latency[pending.class].sent(now),
            fate: Fate::Out,
        });
        let timeout = pending.deadline.saturating_sub(now);
        out.push(Action::Send { request: id, endpoint: endpoint.info.id, timeout });
        let (number, class) = (AttemptNo(pending.attempts.len() as u32 - 1), pending.class);
        let overdue = self.latency[class].overdue(if silent { OVERDUE_SPREADS } else { SILENT_SPREADS });
        if let Some(overdue) = overdue.filter(|overdue| *overdue < timeout) {
            self.set_timer(now + overdue, Timer::Overdue(id, number));
        }
    }

    /// Whether answers fail to come while those that come are timely: dead machines, connections dropped
    /// unseen, a class swallowed. In a jam answers come late, and copies would only feed it.
    fn silent(&self, now: Duration) -> bool {
        self.late_share < LATE_SHARE && self.silence.read(now, SILENCE_SECONDS) >= SILENCE_ACTS
    }

    /// An attempt was overtaken, or is out for far longer than any answer takes.
    fn note_silence(&mut self, now: Duration, attempt: Attempt) {
        self.silence.set(now, (self.silence.read(now, SILENCE_SECONDS) + 1.0).min(SILENCE_MOST));
        if attempt.idle.is_zero() {
            self.stale -= 1.0;
        } else {
            self.stale = (self.stale + 1.0).min(SILENCE_MOST);
            self.reaped_after = self.reaped_after.min(attempt.idle);
        }
        if let Some(&i) = self.index.get(&attempt.endpoint) {
            self.endpoints[i].add_heat(now, self.memory);
        }
    }

    /// Sends a second copy, or where none is allowed the request again, while endpoints are silent.
    fn on_overdue(&mut self, now: Duration, id: RequestId, number: AttemptNo, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        let n = number.0 as usize;
        let (attempt, tries) = (pending.attempts[n], pending.attempts.len());
        if pending.settled() || attempt.fate != Fate::Out || tries > n + 1 {
            return;
        }
        let Some(long) = self.latency[pending.class].overdue(SILENT_SPREADS) else { return };
        // One alone, too: answers may be swallowed here and there, whatever the endpoint. Retries' tokens
        // bound the copies; they would hurt where work is so uneven that answers often take as long.
        let lone = now + self.settings.tick >= attempt.sent + long && self.late_share < LATE_SHARE;
        if lone {
            self.note_silence(now, attempt);
        }
        let (limits, copies) = (&self.settings.limits, self.settings.limits.second_copies);
        let more = tries < limits.max_attempts as usize;
        if !more
            || !(lone && copies || self.silent(now))
            || self.retry_tokens < 1.0
            || !self.may_repeat(now, id)
        {
            return;
        }
        if !copies && limits.cancelling {
            out.push(Action::Cancel { request: id, attempt: number });
        } else if copies && let Some(i) = self.pick(now, id) {
            self.retry_tokens -= 1.0;
            self.send(now, id, i, out);
        }
    }

    fn on_attempt_ended(&mut self, now: Duration, ended: AttemptEnded, out: &mut Vec<Action>) {
        let id = ended.request;
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = pending.attempts.get_mut(ended.attempt.0 as usize) else { return };
        if attempt.fate != Fate::Out {
            return; // an outcome told twice
        }
        let idle = attempt.idle;
        attempt.fate = if ended.outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        let class = pending.class;
        let (endpoint, turn) = (attempt.endpoint, attempt.turn);
        let answered = (ended.outcome == Outcome::Ok).then_some(ended.elapsed.as_secs_f64());
        let longest = self.objective_part(class);
        self.latency[class].ended(now, turn, answered, longest);
        if ended.outcome == Outcome::Ok && idle >= self.reaped_after {
            self.stale -= STALE_REFUTED;
        }
        if self.stale < 1.0 {
            (self.reaped_after, self.stale) = (Duration::MAX, self.stale.max(0.0));
        }
        let overtaken = |p: &Pending| {
            p.attempts[..ended.attempt.0 as usize].iter().copied().find(|a| a.fate == Fate::Out)
        };
        if ended.outcome == Outcome::Ok
            && let Some(silent) = self.requests.get(&id).and_then(overtaken)
        {
            self.note_silence(now, silent);
        }
        self.learn(now, endpoint, class, &ended);
        if ended.finished {
            self.finish(id, out);
        }
        let idle = self.requests.get(&id).is_some_and(|p| !p.settled() && p.none_out());
        if idle {
            // What was never sent is no retry.
            let price = if ended.outcome == Outcome::Moot { 0.0 } else { 1.0 };
            if self.retry_tokens >= price && self.may_repeat(now, id) {
                self.retry_tokens -= price;
                self.advance(now, id, out);
            } else {
                self.give_up(id, out);
            }
        }
        self.forget(id);
        self.release_held(now, out);
    }

    /// Lets an outcome speak for or against its endpoint.
    fn learn(&mut self, now: Duration, id: EndpointId, class: usize, ended: &AttemptEnded) {
        let Some(&i) = self.index.get(&id) else { return };
        let warm = self.warmth(now, i) >= 1.0;
        let (elapsed, silent) = (ended.elapsed.as_secs_f64(), self.silent(now));
        let late_after = self.late_after(class);
        let slow = elapsed > late_after;
        let late = match ended.outcome {
            Outcome::Ok => self.settings.tier == 0 && slow,
            Outcome::Error | Outcome::Reset => slow,
            Outcome::Cancelled => slow && !silent,
            Outcome::TimedOut => !silent,
            outcome => outcome == Outcome::Full,
        };
        let (part, side, balancers) =
            (self.part(), self.side(i), f64::from(self.settings.balancers.max(1)));
        // One call an endpoint, parted among all balancers. It is the least a window falls to, and the
        // larger a window the less it gains: else what starts first measures idle servers, yields to
        // what starts last and measured crowded ones, and is starved for good.
        let window = &mut self.windows[side];
        if late {
            window.size = (window.size - WINDOW_CUT).max(part.max(1.0));
            window.opening = false;
        } else if ended.outcome == Outcome::Ok && f64::from(window.out) * WINDOW_SPARE > window.size {
            window.size += if window.opening { part.min(1.0) } else { WINDOW_GAIN * part / window.size };
        }
        let spare = (window.used.read(now, USED_SECONDS) * WINDOW_SPARE).max(WINDOW_START * part).max(1.0);
        window.size = window.size.min(spare);
        window.out = window.out.saturating_sub(1);
        let usual = Duration::from_secs_f64(self.latency[class].mean());
        let endpoint = &mut self.endpoints[i];
        endpoint.opening &= !late;
        if late && now >= endpoint.limit_cut_at + usual {
            (endpoint.limit, endpoint.limit_cut_at) = ((endpoint.limit * (1.0 - LIMIT_CUT)).max(1.0), now);
        } else if ended.outcome == Outcome::Ok
            && !late
            && f64::from(endpoint.in_flight) * 2.0 > endpoint.limit
        {
            let step = match endpoint.opening {
                true if endpoint.limit < LIMIT_OPEN => 1.0,
                true if elapsed * 2.0 < late_after => LIMIT_ROUND,
                _ => 0.0,
            };
            let opening = step * (PART_CALLERS / balancers).min(1.0);
            endpoint.limit += opening.max(1.0 / endpoint.limit);
        }
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        let memory = self.memory;
        match ended.outcome {
            Outcome::Ok => {
                (self.endpoints[i].heard, self.endpoints[i].ill) = (Some(now), false);
                let silence = self.silence.read(now, SILENCE_SECONDS) - SILENCE_REFUTED;
                self.silence.set(now, silence.max(0.0));
                self.late_share += DRAG_WEIGHT * (f64::from(u8::from(slow)) - self.late_share);
                let multiple = elapsed / self.latency[class].usual().max(1e-6);
                let endpoint = &mut self.endpoints[i];
                let drag = endpoint.drag.read(now, memory);
                // The longer ago the last answer, the more this one says.
                let weight = (1.0 - endpoint.drag.left(now, DRAG_SECONDS)).clamp(DRAG_WEIGHT, 0.5);
                endpoint.drag.set(now, drag + weight * (multiple - 1.0 - drag));
                if warm {
                    self.prove(now);
                }
            }
            Outcome::Cancelled | Outcome::Moot => {}
            outcome => {
                endpoint.add_heat(now, memory);
                endpoint.ill = outcome == Outcome::Error;
            }
        }
    }

    /// Seconds after which an answer says that servers hold too much.
    fn late_after(&self, class: usize) -> f64 {
        let by_objective = self.objective_part(class).as_secs_f64();
        let unhurried = self.latency[class].unhurried();
        unhurried.map_or(by_objective, |mean| by_objective.min((mean * LATE_MULTIPLE).max(LATE_LEAST)))
    }

    /// The part of its objective that an answer may take at most.
    fn objective_part(&self, class: usize) -> Duration {
        self.settings.classes[class].objective.mul_f64(LATE_PART)
    }

    /// Rule 2: whether a further attempt is allowed at all.
    fn may_repeat(&self, now: Duration, id: RequestId) -> bool {
        let Some(pending) = self.requests.get(&id) else { return false };
        let ran = pending.may_have_run().next();
        match (self.settings.classes[pending.class].semantics, ran) {
            (_, None) | (Semantics::Safe, _) => true,
            (Semantics::Unsafe, Some(_)) => false,
            (Semantics::Keyed { window, .. }, Some(first)) => now < first.sent + window,
        }
    }

    /// The last word on a request that can't be served: a refusal where that is true, else a failure.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        if pending.settled() {
            return;
        }
        let may_have_run = pending.may_have_run().next().is_some();
        let harmless = match self.settings.classes[pending.class].semantics {
            Semantics::Safe => true,
            Semantics::Keyed { group, .. } => group == Group::All || !may_have_run,
            Semantics::Unsafe => !may_have_run,
        };
        // The time in which a place comes free.
        let usual = Duration::from_secs_f64(self.latency[pending.class].mean()).max(HOLD_RECHECK);
        let retry_after = self.settings.limits.advice(usual);
        out.push(if harmless {
            Action::Refuse { request: id, retry_after }
        } else {
            Action::Fail { request: id }
        });
        self.finish(id, out);
    }

    /// Marks a request finished, stops what is still out for it, and forgets it if nothing is.
    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        if !pending.finished {
            pending.finished = true;
            for due in pending.due.drain(..) {
                self.timers.remove(&due);
            }
            for (number, attempt) in pending.attempts.iter().enumerate() {
                if attempt.fate == Fate::Out && !pending.streaming && self.settings.limits.cancelling {
                    out.push(Action::Cancel { request: id, attempt: AttemptNo(number as u32) });
                }
            }
        }
        self.unhold(id);
        self.forget(id);
    }

    fn unhold(&mut self, id: RequestId) {
        if !self.held.is_empty()
            && let Some(pending) = self.requests.get(&id)
            && let Some(group) = self.held.get_mut(&pending.group())
        {
            group.remove(&(pending.arrived, id));
            if group.is_empty() {
                self.held.remove(&pending.group());
            }
        }
    }

    fn held_count(&self) -> usize {
        self.held.values().map(BTreeSet::len).sum()
    }

    fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|p| p.finished && p.none_out()) {
            self.requests.remove(&id);
        }
    }

    /// Own calls in flight leave room for one more of such value: while worthier ones are refused, a part is
    /// theirs alone. A caller inside a tier holds a slot while it waits: what got so far is not held up.
    fn has_room(&self, now: Duration, value: f64, side: usize) -> bool {
        let part = (value / self.missed.read(now, MISSED_SECONDS).max(1e-9)).sqrt().min(1.0);
        let (window, out) = (self.windows[side], self.windows[0].out + self.windows[1].out);
        // At its floor of one call: two such windows of each of many balancers would still be a jam.
        let spared = window.size > 1.0 || out == 0 || FLOOR_CALLS * self.part() >= 1.0;
        let fits = f64::from(window.out) < window.size * part;
        self.settings.tier > 0 || (fits && spared)
    }

    /// Some zone with endpoints has room for the worthiest.
    fn any_room(&self, now: Duration) -> bool {
        (0..2).any(|side| self.pools.len(2 + side) > 0 && self.has_room(now, f64::MAX, side))
    }

    fn ready(&self) -> f64 {
        (self.pools.len(2) + self.pools.len(3)) as f64
    }

    /// This balancer's part of one call at each endpoint.
    fn part(&self) -> f64 {
        self.ready() / f64::from(self.settings.balancers.max(1))
    }

    /// 0 for an endpoint of the own zone, 1 for one of another.
    fn side(&self, i: usize) -> usize {
        usize::from(self.endpoints[i].info.zone != self.settings.zone)
    }

    /// Sends what is held, as far as there is room. Looks at no endpoint where there is none: with
    /// hundreds held that took more time than the answers themselves.
    fn release_held(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.held.is_empty() || !self.any_room(now) {
            return;
        }
        // The worthiest first. Of equals the one that came first, while it has time: the others can wait as
        // long. In a jam the one that came last: the oldest would only be answered after its objective, and
        // so would all behind it.
        let jammed = |(key, group): (&Alike, &BTreeSet<Place>)| {
            let patience = self.settings.classes[key.0].objective.mul_f64(PATIENT_PART);
            let oldest = group.first().map_or(now, |place| place.0);
            (*key, (now > oldest + patience, None))
        };
        let mut passed: HashMap<Alike, (bool, Option<Place>)> = self.held.iter().map(jammed).collect();
        loop {
            let next = |(key, group): (&Alike, &BTreeSet<Place>)| {
                let (jammed, place) = passed.get(key).copied()?;
                let bound = place.map_or(Bound::Unbounded, Bound::Excluded);
                let place = match jammed {
                    true => *group.range((Bound::Unbounded, bound)).next_back()?,
                    false => *group.range((bound, Bound::Unbounded)).next()?,
                };
                Some((self.worth_a_second(key.0, f64::from_bits(key.1)), place, *key))
            };
            let next = self.held.iter().filter_map(next);
            let Some((_, place, key)) = next.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))) else {
                return;
            };
            if let Some((_, last)) = passed.get_mut(&key) {
                *last = Some(place);
            }
            let untried = self.requests.get(&place.1).is_some_and(|p| p.attempts.is_empty());
            self.unhold(place.1);
            self.advance(now, place.1, out);
            // What found no endpoint, though all are open to it, leaves none to the others either.
            let still_held = self.held.get(&key).is_some_and(|group| group.contains(&place));
            if !self.any_room(now) || (untried && still_held) {
                return;
            }
        }
    }

    /// Refuses what is held and can't be served in time any more.
    fn drop_late(&mut self, now: Duration, out: &mut Vec<Action>) {
        let late = |id: &RequestId| self.requests.get(id).is_some_and(|p| self.too_late(now, p));
        let late: Vec<RequestId> = self.held.values().flatten().map(|(_, id)| *id).filter(late).collect();
        for id in late {
            let value = self.value(id);
            self.missed.set(now, value.max(self.missed.read(now, MISSED_SECONDS)));
            self.give_up(id, out);
        }
        if !self.held.is_empty() {
            self.set_recheck(now);
        }
    }

    /// What serving a request adds to the result for the time it keeps a server busy.
    fn value(&self, id: RequestId) -> f64 {
        let Some(pending) = self.requests.get(&id) else { return 0.0 };
        self.worth_a_second(pending.class, pending.part)
    }

    fn worth_a_second(&self, class: usize, part: f64) -> f64 {
        self.settings.classes[class].worth * part / self.latency[class].usual().max(0.001)
    }

    /// Counts a tenant's request and tells whether it lies above the tenant's share. A balancer sees
    /// an unknown part of all traffic, so tenants are judged against the median one.
    fn over_share(&mut self, now: Duration, tenant: usize) -> bool {
        let Some(rate) = self.tenants.get_mut(tenant) else { return false };
        rate.count(now, RATE_SECONDS);
        let used = |t: usize| {
            self.tenants[t].read(now, RATE_SECONDS) / self.settings.tenants[t].allowance_per_s.max(1e-9)
        };
        let mut uses: Vec<f64> = (0..self.tenants.len()).map(used).collect();
        uses.sort_by(f64::total_cmp);
        let fair = uses[(uses.len() - 1) / 2] * SHARE_SLACK;
        let excess = 1.0 - fair / used(tenant).max(1e-9);
        self.draws.uniform() < excess
    }

    fn set_recheck(&mut self, now: Duration) {
        if !self.recheck_set {
            self.recheck_set = true;
            self.set_timer(now + HOLD_RECHECK, Timer::Recheck);
        }
    }

    // ---- the choice ----

    /// The eligible set, then d samples, then the least occupied, ties at random.
    fn pick(&mut self, now: Duration, id: RequestId) -> Option<usize> {
        self.memory = self.memory(now);
        self.common_heat = self.shared_heat(now);
        // Of this balancer's part, or of all where too few of it can take the call.
        for pool in [0, 2] {
            let near = self.sample(now, id, pool);
            let far = self.sample(now, id, pool + 1);
            if pool == 0 && near.1 + far.1 < CHOICES {
                continue;
            }
            // Own zone first: another one's best sample must be better by a clear margin.
            match (near.0, far.0) {
                (Some((_, a)), Some((j, b))) if b + CROSS_MARGIN < a => return Some(j),
                (Some((i, _)), _) | (None, Some((i, _))) => return Some(i),
                (None, None) => {}
            }
        }
        None
    }

    /// Draws d eligible endpoints of a pool without replacement: the least occupied and how many there
    /// were. The first drawn wins ties.
    fn sample(&mut self, now: Duration, id: RequestId, pool: usize) -> (Option<(usize, f64)>, usize) {
        let (mut best, mut found): (Option<(usize, f64)>, usize) = (None, 0);
        let room = self.has_room(now, self.value(id), pool % 2);
        let size = if room { self.pools.len(pool) } else { 0 };
        for k in 0..size.min(DRAWS) {
            let drawn = k + self.draws.below(size - k);
            let i = self.pools.swap(pool, k, drawn);
            let pending = self.requests.get(&id).filter(|p| self.allowed(now, i, p));
            let Some(occupancy) = pending.map(|p| self.occupancy(now, i, p)) else { continue };
            found += 1;
            if best.is_none_or(|(_, least)| occupancy < least) {
                best = Some((i, occupancy));
            }
            if found == CHOICES {
                break;
            }
        }
        (best, found)
    }

    /// Seconds for which what was learned of an endpoint is remembered.
    fn memory(&self, now: Duration) -> f64 {
        let used = (self.pools.len(0) + self.pools.len(1)) as f64;
        let rate = self.arrivals.rate(now, RATE_SECONDS, self.born);
        (DRAG_CALLS * used / rate.max(1e-3)).clamp(DRAG_SECONDS, DRAG_MOST)
    }

    /// The heat of the best quarter, of all endpoints or of every so many.
    fn shared_heat(&mut self, now: Duration) -> f64 {
        let step = self.endpoints.len().div_ceil(DRAWS).max(1);
        let skipped = self.draws.below(step);
        let ready = self.endpoints.iter().skip(skipped).step_by(step).filter(|e| e.is_ready());
        let mut heats: Vec<f64> = ready.map(|e| e.heat(now, self.memory)).collect();
        heats.sort_by(f64::total_cmp);
        heats.get(heats.len() / 4).copied().unwrap_or(0.0)
    }

    /// Own calls in flight and what failures beyond the common measure count for.
    fn load(&self, now: Duration, i: usize) -> f64 {
        let endpoint = &self.endpoints[i];
        f64::from(endpoint.in_flight) + (endpoint.heat(now, self.memory) - self.common_heat).max(0.0)
    }

    /// Own calls in flight plus what failures, slow answers and an earlier attempt there count for.
    fn occupancy(&self, now: Duration, i: usize, pending: &Pending) -> f64 {
        let endpoint = &self.endpoints[i];
        let drag = (endpoint.drag.read(now, self.memory) - DRAG_FREE).max(0.0);
        let tried = pending.attempts.iter().any(|a| a.endpoint == endpoint.info.id);
        self.load(now, i) + drag + if tried { HEAT_MOST } else { 0.0 }
    }

    /// Hard limits: the list, the cold budget, and rule 2 for a keyed request that may have run.
    fn allowed(&self, now: Duration, i: usize, pending: &Pending) -> bool {
        let endpoint = &self.endpoints[i];
        let room = (endpoint.limit * self.warmth(now, i)).max(1.0);
        let overspent = self.warmth(now, i) < 1.0 && self.cold_tokens(now, i) < 1.0;
        if !endpoint.is_ready() || self.load(now, i) + 1.0 > room || overspent {
            return false;
        }
        let Semantics::Keyed { group, .. } = self.settings.classes[pending.class].semantics else {
            return true;
        };
        pending.may_have_run().all(|a| match group {
            Group::All => true,
            Group::Zone => a.zone == endpoint.info.zone,
            Group::Cell => a.cell == endpoint.info.cell,
        })
    }

    /// The part of its capacity that an endpoint surely has: it rises evenly from the cold share.
    fn warmth(&self, now: Duration, i: usize) -> f64 {
        let rules = &self.settings.rules;
        let Some(started) = self.endpoints[i].info.started else { return 1.0 };
        let age = now.saturating_sub(started).as_secs_f64() / rules.warm_within.as_secs_f64().max(1e-3);
        (rules.cold_share + (1.0 - rules.cold_share) * age).clamp(0.01, 1.0)
    }

    /// Rule 4. All balancers together may send a cold endpoint a part of the multiple at which it
    /// falls; each keeps to its own proportion, judged by what warm endpoints serve for it.
    fn cold_tokens(&self, now: Duration, i: usize) -> f64 {
        let rules = &self.settings.rules;
        let endpoint = &self.endpoints[i];
        let rate = self.warmth(now, i) * rules.fall_multiple * COLD_CAUTION * self.proven_rate(now);
        let most = (rate * rules.fall_after.as_secs_f64() * COLD_CAUTION).max(1.0);
        (endpoint.cold_tokens + rate * now.saturating_sub(endpoint.cold_at).as_secs_f64()).min(most)
    }

    fn prove(&mut self, now: Duration) {
        self.served.count(now, RATE_SECONDS);
        // Over all that are ready, warm or not: too low a rate for the warm ones errs on the safe side.
        let rate = self.served.read(now, RATE_SECONDS) / self.ready().max(1.0);
        if rate > self.proven_rate(now) || self.proven.value == 0.0 {
            self.proven.set(now, rate);
        }
    }

    /// Requests a second that one warm endpoint serves for this balancer alone.
    fn proven_rate(&self, now: Duration) -> f64 {
        if self.proven.value > 0.0 {
            return self.proven.read(now, PROOF_SECONDS);
        }
        self.arrivals.rate(now, RATE_SECONDS, self.born) / self.ready().max(1.0)
    }

    fn set_timer(&mut self, at: Duration, timer: Timer) {
        self.next_timer += 1;
        let due = (at, self.next_timer);
        self.timers.insert(due, timer);
        if let Timer::Deadline(id) | Timer::Overdue(id, _) = timer
            && let Some(pending) = self.requests.get_mut(&id)
        {
            pending.due.push(due);
        }
    }
}

impl Window {
    fn sent(&mut self, now: Duration) {
        self.out += 1;
        self.used.set(now, f64::from(self.out).max(self.used.read(now, USED_SECONDS)));
    }
}

impl Endpoint {
    fn is_ready(&self) -> bool {
        self.info.state == EndpointState::Ready
    }

    fn add_heat(&mut self, now: Duration, memory: f64) {
        self.heat.set(now, (self.heat(now, memory) + FAILURE_HEAT).min(HEAT_MOST));
    }

    fn heat(&self, now: Duration, memory: f64) -> f64 {
        let heat = self.heat.read(now, if self.ill { memory.max(HEAT_SECONDS) } else { HEAT_SECONDS });
        if heat < HEAT_LEAST { 0.0 } else { heat }
    }
}
