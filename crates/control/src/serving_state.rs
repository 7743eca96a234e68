//! What is served: the newest state, and while a version is rolled out the one before it too.

use crate::core::{Core, Due};
use crate::errors::{Tolerance, failing};
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
pub fn locked<T, R>(of: &Mutex<T>, with: impl FnOnce(&mut T) -> R) -> R {
    with(&mut of.lock().unwrap_or_else(PoisonError::into_inner))
}

/// What is served.
pub struct ServingState {
    /// What all parts know.
    pub shared: Arc<Shared>,
    seed: u64,
    /// While a version is rolled out: the one before it, for the proxies that do not have the new one yet. It hears
    /// of drains like the other.
    before: Option<Core>,
}

impl ServingState {
    /// Nothing is served yet.
    pub fn new(shared: Arc<Shared>, seed: u64) -> ServingState {
        ServingState { shared, seed, before: None }
    }

    /// Looks at the newest state.
    pub fn core<T>(&self, with: impl FnOnce(&mut Core) -> T) -> T {
        locked(&self.shared.core, with)
    }

    /// Serves a fleet from the beginning, with the lists that were held before.
    pub fn begin(&self, fleet: Fleet, held: BTreeMap<String, List>) {
        let now = self.shared.clock.now();
        self.core(|core| *core = Core::new(fleet, held, self.seed, now));
    }

    /// Whether two states are served.
    pub fn is_parted(&self) -> bool {
        self.before.is_some()
    }

    /// Parts a new state from the one that is served, for nobody yet.
    pub fn part(&mut self, fleet: Fleet) {
        let now = self.shared.clock.now();
        let before = self.core(|core| {
            let held: BTreeMap<String, List> = core.lists().into_iter().collect();
            Core::new(core.fleet().clone(), held, self.seed, now)
        });
        self.before = Some(before);
        self.shared.hub.fork();
        self.core(|core| core.replace(now, fleet));
    }

    /// Gives the newest state to all.
    pub fn settle(&mut self) {
        self.shared.hub.settle();
        self.before = None;
        locked(&self.shared.rollout, |rollout| *rollout = None);
    }

    /// The sources to follow.
    pub fn sources(&self) -> Sources {
        let before = self.before.as_ref().map(Core::sources).unwrap_or_default();
        self.core(|core| core.sources()).into_iter().chain(before).collect()
    }

    /// Whether there is anything to publish.
    pub fn is_dirty(&self) -> bool {
        self.core(|core| core.is_dirty()) || self.before.as_ref().is_some_and(Core::is_dirty)
    }

    /// Has both states take something.
    pub fn both(&mut self, take: impl Fn(&mut Core)) {
        self.before.as_mut().into_iter().for_each(&take);
        self.core(take);
    }

    /// Tells proxies what has changed, or all; first the lists are kept.
    pub fn publish(&mut self, whole: bool, keep: impl FnOnce(Vec<(String, List)>)) {
        let (now, hub) = (self.shared.clock.now(), self.shared.hub.clone());
        let Due { mut lists, changes } = match whole {
            true => hub.cache(|cache| self.core(|core| core.whole(now, cache))),
            false => self.core(|core| core.take(now)),
        };
        let before = self.before.as_mut().map(|before| match whole {
            true => hub.cache_before(|cache| before.whole(now, cache)),
            false => before.take(now),
        });
        let before = before.unwrap_or_default();
        // A pool of both is kept as the newer one has it.
        let newer: BTreeSet<String> =
            self.core(|core| core.sources()).into_iter().map(|(pool, _)| pool).collect();
        lists.extend(before.lists.into_iter().filter(|(pool, _)| !newer.contains(pool)));
        keep(lists);
        self.show();
        hub.publish(changes);
        hub.publish_before(before.changes);
    }

    /// Shows how the pools stand, unless there is something to commit first.
    pub fn show(&self) {
        if let Some(pools) = self.core(|core| (!core.is_dirty()).then(|| core.status())) {
            locked(&self.shared.pools, |shown| *shown = pools);
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
            let late = rejected.filter(|rejected| rejected.at >= since);
            cohort.rejected.extend(late.map(|rejected| (stream.node.clone(), rejected.detail.clone())));
        }
        cohort.failing = self.shared.hub.loads(|loads| failing(loads.compared(), tolerance));
        cohort
    }
}

/// What is said of a version that goes no further.
pub fn halted(serial: u64, why: &str) -> String {
    format!("serial {serial} goes no further: {why}. Resume it, or abort it: runtrackctl rollout")
}
