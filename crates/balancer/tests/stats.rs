//! Tests of the private module `stats`, whose source is included here.

#[path = "../src/stats.rs"]
#[allow(dead_code)]
mod stats;

use stats::{CallSeq, Decaying, Latency, Rng};
use std::time::Duration;

#[test]
fn steady_count_reads_as_its_rate() {
    let mut count = Decaying::default();
    for n in 0..4000 {
        count.count(Duration::from_millis(n * 10), 5.0);
    }
    let rate = count.read(Duration::from_secs(40), 5.0);
    assert!((95.0..105.0).contains(&rate), "{rate} per second, expected 100");
    assert!(count.read(Duration::from_secs(45), 5.0) < rate / 2.5, "it decays");
}

#[test]
fn baseline_follows_send_order() {
    let (max_wait, ms) = (Duration::from_secs(2), Duration::from_millis);
    let mut latency = Latency::default();
    let seqs: Vec<CallSeq> = (0..10).map(|n| latency.sent(ms(n))).collect();
    // Sent at the same time, they end shortest first: 100, 200, ... 1,000 ms, the one sent first ending last.
    for (n, seq) in seqs.iter().rev().enumerate() {
        let took = 0.1 * (n + 1) as f64;
        assert_eq!(latency.baseline(), None, "no baseline while the first call is in flight");
        latency.ended(ms(100 * (n as u64 + 1)), *seq, Some(took), max_wait);
    }
    let baseline = latency.baseline().expect("all have ended");
    assert!((0.5..=1.0).contains(&baseline), "{baseline}: at least the mean of any run of them");
    assert!(latency.calls.is_empty());
}

#[test]
fn call_without_end_delays_baseline_for_bounded_time() {
    let (max_wait, ms) = (Duration::from_secs(2), Duration::from_millis);
    let mut latency = Latency::default();
    latency.sent(ms(0));
    for n in 1..100 {
        let seq = latency.sent(ms(50 * n));
        latency.ended(ms(50 * n + 10), seq, Some(0.01), max_wait);
    }
    assert!(latency.baseline().is_some_and(|mean| mean < 2.0), "{:?}", latency.baseline());
    assert!(latency.calls.len() < 2, "{} calls kept", latency.calls.len());
}

#[test]
fn draws_are_uniform_and_reproducible() {
    let (mut a, mut b, mut counts) = (Rng::new(3), Rng::new(3), [0; 7]);
    for _ in 0..7000 {
        let draw = a.below(7);
        assert_eq!(draw, b.below(7));
        counts[draw] += 1;
    }
    assert!(counts.iter().all(|n| (880..1120).contains(n)), "{counts:?}");
    assert!((0.0..1.0).contains(&a.uniform()));
}
