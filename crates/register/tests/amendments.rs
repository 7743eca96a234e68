//! Amendments as requests of the register: applied to the version that they build on and to no other, once, and
//! acknowledged again when they come again.

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

/// The routes in force, by name.
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
    // Each of them once more, at another member: removed again, the last one would be gone.
    for (at, request) in [(2, add(1, 3, "b")), (0, remove(3, 4, "a")), (1, add(4, 9, "a"))] {
        assert_eq!(cluster.submit(at, &request), Some(ConfigAnswer::Applied));
    }
    let value = cluster.read(0);
    assert_eq!((value.version, routes(&value)), (9, vec!["b".to_owned(), "a".to_owned()]));
}

#[test]
fn of_an_amendment_and_a_complete_configuration_on_one_version_one_wins() {
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
fn another_amendment_under_the_same_number_is_refused() {
    let mut cluster = started();
    assert_eq!(cluster.submit(0, &add(1, 2, "b")), Some(ConfigAnswer::Applied));
    assert_eq!(cluster.submit(1, &add(1, 2, "c")), Some(ConfigAnswer::VersionMismatch(2)));
    assert_eq!(cluster.submit(1, &add(2, 2, "c")), Some(ConfigAnswer::VersionNotIncreasing(2)));
    assert_eq!(routes(&cluster.read(0)), ["a", "b"]);
}

#[test]
fn one_that_does_not_fit_its_base_is_refused_and_one_whose_base_is_yet_to_come_is_not() {
    let mut cluster = started();
    // On version 1 there is no b; on version 2, which may still come, there is.
    let early = remove(2, 3, "b");
    assert_eq!(cluster.submit(0, &early), Some(ConfigAnswer::Indeterminate));
    assert_eq!(cluster.submit(0, &remove(1, 3, "b")), Some(ConfigAnswer::Invalid(1)));
    assert_eq!(cluster.submit(1, &add(1, 2, "b")), Some(ConfigAnswer::Applied));
    assert_eq!(cluster.submit(2, &early), Some(ConfigAnswer::Applied));
    // Its base has gone by: the answer is another one, and a refusal still.
    assert_eq!(cluster.submit(0, &remove(1, 3, "b")), Some(ConfigAnswer::VersionMismatch(3)));
    assert_eq!(routes(&cluster.read(0)), ["a"]);
}

#[test]
fn before_the_first_configuration_there_is_nothing_to_amend() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &add(0, 1, "a")), Some(ConfigAnswer::Invalid(0)));
    assert_eq!(cluster.submit(0, &add(1, 2, "b")), Some(ConfigAnswer::Indeterminate));
    assert_eq!(cluster.submit(1, &complete(0, 1, &["a"])), Some(ConfigAnswer::Applied));
    assert_eq!(cluster.submit(2, &add(1, 2, "b")), Some(ConfigAnswer::Applied));
}

#[test]
fn an_amendment_is_confirmed_after_other_changes_and_below_the_floor_never_refused() {
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
fn the_same_bytes_as_a_complete_configuration_are_another_request() {
    let body = br#"{"version":2,"routes":[],"services":[]}"#.to_vec();
    let mut cluster = started();
    assert_eq!(cluster.submit(0, &ConfigRequest::amend(1, 2, body.clone())), Some(ConfigAnswer::Applied));
    let replacement = ConfigRequest::replace(1, 2, body.clone());
    assert_eq!(cluster.submit(0, &replacement), Some(ConfigAnswer::VersionMismatch(2)));
    assert_eq!(routes(&cluster.read(0)), ["a"]);
    assert_ne!(amendment_digest(1, &body), request_digest(1, &body));
    assert_ne!(amendment_digest(1, &body), legacy_request_digest(1, &body));
}

/// Members of the version before keep and hand on what an amendment makes: it is a value like any other, a complete
/// configuration with one more digest, in the same format.
#[test]
fn members_of_the_version_before_take_the_value_of_an_amendment() {
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
fn an_amendment_is_decided_alike_on_the_same_value_whoever_decides() {
    let mut cluster = started();
    let value = cluster.read(0);
    let request = add(1, 2, "b");
    let decided: Vec<Decision> = (0..3).map(|_| request.decide(Some(&value), &[]).0).collect();
    assert!(decided.iter().all(|decision| *decision == decided[0]));
}
