//! Controllers that lose contact with a majority reject requests at once, acknowledge nothing, and recover when contact is
//! back. With real processes.

mod support;

use runtrack_link::slog::{Discard, Logger, o};
use runtrack_link::{Gossip, maintain_link};
use runtrack_message::{EndpointState, Hello, Member, Role, WIRE_VERSION};
use runtrack_registry::key_of;
use std::rc::Rc;
use std::time::{Duration, Instant};
use support::{Cluster, HttpResponse, WAIT_TIMEOUT, config, heartbeat};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

/// Maximum response time of a member that has detected the loss of contact.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum response time of a call that is pending when the partition begins. The contact lease is 0.8 s; the rest allows for
/// a busy machine.
const PENDING_ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
const HEARTBEAT: &str = "/runtrack/instances/i-1/heartbeat";
const DEREGISTER: &str = "/runtrack/instances/i-1/deregister";
const REPLACE: &str = "/runtrack/config/replace";
const READ: &str = "/runtrack/config/read";

/// The response to a call and its duration.
fn timed(
    cluster: &Cluster,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> (HttpResponse, Duration) {
    let from = Instant::now();
    let response = cluster.call(0, method, path, headers, body);
    (response, from.elapsed())
}

/// Three members of which the last two are stopped; the first has detected it.
fn cut_off(name: &str) -> Cluster {
    let cluster = Cluster::started(name, 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.freeze(1, true);
    cluster.freeze(2, true);
    cluster.wait_for_event(0, "contact.lost", "");
    cluster
}

fn thaw(cluster: &Cluster) {
    cluster.freeze(1, false);
    cluster.freeze(2, false);
    cluster.wait_for_event(0, "contact.majority", "");
}

#[test]
fn a_member_without_a_majority_answers_503_at_once() {
    let cluster = cut_off("cut-off");
    let calls = [
        ("GET", READ, "", String::new()),
        ("POST", REPLACE, "X-Base-Version: 1\r\n", config(2)),
        ("POST", HEARTBEAT, "", heartbeat("ready", 1)),
        ("POST", HEARTBEAT, "", heartbeat("draining", 2)),
        ("POST", DEREGISTER, "", String::new()),
    ];
    for (method, path, headers, body) in &calls {
        let (response, took) = timed(&cluster, method, path, headers, body);
        println!("{method} {path} {body:.0}: {} after {took:?}", response.status);
        assert_eq!(response.status, 503, "{method} {path}: {}", response.body);
        assert!(took < REJECTION_TIMEOUT, "{method} {path}: {took:?}");
    }
    thaw(&cluster);
    assert_eq!(cluster.read(0), config(1), "a change that was rejected at once is not started");
    assert_eq!(cluster.replace_config(0, 1, 2), 200);
    let path = "/runtrack/instances/i-2/heartbeat";
    cluster.call_until_acknowledged(0, path, &heartbeat("ready", 1));
    cluster.call_until_acknowledged(0, path, &heartbeat("draining", 2));
}

#[test]
fn a_member_without_a_majority_still_rejects_invalid_requests() {
    let cluster = cut_off("cut-off-invalid");
    let bad = config(2).replace("\"timeoutMs\":1000", "\"timeoutMs\":0");
    assert_eq!(timed(&cluster, "POST", REPLACE, "X-Base-Version: 1\r\n", &bad).0.status, 400);
    assert_eq!(timed(&cluster, "POST", HEARTBEAT, "", "{}").0.status, 400);
}

#[test]
fn a_pending_read_is_answered_when_contact_is_lost() {
    let cluster = Cluster::started("under-way-read", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.freeze(1, true);
    cluster.freeze(2, true);
    let (response, took) = timed(&cluster, "GET", READ, "", "");
    println!("read under way: {} after {took:?}", response.status);
    assert_eq!(response.status, 503, "{}", response.body);
    assert!(took < PENDING_ANSWER_TIMEOUT, "{took:?}");
}

#[test]
fn a_pending_replace_is_answered_when_contact_is_lost_and_acknowledged_on_retry() {
    let cluster = Cluster::started("under-way-replace", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.freeze(1, true);
    cluster.freeze(2, true);
    let (response, took) = timed(&cluster, "POST", REPLACE, "X-Base-Version: 1\r\n", &config(2));
    println!("replace under way: {} after {took:?}", response.status);
    assert_eq!(response.status, 503, "its outcome is not known: {}", response.body);
    assert!(took < PENDING_ANSWER_TIMEOUT, "{took:?}");
    cluster.freeze(1, false);
    cluster.freeze(2, false);
    assert_eq!(cluster.replace_config(2, 1, 2), 200, "whether or not it was committed meanwhile");
    assert_eq!(cluster.read(1), config(2));
}

#[test]
fn a_pending_leave_is_not_acknowledged_when_contact_is_lost() {
    let cluster = Cluster::started("under-way-leave", 3);
    assert_eq!(cluster.replace_config(0, 0, 1), 200);
    cluster.freeze(1, true);
    cluster.freeze(2, true);
    let (response, took) = timed(&cluster, "POST", HEARTBEAT, "", &heartbeat("draining", 1));
    assert_eq!(response.status, 503, "{}", response.body);
    assert!(took < PENDING_ANSWER_TIMEOUT, "{took:?}");
    cluster.wait_for_event(0, "contact.lost", "");
    thaw(&cluster);
    cluster.call_until_acknowledged(0, HEARTBEAT, &heartbeat("draining", 2));
}

#[test]
fn a_member_that_resumes_from_a_freeze_is_out_of_contact() {
    let cluster = Cluster::started("stood-still", 3);
    assert_eq!(cluster.replace_config(2, 0, 1), 200);
    cluster.wait_for_event(0, "contact.majority", "");
    cluster.freeze(0, true);
    // The other two lose contact with each other twice, which takes longer than the contact lease.
    for _ in 0..2 {
        cluster.freeze(1, true);
        cluster.wait_for_event(2, "contact.lost", "");
        cluster.freeze(1, false);
        cluster.wait_for_event(2, "contact.majority", "");
    }
    cluster.freeze(0, false);
    cluster.wait_for_event(0, "contact.lost", "");
    cluster.wait_for_event(0, "contact.majority", "");
    assert_eq!(cluster.read(0), config(1));
}

/// An agent's replica, linked to these machines while the runtime runs.
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

/// Waits until an agent knows that an endpoint is draining.
async fn wait_for_draining(gossip: &Gossip, id: &str) {
    let mut changes = gossip.changes();
    let heard = async {
        while gossip.replica().registry().get(key_of(id)).map(|record| record.state)
            != Some(EndpointState::Draining)
        {
            changes.changed().await;
        }
    };
    timeout(WAIT_TIMEOUT, heard).await.expect("the agent learns of it");
}

#[test]
fn an_acknowledged_leave_survives_a_restart_of_all_members() {
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
    cluster.call_until_acknowledged(0, HEARTBEAT, &heartbeat("draining", 1));
    // Immediately after the acknowledgement, before the agent has received any of it.
    (0..3).for_each(|machine| cluster.kill(machine));
    (0..3).for_each(|machine| cluster.start(machine, false));
    tasks.block_on(&runtime, async {
        wait_for_draining(&witness, "i-1").await;
        // A new agent can learn of it only from the restarted members, which had lost their memory; it is linked to another
        // one of them.
        let other = agent(&cluster, "edge-2", &[2]);
        wait_for_draining(&other, "i-1").await;
    });
}
