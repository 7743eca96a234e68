//! The leaves of endpoints that a member keeps on its disk, within bounds. No I/O and no clock.
//!
//! Leaves are kept in generations. Only the newest generation takes new endpoints; once it is full the next one begins,
//! in the slot of the oldest, whose leaves are forgotten. So a write rewrites one generation, not the complete table, and what
//! is forgotten is always what came first. An endpoint that goes from draining to gone rises in its own generation.

use crate::{MAX_GONE, key_of};
use deku::prelude::*;
use runtrack_message::{Endpoint, EndpointState, MAX_TEXT, Text};
use std::collections::BTreeMap;

/// Generations that are kept, each in a slot of its own.
pub const LEAVE_GENERATIONS: u64 = 16;
/// Leaves of a generation: a table that is read at the start is never more than the registry remembers.
const GENERATION_LEAVES: usize = MAX_GONE / LEAVE_GENERATIONS as usize;
/// Bytes of a generation's record: so many leaves where ids have 59 bytes. Of longer ones it takes fewer.
pub const MAX_LEAVE_RECORD: usize = 64 << 10;
/// Bytes of a record before its leaves: magic, generation and number of leaves.
const RECORD_HEAD: usize = 20;
/// Bytes of a leave besides the id: the id's length, the state, and one to spare.
const LEAVE_HEAD: usize = 4;

/// A leave as it is kept on disk.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Leave {
    /// The endpoint's id.
    pub id: Text,
    /// Draining or gone.
    pub state: EndpointState,
}

/// A generation as it is kept on disk.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "little", magic = b"RTLEAVE1")]
pub struct LeaveRecord {
    /// Number of the generation.
    pub generation: u64,
    #[deku(assert = "*count as usize <= MAX_LEAVE_RECORD / LEAVE_HEAD")]
    count: u32,
    #[deku(count = "count")]
    leaves: Vec<Leave>,
}

impl LeaveRecord {
    /// A generation with these leaves.
    pub fn new(generation: u64, leaves: Vec<Leave>) -> Self {
        LeaveRecord { generation, count: leaves.len() as u32, leaves }
    }

    /// Reads a record.
    pub fn read(bytes: &[u8]) -> Result<Self, DekuError> {
        Ok(LeaveRecord::from_bytes((bytes, 0))?.1)
    }

    /// The slot that it is kept in.
    pub fn slot(&self) -> usize {
        (self.generation % LEAVE_GENERATIONS) as usize
    }

    /// The leaves as records that a registry merges by maximum.
    pub fn endpoints(&self) -> impl Iterator<Item = Endpoint> {
        self.leaves.iter().map(Leave::endpoint)
    }
}

impl Leave {
    /// A record that says nothing but that the endpoint leaves.
    fn endpoint(&self) -> Endpoint {
        Endpoint {
            id: self.id.clone(),
            service: "".into(),
            ip: 0,
            port: 0,
            zone: "".into(),
            capacity: 0,
            state: self.state,
            warmup_left_ms: 0,
            call_seq: 0,
            models: Vec::new().into(),
        }
    }

    fn bytes(&self) -> usize {
        LEAVE_HEAD + self.id.as_string().len().min(MAX_TEXT.into())
    }
}

/// A leave in memory.
#[derive(Clone, Debug)]
struct Entry {
    leave: Leave,
    /// The change that set its current state.
    changed: u64,
}

/// Leaves that are kept together.
#[derive(Clone, Debug, Default)]
struct Generation {
    leaves: BTreeMap<u64, Entry>,
    bytes: usize,
    /// The last change in it.
    changed: u64,
}

impl Generation {
    fn has_space_for(&self, leave: &Leave) -> bool {
        let bytes = RECORD_HEAD + self.bytes + leave.bytes();
        self.leaves.len() < GENERATION_LEAVES && bytes <= MAX_LEAVE_RECORD
    }

    fn record(&self, number: u64) -> LeaveRecord {
        LeaveRecord::new(number, self.leaves.values().map(|entry| entry.leave.clone()).collect())
    }
}

/// Records to write, and the changes that are durable once they are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaveBatch {
    /// Changes up to this one.
    pub change: u64,
    /// Generations that have changed.
    pub records: Vec<LeaveRecord>,
}

/// The leaves that a member keeps.
#[derive(Clone, Debug, Default)]
pub struct LeaveTable {
    generations: BTreeMap<u64, Generation>,
    /// The generation of each endpoint, by its short name.
    places: BTreeMap<u64, u64>,
    /// Changes so far, and those that are on disk.
    changes: u64,
    durable: u64,
}

impl LeaveTable {
    /// The table that was on disk.
    pub fn recover(records: &[LeaveRecord]) -> Self {
        let mut table = LeaveTable::default();
        for record in records {
            for leave in &record.leaves {
                table.insert(record.generation, key_of(&leave.id.as_string()), leave.clone());
            }
        }
        table
    }

    /// Number of endpoints in the table.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Records an endpoint that leaves; returns whether that changed the table.
    pub fn note(&mut self, endpoint: &Endpoint) -> bool {
        let key = key_of(&endpoint.id.as_string());
        if endpoint.state == EndpointState::Ready || self.state(key) >= Some(endpoint.state) {
            return false;
        }
        let leave = Leave { id: endpoint.id.clone(), state: endpoint.state };
        let generation = match self.places.get(&key) {
            Some(place) => *place,
            None => self.open_for(&leave),
        };
        self.changes += 1;
        self.insert(generation, key, leave);
        true
    }

    /// The generation that takes a new leave.
    fn open_for(&mut self, leave: &Leave) -> u64 {
        let Some((newest, generation)) = self.generations.last_key_value() else { return 0 };
        if generation.has_space_for(leave) {
            return *newest;
        }
        let next = newest + 1;
        self.forget_before((next + 1).saturating_sub(LEAVE_GENERATIONS));
        next
    }

    fn forget_before(&mut self, first: u64) {
        self.generations = self.generations.split_off(&first);
        self.places.retain(|_, place| *place >= first);
    }

    fn insert(&mut self, number: u64, key: u64, leave: Leave) {
        let generation = self.generations.entry(number).or_default();
        generation.changed = self.changes;
        let bytes = leave.bytes();
        if generation.leaves.insert(key, Entry { leave, changed: self.changes }).is_none() {
            generation.bytes += bytes;
        }
        self.places.insert(key, number);
    }

    fn entry(&self, key: u64) -> Option<&Entry> {
        self.generations.get(self.places.get(&key)?)?.leaves.get(&key)
    }

    fn state(&self, key: u64) -> Option<EndpointState> {
        self.entry(key).map(|entry| entry.leave.state)
    }

    /// The change up to which the table must be on disk so that this endpoint's leave is; 0 for one that it does not hold.
    pub fn change_of(&self, endpoint: &Endpoint) -> u64 {
        self.entry(key_of(&endpoint.id.as_string())).map_or(0, |entry| entry.changed)
    }

    /// The last change.
    pub fn last_change(&self) -> u64 {
        self.changes
    }

    /// Whether all changes up to this one are on disk.
    pub fn is_durable(&self, change: u64) -> bool {
        change <= self.durable
    }

    /// The records to write; `None` if all changes are on disk.
    pub fn batch(&self) -> Option<LeaveBatch> {
        if self.is_durable(self.changes) {
            return None;
        }
        let changed = self.generations.iter().filter(|(_, generation)| generation.changed > self.durable);
        let records = changed.map(|(number, generation)| generation.record(*number)).collect();
        Some(LeaveBatch { change: self.changes, records })
    }

    /// Marks the changes of a batch as durable.
    pub fn written(&mut self, change: u64) {
        self.durable = self.durable.max(change);
    }
}
