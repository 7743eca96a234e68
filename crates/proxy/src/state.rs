//! State that all requests share: routes, the ready endpoints of each service, and the load balancer.

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
/// A load report that is not empty is repeated after this time, since receivers discard old reports.
const REPORT_REPEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of prefix placements in one report.
const MAX_REPORTED_PLACEMENTS: usize = 256;
/// Number of proxies assumed until the agent reports it.
const DEFAULT_PROXIES: u32 = 16;

/// An endpoint that requests may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Key of the endpoint in `runtrack-balancer`.
    pub key: EndpointId,
    /// Id of the endpoint, sent in `X-Target-Instance`.
    pub id: String,
    /// Address that the endpoint listens on.
    pub address: SocketAddrV4,
}

/// The ready endpoints of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceEndpoints {
    /// Keys of the endpoints to select from, in ascending order; suspect endpoints are left out while they are a
    /// minority.
    pub ready: Vec<EndpointId>,
    targets: HashMap<EndpointId, Target>,
}

impl ServiceEndpoints {
    /// The endpoint with this key, if it is ready.
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
    endpoints_by_service: RefCell<HashMap<String, Rc<ServiceEndpoints>>>,
    router: RefCell<Router>,
    /// Number of ready endpoints of all services.
    ready: Cell<usize>,
    /// Notified when the pending prompt tokens of this proxy's requests have changed.
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
    /// Creates a state without routes and endpoints.
    pub fn new(gossip: Rc<Gossip>, node: &Node) -> Rc<Self> {
        let retry_budget = RetryBudget {
            ratio: node.bounds.retry_ratio,
            slack: node.bounds.retry_slack,
            window: node.bounds.retry_window,
        };
        let mut router = Router::new(fastrand::u64(..), retry_budget, DEFAULT_PROXIES);
        if node.first_boot {
            router.set_all_placements_known(); // a new fleet has no placements
        }
        Rc::new(State {
            logger: gossip.logger().clone(),
            gossip,
            routes: RefCell::default(),
            version: Cell::new(0),
            endpoints_by_service: RefCell::default(),
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

    /// The logger of the process.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// The load balancer. The borrow must end before the next `await`.
    pub fn router(&self) -> std::cell::RefMut<'_, Router> {
        self.router.borrow_mut()
    }

    /// Reports to the load balancer that an endpoint with requests in progress has sent nothing for too long.
    pub fn on_stall(&self, key: EndpointId) {
        let now = self.now();
        self.router().on_stall(now, key);
    }

    /// The current routes; a request uses the same ones to its end. None before the first configuration.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// The ready endpoints of a service.
    pub fn endpoints_of(&self, service: &str) -> Rc<ServiceEndpoints> {
        self.endpoints_by_service.borrow().get(service).cloned().unwrap_or_default()
    }

    /// Whether an endpoint is ready; checked again right before a request is sent.
    pub fn is_ready(&self, key: EndpointId) -> bool {
        self.gossip
            .replica()
            .registry()
            .get(key.0)
            .is_some_and(|record| record.state == EndpointState::Ready)
    }

    /// Whether the proxy has routes and at least one ready endpoint.
    pub fn can_serve(&self) -> bool {
        self.routes.borrow().is_some()
            && self.endpoints_by_service.borrow().values().any(|service| !service.ready.is_empty())
    }

    fn update_routes(&self) {
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

    fn update_endpoints(&self) {
        let mut endpoints_by_service: HashMap<String, ServiceEndpoints> = HashMap::new();
        for (key, record) in self.gossip.replica().registry().iter() {
            let endpoint = EndpointId(key);
            if record.state != EndpointState::Ready {
                self.router.borrow_mut().forget(endpoint);
                continue;
            }
            if record.port == 0 {
                continue;
            }
            let service = endpoints_by_service.entry(record.service.as_string()).or_default();
            let target = Target { key: endpoint, id: record.id.as_string(), address: address_of(record) };
            service.targets.insert(endpoint, target);
        }
        self.set_cache_sizes(&endpoints_by_service);
        for service in endpoints_by_service.values_mut() {
            let mut ready: Vec<EndpointId> = service.targets.keys().copied().collect();
            ready.sort_unstable();
            let unsuspected = |key: &EndpointId| !self.gossip.is_reported_suspect(key.0);
            let trusted: Vec<EndpointId> = ready.iter().copied().filter(unsuspected).collect();
            // If half or more of the endpoints are suspect, the cause is more likely on this side, so none are
            // excluded.
            service.ready = if trusted.len() * 2 > ready.len() { trusted } else { ready };
        }
        let ready = endpoints_by_service.values().map(|service| service.ready.len()).sum();
        if self.ready.replace(ready) != ready {
            info!(self.logger, "endpoints.ready"; "count" => ready);
        }
        *self.endpoints_by_service.borrow_mut() =
            endpoints_by_service.into_iter().map(|(name, service)| (name, Rc::new(service))).collect();
    }

    /// Passes the cache size of each endpoint, in tokens, to the load balancer.
    fn set_cache_sizes(&self, endpoints_by_service: &HashMap<String, ServiceEndpoints>) {
        let routes = self.routes.borrow();
        let services = routes.as_ref().map(|table| table.config().services.as_slice()).unwrap_or_default();
        for service in services {
            let Some(engine) = service.engine else { continue };
            for key in endpoints_by_service
                .get(&service.name)
                .iter()
                .flat_map(|endpoints| endpoints.targets.keys())
            {
                self.router.borrow_mut().set_cache_tokens(*key, engine.kv_tokens);
            }
        }
    }

    /// Schedules a load report if the pending prompt tokens of this proxy's requests have changed by `tokens`.
    pub fn backlog_changed(&self, tokens: u32) {
        if tokens > 0 {
            self.backlog.notify_one();
        }
    }

    /// Sends load reports to the agent for as long as the process runs. A report holds the pending prompt tokens of
    /// this proxy's requests by endpoint.
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

    /// Sends the prefix placements since the last report to the agent.
    fn report_placements(&self) {
        let placed = self.router.borrow_mut().take_unreported_placements(MAX_REPORTED_PLACEMENTS);
        if placed.is_empty() {
            return;
        }
        let placed: Vec<PrefixPlacement> = placed.into_iter().map(PrefixPlacement::from).collect();
        let message = Message::Placements(placed.into());
        self.gossip.broadcast_since(Role::Agent, PLACEMENT_WIRE_VERSION, &message);
    }

    /// Passes the prefix placements of other proxies to the load balancer.
    pub fn apply_placements(&self, placements: &PrefixPlacements) {
        let now = self.now();
        let mut router = self.router.borrow_mut();
        for placement in placements.items().iter().copied() {
            router.learn_placement(now, placement.into());
        }
    }

    /// Passes the sum of all proxies' load reports to the load balancer.
    pub fn apply_fleet_backlog(&self, backlog: &Backlog) {
        let all: Vec<(EndpointId, u32)> =
            backlog.items().iter().map(|pending| (EndpointId(pending.endpoint), pending.tokens)).collect();
        let now = self.now();
        self.router.borrow_mut().set_fleet_pending_prefill(now, &all, &self.last_reported.borrow());
    }

    /// Applies changes of the replica for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        let mut changes = self.gossip.changes();
        loop {
            self.update_routes();
            self.update_endpoints();
            let proxies = self.gossip.proxies();
            if proxies > 0 {
                self.router.borrow_mut().set_proxies(proxies);
            }
            changes.changed().await;
        }
    }
}
