//! In-memory copy of the durable log, which the raft library reads through its `Storage` trait.

use crate::disk::{LogBase, RecoveredState, SnapshotMeta};
use crate::record::{self, HardStateRecord};
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::Cell;

/// The log's entries and the metadata of the last snapshot, whose index is at or after the start of the log.
pub struct Memory {
    place: SnapshotMeta,
    promise: HardStateRecord,
    base: LogBase,
    entries: Vec<Entry>,
    /// Set when a member needs a newer snapshot than the last one.
    wanted: Cell<bool>,
}

/// Converts an entry to the library's type.
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

/// Converts an entry from the library's type.
pub fn entry_out(entry: &Entry) -> record::Entry {
    record::Entry {
        index: entry.index,
        term: entry.term,
        kind: u32::from(entry.entry_type != EntryType::EntryNormal),
        data: entry.data.clone(),
        context: entry.context.clone(),
    }
}

/// Converts the hard state from the library's type.
pub fn promise_out(hard: &HardState) -> HardStateRecord {
    HardStateRecord { term: hard.term, vote: hard.vote, commit: hard.commit }
}

fn bytes(entry: &Entry) -> u64 {
    (entry.data.len() + entry.context.len() + 24) as u64
}

impl Memory {
    /// Builds the log from what was read from a folder.
    pub fn new(found: RecoveredState) -> Memory {
        let RecoveredState { place, promise, base, entries, .. } = found;
        let entries = entries.into_iter().map(entry_in).collect();
        Memory { place, promise, base, entries, wanted: Cell::new(false) }
    }

    /// Whether a member needs a newer snapshot than the last one; resets the flag.
    pub fn takes_wanted(&self) -> bool {
        self.wanted.take()
    }

    /// Metadata of the last snapshot.
    pub fn place(&self) -> &SnapshotMeta {
        &self.place
    }

    /// The last hard state.
    pub fn promise(&self) -> HardStateRecord {
        self.promise
    }

    /// Index of the last entry.
    pub fn last(&self) -> u64 {
        self.base.index + self.entries.len() as u64
    }

    /// Appends entries that were made durable; they replace existing ones from the same index on.
    pub fn append(&mut self, entries: &[Entry]) {
        if let Some(first) = entries.first() {
            self.entries.truncate((first.index - self.base.index - 1) as usize);
            self.entries.extend_from_slice(entries);
        }
    }

    /// Sets the hard state that was made durable.
    pub fn promised(&mut self, promise: HardStateRecord) {
        self.promise = promise;
    }

    /// Advances the commit index.
    pub fn committed(&mut self, index: u64) {
        self.promise.commit = self.promise.commit.max(index);
    }

    /// The entries after an index, in the format of the log file.
    pub fn behind(&self, index: u64) -> Vec<record::Entry> {
        let from = index.saturating_sub(self.base.index) as usize;
        self.entries.get(from..).unwrap_or_default().iter().map(entry_out).collect()
    }

    /// Index and term of an entry, or of the position before the first one.
    pub fn base_at(&self, index: u64) -> LogBase {
        LogBase { index, term: Storage::term(self, index).unwrap_or_default() }
    }

    /// The lowest index after which the entries have at most this many bytes.
    pub fn within(&self, most: u64) -> u64 {
        let mut size = 0;
        let kept = self.entries.iter().rev().take_while(|entry| {
            size += bytes(entry);
            size <= most
        });
        self.last() - kept.count() as u64
    }

    /// Sets a new snapshot and compacts the log up to `base`.
    pub fn replace(&mut self, place: SnapshotMeta, base: LogBase) {
        let kept = self.entries.split_off(self.entries.len().min((base.index - self.base.index) as usize));
        (self.place, self.base, self.entries) = (place, base, kept);
    }

    /// Sets a snapshot that was received from another member; the log is discarded.
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

/// Converts a snapshot's membership to the library's type.
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
        // A member does not accept a snapshot from before it was added.
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
        // Only the metadata travels in the message; the receiver fetches the text separately.
        snapshot.data = serde_json::to_vec(&self.place).unwrap_or_default().into();
        Ok(snapshot)
    }
}
