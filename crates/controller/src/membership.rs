//! Who the members are: dialling them, taking in who asks to join, replacing who is lost, leaving at the end.
//!
//! What comes next is decided by [`plan_membership`]; this shell gathers what it needs to know and carries the change
//! out. One member has the duty, named by rendezvous hashing over those that are not suspected. Two that take
//! themselves for it do no harm: a change names the set that it was planned on, and the register takes it on no other.

use crate::contact::MajorityContact;
use crate::copies::Copies;
use crate::leave_sync::LeaveSync;
use crate::member::MemberTask;
use crate::proposer::Proposer;
use runtrack_hash_ring::{hash, rendezvous};
use runtrack_link::{Dials, Gossip, Session};
use runtrack_message::{Ballot, Member, Message, Role, Value};
use runtrack_net::mutant;
use runtrack_register::{
    Decision, MembershipPlan, MembershipTimes, MembershipView, Outcome, PresentMember, WaitReason,
    finish_membership, initial_value, is_joint, members_of, plan_membership, replace_members,
};
use slog::info;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

/// How often the membership is looked at.
const TICK: Duration = Duration::from_millis(200);
/// A request to join counts for this long.
const JOIN_REQUEST_LIFETIME: Duration = Duration::from_millis(1500);
/// It is repeated this often.
const JOIN_REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// Who has said that it leaves is not taken in again for this long. After that it is another process at the address.
const LEAVE_REQUEST_LIFETIME: Duration = Duration::from_millis(3000);
/// A change of the membership gets so long.
const MEMBERSHIP_CHANGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The duty of changing the membership, as a key of rendezvous hashing.
const COORDINATOR: &[u8] = b"membership";

/// What the settings say about the membership.
pub struct MembershipSettings {
    /// Where to look for members.
    pub seeds: BTreeSet<SocketAddrV4>,
    /// Members before the first value.
    pub first: BTreeSet<Member>,
    /// Members that are wanted: as many as bear the loss that is to be borne.
    pub wanted: usize,
    /// How long to wait for what.
    pub times: MembershipTimes,
}

/// Who the members are, and who wants to be.
pub struct Membership {
    gossip: Rc<Gossip>,
    proposer: Rc<Proposer>,
    member: Rc<MemberTask>,
    contact: Rc<MajorityContact>,
    leave_sync: Rc<LeaveSync>,
    me: Member,
    /// What the register holds before the first value is written.
    initial: Rc<Value>,
    seeds: RefCell<BTreeSet<SocketAddrV4>>,
    wanted: usize,
    leave_timeout: Duration,
    joining: RefCell<BTreeMap<Member, Instant>>,
    leaving: RefCell<BTreeMap<Member, Instant>>,
    copies: Copies,
    dials: Dials,
    asked: Cell<Option<Instant>>,
    /// What a change waits for, as the log was told last.
    waiting: Cell<Option<WaitReason>>,
    /// This process is about to end, and asks for nothing any more.
    ending: Cell<bool>,
    /// It is a member and has said so in the log.
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
            joining: RefCell::default(),
            leaving: RefCell::default(),
            asked: Cell::new(None),
            waiting: Cell::new(None),
            ending: Cell::new(false),
            joined: Cell::new(false),
            wake: Notify::new(),
        })
    }

    /// The settings name other seeds now.
    pub fn set_seeds(&self, seeds: BTreeSet<SocketAddrV4>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// The process at the other side of a link asks to become a member.
    pub fn on_join_request(&self, session: &Session, joining: Member) {
        let speaks_for_itself = session.peer.borrow().as_ref().is_some_and(|peer| peer.member == joining);
        if !speaks_for_itself || self.leaving.borrow().contains_key(&joining) {
            return;
        }
        let mut requests = self.joining.borrow_mut();
        requests.retain(|other, _| other.address() != joining.address() || *other == joining);
        if requests.insert(joining, Instant::now()).is_none() {
            self.wake.notify_one();
        }
    }

    /// A member is about to end, and there are members to spare.
    pub fn on_leave_request(&self, leaving: Member) {
        self.joining.borrow_mut().remove(&leaving);
        self.leaving.borrow_mut().insert(leaving, Instant::now());
    }

    fn forget_old_requests(&self) {
        self.joining.borrow_mut().retain(|_, at| at.elapsed() < JOIN_REQUEST_LIFETIME);
        self.leaving.borrow_mut().retain(|_, at| at.elapsed() < LEAVE_REQUEST_LIFETIME);
    }

    fn members(&self) -> BTreeSet<Member> {
        self.gossip.replica().members().set.clone()
    }

    /// Keeps links to members, seeds and joining members up.
    fn dial(&self) {
        let mut wanted: BTreeSet<SocketAddrV4> = self.members().iter().map(Member::address).collect();
        // While the membership changes, members of both sets. After the end of all processes the own disk alone names
        // the members: the seeds may all have been replaced.
        let known = self.proposer.known().map(|(_, value)| value);
        for value in known.into_iter().chain(self.member.accepted().map(|accepted| accepted.value)) {
            wanted.extend(value.sets.items().iter().flat_map(|set| set.items()).map(Member::address));
        }
        wanted.extend(self.seeds.borrow().iter());
        wanted.extend(self.joining.borrow().keys().map(Member::address));
        wanted.remove(&self.me.address());
        self.dials.keep(&wanted);
    }

    fn is_suspect(&self, member: &Member) -> bool {
        if mutant("one-watcher-is-enough") {
            return *member != self.me && !self.contact.reaches(member);
        }
        *member != self.me && self.contact.suspected_by_majority(member)
    }

    /// Whether another incarnation asks to join from a member's address: the member is lost with its disk.
    fn is_superseded(&self, member: &Member) -> bool {
        let joining = self.joining.borrow();
        joining.keys().any(|other| other.address() == member.address() && other != member)
    }

    /// Whether this process has the duty: one of those that are not lost, the same one for all who see the same.
    fn is_coordinator(&self, members: &BTreeSet<Member>) -> bool {
        let alive = members.iter().filter(|member| !self.is_suspect(member) && !self.is_superseded(member));
        let names = alive.map(|member| hash(member.address().to_string().as_bytes()));
        rendezvous(hash(COORDINATOR), names) == Some(hash(self.me.address().to_string().as_bytes()))
    }

    fn view(&self, current: BTreeSet<Member>) -> MembershipView {
        let copies = self.copies.table();
        let mut present = copies.present(self.gossip.now());
        if mutant("two-changes-at-a-time") {
            present.values_mut().for_each(|member: &mut PresentMember| member.overdue = true);
        }
        let joining = self.joining.borrow();
        let mut joining: BTreeMap<Member, Ballot> =
            joining.keys().filter_map(|member| Some((*member, self.copies.accepted_by(member)?))).collect();
        if mutant("joining-member-counts-at-once") {
            joining.values_mut().for_each(|accepted| *accepted = copies.required());
        }
        MembershipView {
            wanted: self.wanted,
            membership: copies.membership(),
            required: copies.required(),
            present,
            suspects: current.iter().filter(|member| self.is_suspect(member)).copied().collect(),
            joining,
            leaving: self.leaving.borrow().keys().copied().collect(),
            current,
        }
    }

    fn request_to_join(&self) {
        self.leave_sync.ask();
        let unable = self.ending.get() || !self.member.is_durable() || !self.leave_sync.is_complete();
        if unable || self.asked.get().is_some_and(|at| at.elapsed() < JOIN_REQUEST_INTERVAL) {
            return;
        }
        self.asked.set(Some(Instant::now()));
        self.gossip.broadcast_to(Role::Controller, &Message::Join(self.me));
    }

    /// Carries one change through: the joint sets, then the new one alone. Where the members are others than those that
    /// it was planned on, nothing is changed; where another change is under way, that is finished.
    async fn change(&self, planned_on: &BTreeSet<Member>, next: &BTreeSet<Member>) {
        let until = Instant::now() + MEMBERSHIP_CHANGE_TIMEOUT;
        let mut begin = |current: Option<&Value>| match current.unwrap_or(&self.initial) {
            value if is_joint(value) || members_of(value) == *planned_on => replace_members(value, next),
            _ => Decision::Read,
        };
        let outcome = self.proposer.decide(until, &mut begin).await;
        let Some(Outcome::Committed(_, value)) = outcome else { return };
        if is_joint(&value) {
            let finish = |current: Option<&Value>| current.map_or(Decision::Read, finish_membership);
            self.proposer.decide(until, &mut { finish }).await;
        }
        let names: Vec<String> =
            members_of(&value).iter().map(|member| member.address().to_string()).collect();
        info!(self.gossip.logger(), "members.changed"; "sequence" => value.sequence, "members" => names.join(" "));
    }

    /// Does what is due, as the one that has the duty.
    async fn coordinate(&self, members: BTreeSet<Member>, is_joint: bool) {
        if is_joint {
            return self.change(&members, &members).await;
        }
        let plan = plan_membership(&self.view(members.clone()));
        let waiting = match &plan {
            MembershipPlan::Wait(reason) => Some(*reason),
            MembershipPlan::Keep | MembershipPlan::Change(_) => None,
        };
        if let Some(reason) = waiting.filter(|reason| self.waiting.get() != Some(*reason)) {
            let (what, member) = describe(reason);
            info!(self.gossip.logger(), "membership.waiting"; "for" => what, "member" => member.address().to_string());
        }
        self.waiting.set(waiting);
        if let MembershipPlan::Change(next) = plan {
            self.change(&members, &next).await;
        }
    }

    /// Looks after the membership for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => {}
                () = self.wake.notified() => {}
            }
            self.forget_old_requests();
            self.dial();
            self.tick().await;
        }
    }

    /// The newest value that is known to be committed, or what there is before the first one; nothing while it is not known
    /// whether there is one.
    fn newest(&self) -> Option<(Ballot, Rc<Value>)> {
        let nothing_told = self.gossip.replica().members().sequence == 0;
        let nothing_written =
            nothing_told && self.proposer.is_informed() && !mutant("members-wait-for-a-value");
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
            self.coordinate(members, is_joint).await;
        }
    }

    /// Hands over before the process ends: the others that can be reached hold what is committed, and where they bear
    /// the loss without it, it leaves the register.
    pub async fn leave(&self) {
        self.ending.set(true);
        if timeout(self.leave_timeout, self.hand_over()).await.is_err() {
            self.copies.log_missing();
        }
    }

    async fn hand_over(&self) {
        self.copies.handed_over().await;
        let members = self.members();
        if !members.contains(&self.me) || members.len() <= self.wanted {
            return;
        }
        self.gossip.broadcast_to(Role::Controller, &Message::Leave(self.me));
        self.on_leave_request(self.me);
        let next: BTreeSet<Member> = members.iter().filter(|member| **member != self.me).copied().collect();
        self.change(&members, &next).await;
        self.copies.handed_over().await;
    }
}

/// A reason to wait, as the log names it.
fn describe(reason: WaitReason) -> (&'static str, Member) {
    match reason {
        WaitReason::JoiningMemberLacksValue(member) => ("joining_member_lacks_value", member),
        WaitReason::MemberUnreachable(member) => ("member_unreachable", member),
        WaitReason::ReplicaMissing(member) => ("copy_missing", member),
    }
}
