//! A member that learns of a committed value writes it to its own disk, regardless of its promises.

mod support;

use runtrack_message::{Ballot, RegisterReply, RegisterRequest, Value};
use runtrack_register::{Acceptor, ConfigAnswer, Decision, Durable, Outcome};
use std::rc::Rc;
use support::{Cluster, request};

fn ballot(round: u64) -> Ballot {
    Ballot { round, boot: 1 }
}

fn value(version: u64) -> Value {
    Value {
        sequence: version,
        version,
        sets: Vec::new().into(),
        floor: 0,
        applied: Vec::new().into(),
        config: version.to_le_bytes().to_vec().into(),
    }
}

fn promise(acceptor: &mut Acceptor, ballot: Ballot) -> RegisterReply {
    acceptor.handle(&RegisterRequest::Prepare { to: 0, ballot, have: Ballot::default() }).0
}

/// Reads the committed value and its ballot.
fn committed(cluster: &mut Cluster, at: usize) -> (Ballot, Value) {
    let view = cluster.view();
    match cluster.round(at, view, &mut |_| Decision::Read) {
        Some(Outcome::Read(ballot, value)) => (ballot, (*value).clone()),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_committed_value_is_written_and_raises_the_promise_to_its_ballot() {
    let mut acceptor = Acceptor::new(0);
    promise(&mut acceptor, ballot(2));
    let Some(Durable::Value(kept)) = acceptor.adopt_committed(ballot(5), Rc::new(value(1))) else {
        panic!("it must be written")
    };
    assert_eq!((kept.ballot, kept.value.version), (ballot(5), 1));
    assert_eq!(acceptor.accepted(), Some(&kept));
    assert_eq!(acceptor.promised(), ballot(5));
}

#[test]
fn the_promise_never_goes_down() {
    let mut acceptor = Acceptor::new(0);
    promise(&mut acceptor, ballot(9));
    assert!(acceptor.adopt_committed(ballot(5), Rc::new(value(1))).is_some());
    assert_eq!(acceptor.promised(), ballot(9));
    let late = RegisterRequest::Accept { to: 0, ballot: ballot(8), value: value(7) };
    assert_eq!(
        acceptor.handle(&late),
        (RegisterReply::Rejected { ballot: ballot(8), promised: ballot(9) }, None)
    );
    // The round that it promised to continues on top of the value that it has adopted meanwhile.
    let own = RegisterRequest::Accept { to: 0, ballot: ballot(9), value: value(2) };
    assert_eq!(acceptor.handle(&own).0, RegisterReply::Accepted { ballot: ballot(9) });
    assert_eq!(acceptor.accepted().map(|accepted| accepted.value.version), Some(2));
}

#[test]
fn late_and_repeated_adoptions_change_nothing() {
    let mut acceptor = Acceptor::new(0);
    let accept = RegisterRequest::Accept { to: 0, ballot: ballot(5), value: value(3) };
    acceptor.handle(&accept);
    promise(&mut acceptor, ballot(7));
    let before = acceptor.clone();
    for late in [1, 4, 5] {
        assert_eq!(acceptor.adopt_committed(ballot(late), Rc::new(value(9))), None, "ballot {late}");
        assert_eq!(acceptor, before, "ballot {late}");
    }
}

#[test]
fn a_member_that_adopted_a_missed_change_keeps_it_after_a_loss_and_a_restart_of_all() {
    let mut cluster = Cluster::new(3);
    cluster.set_partitioned(2, true);
    assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
    let (ballot, value) = committed(&mut cluster, 0);
    cluster.set_partitioned(2, false);
    assert!(cluster.adopt(2, ballot, &value), "it had missed it");
    assert!(!cluster.adopt(2, ballot, &value), "once is enough");
    for at in 0..3 {
        cluster.restart(at);
    }
    // The members that accepted it in the round are lost one after the other.
    for lost in [0, 1] {
        cluster.set_partitioned(lost, true);
        assert_eq!(cluster.read(2).version, 1);
        cluster.set_partitioned(lost, false);
    }
    assert_eq!(cluster.acceptor(2).accepted().map(|accepted| accepted.value.version), Some(1));
}

#[test]
fn a_promise_given_before_an_adoption_does_not_lose_the_adopted_value() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
    cluster.set_partitioned(2, true);
    assert_eq!(cluster.submit(0, &request(1, 2)), Some(ConfigAnswer::Applied));
    let (ballot, value) = committed(&mut cluster, 0);
    cluster.set_partitioned(2, false);
    // A round on version 2 has all promises, including member 2's without the value, and then pauses.
    let mut paused = cluster.prepared(1, &request(2, 3));
    assert!(cluster.adopt(2, ballot, &value), "learnt under a ballot below the promise");
    assert!(matches!(cluster.resume(&mut paused), Some(Outcome::Committed(..))));
    assert!(!cluster.adopt(2, ballot, &value), "a duplicate that arrives late");
    cluster.set_partitioned(0, true);
    assert_eq!(cluster.read(2).version, 3);
}
