//! What the proxy knows of the fleet, ready for use by requests: routes, ready endpoints by service, the module.

use runtrack_balancer::EndpointId;
use runtrack_balancer::fleet::{RetryBudget, Router};
use runtrack_fleetconfig::{FleetConfig, Node, RouteTable};
use runtrack_link::Gossip;
use runtrack_message::{
    Backlog, EndpointState, Message, PLACEMENT_WIRE_VERSION, PendingPrefill, PrefixPlacement,
    PrefixPlacements, Role,
};
use runtrack_registry::address_of;
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// Shortest interval between two load reports to the agent.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// A load report that is not empty is repeated after this time, since receivers drop old ones.
const REPORT_REPEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Most placements of prefixes in one report.
const MAX_PLACEMENTS: usize = 256;
/// Number of proxies that is assumed until the agent reports it.
const DEFAULT_PROXIES: u32 = 16;

/// An endpoint that requests may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Key in `runtrack-balancer`.
    pub key: EndpointId,
    /// Its id, for `X-Target-Instance`.
    pub id: String,
    /// Address that it listens on.
    pub address: SocketAddrV4,
}

/// The ready endpoints of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// Keys of the endpoints to select from, in ascending order.
    pub ready: Vec<EndpointId>,
    targets: HashMap<EndpointId, Target>,
}

impl Pool {
    /// The endpoint of a key, if it is ready.
    pub fn target(&self, key: EndpointId) -> Option<&Target> {
        self.targets.get(&key)
    }
}

/// The proxy's state: routes, endpoints, and the load balancer.
pub struct State {
    gossip: Rc<Gossip>,
    logger: Logger,
    routes: RefCell<Option<Rc<RouteTable>>>,
    version: Cell<u64>,
    pools: RefCell<HashMap<String, Rc<Pool>>>,
    router: RefCell<Router>,
    /// Ready endpoints of all services.
    ready: Cell<usize>,
    /// Notified when the unread prompt tokens of this proxy's requests have changed.
    backlog: Notify,
    /// The load report that was sent last.
    last_reported: RefCell<Vec<(EndpointId, u32)>>,
    started_at: Instant,
}

/// Key of a service in `runtrack-balancer`: the hash of its name.
pub fn service_key(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

impl State {
    /// A state without routes and endpoints.
    pub fn new(gossip: Rc<Gossip>, node: &Node) -> Rc<Self> {
        let second = RetryBudget {
            ratio: node.bounds.retry_ratio,
            slack: node.bounds.retry_slack,
            window: node.bounds.retry_window,
        };
        let mut router = Router::new(fastrand::u64(..), second, DEFAULT_PROXIES);
        if node.first_boot {
            router.set_all_placements_known(); // there are none
        }
        Rc::new(State {
            logger: gossip.logger().clone(),
            gossip,
            routes: RefCell::default(),
            version: Cell::new(0),
            pools: RefCell::default(),
            router: RefCell::new(router),
            ready: Cell::new(0),
            backlog: Notify::new(),
            last_reported: RefCell::default(),
            started_at: Instant::now(),
        })
    }

    /// Time on the clock that is passed to `runtrack-balancer`.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The log.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// The load balancer. The borrow must end before the next await.
    pub fn router(&self) -> std::cell::RefMut<'_, Router> {
        self.router.borrow_mut()
    }

    /// An endpoint with requests of this proxy in progress has sent nothing for too long.
    pub fn on_missing_event(&self, key: EndpointId) {
        let now = self.now();
        self.router().on_stall(now, key);
    }

    /// The routes in force; a request uses the same ones to its end.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// The ready endpoints of a service.
    pub fn pool(&self, service: &str) -> Rc<Pool> {
        self.pools.borrow().get(service).cloned().unwrap_or_default()
    }

    /// Whether an endpoint is ready; checked right before a request is written.
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
        match FleetConfig::read(stored.body()) {
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
        self.set_cache_sizes(&pools);
        for pool in pools.values_mut() {
            let mut ready: Vec<EndpointId> = pool.targets.keys().copied().collect();
            ready.sort_unstable();
            let heard = |key: &EndpointId| !self.gossip.is_reported_suspect(key.0);
            let fresh: Vec<EndpointId> = ready.iter().copied().filter(heard).collect();
            // If most endpoints are suspect, the cause is more likely on this side.
            pool.ready = if fresh.len() * 2 > ready.len() { fresh } else { ready };
        }
        let ready = pools.values().map(|pool| pool.ready.len()).sum();
        if self.ready.replace(ready) != ready {
            info!(self.logger, "endpoints.ready"; "count" => ready);
        }
        *self.pools.borrow_mut() = pools.into_iter().map(|(name, pool)| (name, Rc::new(pool))).collect();
    }

    /// Tells the load balancer what the endpoints of each service can keep.
    fn set_cache_sizes(&self, pools: &HashMap<String, Pool>) {
        let routes = self.routes.borrow();
        let services = routes.as_ref().map(|table| table.config().services.as_slice()).unwrap_or_default();
        for service in services {
            let Some(engine) = service.engine else { continue };
            for key in pools.get(&service.name).iter().flat_map(|pool| pool.targets.keys()) {
                self.router.borrow_mut().set_cache_tokens(*key, engine.kv_tokens);
            }
        }
    }

    /// The unread prompt tokens of this proxy's requests have changed by this number.
    pub fn backlog_changed(&self, tokens: u32) {
        if tokens > 0 {
            self.backlog.notify_one();
        }
    }

    /// Sends load reports, the unread prompt tokens of this proxy's requests by endpoint, to the agent for as long as the
    /// process runs.
    pub async fn report_backlog(self: Rc<Self>) {
        let mut empty = true;
        loop {
            if empty {
                self.backlog.notified().await;
            } else {
                let _ = timeout(REPORT_REPEAT_INTERVAL, self.backlog.notified()).await;
            }
            let backlog = self.router.borrow().pending_prefill();
            empty = backlog.is_empty();
            let entry =
                |(id, tokens): &(EndpointId, u32)| PendingPrefill { endpoint: id.0, tokens: *tokens };
            let message = Message::OwnBacklog(backlog.iter().map(entry).collect::<Vec<_>>().into());
            self.gossip.broadcast_to(Role::Agent, &message);
            *self.last_reported.borrow_mut() = backlog;
            self.report_placements();
            sleep(MIN_REPORT_INTERVAL).await;
        }
    }

    /// Sends the prefixes that were placed since the last report to the agent.
    fn report_placements(&self) {
        let placed = self.router.borrow_mut().take_unreported_placements(MAX_PLACEMENTS);
        if placed.is_empty() {
            return;
        }
        let placed: Vec<PrefixPlacement> = placed.into_iter().map(PrefixPlacement::from).collect();
        let message = Message::Placements(placed.into());
        self.gossip.broadcast_since(Role::Agent, PLACEMENT_WIRE_VERSION, &message);
    }

    /// Learns where other proxies have placed prefixes.
    pub fn take_placements(&self, placements: &PrefixPlacements) {
        let now = self.now();
        let mut router = self.router.borrow_mut();
        for placement in placements.items().iter().copied() {
            router.learn_placement(now, placement.into());
        }
    }

    /// Stores the sum of all proxies' load reports.
    pub fn take_fleet_backlog(&self, backlog: &Backlog) {
        let all: Vec<(EndpointId, u32)> =
            backlog.items().iter().map(|pending| (EndpointId(pending.endpoint), pending.tokens)).collect();
        let now = self.now();
        self.router.borrow_mut().set_fleet_pending_prefill(now, &all, &self.last_reported.borrow());
    }

    /// Follows changes of the replica for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        let mut changes = self.gossip.changes();
        loop {
            self.take_routes();
            self.take_endpoints();
            let proxies = self.gossip.proxies();
            if proxies > 0 {
                self.router.borrow_mut().set_proxies(proxies);
            }
            changes.changed().await;
        }
    }
}
