//! Clients that repeat their writes, and consistent readers.

use super::*;

/// A write on its way.
pub(super) struct Write {
    pub(super) proposal: Proposal,
    pub(super) at: MemberId,
    pub(super) asked: u64,
}

pub(super) struct Read {
    pub(super) number: u64,
    pub(super) at: MemberId,
    /// What had been acknowledged before it was asked.
    pub(super) least: u64,
    pub(super) asked: u64,
}

impl World<'_> {
    /// Lets clients write and read at members that are awake.
    pub(super) fn work(&mut self, awake: &[MemberId]) {
        if awake.is_empty() {
            return;
        }
        for writer in 0..WRITERS {
            let write = match self.writes[writer].take() {
                Some(write) => self.go_on(write, awake),
                None if self.below(4) == 0 => self.new_write(writer, awake),
                None => None,
            };
            self.writes[writer] = write.map(|write| self.ask(write));
        }
        if self.below(3) == 0 {
            self.new_read(awake);
        }
    }

    fn new_write(&mut self, writer: usize, awake: &[MemberId]) -> Option<Write> {
        let at = awake[self.below(awake.len() as u64) as usize];
        self.numbers += 1;
        let id = format!("w{writer}-{}", self.numbers);
        let command = match self.numbers % 3 {
            0 => commit(self.nodes[&at].state()?, self.numbers),
            n => {
                let uid = format!("h{}", self.numbers % 4);
                Command::Hold { pool: "h".to_owned(), uid, held: n == 1, by: Attribution::default() }
            }
        };
        Some(Write { proposal: Proposal { id, command }, at, asked: 0 })
    }

    /// Proposes a write where it was not asked yet.
    pub(super) fn ask(&mut self, mut write: Write) -> Write {
        if write.asked == 0 {
            write.asked = self.now;
            if let Some(node) = self.nodes.get_mut(&write.at) {
                let _ = node.propose(&write.proposal); // it is asked again elsewhere
            }
        }
        write
    }

    fn new_read(&mut self, awake: &[MemberId]) {
        let at = awake[self.below(awake.len() as u64) as usize];
        self.last_number += 1;
        let (number, least, asked) = (self.last_number, self.observed.acked_to, self.now);
        if let Some(node) = self.nodes.get_mut(&at) {
            node.request_read(number);
        }
        self.reads.push(Read { number, at, least, asked });
        self.reads.retain(|read| read.asked + 4 * ASKS > asked);
    }

    /// Looks whether a write is answered where it was asked, or asks elsewhere with the same id.
    pub(super) fn go_on(&mut self, mut write: Write, awake: &[MemberId]) -> Option<Write> {
        let state = self
            .nodes
            .get(&write.at)
            .filter(|_| !self.stalled.contains_key(&write.at))
            .and_then(Node::state);
        let answer = state
            .and_then(|state| state.outcome(&write.proposal.id))
            .map(|(index, outcome)| (index, outcome.clone()));
        if let Some((index, outcome)) = answer {
            self.outcomes.answered += 1;
            self.observed.acked_to = self.observed.acked_to.max(index);
            // A refusal must be one: nothing of it may have been done.
            if !outcome.is_done()
                && let Some(first) = self.observed.effects.get(&write.proposal.id)
            {
                let why =
                    format!("{} took effect at {first} and was answered {outcome:?}", write.proposal.id);
                self.breach(Rule::Twice, why);
            }
            self.observed.acked.insert(write.proposal.id, (index, outcome));
            return None;
        }
        if self.now > write.asked + ASKS && !awake.is_empty() {
            write.at = awake[self.below(awake.len() as u64) as usize];
            write.asked = 0;
        }
        Some(write)
    }

    pub(super) fn answer(&mut self, member: MemberId, numbers: &[u64]) {
        let Some(index) = self.nodes.get(&member).and_then(Node::state).map(|state| state.index) else {
            return;
        };
        for number in numbers {
            let Some(n) = self.reads.iter().position(|read| read.number == *number && read.at == member)
            else {
                continue;
            };
            let read = self.reads.swap_remove(n);
            self.outcomes.answered += 1;
            if index < read.least {
                let why = format!(
                    "{member} answered a read from index {index}, and {} had been acknowledged before",
                    read.least
                );
                self.breach(Rule::Stale, why);
            }
        }
    }
}

/// A version on top of the one that a state has.
pub(super) fn commit(state: &State, number: u64) -> Command {
    let parent = state.current().map(|version| version.hash.clone()).unwrap_or_default();
    Command::Commit(Commit {
        on: state.serial(),
        parent,
        text: format!("{number}"),
        by: Attribution::default(),
        plan: String::new(),
        stages: Vec::new(),
        pause_ms: 0,
    })
}
