//! An endpoint's leave that was acknowledged is on the disks of a majority: it outlasts the end of all controllers, also for
//! an agent that slept meanwhile. In virtual time.

mod virtual_time;

use runtrack_controller::disk::{Record, Rings};
use runtrack_link::Gossip;
use runtrack_message::{Endpoint, EndpointState};
use runtrack_net::set_mutant;
use runtrack_record_store::{Files, Memory};
use runtrack_registry::{LeaveRecord, LeaveTable, key_of};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use virtual_time::{World, run};

const SETTLE_S: f64 = 4.0;
const ENDPOINT: &str = "llm-1";
/// A write that takes so long is under way when something else is to happen.
const SLOW: Duration = Duration::from_millis(300);
/// An endpoint waits a second for its acknowledgement.
const ANSWER_BOUND: Duration = Duration::from_millis(1000);
/// One sync of a usual disk.
const SYNC: Duration = Duration::from_millis(1);
/// Long enough in virtual time for whatever is going to happen to happen.
const LONG: Duration = Duration::from_secs(15);
/// How often a test looks again.
const POLL: Duration = Duration::from_millis(10);
/// 1,600 endpoints a day are replaced.
const LEAVES_OF_A_MONTH: usize = 30 * 1_600;
/// Bytes of all files with leaves: 16 rings of three files.
const LEAVES_BOUND: usize = 16 * 3 * (65 << 10);
/// Endpoints of a release that leave at once.
const RELEASE: usize = 1000;

fn state_at(copy: &Gossip, id: &str) -> Option<EndpointState> {
    copy.replica().registry().get(key_of(id)).map(|record| record.state)
}

/// Whether a copy comes to hold this state or a later one.
async fn comes_to(copy: &Gossip, id: &str, state: EndpointState) -> bool {
    let waits = async {
        while state_at(copy, id) < Some(state) {
            sleep(POLL).await;
        }
    };
    timeout(LONG, waits).await.is_ok()
}

/// An agent knows an endpoint as ready and falls asleep, the endpoint leaves and its leave is acknowledged, and all
/// machines of the control plane lose their power at once. Whether the agent hears of it when all are back.
async fn is_remembered_after_a_loss_of_power() -> bool {
    let mut world = World::with_three_members(3, SETTLE_S).await;
    let agent = world.agent();
    assert_eq!(world.heartbeat(0, ENDPOINT, "ready").await.0, 200);
    assert!(comes_to(&agent, ENDPOINT, EndpointState::Ready).await);
    world.cut_agent(true);
    (0..3).for_each(|machine| world.slow_disk(machine, SLOW));
    assert_eq!(world.heartbeat(0, ENDPOINT, "draining").await.0, 200);
    for machine in 0..3 {
        world.lose_power(machine).await;
    }
    for machine in 0..3 {
        world.slow_disk(machine, Duration::ZERO);
        world.start(machine, false);
    }
    world.cut_agent(false);
    comes_to(&agent, ENDPOINT, EndpointState::Draining).await
}

#[test]
fn an_acknowledged_leave_outlasts_the_loss_of_power_of_all() {
    run(async { assert!(is_remembered_after_a_loss_of_power().await) });
}

#[test]
fn each_mutant_is_found() {
    for error in ["leave-confirmed-before-durable", "leaves-not-read"] {
        run(async {
            set_mutant(Some(error));
            let remembered = is_remembered_after_a_loss_of_power().await;
            set_mutant(None);
            assert!(!remembered, "{error}");
        });
    }
}

#[test]
fn a_full_disk_at_one_member_is_not_waited_for() {
    run(async {
        let world = World::with_three_members(3, SETTLE_S).await;
        world.disk(2).set_full(true);
        for (machine, id) in [(0, "one"), (2, "two")] {
            let (status, took) = world.heartbeat(machine, id, "draining").await;
            assert_eq!(status, 200, "at {machine}");
            assert!(took < ANSWER_BOUND / 10, "at {machine}: {took:?}");
        }
    });
}

#[test]
fn with_full_disks_at_two_members_nothing_is_acknowledged_until_one_has_room() {
    run(async {
        let world = World::with_three_members(3, SETTLE_S).await;
        world.disk(1).set_full(true);
        world.disk(2).set_full(true);
        for machine in 0..3 {
            let (status, took) = world.heartbeat(machine, ENDPOINT, "draining").await;
            assert_eq!(status, 503, "at {machine}");
            assert!(took < ANSWER_BOUND, "at {machine}: {took:?}");
        }
        world.disk(2).set_full(false);
        assert_eq!(world.heartbeat(0, ENDPOINT, "draining").await.0, 200);
        assert_eq!(world.heartbeat(1, ENDPOINT, "draining").await.0, 200, "its own disk is still full");
    });
}

#[test]
fn a_stalled_disk_at_one_member_is_not_waited_for() {
    run(async {
        let world = World::with_three_members(3, SETTLE_S).await;
        world.slow_disk(1, LONG);
        for (machine, id) in [(0, "one"), (1, "two")] {
            let (status, took) = world.heartbeat(machine, id, "draining").await;
            assert_eq!(status, 200, "at {machine}");
            assert!(took < ANSWER_BOUND / 10, "at {machine}: {took:?}");
        }
    });
}

/// A machine takes the place of one that is lost, and its disk takes everything but leaves. Whether it becomes a member.
async fn joins_without_leaves() -> bool {
    let mut world = World::with_three_members(4, SETTLE_S).await;
    assert_eq!(world.heartbeat(0, ENDPOINT, "draining").await.0, 200);
    world.refuse_leaves(3, true);
    world.kill(2).await;
    world.start(3, false);
    sleep(LONG).await;
    let joined = !world.lines(3, "member.joined").is_empty();
    world.refuse_leaves(3, false);
    world.logged(3, "member.joined", "").await;
    joined
}

#[test]
fn who_joins_has_the_acknowledged_leaves_on_disk() {
    run(async { assert!(!joins_without_leaves().await) });
}

#[test]
fn who_joins_without_the_leaves_is_found() {
    run(async {
        set_mutant(Some("joins-without-leaves"));
        let joined = joins_without_leaves().await;
        set_mutant(None);
        assert!(joined);
    });
}

#[test]
fn what_a_lost_member_confirmed_is_known_to_the_one_in_its_place() {
    run(async {
        let mut world = World::with_three_members(4, SETTLE_S).await;
        // Members 0 and 1 confirm, and member 2 hears nothing.
        world.cut(0, 2, true);
        world.cut(1, 2, true);
        world.logged(2, "contact.lost", "").await;
        assert_eq!(world.heartbeat(0, ENDPOINT, "draining").await.0, 200);
        world.kill(1).await;
        world.disk(1).wipe();
        world.cut(0, 2, false);
        world.cut(1, 2, false);
        world.start(1, false);
        world.logged(1, "controller.start", "\"first_boot\":false").await;
        world.logged(1, "member.joined", "").await;
        for machine in 0..3 {
            world.lose_power(machine).await;
        }
        world.disk(0).wipe();
        world.disk(2).wipe();
        world.start(1, false);
        let agent = world.agent();
        assert!(
            comes_to(&agent, ENDPOINT, EndpointState::Draining).await,
            "it is on the new member's disk"
        );
    });
}

#[test]
fn a_release_of_a_thousand_costs_few_syncs() {
    run(async {
        let world = Rc::new(World::with_three_members(3, SETTLE_S).await);
        (0..3).for_each(|machine| world.slow_disk(machine, SYNC));
        let (status, alone) = world.heartbeat(0, "alone", "draining").await;
        assert_eq!(status, 200);
        let before: Vec<usize> = (0..3).map(|machine| world.leave_writes(machine)).collect();
        let since = tokio::time::Instant::now();
        let calls: Vec<_> = (0..RELEASE)
            .map(|number| {
                let world = world.clone();
                spawn_local(async move {
                    world.heartbeat(number % 3, &format!("llm-{number}"), "draining").await
                })
            })
            .collect();
        for call in calls {
            assert_eq!(call.await.expect("an answer").0, 200);
        }
        let all = since.elapsed();
        let writes: Vec<usize> =
            (0..3).map(|machine| world.leave_writes(machine) - before[machine]).collect();
        println!("one leave {alone:?}, {RELEASE} at once {all:?}, writes {writes:?}");
        assert!(alone <= 3 * SYNC, "{alone:?}");
        assert!(all <= 10 * SYNC, "{all:?}");
        assert!(writes.iter().all(|writes| *writes <= 8), "{writes:?}");
    });
}

fn gone(id: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "llm".into(),
        ip: 0,
        port: 0,
        zone: "".into(),
        capacity: 1,
        state: EndpointState::Gone,
        warmup_left_ms: 0,
        call_seq: 0,
        models: Vec::new().into(),
    }
}

fn record_of(ids: &[&str]) -> LeaveRecord {
    let mut table = LeaveTable::default();
    ids.iter().for_each(|id| {
        table.note(&gone(id));
    });
    table.batch().expect("something to write").records.remove(0)
}

fn on_disk<F: Files + Clone>(files: F) -> Vec<String> {
    let (rings, _) = Rings::open(files, || 0).expect("it opens");
    let records = rings.recovered_leaves().iter();
    records.flat_map(LeaveRecord::endpoints).map(|endpoint| endpoint.id.as_string()).collect()
}

/// One leave was acknowledged, and the power is lost after so many bytes of the write of a second one. What is left.
fn left_after_a_torn_write<F: Files + Clone>(memory: &Memory, files: F, torn_after: usize) -> Vec<String> {
    let (mut rings, _) = Rings::open(files.clone(), || 0).expect("it opens");
    rings.write(&Record::Leaves(record_of(&["first"]))).expect("it is kept");
    memory.tear_next(torn_after);
    assert!(rings.write(&Record::Leaves(record_of(&["first", "second"]))).is_err());
    on_disk(files)
}

/// A disk on which all records of a ring go into one file: the newest is overwritten.
#[derive(Clone)]
struct OneFile(Memory);

impl Files for OneFile {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.0.read(&name.replace("-1.ring", "-0.ring").replace("-2.ring", "-0.ring"))
    }

    fn write(&self, name: &str, bytes: &[u8], room: usize) -> io::Result<()> {
        self.0.write(&name.replace("-1.ring", "-0.ring").replace("-2.ring", "-0.ring"), bytes, room)
    }

    fn sync_names(&self) -> io::Result<()> {
        self.0.sync_names()
    }
}

#[test]
fn a_torn_newest_record_costs_only_what_was_not_acknowledged() {
    for torn_after in 0..60 {
        let memory = Memory::default();
        let left = left_after_a_torn_write(&memory, memory.clone(), torn_after);
        assert!(left.contains(&"first".to_owned()), "torn after {torn_after}: {left:?}");
    }
}

#[test]
fn leaves_take_no_more_of_the_disk_than_planned_and_nothing_that_was_written_is_lost() {
    let memory = Memory::default();
    let (mut rings, _) = Rings::open(memory.clone(), || 0).expect("it opens");
    let mut table = LeaveTable::default();
    for number in 0..LEAVES_OF_A_MONTH {
        table.note(&gone(&format!("llm-7f9c-zone-a-0123456789abcdef-{number:08}")));
        if number % 500 == 0 || number + 1 == LEAVES_OF_A_MONTH {
            let batch = table.batch().expect("something to write");
            for record in batch.records {
                rings.write(&Record::Leaves(record)).expect("it is kept");
            }
            table.written(batch.change);
        }
    }
    assert!(memory.bytes() <= LEAVES_BOUND, "{}", memory.bytes());
    assert_eq!(on_disk(memory).len(), table.len());
}

#[test]
fn a_newest_record_that_is_overwritten_is_found() {
    let lost = (0..60).any(|torn_after| {
        let memory = Memory::default();
        left_after_a_torn_write(&memory, OneFile(memory.clone()), torn_after).is_empty()
    });
    assert!(lost);
}
