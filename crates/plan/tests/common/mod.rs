//! Random fleets generated from a seed, plans, and stores in memory.
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

pub struct Random(Pcg32);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(Pcg32::seed_from_u64(seed))
    }

    /// A random number in `0..n`.
    pub fn below(&mut self, n: usize) -> usize {
        self.0.next_u32() as usize % n
    }

    fn one_in(&mut self, n: usize) -> bool {
        self.below(n) == 0
    }
}

/// A random selection of at least `min` numbers in `0..n`, in random order.
fn random_selection(random: &mut Random, n: usize, min: usize) -> Vec<usize> {
    let mut all: Vec<usize> = (0..n).collect();
    for i in (1..n).rev() {
        all.swap(i, random.below(i + 1));
    }
    all.truncate(min.max(random.below(n + 1)));
    all
}

fn class(random: &mut Random) -> Class {
    let semantics = match random.below(4) {
        0 => Semantics::Safe,
        1 => Semantics::Unsafe,
        n => Semantics::Keyed {
            group: if n == 2 { DedupScope::Cell } else { DedupScope::Zone },
            window: Duration::from_secs(1 + random.below(3) as u64),
        },
    };
    let deadline = Duration::from_millis(1000 * (1 + random.below(3) as u64));
    Class { semantics, objective: deadline / 2, deadline, attempts: 1 + random.below(3) as u32 }
}

fn endpoint(random: &mut Random, pool: usize, n: usize) -> Endpoint {
    let port = 10_000 + pool * 1000 + n * 10 + random.below(3);
    Endpoint {
        address: ([127, 0, 0, 1], port as u16).into(),
        zone: ["", "a", "b"][random.below(3)].to_owned(),
        weight: [1.0, 0.1, 2.5][random.below(3)],
        state: if random.one_in(4) { EndpointState::Draining } else { EndpointState::Ready },
        started_ms: if random.one_in(3) { NOW - 1000 * random.below(60) as u64 } else { 0 },
    }
}

fn pool(random: &mut Random, n: usize) -> Pool {
    let source = match random.one_in(5) {
        true => Source::Platform(([127, 0, 0, 1], 8500 + random.below(2) as u16).into()),
        false => {
            let ids = random_selection(random, 5, 0);
            Source::Static(ids.into_iter().map(|id| (format!("e{id}"), endpoint(random, n, id))).collect())
        }
    };
    Pool {
        source,
        nearest_first: false,
        connect_timeout: Duration::from_micros(250_000 + random.below(2) as u64),
        max_connections: 1 + random.below(3) as u32 * 500,
        max_requests: 1024,
        max_pending: 256,
        panic_threshold: [0.5, 1.0 / 3.0, 0.1][random.below(3)],
        panic_hold: Duration::from_secs(10),
    }
}

/// A valid random fleet.
pub fn fleet(seed: u64) -> Fleet {
    let mut random = Random::new(seed);
    let random = &mut random;
    let classes: BTreeMap<String, Class> =
        random_selection(random, 4, 1).into_iter().map(|n| (format!("c{n}"), class(random))).collect();
    let pools: BTreeMap<String, Pool> =
        random_selection(random, 5, 1).into_iter().map(|n| (format!("p{n}"), pool(random, n))).collect();
    let mut listeners = BTreeMap::new();
    for n in random_selection(random, 3, 0) {
        let mut routes = Vec::new();
        for route in random_selection(random, 8, 1) {
            let to = classes.keys().nth(random.below(classes.len())).expect("index out of range");
            let first = random.below(pools.len());
            let share = |n: usize, weight| WeightedPool {
                pool: pools.keys().nth(n % pools.len()).expect("index out of range").clone(),
                weight,
            };
            let mut shares = vec![share(first, 1 + random.below(9) as u32)];
            if pools.len() > 1 && random.one_in(2) {
                shares.push(share(first + 1, random.below(9) as u32));
            }
            routes.push(Route {
                name: format!("r{route}"),
                hosts: vec!["*".to_owned()],
                prefix: format!("/{}", ["a", "ab", "abc", "b", "b/c", "c", "d", ""][route]),
                class: to.clone(),
                to: shares,
            });
        }
        let address = (!random.one_in(3)).then(|| ([127, 0, 0, 1], 8000 + n as u16).into());
        listeners.insert(format!("l{n}"), Listener { address, api: address.is_none(), routes });
    }
    let zones = match random.one_in(2) {
        true => Zones::from([
            ("a".to_owned(), BTreeMap::from([("b".to_owned(), random.below(3) as u32)])),
            ("b".to_owned(), BTreeMap::new()),
        ]),
        false => Zones::new(),
    };
    let mut risks = BTreeMap::new();
    if random.one_in(4) {
        risks.insert("traffic-moved".to_owned(), Severity::Medium);
    }
    let rules = Rules { drain_grace: Duration::from_secs(1 + random.below(2) as u64), ..Rules::default() };
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

/// A store with one version of this fleet, applied an hour before `NOW`.
pub fn store_with(fleet: &Fleet) -> Store<Disk> {
    let mut store =
        Store::open_or_create(Disk::default(), "a-lineage").expect("failed to create the store");
    let entry = CommitInfo { author: "nok", reason: "first", at_ms: NOW - HOUR, ..CommitInfo::default() };
    store.commit(0, &fleet.to_canonical_json(), entry).expect("failed to commit the first version");
    store
}
