//! The served state: the newest version, and during a roll-out the previous one too.

use crate::error_rate::{Tolerance, failing};
use crate::fleet_state::{FleetState, PendingChanges};
use crate::rollout::{Cohort, Rollout};
use crate::shared::Shared;
use crate::source::Sources;
use runtrack_discovery::List;
use runtrack_model::Fleet;
use runtrack_xds::rollout_bucket;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Calls `with` with the locked value.
pub fn with_lock<T, R>(of: &Mutex<T>, with: impl FnOnce(&mut T) -> R) -> R {
    with(&mut of.lock().unwrap_or_else(PoisonError::into_inner))
}

/// The served state.
pub struct ServingState {
    /// State shared by the parts of the service.
    pub shared: Arc<Shared>,
    seed: u64,
    /// During a roll-out, the previous version, for the proxies that do not have the new one yet. It gets the same
    /// updates, drains above all.
    previous: Option<FleetState>,
}

impl ServingState {
    /// Creates the state; nothing is served yet.
    pub fn new(shared: Arc<Shared>, seed: u64) -> ServingState {
        ServingState { shared, seed, previous: None }
    }

    /// Calls `with` with the newest state.
    pub fn fleet_state<T>(&self, with: impl FnOnce(&mut FleetState) -> T) -> T {
        with_lock(&self.shared.fleet_state, with)
    }

    /// Starts serving a fleet, with the lists that were saved before a restart.
    pub fn start(&self, fleet: Fleet, lists: BTreeMap<String, List>) {
        let now = self.shared.clock.now();
        self.fleet_state(|fleet_state| *fleet_state = FleetState::new(fleet, lists, self.seed, now));
    }

    /// Whether two versions are served.
    pub fn is_split(&self) -> bool {
        self.previous.is_some()
    }

    /// Adds a new version beside the served one; no proxy gets it yet.
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

    /// Serves the newest version to all proxies.
    pub fn finish_rollout(&mut self) {
        self.shared.hub.finish_rollout();
        self.previous = None;
        with_lock(&self.shared.rollout, |rollout| *rollout = None);
    }

    /// The discovery servers to watch.
    pub fn sources(&self) -> Sources {
        let previous = self.previous.as_ref().map(FleetState::sources).unwrap_or_default();
        self.fleet_state(|fleet_state| fleet_state.sources()).into_iter().chain(previous).collect()
    }

    /// Whether there are changes to publish.
    pub fn is_dirty(&self) -> bool {
        self.fleet_state(|fleet_state| fleet_state.is_dirty())
            || self.previous.as_ref().is_some_and(FleetState::is_dirty)
    }

    /// Applies a change to both versions.
    pub fn for_each_state(&mut self, take: impl Fn(&mut FleetState)) {
        self.previous.as_mut().into_iter().for_each(&take);
        self.fleet_state(take);
    }

    /// Publishes the changes, or all resources if `full`; first passes the changed lists to `persist`.
    pub fn publish(&mut self, full: bool, persist: impl FnOnce(Vec<(String, List)>)) {
        let (now, hub) = (self.shared.clock.now(), self.shared.hub.clone());
        let PendingChanges { mut lists, changes } = match full {
            true => hub.cache(|cache| self.fleet_state(|fleet_state| fleet_state.full_update(now, cache))),
            false => self.fleet_state(|fleet_state| fleet_state.take_pending(now)),
        };
        let previous = self.previous.as_mut().map(|previous| match full {
            true => hub.previous_cache(|cache| previous.full_update(now, cache)),
            false => previous.take_pending(now),
        });
        let previous = previous.unwrap_or_default();
        // For a pool in both versions, the list of the newer one is persisted.
        let newest_pools: BTreeSet<String> = self
            .fleet_state(|fleet_state| fleet_state.sources())
            .into_iter()
            .map(|(pool, _)| pool)
            .collect();
        lists.extend(previous.lists.into_iter().filter(|(pool, _)| !newest_pools.contains(pool)));
        persist(lists);
        self.update_pool_status();
        hub.publish(changes);
        hub.publish_previous(previous.changes);
    }

    /// Updates the status of the pools, unless there are changes to commit first.
    pub fn update_pool_status(&self) {
        if let Some(pools) =
            self.fleet_state(|fleet_state| (!fleet_state.is_dirty()).then(|| fleet_state.status()))
        {
            with_lock(&self.shared.pools, |shown| *shown = pools);
        }
    }

    /// The status of this instance's proxies in the current stage; rejections before `since` are ignored.
    pub fn cohort(&self, rollout: &Rollout, since: Duration, tolerance: Tolerance) -> Cohort {
        let (newest, mut cohort) = (self.shared.hub.newest_version_id(), Cohort::default());
        for stream in self.shared.hub.streams() {
            if rollout_bucket(&stream.node) >= rollout.share() {
                continue;
            }
            if stream.version_id != newest || stream.type_statuses.iter().any(|standing| standing.behind) {
                cohort.behind.push(stream.node.clone());
            }
            let rejected = stream.type_statuses.iter().filter_map(|standing| standing.rejected.as_ref());
            let counted = rejected.filter(|rejected| rejected.at >= since);
            cohort.rejected.extend(counted.map(|rejected| (stream.node.clone(), rejected.detail.clone())));
        }
        cohort.failing = self.shared.hub.loads(|loads| failing(loads.rollout_comparisons(), tolerance));
        cohort
    }
}

/// The message about a halted roll-out.
pub fn halt_message(serial: u64, why: &str) -> String {
    format!("serial {serial} goes no further: {why}. Resume it, or abort it: runtrackctl rollout")
}
