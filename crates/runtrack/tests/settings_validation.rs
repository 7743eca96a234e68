//! Settings: any missing, empty, huge or wrongly typed field is named in a one-line error or is harmless, and the
//! settings of one sidecar have no effect on another one.

#[path = "support/in_process.rs"]
mod in_process;
#[path = "support/node.rs"]
mod support;

use in_process::InProcess;
use runtrack::net::budget::Budget;
use runtrack::net::config::Config;
use runtrack::net::outbound::Outbound;
use runtrack_balancer::Balancer;
use runtrack_net::Tcp;
use serde_json::{Value, json};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;
use support::*;

/// Collects the paths of all nested values.
fn paths(value: &Value, here: &str, all: &mut Vec<String>) {
    let mut inner = |name: &str, value: &Value| {
        let path = format!("{here}/{name}");
        all.push(path.clone());
        paths(value, &path, all);
    };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, value)| inner(name, value)),
        Value::Array(items) => items.iter().enumerate().for_each(|(n, value)| inner(&n.to_string(), value)),
        _ => {}
    }
}

fn without(config: &Value, path: &str) -> Value {
    let mut config = config.clone();
    let (parent, name) = path.rsplit_once('/').unwrap();
    match config.pointer_mut(parent) {
        Some(Value::Object(fields)) => drop(fields.remove(name)),
        Some(Value::Array(items)) => drop(items.remove(name.parse().unwrap())),
        _ => unreachable!("a parent holds something"),
    }
    config
}

/// All changes of a single value, each with a description.
fn changes(config: &Value) -> Vec<(String, Value)> {
    let mut all = Vec::new();
    paths(config, "", &mut all);
    let values = [
        json!(null),
        json!(0),
        json!(-1),
        json!(1e308),
        json!(u64::MAX),
        json!(0.5),
        json!("text"),
        json!(""),
        json!([]),
        json!({}),
        json!(true),
    ];
    let mut changed = Vec::new();
    for path in all {
        changed.push((format!("{path} missing"), without(config, &path)));
        for value in &values {
            let mut config = config.clone();
            *config.pointer_mut(&path).unwrap() = value.clone();
            changed.push((format!("{path} = {value}"), config));
        }
        let mut config = config.clone();
        if let Some(Value::Object(fields)) = config.pointer_mut(&path) {
            fields.insert("heretofore_unknown".to_owned(), json!({"what": ["ever"]}));
            changed.push((format!("{path} with an unknown field"), config));
        }
    }
    changed
}

/// Runs all code of the sidecar that validates settings.
fn validate(config: &Value) -> Result<(), String> {
    let config = Config::parse(&config.to_string(), None, None, None).map_err(|e| e.to_string())?;
    Balancer::new(config.settings.clone(), config.seed, Duration::from_secs(1))
        .map_err(|e| format!("settings: {e}"))?;
    let budget = Budget::new(config.sockets, config.memory_mb);
    drop(Outbound::new(Rc::new(Tcp), &config.settings, budget));
    Ok(())
}

#[test]
fn any_changed_value_is_accepted_or_named_in_the_error_without_a_panic() {
    let config = config(&[&Peer::serving("ok")]);
    let (mut refused, mut accepted) = (0, 0);
    for (what, changed) in changes(&config) {
        match catch_unwind(AssertUnwindSafe(|| validate(&changed))) {
            Ok(Ok(())) => accepted += 1,
            Ok(Err(problem)) => {
                refused += 1;
                assert_eq!(problem.lines().count(), 1, "{what}: {problem}");
                let path = what.split(' ').next().unwrap();
                let names: Vec<&str> =
                    path.split('/').filter(|name| name.parse::<usize>().is_err()).collect();
                let named =
                    names.iter().rev().take(2).any(|name| !name.is_empty() && problem.contains(name));
                assert!(named, "{what} is not named: {problem}");
            }
            Err(_) => panic!("{what}: a panic"),
        }
    }
    assert!(refused > 300 && accepted > 100, "{refused} refused, {accepted} taken");
}

#[test]
fn accepted_settings_also_serve_requests() {
    let peer = Peer::serving("ok");
    let whole = config(&[&peer]);
    let extreme_values = [json!(0), json!(1e308), json!(9e15), json!(0.001), json!(null)];
    let mut all = Vec::new();
    paths(&whole["settings"], "/settings", &mut all);
    all.extend(["/limits/memory_mb", "/limits/sockets", "/limits/cores"].map(str::to_owned));
    let numbers = all.into_iter().filter(|path| whole.pointer(path).is_some_and(Value::is_number));
    let mut ran = 0;
    for path in numbers {
        for value in &extreme_values {
            let mut config = whole.clone();
            config["listen"] = json!(free_address().to_string());
            *config.pointer_mut(&path).unwrap() = value.clone();
            if validate(&config).is_err() {
                continue;
            }
            let sidecar = InProcess::start(&config, "");
            let mut client = sidecar.client();
            client.send(&request("book", "r1", "2000m"));
            let answer = client.receive();
            assert!(answer.is_some(), "{path} = {value}: no answer");
            assert!(sidecar.gauges().open == 0, "{path} = {value}");
            sidecar.request_drain();
            ran += 1;
        }
    }
    assert!(ran > 50, "{ran}");
}

#[test]
fn the_built_program_names_the_field_and_ends_with_one() {
    let config = config(&[&Peer::serving("ok")]);
    for (path, value) in [
        ("/settings/classes/0/deadlineMs", json!(-1)),
        ("/settings/classes", json!([])),
        ("/settings/limits/maxAttempts", json!(null)),
        ("/settings/rules", json!(7)),
        ("/limits/sockets", json!(1e308)),
        ("/known/targets/0/endpoint", json!("nowhere")),
        ("/discovery", json!(null)),
    ] {
        let mut config = config.clone();
        *config.pointer_mut(path).unwrap() = value;
        let (status, said) = start_error(&config.to_string());
        assert_eq!(status.code(), Some(1), "{path}: {said}");
        assert_eq!(said.trim_end().lines().count(), 1, "{path}: {said}");
        let name = path.split('/').rfind(|name| name.parse::<usize>().is_err()).unwrap();
        assert!(said.contains(name) && !said.contains("panicked"), "{path}: {said}");
    }
}

/// One customer's configuration: its class, deadline and tenant, and whether `Retry-After` is sent.
fn customer_config(
    peer: &Peer,
    class: &str,
    semantics: &str,
    tenant: &str,
    deadline: f64,
    tells: bool,
) -> Value {
    let mut config = config(&[peer]);
    config["settings"]["classes"] = json!([
        {"name": class, "semantics": semantics, "group": "all", "repeatWindowMs": 500.0,
         "objectiveMs": deadline / 2.0, "deadlineMs": deadline, "worth": 3.0, "lateValue": 0.1}
    ]);
    config["settings"]["tenants"] = json!([{"name": tenant, "allowancePerS": 10.0, "portion": 1.0}]);
    config["settings"]["limits"]["retryAfter"] = json!(tells);
    config
}

/// How a sidecar answers requests of both customers: statuses, whether it sends `Retry-After`, and how long it waits
/// for a silent endpoint.
fn behaviour(sidecar: &InProcess, own: &str, post: bool, tenant: &str) -> (u16, u16, u16, bool, Duration) {
    let text = |class: &str, tenant: &str, id: &str| {
        let base = request(if post { "book" } else { "quote" }, id, "20000m");
        base.replace("/book/", &format!("/{class}/"))
            .replace("/quote/", &format!("/{class}/"))
            .replace("acme", tenant)
    };
    let ask = |text: String| {
        let mut client = sidecar.client();
        client.send(&text);
        client.receive().expect("an answer")
    };
    let start = std::time::Instant::now();
    let answer = ask(text(own, tenant, "own"));
    let took = start.elapsed();
    let tells = !answer.header("retry-after").is_empty();
    let other = ask(text("neither", tenant, "other")).status();
    let stranger = ask(text(own, "stranger", "stranger")).status();
    (answer.status(), other, stranger, tells, took)
}

#[test]
fn settings_of_one_customer_have_no_effect_on_another_ones_sidecar() {
    let silent = Peer::new(|_| Reply::Silence);
    let one = || customer_config(&silent, "withdraw", "unsafe", "north", 400.0, false);
    let two = || customer_config(&silent, "balance", "safe", "south", 4000.0, true);
    let check_one = |sidecar: &InProcess| {
        let (own, other, stranger, tells, took) = behaviour(sidecar, "withdraw", true, "north");
        assert_eq!((own, other, stranger, tells), (502, 404, 400, false));
        assert!(took >= Duration::from_millis(300) && took < Duration::from_millis(3000), "{took:?}");
        let foreign = behaviour(sidecar, "balance", true, "south");
        assert_eq!((foreign.0, foreign.2), (404, 404), "the class of the other customer");
    };
    let check_two = |sidecar: &InProcess| {
        let (own, other, stranger, tells, took) = behaviour(sidecar, "balance", false, "south");
        assert_eq!((own, other, stranger, tells), (503, 404, 400, true));
        assert!(took >= Duration::from_millis(3500) && took < Duration::from_millis(15_000), "{took:?}");
        let foreign = behaviour(sidecar, "withdraw", false, "north");
        assert_eq!((foreign.0, foreign.2), (404, 404), "the class of the other customer");
    };
    // Side by side in one process.
    let (first, second) = (InProcess::start(&one(), ""), InProcess::start(&two(), ""));
    check_one(&first);
    check_two(&second);
    check_one(&first);
    drop((first, second));
    // One after the other, in the opposite order.
    check_two(&InProcess::start(&two(), ""));
    check_one(&InProcess::start(&one(), ""));
}

/// The `Retry-After` of a client over the limit, with these settings.
fn retry_after_over_limit(may: bool, most_ms: f64, mutant: &'static str) -> String {
    let peer = Peer::new(|_| Reply::Silence);
    let mut config = config(&[&peer]);
    // 16 sockets: ten for clients, all of which wait for an answer.
    config["limits"]["sockets"] = json!(64);
    config["settings"]["limits"]["retryAfter"] = json!(may);
    config["settings"]["limits"]["maxRetryAfterMs"] = json!(most_ms);
    let sidecar = InProcess::start(&config, mutant);
    let _open = sidecar.with_open_requests(10);
    let answer = sidecar.client().ask("quote", "over");
    assert_eq!(answer.status(), 503);
    answer.header("retry-after").to_owned()
}

#[test]
fn clients_refused_for_lack_of_sockets_get_retry_after_as_the_settings_allow() {
    assert_eq!(retry_after_over_limit(true, 2000.0, ""), "0.500");
    assert_eq!(retry_after_over_limit(true, 200.0, ""), "0.200", "capped at the maximum");
    assert_eq!(retry_after_over_limit(false, 2000.0, ""), "", "the settings forbid the header");
    assert_eq!(
        retry_after_over_limit(false, 2000.0, "retry-after-unconditional"),
        "0.500",
        "the test detects the mutant"
    );
}
