//! A world of members, proposers and operators whose messages are delivered in an order drawn from a seed, with losses,
//! restarts, wipes and replacements, and with errors that can be planted. It records a history; what the history must
//! be like is checked in `checker.rs`, which knows nothing of the register.

use super::checker::{Event, History};
use super::{first_promise, member};
use fastrand::Rng;
use runtrack_message::{Ballot, Member, RegisterReply, RegisterRequest, Value};
use runtrack_register::{
    Accepted, Acceptor, Decision, Durable, Outcome, Progress, PromiseRecord, ReplaceAnswer, ReplaceConfig,
    Round, Send, ValueRecord, finish_membership, is_joint, members_of, replace_members, sets_of,
};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// An error that is planted in the members or in the proposers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    Nothing,
    /// A promise is not written, and gone after a restart.
    PromiseNotSynced,
    /// A value is not written, and gone after a restart.
    ValueNotSynced,
    /// A member that lost its disk goes on under its old incarnation.
    WipedMemberVotes,
    /// A proposer that starts again uses the ballots of its life before.
    BallotReused,
    /// A member accepts below what it has promised.
    PromiseForgotten,
    /// A member that refuses is counted as if it had accepted.
    RefusalCounted,
    /// An order is refused before what stands in its way is chosen.
    RefusedTooSoon,
    /// An order whose outcome is unknown is refused as lost.
    UnknownRefused,
    /// An order is acknowledged when it is sent out.
    AcknowledgedTooSoon,
    /// A read answers with what it found, chosen or not.
    ReadUnchosen,
    /// A member keeps the value of the higher ballot that it had, whatever it accepts.
    ValueKept,
    /// What was taken is not remembered.
    AppliedForgotten,
    /// Two proposers draw the same ballots.
    BallotsShared,
}

struct Node {
    member: Member,
    acceptor: Acceptor,
    promise: Option<PromiseRecord>,
    value: Option<ValueRecord>,
    up: bool,
}

#[derive(Clone)]
enum Purpose {
    Order(ReplaceConfig),
    Read,
    Members(BTreeSet<Member>),
    Finish,
}

struct Operation {
    id: usize,
    at: usize,
    purpose: Purpose,
    round: Option<Round>,
    answer: Option<ReplaceAnswer>,
    tries: u32,
    idle: u32,
    sent_out: bool,
}

enum Packet {
    Request { operation: usize, ballot: Ballot, to: Member, request: RegisterRequest },
    Reply { operation: usize, ballot: Ballot, from: Member, reply: RegisterReply },
}

struct Proposer {
    boot: u64,
    round: u64,
    known: Option<(Ballot, Rc<Value>)>,
    view: (u64, Vec<BTreeSet<Member>>),
}

/// The world.
pub struct World {
    rng: Rng,
    planted: Planted,
    nodes: Vec<Node>,
    proposers: Vec<Proposer>,
    operations: BTreeMap<usize, Operation>,
    packets: Vec<Packet>,
    next: usize,
    version: u64,
    first: BTreeSet<Member>,
    spare: u8,
    /// Members that there should be; the change to them is tried until it is through.
    wanted: Option<BTreeSet<Member>>,
    pub history: History,
}

const MEMBERS: u8 = 3;
const STEPS: usize = 700;
const TRIES: u32 = 6;
const IDLE: u32 = 40;

impl World {
    pub fn new(seed: u64, planted: Planted) -> Self {
        let first: BTreeSet<Member> = (0..MEMBERS).map(|at| member(at, 0)).collect();
        let node = |member: &Member| Node {
            member: *member,
            acceptor: Acceptor::new(member.incarnation),
            promise: Some(first_promise(*member)),
            value: None,
            up: true,
        };
        let shared = planted == Planted::BallotsShared;
        let proposer = |at: u8| Proposer {
            boot: if shared { 1 } else { u64::from(at) + 1 },
            round: 0,
            known: None,
            view: (0, vec![first.clone()]),
        };
        World {
            rng: Rng::with_seed(seed),
            planted,
            nodes: first.iter().map(node).collect(),
            proposers: (0..MEMBERS).map(proposer).collect(),
            operations: BTreeMap::new(),
            packets: Vec::new(),
            next: 0,
            version: 0,
            first: first.clone(),
            spare: MEMBERS,
            wanted: None,
            history: History::default(),
        }
    }

    /// Plays a world through, then heals it and reads what is left.
    pub fn play(mut self) -> History {
        for _ in 0..STEPS {
            self.step();
        }
        self.heal();
        self.history
    }

    fn step(&mut self) {
        match self.rng.u32(..100) {
            0..3 if self.operations.len() < 4 => self.start_order(),
            3..5 if self.operations.len() < 4 => self.start(Purpose::Read),
            5 => self.kill_or_start(),
            6 if self.rng.u32(..4) == 0 => self.wipe(),
            7 if self.rng.u32(..3) == 0 => self.replace(),
            8 => self.restart_proposer(),
            12 => self.repair(),
            13..15 => self.restart_node(),
            9..12 => self.drop_packet(),
            _ => self.deliver(),
        }
        self.give_up_idle();
    }

    fn live_voters(&self) -> usize {
        let set = self.newest_view();
        self.nodes.iter().filter(|node| node.up && set.contains(&node.member)).count()
    }

    fn newest_view(&self) -> BTreeSet<Member> {
        let newest = self.proposers.iter().max_by_key(|proposer| proposer.view.0);
        newest.and_then(|proposer| proposer.view.1.last().cloned()).unwrap_or_default()
    }

    fn start_order(&mut self) {
        // Sometimes an order that was sent before comes again, to any proposer.
        let again = self.history.orders.clone();
        if !again.is_empty() && self.rng.u32(..4) == 0 {
            let order = again[self.rng.usize(..again.len())].clone();
            return self.start(Purpose::Order(order));
        }
        let base = self.proposers[self.rng.usize(..self.proposers.len())]
            .known
            .as_ref()
            .map_or(0, |(_, v)| v.version);
        self.version += 1 + self.rng.u64(..3);
        let order = ReplaceConfig::new(base, self.version, self.version.to_le_bytes().to_vec());
        self.history.orders.push(order.clone());
        self.start(Purpose::Order(order));
    }

    fn start(&mut self, purpose: Purpose) {
        let at = self.rng.usize(..self.proposers.len());
        self.start_at(at, purpose);
    }

    fn start_at(&mut self, at: usize, purpose: Purpose) {
        let id = self.next;
        self.next += 1;
        match &purpose {
            Purpose::Order(order) => {
                self.history.events.push(Event::Ordered { id, version: order.version })
            }
            Purpose::Read => self.history.events.push(Event::ReadBegan { id }),
            _ => {}
        }
        let (round, answer, tries, idle, sent_out) = (None, None, 0, 0, false);
        self.operations.insert(id, Operation { id, at, purpose, round, answer, tries, idle, sent_out });
        self.begin_round(id);
    }

    fn begin_round(&mut self, id: usize) {
        let Some(operation) = self.operations.get_mut(&id) else { return };
        operation.tries += 1;
        operation.idle = 0;
        if operation.tries > TRIES {
            return self.end_unknown(id);
        }
        let proposer = &mut self.proposers[operation.at];
        proposer.round += 1;
        let ballot = Ballot { round: proposer.round, boot: proposer.boot };
        let (round, sends) = Round::new(ballot, proposer.view.1.clone(), proposer.known.clone());
        operation.round = Some(round);
        self.send(id, ballot, sends);
    }

    fn send(&mut self, operation: usize, ballot: Ballot, sends: Vec<Send>) {
        for (to, request) in sends {
            self.packets.push(Packet::Request { operation, ballot, to, request });
        }
    }

    fn drop_packet(&mut self) {
        if !self.packets.is_empty() {
            let at = self.rng.usize(..self.packets.len());
            self.packets.swap_remove(at);
        }
    }

    fn deliver(&mut self) {
        if self.packets.is_empty() {
            return;
        }
        let at = self.rng.usize(..self.packets.len());
        match self.packets.swap_remove(at) {
            Packet::Request { operation, ballot, to, request } => {
                if let Some(reply) = self.ask(to, &request) {
                    self.packets.push(Packet::Reply { operation, ballot, from: to, reply });
                }
            }
            Packet::Reply { operation, ballot, from, reply } => {
                self.replied(operation, ballot, from, reply)
            }
        }
    }

    fn ask(&mut self, to: Member, request: &RegisterRequest) -> Option<RegisterReply> {
        let planted = self.planted;
        let node = self.nodes.iter_mut().find(|node| node.member == to && node.up)?;
        let before = node.acceptor.clone();
        if planted == Planted::PromiseForgotten && matches!(request, RegisterRequest::Accept { .. }) {
            let accepted = before.accepted().cloned();
            node.acceptor = with(before.incarnation(), Ballot::default(), accepted);
        }
        let (reply, durable) = node.acceptor.handle(request);
        if planted == Planted::ValueKept
            && let (Some(kept), RegisterReply::Accepted { ballot }) = (before.accepted(), &reply)
        {
            let kept = Accepted { ballot: *ballot, value: kept.value.clone() };
            node.acceptor = with(before.incarnation(), *ballot, Some(kept));
        }
        let incarnation = node.member.incarnation;
        match durable {
            Some(Durable::Promise(promised)) if planted != Planted::PromiseNotSynced => {
                node.promise = Some(PromiseRecord { incarnation, promised });
            }
            Some(Durable::Value(accepted)) if planted != Planted::ValueNotSynced => {
                let value = (*accepted.value).clone();
                node.value = Some(ValueRecord { incarnation, ballot: accepted.ballot, value });
            }
            _ => {}
        }
        Some(reply)
    }

    fn replied(&mut self, id: usize, ballot: Ballot, from: Member, reply: RegisterReply) {
        let (planted, first) = (self.planted, vec![self.first.clone()]);
        let Some(operation) = self.operations.get_mut(&id) else { return };
        let Some(round) = operation.round.as_mut().filter(|round| round.ballot() == ballot) else { return };
        operation.idle = 0;
        let reply = match reply {
            RegisterReply::Rejected { ballot, .. }
                if planted == Planted::RefusalCounted && round.may_write() =>
            {
                RegisterReply::Accepted { ballot }
            }
            other => other,
        };
        let mut found = None;
        let mut answer = operation.answer;
        let purpose = operation.purpose.clone();
        let progress = round.reply(from, reply, &mut |current| {
            found = current.cloned();
            decide(&purpose, current, &first, planted, &mut answer)
        });
        operation.answer = answer;
        let may_write = round.may_write();
        let sends = matches!(&progress, Progress::Send(sends) if !sends.is_empty());
        operation.sent_out |= sends && may_write;
        let too_soon = match (planted, &purpose, answer) {
            (Planted::RefusedTooSoon, Purpose::Order(_), Some(ReplaceAnswer::VersionMismatch(_))) => true,
            (Planted::AcknowledgedTooSoon, Purpose::Order(_), Some(ReplaceAnswer::Applied)) => {
                sends && may_write
            }
            (Planted::ReadUnchosen, Purpose::Read, _) => found.is_some(),
            _ => false,
        };
        if too_soon {
            return self.end(id, found.map(Rc::new));
        }
        match progress {
            Progress::Send(sends) => self.send(id, ballot, sends),
            Progress::Done(outcome) => self.round_ended(id, outcome),
        }
    }

    fn round_ended(&mut self, id: usize, outcome: Outcome) {
        let Some(operation) = self.operations.get(&id) else { return };
        let (at, unknown) = (operation.at, operation.sent_out);
        match outcome {
            Outcome::Read(ballot, value) | Outcome::Committed(ballot, value) => {
                self.learn(at, ballot, &value);
                if !is_joint(&value) && self.wanted.as_ref() == Some(&members_of(&value)) {
                    self.wanted = None;
                }
                if is_joint(&value) {
                    self.operations.remove(&id);
                    return self.start(Purpose::Finish);
                }
                self.end(id, Some(value));
            }
            Outcome::MembershipCommitted(ballot, value) => {
                self.learn(at, ballot, &value);
                self.begin_round(id);
            }
            Outcome::Empty => self.end(id, None),
            Outcome::Preempted(highest) => {
                let proposer = &mut self.proposers[at];
                proposer.round = proposer.round.max(highest.round);
                if self.planted == Planted::UnknownRefused && unknown {
                    if let Some(operation) = self.operations.get_mut(&id) {
                        operation.answer = Some(ReplaceAnswer::VersionMismatch(0));
                    }
                    return self.end(id, None);
                }
                self.begin_round(id);
            }
        }
    }

    fn learn(&mut self, at: usize, ballot: Ballot, value: &Rc<Value>) {
        self.history.events.push(Event::Chosen { sequence: value.sequence, version: value.version });
        let proposer = &mut self.proposers[at];
        proposer.round = proposer.round.max(ballot.round);
        if proposer.known.as_ref().is_none_or(|(known, _)| *known < ballot) {
            proposer.known = Some((ballot, value.clone()));
            proposer.view = (value.sequence, vec![members_of(value)]);
        }
        // What is chosen is told to all, sooner or later.
        for other in &mut self.proposers {
            if self.rng.bool() && other.view.0 < value.sequence {
                other.view = (value.sequence, vec![members_of(value)]);
            }
        }
    }

    fn end(&mut self, id: usize, value: Option<Rc<Value>>) {
        let Some(operation) = self.operations.remove(&id) else { return };
        match (operation.purpose, operation.answer) {
            (Purpose::Order(order), Some(ReplaceAnswer::Applied)) => {
                self.history.events.push(Event::Acknowledged { id: operation.id, version: order.version });
            }
            (Purpose::Order(_), Some(ReplaceAnswer::Indeterminate)) => {}
            (Purpose::Order(order), Some(_)) => {
                self.history.events.push(Event::Refused { id: operation.id, version: order.version });
            }
            (Purpose::Read, _) => {
                let version = value.map_or(0, |value| value.version);
                self.history.events.push(Event::Read { id: operation.id, version });
            }
            _ => {}
        }
    }

    fn end_unknown(&mut self, id: usize) {
        self.operations.remove(&id);
    }

    fn give_up_idle(&mut self) {
        let mut idle = Vec::new();
        for operation in self.operations.values_mut() {
            operation.idle += 1;
            if operation.idle > IDLE {
                idle.push(operation.id);
            }
        }
        for id in idle {
            self.begin_round(id);
        }
    }

    fn kill_or_start(&mut self) {
        let at = self.rng.usize(..self.nodes.len());
        if self.nodes[at].up {
            if self.live_voters() > 2 {
                self.nodes[at].up = false;
            }
        } else {
            self.start_node(at);
        }
    }

    /// A process ends and starts again at once.
    fn restart_node(&mut self) {
        let at = self.rng.usize(..self.nodes.len());
        if self.nodes[at].up {
            self.start_node(at);
        }
    }

    fn start_node(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.acceptor = Acceptor::recover(node.promise.clone(), node.value.clone())
            .unwrap_or_else(|| Acceptor::new(node.member.incarnation));
        node.up = true;
    }

    /// One member loses its disk, where all others are up; the next change takes it in again.
    fn wipe(&mut self) {
        if self.nodes.iter().any(|node| !node.up) {
            return;
        }
        let view = self.newest_view();
        let voters: Vec<usize> =
            (0..self.nodes.len()).filter(|at| view.contains(&self.nodes[*at].member)).collect();
        let wiped =
            view.iter().filter(|member| !self.nodes.iter().any(|node| node.member == **member)).count();
        if wiped > 0 || voters.is_empty() || self.wanted.is_some() {
            return;
        }
        let at = voters[self.rng.usize(..voters.len())];
        let old = self.nodes[at].member;
        let incarnation =
            if self.planted == Planted::WipedMemberVotes { old.incarnation } else { self.rng.u64(1..) };
        let new = Member::new(old.address(), incarnation);
        self.nodes[at] = Node {
            member: new,
            acceptor: Acceptor::new(incarnation),
            promise: Some(first_promise(new)),
            value: None,
            up: true,
        };
        if new != old {
            let mut next = view;
            next.remove(&old);
            next.insert(new);
            self.wanted = Some(next);
        }
    }

    /// Tries again to bring the members to what they should be.
    fn repair(&mut self) {
        if let Some(wanted) = self.wanted.clone().filter(|_| !self.changing()) {
            self.start(Purpose::Members(wanted));
        }
    }

    fn changing(&self) -> bool {
        let change =
            |operation: &Operation| matches!(operation.purpose, Purpose::Members(_) | Purpose::Finish);
        self.operations.values().any(change)
    }

    /// A member is replaced by an empty one at another address.
    fn replace(&mut self) {
        if self.wanted.is_some() || self.nodes.iter().any(|node| !node.up) {
            return;
        }
        let mut next = self.newest_view();
        let members: Vec<Member> = next.iter().copied().collect();
        let old = members[self.rng.usize(..members.len())];
        let new = member(self.spare, self.rng.u64(1..));
        self.spare += 1;
        next.remove(&old);
        next.insert(new);
        self.nodes.push(Node {
            member: new,
            acceptor: Acceptor::new(new.incarnation),
            promise: Some(first_promise(new)),
            value: None,
            up: true,
        });
        self.wanted = Some(next);
    }

    fn restart_proposer(&mut self) {
        let at = self.rng.usize(..self.proposers.len());
        let reused = self.planted == Planted::BallotReused;
        let boot = self.proposers[at].boot;
        let boot = if reused || self.planted == Planted::BallotsShared { boot } else { self.rng.u64(10..) };
        // It knows only what the member of its process has accepted.
        let accepted = self.nodes[at].acceptor.accepted().map(|a| (a.value.sequence, sets_of(&a.value)));
        let view = accepted.unwrap_or_else(|| (0, vec![self.first.clone()]));
        // It knows the round that it was in, as from a counter on disk, and not that it had used it.
        let round = if reused { self.proposers[at].round.saturating_sub(1) } else { 0 };
        self.proposers[at] = Proposer { boot, round, known: None, view };
        self.operations
            .retain(|_, operation| operation.at != at || matches!(operation.purpose, Purpose::Members(_)));
    }

    /// All is up and nothing is lost any more; then everybody reads.
    fn heal(&mut self) {
        for at in 0..self.nodes.len() {
            if !self.nodes[at].up {
                self.start_node(at);
            }
        }
        for _ in 0..3 * STEPS {
            self.deliver();
            self.give_up_idle();
        }
        self.operations.clear();
        self.packets.clear();
        // Twice, since one that believes in members of long ago can't read before it has heard of the others' reads.
        for at in (0..self.proposers.len()).chain(0..self.proposers.len()) {
            self.start_at(at, Purpose::Read);
            for _ in 0..STEPS {
                self.deliver();
            }
            self.operations.clear();
            self.packets.clear();
        }
        self.history.events.push(Event::Ended);
    }
}

fn with(incarnation: u64, promised: Ballot, accepted: Option<Accepted>) -> Acceptor {
    let promise = PromiseRecord { incarnation, promised };
    let value = accepted.map(|a| ValueRecord { incarnation, ballot: a.ballot, value: (*a.value).clone() });
    let mut acceptor = Acceptor::recover(Some(promise), value.clone()).expect("a record");
    if promised == Ballot::default()
        && let Some(value) = value
    {
        // Recovery raises the promise to the value's ballot, and here it is to be forgotten.
        let promise = PromiseRecord { incarnation, promised };
        acceptor =
            Acceptor::recover(Some(promise), Some(ValueRecord { ballot: Ballot::default(), ..value }))
                .expect("a record");
    }
    acceptor
}

fn decide(
    purpose: &Purpose,
    current: Option<&Value>,
    first: &[BTreeSet<Member>],
    planted: Planted,
    answer: &mut Option<ReplaceAnswer>,
) -> Decision {
    match purpose {
        Purpose::Order(order) => {
            let (mut decision, found) = order.decide(current, first);
            *answer = Some(found);
            if planted == Planted::AppliedForgotten
                && let Decision::Propose(value) = &mut decision
            {
                value.applied = Vec::new().into();
            }
            decision
        }
        Purpose::Read => Decision::Read,
        Purpose::Members(next) => current.map_or(Decision::Read, |value| replace_members(value, next)),
        Purpose::Finish => current.map_or(Decision::Read, finish_membership),
    }
}
