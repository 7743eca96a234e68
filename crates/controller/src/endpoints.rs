//! Endpoints' calls: who is there, who leaves, and who has fallen silent.

use runtrack_link::{Gossip, Session};
use runtrack_message::{Endpoint, EndpointState, Message, Role};
use runtrack_register::majority_of;
use runtrack_registry::key_of;
use slog::info;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};

/// An endpoint waits a second for its acknowledgement.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);

/// An endpoint that has missed so many heartbeats, while others were heard, is silent.
const SILENT_BEATS: u32 = 3;

/// Takes endpoints' calls.
pub struct Endpoints {
    gossip: Rc<Gossip>,
    next: Cell<u64>,
    waiting: RefCell<HashMap<u64, UnboundedSender<SocketAddrV4>>>,
    /// HeartbeatTable here since the last report.
    heard: RefCell<BTreeSet<u64>>,
    /// Who is silent, as agents were told last.
    told: RefCell<Vec<u64>>,
}

impl Endpoints {
    /// Nobody has called yet.
    pub fn new(gossip: Rc<Gossip>) -> Rc<Self> {
        Rc::new(Endpoints {
            gossip,
            next: Cell::new(0),
            waiting: RefCell::default(),
            heard: RefCell::default(),
            told: RefCell::default(),
        })
    }

    /// Takes a call; whether it may be acknowledged. One that leaves is acknowledged once a majority of the members
    /// know, so that every proxy in touch hears of it whichever members it is linked to.
    pub async fn called(&self, record: Endpoint) -> bool {
        let id = record.id.as_string();
        let key = key_of(&id);
        let leaving = record.state != EndpointState::Ready;
        self.heard.borrow_mut().insert(key);
        self.gossip.note_heartbeats(&[key]);
        if self.gossip.merge(vec![record.clone()], None) {
            info!(self.gossip.logger(), "endpoint.changed"; "id" => &id, "state" => ?record.state);
        }
        !leaving || self.confirm(record).await
    }

    /// Waits until a majority of the members have merged a record.
    async fn confirm(&self, record: Endpoint) -> bool {
        let members: BTreeSet<SocketAddrV4> =
            self.gossip.replica().members().set.iter().map(|member| member.address()).collect();
        let me = self.gossip.me().member.address();
        let mut confirmed: BTreeSet<SocketAddrV4> =
            members.iter().copied().filter(|member| *member == me).collect();
        let needed = majority_of(members.len());
        let number = self.next.get() + 1;
        self.next.set(number);
        let (confirms, mut came) = unbounded_channel();
        self.waiting.borrow_mut().insert(number, confirms);
        let message = Message::Confirm(number, vec![record].into());
        for session in self.gossip.peers(Role::Controller) {
            if session.dialled.is_some_and(|address| members.contains(&address)) {
                session.send(&message);
            }
        }
        let until = Instant::now() + CONFIRM_TIMEOUT;
        while confirmed.len() < needed
            && let Ok(Some(from)) = timeout_at(until, came.recv()).await
        {
            confirmed.insert(from);
        }
        self.waiting.borrow_mut().remove(&number);
        confirmed.len() >= needed
    }

    /// A member has merged the record of this number.
    pub fn confirmed(&self, number: u64, session: &Session) {
        if let (Some(waiting), Some(from)) = (self.waiting.borrow().get(&number), session.dialled) {
            let _ = waiting.send(from); // the wait may be over
        }
    }

    /// Another member heard of these.
    pub fn relayed(&self, keys: &[u64]) {
        self.gossip.note_heartbeats(keys);
    }

    /// Endpoints that no member has heard of for too long.
    fn silent(&self) -> Vec<u64> {
        let replica = self.gossip.replica();
        let ready = replica.registry().iter().filter(|(_, record)| record.state == EndpointState::Ready);
        let mut silent: Vec<u64> =
            ready.map(|(key, _)| key).filter(|key| self.gossip.is_suspect(*key, SILENT_BEATS)).collect();
        silent.sort_unstable();
        silent
    }

    /// Tells members what was heard here, and agents what was not heard anywhere.
    pub async fn run(self: Rc<Self>, heartbeat: Duration) {
        let mut ticks = interval(heartbeat / 2);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let heard: Vec<u64> = self.heard.take().into_iter().collect();
            if !heard.is_empty() {
                self.gossip.broadcast_to(Role::Controller, &Message::HeartbeatRelay(heard.into()));
            }
            let silent = self.silent();
            if *self.told.borrow() != silent {
                self.gossip.broadcast_to(Role::Agent, &Message::Suspects(silent.clone().into()));
                *self.told.borrow_mut() = silent;
            }
        }
    }

    /// Tells a new agent who is silent.
    pub fn greet(&self, session: &Session) {
        session.send(&Message::Suspects(self.told.borrow().clone().into()));
    }
}
