//! A member's folder: who it is, its last snapshot, its log and its promises, durable before anybody is told.
//!
//! ```text
//! head             identity, names of the snapshot and of the segment; replaced by rename
//! snapshot-INDEX   the state up to there, sealed; written whole before the head names it
//! segment-N        records, appended; written whole before the head names it. Its entries begin at or before the
//!                  snapshot: others may be a little behind
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

/// Why a member's folder can't be used.
#[derive(Debug, Error)]
pub enum DiskError {
    /// The system refuses something.
    #[error("{file}: {error}")]
    File {
        /// The file.
        file: String,
        /// What the system says.
        error: io::Error,
    },
    /// A file is not what was written. The member must be removed and another one added: what it had promised is lost.
    #[error(
        "{file}: damaged: {problem}. Remove this member from the cluster, and add a new one with an empty folder"
    )]
    Damaged {
        /// The file.
        file: String,
        /// What does not fit.
        problem: String,
    },
    /// A newer version wrote it.
    #[error("{file}: format {found}, this version reads up to {FORMAT}")]
    Newer {
        /// The file.
        file: String,
        /// Its format.
        found: u32,
    },
    /// There is no member in the folder.
    #[error(
        "there is no member here: `runtrackctl cluster init` makes a cluster, `runtrackctl cluster join` takes an invitation"
    )]
    NoMember,
    /// There is one already.
    #[error("there is a member here already: number {0}")]
    Member(u64),
}

/// Who a member is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// The cluster's lineage.
    pub lineage: String,
    /// Its number in it.
    pub member: u64,
    /// The ticket of its invitation; empty for the first member.
    pub ticket: String,
    /// A random number of this folder's: no two folders have the same.
    pub folder: String,
    /// Where the others were reached when it was invited, by number.
    pub others: Vec<(u64, String)>,
}

/// An invitation: what a new member's folder is made of. The folder's own random number is for who takes it to make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invitation {
    /// The new member's name, for people.
    pub name: String,
    /// Who it will be.
    pub identity: Identity,
}

/// Where a snapshot stands in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotMeta {
    /// The last index in it; 0: nothing yet.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// Members that vote, as of then.
    pub voters: Vec<u64>,
    /// Members that learn.
    pub learners: Vec<u64>,
    /// SHA-256 of its text, in hex; empty for none.
    pub hash: String,
    /// Its size in bytes.
    pub size: u64,
}

/// The entry before the first one of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogBase {
    /// Its index; 0: there was none.
    pub index: u64,
    /// Its term.
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

/// What a folder holds.
#[derive(Clone, Debug)]
pub struct RecoveredState {
    /// Where the snapshot stands.
    pub place: SnapshotMeta,
    /// Its text; none before the first.
    pub snapshot: Option<String>,
    /// What was promised last.
    pub promise: HardStateRecord,
    /// The entry before the first of these.
    pub base: LogBase,
    /// The log's entries.
    pub entries: Vec<Entry>,
}

/// A member's folder, open.
pub struct MemberStore<F> {
    files: F,
    head: Head,
    /// Bytes of the segment, and how many of them are durable.
    length: u64,
    durable: u64,
    promise: HardStateRecord,
}

fn file(name: &str) -> impl FnOnce(io::Error) -> DiskError {
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

/// A sealed file's text; none where there is no such file.
fn sealed(files: &impl Files, name: &str, magic: &str) -> Result<Option<String>, DiskError> {
    let bytes = match files.read(name) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(file(name)(error)),
    };
    match seal::open(magic, FORMAT, &bytes) {
        Ok((_, text)) => Ok(Some(text.to_owned())),
        Err(seal::SealError::Newer { found, .. }) => Err(DiskError::Newer { file: name.to_owned(), found }),
        Err(broken) => Err(damaged(name, broken)),
    }
}

/// Who the member of a folder is, if there is one.
pub fn identity(files: &impl Files) -> Result<Option<Identity>, DiskError> {
    let Some(text) = sealed(files, HEAD, HEAD_MAGIC)? else { return Ok(None) };
    let head: Head = serde_json::from_str(&text).map_err(|problem| damaged(HEAD, problem))?;
    Ok(Some(head.identity))
}

impl<F: Files> MemberStore<F> {
    /// Makes a member in an empty folder, with a snapshot to begin with, or with nothing, to learn all from others.
    pub fn make(
        files: F,
        identity: Identity,
        begin: Option<(SnapshotMeta, &str)>,
    ) -> Result<MemberStore<F>, DiskError> {
        if let Some(there) = self::identity(&files)? {
            return Err(DiskError::Member(there.member));
        }
        let head =
            Head { identity, snapshot: SnapshotMeta::default(), base: LogBase::default(), segment: 0 };
        let mut disk =
            MemberStore { files, head, length: 0, durable: 0, promise: HardStateRecord::default() };
        let (place, text) =
            begin.map_or((SnapshotMeta::default(), None), |(place, text)| (place, Some(text)));
        let base = LogBase { index: place.index, term: place.term };
        let promise = HardStateRecord { term: place.term, vote: 0, commit: place.index };
        disk.replace(place, text, promise, base, &[])?;
        Ok(disk)
    }

    /// Opens a member's folder. A torn tail of the log is cut off: nothing in it was answered for.
    pub fn open(files: F) -> Result<(MemberStore<F>, RecoveredState), DiskError> {
        let text = sealed(&files, HEAD, HEAD_MAGIC)?.ok_or(DiskError::NoMember)?;
        let head: Head = serde_json::from_str(&text).map_err(|problem| damaged(HEAD, problem))?;
        let (place, base) = (head.snapshot.clone(), head.base);
        let snapshot = match place.hash.is_empty() {
            true => None,
            false => {
                let name = snapshot_name(place.index);
                let text = sealed(&files, &name, SNAPSHOT_MAGIC)?
                    .ok_or_else(|| damaged(&name, "it is missing"))?;
                if seal::hash(&text) != place.hash {
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
            Err(error) => return Err(file(&name)(error)),
        };
        let (records, sound) = record::read(&bytes)
            .map_err(|at| damaged(&name, format!("the record at byte {at} is broken")))?;
        let (mut promise, mut entries) = (HardStateRecord::default(), Vec::<Entry>::new());
        for record in records {
            promise = record.promise.unwrap_or(promise);
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
        if promise.commit.max(place.index) > last {
            return Err(damaged(
                &name,
                format!("entries up to {} were agreed, and {last} is the last", promise.commit),
            ));
        }
        if sound < bytes.len() {
            files.truncate(&name, sound as u64).map_err(file(&name))?;
        }
        // What was read may be in the system's memory alone, after a crash of the process.
        files.sync(&name).map_err(file(&name))?;
        let length = sound as u64;
        let mut disk = MemberStore { files, head, length, durable: length, promise };
        disk.mark()?;
        Ok((disk, RecoveredState { place, snapshot, promise, base, entries }))
    }

    /// Who this is.
    pub fn identity(&self) -> &Identity {
        &self.head.identity
    }

    /// Where the last snapshot stands.
    pub fn snapshot(&self) -> &SnapshotMeta {
        &self.head.snapshot
    }

    /// The text of the last snapshot.
    pub fn snapshot_text(&self) -> Result<Option<String>, DiskError> {
        match self.head.snapshot.hash.is_empty() {
            true => Ok(None),
            false => sealed(&self.files, &snapshot_name(self.head.snapshot.index), SNAPSHOT_MAGIC),
        }
    }

    /// Bytes of the log behind the last snapshot.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Makes entries and a promise durable. Where this fails nothing may be answered for, and the folder must be opened
    /// anew.
    pub fn save(&mut self, entries: Vec<Entry>, promise: Option<HardStateRecord>) -> Result<(), DiskError> {
        let promise = promise.filter(|promise| *promise != self.promise);
        if entries.is_empty() && promise.is_none() {
            return Ok(());
        }
        let lazy = mutant(if entries.is_empty() { "vote-unsynced" } else { "entry-unsynced" });
        let record = Record { entries, promise };
        let name = segment_name(self.head.segment);
        let bytes = record::write(&record, self.durable);
        self.files.append(&name, &bytes).map_err(file(&name))?;
        if lazy {
            (self.length, self.promise) =
                (self.length + bytes.len() as u64, promise.unwrap_or(self.promise));
            return Ok(());
        }
        self.files.sync(&name).map_err(file(&name))?;
        self.length += bytes.len() as u64;
        self.durable = self.length;
        self.promise = promise.unwrap_or(self.promise);
        self.mark()
    }

    /// Says of all before it that it is durable. The mark itself need not be.
    fn mark(&mut self) -> Result<(), DiskError> {
        let name = segment_name(self.head.segment);
        let bytes = record::write(&Record::default(), self.durable);
        self.files.append(&name, &bytes).map_err(file(&name))?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Puts a snapshot and the entries that are still needed in place of all there was: at once or not at all. `text`
    /// is none only for a member that knows nothing yet.
    pub fn replace(
        &mut self,
        mut place: SnapshotMeta,
        text: Option<&str>,
        promise: HardStateRecord,
        base: LogBase,
        entries: &[Entry],
    ) -> Result<(), DiskError> {
        let old = self.head.clone();
        let mut changed = false;
        if let Some(text) = text {
            (place.hash, place.size) = (seal::hash(text), text.len() as u64);
            if place != old.snapshot {
                let name = snapshot_name(place.index);
                self.files.write(&name, &seal::seal(SNAPSHOT_MAGIC, FORMAT, text)).map_err(file(&name))?;
                self.files.sync(&name).map_err(file(&name))?;
                changed = old.snapshot.index != place.index && !old.snapshot.hash.is_empty();
            }
        }
        let segment = old.segment + 1;
        let name = segment_name(segment);
        let bytes = record::write(&Record { entries: entries.to_vec(), promise: Some(promise) }, 0);
        self.files.write(&name, &bytes).map_err(file(&name))?;
        self.files.sync(&name).map_err(file(&name))?;
        self.files.sync_folder().map_err(file("."))?;
        let head = Head { identity: old.identity, snapshot: place, base, segment };
        let text = serde_json::to_string(&head).map_err(|problem| damaged(HEAD, problem))?;
        self.files.write(HEAD_NEW, &seal::seal(HEAD_MAGIC, FORMAT, &text)).map_err(file(HEAD_NEW))?;
        self.files.sync(HEAD_NEW).map_err(file(HEAD_NEW))?;
        self.files.rename(HEAD_NEW, HEAD).map_err(file(HEAD))?;
        self.files.sync_folder().map_err(file("."))?;
        (self.head, self.promise) = (head, promise);
        (self.length, self.durable) = (bytes.len() as u64, bytes.len() as u64);
        // What nothing refers to any more may stay where it can't be removed.
        if old.segment > 0 {
            let _ = self.files.remove(&segment_name(old.segment));
        }
        if changed {
            let _ = self.files.remove(&snapshot_name(old.snapshot.index));
        }
        self.mark()
    }
}
