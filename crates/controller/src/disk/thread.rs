//! A thread that writes records to a folder.

use crate::disk::{DiskError, MemberDisk, Persisting, Record, Rings, WriteError};
use crate::new_incarnation;
use runtrack_fleetconfig::Node;
use runtrack_message::{Endpoint, PrefixPlacements};
use runtrack_record_store::Folder;
use runtrack_register::Acceptor;
use runtrack_registry::LeaveRecord;
use slog::{Logger, warn};
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread;
use tokio::sync::oneshot;

/// Bytes of the stack of the thread that writes.
const STACK: usize = 256 << 10;

/// A record to write, and the channel for the result.
struct Job {
    record: Record,
    done: oneshot::Sender<Result<(), WriteError>>,
}

/// A thread that writes to a folder.
pub struct DiskThread {
    jobs: mpsc::Sender<Job>,
    leaves: Vec<LeaveRecord>,
    placements: PrefixPlacements,
    endpoints: Vec<Endpoint>,
}

impl DiskThread {
    /// Opens the folder of the settings and recovers the member that is in it; fails where there is none, or it can't be used.
    pub fn open(node: &Node, logger: &Logger) -> Result<(DiskThread, Acceptor), DiskError> {
        let folder = PathBuf::from(node.data_dir.as_deref().ok_or(DiskError::NoFolder)?);
        let (rings, acceptor) = Rings::open(Folder(folder.clone()), || new_incarnation(node))
            .map_err(|error| DiskError::Open(folder, error))?;
        let leaves = rings.recovered_leaves().to_vec();
        let placements = rings.recovered_placements().clone();
        let endpoints = rings.recovered_endpoints().to_vec();
        let (jobs, waiting) = mpsc::channel::<Job>();
        let logger = logger.clone();
        let writer = thread::Builder::new().stack_size(STACK);
        writer.spawn(move || write_all(rings, &waiting, &logger)).map_err(DiskError::Thread)?;
        Ok((DiskThread { jobs, leaves, placements, endpoints }, acceptor))
    }
}

/// Writes records in order of arrival, until all senders are dropped.
fn write_all(mut rings: Rings<Folder>, waiting: &mpsc::Receiver<Job>, logger: &Logger) {
    for Job { record, done } in waiting {
        let result = rings.write(&record).map_err(WriteError::from);
        if let Err(problem) = &result {
            warn!(logger, "disk.refused"; "problem" => %problem);
        }
        let _ = done.send(result); // the receiver is gone when the process ends
    }
}

impl MemberDisk for DiskThread {
    fn persist(&self, record: Record) -> Persisting {
        let (done, kept) = oneshot::channel();
        let sent = self.jobs.send(Job { record, done }).is_ok();
        Box::pin(async move {
            let ended = || Err(WriteError::ThreadEnded);
            if sent { kept.await.unwrap_or_else(|_| ended()) } else { ended() }
        })
    }

    fn leaves(&self) -> Vec<LeaveRecord> {
        self.leaves.clone()
    }

    fn placements(&self) -> PrefixPlacements {
        self.placements.clone()
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        self.endpoints.clone()
    }
}
