//! What this process knows of one link to another process, and the queue of what goes out on it.

use bytes::Bytes;
use runtrack_message::{Hello, MAX_FRAME, Member, Message, Role, encode};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::Instant;

/// A link on which nothing has come for this long is given up.
pub const IDLE_LINK_TIMEOUT: Duration = Duration::from_millis(1400);
/// Bytes that may wait for a peer that reads slowly: one configuration of the largest size and some change.
const MAX_QUEUE: usize = 2 * MAX_FRAME;

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

    /// A link that has just come up, and the messages that are to be written to it.
    pub(crate) fn new(key: usize, dialled: Option<SocketAddrV4>) -> (Self, SendQueue) {
        let (queue, waiting) = unbounded_channel();
        let queued = Rc::new(Cell::new(0));
        let session = Session {
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
        };
        (session, SendQueue { waiting, queued })
    }

    /// Something has just come from the other side.
    pub(crate) fn note_received(&self) {
        self.heard.set(Instant::now());
    }

    /// Whether nothing has come for [`IDLE_LINK_TIMEOUT`].
    pub(crate) fn has_fallen_silent(&self) -> bool {
        self.heard.get().elapsed() >= IDLE_LINK_TIMEOUT
    }
}

/// The messages of a session that wait to be written, oldest first.
pub(crate) struct SendQueue {
    waiting: UnboundedReceiver<Bytes>,
    queued: Rc<Cell<usize>>,
}

impl SendQueue {
    /// The oldest message, once there is one; none after the session has gone.
    pub(crate) async fn next(&mut self) -> Option<Bytes> {
        let payload = self.waiting.recv().await?;
        Some(self.taken(payload))
    }

    /// The oldest message, if one waits.
    pub(crate) fn try_next(&mut self) -> Option<Bytes> {
        let payload = self.waiting.try_recv().ok()?;
        Some(self.taken(payload))
    }

    fn taken(&self, payload: Bytes) -> Bytes {
        self.queued.set(self.queued.get().saturating_sub(payload.len()));
        payload
    }
}
