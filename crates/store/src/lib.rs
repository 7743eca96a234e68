//! Durable, versioned state in a folder: one atomic commit, recovery to the old state or the new, a lock.
//!
//! A version is a file of its own, written and synced under its final name before anything refers to it. What
//! refers to it is the head: lineage, history and the hash of each version, replaced as a whole by a rename. So a
//! commit has happened exactly if the head of it is there, and what a cut leaves behind is never looked at.
//!
//! A head of an older format is read as it is; the first commit writes the newest one, and keeps the old head as
//! `head.FORMAT`. Given its name back, it makes an older program serve the last version of then, as long as that one
//! is kept.

mod files;
mod lock;
pub mod seal;

pub use files::{Files, Folder};
pub use lock::Lock;

use serde::{Deserialize, Serialize};
use std::io;
use thiserror::Error;

/// The format of the head that this version writes, and the newest that it reads. Format 1 knew of no plans and no
/// stages: a program that reads no other would take a head with those for a damaged one.
pub const FORMAT: u32 = 2;
/// The format of versions' texts.
const TEXT_FORMAT: u32 = 1;
/// Versions kept, the current one included.
pub const MAX_VERSIONS: usize = 100;

const MAGIC: &str = "runtrack-state";
const HEAD: &str = "head";
const HEAD_NEW: &str = "head.new";

/// Why the store can't do what it was asked.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file layer failed; the state is the one before.
    #[error("{file}: {error}")]
    File {
        /// The file.
        file: String,
        /// What the system said.
        error: io::Error,
    },
    /// A file is not what was written.
    #[error("{file}: damaged: {problem}")]
    Damaged {
        /// The file.
        file: String,
        /// What does not fit.
        problem: String,
    },
    /// A file was written by a newer version.
    #[error("{file}: format {found}, this version reads up to {known}")]
    Newer {
        /// The file.
        file: String,
        /// Its format.
        found: u32,
        /// The newest that is read.
        known: u32,
    },
    /// The state is no longer the one that a commit builds on.
    #[error("the state has moved: expected serial {expected}, found {found}{}", by.as_ref().map(|by| format!(" by {by}")).unwrap_or_default())]
    Moved {
        /// The serial that the commit builds on.
        expected: u64,
        /// The serial that is there.
        found: u64,
        /// Who made it, and why.
        by: Option<String>,
    },
    /// There is no such version, or it is no longer kept.
    #[error("serial {0} is not kept")]
    VersionNotFound(u64),
    /// Somebody else is writing.
    #[error("locked by {0}")]
    Locked(String),
}

/// One version of the state.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Rises by one a commit; the first is 1.
    pub serial: u64,
    /// SHA-256 of the text, in hex.
    pub hash: String,
    /// The hash of the version before; empty for the first.
    pub parent: String,
    /// Who made it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When, by its author's clock: Unix time in milliseconds.
    pub at_ms: u64,
    /// The id of the plan that it came from; empty for none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub plan: String,
    /// Parts of the proxies that get it one after the other, in 10,000; empty: all at once.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stages: Vec<u32>,
    /// Least time between two stages, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub pause_ms: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Who commits, why and when, and how it is to be handed out.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommitInfo<'a> {
    /// Who.
    pub author: &'a str,
    /// Why.
    pub reason: &'a str,
    /// Unix time in milliseconds.
    pub at_ms: u64,
    /// The plan that it carries out; empty for none.
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
    /// The newest last; empty before the first commit.
    versions: Vec<Version>,
}

/// The state in a folder.
pub struct Store<F> {
    files: F,
    head: Head,
    /// The format that the head was read in.
    format: u32,
}

impl<F: Files> Store<F> {
    /// Opens what is there; none where nothing has been made.
    pub fn open(files: F) -> Result<Option<Self>, StoreError> {
        Ok(read_head(&files)?.map(|(format, head)| Store { files, head, format }))
    }

    /// Opens what is there, or makes an empty state of this lineage, a random text of the caller's.
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

    /// Made once, with the state.
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

    /// The versions that are kept, the newest last.
    pub fn history(&self) -> &[Version] {
        &self.head.versions
    }

    /// A version's text.
    pub fn text(&self, serial: u64) -> Result<String, StoreError> {
        let version = self.head.versions.iter().find(|version| version.serial == serial);
        let version = version.ok_or(StoreError::VersionNotFound(serial))?;
        let name = state_name(serial);
        let (_, text) =
            read_sealed(&self.files, &name, TEXT_FORMAT)?.ok_or_else(|| damaged(&name, "it is missing"))?;
        if seal::hash(&text) != version.hash {
            return Err(damaged(&name, "it is not the version that the head names"));
        }
        Ok(text)
    }

    /// Makes a new version, on top of the one of this serial and no other. When this returns it is durable; where
    /// it fails the state is the one before, but for a failure in the last step, of which only `open` can say
    /// which of the two it has left. The caller holds the [`Lock`].
    pub fn commit(&mut self, on: u64, text: &str, entry: CommitInfo) -> Result<&Version, StoreError> {
        // Another process may have written since this one has read.
        (self.format, self.head) = read_head(&self.files)?.ok_or_else(|| damaged(HEAD, "it is missing"))?;
        let found = self.serial();
        if found != on {
            let by = self.current().map(|version| format!("{} ({})", version.author, version.reason));
            return Err(StoreError::Moved { expected: on, found, by });
        }
        let version = Version {
            serial: found + 1,
            hash: seal::hash(text),
            parent: self.current().map(|version| version.hash.clone()).unwrap_or_default(),
            author: entry.author.to_owned(),
            reason: entry.reason.to_owned(),
            at_ms: entry.at_ms,
            plan: entry.plan.to_owned(),
            stages: entry.stages.to_vec(),
            pause_ms: entry.pause_ms,
        };
        let name = state_name(version.serial);
        self.write_durably(&name, &seal::seal(MAGIC, TEXT_FORMAT, text))?;
        if self.format < FORMAT {
            let old = self.files.read(HEAD).map_err(|error| file(HEAD, error))?;
            self.write_durably(&format!("{HEAD}.{}", self.format), &old)?;
        }
        self.files.sync_folder().map_err(|error| file(".", error))?;
        let mut head = self.head.clone();
        head.versions.push(version);
        let over = head.versions.len().saturating_sub(MAX_VERSIONS);
        let dropped: Vec<Version> = head.versions.drain(..over).collect();
        write_head(&self.files, &head)?;
        (self.head, self.format) = (head, FORMAT);
        // What is no longer kept may stay where it can't be removed: nothing refers to it.
        for version in dropped {
            let _ = self.files.remove(&state_name(version.serial));
        }
        Ok(&self.head.versions[self.head.versions.len() - 1])
    }

    fn write_durably(&self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        self.files.write(name, bytes).map_err(|error| file(name, error))?;
        self.files.sync(name).map_err(|error| file(name, error))
    }
}

fn state_name(serial: u64) -> String {
    format!("state-{serial:010}")
}

fn file(name: &str, error: io::Error) -> StoreError {
    StoreError::File { file: name.to_owned(), error }
}

fn damaged(name: &str, problem: impl ToString) -> StoreError {
    StoreError::Damaged { file: name.to_owned(), problem: problem.to_string() }
}

/// A sealed file's format and text; none where there is no such file.
fn read_sealed(files: &impl Files, name: &str, known: u32) -> Result<Option<(u32, String)>, StoreError> {
    let bytes = match files.read(name) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(file(name, error)),
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
    files.write(HEAD_NEW, &seal::seal(MAGIC, FORMAT, &text)).map_err(|error| file(HEAD_NEW, error))?;
    files.sync(HEAD_NEW).map_err(|error| file(HEAD_NEW, error))?;
    files.rename(HEAD_NEW, HEAD).map_err(|error| file(HEAD, error))?;
    files.sync_folder().map_err(|error| file(".", error))
}
