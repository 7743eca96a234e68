//! For random fleets, applying a plan yields exactly the wanted fleet, and a rollback restores the previous one.

mod common;

use common::*;
use runtrack_model::{Fleet, Severity};
use runtrack_plan::*;
use std::collections::BTreeSet;

const SEEDS: u64 = 400;

fn high_risk_ids(plan: &Plan) -> BTreeSet<String> {
    plan.risks.iter().filter(|risk| risk.severity == Severity::High).map(|risk| risk.id.clone()).collect()
}

#[test]
fn applying_a_plan_and_its_rollback_restores_the_fleet() {
    let mut moves = 0;
    for seed in 0..SEEDS {
        let (from, to) = (fleet(2 * seed), fleet(2 * seed + 1));
        let mut store = store_with(&from);
        let plan = Plan::from_bytes(&plan_on(&store, &from, &to, "there").to_bytes())
            .expect("failed to decode the plan");
        moves += plan.steps.iter().filter(|step| matches!(step, Step::Move { .. })).count();
        assert_eq!(apply_steps(&from, &plan.steps).as_ref(), Ok(&to), "seed {seed}");
        let applied =
            apply(&mut store, &plan, &high_risk_ids(&plan), "nok", NOW).expect("failed to apply the plan");
        assert_eq!(applied, Applied::Committed(2), "seed {seed}");
        assert_eq!(fleet_at(&store, 2).expect("failed to read the fleet"), to, "seed {seed}");

        let rollback =
            plan_on(&store, &to, &fleet_at(&store, 1).expect("failed to read the fleet"), "back");
        apply(&mut store, &rollback, &high_risk_ids(&rollback), "nok", NOW)
            .expect("failed to apply the plan");
        let hashes: Vec<&str> = store.history().iter().map(|version| version.hash.as_str()).collect();
        assert_eq!(hashes[0], hashes[2], "seed {seed}: the rollback restores the hash");
    }
    assert!(moves > 100, "too few moves for a meaningful test: {moves}");
}

#[test]
fn a_fleet_does_not_differ_from_its_canonical_form() {
    for seed in 0..SEEDS {
        let original = fleet(seed);
        let reread = Fleet::from_canonical_json(&original.to_canonical_json())
            .expect("failed to read the canonical form");
        assert_eq!(original.hash(), reread.hash(), "seed {seed}");
        assert_eq!(diff(&original, &reread), [], "seed {seed}");
        let plan = plan_on(&store_with(&original), &original, &reread, "");
        assert_eq!((plan.steps.len(), plan.risks.len()), (0, 0), "seed {seed}");
    }
}

#[test]
fn steps_are_refused_for_a_different_fleet() {
    let (mut refused, mut total) = (0, 0);
    for seed in 0..SEEDS {
        let (from, to, other) = (fleet(3 * seed), fleet(3 * seed + 1), fleet(3 * seed + 2));
        let steps = diff(&from, &to);
        // If the steps happen to match the other fleet as well, the result must still be valid.
        match apply_steps(&other, &steps) {
            Err(_) => refused += 1,
            Ok(fleet) => assert_eq!(fleet.validation_errors(), [], "seed {seed}"),
        }
        total += 1;
    }
    assert!(refused * 10 >= total * 9, "{refused} of {total} refused");
}

#[test]
fn inserting_a_route_before_ten_thousand_others_is_one_step() {
    let mut from = fleet(1);
    let listener = (0..)
        .map(fleet)
        .find_map(|fleet| fleet.listeners.into_values().next())
        .expect("no fleet with a listener");
    let template = listener.routes[0].clone();
    let class = from.classes.keys().next().expect("no class").clone();
    let pool = from.pools.keys().next().expect("no pool").clone();
    let route = |n: usize| runtrack_model::Route {
        name: format!("r{n}"),
        prefix: format!("/{n}/"),
        class: class.clone(),
        to: vec![runtrack_model::WeightedPool { pool: pool.clone(), weight: 1 }],
        ..template.clone()
    };
    let routes = (0..10_000).map(route).collect();
    from.listeners = [("l".to_owned(), runtrack_model::Listener { routes, ..listener })].into();
    let mut to = from.clone();
    let routes = &mut to.listeners.get_mut("l").expect("no listener").routes;
    routes.insert(0, route(10_000));
    routes[5000].prefix = "/changed/".to_owned();
    let last = routes.pop().expect("no route");
    routes.insert(1, last);
    let steps = diff(&from, &to);
    assert_eq!(steps.len(), 3, "{:?}", steps.iter().map(Step::address).collect::<Vec<_>>());
    assert_eq!(count_steps(&steps), StepCounts { add: 1, change: 2, destroy: 0 });
    assert_eq!(apply_steps(&from, &steps), Ok(to));
}
