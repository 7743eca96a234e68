//! Quorum reads with the replies of members in forced orders.

mod support;

use runtrack_message::{Ballot, InspectReply, InspectRequest, Member, RegisterRequest, Value};
use runtrack_register::{
    Accepted, Acceptor, Decision, QuorumRead, ReadOutcome, ReadProgress, inspect, replace_members,
};
use std::collections::BTreeSet;
use std::rc::Rc;
use support::{member, request};

/// A set of members by number.
fn set(members: &[u8]) -> BTreeSet<Member> {
    members.iter().map(|at| member(*at, 0)).collect()
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, boot: 1 }
}

/// The value after `version` requests, with one member set.
fn value(version: u64, members: &[u8]) -> Value {
    let mut current: Option<Value> = None;
    for base in 0..version {
        let decision = request(base, base + 1).decide(current.as_ref(), &[set(members)]).0;
        let Decision::Propose(next) = decision else { panic!("{decision:?}") };
        current = Some(next);
    }
    current.expect("a version above zero")
}

/// The first half of a membership change on top of a value.
fn joint(before: &Value, next: &[u8]) -> Value {
    let Decision::Propose(joint) = replace_members(before, &set(next)) else { panic!("no change") };
    joint
}

fn has(round: u64, value: &Value) -> InspectReply {
    InspectReply::AcceptedWith { ballot: ballot(round), value: value.clone() }
}

fn nothing() -> InspectReply {
    InspectReply::Accepted(Ballot::default())
}

fn chosen(round: u64, value: &Value) -> ReadProgress {
    ReadProgress::Done(ReadOutcome::Chosen(ballot(round), Rc::new(value.clone())))
}

const WAITING: ReadProgress = ReadProgress::Ask(Vec::new());
const UNSETTLED: ReadProgress = ReadProgress::Done(ReadOutcome::Unsettled);

fn begin(members: &[u8]) -> QuorumRead {
    let (read, inspections) = QuorumRead::new(vec![set(members)], None);
    let asked: Vec<Member> = inspections.iter().map(|(to, _)| *to).collect();
    assert_eq!(asked, set(members).into_iter().collect::<Vec<_>>());
    read
}

#[test]
fn a_value_at_a_majority_under_one_ballot_is_returned() {
    let one = value(1, &[0, 1, 2]);
    let mut read = begin(&[0, 1, 2]);
    assert_eq!(read.reply(member(0, 0), has(3, &one)), WAITING);
    assert_eq!(read.reply(member(2, 0), has(3, &one)), chosen(3, &one));
}

#[test]
fn the_register_is_empty_only_if_a_majority_is_empty() {
    let mut read = begin(&[0, 1, 2]);
    assert_eq!(read.reply(member(0, 0), nothing()), WAITING);
    assert_eq!(read.reply(member(1, 0), nothing()), ReadProgress::Done(ReadOutcome::Empty));
}

#[test]
fn a_value_at_a_minority_leaves_the_read_unsettled() {
    let one = value(1, &[0, 1, 2]);
    let mut read = begin(&[0, 1, 2]);
    assert_eq!(read.reply(member(0, 0), has(3, &one)), WAITING);
    assert_eq!(read.reply(member(1, 0), nothing()), WAITING, "member 2 may have it as well");
    assert_eq!(read.reply(member(2, 0), nothing()), UNSETTLED);
}

#[test]
fn a_write_at_a_minority_does_not_hide_the_previous_value() {
    let (one, two) = (value(1, &[0, 1, 2]), value(2, &[0, 1, 2]));
    let mut read = begin(&[0, 1, 2]);
    assert_eq!(read.reply(member(0, 0), has(4, &two)), WAITING);
    assert_eq!(read.reply(member(1, 0), has(3, &one)), WAITING);
    assert_eq!(read.reply(member(2, 0), has(3, &one)), chosen(3, &one));
}

#[test]
fn one_value_under_two_ballots_does_not_form_a_majority() {
    let one = value(1, &[0, 1, 2]);
    let mut read = begin(&[0, 1, 2]);
    assert_eq!(read.reply(member(0, 0), has(3, &one)), WAITING);
    assert_eq!(read.reply(member(1, 0), has(4, &one)), WAITING);
    assert_eq!(read.unreachable(member(2, 0)), UNSETTLED);
}

#[test]
fn joint_sets_need_a_majority_each() {
    let before = value(1, &[0, 1, 2]);
    let joint = joint(&before, &[0, 1, 3]);
    let mut read = begin(&[0, 1, 2]);
    let request = InspectRequest { to: 0, have: Ballot::default() };
    assert_eq!(read.reply(member(1, 0), has(4, &joint)), ReadProgress::Ask(vec![(member(3, 0), request)]));
    assert_eq!(read.reply(member(2, 0), has(4, &joint)), WAITING, "a majority of the old set alone");
    assert_eq!(read.reply(member(3, 0), has(4, &joint)), chosen(4, &joint));
}

#[test]
fn a_reader_with_outdated_sets_finds_the_current_members() {
    let now = value(2, &[3, 4, 5]);
    let mut read = begin(&[0, 1, 2]);
    let request = |at| (member(at, 0), InspectRequest { to: 0, have: Ballot::default() });
    let asked = ReadProgress::Ask(vec![request(3), request(4), request(5)]);
    assert_eq!(read.reply(member(0, 0), has(9, &now)), asked);
    assert_eq!(read.reply(member(3, 0), has(9, &now)), WAITING);
    assert_eq!(read.reply(member(4, 0), has(9, &now)), WAITING, "no majority of those it began with");
    assert_eq!(read.reply(member(1, 0), has(1, &value(1, &[0, 1, 2]))), chosen(9, &now));
}

/// Replies during a membership change: the reader gets those of the old members from before its first half, and those of the
/// new ones from after its second.
#[test]
fn a_read_during_a_membership_change_returns_the_value_chosen_meanwhile() {
    let before = value(1, &[0, 1, 2]);
    let after = Value { sets: value(1, &[3, 4, 5]).sets, sequence: 3, ..before.clone() };
    let mut read = begin(&[0, 1, 2]);
    assert_eq!(read.reply(member(0, 0), has(3, &before)), WAITING);
    assert!(matches!(read.reply(member(1, 0), has(5, &after)), ReadProgress::Ask(_)));
    assert_eq!(read.reply(member(3, 0), has(5, &after)), WAITING);
    assert_eq!(read.reply(member(4, 0), has(5, &after)), chosen(5, &after));
}

#[test]
fn a_reply_of_another_incarnation_does_not_count() {
    let one = value(1, &[0, 1, 2]);
    let accepted = Accepted { ballot: ballot(3), value: Rc::new(one.clone()) };
    let request = InspectRequest { to: 0, have: Ballot::default() };
    assert_eq!(inspect(7, Some(&accepted), &request), InspectReply::WrongIncarnation);
    let mut read = begin(&[0, 1, 2]);
    assert_eq!(read.reply(member(0, 0), InspectReply::WrongIncarnation), WAITING);
    assert_eq!(read.reply(member(1, 0), InspectReply::WrongIncarnation), WAITING);
    assert_eq!(read.reply(member(2, 0), has(3, &one)), UNSETTLED);
}

#[test]
fn a_value_the_reader_already_has_is_not_sent() {
    let one = Rc::new(value(1, &[0, 1, 2]));
    let accepted = Accepted { ballot: ballot(3), value: one.clone() };
    let (mut read, inspections) = QuorumRead::new(vec![set(&[0, 1, 2])], Some((ballot(3), one.clone())));
    for (to, request) in &inspections[..2] {
        let reply = inspect(0, Some(&accepted), request);
        assert_eq!(reply, InspectReply::Accepted(ballot(3)));
        let progress = read.reply(*to, reply);
        let is_last = *to == inspections[1].0;
        assert_eq!(progress, if is_last { chosen(3, &one) } else { WAITING });
    }
}

#[test]
fn a_reply_referring_to_a_value_the_reader_lacks_is_ignored() {
    let one = value(1, &[0, 1, 2]);
    let mut read = begin(&[0, 1, 2]);
    assert_eq!(read.reply(member(0, 0), InspectReply::Accepted(ballot(3))), WAITING);
    assert_eq!(read.reply(member(1, 0), has(3, &one)), WAITING);
    assert_eq!(read.reply(member(2, 0), has(3, &one)), chosen(3, &one));
}

#[test]
fn a_reader_that_knows_a_value_never_reports_an_empty_register() {
    let one = Rc::new(value(1, &[0, 1, 2]));
    let (mut read, _) = QuorumRead::new(vec![set(&[0, 1, 2])], Some((ballot(3), one)));
    assert_eq!(read.reply(member(0, 0), nothing()), WAITING);
    assert_eq!(read.reply(member(1, 0), nothing()), WAITING);
    assert_eq!(read.reply(member(2, 0), nothing()), UNSETTLED);
}

/// A value is chosen although its proposer never learns of it: every later read returns it.
#[test]
fn a_chosen_value_that_was_never_acknowledged_is_returned() {
    let two = value(2, &[0, 1, 2]);
    let mut acceptors = [Acceptor::new(0), Acceptor::new(0), Acceptor::new(0)];
    for acceptor in &mut acceptors[..2] {
        acceptor.handle(&RegisterRequest::Accept { to: 0, ballot: ballot(4), value: two.clone() });
    }
    let request = InspectRequest { to: 0, have: Ballot::default() };
    let mut read = begin(&[0, 1, 2]);
    let answer = |at: usize| inspect(0, acceptors[at].accepted(), &request);
    assert_eq!(read.reply(member(2, 0), answer(2)), WAITING);
    assert_eq!(read.reply(member(1, 0), answer(1)), WAITING);
    assert_eq!(read.reply(member(0, 0), answer(0)), chosen(4, &two));
}
