//! Outgoing links to the other members: each has a bounded queue and reconnects on its own, and none blocks another.

use super::server::{Ack, AskRequest, Chunk, FetchRequest};
use super::server::{
    FOLDER_HEADER, FROM_HEADER, LINEAGE_HEADER, LeaderRequest, NoteRequest, PATH_ASK, PATH_DELIVER,
    PATH_FETCH, PATH_NOTE, TICKET_HEADER, TO_HEADER,
};
use super::{Event, RequestError};
use crate::command::MemberId;
use crate::disk::{Identity, SnapshotMeta};
use crate::message::{MAX_MESSAGE_BYTES, PeerMessage};
use crate::node::SnapshotFetch;
use http::uri::PathAndQuery;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::runtime::Handle as Runtime;
use tokio::sync::{Notify, mpsc};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;
use tonic::metadata::MetadataMap;
use tonic::transport::{Channel, ClientTlsConfig, Endpoint};
use tonic::{Code, Request, Status};
use tonic_prost::ProstCodec;

/// Limits of a link's queue, in messages and in bytes. Beyond them the newest message is dropped; Raft retransmits what
/// is still needed.
const MAX_QUEUED_MESSAGES: usize = 1_024;
const MAX_QUEUED_BYTES: usize = 16 << 20;
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Reconnect delay: the initial one, which doubles up to the maximum.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);
/// HTTP/2 keep-alive interval, which detects peers whose machine has failed.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a keep-alive answer after which a connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of one chunk of a snapshot, after which the rest is requested again.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(3);
/// Attempts at fetching a snapshot, after which the fetch fails until the snapshot is offered again.
const MAX_FETCH_ATTEMPTS: u32 = 20;

/// Status of a link.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LinkStatus {
    /// Address of the member.
    pub address: String,
    /// Whether a connection is established.
    pub connected: bool,
    /// Why the last connection attempt failed, or the last connection ended.
    pub problem: Option<String>,
    /// Number of messages dropped since the process started.
    pub dropped: u64,
}

#[derive(Default)]
struct Queue {
    messages: VecDeque<PeerMessage>,
    bytes: usize,
}

/// A link to one member.
struct Link {
    queue: Mutex<Queue>,
    notify: Notify,
    status: Mutex<LinkStatus>,
    channel: Mutex<Option<Channel>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Link {
    fn new(address: &str) -> Link {
        Link {
            queue: Mutex::default(),
            notify: Notify::new(),
            status: Mutex::new(LinkStatus { address: address.to_owned(), ..LinkStatus::default() }),
            channel: Mutex::default(),
        }
    }

    /// Appends a message to the queue; returns whether it was dropped.
    fn push(&self, message: PeerMessage) -> bool {
        let mut queue = lock(&self.queue);
        if message.is_heartbeat() {
            // A heartbeat supersedes the queued ones of its kind.
            let mut removed_bytes = 0;
            queue.messages.retain(|old| {
                let is_kept = old.kind != message.kind || !old.is_heartbeat();
                removed_bytes += if is_kept { 0 } else { old.size() };
                is_kept
            });
            queue.bytes -= removed_bytes;
        }
        let size = message.size();
        if queue.messages.len() >= MAX_QUEUED_MESSAGES || queue.bytes + size > MAX_QUEUED_BYTES.max(size) {
            drop(queue);
            lock(&self.status).dropped += 1;
            return true;
        }
        queue.bytes += size;
        queue.messages.push_back(message);
        drop(queue);
        self.notify.notify_one();
        false
    }

    async fn next(&self) -> PeerMessage {
        loop {
            let notified = self.notify.notified();
            {
                let mut queue = lock(&self.queue);
                if let Some(message) = queue.messages.pop_front() {
                    queue.bytes -= message.size();
                    return message;
                }
            }
            notified.await;
        }
    }

    fn clear(&self) {
        *lock(&self.queue) = Queue::default();
    }
}

struct RunningLink {
    link: Arc<Link>,
    task: AbortHandle,
}

impl Drop for RunningLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The links to all other members.
pub(crate) struct Links {
    identity: Arc<Identity>,
    tls: Option<ClientTlsConfig>,
    events: mpsc::Sender<Event>,
    /// Links run on the service's runtime, not on the node's thread.
    runtime: Runtime,
    running: Mutex<BTreeMap<MemberId, RunningLink>>,
}

impl Links {
    pub(crate) fn new(
        identity: Arc<Identity>,
        tls: Option<ClientTlsConfig>,
        events: mpsc::Sender<Event>,
    ) -> Links {
        Links { identity, tls, events, runtime: Runtime::current(), running: Mutex::default() }
    }

    /// Opens links to new members and closes those to members that are gone or have moved.
    pub(crate) fn set_members(self: &Arc<Self>, members: &BTreeMap<MemberId, String>) {
        let mut running = lock(&self.running);
        running.retain(|member, running| {
            members.get(member).is_some_and(|at| *at == lock(&running.link.status).address)
        });
        for (&member, address) in members {
            if member == self.identity.member || running.contains_key(&member) {
                continue;
            }
            let link = Arc::new(Link::new(address));
            let task = self.runtime.spawn(maintain(self.clone(), member, link.clone())).abort_handle();
            running.insert(member, RunningLink { link, task });
        }
    }

    /// Queues a message; returns false if it was dropped, so that the node can be told.
    pub(crate) fn send(&self, message: PeerMessage) -> bool {
        let running = lock(&self.running);
        running.get(&message.to).is_some_and(|running| !running.link.push(message))
    }

    pub(crate) fn statuses(&self) -> BTreeMap<MemberId, LinkStatus> {
        lock(&self.running)
            .iter()
            .map(|(member, running)| (*member, lock(&running.link.status).clone()))
            .collect()
    }

    fn call_metadata(&self, to: MemberId) -> MetadataMap {
        let mut metadata = MetadataMap::new();
        let Identity { lineage, member, ticket, folder, .. } = &*self.identity;
        let (from, to) = (member.to_string(), to.to_string());
        for (name, value) in [
            (LINEAGE_HEADER, lineage),
            (FROM_HEADER, &from),
            (TO_HEADER, &to),
            (TICKET_HEADER, ticket),
            (FOLDER_HEADER, folder),
        ] {
            if let Ok(value) = value.parse() {
                metadata.insert(name, value);
            }
        }
        metadata
    }

    async fn connect(&self, address: &str) -> Result<Channel, String> {
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        let endpoint = Endpoint::from_shared(format!("{scheme}://{address}")).map_err(|e| e.to_string())?;
        let endpoint = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .keep_alive_while_idle(true);
        let endpoint = match &self.tls {
            Some(tls) => endpoint.tls_config(tls.clone()).map_err(|e| e.to_string())?,
            None => endpoint,
        };
        match timeout(CONNECT_TIMEOUT, endpoint.connect()).await {
            Ok(channel) => channel.map_err(|problem| root_cause(&problem)),
            Err(_) => Err(format!("no connection within {CONNECT_TIMEOUT:?}")),
        }
    }

    fn channel(&self, member: MemberId) -> Option<Channel> {
        let running = lock(&self.running);
        running.get(&member).and_then(|running| lock(&running.link.channel).clone())
    }

    /// Sends a leader-only request to another member.
    pub(crate) async fn ask(
        &self,
        member: MemberId,
        request: &LeaderRequest,
        within: Duration,
    ) -> Result<(), RequestError> {
        let Some(channel) = self.channel(member) else { return Err(RequestError::OutcomeUnknown) };
        let text = serde_json::to_string(request).unwrap_or_default(); // only fails for non-string map keys
        let mut request =
            Request::from_parts(self.call_metadata(member), Default::default(), AskRequest { text });
        request.set_timeout(within);
        let mut client = tonic::client::Grpc::new(channel);
        let answer = async {
            client.ready().await.map_err(|_| RequestError::OutcomeUnknown)?;
            let codec = ProstCodec::<AskRequest, Ack>::default();
            let answer = client.unary(request, PathAndQuery::from_static(PATH_ASK), codec).await;
            answer.map(|_| ()).map_err(|status| match status.code() {
                Code::FailedPrecondition => RequestError::Refused(status.message().to_owned()),
                _ => RequestError::OutcomeUnknown,
            })
        };
        timeout(within, answer).await.unwrap_or(Err(RequestError::OutcomeUnknown))
    }

    /// Sends a note if a connection is established.
    pub(crate) fn note(&self, member: MemberId, kind: String, text: String) {
        let Some(channel) = self.channel(member) else { return };
        let mut request =
            Request::from_parts(self.call_metadata(member), Default::default(), NoteRequest { kind, text });
        request.set_timeout(CONNECT_TIMEOUT);
        self.runtime.spawn(timeout(CONNECT_TIMEOUT, async move {
            let mut client = tonic::client::Grpc::new(channel);
            client.ready().await.ok()?;
            let codec = ProstCodec::<NoteRequest, Ack>::default();
            client.unary(request, PathAndQuery::from_static(PATH_NOTE), codec).await.ok()
        }));
    }

    /// Fetches a snapshot's text in chunks, resuming after broken connections, and passes it to the worker.
    pub(crate) fn fetch(self: &Arc<Self>, fetch: SnapshotFetch) {
        let links = self.clone();
        self.runtime.spawn(async move {
            let fetched = links.fetch_all(&fetch).await;
            let _ = links.events.send(Event::SnapshotFetched(fetched)).await;
        });
    }

    async fn fetch_all(&self, fetch: &SnapshotFetch) -> Result<String, String> {
        let SnapshotMeta { size, hash, .. } = &fetch.snapshot;
        if *size > MAX_MESSAGE_BYTES as u64 {
            return Err(format!("a snapshot of {size} bytes is too large"));
        }
        let mut bytes: Vec<u8> = Vec::new();
        let mut problem = String::new();
        for _ in 0..MAX_FETCH_ATTEMPTS {
            let before = bytes.len();
            if let Err(why) = self.fetch_rest(fetch.from, hash, *size, &mut bytes).await {
                problem = why;
            }
            if bytes.len() as u64 >= *size {
                return String::from_utf8(bytes).map_err(|_| "it is no text".to_owned());
            }
            if bytes.len() == before {
                sleep(MAX_RECONNECT_DELAY / 4).await;
            }
        }
        Err(format!("{} of {size} bytes came: {problem}", bytes.len()))
    }

    async fn fetch_rest(
        &self,
        from: MemberId,
        hash: &str,
        size: u64,
        bytes: &mut Vec<u8>,
    ) -> Result<(), String> {
        let channel = self.channel(from).ok_or("there is no connection")?;
        let mut client = tonic::client::Grpc::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let fetch_request = FetchRequest { hash: hash.to_owned(), from: bytes.len() as u64 };
        let request = Request::from_parts(self.call_metadata(from), Default::default(), fetch_request);
        let open_stream = async {
            client.ready().await.map_err(|problem| root_cause(&problem))?;
            let codec = ProstCodec::<FetchRequest, Chunk>::default();
            let stream =
                client.server_streaming(request, PathAndQuery::from_static(PATH_FETCH), codec).await;
            stream.map_err(|status| status.message().to_owned())
        };
        let mut chunks =
            timeout(CHUNK_TIMEOUT, open_stream).await.map_err(|_| "it does not answer")??.into_inner();
        while (bytes.len() as u64) < size {
            let chunk = timeout(CHUNK_TIMEOUT, chunks.message()).await.map_err(|_| "it fell silent")?;
            match chunk.map_err(|status| status.message().to_owned())? {
                Some(chunk) => bytes.extend_from_slice(&chunk.bytes),
                None => break,
            }
        }
        Ok(())
    }
}

/// The root cause of an error; the outermost text is only `transport error`.
fn root_cause(problem: &dyn std::error::Error) -> String {
    let mut error = problem;
    while let Some(source) = error.source() {
        error = source;
    }
    error.to_string()
}

/// Connects and reconnects a link until its task is aborted.
async fn maintain(links: Arc<Links>, member: MemberId, link: Arc<Link>) {
    let mut delay = RECONNECT_DELAY;
    loop {
        let address = lock(&link.status).address.clone();
        let problem = match links.connect(&address).await {
            Err(problem) => problem,
            Ok(channel) => {
                *lock(&link.channel) = Some(channel.clone());
                let (accepted, status) = deliver(&links, member, &link, channel).await;
                *lock(&link.channel) = None;
                if accepted {
                    delay = RECONNECT_DELAY;
                }
                if status.code() == Code::NotFound {
                    // The peer knows that this member was removed.
                    let _ = links.events.send(Event::Removed(status.message().to_owned())).await;
                }
                status.message().to_owned()
            }
        };
        {
            let mut status = lock(&link.status);
            (status.connected, status.problem) = (false, Some(problem));
        }
        // Queued messages would be stale by the time the link is connected again.
        link.clear();
        let _ = links.events.send(Event::LinkLost(member)).await;
        sleep(delay).await;
        delay = (delay * 2).min(MAX_RECONNECT_DELAY);
    }
}

/// Sends queued messages until the connection ends. Returns whether the peer had accepted the stream, and why it ended.
async fn deliver(
    links: &Arc<Links>,
    member: MemberId,
    link: &Arc<Link>,
    channel: Channel,
) -> (bool, Status) {
    let (sender, receiver) = mpsc::channel(1);
    let forward = {
        let link = link.clone();
        async move {
            loop {
                let message = link.next().await;
                if sender.send(message).await.is_err() {
                    return;
                }
            }
        }
    };
    let mut client = tonic::client::Grpc::new(channel).max_encoding_message_size(2 * MAX_MESSAGE_BYTES);
    if let Err(problem) = client.ready().await {
        return (false, Status::unavailable(root_cause(&problem)));
    }
    let request =
        Request::from_parts(links.call_metadata(member), Default::default(), ReceiverStream::new(receiver));
    let codec = ProstCodec::<PeerMessage, Ack>::default();
    // The peer accepts the stream by sending response headers, and ends it only when the link ends.
    let answer = client.streaming(request, PathAndQuery::from_static(PATH_DELIVER), codec);
    let responses = async {
        let mut acks = match answer.await {
            Ok(answer) => answer.into_inner(),
            Err(status) => return (false, status),
        };
        {
            let mut status = lock(&link.status);
            (status.connected, status.problem) = (true, None);
        }
        loop {
            match acks.message().await {
                Ok(Some(_)) => {}
                Ok(None) => return (true, Status::unavailable("it has ended the link")),
                Err(status) => return (true, status),
            }
        }
    };
    tokio::select! {
        result = responses => result,
        () = forward => (true, Status::unavailable("the link has ended")),
    }
}
