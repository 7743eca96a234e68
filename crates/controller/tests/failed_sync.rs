//! A value whose bytes reach the disk while its sync fails: the member goes on without it, and must not come back with it.

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

/// A member and its disk.
struct Member {
    files: Memory,
    rings: Rings<Memory>,
    acceptor: Acceptor,
}

impl Member {
    /// One that has accepted a value under [`FIRST`].
    fn with_a_value() -> Self {
        let files = Memory::default();
        let (rings, acceptor) = Rings::open(files.clone(), || INCARNATION).expect("it opens");
        let mut member = Member { files, rings, acceptor };
        member.prepare(FIRST).expect("the disk takes the promise");
        member.accept(FIRST, 1).expect("the disk takes the value");
        member
    }

    /// As the controller's task does: the reply goes out once the record is written, and where the disk refuses it the member
    /// is as it was before.
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

    /// A value whose bytes reach the disk while its sync fails.
    fn accept_with_a_failed_sync(&mut self) {
        self.files.tear_next(usize::MAX);
        assert_eq!(self.accept(FAILED, 2), None, "nothing is said of a value that is not synced");
    }

    /// The ballot of the value that the member has after a restart.
    fn accepted_after_restart(&self) -> Option<Ballot> {
        let (_, acceptor) = Rings::open(self.files.clone(), || INCARNATION).expect("it opens");
        acceptor.accepted().map(|accepted| accepted.ballot)
    }
}

/// The later proposer is promised that nothing newer than [`FIRST`] was accepted. Whether that holds after a restart.
fn a_promise_without_the_value_holds() -> bool {
    let mut member = Member::with_a_value();
    member.accept_with_a_failed_sync();
    let promised = member.prepare(LATER).expect("the disk takes the promise");
    assert!(matches!(promised, RegisterReply::PromisedWith { accepted: FIRST, .. }), "{promised:?}");
    member.accepted_after_restart() == Some(FIRST)
}

#[test]
fn a_value_whose_sync_failed_does_not_come_back_once_a_promise_went_out_without_it() {
    assert!(a_promise_without_the_value_holds());
}

#[test]
fn a_value_that_stays_on_the_disk_is_found() {
    set_mutant(Some("failed-value-stays"));
    let holds = a_promise_without_the_value_holds();
    set_mutant(None);
    assert!(!holds, "the planted error does no harm");
}

#[test]
fn a_disk_that_does_not_let_go_of_the_value_lets_nothing_be_promised() {
    let mut member = Member::with_a_value();
    member.accept_with_a_failed_sync();
    member.files.set_full(true);
    assert_eq!(member.prepare(LATER), None, "it would be promised without the value");
    member.files.set_full(false);
    assert!(member.prepare(LATER).is_some());
    assert_eq!(member.accepted_after_restart(), Some(FIRST));
}

#[test]
fn a_value_whose_sync_failed_gives_way_to_the_next_one() {
    let mut member = Member::with_a_value();
    member.accept_with_a_failed_sync();
    member.accept(LATER, 3).expect("the disk takes the value");
    assert_eq!(member.accepted_after_restart(), Some(LATER));
}
