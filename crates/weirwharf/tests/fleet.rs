//! Decisions of the fleet's proxy: SQ(d) on the ordinary path, and each thing that is added to it.

use std::collections::BTreeMap;
use std::time::Duration;
use weirwharf::fleet::{Prompt, RetryBudget, Router, SelectionRequest};
use weirwharf::{EndpointId, Outcome};

const SECOND: RetryBudget = RetryBudget { ratio: 0.2, slack: 56.0, window: Duration::from_secs(10) };

fn router(seed: u64) -> Router {
    Router::new(seed, SECOND, 8)
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

/// How often each endpoint is chosen in so many calls of which none ends.
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
        router.sent(id, None);
        *shares.entry(id).or_default() += 1;
    }
    shares
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
fn the_lower_count_of_a_sample_wins() {
    let ready = endpoints(2);
    let mut router = router(2);
    router.sent(ready[0], None);
    for _ in 0..100 {
        assert_eq!(choose(&mut router, at(0), &ready, &[]), Some(ready[1]));
    }
    router.sent(ready[1], None);
    router.sent(ready[1], None);
    assert_eq!(choose(&mut router, at(0), &ready, &[]), Some(ready[0]));
}

#[test]
fn two_choices_keep_the_fullest_endpoint_near_the_mean() {
    // Mitzenmacher 2001: with two choices the largest load exceeds the mean by log log n / log 2, about 2 here; with one
    // it would be 20 above.
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
fn what_was_tried_is_not_chosen_again() {
    let ready = endpoints(3);
    let mut router = router(5);
    for _ in 0..50 {
        assert_eq!(choose(&mut router, at(0), &ready, &ready[..2]), Some(ready[2]));
    }
    assert_eq!(choose(&mut router, at(0), &ready, &ready), None);
    assert_eq!(choose(&mut router, at(0), &[], &[]), None);
}

#[test]
fn counts_fall_when_calls_end_whatever_way() {
    let ready = endpoints(2);
    let mut router = router(6);
    for outcome in [Outcome::Ok, Outcome::Cancelled, Outcome::Moot] {
        router.sent(ready[0], None);
        assert_eq!(router.in_flight(ready[0]), 1);
        router.ended(at(0), ready[0], outcome);
        assert_eq!(router.in_flight(ready[0]), 0);
    }
    let first = (0..1000).filter(|_| choose(&mut router, at(0), &ready, &[]) == Some(ready[0])).count();
    assert!((400..600).contains(&first), "none of these says anything against an endpoint: {first}");
}

#[test]
fn an_endpoint_whose_quick_errors_keep_its_count_low_does_not_win() {
    let ready = endpoints(2);
    let mut router = router(7);
    router.sent(ready[0], None);
    router.ended(at(0), ready[0], Outcome::Error);
    router.sent(ready[1], None);
    for _ in 0..50 {
        assert_eq!(
            choose(&mut router, at(10), &ready, &[]),
            Some(ready[1]),
            "one call weighs less than an error"
        );
    }
    router.ended(at(10), ready[1], Outcome::Ok);
    let later = (0..100).filter(|_| choose(&mut router, at(60_000), &ready, &[]) == Some(ready[0])).count();
    assert!(later > 20, "an error is forgotten");
}

#[test]
fn an_endpoint_that_can_not_be_reached_is_left_out_for_longer_each_time() {
    let ready = endpoints(2);
    let mut router = router(8);
    let chosen = |router: &mut Router, now: u64| {
        (0..40).any(|_| choose(router, at(now), &ready, &[]) == Some(ready[0]))
    };
    let mut now = 0;
    let mut spans = Vec::new();
    for _ in 0..5 {
        router.sent(ready[0], None);
        router.ended(at(now), ready[0], Outcome::ConnectFailed);
        let failed = now;
        // Calls at the other one, so that the weight of failures alone does not keep the first one out.
        for _ in 0..30 {
            router.sent(ready[1], None);
        }
        while !chosen(&mut router, now) {
            now += 50;
        }
        for _ in 0..30 {
            router.ended(at(now), ready[1], Outcome::Ok);
        }
        spans.push(now - failed);
    }
    assert!(spans.windows(2).all(|pair| pair[0] <= pair[1]), "{spans:?}");
    assert!(spans[0] >= 500 && spans[4] >= 4000, "{spans:?}");
}

#[test]
fn where_all_are_left_out_none_is() {
    let ready = endpoints(3);
    let mut router = router(9);
    for id in &ready {
        router.silent(at(0), *id);
    }
    assert!(choose(&mut router, at(1), &ready, &[]).is_some());
}

fn prompt(key: u64, shared_tokens: u32) -> Option<Prompt> {
    Some(Prompt { key, shared_tokens, own_tokens: 0 })
}

#[test]
fn a_long_shared_prompt_goes_home_and_all_proxies_know_the_same_home() {
    let ready = endpoints(9);
    for key in 0..50 {
        let home = |seed| {
            router(seed).choose(SelectionRequest {
                now: at(0),
                ready: &ready,
                tried: &[],
                prompt: prompt(key, 13_000),
            })
        };
        let first = home(1);
        assert!((2..10).all(|seed| home(seed) == first));
    }
}

#[test]
fn homes_are_spread_evenly_and_stay_when_others_come_and_go() {
    let ready = endpoints(9);
    let home = |ready: &[EndpointId], key| {
        router(1)
            .choose(SelectionRequest { now: at(0), ready, tried: &[], prompt: prompt(key, 13_000) })
            .expect("a home")
    };
    let mut shares: BTreeMap<EndpointId, u32> = BTreeMap::new();
    let (mut moved, without) = (0, &ready[1..]);
    for key in 0..3000 {
        let before = home(&ready, key);
        *shares.entry(before).or_default() += 1;
        if before != ready[0] && home(without, key) != before {
            moved += 1;
        }
    }
    assert!(shares.values().all(|share| (250..420).contains(share)), "{shares:?}");
    assert_eq!(moved, 0, "only what was at home where one left may move");
}

#[test]
fn a_full_home_spills_over_to_the_second_home_first() {
    let ready = endpoints(9);
    let mut router = router(10);
    let shares = shares(&mut router, &ready, 200, prompt(77, 13_000));
    let mut counts: Vec<u32> = shares.values().copied().collect();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    assert!(counts[0] + counts[1] >= 100, "half stay at the two homes: {counts:?}");
    assert!(counts.len() > 2, "a burst of one key does not stay at two endpoints: {counts:?}");
}

#[test]
fn short_shared_parts_weigh_less_than_a_call() {
    let ready = endpoints(2);
    let mut router = router(11);
    let home = router
        .choose(SelectionRequest { now: at(0), ready: &ready, tried: &[], prompt: prompt(5, 350) })
        .expect("a home");
    router.sent(home, None);
    let next =
        router.choose(SelectionRequest { now: at(0), ready: &ready, tried: &[], prompt: prompt(5, 350) });
    assert_ne!(next, Some(home));
}

#[test]
fn second_sends_of_all_proxies_together_stay_within_the_budget() {
    // Eight proxies, one sees most of the requests; every request wants a second endpoint.
    let mut routers: Vec<Router> = (0..8).map(router).collect();
    let (mut requests, mut seconds) = (0.0, 0.0);
    for step in 0..2000u64 {
        let which = if step % 3 == 0 { (step % 8) as usize } else { 0 };
        let now = at(step * 4);
        routers[which].arrived(now, 1);
        requests += 1.0;
        if routers[which].try_acquire_retry(now, 1) {
            seconds += 1.0;
        }
    }
    assert!(seconds <= requests * SECOND.ratio + SECOND.slack, "{seconds} of {requests}");
    assert!(
        seconds >= requests * SECOND.ratio / 4.0,
        "{seconds} of {requests}: the budget is there to be used"
    );
}

#[test]
fn budgets_of_services_are_apart_and_windows_slide() {
    let mut router = Router::new(1, RetryBudget { slack: 2.0, ..SECOND }, 1);
    router.arrived(at(0), 1);
    assert!(router.try_acquire_retry(at(0), 1));
    assert!(!router.try_acquire_retry(at(1), 1));
    router.arrived(at(2), 2);
    assert!(router.try_acquire_retry(at(2), 2), "another service has its own");
    assert!(router.try_acquire_retry(at(10_001), 1), "the window has gone by");
}

#[test]
fn more_proxies_share_the_same_slack() {
    let count = |proxies| {
        let mut router = Router::new(1, SECOND, proxies);
        (0..100).filter(|_| router.try_acquire_retry(at(0), 1)).count()
    };
    assert_eq!((count(1), count(4), count(28)), (28, 7, 1));
}

#[test]
fn times_to_come_back_are_spread() {
    let mut router = router(12);
    let waits: Vec<Duration> = (0..100).map(|_| router.retry_after()).collect();
    let (least, most) = (waits.iter().min().expect("one"), waits.iter().max().expect("one"));
    assert!(*least >= at(250) && *most <= at(500) && *most - *least > at(150), "{least:?} to {most:?}");
}

#[test]
fn what_an_endpoint_has_to_read_counts_until_it_answers() {
    let ready = endpoints(2);
    let mut router = router(13);
    let own = Prompt { key: 0, shared_tokens: 0, own_tokens: 20_000 };
    let tokens = router.sent(ready[0], Some(own));
    assert_eq!(tokens, 20_000);
    assert_eq!(router.backlog(), [(ready[0], 20_000)]);
    for _ in 0..5 {
        router.sent(ready[1], None);
    }
    assert_eq!(
        choose(&mut router, at(0), &ready, &[]),
        Some(ready[1]),
        "five calls take less than 20,000 tokens"
    );
    router.prefill_finished(ready[0], tokens);
    assert_eq!(choose(&mut router, at(0), &ready, &[]), Some(ready[0]));
    assert!(router.backlog().is_empty());
}

#[test]
fn what_others_have_sent_counts_for_a_moment_and_own_requests_not_twice() {
    let ready = endpoints(2);
    let mut router = router(14);
    let own = Prompt { key: 0, shared_tokens: 0, own_tokens: 4000 };
    router.sent(ready[1], Some(own));
    let told = router.backlog();
    router.set_fleet_backlog(at(0), &[(ready[0], 30_000), (ready[1], 4000)], &told);
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
            "what was told is too old to count"
        );
    }
    router.set_fleet_backlog(at(1000), &[], &told);
    assert_eq!(choose(&mut router, at(1000), &ready, &[]), Some(ready[0]));
}

#[test]
fn shared_parts_that_were_read_are_not_expected_to_be_read_again() {
    let ready = endpoints(3);
    let mut router = router(15);
    let prompt = Prompt { key: 9, shared_tokens: 13_000, own_tokens: 100 };
    assert_eq!(router.sent(ready[0], Some(prompt)), 13_100);
    router.record_cached_prefix(ready[0], prompt);
    assert_eq!(router.sent(ready[0], Some(prompt)), 100);
    assert_eq!(router.sent(ready[1], Some(prompt)), 13_100, "another endpoint has not read them");
}

#[test]
fn a_home_with_much_to_read_is_passed_over() {
    let ready = endpoints(9);
    let mut router = router(16);
    let home = router
        .choose(SelectionRequest { now: at(0), ready: &ready, tried: &[], prompt: prompt(3, 13_000) })
        .expect("a home");
    router.set_fleet_backlog(at(0), &[(home, 20_000)], &[]);
    let still = router.choose(SelectionRequest {
        now: at(0),
        ready: &ready,
        tried: &[],
        prompt: prompt(3, 13_000),
    });
    assert_eq!(still, Some(home), "what is read again also takes the place of what is kept");
    router.set_fleet_backlog(at(0), &[(home, 60_000)], &[]);
    let next = router.choose(SelectionRequest {
        now: at(0),
        ready: &ready,
        tried: &[],
        prompt: prompt(3, 13_000),
    });
    assert_ne!(next, Some(home), "the second home has less to read");
}
