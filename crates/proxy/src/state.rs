//! What the proxy knows of the fleet, ready for use by requests: routes, ready endpoints by service, the module.

use runtrack_fleetconfig::{FleetConfig, Node, RouteTable};
use runtrack_link::Gossip;
use runtrack_message::{Backlog, EndpointState, Message, Role, Unread};
use runtrack_registry::address_of;
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};
use weirwharf::EndpointId;
use weirwharf::fleet::{RetryBudget, Router};
use xxhash_rust::xxh3::xxh3_64;

/// Least time between two words on what endpoints have to read.
const TELL_PAUSE: Duration = Duration::from_millis(50);
/// While they have anything to read it is told again after this: what is old is forgotten.
const TELL_AGAIN: Duration = Duration::from_millis(400);
/// Proxies that a fleet is taken to have until somebody counts them.
const PROXIES_AT_FIRST: u32 = 16;

/// An endpoint that requests may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// For the module.
    pub key: EndpointId,
    /// Its id, for `X-Target-Instance`.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddrV4,
}

/// The ready endpoints of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// For the module.
    pub ready: Vec<EndpointId>,
    targets: HashMap<EndpointId, Target>,
}

impl Pool {
    /// A ready endpoint.
    pub fn target(&self, key: EndpointId) -> Option<&Target> {
        self.targets.get(&key)
    }
}

/// What the proxy knows.
pub struct State {
    gossip: Rc<Gossip>,
    logger: Logger,
    routes: RefCell<Option<Rc<RouteTable>>>,
    version: Cell<u64>,
    pools: RefCell<HashMap<String, Rc<Pool>>>,
    router: RefCell<Router>,
    /// Ready endpoints of all services.
    ready: Cell<usize>,
    /// What endpoints have to read of this proxy's requests has changed.
    backlog: Notify,
    /// What was told of it last.
    told: RefCell<Vec<(EndpointId, u32)>>,
    born: Instant,
}

/// A service's short name for the module.
pub fn service_key(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

impl State {
    /// Nothing is known.
    pub fn new(gossip: Rc<Gossip>, node: &Node) -> Rc<Self> {
        let second = RetryBudget {
            ratio: node.bounds.retry_ratio,
            slack: node.bounds.retry_slack,
            window: node.bounds.retry_window,
        };
        Rc::new(State {
            logger: gossip.logger().clone(),
            gossip,
            routes: RefCell::default(),
            version: Cell::new(0),
            pools: RefCell::default(),
            router: RefCell::new(Router::new(fastrand::u64(..), second, PROXIES_AT_FIRST)),
            ready: Cell::new(0),
            backlog: Notify::new(),
            told: RefCell::default(),
            born: Instant::now(),
        })
    }

    /// Time on the module's clock.
    pub fn now(&self) -> Duration {
        self.born.elapsed()
    }

    /// The log.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// The module.
    pub fn router(&self) -> std::cell::RefMut<'_, Router> {
        self.router.borrow_mut()
    }

    /// An endpoint that works on calls of ours has said nothing for too long.
    pub fn silent(&self, key: EndpointId) {
        let now = self.now();
        self.router().silent(now, key);
    }

    /// The routes in force; a request keeps them to its end.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// The ready endpoints of a service.
    pub fn pool(&self, service: &str) -> Rc<Pool> {
        self.pools.borrow().get(service).cloned().unwrap_or_default()
    }

    /// Whether an endpoint may still be sent to: asked right before a request is written.
    pub fn is_ready(&self, key: EndpointId) -> bool {
        self.gossip
            .replica()
            .registry()
            .get(key.0)
            .is_some_and(|record| record.state == EndpointState::Ready)
    }

    /// Whether requests can be served.
    pub fn can_serve(&self) -> bool {
        self.routes.borrow().is_some() && self.pools.borrow().values().any(|pool| !pool.ready.is_empty())
    }

    fn take_routes(&self) {
        let Some(stored) = self.gossip.config().filter(|config| config.version > self.version.get()) else {
            return;
        };
        match FleetConfig::read(&stored.body) {
            Ok(config) => {
                info!(self.logger, "config.in_force"; "version" => stored.version, "routes" => config.routes.len());
                *self.routes.borrow_mut() = Some(Rc::new(RouteTable::new(config)));
                self.version.set(stored.version);
            }
            Err(problem) => warn!(self.logger, "config.unreadable"; "problem" => %problem),
        }
    }

    fn take_endpoints(&self) {
        let mut pools: HashMap<String, Pool> = HashMap::new();
        for (key, record) in self.gossip.replica().registry().iter() {
            let key_of = EndpointId(key);
            if record.state != EndpointState::Ready {
                self.router.borrow_mut().forget(key_of);
                continue;
            }
            if record.port == 0 {
                continue;
            }
            let pool = pools.entry(record.service.as_string()).or_default();
            let target = Target { key: key_of, id: record.id.as_string(), address: address_of(record) };
            pool.targets.insert(key_of, target);
        }
        for pool in pools.values_mut() {
            let mut ready: Vec<EndpointId> = pool.targets.keys().copied().collect();
            ready.sort_unstable();
            let heard = |key: &EndpointId| !self.gossip.is_silent(key.0);
            let fresh: Vec<EndpointId> = ready.iter().copied().filter(heard).collect();
            // Where most seem to be silent, the silence is rather on our side.
            pool.ready = if fresh.len() * 2 > ready.len() { fresh } else { ready };
        }
        let ready = pools.values().map(|pool| pool.ready.len()).sum();
        if self.ready.replace(ready) != ready {
            info!(self.logger, "endpoints.ready"; "count" => ready);
        }
        *self.pools.borrow_mut() = pools.into_iter().map(|(name, pool)| (name, Rc::new(pool))).collect();
    }

    /// What endpoints have to read of this proxy's requests has changed by so many tokens.
    pub fn backlog_changed(&self, tokens: u32) {
        if tokens > 0 {
            self.backlog.notify_one();
        }
    }

    /// Tells the agent what endpoints have to read of this proxy's requests, for as long as the process runs.
    pub async fn tell_backlog(self: Rc<Self>) {
        let mut empty = true;
        loop {
            if empty {
                self.backlog.notified().await;
            } else {
                let _ = timeout(TELL_AGAIN, self.backlog.notified()).await;
            }
            let backlog = self.router.borrow().backlog();
            empty = backlog.is_empty();
            let entry = |(id, tokens): &(EndpointId, u32)| Unread { endpoint: id.0, tokens: *tokens };
            let message = Message::OwnBacklog(backlog.iter().map(entry).collect::<Vec<_>>().into());
            self.gossip.broadcast_to(Role::Agent, &message);
            *self.told.borrow_mut() = backlog;
            sleep(TELL_PAUSE).await;
        }
    }

    /// Takes what endpoints have to read of all proxies' requests.
    pub fn take_fleet_backlog(&self, backlog: &Backlog) {
        let all: Vec<(EndpointId, u32)> =
            backlog.items().iter().map(|unread| (EndpointId(unread.endpoint), unread.tokens)).collect();
        let now = self.now();
        self.router.borrow_mut().set_fleet_backlog(now, &all, &self.told.borrow());
    }

    /// Follows the feed for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        let mut changes = self.gossip.changes();
        loop {
            self.take_routes();
            self.take_endpoints();
            let proxies = self.gossip.proxies();
            if proxies > 0 {
                self.router.borrow_mut().set_proxies(proxies);
            }
            if changes.changed().await.is_err() {
                return; // the gossip has ended
            }
        }
    }
}
