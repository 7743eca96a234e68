//! Connection pools by endpoint. Idle connections are kept only as long as the endpoint keeps them, and their number stays
//! within this proxy's share of the endpoint's limit.

use crate::state::Target;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use runtrack_balancer::EndpointId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

/// Timeout of connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// An idle connection is closed this long before its endpoint would close it.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(800);
/// Maximum idle time where an endpoint does not state how long it keeps a connection.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Maximum idle time of a connection for a request that is not idempotent: if the endpoint closed the connection at the
/// same moment, the request could not be retried.
const NON_IDEMPOTENT_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Fraction of an endpoint's connection limit that all proxies together use.
const LIMIT_FRACTION: f64 = 0.8;
/// Maximum size of a connection's buffer in bytes; the head of a response must fit.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// A connection to an endpoint. Dropping it closes it.
pub struct Connection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it has not carried a request yet.
    pub fresh: bool,
    idle_since: Instant,
    idle_most: Duration,
    owner: Rc<RefCell<Owned>>,
    _task: JoinSet<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.owner.borrow_mut().open -= 1;
    }
}

/// The connections of this proxy to one endpoint.
#[derive(Default)]
struct Owned {
    open: u32,
}

#[derive(Default)]
struct Endpoint {
    idle: Vec<Connection>,
    owned: Rc<RefCell<Owned>>,
}

/// Which idle connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any that the endpoint still keeps.
    Any,
    /// One that was used recently.
    RecentlyUsed,
    /// None: the request needs a new connection.
    None,
}

impl Reuse {
    fn longest_idle(self) -> Option<Duration> {
        match self {
            Reuse::Any => Some(Duration::MAX),
            Reuse::RecentlyUsed => Some(NON_IDEMPOTENT_IDLE_TIMEOUT),
            Reuse::None => None,
        }
    }
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoConnection {
    /// This proxy's share of the endpoint's limit is used up.
    Full,
    /// Connecting failed.
    Failed,
}

/// Connections by endpoint.
#[derive(Default)]
pub struct Connections {
    endpoints: RefCell<HashMap<EndpointId, Endpoint>>,
}

impl Connections {
    /// Returns the idle connection that was used last, or a new one.
    pub async fn take(
        &self,
        target: &Target,
        reuse: Reuse,
        limit: u32,
        proxies: u32,
        until: Instant,
    ) -> Result<Connection, NoConnection> {
        if let Some(connection) = self.take_idle(target.key, reuse) {
            return Ok(connection);
        }
        let owner = self.endpoints.borrow_mut().entry(target.key).or_default().owned.clone();
        let share = (f64::from(limit) * LIMIT_FRACTION / f64::from(proxies.max(1))).max(2.0);
        if f64::from(owner.borrow().open) >= share {
            return Err(NoConnection::Full);
        }
        owner.borrow_mut().open += 1;
        let opened = OpenGuard(Some(owner));
        let wait = CONNECT_TIMEOUT.min(until.saturating_duration_since(Instant::now()));
        let stream = timeout(wait, TcpStream::connect(target.address)).await;
        let stream = stream.ok().and_then(Result::ok).ok_or(NoConnection::Failed)?;
        let _ = stream.set_nodelay(true); // without it requests only go out later
        let handshake =
            http1::Builder::new().max_buf_size(MAX_BUFFERED_BYTES).handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|_| NoConnection::Failed)?;
        let mut task = JoinSet::new();
        task.spawn_local(async move {
            let _ = connection.await; // whoever waits for an answer hears of it
        });
        Ok(Connection {
            sender,
            fresh: true,
            idle_since: Instant::now(),
            idle_most: DEFAULT_IDLE_TIMEOUT,
            owner: opened.keep(),
            _task: task,
        })
    }

    fn take_idle(&self, key: EndpointId, reuse: Reuse) -> Option<Connection> {
        let longest = reuse.longest_idle()?;
        let mut endpoints = self.endpoints.borrow_mut();
        let idle = &mut endpoints.get_mut(&key)?.idle;
        while let Some(connection) = idle.pop() {
            let most = connection.idle_most.min(longest);
            if connection.sender.is_ready() && connection.idle_since.elapsed() < most {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool; `keep` is how long the endpoint has stated to keep it.
    pub fn release(&self, key: EndpointId, mut connection: Connection, keep: Option<Duration>) {
        connection.fresh = false;
        connection.idle_since = Instant::now();
        connection.idle_most =
            keep.map_or(DEFAULT_IDLE_TIMEOUT, |keep| keep.saturating_sub(IDLE_TIMEOUT_MARGIN));
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(&key)
            && !connection.sender.is_closed()
        {
            endpoint.idle.push(connection);
        }
    }

    /// Closes idle connections to an endpoint that failed.
    pub fn close_idle(&self, key: EndpointId) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(&key) {
            endpoint.idle.clear();
        }
    }

    /// Closes connections that have been idle for too long or whose endpoint is not ready.
    pub fn sweep(&self, is_ready: impl Fn(EndpointId) -> bool) {
        self.endpoints.borrow_mut().retain(|key, endpoint| {
            let ready = is_ready(*key);
            endpoint.idle.retain(|connection| {
                ready
                    && !connection.sender.is_closed()
                    && connection.idle_since.elapsed() < connection.idle_most
            });
            ready || endpoint.owned.borrow().open > 0
        });
    }
}

/// Counts a connection while it is being established.
struct OpenGuard(Option<Rc<RefCell<Owned>>>);

impl OpenGuard {
    /// The connection is established and takes over the count.
    fn keep(mut self) -> Rc<RefCell<Owned>> {
        self.0.take().unwrap_or_default()
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        if let Some(owner) = self.0.take() {
            owner.borrow_mut().open -= 1;
        }
    }
}
