//! An acknowledged leave of an endpoint is on the disks of a majority: it survives the loss of all controller processes, also
//! for an agent that was partitioned meanwhile. In virtual time.

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
/// Duration of a write that is still in progress when the next step of a test happens.
const SLOW_WRITE: Duration = Duration::from_millis(300);
/// Endpoints wait one second for an acknowledgement.
const ANSWER_BOUND: Duration = Duration::from_millis(1000);
/// Duration of a sync on an ordinary disk.
const SYNC: Duration = Duration::from_millis(1);
/// Virtual time after which the cluster has settled.
const SETTLE_WAIT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// 1,600 endpoints a day are replaced.
const LEAVES_OF_A_MONTH: usize = 30 * 1_600;
/// Maximum total size of the files with leaves in bytes: 16 rings of three files.
const LEAVES_BOUND: usize = 16 * 3 * (65 << 10);
/// Number of endpoints that leave at once in a release.
const RELEASED_ENDPOINTS: usize = 1000;

fn state_at(copy: &Gossip, id: &str) -> Option<EndpointState> {
    copy.replica().registry().get(key_of(id)).map(|record| record.state)
}

/// Whether a replica reaches this state or a later one.
async fn reaches_state(copy: &Gossip, id: &str, state: EndpointState) -> bool {
    let waits = async {
        while state_at(copy, id) < Some(state) {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(SETTLE_WAIT, waits).await.is_ok()
}

/// An agent that knows an endpoint as ready is partitioned, the endpoint's leave is acknowledged, and all controllers lose
/// power at once. Returns whether the agent learns of the leave after the restart.
async fn leave_survives_power_loss() -> bool {
    let mut world = World::with_three_members(3, SETTLE_S).await;
    let agent = world.agent();
    assert_eq!(world.heartbeat(0, ENDPOINT, "ready").await.0, 200);
    assert!(reaches_state(&agent, ENDPOINT, EndpointState::Ready).await);
    world.cut_agent(true);
    (0..3).for_each(|machine| world.slow_disk(machine, SLOW_WRITE));
    assert_eq!(world.heartbeat(0, ENDPOINT, "draining").await.0, 200);
    for machine in 0..3 {
        world.lose_power(machine).await;
    }
    for machine in 0..3 {
        world.slow_disk(machine, Duration::ZERO);
        world.start(machine, false);
    }
    world.cut_agent(false);
    reaches_state(&agent, ENDPOINT, EndpointState::Draining).await
}

#[test]
fn an_acknowledged_leave_survives_a_power_loss_of_all_members() {
    run(async { assert!(leave_survives_power_loss().await) });
}

#[test]
fn each_mutant_is_found() {
    for error in ["leave-confirmed-before-durable", "leaves-not-read"] {
        run(async {
            set_mutant(Some(error));
            let remembered = leave_survives_power_loss().await;
            set_mutant(None);
            assert!(!remembered, "{error}");
        });
    }
}

#[test]
fn leaves_do_not_wait_for_one_full_disk() {
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
fn leaves_are_not_acknowledged_while_two_disks_are_full() {
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
fn leaves_do_not_wait_for_one_stalled_disk() {
    run(async {
        let world = World::with_three_members(3, SETTLE_S).await;
        world.slow_disk(1, SETTLE_WAIT);
        for (machine, id) in [(0, "one"), (1, "two")] {
            let (status, took) = world.heartbeat(machine, id, "draining").await;
            assert_eq!(status, 200, "at {machine}");
            assert!(took < ANSWER_BOUND / 10, "at {machine}: {took:?}");
        }
    });
}

/// Replaces a lost member by a machine whose disk rejects leaves; returns whether it becomes a member.
async fn joins_without_leaves() -> bool {
    let mut world = World::with_three_members(4, SETTLE_S).await;
    assert_eq!(world.heartbeat(0, ENDPOINT, "draining").await.0, 200);
    world.reject_leaves(3, true);
    world.kill(2).await;
    world.start(3, false);
    sleep(SETTLE_WAIT).await;
    let joined = !world.lines(3, "member.joined").is_empty();
    world.reject_leaves(3, false);
    world.wait_for_event(3, "member.joined", "").await;
    joined
}

#[test]
fn a_joining_member_stores_the_acknowledged_leaves_first() {
    run(async { assert!(!joins_without_leaves().await) });
}

#[test]
fn the_mutant_that_joins_without_leaves_is_detected() {
    run(async {
        set_mutant(Some("joins-without-leaves"));
        let joined = joins_without_leaves().await;
        set_mutant(None);
        assert!(joined);
    });
}

#[test]
fn a_replacement_knows_the_leaves_that_the_lost_member_confirmed() {
    run(async {
        let mut world = World::with_three_members(4, SETTLE_S).await;
        // Members 0 and 1 confirm; member 2 is partitioned.
        world.cut(0, 2, true);
        world.cut(1, 2, true);
        world.wait_for_event(2, "contact.lost", "").await;
        assert_eq!(world.heartbeat(0, ENDPOINT, "draining").await.0, 200);
        world.kill(1).await;
        world.disk(1).wipe();
        world.cut(0, 2, false);
        world.cut(1, 2, false);
        world.start(1, false);
        world.wait_for_event(1, "controller.start", "\"first_boot\":false").await;
        world.wait_for_event(1, "member.joined", "").await;
        for machine in 0..3 {
            world.lose_power(machine).await;
        }
        world.disk(0).wipe();
        world.disk(2).wipe();
        world.start(1, false);
        let agent = world.agent();
        assert!(
            reaches_state(&agent, ENDPOINT, EndpointState::Draining).await,
            "it is on the new member's disk"
        );
    });
}

#[test]
fn a_thousand_concurrent_leaves_share_few_syncs() {
    run(async {
        let world = Rc::new(World::with_three_members(3, SETTLE_S).await);
        (0..3).for_each(|machine| world.slow_disk(machine, SYNC));
        let (status, alone) = world.heartbeat(0, "alone", "draining").await;
        assert_eq!(status, 200);
        let before: Vec<usize> = (0..3).map(|machine| world.leave_writes(machine)).collect();
        let since = tokio::time::Instant::now();
        let calls: Vec<_> = (0..RELEASED_ENDPOINTS)
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
        println!("one leave {alone:?}, {RELEASED_ENDPOINTS} at once {all:?}, writes {writes:?}");
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
    let (rings, _) = Rings::open(files, || 0).expect("the disk can be opened");
    let records = rings.recovered_leaves().iter();
    records.flat_map(LeaveRecord::endpoints).map(|endpoint| endpoint.id.as_string()).collect()
}

/// Power is lost after `torn_after` bytes of the write of a second leave. Returns the endpoints recovered from the disk.
fn recovered_after_torn_write<F: Files + Clone>(
    memory: &Memory,
    files: F,
    torn_after: usize,
) -> Vec<String> {
    let (mut rings, _) = Rings::open(files.clone(), || 0).expect("the disk can be opened");
    rings.write(&Record::Leaves(record_of(&["first"]))).expect("the record is written");
    memory.tear_next(torn_after);
    assert!(rings.write(&Record::Leaves(record_of(&["first", "second"]))).is_err());
    on_disk(files)
}

/// A disk that writes all records of a ring into one file, so that the newest one is overwritten.
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
fn a_torn_write_loses_only_unacknowledged_leaves() {
    for torn_after in 0..60 {
        let memory = Memory::default();
        let left = recovered_after_torn_write(&memory, memory.clone(), torn_after);
        assert!(left.contains(&"first".to_owned()), "torn after {torn_after}: {left:?}");
    }
}

#[test]
fn leaves_stay_within_their_disk_bound_and_none_in_the_table_is_lost() {
    let memory = Memory::default();
    let (mut rings, _) = Rings::open(memory.clone(), || 0).expect("the disk can be opened");
    let mut table = LeaveTable::default();
    for number in 0..LEAVES_OF_A_MONTH {
        table.note(&gone(&format!("llm-7f9c-zone-a-0123456789abcdef-{number:08}")));
        if number % 500 == 0 || number + 1 == LEAVES_OF_A_MONTH {
            let batch = table.batch().expect("something to write");
            for record in batch.records {
                rings.write(&Record::Leaves(record)).expect("the record is written");
            }
            table.written(batch.change);
        }
    }
    assert!(memory.bytes() <= LEAVES_BOUND, "{}", memory.bytes());
    assert_eq!(on_disk(memory).len(), table.len());
}

#[test]
fn overwriting_the_newest_record_in_place_loses_a_leave() {
    let lost = (0..60).any(|torn_after| {
        let memory = Memory::default();
        recovered_after_torn_write(&memory, OneFile(memory.clone()), torn_after).is_empty()
    });
    assert!(lost);
}
