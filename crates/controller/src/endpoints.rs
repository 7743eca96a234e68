//! Endpoints' calls: who is there, who leaves, and who has fallen silent.

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

/// An endpoint that has missed so many heartbeats, while others were heard, is silent.
const SILENT_BEATS: u32 = 3;

/// Takes endpoints' calls.
pub struct Endpoints {
    gossip: Rc<Gossip>,
    contact: Rc<MajorityContact>,
    confirmations: Confirmations,
    /// Endpoints that were heard here since the last report.
    heard: RefCell<BTreeSet<u64>>,
    /// Who is silent, as agents were told last.
    told: RefCell<Vec<u64>>,
}

impl Endpoints {
    /// Nobody has called yet.
    pub fn new(gossip: Rc<Gossip>, contact: Rc<MajorityContact>, leaves: Rc<Leaves>) -> Rc<Self> {
        let confirmations = Confirmations::new(gossip.clone(), contact.clone(), leaves);
        Rc::new(Endpoints {
            gossip,
            contact,
            confirmations,
            heard: RefCell::default(),
            told: RefCell::default(),
        })
    }

    /// Takes a call; whether it may be acknowledged. Nothing is while this process is not in contact with a majority:
    /// the endpoint is to call a member that others hear. One that leaves is acknowledged once a majority of the
    /// members have it on disk, so that every proxy in touch hears of it whichever members it is linked to. What the call says is
    /// taken and told on in any case.
    pub async fn called(&self, record: Endpoint) -> bool {
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
    pub fn confirmed(&self, number: u64, session: &Session) {
        self.confirmations.on_confirmed(number, session);
    }

    /// Another member heard of these.
    pub fn relayed(&self, keys: &[u64]) {
        self.gossip.note_heartbeats(keys);
    }

    /// Endpoints that no member has heard of for too long; nobody while this process is not in contact.
    fn silent(&self) -> Vec<u64> {
        if !self.contact.is_current() && !mutant("suspects-out-of-contact") {
            return Vec::new();
        }
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
