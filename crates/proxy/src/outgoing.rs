//! A request as it is sent on to endpoints.

use crate::client::Presence;
use crate::pool::Reuse;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use runtrack_net::mutant;
use tokio::time::Instant;

/// A request as it goes on.
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, without what concerns one connection only.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The client's id of this try.
    pub id: Option<HeaderValue>,
    /// Rank of its route.
    pub priority: u8,
    /// It may run twice.
    pub idempotent: bool,
    /// When its answer must have come.
    pub deadline: Instant,
    /// Who waits for the answer.
    pub client: Presence,
}

impl Outgoing {
    /// Whether its answer would be in time for somebody.
    pub fn is_wanted(&self) -> bool {
        Instant::now() < self.deadline && (!self.client.has_left() || mutant("proxy_sends_for_who_left"))
    }

    /// Which idle connections it may go out on.
    pub fn reuse(&self) -> Reuse {
        match (&self.id, self.idempotent) {
            (None, _) => Reuse::None,
            (_, false) => Reuse::RecentlyUsed,
            (_, true) => Reuse::Any,
        }
    }
}
