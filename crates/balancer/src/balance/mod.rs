//! Every decision of the balancer. Its interface (settings, events, actions) is in `types`.
//!
//! The ordinary path is SQ(d): sample `CHOICES` ready endpoints at random, send to the one with
//! the fewest of this balancer's own calls in flight, break ties at random. Each exception either
//! narrows the eligible set or adds to an endpoint's occupancy; none is a second chooser.

mod admission;
mod choice;
mod dispatch;
mod endpoint;
mod membership;
mod outcome;
mod request;
mod silence;
mod tuning;

use crate::ring::{Pools, Ring};
use crate::stats::{Draws, Fading, Latency};
use crate::timers::TimerQueue;
use crate::types::*;
use endpoint::{Endpoint, Window};
use outcome::Judged;
use request::{Alike, Attempt, Fate, Pending, Place};
use silence::Silence;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use tuning::*;

type Actions = Vec<Action>;

#[derive(Clone, Copy, PartialEq)]
enum Timer {
    Deadline(RequestId),
    Overdue(RequestId, AttemptNo),
    Ask,
    Recheck,
}

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
    /// The highest value of a request refused of late without having been sent.
    missed: Fading,
    /// What comes due when. What is over is taken out: deadlines of answered requests must not pile up.
    timers: TimerQueue<Timer>,
    latency: Vec<Latency>,
    retry_tokens: f64,
    /// Requests by tenant.
    tenants: Vec<Fading>,
    arrivals: Fading,
    /// Requests served by warm endpoints.
    served: Fading,
    /// The most a warm endpoint has lately been seen to serve for this balancer, a second.
    proven: Fading,
    silence: Silence,
    ask_failures: u32,
    has_list: bool,
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
            timers: TimerQueue::default(),
            latency: vec![Latency::default(); classes],
            retry_tokens: RETRY_SAVED,
            tenants: vec![Fading::default(); tenants],
            arrivals: Fading::default(),
            served: Fading::default(),
            proven: Fading::default(),
            silence: Silence::default(),
            ask_failures: 0,
            has_list: false,
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
                self.timers.on_fired(token);
                self.on_due(now, out);
            }
            Event::ProbeEnded { .. } | Event::PeerMessage { .. } => {}
        }
        if let Some((token, after)) = self.timers.arm_next(now) {
            out.push(Action::SetTimer { token, after });
        }
    }

    /// Own calls in flight at all endpoints that are listed.
    pub fn calls_in_flight(&self) -> u32 {
        self.endpoints.iter().map(|endpoint| endpoint.in_flight).sum()
    }

    /// Things remembered: endpoints, requests, timers. Stays in proportion to what is going on.
    pub fn state_size(&self) -> usize {
        self.endpoints.len() + self.requests.len() + self.timers.len() + self.held_count()
    }

    /// How an endpoint that is on the list stands.
    pub fn endpoint_status(&self, now: Duration, id: EndpointId) -> Option<EndpointStatus<'_>> {
        let i = *self.index.get(&id)?;
        let e = &self.endpoints[i];
        let (capacity_fraction, failure_penalty) = (self.warmth(now, i), e.heat(now, self.memory));
        Some(EndpointStatus { info: &e.info, capacity_fraction, failure_penalty, in_flight: e.in_flight })
    }

    fn on_due(&mut self, now: Duration, out: &mut Actions) {
        while let Some((due, timer)) = self.timers.pop_due(now) {
            if let Timer::Deadline(id) | Timer::Overdue(id, _) = timer
                && let Some(pending) = self.requests.get_mut(&id)
            {
                pending.due.retain(|other| *other != due);
            }
            match timer {
                Timer::Deadline(id) => self.give_up(id, out),
                Timer::Overdue(id, attempt) => self.on_silent(now, id, attempt, out),
                Timer::Ask => out.push(Action::Watch(true)),
                Timer::Recheck => {
                    self.recheck_set = false;
                    self.drop_late(now, out);
                    self.release_held(now, out);
                }
            }
        }
    }

    fn set_timer(&mut self, at: Duration, timer: Timer) {
        let due = self.timers.insert(at, timer);
        if let Timer::Deadline(id) | Timer::Overdue(id, _) = timer
            && let Some(pending) = self.requests.get_mut(&id)
        {
            pending.due.push(due);
        }
    }
}
