//! Requests, reads and membership changes: each runs rounds until one succeeds or the caller gives up.

use super::faults::MAX_CHANGES;
use super::{Process, World};
use crate::support::attempt::{Attempt, Decided, Purpose, Step};
use crate::support::checker::{Event, KnownRequest};
use crate::support::mutants::Mutant;
use runtrack_message::{Ballot, Member, RegisterReply, Value};
use runtrack_register::{ConfigAnswer, ConfigRequest, Outcome, Progress, is_joint, members_of};
use std::rc::Rc;

/// Maximum number of rounds of one operation.
const MAX_ATTEMPTS: u32 = 6;
/// Steps without a reply after which a round times out.
const IDLE_STEPS: u32 = 40;

/// An operation at a process.
pub struct Operation {
    pub id: usize,
    /// Index of the process.
    pub at: usize,
    pub purpose: Purpose,
    /// Index of the request in the history.
    pub request: Option<usize>,
    attempt: Option<Attempt>,
    answer: Option<ConfigAnswer>,
    attempts: u32,
    idle: u32,
    /// A value of its own has been proposed.
    sent: bool,
}

impl World {
    /// Starts a request of an operator: a new one, possibly with a concurrent rival, or a retry.
    pub(super) fn start_request(&mut self) {
        if self.operations.len() >= self.profile.max_operations {
            return;
        }
        if !self.requests.is_empty() && self.rng.u32(..100) < self.profile.retries {
            let request = self.random_request();
            return self.start_request_at(request);
        }
        let at = self.rng.usize(..self.processes.len());
        self.start_new_request(at);
    }

    /// Starts a new request at this process, possibly with a rival on the same base or a successor at other processes.
    pub(super) fn start_new_request(&mut self, at: usize) {
        let base = self.draw_base();
        let request = self.new_request(base);
        self.start(at, Purpose::Replace(self.requests[request].clone()), Some(request));
        if self.rng.u32(..100) < self.profile.rivals {
            let rival = self.new_request(base);
            self.start_request_at(rival);
        }
        if self.rng.u32(..100) < self.profile.successors {
            let successor = self.new_request(self.requests[request].version);
            self.start_request_at(successor);
        }
    }

    /// Draws a request to retry, often a recent one.
    fn random_request(&mut self) -> usize {
        let all = self.requests.len();
        let last = if self.rng.bool() { all.min(4) } else { all };
        all - 1 - self.rng.usize(..last)
    }

    /// Draws a base: the newest version that any process knows, or sometimes the version that one process knows.
    fn draw_base(&mut self) -> u64 {
        let knows = |process: &Process| process.known.as_ref().map_or(0, |(_, value)| value.version);
        if self.rng.u32(..4) == 0 {
            let at = self.rng.usize(..self.processes.len());
            return knows(&self.processes[at]);
        }
        self.processes.iter().map(knows).max().unwrap_or(0)
    }

    fn new_request(&mut self, base: u64) -> usize {
        let rival = self.requests.last().filter(|last| last.version > base).map(|last| last.version);
        let version = match rival.filter(|_| self.rng.u32(..100) < self.profile.same_version) {
            Some(version) => version,
            None => {
                self.version += 1 + self.rng.u64(..3);
                self.version
            }
        };
        let body = (self.requests.len() as u64).to_le_bytes().to_vec();
        self.add_request(ConfigRequest::replace(base, version, body))
    }

    pub(super) fn add_request(&mut self, request: ConfigRequest) -> usize {
        self.history.requests.push(KnownRequest { base: request.base, version: request.version });
        self.requests.push(request);
        self.requests.len() - 1
    }

    fn start_request_at(&mut self, request: usize) {
        let at = self.rng.usize(..self.processes.len());
        self.start(at, Purpose::Replace(self.requests[request].clone()), Some(request));
    }

    pub(super) fn start_read(&mut self) {
        if self.operations.len() < self.profile.max_operations {
            let at = self.rng.usize(..self.processes.len());
            self.start(at, Purpose::Read, None);
        }
    }

    pub(super) fn start(&mut self, at: usize, purpose: Purpose, request: Option<usize>) {
        let id = self.next;
        self.next += 1;
        match (&purpose, request) {
            (_, Some(request)) => self.history.events.push(Event::Requested { id, request }),
            (Purpose::Read, _) => self.history.events.push(Event::ReadBegan { id }),
            _ => {}
        }
        let operation = Operation {
            id,
            at,
            purpose,
            request,
            attempt: None,
            answer: None,
            attempts: 0,
            idle: 0,
            sent: false,
        };
        self.operations.insert(id, operation);
        self.begin_attempt(id);
    }

    fn begin_attempt(&mut self, id: usize) {
        let Some(operation) = self.operations.get_mut(&id) else { return };
        operation.attempts += 1;
        operation.idle = 0;
        if operation.attempts > MAX_ATTEMPTS {
            self.operations.remove(&id); // its caller never learns the outcome
            return;
        }
        let process = &mut self.processes[operation.at];
        process.round += 1 + self.rng.u64(..=self.profile.ballot_gap);
        let ballot = Ballot { round: process.round, boot: process.boot };
        let (attempt, sends) = Attempt::new(ballot, process.view.1.clone(), process.known.clone());
        operation.attempt = Some(attempt);
        self.send(id, ballot, sends);
    }

    pub(super) fn on_reply(&mut self, id: usize, ballot: Ballot, from: Member, reply: RegisterReply) {
        let Some(operation) = self.operations.get_mut(&id) else { return };
        self.processes[operation.at].watermarks.on_reply(from, &reply);
        let Some(attempt) = operation.attempt.as_mut().filter(|attempt| attempt.ballot() == ballot) else {
            return;
        };
        operation.idle = 0;
        let Step { progress, decided, answered_early } =
            attempt.reply(from, reply, &operation.purpose, &self.settings);
        let sends = matches!(&progress, Progress::Send(sends) if !sends.is_empty());
        operation.sent |= sends && attempt.may_write();
        if let Some(Decided { answer, .. }) = &decided {
            operation.answer = *answer;
        }
        if answered_early {
            return self.end(id, decided.and_then(|decided| decided.found));
        }
        match progress {
            Progress::Send(sends) => self.send(id, ballot, sends),
            Progress::Done(outcome) => self.attempt_ended(id, outcome),
        }
    }

    fn attempt_ended(&mut self, id: usize, outcome: Outcome) {
        let Some(Operation { at, sent, .. }) = self.operations.get(&id) else { return };
        let (at, sent) = (*at, *sent);
        match outcome {
            Outcome::Read(ballot, value) | Outcome::Committed(ballot, value) => {
                self.learn(at, ballot, &value);
                self.end(id, Some(value.clone()));
                if is_joint(&value) && self.changes() < MAX_CHANGES {
                    self.start(at, Purpose::Finish, None);
                }
            }
            Outcome::MembershipCommitted(ballot, value) => {
                self.learn(at, ballot, &value);
                self.begin_attempt(id);
            }
            Outcome::Empty => self.end(id, None),
            Outcome::Preempted(highest) => {
                let process = &mut self.processes[at];
                process.round = process.round.max(highest.round);
                if self.settings.mutant == Mutant::UnknownRefused && sent {
                    return self.reject_unknown(id);
                }
                self.back_off(id);
            }
        }
    }

    /// Delays the next round after a rejection by a higher ballot.
    fn back_off(&mut self, id: usize) {
        let pause = self.rng.u32(..self.profile.max_backoff);
        if let Some(operation) = self.operations.get_mut(&id) {
            operation.attempt = None;
            operation.idle = IDLE_STEPS - pause;
        }
    }

    fn reject_unknown(&mut self, id: usize) {
        if let Some(operation) = self.operations.get_mut(&id) {
            operation.answer = Some(ConfigAnswer::VersionNotIncreasing(0));
        }
        self.end(id, None);
    }

    /// A process considers a value committed and may announce it to others.
    fn learn(&mut self, at: usize, ballot: Ballot, value: &Rc<Value>) {
        let request = self.request_of(value);
        self.history.events.push(Event::Chosen { sequence: value.sequence, request });
        if !self.committed.iter().any(|(known, _)| *known == ballot) {
            self.committed.push((ballot, value.clone()));
        }
        if !is_joint(value) && self.wanted.as_ref() == Some(&members_of(value)) {
            self.wanted = None;
        }
        let process = &mut self.processes[at];
        process.round = process.round.max(ballot.round);
        if process.known.as_ref().is_none_or(|(known, _)| *known < ballot) {
            process.known = Some((ballot, value.clone()));
            process.view = (value.sequence, vec![members_of(value)]);
        }
        for other in &mut self.processes {
            if self.rng.u32(..100) < self.profile.heard {
                other.update_view(value.sequence, &[members_of(value)]);
            }
        }
    }

    /// Index of the request that proposed the configuration of a value.
    pub(super) fn request_of(&self, value: &Value) -> Option<usize> {
        self.requests.iter().position(|request| request.body == value.config.as_slice())
    }

    fn end(&mut self, id: usize, value: Option<Rc<Value>>) {
        let Some(operation) = self.operations.remove(&id) else { return };
        let event = match (operation.request, operation.answer) {
            (Some(request), Some(ConfigAnswer::Applied)) => Event::Acknowledged { id, request },
            (Some(request), Some(ConfigAnswer::VersionMismatch(current))) => {
                Event::Refused { id, request, current: Some(current) }
            }
            (Some(request), Some(ConfigAnswer::VersionNotIncreasing(_))) => {
                Event::Refused { id, request, current: None }
            }
            (None, _) if operation.purpose == Purpose::Read => {
                Event::Read { id, request: value.and_then(|value| self.request_of(&value)) }
            }
            _ => return,
        };
        self.history.events.push(event);
    }

    /// Processes with a round that has proposed its own value.
    pub(super) fn sending(&self) -> impl Iterator<Item = usize> + '_ {
        self.operations.values().filter(|operation| operation.sent).map(|operation| operation.at)
    }

    pub(super) fn time_out_idle(&mut self) {
        let mut idle = Vec::new();
        for operation in self.operations.values_mut() {
            operation.idle += 1;
            if operation.idle > IDLE_STEPS {
                idle.push(operation.id);
            }
        }
        for id in idle {
            self.begin_attempt(id);
        }
    }
}
