//! How long a connection rests after an answer.

use runtrack::net::rest::{FADE, LEAST, MOST, Rest, SILENCES, START};
use std::time::Duration;
use tokio::time::Instant;

fn silences(rest: &mut Rest, count: u32, now: Instant) {
    (0..count).for_each(|_| rest.silent(now));
}

#[test]
fn trust_is_earned_by_silences_and_never_whole() {
    let (mut rest, now) = (Rest::default(), Instant::now());
    silences(&mut rest, SILENCES - 1, now);
    assert_eq!(rest.time(), START, "one is wanting");
    silences(&mut rest, 1, now);
    assert_eq!(rest.time(), START / 2);
    silences(&mut rest, 100 * SILENCES, now);
    assert_eq!(rest.time(), LEAST);
}

#[test]
fn one_spoilt_answer_takes_all_trust_and_time_alone_gives_it_back() {
    let (mut rest, now) = (Rest::default(), Instant::now());
    silences(&mut rest, 100 * SILENCES, now);
    rest.spoilt(now);
    assert_eq!(rest.time(), 2 * START);
    // However many silences come in a moment.
    silences(&mut rest, 100 * SILENCES, now + Duration::from_millis(10));
    assert_eq!(rest.time(), 2 * START);
    silences(&mut rest, SILENCES, now + FADE);
    assert_eq!(rest.time(), START);
    silences(&mut rest, SILENCES, now + FADE);
    assert_eq!(rest.time(), START / 2, "from there it is earned as at the start");
}

#[test]
fn each_further_one_makes_it_longer_up_to_a_bound() {
    let (mut rest, now) = (Rest::default(), Instant::now());
    (0..20).for_each(|_| rest.spoilt(now));
    assert_eq!(rest.time(), MOST);
    // Silence between them doesn't help before its time.
    silences(&mut rest, 10, now);
    rest.spoilt(now);
    silences(&mut rest, SILENCES - 1, now + FADE);
    assert_eq!(rest.time(), MOST, "the count begins anew");
}
