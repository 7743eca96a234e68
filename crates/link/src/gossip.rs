//! Keeps the copies of linked processes alike.

use crate::environment::Environment;
use crate::session::{IDLE_LINK_TIMEOUT, SendQueue, Session};
use crate::trust::{agreed_suspects, config_sources};
use runtrack_message::{Digest, Endpoint, Hello, Message, Role, StateSummary, encode};
use runtrack_net::{Network, Tcp};
use runtrack_registry::{HeartbeatTable, Replica, StoredConfig};
use slog::{Logger, info, warn};
use std::cell::{Cell, Ref, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// What copies say of themselves without a cause goes out this often: it mends what was lost.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// A configuration that was asked for and has not come by then is asked for elsewhere.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// A change has reached those that are linked by then, or is lost.
const IN_FLIGHT: Duration = Duration::from_millis(800);
/// How often that is looked at.
const TICK: Duration = Duration::from_millis(200);

/// What a program does with messages that are not about the copies.
pub trait MessageHandler {
    /// A message that the gossip does not take itself.
    fn on_message(&self, gossip: &Rc<Gossip>, session: &Rc<Session>, message: Message);
    /// A link came up and its other side said who it is.
    fn on_connect(&self, _hub: &Rc<Gossip>, _session: &Rc<Session>) {}
    /// A link is down.
    fn on_disconnect(&self, _hub: &Rc<Gossip>, _session: &Rc<Session>) {}
}

/// For programs that take nothing else.
impl MessageHandler for () {
    fn on_message(&self, _: &Rc<Gossip>, _: &Rc<Session>, _: Message) {}
}

/// The copy of this process and its links.
pub struct Gossip {
    network: Rc<dyn Network>,
    me: Hello,
    logger: Logger,
    heartbeat: Duration,
    born: Instant,
    /// When this process started, or went on after it had stood still.
    awake_since: Cell<Instant>,
    replica: RefCell<Replica>,
    heard: RefCell<HeartbeatTable>,
    /// Endpoints that are silent, as told.
    silent: RefCell<BTreeSet<u64>>,
    sessions: RefCell<Vec<Rc<Session>>>,
    next: Cell<usize>,
    fetching: Cell<Option<(u64, Instant)>>,
    /// When records changed last.
    changed_at: Cell<Instant>,
    changes: watch::Sender<u64>,
    handler: Box<dyn MessageHandler>,
}

impl Gossip {
    /// A copy with nothing in it and no links, which are made over the system's sockets.
    pub fn new(
        me: Hello,
        heartbeat: Duration,
        logger: Logger,
        handler: Box<dyn MessageHandler>,
    ) -> Rc<Self> {
        let environment = Environment { network: Rc::new(Tcp), logger };
        Gossip::new_in(environment, me, heartbeat, handler)
    }

    /// A copy with nothing in it and no links, which are made over the environment's network.
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
            born: Instant::now(),
            awake_since: Cell::new(Instant::now()),
            replica: RefCell::default(),
            heard: RefCell::default(),
            silent: RefCell::default(),
            sessions: RefCell::default(),
            next: Cell::new(0),
            fetching: Cell::new(None),
            changed_at: Cell::new(Instant::now()),
            changes: watch::channel(0).0,
            handler,
        })
    }

    /// Makes and takes its links.
    pub fn network(&self) -> &Rc<dyn Network> {
        &self.network
    }

    /// Who this process is.
    pub fn me(&self) -> &Hello {
        &self.me
    }

    /// Its log.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// The copy, to read.
    pub fn replica(&self) -> Ref<'_, Replica> {
        self.replica.borrow()
    }

    /// Tells of each change of the copy.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Links that are up, in the order of their coming.
    pub fn sessions(&self) -> Vec<Rc<Session>> {
        self.sessions.borrow().clone()
    }

    /// Links whose other side has this role.
    pub fn peers(&self, role: Role) -> Vec<Rc<Session>> {
        let such =
            |session: &&Rc<Session>| session.peer.borrow().as_ref().is_some_and(|peer| peer.role == role);
        self.sessions.borrow().iter().filter(such).cloned().collect()
    }

    /// Live proxies. A control member counts the agents that are linked to it; others go by who is nearer to the
    /// control members than they are, and by the largest count.
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

    /// Time on this gossip's clock.
    pub fn now(&self) -> Duration {
        self.born.elapsed()
    }

    /// Whether an endpoint has been silent for so many heartbeats while others were heard, as this member knows.
    pub fn is_suspect(&self, key: u64, beats: u32) -> bool {
        self.heard.borrow().is_suspect(self.now(), self.heartbeat, beats, key)
    }

    /// Whether an endpoint is silent as far as every neighbour that is nearer to the endpoints says so.
    pub fn is_silent(&self, key: u64) -> bool {
        self.silent.borrow().contains(&key)
    }

    /// What all those say who are nearer and whose word counts; nothing where there is none.
    fn update_suspects(&self) {
        let nearer = if self.me.role == Role::Agent { Role::Controller } else { Role::Agent };
        let sessions = self.peers(nearer);
        let all = agreed_suspects(&sessions);
        if *self.silent.borrow() == all {
            return;
        }
        *self.silent.borrow_mut() = all;
        if self.me.role == Role::Agent {
            self.broadcast_to(Role::Proxy, &Message::Suspects(self.silent().into()));
        }
        self.changed();
    }

    /// Endpoints that are silent, as told.
    pub fn silent(&self) -> Vec<u64> {
        self.silent.borrow().iter().copied().collect()
    }

    /// These endpoints were heard of.
    pub fn note_heartbeats(&self, keys: &[u64]) {
        self.heard.borrow_mut().note(self.now(), self.heartbeat, keys.iter().copied());
    }

    /// News of endpoints may have been missed: nobody is suspect until it has come without a gap again.
    pub fn interrupt_heartbeats(&self) {
        self.heard.borrow_mut().interrupt();
    }

    /// Sends to all links but one.
    pub fn broadcast(&self, message: &Message, except: Option<usize>) {
        let Ok(payload) = encode(message) else { return };
        let payload = bytes::Bytes::from(payload);
        for session in self.sessions.borrow().iter().filter(|session| Some(session.key) != except) {
            session.send_encoded(payload.clone());
        }
    }

    /// Merges records and tells the other links what is new; whether anything was.
    pub fn merge(&self, records: Vec<Endpoint>, from: Option<usize>) -> bool {
        let new = self.replica.borrow_mut().merge(records);
        if new.is_empty() {
            return false;
        }
        let keys: Vec<u64> =
            new.iter().map(|record| runtrack_registry::key_of(&record.id.as_string())).collect();
        self.heard.borrow_mut().note(self.now(), self.heartbeat, keys);
        self.broadcast(&Message::Entries(new.into()), from);
        self.changed_at.set(Instant::now());
        self.changed();
        true
    }

    /// Takes a configuration that is chosen.
    pub fn take_config(&self, version: u64, body: Vec<u8>) -> bool {
        if !self.replica.borrow_mut().take_config(version, body) {
            return false;
        }
        info!(self.logger, "config.taken"; "version" => version);
        self.announce();
        self.changed();
        true
    }

    /// Takes members that are chosen.
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
        self.announce();
        self.changed();
        true
    }

    fn announce(&self) {
        let notice = self.replica.borrow().notice(self.proxies());
        self.broadcast(&notice, None);
    }

    fn changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    pub(crate) fn enter(&self, dialled: Option<SocketAddrV4>) -> (Rc<Session>, SendQueue) {
        let key = self.next.get();
        self.next.set(key + 1);
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
        session.send(&replica.have());
        session.send(&replica.notice(self.proxies()));
    }

    pub(crate) fn leave(self: &Rc<Self>, session: &Rc<Session>) {
        self.sessions.borrow_mut().retain(|other| other.key != session.key);
        if session.peer.borrow().is_some() {
            self.handler.on_disconnect(self, session);
        }
        if self.me.role != Role::Controller {
            self.update_suspects();
        }
        self.changed();
    }

    pub(crate) fn log_broken(&self, session: &Session, problem: &str) {
        warn!(self.logger, "link.broken"; "session" => session.key, "problem" => problem);
    }

    /// A link stood still: what its other side said of the moment counts no more.
    pub(crate) fn on_standstill(&self, session: &Session) {
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
                self.changed();
            }
            Message::Digest(digest) => self.on_digest(session, &digest),
            Message::RangeDigests(ranges) => {
                if let Some(answer) = self.replica.borrow().answer_ranges(ranges.items()) {
                    session.send(&answer);
                }
            }
            Message::StateSummary(summary) => self.on_summary(session, summary),
            Message::Fetch(version) => {
                if let Some(answer) = self.replica.borrow().answer_fetch(version) {
                    session.send(&answer);
                }
            }
            Message::Config(config) => {
                self.take_config(config.version, config.body.into_vec());
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

    /// Records only rise: late ones are merged, since nobody else may hold them any more. All else that is late is dropped.
    fn on_stale_message(&self, session: &Session, message: Message) {
        if let Message::Entries(records) | Message::Confirm(_, records) = message {
            self.merge(records.into_vec(), Some(session.key));
        }
    }

    fn on_digest(&self, session: &Session, digest: &Digest) {
        // Right behind a change the other side may only not have heard yet; not so on a new link.
        let first = !session.compared.replace(true);
        let settled = self.changed_at.get().elapsed() >= IN_FLIGHT;
        let answer = self.replica.borrow().answer_have(digest).filter(|_| first || settled);
        if let Some(answer) = answer {
            session.send(&answer);
        }
        if digest.version < self.replica.borrow().version() {
            session.send(&self.replica.borrow().notice(self.proxies()));
        }
    }

    /// Sends to all links whose other side has this role.
    pub fn broadcast_to(&self, role: Role, message: &Message) {
        let Ok(payload) = encode(message) else { return };
        let payload = bytes::Bytes::from(payload);
        self.peers(role).iter().for_each(|session| session.send_encoded(payload.clone()));
    }

    /// A controller says whether it is in contact. What it said about endpoints before it lost contact is old when it is
    /// back.
    fn on_majority_contact(&self, session: &Session, current: bool) {
        session.in_contact.set(current);
        if !current {
            session.suspects.borrow_mut().clear();
        }
        self.update_suspects();
        self.fetch();
    }

    fn on_summary(&self, session: &Rc<Session>, notice: StateSummary) {
        session.noticed.set(notice.version);
        if session.proxies.replace(notice.proxies) != notice.proxies {
            self.changed();
        }
        // Only what is chosen is ever told.
        self.take_members(notice.sequence, notice.members.into_vec().into_iter().collect());
        self.fetch();
    }

    /// Asks for a newer configuration, one link at a time.
    fn fetch(&self) {
        let version = self.replica.borrow().version();
        let awake = self.awake_since.get().elapsed();
        let sources: Vec<Rc<Session>> = config_sources(self.me.role, awake, self.sessions()).collect();
        let newest = sources.iter().map(|session| session.noticed.get()).max().unwrap_or(0);
        if newest <= version {
            return;
        }
        let asked = self.fetching.get();
        if asked.is_some_and(|(what, at)| what >= newest && at.elapsed() < FETCH_TIMEOUT) {
            return;
        }
        let having: Vec<&Rc<Session>> =
            sources.iter().filter(|session| session.noticed.get() == newest).collect();
        if let Some(session) = fastrand::choice(&having) {
            session.send(&Message::Fetch(version));
            self.fetching.set(Some((newest, Instant::now())));
        }
    }

    /// Repeats what mends losses, for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut told = Instant::now();
        let mut ticked = Instant::now();
        loop {
            ticks.tick().await;
            if ticked.elapsed() >= IDLE_LINK_TIMEOUT {
                self.awake_since.set(Instant::now());
            }
            ticked = Instant::now();
            self.fetch();
            if told.elapsed() >= REPEAT_INTERVAL {
                told = Instant::now();
                self.sessions().iter().for_each(|session| self.send_summary(session));
            }
        }
    }

    /// The configuration of the copy.
    pub fn config(&self) -> Option<Rc<StoredConfig>> {
        self.replica.borrow().config().cloned()
    }
}
