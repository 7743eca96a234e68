//! Management of the members: dialling them, admitting joining processes, replacing lost members, leaving at the end.
//!
//! [`plan_membership`] decides on the next change; this module collects its input and executes the change. One member is the
//! coordinator, selected by rendezvous hashing over the members that are not suspected. Two concurrent coordinators are safe: a
//! change names the set that it was planned on, and the register applies it to no other.
//!
//! This file holds the state and the loop. `requests` records requests to join or to leave, `dialling` keeps links up,
//! `joining` and `leaving` implement the joining and leaving of this process, `coordinator` decides on changes, `change`
//! executes one in the register.
//!
//! [`plan_membership`]: runtrack_register::plan_membership

mod change;
mod coordinator;
mod dialling;
mod joining;
mod leaving;
mod requests;
mod settings;

pub use settings::MembershipSettings;

use crate::contact::MajorityContact;
use crate::copies::Copies;
use crate::leave_sync::LeaveSync;
use crate::member::MemberTask;
use crate::membership::requests::MembershipRequests;
use crate::proposer::Proposer;
use runtrack_link::{Dials, Gossip};
use runtrack_message::{Ballot, Member, Value};
use runtrack_net::mutant;
use runtrack_register::{WaitReason, initial_value, is_joint, members_of};
use slog::info;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Interval at which the membership is checked.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// The members, and the processes that ask to join.
pub struct Membership {
    gossip: Rc<Gossip>,
    proposer: Rc<Proposer>,
    member: Rc<MemberTask>,
    contact: Rc<MajorityContact>,
    leave_sync: Rc<LeaveSync>,
    me: Member,
    /// The value of the register before the first one is written.
    initial: Rc<Value>,
    seeds: RefCell<BTreeSet<SocketAddrV4>>,
    wanted: usize,
    leave_timeout: Duration,
    requests: RefCell<MembershipRequests>,
    copies: Copies,
    dials: Dials,
    /// When this process asked to join last.
    asked_to_join_at: Cell<Option<Instant>>,
    /// The reason why a change waits, as logged last.
    waiting: Cell<Option<WaitReason>>,
    /// This process is about to end and sends no more requests.
    shutting_down: Cell<bool>,
    /// It is a member, and that is logged.
    joined: Cell<bool>,
    wake: Notify,
}

impl Membership {
    /// Knows the seeds alone.
    pub fn new(
        gossip: Rc<Gossip>,
        proposer: Rc<Proposer>,
        member: Rc<MemberTask>,
        contact: Rc<MajorityContact>,
        leave_sync: Rc<LeaveSync>,
        settings: MembershipSettings,
    ) -> Rc<Self> {
        let copies = Copies::new(
            gossip.clone(),
            proposer.clone(),
            member.clone(),
            contact.clone(),
            settings.times.replica_wait,
        );
        Rc::new(Membership {
            me: gossip.me().member,
            dials: Dials::new(gossip.clone()),
            gossip,
            proposer,
            member,
            contact,
            leave_sync,
            initial: Rc::new(initial_value(&settings.first)),
            seeds: RefCell::new(settings.seeds),
            wanted: settings.wanted,
            copies,
            leave_timeout: settings.times.leave,
            requests: RefCell::default(),
            asked_to_join_at: Cell::new(None),
            waiting: Cell::new(None),
            shutting_down: Cell::new(false),
            joined: Cell::new(false),
            wake: Notify::new(),
        })
    }

    /// The settings name other seeds now.
    pub fn set_seeds(&self, seeds: BTreeSet<SocketAddrV4>) {
        *self.seeds.borrow_mut() = seeds;
    }

    fn members(&self) -> BTreeSet<Member> {
        self.gossip.replica().members().set.clone()
    }

    /// Looks after the membership for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => {}
                () = self.wake.notified() => {}
            }
            self.requests.borrow_mut().forget_old();
            self.dial();
            self.tick().await;
        }
    }

    /// The newest value known to be committed, or the initial one before the first; `None` while it is not known whether there is
    /// one.
    fn newest(&self) -> Option<(Ballot, Rc<Value>)> {
        let nothing_announced = self.gossip.replica().members().sequence == 0;
        let nothing_written =
            nothing_announced && self.proposer.is_informed() && !mutant("members-wait-for-a-value");
        let initial = || nothing_written.then(|| (Ballot::default(), self.initial.clone()));
        self.proposer.known().or_else(initial)
    }

    async fn tick(&self) {
        let Some((ballot, value)) = self.newest() else {
            if self.gossip.replica().members().sequence > 0 && !self.members().contains(&self.me) {
                self.request_to_join();
            }
            return;
        };
        let members = members_of(&value);
        let is_joint = is_joint(&value);
        let is_member = members.contains(&self.me);
        if !is_member {
            self.joined.set(false);
        } else if !is_joint && value.sequence > 0 && !self.joined.replace(true) {
            info!(self.gossip.logger(), "member.joined"; "sequence" => value.sequence);
        }
        let in_contact = self.contact.is_current();
        if in_contact {
            self.copies.observe(ballot, &value);
        }
        if !is_member {
            self.request_to_join();
        } else if in_contact && self.is_coordinator(&members) {
            self.coordinate(&value).await;
        }
    }
}
