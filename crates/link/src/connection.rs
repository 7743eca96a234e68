//! Runs links over connections: dials or accepts, passes received messages to the gossip, writes queued ones.
//!
//! A frame is a length of four bytes, little-endian, and a message of at most [`MAX_FRAME`] bytes.

use crate::gossip::Gossip;
use crate::session::{SendQueue, Session};
use bytes::BytesMut;
use runtrack_message::{MAX_FRAME, Message, decode};
use runtrack_net::{Connection, mutant};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf, split};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout};
use tokio_util::codec::{Encoder, LengthDelimitedCodec};

/// Interval of pings on each link.
pub const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of connecting to a peer.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest wait before a peer is dialled again; up to as much again is added at random.
const REDIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Bytes that a read buffer has room for.
const READ_BYTES: usize = 16 << 10;

/// Runs a link until its connection ends, carries nothing for [`IDLE_LINK_TIMEOUT`] or carries an invalid message.
///
/// [`IDLE_LINK_TIMEOUT`]: crate::IDLE_LINK_TIMEOUT
async fn run_link(gossip: &Rc<Gossip>, connection: Box<dyn Connection>, dialled: Option<SocketAddrV4>) {
    let (session, queue) = gossip.add_session(dialled);
    let _entered = Entered { gossip, session: &session };
    let (reader, writer) = split(connection);
    gossip.on_connect(&session);
    tokio::select! {
        biased;
        () = read(gossip, &session, reader) => {}
        () = write(writer, queue) => {}
        () = watch(&session) => {}
    }
}

/// Removes a session from the gossip when it is dropped, however its link ends: also where the task is aborted since the
/// address is no longer dialled. Otherwise later messages to that peer would go to a link that is gone.
struct Entered<'a> {
    gossip: &'a Rc<Gossip>,
    session: &'a Rc<Session>,
}

impl Drop for Entered<'_> {
    fn drop(&mut self) {
        self.gossip.remove_session(self.session);
    }
}

/// Sends pings, and returns once nothing has come from the peer for too long.
async fn watch(session: &Session) {
    let mut ticks = interval(PING_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !session.is_idle_for_too_long() {
        ticks.tick().await;
        session.send(&Message::Ping);
    }
}

/// Reads received bytes; returns whether there were any. After a pause of this process or the connection they are of an
/// unknown age: the link is marked as stale and ends once they are read.
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
    if session.is_idle_for_too_long() && !mutant("link-reads-on-after-standstill") {
        gossip.set_stale(session);
    } else {
        session.note_received();
    }
    true
}

async fn read(gossip: &Rc<Gossip>, session: &Rc<Session>, mut reader: ReadHalf<Box<dyn Connection>>) {
    use tokio_util::codec::Decoder;
    let mut codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).little_endian().new_codec();
    let mut buffer = BytesMut::with_capacity(READ_BYTES);
    loop {
        match codec.decode(&mut buffer) {
            Ok(Some(frame)) => match decode(&frame) {
                Ok(message) => gossip.on_message(session, message),
                Err(problem) => return gossip.log_broken(session, &problem.to_string()),
            },
            Ok(None) => {
                session.partial_frame.set(!buffer.is_empty());
                buffer.reserve(READ_BYTES);
                if !read_more(gossip, session, &mut reader, &mut buffer).await {
                    return;
                }
            }
            Err(problem) => return gossip.log_broken(session, &problem.to_string()),
        }
    }
}

async fn write(mut writer: WriteHalf<Box<dyn Connection>>, mut queue: SendQueue) {
    let mut codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).little_endian().new_codec();
    let mut buffer = BytesMut::new();
    while let Some(first) = queue.next().await {
        let mut next = Some(first);
        while let Some(payload) = next {
            if codec.encode(payload, &mut buffer).is_err() {
                return;
            }
            next = queue.next_queued();
        }
        if writer.write_all_buf(&mut buffer).await.is_err() {
            return;
        }
        if buffer.capacity() > 4 * READ_BYTES {
            buffer = BytesMut::new(); // one large message must not hold its memory for good
        }
    }
}

/// Keeps a link to a peer up, dialling again whenever it ends, until the future is dropped.
pub async fn maintain_link(gossip: Rc<Gossip>, to: SocketAddrV4) {
    loop {
        let connecting = gossip.network().connect(to.into());
        if let Ok(Ok(connection)) = timeout(CONNECT_TIMEOUT, connecting).await {
            run_link(&gossip, connection, Some(to)).await;
        }
        sleep(REDIAL_BACKOFF + REDIAL_BACKOFF.mul_f64(fastrand::f64())).await;
    }
}

/// Accepts links at an address for as long as the process runs; fails if the address cannot be bound.
pub async fn listen(gossip: Rc<Gossip>, at: SocketAddrV4) -> io::Result<()> {
    let listener = gossip.network().listen(at.into())?;
    spawn_local(async move {
        loop {
            match poll_fn(|cx| listener.poll_accept(cx)).await {
                Ok(connection) => {
                    let gossip = gossip.clone();
                    spawn_local(async move { run_link(&gossip, connection, None).await });
                }
                // Without free file descriptors accepting fails again at once: wait instead of spinning.
                Err(_) => sleep(REDIAL_BACKOFF).await,
            }
        }
    });
    Ok(())
}
