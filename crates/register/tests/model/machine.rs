//! The code's own members and rounds, asked once for each step that is new: what they do depends on nothing but their
//! own state and the message, so a step that was taken before is looked up.

use crate::intern::{FixedMap, Interner};
use crate::scenario::Scenario;
use crate::state::{Answer, MAX_NODES, NONE, State};
use crate::support::attempt::{Attempt, Decided, Purpose, is_refusal};
use crate::support::mutants::Mutant;
use crate::support::node::Node;
use crate::support::read_attempt::ReadAttempt;
use runtrack_message::{
    Ballot, InspectReply, InspectRequest, Member, RegisterReply, RegisterRequest, Value,
};
use runtrack_register::{
    ConfigAnswer, Outcome, Progress, ReadOutcome, ReadProgress, Send, members_of, sets_of,
};
use std::collections::BTreeSet;
use std::rc::Rc;

/// A value with the ballot under which it was committed.
pub type Committed = (Ballot, Rc<Value>);

/// A request to a member, by numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Request {
    Prepare { ballot: Ballot, known: u32 },
    Accept { ballot: Ballot, value: u32 },
    Adopt { ballot: Ballot, value: u32 },
}

/// How a round ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Empty,
    Preempted,
    /// This is committed, and the operation has its answer.
    Answered(u32),
    /// This is committed, and nothing was decided on it.
    Membership(u32),
}

/// How a quorum read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    Empty,
    /// This is chosen.
    Chosen(u32),
    /// Only a round can tell.
    Unsettled,
}

/// A quorum read that has these answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Members that were asked.
    pub asked: u8,
    pub end: Option<ReadEnd>,
}

/// What a decision rested on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Basis {
    /// The value that was found, or [`NONE`].
    pub found: u32,
    pub answer: Answer,
}

/// What a reply brought about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replied {
    pub attempt: u32,
    /// Members to prepare at.
    pub prepares: u8,
    /// Value to send out, or [`NONE`], and to whom.
    pub value: u32,
    pub accepts: u8,
    pub may_write: bool,
    pub basis: Option<Basis>,
    pub answered_early: bool,
    pub end: Option<End>,
}

/// What the rules need to know of a value.
#[derive(Clone, Debug)]
pub struct ValueFacts {
    pub sequence: u8,
    /// Masks of its sets of members.
    pub sets: Vec<u8>,
    /// The request that brought its configuration, as a number of a purpose.
    pub request: Option<u8>,
}

/// How a round came to be: the round before the reply, its purpose, who replied and what.
#[derive(Clone, Copy)]
struct Origin {
    before: u32,
    purpose: u8,
    from: u8,
    reply: u32,
}

/// The code under test, with all that it was asked so far.
pub struct Machine {
    pub scenario: Scenario,
    nodes: Interner<Node>,
    attempts: Interner<Attempt>,
    origins: Vec<Option<Origin>>,
    replies: Interner<RegisterReply>,
    committed: Interner<Committed>,
    committed_values: Vec<u32>,
    values: Interner<Value>,
    facts: Vec<ValueFacts>,
    handled: FixedMap<(u32, u8, Request), (u32, u32)>,
    replied: FixedMap<(u32, u8, u8, u32), Replied>,
    restarted: FixedMap<u32, u32>,
    inspections: Interner<InspectReply>,
    inspected: FixedMap<(u32, u8, u32), u32>,
    readings: FixedMap<(u32, [u32; MAX_NODES]), Reading>,
    renamed: FixedMap<(u32, usize), u32>,
    /// The least that a majority of members in these states reads, see `audit.rs`.
    pub audited: FixedMap<[u32; MAX_NODES], u8>,
    rows: Vec<Vec<u8>>,
}

impl Machine {
    pub fn new(scenario: Scenario) -> Self {
        Machine {
            rows: scenario.symmetries(),
            scenario,
            nodes: Interner::new(),
            attempts: Interner::new(),
            origins: Vec::new(),
            replies: Interner::new(),
            committed: Interner::new(),
            committed_values: Vec::new(),
            values: Interner::new(),
            facts: Vec::new(),
            handled: FixedMap::default(),
            replied: FixedMap::default(),
            restarted: FixedMap::default(),
            inspections: Interner::new(),
            inspected: FixedMap::default(),
            readings: FixedMap::default(),
            renamed: FixedMap::default(),
            audited: FixedMap::default(),
        }
    }

    pub fn rows(&self) -> &[Vec<u8>] {
        &self.rows
    }

    pub fn node(&self, node: u32) -> Rc<Node> {
        self.nodes.get(node)
    }

    pub fn intern_node(&mut self, node: Node) -> u32 {
        self.nodes.number(node).0
    }

    pub fn reply(&self, reply: u32) -> Rc<RegisterReply> {
        self.replies.get(reply)
    }

    pub fn value(&self, value: u32) -> Rc<Value> {
        self.values.get(value)
    }

    pub fn facts(&self, value: u32) -> &ValueFacts {
        &self.facts[value as usize]
    }

    pub fn committed(&self, committed: u32) -> Rc<Committed> {
        self.committed.get(committed)
    }

    pub fn intern_committed(&mut self, ballot: Ballot, value: u32) -> u32 {
        let (number, new) = self.committed.number((ballot, self.values.get(value)));
        if new {
            self.committed_values.push(value);
        }
        number
    }

    /// The number of the value of what was committed.
    pub fn value_of(&self, committed: u32) -> u32 {
        self.committed_values[committed as usize]
    }

    pub fn intern_value(&mut self, value: Value) -> u32 {
        let (number, new) = self.values.number(value);
        if new {
            let facts = self.facts_of(&self.values.get(number));
            self.facts.push(facts);
        }
        number
    }

    fn facts_of(&self, value: &Value) -> ValueFacts {
        let brings = |purpose: &Purpose| matches!(purpose, Purpose::Replace(request) if request.body == value.config.as_slice());
        ValueFacts {
            sequence: value.sequence as u8,
            sets: sets_of(value).iter().map(|set| self.scenario.mask(set)).collect(),
            request: self.scenario.purposes.iter().position(brings).map(|at| at as u8),
        }
    }

    /// How many different rounds, members and values there were.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.attempts.len(), self.nodes.len(), self.values.len())
    }

    /// Whether an operation can begin: a change of members needs all of the new ones.
    pub fn can_begin(&self, purpose: u8, state: &State) -> bool {
        let Purpose::Members(next) = &self.scenario.purposes[usize::from(purpose)] else { return true };
        let mask = self.scenario.mask(next);
        (0..MAX_NODES).all(|at| mask & (1 << at) == 0 || state.nodes[at] != NONE)
    }

    /// Whom a round asks first, for who knows this to be committed.
    pub fn asked(&self, known: u32) -> u8 {
        if known == NONE {
            return self.scenario.mask(&self.scenario.first);
        }
        self.scenario.mask(&members_of(&self.committed.get(known).1))
    }

    /// Whether a member does not turn this ballot away. An error in just that is searched with all messages.
    pub fn takes(&self, node: u32, ballot: Ballot) -> bool {
        let all = [Mutant::PromiseForgotten, Mutant::RefusalCounted, Mutant::UnknownRefused];
        all.contains(&self.scenario.mutant) || self.nodes.get(node).acceptor.promised() <= ballot
    }

    /// Whether a member states with this that it has accepted.
    pub fn is_acceptance(&self, reply: u32) -> bool {
        matches!(*self.replies.get(reply), RegisterReply::Accepted { .. })
    }

    /// Begins a round: its number, and where it prepares.
    pub fn begin(&mut self, ballot: Ballot, known: u32) -> (u32, u8) {
        let (sets, known) = self.beginning(known);
        let (attempt, sends) = Attempt::new(ballot, sets, known);
        (self.intern_attempt(attempt, None), self.targets(&sends))
    }

    /// The sets at which somebody begins who knows this to be committed.
    fn beginning(&self, known: u32) -> (Vec<BTreeSet<Member>>, Option<Committed>) {
        let known = (known != NONE).then(|| (*self.committed.get(known)).clone());
        let sets = match &known {
            Some((_, value)) => vec![members_of(value)],
            None => vec![self.scenario.first.clone()],
        };
        (sets, known)
    }

    /// A member's answer to a reader that knows this to be committed.
    pub fn inspect(&mut self, node: u32, at: u8, known: u32) -> u32 {
        if let Some(done) = self.inspected.get(&(node, at, known)) {
            return *done;
        }
        let request = self.inspection(at, known);
        let reply = self.nodes.get(node).inspect(&request);
        let done = self.inspections.number(reply).0;
        self.inspected.insert((node, at, known), done);
        done
    }

    fn inspection(&self, at: u8, known: u32) -> InspectRequest {
        let have = if known == NONE { Ballot::default() } else { self.committed.get(known).0 };
        InspectRequest { to: self.scenario.members[usize::from(at)].incarnation, have }
    }

    /// A mutant's answer while the member writes this value; nothing where it would refuse it.
    pub fn inspect_while_writing(
        &mut self,
        node: u32,
        at: u8,
        known: u32,
        ballot: Ballot,
        value: u32,
    ) -> Option<u32> {
        let request = self.inspection(at, known);
        let value = (*self.values.get(value)).clone();
        let writing = RegisterRequest::Accept { to: request.to, ballot, value };
        let reply = self.nodes.get(node).inspect_while_writing(&request, &writing)?;
        Some(self.inspections.number(reply).0)
    }

    /// A read by somebody who knows this to be committed and has these answers. They count in whatever order they came.
    pub fn reading(&mut self, known: u32, answers: [u32; MAX_NODES]) -> Reading {
        if let Some(done) = self.readings.get(&(known, answers)) {
            return *done;
        }
        let (sets, value) = self.beginning(known);
        let (mut read, mut asked) = ReadAttempt::new(sets, value, self.scenario.mutant);
        let mut outcome = None;
        for (at, answer) in answers.iter().enumerate().filter(|(_, answer)| **answer != NONE) {
            let reply = (*self.inspections.get(*answer)).clone();
            match read.reply(self.scenario.members[at], reply) {
                ReadProgress::Ask(more) => {
                    asked.extend(more);
                    outcome = None;
                }
                ReadProgress::Done(done) => outcome = Some(done),
            }
        }
        let to: BTreeSet<u8> = asked.iter().map(|(to, _)| self.scenario.index(*to)).collect();
        let end = outcome.map(|outcome| self.read_end(outcome));
        let done = Reading { asked: to.into_iter().map(|at| 1 << at).sum(), end };
        self.readings.insert((known, answers), done);
        done
    }

    fn read_end(&mut self, outcome: ReadOutcome) -> ReadEnd {
        match outcome {
            ReadOutcome::Empty => ReadEnd::Empty,
            ReadOutcome::Unsettled => ReadEnd::Unsettled,
            ReadOutcome::Chosen(ballot, value) => {
                let value = self.intern_value((*value).clone());
                ReadEnd::Chosen(self.intern_committed(ballot, value))
            }
        }
    }

    fn intern_attempt(&mut self, attempt: Attempt, origin: Option<Origin>) -> u32 {
        let (number, new) = self.attempts.number(attempt);
        if new {
            self.origins.push(origin);
        }
        number
    }

    fn targets(&self, sends: &[Send]) -> u8 {
        let to: BTreeSet<u8> = sends.iter().map(|(to, _)| self.scenario.index(*to)).collect();
        to.into_iter().map(|at| 1 << at).sum()
    }

    /// A member takes a request: what it is then, and its reply.
    pub fn handle(&mut self, node: u32, at: u8, request: Request) -> (u32, u32) {
        if let Some(done) = self.handled.get(&(node, at, request)) {
            return *done;
        }
        let mutant = self.scenario.mutant;
        let to = self.scenario.members[usize::from(at)].incarnation;
        let mut after = (*self.nodes.get(node)).clone();
        let reply = match request {
            Request::Prepare { ballot, known } => {
                let have = if known == NONE { Ballot::default() } else { self.committed.get(known).0 };
                after.handle(&RegisterRequest::Prepare { to, ballot, have }, mutant)
            }
            Request::Accept { ballot, value } => {
                let value = (*self.values.get(value)).clone();
                after.handle(&RegisterRequest::Accept { to, ballot, value }, mutant)
            }
            Request::Adopt { ballot, value } => {
                after.adopt(ballot, &self.values.get(value), mutant);
                RegisterReply::Accepted { ballot }
            }
        };
        let done = (self.nodes.number(after).0, self.replies.number(reply).0);
        self.handled.insert((node, at, request), done);
        done
    }

    /// A member's process ends and starts again.
    pub fn restart(&mut self, node: u32) -> u32 {
        if let Some(done) = self.restarted.get(&node) {
            return *done;
        }
        let mut after = (*self.nodes.get(node)).clone();
        after.restart();
        let after = self.nodes.number(after).0;
        self.restarted.insert(node, after);
        after
    }

    /// A round takes a reply.
    pub fn replied(&mut self, attempt: u32, purpose: u8, from: u8, reply: u32) -> Replied {
        let key = (attempt, purpose, from, reply);
        if let Some(done) = self.replied.get(&key) {
            return *done;
        }
        let mut after = (*self.attempts.get(attempt)).clone();
        let member = self.scenario.members[usize::from(from)];
        let what = (*self.replies.get(reply)).clone();
        let terms = self.scenario.terms();
        let step = after.reply(member, what, &self.scenario.purposes[usize::from(purpose)], &terms);
        let may_write = after.may_write();
        let origin = Origin { before: attempt, purpose, from, reply };
        let mut done = Replied {
            attempt: self.intern_attempt(after, Some(origin)),
            prepares: 0,
            value: NONE,
            accepts: 0,
            may_write,
            basis: step.decided.map(|decided| self.basis(decided)),
            answered_early: step.answered_early,
            end: None,
        };
        match step.progress {
            Progress::Send(sends) => self.note_sends(&mut done, &sends),
            Progress::Done(outcome) => done.end = Some(self.end(outcome)),
        }
        self.replied.insert(key, done);
        done
    }

    fn basis(&mut self, decided: Decided) -> Basis {
        let answer = match decided.answer {
            Some(ConfigAnswer::Applied) => Answer::Acknowledged,
            answer if is_refusal(answer) => Answer::Refused,
            _ => Answer::Nothing,
        };
        let found = decided.found.map_or(NONE, |value| self.intern_value((*value).clone()));
        Basis { found, answer }
    }

    fn note_sends(&mut self, done: &mut Replied, sends: &[Send]) {
        let Some((_, request)) = sends.first() else { return };
        let targets = self.targets(sends);
        match request {
            RegisterRequest::Prepare { .. } => done.prepares = targets,
            RegisterRequest::Accept { value, .. } => {
                done.value = self.intern_value(value.clone());
                done.accepts = targets;
            }
        }
    }

    fn end(&mut self, outcome: Outcome) -> End {
        match outcome {
            Outcome::Empty => End::Empty,
            Outcome::Preempted(_) => End::Preempted,
            Outcome::Read(ballot, value) | Outcome::Committed(ballot, value) => {
                let value = self.intern_value((*value).clone());
                End::Answered(self.intern_committed(ballot, value))
            }
            Outcome::MembershipCommitted(ballot, value) => {
                let value = self.intern_value((*value).clone());
                End::Membership(self.intern_committed(ballot, value))
            }
        }
    }

    /// The round that this one would be if members were named otherwise: the replies that made it are played again from
    /// the members' other names. Values name sets of members, and these are the same under every exchange that a
    /// scenario allows, so the round's beginning and the replies stay as they are.
    pub fn renamed(&mut self, attempt: u32, row: usize) -> u32 {
        let Some(origin) = self.origins[attempt as usize] else { return attempt };
        if let Some(done) = self.renamed.get(&(attempt, row)) {
            return *done;
        }
        let before = self.renamed(origin.before, row);
        let from = self.rows[row][usize::from(origin.from)];
        let done = self.replied(before, origin.purpose, from, origin.reply).attempt;
        self.renamed.insert((attempt, row), done);
        done
    }
}
