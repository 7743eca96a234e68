//! Fleets drawn from a seed, and a folder in memory.
#![allow(dead_code)]

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use runtrack_balancer::DedupScope;
use runtrack_model::*;
use runtrack_plan::{Load, Plan, PlanRequest};
use runtrack_store::{CommitInfo, Store};
use runtrack_testkit::Disk;
use std::collections::BTreeMap;
use std::time::Duration;

pub const NOW: u64 = 1_796_000_000_000;
pub const HOUR: u64 = 3_600_000;

pub struct Draws(Pcg32);

impl Draws {
    pub fn new(seed: u64) -> Draws {
        Draws(Pcg32::seed_from_u64(seed))
    }

    /// One of `0..n`.
    pub fn below(&mut self, n: usize) -> usize {
        self.0.next_u32() as usize % n
    }

    fn one_in(&mut self, n: usize) -> bool {
        self.below(n) == 0
    }
}

/// Some of `0..n`, in any order.
fn some(draws: &mut Draws, n: usize, least: usize) -> Vec<usize> {
    let mut all: Vec<usize> = (0..n).collect();
    for i in (1..n).rev() {
        all.swap(i, draws.below(i + 1));
    }
    all.truncate(least.max(draws.below(n + 1)));
    all
}

fn class(draws: &mut Draws) -> Class {
    let semantics = match draws.below(4) {
        0 => Semantics::Safe,
        1 => Semantics::Unsafe,
        n => Semantics::Keyed {
            group: if n == 2 { DedupScope::Cell } else { DedupScope::Zone },
            window: Duration::from_secs(1 + draws.below(3) as u64),
        },
    };
    let deadline = Duration::from_millis(1000 * (1 + draws.below(3) as u64));
    Class { semantics, objective: deadline / 2, deadline, attempts: 1 + draws.below(3) as u32 }
}

fn endpoint(draws: &mut Draws, pool: usize, n: usize) -> Endpoint {
    let port = 10_000 + pool * 1000 + n * 10 + draws.below(3);
    Endpoint {
        address: ([127, 0, 0, 1], port as u16).into(),
        zone: ["", "a", "b"][draws.below(3)].to_owned(),
        weight: [1.0, 0.1, 2.5][draws.below(3)],
        state: if draws.one_in(4) { EndpointState::Draining } else { EndpointState::Ready },
        started_ms: if draws.one_in(3) { NOW - 1000 * draws.below(60) as u64 } else { 0 },
    }
}

fn pool(draws: &mut Draws, n: usize) -> Pool {
    let source = match draws.one_in(5) {
        true => Source::Platform(([127, 0, 0, 1], 8500 + draws.below(2) as u16).into()),
        false => {
            let ids = some(draws, 5, 0);
            Source::Static(ids.into_iter().map(|id| (format!("e{id}"), endpoint(draws, n, id))).collect())
        }
    };
    Pool {
        source,
        nearest_first: false,
        connect_timeout: Duration::from_micros(250_000 + draws.below(2) as u64),
        max_connections: 1 + draws.below(3) as u32 * 500,
        max_requests: 1024,
        max_pending: 256,
        panic_threshold: [0.5, 1.0 / 3.0, 0.1][draws.below(3)],
        panic_hold: Duration::from_secs(10),
    }
}

/// A fleet that has no fault.
pub fn fleet(seed: u64) -> Fleet {
    let mut draws = Draws::new(seed);
    let draws = &mut draws;
    let classes: BTreeMap<String, Class> =
        some(draws, 4, 1).into_iter().map(|n| (format!("c{n}"), class(draws))).collect();
    let pools: BTreeMap<String, Pool> =
        some(draws, 5, 1).into_iter().map(|n| (format!("p{n}"), pool(draws, n))).collect();
    let mut listeners = BTreeMap::new();
    for n in some(draws, 3, 0) {
        let mut routes = Vec::new();
        for route in some(draws, 8, 1) {
            let to = classes.keys().nth(draws.below(classes.len())).expect("there is one");
            let first = draws.below(pools.len());
            let share = |n: usize, weight| WeightedPool {
                pool: pools.keys().nth(n % pools.len()).expect("there is one").clone(),
                weight,
            };
            let mut shares = vec![share(first, 1 + draws.below(9) as u32)];
            if pools.len() > 1 && draws.one_in(2) {
                shares.push(share(first + 1, draws.below(9) as u32));
            }
            routes.push(Route {
                name: format!("r{route}"),
                hosts: vec!["*".to_owned()],
                prefix: format!("/{}", ["a", "ab", "abc", "b", "b/c", "c", "d", ""][route]),
                class: to.clone(),
                to: shares,
            });
        }
        let address = (!draws.one_in(3)).then(|| ([127, 0, 0, 1], 8000 + n as u16).into());
        listeners.insert(format!("l{n}"), Listener { address, api: address.is_none(), routes });
    }
    let zones = match draws.one_in(2) {
        true => Zones::from([
            ("a".to_owned(), BTreeMap::from([("b".to_owned(), draws.below(3) as u32)])),
            ("b".to_owned(), BTreeMap::new()),
        ]),
        false => Zones::new(),
    };
    let mut risks = BTreeMap::new();
    if draws.one_in(4) {
        risks.insert("traffic-moved".to_owned(), Severity::Medium);
    }
    let rules = Rules { drain_grace: Duration::from_secs(1 + draws.below(2) as u64), ..Rules::default() };
    let fleet = Fleet { rules, zones, classes, pools, listeners, risks };
    assert_eq!(fleet.validation_errors(), [], "seed {seed}");
    fleet
}

pub fn plan_on(store: &Store<Disk>, from: &Fleet, to: &Fleet, reason: &str) -> Plan {
    let request = PlanRequest {
        author: "somchai",
        reason,
        now_ms: NOW,
        lifetime_ms: HOUR,
        lineage: store.lineage(),
        base: store.current(),
        load: &Load::default(),
        stages: &[],
        pause_ms: 0,
    };
    Plan::new(request, from, to)
}

/// A state with one version of this fleet, applied long before `NOW`.
pub fn state_of(fleet: &Fleet) -> Store<Disk> {
    let mut store = Store::open_or_create(Disk::default(), "a-lineage").expect("a store in memory");
    let entry = CommitInfo { author: "nok", reason: "first", at_ms: NOW - HOUR, ..CommitInfo::default() };
    store.commit(0, &fleet.to_canonical_json(), entry).expect("a first version");
    store
}
