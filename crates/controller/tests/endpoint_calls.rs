//! Endpoints' calls: acknowledgements, and calls that are oversized, late or malformed.

mod support;

use runtrack_controller::api::OPERATIONS;
use support::{Cluster, heartbeat};

/// Maximum size of a heartbeat's acknowledgement in bytes.
const MAX_ANSWER: usize = 4 << 10;
const PATH: &str = "/runtrack/instances/i-1/heartbeat";

/// Debug assertions check every response against this table.
#[test]
fn no_operation_redirects_its_caller() {
    let statuses = OPERATIONS.iter().flat_map(|operation| operation.statuses);
    assert_eq!(statuses.filter(|status| (300..400).contains(*status)).count(), 0);
}

#[test]
fn an_acknowledgement_is_short_and_names_no_other_address() {
    let cluster = Cluster::started("short", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    for state in ["ready", "draining"] {
        cluster.call_until_acknowledged(0, PATH, &heartbeat(state, 1));
        let response = cluster.call(0, "POST", PATH, "", &heartbeat(state, 2));
        assert_eq!(
            (response.status, response.body.as_str()),
            (200, "{}"),
            "the body names no member that may terminate later"
        );
        assert!(response.body.len() <= MAX_ANSWER);
    }
}

#[test]
fn an_oversized_call_is_rejected_and_the_next_one_accepted() {
    let cluster = Cluster::started("large", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    let large = heartbeat("ready", 1).replace('{', &format!("{{\"more\":\"{}\",", "x".repeat(64 << 10)));
    assert_eq!(cluster.call(0, "POST", PATH, "", &large).status, 413);
    cluster.call_until_acknowledged(0, PATH, &heartbeat("ready", 2));
}

#[test]
fn late_calls_and_calls_of_unknown_endpoints_are_acknowledged() {
    let cluster = Cluster::started("late", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.call_until_acknowledged(0, PATH, &heartbeat("ready", 1));
    cluster.call_until_acknowledged(1, PATH, &heartbeat("draining", 3));
    cluster.call_until_acknowledged(1, PATH, &heartbeat("ready", 2));
    cluster.call_until_acknowledged(0, "/runtrack/instances/i-1/deregister", "not even JSON");
    cluster.call_until_acknowledged(2, PATH, &heartbeat("ready", 4));
    cluster.call_until_acknowledged(2, "/runtrack/instances/i-never/deregister", "");
}

#[test]
fn invalid_model_versions_do_not_prevent_registration() {
    let cluster = Cluster::started("weights", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    for (call_seq, version) in ["\"v7\"", "1.5", "null", "-3", "[1]"].iter().enumerate() {
        let models = format!(r#""models":[{{"name":"m","version":{version},"adapters":[]}}],"callSeq""#);
        let call = heartbeat("ready", call_seq as u64 + 1).replace("\"callSeq\"", &models);
        cluster.call_until_acknowledged(0, PATH, &call);
    }
    cluster.wait_for_event_at_any(&[0, 1, 2], "endpoint.changed", "i-1");
}

#[test]
fn an_unreadable_heartbeat_is_rejected_and_its_cause_logged() {
    let cluster = Cluster::started("unreadable", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    let call = heartbeat("ready", 1).replace("\"ready\"", "\"asleep\"");
    assert_eq!(cluster.call(0, "POST", PATH, "", &call).status, 400);
    cluster.wait_for_event(0, "heartbeat.refused", "i-1");
}
