//! The rings of files that hold a member's records, and their recovery.

use crate::disk::Record;
use deku::prelude::*;
use runtrack_message::{Endpoint, Message, PrefixPlacements, decode};
use runtrack_net::mutant;
use runtrack_record_store::{Files, RecordStore, StoreError};
use runtrack_register::{Acceptor, Recovery, recover};
use runtrack_registry::{LEAVE_GENERATIONS, LeaveRecord, MAX_LEAVE_RECORD};

/// Bytes of a file of promises.
const PROMISE_ROOM: usize = 4 << 10;
/// Bytes of a file of values, which grows by as many where a value is longer: a configuration of a thousand routes.
const VALUE_ROOM: usize = 384 << 10;
/// Bytes of a file of leaves: a complete generation and the ring's own head, so that no file ever grows.
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
/// Bytes of a file of placements: some six thousand of them.
const PLACEMENT_ROOM: usize = 128 << 10;
/// Bytes of a file of endpoints: some five hundred of them. It grows by as many where there are more.
const ENDPOINT_ROOM: usize = 32 << 10;

/// The rings of promises, of values and of leaves.
pub struct Rings<F> {
    promises: RecordStore<F>,
    values: RecordStore<F>,
    leaves: Vec<RecordStore<F>>,
    placements: RecordStore<F>,
    endpoints: RecordStore<F>,
    recovered: Vec<LeaveRecord>,
    recovered_placements: PrefixPlacements,
    recovered_endpoints: Vec<Endpoint>,
}

impl<F: Files + Clone> Rings<F> {
    /// Opens the rings and recovers the member that is in them; one that is not there is made, of this incarnation,
    /// and one whose records can't be read comes back under an incarnation of its own. Fails where files can't be read.
    pub fn open(files: F, incarnation: impl FnOnce() -> u64) -> Result<(Self, Acceptor), StoreError> {
        let (promises, promise) = RecordStore::open(files.clone(), "promise", PROMISE_ROOM)?;
        let (values, value) = RecordStore::open(files.clone(), "value", VALUE_ROOM)?;
        let acceptor = match recover(promise.as_deref(), value.as_deref()) {
            Recovery::Member(acceptor) => acceptor,
            Recovery::Empty => Acceptor::new(incarnation()),
            Recovery::Damaged => Acceptor::new(fastrand::u64(1..)),
        };
        let (leaves, recovered) = open_leaves(&files)?;
        let (placements, newest) = RecordStore::open(files.clone(), "placements", PLACEMENT_ROOM)?;
        let recovered_placements = newest.and_then(|record| read_placements(&record)).unwrap_or_default();
        let (endpoints, newest) = RecordStore::open(files, "endpoints", ENDPOINT_ROOM)?;
        let recovered_endpoints = newest.and_then(|record| read_endpoints(&record)).unwrap_or_default();
        let rings = Rings {
            promises,
            values,
            leaves,
            placements,
            endpoints,
            recovered,
            recovered_placements,
            recovered_endpoints,
        };
        Ok((rings, acceptor))
    }

    /// The leaves that were there when the rings were opened.
    pub fn recovered_leaves(&self) -> &[LeaveRecord] {
        &self.recovered
    }

    /// The placements that were there when the rings were opened.
    pub fn recovered_placements(&self) -> &PrefixPlacements {
        &self.recovered_placements
    }

    /// The endpoints found when the rings were opened.
    pub fn recovered_endpoints(&self) -> &[Endpoint] {
        &self.recovered_endpoints
    }

    /// Writes a record, which survives a power loss once this returns. If it fails, the record may or may not be on disk, and the
    /// previous record still is.
    ///
    /// A promise reports the accepted value. A value whose write failed must therefore not be recovered after a later promise: it
    /// would have been accepted under a lower ballot than was promised without it. So any remains of it are overwritten before
    /// the promise, and a member whose disk refuses that promises nothing.
    pub fn write(&mut self, record: &Record) -> Result<(), StoreError> {
        match record {
            Record::Promise(promise) => {
                if !mutant("failed-value-stays") {
                    self.values.discard_failed_write()?;
                }
                self.promises.append(&promise.to_bytes()?)
            }
            Record::Value(value) => self.values.append(&value.to_bytes()?),
            Record::Leaves(leaves) => self.leaves[leaves.slot()].append(&leaves.to_bytes()?),
            Record::Placements(placements) => {
                self.placements.append(&Message::Placements(placements.clone()).to_bytes()?)
            }
            Record::Endpoints(endpoints) => {
                self.endpoints.append(&Message::Entries(endpoints.clone().into()).to_bytes()?)
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

/// Endpoints as they are kept: as the message that carries them.
fn read_endpoints(record: &[u8]) -> Option<Vec<Endpoint>> {
    match decode(record).ok()? {
        Message::Entries(endpoints) => Some(endpoints.into_vec()),
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
