//! The disk of a simulated core machine: files that survive the process, with what a disk can do to them.

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

/// A write with its sync takes this long at least and at most, in microseconds.
const WRITE_LATENCY_US: (u32, u32) = (300, 3_000);
/// Copies that are kept of a disk's past.
const MAX_SAVED_COPIES: usize = 400;
/// What a disk has held for so long, others have heard of: controllers probe each other every 250 ms.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_000);

type Content = BTreeMap<String, Vec<u8>>;
/// Is told what a disk holds, whenever that changes: the member's incarnation and its value.
pub type DiskObserver = Box<dyn Fn(u64, Option<&Value>)>;

/// A copy of a disk's past that was put back.
pub struct RestoredCopy {
    /// The incarnation of the member on it.
    pub incarnation: u64,
    /// Sequence number of its value.
    pub sequence: u64,
    /// The disk had held a newer value of that member for long enough to be known of elsewhere.
    pub is_stale: bool,
}

/// The files.
#[derive(Clone, Default)]
struct SimFiles {
    content: Rc<RefCell<Content>>,
    /// The next write stops after so many bytes.
    torn_after_bytes: Rc<Cell<Option<usize>>>,
    /// Writes reach the files, and are said to have failed.
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

/// A disk and its troubles.
pub struct SimDisk {
    files: SimFiles,
    rng: RefCell<Pcg32>,
    faults: RefCell<Vec<(DiskFault, Instant, Instant)>>,
    /// The record that is being written, and the rings that write it.
    write_in_progress: RefCell<Option<Record>>,
    /// What the disk held, from time to time.
    saved_copies: RefCell<VecDeque<(Instant, Content)>>,
    observer: DiskObserver,
}

impl SimDisk {
    /// An empty disk.
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

    /// Has something go wrong from one moment to another.
    pub fn add_fault(&self, what: DiskFault, from: Instant, until: Instant) {
        self.faults.borrow_mut().push((what, from, until));
    }

    /// Mounts it for a process: what is on it, and a way to write.
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

    /// The member that is on it.
    pub fn stored_acceptor(&self) -> Option<Acceptor> {
        acceptor_in_files(self.files.clone())
    }

    /// Tells who watches what is on it.
    fn notify(&self, acceptor: &Acceptor) {
        (self.observer)(acceptor.incarnation(), acceptor.accepted().map(|accepted| &*accepted.value));
    }

    /// Tells who watches what was just written.
    fn notify_written(&self, record: &Record) {
        match record {
            Record::Value(record) => (self.observer)(record.incarnation, Some(&record.value)),
            Record::Promise(_) | Record::Leaves(_) | Record::Placements(_) | Record::Endpoints(_) => {}
        }
    }

    /// The process that wrote has ended: what was being written is there, or not; after a loss of power perhaps in part.
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
            let _ = rings.write(&record); // what it says goes to nobody: the process is gone
            self.files.torn_after_bytes.set(None);
        }
        self.stored_acceptor().iter().for_each(|acceptor| self.notify(acceptor));
    }

    /// Loses everything.
    pub fn wipe(&self) {
        self.files.content.borrow_mut().clear();
        self.saved_copies.borrow_mut().clear();
        (self.observer)(0, None);
    }

    /// Puts what was on it some time ago back; nothing where there is no copy that old.
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

    /// What was on it some time ago.
    fn content_before(&self, age: Duration) -> Option<Content> {
        let then = Instant::now() - age;
        let saved_copies = self.saved_copies.borrow();
        let copy = saved_copies.iter().rev().find(|(at, _)| *at <= then);
        copy.map(|(_, content)| content.clone())
    }

    /// Waits as long as a write takes; whether the disk takes it.
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

/// The member that is in these files.
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

/// A disk as a process has it.
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
