//! Endpoints are known again at once after the loss of power of all machines, from the members' disks; nobody is told of one
//! whose leave was acknowledged. In virtual time.

mod virtual_time;

use runtrack_link::Gossip;
use runtrack_message::EndpointState;
use runtrack_registry::key_of;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};
use virtual_time::{World, finds, run};

const SETTLE_S: f64 = 4.0;
const ENDPOINTS: [&str; 3] = ["llm-1", "llm-2", "llm-3"];
/// By then each member has written what it knows.
const WRITTEN: Duration = Duration::from_secs(5);
/// Endpoints send heartbeats every 1.2 s. They are known well before the next one.
const KNOWN_WITHIN: Duration = Duration::from_millis(600);
/// Long enough in virtual time for whatever is going to happen to happen.
const LONG: Duration = Duration::from_secs(15);
const POLL: Duration = Duration::from_millis(1);
const MEMBERS: std::ops::Range<usize> = 0..3;

fn state_at(copy: &Gossip, id: &str) -> Option<EndpointState> {
    copy.replica().registry().get(key_of(id)).map(|record| record.state)
}

/// Three members that have written these endpoints to their disks.
async fn three_that_know_all() -> World {
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

/// How long it takes from the start of all until an agent that knew nothing knows these as ready.
async fn known_after(world: &mut World, ids: &[&str]) -> Option<Duration> {
    MEMBERS.for_each(|machine| world.start(machine, false));
    let began = Instant::now();
    let agent = world.agent();
    let known = async {
        while !ids.iter().all(|id| state_at(&agent, id) == Some(EndpointState::Ready)) {
            sleep(POLL).await;
        }
    };
    timeout(LONG, known).await.ok().map(|()| began.elapsed())
}

#[test]
fn endpoints_are_known_right_after_a_loss_of_all_power() {
    run(async {
        let mut world = three_that_know_all().await;
        lose_all_power(&mut world).await;
        let took = known_after(&mut world, &ENDPOINTS).await.expect("they are on the disks");
        println!("known after {took:?}");
        assert!(took <= KNOWN_WITHIN, "{took:?}");
    });
}

#[test]
fn two_disks_of_three_are_enough() {
    run(async {
        let mut world = three_that_know_all().await;
        lose_all_power(&mut world).await;
        world.disk(1).wipe();
        let took = known_after(&mut world, &ENDPOINTS).await.expect("they are on two disks");
        assert!(took <= KNOWN_WITHIN, "{took:?}");
    });
}

/// Whether an agent is ever told that an endpoint is ready.
async fn is_ever_ready(agent: &Rc<Gossip>, id: &str) -> bool {
    let told = async {
        while state_at(agent, id) != Some(EndpointState::Ready) {
            sleep(POLL).await;
        }
    };
    timeout(LONG, told).await.is_ok()
}

/// An endpoint leaves while one member is cut off: the two others alone have the leave on their disks.
async fn leaves_behind_a_cut(world: &World, id: &str) {
    world.cut(0, 2, true);
    world.cut(1, 2, true);
    assert_eq!(world.heartbeat(0, id, "draining").await.0, 200);
}

#[test]
fn who_missed_an_acknowledged_leave_tells_nobody_that_the_endpoint_is_ready() {
    run(async {
        let mut world = three_that_know_all().await;
        leaves_behind_a_cut(&world, ENDPOINTS[2]).await;
        lose_all_power(&mut world).await;
        world.cut(0, 2, false);
        world.cut(1, 2, false);
        // Who missed it is there first.
        for machine in [2, 1, 0] {
            world.start(machine, false);
        }
        let agent = world.agent();
        assert!(!is_ever_ready(&agent, ENDPOINTS[2]).await);
        assert_eq!(state_at(&agent, ENDPOINTS[0]), Some(EndpointState::Ready));
    });
}

/// A member whose disk takes no leaves can't have those of the others: it restores no endpoints.
async fn who_can_not_store_leaves_restores_nothing() {
    let mut world = three_that_know_all().await;
    leaves_behind_a_cut(&world, ENDPOINTS[2]).await;
    lose_all_power(&mut world).await;
    world.cut(0, 2, false);
    world.cut(1, 2, false);
    world.refuse_leaves(2, true);
    MEMBERS.for_each(|machine| world.start(machine, false));
    sleep(LONG).await;
    assert_eq!(world.lines(2, "endpoints.restored"), Vec::<String>::new());
    assert_eq!(world.lines(0, "endpoints.restored").len(), 1, "it has them all");
}

#[test]
fn endpoints_are_restored_only_behind_the_leaves_of_a_majority() {
    run(who_can_not_store_leaves_restores_nothing());
    assert!(finds("endpoints-before-leaves", || run(who_can_not_store_leaves_restores_nothing())));
}

#[test]
fn a_member_that_restarts_beside_others_tells_nothing_from_its_disk() {
    run(async {
        let mut world = three_that_know_all().await;
        world.kill(1).await;
        world.start(1, false);
        world.logged(1, "disk.checked", "\"known\":true").await;
        sleep(LONG).await;
        assert_eq!(world.lines(1, "endpoints.restored"), Vec::<String>::new());
    });
}

#[test]
fn nothing_of_a_member_that_has_ended_stays_in_memory() {
    run(async {
        let mut world = three_that_know_all().await;
        world.kill(1).await;
        assert!(!world.is_in_memory(1));
        world.start(1, false);
        world.logged(1, "disk.checked", "").await;
        assert!(world.is_in_memory(1));
        lose_all_power(&mut world).await;
        MEMBERS.for_each(|machine| assert!(!world.is_in_memory(machine), "machine {machine}"));
    });
}
