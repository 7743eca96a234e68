//! Rates, means and draws, which the module keeps to itself: their source is part of this test.

#[path = "../src/stats.rs"]
#[allow(dead_code)]
mod stats;

use stats::{Draws, Fading, Latency, Turn};
use std::time::Duration;

#[test]
fn a_steady_count_reads_as_its_rate() {
    let mut count = Fading::default();
    for n in 0..4000 {
        count.count(Duration::from_millis(n * 10), 5.0);
    }
    let rate = count.read(Duration::from_secs(40), 5.0);
    assert!((95.0..105.0).contains(&rate), "{rate} a second, not a hundred");
    assert!(count.read(Duration::from_secs(45), 5.0) < rate / 2.5, "it fades");
}

#[test]
fn the_unhurried_mean_goes_by_the_order_of_sending() {
    let (longest, ms) = (Duration::from_secs(2), Duration::from_millis);
    let mut latency = Latency::default();
    let turns: Vec<Turn> = (0..10).map(|n| latency.sent(ms(n))).collect();
    // Sent at once, they end shortest first: 100, 200, ... 1,000 ms, the first sent last of all.
    for (n, turn) in turns.iter().rev().enumerate() {
        let took = 0.1 * (n + 1) as f64;
        assert_eq!(latency.unhurried(), None, "nothing is settled while the first one is out");
        latency.ended(ms(100 * (n as u64 + 1)), *turn, Some(took), longest);
    }
    let unhurried = latency.unhurried().expect("all have ended");
    assert!((0.5..=1.0).contains(&unhurried), "{unhurried}: no less than the mean of any run of them");
    assert!(latency.calls.is_empty());
}

#[test]
fn a_call_that_never_ends_holds_up_the_others_only_so_long() {
    let (longest, ms) = (Duration::from_secs(2), Duration::from_millis);
    let mut latency = Latency::default();
    latency.sent(ms(0));
    for n in 1..100 {
        let turn = latency.sent(ms(50 * n));
        latency.ended(ms(50 * n + 10), turn, Some(0.01), longest);
    }
    assert!(latency.unhurried().is_some_and(|mean| mean < 2.0), "{:?}", latency.unhurried());
    assert!(latency.calls.len() < 2, "{} calls kept", latency.calls.len());
}

#[test]
fn draws_are_even_and_repeat_with_the_seed() {
    let (mut a, mut b, mut counts) = (Draws::new(3), Draws::new(3), [0; 7]);
    for _ in 0..7000 {
        let draw = a.below(7);
        assert_eq!(draw, b.below(7));
        counts[draw] += 1;
    }
    assert!(counts.iter().all(|n| (880..1120).contains(n)), "{counts:?}");
    assert!((0.0..1.0).contains(&a.uniform()));
}
