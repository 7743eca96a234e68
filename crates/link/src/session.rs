//! The state of one link: what its peer has reported, and the queue of messages to be written to it.

use bytes::Bytes;
use runtrack_message::{Hello, MAX_FRAME, Member, Message, Role, encode};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::Instant;

/// A link on which nothing has been received for this long is closed.
pub const IDLE_LINK_TIMEOUT: Duration = Duration::from_millis(1400);
/// Bytes that may be queued for a peer that reads slowly: room for one configuration of the largest size and changes.
const MAX_QUEUED_BYTES: usize = 2 * MAX_FRAME;

/// A link that is up.
pub struct Session {
    /// Unique among the links of this process, in the order in which they came up.
    pub key: usize,
    /// The address that was dialled; none for an accepted link.
    pub dialled: Option<SocketAddrV4>,
    /// How the peer introduced itself; none before its [`Message::Hello`].
    pub peer: RefCell<Option<Hello>>,
    /// A digest of the peer has been compared with the replica.
    pub(crate) compared: Cell<bool>,
    /// Keys of the endpoints that the peer last reported as suspect.
    pub(crate) suspects: RefCell<BTreeSet<u64>>,
    /// The peer is a controller that last reported to be in contact with a majority.
    pub(crate) in_contact: Cell<bool>,
    /// One of the two processes was paused: what arrives is outdated, and the link is about to end.
    pub(crate) stale: Cell<bool>,
    /// Version of the configuration that the peer announced last.
    pub announced_version: Cell<u64>,
    /// Number of live proxies that the peer reported last.
    pub proxies: Cell<u32>,
    queue: UnboundedSender<Bytes>,
    queued: Rc<Cell<usize>>,
    last_received: Cell<Instant>,
    /// A frame has begun to arrive, and is not complete.
    pub(crate) partial_frame: Cell<bool>,
}

impl Session {
    /// Queues a message. It is dropped where the peer reads too slowly; digests repair the loss.
    pub fn send(&self, message: &Message) {
        if let Ok(payload) = encode(message) {
            self.send_encoded(payload.into());
        }
    }

    /// Queues a message that was encoded once for several links.
    pub fn send_encoded(&self, payload: Bytes) {
        if self.queued.get() + payload.len() > MAX_QUEUED_BYTES {
            return; // the next digests find what it misses
        }
        self.queued.set(self.queued.get() + payload.len());
        let _ = self.queue.send(payload); // fails only while the link ends
    }

    /// Whether the peer has introduced itself in this role.
    pub fn has_role(&self, role: Role) -> bool {
        self.peer.borrow().as_ref().is_some_and(|peer| peer.role == role)
    }

    /// The node name of the peer, once it has introduced itself.
    pub fn peer_name(&self) -> Option<String> {
        self.peer.borrow().as_ref().map(|peer| peer.node.as_string())
    }

    /// The member at the dialled address, once it has introduced itself as the one of that address.
    pub fn dialled_member(&self) -> Option<Member> {
        let peer = self.peer.borrow();
        let member = peer.as_ref().filter(|peer| peer.role == Role::Controller)?.member;
        (self.dialled == Some(member.address())).then_some(member)
    }

    /// Version of the wire format that the peer reads; 0 before it has introduced itself.
    pub fn peer_wire(&self) -> u16 {
        self.peer.borrow().as_ref().map_or(0, |peer| peer.wire)
    }

    /// A link that has just come up, and the queue of messages to be written to it.
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
            announced_version: Cell::new(0),
            proxies: Cell::new(0),
            queue,
            queued: queued.clone(),
            last_received: Cell::new(Instant::now()),
            partial_frame: Cell::new(false),
        };
        (session, SendQueue { waiting, queued })
    }

    /// Bytes have just been received from the peer.
    pub(crate) fn note_received(&self) {
        self.last_received.set(Instant::now());
    }

    /// Whether a frame is arriving, with bytes of it within this time.
    pub(crate) fn is_receiving(&self, within: Duration) -> bool {
        self.partial_frame.get() && self.last_received.get().elapsed() < within
    }

    /// Whether nothing has been received for [`IDLE_LINK_TIMEOUT`].
    pub(crate) fn is_idle_for_too_long(&self) -> bool {
        self.last_received.get().elapsed() >= IDLE_LINK_TIMEOUT
    }
}

/// The queued messages of a session, oldest first.
pub(crate) struct SendQueue {
    waiting: UnboundedReceiver<Bytes>,
    queued: Rc<Cell<usize>>,
}

impl SendQueue {
    /// Waits for the oldest message; none once the session is gone.
    pub(crate) async fn next(&mut self) -> Option<Bytes> {
        let payload = self.waiting.recv().await?;
        Some(self.taken(payload))
    }

    /// The oldest message, if there is one.
    pub(crate) fn next_queued(&mut self) -> Option<Bytes> {
        let payload = self.waiting.try_recv().ok()?;
        Some(self.taken(payload))
    }

    fn taken(&self, payload: Bytes) -> Bytes {
        self.queued.set(self.queued.get().saturating_sub(payload.len()));
        payload
    }
}
