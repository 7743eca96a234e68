//! Plans that must not be applied are refused with a one-line message, and the state stays unchanged.

mod common;

use common::*;
use runtrack_model::{Fleet, Severity};
use runtrack_plan::*;
use runtrack_store::{CommitInfo, seal};
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// Two fleets that differ in pools and classes.
fn two_fleets() -> (Fleet, Fleet) {
    let from = fleet(5);
    let mut to = from.clone();
    let (name, pool) = to.pools.pop_first().expect("no pool");
    to.pools.insert("other".to_owned(), pool.clone());
    to.pools.insert(name, runtrack_model::Pool { max_requests: 7, ..pool });
    to.classes.values_mut().for_each(|class| class.attempts += 1);
    assert_eq!(to.validation_errors(), []);
    (from, to)
}

fn no_risks() -> BTreeSet<String> {
    BTreeSet::new()
}

/// A plan file with modified JSON and a matching hash, as a deliberate forgery would have.
fn forged_file(plan: &Plan, change: impl FnOnce(&mut Value)) -> Vec<u8> {
    let bytes = plan.to_bytes();
    let text = std::str::from_utf8(&bytes).expect("not UTF-8").split_once('\n').expect("no header line").1;
    let mut value: Value = serde_json::from_str(text).expect("not JSON");
    change(&mut value);
    seal::seal("runtrack-plan", 1, &value.to_string())
}

#[test]
fn truncated_and_modified_files_are_refused() {
    let (from, to) = two_fleets();
    let bytes = plan_on(&store_with(&from), &from, &to, "why").to_bytes();
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
fn invalid_files_are_refused_with_a_one_line_message() {
    let (from, to) = two_fleets();
    let plan = plan_on(&store_with(&from), &from, &to, "why");
    let set_key = |key: &'static str, value: Value| move |plan: &mut Value| plan[key] = value;
    let remove =
        |key: &'static str| move |plan: &mut Value| drop(plan.as_object_mut().expect("no map").remove(key));
    let step = |value: Value| move |plan: &mut Value| plan["steps"][0] = value;
    let sealed = |magic: &str, format: u32, text: &str| seal::seal(magic, format, text);
    let mut cases: Vec<(&str, Vec<u8>, &str)> = vec![
        ("an empty file", Vec::new(), "not a plan file"),
        ("a fleet file", b"[rules]\ndrain_grace = \"2s\"\n".to_vec(), "not a plan file"),
        ("bytes that are not UTF-8", vec![0xff, 0xfe, 0x0a, 0x00], "not a plan file"),
        ("a state file", sealed("runtrack-state", 1, "{}"), "not a plan file"),
        ("a newer format", sealed("runtrack-plan", 2, "{}"), "format 2"),
        ("an unknown older format", sealed("runtrack-plan", 0, "{}"), "not a plan file"),
        ("a format that is not a number", b"runtrack-plan one 00\n{}".to_vec(), "not a plan file"),
        ("no hash", b"runtrack-plan 1\n{}".to_vec(), "not a plan file"),
        ("another hash", b"runtrack-plan 1 00\n{}".to_vec(), "modified or truncated"),
        ("an empty text", sealed("runtrack-plan", 1, ""), "invalid plan"),
        ("not JSON", sealed("runtrack-plan", 1, "steps: none"), "invalid plan"),
        ("a list", sealed("runtrack-plan", 1, "[]"), "invalid plan"),
        ("an empty map", sealed("runtrack-plan", 1, "{}"), "missing field"),
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
        cases.push((key, forged_file(&plan, remove(key)), "missing field"));
    }
    let forgeries: Vec<(&str, Vec<u8>, &str)> = vec![
        ("an additional field", forged_file(&plan, set_key("note", json!("hello"))), "unknown field"),
        ("a negative serial", forged_file(&plan, set_key("serial", json!(-1))), "invalid plan"),
        ("a serial that is a string", forged_file(&plan, set_key("serial", json!("1"))), "invalid plan"),
        ("serial 0 with a base hash", forged_file(&plan, set_key("serial", json!(0))), "inconsistent"),
        (
            "serial 1 without a base hash",
            forged_file(&plan, set_key("base_hash", json!(""))),
            "inconsistent",
        ),
        (
            "an expiry before the creation",
            forged_file(&plan, set_key("expires_ms", json!(1))),
            "expires before it was created",
        ),
        (
            "decreasing stages",
            forged_file(&plan, set_key("stages", json!([5000, 100, 10_000]))),
            "don't increase",
        ),
        (
            "stages that end early",
            forged_file(&plan, set_key("stages", json!([100, 5000]))),
            "don't increase",
        ),
        ("a stage of 0", forged_file(&plan, set_key("stages", json!([0, 10_000]))), "don't increase"),
        ("steps that are not a list", forged_file(&plan, set_key("steps", json!({}))), "invalid plan"),
        ("a step without a kind", forged_file(&plan, step(json!({"what": "rules"}))), "invalid plan"),
        (
            "a step of an unknown kind",
            forged_file(&plan, step(json!({"step": "burn", "what": "rules"}))),
            "unknown variant",
        ),
        (
            "a step on an unknown object",
            forged_file(&plan, step(json!({"step": "move", "what": {"rack": "r"}}))),
            "unknown variant",
        ),
        ("a step without an object", forged_file(&plan, step(json!({"step": "move"}))), "missing field"),
        (
            "a change without fields",
            forged_file(&plan, step(json!({"step": "change", "what": "rules"}))),
            "missing field",
        ),
        (
            "a step with an additional field",
            forged_file(&plan, step(json!({"step": "move", "what": "rules", "x": 1}))),
            "unknown field",
        ),
        (
            "an edit without the previous value",
            forged_file(
                &plan,
                step(json!({"step": "change", "what": "rules", "fields": {"x": {"after": 1}}})),
            ),
            "missing field",
        ),
        (
            "a risk of unknown severity",
            forged_file(
                &plan,
                set_key("risks", json!([{"id": "a/b", "severity": "dire", "what": "", "figures": {}}])),
            ),
            "unknown variant",
        ),
        (
            "a risk without figures",
            forged_file(&plan, set_key("risks", json!([{"id": "a/b", "severity": "low", "what": ""}]))),
            "missing field",
        ),
        (
            "a figure that is a string",
            forged_file(
                &plan,
                set_key(
                    "risks",
                    json!([{"id": "a/b", "severity": "low", "what": "", "figures": {"x": "1"}}]),
                ),
            ),
            "invalid plan",
        ),
    ];
    cases.extend(forgeries);
    assert!(cases.len() >= 40, "{} cases", cases.len());
    for (name, bytes, wanted) in cases {
        let problem = Plan::from_bytes(&bytes).map(|_| ()).expect_err(name).to_string();
        assert!(problem.contains(wanted), "{name}: {problem}");
        assert!(!problem.contains('\n'), "{name}: the message has several lines: {problem}");
    }
}

#[test]
fn forged_steps_change_nothing() {
    let (from, to) = two_fleets();
    let mut store = store_with(&from);
    let plan = plan_on(&store, &from, &to, "why");
    let pool = to.pools.keys().next().expect("no pool");
    let steps = [
        (
            "a change of a missing object",
            json!({"step": "change", "what": {"pool": "ghost"}, "fields": {}}),
        ),
        (
            "a change from a different value",
            json!({"step": "change", "what": {"pool": pool},
            "fields": {"max_requests": {"before": 5, "after": 6}}}),
        ),
        (
            "a deletion of a missing object",
            json!({"step": "delete", "what": {"pool": "ghost"}, "fields": {}}),
        ),
        (
            "a deletion with different fields",
            json!({"step": "delete", "what": {"pool": pool}, "fields": {}}),
        ),
        (
            "a creation of an existing object",
            json!({"step": "create", "what": {"pool": pool}, "fields": {}}),
        ),
        ("a move of an unordered object", json!({"step": "move", "what": {"pool": pool}})),
        (
            "a route of a missing listener",
            json!({"step": "create", "what": {"route": ["ghost", "r"]}, "fields": {}}),
        ),
        (
            "an endpoint of a missing pool",
            json!({"step": "create", "what": {"endpoint": ["ghost", "e"]}, "fields": {}}),
        ),
        (
            "an invalid class",
            json!({"step": "create", "what": {"class": "x"}, "fields": {"deadline": "soon"}}),
        ),
        ("an unknown field", json!({"step": "create", "what": {"class": "x"}, "fields": {}})),
    ];
    for (name, step) in steps {
        let bytes =
            forged_file(&plan, |plan| plan["steps"].as_array_mut().expect("not a list").insert(0, step));
        let plan = Plan::from_bytes(&bytes).expect("failed to decode the plan");
        let problem = apply(&mut store, &plan, &high_risk_ids(&plan), "nok", NOW).expect_err(name);
        assert!(matches!(problem, ApplyError::Step(_)), "{name}: {problem}");
    }
    let bytes = forged_file(&plan, |plan| drop(plan["steps"].as_array_mut().expect("not a list").pop()));
    let plan = Plan::from_bytes(&bytes).expect("failed to decode the plan");
    let problem = apply(&mut store, &plan, &high_risk_ids(&plan), "nok", NOW)
        .expect_err("a plan without its last step was applied");
    assert!(matches!(problem, ApplyError::WrongResult | ApplyError::Step(_)), "{problem}");
    assert_eq!((store.serial(), fleet_at(&store, 1).expect("failed to read the fleet")), (1, from));
}

fn high_risk_ids(plan: &Plan) -> BTreeSet<String> {
    plan.risks.iter().filter(|risk| risk.severity == Severity::High).map(|risk| risk.id.clone()).collect()
}

/// The error names the author of the current version and the changed objects.
#[test]
fn a_plan_on_a_changed_state_is_refused_with_author_and_changes() {
    let (from, to) = two_fleets();
    let mut store = store_with(&from);
    let plan = plan_on(&store, &from, &to, "songkran");
    let mut intermediate = from.clone();
    intermediate
        .classes
        .insert("added".to_owned(), from.classes.values().next().expect("no class").clone());
    let other = plan_on(&store, &from, &intermediate, "a quick fix");
    apply(&mut store, &other, &no_risks(), "nok", NOW).expect("failed to apply the first plan");
    let problem = apply(&mut store, &plan, &high_risk_ids(&plan), "somchai", NOW)
        .expect_err("a plan on an old serial was applied");
    let text = problem.to_string();
    assert!(matches!(problem, ApplyError::StateChanged { planned: 1, found: 2, .. }), "{text}");
    for wanted in ["nok (a quick fix)", "class.added", "serial 1", "serial 2", "Create a new plan"] {
        assert!(text.contains(wanted), "{wanted} in {text}");
    }
    // The same serial with a different hash is a different state.
    let mut other = store_with(&intermediate);
    assert!(matches!(
        apply(&mut other, &plan, &high_risk_ids(&plan), "nok", NOW),
        Err(ApplyError::StateChanged { .. })
    ));
    assert_eq!((store.serial(), other.serial()), (2, 1));
}

#[test]
fn applying_a_plan_again_returns_the_first_serial() {
    let (from, to) = two_fleets();
    let mut store = store_with(&from);
    let plan = plan_on(&store, &from, &to, "there");
    assert_eq!(
        apply(&mut store, &plan, &high_risk_ids(&plan), "nok", NOW).expect("failed to apply the plan"),
        Applied::Committed(2)
    );
    assert_eq!(
        apply(&mut store, &plan, &high_risk_ids(&plan), "nok", NOW)
            .expect("failed to apply the plan again"),
        Applied::AlreadyApplied(2)
    );
    let back = plan_on(&store, &to, &from, "back");
    apply(&mut store, &back, &high_risk_ids(&back), "nok", NOW).expect("failed to apply the plan");
    assert_eq!(
        apply(&mut store, &plan, &no_risks(), "nok", NOW + 2 * HOUR)
            .expect("failed to apply the plan again"),
        Applied::AlreadyApplied(2)
    );
    assert_eq!(store.serial(), 3);
}

#[test]
fn plans_of_another_lineage_or_outside_their_lifetime_are_refused() {
    let (from, to) = two_fleets();
    let mut store = store_with(&from);
    let plan = plan_on(&store, &from, &to, "why");
    let elsewhere = Plan { lineage: "another".to_owned(), ..plan.clone() };
    let problem = apply(&mut store, &elsewhere, &high_risk_ids(&plan), "nok", NOW)
        .expect_err("a plan of another state was applied");
    assert!(matches!(problem, ApplyError::LineageMismatch { .. }), "{problem}");
    let late = apply(&mut store, &plan, &high_risk_ids(&plan), "nok", NOW + HOUR + 1)
        .expect_err("an expired plan was applied");
    assert!(matches!(late, ApplyError::Expired(_)), "{late}");
    // The local clock was set back by a day.
    let early = apply(&mut store, &plan, &high_risk_ids(&plan), "nok", NOW - 24 * HOUR)
        .expect_err("a plan from the future was applied");
    assert!(matches!(early, ApplyError::ClockSkew(_)), "{early}");
    assert_eq!(store.serial(), 1);
}

#[test]
fn each_high_risk_must_be_accepted_by_its_id() {
    let (from, mut to) = two_fleets();
    to.listeners.clear();
    let mut store = store_with(&from);
    let plan = plan_on(&store, &from, &to, "why");
    let high = high_risk_ids(&plan);
    assert!(high.len() >= 2, "{high:?}");
    for missing in &high {
        let rest: BTreeSet<String> = high.iter().filter(|id| *id != missing).cloned().collect();
        let problem = apply(&mut store, &plan, &rest, "nok", NOW)
            .expect_err("a plan with an unaccepted risk was applied");
        let text = problem.to_string();
        assert!(text.contains(&format!("--accept-risk {missing}")), "{text}");
        assert!(matches!(problem, ApplyError::UnacceptedRisks(risks) if risks.len() == 1), "{text}");
    }
    let mut more = high.clone();
    more.insert("capacity-lost/pool.ghost".to_owned());
    let problem = apply(&mut store, &plan, &more, "nok", NOW).expect_err("an unknown risk was accepted");
    assert!(matches!(problem, ApplyError::UnknownRisk(_)), "{problem}");
    assert!(apply(&mut store, &plan, &high, "nok", NOW).is_ok());
}

#[test]
fn an_invalid_fleet_in_the_store_is_refused() {
    let (from, to) = two_fleets();
    let mut store = store_with(&from);
    let entry = CommitInfo { author: "nok", reason: "by hand", at_ms: NOW, ..CommitInfo::default() };
    store.commit(1, "{\"rules\":{}}", entry).expect("failed to commit");
    let plan = plan_on(&store, &from, &to, "why");
    let problem = apply(&mut store, &plan, &high_risk_ids(&plan), "nok", NOW)
        .expect_err("an invalid fleet was accepted");
    assert!(matches!(problem, ApplyError::InvalidFleet { serial: 2, .. }), "{problem}");
}
