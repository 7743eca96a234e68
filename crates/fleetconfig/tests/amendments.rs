//! Applying amendments to configurations, and the findings for invalid amendments.

use miniserde::json::{self, Value};
use runtrack_fleetconfig::{Amendment, ConfigError, FleetConfig};

const CONFIG: &str = r#"{"version":7,
    "routes":[{"name":"a","host":"h","pathPrefix":"/a/","kind":"idempotent","timeoutMs":1000,"service":"s","later":[1.5,null]},
              {"name":"b","host":"h","pathPrefix":"/b/","kind":"idempotent","timeoutMs":1000,"service":"t"}],
    "services":[{"name":"s","connLimit":10},{"name":"t","connLimit":10}],
    "limits":{"idleMs":15000},"notes":[{"name":"n","text":"x"}],"unknown":{"deep":[130000.0]}}"#;

fn route(name: &str, prefix: &str, service: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"h","pathPrefix":"{prefix}","kind":"idempotent","timeoutMs":500,"service":"{service}"}}"#
    )
}

fn amended(body: &str) -> Result<String, ConfigError> {
    let result = Amendment::read(body.as_bytes())?.apply(CONFIG.as_bytes())?;
    Ok(String::from_utf8(result).expect("it is text"))
}

/// Names of the items of a list, in order.
fn names(config: &str, list: &str) -> Vec<String> {
    let config: json::Object = json::from_str(config).expect("it is JSON");
    let Some(Value::Array(items)) = config.get(list) else { panic!("a list") };
    let name = |item: &Value| match item {
        Value::Object(fields) => json::to_string(&fields["name"]).trim_matches('"').to_owned(),
        _ => panic!("an item"),
    };
    items.iter().map(name).collect()
}

#[test]
fn upsert_replaces_or_appends_and_remove_deletes_and_everything_else_is_kept() {
    let body = format!(
        r#"{{"version":9,"upsert":{{"routes":[{},{}],"services":[{{"name":"u"}}]}},"remove":{{"routes":["b"],"services":["t"]}}}}"#,
        route("c", "/c/", "u"),
        route("a", "/a/", "s"),
    );
    let result = amended(&body).expect("it is valid");
    assert_eq!(names(&result, "routes"), ["a", "c"]);
    assert_eq!(names(&result, "services"), ["s", "u"]);
    assert_eq!(names(&result, "notes"), ["n"]);
    assert!(result.contains(r#""unknown":{"deep":[130000.0]}"#), "{result}");
    assert!(!result.contains("later"), "an item is replaced as a whole: {result}");
    let config = FleetConfig::read(result.as_bytes()).expect("it is valid");
    assert_eq!((config.version, config.limits.idle.as_millis()), (9, 15_000));
    assert_eq!(config.routes[0].timeout.as_millis(), 500);
}

#[test]
fn lists_unknown_to_this_version_are_amended() {
    let body = r#"{"version":9,"upsert":{"notes":[{"name":"m"}]},"remove":{"notes":["n"]}}"#;
    assert_eq!(names(&amended(body).expect("it is valid"), "notes"), ["m"]);
}

#[test]
fn an_empty_amendment_changes_only_the_version() {
    let result = amended(r#"{"version":9}"#).expect("it is valid");
    let expected = CONFIG.replace(r#""version":7"#, r#""version":9"#);
    let parsed = |text: &str| json::to_string(&json::from_str::<Value>(text).expect("it is JSON"));
    assert_eq!(parsed(&result), parsed(&expected));
}

#[test]
fn invalid_amendments_are_rejected_with_the_invalid_field() {
    let cases = [
        (r#"{"version":0}"#.to_owned(), "version: 0 is"),
        (r#"{"version":9,"upsert":{"routes":[{"host":"h"}]}}"#.to_owned(), "upsert.routes[0]: has no name"),
        (r#"{"version":9,"upsert":{"routes":[5]}}"#.to_owned(), "upsert.routes[0]: has no name"),
        (
            format!(
                r#"{{"version":9,"upsert":{{"routes":[{},{}]}}}}"#,
                route("c", "/c/", "s"),
                route("c", "/d/", "s")
            ),
            r#"upsert.routes[1]: "c" is named twice"#,
        ),
        (
            format!(
                r#"{{"version":9,"upsert":{{"routes":[{}]}},"remove":{{"routes":["a"]}}}}"#,
                route("a", "/c/", "s")
            ),
            r#"remove.routes[0]: "a" is in upsert as well"#,
        ),
        (
            r#"{"version":9,"remove":{"routes":["a","a"]}}"#.to_owned(),
            r#"remove.routes[1]: "a" is named twice"#,
        ),
        (r#"{"version":9,"remove":{"routes":["z"]}}"#.to_owned(), r#"remove.routes: there is no "z""#),
        (
            r#"{"version":9,"upsert":{"rotues":[{"name":"c"}]}}"#.to_owned(),
            "rotues: the configuration has no",
        ),
        (
            r#"{"version":9,"upsert":{"limits":[{"name":"c"}]}}"#.to_owned(),
            "limits: the configuration has no",
        ),
        (r#"{"version":9,"remove":{"services":["t"]}}"#.to_owned(), r#"there is no service "t""#),
        (
            format!(r#"{{"version":9,"upsert":{{"routes":[{}]}}}}"#, route("c", "/a/", "s")),
            "has the same host and prefix",
        ),
        (
            format!(
                r#"{{"version":9,"upsert":{{"routes":[{}]}}}}"#,
                route("c", "/c/", "s").replace("500", "0")
            ),
            "timeoutMs: is 0",
        ),
        (r#"{"version":9,"upsert":[]}"#.to_owned(), "can't be read"),
        (r#"{"version":9,"remove":{"routes":["a"]}"#.to_owned(), "can't be read"),
    ];
    for (body, expected) in cases {
        let problem = amended(&body).expect_err(&body).to_string();
        assert!(problem.contains(expected), "{body}: {problem}");
    }
}

#[test]
fn ambiguous_item_names_are_rejected() {
    let config = CONFIG.replace(r#""name":"b""#, r#""name":"a""#);
    for body in [
        r#"{"version":9,"remove":{"routes":["a"]}}"#.to_owned(),
        format!(r#"{{"version":9,"upsert":{{"routes":[{}]}}}}"#, route("a", "/a/", "s")),
    ] {
        let amendment = Amendment::read(body.as_bytes()).expect("it is valid by itself");
        let problem = amendment.apply(config.as_bytes()).expect_err("it is ambiguous").to_string();
        assert!(problem.contains(r#"several items have the name "a""#), "{problem}");
    }
}

#[test]
fn all_findings_are_reported_together() {
    let body = r#"{"version":0,"upsert":{"routes":[{}]},"remove":{"services":["s","s"]}}"#;
    let Err(ConfigError::Invalid(findings)) = Amendment::read(body.as_bytes()).map(|_| ()) else {
        panic!("it is invalid")
    };
    assert_eq!(findings.len(), 3, "{findings:?}");
}
