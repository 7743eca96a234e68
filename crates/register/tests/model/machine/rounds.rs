//! Transitions of rounds: their start and the handling of replies.

use super::{Machine, Origin};
use crate::state::{Answer, NONE};
use crate::support::attempt::{Attempt, Decided, is_refusal};
use runtrack_message::{Ballot, RegisterRequest};
use runtrack_register::{ConfigAnswer, Outcome, Progress, Send};

/// How a round ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Empty,
    Preempted,
    /// This value is committed, and the operation has its answer.
    Answered(u32),
    /// This value is committed without a decision on it.
    Membership(u32),
}

/// The basis of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Basis {
    /// The value that was found, or [`NONE`].
    pub found: u32,
    pub answer: Answer,
}

/// Result of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replied {
    pub attempt: u32,
    /// Members to prepare at.
    pub prepares: u8,
    /// Value to propose, or [`NONE`], and its recipients.
    pub value: u32,
    pub accepts: u8,
    pub may_write: bool,
    pub basis: Option<Basis>,
    pub answered_early: bool,
    pub end: Option<End>,
}

impl Machine {
    /// Begins a round: its number, and where it prepares.
    pub fn begin(&mut self, ballot: Ballot, known: u32) -> (u32, u8) {
        let (sets, known) = self.beginning(known);
        let (attempt, sends) = Attempt::new(ballot, sets, known);
        (self.intern_attempt(attempt, None), self.targets(&sends))
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
        let settings = self.scenario.settings();
        let step = after.reply(member, what, &self.scenario.purposes[usize::from(purpose)], &settings);
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
