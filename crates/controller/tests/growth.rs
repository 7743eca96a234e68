//! Members before there is any configuration, in virtual time: as many as bear the loss that is to be borne, from the first
//! boot on.

mod virtual_time;

use runtrack_net::set_mutant;
use std::time::Duration;
use tokio::time::sleep;
use virtual_time::{World, run};

const SETTLE_S: f64 = 4.0;
/// Long enough in virtual time for whatever is going to happen to happen.
const LONG: Duration = Duration::from_secs(15);
const READ: &str = "/runtrack/config/read";

/// Five machines that are to bear the loss of two, started for the first time, with no configuration yet.
async fn five() -> World {
    let mut world = World::new(5, SETTLE_S).tolerating(2);
    for machine in 0..5 {
        world.start(machine, true);
    }
    for machine in 0..3 {
        world.logged(machine, "contact.majority", "").await;
    }
    world
}

/// Two of the seeds are lost before the first configuration. What becomes of a change then.
async fn answer_after_two_losses() -> Option<u16> {
    let mut world = five().await;
    sleep(LONG).await;
    world.kill(0).await;
    world.kill(1).await;
    world.clear_answer(2, 0, 1, LONG).await
}

#[test]
fn five_machines_bear_two_losses_before_the_first_configuration() {
    run(async { assert_eq!(answer_after_two_losses().await, Some(200)) });
}

#[test]
fn members_that_wait_for_a_value_are_found() {
    run(async {
        set_mutant(Some("members-wait-for-a-value"));
        let answer = answer_after_two_losses().await;
        set_mutant(None);
        assert_eq!(answer, None);
    });
}

#[test]
fn members_without_a_configuration_say_that_there_is_none() {
    run(async {
        let mut world = five().await;
        let agent = world.agent();
        for machine in [3, 4] {
            world.logged(machine, "member.joined", "").await;
        }
        sleep(LONG).await;
        for machine in 0..5 {
            assert_eq!(world.timed(machine, "GET", READ, "", "").await.0, 404, "at {machine}");
        }
        assert!(agent.config().is_none(), "agents get nothing");
        assert_eq!(world.clear_answer(4, 1, 2, LONG).await, None, "nobody knows of a version 1");
        world.replace_config(3, 0, 1).await;
        assert_eq!(world.clear_answer(0, 0, 2, LONG).await, Some(412));
        world.replace_config(1, 1, 2).await;
    });
}

#[test]
fn a_first_member_that_is_wiped_before_the_first_configuration_is_taken_in_again() {
    run(async {
        let mut world = World::new(3, SETTLE_S);
        for machine in 0..3 {
            world.start(machine, true);
        }
        for machine in 0..3 {
            world.logged(machine, "contact.majority", "").await;
        }
        world.kill(2).await;
        world.disk(2).wipe();
        world.start(2, false);
        world.logged(2, "member.joined", "").await;
        world.kill(0).await;
        world.replace_config(1, 0, 1).await;
    });
}
