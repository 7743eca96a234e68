//! The member's disk: a thread that writes, so that a slow or stalled disk holds up nothing else.

use deku::prelude::*;
use runtrack_fleetconfig::Node;
use runtrack_register::{Acceptor, Durable, PromiseRecord, ValueRecord};
use runtrack_ringstore::{Folder, Ring, StoreError};
use slog::{Logger, warn};
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread;
use tokio::sync::oneshot;

/// Room of a promise's file.
const PROMISE_ROOM: usize = 4 << 10;
/// Room of a value's file: a configuration of a thousand routes.
const VALUE_ROOM: usize = 384 << 10;
/// Stack of the thread that writes.
const STACK: usize = 256 << 10;

enum Record {
    Promise(PromiseRecord),
    Value(Box<ValueRecord>),
}

struct Job {
    record: Record,
    done: oneshot::Sender<Result<(), String>>,
}

struct Rings {
    promises: Ring<Folder>,
    values: Ring<Folder>,
}

impl Rings {
    fn write(&mut self, record: &Record) -> Result<(), StoreError> {
        match record {
            Record::Promise(promise) => self.promises.append(&promise.to_bytes()?),
            Record::Value(value) => self.values.append(&value.to_bytes()?),
        }
    }
}

/// The member's disk.
pub struct Disk {
    jobs: mpsc::Sender<Job>,
}

impl Disk {
    /// Opens the disk and recovers the member that is on it. One that is not there is made: the first incarnation where
    /// the whole system starts for the first time and this is one of its first members, a new one otherwise.
    pub fn open(node: &Node, is_seed: bool, logger: &Logger) -> Result<(Disk, Acceptor), String> {
        let folder = Folder(PathBuf::from(node.data_dir.as_deref().ok_or("dataDir: is missing")?));
        let failed = |error: StoreError| format!("{}: {error}", folder.0.display());
        let (promises, promise) = Ring::open(folder.clone(), "promise", PROMISE_ROOM).map_err(failed)?;
        let (values, value) = Ring::open(folder.clone(), "value", VALUE_ROOM).map_err(failed)?;
        let promise = promise.and_then(|bytes| Some(PromiseRecord::from_bytes((&bytes, 0)).ok()?.1));
        let value = value.and_then(|bytes| Some(ValueRecord::from_bytes((&bytes, 0)).ok()?.1));
        let acceptor = Acceptor::recover(promise, value).unwrap_or_else(|| {
            Acceptor::new(if node.first_boot && is_seed { 0 } else { fastrand::u64(1..) })
        });
        let (jobs, waiting) = mpsc::channel::<Job>();
        let logger = logger.clone();
        let mut rings = Rings { promises, values };
        let work = move || {
            for Job { record, done } in waiting {
                let result = rings.write(&record).map_err(|error| error.to_string());
                if let Err(problem) = &result {
                    warn!(logger, "disk.refused"; "problem" => problem);
                }
                let _ = done.send(result); // nobody waits any more where the process ends
            }
        };
        thread::Builder::new().stack_size(STACK).spawn(work).map_err(|error| format!("thread: {error}"))?;
        Ok((Disk { jobs }, acceptor))
    }

    /// Keeps what an acceptor of this incarnation must not forget; whether it is kept.
    pub async fn keep(&self, incarnation: u64, durable: Durable) -> bool {
        let record = match durable {
            Durable::Promise(promised) => Record::Promise(PromiseRecord { incarnation, promised }),
            Durable::Value(accepted) => Record::Value(Box::new(ValueRecord {
                incarnation,
                ballot: accepted.ballot,
                value: (*accepted.value).clone(),
            })),
        };
        let (done, kept) = oneshot::channel();
        self.jobs.send(Job { record, done }).is_ok() && matches!(kept.await, Ok(Ok(())))
    }
}
