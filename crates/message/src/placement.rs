//! Which endpoints hold which prefixes of prompts.

use crate::list;
use deku::prelude::*;

/// A prefix of prompts that was sent to an endpoint, which keeps it for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct PrefixPlacement {
    /// The prefix, by its hash.
    pub prefix: u64,
    /// The endpoint, by the hash of its id.
    pub endpoint: u64,
    /// Tokens of the prefix's last part.
    pub part_tokens: u32,
}

/// Bytes of a [`PrefixPlacement`] on the wire.
pub const PLACEMENT_BYTES: usize = 20;

list! {
    /// Placements of prefixes.
    PrefixPlacements of PrefixPlacement
}
