//! gRPC service for the other members: receives Raft messages, serves snapshots, and runs leader-only requests.

use super::{Event, Handle, RequestError};
use crate::command::{Command, MemberChange, MemberId};
use crate::message::{MAX_MESSAGE_BYTES, PeerMessage};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;
use tonic::body::Body;
use tonic::metadata::MetadataMap;
use tonic::server::{Grpc, NamedService, ServerStreamingService, StreamingService, UnaryService};
use tonic::{Request, Response, Status, Streaming};
use tonic_prost::ProstCodec;
use tower_service::Service;

pub(super) const PATH_DELIVER: &str = "/runtrack.cluster.v1.Peers/Deliver";
pub(super) const PATH_FETCH: &str = "/runtrack.cluster.v1.Peers/Fetch";
pub(super) const PATH_ASK: &str = "/runtrack.cluster.v1.Peers/Ask";
pub(super) const PATH_NOTE: &str = "/runtrack.cluster.v1.Peers/Note";
/// Headers that identify the caller and the called member in each call.
pub(super) const LINEAGE_HEADER: &str = "runtrack-lineage";
pub(super) const FROM_HEADER: &str = "runtrack-from";
pub(super) const TO_HEADER: &str = "runtrack-to";
pub(super) const TICKET_HEADER: &str = "runtrack-ticket";
pub(super) const FOLDER_HEADER: &str = "runtrack-folder";

/// Size of a snapshot chunk, in bytes.
const CHUNK_BYTES: usize = 64 << 10;
/// Timeout of a leader-only request at the leader.
const LEADER_REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Limits of notes: the maximum size in bytes, and the maximum number of kinds per member.
const MAX_NOTE_BYTES: usize = 4 << 20;
const MAX_NOTE_KINDS: usize = 16;

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Ack {}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct FetchRequest {
    #[prost(string, tag = "1")]
    pub(super) hash: String,
    /// Offset of the first requested byte.
    #[prost(uint64, tag = "2")]
    pub(super) from: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Chunk {
    #[prost(bytes = "bytes", tag = "1")]
    pub(super) bytes: bytes::Bytes,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct AskRequest {
    #[prost(string, tag = "1")]
    pub(super) text: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct NoteRequest {
    #[prost(string, tag = "1")]
    pub(super) kind: String,
    #[prost(string, tag = "2")]
    pub(super) text: String,
}

/// A request that only the leader may run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum LeaderRequest {
    Change { id: String, change: MemberChange },
    Transfer { to: MemberId },
}

/// A member's newest notes by kind, with their time of arrival.
type MemberNotes = BTreeMap<String, (Instant, String)>;

/// The newest note of each kind from each member.
#[derive(Default)]
pub(crate) struct Notes(Mutex<BTreeMap<MemberId, MemberNotes>>);

impl Notes {
    pub(crate) fn insert(&self, from: MemberId, kind: String, text: String) {
        let mut notes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let member_notes = notes.entry(from).or_default();
        if member_notes.contains_key(&kind) || member_notes.len() < MAX_NOTE_KINDS {
            member_notes.insert(kind, (Instant::now(), text));
        }
    }

    pub(crate) fn newest(&self, kind: &str, max_age: Duration) -> BTreeMap<MemberId, String> {
        let notes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = notes.iter().filter_map(|(member, notes)| {
            let (_, text) = notes.get(kind).filter(|(at, _)| at.elapsed() <= max_age)?;
            Some((*member, text.clone()))
        });
        fresh.collect()
    }
}

/// Response stream that is fed through a channel.
type ReplyStream<T> = ReceiverStream<Result<T, Status>>;
type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// The gRPC service that a member's peers call.
#[derive(Clone)]
pub struct PeerService {
    handle: Handle,
}

impl PeerService {
    pub(super) fn new(handle: Handle) -> PeerService {
        PeerService { handle }
    }

    /// Checks the caller's headers, and returns its member id if it is admitted.
    fn admit(&self, headers: &MetadataMap) -> Result<MemberId, Status> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
        let identity = self.handle.identity();
        if text(LINEAGE_HEADER) != identity.lineage {
            let reason = format!(
                "this is a member of the cluster {}, and the caller belongs to {}: they are two clusters",
                identity.lineage,
                text(LINEAGE_HEADER)
            );
            return Err(Status::permission_denied(reason));
        }
        if text(TO_HEADER) != identity.member.to_string() {
            let reason =
                format!("this is member {}, and member {} was called", identity.member, text(TO_HEADER));
            return Err(Status::permission_denied(reason));
        }
        let from: MemberId =
            text(FROM_HEADER).parse().map_err(|_| Status::invalid_argument("who calls?"))?;
        let view = self.handle.view();
        let Some(state) = &view.state else { return Ok(from) };
        if let Some(removed) = state.removed.get(&from) {
            let reason = format!(
                "member {from}, {}, was removed from the cluster at index {}: add a new one in its place",
                removed.name, removed.index
            );
            return Err(Status::not_found(reason));
        }
        match state.members.get(&from) {
            Some(member)
                if member.folder.as_deref().is_some_and(|folder| folder != text(FOLDER_HEADER)) =>
            {
                let reason = format!(
                    "number {from} belongs to another folder, that of {}: a folder that was lost or copied can't take \
                     its place. Remove the member, and add a new one",
                    member.name
                );
                Err(Status::permission_denied(reason))
            }
            Some(member) if member.folder.is_none() => {
                if member.ticket != text(TICKET_HEADER) {
                    let reason = format!("the invitation is not that of member {from}");
                    return Err(Status::permission_denied(reason));
                }
                let (ticket, folder) = (text(TICKET_HEADER).to_owned(), text(FOLDER_HEADER).to_owned());
                self.handle.propose(Command::Seen { member: from, ticket, folder });
                Ok(from)
            }
            // The caller may have been added by an entry that this member has not applied yet.
            _ => Ok(from),
        }
    }
}

impl NamedService for PeerService {
    const NAME: &'static str = "runtrack.cluster.v1.Peers";
}

impl Service<http::Request<Body>> for PeerService {
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = BoxFuture<Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let peers = self.clone();
        let path = request.uri().path().to_owned();
        Box::pin(async move {
            Ok(match path.as_str() {
                PATH_DELIVER => {
                    let grpc = Grpc::new(ProstCodec::<Ack, PeerMessage>::default());
                    grpc.max_decoding_message_size(2 * MAX_MESSAGE_BYTES)
                        .streaming(DeliverHandler(peers), request)
                        .await
                }
                PATH_FETCH => {
                    Grpc::new(ProstCodec::<Chunk, FetchRequest>::default())
                        .server_streaming(FetchHandler(peers), request)
                        .await
                }
                PATH_ASK => {
                    Grpc::new(ProstCodec::<Ack, AskRequest>::default())
                        .unary(AskHandler(peers), request)
                        .await
                }
                PATH_NOTE => {
                    let grpc = Grpc::new(ProstCodec::<Ack, NoteRequest>::default());
                    grpc.max_decoding_message_size(MAX_NOTE_BYTES).unary(NoteHandler(peers), request).await
                }
                _ => Status::unimplemented(path).into_http(),
            })
        })
    }
}

struct DeliverHandler(PeerService);

impl StreamingService<PeerMessage> for DeliverHandler {
    type Response = Ack;
    type ResponseStream = ReplyStream<Ack>;
    type Future = BoxFuture<Result<Response<ReplyStream<Ack>>, Status>>;

    fn call(&mut self, request: Request<Streaming<PeerMessage>>) -> Self::Future {
        let peers = self.0.clone();
        Box::pin(async move {
            let from = peers.admit(request.metadata())?;
            let headers = request.metadata().clone();
            let mut messages = request.into_inner();
            let (sender, receiver) = mpsc::channel(1);
            tokio::spawn(async move {
                let mut view_changes = peers.handle.watch();
                let status = loop {
                    tokio::select! {
                        // The peer may be removed while it is connected.
                        changed = view_changes.changed() => {
                            if changed.is_err() {
                                break Status::unavailable("the member ends");
                            }
                            if let Err(status) = peers.admit(&headers) {
                                break status;
                            }
                        }
                        message = messages.message() => match message {
                            Ok(Some(message)) if message.from == from => {
                                // When the queue is full the message is dropped; Raft retransmits what is needed.
                                let _ = peers.handle.events.try_send(Event::Message(message));
                            }
                            Ok(Some(message)) => {
                                let reason = format!("member {from} speaks for member {}", message.from);
                                break Status::permission_denied(reason);
                            }
                            Ok(None) => break Status::ok("the link has ended"),
                            Err(status) => break status,
                        }
                    }
                };
                let _ = sender.send(Err(status)).await;
            });
            Ok(Response::new(ReplyStream::new(receiver)))
        })
    }
}

struct FetchHandler(PeerService);

impl ServerStreamingService<FetchRequest> for FetchHandler {
    type Response = Chunk;
    type ResponseStream = ReplyStream<Chunk>;
    type Future = BoxFuture<Result<Response<ReplyStream<Chunk>>, Status>>;

    fn call(&mut self, request: Request<FetchRequest>) -> Self::Future {
        let peers = self.0.clone();
        Box::pin(async move {
            let from = peers.admit(request.metadata())?;
            let FetchRequest { hash, from: offset } = request.into_inner();
            let (reply, text) = oneshot::channel();
            let sent = peers.handle.events.send(Event::SnapshotText { hash, reply }).await;
            sent.map_err(|_| Status::unavailable("the member ends"))?;
            let text = text.await.ok().flatten();
            let text = text.ok_or_else(|| Status::aborted("there is a newer snapshot by now"))?;
            let (sender, receiver) = mpsc::channel(1);
            tokio::spawn(async move {
                let bytes = text.as_bytes().get(offset as usize..).unwrap_or_default();
                for chunk in bytes.chunks(CHUNK_BYTES) {
                    let chunk = Chunk { bytes: bytes::Bytes::copy_from_slice(chunk) };
                    if sender.send(Ok(chunk)).await.is_err() {
                        return;
                    }
                    let _ = peers.handle.events.try_send(Event::SnapshotProgress(from));
                }
            });
            Ok(Response::new(ReplyStream::new(receiver)))
        })
    }
}

struct AskHandler(PeerService);

impl UnaryService<AskRequest> for AskHandler {
    type Response = Ack;
    type Future = BoxFuture<Result<Response<Ack>, Status>>;

    fn call(&mut self, request: Request<AskRequest>) -> Self::Future {
        let peers = self.0.clone();
        Box::pin(async move {
            peers.admit(request.metadata())?;
            let leader_request = serde_json::from_str(&request.into_inner().text);
            let leader_request: LeaderRequest =
                leader_request.map_err(|e| Status::invalid_argument(e.to_string()))?;
            if !peers.handle.view().is_leader() {
                return Err(Status::unavailable("this member does not lead"));
            }
            match peers.handle.run_as_leader(leader_request, LEADER_REQUEST_TIMEOUT).await {
                Ok(()) => Ok(Response::new(Ack {})),
                Err(RequestError::Refused(why)) => Err(Status::failed_precondition(why)),
                Err(RequestError::OutcomeUnknown) => {
                    Err(Status::unavailable("no majority has answered in time"))
                }
            }
        })
    }
}

struct NoteHandler(PeerService);

impl UnaryService<NoteRequest> for NoteHandler {
    type Response = Ack;
    type Future = BoxFuture<Result<Response<Ack>, Status>>;

    fn call(&mut self, request: Request<NoteRequest>) -> Self::Future {
        let peers = self.0.clone();
        Box::pin(async move {
            let from = peers.admit(request.metadata())?;
            let NoteRequest { kind, text } = request.into_inner();
            peers.handle.notes.insert(from, kind, text);
            Ok(Response::new(Ack {}))
        })
    }
}
