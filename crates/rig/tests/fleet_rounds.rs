//! Short rounds of the fleet's processes with several overlapping faults.

use runtrack_rig::fleet::check::check_history;
use runtrack_rig::fleet::history::{Event, EventKind};
use runtrack_rig::fleet::play;
use runtrack_rig::fleet::script::{Cut, Fault, FaultKind, Script};

fn fault(at: u32, lasts: u32, what: FaultKind) -> Fault {
    Fault { at, lasts, what }
}

async fn assert_no_violations(script: Script) {
    let events = match play(&script).await {
        Ok(events) => events,
        Err(problem) => panic!("the round failed to run: {problem}"),
    };
    let verdict = check_history(&events);
    assert_eq!(verdict.violations, []);
    let acknowledged = |event: &&Event| matches!(event.what, EventKind::Replace { status: Some(200), .. });
    let count = events.iter().filter(acknowledged).count();
    assert!(count > 1, "{count} changes were acknowledged in all, the first one included");
}

fn round(seed: u64, members: usize, lasts: u32, faults: Vec<Fault>) -> Script {
    Script { seed, members, agents: 1, lasts, pause: 60, quiet_from: None, faults }
}

#[tokio::test(flavor = "multi_thread")]
async fn members_killed_stopped_and_cut_off_at_once_lose_nothing() {
    let faults = vec![
        fault(500, 2_500, FaultKind::Stop { member: 0 }),
        fault(1_000, 1_000, FaultKind::Kill { member: 1 }),
        fault(2_500, 1_500, FaultKind::CutMember { member: 2, cut: Cut::Outbound }),
        fault(4_500, 300, FaultKind::PowerOff),
    ];
    assert_no_violations(round(1, 3, 6_000, faults)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wiped_disk_and_a_loss_of_power_after_it_lose_nothing() {
    let faults =
        vec![fault(500, 300, FaultKind::Wipe { member: 0 }), fault(5_800, 300, FaultKind::PowerOff)];
    assert_no_violations(round(2, 3, 7_000, faults)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_old_disk_put_back_beside_members_in_touch_loses_nothing() {
    let faults = vec![
        fault(500, 300, FaultKind::Restore { member: 2, age: 1_500 }),
        fault(500, 1_000, FaultKind::KillAgent { agent: 0 }),
        fault(7_500, 300, FaultKind::Kill { member: 0 }),
    ];
    assert_no_violations(round(3, 3, 8_500, faults)).await;
}
