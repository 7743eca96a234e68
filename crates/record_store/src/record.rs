//! The bytes of a record in its file: a header of 24 bytes, little-endian, then the record. What follows up to the file's
//! end is left of a longer record or of preallocation, and ignored. `tests/fixtures/folder` has such files.

use crate::StoreError;
use deku::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// First four bytes of a file with a record: `1RTR`.
const MAGIC: u32 = 0x52_54_52_31;
/// Length of a [`Header`] in bytes.
pub(crate) const HEADER: usize = 24;

#[derive(DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct Header {
    magic: u32,
    /// Bytes of the record.
    length: u32,
    sequence: u64,
    /// xxh3 of the record, seeded with the sequence number: a header torn off another record doesn't fit.
    checksum: u64,
}

/// The bytes of a file with this record.
///
/// # Errors
/// Where the record is longer than a length of 32 bits says.
pub(crate) fn encode(sequence: u64, record: &[u8]) -> Result<Vec<u8>, StoreError> {
    let length = u32::try_from(record.len()).map_err(|_| StoreError::TooLong(record.len()))?;
    let checksum = xxh3_64_with_seed(record, sequence);
    let mut bytes = Header { magic: MAGIC, length, sequence, checksum }.to_bytes()?;
    bytes.extend_from_slice(record);
    Ok(bytes)
}

/// The record in a file with its sequence number; none where it is torn, corrupted or missing.
pub(crate) fn decode(content: &[u8]) -> Option<(u64, &[u8])> {
    let (_, header) = Header::from_bytes((content, 0)).ok()?;
    let record = content.get(HEADER..HEADER.checked_add(header.length as usize)?)?;
    let is_valid = header.magic == MAGIC && header.checksum == xxh3_64_with_seed(record, header.sequence);
    is_valid.then_some((header.sequence, record))
}
