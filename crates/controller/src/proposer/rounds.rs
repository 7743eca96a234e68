//! Rounds one at a time: requests to the members and to this one, and retries until an outcome is certain.

use crate::proposer::limits::Limits;
use crate::proposer::timing::{backoff, leap, reply_timeout};
use crate::proposer::{Proposer, Replies};
use runtrack_message::{Ballot, Message, RegisterReply, RegisterRequest, Role, Value};
use runtrack_register::{Decision, Outcome, Progress, Round, Send};
use tokio::sync::MutexGuard;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Held by the operation whose rounds run.
pub(super) struct Turn<'a>(#[expect(dead_code, reason = "held, not read")] MutexGuard<'a, ()>);

impl Proposer {
    /// A reply to a request of this number came over this session.
    pub fn replied(&self, session: usize, number: u64, reply: RegisterReply) {
        if let Some((from, replies)) = self.pending.borrow_mut().replied(session, number) {
            let _ = replies.send((from, reply)); // the round may be over
        }
    }

    /// Sends the requests of a round to its members.
    fn send(&self, sends: Vec<Send>, replies: &Replies) {
        let sessions = self.gossip.peers(Role::Controller);
        for (to, request) in sends {
            if to == self.me {
                self.ask_self(request, replies.clone());
                continue;
            }
            let address = to.address();
            let session = sessions.iter().find(|session| session.dialled == Some(address));
            if let Some(session) = session {
                let number = self.pending.borrow_mut().sent(session.key, (to, replies.clone()));
                session.send(&Message::Request(number, request));
            }
        }
    }

    /// Submits a request to this process's own member.
    fn ask_self(&self, request: RegisterRequest, replies: Replies) {
        let me = self.me;
        self.member.ask(request, move |reply| {
            let _ = replies.send((me, reply)); // the round may be over
        });
    }

    /// One round; nothing where it timed out.
    async fn round(&self, decide: &mut dyn FnMut(Option<&Value>) -> Decision) -> Option<Outcome> {
        let ballot = Ballot { round: self.round.get() + 1, boot: self.boot };
        self.round.set(ballot.round);
        let (mut round, sends) = Round::new(ballot, self.sets(), self.known());
        let (replies, mut received) = unbounded_channel();
        self.pending.borrow_mut().clear(); // of a round that was given up half-way
        self.send(sends, &replies);
        let outcome = loop {
            let reply_timeout = reply_timeout(round.preempted_by().is_some(), self.member.write_time());
            let Ok(Some((from, reply))) = timeout(reply_timeout, received.recv()).await else {
                break round.preempted_by().map(Outcome::Preempted);
            };
            match round.reply(from, reply, decide) {
                Progress::Send(sends) => self.send(sends, &replies),
                Progress::Done(outcome) => break Some(outcome),
            }
        };
        if let Some(outcome) = &outcome {
            self.take_outcome(outcome);
        }
        outcome
    }

    /// Learns from the outcome of a round.
    fn take_outcome(&self, outcome: &Outcome) {
        match outcome {
            Outcome::Read(ballot, value)
            | Outcome::Committed(ballot, value)
            | Outcome::MembershipCommitted(ballot, value) => self.take_chosen(*ballot, value.clone()),
            Outcome::Empty => self.informed.set(true),
            Outcome::Preempted(highest) => self.round.set(self.round.get().max(highest.round)),
        }
    }

    /// Rounds until the outcome of one is certain, or the deadline is over.
    pub async fn decide(
        &self,
        deadline: Instant,
        decide: &mut dyn FnMut(Option<&Value>) -> Decision,
    ) -> Option<Outcome> {
        self.rounds(Limits::until(deadline), decide).await
    }

    /// Rounds within limits, after those of other operations of this process: until the outcome of one is certain.
    pub(super) async fn rounds(
        &self,
        limits: Limits,
        decide: &mut dyn FnMut(Option<&Value>) -> Decision,
    ) -> Option<Outcome> {
        let turn = self.take_turn(limits).await?;
        self.rounds_in_turn(turn, limits, decide).await
    }

    /// Waits until no other operation of this process has rounds; nothing where that is too late for a round.
    pub(super) async fn take_turn(&self, limits: Limits) -> Option<Turn<'_>> {
        timeout_at(limits.last_start, self.turn.lock()).await.ok().map(Turn)
    }

    /// Rounds within limits until the outcome of one is certain.
    pub(super) async fn rounds_in_turn(
        &self,
        _turn: Turn<'_>,
        limits: Limits,
        decide: &mut dyn FnMut(Option<&Value>) -> Decision,
    ) -> Option<Outcome> {
        for attempt in 1.. {
            match timeout_at(limits.deadline, self.round(decide)).await.ok()? {
                Some(Outcome::Preempted(_)) if limits.yields_when_preempted => return None,
                Some(Outcome::Preempted(_)) => {
                    self.round.set(self.round.get() + leap(attempt));
                    sleep(backoff(attempt, self.member.write_time())).await;
                }
                Some(Outcome::MembershipCommitted(..)) | None => {}
                Some(outcome) => return Some(outcome),
            }
            if Instant::now() >= limits.last_start {
                break;
            }
        }
        None
    }
}
