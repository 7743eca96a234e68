//! Copies of the committed value at real controllers: repaired, awaited by those who join and leave, complete before the next
//! change of members. Each scenario fails with the mutant that it is about.

mod support;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;
use support::{Cluster, config};

/// An event that is missing because of a mutant is waited for so long.
const MUTANT_PATIENCE: Duration = Duration::from_secs(6);

fn cluster(name: &str, machines: usize, mutant: Option<&'static str>) -> Cluster {
    let mut cluster = Cluster::new(name, machines);
    cluster.settings.grace_s = 80.0;
    cluster.mutant = mutant;
    if mutant.is_some() {
        cluster.patience = MUTANT_PATIENCE;
    }
    cluster
}

/// Three members, of which the last one knows of the second value and has not got it on disk.
fn behind(name: &str, mutant: Option<&'static str>) -> Cluster {
    let mut cluster = cluster(name, 3, mutant);
    cluster.first_boot();
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.logged(2, "config.taken", "\"version\":1");
    cluster.logged(0, "copies.complete", ""); // it reaches both
    cluster.refuse_values(2);
    assert_eq!(cluster.replace_config(0, 1, 2), 200, "two of three are a majority");
    cluster.logged(2, "register.caught_up", "\"sequence\":2");
    cluster
}

fn a_missed_value_is_copied(mutant: Option<&'static str>) {
    let cluster = behind("copied", mutant);
    cluster.take_values(2);
    cluster.logged(2, "value.copied", "\"sequence\":2");
}

fn a_joining_member_waits_for_its_copy(mutant: Option<&'static str>) {
    let mut cluster = cluster("joining", 4, mutant);
    cluster.first_boot();
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.refuse_values(3);
    cluster.start(3, false);
    cluster.logged_at_any(&[0, 1, 2], "membership.waiting", "joining_member_lacks_value");
    cluster.take_values(3);
    cluster.logged(3, "value.copied", "");
    cluster.logged(3, "member.joined", "");
}

fn a_leaving_member_waits_for_the_others(mutant: Option<&'static str>) {
    let cluster = behind("leaving", mutant);
    cluster.terminate(0);
    cluster.logged(0, "copies.awaited", &cluster.member(2));
    cluster.take_values(2);
    cluster.logged(0, "copies.handed_over", "");
    cluster.logged(0, "controller.end", "");
}

/// A quarter of it, for which a missing copy is waited for, is longer than the patience of a test: on a busy machine the
/// next member may take its time to be ready.
const LONG_SETTLE_S: f64 = 240.0;

/// Five members of which the last one lacks the value of a change of members, and another change that is due.
fn one_lacks_a_change(name: &str, settle_s: f64, mutant: Option<&'static str>) -> Cluster {
    let mut cluster = cluster(name, 5, mutant);
    cluster.set_seeds(&[0, 1, 2, 3, 4]);
    cluster.settings.tolerance = 2;
    cluster.settings.settle_s = settle_s;
    cluster.first_boot();
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.logged(0, "copies.complete", ""); // that it has heard of the value is not enough
    cluster.refuse_values(4);
    for machine in [3, 2] {
        cluster.kill(machine);
        cluster.wipe(machine);
        cluster.start(machine, false);
        if machine == 3 {
            cluster.logged(3, "member.joined", "");
        }
    }
    cluster
}

fn the_next_change_waits_for_the_copies_of_the_one_before(mutant: Option<&'static str>) {
    let cluster = one_lacks_a_change("changes", LONG_SETTLE_S, mutant);
    cluster.logged_at_any(&[0, 1, 3, 4], "membership.waiting", "copy_missing");
    cluster.take_values(4);
    cluster.logged(2, "member.joined", "");
    assert_eq!(cluster.replace_config(2, 1, 2), 200);
}

#[test]
fn a_value_that_a_disk_refused_is_copied_once_it_takes_it() {
    a_missed_value_is_copied(None);
}

#[test]
fn a_joining_member_counts_once_it_holds_the_committed_value_on_disk() {
    a_joining_member_waits_for_its_copy(None);
}

#[test]
fn a_leaving_member_goes_once_the_others_hold_what_is_committed() {
    a_leaving_member_waits_for_the_others(None);
}

#[test]
fn no_second_change_of_members_before_the_copies_of_the_first_are_whole() {
    the_next_change_waits_for_the_copies_of_the_one_before(None);
}

#[test]
fn a_copy_that_stays_missing_holds_changes_up_within_bounds_only() {
    let cluster = one_lacks_a_change("bounded", 4.0, None);
    cluster.logged_at_any(&[0, 1, 3, 4], "copies.missing", &cluster.member(4));
    cluster.logged(2, "member.joined", "");
}

#[test]
fn each_mutant_is_found() {
    type Scenario = fn(Option<&'static str>);
    let mutants: [(&'static str, Scenario); 4] = [
        ("copies-never-repaired", a_missed_value_is_copied),
        ("joining-member-counts-at-once", a_joining_member_waits_for_its_copy),
        ("leaving-member-goes-at-once", a_leaving_member_waits_for_the_others),
        ("two-changes-at-a-time", the_next_change_waits_for_the_copies_of_the_one_before),
    ];
    for (mutant, scenario) in mutants {
        let outcome = catch_unwind(AssertUnwindSafe(|| scenario(Some(mutant))));
        assert!(outcome.is_err(), "{mutant} is not found");
    }
}

#[test]
fn a_stalled_disk_at_one_member_holds_nobody_up() {
    let cluster = Cluster::started("stalled", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.logged(2, "config.taken", "\"version\":1");
    cluster.stall_values(2);
    for version in 2..=20 {
        let machine = version as usize % 3;
        assert_eq!(
            cluster.replace_config(machine, version - 1, version),
            200,
            "also at the one with that disk"
        );
    }
    for machine in 0..3 {
        assert_eq!(cluster.read(machine), config(20));
    }
}

#[test]
fn the_oldest_disk_that_starts_first_does_not_lead() {
    let mut cluster = Cluster::started("oldest", 4);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.kill(2);
    cluster.start(3, false);
    cluster.logged(3, "member.joined", "");
    assert_eq!(cluster.replace_config(0, 1, 2), 200);
    for machine in [0, 1, 3] {
        cluster.kill(machine);
    }
    cluster.start(2, false);
    cluster.start(0, false);
    assert_eq!(
        cluster.read_status(2),
        503,
        "two of its three members are there, but these are not the members any more"
    );
    assert_eq!(cluster.read_status(0), 503, "one of three");
    cluster.start(3, false);
    assert_eq!(cluster.read(2), config(2));
    assert_eq!(cluster.read(0), config(2));
}

#[test]
fn members_whose_seeds_have_all_been_replaced_find_each_other_after_the_end_of_all() {
    let mut cluster = Cluster::started("all-replaced", 6);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    for (old, new) in [(0, 3), (1, 4), (2, 5)] {
        cluster.kill(old);
        cluster.set_seeds(&[2, 3]);
        cluster.start(new, false);
        cluster.logged(new, "member.joined", "");
        cluster.logged(new, "copies.complete", "");
    }
    cluster.set_seeds(&[0, 1, 2]);
    assert_eq!(cluster.replace_config(3, 1, 2), 200);
    for machine in [3, 4, 5] {
        cluster.kill(machine);
    }
    for machine in [3, 4, 5] {
        cluster.start(machine, false);
    }
    assert_eq!(cluster.read(4), config(2), "nobody but their own disks names the members");
    assert_eq!(cluster.replace_config(5, 2, 3), 200);
}

#[test]
fn a_disk_put_back_from_an_older_copy_leads_nobody() {
    let mut cluster = Cluster::started("restored", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.logged(2, "config.taken", "\"version\":1");
    cluster.kill(2);
    cluster.save_disk(2);
    cluster.start(2, false);
    for version in 2..=5 {
        assert_eq!(cluster.replace_config(2, version - 1, version), 200);
    }
    // Member 0 goes on with member 2 alone, so it has seen what that one has on disk.
    cluster.kill(1);
    assert_eq!(cluster.replace_config(0, 5, 6), 200);
    cluster.start(1, false);
    cluster.kill(2);
    cluster.restore_disk(2);
    cluster.start(2, false);
    cluster.logged(2, "disk.older", "");
    cluster.ended(2);
    cluster.start(2, false);
    assert_eq!(cluster.read(2), config(6));
    assert_eq!(cluster.replace_config(2, 1, 7), 412);
}

#[test]
fn seeds_that_are_gone_or_exchanged_are_no_obstacle() {
    let mut cluster = Cluster::started("seeds", 6);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.kill(2);
    cluster.start(3, false);
    cluster.logged(3, "member.joined", "");
    // Of its seeds one has gone for good and one has never been there; the third is a member.
    cluster.set_seeds(&[2, 5, 1]);
    cluster.start(4, false);
    cluster.logged(4, "member.joined", "");
    // None of its seeds is there, until the settings name others.
    cluster.kill(4);
    cluster.set_seeds(&[2]);
    cluster.start(5, false);
    assert_eq!(cluster.read_status(5), 503);
    cluster.exchange_seeds(5, &[3]);
    cluster.logged(5, "member.joined", "");
    assert_eq!(cluster.read(5), config(1));
}
