//! What a member is remembered to have on disk.

use crate::register::{Ballot, Member};
use deku::prelude::*;

/// The highest ballots that a member has shown to have on disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Watermark {
    /// It has promised this.
    pub promised: Ballot,
    /// It has accepted a value under this.
    pub accepted: Ballot,
}

impl Watermark {
    /// The higher of both, one ballot by itself.
    pub fn highest(&self, other: &Watermark) -> Watermark {
        Watermark {
            promised: self.promised.max(other.promised),
            accepted: self.accepted.max(other.accepted),
        }
    }

    /// Whether any ballot is above the other's.
    pub fn exceeds(&self, other: &Watermark) -> bool {
        self.promised > other.promised || self.accepted > other.accepted
    }
}

/// The reply to a member that asks what is remembered of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct WatermarkReply {
    /// Who had asked.
    pub member: Member,
    /// What is remembered of it; zeros where that is nothing.
    pub remembered: Watermark,
}
