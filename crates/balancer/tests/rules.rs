//! The four rules, each tested separately.

mod support;
use runtrack_balancer::*;
use std::time::Duration;
use support::*;

const KEYED_CELL: Semantics =
    Semantics::Keyed { scope: DedupScope::Cell, window: Duration::from_millis(400) };

#[test]
fn rule_1_request_without_endpoints_is_answered_in_time() {
    let mut d = Driver::new(Settings::default(), vec![]);
    let (id, actions) = d.request(ms(300));
    assert!(sends(&actions).is_empty());
    let later = d.advance(ms(305));
    assert!(refused(&later, id));
}

#[test]
fn rule_1_deadline_answers_request_with_attempt_in_flight() {
    let mut d = Driver::new(with_class(Semantics::Unsafe), endpoints(2));
    let (id, actions) = d.request(ms(300));
    assert_eq!(sends(&actions).len(), 1);
    assert!(failed(&d.advance(ms(301)), id), "unsafe and maybe executed: a failure, never a refusal");
}

#[test]
fn rule_1_nothing_is_sent_for_finished_request() {
    let mut d = Driver::new(Settings::default(), endpoints(3));
    let (id, _) = d.request(ms(300));
    d.feed(Event::RequestGone(id));
    assert!(sends(&d.end(id, Outcome::Cancelled, ms(1))).is_empty());
    assert!(sends(&d.advance(ms(400))).is_empty());
}

#[test]
fn rule_2_unsafe_is_retried_only_if_not_executed() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let mut d = Driver::new(with_class(Semantics::Unsafe), endpoints(3));
        let (id, _) = d.request(ms(900));
        assert_eq!(
            sends(&d.end(id, outcome, ms(1))).len(),
            1,
            "{outcome:?} proves that it was not executed"
        );
    }
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut d = Driver::new(with_class(Semantics::Unsafe), endpoints(3));
        let (id, _) = d.request(ms(900));
        let actions = d.end(id, outcome, ms(1));
        assert!(sends(&actions).is_empty() && failed(&actions, id), "{outcome:?}: may have been executed");
    }
}

#[test]
fn rule_2_keyed_is_retried_within_its_cell_and_window() {
    let list: Vec<EndpointInfo> =
        (1..=6).map(|id| EndpointInfo { cell: CellId(id % 2), ..endpoint(id) }).collect();
    for seed in 0..20 {
        let mut d = Driver::seeded(with_class(KEYED_CELL), list.clone(), seed);
        let (id, first) = d.request(ms(1500));
        let again = d.end(id, Outcome::Error, ms(5));
        assert_eq!(sends(&first)[0].0 % 2, sends(&again)[0].0 % 2, "the same cell");
        d.advance(ms(450));
        let last = d.end(id, Outcome::Error, ms(445));
        assert!(sends(&last).is_empty() && failed(&last, id), "the window has ended");
    }
}

#[test]
fn rule_2_zone_scoped_key_is_retried_within_its_zone() {
    let list: Vec<EndpointInfo> =
        (1..=6).map(|id| EndpointInfo { zone: ZoneId((id % 2) as u32), ..endpoint(id) }).collect();
    for seed in 0..20 {
        let keyed = Semantics::Keyed { scope: DedupScope::Zone, window: ms(5000) };
        let mut d = Driver::seeded(with_class(keyed), list.clone(), seed);
        let (id, first) = d.request(ms(900));
        let again = d.end(id, Outcome::Reset, ms(5));
        assert_eq!(sends(&first)[0].0 % 2, sends(&again)[0].0 % 2, "the same zone");
    }
}

#[test]
fn rule_3_draining_endpoint_gets_no_new_requests() {
    let mut d = Driver::new(Settings::default(), endpoints(3));
    let draining = EndpointInfo { state: EndpointState::Draining, ..endpoint(2) };
    d.list(Membership::Delta(vec![draining]));
    for _ in 0..30 {
        let (id, actions) = d.request(ms(900));
        assert!(!sends(&actions).contains(&EndpointId(2)));
        d.end(id, Outcome::Ok, ms(10));
    }
}

#[test]
fn rule_3_endpoint_missing_from_full_list_is_removed() {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    d.list(Membership::Full(endpoints(2)));
    for _ in 0..30 {
        let (id, actions) = d.request(ms(900));
        assert!(sends(&actions)[0].0 <= 2);
        d.end(id, Outcome::Ok, ms(10));
    }
}

#[test]
fn rule_3_fully_draining_fleet_gets_nothing() {
    let mut d = Driver::new(Settings::default(), endpoints(3));
    let draining = |id| EndpointInfo { state: EndpointState::Draining, ..endpoint(id) };
    d.list(Membership::Full((1..=3).map(draining).collect()));
    let (id, actions) = d.request(ms(200));
    assert!(sends(&actions).is_empty());
    assert!(refused(&d.advance(ms(210)), id));
}

/// Serves 60 requests per second; returns the number of sends to a cold endpoint in its first second.
fn cold_sends_in_first_second(balancers: u32) -> usize {
    let settings = Settings { balancers, ..Settings::default() };
    let window = settings.rules.cold_overload_window;
    let mut d = Driver::new(settings, endpoints(3));
    let pace = |d: &mut Driver, rounds: usize| {
        for _ in 0..rounds {
            let (id, _) = d.request(ms(900));
            d.advance(ms(15));
            if d.out.iter().any(|o| o.0 == id) {
                d.end(id, Outcome::Ok, ms(15));
            }
        }
    };
    pace(&mut d, 600);
    let started_at = d.now;
    d.list(Membership::Delta(vec![EndpointInfo { started_at: Some(started_at), ..endpoint(4) }]));
    pace(&mut d, 80);
    let sent = d.checker.cold_sends.remove(&EndpointId(4)).unwrap_or_default();
    sent.iter().filter(|at| **at < started_at + window).count()
}

#[test]
fn rule_4_cold_endpoint_is_not_overloaded() {
    // Three warm endpoints serve about 22 requests per second each; twice a quarter of that overloads the cold one.
    let sent = cold_sends_in_first_second(1);
    assert!(sent >= 1, "a cold endpoint must get some requests to be useful");
    assert!(sent < 11, "{sent} sends in the first second");
}

#[test]
fn rule_4_holds_when_the_whole_fleet_is_cold() {
    let mut d = Driver::new(Settings::default(), vec![]);
    let now = d.now;
    let cold = |id| EndpointInfo { started_at: Some(now), ..endpoint(id) };
    d.list(Membership::Full((1..=4).map(cold).collect()));
    let mut served = 0;
    for _ in 0..100 {
        d.request(ms(900));
        d.advance(ms(10));
        for out in std::mem::take(&mut d.out) {
            d.out.push(out);
            d.end(out.0, Outcome::Ok, ms(10));
            served += 1;
        }
    }
    assert!(served > 10, "a cold fleet still serves requests: {served}");
    for sends in d.checker.cold_sends.values() {
        assert!(sends.len() < 50, "no endpoint gets half of the requests");
    }
}

#[test]
fn subscription_is_jittered_and_retried_after_failures() {
    let settings = Settings { discovery: Discovery::Subscribe, ..Settings::default() };
    let resubscribe_within = settings.rules.resubscribe_within;
    let mut waits = Vec::new();
    for seed in 0..5 {
        let mut d = Driver::seeded(settings.clone(), endpoints(2), seed);
        let first = d.timers[0].0 - d.now;
        assert!(first < resubscribe_within);
        waits.push(first);
        assert!(d.advance(resubscribe_within).contains(&Action::Watch(true)));
        d.list(Membership::Failed);
        assert!(d.advance(resubscribe_within).contains(&Action::Watch(true)), "a failed call is retried");
        d.list(Membership::Delta(vec![]));
        assert!(
            !d.advance(resubscribe_within * 3).contains(&Action::Watch(true)),
            "an active subscription is not renewed"
        );
    }
    waits.dedup();
    assert!(waits.len() > 1, "instances that start together do not subscribe together");
}

/// Discovery data counts as delivered after 6 s, whatever failed before (PROTOCOL, "Figures"), so no retry delay is
/// longer. After many failures it is not short either, or many callers would keep each other out.
#[test]
fn subscription_retry_delay_is_bounded_on_both_sides() {
    for resubscribe_within in [ms(10_000), ms(300)] {
        let mut settings = Settings { discovery: Discovery::Subscribe, ..Settings::default() };
        settings.rules.resubscribe_within = resubscribe_within;
        for seed in 0..20 {
            let mut d = Driver::seeded(settings.clone(), endpoints(2), seed);
            assert!(d.advance(resubscribe_within).contains(&Action::Watch(true)));
            for failures in 1..10 {
                d.list(Membership::Failed);
                let (least, most) =
                    (ms(2000).min(resubscribe_within / 2), ms(6000).min(resubscribe_within * 2));
                let soon = failures > 4 && d.advance(least - ms(1)).contains(&Action::Watch(true));
                assert!(!soon, "{failures} failures, {resubscribe_within:?}");
                assert!(
                    d.advance(most).contains(&Action::Watch(true)),
                    "{failures} failures, {resubscribe_within:?}"
                );
            }
        }
    }
}
