//! One quorum read, with the mutants of a reader.

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
    /// For mutants: the sets that the reader began with, and what was answered.
    sets: Vec<BTreeSet<Member>>,
    answers: BTreeMap<Member, Ballot>,
    seen: BTreeMap<Ballot, Rc<Value>>,
}

impl ReadAttempt {
    /// A read for who believes that these sets are in force and has this value.
    pub fn new(
        sets: Vec<BTreeSet<Member>>,
        known: Option<(Ballot, Rc<Value>)>,
        mutant: Mutant,
    ) -> (Self, Vec<Inspection>) {
        let seen = known.iter().cloned().collect();
        let (read, inspections) = QuorumRead::new(sets.clone(), known);
        (ReadAttempt { read, mutant, sets, answers: BTreeMap::new(), seen }, inspections)
    }

    /// Takes a member's reply.
    pub fn reply(&mut self, from: Member, reply: InspectReply) -> ReadProgress {
        self.note(from, &reply);
        let progress = self.read.reply(from, reply);
        match self.answered_anyway() {
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

    /// What a mutant answers now.
    fn answered_anyway(&self) -> Option<ReadOutcome> {
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

    /// The value of the highest ballot that anybody has.
    fn highest(&self) -> Option<(Ballot, Rc<Value>)> {
        let ballot = self.answers.values().max()?;
        Some((*ballot, self.seen.get(ballot)?.clone()))
    }
}
