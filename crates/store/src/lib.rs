//! Durable, versioned state in a folder, with atomic commits, crash recovery and a writer lock.
//!
//! Each version is stored in its own file, written and synced under its final name before anything refers to it. The
//! head file refers to the versions: it holds the lineage, the history and the hash of each version, and is replaced as
//! a whole by a rename. A commit has therefore happened exactly if the head contains it, and files left behind by a
//! power cut are never read.
//!
//! A head of an older format is read as it is; the first commit writes the newest format and keeps the old head as
//! `head.FORMAT`. Renaming that file back to `head` lets an older program serve the version that was current before the
//! migration, as long as that version is still kept.

mod files;
mod lock;
pub mod seal;

pub use files::{Files, Folder};
pub use lock::Lock;

use serde::{Deserialize, Serialize};
use std::io;
use thiserror::Error;

/// Format of the head that this version writes, and the newest that it reads. Format 1 has neither plans nor stages: a
/// program that reads only format 1 would report a head that contains them as damaged.
pub const FORMAT: u32 = 2;
/// Format of the files that hold the versions' texts.
const TEXT_FORMAT: u32 = 1;
/// Number of versions kept, including the current one.
pub const MAX_VERSIONS: usize = 100;

const MAGIC: &str = "runtrack-state";
const HEAD: &str = "head";
const HEAD_NEW: &str = "head.new";

/// Why a store operation failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A file operation failed; the state is unchanged.
    #[error("{file}: {error}")]
    File {
        /// The file.
        file: String,
        /// The I/O error.
        error: io::Error,
    },
    /// A file's content is not what was written.
    #[error("{file}: damaged: {problem}")]
    Damaged {
        /// The file.
        file: String,
        /// What is wrong with it.
        problem: String,
    },
    /// A file was written by a newer version.
    #[error("{file}: format {found}, this version reads up to {known}")]
    Newer {
        /// The file.
        file: String,
        /// Its format.
        found: u32,
        /// The newest format that this version reads.
        known: u32,
    },
    /// The current version is not the one that the commit builds on.
    #[error("the state has moved: expected serial {expected}, found {found}{}", by.as_ref().map(|by| format!(" by {by}")).unwrap_or_default())]
    Moved {
        /// The serial that the commit builds on.
        expected: u64,
        /// The current serial.
        found: u64,
        /// Author and reason of the current version.
        by: Option<String>,
    },
    /// The version does not exist or is no longer kept.
    #[error("serial {0} is not kept")]
    VersionNotFound(u64),
    /// Another writer holds the lock; the text is the owner that it gave.
    #[error("locked by {0}")]
    Locked(String),
}

/// One version of the state.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Sequence number: 1 for the first version, one more with each commit.
    pub serial: u64,
    /// SHA-256 of the text, in hex.
    pub hash: String,
    /// Hash of the previous version; empty for the first.
    pub parent: String,
    /// Author of the change.
    pub author: String,
    /// Reason given for the change.
    pub reason: String,
    /// Time of the commit by the author's clock, Unix time in milliseconds.
    pub at_ms: u64,
    /// Id of the plan that the version came from; empty for none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub plan: String,
    /// Roll-out stages: the share of proxies that gets the version in each, in parts of 10,000; empty: all at once.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stages: Vec<u32>,
    /// Minimum time between two stages, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub pause_ms: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Metadata of a commit: author, reason, time, and how the version is rolled out.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommitInfo<'a> {
    /// Author of the change.
    pub author: &'a str,
    /// Reason given for the change.
    pub reason: &'a str,
    /// Unix time in milliseconds.
    pub at_ms: u64,
    /// Id of the plan that the commit applies; empty for none.
    pub plan: &'a str,
    /// As in [`Version`].
    pub stages: &'a [u32],
    /// As in [`Version`].
    pub pause_ms: u64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Head {
    lineage: String,
    /// Oldest first; empty before the first commit.
    versions: Vec<Version>,
}

/// The versioned state in a folder.
pub struct Store<F> {
    files: F,
    head: Head,
    /// Format of the head as it was read.
    format: u32,
}

impl<F: Files> Store<F> {
    /// Opens an existing store; `None` if there is none.
    pub fn open(files: F) -> Result<Option<Self>, StoreError> {
        Ok(read_head(&files)?.map(|(format, head)| Store { files, head, format }))
    }

    /// Opens an existing store, or creates an empty one with this lineage, a random text chosen by the caller.
    pub fn open_or_create(files: F, lineage: &str) -> Result<Self, StoreError> {
        let (format, head) = match read_head(&files)? {
            Some(read) => read,
            None => {
                let head = Head { lineage: lineage.to_owned(), versions: Vec::new() };
                write_head(&files, &head)?;
                (FORMAT, head)
            }
        };
        Ok(Store { files, head, format })
    }

    /// Identifies the store; set once, when it is created.
    pub fn lineage(&self) -> &str {
        &self.head.lineage
    }

    /// The serial of the current version; 0 before the first.
    pub fn serial(&self) -> u64 {
        self.current().map_or(0, |version| version.serial)
    }

    /// The current version.
    pub fn current(&self) -> Option<&Version> {
        self.head.versions.last()
    }

    /// The versions that are kept, oldest first.
    pub fn history(&self) -> &[Version] {
        &self.head.versions
    }

    /// Reads a version's text and checks its hash.
    pub fn text(&self, serial: u64) -> Result<String, StoreError> {
        let version = self.head.versions.iter().find(|version| version.serial == serial);
        let version = version.ok_or(StoreError::VersionNotFound(serial))?;
        let name = version_file_name(serial);
        let (_, text) =
            read_sealed(&self.files, &name, TEXT_FORMAT)?.ok_or_else(|| damaged(&name, "it is missing"))?;
        if seal::hash(&text) != version.hash {
            return Err(damaged(&name, "it is not the version that the head names"));
        }
        Ok(text)
    }

    /// Commits a new version on top of the version `base_serial`, which must be the current one. The commit is durable
    /// when this returns. On an error the state is unchanged, except after a failure of the last step (the rename of the
    /// head or the sync of the folder): then only `open` can tell whether the commit took effect. The caller must hold
    /// the [`Lock`].
    pub fn commit(
        &mut self,
        base_serial: u64,
        text: &str,
        info: CommitInfo,
    ) -> Result<&Version, StoreError> {
        // Another process may have committed since the head was read.
        (self.format, self.head) = read_head(&self.files)?.ok_or_else(|| damaged(HEAD, "it is missing"))?;
        let found = self.serial();
        if found != base_serial {
            let by = self.current().map(|version| format!("{} ({})", version.author, version.reason));
            return Err(StoreError::Moved { expected: base_serial, found, by });
        }
        let version = Version {
            serial: found + 1,
            hash: seal::hash(text),
            parent: self.current().map(|version| version.hash.clone()).unwrap_or_default(),
            author: info.author.to_owned(),
            reason: info.reason.to_owned(),
            at_ms: info.at_ms,
            plan: info.plan.to_owned(),
            stages: info.stages.to_vec(),
            pause_ms: info.pause_ms,
        };
        let name = version_file_name(version.serial);
        self.write_durably(&name, &seal::seal(MAGIC, TEXT_FORMAT, text))?;
        if self.format < FORMAT {
            let old_head = self.files.read(HEAD).map_err(|error| file_error(HEAD, error))?;
            self.write_durably(&format!("{HEAD}.{}", self.format), &old_head)?;
        }
        self.files.sync_folder().map_err(|error| file_error(".", error))?;
        let mut head = self.head.clone();
        head.versions.push(version);
        let excess = head.versions.len().saturating_sub(MAX_VERSIONS);
        let dropped: Vec<Version> = head.versions.drain(..excess).collect();
        write_head(&self.files, &head)?;
        (self.head, self.format) = (head, FORMAT);
        // A failure to remove an old version is harmless: nothing refers to it any more.
        for version in dropped {
            let _ = self.files.remove(&version_file_name(version.serial));
        }
        Ok(&self.head.versions[self.head.versions.len() - 1])
    }

    fn write_durably(&self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        self.files.write(name, bytes).map_err(|error| file_error(name, error))?;
        self.files.sync(name).map_err(|error| file_error(name, error))
    }
}

fn version_file_name(serial: u64) -> String {
    format!("state-{serial:010}")
}

fn file_error(name: &str, error: io::Error) -> StoreError {
    StoreError::File { file: name.to_owned(), error }
}

fn damaged(name: &str, problem: impl ToString) -> StoreError {
    StoreError::Damaged { file: name.to_owned(), problem: problem.to_string() }
}

/// Reads a sealed file's format and text; `None` if there is no such file.
fn read_sealed(files: &impl Files, name: &str, known: u32) -> Result<Option<(u32, String)>, StoreError> {
    let bytes = match files.read(name) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(file_error(name, error)),
    };
    match seal::open(MAGIC, known, &bytes) {
        Ok((format, text)) => Ok(Some((format, text.to_owned()))),
        Err(seal::SealError::Newer { found, known }) => {
            Err(StoreError::Newer { file: name.to_owned(), found, known })
        }
        Err(broken) => Err(damaged(name, broken)),
    }
}

fn read_head(files: &impl Files) -> Result<Option<(u32, Head)>, StoreError> {
    let Some((format, text)) = read_sealed(files, HEAD, FORMAT)? else { return Ok(None) };
    let head: Head = serde_json::from_str(&text).map_err(|e| damaged(HEAD, e))?;
    let follows = |pair: &[Version]| pair[1].serial == pair[0].serial + 1 && pair[1].parent == pair[0].hash;
    if !head.versions.windows(2).all(follows) {
        return Err(damaged(HEAD, "its versions do not follow each other"));
    }
    Ok(Some((format, head)))
}

fn write_head(files: &impl Files, head: &Head) -> Result<(), StoreError> {
    let text = serde_json::to_string(head).map_err(|e| damaged(HEAD, e))?;
    files
        .write(HEAD_NEW, &seal::seal(MAGIC, FORMAT, &text))
        .map_err(|error| file_error(HEAD_NEW, error))?;
    files.sync(HEAD_NEW).map_err(|error| file_error(HEAD_NEW, error))?;
    files.rename(HEAD_NEW, HEAD).map_err(|error| file_error(HEAD, error))?;
    files.sync_folder().map_err(|error| file_error(".", error))
}
