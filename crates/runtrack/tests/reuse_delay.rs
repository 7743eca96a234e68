//! Tests of the delay before a connection to an endpoint is reused.

use runtrack::net::reuse_delay::{
    INITIAL_DELAY, MAX_DELAY, MIN_DELAY, RECOVERY_TIME, ReuseDelay, SILENCES_TO_HALVE,
};
use std::time::Duration;
use tokio::time::Instant;

fn record_silences(delay: &mut ReuseDelay, count: u32, now: Instant) {
    (0..count).for_each(|_| delay.record_silence(now));
}

#[test]
fn silent_connections_shorten_the_delay_down_to_the_minimum() {
    let (mut delay, now) = (ReuseDelay::default(), Instant::now());
    record_silences(&mut delay, SILENCES_TO_HALVE - 1, now);
    assert_eq!(delay.delay(), INITIAL_DELAY, "one silence is missing");
    record_silences(&mut delay, 1, now);
    assert_eq!(delay.delay(), INITIAL_DELAY / 2);
    record_silences(&mut delay, 100 * SILENCES_TO_HALVE, now);
    assert_eq!(delay.delay(), MIN_DELAY);
}

#[test]
fn one_unsolicited_answer_resets_the_delay_until_the_recovery_time_has_passed() {
    let (mut delay, now) = (ReuseDelay::default(), Instant::now());
    record_silences(&mut delay, 100 * SILENCES_TO_HALVE, now);
    delay.record_unsolicited(now);
    assert_eq!(delay.delay(), 2 * INITIAL_DELAY);
    // Any number of silences within a moment changes nothing.
    record_silences(&mut delay, 100 * SILENCES_TO_HALVE, now + Duration::from_millis(10));
    assert_eq!(delay.delay(), 2 * INITIAL_DELAY);
    record_silences(&mut delay, SILENCES_TO_HALVE, now + RECOVERY_TIME);
    assert_eq!(delay.delay(), INITIAL_DELAY);
    record_silences(&mut delay, SILENCES_TO_HALVE, now + RECOVERY_TIME);
    assert_eq!(delay.delay(), INITIAL_DELAY / 2, "below the initial delay no recovery time applies");
}

#[test]
fn repeated_unsolicited_answers_lengthen_the_delay_up_to_the_maximum() {
    let (mut delay, now) = (ReuseDelay::default(), Instant::now());
    (0..20).for_each(|_| delay.record_unsolicited(now));
    assert_eq!(delay.delay(), MAX_DELAY);
    // Silences before the recovery time has passed don't count.
    record_silences(&mut delay, 10, now);
    delay.record_unsolicited(now);
    record_silences(&mut delay, SILENCES_TO_HALVE - 1, now + RECOVERY_TIME);
    assert_eq!(delay.delay(), MAX_DELAY, "the count of silences restarts");
}
