//! Model checking: an exhaustive search over all interleavings of messages, losses and restarts within small bounds, with the
//! actual rounds and acceptors. All invariants hold, and each mutant violates one, with a shortest counterexample.
#![allow(dead_code, reason = "the support modules serve several test files")]

mod actions;
mod audit;
mod initial;
mod intern;
mod machine;
mod rules;
mod scenario;
mod search;
mod state;
mod steps;
#[path = "../support/mod.rs"]
mod support;
mod trace;

use scenario::{Network, Scenario};
use search::{Report, search};
use std::time::Instant;
use support::mutants::Mutant;

/// Bounded by memory: about 150 bytes a state, including the frontier.
const MAX_STATES: usize = 30_000_000;

fn run(scenario: Scenario) -> Report {
    let label = format!("{} {:?} {:?}", scenario.name, scenario.network, scenario.mutant);
    let began = Instant::now();
    let report = search(scenario, MAX_STATES);
    let seconds = began.elapsed().as_secs_f64();
    let (rounds, members, values) = report.sizes;
    println!(
        "{label}: {} states, depth {}, {} steps, {rounds} rounds, {members} members, {values} values, {seconds:.1} s",
        report.states, report.depth, report.steps
    );
    report
}

fn holds(scenario: Scenario) {
    let report = run(scenario);
    if let Some(counterexample) = &report.counterexample {
        panic!("{}\n{}", counterexample.violation.0, counterexample.trace);
    }
    assert!(report.complete, "not all states were met");
}

/// Scenarios searched in CI.
fn small() -> Vec<Scenario> {
    vec![
        Scenario { rounds: [2, 2], restarts: 0, ..scenario::race() },
        Scenario { rounds: [2, 1], restarts: 1, adopt: true, ..scenario::race() },
        Scenario { rounds: [2, 2], ..scenario::equal_versions() },
        Scenario { rounds: [2, 2], ..scenario::retries() },
        Scenario { rounds: [1, 2], ..scenario::replacement() },
        Scenario { rounds: [1, 2], ..scenario::wipe() },
        Scenario { rounds: [2, 1], ..scenario::late_copy() },
        Scenario { rounds: [1, 1], restarts: 0, reads: 2, ..scenario::race() },
        Scenario { rounds: [0, 2], reads: 1, ..scenario::replacement() },
        Scenario { rounds: [1, 1], reads: 1, ..scenario::wipe() },
        Scenario { rounds: [1, 1], reads: 1, ..scenario::late_copy() },
        Scenario { rounds: [1, 2], ..scenario::growth() },
        Scenario { rounds: [1, 2], ..scenario::early_wipe() },
    ]
}

/// Scenarios with more rounds, selected by `REGISTER_MODEL=large` or by a scenario's name.
fn large() -> Vec<Scenario> {
    vec![
        Scenario { rounds: [3, 2], restarts: 0, ..scenario::race() },
        Scenario { rounds: [2, 2], restarts: 1, adopt: true, ..scenario::race() },
        Scenario { rounds: [3, 2], ..scenario::equal_versions() },
        Scenario { rounds: [3, 2], ..scenario::retries() },
        Scenario { rounds: [2, 2], ..scenario::late_copy() },
        Scenario { rounds: [1, 1], network: Network::Full, ..scenario::replacement() },
        Scenario { rounds: [2, 2], ..scenario::wipe() },
        Scenario { rounds: [1, 3], ..scenario::wipe() },
        Scenario { rounds: [1, 3], ..scenario::wipe().with_rival() },
        Scenario { rounds: [1, 2], ..scenario::replacement().with_rival() },
        Scenario { rounds: [2, 1], ..scenario::replacement() },
        Scenario { rounds: [1, 3], ..scenario::replacement() },
        Scenario { rounds: [2, 2], ..scenario::growth() },
        Scenario { rounds: [1, 3], ..scenario::early_wipe() },
    ]
}

/// Scenarios with quorum reads, selected by `REGISTER_MODEL=reads`.
fn reads() -> Vec<Scenario> {
    vec![
        Scenario { rounds: [2, 1], restarts: 0, reads: 2, ..scenario::race() },
        Scenario { rounds: [2, 2], restarts: 0, reads: 1, ..scenario::race() },
        Scenario { rounds: [1, 1], restarts: 1, reads: 1, adopt: true, ..scenario::race() },
        Scenario { rounds: [1, 1], reads: 2, ..scenario::late_copy() },
        Scenario { rounds: [0, 2], reads: 2, ..scenario::replacement() },
        Scenario { rounds: [0, 3], reads: 1, ..scenario::replacement() },
        Scenario { rounds: [0, 3], reads: 1, ..scenario::replacement().with_rival() },
        Scenario { rounds: [1, 1], reads: 1, ..scenario::replacement() },
        Scenario { rounds: [1, 1], reads: 2, ..scenario::wipe() },
        Scenario { rounds: [0, 3], reads: 1, ..scenario::wipe() },
        Scenario { rounds: [1, 2], reads: 1, ..scenario::wipe() },
    ]
}

#[test]
fn every_interleaving_within_the_bounds_satisfies_the_invariants() {
    small().into_iter().for_each(holds);
}

#[test]
fn every_interleaving_within_larger_bounds_satisfies_the_invariants() {
    let which = std::env::var("REGISTER_MODEL").unwrap_or_default();
    if which == "reads" {
        reads().into_iter().for_each(holds);
    }
    large().into_iter().filter(|scenario| which == "large" || which == scenario.name).for_each(holds);
}

/// Mutants, each with a scenario that detects it.
fn mutants() -> Vec<(Mutant, Scenario)> {
    let race = || Scenario { rounds: [2, 2], restarts: 1, ..scenario::race() };
    let replacement = || Scenario { rounds: [2, 2], ..scenario::replacement() };
    let wipe = || Scenario { rounds: [1, 1], ..scenario::wipe() };
    let older = || Scenario { rounds: [1, 1], ..scenario::older_disk() };
    let reading = |scenario| Scenario { rounds: [1, 1], restarts: 0, reads: 2, ..scenario };
    vec![
        (Mutant::PromiseNotSynced, race()),
        (Mutant::ValueNotSynced, race()),
        (Mutant::WipedMemberVotes, wipe()),
        (Mutant::BallotReused, race()),
        (Mutant::PromiseForgotten, race()),
        (Mutant::RefusalCounted, race()),
        (Mutant::RefusedTooSoon, race()),
        (Mutant::UnknownRefused, race()),
        (Mutant::AcknowledgedTooSoon, race()),
        (Mutant::ReadUnchosen, race()),
        (Mutant::ValueKept, race()),
        (Mutant::AppliedForgotten, race()),
        (Mutant::BallotsShared, race()),
        (Mutant::TableLostAtMembership, replacement()),
        (Mutant::FloorForgotten, scenario::retries()),
        (Mutant::BaseAboveRefused, scenario::retries()),
        (Mutant::DigestTruncated, scenario::equal_versions()),
        (Mutant::SecondHalfOnUnchosen, replacement()),
        (Mutant::NewSetAlone, replacement()),
        (Mutant::NewSetAlone, Scenario { rounds: [2, 2], ..scenario::early_wipe() }),
        (Mutant::SecondHalfOnUnchosen, Scenario { rounds: [2, 2], ..scenario::early_wipe() }),
        (Mutant::PromiseLoweredByAdopting, scenario::late_copy()),
        (Mutant::OlderDiskAccepted, older()),
        (Mutant::HighestRead, reading(scenario::race())),
        (Mutant::OldSetReads, reading(scenario::replacement())),
        (Mutant::UnsyncedReported, reading(scenario::race())),
        (Mutant::InspectedBeforeDiskCheck, reading(scenario::older_disk())),
    ]
}

#[test]
fn each_mutant_has_a_shortest_counterexample() {
    for (mutant, scenario) in mutants() {
        let report = run(scenario.with(mutant));
        let found = report.counterexample.unwrap_or_else(|| panic!("{mutant:?} is not found"));
        println!("{mutant:?} after {} steps:\n{}", found.steps, found.trace);
    }
}

/// Mutants that two concurrent rounds can detect, with one round at each proposer.
const IN_A_RACE: [Mutant; 10] = [
    Mutant::None,
    Mutant::PromiseNotSynced,
    Mutant::ValueNotSynced,
    Mutant::PromiseForgotten,
    Mutant::RefusalCounted,
    Mutant::RefusedTooSoon,
    Mutant::UnknownRefused,
    Mutant::AcknowledgedTooSoon,
    Mutant::ValueKept,
    Mutant::BallotsShared,
];

#[test]
fn the_verdicts_are_the_same_without_the_reductions() {
    for mutant in IN_A_RACE {
        let verdict = |network| {
            let scenario = Scenario { rounds: [1, 1], restarts: 0, network, ..scenario::race() };
            run(scenario.with(mutant)).counterexample.map(|found| found.violation)
        };
        let (reduced, full) = (verdict(Network::Reduced), verdict(Network::Full));
        assert_eq!(reduced.is_some(), full.is_some(), "{mutant:?}: {reduced:?} {full:?}");
    }
}
