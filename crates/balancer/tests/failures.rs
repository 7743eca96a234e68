//! One small test for each failure found; `docs/incidents/` and the commits tell their stories.

mod support;
use runtrack_balancer::*;
use std::collections::HashMap;
use std::time::Duration;
use support::*;

/// An outcome and its time for endpoints of which `bad` is true; the others answer in 20 ms.
fn where_bad(
    bad: impl Fn(EndpointId) -> bool,
    how: Outcome,
    elapsed: u64,
) -> impl Fn(EndpointId) -> (Outcome, u64) {
    move |to| if bad(to) { (how, elapsed) } else { (Outcome::Ok, 20) }
}

fn the_first(to: EndpointId) -> bool {
    to.0 == 1
}

/// How many attempts went to endpoints of which `which` is true.
fn sent_to(counts: &HashMap<EndpointId, usize>, which: impl Fn(EndpointId) -> bool) -> usize {
    counts.iter().filter(|(to, _)| which(**to)).map(|(_, n)| n).sum()
}

#[test]
fn quick_errors_do_not_win_the_samples() {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let counts = rounds(&mut d, 400, where_bad(the_first, Outcome::Error, 1));
    let bad = sent_to(&counts, the_first);
    assert!(bad < 40, "{bad} of 400 went to the endpoint that fails at once");
}

#[test]
fn an_endpoint_that_fails_alone_is_tried_again_once_it_has_cooled() {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    rounds(&mut d, 50, where_bad(the_first, Outcome::Error, 1));
    d.advance(ms(20_000));
    let counts = rounds(&mut d, 100, |_| (Outcome::Ok, 20));
    assert!(sent_to(&counts, the_first) > 10, "{counts:?}");
}

#[test]
fn a_dead_endpoint_alone_in_having_room_does_not_draw_everything() {
    // i1f175a: the live endpoints were at their limits, the dead one failed every connect at once.
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
fn failures_that_all_endpoints_share_do_not_fill_their_limits() {
    // A lower tier that fails shows at every endpoint alike; it must not close them all.
    let mut d = Driver::new(Settings::default(), endpoints(4));
    rounds(&mut d, 60, |_| (Outcome::Error, 5));
    let taken = (0..8).filter(|_| !sends(&d.request(ms(60_000)).1).is_empty()).count();
    assert_eq!(taken, 8, "eight calls fit four endpoints that nothing tells apart");
}

#[test]
fn endpoints_have_limits_and_the_rest_is_held() {
    let mut d = Driver::new(Settings::default(), endpoints(2));
    let held = (0..100).filter(|_| sends(&d.request(ms(60_000)).1).is_empty()).count();
    assert!(held > 80, "only {held} of 100 requests were held at first sight of two endpoints");
}

#[test]
fn a_held_request_goes_out_when_a_call_ends() {
    let mut d = Driver::new(Settings::default(), endpoints(1));
    let mut first = None;
    let held = loop {
        let (id, actions) = d.request(ms(60_000));
        if sends(&actions).is_empty() {
            break id;
        }
        first.get_or_insert(id);
    };
    let actions = d.end(first.expect("one was sent"), Outcome::Ok, ms(10));
    assert!(actions.iter().any(|a| matches!(a, Action::Send { request, .. } if *request == held)));
}

#[test]
fn held_requests_leave_by_value() {
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
fn a_request_that_would_come_too_late_is_refused_early() {
    let mut d = Driver::new(Settings::default(), endpoints(1));
    d.fill();
    let (id, _) = d.request(ms(1900));
    // The objective is half a second; the client would wait for almost two.
    assert!(refused(&d.advance(ms(700)), id));
}

#[test]
fn late_answers_shrink_what_is_out() {
    // i273a8c: sixty balancers, each with a call at every endpoint, jammed a tier together.
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
        "sixty balancers with a call each are plenty for eight endpoints that answer late"
    );
}

#[test]
fn a_slow_endpoint_is_avoided_and_tried_again() {
    let mut d = Driver::new(Settings { tier: 1, ..Settings::default() }, endpoints(4));
    rounds(&mut d, 100, |_| (Outcome::Ok, 20));
    let slow = where_bad(the_first, Outcome::Ok, 200);
    rounds(&mut d, 20, &slow);
    let counts = rounds(&mut d, 200, &slow);
    let some = sent_to(&counts, the_first);
    assert!(some < 25, "{some} of 200 went to the slow endpoint");
    d.advance(ms(30_000));
    let counts = rounds(&mut d, 100, |_| (Outcome::Ok, 20));
    assert!(sent_to(&counts, the_first) > 10, "{counts:?}");
}

/// Of 200 calls, two seconds apart, those that go to the first of five endpoints that answers like this. Each endpoint is
/// met once in ten seconds.
fn met_seldom(how: Outcome, elapsed: u64) -> usize {
    let mut d = Driver::new(Settings { tier: 1, balancers: 300, ..Settings::default() }, endpoints(5));
    rounds(&mut d, 100, |_| (Outcome::Ok, 20));
    let bad = where_bad(the_first, how, elapsed);
    let mut some = 0;
    for _ in 0..200 {
        d.advance(ms(2_000));
        some += sent_to(&rounds(&mut d, 1, &bad), the_first);
    }
    some
}

#[test]
fn an_endpoint_that_is_met_seldom_is_remembered_for_as_many_calls() {
    // Three hundred callers each met a slow or failing endpoint once in seconds, had forgotten it by then, and all of
    // them together kept it busy.
    let slow = met_seldom(Outcome::Ok, 200);
    assert!(slow < 30, "{slow} of 200 calls went to a slow endpoint; an even share is 40");
    let failing = met_seldom(Outcome::Error, 1);
    assert!(failing < 30, "{failing} of 200 calls went to one that fails at once");
}

#[test]
fn callers_of_a_zone_share_its_endpoints_with_as_many_as_were_meant() {
    // Parts were reckoned as if all callers sent to each zone first: of three zones, an endpoint had a third of the
    // callers that were meant (here the least part of four endpoints, so four), which could not even out.
    let mut callers: HashMap<EndpointId, usize> = HashMap::new();
    for balancer_index in 0..20 {
        let settings = Settings { tier: 1, balancer_index, balancers: 60, zones: 3, ..Settings::default() };
        let mut d = Driver::new(settings, endpoints(20));
        for id in rounds(&mut d, 600, |_| (Outcome::Ok, 20)).into_keys() {
            *callers.entry(id).or_default() += 1;
        }
    }
    assert_eq!(callers.len(), 20, "none is left out");
    assert!(callers.values().all(|n| (8..=10).contains(n)), "{callers:?}");
}

#[test]
fn retries_stay_within_their_budget() {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let counts = rounds(&mut d, 500, |_| (Outcome::Error, 1));
    let attempts: usize = counts.values().sum();
    assert!(attempts < 650, "{attempts} attempts for 500 requests that all fail");
}

#[test]
fn state_is_given_up_through_a_long_day() {
    // Endpoints come and go and requests end in every way; what is held must not grow.
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
    assert!(sizes.iter().all(|size| *size <= 4), "after each round only the list is left: {sizes:?}");
}

/// Fills one endpoint, lets the first held request wait for so long, and tells which request the next free place
/// goes to: whether to the newest, a request that has just come.
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
    actions.iter().find_map(sent).expect("a place came free") == newest
}

#[test]
fn of_equals_the_newest_held_request_goes_first_in_a_jam() {
    // ib59d06, i41763e: in a jam, first come first served answers everything after its objective.
    assert!(newest_goes_first(ms(150)), "a third of the objective has gone");
}

#[test]
fn of_equals_the_oldest_held_request_goes_first_while_there_is_time() {
    assert!(!newest_goes_first(ms(50)), "a tenth of the objective has gone");
}

#[test]
fn a_tenant_far_over_its_share_waits_behind_the_others() {
    let tenants = vec![Tenant { allowance_per_s: 100.0, portion: 0.33 }; 3];
    let settings = Settings { tenants, over_share_value: 0.05, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(1));
    let (mut asked, mut served) = ([0.0; 3], [0.0; 3]);
    let mut whose = HashMap::new();
    for n in 0..2000 {
        // Tenant 0 asks five times as much as either of the others; half of it all can be served.
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
    assert!(part(0) > 0.2, "what lies within its share is served: {}", part(0));
    assert!(part(1) > part(0) * 1.3 && part(2) > part(0) * 1.3, "{} {} {}", part(0), part(1), part(2));
}

#[test]
fn a_fleet_half_dead_does_not_pass_for_normal() {
    // With the median's heat as the common part, half the fleet dead made the dead look like the rest.
    let mut d = Driver::new(Settings::default(), endpoints(8));
    let dead = |to: EndpointId| to.0 <= 4;
    let counts = rounds(&mut d, 400, where_bad(dead, Outcome::ConnectFailed, 1));
    let lost = sent_to(&counts, dead);
    assert!(lost < 80, "{lost} attempts went to the dead half");
}

#[test]
fn one_zone_lost_sends_its_traffic_elsewhere() {
    let mut d = Driver::new(Settings::default(), three_zones());
    let home = |to: EndpointId| to.0.is_multiple_of(3);
    let counts = rounds(&mut d, 300, where_bad(home, Outcome::ConnectFailed, 1));
    let away = sent_to(&counts, |to| !home(to));
    assert!(away > 250, "{away} of 300 were served elsewhere: {counts:?}");
}

#[test]
fn partial_loss_to_one_endpoint_moves_calls_away_but_not_for_good() {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let n = std::cell::Cell::new(0);
    let flaky = |to: EndpointId| {
        n.set(n.get() + 1);
        if to.0 == 1 && n.get() % 2 == 0 { (Outcome::Reset, 5) } else { (Outcome::Ok, 20) }
    };
    let counts = rounds(&mut d, 800, flaky);
    let flaky = sent_to(&counts, the_first);
    assert!((4..140).contains(&flaky), "{flaky} of 800 went to the endpoint that loses half");
}

#[test]
fn a_silent_discovery_leaves_the_last_list_in_use() {
    let settings = Settings { discovery: Discovery::Subscribe, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(3));
    for _ in 0..10 {
        d.list(Membership::Failed);
        d.advance(ms(20_000));
    }
    assert_eq!(sends(&d.request(ms(900)).1).len(), 1);
}

#[test]
fn reports_that_lie_or_stop_change_nothing() {
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
fn a_coarse_clock_keeps_the_rules() {
    // All events of half a second come at one instant; the driver's checker watches the rules.
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

/// Keeps requests waiting and ends the oldest call, `rounds` times; returns how many calls are out.
fn out_after(d: &mut Driver, rounds: usize, elapsed: u64) -> usize {
    for _ in 0..rounds {
        d.fill();
        let id = d.out[0].0;
        d.end(id, Outcome::Ok, ms(elapsed));
    }
    d.out.len()
}

#[test]
fn late_answers_leave_each_balancer_its_part() {
    // i1f175a: the balancers that started first were starved by those that had measured a crowd.
    let settings = Settings { balancers: 5, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(30));
    out_after(&mut d, 100, 10);
    let left = out_after(&mut d, 400, 900);
    assert!((6..=7).contains(&left), "{left} calls out: thirty endpoints over five balancers are six");
}

#[test]
fn a_large_window_gains_less_than_a_small_one() {
    let growth = |timely: usize| {
        let settings = Settings { balancers: 10, ..Settings::default() };
        let mut d = Driver::new(settings, endpoints(60));
        out_after(&mut d, 30, 10);
        out_after(&mut d, 60, 900); // ends the opening and leaves the window small
        let before = out_after(&mut d, timely, 10);
        out_after(&mut d, 60, 10) - before
    };
    let (early, late) = (growth(1), growth(400));
    assert!(late * 2 <= early, "60 timely answers added {early} calls at first, {late} to a large window");
}

/// Endpoints that a caller of such a tier uses, by count, when all answer.
fn used_by(tier: u32, balancer_index: u32, balancers: u32, n: u64) -> HashMap<EndpointId, usize> {
    let settings = Settings { tier, balancer_index, balancers, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(n));
    rounds(&mut d, 600, |_| (Outcome::Ok, 20))
}

#[test]
fn callers_inside_a_tier_share_the_endpoints_evenly() {
    // ib8145a: 41 callers kept idle connections to each of 66 endpoints, whose tables took their capacity.
    let mut callers: HashMap<EndpointId, usize> = HashMap::new();
    for balancer_index in 0..40 {
        let used = used_by(1, balancer_index, 40, 60);
        assert!(used.len() <= 14, "caller {balancer_index} used {} of 60 endpoints", used.len());
        for id in used.into_keys() {
            *callers.entry(id).or_default() += 1;
        }
    }
    assert_eq!(callers.len(), 60, "none is left out");
    assert!(callers.values().all(|n| (8..=10).contains(n)), "{callers:?}");
}

#[test]
fn few_callers_leave_no_endpoint_out() {
    assert_eq!(used_by(1, 1, 3, 40).len(), 40);
}

#[test]
fn a_caller_whose_part_is_lost_uses_the_others() {
    let settings = Settings { tier: 1, balancer_index: 3, balancers: 40, ..Settings::default() };
    let part = used_by(1, 3, 40, 60);
    let mut d = Driver::new(settings, endpoints(60));
    let dead = |to: EndpointId| part.contains_key(&to);
    let how = where_bad(dead, Outcome::ConnectFailed, 5);
    rounds(&mut d, 100, &how);
    let lost = sent_to(&rounds(&mut d, 100, &how), dead);
    assert!(lost < 30, "{lost} of 100 and more attempts still went to the part that is dead");
}

#[test]
fn a_jam_that_lasts_does_not_pass_for_normal() {
    // ib8145a: the unhurried mean rose with each answer, from 84 to 146 ms in half a minute of jam.
    let settings = Settings { balancers: 5, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(30));
    out_after(&mut d, 100, 10);
    for _ in 0..3000 {
        d.advance(ms(3));
        out_after(&mut d, 1, 100);
    }
    assert!(d.out.len() <= 7, "{} calls out after nine seconds of answers ten times as slow", d.out.len());
}

#[test]
fn a_balancer_that_carries_most_of_the_traffic_may_use_the_fleet() {
    // Its part of one call an endpoint is the least a window falls to, not the most it may grow to.
    let settings = Settings { balancers: 10, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(40));
    out_after(&mut d, 20, 10);
    out_after(&mut d, 1, 900); // ends the opening
    let out = out_after(&mut d, 1500, 10);
    assert!(out > 80, "{out} calls out where forty endpoints answer in time");
}

#[test]
fn an_endpoint_that_turns_good_and_bad_is_used_less_but_not_lost() {
    let mut d = Driver::new(Settings::default(), endpoints(5));
    let (mut bad, mut good) = (0, 0);
    for phase in 0..10 {
        let failing = phase % 2 == 0;
        let how = where_bad(|to| failing && the_first(to), Outcome::Error, 2);
        let count = sent_to(&rounds(&mut d, 200, how), the_first);
        if failing {
            bad += count
        } else {
            good += count
        }
        d.advance(ms(1000));
    }
    assert!(bad < 100, "{bad} of 1000 went to it while it failed; an even share is 200");
    assert!(good > 100, "only {good} of 1000 went to it while it was well");
}

#[test]
fn balancers_of_the_first_tier_keep_to_parts_too() {
    // i44da9d: a hundred balancers each met an endpoint once in seconds and learned nothing of it.
    let used = used_by(0, 7, 40, 60).len();
    assert!(used <= 14, "{used} of 60 endpoints used");
    assert_eq!(used_by(0, 1, 2, 30).len(), 30, "few balancers use all");
}

#[test]
fn parts_are_even_where_balancers_are_numbered_in_blocks_by_zone() {
    // The first twenty of eighty balancers share a zone: their parts must still cover all of it.
    let mut callers: HashMap<EndpointId, usize> = HashMap::new();
    for balancer_index in 0..20 {
        for id in used_by(0, balancer_index, 80, 20).into_keys() {
            *callers.entry(id).or_default() += 1;
        }
    }
    assert_eq!(callers.len(), 20, "none is left out");
    assert!(callers.values().all(|n| (2..=6).contains(n)), "{callers:?}");
}

#[test]
fn draws_reach_the_whole_of_a_large_fleet() {
    let used = used_by(0, 0, 1, 200).len();
    assert!(used > 180, "only {used} of 200 endpoints used");
}

/// Calls of the lesser class that go out after one of the given class was refused unsent.
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
fn low_values_find_less_room_while_higher_ones_are_refused() {
    // i9329e9: each of many balancers had so few calls out that nothing was held to be put in order.
    let (after_higher, after_lower) =
        (low_value_out_after_refusal_of(1), low_value_out_after_refusal_of(0));
    assert!(after_higher * 2 < after_lower, "{after_higher} and {after_lower} calls");
}

/// The zone of an endpoint of `three_zones` is the balancer's own.
fn at_home(to: EndpointId) -> bool {
    to.0.is_multiple_of(3)
}

#[test]
fn a_crowded_zone_does_not_shut_the_others() {
    // prairie-parts at full size: late answers of the own zone held back what others had room for.
    let settings = Settings { balancers: 4, ..Settings::default() };
    let mut d = Driver::new(settings, three_zones());
    for _ in 0..400 {
        d.fill();
        let (id, to) = (d.out[0].0, d.out[0].2);
        d.end(id, Outcome::Ok, ms(if at_home(to) { 900 } else { 10 }));
    }
    d.fill();
    let away = d.out.iter().filter(|o| !at_home(o.2)).count();
    assert!(away >= 6, "{away} calls out in zones that answer in time");
}

#[test]
fn many_balancers_do_not_open_with_a_jam() {
    // i9329e9: 203 balancers, each with a window of eight, put twenty calls on each of 67 endpoints.
    let first_out = |balancers: u32| {
        let mut d = Driver::new(Settings { balancers, ..Settings::default() }, endpoints(64));
        d.fill();
        d.out.len()
    };
    assert!(first_out(200) <= 2, "{} calls of each of 200 balancers", first_out(200));
    assert!(first_out(4) >= 16, "{} calls of each of 4 balancers", first_out(4));
}

/// Serves well for a while, then leaves the last `silent` attempts unanswered for as long as given.
fn falls_silent(settings: Settings, silent: usize) -> (Driver, Vec<Action>) {
    let mut d = Driver::new(settings, endpoints(8));
    rounds(&mut d, 200, |_| (Outcome::Ok, 20));
    let mut actions = Vec::new();
    for _ in 0..silent {
        d.request(ms(5000));
        actions.extend(d.advance(ms(30)));
    }
    actions.extend(d.advance(ms(400)));
    (d, actions)
}

fn copies() -> Settings {
    let limits = Limits { hedging: true, ..Limits::default() };
    Settings { limits, ..Settings::default() }
}

#[test]
fn silent_endpoints_get_second_copies_once_silence_is_evident() {
    // icb4826: answers that never came held requests until their deadlines.
    let lone = sends(&falls_silent(copies(), 1).1).len();
    assert_eq!(lone, 2, "one long overdue gets a copy, and as that is never answered another one");
    let soon = sends(&falls_silent(copies(), 0).1).len();
    assert_eq!(soon, 0, "none where all answers came");
    let again = sends(&falls_silent(copies(), 4).1).len();
    assert!((2..=8).contains(&again), "{again} second copies for four silent attempts and their copies");
}

#[test]
fn without_second_copies_a_silent_attempt_is_cancelled_first() {
    let (mut d, actions) = falls_silent(Settings::default(), 4);
    assert!(sends(&actions).is_empty());
    let Some(Action::Cancel { request, .. }) = actions.iter().find(|a| matches!(a, Action::Cancel { .. }))
    else {
        panic!("nothing cancelled: {actions:?}");
    };
    assert_eq!(sends(&d.end(*request, Outcome::Cancelled, ms(300))).len(), 1, "then sent again");
}

#[test]
fn unsafe_requests_never_get_a_second_copy() {
    let settings = Settings { classes: with_class(Semantics::Unsafe).classes, ..copies() };
    assert!(sends(&falls_silent(settings, 6).1).is_empty());
}

#[test]
fn slow_answers_are_a_jam_and_get_no_copies() {
    let mut d = Driver::new(Settings { tier: 1, ..copies() }, endpoints(8));
    rounds(&mut d, 200, |_| (Outcome::Ok, 20));
    rounds(&mut d, 20, |_| (Outcome::Ok, 200));
    for _ in 0..6 {
        d.request(ms(5000));
    }
    assert!(sends(&d.advance(ms(4000))).is_empty(), "copies would feed the jam");
}

#[test]
fn connections_that_lay_idle_are_closed_first_once_such_fell_silent() {
    let (mut d, _) = falls_silent(copies(), 4);
    d.advance(ms(1000));
    let closes = |d: &mut Driver| {
        let (id, actions) = d.request(ms(5000));
        let to = sends(&actions)[0];
        let closed = actions.contains(&Action::CloseIdle { endpoint: to });
        d.end(id, Outcome::Ok, ms(20));
        (to, closed)
    };
    let (to, closed) = closes(&mut d);
    assert!(closed, "what lay idle for longer than what fell silent is not trusted");
    let again = (0..60).map(|_| closes(&mut d)).find(|(next, _)| *next == to);
    assert_eq!(again, Some((to, false)), "a connection just used is");
}

#[test]
fn silent_timeouts_do_not_shrink_what_is_out() {
    // icb4826: time-outs passed for lateness, windows fell to one and requests were refused unsent.
    let window_after = |silent: bool| {
        let mut d = Driver::new(Settings { balancers: 4, ..copies() }, endpoints(40));
        out_after(&mut d, 100, 20);
        let ids: Vec<RequestId> = d.out.iter().map(|o| o.0).take(80).collect();
        d.advance(ms(if silent { 1000 } else { 0 }));
        for id in ids {
            while d.out.iter().any(|o| o.0 == id) {
                d.end(id, Outcome::TimedOut, ms(1000));
            }
        }
        d.fill();
        d.out.len()
    };
    let (silent, jammed) = (window_after(true), window_after(false));
    assert!(silent > jammed, "{silent} calls out after silence, {jammed} after plain time-outs");
}

#[test]
fn windows_of_many_balancers_open_by_parts_of_a_call() {
    // i5318be: windows that doubled each round trip put thirty calls on each endpoint within four seconds.
    let grown = |balancers: u32| {
        let mut d = Driver::new(Settings { balancers, ..Settings::default() }, endpoints(20));
        d.fill();
        let before = d.out.len();
        out_after(&mut d, 20, 10) - before
    };
    assert!(grown(100) <= 5, "{} calls more out of each of 100 balancers", grown(100));
    assert!(grown(2) >= 12, "{} calls more out of each of 2 balancers", grown(2));
}

#[test]
fn a_jam_shows_before_twenty_answers_have_come() {
    // i5318be: each of many balancers had seen ten answers when the first tier was jammed, and judged none.
    let mut d = Driver::new(Settings { balancers: 10, ..Settings::default() }, endpoints(60));
    out_after(&mut d, 6, 20);
    let before = d.out.len();
    // A fifth of the objective, five times what an answer took: late.
    let after = out_after(&mut d, 8, 100);
    assert!(after + 2 <= before, "{before} calls out before the jam, {after} in it");
}

#[test]
fn clients_that_leave_a_jam_count_as_late_answers() {
    let calls_out = |left_after: u64| {
        let mut d = Driver::new(Settings { balancers: 4, ..Settings::default() }, endpoints(40));
        out_after(&mut d, 100, 20);
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
    assert!(late + 10 < early, "{late} calls out after late leavers, {early} after early ones");
}

#[test]
fn windows_at_their_floors_share_what_endpoints_can_hold() {
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
    assert_eq!(left(100), 1, "a hundred balancers hold a hundred calls at six endpoints");
    assert_eq!(left(20), 2, "twenty may hold one in the own zone and one elsewhere");
}

#[test]
fn first_tries_go_before_clients_repeats() {
    // i5318be: two in three of the requests served in a jam were repeats, already past their objective.
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
    assert_eq!(sent.first(), Some(&RequestId(1_000_001)), "the repeat came last, and of equals goes first");
}

#[test]
fn a_refusal_says_when_to_come_back() {
    let mut d = Driver::new(Settings::default(), endpoints(2));
    rounds(&mut d, 50, |_| (Outcome::Ok, 40));
    d.list(Membership::Full(Vec::new()));
    let (id, _) = d.request(ms(500));
    let actions = d.advance(ms(500));
    let advice = actions.iter().find_map(|action| match action {
        Action::Refuse { request, retry_after } if *request == id => *retry_after,
        _ => None,
    });
    assert!(advice.is_some_and(|wait| (ms(20)..=ms(1000)).contains(&wait)), "{advice:?}");
}

/// Seconds drawn evenly in the exponential distribution's order statistics: long and uneven work.
fn uneven(mean: f64, draw: u64) -> Duration {
    // A fixed scramble of 0..997, so that short and long come in no order.
    let place = ((draw * 617 + 331) % 997) as f64 + 0.5;
    Duration::from_secs_f64(-(1.0 - place / 997.0).ln() * mean)
}

#[test]
fn first_answers_to_long_uneven_work_do_not_make_the_rest_late() {
    // Each call takes its own time whatever else is out: nothing is ever crowded, so nothing may be refused.
    let class = Class { objective: ms(2500), deadline: ms(6000), ..Class::default() };
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(16));
    let mut ends: Vec<(Duration, RequestId, Duration)> = Vec::new();
    let (mut seen, mut turned_away) = (0, 0);
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
            turned_away += refusals(&d.advance(next.0.saturating_sub(d.now)));
            ends.retain(|end| end.1 != next.1);
            turned_away += refusals(&d.end(next.1, Outcome::Ok, next.2));
        }
        turned_away += refusals(&d.advance(until.saturating_sub(d.now)));
        turned_away += refusals(&d.request_of(0, n % 2, ms(6000)).1);
    }
    assert!(turned_away < 40, "{turned_away} of 4,000 were refused, and no endpoint was crowded");
}

fn refusals(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Refuse { .. })).count()
}

#[test]
fn room_that_is_not_used_is_not_kept() {
    // Windows stood at twice what was out when everything slowed down: all endpoints filled up within a second
    // and stayed slow for half a minute (the second deployment's days of shared slowdowns).
    let out_after_a_quiet_time = |quiet: u64| {
        let mut d = Driver::new(Settings::default(), endpoints(12));
        let busy = out_after(&mut d, 400, 10);
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
    assert!(at_once * 10 >= busy * 9, "{at_once} calls out again at once, {busy} before");
    let (busy, later) = out_after_a_quiet_time(40);
    assert!(later * 2 <= busy, "{later} calls out at once after a quiet time, {busy} before it");
    assert!(later >= 40, "{later} calls out: never less than a window starts with");
}
