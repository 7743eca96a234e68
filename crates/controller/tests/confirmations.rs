//! Which members count as having confirmed that an endpoint leaves.

use runtrack_controller::confirmation_tracker::ConfirmationTracker;
use runtrack_message::Member;
use runtrack_net::set_mutant;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

fn member(last: u8, incarnation: u64) -> Member {
    Member::new(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7660), incarnation)
}

fn set(members: &[Member]) -> BTreeSet<Member> {
    members.iter().copied().collect()
}

fn links(links: &[(usize, Member)]) -> BTreeMap<usize, Member> {
    links.iter().copied().collect()
}

/// A tracker after this member has written the record and the second member has confirmed it on link 4.
fn confirmed_by_the_second() -> ConfirmationTracker {
    let mut tracker = ConfirmationTracker::default();
    tracker.on_own_write(true);
    assert!(tracker.ask(4, member(2, 0)));
    assert!(!tracker.ask(4, member(2, 0)), "once on each link");
    tracker.on_confirmed(4);
    tracker
}

#[test]
fn this_member_and_one_other_are_a_majority_of_three() {
    let (one, two, three) = (member(1, 0), member(2, 0), member(3, 0));
    let sets = [set(&[one, two, three])];
    let mut alone = ConfirmationTracker::default();
    alone.on_own_write(true);
    assert!(!alone.has_majorities(one, &links(&[(4, two)]), &sets));
    assert!(confirmed_by_the_second().has_majorities(one, &links(&[(4, two)]), &sets));
    assert!(!confirmed_by_the_second().has_majorities(one, &links(&[(4, two)]), &[]), "there is no set");
    assert!(
        !confirmed_by_the_second().has_majorities(member(9, 0), &links(&[(4, two)]), &sets),
        "this process is not a member"
    );
}

#[test]
fn this_member_counts_once_the_record_is_on_its_own_disk() {
    let (one, two, three) = (member(1, 0), member(2, 0), member(3, 0));
    let sets = [set(&[one, two, three])];
    let mut tracker = ConfirmationTracker::default();
    tracker.ask(4, two);
    tracker.on_confirmed(4);
    tracker.on_own_write(false);
    assert!(!tracker.has_majorities(one, &links(&[(4, two)]), &sets), "its own write failed");
    tracker.ask(5, three);
    tracker.on_confirmed(5);
    assert!(
        tracker.has_majorities(one, &links(&[(4, two), (5, three)]), &sets),
        "the others are a majority"
    );
}

#[test]
fn a_confirmation_on_a_link_without_a_request_is_ignored() {
    let (one, two, three) = (member(1, 0), member(2, 0), member(3, 0));
    let mut tracker = ConfirmationTracker::default();
    tracker.on_own_write(true);
    tracker.ask(4, two);
    tracker.on_confirmed(5);
    assert!(!tracker.has_majorities(one, &links(&[(4, two), (5, three)]), &[set(&[one, two, three])]));
}

#[test]
fn a_confirmation_does_not_outlive_its_link() {
    let (one, two, three) = (member(1, 0), member(2, 0), member(3, 0));
    let sets = [set(&[one, two, three])];
    let mut tracker = confirmed_by_the_second();
    assert!(!tracker.has_majorities(one, &links(&[(5, two)]), &sets), "it may have started again");
    assert!(tracker.ask(5, two), "it is asked again");
    tracker.on_confirmed(5);
    assert!(tracker.has_majorities(one, &links(&[(5, two)]), &sets));
}

/// Whether a confirmation still counts after another incarnation has taken the member's place.
fn counts_a_wiped_member() -> bool {
    let (one, three) = (member(1, 0), member(3, 0));
    let in_force = [set(&[one, member(2, 77), three])];
    confirmed_by_the_second().has_majorities(one, &links(&[(4, member(2, 0))]), &in_force)
}

#[test]
fn a_confirmation_of_a_wiped_member_does_not_count() {
    assert!(!counts_a_wiped_member());
    let (one, two, three) = (member(1, 0), member(2, 0), member(3, 0));
    let answered_by_another = links(&[(4, member(2, 77))]);
    assert!(!confirmed_by_the_second().has_majorities(
        one,
        &answered_by_another,
        &[set(&[one, two, three])]
    ));
}

#[test]
fn confirmations_are_counted_against_the_sets_in_force_at_the_end() {
    let (one, two) = (member(1, 0), member(2, 0));
    let replaced = [set(&[one, member(4, 9), member(3, 0)])];
    assert!(!confirmed_by_the_second().has_majorities(one, &links(&[(4, two)]), &replaced));
    let joint = [set(&[one, two, member(3, 0)]), set(&[one, member(4, 9), member(3, 0)])];
    let mut tracker = confirmed_by_the_second();
    assert!(!tracker.has_majorities(one, &links(&[(4, two)]), &joint), "a majority of each");
    tracker.ask(6, member(4, 9));
    tracker.on_confirmed(6);
    assert!(tracker.has_majorities(one, &links(&[(4, two), (6, member(4, 9))]), &joint));
}

#[test]
fn the_mutant_that_counts_by_address_is_detected() {
    set_mutant(Some("confirmations-by-address"));
    let found = counts_a_wiped_member();
    set_mutant(None);
    assert!(found);
}
