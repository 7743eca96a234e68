//! The endpoint list in the module's terms.

use super::config::Names;
use runtrack_balancer::{
    CellId, EndpointId, EndpointInfo, EndpointState, MachineTypeId, Membership, ZoneId, wire,
};
use runtrack_discovery::{List, State, Update};
use runtrack_net::mutant;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// News of the list in the module's terms, and where the endpoints are.
pub struct News {
    /// For the module.
    pub membership: Membership,
    /// Addresses of those named.
    pub addresses: Vec<(EndpointId, SocketAddr)>,
}

/// The names behind the module's numbers for endpoints, zones and kinds.
pub struct Listing {
    names: Names,
    ids: RefCell<wire::EndpointNames>,
}

impl Listing {
    /// Endpoints of these zones and kinds.
    pub fn new(names: Names) -> Self {
        Listing { names, ids: RefCell::default() }
    }

    /// The list as last held, to start from.
    pub fn cached(&self, list: List) -> News {
        let mut news = self.news(list);
        if let Membership::Full(entries) | Membership::Delta(entries) = news.membership {
            news.membership = Membership::Cached(entries);
        }
        news
    }

    /// What discovery's client told, for the module.
    pub fn told(&self, told: Update) -> News {
        let membership = match told {
            Update::List(list) => return self.news(list),
            Update::Unchanged => Membership::Delta(Vec::new()),
            Update::Failed(_) => Membership::Failed,
        };
        News { membership, addresses: Vec::new() }
    }

    /// The uid of an endpoint.
    pub fn uid(&self, id: EndpointId) -> String {
        self.ids.borrow().name(id).to_owned()
    }

    /// Forgets the names of all endpoints but these.
    pub fn keep(&self, listed: impl Fn(EndpointId) -> bool) {
        self.ids.borrow_mut().retain(listed);
    }

    /// How many names are kept.
    pub fn names(&self) -> usize {
        self.ids.borrow().len()
    }

    fn news(&self, list: List) -> News {
        let mut ids = self.ids.borrow_mut();
        let place = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).unwrap_or(names.len()) as u32
        };
        let (mut entries, mut addresses, mut seen) = (Vec::new(), Vec::new(), HashSet::new());
        // Of an endpoint named twice the last word counts.
        for target in list.targets.into_iter().rev() {
            let id = ids.id(&target.uid);
            if !seen.insert(id) {
                continue;
            }
            addresses.push((id, target.endpoint));
            entries.push(EndpointInfo {
                id,
                zone: ZoneId(place(&self.names.areas, &target.az)),
                machine_type: MachineTypeId(place(&self.names.kinds, &target.model)),
                cell: CellId(target.pod_group),
                state: match target.state {
                    State::Up => EndpointState::Ready,
                    State::Draining if mutant("drain-unheard") => EndpointState::Ready,
                    State::Draining => EndpointState::Draining,
                    State::Removed => EndpointState::Removed,
                },
                weight: target.capacity_hint,
                started_at: (target.boot_ms > 0.0)
                    .then(|| Duration::from_micros((target.boot_ms * 1e3) as u64)),
            });
        }
        entries.reverse();
        let membership = if list.all { Membership::Full(entries) } else { Membership::Delta(entries) };
        News { membership, addresses }
    }
}
