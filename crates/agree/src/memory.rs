//! In-memory copy of the durable log, which the raft library reads through its `Storage` trait.

use crate::disk::{LogBase, RecoveredState, SnapshotMeta};
use crate::record::{self, HardStateRecord};
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::Cell;

/// The log's entries and the metadata of the last snapshot, whose index is at or after the start of the log.
pub struct MemStorage {
    snapshot_meta: SnapshotMeta,
    hard_state: HardStateRecord,
    base: LogBase,
    entries: Vec<Entry>,
    /// Set when a member needs a newer snapshot than the last one.
    snapshot_wanted: Cell<bool>,
}

/// Converts an entry to the library's type.
pub fn entry_to_raft(entry: record::Entry) -> Entry {
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
pub fn entry_from_raft(entry: &Entry) -> record::Entry {
    record::Entry {
        index: entry.index,
        term: entry.term,
        kind: u32::from(entry.entry_type != EntryType::EntryNormal),
        data: entry.data.clone(),
        context: entry.context.clone(),
    }
}

/// Converts the hard state from the library's type.
pub fn hard_state_from_raft(hard: &HardState) -> HardStateRecord {
    HardStateRecord { term: hard.term, vote: hard.vote, commit: hard.commit }
}

fn entry_bytes(entry: &Entry) -> u64 {
    (entry.data.len() + entry.context.len() + 24) as u64
}

impl MemStorage {
    /// Builds the log from what was read from a folder.
    pub fn new(recovered: RecoveredState) -> MemStorage {
        let RecoveredState { snapshot_meta, hard_state, base, entries, .. } = recovered;
        let entries = entries.into_iter().map(entry_to_raft).collect();
        MemStorage { snapshot_meta, hard_state, base, entries, snapshot_wanted: Cell::new(false) }
    }

    /// Whether a member needs a newer snapshot than the last one; resets the flag.
    pub fn take_snapshot_wanted(&self) -> bool {
        self.snapshot_wanted.take()
    }

    /// Metadata of the last snapshot.
    pub fn snapshot_meta(&self) -> &SnapshotMeta {
        &self.snapshot_meta
    }

    /// The last hard state.
    pub fn hard_state(&self) -> HardStateRecord {
        self.hard_state
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
    pub fn set_hard_state(&mut self, hard_state: HardStateRecord) {
        self.hard_state = hard_state;
    }

    /// Advances the commit index.
    pub fn set_commit(&mut self, index: u64) {
        self.hard_state.commit = self.hard_state.commit.max(index);
    }

    /// The entries after an index, in the format of the log file.
    pub fn entries_after(&self, index: u64) -> Vec<record::Entry> {
        let from = index.saturating_sub(self.base.index) as usize;
        self.entries.get(from..).unwrap_or_default().iter().map(entry_from_raft).collect()
    }

    /// Index and term of an entry, or of the position before the first one.
    pub fn base_at(&self, index: u64) -> LogBase {
        LogBase { index, term: Storage::term(self, index).unwrap_or_default() }
    }

    /// The lowest index after which the entries have at most this many bytes.
    pub fn tail_start(&self, max_bytes: u64) -> u64 {
        let mut size = 0;
        let kept = self.entries.iter().rev().take_while(|entry| {
            size += entry_bytes(entry);
            size <= max_bytes
        });
        self.last() - kept.count() as u64
    }

    /// Sets a new snapshot and compacts the log up to `base`.
    pub fn compact(&mut self, snapshot_meta: SnapshotMeta, base: LogBase) {
        let kept = self.entries.split_off(self.entries.len().min((base.index - self.base.index) as usize));
        (self.snapshot_meta, self.base, self.entries) = (snapshot_meta, base, kept);
    }

    /// Sets a snapshot that was received from another member; the log is discarded.
    pub fn install(&mut self, snapshot_meta: SnapshotMeta, hard_state: HardStateRecord) {
        (self.base, self.hard_state) =
            (LogBase { index: snapshot_meta.index, term: snapshot_meta.term }, hard_state);
        self.snapshot_meta = snapshot_meta;
        self.entries.clear();
    }

    fn offset_of(&self, index: u64) -> raft::Result<usize> {
        match index.checked_sub(self.base.index + 1) {
            None => Err(Error::Store(StorageError::Compacted)),
            Some(offset) if offset as usize > self.entries.len() => {
                Err(Error::Store(StorageError::Unavailable))
            }
            Some(offset) => Ok(offset as usize),
        }
    }
}

/// Converts a snapshot's membership to the library's type.
pub fn conf_state(snapshot_meta: &SnapshotMeta) -> ConfState {
    ConfState::from((snapshot_meta.voters.clone(), snapshot_meta.learners.clone()))
}

impl Storage for MemStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let HardStateRecord { term, vote, commit } = self.hard_state;
        let hard_state = HardState { term, vote, commit, ..HardState::default() };
        Ok(RaftState::new(hard_state, conf_state(&self.snapshot_meta)))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_bytes: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        let (low, high) = (self.offset_of(low)?, self.offset_of(high)?);
        let max_bytes = max_bytes.into().unwrap_or(u64::MAX);
        let mut size = 0;
        let within = |entry: &&Entry| {
            let first = size == 0;
            size += entry_bytes(entry);
            first || size <= max_bytes
        };
        Ok(self.entries[low..high].iter().take_while(within).cloned().collect())
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.base.index {
            return Ok(self.base.term);
        }
        let entry = self.entries.get(self.offset_of(index)?);
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
        let is_member =
            self.snapshot_meta.voters.contains(&to) || self.snapshot_meta.learners.contains(&to);
        if self.snapshot_meta.index < least || self.snapshot_meta.index == 0 || !is_member {
            self.snapshot_wanted.set(true);
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        meta.index = self.snapshot_meta.index;
        meta.term = self.snapshot_meta.term;
        meta.set_conf_state(conf_state(&self.snapshot_meta));
        // Only the metadata travels in the message; the receiver fetches the text separately.
        snapshot.data = serde_json::to_vec(&self.snapshot_meta).unwrap_or_default().into();
        Ok(snapshot)
    }
}
