//! Translates endpoint lists from discovery into membership events of the decision module.

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

/// A membership change for the decision module, with the endpoints' addresses.
pub struct MembershipUpdate {
    /// The change, for the decision module.
    pub membership: Membership,
    /// Addresses of the endpoints in the change.
    pub addresses: Vec<(EndpointId, SocketAddr)>,
}

/// Maps the names of endpoints, zones and machine types to the numbers that the decision module uses.
pub struct MembershipTranslator {
    names: Names,
    ids: RefCell<wire::EndpointNames>,
}

impl MembershipTranslator {
    /// A translator for these zone and machine type names.
    pub fn new(names: Names) -> Self {
        MembershipTranslator { names, ids: RefCell::default() }
    }

    /// Translates the last known list, with which the sidecar starts.
    pub fn cached(&self, list: List) -> MembershipUpdate {
        let mut update = self.translate_list(list);
        if let Membership::Full(entries) | Membership::Delta(entries) = update.membership {
            update.membership = Membership::Cached(entries);
        }
        update
    }

    /// Translates an update from the discovery client.
    pub fn translate(&self, update: Update) -> MembershipUpdate {
        let membership = match update {
            Update::List(list) => return self.translate_list(list),
            Update::Unchanged => Membership::Delta(Vec::new()),
            Update::Failed(_) => Membership::Failed,
        };
        MembershipUpdate { membership, addresses: Vec::new() }
    }

    /// The uid of an endpoint.
    pub fn uid(&self, id: EndpointId) -> String {
        self.ids.borrow().name(id).to_owned()
    }

    /// Drops the names of endpoints for which the predicate is false.
    pub fn retain_names(&self, listed: impl Fn(EndpointId) -> bool) {
        self.ids.borrow_mut().retain(listed);
    }

    /// Number of endpoint names held.
    pub fn names(&self) -> usize {
        self.ids.borrow().len()
    }

    fn translate_list(&self, list: List) -> MembershipUpdate {
        let mut ids = self.ids.borrow_mut();
        let index_of = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).unwrap_or(names.len()) as u32
        };
        let (mut entries, mut addresses, mut seen) = (Vec::new(), Vec::new(), HashSet::new());
        // If an endpoint is listed twice, its last entry takes effect.
        for target in list.targets.into_iter().rev() {
            let id = ids.id(&target.uid);
            if !seen.insert(id) {
                continue;
            }
            addresses.push((id, target.endpoint));
            entries.push(EndpointInfo {
                id,
                zone: ZoneId(index_of(&self.names.areas, &target.az)),
                machine_type: MachineTypeId(index_of(&self.names.kinds, &target.model)),
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
        MembershipUpdate { membership, addresses }
    }
}
