//! The endpoints that are ready, on this member's disk.
//!
//! Endpoints are known by their heartbeats, and by whoever has heard of them. Where all processes of the fleet have ended, nobody
//! has, and until the last endpoint has sent its next heartbeat, the first few are sent everything. So each member keeps a hint of
//! who was ready, and tells it after such a restart.
//!
//! A hint must not contradict an acknowledged leave, which may be on the disks of other members alone: it is told only once the
//! leaves of a majority have been taken over ([`LeaveSync`]). Where any process has run for longer, that one knows better, and
//! the hint is dropped: it may be as old as this member's absence. An endpoint that has crashed meanwhile is named as stalled
//! as any other, and one whose address belongs to somebody else by now answers 421, since requests name the endpoint.

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
/// After so many heartbeat intervals every endpoint that is alive has been heard of, and the hint is of no use.
const RESTORE_HEARTBEATS: u32 = 3;

/// The endpoints on this member's disk.
pub(crate) struct EndpointStore {
    gossip: Rc<Gossip>,
    disk: Disk,
    disk_guard: Rc<DiskGuard>,
    leave_sync: Rc<LeaveSync>,
    heartbeat: Duration,
    /// What was on the disk at the start, until it is told or dropped.
    recovered: RefCell<Vec<Endpoint>>,
    /// Keys of the endpoints that were written last.
    written: RefCell<BTreeSet<u64>>,
    interval: Cell<Duration>,
}

impl EndpointStore {
    /// Reads what is on the disk.
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

    /// Tells what was on the disk, where nobody knows better, and keeps it up to date for as long as the process runs.
    pub(crate) async fn run(self: Rc<Self>) {
        let _ = timeout(self.heartbeat * RESTORE_HEARTBEATS, self.restore()).await; // every one has been heard of by then
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

    /// The endpoints that are ready and heard of.
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
