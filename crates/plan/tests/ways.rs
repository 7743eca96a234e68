//! Hard case 5: for fleets drawn from seeds, a plan leads exactly where it says, and back.

mod common;

use common::*;
use runtrack_model::{Fleet, Severity};
use runtrack_plan::*;
use std::collections::BTreeSet;

const SEEDS: u64 = 400;

fn accept_all(plan: &Plan) -> BTreeSet<String> {
    plan.risks.iter().filter(|risk| risk.severity == Severity::High).map(|risk| risk.id.clone()).collect()
}

#[test]
fn a_plan_leads_to_what_was_wanted_and_rolls_back_to_what_was() {
    let mut moves = 0;
    for seed in 0..SEEDS {
        let (from, to) = (fleet(2 * seed), fleet(2 * seed + 1));
        let mut store = state_of(&from);
        let plan =
            Plan::from_bytes(&plan_on(&store, &from, &to, "there").to_bytes()).expect("a plan reads back");
        moves += plan.steps.iter().filter(|step| matches!(step, Step::Move { .. })).count();
        assert_eq!(apply_steps(&from, &plan.steps).as_ref(), Ok(&to), "seed {seed}");
        let applied = apply(&mut store, &plan, &accept_all(&plan), "nok", NOW).expect("it applies");
        assert_eq!(applied, Applied::Committed(2), "seed {seed}");
        assert_eq!(fleet_at(&store, 2).expect("a fleet"), to, "seed {seed}");

        let back = plan_on(&store, &to, &fleet_at(&store, 1).expect("a fleet"), "back");
        apply(&mut store, &back, &accept_all(&back), "nok", NOW).expect("it applies");
        let hashes: Vec<&str> = store.history().iter().map(|version| version.hash.as_str()).collect();
        assert_eq!(hashes[0], hashes[2], "seed {seed}: the way back restores the hash");
    }
    assert!(moves > 100, "{moves} moves among all plans are too few to say much");
}

#[test]
fn a_fleet_and_itself_differ_in_nothing_however_it_is_written() {
    for seed in 0..SEEDS {
        let one = fleet(seed);
        let again =
            Fleet::from_canonical_json(&one.to_canonical_json()).expect("its canonical form reads back");
        assert_eq!(one.hash(), again.hash(), "seed {seed}");
        assert_eq!(diff(&one, &again), [], "seed {seed}");
        let plan = plan_on(&state_of(&one), &one, &again, "");
        assert_eq!((plan.steps.len(), plan.risks.len()), (0, 0), "seed {seed}");
    }
}

#[test]
fn steps_refuse_a_fleet_that_they_were_not_made_for() {
    let (mut refused, mut tried) = (0, 0);
    for seed in 0..SEEDS {
        let (from, to, other) = (fleet(3 * seed), fleet(3 * seed + 1), fleet(3 * seed + 2));
        let steps = diff(&from, &to);
        // Where the steps happen to fit the other fleet as well, they may not lead to something broken.
        match apply_steps(&other, &steps) {
            Err(_) => refused += 1,
            Ok(fleet) => assert_eq!(fleet.validation_errors(), [], "seed {seed}"),
        }
        tried += 1;
    }
    assert!(refused * 10 >= tried * 9, "{refused} of {tried} refused");
}

#[test]
fn one_route_put_in_front_of_ten_thousand_is_one_step() {
    let mut from = fleet(1);
    let listener =
        (0..).map(fleet).find_map(|fleet| fleet.listeners.into_values().next()).expect("one comes");
    let template = listener.routes[0].clone();
    let class = from.classes.keys().next().expect("a class").clone();
    let pool = from.pools.keys().next().expect("a pool").clone();
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
    let routes = &mut to.listeners.get_mut("l").expect("a listener").routes;
    routes.insert(0, route(10_000));
    routes[5000].prefix = "/changed/".to_owned();
    let last = routes.pop().expect("a route");
    routes.insert(1, last);
    let steps = diff(&from, &to);
    assert_eq!(steps.len(), 3, "{:?}", steps.iter().map(Step::what).collect::<Vec<_>>());
    assert_eq!(count_steps(&steps), StepCounts { add: 1, change: 2, destroy: 0 });
    assert_eq!(apply_steps(&from, &steps), Ok(to));
}
