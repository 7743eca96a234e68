//! The log as the library reads it: what is durable, in memory.

use crate::disk::{LogBase, RecoveredState, SnapshotMeta};
use crate::record::{self, HardStateRecord};
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::Cell;

/// The log's entries, and where the last snapshot stands: at or behind their beginning.
pub struct Memory {
    place: SnapshotMeta,
    promise: HardStateRecord,
    base: LogBase,
    entries: Vec<Entry>,
    /// A member needs a snapshot that the last one can't be.
    wanted: Cell<bool>,
}

/// As the library has it.
pub fn entry_in(entry: record::Entry) -> Entry {
    let kind = if entry.kind == 0 { EntryType::EntryNormal } else { EntryType::EntryConfChangeV2 };
    Entry {
        entry_type: kind,
        term: entry.term,
        index: entry.index,
        data: entry.data,
        context: entry.context,
        ..Entry::default()
    }
}

/// As the log has it.
pub fn entry_out(entry: &Entry) -> record::Entry {
    record::Entry {
        index: entry.index,
        term: entry.term,
        kind: u32::from(entry.entry_type != EntryType::EntryNormal),
        data: entry.data.clone(),
        context: entry.context.clone(),
    }
}

/// As the log has it.
pub fn promise_out(hard: &HardState) -> HardStateRecord {
    HardStateRecord { term: hard.term, vote: hard.vote, commit: hard.commit }
}

fn bytes(entry: &Entry) -> u64 {
    (entry.data.len() + entry.context.len() + 24) as u64
}

impl Memory {
    /// What a folder holds.
    pub fn new(found: RecoveredState) -> Memory {
        let RecoveredState { place, promise, base, entries, .. } = found;
        let entries = entries.into_iter().map(entry_in).collect();
        Memory { place, promise, base, entries, wanted: Cell::new(false) }
    }

    /// Whether a member needs a snapshot that the last one can't be; asked once.
    pub fn takes_wanted(&self) -> bool {
        self.wanted.take()
    }

    /// Where the last snapshot stands.
    pub fn place(&self) -> &SnapshotMeta {
        &self.place
    }

    /// The last promise.
    pub fn promise(&self) -> HardStateRecord {
        self.promise
    }

    /// The last index.
    pub fn last(&self) -> u64 {
        self.base.index + self.entries.len() as u64
    }

    /// Entries that were made durable.
    pub fn append(&mut self, entries: &[Entry]) {
        if let Some(first) = entries.first() {
            self.entries.truncate((first.index - self.base.index - 1) as usize);
            self.entries.extend_from_slice(entries);
        }
    }

    /// A promise that was made durable.
    pub fn promised(&mut self, promise: HardStateRecord) {
        self.promise = promise;
    }

    /// The log up to an index is agreed.
    pub fn committed(&mut self, index: u64) {
        self.promise.commit = self.promise.commit.max(index);
    }

    /// The entries behind an index, as the log has them.
    pub fn behind(&self, index: u64) -> Vec<record::Entry> {
        let from = index.saturating_sub(self.base.index) as usize;
        self.entries.get(from..).unwrap_or_default().iter().map(entry_out).collect()
    }

    /// The entry of an index, or what stands in its place before the first.
    pub fn base_at(&self, index: u64) -> LogBase {
        LogBase { index, term: Storage::term(self, index).unwrap_or_default() }
    }

    /// The first index at or behind one from which on the entries have no more than so many bytes.
    pub fn within(&self, most: u64) -> u64 {
        let mut size = 0;
        let kept = self.entries.iter().rev().take_while(|entry| {
            size += bytes(entry);
            size <= most
        });
        self.last() - kept.count() as u64
    }

    /// Another snapshot, and the log from a later entry on.
    pub fn replace(&mut self, place: SnapshotMeta, base: LogBase) {
        let kept = self.entries.split_off(self.entries.len().min((base.index - self.base.index) as usize));
        (self.place, self.base, self.entries) = (place, base, kept);
    }

    /// A snapshot that came from elsewhere: nothing of the log stays.
    pub fn install(&mut self, place: SnapshotMeta, promise: HardStateRecord) {
        (self.base, self.promise) = (LogBase { index: place.index, term: place.term }, promise);
        self.place = place;
        self.entries.clear();
    }

    fn place_of(&self, index: u64) -> raft::Result<usize> {
        match index.checked_sub(self.base.index + 1) {
            None => Err(Error::Store(StorageError::Compacted)),
            Some(place) if place as usize > self.entries.len() => {
                Err(Error::Store(StorageError::Unavailable))
            }
            Some(place) => Ok(place as usize),
        }
    }
}

/// The members as the library has them.
pub fn members(place: &SnapshotMeta) -> ConfState {
    ConfState::from((place.voters.clone(), place.learners.clone()))
}

impl Storage for Memory {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let HardStateRecord { term, vote, commit } = self.promise;
        let hard = HardState { term, vote, commit, ..HardState::default() };
        Ok(RaftState::new(hard, members(&self.place)))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        let (low, high) = (self.place_of(low)?, self.place_of(high)?);
        let most = most.into().unwrap_or(u64::MAX);
        let mut size = 0;
        let within = |entry: &&Entry| {
            let first = size == 0;
            size += bytes(entry);
            first || size <= most
        };
        Ok(self.entries[low..high].iter().take_while(within).cloned().collect())
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.base.index {
            return Ok(self.base.term);
        }
        let entry = self.entries.get(self.place_of(index)?);
        entry.map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.base.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, least: u64, to: u64) -> raft::Result<Snapshot> {
        // A member takes none from before it was one.
        let known = self.place.voters.contains(&to) || self.place.learners.contains(&to);
        if self.place.index < least || self.place.index == 0 || !known {
            self.wanted.set(true);
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        meta.index = self.place.index;
        meta.term = self.place.term;
        meta.set_conf_state(members(&self.place));
        // The text itself is fetched by whoever needs it.
        snapshot.data = serde_json::to_vec(&self.place).unwrap_or_default().into();
        Ok(snapshot)
    }
}
