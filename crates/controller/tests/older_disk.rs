//! Real controllers: a member whose disk was put back from an older copy, and starts that must not wait in vain.

mod support;

use std::time::Instant;
use support::{Cluster, config};

/// Three members, of which the third is down with a disk that lacks version 2, and member 0 knows that it had it.
fn put_back(name: &str) -> Cluster {
    let mut cluster = Cluster::started(name, 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.kill(2);
    cluster.save_disk(2);
    cluster.start(2, false);
    cluster.logged(2, "disk.checked", "");
    // Members 0 and 2 alone take version 2, so member 0 has seen that member 2 has it on disk.
    cluster.kill(1);
    assert_eq!(cluster.replace_config(0, 1, 2), 200);
    cluster.start(1, false);
    cluster.kill(2);
    cluster.restore_disk(2);
    cluster
}

#[test]
fn a_member_with_an_older_disk_comes_back_as_another_one() {
    let mut cluster = put_back("older");
    cluster.start(2, false);
    cluster.logged(2, "disk.older", "");
    cluster.ended(2);
    cluster.start(2, false);
    cluster.logged(2, "member.joined", "");
    cluster.kill(0);
    assert_eq!(cluster.read(2), config(2), "what was acknowledged is there without member 0");
    assert_eq!(cluster.replace_config(1, 2, 3), 200);
}

#[test]
fn the_mutant_lets_an_older_disk_go_on() {
    let mut cluster = put_back("mutant");
    cluster.start_with_mutant(2, false, Some("older-disk-goes-on"));
    cluster.logged(2, "disk.checked", "");
}

#[test]
fn where_all_start_at_once_nothing_is_known_and_all_go_on() {
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
        cluster.logged(machine, "disk.checked", "\"known\":false");
    }
    assert_eq!(cluster.read(1), config(2));
}

#[test]
fn two_of_three_that_start_without_the_third_wait_for_it_only_for_a_moment() {
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
