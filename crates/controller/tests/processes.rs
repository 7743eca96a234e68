//! Real controllers: changes of the configuration, losses, wipes and replacements.

mod support;

use support::{Cluster, config, heartbeat};

#[test]
fn an_order_is_acknowledged_and_read_back_at_every_member() {
    let cluster = Cluster::started("replace", 3);
    assert_eq!(cluster.replace_config(0, 0, 3), 200);
    for machine in 0..3 {
        assert_eq!(cluster.read(machine), config(3));
    }
    assert_eq!(cluster.replace_config(1, 3, 5), 200);
    assert_eq!(
        cluster.replace_config(2, 0, 3),
        200,
        "the same change again, to another member, after another one"
    );
    assert_eq!(cluster.replace_config(2, 3, 6), 412);
    assert_eq!(cluster.replace_config(0, 5, 4), 409);
    assert_eq!(cluster.read(2), config(5));
}

#[test]
fn what_is_invalid_is_refused_with_its_place() {
    let cluster = Cluster::started("invalid", 3);
    let bad = config(3).replace("\"timeoutMs\":1000", "\"timeoutMs\":0");
    let got = cluster.call(0, "POST", "/runtrack/config/replace", "X-Base-Version: 0\r\n", &bad);
    assert_eq!(got.status, 400);
    assert!(got.body.contains("routes[0].timeoutMs: is 0"), "{}", got.body);
    let got = cluster.call(0, "POST", "/runtrack/config/replace", "", &config(3));
    assert_eq!(got.status, 400);
    assert!(got.body.contains("X-Base-Version"), "{}", got.body);
    assert_eq!(cluster.call(0, "GET", "/runtrack/config/replace", "", "").status, 405);
    assert_eq!(cluster.call(0, "POST", "/runtrack/config/read", "", "").status, 405);
    assert_eq!(cluster.call(0, "GET", "/nowhere", "", "").status, 404);
    assert_eq!(cluster.call(0, "POST", "/nowhere", "", "").status, 404);
    assert_eq!(cluster.replace_config(0, 0, 3), 200, "nothing of it came into force");
}

#[test]
fn one_member_lost_is_borne_and_two_are_not() {
    let mut cluster = Cluster::started("lost", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.kill(2);
    assert_eq!(cluster.replace_config(0, 1, 2), 200);
    cluster.kill(1);
    let got = cluster.call(0, "POST", "/runtrack/config/replace", "X-Base-Version: 2\r\n", &config(3));
    assert_eq!(got.status, 503, "no clear answer, and no promise either");
    cluster.start(1, false);
    // It may have come into force, or not: the same change is acknowledged either way.
    assert_eq!(cluster.replace_config(1, 2, 3), 200);
    assert_eq!(cluster.read(0), config(3));
}

#[test]
fn all_killed_at_once_come_back_with_what_was_acknowledged() {
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
fn a_member_that_lost_its_disk_takes_its_place_as_another_one() {
    let mut cluster = Cluster::started("wiped", 3);
    assert_eq!(cluster.replace_config(0, 0, 7), 200);
    cluster.kill(0);
    cluster.wipe(0);
    cluster.start(0, false);
    cluster.logged(0, "member.joined", "");
    assert_eq!(cluster.read(0), config(7));
    cluster.kill(1);
    assert_eq!(cluster.replace_config(0, 7, 8), 200, "the wiped one and one other are a majority");
}

#[test]
fn a_replaced_member_and_then_the_end_of_all_lose_nothing() {
    let mut cluster = Cluster::started("replaced", 4);
    assert_eq!(cluster.replace_config(0, 0, 3), 200);
    cluster.kill(2);
    cluster.start(3, false);
    let members = [0, 1, 3].map(|machine| cluster.member(machine)).join(" ");
    cluster.logged(3, "members.known", &members);
    // Only now both halves of the change are through, and the next loss may be borne.
    cluster.logged(3, "member.joined", "");
    assert_eq!(cluster.replace_config(3, 3, 4), 200);
    // The seeds are out of date now: one is gone for good, another one loses its disk.
    cluster.kill(1);
    cluster.wipe(1);
    cluster.start(1, false);
    cluster.logged(1, "member.joined", "");
    assert_eq!(cluster.replace_config(1, 4, 5), 200);
    for machine in [0, 1, 3] {
        cluster.kill(machine);
    }
    for machine in [0, 1, 3] {
        cluster.start(machine, false);
    }
    assert_eq!(cluster.read(3), config(5), "nobody is left to tell the members but their own disks");
}

#[test]
fn a_member_frozen_through_changes_answers_with_the_newest() {
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
fn one_that_leaves_is_acknowledged_once_a_majority_knows() {
    let mut cluster = Cluster::started("leaves", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    let path = "/runtrack/instances/i-1/heartbeat";
    cluster.acknowledged(0, path, &heartbeat("ready", 1));
    cluster.acknowledged(0, path, &heartbeat("draining", 2));
    cluster.kill(1);
    cluster.kill(2);
    cluster.logged(0, "contact.lost", "");
    let ready = cluster.call(0, "POST", path, "", &heartbeat("ready", 3));
    assert_eq!(ready.status, 503, "the others do not hear of it: it is to call one of them");
    let alone = cluster.call(0, "POST", "/runtrack/instances/i-2/heartbeat", "", &heartbeat("draining", 1));
    assert_eq!(alone.status, 503, "a proxy linked to the others would not hear of it");
    assert_eq!(cluster.call(0, "POST", "/runtrack/instances/i-1/deregister", "", "").status, 503);
}

#[test]
fn a_heartbeat_that_makes_no_sense_is_refused() {
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
