//! What a member's disk check is for, and what it must not get in the way of, in virtual time.

mod virtual_time;

use runtrack_net::set_mutant;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use virtual_time::{World, run};

const SETTLE_S: f64 = 4.0;
/// Long enough in virtual time for whatever is going to happen to happen.
const LONG: Duration = Duration::from_secs(15);
/// More than a round waits for a reply.
const SLOW: Duration = Duration::from_millis(2000);
/// How long a start of all may take until a change is acknowledged: the wait for late answers is not part of it.
const START_BOUND: Duration = Duration::from_millis(1000);

/// Members tell each other what they have on disk this often.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Three members that hold version 1, and know it of each other.
async fn three() -> World {
    let mut world = World::with_three_members(3, SETTLE_S).await;
    for machine in 0..3 {
        world.logged(machine, "config.taken", "\"version\":1").await;
        while world.version_on_disk(machine) != Some(1) {
            sleep(PROBE_INTERVAL).await;
        }
    }
    sleep(PROBE_INTERVAL * 2).await; // the others have heard what each of them has on disk
    world
}

/// Members 0 and 2 alone acknowledge version 2, then member 2's disk is put back to version 1 and member 0 is lost as soon
/// as member 2 has logged this. Member 1 has heard nothing of version 2, and its disk takes nothing until then.
async fn put_back_and_another_one_lost(event: &str) -> World {
    let mut world = three().await;
    world.put_back_before_version_two().await;
    world.disk(1).set_full(true);
    world.slow_disk(2, SLOW);
    world.cut(1, 2, false);
    world.start(2, false);
    world.logged(2, event, "").await;
    world.kill(0).await;
    world.slow_disk(2, Duration::ZERO);
    world.cut(0, 1, false);
    world.disk(1).set_full(false);
    world
}

#[test]
fn what_was_acknowledged_outlasts_an_older_disk_and_the_loss_of_another_member() {
    run(async {
        let mut world = put_back_and_another_one_lost("disk.older").await;
        world.ended(2).await;
        world.start(2, false);
        assert_eq!(world.clear_answer(1, 1, 3, LONG).await, None, "only member 0 holds version 2");
        world.start(0, false);
        world.logged(2, "member.joined", "").await;
        assert_eq!(world.clear_answer(1, 1, 3, LONG).await, Some(412));
        world.replace_config(2, 2, 3).await;
        assert!(world.lines(0, "disk.older").is_empty());
    });
}

#[test]
fn a_member_that_goes_on_with_an_older_disk_is_found() {
    run(async {
        set_mutant(Some("older-disk-goes-on"));
        let world = put_back_and_another_one_lost("disk.checked").await;
        let answer = world.clear_answer(1, 1, 3, LONG).await;
        set_mutant(None);
        assert_eq!(
            answer,
            Some(200),
            "version 2 was acknowledged, and is written over as if it had never been"
        );
    });
}

#[test]
fn all_that_start_at_once_serve_within_a_moment() {
    run(async {
        let mut world = three().await;
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
            world.logged(machine, "disk.checked", "\"known\":false").await;
        }
    });
}

/// Member 2 starts again with its disk as it is, and is needed for a change at once.
async fn serves_after_a_restart(mut world: World, version: u64) {
    world.start(2, false);
    world.logged(2, "disk.checked", "\"known\":true").await;
    world.kill(0).await;
    world.replace_config(1, version, version + 1).await;
    assert!(world.lines(2, "disk.older").is_empty());
}

#[test]
fn a_member_that_restarts_with_its_current_disk_serves() {
    run(async {
        let mut world = three().await;
        world.replace_config(1, 1, 2).await;
        world.kill(2).await;
        world.replace_config(1, 2, 3).await;
        serves_after_a_restart(world, 3).await;
    });
}

#[test]
fn a_write_that_was_lost_with_the_power_is_no_older_disk() {
    // The promise is lost, or the value after it.
    for writes_before in [0, 1] {
        run(async move {
            let mut world = three().await;
            world.slow_disk(2, SLOW);
            world.replace_config(0, 1, 2).await;
            sleep(SLOW * writes_before + SLOW / 2).await;
            world.kill(2).await;
            world.slow_disk(2, Duration::ZERO);
            serves_after_a_restart(world, 2).await;
        });
    }
}
