//! Disks that are slower than a round waits, in virtual time.

mod virtual_time;

use std::time::Duration;
use virtual_time::{World, run};

const SETTLE_S: f64 = 4.0;
/// More than a round waits for a reply at first.
const SLOW: Duration = Duration::from_millis(700);

#[test]
fn changes_get_through_where_all_disks_are_slower_than_a_round_waits_at_first() {
    run(async {
        let world = World::with_three_members(3, SETTLE_S).await;
        (0..3).for_each(|machine| world.slow_disk(machine, SLOW));
        for version in 2..=4 {
            world.replace_config(version as usize % 3, version - 1, version).await;
        }
    });
}
