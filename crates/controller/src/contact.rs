//! Contact with a majority of the members, proven by probes: see [`ContactTable`].
//!
//! It bounds the age of the state from which this process answers. It gives no exclusive right: operations of the register
//! still run their rounds.

use crate::member::MemberTask;
use crate::proposer::Proposer;
use runtrack_failure_detector::{ContactTable, ContactTimes};
use runtrack_link::{Gossip, Session};
use runtrack_message::{Ballot, CONTACT_WIRE_VERSION, Member, Message, ProbeReply, Role};
use runtrack_net::mutant;
use runtrack_register::sets_of;
use slog::info;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{MissedTickBehavior, interval, sleep};

/// Interval at which each other controller is probed.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Contact that was proven within this time is current, counted from the sending of the probe.
pub const CONTACT_LEASE: Duration = Duration::from_millis(800);

/// Whom this controller is in contact with.
pub struct MajorityContact {
    gossip: Rc<Gossip>,
    proposer: Rc<Proposer>,
    member: Rc<MemberTask>,
    /// Members before the first value.
    first: BTreeSet<Member>,
    table: RefCell<ContactTable<Member>>,
    /// Ballots that others have on disk, by their last replies.
    accepted: RefCell<BTreeMap<Member, Ballot>>,
    /// The state that agents were notified of last.
    reported: Cell<bool>,
    proven: Notify,
}

impl MajorityContact {
    /// The initial state, without contact.
    pub fn new(
        gossip: Rc<Gossip>,
        proposer: Rc<Proposer>,
        member: Rc<MemberTask>,
        first: BTreeSet<Member>,
        suspicion: Duration,
    ) -> Rc<Self> {
        let times = ContactTimes { lease: CONTACT_LEASE, suspicion };
        let table = ContactTable::new(gossip.me().member, times, fastrand::u64(..));
        Rc::new(MajorityContact {
            gossip,
            proposer,
            member,
            first,
            table: RefCell::new(table),
            accepted: RefCell::default(),
            reported: Cell::new(false),
            proven: Notify::new(),
        })
    }

    /// The sets at each of which a majority must be in contact: of the newest value that this process knows of.
    pub fn sets(&self) -> Vec<BTreeSet<Member>> {
        let known = self.proposer.known();
        let accepted = self.member.accepted().map(|accepted| (accepted.ballot, accepted.value));
        let newest = known.into_iter().chain(accepted).max_by_key(|(ballot, _)| *ballot);
        let replica = self.gossip.replica();
        let announced = replica.members();
        match newest {
            Some((_, value)) if value.sequence >= announced.sequence => sets_of(&value),
            _ if announced.sequence > 0 => vec![announced.set.clone()],
            _ => vec![self.first.clone()],
        }
    }

    /// The members in force, as far as this process knows.
    fn members(&self) -> BTreeSet<Member> {
        self.sets().pop().unwrap_or_default()
    }

    /// Whether this process is in contact with a majority of the members.
    pub fn is_current(&self) -> bool {
        self.table.borrow().is_current(self.gossip.now(), &self.sets())
    }

    /// The ballot of the value on another member's disk, as reported last.
    pub fn peer_accepted(&self, member: &Member) -> Option<Ballot> {
        self.accepted.borrow().get(member).copied()
    }

    /// Whether this process is in contact with a member.
    pub fn reaches(&self, member: &Member) -> bool {
        self.table.borrow().is_in_contact(self.gossip.now(), member)
    }

    /// Whether a majority of the members, this one included, has had no contact with a member for longer than the
    /// suspicion time.
    pub fn suspected_by_majority(&self, member: &Member) -> bool {
        let members = self.members();
        self.table.borrow_mut().is_suspected_by_majority(self.gossip.now(), &members, member)
    }

    /// Waits until this process is not in contact.
    pub async fn lost(&self) {
        while let Some(left) = self.time_left() {
            sleep(left).await;
        }
    }

    /// How long contact lasts if nothing more is proven; nothing where there is none.
    fn time_left(&self) -> Option<Duration> {
        let until = self.table.borrow().majority_until(&self.sets())?;
        // One millisecond is the resolution of the timer; a contact that ends now still counts now.
        let left = until.checked_sub(self.gossip.now())?;
        Some(left.saturating_add(Duration::from_millis(1)).min(CONTACT_LEASE))
    }

    /// Answers another controller's probe.
    pub fn on_probe(&self, session: &Session, number: u64) {
        let members = self.members();
        let unreachable = self.table.borrow_mut().unreachable(self.gossip.now(), &members);
        let accepted = self.member.shown_accepted();
        session.send(&Message::ProbeReply(ProbeReply {
            number,
            accepted,
            unreachable: unreachable.into(),
        }));
        if mutant("contact-of-one-side") {
            let from = session.peer.borrow().as_ref().map(|peer| peer.member);
            from.iter().for_each(|from| self.prove_without_asking(from));
        }
    }

    /// A probe was answered.
    pub fn on_reply(&self, session: &Session, reply: ProbeReply) {
        let Some(from) = session.dialled_member() else { return };
        let unreachable = reply.unreachable.into_vec().into_iter().collect();
        let now = self.gossip.now();
        let proves = self.table.borrow_mut().on_reply(now, &from, reply.number, unreachable);
        if !proves {
            return;
        }
        if mutant("contact-as-of-the-reply") {
            self.prove_without_asking(&from);
        }
        // Replies count in the order of their probes: a disk that was put back from an older copy holds less.
        self.accepted.borrow_mut().insert(from, reply.accepted);
        self.proposer.on_peer_accepted(reply.accepted);
        self.proven.notify_one();
    }

    /// Mutants: contact counts as of now, whenever it was asked for.
    fn prove_without_asking(&self, from: &Member) {
        let now = self.gossip.now();
        let mut table = self.table.borrow_mut();
        let number = table.probe(now, from);
        table.on_reply(now, from, number, BTreeSet::new());
    }

    /// Notifies a new agent whether this process is in contact.
    pub fn on_agent_connect(&self, session: &Session) {
        if session.peer_wire() >= CONTACT_WIRE_VERSION {
            session.send(&Message::MajorityContact(self.is_current()));
        }
    }

    /// Probes the controller at the other side of a link.
    pub fn probe(&self, session: &Session) {
        if session.peer_wire() < CONTACT_WIRE_VERSION {
            return;
        }
        if let Some(member) = session.dialled_member() {
            let number = self.table.borrow_mut().probe(self.gossip.now(), &member);
            session.send(&Message::Probe(number));
        }
    }

    fn probe_all(&self) {
        let members = self.members();
        let sets: BTreeSet<Member> = self.sets().into_iter().flatten().collect();
        self.table.borrow_mut().watch(self.gossip.now(), &sets);
        let sessions = self.gossip.peers(Role::Controller);
        self.accepted.borrow_mut().retain(|member, _| {
            members.contains(member)
                || sessions.iter().any(|session| session.dialled_member() == Some(*member))
        });
        sessions.iter().for_each(|session| self.probe(session));
    }

    /// Notifies the log and the agents where contact was lost or is back.
    fn report_changes(&self) {
        let current = self.is_current();
        if self.reported.replace(current) == current {
            return;
        }
        // Heartbeats that others received meanwhile were not relayed to this process.
        self.gossip.interrupt_heartbeats();
        if current {
            info!(self.gossip.logger(), "contact.majority");
        } else {
            info!(self.gossip.logger(), "contact.lost"; "members" => self.members().len());
        }
        for session in self.gossip.peers(Role::Agent) {
            if session.peer_wire() >= CONTACT_WIRE_VERSION {
                session.send(&Message::MajorityContact(current));
            }
        }
    }

    /// Probes the other controllers and reports changes, for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        let mut ticks = interval(PROBE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.probe_all(),
                () = self.proven.notified() => {}
                () = self.lost(), if self.reported.get() => {}
            }
            self.report_changes();
        }
    }
}
