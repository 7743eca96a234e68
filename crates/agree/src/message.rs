//! Messages between members, as they travel. The library's own parser is never given a stranger's bytes: messages are
//! taken apart here, field by field.

use crate::disk::SnapshotMeta;
use crate::memory::{entry_in, entry_out};
use crate::record::Entry;
use prost::Message as _;
use raft::eraftpb::{ConfState, Message, MessageType, Snapshot};

/// Longest message that is taken, in bytes: a fleet's text, and some room.
pub const MAX_MESSAGE_BYTES: usize = 96 << 20;

/// A message from one member to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerMessage {
    /// Which: the library's number.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// To whom.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// From whom.
    #[prost(uint64, tag = "3")]
    pub from: u64,
    /// The sender's term.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// Of the entry before those that come.
    #[prost(uint64, tag = "5")]
    pub log_term: u64,
    /// Likewise.
    #[prost(uint64, tag = "6")]
    pub index: u64,
    /// What comes.
    #[prost(message, repeated, tag = "7")]
    pub entries: Vec<Entry>,
    /// Up to where the log is agreed.
    #[prost(uint64, tag = "8")]
    pub commit: u64,
    /// That entry's term.
    #[prost(uint64, tag = "9")]
    pub commit_term: u64,
    /// Where a snapshot stands that is to be fetched, as JSON.
    #[prost(string, tag = "10")]
    pub snapshot: String,
    /// The index that a snapshot is asked for.
    #[prost(uint64, tag = "11")]
    pub request_snapshot: u64,
    /// A refusal.
    #[prost(bool, tag = "12")]
    pub reject: bool,
    /// Where the logs may meet.
    #[prost(uint64, tag = "13")]
    pub reject_hint: u64,
    /// What a read is known by.
    #[prost(bytes = "bytes", tag = "14")]
    pub context: bytes::Bytes,
    /// The sender's priority in elections.
    #[prost(sint64, tag = "15")]
    pub priority: i64,
}

/// The library's kinds by their numbers.
const KINDS: [MessageType; 19] = [
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

/// Kinds that a member only tells itself.
const LOCAL: [MessageType; 5] = [
    MessageType::MsgHup,
    MessageType::MsgBeat,
    MessageType::MsgUnreachable,
    MessageType::MsgSnapStatus,
    MessageType::MsgCheckQuorum,
];

impl PeerMessage {
    /// A message of the library's.
    pub(crate) fn from_raft(message: &Message) -> PeerMessage {
        let snapshot = message.snapshot.as_ref().map(|snapshot| &snapshot.data[..]).unwrap_or_default();
        PeerMessage {
            kind: message.msg_type as u32,
            to: message.to,
            from: message.from,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.entries.iter().map(entry_out).collect(),
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

    /// The library's message; none where no member sends such a one to another.
    pub(crate) fn into_raft(self) -> Option<Message> {
        let kind = *KINDS.get(self.kind as usize).filter(|kind| !LOCAL.contains(kind))?;
        // The library would parse a change of members by itself. The leader makes its own.
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
            entries: self.entries.into_iter().map(entry_in).collect::<Vec<_>>().into(),
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
            let place: SnapshotMeta = serde_json::from_str(&self.snapshot).ok()?;
            let mut snapshot = Snapshot::default();
            let meta = snapshot.mut_metadata();
            (meta.index, meta.term) = (place.index, place.term);
            meta.set_conf_state(ConfState::from((place.voters, place.learners)));
            snapshot.data = self.snapshot.into_bytes().into();
            message.set_snapshot(snapshot);
        }
        Some(message)
    }

    /// Where the snapshot stands that this message asks its receiver to take.
    pub fn place(&self) -> Option<SnapshotMeta> {
        let sends = KINDS.get(self.kind as usize) == Some(&MessageType::MsgSnapshot);
        if sends { serde_json::from_str(&self.snapshot).ok() } else { None }
    }

    /// Whether only the newest of its kind is worth sending.
    pub fn is_heartbeat(&self) -> bool {
        let kind = KINDS.get(self.kind as usize);
        matches!(kind, Some(MessageType::MsgHeartbeat | MessageType::MsgHeartbeatResponse))
            && self.context.is_empty()
    }

    /// Its bytes as they travel.
    pub fn size(&self) -> usize {
        self.encoded_len()
    }
}
