//! The balancer's decision logic. Its interface (settings, events, actions) is in `types`.
//!
//! Endpoints are chosen by SQ(d), the power of d choices: draw `CHOICES` ready endpoints at random, send to
//! the one with the fewest of this balancer's own calls in flight, break ties at random. Every refinement
//! either narrows the eligible set or adds to an endpoint's occupancy; there is no second algorithm.

mod admission;
mod choice;
mod dispatch;
mod endpoint;
mod loss;
mod membership;
mod outcome;
mod request;
mod tuning;

use crate::ring::{Ring, SlotSets};
use crate::stats::{Decaying, Latency, Rng};
use crate::timers::TimerQueue;
use crate::types::*;
use endpoint::{Endpoint, Window};
use loss::LossDetector;
use outcome::Assessed;
use request::{Attempt, Exec, Pending, QueueEntry, ValueClass};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use tuning::*;

type Actions = Vec<Action>;

#[derive(Clone, Copy, PartialEq)]
enum Timer {
    Deadline(RequestId),
    Overdue(RequestId, AttemptNo),
    Subscribe,
    RecheckQueue,
}

/// A load balancer as a state machine: events in, actions out, no I/O and no clock.
pub struct Balancer {
    settings: Settings,
    created_at: Duration,
    rng: Rng,
    endpoints: Vec<Endpoint>,
    index: HashMap<EndpointId, usize>,
    /// Ready endpoints. Sets 0 and 1: the subset in the own zone and in other zones; 2 and 3: all of them.
    sets: SlotSets,
    /// Ready endpoints of each zone, from which this balancer's subset is taken.
    rings: BTreeMap<ZoneId, Ring>,
    /// Cold endpoints by the time at which they are warm.
    warming: BTreeSet<(Duration, EndpointId)>,
    /// Removed endpoints, kept until their last call has ended.
    departing: Vec<EndpointId>,
    requests: HashMap<RequestId, Pending>,
    /// Queued requests by value class, each ordered by arrival.
    queue: BTreeMap<ValueClass, BTreeSet<QueueEntry>>,
    /// Penalty exceeded by three quarters of the endpoints: failures of a lower tier, which say nothing about
    /// single endpoints. A median would hide the loss of a whole zone.
    shared_penalty: f64,
    /// Time constant of per-endpoint observations, as of the last choice.
    decay_s: f64,
    /// For the own zone and for all others, so that an overloaded zone does not block the others.
    windows: [Window; 2],
    recheck_set: bool,
    /// Highest value of a recently refused request that was never sent.
    refused_value: Decaying,
    /// Pending timers; those of finished requests are removed so that they do not accumulate.
    timers: TimerQueue<Timer>,
    latency: Vec<Latency>,
    retry_tokens: f64,
    /// Request rate of each tenant.
    tenant_rps: Vec<Decaying>,
    arrivals: Decaying,
    /// Rate of answers from warm endpoints.
    served: Decaying,
    /// Highest recent rate of answers per ready endpoint, a second.
    proven: Decaying,
    loss: LossDetector,
    discovery_failures: u32,
    has_list: bool,
}

impl Balancer {
    /// Creates a balancer without endpoints. Equal settings, seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64, now: Duration) -> Result<Self, SettingsError> {
        settings.validate()?;
        let (classes, tenants) = (settings.classes.len(), settings.tenants.len());
        Ok(Balancer {
            settings,
            created_at: now,
            rng: Rng::new(seed),
            endpoints: Vec::new(),
            index: HashMap::new(),
            sets: SlotSets::default(),
            rings: BTreeMap::new(),
            warming: BTreeSet::new(),
            departing: Vec::new(),
            requests: HashMap::new(),
            queue: BTreeMap::new(),
            shared_penalty: 0.0,
            decay_s: MIN_DECAY_SECONDS,
            windows: [Window { size: 1.0, in_flight: 0, slow_start: true, peak: Decaying::default() }; 2],
            recheck_set: false,
            refused_value: Decaying::default(),
            timers: TimerQueue::default(),
            latency: vec![Latency::default(); classes],
            retry_tokens: MAX_RETRY_TOKENS,
            tenant_rps: vec![Decaying::default(); tenants],
            arrivals: Decaying::default(),
            served: Decaying::default(),
            proven: Decaying::default(),
            loss: LossDetector::default(),
            discovery_failures: 0,
            has_list: false,
        })
    }

    /// Handles one event at time `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Membership(update) => self.on_membership(now, update, out),
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
                self.on_timers_due(now, out);
            }
            Event::ProbeEnded { .. } | Event::PeerMessage { .. } => {}
        }
        if let Some((token, after)) = self.timers.arm_next(now) {
            out.push(Action::SetTimer { token, after });
        }
    }

    /// Number of this balancer's calls in flight at all known endpoints.
    pub fn calls_in_flight(&self) -> u32 {
        self.endpoints.iter().map(|endpoint| endpoint.in_flight).sum()
    }

    /// Number of stored endpoints, requests and timers; bounded by the current load.
    pub fn state_size(&self) -> usize {
        self.endpoints.len() + self.requests.len() + self.timers.len() + self.queue_len()
    }

    /// Status of a known endpoint.
    pub fn endpoint_status(&self, now: Duration, id: EndpointId) -> Option<EndpointStatus<'_>> {
        let i = *self.index.get(&id)?;
        let e = &self.endpoints[i];
        let (capacity_fraction, failure_penalty) = (self.capacity(now, i), e.penalty(now, self.decay_s));
        Some(EndpointStatus { info: &e.info, capacity_fraction, failure_penalty, in_flight: e.in_flight })
    }

    fn on_timers_due(&mut self, now: Duration, out: &mut Actions) {
        while let Some((key, timer)) = self.timers.pop_due(now) {
            if let Timer::Deadline(id) | Timer::Overdue(id, _) = timer
                && let Some(pending) = self.requests.get_mut(&id)
            {
                pending.timers.retain(|other| *other != key);
            }
            match timer {
                Timer::Deadline(id) => self.give_up(id, out),
                Timer::Overdue(id, attempt) => self.hedge(now, id, attempt, out),
                Timer::Subscribe => out.push(Action::Watch(true)),
                Timer::RecheckQueue => {
                    self.recheck_set = false;
                    self.refuse_late(now, out);
                    self.dispatch_queued(now, out);
                }
            }
        }
    }

    fn set_timer(&mut self, at: Duration, timer: Timer) {
        let key = self.timers.insert(at, timer);
        if let Timer::Deadline(id) | Timer::Overdue(id, _) = timer
            && let Some(pending) = self.requests.get_mut(&id)
        {
            pending.timers.push(key);
        }
    }
}
