//! What a member keeps on its disk.

use deku::prelude::*;
use runtrack_message::{Ballot, LegacyValue, Value};

/// A promise as it is kept on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(endian = "little")]
pub struct PromiseRecord {
    /// Who promised.
    pub incarnation: u64,
    /// What.
    pub promised: Ballot,
}

/// First bytes of a value's record. A record of the first format begins with an incarnation instead, which is 0 or drawn
/// from 64 bits.
const VALUE_MAGIC: &[u8] = b"RTVALUE2";

/// An accepted value as it is kept on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(endian = "little", magic = b"RTVALUE2")]
pub struct ValueRecord {
    /// Who accepted it.
    pub incarnation: u64,
    /// Under which ballot.
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
    /// Reads a record.
    pub fn read(bytes: &[u8]) -> Result<Self, DekuError> {
        Ok(PromiseRecord::from_bytes((bytes, 0))?.1)
    }
}

impl ValueRecord {
    /// Reads a record of this format or of the first.
    pub fn read(bytes: &[u8]) -> Result<Self, DekuError> {
        if bytes.starts_with(VALUE_MAGIC) {
            return Ok(ValueRecord::from_bytes((bytes, 0))?.1);
        }
        let (_, old) = LegacyValueRecord::from_bytes((bytes, 0))?;
        Ok(ValueRecord { incarnation: old.incarnation, ballot: old.ballot, value: old.value.into() })
    }
}
