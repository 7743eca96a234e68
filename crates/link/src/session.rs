//! One link to another process.

use crate::gossip::Gossip;
use bytes::{Bytes, BytesMut};
use runtrack_message::{Hello, MAX_FRAME, Member, Message, Role, decode, encode};
use runtrack_net::{Connection, mutant};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf, split};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::{Instant, interval, sleep, timeout};
use tokio_util::codec::{Encoder, LengthDelimitedCodec};

/// A sign of life goes out this often.
pub const PING_INTERVAL: Duration = Duration::from_millis(400);
/// A link on which nothing has come for this long is given up.
pub const IDLE_LINK_TIMEOUT: Duration = Duration::from_millis(1400);
/// A connection that has not come up by then is given up.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Wait before a link is dialled again, and up to as much more.
const REDIAL: Duration = Duration::from_millis(100);
/// Bytes that may wait for a peer that reads slowly: one configuration of the largest size and some change.
const MAX_QUEUE: usize = 2 * MAX_FRAME;
/// Bytes read at once.
const READ: usize = 16 << 10;

/// A link that is up.
pub struct Session {
    /// Its place in the gossip.
    pub key: usize,
    /// Where it was dialled; none for one that came in.
    pub dialled: Option<SocketAddrV4>,
    /// Who is on the other side, once it has said so.
    pub peer: RefCell<Option<Hello>>,
    /// The copies on both sides have been compared once.
    pub(crate) compared: Cell<bool>,
    /// Endpoints that the other side suspects, as it told last.
    pub(crate) suspects: RefCell<BTreeSet<u64>>,
    /// The other side is a controller in contact with a majority, as it told last.
    pub(crate) in_contact: Cell<bool>,
    /// One of the two sides stood still: what comes is old, and the link is about to end.
    pub(crate) stale: Cell<bool>,
    /// Newest version that the other side has told of.
    pub noticed: Cell<u64>,
    /// Live proxies as the other side counts them.
    pub proxies: Cell<u32>,
    queue: UnboundedSender<Bytes>,
    queued: Rc<Cell<usize>>,
    heard: Cell<Instant>,
}

impl Session {
    /// Sends a message, as long as the peer keeps up; a link that does not is given up by its silence.
    pub fn send(&self, message: &Message) {
        if let Ok(payload) = encode(message) {
            self.send_encoded(payload.into());
        }
    }

    /// Sends a message that was encoded once for many.
    pub fn send_encoded(&self, payload: Bytes) {
        if self.queued.get() + payload.len() > MAX_QUEUE {
            return; // what it misses is found by the next digests
        }
        self.queued.set(self.queued.get() + payload.len());
        let _ = self.queue.send(payload); // fails only while the link ends
    }

    /// The name of the other side, once it has said it.
    pub fn peer_name(&self) -> Option<String> {
        self.peer.borrow().as_ref().map(|peer| peer.node.as_string())
    }

    /// The member at the other side of a link that this process dialled, once it has said who it is.
    pub fn dialled_member(&self) -> Option<Member> {
        let peer = self.peer.borrow();
        let member = peer.as_ref().filter(|peer| peer.role == Role::Controller)?.member;
        (self.dialled == Some(member.address())).then_some(member)
    }

    /// Version of the messages that the other side reads; 0 before it has said so.
    pub fn peer_wire(&self) -> u16 {
        self.peer.borrow().as_ref().map_or(0, |peer| peer.wire)
    }

    /// Runs a link until it breaks, falls silent or says nonsense.
    pub(crate) async fn run(
        gossip: &Rc<Gossip>,
        connection: Box<dyn Connection>,
        dialled: Option<SocketAddrV4>,
    ) {
        let (queue, waiting) = unbounded_channel();
        let queued = Rc::new(Cell::new(0));
        let session = gossip.enter(|key| Session {
            key,
            dialled,
            peer: RefCell::default(),
            compared: Cell::new(false),
            suspects: RefCell::default(),
            in_contact: Cell::new(false),
            stale: Cell::new(false),
            noticed: Cell::new(0),
            proxies: Cell::new(0),
            queue,
            queued: queued.clone(),
            heard: Cell::new(Instant::now()),
        });
        let _entered = Entered { gossip, session: &session };
        let (reader, writer) = split(connection);
        gossip.on_connect(&session);
        tokio::select! {
            biased;
            () = read(gossip, &session, reader) => {}
            () = write(writer, waiting, &queued) => {}
            () = watch(&session) => {}
        }
    }
}

/// A session among the others of the gossip. It leaves however its link ends, also where the task is aborted because the
/// address is dialled no more: otherwise what is sent to that address later would go to a link that is gone.
struct Entered<'a> {
    gossip: &'a Rc<Gossip>,
    session: &'a Rc<Session>,
}

impl Drop for Entered<'_> {
    fn drop(&mut self) {
        self.gossip.leave(self.session);
    }
}

fn has_fallen_silent(session: &Session) -> bool {
    session.heard.get().elapsed() >= IDLE_LINK_TIMEOUT
}

/// Ends once the other side has been silent for too long; sends signs of life until then.
async fn watch(session: &Session) {
    let mut ticks = interval(PING_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !has_fallen_silent(session) {
        ticks.tick().await;
        session.send(&Message::Ping);
    }
}

/// Reads what has come; whether anything has. Where this process or the link stood still, what has come is old, and
/// nobody says how old: the link ends once that is read.
async fn read_more(
    gossip: &Rc<Gossip>,
    session: &Rc<Session>,
    reader: &mut ReadHalf<Box<dyn Connection>>,
    buffer: &mut BytesMut,
) -> bool {
    let reading = reader.read_buf(buffer);
    let count = if session.stale.get() {
        timeout(Duration::ZERO, reading).await.unwrap_or(Ok(0))
    } else {
        reading.await
    };
    if !matches!(count, Ok(1..)) {
        return false;
    }
    if has_fallen_silent(session) && !mutant("link-reads-on-after-standstill") {
        gossip.on_standstill(session);
    } else {
        session.heard.set(Instant::now());
    }
    true
}

async fn read(gossip: &Rc<Gossip>, session: &Rc<Session>, mut reader: ReadHalf<Box<dyn Connection>>) {
    use tokio_util::codec::Decoder;
    let mut codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).little_endian().new_codec();
    let mut buffer = BytesMut::with_capacity(READ);
    loop {
        match codec.decode(&mut buffer) {
            Ok(Some(frame)) => match decode(&frame) {
                Ok(message) => gossip.on_message(session, message),
                Err(problem) => return gossip.log_broken(session, &problem.to_string()),
            },
            Ok(None) => {
                buffer.reserve(READ);
                if !read_more(gossip, session, &mut reader, &mut buffer).await {
                    return;
                }
            }
            Err(problem) => return gossip.log_broken(session, &problem.to_string()),
        }
    }
}

async fn write(
    mut writer: WriteHalf<Box<dyn Connection>>,
    mut waiting: UnboundedReceiver<Bytes>,
    queued: &Cell<usize>,
) {
    let mut codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).little_endian().new_codec();
    let mut buffer = BytesMut::new();
    while let Some(first) = waiting.recv().await {
        let mut next = Some(first);
        while let Some(payload) = next {
            queued.set(queued.get().saturating_sub(payload.len()));
            if codec.encode(payload, &mut buffer).is_err() {
                return;
            }
            next = waiting.try_recv().ok();
        }
        if writer.write_all_buf(&mut buffer).await.is_err() {
            return;
        }
        if buffer.capacity() > 4 * READ {
            buffer = BytesMut::new(); // one large message must not be remembered in memory
        }
    }
}

/// Keeps a link to an address up until the caller drops this.
pub async fn dial_for_ever(gossip: Rc<Gossip>, to: SocketAddrV4) {
    loop {
        let connecting = gossip.network().connect(to.into());
        if let Ok(Ok(connection)) = timeout(CONNECT_TIMEOUT, connecting).await {
            Session::run(&gossip, connection, Some(to)).await;
        }
        sleep(REDIAL + REDIAL.mul_f64(fastrand::f64())).await;
    }
}

/// Takes links in at an address.
pub async fn listen(gossip: Rc<Gossip>, at: SocketAddrV4) -> io::Result<()> {
    let listener = gossip.network().listen(at.into())?;
    spawn_local(async move {
        loop {
            match poll_fn(|cx| listener.poll_accept(cx)).await {
                Ok(connection) => {
                    let gossip = gossip.clone();
                    spawn_local(async move { Session::run(&gossip, connection, None).await });
                }
                // Out of descriptors it would fail again at once, and spin.
                Err(_) => sleep(REDIAL).await,
            }
        }
    });
    Ok(())
}
