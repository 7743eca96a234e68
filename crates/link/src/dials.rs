//! The set of peers that this process keeps links to.

use crate::connection::maintain_link;
use crate::gossip::Gossip;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::task::{JoinHandle, spawn_local};

/// A task for each dialled address.
pub struct Dials {
    gossip: Rc<Gossip>,
    tasks: RefCell<BTreeMap<SocketAddrV4, JoinHandle<()>>>,
}

impl Dials {
    /// An empty set.
    pub fn new(gossip: Rc<Gossip>) -> Self {
        Dials { gossip, tasks: RefCell::default() }
    }

    /// Replaces the set: dials new addresses, and closes the links to those that are no longer in it.
    pub fn keep(&self, wanted: &BTreeSet<SocketAddrV4>) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|address, task| {
            let keep = wanted.contains(address);
            if !keep {
                task.abort();
            }
            keep
        });
        for address in wanted {
            tasks
                .entry(*address)
                .or_insert_with(|| spawn_local(maintain_link(self.gossip.clone(), *address)));
        }
    }
}
