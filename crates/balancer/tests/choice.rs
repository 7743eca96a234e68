//! Endpoint choice: unbiased samples, the lower own count wins, ties are spread evenly.

mod support;
use runtrack_balancer::*;
use std::collections::HashMap;
use support::*;

/// Counts requests per endpoint when each succeeds before the next begins.
fn spread(d: &mut Driver, count: usize) -> HashMap<EndpointId, usize> {
    run_requests(d, count, |_| (Outcome::Ok, 10))
}

#[test]
fn ties_are_spread_evenly() {
    let mut d = Driver::new(Settings::default(), endpoints(5));
    let counts = spread(&mut d, 5000);
    for id in 1..=5 {
        let count = counts[&EndpointId(id)];
        assert!((850..1150).contains(&count), "endpoint {id} got {count} of 5000");
    }
}

#[test]
fn endpoint_with_fewer_own_calls_wins() {
    // With two endpoints both are always sampled, so calls that stay in flight must alternate.
    let mut d = Driver::new(Settings::default(), endpoints(2));
    for _ in 0..3 {
        let (_, a) = d.request(ms(900));
        let (_, b) = d.request(ms(900));
        assert_ne!(sends(&a), sends(&b));
    }
}

#[test]
fn busy_endpoint_is_avoided_and_rest_stays_even() {
    // One endpoint holds a call. Samples are drawn without replacement, so it is never chosen;
    // the others share the requests evenly.
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let (_, first) = d.request(ms(60_000));
    let busy = sends(&first)[0];
    let counts = spread(&mut d, 3000);
    assert!(!counts.contains_key(&busy));
    for (id, count) in counts {
        assert!((850..1150).contains(&count), "{id:?} got {count} of 3000");
    }
}

#[test]
fn choice_does_not_depend_on_endpoint_ids() {
    let run = |offset: u64| {
        let list: Vec<EndpointInfo> = (0..6).map(|i| endpoint((i * 7919 + offset) % 97)).collect();
        let order: Vec<EndpointId> = list.iter().map(|info| info.id).collect();
        let mut d = Driver::new(Settings::default(), list);
        (0..50)
            .map(|_| {
                let (_, actions) = d.request(ms(60_000));
                let to = sends(&actions).first().copied();
                to.map(|to| order.iter().position(|id| *id == to))
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(run(0), run(31));
}

#[test]
fn own_zone_is_preferred() {
    let mut d = Driver::new(Settings::default(), three_zones());
    let counts = spread(&mut d, 200);
    assert!(counts.keys().all(|id| id.0 % 3 == 0), "{counts:?}");
}

#[test]
fn busy_zone_spills_over_to_others() {
    let mut d = Driver::new(Settings::default(), three_zones());
    let mut away = 0;
    for _ in 0..8 {
        let (_, actions) = d.request(ms(60_000));
        away += sends(&actions).iter().filter(|id| id.0 % 3 != 0).count();
    }
    assert!(away > 0, "no call left the zone although its two endpoints hold all calls");
}
