//! Regression tests, one for each failure found. Ids such as i1f175a name the incident; see `docs/incidents/` and the
//! commits.

mod support;
use runtrack_balancer::*;
use std::collections::HashMap;
use std::time::Duration;
use support::*;

/// Outcome and elapsed ms for endpoints where `bad` is true; the others answer in 20 ms.
fn outcomes_where(
    bad: impl Fn(EndpointId) -> bool,
    how: Outcome,
    elapsed: u64,
) -> impl Fn(EndpointId) -> (Outcome, u64) {
    move |to| if bad(to) { (how, elapsed) } else { (Outcome::Ok, 20) }
}

fn is_first(to: EndpointId) -> bool {
    to.0 == 1
}

/// Number of attempts to endpoints where `which` is true.
fn count_sent(counts: &HashMap<EndpointId, usize>, which: impl Fn(EndpointId) -> bool) -> usize {
    counts.iter().filter(|(to, _)| which(**to)).map(|(_, n)| n).sum()
}

#[test]
fn fast_errors_do_not_win_samples() {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let counts = run_requests(&mut d, 400, outcomes_where(is_first, Outcome::Error, 1));
    let bad = count_sent(&counts, is_first);
    assert!(bad < 40, "{bad} of 400 went to the endpoint that fails fast");
}

#[test]
fn failing_endpoint_is_tried_again_after_penalty_decays() {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    run_requests(&mut d, 50, outcomes_where(is_first, Outcome::Error, 1));
    d.advance(ms(20_000));
    let counts = run_requests(&mut d, 100, |_| (Outcome::Ok, 20));
    assert!(count_sent(&counts, is_first) > 10, "{counts:?}");
}

#[test]
fn dead_endpoint_with_only_free_capacity_does_not_attract_all_calls() {
    // i1f175a: the live endpoints were at their limits, and the dead one failed every connect at once.
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let mut dead = 0;
    for _ in 0..60 {
        d.request(ms(60_000));
        while let Some(id) = d.out.iter().find(|o| o.2 == EndpointId(1)).map(|o| o.0) {
            dead += 1;
            d.end(id, Outcome::ConnectFailed, ms(1));
        }
    }
    assert!(dead <= 6, "{dead} attempts went to the dead endpoint");
}

#[test]
fn failures_shared_by_all_endpoints_do_not_use_up_limits() {
    // Failures of a lower tier show at every endpoint alike and must not use up their limits.
    let mut d = Driver::new(Settings::default(), endpoints(4));
    run_requests(&mut d, 60, |_| (Outcome::Error, 5));
    let taken = (0..8).filter(|_| !sends(&d.request(ms(60_000)).1).is_empty()).count();
    assert_eq!(taken, 8, "eight calls fit four endpoints with equal penalties");
}

#[test]
fn requests_beyond_endpoint_limits_are_queued() {
    let mut d = Driver::new(Settings::default(), endpoints(2));
    let queued = (0..100).filter(|_| sends(&d.request(ms(60_000)).1).is_empty()).count();
    assert!(queued > 80, "only {queued} of 100 requests were queued for two new endpoints");
}

#[test]
fn queued_request_is_sent_when_a_call_ends() {
    let mut d = Driver::new(Settings::default(), endpoints(1));
    let mut first = None;
    let queued = loop {
        let (id, actions) = d.request(ms(60_000));
        if sends(&actions).is_empty() {
            break id;
        }
        first.get_or_insert(id);
    };
    let actions = d.end(first.expect("one was sent"), Outcome::Ok, ms(10));
    assert!(actions.iter().any(|a| matches!(a, Action::Send { request, .. } if *request == queued)));
}

#[test]
fn queued_requests_are_sent_by_value() {
    let classes = vec![Class::default(), Class { value: 10.0, ..Class::default() }];
    let mut d = Driver::new(Settings { classes, ..Settings::default() }, endpoints(1));
    d.fill();
    let (cheap, _) = d.request_of(0, 0, ms(60_000));
    let (dear, _) = d.request_of(1, 0, ms(60_000));
    let out = d.out[0].0;
    let actions = d.end(out, Outcome::Ok, ms(10));
    let position =
        |id| actions.iter().position(|a| matches!(a, Action::Send { request, .. } if *request == id));
    assert!(position(dear).is_some());
    assert!(position(cheap).is_none_or(|cheap| position(dear).unwrap() < cheap));
}

#[test]
fn request_that_would_miss_its_objective_is_refused_early() {
    let mut d = Driver::new(Settings::default(), endpoints(1));
    d.fill();
    let (id, _) = d.request(ms(1900));
    // The objective is 500 ms; the client would wait for 1,900 ms.
    assert!(refused(&d.advance(ms(700)), id));
}

#[test]
fn late_answers_shrink_the_window() {
    // i273a8c: sixty balancers, each with a call at every endpoint, together overloaded a tier.
    let settings = Settings { balancers: 60, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(8));
    d.fill();
    for _ in 0..200 {
        let id = d.out[0].0;
        d.advance(ms(5));
        d.end(id, Outcome::Ok, ms(1500));
        d.request(ms(60_000));
    }
    assert_eq!(
        d.out.len(),
        1,
        "one call of each of sixty balancers is enough for eight endpoints that answer late"
    );
}

#[test]
fn slow_endpoint_is_avoided_and_tried_again() {
    let mut d = Driver::new(Settings { tier: 1, ..Settings::default() }, endpoints(4));
    run_requests(&mut d, 100, |_| (Outcome::Ok, 20));
    let slow = outcomes_where(is_first, Outcome::Ok, 200);
    run_requests(&mut d, 20, &slow);
    let counts = run_requests(&mut d, 200, &slow);
    let some = count_sent(&counts, is_first);
    assert!(some < 25, "{some} of 200 went to the slow endpoint");
    d.advance(ms(30_000));
    let counts = run_requests(&mut d, 100, |_| (Outcome::Ok, 20));
    assert!(count_sent(&counts, is_first) > 10, "{counts:?}");
}

/// Runs 200 calls, two seconds apart, over five endpoints, each called about once in ten seconds; returns how many go
/// to the first one, which ends them with `how`.
fn sends_to_rarely_called(how: Outcome, elapsed: u64) -> usize {
    let mut d = Driver::new(Settings { tier: 1, balancers: 300, ..Settings::default() }, endpoints(5));
    run_requests(&mut d, 100, |_| (Outcome::Ok, 20));
    let bad = outcomes_where(is_first, how, elapsed);
    let mut some = 0;
    for _ in 0..200 {
        d.advance(ms(2_000));
        some += count_sent(&run_requests(&mut d, 1, &bad), is_first);
    }
    some
}

#[test]
fn rarely_called_endpoint_is_remembered_for_a_number_of_calls() {
    // Each of 300 callers called a slow or failing endpoint once in some seconds, with its observations decayed in
    // between, and all of them together kept it busy.
    let slow = sends_to_rarely_called(Outcome::Ok, 200);
    assert!(slow < 30, "{slow} of 200 calls went to a slow endpoint; an even share is 40");
    let failing = sends_to_rarely_called(Outcome::Error, 1);
    assert!(failing < 30, "{failing} of 200 calls went to one that fails fast");
}

#[test]
fn zone_subsets_have_the_intended_number_of_callers() {
    // Subsets were sized as if all callers sent to each zone first: with three zones, an endpoint had a third of the
    // intended callers (here four, from the least subset of four endpoints), too few to even out.
    let mut callers: HashMap<EndpointId, usize> = HashMap::new();
    for balancer_index in 0..20 {
        let settings = Settings { tier: 1, balancer_index, balancers: 60, zones: 3, ..Settings::default() };
        let mut d = Driver::new(settings, endpoints(20));
        for id in run_requests(&mut d, 600, |_| (Outcome::Ok, 20)).into_keys() {
            *callers.entry(id).or_default() += 1;
        }
    }
    assert_eq!(callers.len(), 20, "none is left out");
    assert!(callers.values().all(|n| (8..=10).contains(n)), "{callers:?}");
}

#[test]
fn retries_stay_within_budget() {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let counts = run_requests(&mut d, 500, |_| (Outcome::Error, 1));
    let attempts: usize = counts.values().sum();
    assert!(attempts < 650, "{attempts} attempts for 500 requests that all fail");
}

#[test]
fn state_does_not_grow_over_a_long_run() {
    // Endpoints come and go and requests end in every way; the state must not grow.
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let mut sizes = Vec::new();
    for round in 0..40u64 {
        d.list(Membership::Full((round * 4..round * 4 + 4).map(endpoint).collect()));
        for n in 0..50 {
            let (id, _) = d.request(ms(300));
            if n % 3 != 0 && d.out.iter().any(|o| o.0 == id) {
                d.end(id, Outcome::Ok, ms(3));
            }
            d.advance(ms(5));
        }
        d.advance(ms(400));
        let late: Vec<RequestId> = d.out.iter().map(|o| o.0).collect();
        for id in late {
            d.end(id, Outcome::TimedOut, ms(300));
        }
        sizes.push(d.balancer.state_size());
    }
    assert!(sizes.iter().all(|size| *size <= 4), "after each round only the endpoints are left: {sizes:?}");
}

/// Fills one endpoint and lets the first queued request wait; returns whether the next free slot goes to a request that
/// has just arrived.
fn newest_goes_first(waited: Duration) -> bool {
    let mut d = Driver::new(Settings::default(), endpoints(1));
    d.fill();
    d.advance(waited);
    let (newest, _) = d.request(ms(60_000));
    let out = d.out[0].0;
    let actions = d.end(out, Outcome::Ok, ms(50));
    let sent = |action: &Action| match action {
        Action::Send { request, .. } => Some(*request),
        _ => None,
    };
    actions.iter().find_map(sent).expect("a slot became free") == newest
}

#[test]
fn equal_values_are_sent_newest_first_under_overload() {
    // ib59d06, i41763e: under overload, FIFO order answers everything after its objective.
    assert!(newest_goes_first(ms(150)), "a third of the objective has passed");
}

#[test]
fn equal_values_are_sent_oldest_first_within_patience() {
    assert!(!newest_goes_first(ms(50)), "a tenth of the objective has passed");
}

#[test]
fn tenant_over_its_share_is_served_after_others() {
    let tenants = vec![Tenant { allowance_per_s: 100.0, portion: 0.33 }; 3];
    let settings = Settings { tenants, over_share_value: 0.05, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(1));
    let (mut asked, mut served) = ([0.0; 3], [0.0; 3]);
    let mut whose = HashMap::new();
    for n in 0..2000 {
        // Tenant 0 sends five times as many requests as each of the others; half of all can be served.
        let tenant = if n % 7 < 5 { 0 } else { n % 7 - 4 };
        let (id, _) = d.request_of(0, tenant, ms(300));
        whose.insert(id, tenant);
        asked[tenant] += 1.0;
        d.advance(ms(5));
        if n % 2 == 0 && !d.out.is_empty() {
            let id = d.out[0].0;
            served[whose[&id]] += 1.0;
            d.end(id, Outcome::Ok, ms(20));
        }
    }
    let part = |t: usize| served[t] / asked[t];
    assert!(part(0) > 0.2, "requests within its share are served: {}", part(0));
    assert!(part(1) > part(0) * 1.3 && part(2) > part(0) * 1.3, "{} {} {}", part(0), part(1), part(2));
}

#[test]
fn half_dead_fleet_does_not_become_the_shared_penalty() {
    // With the median as the shared penalty, a half-dead fleet made the dead endpoints look like the others.
    let mut d = Driver::new(Settings::default(), endpoints(8));
    let dead = |to: EndpointId| to.0 <= 4;
    let counts = run_requests(&mut d, 400, outcomes_where(dead, Outcome::ConnectFailed, 1));
    let lost = count_sent(&counts, dead);
    assert!(lost < 80, "{lost} attempts went to the dead half");
}

#[test]
fn traffic_of_lost_zone_moves_elsewhere() {
    let mut d = Driver::new(Settings::default(), three_zones());
    let home = |to: EndpointId| to.0.is_multiple_of(3);
    let counts = run_requests(&mut d, 300, outcomes_where(home, Outcome::ConnectFailed, 1));
    let away = count_sent(&counts, |to| !home(to));
    assert!(away > 250, "{away} of 300 were served elsewhere: {counts:?}");
}

#[test]
fn partial_loss_moves_calls_away_temporarily() {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let n = std::cell::Cell::new(0);
    let flaky = |to: EndpointId| {
        n.set(n.get() + 1);
        if to.0 == 1 && n.get() % 2 == 0 { (Outcome::Reset, 5) } else { (Outcome::Ok, 20) }
    };
    let counts = run_requests(&mut d, 800, flaky);
    let flaky = count_sent(&counts, is_first);
    assert!((4..140).contains(&flaky), "{flaky} of 800 went to the endpoint that resets half");
}

#[test]
fn last_list_stays_in_use_when_discovery_fails() {
    let settings = Settings { discovery: Discovery::Subscribe, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(3));
    for _ in 0..10 {
        d.list(Membership::Failed);
        d.advance(ms(20_000));
    }
    assert_eq!(sends(&d.request(ms(900)).1).len(), 1);
}

#[test]
fn wrong_or_missing_reports_change_nothing() {
    let run = |report: Option<Vec<f64>>| {
        let reports =
            LoadReports { delivery: ReportDelivery::Inline, fields: vec![LoadField::Outstanding] };
        let mut d = Driver::new(Settings { load_reports: reports, ..Settings::default() }, endpoints(5));
        let mut went = Vec::new();
        for _ in 0..100 {
            let (id, actions) = d.request(ms(900));
            went.push(sends(&actions));
            d.end_reporting(id, Outcome::Ok, ms(10), report.clone());
        }
        went
    };
    assert_eq!(run(None), run(Some(vec![1e300])));
    assert_eq!(run(None), run(Some(vec![f64::NAN, -7.0, 3.0])));
}

#[test]
fn rules_hold_with_a_coarse_clock() {
    // All events of half a second arrive at the same time; the driver's checker asserts the rules.
    let mut d = Driver::new(with_class(Semantics::Unsafe), endpoints(4));
    for _ in 0..20 {
        for _ in 0..30 {
            d.request(ms(900));
        }
        d.advance(ms(500));
        for id in d.out.iter().map(|o| o.0).collect::<Vec<_>>() {
            d.end(id, Outcome::Ok, ms(500));
        }
    }
    d.advance(ms(2000));
    assert!(d.balancer.state_size() <= 4);
}

/// Ends the oldest call `rounds` times while requests are queued; returns the number of calls in flight.
fn calls_out_after(d: &mut Driver, rounds: usize, elapsed: u64) -> usize {
    for _ in 0..rounds {
        d.fill();
        let id = d.out[0].0;
        d.end(id, Outcome::Ok, ms(elapsed));
    }
    d.out.len()
}

#[test]
fn late_answers_leave_each_balancer_its_share() {
    // i1f175a: balancers that started first were starved by those that had measured loaded servers.
    let settings = Settings { balancers: 5, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(30));
    calls_out_after(&mut d, 100, 10);
    let left = calls_out_after(&mut d, 400, 900);
    assert!(
        (6..=7).contains(&left),
        "{left} calls in flight: thirty endpoints over five balancers are six"
    );
}

#[test]
fn large_window_grows_less_than_a_small_one() {
    let growth = |timely: usize| {
        let settings = Settings { balancers: 10, ..Settings::default() };
        let mut d = Driver::new(settings, endpoints(60));
        calls_out_after(&mut d, 30, 10);
        calls_out_after(&mut d, 60, 900); // ends slow start and leaves the window small
        let before = calls_out_after(&mut d, timely, 10);
        calls_out_after(&mut d, 60, 10) - before
    };
    let (early, late) = (growth(1), growth(400));
    assert!(late * 2 <= early, "60 timely answers added {early} calls at first, {late} to a large window");
}

/// Attempts per endpoint that a caller in this tier uses when all answer.
fn endpoints_used(tier: u32, balancer_index: u32, balancers: u32, n: u64) -> HashMap<EndpointId, usize> {
    let settings = Settings { tier, balancer_index, balancers, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(n));
    run_requests(&mut d, 600, |_| (Outcome::Ok, 20))
}

#[test]
fn callers_inside_a_tier_share_endpoints_evenly() {
    // ib8145a: 41 callers kept idle connections to each of 66 endpoints; their connection tables took capacity.
    let mut callers: HashMap<EndpointId, usize> = HashMap::new();
    for balancer_index in 0..40 {
        let used = endpoints_used(1, balancer_index, 40, 60);
        assert!(used.len() <= 14, "caller {balancer_index} used {} of 60 endpoints", used.len());
        for id in used.into_keys() {
            *callers.entry(id).or_default() += 1;
        }
    }
    assert_eq!(callers.len(), 60, "none is left out");
    assert!(callers.values().all(|n| (8..=10).contains(n)), "{callers:?}");
}

#[test]
fn few_callers_use_every_endpoint() {
    assert_eq!(endpoints_used(1, 1, 3, 40).len(), 40);
}

#[test]
fn caller_whose_subset_is_dead_uses_others() {
    let settings = Settings { tier: 1, balancer_index: 3, balancers: 40, ..Settings::default() };
    let part = endpoints_used(1, 3, 40, 60);
    let mut d = Driver::new(settings, endpoints(60));
    let dead = |to: EndpointId| part.contains_key(&to);
    let how = outcomes_where(dead, Outcome::ConnectFailed, 5);
    run_requests(&mut d, 100, &how);
    let lost = count_sent(&run_requests(&mut d, 100, &how), dead);
    assert!(lost < 30, "{lost} of over 100 attempts still went to the dead subset");
}

#[test]
fn lasting_overload_does_not_become_the_baseline() {
    // ib8145a: the baseline rose with each answer, from 84 to 146 ms in half a minute of overload.
    let settings = Settings { balancers: 5, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(30));
    calls_out_after(&mut d, 100, 10);
    for _ in 0..3000 {
        d.advance(ms(3));
        calls_out_after(&mut d, 1, 100);
    }
    assert!(
        d.out.len() <= 7,
        "{} calls in flight after nine seconds of answers ten times as slow",
        d.out.len()
    );
}

#[test]
fn balancer_with_most_of_the_traffic_may_use_the_fleet() {
    // Its share of one call per endpoint is the floor of a window, not its maximum.
    let settings = Settings { balancers: 10, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(40));
    calls_out_after(&mut d, 20, 10);
    calls_out_after(&mut d, 1, 900); // ends slow start
    let out = calls_out_after(&mut d, 1500, 10);
    assert!(out > 80, "{out} calls in flight where forty endpoints answer in time");
}

#[test]
fn flapping_endpoint_is_used_less_but_not_abandoned() {
    let mut d = Driver::new(Settings::default(), endpoints(5));
    let (mut bad, mut good) = (0, 0);
    for phase in 0..10 {
        let failing = phase % 2 == 0;
        let how = outcomes_where(|to| failing && is_first(to), Outcome::Error, 2);
        let count = count_sent(&run_requests(&mut d, 200, how), is_first);
        if failing {
            bad += count
        } else {
            good += count
        }
        d.advance(ms(1000));
    }
    assert!(bad < 100, "{bad} of 1000 went to it while it failed; an even share is 200");
    assert!(good > 100, "only {good} of 1000 went to it while it was healthy");
}

#[test]
fn first_tier_balancers_use_subsets() {
    // i44da9d: each of a hundred balancers called an endpoint once in seconds and learned nothing about it.
    let used = endpoints_used(0, 7, 40, 60).len();
    assert!(used <= 14, "{used} of 60 endpoints used");
    assert_eq!(endpoints_used(0, 1, 2, 30).len(), 30, "few balancers use all");
}

#[test]
fn subsets_are_even_for_a_block_of_balancer_indices() {
    // The first twenty of eighty balancers share a zone: their subsets must still cover all of it.
    let mut callers: HashMap<EndpointId, usize> = HashMap::new();
    for balancer_index in 0..20 {
        for id in endpoints_used(0, balancer_index, 80, 20).into_keys() {
            *callers.entry(id).or_default() += 1;
        }
    }
    assert_eq!(callers.len(), 20, "none is left out");
    assert!(callers.values().all(|n| (2..=6).contains(n)), "{callers:?}");
}

#[test]
fn draws_reach_all_of_a_large_fleet() {
    let used = endpoints_used(0, 0, 1, 200).len();
    assert!(used > 180, "only {used} of 200 endpoints used");
}

/// Calls in flight of the class of lower value after a request of the given class was refused unsent.
fn low_value_out_after_refusal_of(class: usize) -> usize {
    let classes = vec![Class::default(), Class { value: 10.0, ..Class::default() }];
    let mut d = Driver::new(Settings { classes, balancers: 4, ..Settings::default() }, endpoints(16));
    for round in 0..60 {
        let (id, _) = d.request_of(round % 2, 0, ms(2000));
        d.advance(ms(10));
        d.end(id, Outcome::Ok, ms(10));
    }
    d.fill();
    let (id, _) = d.request_of(class, 0, ms(5000));
    assert!(refused(&d.advance(ms(700)), id));
    while let Some(id) = d.out.first().map(|o| o.0) {
        d.end(id, Outcome::Ok, ms(10));
    }
    d.fill();
    d.out.len()
}

#[test]
fn low_values_get_less_room_while_higher_ones_are_refused() {
    // i9329e9: each of many balancers had so few calls in flight that none had a queue to order by value.
    let (after_higher, after_lower) =
        (low_value_out_after_refusal_of(1), low_value_out_after_refusal_of(0));
    assert!(after_higher * 2 < after_lower, "{after_higher} and {after_lower} calls");
}

/// Whether an endpoint of `three_zones` is in the balancer's own zone.
fn in_own_zone(to: EndpointId) -> bool {
    to.0.is_multiple_of(3)
}

#[test]
fn overloaded_zone_does_not_block_others() {
    // prairie-parts at full size: late answers of the own zone held back calls that other zones had room for.
    let settings = Settings { balancers: 4, ..Settings::default() };
    let mut d = Driver::new(settings, three_zones());
    for _ in 0..400 {
        d.fill();
        let (id, to) = (d.out[0].0, d.out[0].2);
        d.end(id, Outcome::Ok, ms(if in_own_zone(to) { 900 } else { 10 }));
    }
    d.fill();
    let away = d.out.iter().filter(|o| !in_own_zone(o.2)).count();
    assert!(away >= 6, "{away} calls in flight in zones that answer in time");
}

#[test]
fn many_balancers_do_not_start_with_an_overload() {
    // i9329e9: 203 balancers, each with a window of eight, put twenty calls on each of 67 endpoints.
    let first_out = |balancers: u32| {
        let mut d = Driver::new(Settings { balancers, ..Settings::default() }, endpoints(64));
        d.fill();
        d.out.len()
    };
    assert!(first_out(200) <= 2, "{} initial calls of each of 200 balancers", first_out(200));
    assert!(first_out(4) >= 16, "{} initial calls of each of 4 balancers", first_out(4));
}

/// Serves requests normally, then leaves the last `unanswered` attempts unanswered for 400 ms.
fn lose_attempts(settings: Settings, unanswered: usize) -> (Driver, Vec<Action>) {
    let mut d = Driver::new(settings, endpoints(8));
    run_requests(&mut d, 200, |_| (Outcome::Ok, 20));
    let mut actions = Vec::new();
    for _ in 0..unanswered {
        d.request(ms(5000));
        actions.extend(d.advance(ms(30)));
    }
    actions.extend(d.advance(ms(400)));
    (d, actions)
}

fn hedging() -> Settings {
    let limits = Limits { hedging: true, ..Limits::default() };
    Settings { limits, ..Settings::default() }
}

#[test]
fn lost_attempts_are_hedged() {
    // icb4826: requests whose answers were lost waited until their deadlines.
    let lone = sends(&lose_attempts(hedging(), 1).1).len();
    assert_eq!(lone, 2, "a lost attempt is hedged, and as the hedge is not answered either, hedged again");
    let soon = sends(&lose_attempts(hedging(), 0).1).len();
    assert_eq!(soon, 0, "no hedging when all attempts were answered");
    let again = sends(&lose_attempts(hedging(), 4).1).len();
    assert!((2..=8).contains(&again), "{again} hedges for four lost attempts and their hedges");
}

#[test]
fn without_hedging_a_lost_attempt_is_cancelled_then_retried() {
    let (mut d, actions) = lose_attempts(Settings::default(), 4);
    assert!(sends(&actions).is_empty());
    let Some(Action::Cancel { request, .. }) = actions.iter().find(|a| matches!(a, Action::Cancel { .. }))
    else {
        panic!("nothing cancelled: {actions:?}");
    };
    assert_eq!(sends(&d.end(*request, Outcome::Cancelled, ms(300))).len(), 1, "then retried");
}

#[test]
fn unsafe_requests_are_never_hedged() {
    let settings = Settings { classes: with_class(Semantics::Unsafe).classes, ..hedging() };
    assert!(sends(&lose_attempts(settings, 6).1).is_empty());
}

#[test]
fn slow_answers_are_not_hedged() {
    let mut d = Driver::new(Settings { tier: 1, ..hedging() }, endpoints(8));
    run_requests(&mut d, 200, |_| (Outcome::Ok, 20));
    run_requests(&mut d, 20, |_| (Outcome::Ok, 200));
    for _ in 0..6 {
        d.request(ms(5000));
    }
    assert!(sends(&d.advance(ms(4000))).is_empty(), "hedging would add to the overload");
}

#[test]
fn idle_connections_are_closed_once_such_lost_attempts() {
    let (mut d, _) = lose_attempts(hedging(), 4);
    d.advance(ms(1000));
    let closes = |d: &mut Driver| {
        let (id, actions) = d.request(ms(5000));
        let to = sends(&actions)[0];
        let closed = actions.contains(&Action::CloseIdle { endpoint: to });
        d.end(id, Outcome::Ok, ms(20));
        (to, closed)
    };
    let (to, closed) = closes(&mut d);
    assert!(closed, "a connection idle for longer than a lost attempt's is closed");
    let again = (0..60).map(|_| closes(&mut d)).find(|(next, _)| *next == to);
    assert_eq!(again, Some((to, false)), "a connection just used is kept");
}

#[test]
fn timeouts_of_lost_attempts_do_not_shrink_the_window() {
    // icb4826: timeouts counted as late answers, windows shrank to one and requests were refused unsent.
    let window_after = |lost: bool| {
        let mut d = Driver::new(Settings { balancers: 4, ..hedging() }, endpoints(40));
        calls_out_after(&mut d, 100, 20);
        let ids: Vec<RequestId> = d.out.iter().map(|o| o.0).take(80).collect();
        d.advance(ms(if lost { 1000 } else { 0 }));
        for id in ids {
            while d.out.iter().any(|o| o.0 == id) {
                d.end(id, Outcome::TimedOut, ms(1000));
            }
        }
        d.fill();
        d.out.len()
    };
    let (lost, timed_out) = (window_after(true), window_after(false));
    assert!(
        lost > timed_out,
        "{lost} calls in flight after lost attempts, {timed_out} after plain timeouts"
    );
}

#[test]
fn windows_of_many_balancers_grow_by_fractions_of_a_call() {
    // i5318be: windows that doubled per round trip put thirty calls on each endpoint within four seconds.
    let grown = |balancers: u32| {
        let mut d = Driver::new(Settings { balancers, ..Settings::default() }, endpoints(20));
        d.fill();
        let before = d.out.len();
        calls_out_after(&mut d, 20, 10) - before
    };
    assert!(grown(100) <= 5, "{} more calls in flight of each of 100 balancers", grown(100));
    assert!(grown(2) >= 12, "{} more calls in flight of each of 2 balancers", grown(2));
}

#[test]
fn overload_is_detected_before_twenty_answers() {
    // i5318be: when the first tier was overloaded, each of many balancers had ten answers, too few to judge by.
    let mut d = Driver::new(Settings { balancers: 10, ..Settings::default() }, endpoints(60));
    calls_out_after(&mut d, 6, 20);
    let before = d.out.len();
    // A fifth of the objective, but five times the earlier latency: late.
    let after = calls_out_after(&mut d, 8, 100);
    assert!(after + 2 <= before, "{before} calls in flight before the overload, {after} during it");
}

#[test]
fn clients_that_leave_late_count_as_late_answers() {
    let calls_out = |left_after: u64| {
        let mut d = Driver::new(Settings { balancers: 4, ..Settings::default() }, endpoints(40));
        calls_out_after(&mut d, 100, 20);
        for _ in 0..60 {
            d.fill();
            let id = d.out[0].0;
            d.feed(Event::RequestGone(id));
            d.end(id, Outcome::Cancelled, ms(left_after));
        }
        d.fill();
        d.out.len()
    };
    let (late, early) = (calls_out(900), calls_out(5));
    assert!(
        late + 10 < early,
        "{late} calls in flight after clients left late, {early} after they left early"
    );
}

#[test]
fn windows_at_their_floor_do_not_overload_endpoints() {
    // ia69222: 790 balancers, each with a floor of one call in either zone, put 26 calls on each of 61 servers.
    let left = |balancers: u32| {
        let mut d = Driver::new(Settings { balancers, ..Settings::default() }, three_zones());
        for _ in 0..60 {
            d.fill();
            let id = d.out[0].0;
            d.end(id, Outcome::Ok, ms(1500));
        }
        d.fill();
        d.out.len()
    };
    assert_eq!(left(100), 1, "a hundred balancers have a hundred calls at six endpoints");
    assert_eq!(left(20), 2, "twenty may have one each in the own zone and elsewhere");
}

#[test]
fn first_attempts_go_before_client_retries() {
    // i5318be: two thirds of the requests served under overload were client retries, already past their objective.
    let mut d = Driver::new(Settings::default(), endpoints(1));
    d.fill();
    let ask = |d: &mut Driver, id: u64, client_retry: bool| {
        let Event::Request(mut request) = Event::request(RequestId(id), ms(60_000)) else { unreachable!() };
        request.client_retry = client_retry;
        d.feed(Event::Request(request));
    };
    ask(&mut d, 1_000_001, false);
    ask(&mut d, 1_000_002, true);
    let out = d.out[0].0;
    let actions = d.end(out, Outcome::Ok, ms(10));
    let sent: Vec<RequestId> = (actions.iter())
        .filter_map(|a| if let Action::Send { request, .. } = a { Some(*request) } else { None })
        .filter(|id| id.0 > 1_000_000)
        .collect();
    assert_eq!(
        sent.first(),
        Some(&RequestId(1_000_001)),
        "the retry arrived last and would go first at equal value"
    );
}

#[test]
fn refusal_advises_a_retry_delay() {
    let mut d = Driver::new(Settings::default(), endpoints(2));
    run_requests(&mut d, 50, |_| (Outcome::Ok, 40));
    d.list(Membership::Full(Vec::new()));
    let (id, _) = d.request(ms(500));
    let actions = d.advance(ms(500));
    let advice = actions.iter().find_map(|action| match action {
        Action::Refuse { request, retry_after } if *request == id => *retry_after,
        _ => None,
    });
    assert!(advice.is_some_and(|wait| (ms(20)..=ms(1000)).contains(&wait)), "{advice:?}");
}

/// Exponentially distributed durations with this mean, at evenly spaced quantiles: long and uneven work.
fn uneven(mean: f64, draw: u64) -> Duration {
    // A fixed permutation of 0..997, so that short and long ones are mixed.
    let place = ((draw * 617 + 331) % 997) as f64 + 0.5;
    Duration::from_secs_f64(-(1.0 - place / 997.0).ln() * mean)
}

#[test]
fn first_answers_to_uneven_work_do_not_make_the_rest_late() {
    // Latency does not depend on load, so no endpoint is overloaded and no request may be refused.
    let class = Class { objective: ms(2500), deadline: ms(6000), ..Class::default() };
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(16));
    let mut ends: Vec<(Duration, RequestId, Duration)> = Vec::new();
    let (mut seen, mut refused_count) = (0, 0);
    for n in 0..4000 {
        let until = d.now + ms(8);
        loop {
            for &(id, _, _, _) in &d.out {
                if !ends.iter().any(|end| end.1 == id) {
                    let takes = uneven(0.8, seen);
                    seen += 1;
                    ends.push((d.now + takes, id, takes));
                }
            }
            let Some(next) = ends.iter().copied().filter(|end| end.0 <= until).min() else { break };
            refused_count += refusals(&d.advance(next.0.saturating_sub(d.now)));
            ends.retain(|end| end.1 != next.1);
            refused_count += refusals(&d.end(next.1, Outcome::Ok, next.2));
        }
        refused_count += refusals(&d.advance(until.saturating_sub(d.now)));
        refused_count += refusals(&d.request_of(0, n % 2, ms(6000)).1);
    }
    assert!(
        refused_count < 40,
        "{refused_count} of 4,000 were refused although no endpoint was overloaded"
    );
}

fn refusals(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Refuse { .. })).count()
}

#[test]
fn unused_window_is_not_kept() {
    // With windows at twice the calls in flight, a general slowdown filled up all endpoints within a second, and they
    // stayed slow for half a minute (second deployment, days with shared slowdowns).
    let out_after_a_quiet_time = |quiet: u64| {
        let mut d = Driver::new(Settings::default(), endpoints(12));
        let busy = calls_out_after(&mut d, 400, 10);
        d.out.iter().map(|o| o.0).collect::<Vec<_>>().into_iter().for_each(|id| {
            d.end(id, Outcome::Ok, ms(10));
        });
        for _ in 0..quiet {
            d.advance(ms(1000));
            while let Some(id) = d.out.first().map(|o| o.0) {
                d.end(id, Outcome::Ok, ms(10));
            }
            let (id, _) = d.request(ms(2000));
            d.end(id, Outcome::Ok, ms(10));
        }
        d.fill();
        (busy, d.out.len())
    };
    let (busy, at_once) = out_after_a_quiet_time(0);
    assert!(at_once * 10 >= busy * 9, "{at_once} calls in flight at once, {busy} before");
    let (busy, later) = out_after_a_quiet_time(40);
    assert!(later * 2 <= busy, "{later} calls in flight after a quiet time, {busy} before it");
    assert!(later >= 40, "{later} calls in flight: never below the initial window");
}
