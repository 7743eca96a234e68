//! Contact with a majority: what proves it, how long it lasts, and which members are suspected.

use runtrack_failure_detector::{ContactTable, ContactTimes};
use std::collections::BTreeSet;
use std::time::Duration;

const TIMES: ContactTimes =
    ContactTimes { lease: Duration::from_millis(800), suspicion: Duration::from_millis(2500) };

/// An address and an incarnation.
type Name = (char, u64);

const A: Name = ('a', 0);
const B: Name = ('b', 0);
const C: Name = ('c', 0);
const D: Name = ('d', 7);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn set(members: &[Name]) -> BTreeSet<Name> {
    members.iter().copied().collect()
}

/// The table of `A` among these, looked at from the start.
fn table(members: &[Name]) -> ContactTable<Name> {
    let mut table = ContactTable::new(A, TIMES, 100);
    table.watch(ms(0), &set(members));
    table
}

/// A probe sent at one time and answered at another.
fn exchange(table: &mut ContactTable<Name>, with: Name, sent: u64, answered: u64, unreachable: &[Name]) {
    let number = table.probe(ms(sent), &with);
    assert!(table.on_reply(ms(answered), &with, number, set(unreachable)));
}

#[test]
fn without_an_answer_there_is_no_contact() {
    let mut table = table(&[A, B, C]);
    let sets = [set(&[A, B, C])];
    assert!(!table.is_current(ms(0), &sets));
    let number = table.probe(ms(0), &B);
    assert!(!table.is_current(ms(10), &sets), "a probe without a reply proves nothing");
    assert!(table.on_reply(ms(20), &B, number, set(&[])));
    assert!(table.is_current(ms(20), &sets), "two of three");
    assert!(!table.is_current(ms(20), &[]), "an empty list of sets has no majority");
    assert!(!table.is_current(ms(20), &[set(&[])]), "nor of an empty set");
}

#[test]
fn contact_is_as_old_as_the_probe_and_not_as_its_answer() {
    let mut table = table(&[A, B, C]);
    let sets = [set(&[A, B, C])];
    exchange(&mut table, B, 100, 700, &[]);
    assert_eq!(table.majority_until(&sets), Some(ms(900)));
    assert!(table.is_current(ms(900), &sets));
    assert!(!table.is_current(ms(901), &sets));
}

#[test]
fn a_partition_in_one_direction_ends_contact_on_both_sides() {
    let mut table = table(&[A, B, C]);
    let sets = [set(&[A, B, C])];
    exchange(&mut table, B, 0, 5, &[]);
    // From now on what B sends does not come: A's probes go out and are read, no answer returns.
    for at in [250, 500, 750] {
        table.probe(ms(at), &B);
    }
    assert!(table.is_current(ms(800), &sets));
    assert!(!table.is_current(ms(801), &sets));
    // From B's side, whose probes are lost, it is the same: it proves nothing that A's probes reach B.
}

#[test]
fn a_process_that_was_paused_has_no_contact_when_it_resumes() {
    let mut table = table(&[A, B, C]);
    let sets = [set(&[A, B, C])];
    exchange(&mut table, B, 0, 5, &[]);
    let waiting = table.probe(ms(250), &B);
    // It is paused until 20 s; the answer has waited in its buffer since.
    assert!(!table.is_current(ms(20_000), &sets));
    table.on_reply(ms(20_001), &B, waiting, set(&[]));
    assert!(!table.is_current(ms(20_001), &sets), "the answer is to a probe from before");
    exchange(&mut table, B, 20_002, 20_003, &[]);
    assert!(table.is_current(ms(20_003), &sets));
}

#[test]
fn a_process_that_was_paused_suspects_nobody_at_once() {
    let mut table = table(&[A, B, C]);
    exchange(&mut table, B, 0, 5, &[]);
    exchange(&mut table, C, 0, 5, &[B]);
    assert_eq!(table.unreachable(ms(20_000), &set(&[A, B, C])), []);
    assert!(!table.is_suspected_by_majority(ms(20_000), &set(&[A, B, C]), &B));
    // It looks again all the time from here.
    for at in (20_500..=22_500).step_by(500) {
        assert_eq!(table.unreachable(ms(at), &set(&[A, B, C])), [], "{at}");
    }
    assert_eq!(table.unreachable(ms(22_501), &set(&[A, B, C])), [B, C]);
}

#[test]
fn a_slow_peer_is_in_contact_as_long_as_it_answers_within_the_lease() {
    let mut table = table(&[A, B, C]);
    let sets = [set(&[A, B, C])];
    let numbers: Vec<(u64, u64)> =
        (0..12).map(|turn| (turn * 250, table.probe(ms(turn * 250), &B))).collect();
    for (sent, number) in &numbers {
        table.on_reply(ms(sent + 500), &B, *number, set(&[]));
        assert!(table.is_current(ms(sent + 500), &sets));
    }
    let (last, _) = numbers[numbers.len() - 1];
    assert!(!table.is_current(ms(last + 801), &sets));
    // Answers that take longer than the lease never prove contact that is current.
    let number = table.probe(ms(last + 1000), &B);
    assert!(table.on_reply(ms(last + 1900), &B, number, set(&[])));
    assert!(!table.is_current(ms(last + 1900), &sets));
}

#[test]
fn an_answer_that_is_overtaken_never_lowers_what_is_known() {
    let mut table = table(&[A, B, C]);
    let sets = [set(&[A, B, C])];
    let first = table.probe(ms(0), &B);
    let second = table.probe(ms(250), &B);
    assert!(table.on_reply(ms(260), &B, second, set(&[])));
    assert!(!table.on_reply(ms(270), &B, first, set(&[C])), "it is older than what is known");
    assert_eq!(table.majority_until(&sets), Some(ms(1050)));
    assert!(!table.on_reply(ms(280), &B, second, set(&[])), "a number counts once");
}

#[test]
fn only_who_was_asked_can_answer() {
    let mut table = table(&[A, B, C]);
    let sets = [set(&[A, B, C])];
    let number = table.probe(ms(0), &B);
    assert!(!table.on_reply(ms(1), &C, number, set(&[])), "another one's answer");
    assert!(!table.on_reply(ms(1), &('b', 9), number, set(&[])), "another incarnation's answer");
    assert!(!table.on_reply(ms(1), &B, number + 1, set(&[])), "a number that was never given");
    assert!(!table.is_current(ms(1), &sets));
    assert!(table.on_reply(ms(2), &B, number, set(&[])));
}

#[test]
fn another_incarnation_at_the_address_is_no_contact_with_the_member() {
    let mut table = table(&[A, B, C]);
    exchange(&mut table, ('b', 9), 0, 5, &[]);
    assert!(!table.is_current(ms(5), &[set(&[A, B, C])]));
    assert!(table.is_current(ms(5), &[set(&[A, ('b', 9), C])]));
}

#[test]
fn while_membership_changes_a_majority_of_each_set_is_needed() {
    let mut table = table(&[A, B, C, D]);
    let (old, new) = (set(&[A, B, C]), set(&[B, C, D]));
    exchange(&mut table, B, 0, 5, &[]);
    assert!(table.is_current(ms(5), std::slice::from_ref(&old)));
    assert!(!table.is_current(ms(5), &[old.clone(), new.clone()]), "one of the new three");
    exchange(&mut table, D, 100, 105, &[]);
    assert!(table.is_current(ms(105), &[old.clone(), new.clone()]));
    assert_eq!(table.majority_until(&[old, new]), Some(ms(800)), "the older of the two counts");
}

#[test]
fn who_is_no_member_needs_a_majority_without_itself() {
    let mut table = table(&[B, C, D]);
    let sets = [set(&[B, C, D])];
    exchange(&mut table, B, 0, 5, &[]);
    assert!(!table.is_current(ms(5), &sets));
    exchange(&mut table, C, 0, 5, &[]);
    assert!(table.is_current(ms(5), &sets));
}

#[test]
fn a_single_member_is_its_own_majority() {
    assert!(table(&[A]).is_current(ms(1_000_000), &[set(&[A])]));
}

/// Contact with `with` from `from` to `to` ms, each answer naming these as unreachable.
fn keep_in_contact(table: &mut ContactTable<Name>, with: Name, from: u64, to: u64, unreachable: &[Name]) {
    for at in (from..=to).step_by(250) {
        exchange(table, with, at, at + 1, unreachable);
    }
}

#[test]
fn a_member_is_suspected_only_by_a_majority() {
    let all = set(&[A, B, C]);
    let mut table = table(&[A, B, C]);
    keep_in_contact(&mut table, B, 0, 2500, &[]);
    assert_eq!(table.unreachable(ms(2501), &all), [C]);
    assert!(!table.is_suspected_by_majority(ms(2501), &all, &C), "B still reaches it");
    keep_in_contact(&mut table, B, 2750, 2750, &[C]);
    assert!(table.is_suspected_by_majority(ms(2751), &all, &C));
    assert!(!table.is_suspected_by_majority(ms(2751), &all, &B));
    assert!(!table.is_suspected_by_majority(ms(3551), &all, &C), "B's report is too old");
}

#[test]
fn reports_of_one_peer_alone_are_no_majority_of_three() {
    let all = set(&[A, B, C]);
    let mut table = table(&[A, B, C]);
    for at in (0..5000).step_by(250) {
        exchange(&mut table, B, at, at + 1, &[C]);
        exchange(&mut table, C, at, at + 1, &[]);
    }
    assert!(!table.is_suspected_by_majority(ms(4751), &all, &C));
}

#[test]
fn a_member_does_not_vote_on_itself() {
    let all = set(&[A, B, C]);
    let mut table = table(&[A, B, C]);
    keep_in_contact(&mut table, C, 0, 2500, &[C]);
    assert!(!table.is_suspected_by_majority(ms(2501), &all, &C));
}

#[test]
fn a_new_member_is_not_suspected_before_its_time_out() {
    let mut table = table(&[A, B]);
    for at in (0..=10_000).step_by(250) {
        table.watch(ms(at), &set(&[A, B]));
    }
    table.watch(ms(10_100), &set(&[A, B, D]));
    assert_eq!(table.unreachable(ms(10_200), &set(&[A, B, D])), [B]);
}

#[test]
fn what_was_sent_long_ago_is_forgotten() {
    let mut table = table(&[A, B, C]);
    let number = table.probe(ms(0), &B);
    for at in (250..=2750).step_by(250) {
        table.watch(ms(at), &set(&[A, B, C]));
    }
    assert!(!table.on_reply(ms(2751), &B, number, set(&[])));
}
