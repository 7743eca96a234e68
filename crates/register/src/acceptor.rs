//! The acceptor of CASPaxos (Rystsov 2018): what a member has promised and accepted.
//!
//! The proposer's half is in `round.rs`; `recovery.rs` makes an acceptor of the records on a disk. `runtrack-controller`
//! writes each [`Durable`] before it sends the reply that came with it: a reply that left before its write could be
//! contradicted after a power failure, and two values chosen.

use crate::record::{PromiseRecord, ValueRecord};
use runtrack_message::{Ballot, RegisterReply, RegisterRequest, Value, Watermark};
use std::rc::Rc;

/// A value that was accepted, and the ballot that it was accepted under.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Accepted {
    /// The ballot of the round that proposed it.
    pub ballot: Ballot,
    /// The value.
    pub value: Rc<Value>,
}

/// What must be on disk before the reply goes out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Durable {
    /// A promise to take part in no round below this ballot.
    Promise(Ballot),
    /// An accepted value.
    Value(Accepted),
}

/// Whether nobody waits for the reply to an earlier request any more, since its proposer has sent a later one: a proposer has one
/// round at a time and accepts once a majority has promised.
pub fn is_superseded(earlier: &RegisterRequest, later: &RegisterRequest) -> bool {
    let (earlier, later) = (earlier.ballot(), later.ballot());
    earlier.boot == later.boot && earlier <= later
}

/// The state of one incarnation of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    incarnation: u64,
    promised: Ballot,
    accepted: Option<Accepted>,
}

impl Acceptor {
    /// A member that has neither promised nor accepted anything.
    pub fn new(incarnation: u64) -> Self {
        Acceptor { incarnation, promised: Ballot::default(), accepted: None }
    }

    /// The member that wrote these records; none where there is no promise. A member writes a promise before anything
    /// else, so a value without one is what remains of a damaged disk, and what was promised there is not known. A value
    /// of another incarnation was written before the member took this one, and is ignored.
    pub fn recover(promise: Option<PromiseRecord>, value: Option<ValueRecord>) -> Option<Self> {
        let PromiseRecord { incarnation, promised } = promise?;
        let value = value.filter(|value| value.incarnation == incarnation);
        let accepted = value.map(|v| Accepted { ballot: v.ballot, value: Rc::new(v.value) });
        let promised = promised.max(accepted.as_ref().map(|a| a.ballot).unwrap_or_default());
        Some(Acceptor { incarnation, promised, accepted })
    }

    /// The incarnation that requests must name; others get [`RegisterReply::WrongIncarnation`].
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The value that it has accepted last; none before the first.
    pub fn accepted(&self) -> Option<&Accepted> {
        self.accepted.as_ref()
    }

    /// The highest ballot that it has promised.
    pub fn promised(&self) -> Ballot {
        self.promised
    }

    /// What it has on disk, provided that each [`Durable`] so far has been written.
    pub fn watermark(&self) -> Watermark {
        Watermark {
            promised: self.promised,
            accepted: self.accepted.as_ref().map(|accepted| accepted.ballot).unwrap_or_default(),
        }
    }

    /// The reply to a request, and what must be on disk before that is sent. Where the write fails, the caller restores
    /// the acceptor as it was and sends nothing: the proposer then can't tell it from a member that is down.
    pub fn handle(&mut self, request: &RegisterRequest) -> (RegisterReply, Option<Durable>) {
        match request {
            RegisterRequest::Prepare { to, ballot, have } if *to == self.incarnation => {
                self.prepare(*ballot, *have)
            }
            RegisterRequest::Accept { to, ballot, value } if *to == self.incarnation => {
                self.accept(*ballot, value)
            }
            _ => (RegisterReply::WrongIncarnation, None),
        }
    }

    /// Takes a value that is known to be committed under this ballot, and returns what must be on disk; none where it has
    /// that value or a newer one. Promises made meanwhile don't matter: a majority had accepted the value before, so no
    /// proposer can rely on this member's lacking it. The promise is never lowered, since a proposer counts on it.
    pub fn adopt_committed(&mut self, ballot: Ballot, value: Rc<Value>) -> Option<Durable> {
        if self.accepted.as_ref().is_some_and(|accepted| accepted.ballot >= ballot) {
            return None;
        }
        self.promised = self.promised.max(ballot);
        let accepted = Accepted { ballot, value };
        self.accepted = Some(accepted.clone());
        Some(Durable::Value(accepted))
    }

    fn prepare(&mut self, ballot: Ballot, have: Ballot) -> (RegisterReply, Option<Durable>) {
        if ballot < self.promised {
            return (RegisterReply::Rejected { ballot, promised: self.promised }, None);
        }
        let durable = (ballot > self.promised).then_some(Durable::Promise(ballot));
        self.promised = ballot;
        let reply = match &self.accepted {
            None => RegisterReply::Promised { ballot, accepted: Ballot::default() },
            Some(Accepted { ballot: accepted, .. }) if *accepted == have => {
                RegisterReply::Promised { ballot, accepted: have }
            }
            Some(Accepted { ballot: accepted, value }) => {
                RegisterReply::PromisedWith { ballot, accepted: *accepted, value: (**value).clone() }
            }
        };
        (reply, durable)
    }

    fn accept(&mut self, ballot: Ballot, value: &Value) -> (RegisterReply, Option<Durable>) {
        if ballot < self.promised {
            return (RegisterReply::Rejected { ballot, promised: self.promised }, None);
        }
        if self.accepted.as_ref().is_some_and(|accepted| accepted.ballot == ballot) {
            return (RegisterReply::Accepted { ballot }, None);
        }
        self.promised = ballot;
        let accepted = Accepted { ballot, value: Rc::new(value.clone()) };
        self.accepted = Some(accepted.clone());
        (RegisterReply::Accepted { ballot }, Some(Durable::Value(accepted)))
    }
}
