//! The simulated disk of a core machine: its files outlive the process, and its faults come from the
//! script.

use crate::fleet::script::DiskFault;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use runtrack_controller::disk::{MemberDisk, Persisting, Record, Rings, WriteError};
use runtrack_message::{Endpoint, PrefixPlacements, Value};
use runtrack_record_store::Files;
use runtrack_register::Acceptor;
use runtrack_registry::LeaveRecord;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep, sleep_until};

/// Shortest and longest duration of a write with its sync, in microseconds.
const WRITE_LATENCY_US: (u32, u32) = (300, 3_000);
/// Number of past states of a disk that are kept for rollbacks.
const MAX_SAVED_COPIES: usize = 400;
/// Time after which other members know what a disk holds: controllers probe each other every 250 ms.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_000);

type Content = BTreeMap<String, Vec<u8>>;
/// Called with the member's incarnation and value whenever the content of a disk changes.
pub type DiskObserver = Box<dyn Fn(u64, Option<&Value>)>;

/// A past state that was restored onto a disk.
pub struct RestoredCopy {
    /// Incarnation of the member in the restored state.
    pub incarnation: u64,
    /// Sequence number of the member's value in the restored state.
    pub sequence: u64,
    /// Whether the disk had held a newer value of the same member for long enough that other members knew
    /// of it.
    pub is_stale: bool,
}

/// In-memory files.
#[derive(Clone, Default)]
struct SimFiles {
    content: Rc<RefCell<Content>>,
    /// If set, the next write stops after this many bytes.
    torn_after_bytes: Rc<Cell<Option<usize>>>,
    /// Whether writes reach the files but report that their sync failed.
    is_sync_failing: Rc<Cell<bool>>,
}

impl Files for SimFiles {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.content.borrow().get(name).cloned())
    }

    fn write(&self, name: &str, bytes: &[u8], _room: usize) -> io::Result<()> {
        let mut content = self.content.borrow_mut();
        let file = content.entry(name.to_owned()).or_default();
        if file.len() < bytes.len() {
            file.resize(bytes.len(), 0);
        }
        let written = self.torn_after_bytes.take().map_or(bytes.len(), |after| after.min(bytes.len()));
        file[..written].copy_from_slice(&bytes[..written]);
        if self.is_sync_failing.get() { Err(io::Error::other("the sync failed")) } else { Ok(()) }
    }
}

/// A disk and its faults.
pub struct SimDisk {
    files: SimFiles,
    rng: RefCell<Pcg32>,
    faults: RefCell<Vec<(DiskFault, Instant, Instant)>>,
    /// The record that is being written, if any.
    write_in_progress: RefCell<Option<Record>>,
    /// Past states of the disk, oldest first.
    saved_copies: RefCell<VecDeque<(Instant, Content)>>,
    observer: DiskObserver,
}

impl SimDisk {
    /// Creates an empty disk.
    pub fn new(seed: u64, observer: DiskObserver) -> Rc<Self> {
        Rc::new(SimDisk {
            files: SimFiles::default(),
            rng: RefCell::new(Pcg32::seed_from_u64(seed)),
            faults: RefCell::default(),
            write_in_progress: RefCell::default(),
            saved_copies: RefCell::default(),
            observer,
        })
    }

    /// Schedules a fault for a span of time.
    pub fn add_fault(&self, what: DiskFault, from: Instant, until: Instant) {
        self.faults.borrow_mut().push((what, from, until));
    }

    /// Mounts the disk for a process: returns a handle for writing, and the acceptor stored on the disk or
    /// a new one with the given incarnation.
    pub fn mount(
        self: &Rc<Self>,
        incarnation: impl FnOnce() -> u64,
    ) -> Result<(Rc<dyn MemberDisk>, Acceptor), String> {
        let (rings, acceptor) =
            Rings::open(self.files.clone(), incarnation).map_err(|error| error.to_string())?;
        self.notify(&acceptor);
        let leaves = rings.recovered_leaves().to_vec();
        let placements = rings.recovered_placements().clone();
        let endpoints = rings.recovered_endpoints().to_vec();
        let rings = Rc::new(Mutex::new(rings));
        let mounted = MountedDisk { disk: self.clone(), rings, leaves, placements, endpoints };
        Ok((Rc::new(mounted), acceptor))
    }

    /// The acceptor stored on the disk, if there is one.
    pub fn stored_acceptor(&self) -> Option<Acceptor> {
        acceptor_in_files(self.files.clone())
    }

    /// Reports a stored acceptor to the observer.
    fn notify(&self, acceptor: &Acceptor) {
        (self.observer)(acceptor.incarnation(), acceptor.accepted().map(|accepted| &*accepted.value));
    }

    /// Reports a written record to the observer, if it holds a value.
    fn notify_written(&self, record: &Record) {
        match record {
            Record::Value(record) => (self.observer)(record.incarnation, Some(&record.value)),
            Record::Promise(_) | Record::Leaves(_) | Record::Placements(_) | Record::Endpoints(_) => {}
        }
    }

    /// Handles the end of the writing process: the write in progress is lost or complete, or, after a loss
    /// of power, possibly torn.
    pub fn process_stopped(&self, power_lost: bool) {
        let Some(record) = self.write_in_progress.take() else { return };
        let draw = self.rng.borrow_mut().next_u32();
        let torn = match draw % 3 {
            0 => return,
            1 => None,
            _ if power_lost => Some((draw / 3) as usize % 400),
            _ => None,
        };
        if let Ok((mut rings, _)) = Rings::open(self.files.clone(), || 0) {
            self.files.torn_after_bytes.set(torn);
            let _ = rings.write(&record); // the process is gone, so nobody needs the result
            self.files.torn_after_bytes.set(None);
        }
        self.stored_acceptor().iter().for_each(|acceptor| self.notify(acceptor));
    }

    /// Erases the disk.
    pub fn wipe(&self) {
        self.files.content.borrow_mut().clear();
        self.saved_copies.borrow_mut().clear();
        (self.observer)(0, None);
    }

    /// Restores the state of the disk from `age` ago; returns `None` if no state that old was kept.
    pub fn restore_copy(&self, age: Duration) -> Option<RestoredCopy> {
        let known = self.content_before(PROPAGATION_TIME).and_then(acceptor_in_content);
        *self.files.content.borrow_mut() = self.content_before(age)?;
        let copy = self.stored_acceptor()?;
        self.notify(&copy);
        let newer = |known: &Acceptor| {
            known.incarnation() == copy.incarnation() && value_sequence(known) > value_sequence(&copy)
        };
        Some(RestoredCopy {
            incarnation: copy.incarnation(),
            sequence: value_sequence(&copy),
            is_stale: known.as_ref().is_some_and(newer),
        })
    }

    /// The content of the disk `age` ago.
    fn content_before(&self, age: Duration) -> Option<Content> {
        let then = Instant::now() - age;
        let saved_copies = self.saved_copies.borrow();
        let copy = saved_copies.iter().rev().find(|(at, _)| *at <= then);
        copy.map(|(_, content)| content.clone())
    }

    /// Waits as long as a write takes; returns whether the disk accepts the write.
    async fn wait_for_write(&self) -> bool {
        let drawn = WRITE_LATENCY_US.0
            + self.rng.borrow_mut().next_u32() % (WRITE_LATENCY_US.1 - WRITE_LATENCY_US.0);
        let mut wait = Duration::from_micros(drawn.into());
        if let Some(factor) = self.slowdown_factor() {
            wait *= factor;
        }
        sleep(wait).await;
        while let Some(until) = self.stalled_until() {
            sleep_until(until).await;
        }
        !self.has_active_fault(|what| matches!(what, DiskFault::Full))
    }

    fn has_active_fault(&self, selects: impl Fn(&DiskFault) -> bool) -> bool {
        let now = Instant::now();
        self.faults.borrow().iter().any(|(what, from, until)| selects(what) && *from <= now && now < *until)
    }

    fn slowdown_factor(&self) -> Option<u32> {
        let now = Instant::now();
        let faults = self.faults.borrow();
        let factors = faults.iter().filter_map(|(what, from, until)| match what {
            DiskFault::Slow(factor) if *from <= now && now < *until => Some(*factor),
            _ => None,
        });
        factors.max()
    }

    fn stalled_until(&self) -> Option<Instant> {
        let now = Instant::now();
        let faults = self.faults.borrow();
        let stalls = faults
            .iter()
            .filter(|(what, from, until)| matches!(what, DiskFault::Stall) && *from <= now && now < *until);
        stalls.map(|(_, _, until)| *until).max()
    }

    fn save_copy(&self) {
        let mut saved_copies = self.saved_copies.borrow_mut();
        saved_copies.push_back((Instant::now(), self.files.content.borrow().clone()));
        if saved_copies.len() > MAX_SAVED_COPIES {
            saved_copies.pop_front();
        }
    }
}

/// The acceptor stored in the given files.
fn acceptor_in_files(files: SimFiles) -> Option<Acceptor> {
    let (_, acceptor) = Rings::open(files, || 0).ok()?;
    Some(acceptor)
}

fn acceptor_in_content(content: Content) -> Option<Acceptor> {
    acceptor_in_files(SimFiles { content: Rc::new(RefCell::new(content)), ..SimFiles::default() })
}

fn value_sequence(acceptor: &Acceptor) -> u64 {
    acceptor.accepted().map_or(0, |accepted| accepted.value.sequence)
}

/// A disk as mounted by a process.
struct MountedDisk {
    disk: Rc<SimDisk>,
    rings: Rc<Mutex<Rings<SimFiles>>>,
    leaves: Vec<LeaveRecord>,
    placements: PrefixPlacements,
    endpoints: Vec<Endpoint>,
}

impl MemberDisk for MountedDisk {
    fn persist(&self, record: Record) -> Persisting {
        let (disk, rings) = (self.disk.clone(), self.rings.clone());
        Box::pin(async move {
            let mut rings = rings.lock().await;
            *disk.write_in_progress.borrow_mut() = Some(record);
            let is_accepted = disk.wait_for_write().await;
            let record = disk.write_in_progress.take();
            let Some(record) = record.filter(|_| is_accepted) else {
                return Err(WriteError::Refused("the disk is full"));
            };
            let is_value = matches!(record, Record::Value(_));
            disk.files
                .is_sync_failing
                .set(is_value && disk.has_active_fault(|what| matches!(what, DiskFault::FailingSync)));
            let written = rings.write(&record);
            disk.files.is_sync_failing.set(false);
            if let Err(error) = written {
                disk.stored_acceptor().iter().for_each(|acceptor| disk.notify(acceptor));
                return Err(error.into());
            }
            disk.notify_written(&record);
            disk.save_copy();
            Ok(())
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
