//! What is served: the newest state, and while a version is rolled out the one before it too.

use crate::error_rate::{Tolerance, failing};
use crate::fleet_state::{FleetState, PendingChanges};
use crate::rollout::{Cohort, Rollout};
use crate::shared::Shared;
use crate::source::Sources;
use runtrack_discovery::List;
use runtrack_model::Fleet;
use runtrack_xds::place;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Looks at what is shared.
pub fn with_lock<T, R>(of: &Mutex<T>, with: impl FnOnce(&mut T) -> R) -> R {
    with(&mut of.lock().unwrap_or_else(PoisonError::into_inner))
}

/// What is served.
pub struct ServingState {
    /// What all parts know.
    pub shared: Arc<Shared>,
    seed: u64,
    /// While a version is rolled out: the one before it, for the proxies that do not have the new one yet. It hears
    /// of drains like the other.
    previous: Option<FleetState>,
}

impl ServingState {
    /// Nothing is served yet.
    pub fn new(shared: Arc<Shared>, seed: u64) -> ServingState {
        ServingState { shared, seed, previous: None }
    }

    /// Looks at the newest state.
    pub fn fleet_state<T>(&self, with: impl FnOnce(&mut FleetState) -> T) -> T {
        with_lock(&self.shared.fleet_state, with)
    }

    /// Serves a fleet from the beginning, with the lists that were held before.
    pub fn start(&self, fleet: Fleet, lists: BTreeMap<String, List>) {
        let now = self.shared.clock.now();
        self.fleet_state(|fleet_state| *fleet_state = FleetState::new(fleet, lists, self.seed, now));
    }

    /// Whether two states are served.
    pub fn is_split(&self) -> bool {
        self.previous.is_some()
    }

    /// Parts a new state from the one that is served, for nobody yet.
    pub fn split(&mut self, fleet: Fleet) {
        let now = self.shared.clock.now();
        let previous = self.fleet_state(|fleet_state| {
            let lists: BTreeMap<String, List> = fleet_state.lists().into_iter().collect();
            FleetState::new(fleet_state.fleet().clone(), lists, self.seed, now)
        });
        self.previous = Some(previous);
        self.shared.hub.fork();
        self.fleet_state(|fleet_state| fleet_state.replace(now, fleet));
    }

    /// Gives the newest state to all.
    pub fn finish_rollout(&mut self) {
        self.shared.hub.settle();
        self.previous = None;
        with_lock(&self.shared.rollout, |rollout| *rollout = None);
    }

    /// The sources to follow.
    pub fn sources(&self) -> Sources {
        let previous = self.previous.as_ref().map(FleetState::sources).unwrap_or_default();
        self.fleet_state(|fleet_state| fleet_state.sources()).into_iter().chain(previous).collect()
    }

    /// Whether there is anything to publish.
    pub fn is_dirty(&self) -> bool {
        self.fleet_state(|fleet_state| fleet_state.is_dirty())
            || self.previous.as_ref().is_some_and(FleetState::is_dirty)
    }

    /// Has both states take something.
    pub fn for_each_state(&mut self, take: impl Fn(&mut FleetState)) {
        self.previous.as_mut().into_iter().for_each(&take);
        self.fleet_state(take);
    }

    /// Tells proxies what has changed, or all; first the lists are kept.
    pub fn publish(&mut self, full: bool, persist: impl FnOnce(Vec<(String, List)>)) {
        let (now, hub) = (self.shared.clock.now(), self.shared.hub.clone());
        let PendingChanges { mut lists, changes } = match full {
            true => hub.cache(|cache| self.fleet_state(|fleet_state| fleet_state.full_update(now, cache))),
            false => self.fleet_state(|fleet_state| fleet_state.take_pending(now)),
        };
        let previous = self.previous.as_mut().map(|previous| match full {
            true => hub.cache_before(|cache| previous.full_update(now, cache)),
            false => previous.take_pending(now),
        });
        let previous = previous.unwrap_or_default();
        // A pool of both is kept as the newer one has it.
        let newest_pools: BTreeSet<String> = self
            .fleet_state(|fleet_state| fleet_state.sources())
            .into_iter()
            .map(|(pool, _)| pool)
            .collect();
        lists.extend(previous.lists.into_iter().filter(|(pool, _)| !newest_pools.contains(pool)));
        persist(lists);
        self.update_pool_status();
        hub.publish(changes);
        hub.publish_before(previous.changes);
    }

    /// Shows how the pools stand, unless there is something to commit first.
    pub fn update_pool_status(&self) {
        if let Some(pools) =
            self.fleet_state(|fleet_state| (!fleet_state.is_dirty()).then(|| fleet_state.status()))
        {
            with_lock(&self.shared.pools, |shown| *shown = pools);
        }
    }

    /// How the proxies here that are to have the new version stand, if rejections count from this time on.
    pub fn cohort(&self, rollout: &Rollout, since: Duration, tolerance: Tolerance) -> Cohort {
        let (newest, mut cohort) = (self.shared.hub.newest_line(), Cohort::default());
        for stream in self.shared.hub.streams() {
            if place(&stream.node) >= rollout.share() {
                continue;
            }
            if stream.line != newest || stream.standings.iter().any(|standing| standing.behind) {
                cohort.behind.push(stream.node.clone());
            }
            let rejected = stream.standings.iter().filter_map(|standing| standing.rejected.as_ref());
            let counted = rejected.filter(|rejected| rejected.at >= since);
            cohort.rejected.extend(counted.map(|rejected| (stream.node.clone(), rejected.detail.clone())));
        }
        cohort.failing = self.shared.hub.loads(|loads| failing(loads.compared(), tolerance));
        cohort
    }
}

/// What is said of a version that goes no further.
pub fn halt_message(serial: u64, why: &str) -> String {
    format!("serial {serial} goes no further: {why}. Resume it, or abort it: runtrackctl rollout")
}
