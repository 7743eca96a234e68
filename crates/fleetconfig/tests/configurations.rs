//! Operators' configurations: the example of the protocol page is accepted, invalid ones are rejected with the invalid field.

use expect_test::expect;
use runtrack_fleetconfig::{ConfigError, FleetConfig, MAX_CONFIG, RouteKind, RouteTable};
use std::time::Duration;

const PROTOCOL_EXAMPLE: &str = include_str!("protocol-page.json");

fn read(text: &str) -> Result<FleetConfig, ConfigError> {
    FleetConfig::read(text.as_bytes())
}

fn findings(text: &str) -> String {
    read(text).expect_err("it is refused").to_string()
}

#[test]
fn the_configuration_of_the_protocol_page_is_accepted() {
    let config = read(PROTOCOL_EXAMPLE).expect("it is valid");
    assert_eq!(config.version, 7);
    assert_eq!(config.services[0].connection_limit, 370);
    assert_eq!(config.services[0].engine.expect("an engine").kv_tokens, 510_976);
    assert_eq!(config.services[1].engine, None);
    let (first, second) = (&config.routes[0], &config.routes[1]);
    assert_eq!(first.kind, RouteKind::Streaming);
    assert_eq!(first.timeout, Duration::from_secs(10));
    assert!(!first.is_idempotent(), "a stream that can't be resumed runs once");
    assert!(second.is_idempotent());
    assert_eq!(second.max_tries, 2);
    assert_eq!(config.limits.idle, Duration::from_secs(15));
}

#[test]
fn truncated_configurations_are_rejected() {
    for end in 0..PROTOCOL_EXAMPLE.trim_end().len() {
        assert_eq!(
            FleetConfig::read(&PROTOCOL_EXAMPLE.as_bytes()[..end]),
            Err(ConfigError::Unreadable),
            "up to {end}"
        );
    }
}

#[test]
fn each_invalid_field_is_reported_with_its_path() {
    let unknown =
        PROTOCOL_EXAMPLE.replace(r#""service":"huvo11a","maxTries""#, r#""service":"nobody","maxTries""#);
    expect![[r#"routes[1].service: there is no service "nobody""#]].assert_eq(&findings(&unknown));
    let split =
        PROTOCOL_EXAMPLE.replace(r#""service":"wuno96b","weight""#, r#""service":"nobody","weight""#);
    expect![[r#"routes[0].split[1].service: there is no service "nobody""#]].assert_eq(&findings(&split));
    let twice = PROTOCOL_EXAMPLE.replace("/pufi791/", "/lohu930/");
    expect!["routes[1].pathPrefix: routes[0] has the same host and prefix"].assert_eq(&findings(&twice));
    let weights = PROTOCOL_EXAMPLE
        .replace(r#""weight":90"#, r#""weight":0"#)
        .replace(r#""weight":10"#, r#""weight":0"#);
    expect!["routes[0].split: the weights add up to 0"].assert_eq(&findings(&weights));
    let timeout = PROTOCOL_EXAMPLE.replace(r#""timeoutMs":6000"#, r#""timeoutMs":0"#);
    expect!["routes[1].timeoutMs: is 0"].assert_eq(&findings(&timeout));
    let prefix = PROTOCOL_EXAMPLE.replace("/pufi791/", "pufi791");
    expect!["routes[1].pathPrefix: does not begin and end with a slash"].assert_eq(&findings(&prefix));
    let version = PROTOCOL_EXAMPLE.replace(r#""version":7"#, r#""version":0"#);
    expect!["version: 0 is the version before the first configuration"].assert_eq(&findings(&version));
    let kind = PROTOCOL_EXAMPLE.replacen("streaming", "sometimes", 1);
    expect![[r#"routes[0].kind: "sometimes" is none of idempotent, non_idempotent, streaming"#]]
        .assert_eq(&findings(&kind));
    let negative = PROTOCOL_EXAMPLE.replace(r#""weight":10"#, r#""weight":-10"#);
    expect!["routes[0].split[1].weight: -10 is no weight"].assert_eq(&findings(&negative));
    let service = PROTOCOL_EXAMPLE.replace(r#""name":"wuno96b""#, r#""name":"huvo11a""#);
    expect![[r#"services[1].name: services[0] has the same name; routes[0].split[1].service: there is no service "wuno96b""#]]
        .assert_eq(&findings(&service));
}

#[test]
fn all_findings_are_reported_together() {
    let text = PROTOCOL_EXAMPLE
        .replace(r#""timeoutMs":6000"#, r#""timeoutMs":0"#)
        .replace("/pufi791/", "/lohu930/");
    expect!["routes[1].timeoutMs: is 0; routes[1].pathPrefix: routes[0] has the same host and prefix"]
        .assert_eq(&findings(&text));
}

#[test]
fn oversized_configurations_are_rejected() {
    let text = " ".repeat(MAX_CONFIG + 1);
    assert_eq!(read(&text), Err(ConfigError::TooLarge(MAX_CONFIG + 1)));
}

#[test]
fn deeply_nested_input_is_rejected() {
    let deep = "[".repeat(200_000);
    assert_eq!(read(&deep), Err(ConfigError::Unreadable));
}

#[test]
fn unknown_fields_are_ignored() {
    let text = PROTOCOL_EXAMPLE.replacen('{', r#"{"later":{"a":[1,2,{"b":null}]},"#, 1);
    assert_eq!(read(&text), read(PROTOCOL_EXAMPLE));
}

#[test]
fn routes_match_by_longest_prefix_and_by_host_without_case_or_port() {
    let text = PROTOCOL_EXAMPLE.replace("/pufi791/", "/lohu930/deep/");
    let table = RouteTable::new(read(&text).expect("it is valid"));
    let name = |host: &str, path: &str| table.find(host, path, 0.0).map(|routed| routed.route.name.clone());
    assert_eq!(name("ficu95.example", "/lohu930/2f").as_deref(), Some("r-3d3zji9"));
    assert_eq!(name("ficu95.example", "/lohu930/deep/2f").as_deref(), Some("r-n73hh2b"));
    assert_eq!(name("FICU95.example:8144", "/lohu930/deep/").as_deref(), Some("r-n73hh2b"));
    assert_eq!(name("ficu95.example", "/lohu930"), None, "the prefix ends with a slash");
    assert_eq!(name("ficu95.example", "/lohu9301/2f"), None);
    assert_eq!(name("other.example", "/lohu930/2f"), None);
}

#[test]
fn requests_are_split_by_weight() {
    let table = RouteTable::new(read(PROTOCOL_EXAMPLE).expect("it is valid"));
    let service =
        |draw: f64| table.find("ficu95.example", "/lohu930/x", draw).expect("a route").service.name.clone();
    let first = (0..1000).filter(|draw| service(f64::from(*draw) / 1000.0) == "huvo11a").count();
    assert_eq!(first, 900);
}
