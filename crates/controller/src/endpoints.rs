//! Endpoints' calls: heartbeats, leaves, and the detection of stalled endpoints.

use crate::confirmations::Confirmations;
use crate::contact::MajorityContact;
use crate::leaves::Leaves;
use runtrack_link::{Gossip, Session};
use runtrack_message::{Endpoint, EndpointState, Message, Role};
use runtrack_net::mutant;
use runtrack_registry::key_of;
use slog::info;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};

/// Number of missed heartbeats, while others arrived, after which an endpoint counts as stalled.
pub(crate) const MISSED_HEARTBEATS: u32 = 3;

/// Handles endpoints' calls.
pub struct Endpoints {
    gossip: Rc<Gossip>,
    contact: Rc<MajorityContact>,
    confirmations: Confirmations,
    /// Endpoints whose heartbeats came here since the last relay.
    heard: RefCell<BTreeSet<u64>>,
    /// The stalled endpoints that agents were notified of last.
    reported: RefCell<Vec<u64>>,
}

impl Endpoints {
    /// The initial state, without calls.
    pub fn new(gossip: Rc<Gossip>, contact: Rc<MajorityContact>, leaves: Rc<Leaves>) -> Rc<Self> {
        let confirmations = Confirmations::new(gossip.clone(), contact.clone(), leaves);
        Rc::new(Endpoints {
            gossip,
            contact,
            confirmations,
            heard: RefCell::default(),
            reported: RefCell::default(),
        })
    }

    /// Handles a call; returns whether it may be acknowledged. None is while this process is not in contact with a majority: the
    /// endpoint must call a member that is. A leave is acknowledged once a majority of the members have it on disk, so that every
    /// connected proxy learns of it whichever members it is linked to. The record is merged and forwarded in any case.
    pub async fn on_call(&self, record: Endpoint) -> bool {
        let id = record.id.as_string();
        let key = key_of(&id);
        let leaving = record.state != EndpointState::Ready;
        self.heard.borrow_mut().insert(key);
        self.gossip.note_heartbeats(&[key]);
        if self.gossip.merge(vec![record.clone()], None) {
            info!(self.gossip.logger(), "endpoint.changed"; "id" => &id, "state" => ?record.state);
        }
        let in_contact = self.contact.is_current() || mutant("heartbeats-out-of-contact");
        in_contact && (!leaving || self.confirmations.confirm(record).await)
    }

    /// A member has the record of this number on its disk.
    pub fn on_confirmed(&self, number: u64, session: &Session) {
        self.confirmations.on_confirmed(number, session);
    }

    /// Handles heartbeats of these endpoints that another member relays.
    pub fn on_heartbeat_relay(&self, keys: &[u64]) {
        self.gossip.note_heartbeats(keys);
    }

    /// Endpoints from which no member has received a heartbeat for too long; none while this process is not in contact.
    fn stalled(&self) -> Vec<u64> {
        if !self.contact.is_current() && !mutant("suspects-out-of-contact") {
            return Vec::new();
        }
        let replica = self.gossip.replica();
        let ready = replica.registry().iter().filter(|(_, record)| record.state == EndpointState::Ready);
        let mut stalled: Vec<u64> = ready
            .map(|(key, _)| key)
            .filter(|key| self.gossip.is_suspect(*key, MISSED_HEARTBEATS))
            .collect();
        stalled.sort_unstable();
        stalled
    }

    /// Relays heartbeats to the other members and notifies agents of stalled endpoints, while the process runs.
    pub async fn run(self: Rc<Self>, heartbeat: Duration) {
        let mut ticks = interval(heartbeat / 2);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let heard: Vec<u64> = self.heard.take().into_iter().collect();
            if !heard.is_empty() {
                self.gossip.broadcast_to(Role::Controller, &Message::HeartbeatRelay(heard.into()));
            }
            let stalled = self.stalled();
            if *self.reported.borrow() != stalled {
                self.gossip.broadcast_to(Role::Agent, &Message::Suspects(stalled.clone().into()));
                *self.reported.borrow_mut() = stalled;
            }
        }
    }

    /// Notifies a new agent of the stalled endpoints.
    pub fn on_agent_connect(&self, session: &Session) {
        session.send(&Message::Suspects(self.reported.borrow().clone().into()));
    }
}
