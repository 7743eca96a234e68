//! Who is taken for lost, in virtual time: a majority of watchers says so, and nobody goes by old times.

mod virtual_time;

use std::time::Duration;
use tokio::time::sleep;
use virtual_time::{World, finds, run};

/// A member is suspected after a quarter of this.
const SETTLE_S: f64 = 4.0;
/// Long enough in virtual time for whatever is going to happen to happen.
const LONG: Duration = Duration::from_secs(15);

/// Three members, and a fourth process that takes the place of whoever is lost.
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
    sleep(LONG).await;
    // A further member may join beside them, where the coordinator reaches all three.
    for line in (0..4).flat_map(|machine| world.lines(machine, "members.changed")) {
        assert!((0..3).all(|machine| line.contains(&world.member(machine))), "with {cut:?}: {line}");
    }
}

/// All ways in which two members can lose each other while the third reaches both.
const CUTS: [(usize, usize); 3] = [(0, 1), (0, 2), (1, 2)];

#[test]
fn a_member_that_one_watcher_can_not_reach_stays() {
    for cut in CUTS {
        run(one_watcher_is_not_enough(cut));
    }
}

#[test]
fn a_member_that_a_majority_can_not_reach_is_replaced() {
    run(async {
        let mut world = three_and_one_to_join(&[(2, 0), (2, 1), (2, 3)]).await;
        world.logged(3, "member.joined", "").await;
        world.logged(3, "copies.complete", "").await;
    });
}

/// Freezes some of four members for so long, and lets them go on: nobody that runs throughout is ever taken for lost.
async fn frozen_and_thawed(frozen: &[usize], long: Duration) {
    let mut world = three_and_one_to_join(&[]).await;
    world.logged(3, "member.joined", "").await;
    let joined = world.member(3);
    for machine in 0..3 {
        world.logged(machine, "members.known", &joined).await;
    }
    frozen.iter().for_each(|machine| world.freeze(*machine, true));
    sleep(long).await;
    frozen.iter().for_each(|machine| world.freeze(*machine, false));
    sleep(LONG).await;
    let changes = (0..4).flat_map(|machine| world.lines(machine, "members.changed"));
    for line in changes.filter(|line| line.contains(&joined)) {
        let stay = (0..4).filter(|machine| frozen.len() == 4 || !frozen.contains(machine));
        for machine in stay {
            assert!(line.contains(&world.member(machine)), "with {frozen:?} frozen for {long:?}: {line}");
        }
    }
}

#[test]
fn a_coordinator_that_was_frozen_replaces_nobody_on_the_strength_of_old_times() {
    // The coordinator is among them.
    for frozen in [&[0][..], &[1], &[2], &[3], &[0, 1, 2, 3]] {
        for long in [Duration::from_millis(900), LONG] {
            run(frozen_and_thawed(frozen, long));
        }
    }
}

#[test]
fn who_goes_by_its_own_links_alone_is_found() {
    assert!(finds("one-watcher-is-enough", || {
        CUTS.into_iter().for_each(|cut| run(one_watcher_is_not_enough(cut)));
    }));
}
