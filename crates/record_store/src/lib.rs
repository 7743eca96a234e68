//! Records in a ring of preallocated files. Each record goes whole into the next file, with a sequence number and a
//! checksum, and counts once it is synced. The newest record is never overwritten: a torn write costs only a record
//! that was not acknowledged.
//!
//! Recovery reads all files of the ring, a fixed number, and takes the valid record with the highest sequence number.
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
use record::{decode, encode};
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

/// Files by name: a folder, or memory for tests.
pub trait Files {
    /// The whole content of a file; none where it does not exist.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Writes from the start of a file, and returns once the content is synced. A file that is new or shorter than `room`
    /// bytes is extended to that length first.
    fn write(&self, name: &str, bytes: &[u8], room: usize) -> io::Result<()>;
    /// Syncs the folder, so that no file name is lost on power failure. Does nothing by default, for files that can't be
    /// lost.
    fn sync_names(&self) -> io::Result<()> {
        Ok(())
    }
}

/// A ring of records.
pub struct RecordStore<F> {
    files: F,
    name: &'static str,
    room: usize,
    sequence: u64,
    /// Indices of the files whose names this process has synced. An existing file may have been created by a process that
    /// was killed before it synced the name.
    named: BTreeSet<u64>,
}

impl<F: Files> RecordStore<F> {
    /// Opens the ring of this name with files of `room` bytes; returns it with its newest valid record.
    pub fn open(files: F, name: &'static str, room: usize) -> Result<(Self, Option<Vec<u8>>), StoreError> {
        let mut newest: Option<(u64, Vec<u8>)> = None;
        for place in 0..FILES {
            let Some(content) = files.read(&file_name(name, place))? else { continue };
            let Some((sequence, record)) = decode(&content) else { continue };
            if newest.as_ref().is_none_or(|(other, _)| *other < sequence) {
                newest = Some((sequence, record.to_vec()));
            }
        }
        let sequence = newest.as_ref().map_or(0, |(sequence, _)| *sequence);
        Ok((
            RecordStore { files, name, room, sequence, named: BTreeSet::new() },
            newest.map(|(_, record)| record),
        ))
    }

    /// Writes a record; once this returns it survives a power failure.
    pub fn append(&mut self, record: &[u8]) -> Result<(), StoreError> {
        let sequence = self.sequence + 1;
        let bytes = encode(sequence, record)?;
        let place = sequence % FILES;
        // By whole rooms, so that a record that is a little longer each time doesn't make its file grow each time.
        let room = bytes.len().next_multiple_of(self.room.max(1));
        self.files.write(&file_name(self.name, place), &bytes, room)?;
        if !self.named.contains(&place) {
            self.files.sync_names()?;
            self.named.insert(place);
        }
        // A write that failed is tried again in the same file: the newest record stays where it is.
        self.sequence = sequence;
        Ok(())
    }
}

fn file_name(name: &str, place: u64) -> String {
    format!("{name}-{place}.ring")
}
