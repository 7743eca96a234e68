//! Random valid event sequences; the checker in `support` asserts the four rules throughout.

mod support;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use runtrack_balancer::*;
use support::*;

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Request { class: usize, tenant: usize, left: u64 },
    End { which: usize, outcome: u8, elapsed: u64 },
    TimeOutOverdue,
    Gone(usize),
    Change { id: u64, state: u8, fresh: bool },
    Relist(u64),
    DiscoveryFails,
    Stray(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u64..60).prop_map(Step::Wait),
        6 => (0usize..4, 0usize..3, 0u64..900)
            .prop_map(|(class, tenant, left)| Step::Request { class, tenant, left }),
        6 => (any::<usize>(), 0u8..8, 0u64..900)
            .prop_map(|(which, outcome, elapsed)| Step::End { which, outcome, elapsed }),
        2 => Just(Step::TimeOutOverdue),
        1 => any::<usize>().prop_map(Step::Gone),
        1 => (1u64..9, 0u8..3, any::<bool>()).prop_map(|(id, state, fresh)| Step::Change { id, state, fresh }),
        1 => (0u64..9).prop_map(Step::Relist),
        1 => Just(Step::DiscoveryFails),
        1 => any::<u64>().prop_map(Step::Stray),
    ]
}

fn outcome(n: u8) -> Outcome {
    match n {
        0 | 1 => Outcome::Ok,
        2 => Outcome::Error,
        3 => Outcome::Rejected,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        _ => Outcome::NotSent,
    }
}

fn info(id: u64) -> EndpointInfo {
    EndpointInfo { zone: ZoneId((id % 2) as u32), cell: CellId(id % 3), ..endpoint(id) }
}

fn settings(hedging: bool, cancellation: bool, discovery: Discovery) -> Settings {
    let class = |semantics| Class { semantics, ..Class::default() };
    let window = ms(300);
    let mut settings = Settings {
        classes: vec![
            class(Semantics::Safe),
            class(Semantics::Unsafe),
            class(Semantics::Keyed { scope: DedupScope::Cell, window }),
            class(Semantics::Keyed { scope: DedupScope::All, window }),
        ],
        tenants: vec![Tenant { allowance_per_s: 5.0, portion: 0.3 }; 3],
        over_share_value: 0.1,
        discovery,
        ..Settings::default()
    };
    settings.limits.hedging = hedging;
    settings.limits.cancellation = cancellation;
    settings
}

fn play(settings: Settings, seed: u64, steps: &[Step]) {
    let mut d = Driver::seeded(settings, (1..=6).map(info).collect(), seed);
    for step in steps {
        match *step {
            Step::Wait(by) => {
                d.advance(ms(by));
            }
            Step::Request { class, tenant, left } => {
                d.request_of(class, tenant, ms(left));
            }
            Step::End { which, outcome: n, elapsed } => {
                if !d.out.is_empty() {
                    let id = d.out[which % d.out.len()].0;
                    d.end(id, outcome(n), ms(elapsed));
                }
            }
            Step::TimeOutOverdue => {
                let now = d.now;
                while let Some(id) = d.out.iter().find(|o| o.3 <= now).map(|o| o.0) {
                    d.end(id, Outcome::TimedOut, ms(500));
                }
            }
            Step::Gone(which) => {
                if !d.out.is_empty() {
                    let id = d.out[which % d.out.len()].0;
                    d.feed(Event::RequestGone(id));
                }
            }
            Step::Change { id, state, fresh } => {
                let state = [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed]
                    [usize::from(state)];
                let started_at = fresh.then_some(d.now);
                d.list(Membership::Delta(vec![EndpointInfo { state, started_at, ..info(id) }]));
            }
            Step::Relist(n) => {
                d.list(Membership::Full((1..=n).map(info).collect()));
            }
            Step::DiscoveryFails => {
                d.list(Membership::Failed);
            }
            Step::Stray(n) => {
                d.feed(Event::Timer(TimerToken(n)));
                d.feed(Event::RequestGone(RequestId(n | 1 << 40)));
                d.feed(Event::PeerMessage { from: 1, payload: vec![1] });
            }
        }
    }
    d.advance(ms(2000));
}

fn check(settings: Settings) {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (any::<u64>(), proptest::collection::vec(step(), 1..200));
    runner
        .run(&strategy, |(seed, steps)| {
            play(settings.clone(), seed, &steps);
            Ok(())
        })
        .unwrap();
}

#[test]
fn rules_hold_without_hedging_with_pushed_lists() {
    check(settings(false, true, Discovery::Push));
}

#[test]
fn rules_hold_with_hedging_and_subscribed_lists() {
    check(settings(true, true, Discovery::Subscribe));
}

#[test]
fn rules_hold_without_cancellation() {
    check(settings(true, false, Discovery::Push));
}
