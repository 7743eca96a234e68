//! Computes the resources for proxies from the desired fleet and the endpoint lists of its pools. No I/O.

use crate::pool::{PoolMembers, Stale};
use runtrack_discovery::{List, Update};
use runtrack_model::{Fleet, Pool, Source};
use runtrack_xds::{Cache, Change, ResourceType, translate};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// The desired fleet and the known endpoints of its pools.
pub struct FleetState {
    fleet: Fleet,
    pools: BTreeMap<String, PoolMembers>,
    /// Pools whose endpoints may differ from what was published.
    dirty: BTreeSet<String>,
    seed: u64,
}

/// The status of a pool, for the admin interface.
#[derive(Clone, Debug)]
pub struct PoolStatus {
    /// Whether any list has been received.
    pub known: bool,
    /// Number of endpoints that accept requests.
    pub ready: usize,
    /// Number of draining endpoints.
    pub draining: usize,
    /// Number of endpoints that are still warming up.
    pub cold: usize,
    /// Why the list may be stale, if so.
    pub stale: Option<Stale>,
}

/// Pending work, in this order: commit the lists, then publish the changes.
#[derive(Default)]
pub struct PendingChanges {
    /// Lists to commit to the journal, by pool.
    pub lists: Vec<(String, List)>,
    /// Resource changes to publish to proxies.
    pub changes: Vec<Change>,
}

impl FleetState {
    /// Creates the state, with the lists that were saved before a restart.
    pub fn new(fleet: Fleet, mut saved_lists: BTreeMap<String, List>, seed: u64, now: Duration) -> Self {
        let mut pools = BTreeMap::new();
        for (name, pool) in &fleet.pools {
            let mut members = PoolMembers::new(pool, &fleet, seed, now);
            if let (Source::Platform(_), Some(list)) = (&pool.source, saved_lists.remove(name)) {
                members.restore(now, list, "from before a restart; the source has not answered yet");
            }
            pools.insert(name.clone(), members);
        }
        let dirty = pools.keys().cloned().collect();
        FleetState { fleet, pools, dirty, seed }
    }

    /// The desired fleet.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The status of each pool.
    pub fn status(&self) -> BTreeMap<String, PoolStatus> {
        let pool_status = |(name, members): (&String, &PoolMembers)| {
            let (ready, draining, cold) = members.counts();
            let stale = members.stale().cloned();
            (name.clone(), PoolStatus { known: members.known(), ready, draining, cold, stale })
        };
        self.pools.iter().map(pool_status).collect()
    }

    /// The full lists of all pools that follow discovery, for the journal.
    pub fn lists(&self) -> Vec<(String, List)> {
        let followed: BTreeSet<String> = self.sources().into_iter().map(|(pool, _)| pool).collect();
        let pools = self.pools.iter().filter(|(name, _)| followed.contains(*name));
        pools.map(|(name, members)| (name.clone(), members.list())).collect()
    }

    /// The pools that follow discovery, with its addresses.
    pub fn sources(&self) -> BTreeSet<(String, SocketAddr)> {
        let address = |(name, pool): (&String, &Pool)| match pool.source {
            Source::Platform(address) => Some((name.clone(), address)),
            Source::Static(_) => None,
        };
        self.fleet.pools.iter().filter_map(address).collect()
    }

    /// Handles an update from a pool's discovery server at `from`; ignores servers that the pool no longer follows.
    pub fn handle_update(&mut self, now: Duration, pool: &str, from: SocketAddr, update: Update) {
        let current = self.fleet.pools.get(pool).map(|pool| &pool.source);
        let Some(members) = self.pools.get_mut(pool).filter(|_| current == Some(&Source::Platform(from)))
        else {
            return;
        };
        if members.handle_update(now, update) {
            self.dirty.insert(pool.to_owned());
        }
    }

    /// Replaces a pool's list by the one that the cluster has committed.
    pub fn set_committed_list(&mut self, now: Duration, pool: &str, list: List) {
        let followed = |pool: &Pool| matches!(pool.source, Source::Platform(_));
        if !self.fleet.pools.get(pool).is_some_and(followed) {
            return;
        }
        if self.pools.get_mut(pool).is_some_and(|members| members.set_committed_list(now, list)) {
            self.dirty.insert(pool.to_owned());
        }
    }

    /// Sets the endpoints of each pool that must get no new requests, whatever the lists say.
    pub fn set_held_back(&mut self, uids: &BTreeMap<String, BTreeSet<String>>) {
        for (name, members) in &mut self.pools {
            if members.set_held_back(uids.get(name).cloned().unwrap_or_default()) {
                self.dirty.insert(name.clone());
            }
        }
    }

    /// The accepted list of a pool that follows discovery, and whether its version numbers have restarted; none if no
    /// list has been received.
    pub fn source_list(&self, pool: &str) -> Option<(List, bool)> {
        let members = self.pools.get(pool).filter(|members| members.has_source_list())?;
        Some((members.list(), members.numbering_restarted()))
    }

    /// Handles the passing of time: unconfirmed lists and warming endpoints.
    pub fn tick(&mut self, now: Duration) {
        for (name, members) in self.pools.iter_mut().filter(|(_, members)| members.needs_tick()) {
            if members.tick(now) {
                self.dirty.insert(name.clone());
            }
        }
    }

    /// Whether there are changes to commit or publish.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// What the pools' changes make necessary.
    pub fn take_pending(&mut self, now: Duration) -> PendingChanges {
        let mut pending = PendingChanges::default();
        for name in std::mem::take(&mut self.dirty) {
            let (Some(members), Some(pool)) = (self.pools.get_mut(&name), self.fleet.pools.get(&name))
            else {
                continue;
            };
            if let (Source::Platform(_), Some(list)) = (&pool.source, members.take_changes()) {
                pending.lists.push((name.clone(), list));
            }
            pending.changes.push(match members.members(now) {
                Some(members) => translate::endpoints(&name, pool, &self.fleet, &members),
                None => Change::Unknown(ResourceType::Endpoint, name),
            });
        }
        pending
    }

    /// All changes from the resources in `served` to those of the desired fleet.
    pub fn full_update(&mut self, now: Duration, served: &Cache) -> PendingChanges {
        self.dirty = self.pools.keys().cloned().collect();
        let mut pending = self.take_pending(now);
        for (name, pool) in &self.fleet.pools {
            pending.changes.push(translate::cluster(name, pool, &self.fleet.rules));
        }
        for (name, listener) in &self.fleet.listeners {
            pending.changes.extend(translate::listener(name, listener, &self.fleet));
        }
        let kept: BTreeSet<(ResourceType, &str)> = pending.changes.iter().map(Change::key).collect();
        let mut gone = Vec::new();
        for kind in ResourceType::ALL {
            let names = served.names(kind).filter(|name| !kept.contains(&(kind, *name)));
            gone.extend(names.map(|name| Change::Remove(kind, name.to_owned())));
        }
        pending.changes.extend(gone);
        pending
    }

    /// Replaces the desired fleet; [`full_update`](Self::full_update) then gives the changes.
    pub fn replace(&mut self, now: Duration, fleet: Fleet) {
        let mut old = std::mem::take(&mut self.pools);
        for (name, pool) in &fleet.pools {
            let old_pool = self.fleet.pools.get(name);
            let kept = old_pool.is_some_and(|old_pool| old_pool.source == pool.source)
                && fleet.rules == self.fleet.rules;
            let before = old.remove(name);
            let members = match before {
                Some(mut members) if kept => {
                    members.update_panic_settings(pool);
                    members
                }
                before => {
                    let mut members = PoolMembers::new(pool, &fleet, self.seed, now);
                    if let (Source::Platform(_), Some(before)) =
                        (&pool.source, before.filter(PoolMembers::known))
                    {
                        // The old list stays valid until the new source answers.
                        members.restore(now, before.list(), "from before the last reload");
                    }
                    members
                }
            };
            self.pools.insert(name.clone(), members);
        }
        self.fleet = fleet;
    }
}
