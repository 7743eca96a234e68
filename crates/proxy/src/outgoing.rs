//! A request as it is sent to endpoints.

use crate::client::Presence;
use crate::pool::Reuse;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use runtrack_net::mutant;
use tokio::time::Instant;

/// A request as it is sent to endpoints.
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, without hop-by-hop ones.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// `X-Attempt-Id`: the client's id of its attempt, which the response must repeat.
    pub id: Option<HeaderValue>,
    /// Priority of its route; 0 is the highest.
    pub priority: u8,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When its response must be complete.
    pub deadline: Instant,
    /// Whether its client is still connected.
    pub client: Presence,
}

impl Outgoing {
    /// Whether the deadline is ahead and the client still connected.
    pub fn is_wanted(&self) -> bool {
        Instant::now() < self.deadline && (!self.client.has_left() || mutant("proxy_sends_for_who_left"))
    }

    /// Which idle connections it may use.
    pub fn reuse(&self) -> Reuse {
        match (&self.id, self.idempotent) {
            (None, _) => Reuse::None,
            (_, false) => Reuse::RecentlyUsed,
            (_, true) => Reuse::Any,
        }
    }
}
