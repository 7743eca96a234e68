//! Worlds drawn from seeds: none breaks the register, and each planted error is found within a few.

mod support;

use support::checker::{Event, History, check};
use support::world::{Planted, World};

/// Seeds that CI plays; `REGISTER_SEEDS` asks for more.
const SEEDS: u64 = 2000;
/// A planted error must be found within so many.
const FOUND_WITHIN: u64 = 3000;

#[test]
fn no_world_breaks_the_register() {
    let seeds = std::env::var("REGISTER_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS);
    let (mut acknowledged, mut refused, mut reads) = (0, 0, 0);
    for seed in 0..seeds {
        let history = World::new(seed, Planted::Nothing).play();
        if let Some(problem) = check(&history) {
            panic!("seed {seed}: {problem}\n{:?}", history.events);
        }
        acknowledged += count(&history, |event| matches!(event, Event::Acknowledged { .. }));
        refused += count(&history, |event| matches!(event, Event::Refused { .. }));
        reads += count(&history, |event| matches!(event, Event::Read { .. }));
    }
    println!("{seeds} worlds: {acknowledged} acknowledged, {refused} refused, {reads} read");
    assert!(acknowledged > seeds && refused > seeds / 4 && reads > seeds, "the worlds do too little");
}

fn count(history: &History, such: impl Fn(&Event) -> bool) -> u64 {
    history.events.iter().filter(|event| such(event)).count() as u64
}

fn first_found(planted: Planted, from: u64) -> Option<u64> {
    (from..from + FOUND_WITHIN)
        .find(|seed| check(&World::new(*seed, planted).play()).is_some())
        .map(|seed| seed - from)
}

#[test]
fn each_planted_error_is_found() {
    let planted = [
        Planted::PromiseNotSynced,
        Planted::ValueNotSynced,
        Planted::WipedMemberVotes,
        Planted::BallotReused,
        Planted::PromiseForgotten,
        Planted::RefusalCounted,
        Planted::RefusedTooSoon,
        Planted::UnknownRefused,
        Planted::AcknowledgedTooSoon,
        Planted::ReadUnchosen,
        Planted::ValueKept,
        Planted::AppliedForgotten,
        Planted::BallotsShared,
    ];
    let mut missed = Vec::new();
    for error in planted {
        let mut found: Vec<Option<u64>> = (0..3).map(|start| first_found(error, start * 100_000)).collect();
        found.sort_by_key(|found| found.unwrap_or(u64::MAX));
        println!("{error:?}: found after {found:?} worlds");
        if found[1].is_none() {
            missed.push(error);
        }
    }
    assert_eq!(missed, [], "not found in two of three starts");
}
