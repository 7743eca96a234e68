//! Members whose disk was restored from an older copy, and starts without the other members, with real controller processes.

mod support;

use std::time::Instant;
use support::{Cluster, config};

/// Three members. Member 2 is down and its disk was restored to a copy without version 2; member 0 has seen it with version 2.
fn with_restored_disk(name: &str) -> Cluster {
    let mut cluster = Cluster::started(name, 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.kill(2);
    cluster.save_disk(2);
    cluster.start(2, false);
    cluster.wait_for_event(2, "disk.checked", "");
    // Only members 0 and 2 store version 2, so member 0 has seen it on member 2's disk.
    cluster.kill(1);
    assert_eq!(cluster.replace_config(0, 1, 2), 200);
    cluster.start(1, false);
    cluster.kill(2);
    cluster.restore_disk(2);
    cluster
}

#[test]
fn a_member_with_an_older_disk_rejoins_as_a_new_incarnation() {
    let mut cluster = with_restored_disk("older");
    cluster.start(2, false);
    cluster.wait_for_event(2, "disk.older", "");
    cluster.wait_for_exit(2);
    cluster.start(2, false);
    cluster.wait_for_event(2, "member.joined", "");
    cluster.kill(0);
    assert_eq!(cluster.read(2), config(2), "the acknowledged change does not depend on member 0");
    assert_eq!(cluster.replace_config(1, 2, 3), 200);
}

#[test]
fn the_mutant_continues_on_an_older_disk() {
    let mut cluster = with_restored_disk("mutant");
    cluster.start_with_mutant(2, false, Some("older-disk-goes-on"));
    cluster.wait_for_event(2, "disk.checked", "");
}

#[test]
fn members_that_all_restart_at_once_continue_without_watermarks() {
    let mut cluster = Cluster::started("at-once", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    for machine in 0..3 {
        cluster.kill(machine);
    }
    let since = Instant::now();
    for machine in 0..3 {
        cluster.start(machine, false);
    }
    assert_eq!(cluster.replace_config(0, 1, 2), 200);
    println!("first change acknowledged after {} ms", since.elapsed().as_millis());
    for machine in 0..3 {
        cluster.wait_for_event(machine, "disk.checked", "\"known\":false");
    }
    assert_eq!(cluster.read(1), config(2));
}

#[test]
fn a_majority_that_restarts_waits_only_briefly_for_the_third_member() {
    let mut cluster = Cluster::started("two", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    for machine in 0..3 {
        cluster.kill(machine);
    }
    cluster.start(0, false);
    cluster.start(1, false);
    assert_eq!(cluster.read(0), config(1));
    assert_eq!(cluster.replace_config(1, 1, 2), 200);
}
