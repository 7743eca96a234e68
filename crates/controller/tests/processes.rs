//! Configuration changes, losses, wipes and replacements, with real controller processes.

mod support;

use support::{Cluster, config, heartbeat};

#[test]
fn a_configuration_is_acknowledged_and_readable_at_every_member() {
    let cluster = Cluster::started("replace", 3);
    assert_eq!(cluster.replace_config(0, 0, 3), 200);
    for machine in 0..3 {
        assert_eq!(cluster.read(machine), config(3));
    }
    assert_eq!(cluster.replace_config(1, 3, 5), 200);
    assert_eq!(
        cluster.replace_config(2, 0, 3),
        200,
        "the first change repeated at another member after a later change"
    );
    assert_eq!(cluster.replace_config(2, 3, 6), 412);
    assert_eq!(cluster.replace_config(0, 5, 4), 409);
    assert_eq!(cluster.read(2), config(5));
}

#[test]
fn invalid_requests_are_rejected_with_the_invalid_field() {
    let cluster = Cluster::started("invalid", 3);
    let bad = config(3).replace("\"timeoutMs\":1000", "\"timeoutMs\":0");
    let response = cluster.call(0, "POST", "/runtrack/config/replace", "X-Base-Version: 0\r\n", &bad);
    assert_eq!(response.status, 400);
    assert!(response.body.contains("routes[0].timeoutMs: is 0"), "{}", response.body);
    let response = cluster.call(0, "POST", "/runtrack/config/replace", "", &config(3));
    assert_eq!(response.status, 400);
    assert!(response.body.contains("X-Base-Version"), "{}", response.body);
    assert_eq!(cluster.call(0, "GET", "/runtrack/config/replace", "", "").status, 405);
    assert_eq!(cluster.call(0, "POST", "/runtrack/config/read", "", "").status, 405);
    assert_eq!(cluster.call(0, "GET", "/nowhere", "", "").status, 404);
    assert_eq!(cluster.call(0, "POST", "/nowhere", "", "").status, 404);
    assert_eq!(cluster.replace_config(0, 0, 3), 200, "no rejected configuration was applied");
}

#[test]
fn one_lost_member_is_tolerated_and_two_are_not() {
    let mut cluster = Cluster::started("lost", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.kill(2);
    assert_eq!(cluster.replace_config(0, 1, 2), 200);
    cluster.kill(1);
    let response = cluster.call(0, "POST", "/runtrack/config/replace", "X-Base-Version: 2\r\n", &config(3));
    assert_eq!(response.status, 503, "the outcome is not known");
    cluster.start(1, false);
    // The change may or may not have been committed: a retry is acknowledged in both cases.
    assert_eq!(cluster.replace_config(1, 2, 3), 200);
    assert_eq!(cluster.read(0), config(3));
}

#[test]
fn acknowledged_changes_survive_a_kill_of_all_members() {
    let mut cluster = Cluster::started("killed", 3);
    assert_eq!(cluster.replace_config(0, 0, 7), 200);
    for machine in 0..3 {
        cluster.kill(machine);
    }
    for machine in 0..3 {
        cluster.start(machine, false);
    }
    assert_eq!(cluster.read(1), config(7));
}

#[test]
fn a_wiped_member_rejoins_as_a_new_incarnation() {
    let mut cluster = Cluster::started("wiped", 3);
    assert_eq!(cluster.replace_config(0, 0, 7), 200);
    cluster.kill(0);
    cluster.wipe(0);
    cluster.start(0, false);
    cluster.wait_for_event(0, "member.joined", "");
    assert_eq!(cluster.read(0), config(7));
    cluster.kill(1);
    assert_eq!(cluster.replace_config(0, 7, 8), 200, "the wiped one and one other are a majority");
}

#[test]
fn acknowledged_changes_survive_a_replacement_and_a_kill_of_all_members() {
    let mut cluster = Cluster::started("replaced", 4);
    assert_eq!(cluster.replace_config(0, 0, 3), 200);
    cluster.kill(2);
    cluster.start(3, false);
    let members = [0, 1, 3].map(|machine| cluster.member(machine)).join(" ");
    cluster.wait_for_event(3, "members.known", &members);
    // Both halves of the membership change are committed from here on, so that another member may be lost.
    cluster.wait_for_event(3, "member.joined", "");
    assert_eq!(cluster.replace_config(3, 3, 4), 200);
    // The seeds are outdated: one does not return, another loses its disk.
    cluster.kill(1);
    cluster.wipe(1);
    cluster.start(1, false);
    cluster.wait_for_event(1, "member.joined", "");
    assert_eq!(cluster.replace_config(1, 4, 5), 200);
    for machine in [0, 1, 3] {
        cluster.kill(machine);
    }
    for machine in [0, 1, 3] {
        cluster.start(machine, false);
    }
    assert_eq!(cluster.read(3), config(5), "the members are known from the disks alone");
}

#[test]
fn a_member_frozen_during_changes_returns_the_newest_configuration() {
    let cluster = Cluster::started("frozen", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    assert_eq!(cluster.read(2), config(1));
    cluster.freeze(2, true);
    assert_eq!(cluster.replace_config(0, 1, 2), 200);
    assert_eq!(cluster.replace_config(1, 2, 3), 200);
    cluster.freeze(2, false);
    assert_eq!(cluster.read(2), config(3));
}

#[test]
fn a_leave_is_acknowledged_only_by_a_member_in_contact_with_a_majority() {
    let mut cluster = Cluster::started("leaves", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    let path = "/runtrack/instances/i-1/heartbeat";
    cluster.call_until_acknowledged(0, path, &heartbeat("ready", 1));
    cluster.call_until_acknowledged(0, path, &heartbeat("draining", 2));
    cluster.kill(1);
    cluster.kill(2);
    cluster.wait_for_event(0, "contact.lost", "");
    let ready = cluster.call(0, "POST", path, "", &heartbeat("ready", 3));
    assert_eq!(
        ready.status, 503,
        "heartbeats here do not reach the others, so the endpoint must call one of them"
    );
    let alone = cluster.call(0, "POST", "/runtrack/instances/i-2/heartbeat", "", &heartbeat("draining", 1));
    assert_eq!(alone.status, 503, "proxies linked to the others would not learn of it");
    assert_eq!(cluster.call(0, "POST", "/runtrack/instances/i-1/deregister", "", "").status, 503);
}

#[test]
fn malformed_heartbeats_are_rejected() {
    let cluster = Cluster::started("heartbeat", 3);
    let path = "/runtrack/instances/i-1/heartbeat";
    for bad in
        ["", "{}", "{\"service\":1}", &heartbeat("resting", 1), &heartbeat("ready", 1).replace("8080", "x")]
    {
        assert_eq!(cluster.call(0, "POST", path, "", bad).status, 400, "{bad}");
    }
    assert_eq!(
        cluster.call(0, "POST", "/runtrack/instances//heartbeat", "", &heartbeat("ready", 1)).status,
        404
    );
}
