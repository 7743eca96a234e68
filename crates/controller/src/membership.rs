//! Who the members are: dialling them, taking in who asks to join, removing who is gone.

use crate::member::MemberTask;
use crate::proposer::Proposer;
use runtrack_link::{Gossip, dial_for_ever};
use runtrack_message::{Member, Message, Role, Value};
use runtrack_register::{Decision, Outcome, finish_membership, is_joint, members_of, replace_members};
use runtrack_ring::{hash, rendezvous};
use slog::info;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

/// How often the membership is looked at.
const TICK: Duration = Duration::from_millis(200);
/// A request to join counts for this long.
const JOIN_REQUEST_LIFETIME: Duration = Duration::from_millis(1500);
/// It is repeated this often.
const JOIN_REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// A member without a link for this long is taken for gone, where another one can take its place.
const GONE_AFTER: Duration = Duration::from_millis(2500);
/// A change of the membership gets so long.
const MEMBERSHIP_CHANGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// A member that leaves gets so long to say so in the register.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The duty of changing the membership, as a key of rendezvous hashing.
const COORDINATOR: &[u8] = b"membership";

/// Who the members are, and who wants to be.
pub struct Membership {
    gossip: Rc<Gossip>,
    proposer: Rc<Proposer>,
    member: Rc<MemberTask>,
    me: Member,
    seeds: RefCell<BTreeSet<SocketAddrV4>>,
    /// Members that are wanted: as many as bear the loss that is to be borne.
    wanted: usize,
    joining: RefCell<BTreeMap<Member, Instant>>,
    leaving: RefCell<BTreeSet<Member>>,
    /// When each member had a link last, as itself and no other incarnation.
    seen: RefCell<BTreeMap<Member, Instant>>,
    /// Who is at an address now, as far as links show.
    present: RefCell<BTreeMap<SocketAddrV4, Member>>,
    dials: RefCell<BTreeMap<SocketAddrV4, JoinHandle<()>>>,
    asked: Cell<Option<Instant>>,
    /// This process is about to end, and asks for nothing any more.
    ending: Cell<bool>,
    /// It is a member and has said so in the log.
    joined: Cell<bool>,
}

impl Membership {
    /// Knows the seeds alone.
    pub fn new(
        gossip: Rc<Gossip>,
        proposer: Rc<Proposer>,
        member: Rc<MemberTask>,
        me: Member,
        seeds: BTreeSet<SocketAddrV4>,
        tolerance: u32,
    ) -> Rc<Self> {
        Rc::new(Membership {
            gossip,
            proposer,
            member,
            me,
            seeds: RefCell::new(seeds),
            wanted: 2 * tolerance as usize + 1,
            joining: RefCell::default(),
            leaving: RefCell::default(),
            seen: RefCell::default(),
            present: RefCell::default(),
            dials: RefCell::default(),
            asked: Cell::new(None),
            ending: Cell::new(false),
            joined: Cell::new(false),
        })
    }

    /// The settings name other seeds now.
    pub fn set_seeds(&self, seeds: BTreeSet<SocketAddrV4>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// A process asks to become a member.
    pub fn on_join_request(&self, joiner: Member) {
        if !self.leaving.borrow().contains(&joiner) {
            self.joining.borrow_mut().insert(joiner, Instant::now());
        }
    }

    /// A member is about to end, and there are members to spare.
    pub fn on_leave_request(&self, leaver: Member) {
        self.joining.borrow_mut().remove(&leaver);
        self.leaving.borrow_mut().insert(leaver);
    }

    fn members(&self) -> BTreeSet<Member> {
        self.gossip.replica().members().set.clone()
    }

    /// Keeps links to members, seeds and joining up.
    fn dial(&self) {
        let mut wanted: BTreeSet<SocketAddrV4> = self.members().iter().map(Member::address).collect();
        if let Some((_, value)) = self.proposer.known() {
            // While the membership changes, members of both sets.
            wanted.extend(value.sets.items().iter().flat_map(|set| set.items()).map(Member::address));
        }
        wanted.extend(self.seeds.borrow().iter());
        wanted.extend(self.joining.borrow().keys().map(Member::address));
        wanted.remove(&self.me.address());
        let mut dials = self.dials.borrow_mut();
        dials.retain(|address, dial| {
            let keep = wanted.contains(address);
            if !keep {
                dial.abort();
            }
            keep
        });
        for address in wanted {
            dials
                .entry(address)
                .or_insert_with(|| spawn_local(dial_for_ever(self.gossip.clone(), address)));
        }
    }

    fn note_present(&self) {
        let now = Instant::now();
        let members = self.members();
        self.joining.borrow_mut().retain(|_, at| at.elapsed() < JOIN_REQUEST_LIFETIME);
        let joining: BTreeSet<Member> = self.joining.borrow().keys().copied().collect();
        let mut seen = self.seen.borrow_mut();
        let mut present = self.present.borrow_mut();
        // Who has just become a member has had no time to be silent.
        let known: BTreeSet<Member> = members.union(&joining).copied().collect();
        seen.retain(|member, _| known.contains(member));
        for member in known {
            seen.entry(member).or_insert(now);
        }
        present.clear();
        for session in self.gossip.peers(Role::Controller) {
            let peer = session.peer.borrow().as_ref().map(|peer| peer.member);
            if let Some(member) = peer.filter(|member| session.dialled == Some(member.address())) {
                present.insert(member.address(), member);
                seen.insert(member, now);
            }
        }
    }

    /// Whether a member has no link for too long, or another incarnation is in its place.
    fn is_gone(&self, member: &Member) -> bool {
        let replaced =
            self.present.borrow().get(&member.address()).is_some_and(|present| present != member);
        let silent = self.seen.borrow().get(member).is_some_and(|at| at.elapsed() > GONE_AFTER);
        *member != self.me && (replaced || silent)
    }

    fn is_present(&self, member: &Member) -> bool {
        *member == self.me || self.present.borrow().get(&member.address()) == Some(member)
    }

    /// Whether this process has the duty: one of those that are alive, the same one for all who see the same.
    fn is_coordinator(&self, members: &BTreeSet<Member>) -> bool {
        let alive = members.iter().filter(|member| !self.is_gone(member));
        let names = alive.map(|member| hash(member.address().to_string().as_bytes()));
        rendezvous(hash(COORDINATOR), names) == Some(hash(self.me.address().to_string().as_bytes()))
    }

    /// The members that there should be.
    fn next(&self, current: &BTreeSet<Member>) -> BTreeSet<Member> {
        let mut next = current.clone();
        let joining: Vec<Member> = self.joining.borrow().keys().copied().collect();
        for joiner in joining.into_iter().filter(|joiner| !current.contains(joiner)) {
            // Another incarnation at the same address has lost its disk, and is no member any more.
            let before = next.iter().find(|member| member.address() == joiner.address()).copied();
            let gone = before.or_else(|| next.iter().find(|member| self.is_gone(member)).copied());
            match gone {
                Some(gone) => {
                    next.remove(&gone);
                    next.insert(joiner);
                }
                // Beside one that can't be reached a further member would only raise what a majority is: wait until
                // that one is back, or gone and to be replaced.
                None if next.len() <= self.wanted
                    && current.iter().all(|member| self.is_present(member)) =>
                {
                    next.insert(joiner);
                }
                None => {}
            }
        }
        let leaving: BTreeSet<Member> = self.leaving.borrow().clone();
        for member in current {
            if next.len() > self.wanted && (self.is_gone(member) || leaving.contains(member)) {
                next.remove(member);
            }
        }
        next
    }

    fn request_to_join(&self) {
        let unable = self.ending.get() || !self.member.is_durable();
        if unable || self.asked.get().is_some_and(|at| at.elapsed() < JOIN_REQUEST_INTERVAL) {
            return;
        }
        self.asked.set(Some(Instant::now()));
        self.gossip.broadcast_to(Role::Controller, &Message::Join(self.me));
    }

    /// Carries one change through: the joint sets, then the new one alone.
    async fn change(&self) {
        let until = Instant::now() + MEMBERSHIP_CHANGE_TIMEOUT;
        let outcome = self.proposer.decide(until, &mut |current| self.step(current)).await;
        let Some(Outcome::Committed(_, value)) = outcome else { return };
        if is_joint(&value) {
            let finish = |current: Option<&Value>| current.map_or(Decision::Read, finish_membership);
            self.proposer.decide(until, &mut { finish }).await;
        }
        let names: Vec<String> =
            members_of(&value).iter().map(|member| member.address().to_string()).collect();
        info!(self.gossip.logger(), "members.changed"; "sequence" => value.sequence, "members" => names.join(" "));
    }

    fn step(&self, current: Option<&Value>) -> Decision {
        match current {
            Some(value) => replace_members(value, &self.next(&members_of(value))),
            None => Decision::Read,
        }
    }

    /// Looks after the membership for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.note_present();
            self.dial();
            let Some((_, value)) = self.proposer.known() else {
                if self.gossip.replica().members().sequence > 0 {
                    self.request_to_join_unless_member();
                }
                continue;
            };
            let members = members_of(&value);
            let joined = members.contains(&self.me) && !is_joint(&value);
            if joined && !self.joined.replace(true) {
                info!(self.gossip.logger(), "member.joined"; "sequence" => value.sequence);
            }
            if !members.contains(&self.me) {
                self.request_to_join();
            } else if self.is_coordinator(&members) && (is_joint(&value) || self.next(&members) != members)
            {
                self.change().await;
            }
        }
    }

    fn request_to_join_unless_member(&self) {
        if !self.members().contains(&self.me) {
            self.request_to_join();
        }
    }

    /// Leaves the register before the process ends, where others bear the loss without it.
    pub async fn leave_if_spare(&self) {
        self.ending.set(true);
        let members = self.members();
        if !members.contains(&self.me) || members.len() <= self.wanted {
            return;
        }
        self.gossip.broadcast_to(Role::Controller, &Message::Leave(self.me));
        self.leaving.borrow_mut().insert(self.me);
        let _ = timeout(LEAVE_TIMEOUT, self.change()).await;
    }
}
