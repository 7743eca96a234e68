//! The leaves of endpoints on this member's disk. New leaves are queued here and written in batches, one write at a time, so
//! that a release of thousands of endpoints costs few syncs.

use crate::disk::{Disk, Record};
use runtrack_message::Endpoint;
use runtrack_net::mutant;
use runtrack_registry::{LeaveBatch, LeaveTable};
use slog::{Logger, info};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Backoff after a write that the disk refused.
const REFUSED_BACKOFF: Duration = Duration::from_millis(300);
/// Timeout of waiting for the disk. It is below the second that an endpoint waits for its acknowledgement, so that waiters do
/// not accumulate while a disk is stalled.
const PERSIST_TIMEOUT: Duration = Duration::from_millis(800);

/// The leaves that this member stores.
pub(crate) struct Leaves {
    table: RefCell<LeaveTable>,
    noted: Notify,
    /// Wakes the tasks that wait for the disk in order of waiting; a `watch` channel would wake them in random order.
    written: Notify,
}

impl Leaves {
    /// Reads the leaves from the disk and starts the writing of new ones. Returns the endpoints whose leaves were found.
    pub fn start(disk: Disk, logger: &Logger) -> (Rc<Self>, Vec<Endpoint>) {
        let records = if mutant("leaves-not-read") { Vec::new() } else { disk.0.leaves() };
        let endpoints: Vec<Endpoint> = records.iter().flat_map(|record| record.endpoints()).collect();
        info!(logger, "leaves.recovered"; "endpoints" => endpoints.len());
        let leaves = Rc::new(Leaves {
            table: RefCell::new(LeaveTable::recover(&records)),
            noted: Notify::new(),
            written: Notify::new(),
        });
        spawn_local(leaves.clone().run(disk));
        (leaves, endpoints)
    }

    /// Takes note of those among these endpoints that leave; they go to disk soon.
    pub fn note(&self, endpoints: &[Endpoint]) {
        let mut table = self.table.borrow_mut();
        let mut changed = false;
        for endpoint in endpoints {
            changed |= table.note(endpoint);
        }
        if changed {
            self.noted.notify_one();
        }
    }

    /// Waits until these are on disk; whether they are in time.
    pub async fn persist(&self, endpoints: &[Endpoint]) -> bool {
        self.note(endpoints);
        let change = endpoints.iter().map(|endpoint| self.table.borrow().change_of(endpoint)).max();
        let change = change.unwrap_or(0);
        let durable = async {
            while !self.is_durable(change) {
                self.written.notified().await;
            }
        };
        mutant("leave-confirmed-before-durable") || timeout(PERSIST_TIMEOUT, durable).await.is_ok()
    }

    /// The last change of the table.
    pub fn last_change(&self) -> u64 {
        self.table.borrow().last_change()
    }

    /// Whether all changes up to this one are on disk.
    pub fn is_durable(&self, change: u64) -> bool {
        self.table.borrow().is_durable(change)
    }

    /// Writes queued leaves while the process runs.
    async fn run(self: Rc<Self>, disk: Disk) {
        loop {
            let batch = self.table.borrow().batch();
            match batch {
                None => self.noted.notified().await,
                Some(batch) => {
                    if !self.write(&disk, batch).await {
                        sleep(REFUSED_BACKOFF).await;
                    }
                }
            }
        }
    }

    /// Writes a batch, one generation after another, so that the register waits for one of them at most; whether it is on
    /// disk.
    async fn write(&self, disk: &Disk, batch: LeaveBatch) -> bool {
        for record in batch.records {
            if disk.0.persist(Record::Leaves(record)).await.is_err() {
                return false;
            }
        }
        self.table.borrow_mut().written(batch.change);
        self.written.notify_waiters();
        true
    }
}
