//! Detection of lost members, in virtual time: a member is suspected by a majority only, and never on outdated observations.

mod virtual_time;

use std::time::Duration;
use tokio::time::sleep;
use virtual_time::{World, detects_mutant, run};

/// A member is suspected after a quarter of this time.
const SETTLE_S: f64 = 4.0;
/// Virtual time after which the cluster has settled.
const SETTLE_WAIT: Duration = Duration::from_secs(15);

/// Three members, and a fourth process that replaces a lost one.
async fn three_and_one_to_join(cut: &[(usize, usize)]) -> World {
    let mut world = World::with_three_members(4, SETTLE_S).await;
    for (one, other) in cut {
        world.cut(*one, *other, true);
    }
    world.start(3, false);
    world
}

async fn one_watcher_is_not_enough(cut: (usize, usize)) {
    let world = three_and_one_to_join(&[cut]).await;
    sleep(SETTLE_WAIT).await;
    // The fourth process may still join if the coordinator reaches all three.
    for line in (0..4).flat_map(|machine| world.lines(machine, "members.changed")) {
        assert!((0..3).all(|machine| line.contains(&world.member(machine))), "with {cut:?}: {line}");
    }
}

/// All pairs of members that can lose contact while the third reaches both.
const CUTS: [(usize, usize); 3] = [(0, 1), (0, 2), (1, 2)];

#[test]
fn a_member_unreachable_from_one_other_member_stays() {
    for cut in CUTS {
        run(one_watcher_is_not_enough(cut));
    }
}

#[test]
fn a_member_unreachable_from_a_majority_is_replaced() {
    run(async {
        let mut world = three_and_one_to_join(&[(2, 0), (2, 1), (2, 3)]).await;
        world.wait_for_event(3, "member.joined", "").await;
        world.wait_for_event(3, "copies.complete", "").await;
    });
}

/// Freezes some of four members for `long` and resumes them; no member that kept running may be replaced.
async fn frozen_and_thawed(frozen: &[usize], long: Duration) {
    let mut world = three_and_one_to_join(&[]).await;
    world.wait_for_event(3, "member.joined", "").await;
    let joined = world.member(3);
    for machine in 0..3 {
        world.wait_for_event(machine, "members.known", &joined).await;
    }
    frozen.iter().for_each(|machine| world.freeze(*machine, true));
    sleep(long).await;
    frozen.iter().for_each(|machine| world.freeze(*machine, false));
    sleep(SETTLE_WAIT).await;
    let changes = (0..4).flat_map(|machine| world.lines(machine, "members.changed"));
    for line in changes.filter(|line| line.contains(&joined)) {
        let stay = (0..4).filter(|machine| frozen.len() == 4 || !frozen.contains(machine));
        for machine in stay {
            assert!(line.contains(&world.member(machine)), "with {frozen:?} frozen for {long:?}: {line}");
        }
    }
}

#[test]
fn a_coordinator_that_resumes_from_a_freeze_replaces_no_live_member() {
    // The frozen members include the coordinator.
    for frozen in [&[0][..], &[1], &[2], &[3], &[0, 1, 2, 3]] {
        for long in [Duration::from_millis(900), SETTLE_WAIT] {
            run(frozen_and_thawed(frozen, long));
        }
    }
}

#[test]
fn the_mutant_that_suspects_by_one_watcher_is_detected() {
    assert!(detects_mutant("one-watcher-is-enough", || {
        CUTS.into_iter().for_each(|cut| run(one_watcher_is_not_enough(cut)));
    }));
}
