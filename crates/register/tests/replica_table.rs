//! The table of replicas while members change, fall behind and catch up.

mod support;

use runtrack_message::{Ballot, Member, MemberSet, Value};
use runtrack_register::{Decision, JOIN_LAG, ReplicaEvent, ReplicaTable, initial_value};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use support::{member, request};

const WAIT: Duration = Duration::from_millis(1000);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, boot: 1 }
}

fn value(sequence: u64, sets: &[&[u8]]) -> Value {
    let set = |set: &&[u8]| {
        let members: Vec<Member> = set.iter().map(|at| member(*at, 0)).collect();
        MemberSet::from(members)
    };
    let Decision::Propose(value) = request(0, 1).decide(None, &[]).0 else {
        panic!("nothing stands against it")
    };
    Value { sequence, sets: sets.iter().map(set).collect::<Vec<MemberSet>>().into(), ..value }
}

fn durable(members: &[(u8, u64)]) -> BTreeMap<Member, Ballot> {
    members.iter().map(|(at, round)| (member(*at, 0), ballot(*round))).collect()
}

fn complete(sequence: u64, after: u64) -> Vec<ReplicaEvent> {
    vec![ReplicaEvent::Complete { sequence, after: at(after) }]
}

/// Members 1 to 3, all of them with the value of round 5.
fn three() -> ReplicaTable {
    let mut table = ReplicaTable::new(WAIT);
    let events =
        table.observe(at(0), ballot(5), &value(1, &[&[1, 2, 3]]), durable(&[(1, 5), (2, 5), (3, 5)]));
    assert_eq!(events, complete(1, 0));
    table
}

#[test]
fn replicas_are_not_complete_while_a_member_is_unreachable() {
    let mut table = three();
    let joined_beside_one_that_is_lost = value(3, &[&[1, 2, 3, 4]]);
    let others = || durable(&[(1, 7), (2, 7), (4, 7)]);
    assert_eq!(table.observe(at(100), ballot(7), &joined_beside_one_that_is_lost, others()), []);
    assert!(!table.is_complete(ballot(7)), "two of four would be no majority");
    let removed = value(5, &[&[1, 2, 4]]);
    let events = table.observe(at(900), ballot(9), &removed, durable(&[(1, 9), (2, 9), (4, 9)]));
    assert_eq!(events, complete(5, 0));
}

#[test]
fn replicas_are_complete_once_all_members_are_reachable_and_have_the_value() {
    let mut table = three();
    let changed = value(3, &[&[1, 2, 4]]);
    assert_eq!(table.observe(at(100), ballot(7), &changed, durable(&[(1, 7), (2, 5), (4, 5)])), []);
    assert!(!table.is_complete(ballot(7)));
    assert_eq!(table.observe(at(200), ballot(7), &changed, durable(&[(1, 7), (2, 7), (4, 5)])), []);
    let events = table.observe(at(300), ballot(7), &changed, durable(&[(1, 7), (2, 7), (4, 7)]));
    assert_eq!(events, complete(3, 200));
    assert_eq!(table.observe(at(400), ballot(7), &changed, durable(&[(1, 7), (2, 7), (4, 7)])), [], "once");
}

#[test]
fn an_unfinished_membership_change_does_not_count() {
    let mut table = three();
    let joint = value(2, &[&[1, 2, 3], &[1, 2, 4]]);
    assert_eq!(table.observe(at(100), ballot(6), &joint, durable(&[(1, 6), (2, 6), (3, 6)])), []);
    assert_eq!(table.membership(), ballot(5));
    table.observe(at(200), ballot(7), &value(3, &[&[1, 2, 4]]), durable(&[(1, 7), (2, 7)]));
    assert_eq!(table.membership(), ballot(7));
    table.observe(at(300), ballot(8), &value(4, &[&[1, 2, 4]]), durable(&[(1, 8), (2, 8)]));
    assert_eq!(table.membership(), ballot(7), "a configuration changes no members");
}

#[test]
fn a_returning_member_is_watched_until_it_has_caught_up() {
    let mut table = three();
    let newest = value(9, &[&[1, 2, 3]]);
    assert_eq!(table.observe(at(100), ballot(9), &newest, durable(&[(1, 9), (2, 9)])), []);
    assert_eq!(table.observe(at(200), ballot(9), &newest, durable(&[(1, 9), (2, 9), (3, 5)])), []);
    let events =
        table.observe(at(350), ballot(11), &value(11, &[&[1, 2, 3]]), durable(&[(1, 11), (2, 9), (3, 9)]));
    assert_eq!(events, complete(9, 150), "of what was committed when it came back");
}

#[test]
fn a_missing_replica_is_reported_once_after_the_wait() {
    let mut table = three();
    let changed = value(3, &[&[1, 2, 3, 4]]);
    let lacking = || durable(&[(1, 7), (2, 7), (3, 5), (4, 7)]);
    assert_eq!(table.observe(at(100), ballot(7), &changed, lacking()), []);
    assert_eq!(table.observe(at(1100), ballot(7), &changed, lacking()), []);
    assert!(!table.present(at(1100))[&member(3, 0)].overdue);
    let missing = [ReplicaEvent::Missing { member: member(3, 0) }];
    assert_eq!(table.observe(at(1101), ballot(7), &changed, lacking()), missing);
    assert!(table.present(at(1101))[&member(3, 0)].overdue);
    assert!(!table.present(at(1101))[&member(2, 0)].overdue);
    assert_eq!(table.observe(at(1200), ballot(7), &changed, lacking()), []);
    let events = table.observe(at(1300), ballot(7), &changed, durable(&[(1, 7), (2, 7), (3, 7), (4, 7)]));
    assert_eq!(events, complete(3, 1200), "repaired late, and reported");
}

#[test]
fn the_replica_wait_counts_only_while_the_member_is_reachable() {
    let mut table = three();
    let changed = value(3, &[&[1, 2, 3, 4]]);
    table.observe(at(100), ballot(7), &changed, durable(&[(1, 7), (2, 7), (3, 5), (4, 7)]));
    table.observe(at(200), ballot(7), &changed, durable(&[(1, 7), (2, 7), (4, 7)]));
    table.observe(at(5000), ballot(7), &changed, durable(&[(1, 7), (2, 7), (3, 5), (4, 7)]));
    assert!(!table.present(at(5000))[&member(3, 0)].overdue);
}

#[test]
fn a_joining_member_must_hold_values_committed_before_the_join_lag() {
    let mut table = ReplicaTable::new(WAIT);
    assert_eq!(table.required(), Ballot::default());
    let set: &[&[u8]] = &[&[1, 2, 3]];
    table.observe(at(0), ballot(5), &value(1, set), durable(&[]));
    assert_eq!(table.required(), ballot(5), "nothing older is known");
    for change in 1..=30 {
        table.observe(at(100 * change), ballot(5 + change), &value(change, set), durable(&[]));
    }
    let lag = JOIN_LAG.as_millis() as u64 / 100;
    assert_eq!(table.required(), ballot(35 - lag), "while configurations change all the time");
    table.observe(at(3000) + JOIN_LAG, ballot(35), &value(30, set), durable(&[]));
    assert_eq!(table.required(), ballot(35), "then the newest one");
}

#[test]
fn no_replica_is_awaited_before_the_first_value() {
    let first: BTreeSet<Member> = [1, 2, 3].map(|at| member(at, 0)).into();
    let empty_disks = || first.iter().map(|member| (*member, Ballot::default())).collect();
    let mut table = ReplicaTable::new(WAIT);
    assert_eq!(table.observe(at(0), Ballot::default(), &initial_value(&first), empty_disks()), []);
    assert_eq!(table.required(), Ballot::default());
    assert_eq!(table.present(at(0)).len(), 3);
    // The first value has the same members. Its replicas are tracked from then on, and a joining member must hold it at once.
    assert_eq!(table.observe(at(50), ballot(5), &value(1, &[&[1, 2, 3]]), empty_disks()), []);
    assert_eq!(table.required(), ballot(5));
    assert_eq!(table.membership(), ballot(5));
    let events =
        table.observe(at(100), ballot(5), &value(1, &[&[1, 2, 3]]), durable(&[(1, 5), (2, 5), (3, 5)]));
    assert_eq!(events, complete(1, 50));
}
