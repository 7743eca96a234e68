//! Clients that retry their writes, and consistent readers.

use super::*;

/// A write without an answer so far.
pub(super) struct Write {
    pub(super) proposal: Proposal,
    pub(super) at: MemberId,
    pub(super) submitted: u64,
}

pub(super) struct Read {
    pub(super) number: u64,
    pub(super) at: MemberId,
    /// The highest index acknowledged before the read was submitted.
    pub(super) min_index: u64,
    pub(super) submitted: u64,
}

impl World<'_> {
    /// Lets clients submit writes and reads at running members.
    pub(super) fn run_clients(&mut self, awake: &[MemberId]) {
        if awake.is_empty() {
            return;
        }
        for writer in 0..WRITERS {
            let write = match self.writes[writer].take() {
                Some(write) => self.poll_write(write, awake),
                None if self.draw_below(4) == 0 => self.new_write(writer, awake),
                None => None,
            };
            self.writes[writer] = write.map(|write| self.submit(write));
        }
        if self.draw_below(3) == 0 {
            self.new_read(awake);
        }
    }

    fn new_write(&mut self, writer: usize, awake: &[MemberId]) -> Option<Write> {
        let at = awake[self.draw_below(awake.len() as u64) as usize];
        self.last_write_number += 1;
        let id = format!("w{writer}-{}", self.last_write_number);
        let command = match self.last_write_number % 3 {
            0 => commit(self.nodes[&at].state()?, self.last_write_number),
            n => {
                let uid = format!("h{}", self.last_write_number % 4);
                Command::Hold { pool: "h".to_owned(), uid, held: n == 1, by: Attribution::default() }
            }
        };
        Some(Write { proposal: Proposal { id, command }, at, submitted: 0 })
    }

    /// Proposes a write at its member, unless done already.
    pub(super) fn submit(&mut self, mut write: Write) -> Write {
        if write.submitted == 0 {
            write.submitted = self.now;
            if let Some(node) = self.nodes.get_mut(&write.at) {
                let _ = node.propose(&write.proposal); // it is retried at another member
            }
        }
        write
    }

    fn new_read(&mut self, awake: &[MemberId]) {
        let at = awake[self.draw_below(awake.len() as u64) as usize];
        self.last_read_number += 1;
        let (number, min_index, submitted) =
            (self.last_read_number, self.observed.max_acked_index, self.now);
        if let Some(node) = self.nodes.get_mut(&at) {
            node.request_read(number);
        }
        self.reads.push(Read { number, at, min_index, submitted });
        self.reads.retain(|read| read.submitted + 4 * RETRY_TICKS > submitted);
    }

    /// Completes a write that its member has answered; after a timeout retries it with the same id at another member.
    pub(super) fn poll_write(&mut self, mut write: Write, awake: &[MemberId]) -> Option<Write> {
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
            self.observed.max_acked_index = self.observed.max_acked_index.max(index);
            // A refused write must not have taken effect.
            if !outcome.is_done()
                && let Some(first) = self.observed.effects.get(&write.proposal.id)
            {
                let detail =
                    format!("{} took effect at {first} and was answered {outcome:?}", write.proposal.id);
                self.report_violation(Rule::Twice, detail);
            }
            self.observed.acked.insert(write.proposal.id, (index, outcome));
            return None;
        }
        if self.now > write.submitted + RETRY_TICKS && !awake.is_empty() {
            write.at = awake[self.draw_below(awake.len() as u64) as usize];
            write.submitted = 0;
        }
        Some(write)
    }

    pub(super) fn complete_reads(&mut self, member: MemberId, numbers: &[u64]) {
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
            if index < read.min_index {
                let detail = format!(
                    "{member} answered a read from index {index}, and {} had been acknowledged before",
                    read.min_index
                );
                self.report_violation(Rule::Stale, detail);
            }
        }
    }
}

/// A commit on top of the current version of a state.
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
