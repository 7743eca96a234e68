//! Routing decisions of the fleet's proxy: SQ(d), and each refinement of it.

use runtrack_balancer::fleet::{Placement, Prompt, RetryBudget, Router, SelectionRequest};
use runtrack_balancer::{EndpointId, Outcome};
use std::collections::BTreeMap;
use std::time::Duration;

const RETRY_BUDGET: RetryBudget = RetryBudget { ratio: 0.2, slack: 56.0, window: Duration::from_secs(10) };

fn router(seed: u64) -> Router {
    Router::new(seed, RETRY_BUDGET, 8)
}

fn endpoints(count: u64) -> Vec<EndpointId> {
    (1..=count).map(|id| EndpointId(id.wrapping_mul(0x9e37_79b9_7f4a_7c15))).collect()
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn choose(
    router: &mut Router,
    now: Duration,
    ready: &[EndpointId],
    tried: &[EndpointId],
) -> Option<EndpointId> {
    router.choose(SelectionRequest { now, ready, tried, prompt: None })
}

/// Counts how often each endpoint is chosen in `calls` calls, none of which ends.
fn shares(
    router: &mut Router,
    ready: &[EndpointId],
    calls: usize,
    prompt: Option<Prompt>,
) -> BTreeMap<EndpointId, u32> {
    let mut shares = BTreeMap::new();
    for _ in 0..calls {
        let id = router
            .choose(SelectionRequest { now: at(0), ready, tried: &[], prompt })
            .expect("there are endpoints");
        router.on_sent(at(0), id, None);
        *shares.entry(id).or_default() += 1;
    }
    shares
}

/// A router with complete knowledge of other proxies' placements.
fn informed(seed: u64) -> Router {
    let mut router = router(seed);
    router.set_all_placements_known();
    router.set_fleet_pending_prefill(at(0), &[], &[]);
    router
}

fn choose_for(router: &mut Router, ready: &[EndpointId], prompt: Prompt) -> EndpointId {
    let request = SelectionRequest { now: at(0), ready, tried: &[], prompt: Some(prompt) };
    router.choose(request).expect("there are endpoints")
}

#[test]
fn idle_endpoints_are_drawn_evenly() {
    let ready = endpoints(9);
    let mut drawn: BTreeMap<EndpointId, u32> = BTreeMap::new();
    let mut router = router(1);
    for _ in 0..9000 {
        *drawn.entry(choose(&mut router, at(0), &ready, &[]).expect("one")).or_default() += 1;
    }
    assert!(drawn.values().all(|count| (850..1150).contains(count)), "{drawn:?}");
}

#[test]
fn lower_count_of_a_sample_wins() {
    let ready = endpoints(2);
    let mut router = router(2);
    router.on_sent(at(0), ready[0], None);
    for _ in 0..100 {
        assert_eq!(choose(&mut router, at(0), &ready, &[]), Some(ready[1]));
    }
    router.on_sent(at(0), ready[1], None);
    router.on_sent(at(0), ready[1], None);
    assert_eq!(choose(&mut router, at(0), &ready, &[]), Some(ready[0]));
}

#[test]
fn two_choices_keep_the_fullest_endpoint_near_the_mean() {
    // Mitzenmacher 2001: with two choices the largest load exceeds the mean by log log n / log 2, about 2 here; with
    // one it would be 20 above.
    let shares = shares(&mut router(3), &endpoints(100), 10_000, None);
    let most = shares.values().max().expect("a share");
    assert!(*most <= 104, "{most} of 10,000 calls at the fullest of 100 endpoints");
}

#[test]
fn ties_are_broken_at_random() {
    let ready = endpoints(2);
    let mut router = router(4);
    let first = (0..1000).filter(|_| choose(&mut router, at(0), &ready, &[]) == Some(ready[0])).count();
    assert!((400..600).contains(&first), "{first}");
}

#[test]
fn tried_endpoints_are_not_chosen_again() {
    let ready = endpoints(3);
    let mut router = router(5);
    for _ in 0..50 {
        assert_eq!(choose(&mut router, at(0), &ready, &ready[..2]), Some(ready[2]));
    }
    assert_eq!(choose(&mut router, at(0), &ready, &ready), None);
    assert_eq!(choose(&mut router, at(0), &[], &[]), None);
}

#[test]
fn counts_fall_when_calls_end_with_any_outcome() {
    let ready = endpoints(2);
    let mut router = router(6);
    for outcome in [Outcome::Ok, Outcome::Cancelled, Outcome::NotSent] {
        router.on_sent(at(0), ready[0], None);
        assert_eq!(router.in_flight(ready[0]), 1);
        router.on_ended(at(0), ready[0], outcome);
        assert_eq!(router.in_flight(ready[0]), 0);
    }
    let first = (0..1000).filter(|_| choose(&mut router, at(0), &ready, &[]) == Some(ready[0])).count();
    assert!((400..600).contains(&first), "none of these outcomes counts against an endpoint: {first}");
}

#[test]
fn endpoint_with_fast_errors_does_not_win() {
    let ready = endpoints(2);
    let mut router = router(7);
    router.on_sent(at(0), ready[0], None);
    router.on_ended(at(0), ready[0], Outcome::Error);
    router.on_sent(at(0), ready[1], None);
    for _ in 0..50 {
        assert_eq!(
            choose(&mut router, at(10), &ready, &[]),
            Some(ready[1]),
            "one call weighs less than an error"
        );
    }
    router.on_ended(at(10), ready[1], Outcome::Ok);
    let later = (0..100).filter(|_| choose(&mut router, at(60_000), &ready, &[]) == Some(ready[0])).count();
    assert!(later > 20, "the penalty of an error decays");
}

#[test]
fn unreachable_endpoint_is_ejected_for_longer_each_time() {
    let ready = endpoints(2);
    let mut router = router(8);
    let chosen = |router: &mut Router, now: u64| {
        (0..40).any(|_| choose(router, at(now), &ready, &[]) == Some(ready[0]))
    };
    let mut now = 0;
    let mut spans = Vec::new();
    for _ in 0..5 {
        router.on_sent(at(0), ready[0], None);
        router.on_ended(at(now), ready[0], Outcome::ConnectFailed);
        let failed = now;
        // Load the other endpoint, so that the failure penalty alone does not exclude the first one.
        for _ in 0..30 {
            router.on_sent(at(0), ready[1], None);
        }
        while !chosen(&mut router, now) {
            now += 50;
        }
        for _ in 0..30 {
            router.on_ended(at(now), ready[1], Outcome::Ok);
        }
        spans.push(now - failed);
    }
    assert!(spans.windows(2).all(|pair| pair[0] <= pair[1]), "{spans:?}");
    assert!(spans[0] >= 500 && spans[4] >= 4000, "{spans:?}");
}

#[test]
fn if_all_endpoints_are_ejected_none_is() {
    let ready = endpoints(3);
    let mut router = router(9);
    for id in &ready {
        router.on_stall(at(0), *id);
    }
    assert!(choose(&mut router, at(1), &ready, &[]).is_some());
}

fn prompt(key: u64, shared_tokens: u32) -> Option<Prompt> {
    Some(Prompt::new([(key, shared_tokens)], 0))
}

#[test]
fn all_proxies_agree_on_the_endpoint_of_a_long_prefix() {
    let ready = endpoints(9);
    for key in 0..50 {
        let agreed = |seed| {
            router(seed).choose(SelectionRequest {
                now: at(0),
                ready: &ready,
                tried: &[],
                prompt: prompt(key, 13_000),
            })
        };
        let first = agreed(1);
        assert!((2..10).all(|seed| agreed(seed) == first));
    }
}

#[test]
fn agreed_endpoints_are_even_and_stable() {
    let ready = endpoints(9);
    let agreed = |ready: &[EndpointId], key| {
        router(1)
            .choose(SelectionRequest { now: at(0), ready, tried: &[], prompt: prompt(key, 13_000) })
            .expect("a home")
    };
    let mut shares: BTreeMap<EndpointId, u32> = BTreeMap::new();
    let (mut moved, without) = (0, &ready[1..]);
    for key in 0..3000 {
        let before = agreed(&ready, key);
        *shares.entry(before).or_default() += 1;
        if before != ready[0] && agreed(without, key) != before {
            moved += 1;
        }
    }
    assert!(shares.values().all(|share| (250..420).contains(share)), "{shares:?}");
    assert_eq!(moved, 0, "only prefixes of the removed endpoint may move");
}

#[test]
fn burst_of_one_prompt_is_spread_over_several_holders() {
    let ready = endpoints(9);
    let mut router = informed(10);
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    let prompt = Prompt::new([(77, 13_000)], 4000);
    for _ in 0..200 {
        let id = choose_for(&mut router, &ready, prompt);
        router.on_sent(at(0), id, Some(prompt));
        *counts.entry(id).or_default() += 1;
    }
    assert!(counts.len() > 4, "a burst of one prompt must not stay at a few endpoints: {counts:?}");
    let prefilled: u32 = router.pending_prefill().iter().map(|(_, tokens)| tokens).sum();
    let least = 200 * 4000 + 13_000 * counts.len() as u32;
    assert_eq!(prefilled, least, "each of them prefills the prefix once");
}

#[test]
fn short_prefixes_weigh_less_than_a_call() {
    let ready = endpoints(2);
    let mut router = informed(11);
    let prompt = Prompt::new([(5, 350)], 0);
    let holder = choose_for(&mut router, &ready, prompt);
    router.on_sent(at(0), holder, Some(prompt));
    assert_ne!(choose_for(&mut router, &ready, prompt), holder);
}

#[test]
fn retries_of_all_proxies_stay_within_budget() {
    // Eight proxies, one of which gets most of the requests; every request asks for a retry.
    let mut routers: Vec<Router> = (0..8).map(router).collect();
    let (mut requests, mut seconds) = (0.0, 0.0);
    for step in 0..2000u64 {
        let which = if step % 3 == 0 { (step % 8) as usize } else { 0 };
        let now = at(step * 4);
        routers[which].on_request(now, 1);
        requests += 1.0;
        if routers[which].try_acquire_retry(now, 1) {
            seconds += 1.0;
        }
    }
    assert!(seconds <= requests * RETRY_BUDGET.ratio + RETRY_BUDGET.slack, "{seconds} of {requests}");
    assert!(
        seconds >= requests * RETRY_BUDGET.ratio / 4.0,
        "{seconds} of {requests}: the budget must be usable"
    );
}

#[test]
fn budgets_are_per_service_and_windows_slide() {
    let mut router = Router::new(1, RetryBudget { slack: 2.0, ..RETRY_BUDGET }, 1);
    router.on_request(at(0), 1);
    assert!(router.try_acquire_retry(at(0), 1));
    assert!(!router.try_acquire_retry(at(1), 1));
    router.on_request(at(2), 2);
    assert!(router.try_acquire_retry(at(2), 2), "another service has its own budget");
    assert!(router.try_acquire_retry(at(10_001), 1), "the window has passed");
}

#[test]
fn proxies_share_the_slack() {
    let count = |proxies| {
        let mut router = Router::new(1, RETRY_BUDGET, proxies);
        (0..100).filter(|_| router.try_acquire_retry(at(0), 1)).count()
    };
    assert_eq!((count(1), count(4), count(28)), (28, 7, 1));
}

#[test]
fn retry_delays_are_spread() {
    let mut router = router(12);
    let waits: Vec<Duration> = (0..100).map(|_| router.retry_after()).collect();
    let (least, most) = (waits.iter().min().expect("one"), waits.iter().max().expect("one"));
    assert!(*least >= at(250) && *most <= at(500) && *most - *least > at(150), "{least:?} to {most:?}");
}

#[test]
fn pending_prefill_counts_until_the_answer_begins() {
    let ready = endpoints(2);
    let mut router = router(13);
    let own = Prompt::new([], 20_000);
    let tokens = router.on_sent(at(0), ready[0], Some(own));
    assert_eq!(tokens, 20_000);
    assert_eq!(router.pending_prefill(), [(ready[0], 20_000)]);
    for _ in 0..5 {
        router.on_sent(at(0), ready[1], None);
    }
    assert_eq!(
        choose(&mut router, at(0), &ready, &[]),
        Some(ready[1]),
        "five calls take less than 20,000 tokens"
    );
    router.prefill_finished(ready[0], tokens);
    assert_eq!(choose(&mut router, at(0), &ready, &[]), Some(ready[0]));
    assert!(router.pending_prefill().is_empty());
}

#[test]
fn reported_prefill_expires_and_excludes_own_requests() {
    let ready = endpoints(2);
    let mut router = router(14);
    let own = Prompt::new([], 4000);
    router.on_sent(at(0), ready[1], Some(own));
    let reported = router.pending_prefill();
    router.set_fleet_pending_prefill(at(0), &[(ready[0], 30_000), (ready[1], 4000)], &reported);
    for _ in 0..20 {
        assert_eq!(
            choose(&mut router, at(100), &ready, &[]),
            Some(ready[1]),
            "30,000 against 4,000 and a call"
        );
    }
    for _ in 0..20 {
        assert_eq!(
            choose(&mut router, at(1000), &ready, &[]),
            Some(ready[0]),
            "the report is too old to count"
        );
    }
    router.set_fleet_pending_prefill(at(1000), &[], &reported);
    assert_eq!(choose(&mut router, at(1000), &ready, &[]), Some(ready[0]));
}

#[test]
fn prefix_just_placed_by_another_proxy_counts_as_pending() {
    let ready = endpoints(2);
    let [placed] = reported_placements(ready[0], Prompt::new([(3, 13_000)], 0))[..] else { panic!("one") };
    let mut router = informed(23);
    let first = |router: &mut Router, ms| {
        (0..100).filter(|_| choose(router, at(ms), &ready, &[]) == Some(ready[0])).count()
    };
    router.learn_placement(at(0), placed);
    assert_eq!(first(&mut router, 100), 0, "the endpoint is prefilling it");
    assert!((25..75).contains(&first(&mut router, 1000)), "it has had time to prefill it");
    router.learn_placement(at(1000), placed);
    assert!((25..75).contains(&first(&mut router, 1000)), "a prefix that it holds is not prefilled again");
}

#[test]
fn report_of_pending_prefill_replaces_earlier_placements() {
    let ready = endpoints(2);
    let [placed] = reported_placements(ready[0], Prompt::new([(3, 13_000)], 0))[..] else { panic!("one") };
    let mut router = informed(24);
    router.learn_placement(at(0), placed);
    router.set_fleet_pending_prefill(at(50), &[(ready[0], 4000), (ready[1], 10_000)], &[]);
    assert!((0..50).all(|_| choose(&mut router, at(50), &ready, &[]) == Some(ready[0])));
}

#[test]
fn placements_learned_at_start_do_not_count_as_pending() {
    let ready = endpoints(2);
    let mut router = router(25);
    for placed in reported_placements(ready[0], Prompt::new([(3, 13_000)], 0)) {
        router.learn_placement(at(0), placed);
    }
    let first = (0..100).filter(|_| choose(&mut router, at(0), &ready, &[]) == Some(ready[0])).count();
    assert!((25..75).contains(&first), "{first}");
}

/// The placements that another proxy reports after sending a prompt to an endpoint.
fn reported_placements(endpoint: EndpointId, prompt: Prompt) -> Vec<Placement> {
    let mut other = informed(99);
    other.on_sent(at(0), endpoint, Some(prompt));
    other.take_unreported_placements(10)
}

#[test]
fn held_prefix_is_not_prefilled_again() {
    let ready = endpoints(3);
    let mut router = router(15);
    let prompt = Prompt::new([(9, 13_000)], 100);
    assert_eq!(router.on_sent(at(0), ready[0], Some(prompt)), 13_100);
    assert_eq!(router.on_sent(at(0), ready[0], Some(prompt)), 100);
    assert_eq!(router.on_sent(at(0), ready[1], Some(prompt)), 13_100, "another endpoint does not hold it");
    router.prefill_failed(ready[0], &prompt);
    assert_eq!(
        router.on_sent(at(0), ready[0], Some(prompt)),
        13_100,
        "the call that placed it there failed"
    );
}

#[test]
fn held_part_of_a_prefix_is_not_prefilled_again() {
    let ready = endpoints(3);
    let mut router = router(15);
    router.on_sent(at(0), ready[0], Some(Prompt::new([(1, 2500), (2, 4000)], 100)));
    assert_eq!(router.on_sent(at(0), ready[0], Some(Prompt::new([(1, 2500), (3, 4000)], 100))), 4100);
    assert_eq!(
        router.on_sent(at(0), ready[0], Some(Prompt::new([(3, 4000)], 100))),
        4100,
        "the same part at the start is another prefix"
    );
}

#[test]
fn prompt_goes_where_another_proxy_placed_its_prefix() {
    let ready = endpoints(100);
    let prompt = Prompt::new([(3, 13_000)], 100);
    for holder in &ready[..20] {
        let (mut one, mut other) = (informed(1), informed(2));
        one.on_sent(at(0), *holder, Some(prompt));
        for placement in one.take_unreported_placements(10) {
            other.learn_placement(at(0), placement);
        }
        assert_eq!(choose_for(&mut other, &ready, prompt), *holder);
        assert!(one.take_unreported_placements(10).is_empty(), "it is reported once");
        one.on_sent(at(1000), *holder, Some(prompt));
        assert!(one.take_unreported_placements(10).is_empty(), "but not at each use");
        one.on_sent(at(30_000), *holder, Some(prompt));
        assert_eq!(one.take_unreported_placements(10).len(), 1, "and again at intervals while in use");
    }
}

#[test]
fn short_prefix_is_not_reported() {
    let ready = endpoints(320);
    let mut router = informed(20);
    for (call, holder) in ready.iter().enumerate() {
        // A first part that is common to all prompts, and a second one that is not shared.
        let prompt = Prompt::new([(1, 210), (call as u64 + 2, 140)], 1100);
        router.on_sent(at(call as u64), *holder, Some(prompt));
    }
    assert!(router.take_unreported_placements(1000).is_empty(), "640 placements would be reported");
    router.on_sent(at(1000), ready[0], Some(Prompt::new([(1, 210), (1000, 4000)], 1100)));
    let reported = router.take_unreported_placements(1000);
    let tokens: Vec<u32> = reported.iter().map(|placement| placement.part_tokens).collect();
    assert_eq!(tokens, [4000], "the long prefix that begins with the short one is reported");
}

#[test]
fn new_prefix_goes_to_agreed_endpoint_unless_it_is_loaded() {
    let ready = endpoints(9);
    let prompt = Prompt::new([(3, 13_000)], 100);
    let mut router = informed(16);
    let agreed = choose_for(&mut router, &ready, prompt);
    assert!((0..20).all(|seed| choose_for(&mut informed(seed), &ready, prompt) == agreed));
    router.set_fleet_pending_prefill(at(0), &[(agreed, 30_000)], &[]);
    assert!((0..20).all(|_| choose_for(&mut router, &ready, prompt) != agreed));
    // A router without knowledge of placements assumes that the agreed endpoint holds the prefix.
    let mut uninformed = self::router(16);
    uninformed.set_fleet_pending_prefill(at(0), &[(agreed, 30_000)], &[]);
    assert_eq!(choose_for(&mut uninformed, &ready, prompt), agreed);
}

#[test]
fn agreed_endpoint_is_assumed_to_hold_prefixes_without_reports() {
    let ready = endpoints(9);
    let prompt = Prompt::new([(3, 13_000)], 100);
    let mut router = informed(17);
    let agreed = choose_for(&mut router, &ready, prompt);
    for _ in 0..12 {
        router.on_sent(at(0), agreed, None);
    }
    assert_ne!(choose_for(&mut router, &ready, prompt), agreed, "twelve calls outweigh its advantage");
    let request = SelectionRequest { now: at(5000), ready: &ready, tried: &[], prompt: Some(prompt) };
    assert_eq!(router.choose(request), Some(agreed));
}

#[test]
fn least_recently_used_prefixes_are_evicted() {
    let endpoint = endpoints(1)[0];
    let mut router = informed(18);
    router.set_cache_tokens(endpoint, 40_000); // 75 % of it, 30,000, for prefixes
    let prompts: Vec<Prompt> = (1..=3).map(|key| Prompt::new([(key, 10_000)], 0)).collect();
    for (step, prompt) in prompts.iter().enumerate() {
        assert_eq!(router.on_sent(at(step as u64), endpoint, Some(*prompt)), 10_000);
    }
    assert_eq!(router.on_sent(at(10), endpoint, Some(prompts[0])), 0, "all three fit");
    assert_eq!(router.on_sent(at(11), endpoint, Some(Prompt::new([(4, 10_000)], 0))), 10_000);
    assert_eq!(router.on_sent(at(12), endpoint, Some(prompts[0])), 0, "recently used");
    assert_eq!(router.on_sent(at(13), endpoint, Some(prompts[1])), 10_000, "evicted");
}

#[test]
fn terminated_endpoint_holds_nothing() {
    let ready = endpoints(9);
    let prompt = Prompt::new([(3, 13_000)], 100);
    let mut router = informed(19);
    let holder = choose_for(&mut router, &ready, prompt);
    router.on_sent(at(0), holder, Some(prompt));
    router.forget(holder);
    assert!(router.take_unreported_placements(10).is_empty());
    assert_eq!(router.on_sent(at(1), holder, Some(prompt)), 13_100);
}

#[test]
fn parts_beyond_the_maximum_are_merged_into_the_last() {
    let prompt = Prompt::new((1..=7).map(|key| (key, 100)), 50);
    assert_eq!((prompt.prefixes().len(), prompt.shared_tokens(), prompt.own_tokens()), (4, 700, 50));
    let other = Prompt::new((1..=6).chain([9]).map(|key| (key, 100)), 50);
    assert_eq!(prompt.prefixes()[..3], other.prefixes()[..3]);
    assert_ne!(prompt.longest(), other.longest());
}

#[test]
fn loaded_holder_is_passed_over() {
    let ready = endpoints(9);
    let prompt = Prompt::new([(3, 13_000)], 0);
    let mut router = informed(16);
    let holder = choose_for(&mut router, &ready, prompt);
    router.on_sent(at(0), holder, Some(prompt));
    router.set_fleet_pending_prefill(at(0), &[(holder, 30_000)], &[]);
    assert_eq!(
        choose_for(&mut router, &ready, prompt),
        holder,
        "prefilling it again would also evict other prefixes"
    );
    router.set_fleet_pending_prefill(at(0), &[(holder, 80_000)], &[]);
    assert_ne!(choose_for(&mut router, &ready, prompt), holder);
}
