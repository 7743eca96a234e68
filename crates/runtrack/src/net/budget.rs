//! The socket budget: every client and endpoint connection holds a permit, so that the process stays within its
//! limits on descriptors and memory.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Descriptors reserved for the listener, the runtime, standard streams, discovery and shed clients.
const RESERVED_DESCRIPTORS: usize = 48;
/// Clients over the cap that are accepted, out of the reserve, only to be refused.
const MAX_SHED_CLIENTS: usize = 24;
/// Minimum number of descriptors in the configuration: the reserve and a few for serving.
pub const MIN_SOCKETS: usize = RESERVED_DESCRIPTORS + 16;
/// Upper bound on configured descriptors; the kernel's limit is lower.
const MAX_SOCKETS: usize = 1 << 30;
/// Maximum memory of a client's request with its buffers, bodies and attempt, in KiB.
const CLIENT_MEMORY_KIB: usize = 160;

/// Maximum memory of an idle connection to an endpoint, in KiB.
const IDLE_ENDPOINT_MEMORY_KIB: usize = 32;

/// What a socket is used for.
#[derive(Clone, Copy, PartialEq)]
pub enum Holder {
    /// A client's connection.
    Client,
    /// Connection of a client over the cap, which is only refused.
    Shed,
    /// A connection to an endpoint.
    Endpoint,
}

/// Counts of the sockets in use and their limits.
pub struct Budget {
    total: usize,
    max_clients: usize,
    /// Number of endpoint connections below which opening one more is preferred to waiting for an idle one.
    endpoint_headroom: usize,
    clients: Cell<usize>,
    shed: Cell<usize>,
    endpoints: Cell<usize>,
    client_freed: Notify,
    endpoint_freed: Notify,
}

/// One socket in use; returned to the budget on drop.
pub struct Permit {
    budget: Rc<Budget>,
    holder: Holder,
}

impl Budget {
    /// A budget for this number of descriptors and this memory in MiB.
    pub fn new(sockets: usize, memory_mb: usize) -> Rc<Self> {
        let total = sockets.min(MAX_SOCKETS).saturating_sub(RESERVED_DESCRIPTORS);
        // Each attempt needs a socket too: clients must not use up the sockets for their own requests.
        let by_memory = memory_mb.saturating_mul(1024) / 2 / CLIENT_MEMORY_KIB;
        let max_clients = (total * 5 / 8).min(by_memory).max(1);
        // An eighth of the memory; a quarter of the sockets is left to clients and to mandatory attempts.
        let headroom_by_memory = memory_mb.saturating_mul(1024) / 8 / IDLE_ENDPOINT_MEMORY_KIB;
        let endpoint_headroom = (total * 3 / 4).min(headroom_by_memory);
        let (clients, shed, endpoints) = Default::default();
        let (client_freed, endpoint_freed) = Default::default();
        Rc::new(Budget {
            total,
            max_clients,
            endpoint_headroom,
            clients,
            shed,
            endpoints,
            client_freed,
            endpoint_freed,
        })
    }

    /// Returns a permit if the limits allow one more socket of this use.
    pub fn acquire(self: &Rc<Self>, holder: Holder) -> Option<Permit> {
        let room = match holder {
            Holder::Client => self.clients.get() < self.max_clients && self.in_use() < self.total,
            Holder::Shed => self.shed.get() < MAX_SHED_CLIENTS,
            Holder::Endpoint => self.in_use() < self.total,
        };
        room.then(|| {
            let count = self.count(holder);
            count.set(count.get() + 1);
            Permit { budget: self.clone(), holder }
        })
    }

    /// Whether there are sockets for an endpoint connection that only avoids waiting for an idle one.
    pub fn has_spare_endpoint_socket(&self) -> bool {
        self.endpoints.get() < self.endpoint_headroom && self.in_use() < self.total * 7 / 8
    }

    /// Whether one more client could be accepted if a connection to an endpoint were closed.
    pub fn endpoints_block_clients(&self) -> bool {
        self.clients.get() < self.max_clients && self.in_use() >= self.total
    }

    /// Whether more than three quarters of the sockets for clients are in use.
    pub fn clients_near_limit(&self) -> bool {
        self.clients.get() * 4 > self.max_clients * 3
    }

    /// Number of connected clients, including shed ones.
    pub fn clients(&self) -> usize {
        self.clients.get() + self.shed.get()
    }

    /// Waits until a client's socket is released.
    pub async fn client_freed(&self) {
        self.client_freed.notified().await;
    }

    /// Waits until a connection to an endpoint is closed or becomes idle.
    pub async fn endpoint_freed(&self) {
        self.endpoint_freed.notified().await;
    }

    /// Signals that a connection to an endpoint became idle and can be closed for another one.
    pub fn notify_endpoint_reclaimable(&self) {
        self.endpoint_freed.notify_one();
    }

    fn in_use(&self) -> usize {
        self.clients.get() + self.endpoints.get()
    }

    fn count(&self, holder: Holder) -> &Cell<usize> {
        match holder {
            Holder::Client => &self.clients,
            Holder::Shed => &self.shed,
            Holder::Endpoint => &self.endpoints,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let count = self.budget.count(self.holder);
        count.set(count.get() - 1);
        match self.holder {
            Holder::Endpoint => self.budget.endpoint_freed.notify_one(),
            Holder::Client | Holder::Shed => self.budget.client_freed.notify_one(),
        }
    }
}
