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
const WRITE: (u32, u32) = (300, 3_000);
/// Copies that are kept of a disk's past.
const MAX_COPIES: usize = 400;
/// What a disk has held for so long, others have heard of: controllers probe each other every 250 ms.
const KNOWN_ELSEWHERE: Duration = Duration::from_millis(1_000);

type Content = BTreeMap<String, Vec<u8>>;
/// Is told what a disk holds, whenever that changes: the member's incarnation and its value.
pub type Watch = Box<dyn Fn(u64, Option<&Value>)>;

/// A copy of a disk's past that was put back.
pub struct OlderCopy {
    /// The incarnation of the member on it.
    pub incarnation: u64,
    /// Sequence number of its value.
    pub sequence: u64,
    /// The disk had held a newer value of that member for long enough to be known of elsewhere.
    pub older: bool,
}

/// The files.
#[derive(Clone, Default)]
struct SimFiles {
    content: Rc<RefCell<Content>>,
    /// The next write stops after so many bytes.
    torn_after: Rc<Cell<Option<usize>>>,
    /// Writes reach the files, and are said to have failed.
    is_failing: Rc<Cell<bool>>,
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
        let written = self.torn_after.take().map_or(bytes.len(), |after| after.min(bytes.len()));
        file[..written].copy_from_slice(&bytes[..written]);
        if self.is_failing.get() { Err(io::Error::other("the sync failed")) } else { Ok(()) }
    }
}

/// A disk and its troubles.
pub struct SimDisk {
    files: SimFiles,
    draws: RefCell<Pcg32>,
    troubles: RefCell<Vec<(DiskFault, Instant, Instant)>>,
    /// The record that is being written, and the rings that write it.
    writing: RefCell<Option<Record>>,
    /// What the disk held, from time to time.
    copies: RefCell<VecDeque<(Instant, Content)>>,
    watch: Watch,
}

impl SimDisk {
    /// An empty disk.
    pub fn new(seed: u64, watch: Watch) -> Rc<Self> {
        Rc::new(SimDisk {
            files: SimFiles::default(),
            draws: RefCell::new(Pcg32::seed_from_u64(seed)),
            troubles: RefCell::default(),
            writing: RefCell::default(),
            copies: RefCell::default(),
            watch,
        })
    }

    /// Has something go wrong from one moment to another.
    pub fn trouble(&self, what: DiskFault, from: Instant, until: Instant) {
        self.troubles.borrow_mut().push((what, from, until));
    }

    /// Mounts it for a process: what is on it, and a way to write.
    pub fn mount(
        self: &Rc<Self>,
        incarnation: impl FnOnce() -> u64,
    ) -> Result<(Rc<dyn MemberDisk>, Acceptor), String> {
        let (rings, acceptor) =
            Rings::open(self.files.clone(), incarnation).map_err(|error| error.to_string())?;
        self.show(&acceptor);
        let leaves = rings.recovered_leaves().to_vec();
        let placements = rings.recovered_placements().clone();
        let endpoints = rings.recovered_endpoints().to_vec();
        let rings = Rc::new(Mutex::new(rings));
        let mounted = Mounted { disk: self.clone(), rings, leaves, placements, endpoints };
        Ok((Rc::new(mounted), acceptor))
    }

    /// The member that is on it.
    pub fn recovered(&self) -> Option<Acceptor> {
        recovered(self.files.clone())
    }

    /// Tells who watches what is on it.
    fn show(&self, acceptor: &Acceptor) {
        (self.watch)(acceptor.incarnation(), acceptor.accepted().map(|accepted| &*accepted.value));
    }

    /// Tells who watches what was just written.
    fn show_written(&self, record: &Record) {
        match record {
            Record::Value(record) => (self.watch)(record.incarnation, Some(&record.value)),
            Record::Promise(_) | Record::Leaves(_) | Record::Placements(_) | Record::Endpoints(_) => {}
        }
    }

    /// The process that wrote has ended: what was being written is there, or not; after a loss of power perhaps in part.
    pub fn interrupted(&self, power: bool) {
        let Some(record) = self.writing.take() else { return };
        let draw = self.draws.borrow_mut().next_u32();
        let torn = match draw % 3 {
            0 => return,
            1 => None,
            _ if power => Some((draw / 3) as usize % 400),
            _ => None,
        };
        if let Ok((mut rings, _)) = Rings::open(self.files.clone(), || 0) {
            self.files.torn_after.set(torn);
            let _ = rings.write(&record); // what it says goes to nobody: the process is gone
            self.files.torn_after.set(None);
        }
        self.recovered().iter().for_each(|acceptor| self.show(acceptor));
    }

    /// Loses everything.
    pub fn wipe(&self) {
        self.files.content.borrow_mut().clear();
        self.copies.borrow_mut().clear();
        (self.watch)(0, None);
    }

    /// Puts what was on it some time ago back; nothing where there is no copy that old.
    pub fn put_back(&self, age: Duration) -> Option<OlderCopy> {
        let known = self.as_of(KNOWN_ELSEWHERE).and_then(of_content);
        *self.files.content.borrow_mut() = self.as_of(age)?;
        let copy = self.recovered()?;
        self.show(&copy);
        let newer = |known: &Acceptor| {
            known.incarnation() == copy.incarnation() && sequence_of(known) > sequence_of(&copy)
        };
        Some(OlderCopy {
            incarnation: copy.incarnation(),
            sequence: sequence_of(&copy),
            older: known.as_ref().is_some_and(newer),
        })
    }

    /// What was on it some time ago.
    fn as_of(&self, age: Duration) -> Option<Content> {
        let then = Instant::now() - age;
        let copies = self.copies.borrow();
        let copy = copies.iter().rev().find(|(at, _)| *at <= then);
        copy.map(|(_, content)| content.clone())
    }

    /// Waits as long as a write takes; whether the disk takes it.
    async fn write_time(&self) -> bool {
        let drawn = WRITE.0 + self.draws.borrow_mut().next_u32() % (WRITE.1 - WRITE.0);
        let mut wait = Duration::from_micros(drawn.into());
        if let Some(factor) = self.slowness() {
            wait *= factor;
        }
        sleep(wait).await;
        while let Some(until) = self.stalled_until() {
            sleep_until(until).await;
        }
        !self.now(|what| matches!(what, DiskFault::Full))
    }

    fn now(&self, such: impl Fn(&DiskFault) -> bool) -> bool {
        let now = Instant::now();
        self.troubles.borrow().iter().any(|(what, from, until)| such(what) && *from <= now && now < *until)
    }

    fn slowness(&self) -> Option<u32> {
        let now = Instant::now();
        let troubles = self.troubles.borrow();
        let factors = troubles.iter().filter_map(|(what, from, until)| match what {
            DiskFault::Slow(factor) if *from <= now && now < *until => Some(*factor),
            _ => None,
        });
        factors.max()
    }

    fn stalled_until(&self) -> Option<Instant> {
        let now = Instant::now();
        let troubles = self.troubles.borrow();
        let stalls = troubles
            .iter()
            .filter(|(what, from, until)| matches!(what, DiskFault::Stall) && *from <= now && now < *until);
        stalls.map(|(_, _, until)| *until).max()
    }

    fn copy(&self) {
        let mut copies = self.copies.borrow_mut();
        copies.push_back((Instant::now(), self.files.content.borrow().clone()));
        if copies.len() > MAX_COPIES {
            copies.pop_front();
        }
    }
}

/// The member that is in these files.
fn recovered(files: SimFiles) -> Option<Acceptor> {
    let (_, acceptor) = Rings::open(files, || 0).ok()?;
    Some(acceptor)
}

fn of_content(content: Content) -> Option<Acceptor> {
    recovered(SimFiles { content: Rc::new(RefCell::new(content)), ..SimFiles::default() })
}

fn sequence_of(acceptor: &Acceptor) -> u64 {
    acceptor.accepted().map_or(0, |accepted| accepted.value.sequence)
}

/// A disk as a process has it.
struct Mounted {
    disk: Rc<SimDisk>,
    rings: Rc<Mutex<Rings<SimFiles>>>,
    leaves: Vec<LeaveRecord>,
    placements: PrefixPlacements,
    endpoints: Vec<Endpoint>,
}

impl MemberDisk for Mounted {
    fn persist(&self, record: Record) -> Persisting {
        let (disk, rings) = (self.disk.clone(), self.rings.clone());
        Box::pin(async move {
            let mut rings = rings.lock().await;
            *disk.writing.borrow_mut() = Some(record);
            let takes = disk.write_time().await;
            let record = disk.writing.take();
            let Some(record) = record.filter(|_| takes) else {
                return Err(WriteError::Refused("the disk is full"));
            };
            let is_value = matches!(record, Record::Value(_));
            disk.files.is_failing.set(is_value && disk.now(|what| matches!(what, DiskFault::FailingSync)));
            let written = rings.write(&record);
            disk.files.is_failing.set(false);
            if let Err(error) = written {
                disk.recovered().iter().for_each(|acceptor| disk.show(acceptor));
                return Err(error.into());
            }
            disk.show_written(&record);
            disk.copy();
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
