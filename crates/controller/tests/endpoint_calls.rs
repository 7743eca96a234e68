//! Endpoints' calls: what acknowledges them, and calls that are too large, late or not to be read.

mod support;

use runtrack_controller::api::OPERATIONS;
use support::{Cluster, heartbeat};

/// The largest answer that acknowledges a heartbeat.
const MAX_ANSWER: usize = 4 << 10;
const PATH: &str = "/runtrack/instances/i-1/heartbeat";

/// Every answer is held against this table where debug assertions are on.
#[test]
fn no_operation_sends_its_caller_elsewhere() {
    let statuses = OPERATIONS.iter().flat_map(|operation| operation.statuses);
    assert_eq!(statuses.filter(|status| (300..400).contains(*status)).count(), 0);
}

#[test]
fn an_acknowledgement_is_short_and_names_no_other_address() {
    let cluster = Cluster::started("short", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    for state in ["ready", "draining"] {
        cluster.acknowledged(0, PATH, &heartbeat(state, 1));
        let got = cluster.call(0, "POST", PATH, "", &heartbeat(state, 2));
        assert_eq!((got.status, got.body.as_str()), (200, "{}"), "no member can end and leave it stale");
        assert!(got.body.len() <= MAX_ANSWER);
    }
}

#[test]
fn a_call_that_is_too_large_is_refused_and_the_next_one_taken() {
    let cluster = Cluster::started("large", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    let large = heartbeat("ready", 1).replace('{', &format!("{{\"more\":\"{}\",", "x".repeat(64 << 10)));
    assert_eq!(cluster.call(0, "POST", PATH, "", &large).status, 413);
    cluster.acknowledged(0, PATH, &heartbeat("ready", 2));
}

#[test]
fn calls_that_are_late_or_of_nobody_known_are_acknowledged() {
    let cluster = Cluster::started("late", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.acknowledged(0, PATH, &heartbeat("ready", 1));
    cluster.acknowledged(1, PATH, &heartbeat("draining", 3));
    cluster.acknowledged(1, PATH, &heartbeat("ready", 2));
    cluster.acknowledged(0, "/runtrack/instances/i-1/deregister", "not even JSON");
    cluster.acknowledged(2, PATH, &heartbeat("ready", 4));
    cluster.acknowledged(2, "/runtrack/instances/i-never/deregister", "");
}

#[test]
fn weights_without_a_whole_number_do_not_keep_an_endpoint_from_being_known() {
    let cluster = Cluster::started("weights", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    for (call_seq, version) in ["\"v7\"", "1.5", "null", "-3", "[1]"].iter().enumerate() {
        let models = format!(r#""models":[{{"name":"m","version":{version},"adapters":[]}}],"callSeq""#);
        let call = heartbeat("ready", call_seq as u64 + 1).replace("\"callSeq\"", &models);
        cluster.acknowledged(0, PATH, &call);
    }
    cluster.logged_at_any(&[0, 1, 2], "endpoint.changed", "i-1");
}

#[test]
fn a_heartbeat_that_cannot_be_read_is_refused_with_a_logged_cause() {
    let cluster = Cluster::started("unreadable", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    let call = heartbeat("ready", 1).replace("\"ready\"", "\"asleep\"");
    assert_eq!(cluster.call(0, "POST", PATH, "", &call).status, 400);
    cluster.logged(0, "heartbeat.refused", "i-1");
}
