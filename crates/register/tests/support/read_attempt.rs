//! One quorum read, with the reader's mutants.

use super::mutants::Mutant;
use runtrack_message::{Ballot, InspectReply, Member, Value};
use runtrack_register::{Inspection, QuorumRead, ReadOutcome, ReadProgress, has_majority, sets_of};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// One quorum read.
#[derive(Clone, Debug)]
pub struct ReadAttempt {
    read: QuorumRead,
    mutant: Mutant,
    /// For mutants: the reader's initial sets, and the replies.
    sets: Vec<BTreeSet<Member>>,
    answers: BTreeMap<Member, Ballot>,
    seen: BTreeMap<Ballot, Rc<Value>>,
}

impl ReadAttempt {
    /// A read by a process with this view of the sets and this known value.
    pub fn new(
        sets: Vec<BTreeSet<Member>>,
        known: Option<(Ballot, Rc<Value>)>,
        mutant: Mutant,
    ) -> (Self, Vec<Inspection>) {
        let seen = known.iter().cloned().collect();
        let (read, inspections) = QuorumRead::new(sets.clone(), known);
        (ReadAttempt { read, mutant, sets, answers: BTreeMap::new(), seen }, inspections)
    }

    /// Handles a member's reply.
    pub fn reply(&mut self, from: Member, reply: InspectReply) -> ReadProgress {
        self.note(from, &reply);
        let progress = self.read.reply(from, reply);
        match self.uncertain_outcome() {
            Some(outcome) => ReadProgress::Done(outcome),
            None => progress,
        }
    }

    fn note(&mut self, from: Member, reply: &InspectReply) {
        match reply {
            InspectReply::Accepted(ballot) => {
                self.answers.insert(from, *ballot);
            }
            InspectReply::AcceptedWith { ballot, value } => {
                self.answers.insert(from, *ballot);
                self.seen.insert(*ballot, Rc::new(value.clone()));
            }
            InspectReply::WrongIncarnation => {}
        }
    }

    /// For mutants: an outcome that is not certain.
    fn uncertain_outcome(&self) -> Option<ReadOutcome> {
        let (ballot, value) = self.highest()?;
        let has_it = |member: &Member| self.answers.get(member) == Some(&ballot);
        let enough = match self.mutant {
            Mutant::HighestRead => self.majority_answered(),
            Mutant::OldSetReads => has_majority(sets_of(&value).first()?, has_it),
            _ => false,
        };
        enough.then_some(ReadOutcome::Chosen(ballot, value))
    }

    fn majority_answered(&self) -> bool {
        let answered = |member: &Member| self.answers.contains_key(member);
        self.sets.iter().all(|set| has_majority(set, answered))
    }

    /// The value of the highest ballot among the replies.
    fn highest(&self) -> Option<(Ballot, Rc<Value>)> {
        let ballot = self.answers.values().max()?;
        Some((*ballot, self.seen.get(ballot)?.clone()))
    }
}
