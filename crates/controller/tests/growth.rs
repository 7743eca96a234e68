//! Membership before the first configuration, in virtual time: from the first boot on it grows to the size that tolerates the
//! configured number of losses.

mod virtual_time;

use runtrack_net::set_mutant;
use std::time::Duration;
use tokio::time::sleep;
use virtual_time::{World, run};

const SETTLE_S: f64 = 4.0;
/// Virtual time after which the cluster has settled.
const SETTLE_WAIT: Duration = Duration::from_secs(15);
const READ: &str = "/runtrack/config/read";

/// Five machines with a tolerance of two losses, started for the first time, without a configuration.
async fn five_members() -> World {
    let mut world = World::new(5, SETTLE_S).tolerating(2);
    for machine in 0..5 {
        world.start(machine, true);
    }
    for machine in 0..3 {
        world.wait_for_event(machine, "contact.majority", "").await;
    }
    world
}

/// Status of the first change after two seeds were lost before it.
async fn answer_after_two_losses() -> Option<u16> {
    let mut world = five_members().await;
    sleep(SETTLE_WAIT).await;
    world.kill(0).await;
    world.kill(1).await;
    world.definite_status(2, 0, 1, SETTLE_WAIT).await
}

#[test]
fn five_machines_tolerate_two_losses_before_the_first_configuration() {
    run(async { assert_eq!(answer_after_two_losses().await, Some(200)) });
}

#[test]
fn the_mutant_that_delays_joins_until_the_first_value_is_detected() {
    run(async {
        set_mutant(Some("members-wait-for-a-value"));
        let answer = answer_after_two_losses().await;
        set_mutant(None);
        assert_eq!(answer, None);
    });
}

#[test]
fn reads_return_404_before_the_first_configuration() {
    run(async {
        let mut world = five_members().await;
        let agent = world.agent();
        for machine in [3, 4] {
            world.wait_for_event(machine, "member.joined", "").await;
        }
        sleep(SETTLE_WAIT).await;
        for machine in 0..5 {
            assert_eq!(world.timed(machine, "GET", READ, "", "").await.0, 404, "at {machine}");
        }
        assert!(agent.config().is_none(), "agents get nothing");
        assert_eq!(world.definite_status(4, 1, 2, SETTLE_WAIT).await, None, "version 1 does not exist");
        world.replace_config(3, 0, 1).await;
        assert_eq!(world.definite_status(0, 0, 2, SETTLE_WAIT).await, Some(412));
        world.replace_config(1, 1, 2).await;
    });
}

#[test]
fn a_seed_wiped_before_the_first_configuration_rejoins() {
    run(async {
        let mut world = World::new(3, SETTLE_S);
        for machine in 0..3 {
            world.start(machine, true);
        }
        for machine in 0..3 {
            world.wait_for_event(machine, "contact.majority", "").await;
        }
        world.kill(2).await;
        world.disk(2).wipe();
        world.start(2, false);
        world.wait_for_event(2, "member.joined", "").await;
        world.kill(0).await;
        world.replace_config(1, 0, 1).await;
    });
}
