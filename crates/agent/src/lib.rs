//! The agent: connects the proxy of an edge machine to the controllers.
//!
//! It has links to several controllers over the network and to the proxy over loopback, replicates the fleet's state
//! ([`Gossip`]) and makes no decisions of its own. The agent and the proxy can restart independently: a restarted proxy
//! gets the state from its agent, a restarted agent from its proxy.

use runtrack_fleetconfig::Node;
use runtrack_hash_ring::{HashRing, hash, weight};
use runtrack_link::{
    Dials, Environment, Gossip, Logger, MessageHandler, ProcessEvent, ProcessEvents, Session, Signals,
    listen,
};
use runtrack_message::{Hello, Member, Message, PLACEMENT_WIRE_VERSION, Role, WIRE_VERSION};
use slog::info;
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

/// Number of controllers that an agent keeps links to, selected by consistent hashing. With five or fewer controllers
/// these are all of them.
const LINKED_CONTROLLERS: usize = 5;
/// Key of the rendezvous hashing that selects the controllers which aggregate the proxies' load reports.
const BACKLOG_HASH_KEY: &[u8] = b"backlog";
/// Number of controllers that may aggregate load reports; the second takes over if the first is unreachable. All agents
/// keep links to them, since reports sent to different controllers are not aggregated together.
const MAX_BACKLOG_AGGREGATORS: usize = 2;
/// Interval at which the links are updated, and at which shutdown checks whether the proxy is still connected.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// After this long without a link to any controller, the seed addresses are dialled as well.
const SEED_DIAL_TIMEOUT: Duration = Duration::from_millis(1500);
/// At shutdown the agent waits for its proxy to exit, but exits at the latest this long before the grace period ends.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);

/// Relays reports: the proxy's backlog and placements to the controller that aggregates them, the fleet's to the proxy.
#[derive(Default)]
struct ReportRelay {
    /// A proxy has connected that knows no placements, and they have not been requested from a controller yet.
    placements_needed: Cell<bool>,
}

impl ReportRelay {
    /// Requests all placements from the aggregating controller if a proxy needs them.
    fn fetch_placements(&self, gossip: &Gossip) {
        let aggregator =
            backlog_aggregator(gossip).filter(|session| session.peer_wire() >= PLACEMENT_WIRE_VERSION);
        if let Some(aggregator) = aggregator.filter(|_| self.placements_needed.get()) {
            aggregator.send(&Message::FetchPlacements);
            self.placements_needed.set(false);
        }
    }
}

impl MessageHandler for ReportRelay {
    fn on_connect(&self, gossip: &Rc<Gossip>, session: &Rc<Session>) {
        if session.has_role(Role::Proxy) {
            session.send(&Message::Suspects(gossip.reported_suspects().into()));
            self.placements_needed.set(true);
        }
        self.fetch_placements(gossip);
    }

    fn on_message(&self, gossip: &Rc<Gossip>, session: &Rc<Session>, message: Message) {
        let aggregator = backlog_aggregator(gossip);
        match message {
            Message::OwnBacklog(_) => {
                if let Some(aggregator) = aggregator {
                    aggregator.send(&message);
                }
            }
            Message::Placements(_) if session.has_role(Role::Proxy) => {
                if let Some(aggregator) =
                    aggregator.filter(|session| session.peer_wire() >= PLACEMENT_WIRE_VERSION)
                {
                    aggregator.send(&message);
                }
            }
            Message::Placements(_) | Message::PlacementsComplete(_) => {
                gossip.broadcast_since(Role::Proxy, PLACEMENT_WIRE_VERSION, &message);
            }
            // Another controller may still send an aggregate of only some of the reports.
            Message::FleetBacklog(_)
                if aggregator.is_some_and(|aggregator| aggregator.key == session.key) =>
            {
                gossip.broadcast_to(Role::Proxy, &message);
            }
            _ => {}
        }
    }
}

/// The controllers that may aggregate load reports, in order of preference.
pub fn backlog_aggregators(controllers: impl IntoIterator<Item = SocketAddrV4>) -> Vec<SocketAddrV4> {
    let key = hash(BACKLOG_HASH_KEY);
    let mut ranked: Vec<SocketAddrV4> = controllers.into_iter().collect();
    ranked.sort_by_key(|address| Reverse((weight(key, hash(address.to_string().as_bytes())), *address)));
    ranked.truncate(MAX_BACKLOG_AGGREGATORS);
    ranked
}

/// The controllers that the agent with this name keeps links to: its own selection by consistent hashing, and those
/// that aggregate load reports for all agents.
pub fn controllers_to_link(name: &str, members: &BTreeSet<SocketAddrV4>) -> BTreeSet<SocketAddrV4> {
    let ring = HashRing::new(members.iter().copied(), |member| member.to_string().into_bytes());
    let mut wanted: BTreeSet<SocketAddrV4> =
        ring.successors(name.as_bytes(), LINKED_CONTROLLERS).into_iter().collect();
    wanted.extend(backlog_aggregators(members.iter().copied()));
    wanted
}

/// The session with the controller that aggregates load reports. All agents select the same controller, except those
/// that have lost their link to it.
fn backlog_aggregator(gossip: &Gossip) -> Option<Rc<Session>> {
    let sessions = gossip.peers(Role::Controller);
    let linked = sessions.iter().filter_map(|session| session.dialled);
    let selected = *backlog_aggregators(linked).first()?;
    sessions.into_iter().find(|session| session.dialled == Some(selected))
}

/// The links of an agent to controllers.
struct Links {
    gossip: Rc<Gossip>,
    name: String,
    seeds: BTreeSet<SocketAddrV4>,
    dials: Dials,
    last_linked: Instant,
}

impl Links {
    fn new(gossip: Rc<Gossip>, node: &Node) -> Self {
        Links {
            name: node.name.clone(),
            seeds: node.seed_members(),
            dials: Dials::new(gossip.clone()),
            last_linked: Instant::now(),
            gossip,
        }
    }

    fn wanted_controllers(&self) -> BTreeSet<SocketAddrV4> {
        let members: BTreeSet<SocketAddrV4> =
            self.gossip.replica().members().set.iter().map(Member::address).collect();
        let unreachable = members.is_empty() || self.last_linked.elapsed() > SEED_DIAL_TIMEOUT;
        let mut wanted = controllers_to_link(&self.name, &members);
        if unreachable {
            wanted.extend(&self.seeds);
        }
        wanted
    }

    /// Dials the wanted controllers and closes all other links to controllers.
    fn update(&mut self) {
        if !self.gossip.peers(Role::Controller).is_empty() {
            self.last_linked = Instant::now();
        }
        self.dials.keep(&self.wanted_controllers());
    }
}

/// Runs an agent until SIGTERM. Returns an error if it cannot listen for its proxy.
pub async fn run(node: Node, signals: Signals) -> Result<(), String> {
    run_in(Environment::system("agent", &node), node, signals.events()).await
}

/// Runs an agent in the given environment until [`ProcessEvent::Terminate`]. Returns an error if it cannot listen for
/// its proxy.
pub async fn run_in(environment: Environment, node: Node, mut events: ProcessEvents) -> Result<(), String> {
    let logger = environment.logger.clone();
    info!(logger, "agent.start"; "first_boot" => node.first_boot);
    let gossip =
        Gossip::new_in(environment, agent_hello(&node), node.heartbeat, Box::new(ReportRelay::default()));
    listen(gossip.clone(), node.feed)
        .await
        .map_err(|error| format!("listen.feed: {}: {error}", node.feed))?;
    spawn_local(gossip.clone().run());
    maintain_links(Links::new(gossip.clone(), &node), &mut events, &logger).await;
    info!(logger, "agent.terminate");
    let _ = timeout(node.bounds.grace.saturating_sub(SHUTDOWN_MARGIN), wait_for_proxy_end(&gossip)).await;
    Ok(())
}

/// The handshake message that an agent sends on its links.
fn agent_hello(node: &Node) -> Hello {
    Hello { wire: WIRE_VERSION, role: Role::Agent, node: node.name.as_str().into(), member: Member::none() }
}

/// Updates the links periodically and on changes of the replica, until [`ProcessEvent::Terminate`].
async fn maintain_links(mut links: Links, events: &mut ProcessEvents, logger: &Logger) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut changes = links.gossip.changes();
    loop {
        tokio::select! {
            biased;
            event = events.recv() => match event {
                Some(ProcessEvent::Settings(Ok(node))) => links.seeds = node.seed_members(),
                Some(ProcessEvent::Settings(Err(problem))) => {
                    info!(logger, "settings.refused"; "problem" => problem);
                }
                Some(ProcessEvent::Terminate) | None => return,
            },
            _ = ticks.tick() => links.update(),
            _ = changes.changed() => links.update(),
        }
    }
}

/// Waits until no proxy is connected.
async fn wait_for_proxy_end(gossip: &Gossip) {
    while !gossip.peers(Role::Proxy).is_empty() {
        sleep(POLL_INTERVAL).await;
    }
}
