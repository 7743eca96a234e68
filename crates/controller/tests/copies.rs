//! Replication of the committed value, with real controller processes: missing copies are repaired, joining and leaving
//! members wait for them, and the next membership change does too. Each scenario fails with its mutant.

mod support;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;
use support::{Cluster, config};

/// Timeout for events that a mutant may suppress.
const MUTANT_WAIT_TIMEOUT: Duration = Duration::from_secs(6);

fn cluster(name: &str, machines: usize, mutant: Option<&'static str>) -> Cluster {
    let mut cluster = Cluster::new(name, machines);
    cluster.settings.grace_s = 80.0;
    cluster.mutant = mutant;
    if mutant.is_some() {
        cluster.patience = MUTANT_WAIT_TIMEOUT;
    }
    cluster
}

/// Three members, of which the last knows of the second value but does not have it on disk.
fn behind(name: &str, mutant: Option<&'static str>) -> Cluster {
    let mut cluster = cluster(name, 3, mutant);
    cluster.first_boot();
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.wait_for_event(2, "config.taken", "\"version\":1");
    cluster.wait_for_event(0, "copies.complete", ""); // the first value is on all disks
    cluster.reject_values(2);
    assert_eq!(cluster.replace_config(0, 1, 2), 200, "two of three are a majority");
    cluster.wait_for_event(2, "register.caught_up", "\"sequence\":2");
    cluster
}

fn a_missed_value_is_copied(mutant: Option<&'static str>) {
    let cluster = behind("copied", mutant);
    cluster.accept_values(2);
    cluster.wait_for_event(2, "value.copied", "\"sequence\":2");
}

fn a_joining_member_waits_for_its_copy(mutant: Option<&'static str>) {
    let mut cluster = cluster("joining", 4, mutant);
    cluster.first_boot();
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.reject_values(3);
    cluster.start(3, false);
    cluster.wait_for_event_at_any(&[0, 1, 2], "membership.waiting", "joining_member_lacks_value");
    cluster.accept_values(3);
    cluster.wait_for_event(3, "value.copied", "");
    cluster.wait_for_event(3, "member.joined", "");
}

fn a_leaving_member_waits_for_the_others(mutant: Option<&'static str>) {
    let cluster = behind("leaving", mutant);
    cluster.terminate(0);
    cluster.wait_for_event(0, "copies.awaited", &cluster.member(2));
    cluster.accept_values(2);
    cluster.wait_for_event(0, "copies.handed_over", "");
    cluster.wait_for_event(0, "controller.end", "");
}

/// The wait for a missing copy is a quarter of this, which exceeds the tests' timeout: on a busy machine the next member may
/// need long to be ready.
const LONG_SETTLE_S: f64 = 240.0;

/// Five members, of which the last lacks the value of a membership change while another change is due.
fn one_lacks_a_change(name: &str, settle_s: f64, mutant: Option<&'static str>) -> Cluster {
    let mut cluster = cluster(name, 5, mutant);
    cluster.set_seeds(&[0, 1, 2, 3, 4]);
    cluster.settings.tolerance = 2;
    cluster.settings.settle_s = settle_s;
    cluster.first_boot();
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.wait_for_event(0, "copies.complete", ""); // knowing of the value is not sufficient
    cluster.reject_values(4);
    for machine in [3, 2] {
        cluster.kill(machine);
        cluster.wipe(machine);
        cluster.start(machine, false);
        if machine == 3 {
            cluster.wait_for_event(3, "member.joined", "");
        }
    }
    cluster
}

fn the_next_change_waits_for_the_copies_of_the_one_before(mutant: Option<&'static str>) {
    let cluster = one_lacks_a_change("changes", LONG_SETTLE_S, mutant);
    cluster.wait_for_event_at_any(&[0, 1, 3, 4], "membership.waiting", "copy_missing");
    cluster.accept_values(4);
    cluster.wait_for_event(2, "member.joined", "");
    assert_eq!(cluster.replace_config(2, 1, 2), 200);
}

#[test]
fn a_value_that_a_disk_rejected_is_copied_once_the_disk_accepts_writes() {
    a_missed_value_is_copied(None);
}

#[test]
fn a_joining_member_counts_once_it_holds_the_committed_value_on_disk() {
    a_joining_member_waits_for_its_copy(None);
}

#[test]
fn a_leaving_member_ends_once_the_others_hold_the_committed_value() {
    a_leaving_member_waits_for_the_others(None);
}

#[test]
fn the_next_membership_change_waits_for_complete_copies_of_the_previous_one() {
    the_next_change_waits_for_the_copies_of_the_one_before(None);
}

#[test]
fn a_missing_copy_delays_membership_changes_only_within_bounds() {
    let cluster = one_lacks_a_change("bounded", 4.0, None);
    cluster.wait_for_event_at_any(&[0, 1, 3, 4], "copies.missing", &cluster.member(4));
    cluster.wait_for_event(2, "member.joined", "");
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
        assert!(outcome.is_err(), "{mutant} was not detected");
    }
}

#[test]
fn a_stalled_disk_at_one_member_does_not_block_the_others() {
    let cluster = Cluster::started("stalled", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.wait_for_event(2, "config.taken", "\"version\":1");
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
fn the_oldest_disk_that_starts_first_does_not_win() {
    let mut cluster = Cluster::started("oldest", 4);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.kill(2);
    cluster.start(3, false);
    cluster.wait_for_event(3, "member.joined", "");
    assert_eq!(cluster.replace_config(0, 1, 2), 200);
    for machine in [0, 1, 3] {
        cluster.kill(machine);
    }
    cluster.start(2, false);
    cluster.start(0, false);
    assert_eq!(
        cluster.read_status(2),
        503,
        "two of the members it knows are up, but the membership has changed"
    );
    assert_eq!(cluster.read_status(0), 503, "one of three");
    cluster.start(3, false);
    assert_eq!(cluster.read(2), config(2));
    assert_eq!(cluster.read(0), config(2));
}

#[test]
fn members_whose_seeds_were_all_replaced_reconnect_after_a_restart_of_all() {
    let mut cluster = Cluster::started("all-replaced", 6);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    for (old, new) in [(0, 3), (1, 4), (2, 5)] {
        cluster.kill(old);
        cluster.set_seeds(&[2, 3]);
        cluster.start(new, false);
        cluster.wait_for_event(new, "member.joined", "");
        cluster.wait_for_event(new, "copies.complete", "");
    }
    cluster.set_seeds(&[0, 1, 2]);
    assert_eq!(cluster.replace_config(3, 1, 2), 200);
    for machine in [3, 4, 5] {
        cluster.kill(machine);
    }
    for machine in [3, 4, 5] {
        cluster.start(machine, false);
    }
    assert_eq!(cluster.read(4), config(2), "the members are known from the disks alone");
    assert_eq!(cluster.replace_config(5, 2, 3), 200);
}

#[test]
fn a_member_with_a_restored_disk_returns_the_newest_configuration() {
    let mut cluster = Cluster::started("restored", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.wait_for_event(2, "config.taken", "\"version\":1");
    cluster.kill(2);
    cluster.save_disk(2);
    cluster.start(2, false);
    for version in 2..=5 {
        assert_eq!(cluster.replace_config(2, version - 1, version), 200);
    }
    // Members 0 and 2 continue alone, so member 0 has seen what member 2 has on disk.
    cluster.kill(1);
    assert_eq!(cluster.replace_config(0, 5, 6), 200);
    cluster.start(1, false);
    cluster.kill(2);
    cluster.restore_disk(2);
    cluster.start(2, false);
    cluster.wait_for_event(2, "disk.older", "");
    cluster.wait_for_exit(2);
    cluster.start(2, false);
    assert_eq!(cluster.read(2), config(6));
    assert_eq!(cluster.replace_config(2, 1, 7), 412);
}

#[test]
fn a_member_starts_with_missing_or_exchanged_seeds() {
    let mut cluster = Cluster::started("seeds", 6);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.kill(2);
    cluster.start(3, false);
    cluster.wait_for_event(3, "member.joined", "");
    // One of its seeds does not return and one never existed; the third is a member.
    cluster.set_seeds(&[2, 5, 1]);
    cluster.start(4, false);
    cluster.wait_for_event(4, "member.joined", "");
    // None of its seeds exists until the settings name others.
    cluster.kill(4);
    cluster.set_seeds(&[2]);
    cluster.start(5, false);
    assert_eq!(cluster.read_status(5), 503);
    cluster.reload_with_seeds(5, &[3]);
    cluster.wait_for_event(5, "member.joined", "");
    assert_eq!(cluster.read(5), config(1));
}
