//! Where proxies have placed prefixes of prompts: collected from their agents, sent to all of them in batches, and sent
//! completely to an agent whose proxy has just started.

use crate::disk::{Disk, Record};
use runtrack_balancer::EndpointId;
use runtrack_balancer::fleet::PrefixIndex;
use runtrack_link::{Gossip, Session};
use runtrack_message::{
    Endpoint, EndpointState, MAX_LIST, Message, PLACEMENT_BYTES, PLACEMENT_WIRE_VERSION, PrefixPlacement,
    PrefixPlacements, Role,
};
use runtrack_registry::key_of;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Shortest interval between two batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(60);
/// Bytes a second that each agent is sent in the long run.
const BYTES_PER_SECOND: f64 = 2000.0;
/// Bytes that an agent may be sent at once: many prefixes are placed when a fleet starts.
const BURST_BYTES: f64 = 128_000.0;
/// Placements that wait to be sent; the oldest are dropped, and each proxy places these prefixes by itself.
const MAX_QUEUED: usize = 16_384;

/// Shortest interval between two writes of the index to disk.
const WRITE_INTERVAL: Duration = Duration::from_secs(3);
/// Bytes a second that the index may take of the disk in the long run.
const WRITTEN_BYTES_PER_SECOND: f64 = 40_000.0;
/// Most placements that are written: the record stays within the length of a frame.
const MAX_WRITTEN: usize = MAX_LIST as usize;
/// Time after which all placements in use have been reported, again where they were reported before.
const COMPLETE_AFTER: Duration = Duration::from_secs(40);

/// Collects and distributes placements.
pub(crate) struct PlacementHub {
    gossip: Rc<Gossip>,
    disk: Disk,
    index: RefCell<PrefixIndex>,
    queue: RefCell<VecDeque<PrefixPlacement>>,
    queued: Notify,
    started_at: Instant,
    /// Whether it has received all placements in use: since the first boot of the fleet, or for long enough.
    is_complete: Cell<bool>,
    /// The index has changed since it was written to disk.
    changed: Cell<bool>,
}

impl PlacementHub {
    /// Knows of the placements that are on its disk; on the first boot of the fleet there are none.
    pub(crate) fn new(gossip: Rc<Gossip>, disk: Disk, first_boot: bool) -> Rc<Self> {
        let recovered = disk.0.placements();
        let hub = Rc::new(PlacementHub {
            disk,
            gossip,
            index: RefCell::default(),
            queue: RefCell::default(),
            queued: Notify::new(),
            started_at: Instant::now(),
            is_complete: Cell::new(first_boot || !recovered.items().is_empty()),
            changed: Cell::new(false),
        });
        hub.learn(&recovered);
        hub
    }

    /// An agent reports its proxy's placements, or another controller forwards what agents reported to it.
    pub(crate) fn on_placements(&self, session: &Session, placements: PrefixPlacements) {
        self.learn(&placements);
        if session.has_role(Role::Agent) {
            self.queue(placements);
        }
    }

    fn learn(&self, placements: &PrefixPlacements) {
        let now = self.started_at.elapsed();
        for placement in placements.items().iter().copied() {
            self.index.borrow_mut().learn(now, placement.into());
        }
        self.changed.set(true);
    }

    /// Fetches another controller's placements.
    pub(crate) fn fetch_from(&self, session: &Session) {
        if session.peer_wire() >= PLACEMENT_WIRE_VERSION {
            session.send(&Message::FetchPlacements);
        }
    }

    fn queue(&self, placements: PrefixPlacements) {
        let mut queue = self.queue.borrow_mut();
        queue.extend(placements.into_vec());
        let surplus = queue.len().saturating_sub(MAX_QUEUED);
        queue.drain(..surplus);
        self.queued.notify_one();
    }

    fn all(&self) -> Vec<PrefixPlacement> {
        self.index.borrow().all().into_iter().map(PrefixPlacement::from).collect()
    }

    /// Sends all placements to an agent or to another controller.
    pub(crate) fn send_all(&self, session: &Session) {
        for chunk in self.all().chunks(MAX_LIST as usize) {
            session.send(&Message::Placements(chunk.to_vec().into()));
        }
        session.send(&Message::PlacementsComplete(self.is_complete.get()));
    }

    /// Removes placements at endpoints that are gone.
    pub(crate) fn forget_gone(&self, records: &[Endpoint]) {
        let mut index = self.index.borrow_mut();
        for record in records.iter().filter(|record| record.state == EndpointState::Gone) {
            index.forget(EndpointId(key_of(&record.id.as_string())));
        }
    }

    /// Writes the index to disk at intervals, for as long as the process runs: it is known again after a loss of power.
    async fn write_periodically(self: Rc<Self>) {
        let mut interval = WRITE_INTERVAL;
        loop {
            sleep(interval).await;
            if !self.changed.replace(false) {
                continue;
            }
            let mut all = self.all();
            all.truncate(MAX_WRITTEN);
            let bytes = (all.len() * PLACEMENT_BYTES) as f64;
            interval = WRITE_INTERVAL.max(Duration::from_secs_f64(bytes / WRITTEN_BYTES_PER_SECOND));
            let _ = self.disk.0.persist(Record::Placements(all.into())).await; // the next write holds more
        }
    }

    /// Notifies agents once all placements in use have been received.
    async fn complete(self: Rc<Self>) {
        if self.is_complete.get() {
            return;
        }
        sleep(COMPLETE_AFTER).await;
        self.is_complete.set(true);
        let message = Message::PlacementsComplete(true);
        self.gossip.broadcast_since(Role::Agent, PLACEMENT_WIRE_VERSION, &message);
    }

    /// Sends new placements to agents and other controllers, for as long as the process runs.
    pub(crate) async fn run(self: Rc<Self>) {
        spawn_local(self.clone().complete());
        spawn_local(self.clone().write_periodically());
        let mut allowance = BURST_BYTES;
        let mut refilled_at = Instant::now();
        loop {
            if self.queue.borrow().is_empty() {
                self.queued.notified().await;
            }
            let refill = refilled_at.elapsed().as_secs_f64() * BYTES_PER_SECOND;
            allowance = (allowance + refill).min(BURST_BYTES);
            refilled_at = Instant::now();
            let most = (allowance / PLACEMENT_BYTES as f64) as usize;
            let batch: Vec<PrefixPlacement> = {
                let mut queue = self.queue.borrow_mut();
                let count = queue.len().min(most);
                queue.drain(..count).collect()
            };
            if !batch.is_empty() {
                allowance -= (batch.len() * PLACEMENT_BYTES) as f64;
                let message = Message::Placements(batch.into());
                for role in [Role::Agent, Role::Controller] {
                    self.gossip.broadcast_since(role, PLACEMENT_WIRE_VERSION, &message);
                }
            }
            sleep(BATCH_INTERVAL).await;
        }
    }
}
