//! Concurrent read rounds at all members over slow disks, in virtual time: each member makes progress. Reads use rounds only
//! where a quorum read is unsettled (`quorum_reads.rs`); here a mutant makes all of them use rounds.

mod virtual_time;

use runtrack_net::set_mutant;
use std::time::Duration;
use tokio::time::Instant;
use virtual_time::{World, run};

const READ: &str = "/runtrack/config/read";
/// Virtual time during which each member is read from.
const LENGTH: Duration = Duration::from_secs(10);
/// Maximum time without a successful read at one member.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Reads sequentially from a member; returns the longest time between two successful reads.
async fn longest_wait(world: &World, machine: usize) -> Duration {
    let began = Instant::now();
    let (mut last, mut longest) = (began, Duration::ZERO);
    while began.elapsed() < LENGTH {
        let (status, _) = world.timed(machine, "GET", READ, "", "").await;
        longest = longest.max(last.elapsed());
        if status == 200 {
            last = Instant::now();
        }
    }
    longest
}

#[test]
fn concurrent_read_rounds_at_all_members_succeed_on_slow_disks() {
    set_mutant(Some("reads-by-round"));
    for delay_ms in [1, 30, 100] {
        run(async move {
            let world = World::with_three_members(3, 4.0).await;
            for machine in 0..3 {
                world.slow_disk(machine, Duration::from_millis(delay_ms));
            }
            let waits =
                tokio::join!(longest_wait(&world, 0), longest_wait(&world, 1), longest_wait(&world, 2));
            println!("{delay_ms} ms a write: {waits:?}");
            assert!(waits.0.max(waits.1).max(waits.2) <= MAX_WAIT, "{delay_ms} ms a write: {waits:?}");
        });
    }
    set_mutant(None);
}
