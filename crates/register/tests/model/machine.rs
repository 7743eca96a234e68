//! Executes the actual members and rounds. Their behaviour depends only on their state and the message, so each distinct step
//! is executed once and cached.

mod reads;
mod rounds;

pub use reads::{ReadEnd, Reading};
pub use rounds::{End, Replied};

use crate::intern::{FixedMap, Interner};
use crate::scenario::Scenario;
use crate::state::{MAX_NODES, NONE, State};
use crate::support::attempt::{Attempt, Purpose};
use crate::support::mutants::Mutant;
use crate::support::node::Node;
use runtrack_message::{Ballot, InspectReply, Member, RegisterReply, RegisterRequest, Value};
use runtrack_register::{Send, members_of, sets_of};
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

/// The properties of a value that the invariants use.
#[derive(Clone, Debug)]
pub struct ValueFacts {
    pub sequence: u8,
    /// Masks of its sets of members.
    pub sets: Vec<u8>,
    /// The request that brought its configuration, as a number of a purpose.
    pub request: Option<u8>,
}

/// Origin of a round's state: the previous state, the purpose, and the reply with its sender.
#[derive(Clone, Copy)]
struct Origin {
    before: u32,
    purpose: u8,
    from: u8,
    reply: u32,
}

/// The code under test, with a cache of all steps so far.
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

    /// Number of distinct rounds, members and values.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.attempts.len(), self.nodes.len(), self.values.len())
    }

    /// Whether an operation can begin: a change of members needs all of the new ones.
    pub fn can_begin(&self, purpose: u8, state: &State) -> bool {
        let Purpose::Members(next) = &self.scenario.purposes[usize::from(purpose)] else { return true };
        let mask = self.scenario.mask(next);
        (0..MAX_NODES).all(|at| mask & (1 << at) == 0 || state.nodes[at] != NONE)
    }

    /// Members that a round of a process that knows this committed value asks first, as a bit mask.
    pub fn asked(&self, known: u32) -> u8 {
        if known == NONE {
            return self.scenario.mask(&self.scenario.first);
        }
        self.scenario.mask(&members_of(&self.committed.get(known).1))
    }

    /// Whether a member does not reject this ballot. Mutants of this check itself are searched without the reduction.
    pub fn takes(&self, node: u32, ballot: Ballot) -> bool {
        let all = [Mutant::PromiseForgotten, Mutant::RefusalCounted, Mutant::UnknownRefused];
        all.contains(&self.scenario.mutant) || self.nodes.get(node).acceptor.promised() <= ballot
    }

    /// Whether a member states with this that it has accepted.
    pub fn is_acceptance(&self, reply: u32) -> bool {
        matches!(*self.replies.get(reply), RegisterReply::Accepted { .. })
    }

    /// Initial sets and value of a process that knows this committed value.
    fn beginning(&self, known: u32) -> (Vec<BTreeSet<Member>>, Option<Committed>) {
        let known = (known != NONE).then(|| (*self.committed.get(known)).clone());
        let sets = match &known {
            Some((_, value)) => vec![members_of(value)],
            None => vec![self.scenario.first.clone()],
        };
        (sets, known)
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

    /// A member handles a request; returns its new state and its reply.
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

    /// Restarts a member's process.
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
}
