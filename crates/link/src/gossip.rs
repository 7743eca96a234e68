//! Anti-entropy between linked processes: each change of the replicated state (configuration, members, endpoints) is sent
//! to all links at once, and periodic digests find and repair what was lost.

use crate::changes::{ChangeReceiver, Changes};
use crate::config_exchange::ConfigExchange;
use crate::environment::Environment;
use crate::session::{IDLE_LINK_TIMEOUT, SendQueue, Session};
use crate::trust::{agreed_suspects, config_sources};
use runtrack_message::{ConfigDelta, Digest, Endpoint, Hello, Message, Role, StateSummary, encode};
use runtrack_net::{Network, Tcp, mutant};
use runtrack_registry::{HeartbeatTable, Replica, StoredConfig};
use slog::{Logger, info, warn};
use std::cell::{Cell, Ref, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Interval at which each link is sent a digest and a summary without a change: it repairs lost messages.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// Time within which a change reaches the linked processes, unless it is lost. Digests that differ sooner are ignored.
const PROPAGATION_TIME: Duration = Duration::from_millis(800);
/// Interval of the periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Handles the messages that the gossip does not handle itself.
pub trait MessageHandler {
    /// A message other than those of the exchange of state.
    fn on_message(&self, gossip: &Rc<Gossip>, session: &Rc<Session>, message: Message);
    /// A link is up and its peer has introduced itself with [`Message::Hello`].
    fn on_connect(&self, _gossip: &Rc<Gossip>, _session: &Rc<Session>) {}
    /// These records of endpoints have changed here.
    fn on_merged(&self, _records: &[Endpoint]) {}
    /// A link whose peer had introduced itself has ended.
    fn on_disconnect(&self, _gossip: &Rc<Gossip>, _session: &Rc<Session>) {}
}

/// For programs that need no other messages.
impl MessageHandler for () {
    fn on_message(&self, _: &Rc<Gossip>, _: &Rc<Session>, _: Message) {}
}

/// The replica of this process, its links, and the exchange that keeps the replicas of linked processes equal.
pub struct Gossip {
    network: Rc<dyn Network>,
    me: Hello,
    logger: Logger,
    heartbeat: Duration,
    started_at: Instant,
    /// When this process started, or resumed after a pause longer than [`IDLE_LINK_TIMEOUT`].
    resumed_at: Cell<Instant>,
    replica: RefCell<Replica>,
    heartbeats: RefCell<HeartbeatTable>,
    /// Endpoints that all trusted upstream peers report as suspect, by key.
    reported_suspects: RefCell<BTreeSet<u64>>,
    sessions: RefCell<Vec<Rc<Session>>>,
    next_key: Cell<usize>,
    config_exchange: ConfigExchange,
    /// When endpoint records changed last.
    changed_at: Cell<Instant>,
    changes: Rc<Changes>,
    handler: Box<dyn MessageHandler>,
}

impl Gossip {
    /// An empty replica without links; links use the system's sockets.
    pub fn new(
        me: Hello,
        heartbeat: Duration,
        logger: Logger,
        handler: Box<dyn MessageHandler>,
    ) -> Rc<Self> {
        let environment = Environment { network: Rc::new(Tcp), logger };
        Gossip::new_in(environment, me, heartbeat, handler)
    }

    /// An empty replica without links; links use the environment's network.
    pub fn new_in(
        environment: Environment,
        me: Hello,
        heartbeat: Duration,
        handler: Box<dyn MessageHandler>,
    ) -> Rc<Self> {
        let Environment { network, logger } = environment;
        Rc::new(Gossip {
            network,
            me,
            logger,
            heartbeat,
            started_at: Instant::now(),
            resumed_at: Cell::new(Instant::now()),
            replica: RefCell::default(),
            heartbeats: RefCell::default(),
            reported_suspects: RefCell::default(),
            sessions: RefCell::default(),
            next_key: Cell::new(0),
            config_exchange: ConfigExchange::default(),
            changed_at: Cell::new(Instant::now()),
            changes: Rc::default(),
            handler,
        })
    }

    /// The network that links are dialled and accepted on.
    pub fn network(&self) -> &Rc<dyn Network> {
        &self.network
    }

    /// How this process introduces itself to peers.
    pub fn me(&self) -> &Hello {
        &self.me
    }

    /// The log of the process.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// The replica, for reading. The borrow must end before the next change.
    pub fn replica(&self) -> Ref<'_, Replica> {
        self.replica.borrow()
    }

    /// A receiver that is notified of each change of the replica, the links or the suspects.
    pub fn changes(&self) -> ChangeReceiver {
        self.changes.subscribe()
    }

    /// Links that are up, oldest first.
    pub fn sessions(&self) -> Vec<Rc<Session>> {
        self.sessions.borrow().clone()
    }

    /// Links to peers of this role, oldest first.
    pub fn peers(&self, role: Role) -> Vec<Rc<Session>> {
        self.sessions.borrow().iter().filter(|session| session.has_role(role)).cloned().collect()
    }

    /// Number of live proxies. A controller counts the agents that are linked to it; agents and proxies take the largest
    /// count that their upstream peers (controllers, the agent) report.
    pub fn proxies(&self) -> u32 {
        let nearer = match self.me.role {
            Role::Controller => {
                let names = self.peers(Role::Agent).into_iter().filter_map(|session| session.peer_name());
                return names.collect::<BTreeSet<String>>().len() as u32;
            }
            Role::Agent => Role::Controller,
            Role::Proxy => Role::Agent,
        };
        self.peers(nearer).iter().map(|session| session.proxies.get()).max().unwrap_or(0)
    }

    /// Time since this gossip was made.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Whether this process has seen no heartbeat of an endpoint for `missed` heartbeat intervals while it saw others'.
    pub fn is_suspect(&self, key: u64, missed: u32) -> bool {
        self.heartbeats.borrow().is_suspect(self.now(), self.heartbeat, missed, key)
    }

    /// Whether all trusted upstream peers report an endpoint as suspect.
    pub fn is_reported_suspect(&self, key: u64) -> bool {
        self.reported_suspects.borrow().contains(&key)
    }

    /// Recomputes the reported suspects from the upstream peers (controllers, the agent), and forwards a change.
    fn update_suspects(&self) {
        let nearer = if self.me.role == Role::Agent { Role::Controller } else { Role::Agent };
        let sessions = self.peers(nearer);
        let all = agreed_suspects(&sessions, &self.replica.borrow().members().set);
        if *self.reported_suspects.borrow() == all {
            return;
        }
        *self.reported_suspects.borrow_mut() = all;
        if self.me.role == Role::Agent {
            self.broadcast_to(Role::Proxy, &Message::Suspects(self.reported_suspects().into()));
        }
        self.notify_changed();
    }

    /// Keys of the endpoints that all trusted upstream peers report as suspect, in ascending order.
    pub fn reported_suspects(&self) -> Vec<u64> {
        self.reported_suspects.borrow().iter().copied().collect()
    }

    /// Heartbeats of these endpoints have arrived.
    pub fn note_heartbeats(&self, keys: &[u64]) {
        self.heartbeats.borrow_mut().note(self.now(), self.heartbeat, keys.iter().copied());
    }

    /// Heartbeats may have been missed: no endpoint is suspect until they have arrived without a gap again.
    pub fn interrupt_heartbeats(&self) {
        self.heartbeats.borrow_mut().interrupt();
    }

    /// Sends a message to all links except the one with the key `except`.
    pub fn broadcast(&self, message: &Message, except: Option<usize>) {
        let Ok(payload) = encode(message) else { return };
        let payload = bytes::Bytes::from(payload);
        for session in self.sessions.borrow().iter().filter(|session| Some(session.key) != except) {
            session.send_encoded(payload.clone());
        }
    }

    /// Merges endpoint records and forwards the new ones to all links except the one with the key `from`. Returns whether
    /// any was new.
    pub fn merge(&self, records: Vec<Endpoint>, from: Option<usize>) -> bool {
        let new = self.replica.borrow_mut().merge(records);
        if new.is_empty() {
            return false;
        }
        let keys: Vec<u64> =
            new.iter().map(|record| runtrack_registry::key_of(&record.id.as_string())).collect();
        self.heartbeats.borrow_mut().note(self.now(), self.heartbeat, keys);
        self.handler.on_merged(&new);
        if from.is_some() || !mutant("confirmed-before-merged") {
            self.broadcast(&Message::Entries(new.into()), from);
        }
        self.changed_at.set(Instant::now());
        self.notify_changed();
        true
    }

    /// Stores a committed configuration if it is newer than the replica's, and announces it. Returns whether it was.
    pub fn take_config(&self, version: u64, body: Vec<u8>) -> bool {
        if !self.replica.borrow_mut().take_config(version, body) {
            return false;
        }
        self.config_taken(version);
        true
    }

    fn config_taken(&self, version: u64) {
        info!(self.logger, "config.taken"; "version" => version);
        self.announce();
        self.notify_changed();
    }

    /// Stores a committed configuration that comes by difference. Where it can't be applied it is requested again: by
    /// difference to what is here now, or in full.
    fn take_config_delta(&self, session: &Session, delta: &ConfigDelta) {
        self.config_exchange.note_answer(session);
        let taken = self.replica.borrow_mut().take_config_delta(delta);
        let version = self.replica.borrow().version();
        match taken {
            Ok(true) => self.config_taken(delta.version),
            Ok(false) => {}
            // Another configuration has come since the request.
            Err(_) if delta.base_version > 0 && delta.base_version != version => {
                self.config_exchange.request(session, version);
            }
            Err(problem) => {
                warn!(self.logger, "config.delta_refused"; "version" => delta.version,
                    "base" => delta.base_version, "problem" => %problem);
                if delta.base_version > 0 {
                    self.config_exchange.request(session, 0);
                }
            }
        }
    }

    /// Stores a committed member set if its sequence number is higher, and announces it. Returns whether it was.
    pub fn take_members(&self, sequence: u64, set: BTreeSet<runtrack_message::Member>) -> bool {
        let before = self.replica.borrow().members().set.clone();
        if !self.replica.borrow_mut().take_members(sequence, set) {
            return false;
        }
        let members = self.replica.borrow().members().set.clone();
        if members != before && self.me.role != Role::Proxy {
            let names: Vec<String> = members.iter().map(|member| member.address().to_string()).collect();
            info!(self.logger, "members.known"; "sequence" => sequence, "members" => names.join(" "));
        }
        if self.me.role == Role::Agent {
            self.update_suspects();
        }
        self.announce();
        self.notify_changed();
        true
    }

    fn announce(&self) {
        let summary = self.replica.borrow().summary(self.proxies());
        self.broadcast(&summary, None);
    }

    fn notify_changed(&self) {
        self.changes.notify();
    }

    pub(crate) fn add_session(&self, dialled: Option<SocketAddrV4>) -> (Rc<Session>, SendQueue) {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        let (session, queue) = Session::new(key, dialled);
        let session = Rc::new(session);
        self.sessions.borrow_mut().push(session.clone());
        (session, queue)
    }

    pub(crate) fn on_connect(&self, session: &Session) {
        session.send(&Message::Hello(self.me.clone()));
        self.send_summary(session);
    }

    fn send_summary(&self, session: &Session) {
        let replica = self.replica.borrow();
        session.send(&replica.digest());
        session.send(&replica.summary(self.proxies()));
    }

    pub(crate) fn remove_session(self: &Rc<Self>, session: &Rc<Session>) {
        self.sessions.borrow_mut().retain(|other| other.key != session.key);
        if session.peer.borrow().is_some() {
            self.handler.on_disconnect(self, session);
        }
        if self.me.role != Role::Controller {
            self.update_suspects();
        }
        self.notify_changed();
    }

    pub(crate) fn log_broken(&self, session: &Session, problem: &str) {
        warn!(self.logger, "link.broken"; "session" => session.key, "problem" => problem);
    }

    /// A link has paused for too long: what its peer reported of the moment no longer counts.
    pub(crate) fn set_stale(&self, session: &Session) {
        session.stale.set(true);
        self.on_majority_contact(session, false);
    }

    pub(crate) fn on_message(self: &Rc<Self>, session: &Rc<Session>, message: Message) {
        if session.stale.get() {
            return self.on_stale_message(session, message);
        }
        match message {
            Message::Hello(hello) => {
                *session.peer.borrow_mut() = Some(hello);
                self.handler.on_connect(self, session);
                self.notify_changed();
            }
            Message::Digest(digest) => self.on_digest(session, &digest),
            Message::RangeDigests(ranges) => {
                if let Some(answer) = self.replica.borrow().answer_ranges(ranges.items()) {
                    session.send(&answer);
                }
            }
            Message::StateSummary(summary) => self.on_summary(session, summary),
            Message::Fetch(version) => {
                let answer =
                    self.config_exchange.answer(&self.replica.borrow(), version, session.peer_wire());
                if let Some(answer) = answer {
                    session.send_encoded(answer);
                }
            }
            Message::FetchChunkDigests(_) => {
                if let Some(answer) = self.replica.borrow().answer_fetch_digests() {
                    session.send(&answer);
                }
            }
            Message::ChunkDigests(digests) => {
                if let Some(answer) = self.replica.borrow().answer_digests(digests) {
                    session.send(&answer);
                }
            }
            Message::Config(config) => {
                self.config_exchange.note_answer(session);
                self.take_config(config.version, config.body.into_vec());
                self.fetch();
            }
            Message::ConfigDelta(delta) => {
                self.take_config_delta(session, &delta);
                self.fetch();
            }
            Message::Entries(records) => {
                self.merge(records.into_vec(), Some(session.key));
            }
            Message::Suspects(keys) => {
                *session.suspects.borrow_mut() = keys.into_vec().into_iter().collect();
                self.update_suspects();
            }
            Message::MajorityContact(current) => self.on_majority_contact(session, current),
            Message::Ping => {}
            other => self.handler.on_message(self, session, other),
        }
    }

    /// Handles a message that a paused link delivers late. Endpoint records are merged, since they only advance and no
    /// other process may hold them any more; all else is dropped.
    fn on_stale_message(&self, session: &Session, message: Message) {
        if let Message::Entries(records) | Message::Confirm(_, records) = message {
            self.merge(records.into_vec(), Some(session.key));
        }
    }

    fn on_digest(&self, session: &Session, digest: &Digest) {
        // Shortly after a change the message with it may still be on its way to the peer; not so on a new link.
        let first = !session.compared.replace(true);
        let settled = self.changed_at.get().elapsed() >= PROPAGATION_TIME;
        let answer = self.replica.borrow().answer_digest(digest).filter(|_| first || settled);
        if let Some(answer) = answer {
            session.send(&answer);
        }
        if digest.version < self.replica.borrow().version() {
            session.send(&self.replica.borrow().summary(self.proxies()));
        }
    }

    /// Sends a message to all peers of this role.
    pub fn broadcast_to(&self, role: Role, message: &Message) {
        self.broadcast_since(role, 0, message);
    }

    /// The same, to those alone that read this version of the wire format or a later one.
    pub fn broadcast_since(&self, role: Role, wire: u16, message: &Message) {
        let Ok(payload) = encode(message) else { return };
        let payload = bytes::Bytes::from(payload);
        let peers = self.peers(role).into_iter().filter(|session| session.peer_wire() >= wire);
        peers.for_each(|session| session.send_encoded(payload.clone()));
    }

    /// A controller reports whether it is in contact with a majority. What it reported about endpoints before it lost
    /// contact is outdated once it is back.
    fn on_majority_contact(&self, session: &Session, current: bool) {
        session.in_contact.set(current);
        if !current {
            session.suspects.borrow_mut().clear();
        }
        self.update_suspects();
        self.fetch();
    }

    fn on_summary(&self, session: &Rc<Session>, summary: StateSummary) {
        session.announced_version.set(summary.version);
        if session.proxies.replace(summary.proxies) != summary.proxies {
            self.notify_changed();
        }
        // Only committed member sets are ever announced.
        self.take_members(summary.sequence, summary.members.into_vec().into_iter().collect());
        self.fetch();
    }

    /// Requests a newer configuration from one peer at a time.
    fn fetch(&self) {
        let version = self.replica.borrow().version();
        let running_for = self.resumed_at.get().elapsed();
        let sources: Vec<Rc<Session>> =
            config_sources(self.me.role, running_for, self.sessions()).collect();
        let newest = sources.iter().map(|session| session.announced_version.get()).max().unwrap_or(0);
        if newest <= version || self.config_exchange.is_pending(&sources) {
            return;
        }
        let having: Vec<&Rc<Session>> =
            sources.iter().filter(|session| session.announced_version.get() == newest).collect();
        if let Some(session) = fastrand::choice(&having) {
            self.config_exchange.request(session, version);
        }
    }

    /// Repeats digests and summaries that repair losses, for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_repeat = Instant::now();
        let mut last_tick = Instant::now();
        loop {
            ticks.tick().await;
            if last_tick.elapsed() >= IDLE_LINK_TIMEOUT {
                self.resumed_at.set(Instant::now());
            }
            last_tick = Instant::now();
            self.fetch();
            if last_repeat.elapsed() >= REPEAT_INTERVAL {
                last_repeat = Instant::now();
                self.sessions().iter().for_each(|session| self.send_summary(session));
            }
        }
    }

    /// The configuration of the replica.
    pub fn config(&self) -> Option<Rc<StoredConfig>> {
        self.replica.borrow().config().cloned()
    }
}
