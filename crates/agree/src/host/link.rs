//! Links to the other members: a bounded queue each, a connection that is made again, and nobody waits for anybody.

use super::server::{Ack, AskOut, Chunk, FetchOut};
use super::server::{
    Asked, FOLDER, FROM, LINEAGE, NoteOut, PATH_ASK, PATH_DELIVER, PATH_FETCH, PATH_NOTE, TICKET, TO,
};
use super::{Order, RequestError};
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

/// Messages that wait for one member at most, and their bytes: beyond them the newest is dropped, and the agreement
/// sends again what is still needed.
const MESSAGES: usize = 1_024;
const BYTES: usize = 16 << 20;
/// A connection that is not up after this long is given up.
const CONNECT: Duration = Duration::from_secs(1);
/// The first wait before another is tried; doubles up to the last.
const AGAIN: Duration = Duration::from_millis(50);
const AGAIN_MOST: Duration = Duration::from_secs(1);
/// A peer whose machine is gone says nothing: asked this often ...
const PING: Duration = Duration::from_secs(2);
/// ... and given up after so long without an answer.
const PONG: Duration = Duration::from_secs(3);
/// A snapshot's part that does not come within this time is asked for again.
const PART: Duration = Duration::from_secs(3);
/// A snapshot that has not come after so many tries is given up: it is offered again.
const TRIES: u32 = 20;

/// How a link stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LinkStatus {
    /// Where the member is reached.
    pub address: String,
    /// Whether a connection is up.
    pub connected: bool,
    /// Why the last one was not made, or ended.
    pub problem: Option<String>,
    /// Messages that were dropped since the process began.
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
    wake: Notify,
    status: Mutex<LinkStatus>,
    channel: Mutex<Option<Channel>>,
}

fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Link {
    fn new(address: &str) -> Link {
        Link {
            queue: Mutex::default(),
            wake: Notify::new(),
            status: Mutex::new(LinkStatus { address: address.to_owned(), ..LinkStatus::default() }),
            channel: Mutex::default(),
        }
    }

    /// Puts a message behind the others; tells whether one was dropped.
    fn push(&self, message: PeerMessage) -> bool {
        let mut queue = locked(&self.queue);
        if message.is_heartbeat() {
            // Of these only the newest says anything.
            let mut freed = 0;
            queue.messages.retain(|old| {
                let stays = old.kind != message.kind || !old.is_heartbeat();
                freed += if stays { 0 } else { old.size() };
                stays
            });
            queue.bytes -= freed;
        }
        let size = message.size();
        if queue.messages.len() >= MESSAGES || queue.bytes + size > BYTES.max(size) {
            drop(queue);
            locked(&self.status).dropped += 1;
            return true;
        }
        queue.bytes += size;
        queue.messages.push_back(message);
        drop(queue);
        self.wake.notify_one();
        false
    }

    async fn next(&self) -> PeerMessage {
        loop {
            let woken = self.wake.notified();
            {
                let mut queue = locked(&self.queue);
                if let Some(message) = queue.messages.pop_front() {
                    queue.bytes -= message.size();
                    return message;
                }
            }
            woken.await;
        }
    }

    fn clear(&self) {
        *locked(&self.queue) = Queue::default();
    }
}

struct Held {
    link: Arc<Link>,
    task: AbortHandle,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// All links.
pub(crate) struct Links {
    identity: Arc<Identity>,
    tls: Option<ClientTlsConfig>,
    orders: mpsc::Sender<Order>,
    /// Links run where the service does, not on the agreement's thread.
    runtime: Runtime,
    held: Mutex<BTreeMap<MemberId, Held>>,
}

impl Links {
    pub(crate) fn new(
        identity: Arc<Identity>,
        tls: Option<ClientTlsConfig>,
        orders: mpsc::Sender<Order>,
    ) -> Links {
        Links { identity, tls, orders, runtime: Runtime::current(), held: Mutex::default() }
    }

    /// Keeps links to these members and no others.
    pub(crate) fn keep(self: &Arc<Self>, members: &BTreeMap<MemberId, String>) {
        let mut held = locked(&self.held);
        held.retain(|member, held| {
            members.get(member).is_some_and(|at| *at == locked(&held.link.status).address)
        });
        for (&member, address) in members {
            if member == self.identity.member || held.contains_key(&member) {
                continue;
            }
            let link = Arc::new(Link::new(address));
            let task = self.runtime.spawn(run(self.clone(), member, link.clone())).abort_handle();
            held.insert(member, Held { link, task });
        }
    }

    /// Sends a message; what is dropped is told to the agreement.
    pub(crate) fn send(&self, message: PeerMessage) -> bool {
        let held = locked(&self.held);
        held.get(&message.to).is_some_and(|held| !held.link.push(message))
    }

    pub(crate) fn statuses(&self) -> BTreeMap<MemberId, LinkStatus> {
        locked(&self.held)
            .iter()
            .map(|(member, held)| (*member, locked(&held.link.status).clone()))
            .collect()
    }

    fn hello(&self, to: MemberId) -> MetadataMap {
        let mut hello = MetadataMap::new();
        let Identity { lineage, member, ticket, folder, .. } = &*self.identity;
        let (from, to) = (member.to_string(), to.to_string());
        for (name, value) in
            [(LINEAGE, lineage), (FROM, &from), (TO, &to), (TICKET, ticket), (FOLDER, folder)]
        {
            if let Ok(value) = value.parse() {
                hello.insert(name, value);
            }
        }
        hello
    }

    async fn connect(&self, address: &str) -> Result<Channel, String> {
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        let endpoint = Endpoint::from_shared(format!("{scheme}://{address}")).map_err(|e| e.to_string())?;
        let endpoint = endpoint
            .connect_timeout(CONNECT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(PING)
            .keep_alive_timeout(PONG)
            .keep_alive_while_idle(true);
        let endpoint = match &self.tls {
            Some(tls) => endpoint.tls_config(tls.clone()).map_err(|e| e.to_string())?,
            None => endpoint,
        };
        match timeout(CONNECT, endpoint.connect()).await {
            Ok(channel) => channel.map_err(|problem| deepest(&problem)),
            Err(_) => Err(format!("no connection within {CONNECT:?}")),
        }
    }

    fn channel(&self, member: MemberId) -> Option<Channel> {
        let held = locked(&self.held);
        held.get(&member).and_then(|held| locked(&held.link.channel).clone())
    }

    /// Asks another member for what only a leader may do.
    pub(crate) async fn ask(
        &self,
        member: MemberId,
        asked: &Asked,
        within: Duration,
    ) -> Result<(), RequestError> {
        let Some(channel) = self.channel(member) else { return Err(RequestError::OutcomeUnknown) };
        let text = serde_json::to_string(asked).unwrap_or_default(); // fails only for maps with odd keys
        let mut request = Request::from_parts(self.hello(member), Default::default(), AskOut { text });
        request.set_timeout(within);
        let mut client = tonic::client::Grpc::new(channel);
        let answer = async {
            client.ready().await.map_err(|_| RequestError::OutcomeUnknown)?;
            let codec = ProstCodec::<AskOut, Ack>::default();
            let answer = client.unary(request, PathAndQuery::from_static(PATH_ASK), codec).await;
            answer.map(|_| ()).map_err(|status| match status.code() {
                Code::FailedPrecondition => RequestError::Refused(status.message().to_owned()),
                _ => RequestError::OutcomeUnknown,
            })
        };
        timeout(within, answer).await.unwrap_or(Err(RequestError::OutcomeUnknown))
    }

    /// Sends a note, if a connection is up.
    pub(crate) fn note(&self, member: MemberId, kind: String, text: String) {
        let Some(channel) = self.channel(member) else { return };
        let mut request =
            Request::from_parts(self.hello(member), Default::default(), NoteOut { kind, text });
        request.set_timeout(CONNECT);
        self.runtime.spawn(timeout(CONNECT, async move {
            let mut client = tonic::client::Grpc::new(channel);
            client.ready().await.ok()?;
            let codec = ProstCodec::<NoteOut, Ack>::default();
            client.unary(request, PathAndQuery::from_static(PATH_NOTE), codec).await.ok()
        }));
    }

    /// Fetches a snapshot's text in parts, going on where a link broke, and hands it to the member.
    pub(crate) fn fetch(self: &Arc<Self>, fetch: SnapshotFetch) {
        let links = self.clone();
        self.runtime.spawn(async move {
            let fetched = links.fetch_all(&fetch).await;
            let _ = links.orders.send(Order::Fetched(fetched)).await;
        });
    }

    async fn fetch_all(&self, fetch: &SnapshotFetch) -> Result<String, String> {
        let SnapshotMeta { size, hash, .. } = &fetch.snapshot;
        if *size > MAX_MESSAGE_BYTES as u64 {
            return Err(format!("a snapshot of {size} bytes is too large"));
        }
        let mut bytes: Vec<u8> = Vec::new();
        let mut problem = String::new();
        for _ in 0..TRIES {
            let before = bytes.len();
            if let Err(why) = self.fetch_on(fetch.from, hash, *size, &mut bytes).await {
                problem = why;
            }
            if bytes.len() as u64 >= *size {
                return String::from_utf8(bytes).map_err(|_| "it is no text".to_owned());
            }
            if bytes.len() == before {
                sleep(AGAIN_MOST / 4).await;
            }
        }
        Err(format!("{} of {size} bytes came: {problem}", bytes.len()))
    }

    async fn fetch_on(
        &self,
        from: MemberId,
        hash: &str,
        size: u64,
        bytes: &mut Vec<u8>,
    ) -> Result<(), String> {
        let channel = self.channel(from).ok_or("there is no connection")?;
        let mut client = tonic::client::Grpc::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let ask = FetchOut { hash: hash.to_owned(), from: bytes.len() as u64 };
        let request = Request::from_parts(self.hello(from), Default::default(), ask);
        let begin = async {
            client.ready().await.map_err(|problem| deepest(&problem))?;
            let codec = ProstCodec::<FetchOut, Chunk>::default();
            let stream =
                client.server_streaming(request, PathAndQuery::from_static(PATH_FETCH), codec).await;
            stream.map_err(|status| status.message().to_owned())
        };
        let mut parts = timeout(PART, begin).await.map_err(|_| "it does not answer")??.into_inner();
        while (bytes.len() as u64) < size {
            let part = timeout(PART, parts.message()).await.map_err(|_| "it fell silent")?;
            match part.map_err(|status| status.message().to_owned())? {
                Some(part) => bytes.extend_from_slice(&part.bytes),
                None => break,
            }
        }
        Ok(())
    }
}

/// What lies at the bottom of an error: its top says `transport error`.
fn deepest(problem: &dyn std::error::Error) -> String {
    let mut at = problem;
    while let Some(below) = at.source() {
        at = below;
    }
    at.to_string()
}

/// Keeps a link up for as long as it is held.
async fn run(links: Arc<Links>, member: MemberId, link: Arc<Link>) {
    let mut wait = AGAIN;
    loop {
        let address = locked(&link.status).address.clone();
        let problem = match links.connect(&address).await {
            Err(problem) => problem,
            Ok(channel) => {
                *locked(&link.channel) = Some(channel.clone());
                let (up, status) = deliver(&links, member, &link, channel).await;
                *locked(&link.channel) = None;
                if up {
                    wait = AGAIN;
                }
                if status.code() == Code::NotFound {
                    // It knows for certain that this member is none any more.
                    let _ = links.orders.send(Order::Removed(status.message().to_owned())).await;
                }
                status.message().to_owned()
            }
        };
        {
            let mut status = locked(&link.status);
            (status.connected, status.problem) = (false, Some(problem));
        }
        // What waited is old by the time that there is a connection again.
        link.clear();
        let _ = links.orders.send(Order::Lost(member)).await;
        sleep(wait).await;
        wait = (wait * 2).min(AGAIN_MOST);
    }
}

/// Sends what is queued until the connection ends; tells whether the other side had taken the stream, and how it ended.
async fn deliver(
    links: &Arc<Links>,
    member: MemberId,
    link: &Arc<Link>,
    channel: Channel,
) -> (bool, Status) {
    let (give, take) = mpsc::channel(1);
    let pump = {
        let link = link.clone();
        async move {
            loop {
                let message = link.next().await;
                if give.send(message).await.is_err() {
                    return;
                }
            }
        }
    };
    let mut client = tonic::client::Grpc::new(channel).max_encoding_message_size(2 * MAX_MESSAGE_BYTES);
    if let Err(problem) = client.ready().await {
        return (false, Status::unavailable(deepest(&problem)));
    }
    let request = Request::from_parts(links.hello(member), Default::default(), ReceiverStream::new(take));
    let codec = ProstCodec::<PeerMessage, Ack>::default();
    // The other side says yes first, by headers, and ends the stream only when the link does.
    let answer = client.streaming(request, PathAndQuery::from_static(PATH_DELIVER), codec);
    let talk = async {
        let mut acks = match answer.await {
            Ok(answer) => answer.into_inner(),
            Err(status) => return (false, status),
        };
        {
            let mut status = locked(&link.status);
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
        ended = talk => ended,
        () = pump => (true, Status::unavailable("the link has ended")),
    }
}
