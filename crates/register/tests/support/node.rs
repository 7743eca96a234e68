//! A member with its in-memory state and its disk.

use super::mutants::Mutant;
use runtrack_message::{Ballot, InspectReply, InspectRequest, RegisterReply, RegisterRequest, Value};
use runtrack_register::{Accepted, Acceptor, Durable, PromiseRecord, ValueRecord, inspect};
use std::rc::Rc;

/// Contents of a member's disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Disk {
    pub promise: Option<PromiseRecord>,
    pub value: Option<ValueRecord>,
}

/// One incarnation of a member and its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    pub acceptor: Acceptor,
    pub disk: Disk,
}

impl Node {
    /// A member that has neither promised nor accepted anything; its incarnation is on disk.
    pub fn new(incarnation: u64) -> Self {
        let promise = PromiseRecord { incarnation, promised: Ballot::default() };
        Node { acceptor: Acceptor::new(incarnation), disk: Disk { promise: Some(promise), value: None } }
    }

    /// Handles a request, writes the resulting record to disk and returns the reply.
    pub fn handle(&mut self, request: &RegisterRequest, mutant: Mutant) -> RegisterReply {
        let before = self.acceptor.clone();
        if mutant == Mutant::PromiseForgotten && matches!(request, RegisterRequest::Accept { .. }) {
            self.acceptor = rebuilt(before.incarnation(), Ballot::default(), before.accepted().cloned());
        }
        let (reply, durable) = self.acceptor.handle(request);
        if mutant == Mutant::ValueKept
            && let (Some(kept), RegisterReply::Accepted { ballot }) = (before.accepted(), &reply)
        {
            let kept = Accepted { ballot: *ballot, value: kept.value.clone() };
            self.acceptor = rebuilt(before.incarnation(), *ballot, Some(kept));
        }
        self.write(durable, mutant);
        reply
    }

    /// Its reply to a quorum read, from its disk.
    pub fn inspect(&self, request: &InspectRequest) -> InspectReply {
        let incarnation = self.acceptor.incarnation();
        let on_disk = self.disk.value.as_ref().filter(|value| value.incarnation == incarnation);
        let accepted =
            on_disk.map(|record| Accepted { ballot: record.ballot, value: Rc::new(record.value.clone()) });
        inspect(incarnation, accepted.as_ref(), request)
    }

    /// A mutant's reply to a quorum read while it writes the value of this request; `None` if it would reject the request.
    pub fn inspect_while_writing(
        &self,
        request: &InspectRequest,
        writing: &RegisterRequest,
    ) -> Option<InspectReply> {
        let mut after = self.acceptor.clone();
        let (reply, _) = after.handle(writing);
        let takes = matches!(reply, RegisterReply::Accepted { .. });
        takes.then(|| inspect(after.incarnation(), after.accepted(), request))
    }

    /// Adopts a committed value.
    pub fn adopt(&mut self, ballot: Ballot, value: &Rc<Value>, mutant: Mutant) {
        let durable = self.acceptor.adopt_committed(ballot, value.clone());
        if durable.is_some() && mutant == Mutant::PromiseLoweredByAdopting {
            let adopted = Accepted { ballot, value: value.clone() };
            self.acceptor = rebuilt(self.acceptor.incarnation(), ballot, Some(adopted));
            let incarnation = self.acceptor.incarnation();
            self.disk.promise = Some(PromiseRecord { incarnation, promised: ballot });
        }
        self.write(durable, mutant);
    }

    fn write(&mut self, durable: Option<Durable>, mutant: Mutant) {
        let incarnation = self.acceptor.incarnation();
        match durable {
            Some(Durable::Promise(promised)) if mutant != Mutant::PromiseNotSynced => {
                self.disk.promise = Some(PromiseRecord { incarnation, promised });
            }
            Some(Durable::Value(accepted)) if mutant != Mutant::ValueNotSynced => {
                let value = (*accepted.value).clone();
                self.disk.value = Some(ValueRecord { incarnation, ballot: accepted.ballot, value });
            }
            _ => {}
        }
    }

    /// Restarts the process from its disk.
    pub fn restart(&mut self) {
        let incarnation = self.acceptor.incarnation();
        self.acceptor = Acceptor::recover(self.disk.promise.clone(), self.disk.value.clone())
            .unwrap_or_else(|| Acceptor::new(incarnation));
    }
}

/// An acceptor with exactly this state.
fn rebuilt(incarnation: u64, promised: Ballot, accepted: Option<Accepted>) -> Acceptor {
    let promise = PromiseRecord { incarnation, promised };
    let value = accepted.map(|a| ValueRecord { incarnation, ballot: a.ballot, value: (*a.value).clone() });
    // Recovery raises the promise to the value's ballot. A mutant that forgets promises forgets that too.
    let lowered = |value: ValueRecord| ValueRecord { ballot: value.ballot.min(promised), ..value };
    Acceptor::recover(Some(promise), value.map(lowered)).expect("a record")
}
