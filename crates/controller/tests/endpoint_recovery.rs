//! Endpoints are recovered from the members' disks right after a power loss of all machines, except those whose leave was
//! acknowledged. In virtual time.

mod virtual_time;

use runtrack_link::Gossip;
use runtrack_message::EndpointState;
use runtrack_registry::key_of;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};
use virtual_time::{World, detects_mutant, run};

const SETTLE_S: f64 = 4.0;
const ENDPOINTS: [&str; 3] = ["llm-1", "llm-2", "llm-3"];
/// Time within which each member has written its endpoints to disk.
const WRITTEN: Duration = Duration::from_secs(5);
/// Maximum recovery time. Endpoints send heartbeats every 1.2 s, so recovery must not depend on them.
const KNOWN_WITHIN: Duration = Duration::from_millis(600);
/// Virtual time after which the cluster has settled.
const SETTLE_WAIT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(1);
const MEMBERS: std::ops::Range<usize> = 0..3;

fn state_at(copy: &Gossip, id: &str) -> Option<EndpointState> {
    copy.replica().registry().get(key_of(id)).map(|record| record.state)
}

/// Three members that have written these endpoints to their disks.
async fn three_with_stored_endpoints() -> World {
    let world = World::with_three_members(3, SETTLE_S).await;
    for (number, id) in ENDPOINTS.iter().enumerate() {
        assert_eq!(world.heartbeat(number, id, "ready").await.0, 200);
    }
    sleep(WRITTEN).await;
    world
}

async fn lose_all_power(world: &mut World) {
    for machine in MEMBERS {
        world.lose_power(machine).await;
    }
}

/// Time from the start of all members until a new agent knows these endpoints as ready.
async fn recovery_time(world: &mut World, ids: &[&str]) -> Option<Duration> {
    MEMBERS.for_each(|machine| world.start(machine, false));
    let began = Instant::now();
    let agent = world.agent();
    let known = async {
        while !ids.iter().all(|id| state_at(&agent, id) == Some(EndpointState::Ready)) {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(SETTLE_WAIT, known).await.ok().map(|()| began.elapsed())
}

#[test]
fn endpoints_are_recovered_after_a_power_loss_of_all_members() {
    run(async {
        let mut world = three_with_stored_endpoints().await;
        lose_all_power(&mut world).await;
        let took = recovery_time(&mut world, &ENDPOINTS).await.expect("they are on the disks");
        println!("known after {took:?}");
        assert!(took <= KNOWN_WITHIN, "{took:?}");
    });
}

#[test]
fn endpoints_are_recovered_from_two_disks_of_three() {
    run(async {
        let mut world = three_with_stored_endpoints().await;
        lose_all_power(&mut world).await;
        world.disk(1).wipe();
        let took = recovery_time(&mut world, &ENDPOINTS).await.expect("they are on two disks");
        assert!(took <= KNOWN_WITHIN, "{took:?}");
    });
}

/// Whether an agent ever learns that an endpoint is ready.
async fn is_ever_ready(agent: &Rc<Gossip>, id: &str) -> bool {
    let told = async {
        while state_at(agent, id) != Some(EndpointState::Ready) {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(SETTLE_WAIT, told).await.is_ok()
}

/// An endpoint leaves while one member is partitioned, so that only the other two have the leave on disk.
async fn leave_during_partition(world: &World, id: &str) {
    world.cut(0, 2, true);
    world.cut(1, 2, true);
    assert_eq!(world.heartbeat(0, id, "draining").await.0, 200);
}

#[test]
fn a_member_that_missed_an_acknowledged_leave_does_not_announce_the_endpoint() {
    run(async {
        let mut world = three_with_stored_endpoints().await;
        leave_during_partition(&world, ENDPOINTS[2]).await;
        lose_all_power(&mut world).await;
        world.cut(0, 2, false);
        world.cut(1, 2, false);
        // The member that missed the leave starts first.
        for machine in [2, 1, 0] {
            world.start(machine, false);
        }
        let agent = world.agent();
        assert!(!is_ever_ready(&agent, ENDPOINTS[2]).await);
        assert_eq!(state_at(&agent, ENDPOINTS[0]), Some(EndpointState::Ready));
    });
}

/// A member whose disk rejects leaves can't store those of the others, so it restores no endpoints.
async fn member_without_stored_leaves_restores_nothing() {
    let mut world = three_with_stored_endpoints().await;
    leave_during_partition(&world, ENDPOINTS[2]).await;
    lose_all_power(&mut world).await;
    world.cut(0, 2, false);
    world.cut(1, 2, false);
    world.reject_leaves(2, true);
    MEMBERS.for_each(|machine| world.start(machine, false));
    sleep(SETTLE_WAIT).await;
    assert_eq!(world.lines(2, "endpoints.restored"), Vec::<String>::new());
    assert_eq!(world.lines(0, "endpoints.restored").len(), 1, "it has them all");
}

#[test]
fn endpoints_are_restored_only_after_the_leaves_of_a_majority() {
    run(member_without_stored_leaves_restores_nothing());
    assert!(detects_mutant("endpoints-before-leaves", || run(
        member_without_stored_leaves_restores_nothing()
    )));
}

#[test]
fn a_member_that_restarts_beside_others_restores_no_endpoints() {
    run(async {
        let mut world = three_with_stored_endpoints().await;
        world.kill(1).await;
        world.start(1, false);
        world.wait_for_event(1, "disk.checked", "\"known\":true").await;
        sleep(SETTLE_WAIT).await;
        assert_eq!(world.lines(1, "endpoints.restored"), Vec::<String>::new());
    });
}

#[test]
fn a_terminated_member_releases_its_memory() {
    run(async {
        let mut world = three_with_stored_endpoints().await;
        world.kill(1).await;
        assert!(!world.is_in_memory(1));
        world.start(1, false);
        world.wait_for_event(1, "disk.checked", "").await;
        assert!(world.is_in_memory(1));
        lose_all_power(&mut world).await;
        MEMBERS.for_each(|machine| assert!(!world.is_in_memory(machine), "machine {machine}"));
    });
}
