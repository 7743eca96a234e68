//! The disk check of a starting member: it detects older disks, and delays no other start. In virtual time.

mod virtual_time;

use runtrack_net::set_mutant;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use virtual_time::{World, run};

const SETTLE_S: f64 = 4.0;
/// Virtual time after which the cluster has settled.
const SETTLE_WAIT: Duration = Duration::from_secs(15);
/// Longer than a round waits for a reply.
const SLOW_WRITE: Duration = Duration::from_millis(2000);
/// Maximum time from a start of all members to the first acknowledged change. It excludes the wait for late answers.
const START_BOUND: Duration = Duration::from_millis(1000);

/// Interval at which members report to each other what they have on disk.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Three members that have version 1 on disk and have reported it to each other.
async fn three_members() -> World {
    let mut world = World::with_three_members(3, SETTLE_S).await;
    for machine in 0..3 {
        world.wait_for_event(machine, "config.taken", "\"version\":1").await;
        while world.version_on_disk(machine) != Some(1) {
            sleep(PROBE_INTERVAL).await;
        }
    }
    sleep(PROBE_INTERVAL * 2).await; // each member has reported its disk to the others
    world
}

/// Only members 0 and 2 acknowledge version 2. Then member 2's disk is restored to version 1, and member 0 is killed as soon
/// as member 2 has logged `event`. Member 1 does not know of version 2, and its disk is full until then.
async fn restore_a_disk_and_lose_another_member(event: &str) -> World {
    let mut world = three_members().await;
    world.restore_disk_to_version_one().await;
    world.disk(1).set_full(true);
    world.slow_disk(2, SLOW_WRITE);
    world.cut(1, 2, false);
    world.start(2, false);
    world.wait_for_event(2, event, "").await;
    world.kill(0).await;
    world.slow_disk(2, Duration::ZERO);
    world.cut(0, 1, false);
    world.disk(1).set_full(false);
    world
}

#[test]
fn acknowledged_changes_survive_an_older_disk_and_the_loss_of_another_member() {
    run(async {
        let mut world = restore_a_disk_and_lose_another_member("disk.older").await;
        world.wait_for_exit(2).await;
        world.start(2, false);
        assert_eq!(
            world.definite_status(1, 1, 3, SETTLE_WAIT).await,
            None,
            "only member 0 holds version 2"
        );
        world.start(0, false);
        world.wait_for_event(2, "member.joined", "").await;
        assert_eq!(world.definite_status(1, 1, 3, SETTLE_WAIT).await, Some(412));
        world.replace_config(2, 2, 3).await;
        assert!(world.lines(0, "disk.older").is_empty());
    });
}

#[test]
fn the_mutant_that_continues_on_an_older_disk_loses_a_change() {
    run(async {
        set_mutant(Some("older-disk-goes-on"));
        let world = restore_a_disk_and_lose_another_member("disk.checked").await;
        let answer = world.definite_status(1, 1, 3, SETTLE_WAIT).await;
        set_mutant(None);
        assert_eq!(answer, Some(200), "the acknowledged version 2 is overwritten");
    });
}

#[test]
fn members_that_all_restart_at_once_serve_within_the_start_bound() {
    run(async {
        let mut world = three_members().await;
        for machine in 0..3 {
            world.kill(machine).await;
        }
        let since = Instant::now();
        for machine in 0..3 {
            world.start(machine, false);
        }
        world.replace_config(0, 1, 2).await;
        println!("first change acknowledged after {} ms", since.elapsed().as_millis());
        assert!(since.elapsed() < START_BOUND, "{:?}", since.elapsed());
        for machine in 0..3 {
            world.wait_for_event(machine, "disk.checked", "\"known\":false").await;
        }
    });
}

/// Restarts member 2 with its disk as it is; the next change needs it for a majority.
async fn serves_after_a_restart(mut world: World, version: u64) {
    world.start(2, false);
    world.wait_for_event(2, "disk.checked", "\"known\":true").await;
    world.kill(0).await;
    world.replace_config(1, version, version + 1).await;
    assert!(world.lines(2, "disk.older").is_empty());
}

#[test]
fn a_member_that_restarts_with_a_current_disk_serves() {
    run(async {
        let mut world = three_members().await;
        world.replace_config(1, 1, 2).await;
        world.kill(2).await;
        world.replace_config(1, 2, 3).await;
        serves_after_a_restart(world, 3).await;
    });
}

#[test]
fn a_write_lost_with_the_process_is_not_taken_for_an_older_disk() {
    // Either the promise is lost or the value that follows it.
    for writes_before in [0, 1] {
        run(async move {
            let mut world = three_members().await;
            world.slow_disk(2, SLOW_WRITE);
            world.replace_config(0, 1, 2).await;
            sleep(SLOW_WRITE * writes_before + SLOW_WRITE / 2).await;
            world.kill(2).await;
            world.slow_disk(2, Duration::ZERO);
            serves_after_a_restart(world, 2).await;
        });
    }
}
