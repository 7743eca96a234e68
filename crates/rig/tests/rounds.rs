//! Rounds of real processes for the hard cases of the design, and mutants that show that the checks detect errors.

use runtrack_rig::check::{Rule, check_history};
use runtrack_rig::history::{Event, EventKind};
use runtrack_rig::round;
use runtrack_rig::script::{Fault, FaultKind, InstanceRef, LinkFault, Script};
use std::collections::BTreeSet;

fn fault(at: u32, lasts: u32, what: FaultKind) -> Fault {
    Fault { at, lasts, what }
}

async fn play(instances: u32, lasts: u32, faults: Vec<Fault>, mutant: Option<&str>) -> Vec<Event> {
    let script = Script { seed: 1, instances, proxies: 4, lasts, faults };
    match round::play(&script, mutant).await {
        Ok(events) => events,
        Err(problem) => panic!("the round failed to run: {problem}"),
    }
}

/// Asserts that no rule is violated and that the round did a minimum of work.
fn assert_no_violations(events: &[Event]) {
    let verdict = check_history(events);
    assert_eq!(verdict.violations, []);
    assert!(verdict.undecided_keys.is_empty(), "{:?}", verdict.undecided_keys);
    let commits =
        events.iter().filter(|e| matches!(e.what, EventKind::Commit { serial: Some(_), .. })).count();
    assert!(commits > 5, "{commits} commits in all");
}

fn terms(events: &[Event]) -> usize {
    let terms = events.iter().filter_map(|e| match e.what {
        EventKind::Stood { term, leads: true, .. } => Some(term),
        _ => None,
    });
    terms.collect::<BTreeSet<u64>>().len()
}

/// Hard case 1: the leader is killed, paused for ten election time-outs, cut off, and cut off in one direction.
#[tokio::test(flavor = "multi_thread")]
async fn losing_the_leader_violates_no_rule() {
    let leader = InstanceRef::Leader;
    let faults = vec![
        fault(300, 0, FaultKind::Drain),
        fault(500, 800, FaultKind::Kill { who: leader }),
        fault(2_500, 4_000, FaultKind::Stop { who: leader }),
        fault(4_000, 0, FaultKind::Drain),
        fault(8_000, 2_000, FaultKind::Cut { who: leader, how: LinkFault::Held }),
        fault(9_000, 0, FaultKind::Drain),
        fault(11_500, 2_000, FaultKind::Cut { who: leader, how: LinkFault::HeldThere }),
        fault(12_000, 0, FaultKind::Move { proxy: 1, to: 0 }),
        fault(14_500, 1_500, FaultKind::Cut { who: leader, how: LinkFault::HeldBack }),
        fault(15_000, 0, FaultKind::Move { proxy: 0, to: 1 }),
    ];
    let events = play(3, 17_000, faults, None).await;
    assert_no_violations(&events);
    assert!(terms(&events) >= 4, "each lost leader was followed by another: {} terms", terms(&events));
}

/// Hard cases 2 and 4: three of five members stop and return, one of them without its folder; at the end none of the
/// first three members is left.
#[tokio::test(flavor = "multi_thread")]
async fn members_that_lose_their_folders_are_replaced_one_after_the_other() {
    let one = InstanceRef::Instance;
    let faults = vec![
        fault(500, 2_000, FaultKind::Kill { who: one(3) }),
        fault(700, 1_500, FaultKind::Kill { who: one(4) }),
        fault(900, 300, FaultKind::Lose { who: one(0) }),
        fault(6_000, 300, FaultKind::Lose { who: one(1) }),
        fault(6_500, 0, FaultKind::Drain),
        fault(11_000, 300, FaultKind::Lose { who: one(2) }),
        fault(15_000, 800, FaultKind::PowerOff),
    ];
    let events = play(5, 17_000, faults, None).await;
    assert_no_violations(&events);
    let replaced = events
        .iter()
        .filter(|e| matches!(&e.what, EventKind::Fault { what } if what == "replaced"))
        .count();
    assert_eq!(replaced, 3);
}

/// Hard case 5: flapping links, and links that are slow or blocked.
#[tokio::test(flavor = "multi_thread")]
async fn flapping_and_slow_links_cause_few_elections() {
    let one = InstanceRef::Instance;
    let faults = vec![
        fault(500, 5_000, FaultKind::Link { from: one(0), to: one(1), how: LinkFault::Flaps(10) }),
        fault(500, 9_000, FaultKind::Link { from: one(1), to: one(2), how: LinkFault::Late(100) }),
        fault(2_000, 0, FaultKind::Drain),
        fault(6_000, 400, FaultKind::Link { from: one(2), to: one(0), how: LinkFault::Held }),
        fault(7_000, 2_500, FaultKind::Blind { who: one(1) }),
        fault(7_500, 0, FaultKind::Drain),
    ];
    let events = play(3, 10_000, faults, None).await;
    assert_no_violations(&events);
    assert!(terms(&events) <= 4, "{} terms in 10 s", terms(&events));
}

/// Hard case 3: the first instance that `runtrackctl apply` calls is killed at varying times; a repeated apply gives
/// the same answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_apply_whose_instance_is_killed_commits_at_most_once() {
    let mut faults = Vec::new();
    for n in 0..6 {
        let at = 300 + n * 2_200;
        faults.push(fault(at, 0, FaultKind::Apply));
        faults.push(fault(at + 15 + n * 12, 700, FaultKind::Kill { who: InstanceRef::Instance(0) }));
    }
    let events = play(3, 14_000, faults, None).await;
    assert_no_violations(&events);
    let said =
        |e: &&Event| e.who == "runtrackctl" && matches!(e.what, EventKind::Commit { serial: Some(_), .. });
    let applied = events.iter().filter(said).count();
    assert!(
        applied >= 8,
        "{applied} of 12 and more calls of `runtrackctl apply` were answered with a serial"
    );
}

/// Shows that the checks can fail: each of these mutants is detected.
#[tokio::test(flavor = "multi_thread")]
async fn planted_errors_are_found() {
    // An isolated instance answers consistent reads from its local state.
    let cut =
        vec![fault(500, 3_500, FaultKind::Cut { who: InstanceRef::Instance(2), how: LinkFault::Held })];
    let events = play(3, 5_000, cut, Some("lone-read")).await;
    let broken: Vec<Rule> =
        check_history(&events).violations.iter().map(|violation| violation.rule).collect();
    assert!(broken.contains(&Rule::Order), "{broken:?}");
    // A version is sent to proxies that hold a higher index.
    let blind = vec![
        fault(500, 5_000, FaultKind::Cut { who: InstanceRef::Instance(2), how: LinkFault::Held }),
        fault(4_000, 0, FaultKind::Move { proxy: 0, to: 2 }),
        fault(4_000, 0, FaultKind::Move { proxy: 1, to: 2 }),
    ];
    let events = play(3, 7_000, blind, Some("goes-back")).await;
    let broken: Vec<Rule> =
        check_history(&events).violations.iter().map(|violation| violation.rule).collect();
    assert!(broken.contains(&Rule::Back), "{broken:?}");
}
