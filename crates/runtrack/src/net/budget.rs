//! The budget of sockets: every client and endpoint connection holds a permit, so that the limits
//! on descriptors and memory are kept by count.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Descriptors kept free for the listener, the runtime, standard streams, discovery and shed clients.
const RESERVE: usize = 48;
/// Clients over the cap that may still be told so, out of the reserve.
const SHED_MOST: usize = 24;
/// Fewer descriptors than this leave nothing to serve with.
pub const LEAST_SOCKETS: usize = RESERVE + 16;
/// No process holds more: the kernel's own bound on descriptors lies below.
const SOCKETS_MOST: usize = 1 << 30;
/// The most memory that a client's request may take with its buffers, bodies and attempt, in KiB.
const CLIENT_KIB: usize = 160;

/// The most memory that a connection to an endpoint takes while it is idle, in KiB.
const IDLE_KIB: usize = 32;

/// Who holds a socket.
#[derive(Clone, Copy, PartialEq)]
pub enum Holder {
    /// A client.
    Client,
    /// A client over the cap, only to be refused.
    Shed,
    /// A connection to an endpoint.
    Endpoint,
}

/// Counts of the sockets in use, and how many may be.
pub struct Budget {
    total: usize,
    clients_most: usize,
    /// Connections to endpoints up to which one more is better than a wait.
    endpoints_spare: usize,
    clients: Cell<usize>,
    shed: Cell<usize>,
    endpoints: Cell<usize>,
    freed: Notify,
    endpoint_freed: Notify,
}

/// One socket in use; gives it back when dropped.
pub struct Permit {
    budget: Rc<Budget>,
    holder: Holder,
}

impl Budget {
    /// A budget within so many descriptors and MiB of memory.
    pub fn new(sockets: usize, memory_mb: usize) -> Rc<Self> {
        let total = sockets.min(SOCKETS_MOST).saturating_sub(RESERVE);
        // An attempt needs a socket too: clients must not take what their own requests go out on.
        let by_memory = memory_mb.saturating_mul(1024) / 2 / CLIENT_KIB;
        let clients_most = (total * 5 / 8).min(by_memory).max(1);
        // An eighth of the memory, and a quarter of the sockets left to clients and to what must go out.
        let spare_by_memory = memory_mb.saturating_mul(1024) / 8 / IDLE_KIB;
        let endpoints_spare = (total * 3 / 4).min(spare_by_memory);
        let (clients, shed, endpoints) = Default::default();
        let (freed, endpoint_freed) = Default::default();
        Rc::new(Budget {
            total,
            clients_most,
            endpoints_spare,
            clients,
            shed,
            endpoints,
            freed,
            endpoint_freed,
        })
    }

    /// A permit, if there is room for one.
    pub fn take(self: &Rc<Self>, holder: Holder) -> Option<Permit> {
        let room = match holder {
            Holder::Client => self.clients.get() < self.clients_most && self.in_use() < self.total,
            Holder::Shed => self.shed.get() < SHED_MOST,
            Holder::Endpoint => self.in_use() < self.total,
        };
        room.then(|| {
            let count = self.count(holder);
            count.set(count.get() + 1);
            Permit { budget: self.clone(), holder }
        })
    }

    /// Whether there are sockets for a connection to an endpoint that only saves a wait.
    pub fn endpoints_spare(&self) -> bool {
        self.endpoints.get() < self.endpoints_spare && self.in_use() < self.total * 7 / 8
    }

    /// Whether only the connections to endpoints stand in the way of one more client.
    pub fn endpoints_crowd(&self) -> bool {
        self.clients.get() < self.clients_most && self.in_use() >= self.total
    }

    /// Whether clients hold three quarters of what they may.
    pub fn clients_crowd(&self) -> bool {
        self.clients.get() * 4 > self.clients_most * 3
    }

    /// Connected clients.
    pub fn clients(&self) -> usize {
        self.clients.get() + self.shed.get()
    }

    /// Waits until a client's socket comes free.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    /// Waits until a connection to an endpoint is closed, or could be.
    pub async fn endpoint_freed(&self) {
        self.endpoint_freed.notified().await;
    }

    /// A connection to an endpoint could be closed for another one.
    pub fn may_free_endpoint(&self) {
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
            Holder::Client | Holder::Shed => self.budget.freed.notify_one(),
        }
    }
}
