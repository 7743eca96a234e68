//! Disks whose writes take longer than a round's reply timeout, in virtual time.

mod virtual_time;

use std::time::Duration;
use virtual_time::{World, run};

const SETTLE_S: f64 = 4.0;
/// Longer than a round's initial reply timeout.
const SLOW_WRITE: Duration = Duration::from_millis(700);

#[test]
fn changes_succeed_when_all_disks_are_slower_than_the_first_round_timeout() {
    run(async {
        let world = World::with_three_members(3, SETTLE_S).await;
        (0..3).for_each(|machine| world.slow_disk(machine, SLOW_WRITE));
        for version in 2..=4 {
            world.replace_config(version as usize % 3, version - 1, version).await;
        }
    });
}
