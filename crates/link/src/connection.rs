//! Runs links over connections: dials or accepts, reads frames into the gossip, writes what is queued.

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

/// A sign of life goes out this often.
pub const PING_INTERVAL: Duration = Duration::from_millis(400);
/// A connection that has not come up by then is given up.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Wait before a link is dialled again, and up to as much more.
const REDIAL: Duration = Duration::from_millis(100);
/// Bytes read at once.
const READ: usize = 16 << 10;

/// Runs a link until it breaks, falls silent or carries something that is no message.
async fn run_link(gossip: &Rc<Gossip>, connection: Box<dyn Connection>, dialled: Option<SocketAddrV4>) {
    let (session, queue) = gossip.enter(dialled);
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

/// Ends once the other side has been silent for too long; sends signs of life until then.
async fn watch(session: &Session) {
    let mut ticks = interval(PING_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !session.has_fallen_silent() {
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
    if session.has_fallen_silent() && !mutant("link-reads-on-after-standstill") {
        gossip.on_standstill(session);
    } else {
        session.note_received();
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

async fn write(mut writer: WriteHalf<Box<dyn Connection>>, mut queue: SendQueue) {
    let mut codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).little_endian().new_codec();
    let mut buffer = BytesMut::new();
    while let Some(first) = queue.next().await {
        let mut next = Some(first);
        while let Some(payload) = next {
            if codec.encode(payload, &mut buffer).is_err() {
                return;
            }
            next = queue.try_next();
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
            run_link(&gossip, connection, Some(to)).await;
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
                    spawn_local(async move { run_link(&gossip, connection, None).await });
                }
                // Out of descriptors it would fail again at once, and spin.
                Err(_) => sleep(REDIAL).await,
            }
        }
    });
    Ok(())
}
