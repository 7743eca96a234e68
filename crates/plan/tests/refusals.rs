//! Hard cases 3 and 6: plans that must not be applied, each with one clear message and nothing changed.

mod common;

use common::*;
use runtrack_model::{Fleet, Severity};
use runtrack_plan::*;
use runtrack_store::{CommitInfo, seal};
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// Two fleets that differ in a route, a pool and a class at least.
fn pair() -> (Fleet, Fleet) {
    let from = fleet(5);
    let mut to = from.clone();
    let (name, pool) = to.pools.pop_first().expect("a pool");
    to.pools.insert("other".to_owned(), pool.clone());
    to.pools.insert(name, runtrack_model::Pool { max_requests: 7, ..pool });
    to.classes.values_mut().for_each(|class| class.attempts += 1);
    assert_eq!(to.validation_errors(), []);
    (from, to)
}

fn none() -> BTreeSet<String> {
    BTreeSet::new()
}

/// The plan's text as JSON, changed and sealed again: what somebody would get who knows how.
fn forged(plan: &Plan, change: impl FnOnce(&mut Value)) -> Vec<u8> {
    let bytes = plan.to_bytes();
    let text = std::str::from_utf8(&bytes).expect("text").split_once('\n').expect("two parts").1;
    let mut value: Value = serde_json::from_str(text).expect("JSON");
    change(&mut value);
    seal::seal("runtrack-plan", 1, &value.to_string())
}

#[test]
fn files_that_are_cut_short_or_changed_anywhere_are_refused() {
    let (from, to) = pair();
    let bytes = plan_on(&state_of(&from), &from, &to, "why").to_bytes();
    assert!(Plan::from_bytes(&bytes).is_ok());
    for length in 0..bytes.len() {
        assert!(Plan::from_bytes(&bytes[..length]).is_err(), "cut to {length} of {} bytes", bytes.len());
    }
    for at in 0..bytes.len() {
        for bit in [1, 32] {
            let mut other = bytes.clone();
            other[at] ^= bit;
            assert!(Plan::from_bytes(&other).is_err(), "bit {bit} of byte {at}");
        }
    }
}

#[test]
fn files_that_are_no_plans_are_refused_with_one_clear_message() {
    let (from, to) = pair();
    let plan = plan_on(&state_of(&from), &from, &to, "why");
    let set = |key: &'static str, value: Value| move |plan: &mut Value| plan[key] = value;
    let without =
        |key: &'static str| move |plan: &mut Value| drop(plan.as_object_mut().expect("a map").remove(key));
    let step = |value: Value| move |plan: &mut Value| plan["steps"][0] = value;
    let raw = |magic: &str, format: u32, text: &str| seal::seal(magic, format, text);
    let mut cases: Vec<(&str, Vec<u8>, &str)> = vec![
        ("nothing", Vec::new(), "it is no plan"),
        ("a fleet's file", b"[rules]\ndrain_grace = \"2s\"\n".to_vec(), "it is no plan"),
        ("bytes that are no text", vec![0xff, 0xfe, 0x0a, 0x00], "it is no plan"),
        ("a state's file", raw("runtrack-state", 1, "{}"), "it is no plan"),
        ("a newer format", raw("runtrack-plan", 2, "{}"), "format 2"),
        ("a format that never was", raw("runtrack-plan", 0, "{}"), "it is no plan"),
        ("a format that is no number", b"runtrack-plan one 00\n{}".to_vec(), "it is no plan"),
        ("no hash", b"runtrack-plan 1\n{}".to_vec(), "it is no plan"),
        ("another hash", b"runtrack-plan 1 00\n{}".to_vec(), "changed or cut short"),
        ("an empty text", raw("runtrack-plan", 1, ""), "makes no sense"),
        ("no JSON", raw("runtrack-plan", 1, "steps: none"), "makes no sense"),
        ("a list", raw("runtrack-plan", 1, "[]"), "makes no sense"),
        ("an empty map", raw("runtrack-plan", 1, "{}"), "missing field"),
    ];
    for key in [
        "author",
        "reason",
        "made_ms",
        "expires_ms",
        "lineage",
        "serial",
        "base_hash",
        "desired_hash",
        "steps",
        "risks",
        "stages",
        "pause_ms",
    ] {
        cases.push((key, forged(&plan, without(key)), "missing field"));
    }
    let forgeries: Vec<(&str, Vec<u8>, &str)> = vec![
        ("a further field", forged(&plan, set("note", json!("hello"))), "unknown field"),
        ("a serial below 0", forged(&plan, set("serial", json!(-1))), "makes no sense"),
        ("a serial that is text", forged(&plan, set("serial", json!("1"))), "makes no sense"),
        ("a serial of 0 on a version", forged(&plan, set("serial", json!(0))), "at odds"),
        ("a serial of 1 on nothing", forged(&plan, set("base_hash", json!(""))), "at odds"),
        (
            "a life that ends before it begins",
            forged(&plan, set("expires_ms", json!(1))),
            "before it is made",
        ),
        ("stages that fall", forged(&plan, set("stages", json!([5000, 100, 10_000]))), "don't rise"),
        ("stages that end early", forged(&plan, set("stages", json!([100, 5000]))), "don't rise"),
        ("a stage of nobody", forged(&plan, set("stages", json!([0, 10_000]))), "don't rise"),
        ("steps that are no list", forged(&plan, set("steps", json!({}))), "makes no sense"),
        ("a step of no kind", forged(&plan, step(json!({"what": "rules"}))), "makes no sense"),
        (
            "a step of an unknown kind",
            forged(&plan, step(json!({"step": "burn", "what": "rules"}))),
            "unknown variant",
        ),
        (
            "a step on an unknown thing",
            forged(&plan, step(json!({"step": "move", "what": {"rack": "r"}}))),
            "unknown variant",
        ),
        ("a step without its thing", forged(&plan, step(json!({"step": "move"}))), "missing field"),
        (
            "a change without fields",
            forged(&plan, step(json!({"step": "change", "what": "rules"}))),
            "missing field",
        ),
        (
            "a step with a further field",
            forged(&plan, step(json!({"step": "move", "what": "rules", "x": 1}))),
            "unknown field",
        ),
        (
            "an edit without before",
            forged(&plan, step(json!({"step": "change", "what": "rules", "fields": {"x": {"after": 1}}}))),
            "missing field",
        ),
        (
            "a risk of unknown weight",
            forged(
                &plan,
                set("risks", json!([{"id": "a/b", "severity": "dire", "what": "", "figures": {}}])),
            ),
            "unknown variant",
        ),
        (
            "a risk without figures",
            forged(&plan, set("risks", json!([{"id": "a/b", "severity": "low", "what": ""}]))),
            "missing field",
        ),
        (
            "a figure that is text",
            forged(
                &plan,
                set("risks", json!([{"id": "a/b", "severity": "low", "what": "", "figures": {"x": "1"}}])),
            ),
            "makes no sense",
        ),
    ];
    cases.extend(forgeries);
    assert!(cases.len() >= 40, "{} cases", cases.len());
    for (name, bytes, wanted) in cases {
        let problem = Plan::from_bytes(&bytes).map(|_| ()).expect_err(name).to_string();
        assert!(problem.contains(wanted), "{name}: {problem}");
        assert!(!problem.contains('\n'), "{name}: one message, not {problem}");
    }
}

#[test]
fn forged_steps_change_nothing() {
    let (from, to) = pair();
    let mut store = state_of(&from);
    let plan = plan_on(&store, &from, &to, "why");
    let pool = to.pools.keys().next().expect("a pool");
    let steps = [
        (
            "a change of what is not there",
            json!({"step": "change", "what": {"pool": "ghost"}, "fields": {}}),
        ),
        (
            "a change from another value",
            json!({"step": "change", "what": {"pool": pool},
            "fields": {"max_requests": {"before": 5, "after": 6}}}),
        ),
        (
            "a deletion of what is not there",
            json!({"step": "delete", "what": {"pool": "ghost"}, "fields": {}}),
        ),
        ("a deletion of another thing", json!({"step": "delete", "what": {"pool": pool}, "fields": {}})),
        ("a thing that is there already", json!({"step": "create", "what": {"pool": pool}, "fields": {}})),
        ("a move of what has no order", json!({"step": "move", "what": {"pool": pool}})),
        (
            "a route of no listener",
            json!({"step": "create", "what": {"route": ["ghost", "r"]}, "fields": {}}),
        ),
        (
            "an endpoint of no pool",
            json!({"step": "create", "what": {"endpoint": ["ghost", "e"]}, "fields": {}}),
        ),
        (
            "a class of no sense",
            json!({"step": "create", "what": {"class": "x"}, "fields": {"deadline": "soon"}}),
        ),
        ("an unknown field", json!({"step": "create", "what": {"class": "x"}, "fields": {}})),
    ];
    for (name, step) in steps {
        let bytes = forged(&plan, |plan| plan["steps"].as_array_mut().expect("steps").insert(0, step));
        let plan = Plan::from_bytes(&bytes).expect("its form is right");
        let problem = apply(&mut store, &plan, &accept(&plan), "nok", NOW).expect_err(name);
        assert!(matches!(problem, ApplyError::Step(_)), "{name}: {problem}");
    }
    let bytes = forged(&plan, |plan| drop(plan["steps"].as_array_mut().expect("steps").pop()));
    let plan = Plan::from_bytes(&bytes).expect("its form is right");
    let problem = apply(&mut store, &plan, &accept(&plan), "nok", NOW).expect_err("a step is missing");
    assert!(matches!(problem, ApplyError::WrongResult | ApplyError::Step(_)), "{problem}");
    assert_eq!((store.serial(), fleet_at(&store, 1).expect("a fleet")), (1, from));
}

fn accept(plan: &Plan) -> BTreeSet<String> {
    plan.risks.iter().filter(|risk| risk.severity == Severity::High).map(|risk| risk.id.clone()).collect()
}

/// Hard case 3.
#[test]
fn a_plan_on_a_state_that_has_moved_is_refused_and_says_who_moved_it_and_what() {
    let (from, to) = pair();
    let mut store = state_of(&from);
    let plan = plan_on(&store, &from, &to, "songkran");
    let mut between = from.clone();
    between.classes.insert("added".to_owned(), from.classes.values().next().expect("a class").clone());
    let other = plan_on(&store, &from, &between, "a quick fix");
    apply(&mut store, &other, &none(), "nok", NOW).expect("nothing moved yet");
    let problem = apply(&mut store, &plan, &accept(&plan), "somchai", NOW).expect_err("it has moved");
    let text = problem.to_string();
    assert!(matches!(problem, ApplyError::StateChanged { planned: 1, found: 2, .. }), "{text}");
    for wanted in ["nok (a quick fix)", "class.added", "serial 1", "serial 2", "anew"] {
        assert!(text.contains(wanted), "{wanted} in {text}");
    }
    // The same serial of another history is another state as well.
    let mut other = state_of(&between);
    assert!(matches!(
        apply(&mut other, &plan, &accept(&plan), "nok", NOW),
        Err(ApplyError::StateChanged { .. })
    ));
    assert_eq!((store.serial(), other.serial()), (2, 1));
}

#[test]
fn a_plan_is_applied_once_and_says_so_the_second_time_even_when_the_state_has_moved_on() {
    let (from, to) = pair();
    let mut store = state_of(&from);
    let plan = plan_on(&store, &from, &to, "there");
    assert_eq!(
        apply(&mut store, &plan, &accept(&plan), "nok", NOW).expect("applied"),
        Applied::Committed(2)
    );
    assert_eq!(
        apply(&mut store, &plan, &accept(&plan), "nok", NOW).expect("known"),
        Applied::AlreadyApplied(2)
    );
    let back = plan_on(&store, &to, &from, "back");
    apply(&mut store, &back, &accept(&back), "nok", NOW).expect("applied");
    assert_eq!(
        apply(&mut store, &plan, &none(), "nok", NOW + 2 * HOUR).expect("known"),
        Applied::AlreadyApplied(2)
    );
    assert_eq!(store.serial(), 3);
}

#[test]
fn a_plan_of_another_state_or_another_time_is_refused() {
    let (from, to) = pair();
    let mut store = state_of(&from);
    let plan = plan_on(&store, &from, &to, "why");
    let elsewhere = Plan { lineage: "another".to_owned(), ..plan.clone() };
    let problem = apply(&mut store, &elsewhere, &accept(&plan), "nok", NOW).expect_err("another's");
    assert!(matches!(problem, ApplyError::LineageMismatch { .. }), "{problem}");
    let late = apply(&mut store, &plan, &accept(&plan), "nok", NOW + HOUR + 1).expect_err("too old");
    assert!(matches!(late, ApplyError::Expired(_)), "{late}");
    // Hard case 2: a clock that was set back by a day.
    let early =
        apply(&mut store, &plan, &accept(&plan), "nok", NOW - 24 * HOUR).expect_err("a wrong clock");
    assert!(matches!(early, ApplyError::ClockSkew(_)), "{early}");
    assert_eq!(store.serial(), 1);
}

#[test]
fn high_risks_are_accepted_one_by_one_and_by_their_names() {
    let (from, mut to) = pair();
    to.listeners.clear();
    let mut store = state_of(&from);
    let plan = plan_on(&store, &from, &to, "why");
    let high = accept(&plan);
    assert!(high.len() >= 2, "{high:?}");
    for missing in &high {
        let rest: BTreeSet<String> = high.iter().filter(|id| *id != missing).cloned().collect();
        let problem = apply(&mut store, &plan, &rest, "nok", NOW).expect_err("one is not accepted");
        let text = problem.to_string();
        assert!(text.contains(&format!("--accept-risk {missing}")), "{text}");
        assert!(matches!(problem, ApplyError::UnacceptedRisks(risks) if risks.len() == 1), "{text}");
    }
    let mut more = high.clone();
    more.insert("capacity-lost/pool.ghost".to_owned());
    let problem = apply(&mut store, &plan, &more, "nok", NOW).expect_err("an unknown one");
    assert!(matches!(problem, ApplyError::UnknownRisk(_)), "{problem}");
    assert!(apply(&mut store, &plan, &high, "nok", NOW).is_ok());
}

#[test]
fn what_is_in_the_store_and_is_no_fleet_is_refused() {
    let (from, to) = pair();
    let mut store = state_of(&from);
    let entry = CommitInfo { author: "nok", reason: "by hand", at_ms: NOW, ..CommitInfo::default() };
    store.commit(1, "{\"rules\":{}}", entry).expect("the store takes any text");
    let plan = plan_on(&store, &from, &to, "why");
    let problem = apply(&mut store, &plan, &accept(&plan), "nok", NOW).expect_err("no fleet");
    assert!(matches!(problem, ApplyError::InvalidFleet { serial: 2, .. }), "{problem}");
}
