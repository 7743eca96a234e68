//! What a member serves to its peers: it takes messages, gives snapshots, and does what only a leader may.

use super::{Handle, Order, RequestError};
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
/// Who asks, in each call's headers.
pub(super) const LINEAGE: &str = "runtrack-lineage";
pub(super) const FROM: &str = "runtrack-from";
pub(super) const TO: &str = "runtrack-to";
pub(super) const TICKET: &str = "runtrack-ticket";
pub(super) const FOLDER: &str = "runtrack-folder";

/// Bytes of a snapshot in one part.
const PART: usize = 64 << 10;
/// How long a change of members may take at the leader.
const ASK: Duration = Duration::from_secs(10);
/// Longest note, in bytes; of each member so many kinds.
const NOTE_MOST: usize = 4 << 20;
const KINDS_MOST: usize = 16;

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Ack {}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct FetchOut {
    #[prost(string, tag = "1")]
    pub(super) hash: String,
    /// The first byte that is wanted.
    #[prost(uint64, tag = "2")]
    pub(super) from: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Chunk {
    #[prost(bytes = "bytes", tag = "1")]
    pub(super) bytes: bytes::Bytes,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct AskOut {
    #[prost(string, tag = "1")]
    pub(super) text: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct NoteOut {
    #[prost(string, tag = "1")]
    pub(super) kind: String,
    #[prost(string, tag = "2")]
    pub(super) text: String,
}

/// What only a leader may do.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Asked {
    Change { id: String, change: MemberChange },
    Transfer { to: MemberId },
}

/// A member's newest notes by kind, and when they came.
type OfMember = BTreeMap<String, (Instant, String)>;

/// The newest of what members told of each kind.
#[derive(Default)]
pub(crate) struct Notes(Mutex<BTreeMap<MemberId, OfMember>>);

impl Notes {
    pub(crate) fn take(&self, from: MemberId, kind: String, text: String) {
        let mut notes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let of_member = notes.entry(from).or_default();
        if of_member.contains_key(&kind) || of_member.len() < KINDS_MOST {
            of_member.insert(kind, (Instant::now(), text));
        }
    }

    pub(crate) fn of(&self, kind: &str, no_older: Duration) -> BTreeMap<MemberId, String> {
        let notes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = notes.iter().filter_map(|(member, notes)| {
            let (_, text) = notes.get(kind).filter(|(at, _)| at.elapsed() <= no_older)?;
            Some((*member, text.clone()))
        });
        fresh.collect()
    }
}

/// Answers that come through a channel.
type Answers<T> = ReceiverStream<Result<T, Status>>;
type Pinned<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// The service for peers.
#[derive(Clone)]
pub struct PeerService {
    handle: Handle,
}

impl PeerService {
    pub(super) fn new(handle: Handle) -> PeerService {
        PeerService { handle }
    }

    /// Who calls, if it may.
    fn admit(&self, headers: &MetadataMap) -> Result<MemberId, Status> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
        let identity = self.handle.identity();
        if text(LINEAGE) != identity.lineage {
            let what = format!(
                "this is a member of the cluster {}, and the caller belongs to {}: they are two clusters",
                identity.lineage,
                text(LINEAGE)
            );
            return Err(Status::permission_denied(what));
        }
        if text(TO) != identity.member.to_string() {
            let what = format!("this is member {}, and member {} was called", identity.member, text(TO));
            return Err(Status::permission_denied(what));
        }
        let from: MemberId = text(FROM).parse().map_err(|_| Status::invalid_argument("who calls?"))?;
        let view = self.handle.view();
        let Some(state) = &view.state else { return Ok(from) };
        if let Some(removed) = state.removed.get(&from) {
            let what = format!(
                "member {from}, {}, was removed from the cluster at index {}: add a new one in its place",
                removed.name, removed.index
            );
            return Err(Status::not_found(what));
        }
        match state.members.get(&from) {
            Some(member) if member.folder.as_deref().is_some_and(|folder| folder != text(FOLDER)) => {
                let what = format!(
                    "number {from} belongs to another folder, that of {}: a folder that was lost or copied can't take \
                     its place. Remove the member, and add a new one",
                    member.name
                );
                Err(Status::permission_denied(what))
            }
            Some(member) if member.folder.is_none() => {
                if member.ticket != text(TICKET) {
                    let what = format!("the invitation is not that of member {from}");
                    return Err(Status::permission_denied(what));
                }
                let (ticket, folder) = (text(TICKET).to_owned(), text(FOLDER).to_owned());
                self.handle.propose(Command::Seen { member: from, ticket, folder });
                Ok(from)
            }
            // One that this member has not heard of yet.
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
    type Future = Pinned<Result<Self::Response, Infallible>>;

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
                        .streaming(Deliver(peers), request)
                        .await
                }
                PATH_FETCH => {
                    Grpc::new(ProstCodec::<Chunk, FetchOut>::default())
                        .server_streaming(FetchAt(peers), request)
                        .await
                }
                PATH_ASK => {
                    Grpc::new(ProstCodec::<Ack, AskOut>::default()).unary(AskAt(peers), request).await
                }
                PATH_NOTE => {
                    let grpc = Grpc::new(ProstCodec::<Ack, NoteOut>::default());
                    grpc.max_decoding_message_size(NOTE_MOST).unary(NoteAt(peers), request).await
                }
                _ => Status::unimplemented(path).into_http(),
            })
        })
    }
}

struct Deliver(PeerService);

impl StreamingService<PeerMessage> for Deliver {
    type Response = Ack;
    type ResponseStream = Answers<Ack>;
    type Future = Pinned<Result<Response<Answers<Ack>>, Status>>;

    fn call(&mut self, request: Request<Streaming<PeerMessage>>) -> Self::Future {
        let peers = self.0.clone();
        Box::pin(async move {
            let from = peers.admit(request.metadata())?;
            let hello = request.metadata().clone();
            let mut messages = request.into_inner();
            let (give, take) = mpsc::channel(1);
            tokio::spawn(async move {
                let mut known = peers.handle.watch();
                let status = loop {
                    tokio::select! {
                        // It may be removed while it is connected.
                        changed = known.changed() => {
                            if changed.is_err() {
                                break Status::unavailable("the member ends");
                            }
                            if let Err(status) = peers.admit(&hello) {
                                break status;
                            }
                        }
                        message = messages.message() => match message {
                            Ok(Some(message)) if message.from == from => {
                                // Where it is overrun it drops: what matters is sent again.
                                let _ = peers.handle.orders.try_send(Order::Message(message));
                            }
                            Ok(Some(message)) => {
                                let what = format!("member {from} speaks for member {}", message.from);
                                break Status::permission_denied(what);
                            }
                            Ok(None) => break Status::ok("the link has ended"),
                            Err(status) => break status,
                        }
                    }
                };
                let _ = give.send(Err(status)).await;
            });
            Ok(Response::new(Answers::new(take)))
        })
    }
}

struct FetchAt(PeerService);

impl ServerStreamingService<FetchOut> for FetchAt {
    type Response = Chunk;
    type ResponseStream = Answers<Chunk>;
    type Future = Pinned<Result<Response<Answers<Chunk>>, Status>>;

    fn call(&mut self, request: Request<FetchOut>) -> Self::Future {
        let peers = self.0.clone();
        Box::pin(async move {
            let from = peers.admit(request.metadata())?;
            let FetchOut { hash, from: first } = request.into_inner();
            let (reply, text) = oneshot::channel();
            let sent = peers.handle.orders.send(Order::Text { hash, reply }).await;
            sent.map_err(|_| Status::unavailable("the member ends"))?;
            let text = text.await.ok().flatten();
            let text = text.ok_or_else(|| Status::aborted("there is a newer snapshot by now"))?;
            let (give, take) = mpsc::channel(1);
            tokio::spawn(async move {
                let bytes = text.as_bytes().get(first as usize..).unwrap_or_default();
                for part in bytes.chunks(PART) {
                    let part = Chunk { bytes: bytes::Bytes::copy_from_slice(part) };
                    if give.send(Ok(part)).await.is_err() {
                        return;
                    }
                    let _ = peers.handle.orders.try_send(Order::Fetching(from));
                }
            });
            Ok(Response::new(Answers::new(take)))
        })
    }
}

struct AskAt(PeerService);

impl UnaryService<AskOut> for AskAt {
    type Response = Ack;
    type Future = Pinned<Result<Response<Ack>, Status>>;

    fn call(&mut self, request: Request<AskOut>) -> Self::Future {
        let peers = self.0.clone();
        Box::pin(async move {
            peers.admit(request.metadata())?;
            let asked = serde_json::from_str(&request.into_inner().text);
            let asked: Asked = asked.map_err(|e| Status::invalid_argument(e.to_string()))?;
            if !peers.handle.view().is_leader() {
                return Err(Status::unavailable("this member does not lead"));
            }
            match peers.handle.lead(asked, ASK).await {
                Ok(()) => Ok(Response::new(Ack {})),
                Err(RequestError::Refused(why)) => Err(Status::failed_precondition(why)),
                Err(RequestError::OutcomeUnknown) => {
                    Err(Status::unavailable("no majority has answered in time"))
                }
            }
        })
    }
}

struct NoteAt(PeerService);

impl UnaryService<NoteOut> for NoteAt {
    type Response = Ack;
    type Future = Pinned<Result<Response<Ack>, Status>>;

    fn call(&mut self, request: Request<NoteOut>) -> Self::Future {
        let peers = self.0.clone();
        Box::pin(async move {
            let from = peers.admit(request.metadata())?;
            let NoteOut { kind, text } = request.into_inner();
            peers.handle.notes.take(from, kind, text);
            Ok(Response::new(Ack {}))
        })
    }
}
