//! Real controllers that lose a majority: they say so at once, acknowledge nothing, and take part again when it is back.

mod support;

use runtrack_link::slog::{Discard, Logger, o};
use runtrack_link::{Gossip, maintain_link};
use runtrack_message::{EndpointState, Hello, Member, Role, WIRE_VERSION};
use runtrack_registry::key_of;
use std::rc::Rc;
use std::time::{Duration, Instant};
use support::{Cluster, Got, PATIENCE, config, heartbeat};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

/// A member that knows that it is cut off answers within this.
const CLEAR_ANSWER: Duration = Duration::from_millis(500);
/// A call that is under way when the cut begins is answered within this: contact lasts for 0.8 s, and a busy machine
/// is slow.
const ANSWER_UNDER_WAY: Duration = Duration::from_millis(1500);
const HEARTBEAT: &str = "/runtrack/instances/i-1/heartbeat";
const DEREGISTER: &str = "/runtrack/instances/i-1/deregister";
const REPLACE: &str = "/runtrack/config/replace";
const READ: &str = "/runtrack/config/read";

/// The answer to a call, and how long it took.
fn timed(cluster: &Cluster, method: &str, path: &str, headers: &str, body: &str) -> (Got, Duration) {
    let from = Instant::now();
    let got = cluster.call(0, method, path, headers, body);
    (got, from.elapsed())
}

/// Three members of which the last two are stopped; the first one has noticed.
fn cut_off(name: &str) -> Cluster {
    let cluster = Cluster::started(name, 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.freeze(1, true);
    cluster.freeze(2, true);
    cluster.logged(0, "contact.lost", "");
    cluster
}

fn thaw(cluster: &Cluster) {
    cluster.freeze(1, false);
    cluster.freeze(2, false);
    cluster.logged(0, "contact.majority", "");
}

#[test]
fn a_member_that_is_cut_off_answers_503_at_once() {
    let cluster = cut_off("cut-off");
    let calls = [
        ("GET", READ, "", String::new()),
        ("POST", REPLACE, "X-Base-Version: 1\r\n", config(2)),
        ("POST", HEARTBEAT, "", heartbeat("ready", 1)),
        ("POST", HEARTBEAT, "", heartbeat("draining", 2)),
        ("POST", DEREGISTER, "", String::new()),
    ];
    for (method, path, headers, body) in &calls {
        let (got, took) = timed(&cluster, method, path, headers, body);
        println!("{method} {path} {body:.0}: {} after {took:?}", got.status);
        assert_eq!(got.status, 503, "{method} {path}: {}", got.body);
        assert!(took < CLEAR_ANSWER, "{method} {path}: {took:?}");
    }
    thaw(&cluster);
    assert_eq!(cluster.read(0), config(1), "what was answered 503 at once did not begin");
    assert_eq!(cluster.replace_config(0, 1, 2), 200);
    let path = "/runtrack/instances/i-2/heartbeat";
    cluster.acknowledged(0, path, &heartbeat("ready", 1));
    cluster.acknowledged(0, path, &heartbeat("draining", 2));
}

#[test]
fn what_can_never_be_valid_is_refused_also_by_a_member_that_is_cut_off() {
    let cluster = cut_off("cut-off-invalid");
    let bad = config(2).replace("\"timeoutMs\":1000", "\"timeoutMs\":0");
    assert_eq!(timed(&cluster, "POST", REPLACE, "X-Base-Version: 1\r\n", &bad).0.status, 400);
    assert_eq!(timed(&cluster, "POST", HEARTBEAT, "", "{}").0.status, 400);
}

#[test]
fn a_read_under_way_is_answered_when_contact_is_lost() {
    let cluster = Cluster::started("under-way-read", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.freeze(1, true);
    cluster.freeze(2, true);
    let (got, took) = timed(&cluster, "GET", READ, "", "");
    println!("read under way: {} after {took:?}", got.status);
    assert_eq!(got.status, 503, "{}", got.body);
    assert!(took < ANSWER_UNDER_WAY, "{took:?}");
}

#[test]
fn a_replace_under_way_is_answered_when_contact_is_lost_and_acknowledged_when_it_comes_again() {
    let cluster = Cluster::started("under-way-replace", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.freeze(1, true);
    cluster.freeze(2, true);
    let (got, took) = timed(&cluster, "POST", REPLACE, "X-Base-Version: 1\r\n", &config(2));
    println!("replace under way: {} after {took:?}", got.status);
    assert_eq!(got.status, 503, "its outcome is not known: {}", got.body);
    assert!(took < ANSWER_UNDER_WAY, "{took:?}");
    cluster.freeze(1, false);
    cluster.freeze(2, false);
    assert_eq!(cluster.replace_config(2, 1, 2), 200, "whether it came into force meanwhile or not");
    assert_eq!(cluster.read(1), config(2));
}

#[test]
fn an_endpoint_that_leaves_under_way_gets_no_acknowledgement() {
    let cluster = Cluster::started("under-way-leave", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.freeze(1, true);
    cluster.freeze(2, true);
    let (got, took) = timed(&cluster, "POST", HEARTBEAT, "", &heartbeat("draining", 1));
    assert_eq!(got.status, 503, "{}", got.body);
    assert!(took < ANSWER_UNDER_WAY, "{took:?}");
    cluster.logged(0, "contact.lost", "");
    thaw(&cluster);
    cluster.acknowledged(0, HEARTBEAT, &heartbeat("draining", 2));
}

#[test]
fn a_member_that_stood_still_is_out_of_contact_when_it_goes_on() {
    let cluster = Cluster::started("stood-still", 3);
    assert_eq!(cluster.replace_config(2, 0, 1), 200);
    cluster.logged(0, "contact.majority", "");
    cluster.freeze(0, true);
    // Twice the other two lose each other: that takes longer than contact lasts.
    for _ in 0..2 {
        cluster.freeze(1, true);
        cluster.logged(2, "contact.lost", "");
        cluster.freeze(1, false);
        cluster.logged(2, "contact.majority", "");
    }
    cluster.freeze(0, false);
    cluster.logged(0, "contact.lost", "");
    cluster.logged(0, "contact.majority", "");
    assert_eq!(cluster.read(0), config(1));
}

/// An agent's copy of the fleet's state, linked to these machines for as long as the runtime is run.
fn agent(cluster: &Cluster, name: &str, machines: &[usize]) -> Rc<Gossip> {
    let me = Hello { wire: WIRE_VERSION, role: Role::Agent, node: name.into(), member: Member::none() };
    let gossip = Gossip::new(me, Duration::from_millis(1200), Logger::root(Discard, o!()), Box::new(()));
    spawn_local(gossip.clone().run());
    for machine in machines {
        let address = cluster.member(*machine).parse().expect("an address");
        spawn_local(maintain_link(gossip.clone(), address));
    }
    gossip
}

/// Waits until an agent knows that an endpoint is leaving.
async fn hears_of_leaving(gossip: &Gossip, id: &str) {
    let mut changes = gossip.changes();
    let heard = async {
        while gossip.replica().registry().get(key_of(id)).map(|record| record.state)
            != Some(EndpointState::Draining)
        {
            changes.changed().await;
        }
    };
    timeout(PATIENCE, heard).await.expect("it hears of it");
}

#[test]
fn an_endpoint_that_leaves_is_not_forgotten_where_all_members_restart_at_once() {
    let mut cluster = Cluster::started("all-restart", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let tasks = LocalSet::new();
    let witness = tasks.block_on(&runtime, async { agent(&cluster, "edge-1", &[0, 1]) });
    tasks.block_on(&runtime, async {
        let mut changes = witness.changes();
        while witness.peers(Role::Controller).len() < 2 {
            changes.changed().await;
        }
    });
    cluster.acknowledged(0, HEARTBEAT, &heartbeat("draining", 1));
    // Right after the acknowledgement, before the agent has read a byte of it.
    (0..3).for_each(|machine| cluster.kill(machine));
    (0..3).for_each(|machine| cluster.start(machine, false));
    tasks.block_on(&runtime, async {
        hears_of_leaving(&witness, "i-1").await;
        // Only the members, which had nothing in memory, can tell another agent, and it is linked to another one.
        let other = agent(&cluster, "edge-2", &[2]);
        hears_of_leaving(&other, "i-1").await;
    });
}
