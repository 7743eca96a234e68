//! Messages by which controllers prove that they reach each other.

use crate::{Ballot, MemberSet};
use deku::prelude::*;

/// The answer to a probe.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct ProbeReply {
    /// The number of the probe.
    pub number: u64,
    /// The ballot of the value that the speaker holds on disk; zero for none.
    pub accepted: Ballot,
    /// Members that the speaker has had no proven contact with for longer than the suspicion time.
    pub unreachable: MemberSet,
}
