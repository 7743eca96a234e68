//! The operator's configuration as the fleet works with it.

use std::time::Duration;

/// What a repeat of a route's requests may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once for each try.
    NonIdempotent,
    /// A stream of events; runs at most once unless the route says that it may be resumed.
    Streaming,
}

/// A part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Index into [`FleetConfig::services`].
    pub service: usize,
    /// Its weight among the route's shares.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host, in lower case.
    pub host: String,
    /// Prefix of the path, which begins and ends with a slash.
    pub path_prefix: String,
    /// What a repeat may do.
    pub kind: RouteKind,
    /// The longest that a request is held.
    pub timeout: Duration,
    /// Within it an answer earns its full worth.
    pub objective: Duration,
    /// Rank; 0 is highest.
    pub priority: u8,
    /// Where its requests go.
    pub shares: Vec<Share>,
    /// Endpoints that one try may be sent to.
    pub max_tries: u32,
    /// Requests with the same parts of a prompt belong together.
    pub pinned: bool,
    /// A stream may go on at another endpoint.
    pub resumable: bool,
    /// The longest pause between events for which an answer stays in time.
    pub pause: Option<Duration>,
}

impl Route {
    /// Whether a request may run twice.
    pub fn repeatable(&self) -> bool {
        self.kind == RouteKind::Idempotent || (self.kind == RouteKind::Streaming && self.resumable)
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one endpoint accepts from all callers together.
    pub connection_limit: u32,
    /// What a model endpoint can hold; none for other services.
    pub engine: Option<Engine>,
}

/// A model endpoint's size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests in one batch.
    pub capacity: u32,
    /// Tokens of KV cache.
    pub kv_tokens: u64,
}

/// What a client may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// A head must have come whole within this.
    pub header_time: Duration,
    /// A connection may be between requests for this long.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// A configuration that has been checked.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Its version.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits of clients.
    pub limits: Limits,
}
