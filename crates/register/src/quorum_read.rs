//! A read that writes nothing (a quorum read: Charapko, Ailijiang and Demirbas, "Linearizable Quorum Reads in Paxos", 2019).
//! Members report what they have accepted and have on disk, and promise nothing. The argument is in
//! `docs/design/control-state.md`, section "Reads". Where a read ends [`ReadOutcome::Unsettled`], the caller takes a round
//! (`round.rs`).

use crate::acceptor::Accepted;
use crate::sets::{has_majority, sets_of};
use runtrack_message::{Ballot, InspectReply, InspectRequest, Member, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A request of a read, and the member that it is for.
pub type Inspection = (Member, InspectRequest);

/// A member's reply to a read. `durable` is what it has accepted and has on disk: a value that is still being written could
/// be lost in a power failure after the reader had answered with it.
pub fn inspect(incarnation: u64, durable: Option<&Accepted>, request: &InspectRequest) -> InspectReply {
    if request.to != incarnation {
        return InspectReply::WrongIncarnation;
    }
    match durable {
        None => InspectReply::Accepted(Ballot::default()),
        Some(accepted) if accepted.ballot == request.have => InspectReply::Accepted(accepted.ballot),
        Some(accepted) => {
            InspectReply::AcceptedWith { ballot: accepted.ballot, value: (*accepted.value).clone() }
        }
    }
}

/// How a read ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReadOutcome {
    /// This value is chosen, and none was chosen after it when the read began.
    Chosen(Ballot, Rc<Value>),
    /// No value was chosen when the read began.
    Empty,
    /// All replies are in and it is not known which value is chosen: another read or a round may find out.
    Unsettled,
}

/// What the caller does after a reply.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReadProgress {
    /// Send these, if any, and wait for further replies.
    Ask(Vec<Inspection>),
    /// The read has ended.
    Done(ReadOutcome),
}

/// One read. Replies may arrive in any order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuorumRead {
    known: Option<(Ballot, Rc<Value>)>,
    /// The sets that the reader began with.
    sets: Vec<BTreeSet<Member>>,
    asked: BTreeSet<Member>,
    /// Who has answered, and the ballot of what it has accepted; zero for nothing.
    answers: BTreeMap<Member, Ballot>,
    /// Members without an answer to wait for: unreachable, or another incarnation.
    unavailable: BTreeSet<Member>,
    /// The values that were seen, by ballot.
    seen: BTreeMap<Ballot, Rc<Value>>,
}

impl QuorumRead {
    /// A read by a process that believes that these sets are in force and has this value, with its first requests.
    pub fn new(sets: Vec<BTreeSet<Member>>, known: Option<(Ballot, Rc<Value>)>) -> (Self, Vec<Inspection>) {
        let mut read = QuorumRead {
            known,
            sets: sets.clone(),
            asked: BTreeSet::new(),
            answers: BTreeMap::new(),
            unavailable: BTreeSet::new(),
            seen: BTreeMap::new(),
        };
        let inspections = read.ask(&sets);
        (read, inspections)
    }

    /// Takes a member's reply.
    pub fn reply(&mut self, from: Member, reply: InspectReply) -> ReadProgress {
        let inspections = match reply {
            InspectReply::Accepted(ballot) => self.on_answer(from, ballot, None),
            InspectReply::AcceptedWith { ballot, value } => {
                self.on_answer(from, ballot, Some(Rc::new(value)))
            }
            InspectReply::WrongIncarnation => self.on_unavailable(from),
        };
        self.progress(inspections)
    }

    /// A member that was asked can't be reached: the read doesn't wait for it.
    pub fn unreachable(&mut self, member: Member) -> ReadProgress {
        let inspections = self.on_unavailable(member);
        self.progress(inspections)
    }

    fn progress(&self, inspections: Vec<Inspection>) -> ReadProgress {
        match self.outcome() {
            Some(outcome) => ReadProgress::Done(outcome),
            None => ReadProgress::Ask(inspections),
        }
    }

    /// Asks the members of these sets that have not been asked yet.
    fn ask(&mut self, sets: &[BTreeSet<Member>]) -> Vec<Inspection> {
        let have = self.known.as_ref().map(|(ballot, _)| *ballot).unwrap_or_default();
        let new: Vec<Member> =
            sets.iter().flatten().copied().filter(|member| self.asked.insert(*member)).collect();
        new.into_iter().map(|member| (member, InspectRequest { to: member.incarnation, have })).collect()
    }

    fn on_unavailable(&mut self, from: Member) -> Vec<Inspection> {
        self.unavailable.insert(from);
        Vec::new()
    }

    fn on_answer(&mut self, from: Member, ballot: Ballot, value: Option<Rc<Value>>) -> Vec<Inspection> {
        let known =
            self.known.as_ref().filter(|(known, _)| *known == ballot).map(|(_, value)| value.clone());
        let value = value.or(known);
        if value.is_none() && ballot > Ballot::default() {
            return self.on_unavailable(from); // it claims that this reader has a value which it lacks
        }
        self.answers.insert(from, ballot);
        let Some(value) = value else { return Vec::new() };
        let sets = sets_of(&value);
        self.seen.insert(ballot, value);
        self.ask(&sets)
    }

    /// The outcome as of the answers so far; none while it is open and a member may still answer.
    fn outcome(&self) -> Option<ReadOutcome> {
        let answered = |member: &Member| self.answers.contains_key(member);
        if self.sets.iter().all(|set| has_majority(set, answered)) {
            if let Some((ballot, value)) = self.newest_chosen() {
                return Some(ReadOutcome::Chosen(ballot, value));
            }
            if self.seen.is_empty() && self.known.is_none() {
                return Some(ReadOutcome::Empty);
            }
        }
        let replied = |member: &Member| answered(member) || self.unavailable.contains(member);
        self.asked.iter().all(replied).then_some(ReadOutcome::Unsettled)
    }

    /// The value of the highest ballot that a majority of each of its sets has.
    fn newest_chosen(&self) -> Option<(Ballot, Rc<Value>)> {
        let is_chosen = |(ballot, value): &(&Ballot, &Rc<Value>)| {
            let has_it = |member: &Member| self.answers.get(member) == Some(*ballot);
            sets_of(value).iter().all(|set| has_majority(set, has_it))
        };
        let (ballot, value) = self.seen.iter().rev().find(is_chosen)?;
        Some((*ballot, value.clone()))
    }
}
