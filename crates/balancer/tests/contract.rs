//! Behavior that hosts may rely on for unusual events.

mod support;
use runtrack_balancer::*;
use std::time::Duration;
use support::*;

#[test]
fn backward_clock_is_treated_as_stopped() {
    let mut d = Driver::new(Settings::default(), endpoints(3));
    let (id, _) = d.request(ms(500));
    d.now -= ms(50);
    let (second, actions) = d.request(ms(500));
    assert_eq!(sends(&actions).len(), 1);
    d.end(second, Outcome::Ok, ms(1));
    d.now += ms(50);
    d.end(id, Outcome::Ok, ms(10));
    assert_eq!(d.balancer.state_size(), 3 + 2, "the endpoints, and the timers requested from the host");
}

#[test]
fn timers_of_answered_requests_do_not_accumulate() {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let (mut asked, mut most) = (0, 0);
    for n in 0..20_000 {
        // Eight at a time, answered within a millisecond, each with 30 s left.
        let open: Vec<RequestId> = (0..8).map(|_| d.request(ms(30_000)).0).collect();
        d.now += Duration::from_micros(500);
        for id in open {
            d.end(id, Outcome::Ok, Duration::from_micros(500));
        }
        (asked, most) = (asked.max(d.timers.len()), most.max(d.balancer.state_size()));
        if n % 100 == 0 {
            d.advance(Duration::from_micros(10));
        }
    }
    assert!(asked <= 4, "{asked} timers with the host for 160,000 requests");
    assert!(most <= 4 + 4 * 8, "state size {most}");
}

#[test]
fn duplicate_outcome_counts_once() {
    let mut d = Driver::new(Settings::default(), endpoints(2));
    let (id, _) = d.request(ms(500));
    let (_, attempt, endpoint, _) = d.out[0];
    let ended = AttemptEnded {
        request: id,
        attempt,
        endpoint,
        outcome: Outcome::Error,
        elapsed: ms(5),
        finished: false,
        report: None,
    };
    assert_eq!(sends(&d.feed(Event::AttemptEnded(ended.clone()))).len(), 1, "retried");
    assert!(d.feed(Event::AttemptEnded(ended)).is_empty(), "the duplicate is ignored");
}

#[test]
fn events_with_unknown_ids_are_ignored() {
    let mut d = Driver::new(Settings::default(), endpoints(2));
    let ended = AttemptEnded {
        request: RequestId(999),
        attempt: AttemptNo(4),
        endpoint: EndpointId(77),
        outcome: Outcome::Ok,
        elapsed: ms(5),
        finished: true,
        report: Some(vec![f64::MAX, -1.0]),
    };
    for event in [
        Event::AttemptEnded(ended),
        Event::RequestGone(RequestId(999)),
        Event::Timer(TimerToken(u64::MAX)),
        Event::StreamStarted { request: RequestId(999), attempt: AttemptNo(0) },
        Event::ProbeEnded {
            endpoint: EndpointId(77),
            outcome: Outcome::TimedOut,
            elapsed: ms(5),
            report: None,
        },
        Event::PeerMessage { from: 3, payload: vec![0; 256] },
    ] {
        assert!(d.feed(event).is_empty());
    }
}

#[test]
fn events_for_finished_request_cause_no_action() {
    let mut d = Driver::new(Settings::default(), endpoints(2));
    let (id, _) = d.request(ms(500));
    d.end(id, Outcome::Ok, ms(5));
    assert!(d.feed(Event::RequestGone(id)).is_empty());
    assert!(d.feed(Event::StreamStarted { request: id, attempt: AttemptNo(0) }).is_empty());
    assert!(d.advance(ms(600)).is_empty(), "nothing happens at its deadline");
}

#[test]
fn duplicate_request_event_is_ignored() {
    let mut d = Driver::new(Settings::default(), endpoints(2));
    let (id, _) = d.request(ms(500));
    assert!(d.feed(Event::request(id, ms(500))).is_empty());
}

#[test]
fn request_without_time_left_is_refused_at_once() {
    let mut d = Driver::new(Settings::default(), endpoints(2));
    let (id, actions) = d.request(Duration::ZERO);
    assert!(refused(&actions, id) && sends(&actions).is_empty());
}

#[test]
fn started_stream_is_not_cancelled_at_deadline() {
    let classes = vec![Class { streamed: true, ..Class::default() }];
    let mut d = Driver::new(Settings { classes, ..Settings::default() }, endpoints(2));
    let (id, _) = d.request(ms(300));
    d.feed(Event::StreamStarted { request: id, attempt: AttemptNo(0) });
    let actions = {
        let mut actions = Vec::new();
        for (_, token) in std::mem::take(&mut d.timers) {
            d.now += ms(301);
            actions.extend(d.feed(Event::Timer(token)));
        }
        actions
    };
    assert!(actions.is_empty(), "neither cancelled nor answered: {actions:?}");
}

#[test]
fn invalid_settings_are_rejected() {
    let new = |settings| Balancer::new(settings, 1, Duration::ZERO).err();
    assert_eq!(new(Settings { classes: vec![], ..Settings::default() }), Some(SettingsError::NoClasses));
    let mut settings = Settings::default();
    settings.rules.cold_share = f64::NAN;
    assert!(matches!(new(settings), Some(SettingsError::OutOfRange { field: "rules.cold_share", .. })));
    let settings = Settings { balancers: 0, ..Settings::default() };
    assert!(matches!(new(settings), Some(SettingsError::OutOfRange { field: "balancers", .. })));
    let classes = vec![Class { value: -1.0, ..Class::default() }];
    assert!(new(Settings { classes, ..Settings::default() }).is_some());
}

#[test]
fn equal_seeds_and_events_give_equal_actions() {
    let run = |seed| {
        let mut d = Driver::seeded(Settings::default(), endpoints(9), seed);
        (0..200).map(|_| sends(&d.request(ms(900)).1)).collect::<Vec<_>>()
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5), run(6));
}
