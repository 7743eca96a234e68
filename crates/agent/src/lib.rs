//! The agent: the one link of an edge machine to the control members, and the proxy's feed over loopback.
//!
//! It keeps a copy of the fleet's state ([`Gossip`]) and decides nothing. Either process of the machine may be killed
//! alone: a restarted proxy gets all from its agent, a restarted agent gets all from its proxy.

use runtrack_fleetconfig::Node;
use runtrack_link::{
    Dials, Environment, Gossip, Logger, MessageHandler, ProcessEvent, ProcessEvents, Session, Signals,
    listen,
};
use runtrack_message::{Hello, Member, Message, Role, WIRE_VERSION};
use runtrack_ring::{Ring, hash, rendezvous};
use slog::info;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

/// Members that an agent is linked to: its watchers. With five or fewer members these are all of them.
const WATCHERS: usize = 5;
/// Summing up backlogs, as a key of rendezvous hashing.
const BACKLOG: &[u8] = b"backlog";
/// How often the links are looked at.
const TICK: Duration = Duration::from_millis(250);
/// Where no watcher answers for this long, the seeds are asked as well.
const SEEDS_AFTER: Duration = Duration::from_millis(1500);
/// The agent outlives its proxy at the end, and ends this long before it would be killed.
const END_EARLY: Duration = Duration::from_millis(400);

/// Passes on what endpoints have to read: the proxy's part to the member that sums it up, the sum to the proxy.
struct Relay;

impl MessageHandler for Relay {
    fn on_connect(&self, gossip: &Rc<Gossip>, session: &Rc<Session>) {
        greet(gossip, session);
    }

    fn on_message(&self, gossip: &Rc<Gossip>, session: &Rc<Session>, message: Message) {
        let member = backlog_member(gossip);
        match message {
            Message::OwnBacklog(_) => {
                if let Some(member) = member {
                    member.send(&message);
                }
            }
            // One that summed up before its links changed has only a part.
            Message::FleetBacklog(_) if member.is_some_and(|member| member.key == session.key) => {
                gossip.broadcast_to(Role::Proxy, &message);
            }
            _ => {}
        }
    }
}

/// Tells a new proxy who is silent.
fn greet(gossip: &Gossip, session: &Session) {
    if session.peer.borrow().as_ref().is_some_and(|peer| peer.role == Role::Proxy) {
        session.send(&Message::Suspects(gossip.silent().into()));
    }
}

/// The member that sums backlogs up: the same one for all agents that are linked to the same members.
fn backlog_member(gossip: &Gossip) -> Option<Rc<Session>> {
    let name =
        |session: &Rc<Session>| session.dialled.map_or(0, |address| hash(address.to_string().as_bytes()));
    let sessions = gossip.peers(Role::Controller);
    let chosen = rendezvous(hash(BACKLOG), sessions.iter().map(name))?;
    sessions.into_iter().find(|session| name(session) == chosen)
}

/// The links that an agent keeps up.
struct Links {
    gossip: Rc<Gossip>,
    name: String,
    seeds: BTreeSet<SocketAddrV4>,
    dials: Dials,
    answered: Instant,
}

impl Links {
    fn new(gossip: Rc<Gossip>, node: &Node) -> Self {
        Links {
            name: node.name.clone(),
            seeds: node.seed_members(),
            dials: Dials::new(gossip.clone()),
            answered: Instant::now(),
            gossip,
        }
    }

    fn wanted(&self) -> BTreeSet<SocketAddrV4> {
        let members: BTreeSet<SocketAddrV4> =
            self.gossip.replica().members().set.iter().map(Member::address).collect();
        let lost = members.is_empty() || self.answered.elapsed() > SEEDS_AFTER;
        let ring = Ring::new(members, |member| member.to_string().into_bytes());
        let mut wanted: BTreeSet<SocketAddrV4> =
            ring.successors(self.name.as_bytes(), WATCHERS).into_iter().collect();
        if lost {
            wanted.extend(&self.seeds);
        }
        wanted
    }

    /// Dials who is wanted, and drops who is not.
    fn look(&mut self) {
        if !self.gossip.peers(Role::Controller).is_empty() {
            self.answered = Instant::now();
        }
        self.dials.keep(&self.wanted());
    }
}

/// Runs an agent until SIGTERM.
pub async fn run(node: Node, signals: Signals) -> Result<(), String> {
    run_in(Environment::system("agent", &node), node, signals.events()).await
}

/// Runs an agent in an environment until it is told to end.
pub async fn run_in(environment: Environment, node: Node, mut events: ProcessEvents) -> Result<(), String> {
    let logger = environment.logger.clone();
    info!(logger, "agent.start"; "first_boot" => node.first_boot);
    let gossip = Gossip::new_in(environment, hello_of(&node), node.heartbeat, Box::new(Relay));
    listen(gossip.clone(), node.feed)
        .await
        .map_err(|error| format!("listen.feed: {}: {error}", node.feed))?;
    spawn_local(gossip.clone().run());
    keep_links(Links::new(gossip.clone(), &node), &mut events, &logger).await;
    info!(logger, "agent.terminate");
    let _ = timeout(node.bounds.grace.saturating_sub(END_EARLY), proxy_gone(&gossip)).await;
    Ok(())
}

/// How an agent introduces itself on its links.
fn hello_of(node: &Node) -> Hello {
    Hello { wire: WIRE_VERSION, role: Role::Agent, node: node.name.as_str().into(), member: Member::none() }
}

/// Keeps the links that are wanted up until the process is told to end.
async fn keep_links(mut links: Links, events: &mut ProcessEvents, logger: &Logger) {
    let mut ticks = interval(TICK);
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
            _ = ticks.tick() => links.look(),
            _ = changes.changed() => links.look(),
        }
    }
}

/// Waits until the proxy has ended.
async fn proxy_gone(gossip: &Gossip) {
    while !gossip.peers(Role::Proxy).is_empty() {
        sleep(TICK).await;
    }
}
