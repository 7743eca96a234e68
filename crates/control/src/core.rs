//! What the service decides: from a fleet and what sources tell, the resources that proxies get. No I/O.

use crate::pool::{Members, Stale};
use runtrack_discovery::{List, Update};
use runtrack_model::{Fleet, Pool, Source};
use runtrack_xds::{Cache, Change, Kind, translate};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// The desired state and what is known of its pools.
pub struct Core {
    fleet: Fleet,
    pools: BTreeMap<String, Members>,
    /// Pools whose endpoints may differ from what was published.
    dirty: BTreeSet<String>,
    seed: u64,
}

/// How a pool stands, for people.
#[derive(Clone, Debug)]
pub struct PoolStatus {
    /// Whether any list has come.
    pub known: bool,
    /// Endpoints that may be sent to.
    pub ready: usize,
    /// Endpoints that drain.
    pub draining: usize,
    /// Endpoints that are cold.
    pub cold: usize,
    /// Why the list may be old.
    pub stale: Option<Stale>,
}

/// What there is to do, in this order: the lists are committed, then the changes are published.
#[derive(Default)]
pub struct Due {
    /// Lists for the journal, by pool.
    pub lists: Vec<(String, List)>,
    /// Changes for the proxies.
    pub changes: Vec<Change>,
}

impl Core {
    /// A core with the lists that were held before a restart.
    pub fn new(fleet: Fleet, mut held: BTreeMap<String, List>, seed: u64, now: Duration) -> Self {
        let mut pools = BTreeMap::new();
        for (name, pool) in &fleet.pools {
            let mut members = Members::new(pool, &fleet, seed, now);
            if let (Source::Platform(_), Some(list)) = (&pool.source, held.remove(name)) {
                members.remember(now, list, "from before a restart; the source has not answered yet");
            }
            pools.insert(name.clone(), members);
        }
        let dirty = pools.keys().cloned().collect();
        Core { fleet, pools, dirty, seed }
    }

    /// The desired state.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// How the pools stand.
    pub fn status(&self) -> BTreeMap<String, PoolStatus> {
        let one = |(name, members): (&String, &Members)| {
            let (ready, draining, cold) = members.counts();
            let stale = members.stale().cloned();
            (name.clone(), PoolStatus { known: members.known(), ready, draining, cold, stale })
        };
        self.pools.iter().map(one).collect()
    }

    /// The lists of all pools that follow a source, whole, for the journal.
    pub fn lists(&self) -> Vec<(String, List)> {
        let followed: BTreeSet<String> = self.sources().into_iter().map(|(pool, _)| pool).collect();
        let pools = self.pools.iter().filter(|(name, _)| followed.contains(*name));
        pools.map(|(name, members)| (name.clone(), members.list())).collect()
    }

    /// The pools that follow discovery, and where.
    pub fn sources(&self) -> BTreeSet<(String, SocketAddr)> {
        let address = |(name, pool): (&String, &Pool)| match pool.source {
            Source::Platform(address) => Some((name.clone(), address)),
            Source::Static(_) => None,
        };
        self.fleet.pools.iter().filter_map(address).collect()
    }

    /// Takes what the source of a pool at an address told; what a source told that is followed no more is ignored.
    pub fn told(&mut self, now: Duration, pool: &str, from: SocketAddr, told: Update) {
        let current = self.fleet.pools.get(pool).map(|pool| &pool.source);
        let Some(members) = self.pools.get_mut(pool).filter(|_| current == Some(&Source::Platform(from)))
        else {
            return;
        };
        if members.told(now, told) {
            self.dirty.insert(pool.to_owned());
        }
    }

    /// Takes the list of a pool that is agreed with the other instances, whole.
    pub fn agreed(&mut self, now: Duration, pool: &str, list: List) {
        let followed = |pool: &Pool| matches!(pool.source, Source::Platform(_));
        if !self.fleet.pools.get(pool).is_some_and(followed) {
            return;
        }
        if self.pools.get_mut(pool).is_some_and(|members| members.agreed(now, list)) {
            self.dirty.insert(pool.to_owned());
        }
    }

    /// From now on these endpoints of each pool and no others get nothing new, whatever the lists say.
    pub fn hold_back(&mut self, uids: &BTreeMap<String, BTreeSet<String>>) {
        for (name, members) in &mut self.pools {
            if members.hold_back(uids.get(name).cloned().unwrap_or_default()) {
                self.dirty.insert(name.clone());
            }
        }
    }

    /// What is believed of a pool that follows a source, and whether that counts its lists anew; none: nothing was heard.
    pub fn heard(&self, pool: &str) -> Option<(List, bool)> {
        let members = self.pools.get(pool).filter(|members| members.hears())?;
        Some((members.list(), members.counts_anew()))
    }

    /// Looks at the clock.
    pub fn tick(&mut self, now: Duration) {
        for (name, members) in self.pools.iter_mut().filter(|(_, members)| members.waits()) {
            if members.tick(now) {
                self.dirty.insert(name.clone());
            }
        }
    }

    /// Whether there is anything to commit or publish.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// What the pools' changes make necessary.
    pub fn take(&mut self, now: Duration) -> Due {
        let mut due = Due::default();
        for name in std::mem::take(&mut self.dirty) {
            let (Some(members), Some(pool)) = (self.pools.get_mut(&name), self.fleet.pools.get(&name))
            else {
                continue;
            };
            if let (Source::Platform(_), Some(list)) = (&pool.source, members.take_changes()) {
                due.lists.push((name.clone(), list));
            }
            due.changes.push(match members.members(now) {
                Some(members) => translate::endpoints(&name, pool, &self.fleet, &members),
                None => Change::Unknown(Kind::Endpoint, name),
            });
        }
        due
    }

    /// Everything that the desired state makes necessary, against what is served now.
    pub fn whole(&mut self, now: Duration, served: &Cache) -> Due {
        self.dirty = self.pools.keys().cloned().collect();
        let mut due = self.take(now);
        for (name, pool) in &self.fleet.pools {
            due.changes.push(translate::cluster(name, pool, &self.fleet.rules));
        }
        for (name, listener) in &self.fleet.listeners {
            due.changes.extend(translate::listener(name, listener, &self.fleet));
        }
        let kept: BTreeSet<(Kind, &str)> = due.changes.iter().map(Change::key).collect();
        let mut gone = Vec::new();
        for kind in Kind::ALL {
            let names = served.names(kind).filter(|name| !kept.contains(&(kind, *name)));
            gone.extend(names.map(|name| Change::Remove(kind, name.to_owned())));
        }
        due.changes.extend(gone);
        due
    }

    /// Takes another desired state; [`whole`](Self::whole) then says what that makes necessary.
    pub fn replace(&mut self, now: Duration, fleet: Fleet) {
        let mut old = std::mem::take(&mut self.pools);
        for (name, pool) in &fleet.pools {
            let was = self.fleet.pools.get(name);
            let kept = was.is_some_and(|was| was.source == pool.source) && fleet.rules == self.fleet.rules;
            let before = old.remove(name);
            let members = match before {
                Some(mut members) if kept => {
                    members.retune(pool);
                    members
                }
                before => {
                    let mut members = Members::new(pool, &fleet, self.seed, now);
                    if let (Source::Platform(_), Some(before)) =
                        (&pool.source, before.filter(Members::known))
                    {
                        // Until the new source answers the old list stands.
                        members.remember(now, before.list(), "from before the last reload");
                    }
                    members
                }
            };
            self.pools.insert(name.clone(), members);
        }
        self.fleet = fleet;
    }
}
