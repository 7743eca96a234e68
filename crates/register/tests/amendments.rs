//! Amendments as requests of the register: applied once, only to the version that they build on, and acknowledged again when
//! they are retried.

mod support;

use runtrack_message::Value;
use runtrack_register::{
    ConfigAnswer, ConfigRequest, Decision, amendment_digest, legacy_request_digest, request_digest,
};
use support::{Cluster, request};

fn route(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"h","pathPrefix":"/{name}/","kind":"idempotent","timeoutMs":1000,"service":"s"}}"#
    )
}

fn complete(base: u64, version: u64, routes: &[&str]) -> ConfigRequest {
    let routes: Vec<String> = routes.iter().map(|name| route(name)).collect();
    let body =
        format!(r#"{{"version":{version},"routes":[{}],"services":[{{"name":"s"}}]}}"#, routes.join(","));
    ConfigRequest::replace(base, version, body.into_bytes())
}

fn add(base: u64, version: u64, name: &str) -> ConfigRequest {
    let body = format!(r#"{{"version":{version},"upsert":{{"routes":[{}]}}}}"#, route(name));
    ConfigRequest::amend(base, version, body.into_bytes())
}

fn remove(base: u64, version: u64, name: &str) -> ConfigRequest {
    let body = format!(r#"{{"version":{version},"remove":{{"routes":["{name}"]}}}}"#);
    ConfigRequest::amend(base, version, body.into_bytes())
}

/// Names of the committed routes.
fn routes(value: &Value) -> Vec<String> {
    let config = runtrack_fleetconfig::FleetConfig::read(value.config.as_slice()).expect("it is valid");
    config.routes.into_iter().map(|route| route.name).collect()
}

fn started() -> Cluster {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &complete(0, 1, &["a"])), Some(ConfigAnswer::Applied));
    cluster
}

#[test]
fn amendments_build_on_each_other_at_any_member_and_each_is_applied_once() {
    let mut cluster = started();
    assert_eq!(cluster.submit(1, &add(1, 3, "b")), Some(ConfigAnswer::Applied));
    assert_eq!(cluster.submit(2, &remove(3, 4, "a")), Some(ConfigAnswer::Applied));
    assert_eq!(cluster.submit(0, &add(4, 9, "a")), Some(ConfigAnswer::Applied));
    assert_eq!(routes(&cluster.read(1)), ["b", "a"]);
    // Each is retried at another member. Applying the removal again would remove the last route.
    for (at, request) in [(2, add(1, 3, "b")), (0, remove(3, 4, "a")), (1, add(4, 9, "a"))] {
        assert_eq!(cluster.submit(at, &request), Some(ConfigAnswer::Applied));
    }
    let value = cluster.read(0);
    assert_eq!((value.version, routes(&value)), (9, vec!["b".to_owned(), "a".to_owned()]));
}

#[test]
fn an_amendment_and_a_replacement_of_one_base_conflict() {
    for amendment_first in [true, false] {
        let mut cluster = started();
        let (amendment, replacement) = (add(1, 2, "b"), complete(1, 2, &["c"]));
        let (first, second) =
            if amendment_first { (&amendment, &replacement) } else { (&replacement, &amendment) };
        assert_eq!(cluster.submit(0, first), Some(ConfigAnswer::Applied));
        assert_eq!(cluster.submit(1, second), Some(ConfigAnswer::VersionMismatch(2)));
        assert_eq!(cluster.submit(2, first), Some(ConfigAnswer::Applied));
        let expected: &[&str] = if amendment_first { &["a", "b"] } else { &["c"] };
        assert_eq!(routes(&cluster.read(2)), expected);
    }
}

#[test]
fn a_different_amendment_with_the_same_version_is_rejected() {
    let mut cluster = started();
    assert_eq!(cluster.submit(0, &add(1, 2, "b")), Some(ConfigAnswer::Applied));
    assert_eq!(cluster.submit(1, &add(1, 2, "c")), Some(ConfigAnswer::VersionMismatch(2)));
    assert_eq!(cluster.submit(1, &add(2, 2, "c")), Some(ConfigAnswer::VersionNotIncreasing(2)));
    assert_eq!(routes(&cluster.read(0)), ["a", "b"]);
}

#[test]
fn an_inapplicable_amendment_is_rejected_only_once_its_base_is_current() {
    let mut cluster = started();
    // Version 1 has no b; version 2, which is not committed yet, has one.
    let early = remove(2, 3, "b");
    assert_eq!(cluster.submit(0, &early), Some(ConfigAnswer::Indeterminate));
    assert_eq!(cluster.submit(0, &remove(1, 3, "b")), Some(ConfigAnswer::Invalid(1)));
    assert_eq!(cluster.submit(1, &add(1, 2, "b")), Some(ConfigAnswer::Applied));
    assert_eq!(cluster.submit(2, &early), Some(ConfigAnswer::Applied));
    // Its base is outdated: the answer differs and is still a rejection.
    assert_eq!(cluster.submit(0, &remove(1, 3, "b")), Some(ConfigAnswer::VersionMismatch(3)));
    assert_eq!(routes(&cluster.read(0)), ["a"]);
}

#[test]
fn an_amendment_of_the_empty_register_is_rejected() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &add(0, 1, "a")), Some(ConfigAnswer::Invalid(0)));
    assert_eq!(cluster.submit(0, &add(1, 2, "b")), Some(ConfigAnswer::Indeterminate));
    assert_eq!(cluster.submit(1, &complete(0, 1, &["a"])), Some(ConfigAnswer::Applied));
    assert_eq!(cluster.submit(2, &add(1, 2, "b")), Some(ConfigAnswer::Applied));
}

#[test]
fn a_repeated_amendment_is_acknowledged_and_below_the_floor_never_rejected() {
    let mut cluster = started();
    let first = add(1, 2, "b");
    assert_eq!(cluster.submit(0, &first), Some(ConfigAnswer::Applied));
    for base in 2..513 {
        assert_eq!(cluster.submit(1, &request(base, base + 1)), Some(ConfigAnswer::Applied));
    }
    assert_eq!(cluster.submit(2, &first), Some(ConfigAnswer::Applied), "the table still holds it");
    for base in 513..520 {
        assert_eq!(cluster.submit(1, &request(base, base + 1)), Some(ConfigAnswer::Applied));
    }
    assert_eq!(cluster.submit(0, &first), Some(ConfigAnswer::Indeterminate));
}

#[test]
fn the_same_bytes_as_a_complete_configuration_are_a_different_request() {
    let body = br#"{"version":2,"routes":[],"services":[]}"#.to_vec();
    let mut cluster = started();
    assert_eq!(cluster.submit(0, &ConfigRequest::amend(1, 2, body.clone())), Some(ConfigAnswer::Applied));
    let replacement = ConfigRequest::replace(1, 2, body.clone());
    assert_eq!(cluster.submit(0, &replacement), Some(ConfigAnswer::VersionMismatch(2)));
    assert_eq!(routes(&cluster.read(0)), ["a"]);
    assert_ne!(amendment_digest(1, &body), request_digest(1, &body));
    assert_ne!(amendment_digest(1, &body), legacy_request_digest(1, &body));
}

/// Members of an older version store and forward the result of an amendment: it is an ordinary value in the same format, a
/// complete configuration with one more digest.
#[test]
fn members_of_an_older_version_accept_the_value_of_an_amendment() {
    let mut cluster = started();
    assert_eq!(cluster.submit(0, &add(1, 2, "b")), Some(ConfigAnswer::Applied));
    let value = cluster.read(0);
    let complete = ConfigRequest::replace(1, 2, value.config.as_slice().to_vec());
    let mut before = Cluster::new(3);
    let first = ConfigRequest::replace(0, 1, started().read(0).config.as_slice().to_vec());
    assert_eq!(before.submit(0, &first), Some(ConfigAnswer::Applied));
    assert_eq!(before.submit(0, &complete), Some(ConfigAnswer::Applied));
    let other = before.read(0);
    assert_eq!((value.version, value.sequence, &value.config), (2, other.sequence, &other.config));
    assert_eq!(value.applied.items().len(), other.applied.items().len());
}

#[test]
fn deciding_an_amendment_is_deterministic() {
    let mut cluster = started();
    let value = cluster.read(0);
    let request = add(1, 2, "b");
    let decided: Vec<Decision> = (0..3).map(|_| request.decide(Some(&value), &[]).0).collect();
    assert!(decided.iter().all(|decision| *decision == decided[0]));
}
