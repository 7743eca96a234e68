//! Messages of the register: prepare and accept with their replies.

use crate::{Blob, list};
use deku::prelude::*;
use std::net::{Ipv4Addr, SocketAddrV4};

/// A member of the register: an address and an incarnation. A process that comes back with an empty disk is another
/// member at the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Member {
    ip: u32,
    port: u16,
    /// 0 for the members of the first boot, drawn by lot for others.
    pub incarnation: u64,
}

impl Member {
    /// A member at this address.
    pub fn new(address: SocketAddrV4, incarnation: u64) -> Self {
        Member { ip: (*address.ip()).into(), port: address.port(), incarnation }
    }

    /// Nobody, as a process says that is no controller.
    pub fn none() -> Self {
        Member { ip: 0, port: 0, incarnation: 0 }
    }

    /// Where it listens for other processes of the fleet.
    pub fn address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.ip), self.port)
    }
}

list! {
    /// Members, in order.
    #[derive(Hash)]
    MemberSet of Member
}
list! {
    /// The sets of members at each of which a majority must accept: one, or two while membership changes.
    #[derive(Hash)]
    MemberSets of MemberSet
}
list! {
    /// Configurations that were taken.
    #[derive(Hash)]
    AppliedRequests of AppliedRequest
}

/// Orders proposals. The second part is drawn at each start of a process, so no ballot is ever used twice, not even
/// by a process that has forgotten which ones it used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Ballot {
    /// Higher wins.
    pub round: u64,
    /// Whose it is.
    pub boot: u64,
}

/// Bytes of a [`RequestDigest`].
pub const DIGEST_BYTES: usize = 16;

/// Tells a request from every other one under the same version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct RequestDigest(pub [u8; DIGEST_BYTES]);

impl RequestDigest {
    /// A digest of the 64 bits that values had before.
    pub fn from_legacy(digest: u64) -> Self {
        let mut bytes = [0; DIGEST_BYTES];
        bytes[..8].copy_from_slice(&digest.to_le_bytes());
        RequestDigest(bytes)
    }
}

/// A configuration that was taken: an order that comes again is acknowledged again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct AppliedRequest {
    /// Its version.
    pub version: u64,
    /// Digest of its body and of the version that it builds on.
    pub digest: RequestDigest,
}

/// What the register holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Value {
    /// One more than the value before it.
    pub sequence: u64,
    /// Version of the configuration; 0 before the first.
    pub version: u64,
    /// Who must accept.
    pub sets: MemberSets,
    /// The highest version that was ever dropped from `applied`; 0 for none.
    pub floor: u64,
    /// What was taken last, oldest first.
    pub applied: AppliedRequests,
    /// The configuration as the operator sent it.
    pub config: Blob,
}

/// What a proposer asks of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub enum RegisterRequest {
    /// Take nothing below this ballot any more, and say what you have accepted.
    #[deku(id = "1")]
    Prepare {
        /// The incarnation that is meant; another one does not answer for it.
        to: u64,
        /// The ballot.
        ballot: Ballot,
        /// The proposer has the value of this ballot: it need not be sent.
        have: Ballot,
    },
    /// Accept this value. (2 was the same with a value of the first format.)
    #[deku(id = "3")]
    Accept {
        /// The incarnation that is meant.
        to: u64,
        /// The ballot.
        ballot: Ballot,
        /// The value.
        value: Value,
    },
}

impl RegisterRequest {
    /// The ballot of the round that it belongs to.
    pub fn ballot(&self) -> Ballot {
        match self {
            RegisterRequest::Prepare { ballot, .. } | RegisterRequest::Accept { ballot, .. } => *ballot,
        }
    }
}

/// What a member answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub enum RegisterReply {
    /// It has promised, and has accepted nothing yet, or a value that the proposer has.
    #[deku(id = "1")]
    Promised {
        /// The ballot of the request.
        ballot: Ballot,
        /// Ballot of what it has accepted; zero for nothing.
        accepted: Ballot,
    },
    /// It has promised, and has accepted this. (2 was the same with a value of the first format.)
    #[deku(id = "6")]
    PromisedWith {
        /// The ballot of the request.
        ballot: Ballot,
        /// Ballot of what it has accepted.
        accepted: Ballot,
        /// The value.
        value: Value,
    },
    /// It has accepted.
    #[deku(id = "3")]
    Accepted {
        /// The ballot of the request.
        ballot: Ballot,
    },
    /// It has promised a higher ballot.
    #[deku(id = "4")]
    Rejected {
        /// The ballot of the request.
        ballot: Ballot,
        /// What it has promised.
        promised: Ballot,
    },
    /// It is another incarnation, or no member that could promise anything.
    #[deku(id = "5")]
    WrongIncarnation,
}
