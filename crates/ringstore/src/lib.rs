//! Records in a ring of preallocated files. Each record goes whole into the next file, with a sequence number and a
//! checksum, and counts once it is synced. The newest record is never overwritten: a torn write costs only a record
//! that was not acknowledged.
//!
//! Recovery reads all files of the ring, a fixed number, and takes the valid record with the highest sequence number.
//! A record may outgrow its room: its file then grows before anything in it is overwritten, and where there is no place
//! for that, the write fails and the newest record stays where it is.
//!
//! A full disk refuses to write, and never stops reading or recovering.

mod disk;
mod memory;

pub use disk::Folder;
pub use memory::Memory;

use deku::prelude::*;
use quick_error::quick_error;
use std::collections::BTreeSet;
use std::io;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const MAGIC: u32 = 0x52_54_52_31;
/// Files of a ring: the newest record, the one being written, and one to spare.
const FILES: u64 = 3;

quick_error! {
    /// A record that could not be kept.
    #[derive(Debug)]
    pub enum StoreError {
        /// The disk refused.
        Io(error: io::Error) {
            from()
            display("{error}")
        }
        /// The record is longer than a frame may be.
        TooLong(bytes: usize) {
            display("a record of {bytes} bytes")
        }
        /// The header could not be laid out.
        Header(error: DekuError) {
            from()
            display("{error}")
        }
    }
}

/// Files by name: a folder, or memory for tests.
pub trait Files {
    /// The whole content; none where there is no such file.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Writes from the start on, and returns once the content is synced. A file that is new or shorter is made `room`
    /// bytes long first.
    fn write(&self, name: &str, bytes: &[u8], room: usize) -> io::Result<()>;
    /// Returns once the names of all files are synced, so that none is lost with the power. Files that can't be lost
    /// need nothing here.
    fn sync_names(&self) -> io::Result<()> {
        Ok(())
    }
}

#[derive(DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct Header {
    magic: u32,
    length: u32,
    sequence: u64,
    checksum: u64,
}

const HEADER: usize = 24;

/// A ring of records.
pub struct Ring<F> {
    files: F,
    name: &'static str,
    room: usize,
    sequence: u64,
    /// Places whose names this process knows to be synced. One that it finds may have been made by a process that was
    /// killed before that.
    named: BTreeSet<u64>,
}

impl<F: Files> Ring<F> {
    /// The ring of this name, and its newest record.
    pub fn open(files: F, name: &'static str, room: usize) -> Result<(Self, Option<Vec<u8>>), StoreError> {
        let mut newest: Option<(u64, Vec<u8>)> = None;
        for place in 0..FILES {
            let Some(content) = files.read(&file_name(name, place))? else { continue };
            let Some((sequence, record)) = record(&content) else { continue };
            if newest.as_ref().is_none_or(|(other, _)| *other < sequence) {
                newest = Some((sequence, record.to_vec()));
            }
        }
        let sequence = newest.as_ref().map_or(0, |(sequence, _)| *sequence);
        Ok((Ring { files, name, room, sequence, named: BTreeSet::new() }, newest.map(|(_, record)| record)))
    }

    /// Keeps a record: once this returns it is there after any loss of power.
    pub fn append(&mut self, record: &[u8]) -> Result<(), StoreError> {
        let sequence = self.sequence + 1;
        let length = u32::try_from(record.len()).map_err(|_| StoreError::TooLong(record.len()))?;
        let checksum = xxh3_64_with_seed(record, sequence);
        let mut bytes = Header { magic: MAGIC, length, sequence, checksum }.to_bytes()?;
        bytes.extend_from_slice(record);
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

fn record(content: &[u8]) -> Option<(u64, &[u8])> {
    let (_, header) = Header::from_bytes((content, 0)).ok()?;
    let record = content.get(HEADER..HEADER.checked_add(header.length as usize)?)?;
    let whole = header.magic == MAGIC && header.checksum == xxh3_64_with_seed(record, header.sequence);
    whole.then_some((header.sequence, record))
}
