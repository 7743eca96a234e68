//! A request as it is sent to endpoints.

use crate::client::ClientMonitor;
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
    /// Complete body.
    pub body: Bytes,
    /// `X-Attempt-Id`: the client's id of its attempt, which the response must repeat.
    pub id: Option<HeaderValue>,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time by which the response must be complete.
    pub deadline: Instant,
    /// Detects that the client has disconnected.
    pub client: ClientMonitor,
}

impl Outgoing {
    /// Whether the deadline has not passed and the client is still connected.
    pub fn is_wanted(&self) -> bool {
        Instant::now() < self.deadline
            && (!self.client.is_disconnected() || mutant("proxy_sends_after_disconnect"))
    }

    /// Which idle connections the request may use.
    pub fn reuse(&self) -> Reuse {
        match (&self.id, self.idempotent) {
            (None, _) => Reuse::None,
            (_, false) => Reuse::RecentlyUsed,
            (_, true) => Reuse::Any,
        }
    }
}
