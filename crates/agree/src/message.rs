//! Wire format of the messages between members. Bytes from the network never reach the raft library's own parser:
//! messages are decoded here, field by field.

use crate::disk::SnapshotMeta;
use crate::memory::{entry_from_raft, entry_to_raft};
use crate::record::Entry;
use prost::Message as _;
use raft::eraftpb::{ConfState, Message, MessageType, Snapshot};

/// Maximum size of a message, in bytes: the text of a fleet, with some headroom.
pub const MAX_MESSAGE_BYTES: usize = 96 << 20;

/// A message from one member to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerMessage {
    /// Message type, as the library numbers them.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Receiver's member id.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Sender's member id.
    #[prost(uint64, tag = "3")]
    pub from: u64,
    /// Sender's term.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// Term of the entry that precedes `entries`.
    #[prost(uint64, tag = "5")]
    pub log_term: u64,
    /// Index of the entry that precedes `entries`.
    #[prost(uint64, tag = "6")]
    pub index: u64,
    /// Log entries to append.
    #[prost(message, repeated, tag = "7")]
    pub entries: Vec<Entry>,
    /// Commit index.
    #[prost(uint64, tag = "8")]
    pub commit: u64,
    /// Term of the entry at the commit index.
    #[prost(uint64, tag = "9")]
    pub commit_term: u64,
    /// Metadata of a snapshot that the receiver is to fetch, as the JSON of a [`SnapshotMeta`].
    #[prost(string, tag = "10")]
    pub snapshot: String,
    /// Index for which a snapshot is requested.
    #[prost(uint64, tag = "11")]
    pub request_snapshot: u64,
    /// Whether the request was rejected.
    #[prost(bool, tag = "12")]
    pub reject: bool,
    /// After a rejected append: the index at which the logs may match.
    #[prost(uint64, tag = "13")]
    pub reject_hint: u64,
    /// Identifies a read request.
    #[prost(bytes = "bytes", tag = "14")]
    pub context: bytes::Bytes,
    /// The sender's priority in elections.
    #[prost(sint64, tag = "15")]
    pub priority: i64,
}

/// The library's message types, indexed by number.
const MESSAGE_TYPES: [MessageType; 19] = [
    MessageType::MsgHup,
    MessageType::MsgBeat,
    MessageType::MsgPropose,
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgUnreachable,
    MessageType::MsgSnapStatus,
    MessageType::MsgCheckQuorum,
    MessageType::MsgTransferLeader,
    MessageType::MsgTimeoutNow,
    MessageType::MsgReadIndex,
    MessageType::MsgReadIndexResp,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
];

/// Message types that a member only sends to itself.
const LOCAL_MESSAGE_TYPES: [MessageType; 5] = [
    MessageType::MsgHup,
    MessageType::MsgBeat,
    MessageType::MsgUnreachable,
    MessageType::MsgSnapStatus,
    MessageType::MsgCheckQuorum,
];

impl PeerMessage {
    /// Converts a message of the library.
    pub(crate) fn from_raft(message: &Message) -> PeerMessage {
        let snapshot = message.snapshot.as_ref().map(|snapshot| &snapshot.data[..]).unwrap_or_default();
        PeerMessage {
            kind: message.msg_type as u32,
            to: message.to,
            from: message.from,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.entries.iter().map(entry_from_raft).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot: String::from_utf8_lossy(snapshot).into_owned(),
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.clone(),
            priority: message.priority,
        }
    }

    /// Converts to the library's message; `None` if members never send such a message to each other.
    pub(crate) fn into_raft(self) -> Option<Message> {
        let kind =
            *MESSAGE_TYPES.get(self.kind as usize).filter(|kind| !LOCAL_MESSAGE_TYPES.contains(kind))?;
        // The library would parse a proposed membership change itself. Only the leader proposes those, locally.
        if kind == MessageType::MsgPropose && self.entries.iter().any(|entry| entry.kind != 0) {
            return None;
        }
        let mut message = Message {
            msg_type: kind,
            to: self.to,
            from: self.from,
            term: self.term,
            log_term: self.log_term,
            index: self.index,
            entries: self.entries.into_iter().map(entry_to_raft).collect::<Vec<_>>().into(),
            commit: self.commit,
            commit_term: self.commit_term,
            request_snapshot: self.request_snapshot,
            reject: self.reject,
            reject_hint: self.reject_hint,
            context: self.context,
            priority: self.priority,
            ..Message::default()
        };
        if kind == MessageType::MsgSnapshot {
            let snapshot_meta: SnapshotMeta = serde_json::from_str(&self.snapshot).ok()?;
            let mut snapshot = Snapshot::default();
            let meta = snapshot.mut_metadata();
            (meta.index, meta.term) = (snapshot_meta.index, snapshot_meta.term);
            meta.set_conf_state(ConfState::from((snapshot_meta.voters, snapshot_meta.learners)));
            snapshot.data = self.snapshot.into_bytes().into();
            message.set_snapshot(snapshot);
        }
        Some(message)
    }

    /// Metadata of the snapshot that this message offers; `None` if it offers none.
    pub fn snapshot_meta(&self) -> Option<SnapshotMeta> {
        let is_snapshot = MESSAGE_TYPES.get(self.kind as usize) == Some(&MessageType::MsgSnapshot);
        if is_snapshot { serde_json::from_str(&self.snapshot).ok() } else { None }
    }

    /// Whether this is a plain heartbeat or its response, which a newer one supersedes.
    pub fn is_heartbeat(&self) -> bool {
        let kind = MESSAGE_TYPES.get(self.kind as usize);
        matches!(kind, Some(MessageType::MsgHeartbeat | MessageType::MsgHeartbeatResponse))
            && self.context.is_empty()
    }

    /// Encoded size in bytes.
    pub fn size(&self) -> usize {
        self.encoded_len()
    }
}
