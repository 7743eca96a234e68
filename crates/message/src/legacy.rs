//! The register's value in its first format, which disks may still hold.

use crate::Blob;
use crate::register::{AppliedRequest, MemberSets, RequestDigest, Value};
use deku::prelude::*;

/// Requests that a value of the first format remembered at most.
const MAX_APPLIED_REQUESTS: usize = 512;

/// An applied request with a digest of 64 bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
struct LegacyAppliedRequest {
    version: u64,
    digest: u64,
}

/// A value without a floor under its applied requests.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct LegacyValue {
    sequence: u64,
    version: u64,
    sets: MemberSets,
    #[deku(assert = "*len <= crate::MAX_LIST")]
    len: u32,
    #[deku(count = "len")]
    applied: Vec<LegacyAppliedRequest>,
    config: Blob,
}

impl From<LegacyValue> for Value {
    /// A table that is full may have dropped any version below its oldest.
    fn from(old: LegacyValue) -> Self {
        let entries = old.applied;
        let oldest = entries.first().map_or(0, |entry| entry.version);
        let floor = if entries.len() < MAX_APPLIED_REQUESTS { 0 } else { oldest.saturating_sub(1) };
        let widen = |entry: &LegacyAppliedRequest| AppliedRequest {
            version: entry.version,
            digest: RequestDigest::from_legacy(entry.digest),
        };
        let applied: Vec<AppliedRequest> = entries.iter().map(widen).collect();
        Value {
            sequence: old.sequence,
            version: old.version,
            sets: old.sets,
            floor,
            applied: applied.into(),
            config: old.config,
        }
    }
}
