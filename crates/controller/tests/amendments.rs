//! Amendments of the configuration, with real controller processes.

mod support;

use std::time::Instant;
use support::{Cluster, WAIT_TIMEOUT, config};

fn service(name: &str) -> String {
    format!(r#"{{"name":"{name}","connLimit":10}}"#)
}

/// Sends an amendment as operators do: repeats it unchanged until the response is below 500.
fn amend(cluster: &Cluster, machine: usize, base: u64, body: &str) -> (u16, String) {
    let header = format!("X-Base-Version: {base}\r\n");
    let until = Instant::now() + WAIT_TIMEOUT;
    loop {
        match cluster.try_call(machine, "POST", "/runtrack/config/amend", &header, body) {
            Some(response) if response.status < 500 => return (response.status, response.body),
            response => assert!(Instant::now() < until, "no definite response: {response:?}"),
        }
    }
}

fn add(version: u64, name: &str) -> String {
    format!(r#"{{"version":{version},"upsert":{{"services":[{}]}}}}"#, service(name))
}

#[test]
fn every_member_returns_the_complete_configuration_after_an_amendment() {
    let cluster = Cluster::started("amend", 3);
    assert_eq!(cluster.replace_config(0, 0, 3), 200);
    assert_eq!(amend(&cluster, 1, 3, &add(5, "added")).0, 200);
    for machine in 0..3 {
        let read = cluster.read(machine);
        assert!(read.contains(r#""version":5"#) && read.contains(&service("added")[1..15]), "{read}");
        assert!(read.contains("timeoutMs"), "the routes are still there: {read}");
    }
    assert_eq!(
        amend(&cluster, 2, 3, &add(5, "added")).0,
        200,
        "the same amendment repeated at another member"
    );
    assert_eq!(
        amend(&cluster, 2, 3, &add(5, "other")).0,
        412,
        "a different amendment with the same version"
    );
    assert_eq!(amend(&cluster, 0, 5, &add(4, "other")).0, 409);
    assert_eq!(cluster.replace_config(0, 3, 6), 412, "a complete configuration on an outdated base");
    assert_eq!(cluster.replace_config(0, 5, 6), 200);
    assert_eq!(cluster.read(1), config(6));
    assert_eq!(amend(&cluster, 1, 3, &add(5, "added")).0, 200, "after another change");
}

#[test]
fn an_inapplicable_amendment_is_rejected_with_the_invalid_field() {
    let cluster = Cluster::started("amend-invalid", 3);
    assert_eq!(cluster.replace_config(0, 0, 3), 200);
    let cases = [
        (r#"{"version":5,"remove":{"routes":["nothing"]}}"#, r#"there is no \"nothing\""#),
        (r#"{"version":5,"upsert":{"routes":[{"name":"x"}]}}"#, "can't be read"),
        (r#"{"version":5,"upsert":{"services":[{}]}}"#, "upsert.services[0]: has no name"),
        (r#"{"version":5,"upsert":"#, "can't be read"),
    ];
    for (body, expected) in cases {
        let (status, problem) = amend(&cluster, 1, 3, body);
        assert_eq!(status, 400, "{body}: {problem}");
        assert!(problem.contains(expected), "{body}: {problem}");
    }
    let response = cluster.call(0, "POST", "/runtrack/config/amend", "", &add(5, "added"));
    assert_eq!((response.status, response.body.contains("X-Base-Version")), (400, true));
    assert_eq!(cluster.call(0, "GET", "/runtrack/config/amend", "", "").status, 405);
    assert_eq!(cluster.read(2), config(3), "no rejected amendment was applied");
}

#[test]
fn a_repeated_amendment_is_acknowledged_after_restarts_and_a_replacement() {
    let mut cluster = Cluster::started("amend-killed", 4);
    assert_eq!(cluster.replace_config(0, 0, 3), 200);
    assert_eq!(amend(&cluster, 0, 3, &add(5, "added")).0, 200);
    for machine in 0..3 {
        cluster.kill(machine);
    }
    for machine in 0..3 {
        cluster.start(machine, false);
    }
    assert_eq!(amend(&cluster, 1, 3, &add(5, "added")).0, 200);
    cluster.kill(2);
    cluster.start(3, false);
    cluster.wait_for_event(3, "member.joined", "");
    assert_eq!(amend(&cluster, 3, 3, &add(5, "added")).0, 200, "at a member that joined later");
    assert_eq!(amend(&cluster, 3, 5, &add(6, "more")).0, 200);
    let read = cluster.read(0);
    assert!(read.contains("added") && read.contains("more"), "{read}");
}
