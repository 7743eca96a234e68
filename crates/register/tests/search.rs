//! Randomized simulation: no seed violates the register's guarantees, and each mutant is detected within a bounded number of
//! seeds.

mod support;

use support::checker::{Event, History, check};
use support::mutants::Mutant;
use support::world::{SETUP_OPERATION, World};

/// Number of seeds in CI; `REGISTER_SEEDS` overrides it.
const SEEDS: u64 = 2000;
/// Maximum number of seeds until a mutant is detected.
const MAX_SEEDS_TO_FIND: u64 = 3000;
/// Maximum of the median number of seeds until a mutant is detected.
const MAX_MEDIAN_SEEDS: u64 = 100;

#[derive(Debug, Default)]
struct Totals {
    acknowledged: u64,
    refused: u64,
    reads: u64,
    restores: u64,
    unknown_restores: u64,
    quorum_reads: u64,
    unsettled_reads: u64,
    all_replaced: u64,
    changed_before_first_value: u64,
}

#[test]
fn no_simulated_run_violates_the_register() {
    let seeds = std::env::var("REGISTER_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS);
    let mut totals = Totals::default();
    for seed in 0..seeds {
        let result = World::new(seed, Mutant::None).run();
        if let Some(problem) = check(&result.history) {
            panic!("seed {seed}: {problem}\n{:?}", result.history);
        }
        let history = result.history;
        totals.acknowledged += count(
            &history,
            |event| matches!(event, Event::Acknowledged { id, .. } if *id != SETUP_OPERATION),
        );
        totals.refused += count(&history, |event| matches!(event, Event::Refused { .. }));
        totals.reads += count(&history, |event| matches!(event, Event::Read { .. }));
        totals.restores += result.restores;
        totals.unknown_restores += result.unknown_restores;
        totals.quorum_reads += result.quorum_reads;
        totals.unsettled_reads += result.unsettled_reads;
        totals.all_replaced += u64::from(result.all_replaced);
        totals.changed_before_first_value += u64::from(result.changed_before_first_value);
    }
    println!("{seeds} worlds: {totals:?}");
    let Totals { acknowledged, refused, reads, restores, all_replaced, quorum_reads, .. } = totals;
    assert!(acknowledged > seeds && refused > seeds / 4 && reads > seeds, "the worlds do too little");
    assert!(quorum_reads > seeds, "hardly any quorum read is answered");
    assert!(restores > seeds / 100, "hardly any older disk is restored");
    assert!(all_replaced > seeds / 100, "hardly ever are all members replaced");
    let early = totals.changed_before_first_value;
    assert!(early > seeds / 100, "hardly ever do members change before the first value");
}

fn count(history: &History, such: impl Fn(&Event) -> bool) -> u64 {
    history.events.iter().filter(|event| such(event)).count() as u64
}

fn first_found(mutant: Mutant, from: u64) -> Option<u64> {
    (from..from + MAX_SEEDS_TO_FIND)
        .find(|seed| check(&World::new(*seed, mutant).run().history).is_some())
        .map(|seed| seed - from)
}

#[test]
fn each_mutant_is_found() {
    let mut missed = Vec::new();
    for mutant in Mutant::ALL.into_iter().filter(|mutant| *mutant != Mutant::None) {
        let mut found: Vec<Option<u64>> =
            (0..3).map(|start| first_found(mutant, start * 100_000)).collect();
        found.sort_by_key(|found| found.unwrap_or(u64::MAX));
        println!("{mutant:?}: found after {found:?} worlds");
        if found[1].is_none_or(|median| median > MAX_MEDIAN_SEEDS) {
            missed.push(mutant);
        }
    }
    assert_eq!(missed, [], "the median of three starts is above {MAX_MEDIAN_SEEDS} worlds");
}
