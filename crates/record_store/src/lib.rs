//! The newest record of a name, kept in a ring of preallocated files. Each record is written into the next file, with a
//! sequence number and a checksum, and counts once it is synced. The newest record is never overwritten: a torn write costs
//! only a record that was not acknowledged.
//!
//! It is no journal: older records are overwritten in turn and never replayed. `runtrack-controller` keeps a member's
//! promises, values, leaves and placements in one [`RecordStore`] each; what is in a record is theirs.
//!
//! Recovery reads all files of the ring, three, and takes the valid record with the highest sequence number.
//! A record may exceed the preallocated length: its file then grows before anything in it is overwritten. Where the disk
//! has no space for that, the write fails and the newest record is unaffected.
//!
//! On a full disk writes fail; reading and recovery still work.

mod disk;
mod memory;
mod record;

pub use disk::Folder;
pub use memory::Memory;

use deku::DekuError;
use quick_error::quick_error;
use record::{HEADER, decode, encode};
use std::collections::BTreeSet;
use std::io;

/// Files of a ring: the newest record, the one being written, and a spare one.
const FILES: u64 = 3;

quick_error! {
    /// A record could not be stored.
    #[derive(Debug)]
    pub enum StoreError {
        /// A file operation failed.
        Io(error: io::Error) {
            from()
            display("{error}")
        }
        /// The record is longer than the format allows.
        TooLong(bytes: usize) {
            display("a record of {bytes} bytes")
        }
        /// The header could not be encoded.
        Header(error: DekuError) {
            from()
            display("{error}")
        }
    }
}

/// Files by name: a folder, or memory for tests. `tests/contract.rs` has what every implementation must keep.
pub trait Files {
    /// The complete content of a file; none where it does not exist.
    ///
    /// # Errors
    /// Where the file exists and can't be read.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Writes from the start of a file, and returns once the content is synced. A file that is new or shorter than
    /// `preallocated` bytes is extended to that length first, so that a full disk fails before anything is overwritten.
    ///
    /// # Errors
    /// Where the file can't be extended, written or synced; its content may then be torn.
    fn write(&self, name: &str, bytes: &[u8], preallocated: usize) -> io::Result<()>;
    /// Syncs the folder, so that no file name is lost on power failure. Does nothing by default, for files that can't be
    /// lost.
    ///
    /// # Errors
    /// Where the folder can't be synced.
    fn sync_names(&self) -> io::Result<()> {
        Ok(())
    }
}

/// The records of one name, of which the newest counts.
pub struct RecordStore<F> {
    files: F,
    name: &'static str,
    /// Length of a new file in bytes.
    preallocated: usize,
    /// Sequence number of the newest record; 0 before the first.
    sequence: u64,
    /// Indices of the files whose names this process has synced. An existing file may have been created by a process that
    /// was killed before it synced the name.
    named: BTreeSet<u64>,
    /// A write has failed since the newest record: its bytes may be in the file, and would count after a restart.
    has_failed_write: bool,
}

impl<F: Files> RecordStore<F> {
    /// Opens the store of this name, whose files are preallocated to so many bytes; returns it with its newest valid record.
    ///
    /// # Errors
    /// Where a file exists and can't be read. A record that is torn or corrupted is no error: the one before it counts.
    pub fn open(
        files: F,
        name: &'static str,
        preallocated: usize,
    ) -> Result<(Self, Option<Vec<u8>>), StoreError> {
        let mut newest: Option<(u64, Vec<u8>)> = None;
        for index in 0..FILES {
            let Some(content) = files.read(&file_name(name, index))? else { continue };
            let Some((sequence, record)) = decode(&content) else { continue };
            if newest.as_ref().is_none_or(|(other, _)| *other < sequence) {
                newest = Some((sequence, record.to_vec()));
            }
        }
        let sequence = newest.as_ref().map_or(0, |(sequence, _)| *sequence);
        Ok((
            RecordStore {
                files,
                name,
                preallocated,
                sequence,
                named: BTreeSet::new(),
                has_failed_write: false,
            },
            newest.map(|(_, record)| record),
        ))
    }

    /// Writes a record; once this returns it survives a power failure.
    ///
    /// # Errors
    /// Where the record is too long, or the write or a sync fails. The newest record before it is unaffected, and the next
    /// call takes the same file. Until then it is open which of the two counts after a restart: see
    /// [`discard_failed_write`](Self::discard_failed_write).
    pub fn append(&mut self, record: &[u8]) -> Result<(), StoreError> {
        let sequence = self.sequence + 1;
        let bytes = encode(sequence, record)?;
        let index = sequence % FILES;
        // In multiples, so that a record that is a little longer each time doesn't make its file grow each time.
        let length = bytes.len().next_multiple_of(self.preallocated.max(1));
        self.has_failed_write = true; // until the record and its name are synced
        self.files.write(&file_name(self.name, index), &bytes, length)?;
        // After the content, so that a name that survives a power failure never leads to a file without its record.
        if !self.named.contains(&index) {
            self.files.sync_names()?;
            self.named.insert(index);
        }
        // Only now: a write that failed is retried in the same file, and the newest record stays where it is.
        self.sequence = sequence;
        self.has_failed_write = false;
        Ok(())
    }

    /// Overwrites what a write that failed may have left: once this returns, the newest record is the one before it, also
    /// after a restart. Does nothing where the last write did not fail.
    ///
    /// # Errors
    /// Where the write or the sync fails: it is still open which record counts.
    pub fn discard_failed_write(&mut self) -> Result<(), StoreError> {
        if self.has_failed_write {
            let index = (self.sequence + 1) % FILES;
            self.files.write(&file_name(self.name, index), &[0; HEADER], self.preallocated)?;
            self.has_failed_write = false;
        }
        Ok(())
    }
}

/// The names are on deployed disks, and stay.
fn file_name(name: &str, index: u64) -> String {
    format!("{name}-{index}.ring")
}
