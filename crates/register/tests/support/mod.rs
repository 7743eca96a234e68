//! An in-memory cluster whose messages are delivered immediately, except to partitioned members.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod attempt;
pub mod checker;
pub mod mutants;
pub mod node;
pub mod read_attempt;
pub mod world;

use runtrack_message::{Ballot, Member, RegisterReply, RegisterRequest, Value, Watermark};
use runtrack_register::{
    Acceptor, ConfigAnswer, ConfigRequest, Decision, DiskCheck, Durable, DurableWatermarks, Outcome,
    Progress, PromiseRecord, Round, Send, ValueRecord, finish_membership, initial_value, is_joint,
    members_of, replace_members,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

/// A member by number and incarnation.
pub fn member(at: u8, incarnation: u64) -> Member {
    Member::new(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, at + 1), 7000), incarnation)
}

/// The first record that a member writes.
pub fn first_promise(member: Member) -> PromiseRecord {
    PromiseRecord { incarnation: member.incarnation, promised: Ballot::default() }
}

/// A request by its versions.
pub fn request(base: u64, version: u64) -> ConfigRequest {
    ConfigRequest::replace(base, version, format!("config {version}").into_bytes())
}

struct Node {
    member: Member,
    acceptor: Acceptor,
    promise: Option<PromiseRecord>,
    value: Option<ValueRecord>,
    partitioned: bool,
}

impl Node {
    /// Persists a record.
    fn persist(&mut self, durable: Option<Durable>) {
        let incarnation = self.member.incarnation;
        match durable {
            Some(Durable::Promise(promised)) => {
                self.promise = Some(PromiseRecord { incarnation, promised });
            }
            Some(Durable::Value(accepted)) => {
                let value = (*accepted.value).clone();
                self.value = Some(ValueRecord { incarnation, ballot: accepted.ballot, value });
            }
            None => {}
        }
    }
}

/// A round that is paused between its two phases.
pub struct PausedRound {
    round: Round,
    accepts: Vec<Send>,
}

/// Members with their disks, and proposers.
pub struct Cluster {
    nodes: Vec<Node>,
    view: Vec<BTreeSet<Member>>,
    rounds: u64,
    /// Watermarks in each proposer's process.
    watermarks: BTreeMap<usize, DurableWatermarks>,
}

/// A copy of a member's disk.
pub struct DiskCopy {
    promise: Option<PromiseRecord>,
    value: Option<ValueRecord>,
}

impl Cluster {
    pub fn new(members: u8) -> Self {
        let mut cluster =
            Cluster { nodes: Vec::new(), view: Vec::new(), rounds: 0, watermarks: BTreeMap::new() };
        for at in 0..members {
            cluster.add(member(at, 0));
        }
        cluster.view = vec![cluster.nodes.iter().map(|node| node.member).collect()];
        cluster
    }

    pub fn add(&mut self, member: Member) -> usize {
        self.nodes.push(Node {
            member,
            acceptor: Acceptor::new(member.incarnation),
            promise: Some(first_promise(member)),
            value: None,
            partitioned: false,
        });
        self.nodes.len() - 1
    }

    pub fn view(&self) -> Vec<BTreeSet<Member>> {
        self.view.clone()
    }

    pub fn set_partitioned(&mut self, at: usize, partitioned: bool) {
        self.nodes[at].partitioned = partitioned;
    }

    /// A copy of a member's disk.
    pub fn copy_disk(&self, at: usize) -> DiskCopy {
        let node = &self.nodes[at];
        DiskCopy { promise: node.promise.clone(), value: node.value.clone() }
    }

    /// Restarts a member from an older copy of its disk.
    pub fn restart_from(&mut self, at: usize, copy: DiskCopy) {
        self.nodes[at].promise = copy.promise;
        self.nodes[at].value = copy.value;
        self.restart(at);
    }

    /// The watermark that the process at an index has of a member.
    pub fn remembered(&self, at: usize, member: &Member) -> Watermark {
        self.watermarks.get(&at).map(|seen| seen.of(member)).unwrap_or_default()
    }

    /// Clears a process's watermarks, as a restart does.
    pub fn clear_watermarks(&mut self, at: usize) {
        self.watermarks.remove(&at);
    }

    /// The disk check of a member that has just started, without answers.
    pub fn disk_check(&self, at: usize) -> DiskCheck {
        DiskCheck::new(self.nodes[at].member, self.nodes[at].acceptor.watermark(), self.view())
    }

    /// Restarts a member from its disk.
    pub fn restart(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.acceptor = Acceptor::recover(node.promise.clone(), node.value.clone()).expect("a record");
    }

    fn deliver(&mut self, to: Member, request: &RegisterRequest) -> Option<RegisterReply> {
        let node = self.nodes.iter_mut().find(|node| node.member == to && !node.partitioned)?;
        let (reply, durable) = node.acceptor.handle(request);
        node.persist(durable);
        Some(reply)
    }

    /// Makes a member adopt a committed value; returns whether it had to be written.
    pub fn adopt(&mut self, at: usize, ballot: Ballot, value: &Value) -> bool {
        let node = &mut self.nodes[at];
        let durable = node.acceptor.adopt_committed(ballot, Rc::new(value.clone()));
        let written = durable.is_some();
        node.persist(durable);
        written
    }

    pub fn acceptor(&self, at: usize) -> &Acceptor {
        &self.nodes[at].acceptor
    }

    fn ballot(&mut self, boot: usize) -> Ballot {
        self.rounds += 1;
        Ballot { round: self.rounds, boot: boot as u64 + 1 }
    }

    /// Executes a round; `None` if replies are missing.
    pub fn round(
        &mut self,
        at: usize,
        view: Vec<BTreeSet<Member>>,
        decide: &mut dyn FnMut(Option<&Value>) -> Decision,
    ) -> Option<Outcome> {
        let ballot = self.ballot(at);
        let (mut round, mut sends) = Round::new(ballot, view, None);
        while !sends.is_empty() {
            let mut next = Vec::new();
            for (to, request) in sends {
                let Some(reply) = self.deliver(to, &request) else { continue };
                self.watermarks.entry(at).or_default().on_reply(to, &reply);
                match round.reply(to, reply, decide) {
                    Progress::Send(more) => next.extend(more),
                    Progress::Done(outcome) => return Some(outcome),
                }
            }
            sends = next;
        }
        None
    }

    fn decide(&mut self, at: usize, decide: &mut dyn FnMut(Option<&Value>) -> Decision) -> Option<Outcome> {
        let mut outcome = self.round(at, self.view.clone(), decide);
        if matches!(outcome, Some(Outcome::MembershipCommitted(..))) {
            outcome = self.round(at, self.view.clone(), decide);
        }
        if let Some(Outcome::Read(_, value) | Outcome::Committed(_, value)) = &outcome {
            self.view = vec![members_of(value)];
        }
        outcome
    }

    pub fn submit(&mut self, at: usize, request: &ConfigRequest) -> Option<ConfigAnswer> {
        let first = self.view.clone();
        let mut answer = None;
        let outcome = self.decide(at, &mut |current| {
            let (decision, found) = request.decide(current, &first);
            answer = Some(found);
            decision
        });
        match outcome? {
            Outcome::Preempted(_) => None,
            _ => answer,
        }
    }

    /// Executes the prepare phase of a request and pauses before proposing.
    pub fn prepared(&mut self, at: usize, request: &ConfigRequest) -> PausedRound {
        let first = self.view.clone();
        self.prepare_for_purpose(at, &mut |current| request.decide(current, &first).0)
    }

    fn prepare_for_purpose(
        &mut self,
        at: usize,
        decide: &mut dyn FnMut(Option<&Value>) -> Decision,
    ) -> PausedRound {
        let ballot = self.ballot(at);
        let first = self.view.clone();
        let (mut round, prepares) = Round::new(ballot, first, None);
        for (to, request) in prepares {
            let Some(reply) = self.deliver(to, &request) else { continue };
            match round.reply(to, reply, decide) {
                Progress::Send(accepts) if !accepts.is_empty() => return PausedRound { round, accepts },
                Progress::Send(_) => {}
                Progress::Done(outcome) => panic!("{outcome:?}"),
            }
        }
        panic!("no majority");
    }

    /// Resumes a paused round: sends the value that it had decided on.
    pub fn resume(&mut self, paused: &mut PausedRound) -> Option<Outcome> {
        for (to, request) in std::mem::take(&mut paused.accepts) {
            let Some(reply) = self.deliver(to, &request) else { continue };
            if let Progress::Done(outcome) = paused.round.reply(to, reply, &mut |_| Decision::Read) {
                return Some(outcome);
            }
        }
        None
    }

    /// A request whose accepts reach only these members and whose proposer gets no replies.
    pub fn submit_reaching(&mut self, at: usize, request: &ConfigRequest, reached: &[usize]) {
        let paused = self.prepared(at, request);
        self.reach(paused, reached);
    }

    /// The first half of a membership change that reaches only these members.
    pub fn begin_replace_reaching(&mut self, at: usize, next: &[Member], reached: &[usize]) {
        let next: BTreeSet<Member> = next.iter().copied().collect();
        let paused =
            self.prepare_for_purpose(at, &mut |current| replace_members(current.expect("a value"), &next));
        self.reach(paused, reached);
    }

    fn reach(&mut self, paused: PausedRound, reached: &[usize]) {
        let reached: Vec<Member> = reached.iter().map(|at| self.nodes[*at].member).collect();
        for (to, request) in paused.accepts.into_iter().filter(|(to, _)| reached.contains(to)) {
            let reply = self.deliver(to, &request);
            assert!(matches!(reply, Some(RegisterReply::Accepted { .. })), "{reply:?}");
        }
    }

    pub fn read_if_any(&mut self, at: usize) -> Option<Value> {
        match self.decide(at, &mut |_| Decision::Read)? {
            Outcome::Read(_, value) | Outcome::Committed(_, value) => Some((*value).clone()),
            _ => None,
        }
    }

    pub fn read(&mut self, at: usize) -> Value {
        self.read_if_any(at).expect("a value")
    }

    /// The first half of a change of members.
    pub fn begin_replace(&mut self, at: usize, next: &[Member]) -> bool {
        let next: BTreeSet<Member> = next.iter().copied().collect();
        let view = self.view.clone();
        let initial = initial_value(&view[0]);
        let outcome =
            self.round(at, view, &mut |current| replace_members(current.unwrap_or(&initial), &next));
        matches!(outcome, Some(Outcome::Committed(_, value)) if is_joint(&value))
    }

    pub fn replace(&mut self, at: usize, next: &[Member]) -> bool {
        self.begin_replace(at, next)
            && matches!(
                self.decide(at, &mut |current| current.map_or(Decision::Read, finish_membership)),
                Some(Outcome::Committed(..))
            )
    }
}
