//! The agent: connects the proxy of an edge machine to the controllers.
//!
//! It is linked to several controllers over the network and to the proxy over loopback, replicates the fleet's state
//! ([`Gossip`]) and decides nothing. Either process of the machine may be killed alone: a restarted proxy gets the state
//! from its agent, a restarted agent from its proxy.

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

/// Controllers that an agent keeps links to, its watchers. With five or fewer controllers these are all of them.
const WATCHERS: usize = 5;
/// Key of rendezvous hashing for the controllers that sum up the proxies' load reports.
const BACKLOG_KEY: &[u8] = b"backlog";
/// Members that may sum up load reports, the second one where the first is lost. All agents keep links to them: reports
/// that go to different members are not summed up together.
const BACKLOG_MEMBERS: usize = 2;
/// Interval at which the set of links is updated.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Without a link to any controller for this long, the seeds are dialled as well.
const SEEDS_TIMEOUT: Duration = Duration::from_millis(1500);
/// At shutdown the agent waits for its proxy to end, but ends this long before the grace period is over.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);

/// Relays reports: the proxy's own backlog and placements to the controller that sums them up, the fleet's to the proxy.
#[derive(Default)]
struct ReportRelay {
    /// A proxy has come that knows no placements, and no controller could be asked for them yet.
    lacks_placements: Cell<bool>,
}

impl ReportRelay {
    /// Asks for all placements if a proxy lacks them.
    fn fetch_placements(&self, gossip: &Gossip) {
        let member = backlog_member(gossip).filter(|member| member.peer_wire() >= PLACEMENT_WIRE_VERSION);
        if let Some(member) = member.filter(|_| self.lacks_placements.get()) {
            member.send(&Message::FetchPlacements);
            self.lacks_placements.set(false);
        }
    }
}

impl MessageHandler for ReportRelay {
    fn on_connect(&self, gossip: &Rc<Gossip>, session: &Rc<Session>) {
        if session.has_role(Role::Proxy) {
            session.send(&Message::Suspects(gossip.reported_suspects().into()));
            self.lacks_placements.set(true);
        }
        self.fetch_placements(gossip);
    }

    fn on_message(&self, gossip: &Rc<Gossip>, session: &Rc<Session>, message: Message) {
        let member = backlog_member(gossip);
        match message {
            Message::OwnBacklog(_) => {
                if let Some(member) = member {
                    member.send(&message);
                }
            }
            Message::Placements(_) if session.has_role(Role::Proxy) => {
                if let Some(member) = member.filter(|member| member.peer_wire() >= PLACEMENT_WIRE_VERSION) {
                    member.send(&message);
                }
            }
            Message::Placements(_) | Message::PlacementsComplete(_) => {
                gossip.broadcast_since(Role::Proxy, PLACEMENT_WIRE_VERSION, &message);
            }
            // Another controller may still send a sum of only a part of the reports.
            Message::FleetBacklog(_) if member.is_some_and(|member| member.key == session.key) => {
                gossip.broadcast_to(Role::Proxy, &message);
            }
            _ => {}
        }
    }
}

/// The controllers that may sum up load reports, the first choice first.
pub fn backlog_members(controllers: impl IntoIterator<Item = SocketAddrV4>) -> Vec<SocketAddrV4> {
    let key = hash(BACKLOG_KEY);
    let mut ranked: Vec<SocketAddrV4> = controllers.into_iter().collect();
    ranked.sort_by_key(|address| Reverse((weight(key, hash(address.to_string().as_bytes())), *address)));
    ranked.truncate(BACKLOG_MEMBERS);
    ranked
}

/// The members that an agent of this name keeps links to: its watchers, and those that sum up load reports for all.
pub fn controllers_to_link(name: &str, members: &BTreeSet<SocketAddrV4>) -> BTreeSet<SocketAddrV4> {
    let ring = HashRing::new(members.iter().copied(), |member| member.to_string().into_bytes());
    let mut wanted: BTreeSet<SocketAddrV4> =
        ring.successors(name.as_bytes(), WATCHERS).into_iter().collect();
    wanted.extend(backlog_members(members.iter().copied()));
    wanted
}

/// The controller that sums up load reports: the same one for all agents, unless some have lost their link to it.
fn backlog_member(gossip: &Gossip) -> Option<Rc<Session>> {
    let sessions = gossip.peers(Role::Controller);
    let linked = sessions.iter().filter_map(|session| session.dialled);
    let chosen = *backlog_members(linked).first()?;
    sessions.into_iter().find(|session| session.dialled == Some(chosen))
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

    fn wanted_addresses(&self) -> BTreeSet<SocketAddrV4> {
        let members: BTreeSet<SocketAddrV4> =
            self.gossip.replica().members().set.iter().map(Member::address).collect();
        let lost = members.is_empty() || self.last_linked.elapsed() > SEEDS_TIMEOUT;
        let mut wanted = controllers_to_link(&self.name, &members);
        if lost {
            wanted.extend(&self.seeds);
        }
        wanted
    }

    /// Dials the wanted addresses and closes other links.
    fn update(&mut self) {
        if !self.gossip.peers(Role::Controller).is_empty() {
            self.last_linked = Instant::now();
        }
        self.dials.keep(&self.wanted_addresses());
    }
}

/// Runs an agent until SIGTERM.
pub async fn run(node: Node, signals: Signals) -> Result<(), String> {
    run_in(Environment::system("agent", &node), node, signals.events()).await
}

/// Runs an agent in an environment until [`ProcessEvent::Terminate`].
pub async fn run_in(environment: Environment, node: Node, mut events: ProcessEvents) -> Result<(), String> {
    let logger = environment.logger.clone();
    info!(logger, "agent.start"; "first_boot" => node.first_boot);
    let gossip =
        Gossip::new_in(environment, hello_of(&node), node.heartbeat, Box::new(ReportRelay::default()));
    listen(gossip.clone(), node.feed)
        .await
        .map_err(|error| format!("listen.feed: {}: {error}", node.feed))?;
    spawn_local(gossip.clone().run());
    keep_links(Links::new(gossip.clone(), &node), &mut events, &logger).await;
    info!(logger, "agent.terminate");
    let _ = timeout(node.bounds.grace.saturating_sub(SHUTDOWN_MARGIN), wait_for_proxy_end(&gossip)).await;
    Ok(())
}

/// How an agent introduces itself on its links.
fn hello_of(node: &Node) -> Hello {
    Hello { wire: WIRE_VERSION, role: Role::Agent, node: node.name.as_str().into(), member: Member::none() }
}

/// Keeps the links up to date until [`ProcessEvent::Terminate`].
async fn keep_links(mut links: Links, events: &mut ProcessEvents, logger: &Logger) {
    let mut ticks = interval(TICK_INTERVAL);
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

/// Waits until the proxy has ended.
async fn wait_for_proxy_end(gossip: &Gossip) {
    while !gossip.peers(Role::Proxy).is_empty() {
        sleep(TICK_INTERVAL).await;
    }
}
