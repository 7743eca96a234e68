//! Connections to endpoints: kept while an endpoint says that it keeps them, and few enough for all proxies together.

use crate::state::Target;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};
use weirwharf::EndpointId;

/// A connection that has not come up by then has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// An idle connection is given up this long before its endpoint would close it.
const CLOSE_EARLY: Duration = Duration::from_millis(800);
/// Where an endpoint says nothing of how long it keeps one.
const IDLE_UNTOLD: Duration = Duration::from_millis(3000);
/// What may not be repeated goes out only on a connection that was used this lately: one that the endpoint closes or
/// forgets at the same moment would cost it.
const IDLE_UNREPEATABLE: Duration = Duration::from_millis(1500);
/// Part of an endpoint's connections that all proxies together may use.
const LIMIT_PART: f64 = 0.8;
/// Bytes that a connection buffers at most: a head must fit.
const MAX_BUFFER: usize = 64 << 10;

/// A connection to an endpoint. Dropping it closes it.
pub struct Connection {
    /// For requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// It has not carried a request yet.
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

/// What an endpoint has of our connections.
#[derive(Default)]
struct Owned {
    open: u32,
}

#[derive(Default)]
struct Endpoint {
    idle: Vec<Connection>,
    owned: Rc<RefCell<Owned>>,
}

/// Which idle connections a request may go out on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any that its endpoint still keeps.
    Any,
    /// One that was used a short while ago.
    RecentlyUsed,
    /// None: a connection of its own.
    None,
}

impl Reuse {
    fn longest_idle(self) -> Option<Duration> {
        match self {
            Reuse::Any => Some(Duration::MAX),
            Reuse::RecentlyUsed => Some(IDLE_UNREPEATABLE),
            Reuse::None => None,
        }
    }
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoConnection {
    /// This proxy has its share of the endpoint's connections already.
    Full,
    /// It did not come up.
    Failed,
}

/// Connections by endpoint.
#[derive(Default)]
pub struct Connections {
    endpoints: RefCell<HashMap<EndpointId, Endpoint>>,
}

impl Connections {
    /// An idle connection, the last used first, or a new one.
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
        let share = (f64::from(limit) * LIMIT_PART / f64::from(proxies.max(1))).max(2.0);
        if f64::from(owner.borrow().open) >= share {
            return Err(NoConnection::Full);
        }
        owner.borrow_mut().open += 1;
        let opened = OpenGuard(Some(owner));
        let wait = CONNECT_TIMEOUT.min(until.saturating_duration_since(Instant::now()));
        let stream = timeout(wait, TcpStream::connect(target.address)).await;
        let stream = stream.ok().and_then(Result::ok).ok_or(NoConnection::Failed)?;
        let _ = stream.set_nodelay(true); // without it requests only go out later
        let handshake = http1::Builder::new().max_buf_size(MAX_BUFFER).handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|_| NoConnection::Failed)?;
        let mut task = JoinSet::new();
        task.spawn_local(async move {
            let _ = connection.await; // whoever waits for an answer hears of it
        });
        Ok(Connection {
            sender,
            fresh: true,
            idle_since: Instant::now(),
            idle_most: IDLE_UNTOLD,
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

    /// Keeps a connection for the next request; `keep` is what the endpoint said of how long it keeps it.
    pub fn put_back(&self, key: EndpointId, mut connection: Connection, keep: Option<Duration>) {
        connection.fresh = false;
        connection.idle_since = Instant::now();
        connection.idle_most = keep.map_or(IDLE_UNTOLD, |keep| keep.saturating_sub(CLOSE_EARLY));
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

    /// Closes what has been idle for too long, or whose endpoint takes nothing new.
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

/// Counts a connection that is being made.
struct OpenGuard(Option<Rc<RefCell<Owned>>>);

impl OpenGuard {
    /// It is made, and counts for itself.
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
