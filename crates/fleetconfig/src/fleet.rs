//! The operator's configuration after parsing and checking.

use std::time::Duration;

/// Kind of a route, which decides whether its requests may be retried after they may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: a request may run more than once.
    Idempotent,
    /// Not idempotent: a request runs at most once for each attempt of its client.
    NonIdempotent,
    /// A stream of events; runs at most once unless the route is resumable.
    Streaming,
}

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Index into [`FleetConfig::services`].
    pub service: usize,
    /// Its weight relative to the route's other shares.
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
    /// Whether requests may be retried.
    pub kind: RouteKind,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Target latency: a response within it has its full value.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that its requests are distributed over.
    pub shares: Vec<Share>,
    /// Number of endpoints that one client attempt may be sent to.
    pub max_tries: u32,
    /// Requests that share a prompt prefix prefer the same endpoints.
    pub pinned: bool,
    /// A broken stream may be resumed at another endpoint.
    pub resumable: bool,
    /// The longest pause between two events of a stream that counts as in time.
    pub pause: Option<Duration>,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.kind == RouteKind::Idempotent || (self.kind == RouteKind::Streaming && self.resumable)
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Limit of connections to one endpoint, over all proxies.
    pub connection_limit: u32,
    /// Capacity of a model endpoint; none for other services.
    pub engine: Option<Engine>,
}

/// Capacity of a model endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Maximum number of requests in a batch.
    pub capacity: u32,
    /// Size of the KV cache in tokens.
    pub kv_tokens: u64,
}

/// Limits on clients' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request's head.
    pub header_time: Duration,
    /// Timeout of an idle connection.
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
    /// Limits on clients.
    pub limits: Limits,
}
