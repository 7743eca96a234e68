//! The endpoints that are ready, on this member's disk.
//!
//! Endpoints are known from their heartbeats, directly or through other processes. After a restart of all processes of the fleet
//! none is known, and until the last endpoint has sent its next heartbeat, the first few get all requests. So each member stores
//! the ready endpoints as a hint and announces it after such a restart.
//!
//! A hint must not contradict an acknowledged leave, which may be on the disks of other members only: it is announced only after
//! the leaves of a majority have been merged ([`LeaveSync`]). If any process has run for longer, its state is newer and the hint
//! is dropped, since it may be as old as this member's absence. An endpoint that has crashed meanwhile is reported as stalled
//! like any other, and one whose address is in use by another process answers 421, since requests name the endpoint.

use crate::disk::{Disk, Record};
use crate::disk_guard::DiskGuard;
use crate::endpoints::MISSED_HEARTBEATS;
use crate::leave_sync::LeaveSync;
use runtrack_link::Gossip;
use runtrack_message::{Endpoint, EndpointState, MAX_LIST};
use runtrack_net::mutant;
use slog::info;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Shortest interval between two writes.
const WRITE_INTERVAL: Duration = Duration::from_secs(2);
/// Bytes a second that the endpoints may take of the disk in the long run.
const WRITTEN_BYTES_PER_SECOND: f64 = 40_000.0;
/// Bytes of a record, about: ids, names of services and zones are short.
const ENDPOINT_BYTES: usize = 80;
/// Interval at which members that have been linked meanwhile are asked for their leaves.
const ASK_INTERVAL: Duration = Duration::from_millis(10);
/// Number of heartbeat intervals after which every live endpoint has sent a heartbeat, so that the hint is obsolete.
const RESTORE_HEARTBEATS: u32 = 3;

/// The endpoints on this member's disk.
pub(crate) struct EndpointStore {
    gossip: Rc<Gossip>,
    disk: Disk,
    disk_guard: Rc<DiskGuard>,
    leave_sync: Rc<LeaveSync>,
    heartbeat: Duration,
    /// Endpoints found on the disk at the start, until they are announced or dropped.
    recovered: RefCell<Vec<Endpoint>>,
    /// Keys of the endpoints that were written last.
    written: RefCell<BTreeSet<u64>>,
    interval: Cell<Duration>,
}

impl EndpointStore {
    /// Reads the endpoints from the disk.
    pub(crate) fn new(
        gossip: Rc<Gossip>,
        disk: Disk,
        disk_guard: Rc<DiskGuard>,
        leave_sync: Rc<LeaveSync>,
        heartbeat: Duration,
    ) -> Rc<Self> {
        let recovered = RefCell::new(disk.0.endpoints());
        Rc::new(EndpointStore {
            gossip,
            disk,
            disk_guard,
            leave_sync,
            heartbeat,
            recovered,
            written: RefCell::default(),
            interval: Cell::new(WRITE_INTERVAL),
        })
    }

    /// Announces the endpoints from the disk unless a process has newer state, then keeps the disk up to date while the process
    /// runs.
    pub(crate) async fn run(self: Rc<Self>) {
        let _ = timeout(self.heartbeat * RESTORE_HEARTBEATS, self.restore()).await; // by then every live endpoint has sent a heartbeat
        loop {
            sleep(self.interval.get()).await;
            self.write().await;
        }
    }

    async fn restore(&self) {
        let recovered = self.recovered.take();
        if recovered.is_empty() || self.disk_guard.is_remembered().await {
            return;
        }
        while !mutant("endpoints-before-leaves") {
            self.leave_sync.ask();
            if self.leave_sync.is_complete() {
                break;
            }
            sleep(ASK_INTERVAL).await;
        }
        info!(self.gossip.logger(), "endpoints.restored"; "count" => recovered.len());
        self.gossip.merge(recovered, None);
    }

    /// The endpoints that are ready and send heartbeats.
    fn ready(&self) -> Vec<(u64, Endpoint)> {
        let replica = self.gossip.replica();
        let ready = replica.registry().iter().filter(|(_, record)| record.state == EndpointState::Ready);
        let heard = ready.filter(|(key, _)| !self.gossip.is_suspect(*key, MISSED_HEARTBEATS));
        heard.take(MAX_LIST as usize).map(|(key, record)| (key, record.clone())).collect()
    }

    /// Writes the endpoints where they are others than those on the disk.
    async fn write(&self) {
        let (keys, endpoints): (BTreeSet<u64>, Vec<Endpoint>) = self.ready().into_iter().unzip();
        if *self.written.borrow() == keys {
            return;
        }
        let bytes = (endpoints.len() * ENDPOINT_BYTES) as f64;
        let interval = Duration::from_secs_f64(bytes / WRITTEN_BYTES_PER_SECOND);
        self.interval.set(WRITE_INTERVAL.max(interval));
        if self.disk.0.persist(Record::Endpoints(endpoints)).await.is_ok() {
            *self.written.borrow_mut() = keys;
        }
    }
}
