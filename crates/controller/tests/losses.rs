//! Bounds on the duration of changes and copies while a member is lost, in virtual time and at a few moments each. The bench
//! `losses` measures many.

mod loss_measurement;
mod virtual_time;

use loss_measurement::{Figures, Loss, Trial, run_trial};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use virtual_time::{World, operator, run};

/// Start of the loss in milliseconds, one for each of three members.
const MOMENTS: [u64; 3] = [100, 413, 806];
/// Maximum duration of a change at a member without a fault.
const MAX_CHANGE: Duration = Duration::from_millis(250);

fn check(loss: Loss, goes_on: bool, within: fn(&Figures) -> bool) {
    for moment in MOMENTS.map(Duration::from_millis) {
        run(async move {
            let trial = Trial { moment, goes_on, ..Trial::of(3, loss) };
            let figures = run_trial(trial).await;
            assert!(within(&figures), "{trial:?}: {figures:?}");
        });
    }
}

#[test]
fn a_rejected_round_does_not_wait_for_a_lost_member() {
    for loss in [Loss::CutFromOne, Loss::MutedToOne, Loss::Wiped, Loss::Replaced, Loss::Stalled, Loss::Full]
    {
        check(loss, true, |figures| figures.change <= MAX_CHANGE);
    }
}

/// Duration of a disk write.
const WRITE: Duration = Duration::from_millis(50);
/// Maximum time from a member's return until it has copied the changes it missed.
const MAX_COPY: Duration = Duration::from_millis(1200);

/// Freezes a member while it writes a promise, commits a change, and resumes the member. Returns the time until its disk holds
/// that change.
async fn copied_after_a_freeze() -> Duration {
    let world = World::with_three_members(3, 4.0).await;
    world.replace_config(0, 1, 2).await;
    sleep(Duration::from_secs(3)).await;
    world.slow_disk(2, WRITE);
    assert_eq!(
        world.definite_status(0, 1, 3, WRITE).await,
        Some(412),
        "a round that proposes no new value"
    );
    sleep(WRITE / 2).await;
    world.freeze(2, true);
    world.slow_disk(2, Duration::ZERO);
    sleep(Duration::from_secs(3)).await;
    world.replace_config(0, 2, 3).await;

    world.freeze(2, false);
    let thawed = Instant::now();
    while world.version_on_disk(2) != Some(3) {
        sleep(Duration::from_millis(5)).await;
    }
    thawed.elapsed()
}

#[test]
fn a_freeze_during_a_write_does_not_count_as_a_slow_disk() {
    for seed in 0..8 {
        run(async move {
            fastrand::seed(seed);
            let time = copied_after_a_freeze().await;
            println!("seed {seed}: {time:?}");
            assert!(time <= MAX_COPY, "seed {seed}: {time:?}");
        });
    }
}

/// Maximum duration of a change while a member is replaced and writes take 10 to 320 ms.
const MAX_CHANGE_ON_UNEVEN_DISKS: Duration = Duration::from_millis(2600);

#[test]
fn competing_proposers_on_slow_disks_back_off_for_a_round() {
    for moment in (0..1000).step_by(41).map(Duration::from_millis) {
        run(async move {
            let write = Duration::from_millis(10);
            let trial = Trial { moment, write, uneven: true, ..Trial::of(3, Loss::Replaced) };
            let figures = run_trial(trial).await;
            assert!(figures.change <= MAX_CHANGE_ON_UNEVEN_DISKS, "{trial:?}: {figures:?}");
        });
    }
}

#[test]
fn no_round_starts_for_a_change_already_answered_as_unknown() {
    run(async {
        let world = World::with_three_members(3, 4.0).await;
        (0..3).for_each(|machine| world.stall_disk(machine, true));
        let body = operator::config_of(2, 0);
        let (status, took) =
            world.timed(0, "POST", "/runtrack/config/replace", "X-Base-Version: 1\r\n", &body).await;
        assert_eq!((status, took < Duration::from_secs(1)), (503, true));
        // The last round in progress has timed out by now.
        sleep(Duration::from_millis(600)).await;
        (0..3).for_each(|machine| world.stall_disk(machine, false));
        sleep(Duration::from_secs(5)).await;
        assert_eq!(world.version_on_disk(0), Some(1));
    });
}
