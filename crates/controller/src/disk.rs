//! The member's disk: records in rings, one of promises, one of values and one for each generation of leaves, behind a
//! trait with a thread that writes to a folder, so that a slow or stalled disk holds up nothing else.

use crate::new_incarnation;
use deku::prelude::*;
use runtrack_fleetconfig::Node;
use runtrack_message::{Message, PrefixPlacements, decode};
use runtrack_net::mutant;
use runtrack_record_store::{Files, Folder, RecordStore, StoreError};
use runtrack_register::{Acceptor, Durable, PromiseRecord, Recovery, ValueRecord, recover};
use runtrack_registry::{LEAVE_GENERATIONS, LeaveRecord, MAX_LEAVE_RECORD};
use slog::{Logger, warn};
use std::future::Future;
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use tokio::sync::oneshot;

/// Room of a promise's file.
const PROMISE_ROOM: usize = 4 << 10;
/// Room of a value's file: a configuration of a thousand routes.
const VALUE_ROOM: usize = 384 << 10;
/// Room of a file of leaves: a whole generation and the ring's own head, so that no file ever grows.
const LEAVE_ROOM: usize = MAX_LEAVE_RECORD + 64;
/// Rings of leaves, one for each generation that is kept.
const LEAVE_RINGS: [&str; LEAVE_GENERATIONS as usize] = [
    "leaves-0",
    "leaves-1",
    "leaves-2",
    "leaves-3",
    "leaves-4",
    "leaves-5",
    "leaves-6",
    "leaves-7",
    "leaves-8",
    "leaves-9",
    "leaves-10",
    "leaves-11",
    "leaves-12",
    "leaves-13",
    "leaves-14",
    "leaves-15",
];
/// Room of a file of placements: some six thousand of them.
const PLACEMENT_ROOM: usize = 128 << 10;
/// Stack of the thread that writes.
const STACK: usize = 256 << 10;

/// What a member must not forget.
#[derive(Clone, Debug)]
pub enum Record {
    /// A promise.
    Promise(PromiseRecord),
    /// An accepted value.
    Value(Box<ValueRecord>),
    /// Endpoints that leave.
    Leaves(LeaveRecord),
    /// Where prefixes of prompts are. Only a help: nothing is lost with it but time.
    Placements(PrefixPlacements),
}

/// A write that is under way.
pub type Persisting = Pin<Box<dyn Future<Output = Result<(), String>>>>;

/// Where a member keeps its records.
pub trait MemberDisk {
    /// Writes a record; it is durable once this has ended well.
    fn persist(&self, record: Record) -> Persisting;
    /// The leaves that were on it when it was opened.
    fn leaves(&self) -> Vec<LeaveRecord>;
    /// The placements of prefixes that were on it when it was opened.
    fn placements(&self) -> PrefixPlacements {
        PrefixPlacements::default()
    }
}

/// The member's disk, whatever it is.
#[derive(Clone)]
pub(crate) struct Disk(pub(crate) Rc<dyn MemberDisk>);

impl Disk {
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
        let promise = matches!(record, Record::Promise(_));
        if promise && mutant("promise-not-kept") || !promise && mutant("value-not-kept") {
            return true;
        }
        self.0.persist(record).await.is_ok() || mutant("refused-write-counts")
    }
}

/// The rings of promises, of values and of leaves.
pub struct Rings<F> {
    promises: RecordStore<F>,
    values: RecordStore<F>,
    leaves: Vec<RecordStore<F>>,
    placements: RecordStore<F>,
    recovered: Vec<LeaveRecord>,
    recovered_placements: PrefixPlacements,
}

impl<F: Files + Clone> Rings<F> {
    /// Opens the rings and recovers the member that is in them; one that is not there is made, of this incarnation,
    /// and one whose records can't be read comes back under an incarnation of its own.
    pub fn open(files: F, incarnation: impl FnOnce() -> u64) -> Result<(Self, Acceptor), StoreError> {
        let (promises, promise) = RecordStore::open(files.clone(), "promise", PROMISE_ROOM)?;
        let (values, value) = RecordStore::open(files.clone(), "value", VALUE_ROOM)?;
        let acceptor = match recover(promise.as_deref(), value.as_deref()) {
            Recovery::Member(acceptor) => acceptor,
            Recovery::Empty => Acceptor::new(incarnation()),
            Recovery::Damaged => Acceptor::new(fastrand::u64(1..)),
        };
        let (leaves, recovered) = open_leaves(&files)?;
        let (placements, newest) = RecordStore::open(files, "placements", PLACEMENT_ROOM)?;
        let recovered_placements = newest.and_then(|record| read_placements(&record)).unwrap_or_default();
        Ok((Rings { promises, values, leaves, placements, recovered, recovered_placements }, acceptor))
    }

    /// The leaves that were there when the rings were opened.
    pub fn recovered_leaves(&self) -> &[LeaveRecord] {
        &self.recovered
    }

    /// The placements that were there when the rings were opened.
    pub fn recovered_placements(&self) -> &PrefixPlacements {
        &self.recovered_placements
    }

    /// Writes a record; once this returns it is there after any loss of power.
    pub fn write(&mut self, record: &Record) -> Result<(), StoreError> {
        match record {
            Record::Promise(promise) => self.promises.append(&promise.to_bytes()?),
            Record::Value(value) => self.values.append(&value.to_bytes()?),
            Record::Leaves(leaves) => self.leaves[leaves.slot()].append(&leaves.to_bytes()?),
            Record::Placements(placements) => {
                self.placements.append(&Message::Placements(placements.clone()).to_bytes()?)
            }
        }
    }
}

/// Placements as they are kept: as the message that carries them.
fn read_placements(record: &[u8]) -> Option<PrefixPlacements> {
    match decode(record).ok()? {
        Message::Placements(placements) => Some(placements),
        _ => None,
    }
}

/// The rings of leaves, and the newest record of each that can be read.
fn open_leaves<F: Files + Clone>(files: &F) -> Result<(Vec<RecordStore<F>>, Vec<LeaveRecord>), StoreError> {
    let mut rings = Vec::new();
    let mut records = Vec::new();
    for name in LEAVE_RINGS {
        let (ring, newest) = RecordStore::open(files.clone(), name, LEAVE_ROOM)?;
        rings.push(ring);
        records.extend(newest.and_then(|record| LeaveRecord::read(&record).ok()));
    }
    Ok((rings, records))
}

struct Job {
    record: Record,
    done: oneshot::Sender<Result<(), String>>,
}

/// A thread that writes to a folder.
pub struct DiskThread {
    jobs: mpsc::Sender<Job>,
    leaves: Vec<LeaveRecord>,
    placements: PrefixPlacements,
}

impl DiskThread {
    /// Opens the folder of the settings and recovers the member that is in it.
    pub fn open(node: &Node, logger: &Logger) -> Result<(DiskThread, Acceptor), String> {
        let folder = Folder(PathBuf::from(node.data_dir.as_deref().ok_or("dataDir: is missing")?));
        let failed = |error: StoreError| format!("{}: {error}", folder.0.display());
        let (mut rings, acceptor) =
            Rings::open(folder.clone(), || new_incarnation(node)).map_err(failed)?;
        let leaves = rings.recovered_leaves().to_vec();
        let placements = rings.recovered_placements().clone();
        let (jobs, waiting) = mpsc::channel::<Job>();
        let logger = logger.clone();
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
        Ok((DiskThread { jobs, leaves, placements }, acceptor))
    }
}

impl MemberDisk for DiskThread {
    fn persist(&self, record: Record) -> Persisting {
        let (done, kept) = oneshot::channel();
        let sent = self.jobs.send(Job { record, done }).is_ok();
        Box::pin(async move {
            let gone = || Err("the thread that writes has ended".to_owned());
            if sent { kept.await.unwrap_or_else(|_| gone()) } else { gone() }
        })
    }

    fn leaves(&self) -> Vec<LeaveRecord> {
        self.leaves.clone()
    }

    fn placements(&self) -> PrefixPlacements {
        self.placements.clone()
    }
}
