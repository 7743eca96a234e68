//! A value whose bytes reach the disk although its sync fails: the member continues without it, and must not recover it after
//! a restart.

use runtrack_controller::disk::{Record, Rings};
use runtrack_message::{Ballot, RegisterReply, RegisterRequest, Value};
use runtrack_net::set_mutant;
use runtrack_record_store::Memory;
use runtrack_register::{Acceptor, Durable, PromiseRecord, ValueRecord, initial_value};
use std::collections::BTreeSet;

const INCARNATION: u64 = 7;
const FIRST: Ballot = Ballot { round: 1, boot: 1 };
const FAILED: Ballot = Ballot { round: 2, boot: 1 };
const LATER: Ballot = Ballot { round: 3, boot: 2 };

fn record(durable: Durable) -> Record {
    match durable {
        Durable::Promise(promised) => Record::Promise(PromiseRecord { incarnation: INCARNATION, promised }),
        Durable::Value(accepted) => Record::Value(Box::new(ValueRecord {
            incarnation: INCARNATION,
            ballot: accepted.ballot,
            value: (*accepted.value).clone(),
        })),
    }
}

/// A member with its disk.
struct Member {
    files: Memory,
    rings: Rings<Memory>,
    acceptor: Acceptor,
}

impl Member {
    /// A member that has accepted a value under [`FIRST`].
    fn with_a_value() -> Self {
        let files = Memory::default();
        let (rings, acceptor) = Rings::open(files.clone(), || INCARNATION).expect("the disk can be opened");
        let mut member = Member { files, rings, acceptor };
        member.prepare(FIRST).expect("the disk takes the promise");
        member.accept(FIRST, 1).expect("the disk takes the value");
        member
    }

    /// Handles a request as the controller's task does: the reply is sent once the record is written; if the write fails, the
    /// acceptor's previous state is restored.
    fn ask(&mut self, request: &RegisterRequest) -> Option<RegisterReply> {
        let before = self.acceptor.clone();
        let (reply, durable) = self.acceptor.handle(request);
        let written = durable.is_none_or(|durable| self.rings.write(&record(durable)).is_ok());
        if !written {
            self.acceptor = before;
        }
        written.then_some(reply)
    }

    fn prepare(&mut self, ballot: Ballot) -> Option<RegisterReply> {
        self.ask(&RegisterRequest::Prepare { to: INCARNATION, ballot, have: Ballot::default() })
    }

    fn accept(&mut self, ballot: Ballot, sequence: u64) -> Option<RegisterReply> {
        let value = Value { sequence, ..initial_value(&BTreeSet::new()) };
        self.ask(&RegisterRequest::Accept { to: INCARNATION, ballot, value })
    }

    /// Accepts a value whose bytes reach the disk although its sync fails.
    fn accept_with_a_failed_sync(&mut self) {
        self.files.tear_next(usize::MAX);
        assert_eq!(self.accept(FAILED, 2), None, "no reply is sent for a value that is not synced");
    }

    /// Ballot of the accepted value that is recovered by a restart.
    fn accepted_after_restart(&self) -> Option<Ballot> {
        let (_, acceptor) =
            Rings::open(self.files.clone(), || INCARNATION).expect("the disk can be opened");
        acceptor.accepted().map(|accepted| accepted.ballot)
    }
}

/// Promises a later proposer that nothing newer than [`FIRST`] was accepted; returns whether that still holds after a restart.
fn promise_without_value_holds() -> bool {
    let mut member = Member::with_a_value();
    member.accept_with_a_failed_sync();
    let promised = member.prepare(LATER).expect("the disk takes the promise");
    assert!(matches!(promised, RegisterReply::PromisedWith { accepted: FIRST, .. }), "{promised:?}");
    member.accepted_after_restart() == Some(FIRST)
}

#[test]
fn a_value_whose_sync_failed_is_not_recovered_after_a_promise_without_it() {
    assert!(promise_without_value_holds());
}

#[test]
fn a_failed_value_left_on_disk_breaks_the_promise() {
    set_mutant(Some("failed-value-stays"));
    let holds = promise_without_value_holds();
    set_mutant(None);
    assert!(!holds, "the mutant has no effect");
}

#[test]
fn nothing_is_promised_while_a_failed_value_cannot_be_discarded() {
    let mut member = Member::with_a_value();
    member.accept_with_a_failed_sync();
    member.files.set_full(true);
    assert_eq!(member.prepare(LATER), None, "a promise without the value would be broken by a restart");
    member.files.set_full(false);
    assert!(member.prepare(LATER).is_some());
    assert_eq!(member.accepted_after_restart(), Some(FIRST));
}

#[test]
fn a_value_whose_sync_failed_is_replaced_by_the_next_one() {
    let mut member = Member::with_a_value();
    member.accept_with_a_failed_sync();
    member.accept(LATER, 3).expect("the disk takes the value");
    assert_eq!(member.accepted_after_restart(), Some(LATER));
}
