//! Messages of reads that write nothing: see `QuorumRead` in `runtrack-register`.

use crate::register::{Ballot, Value};
use deku::prelude::*;

/// Asks a member what it has accepted and has on disk. Nothing is promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct InspectRequest {
    /// The incarnation that is meant; another one does not answer for it.
    pub to: u64,
    /// The reader has the value of this ballot: it need not be sent.
    pub have: Ballot,
}

/// What a member answers to that.
#[derive(Clone, Debug, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub enum InspectReply {
    /// It has accepted nothing yet (zero), or a value that the reader has, under this ballot.
    #[deku(id = "1")]
    Accepted(Ballot),
    /// It has accepted this.
    #[deku(id = "2")]
    AcceptedWith {
        /// Under this ballot.
        ballot: Ballot,
        /// The value.
        value: Value,
    },
    /// It is another incarnation.
    #[deku(id = "3")]
    WrongIncarnation,
}
