//! A member's storage folder: its identity, last snapshot, log and hard state, made durable before they are acknowledged.
//!
//! ```text
//! member           the head: identity, names of the snapshot and of the segment; replaced by rename
//! snapshot-INDEX   the state up to that index, sealed; fully written before the head refers to it
//! segment-N        records, appended; fully written before the head refers to it. Its entries begin at or before the
//!                  snapshot, because other members may lag a little
//! ```

use crate::record::{self, Entry, HardStateRecord, Record};
use runtrack_net::mutant;
use runtrack_store::{Files, seal};
use serde::{Deserialize, Serialize};
use std::io;
use thiserror::Error;

const HEAD: &str = "member";
const HEAD_NEW: &str = "member.new";
const HEAD_MAGIC: &str = "runtrack-member";
const SNAPSHOT_MAGIC: &str = "runtrack-snapshot";
const FORMAT: u32 = 1;

/// Why a member's folder cannot be used.
#[derive(Debug, Error)]
pub enum DiskError {
    /// A file operation failed.
    #[error("{file}: {error}")]
    File {
        /// The file.
        file: String,
        /// The I/O error.
        error: io::Error,
    },
    /// A file's content is not what was written. The member must be replaced by a new one, because its votes and
    /// acknowledgements may be lost.
    #[error(
        "{file}: damaged: {problem}. Remove this member from the cluster, and add a new one with an empty folder"
    )]
    Damaged {
        /// The file.
        file: String,
        /// What is wrong with it.
        problem: String,
    },
    /// A file was written by a newer version of the program.
    #[error("{file}: format {found}, this version reads up to {FORMAT}")]
    Newer {
        /// The file.
        file: String,
        /// Its format.
        found: u32,
    },
    /// The folder holds no member.
    #[error(
        "there is no member here: `runtrackctl cluster init` makes a cluster, `runtrackctl cluster join` takes an invitation"
    )]
    NoMember,
    /// The folder already holds the member with this id.
    #[error("there is a member here already: number {0}")]
    Member(u64),
}

/// A member's identity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Lineage of the cluster.
    pub lineage: String,
    /// Member id.
    pub member: u64,
    /// Ticket of its invitation; empty for the first member.
    pub ticket: String,
    /// Random id of this folder; no two folders have the same one.
    pub folder: String,
    /// Ids and addresses of the other members at the time of the invitation.
    pub others: Vec<(u64, String)>,
}

/// Invitation for a new member, from which its folder is created. Whoever accepts it generates the folder's random id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invitation {
    /// Display name of the new member.
    pub name: String,
    /// Identity of the new member.
    pub identity: Identity,
}

/// Metadata of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotMeta {
    /// Index of the last entry that it contains; 0 for an empty state.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Voting members as of that entry.
    pub voters: Vec<u64>,
    /// Learners as of that entry.
    pub learners: Vec<u64>,
    /// SHA-256 of its text, in hex; empty if there is no text.
    pub hash: String,
    /// Size of its text in bytes.
    pub size: u64,
}

/// Position of the entry that precedes the first one of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogBase {
    /// Index of that entry; 0 if there was none.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Head {
    identity: Identity,
    snapshot: SnapshotMeta,
    base: LogBase,
    segment: u64,
}

/// What was read from a folder when it was opened.
#[derive(Clone, Debug)]
pub struct RecoveredState {
    /// Metadata of the snapshot.
    pub snapshot_meta: SnapshotMeta,
    /// Text of the snapshot; `None` before the first one.
    pub snapshot_text: Option<String>,
    /// The last hard state.
    pub hard_state: HardStateRecord,
    /// Position before the first of `entries`.
    pub base: LogBase,
    /// The log's entries.
    pub entries: Vec<Entry>,
}

/// A member's open storage folder.
pub struct MemberStore<F> {
    files: F,
    head: Head,
    /// Length of the segment in bytes, and how many of them are durable.
    length: u64,
    durable: u64,
    hard_state: HardStateRecord,
}

fn file_error(name: &str) -> impl FnOnce(io::Error) -> DiskError {
    let file = name.to_owned();
    |error| DiskError::File { file, error }
}

fn damaged(name: &str, problem: impl ToString) -> DiskError {
    DiskError::Damaged { file: name.to_owned(), problem: problem.to_string() }
}

fn snapshot_name(index: u64) -> String {
    format!("snapshot-{index:016}")
}

fn segment_name(number: u64) -> String {
    format!("segment-{number:08}")
}

/// Reads a sealed file's text; `None` if there is no such file.
fn read_sealed(files: &impl Files, name: &str, magic: &str) -> Result<Option<String>, DiskError> {
    let bytes = match files.read(name) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(file_error(name)(error)),
    };
    match seal::open(magic, FORMAT, &bytes) {
        Ok((_, text)) => Ok(Some(text.to_owned())),
        Err(seal::SealError::Newer { found, .. }) => Err(DiskError::Newer { file: name.to_owned(), found }),
        Err(broken) => Err(damaged(name, broken)),
    }
}

/// Identity of the member in a folder; `None` if it holds none.
pub fn identity(files: &impl Files) -> Result<Option<Identity>, DiskError> {
    let Some(text) = read_sealed(files, HEAD, HEAD_MAGIC)? else { return Ok(None) };
    let head: Head = serde_json::from_str(&text).map_err(|problem| damaged(HEAD, problem))?;
    Ok(Some(head.identity))
}

impl<F: Files> MemberStore<F> {
    /// Creates a member in an empty folder, with an initial snapshot, or without one if it gets its state from others.
    pub fn create(
        files: F,
        identity: Identity,
        initial: Option<(SnapshotMeta, &str)>,
    ) -> Result<MemberStore<F>, DiskError> {
        if let Some(there) = self::identity(&files)? {
            return Err(DiskError::Member(there.member));
        }
        let head =
            Head { identity, snapshot: SnapshotMeta::default(), base: LogBase::default(), segment: 0 };
        let mut disk =
            MemberStore { files, head, length: 0, durable: 0, hard_state: HardStateRecord::default() };
        let (snapshot_meta, text) = initial
            .map_or((SnapshotMeta::default(), None), |(snapshot_meta, text)| (snapshot_meta, Some(text)));
        let base = LogBase { index: snapshot_meta.index, term: snapshot_meta.term };
        let hard_state = HardStateRecord { term: snapshot_meta.term, vote: 0, commit: snapshot_meta.index };
        disk.replace(snapshot_meta, text, hard_state, base, &[])?;
        Ok(disk)
    }

    /// Opens a member's folder. A torn tail of the log is truncated, since nothing in it was acknowledged.
    pub fn open(files: F) -> Result<(MemberStore<F>, RecoveredState), DiskError> {
        let text = read_sealed(&files, HEAD, HEAD_MAGIC)?.ok_or(DiskError::NoMember)?;
        let head: Head = serde_json::from_str(&text).map_err(|problem| damaged(HEAD, problem))?;
        let (snapshot_meta, base) = (head.snapshot.clone(), head.base);
        let snapshot_text = match snapshot_meta.hash.is_empty() {
            true => None,
            false => {
                let name = snapshot_name(snapshot_meta.index);
                let text = read_sealed(&files, &name, SNAPSHOT_MAGIC)?
                    .ok_or_else(|| damaged(&name, "it is missing"))?;
                if seal::hash(&text) != snapshot_meta.hash {
                    return Err(damaged(&name, "it is not the snapshot that the head names"));
                }
                Some(text)
            }
        };
        let name = segment_name(head.segment);
        let bytes = match files.read(&name) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                return Err(damaged(&name, "it is missing"));
            }
            Err(error) => return Err(file_error(&name)(error)),
        };
        let (records, intact) = record::decode_all(&bytes)
            .map_err(|at| damaged(&name, format!("the record at byte {at} is broken")))?;
        let (mut hard_state, mut entries) = (HardStateRecord::default(), Vec::<Entry>::new());
        for record in records {
            hard_state = record.hard_state.unwrap_or(hard_state);
            for entry in record.entries {
                let next = base.index + 1 + entries.len() as u64;
                if entry.index > next || entry.index <= base.index {
                    return Err(damaged(
                        &name,
                        format!("entry {} does not follow {}", entry.index, next - 1),
                    ));
                }
                entries.truncate((entry.index - base.index - 1) as usize);
                entries.push(entry);
            }
        }
        let last = base.index + entries.len() as u64;
        if hard_state.commit.max(snapshot_meta.index) > last {
            return Err(damaged(
                &name,
                format!("entries up to {} were agreed, and {last} is the last", hard_state.commit),
            ));
        }
        if intact < bytes.len() {
            files.truncate(&name, intact as u64).map_err(file_error(&name))?;
        }
        // After a crash of the process, the bytes read may be only in the page cache.
        files.sync(&name).map_err(file_error(&name))?;
        let length = intact as u64;
        let mut disk = MemberStore { files, head, length, durable: length, hard_state };
        disk.append_marker()?;
        Ok((disk, RecoveredState { snapshot_meta, snapshot_text, hard_state, base, entries }))
    }

    /// Identity of the member.
    pub fn identity(&self) -> &Identity {
        &self.head.identity
    }

    /// Metadata of the last snapshot.
    pub fn snapshot(&self) -> &SnapshotMeta {
        &self.head.snapshot
    }

    /// Text of the last snapshot.
    pub fn snapshot_text(&self) -> Result<Option<String>, DiskError> {
        match self.head.snapshot.hash.is_empty() {
            true => Ok(None),
            false => read_sealed(&self.files, &snapshot_name(self.head.snapshot.index), SNAPSHOT_MAGIC),
        }
    }

    /// Length of the current log segment, in bytes.
    pub fn segment_bytes(&self) -> u64 {
        self.length
    }

    /// Makes entries and the hard state durable. After an error nothing of them may be acknowledged, and the folder must
    /// be reopened.
    pub fn save(
        &mut self,
        entries: Vec<Entry>,
        hard_state: Option<HardStateRecord>,
    ) -> Result<(), DiskError> {
        let hard_state = hard_state.filter(|hard_state| *hard_state != self.hard_state);
        if entries.is_empty() && hard_state.is_none() {
            return Ok(());
        }
        let skip_sync = mutant(if entries.is_empty() { "vote-unsynced" } else { "entry-unsynced" });
        let record = Record { entries, hard_state };
        let name = segment_name(self.head.segment);
        let bytes = record::encode(&record, self.durable);
        self.files.append(&name, &bytes).map_err(file_error(&name))?;
        if skip_sync {
            (self.length, self.hard_state) =
                (self.length + bytes.len() as u64, hard_state.unwrap_or(self.hard_state));
            return Ok(());
        }
        self.files.sync(&name).map_err(file_error(&name))?;
        self.length += bytes.len() as u64;
        self.durable = self.length;
        self.hard_state = hard_state.unwrap_or(self.hard_state);
        self.append_marker()
    }

    /// Appends a marker that all bytes before it are durable. The marker itself is not synced.
    fn append_marker(&mut self) -> Result<(), DiskError> {
        let name = segment_name(self.head.segment);
        let bytes = record::encode(&Record::default(), self.durable);
        self.files.append(&name, &bytes).map_err(file_error(&name))?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Atomically replaces the whole content by a snapshot and the log entries that are still needed. `text` is `None`
    /// only for a member without any state yet.
    pub fn replace(
        &mut self,
        mut snapshot_meta: SnapshotMeta,
        text: Option<&str>,
        hard_state: HardStateRecord,
        base: LogBase,
        entries: &[Entry],
    ) -> Result<(), DiskError> {
        let old = self.head.clone();
        let mut replaced = false;
        if let Some(text) = text {
            (snapshot_meta.hash, snapshot_meta.size) = (seal::hash(text), text.len() as u64);
            if snapshot_meta != old.snapshot {
                let name = snapshot_name(snapshot_meta.index);
                self.files
                    .write(&name, &seal::seal(SNAPSHOT_MAGIC, FORMAT, text))
                    .map_err(file_error(&name))?;
                self.files.sync(&name).map_err(file_error(&name))?;
                replaced = old.snapshot.index != snapshot_meta.index && !old.snapshot.hash.is_empty();
            }
        }
        let segment = old.segment + 1;
        let name = segment_name(segment);
        let bytes = record::encode(&Record { entries: entries.to_vec(), hard_state: Some(hard_state) }, 0);
        self.files.write(&name, &bytes).map_err(file_error(&name))?;
        self.files.sync(&name).map_err(file_error(&name))?;
        self.files.sync_folder().map_err(file_error("."))?;
        let head = Head { identity: old.identity, snapshot: snapshot_meta, base, segment };
        let text = serde_json::to_string(&head).map_err(|problem| damaged(HEAD, problem))?;
        self.files.write(HEAD_NEW, &seal::seal(HEAD_MAGIC, FORMAT, &text)).map_err(file_error(HEAD_NEW))?;
        self.files.sync(HEAD_NEW).map_err(file_error(HEAD_NEW))?;
        self.files.rename(HEAD_NEW, HEAD).map_err(file_error(HEAD))?;
        self.files.sync_folder().map_err(file_error("."))?;
        (self.head, self.hard_state) = (head, hard_state);
        (self.length, self.durable) = (bytes.len() as u64, bytes.len() as u64);
        // A failure to remove old files is harmless: nothing refers to them any more.
        if old.segment > 0 {
            let _ = self.files.remove(&segment_name(old.segment));
        }
        if replaced {
            let _ = self.files.remove(&snapshot_name(old.snapshot.index));
        }
        self.append_marker()
    }
}
