//! The exchange of configurations over links: one request at a time, and answers that are encoded once for all peers that
//! have the same version.

use crate::session::Session;
use bytes::Bytes;
use runtrack_message::{Message, encode};
use runtrack_registry::Replica;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A requested configuration of which nothing has arrived for this time is requested from another peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Answers that are kept. Peers are mostly at the version before, at none, or a few behind.
const MAX_CACHED_ANSWERS: usize = 8;

/// A request on its way.
#[derive(Clone, Copy)]
struct Fetch {
    session: usize,
    asked_at: Instant,
}

/// Answers to requests for the newest configuration, ready to be sent.
#[derive(Default)]
struct CachedAnswers {
    /// The configuration that they lead to.
    version: u64,
    /// By the version and the wire format of the requester.
    answers: BTreeMap<(u64, u16), Bytes>,
}

/// This process's pending request, and its answers to others.
#[derive(Default)]
pub(crate) struct ConfigExchange {
    pending: Cell<Option<Fetch>>,
    cached: RefCell<CachedAnswers>,
}

impl ConfigExchange {
    /// Whether a request is on its way that may still be answered. On a slow link a large body takes longer than
    /// [`FETCH_TIMEOUT`]; to request it from other peers meanwhile would only make the link carry it several times.
    pub(crate) fn is_pending(&self, sessions: &[Rc<Session>]) -> bool {
        let Some(fetch) = self.pending.get() else { return false };
        let session = sessions.iter().find(|session| session.key == fetch.session);
        session.is_some_and(|session| {
            fetch.asked_at.elapsed() < FETCH_TIMEOUT || session.is_receiving(FETCH_TIMEOUT)
        })
    }

    /// Requests a configuration newer than this version; 0 asks for the complete body.
    pub(crate) fn request(&self, session: &Session, version: u64) {
        session.send(&Message::Fetch(version));
        self.pending.set(Some(Fetch { session: session.key, asked_at: Instant::now() }));
    }

    /// A configuration has come from this peer.
    pub(crate) fn note_answer(&self, session: &Session) {
        if self.pending.get().is_some_and(|fetch| fetch.session == session.key) {
            self.pending.set(None);
        }
    }

    /// The answer to a peer that asks for a configuration newer than the version `than`.
    pub(crate) fn answer(&self, replica: &Replica, than: u64, peer_wire: u16) -> Option<Bytes> {
        let mut cached = self.cached.borrow_mut();
        if cached.version != replica.version() {
            *cached = CachedAnswers { version: replica.version(), answers: BTreeMap::new() };
        }
        if let Some(answer) = cached.answers.get(&(than, peer_wire)) {
            return Some(answer.clone());
        }
        let answer = Bytes::from(encode(&replica.answer_fetch(than, peer_wire)?).ok()?);
        if cached.answers.len() >= MAX_CACHED_ANSWERS {
            cached.answers.pop_first();
        }
        cached.answers.insert((than, peer_wire), answer.clone());
        Some(answer)
    }
}
