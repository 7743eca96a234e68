//! Quorum reads: members' answers, and what a reader makes of them.

use super::Machine;
use crate::state::{MAX_NODES, NONE};
use crate::support::read_attempt::ReadAttempt;
use runtrack_message::{Ballot, InspectRequest, RegisterRequest};
use runtrack_register::{ReadOutcome, ReadProgress};
use std::collections::BTreeSet;

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

impl Machine {
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
}
