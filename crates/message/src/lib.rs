//! The fleet's own wire. Each frame on a link is one [`Message`], encoded by `deku`, little-endian, behind a length
//! that the link bounds before it allocates anything. Every list inside states its length and is bounded too.
//!
//! A link begins with a [`Hello`] in both directions, which carries [`WIRE_VERSION`]. A process reads messages of its
//! own version; a frame that it can't read ends the link (see [`decode`]). Processes of different versions do no harm
//! beside each other, and no work together either: `docs/design/control-state.md` says how a fleet changes over.

mod config_delta;
mod contact;
mod endpoint;
mod inspect;
mod legacy;
mod placement;
mod register;
mod watermark;

pub use config_delta::{ChunkDigests, ConfigDelta, DeltaStep, DeltaSteps};
pub use contact::ProbeReply;
pub use endpoint::{Endpoint, EndpointState, Model};
pub use inspect::{InspectReply, InspectRequest};
pub use legacy::LegacyValue;
pub use placement::{PLACEMENT_BYTES, PrefixPlacement, PrefixPlacements};
pub use register::{
    AppliedRequest, AppliedRequests, Ballot, DIGEST_BYTES, Member, MemberSet, MemberSets, RegisterReply,
    RegisterRequest, RequestDigest, Value,
};
pub use watermark::{Watermark, WatermarkReply};

use deku::prelude::*;
use quick_error::quick_error;

/// Version of the messages.
pub const WIRE_VERSION: u16 = 4;
/// The first version whose processes read `Probe`, `ProbeReply` and `MajorityContact`: older ones are not sent them.
pub const CONTACT_WIRE_VERSION: u16 = 2;
/// The first version whose processes read messages about placements: older ones are not sent them.
pub const PLACEMENT_WIRE_VERSION: u16 = 3;
/// The first version whose processes read configurations by difference: older ones are sent complete bodies.
pub const DELTA_WIRE_VERSION: u16 = 4;
/// The longest frame that is read or written: a configuration of some ten thousand routes.
pub const MAX_FRAME: usize = 16 << 20;
/// The longest text in a message.
pub const MAX_TEXT: u16 = 4096;
/// The longest list in a message.
pub const MAX_LIST: u32 = 65_536;

quick_error! {
    /// A frame that can't be read.
    #[derive(Debug)]
    pub enum MessageError {
        /// It is not a message of a known version.
        Malformed(error: DekuError) {
            from()
            display("malformed message: {error}")
        }
        /// Bytes follow the message.
        Trailing(count: usize) {
            display("{count} bytes behind the message")
        }
    }
}

/// A text of at most [`MAX_TEXT`] bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Text {
    #[deku(assert = "*len <= MAX_TEXT")]
    len: u16,
    #[deku(count = "len")]
    bytes: Vec<u8>,
}

impl From<&str> for Text {
    /// Cuts off what is beyond the bound, at a character's edge.
    fn from(text: &str) -> Self {
        let mut end = text.len().min(MAX_TEXT as usize);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        Text { len: end as u16, bytes: text.as_bytes()[..end].to_vec() }
    }
}

impl Text {
    /// The text, with what is not UTF-8 replaced.
    pub fn as_string(&self) -> String {
        String::from_utf8_lossy(&self.bytes).into_owned()
    }
}

/// Bytes with their length before them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Blob {
    #[deku(assert = "*len as usize <= MAX_FRAME")]
    len: u32,
    #[deku(count = "len")]
    bytes: Vec<u8>,
}

impl From<Vec<u8>> for Blob {
    fn from(bytes: Vec<u8>) -> Self {
        Blob { len: bytes.len() as u32, bytes }
    }
}

impl Blob {
    /// The bytes.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    /// The bytes, without a copy.
    pub fn into_vec(self) -> Vec<u8> {
        self.bytes
    }
}

/// A list with its length before it.
macro_rules! list {
    ($(#[$doc:meta])* $name:ident of $item:ty) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
        #[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
        pub struct $name {
            #[deku(assert = "*len <= crate::MAX_LIST")]
            len: u32,
            #[deku(count = "len")]
            items: Vec<$item>,
        }

        impl From<Vec<$item>> for $name {
            fn from(items: Vec<$item>) -> Self {
                $name { len: items.len() as u32, items }
            }
        }

        impl $name {
            /// The items.
            pub fn items(&self) -> &[$item] {
                &self.items
            }

            /// The items, without a copy.
            pub fn into_vec(self) -> Vec<$item> {
                self.items
            }
        }
    };
}
pub(crate) use list;

list! {
    /// Endpoint records.
    Endpoints of Endpoint
}
list! {
    /// Hashes: digests of ranges, or short names of endpoints.
    Hashes of u64
}

/// Prompt tokens that an endpoint has been sent and has not read yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct PendingPrefill {
    /// The endpoint, by the hash of its id.
    pub endpoint: u64,
    /// Tokens.
    pub tokens: u32,
}

list! {
    /// What endpoints have to read.
    Backlog of PendingPrefill
}

/// What kind of process speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub enum Role {
    /// A control member, or one that asks to become a member.
    #[deku(id = "1")]
    Controller,
    /// The agent of an edge machine.
    #[deku(id = "2")]
    Agent,
    /// The proxy of an edge machine.
    #[deku(id = "3")]
    Proxy,
}

/// The first message in each direction.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Hello {
    /// [`WIRE_VERSION`] of who speaks.
    pub wire: u16,
    /// What it is.
    pub role: Role,
    /// Its name in logs.
    pub node: Text,
    /// As a member; zeros for others.
    pub member: Member,
}

/// What a process has, so that the other side sends what differs and nothing else.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Digest {
    /// Version of the configuration it has; 0 for none.
    pub version: u64,
    /// Digest of all its endpoint records.
    pub digest: u64,
}

/// There is a configuration, and these are the members.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct StateSummary {
    /// Version of the configuration; 0 for none.
    pub version: u64,
    /// Sequence number of the register's value that the members are of.
    pub sequence: u64,
    /// The register's members.
    pub members: MemberSet,
    /// Proxies that are alive, as the speaker counts them.
    pub proxies: u32,
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Config {
    /// Its version.
    pub version: u64,
    /// As the operator sent it.
    pub body: Blob,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "little")]
pub enum Message {
    /// Who speaks.
    #[deku(id = "1")]
    Hello(Hello),
    /// What it has.
    #[deku(id = "2")]
    Digest(Digest),
    /// What there is.
    #[deku(id = "3")]
    StateSummary(StateSummary),
    /// Asks for the configuration, if it is newer than this version.
    #[deku(id = "4")]
    Fetch(u64),
    /// The configuration.
    #[deku(id = "5")]
    Config(Config),
    /// Records that changed or that the other side may lack.
    #[deku(id = "6")]
    Entries(Endpoints),
    /// Records that must be acknowledged by this number: an endpoint waits for it.
    #[deku(id = "7")]
    Confirm(u64, Endpoints),
    /// The records of that number are merged.
    #[deku(id = "8")]
    Confirmed(u64),
    /// Endpoints that no member has heard of for too long, by the hash of their id: all of them, at the moment.
    #[deku(id = "9")]
    Suspects(Hashes),
    /// A request to a member of the register, with the number that its reply carries.
    #[deku(id = "10")]
    Request(u64, RegisterRequest),
    /// Its reply.
    #[deku(id = "11")]
    Reply(u64, RegisterReply),
    /// The value accepted under this ballot is chosen.
    #[deku(id = "12")]
    Commit(Ballot),
    /// The speaker asks to become a member.
    #[deku(id = "13")]
    Join(Member),
    /// The speaker is about to leave for good.
    #[deku(id = "14")]
    Leave(Member),
    /// A keep-alive.
    #[deku(id = "15")]
    Ping,
    /// Endpoints that the speaking member has heard itself, for the other members.
    #[deku(id = "16")]
    HeartbeatRelay(Hashes),
    /// Digests over ranges of the speaker's endpoint records: the other side's digest of all was another one.
    #[deku(id = "17")]
    RangeDigests(Hashes),
    /// What endpoints have to read of the speaking proxy's requests.
    #[deku(id = "18")]
    OwnBacklog(Backlog),
    /// What they have to read of all proxies' requests.
    #[deku(id = "19")]
    FleetBacklog(Backlog),
    /// Asks another controller to answer at once, with the number that its answer carries.
    #[deku(id = "20")]
    Probe(u64),
    /// Its answer.
    #[deku(id = "21")]
    ProbeReply(ProbeReply),
    /// Whether the speaking controller is in contact with a majority of the members.
    #[deku(id = "22")]
    MajorityContact(bool),
    /// A controller that has started with records on its disk asks what the other remembers of it as this member.
    #[deku(id = "23")]
    Watermark(Member),
    /// The answer.
    #[deku(id = "24")]
    WatermarkReply(WatermarkReply),
    /// Asks a member of the register what it has accepted, with the number that its reply carries.
    #[deku(id = "25")]
    Inspect(u64, InspectRequest),
    /// Its reply.
    #[deku(id = "26")]
    InspectReply(u64, InspectReply),
    /// Prefixes that proxies have placed: of one proxy on the way to a controller, of all on the way back.
    #[deku(id = "27")]
    Placements(PrefixPlacements),
    /// Asks a controller for all placements that it has heard of.
    #[deku(id = "28")]
    FetchPlacements,
    /// Whether the speaking controller has heard of all placements that matter; behind those that were asked for.
    #[deku(id = "29")]
    PlacementsComplete(bool),
    /// The configuration, by difference to the one that was named in [`Message::Fetch`], or complete and compressed.
    #[deku(id = "30")]
    ConfigDelta(ConfigDelta),
    /// The speaker no longer remembers the configuration of this version: it asks for the digests of its chunks.
    #[deku(id = "31")]
    FetchChunkDigests(u64),
    /// Those digests.
    #[deku(id = "32")]
    ChunkDigests(ChunkDigests),
}

/// A message as the payload of a frame.
pub fn encode(message: &Message) -> Result<Vec<u8>, MessageError> {
    Ok(message.to_bytes()?)
}

/// The message in a frame.
pub fn decode(frame: &[u8]) -> Result<Message, MessageError> {
    let ((rest, _), message) = Message::from_bytes((frame, 0))?;
    if rest.is_empty() { Ok(message) } else { Err(MessageError::Trailing(rest.len())) }
}
