//! The records of a member's disk, little-endian. `recovery.rs` makes an acceptor of them; `runtrack-record-store` adds
//! checksum and sequence number. `tests/fixtures/member_disk` has their bytes: a format may be added, none changed.

use deku::prelude::*;
use runtrack_message::{Ballot, LegacyValue, Value};

/// A promise as it is stored on disk, 24 bytes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(endian = "little")]
pub struct PromiseRecord {
    /// The member's incarnation when it promised.
    pub incarnation: u64,
    /// The highest ballot that it has promised.
    pub promised: Ballot,
}

/// First bytes of a value's record. A record of the first format begins with an incarnation instead, which is 0 or drawn
/// from 64 bits.
const VALUE_MAGIC: &[u8] = b"RTVALUE2";

/// An accepted value as it is stored on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(endian = "little", magic = b"RTVALUE2")]
pub struct ValueRecord {
    /// The member's incarnation when it accepted.
    pub incarnation: u64,
    /// The ballot that the value was accepted under.
    pub ballot: Ballot,
    /// The value.
    pub value: Value,
}

/// A value's record in the first format.
#[derive(DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct LegacyValueRecord {
    incarnation: u64,
    ballot: Ballot,
    value: LegacyValue,
}

impl PromiseRecord {
    /// Decodes a record.
    ///
    /// # Errors
    /// Where the bytes are too short.
    pub fn read(bytes: &[u8]) -> Result<Self, DekuError> {
        Ok(PromiseRecord::from_bytes((bytes, 0))?.1)
    }
}

impl ValueRecord {
    /// Decodes a record of this format or of the first.
    ///
    /// # Errors
    /// Where the bytes are too short for their lengths, or a length exceeds its bound.
    pub fn read(bytes: &[u8]) -> Result<Self, DekuError> {
        if bytes.starts_with(VALUE_MAGIC) {
            return Ok(ValueRecord::from_bytes((bytes, 0))?.1);
        }
        let (_, old) = LegacyValueRecord::from_bytes((bytes, 0))?;
        Ok(ValueRecord { incarnation: old.incarnation, ballot: old.ballot, value: old.value.into() })
    }
}
