//! A configuration as the steps that lead to it from one that the receiver has.

use crate::{Blob, Hashes, list};
use deku::prelude::*;

/// One step of building a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub enum DeltaStep {
    /// Chunks of the base follow.
    #[deku(id = "1")]
    Copy {
        /// Index of the first one.
        first: u32,
        /// How many.
        count: u32,
    },
    /// The next of the inserted bytes follow.
    #[deku(id = "2")]
    Insert {
        /// How many.
        length: u32,
    },
}

list! {
    /// Steps, in order.
    DeltaSteps of DeltaStep
}

/// A configuration, by difference.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct ConfigDelta {
    /// Version that it builds on; 0 where it carries the complete body.
    pub base_version: u64,
    /// Digest of that body.
    pub base_digest: [u8; 16],
    /// Version that it leads to.
    pub version: u64,
    /// Digest of the body that it leads to.
    pub digest: [u8; 16],
    /// Length of that body in bytes.
    pub length: u32,
    /// The steps.
    pub steps: DeltaSteps,
    /// The bytes that the steps insert, one after another, compressed with DEFLATE (RFC 1951).
    pub inserted: Blob,
}

impl ConfigDelta {
    /// How many bytes its steps insert; nothing where that is beyond all bounds.
    pub fn inserted_length(&self) -> Option<usize> {
        let inserted = self.steps.items().iter().map(|step| match step {
            DeltaStep::Copy { .. } => 0,
            DeltaStep::Insert { length } => *length as usize,
        });
        inserted.into_iter().try_fold(0_usize, |sum, length| sum.checked_add(length))
    }
}

/// The chunks of the configuration that the speaker has: the other side no longer remembers that version.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct ChunkDigests {
    /// Its version.
    pub version: u64,
    /// Digest of the complete body.
    pub digest: [u8; 16],
    /// Digests of the chunks, in order.
    pub chunks: Hashes,
}
