//! Reads of the register: a quorum read first, which writes nothing and waits for no turn, and a round where that does
//! not tell. The argument is in `docs/design/control-state/reads.md`.

use crate::proposer::Proposer;
use crate::proposer::inspections::Replies;
use crate::proposer::limits::Limits;
use crate::proposer::rounds::Turn;
use quick_error::quick_error;
use runtrack_message::{InspectReply, Value};
use runtrack_net::mutant;
use runtrack_register::{Decision, Inspection, Outcome, QuorumRead, ReadOutcome, ReadProgress};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{Instant, sleep, timeout};

/// How long a quorum read waits for the next reply. Members answer from memory: one that has not replied by then has not
/// received the request.
const INSPECTION_TIMEOUT: Duration = Duration::from_millis(100);
/// Wait before a quorum read that found nothing certain is repeated. A value that is on its way to the members' disks is on a
/// majority of them soon, and a round would only preempt it.
const INSPECTION_PAUSE: Duration = Duration::from_millis(10);
/// Time after which no further quorum read begins; the rest of the caller's wait is reserved for a round.
const QUORUM_READ_TIMEOUT: Duration = Duration::from_millis(250);

quick_error! {
    /// The register can't be read.
    #[derive(Debug)]
    pub enum ReadError {
        /// The chosen value can't be determined now.
        Indeterminate {
            display("what is chosen can't be known now")
        }
    }
}

impl Proposer {
    /// A reply to a quorum read came over this session.
    pub fn inspected(&self, session: usize, number: u64, reply: InspectReply) {
        self.inspections.replied(session, number, reply);
    }

    /// The newest value, as of a moment after this call; none where nothing was ever written.
    pub async fn read(&self) -> Result<Option<Rc<Value>>, ReadError> {
        let limits = Limits::of_request();
        match self.quorum_read().await {
            Some(found) => Ok(found),
            None => self.read_by_round(limits).await,
        }
    }

    /// Reads the newest value by a round, which also commits or supersedes values that only a minority has accepted.
    async fn read_by_round(&self, limits: Limits) -> Result<Option<Rc<Value>>, ReadError> {
        let turn = self.take_turn(limits).await.ok_or(ReadError::Indeterminate)?;
        self.read_in_turn(turn, limits).await
    }

    /// The same, where it is the caller's turn.
    pub(super) async fn read_in_turn(
        &self,
        turn: Turn<'_>,
        limits: Limits,
    ) -> Result<Option<Rc<Value>>, ReadError> {
        match self.rounds_in_turn(turn, limits, &mut |_| Decision::Read).await {
            Some(Outcome::Read(_, value) | Outcome::Committed(_, value)) => Ok(Some(value)),
            Some(Outcome::Empty) => Ok(None),
            _ => Err(ReadError::Indeterminate),
        }
    }

    /// Quorum reads until one is certain; nothing where a round is needed.
    pub(super) async fn quorum_read(&self) -> Option<Option<Rc<Value>>> {
        if mutant("reads-by-round") {
            return None;
        }
        let until = Instant::now() + QUORUM_READ_TIMEOUT;
        while Instant::now() < until {
            match self.inspect_once().await {
                Some(ReadOutcome::Chosen(ballot, value)) => {
                    self.take_chosen(ballot, value.clone());
                    return Some(Some(value));
                }
                Some(ReadOutcome::Empty) => {
                    self.informed.set(true);
                    return Some(None);
                }
                Some(ReadOutcome::Unsettled) => sleep(INSPECTION_PAUSE).await,
                None => {}
            }
        }
        None
    }

    /// One quorum read; nothing where it timed out.
    async fn inspect_once(&self) -> Option<ReadOutcome> {
        let (mut read, inspections) = QuorumRead::new(self.sets(), self.known());
        let (replies, mut received) = unbounded_channel();
        self.send_inspections(&inspections, &replies);
        loop {
            let (from, reply) = timeout(INSPECTION_TIMEOUT, received.recv()).await.ok()??;
            let progress = match reply {
                Some(reply) => read.reply(from, reply),
                None => read.unreachable(from),
            };
            match progress {
                ReadProgress::Ask(more) => self.send_inspections(&more, &replies),
                ReadProgress::Done(outcome) => return Some(outcome),
            }
        }
    }

    fn send_inspections(&self, inspections: &[Inspection], replies: &Replies) {
        for inspection in inspections {
            let (to, request) = inspection;
            if *to == self.me {
                let _ = replies.send((*to, self.member.inspect(request))); // the caller holds the receiver
            } else if !self.inspections.send(&self.gossip, inspection, replies) {
                let _ = replies.send((*to, None)); // the same
            }
        }
    }
}
