//! Connection pools by endpoint. Idle connections are kept only as long as the endpoint keeps them, and the number of
//! open connections stays within this proxy's share of the endpoint's connection limit.

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
/// Maximum fraction of an endpoint's connection limit that all proxies together use.
const LIMIT_FRACTION: f64 = 0.8;
/// Maximum size of a connection's buffer in bytes; the head of a response must fit.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// A connection to an endpoint. Dropping it closes it.
pub struct Connection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether the connection has not carried a request yet.
    pub fresh: bool,
    idle_since: Instant,
    max_idle: Duration,
    count: Rc<RefCell<ConnectionCount>>,
    _task: JoinSet<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.count.borrow_mut().open -= 1;
    }
}

/// Number of connections of this proxy to one endpoint, including those being established.
#[derive(Default)]
struct ConnectionCount {
    open: u32,
}

#[derive(Default)]
struct EndpointPool {
    idle: Vec<Connection>,
    count: Rc<RefCell<ConnectionCount>>,
}

/// Which idle connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any that the endpoint still keeps open.
    Any,
    /// One that was used recently.
    RecentlyUsed,
    /// None: the request needs a new connection.
    None,
}

impl Reuse {
    /// Maximum idle time of a connection that may be reused; `None` if none may be.
    fn max_idle(self) -> Option<Duration> {
        match self {
            Reuse::Any => Some(Duration::MAX),
            Reuse::RecentlyUsed => Some(NON_IDEMPOTENT_IDLE_TIMEOUT),
            Reuse::None => None,
        }
    }
}

/// Why no connection is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionError {
    /// This proxy's share of the endpoint's limit is used up.
    LimitReached,
    /// Connecting failed or timed out.
    ConnectFailed,
}

/// Connection pools of all endpoints.
#[derive(Default)]
pub struct Connections {
    endpoints: RefCell<HashMap<EndpointId, EndpointPool>>,
}

impl Connections {
    /// Returns the most recently used idle connection, or a new one. `limit` is the endpoint's connection limit, of
    /// which this proxy may use its share among `proxies`. Connecting ends at `deadline` at the latest.
    pub async fn acquire(
        &self,
        target: &Target,
        reuse: Reuse,
        limit: u32,
        proxies: u32,
        deadline: Instant,
    ) -> Result<Connection, ConnectionError> {
        if let Some(connection) = self.take_idle(target.key, reuse) {
            return Ok(connection);
        }
        let count = self.endpoints.borrow_mut().entry(target.key).or_default().count.clone();
        let share = (f64::from(limit) * LIMIT_FRACTION / f64::from(proxies.max(1))).max(2.0);
        if f64::from(count.borrow().open) >= share {
            return Err(ConnectionError::LimitReached);
        }
        count.borrow_mut().open += 1;
        let guard = CountGuard(Some(count));
        let wait = CONNECT_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
        let stream = timeout(wait, TcpStream::connect(target.address)).await;
        let stream = stream.ok().and_then(Result::ok).ok_or(ConnectionError::ConnectFailed)?;
        let _ = stream.set_nodelay(true); // failure only delays small writes
        let handshake =
            http1::Builder::new().max_buf_size(MAX_BUFFERED_BYTES).handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|_| ConnectionError::ConnectFailed)?;
        let mut task = JoinSet::new();
        task.spawn_local(async move {
            let _ = connection.await; // the pending request gets the error
        });
        Ok(Connection {
            sender,
            fresh: true,
            idle_since: Instant::now(),
            max_idle: DEFAULT_IDLE_TIMEOUT,
            count: guard.into_count(),
            _task: task,
        })
    }

    fn take_idle(&self, key: EndpointId, reuse: Reuse) -> Option<Connection> {
        let reuse_max_idle = reuse.max_idle()?;
        let mut endpoints = self.endpoints.borrow_mut();
        let idle = &mut endpoints.get_mut(&key)?.idle;
        while let Some(connection) = idle.pop() {
            let max_idle = connection.max_idle.min(reuse_max_idle);
            if connection.sender.is_ready() && connection.idle_since.elapsed() < max_idle {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool. `keep_alive` is the endpoint's stated idle timeout.
    pub fn release(&self, key: EndpointId, mut connection: Connection, keep_alive: Option<Duration>) {
        connection.fresh = false;
        connection.idle_since = Instant::now();
        connection.max_idle =
            keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| timeout.saturating_sub(IDLE_TIMEOUT_MARGIN));
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
                    && connection.idle_since.elapsed() < connection.max_idle
            });
            ready || endpoint.count.borrow().open > 0
        });
    }
}

/// Holds the count of a connection while it is being established.
struct CountGuard(Option<Rc<RefCell<ConnectionCount>>>);

impl CountGuard {
    /// Transfers the count to the established connection.
    fn into_count(mut self) -> Rc<RefCell<ConnectionCount>> {
        self.0.take().unwrap_or_default()
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        if let Some(count) = self.0.take() {
            count.borrow_mut().open -= 1;
        }
    }
}
