//! A controller partitioned in one or both directions, or frozen and resumed, with a linked agent. In virtual time.

mod virtual_time;

use runtrack_message::{Hello, Member, Message, Role, WIRE_VERSION, decode, encode};
use runtrack_net::Connection;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, split};
use tokio::task::spawn_local;
use tokio::time::sleep;
use virtual_time::{World, detects_mutant, run};

const SETTLE_S: f64 = 10.0;
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum response time of a member that has lost contact.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum response time of a call that is pending when the partition begins; callers wait one second.
const PENDING_ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which a partitioned member has lost contact while its links are still up.
const JUST_LOST: Duration = Duration::from_millis(1000);
const READ: &str = "/runtrack/config/read";
const REPLACE: &str = "/runtrack/config/replace";

fn heartbeat_body(state: &str, call_seq: u64) -> String {
    format!(r#"{{"service":"s","address":"10.0.0.1:8080","state":"{state}","callSeq":{call_seq}}}"#)
}

async fn heartbeat(world: &World, machine: usize, id: &str, state: &str, call_seq: u64) -> u16 {
    let path = format!("/runtrack/instances/{id}/heartbeat");
    world.timed(machine, "POST", &path, "", &heartbeat_body(state, call_seq)).await.0
}

/// Three members in contact, with a configuration.
async fn three_members() -> World {
    World::with_three_members(3, SETTLE_S).await
}

type ReceivedMessages = Rc<RefCell<Vec<Message>>>;

/// Links an agent to one controller; returns the messages it receives.
async fn agent_at(world: &World, machine: usize) -> ReceivedMessages {
    let received = ReceivedMessages::default();
    spawn_local(listen(world.dial_link(machine).await, received.clone()));
    received
}

async fn listen(connection: Box<dyn Connection>, received: ReceivedMessages) {
    let (mut reader, mut writer) = split(connection);
    let hello =
        Hello { wire: WIRE_VERSION, role: Role::Agent, node: "edge".into(), member: Member::none() };
    let frame = |message: &Message| {
        let payload = encode(message).expect("it can be written");
        [(payload.len() as u32).to_le_bytes().to_vec(), payload].concat()
    };
    writer.write_all(&frame(&Message::Hello(hello))).await.expect("there is room");
    spawn_local(async move {
        while writer.write_all(&frame(&Message::Ping)).await.is_ok() {
            sleep(PING_INTERVAL).await;
        }
    });
    while let Ok(length) = reader.read_u32_le().await {
        let mut payload = vec![0; length as usize];
        if reader.read_exact(&mut payload).await.is_err() {
            return;
        }
        received.borrow_mut().push(decode(&payload).expect("it can be read"));
    }
}

fn reported_contact(received: &ReceivedMessages) -> Vec<bool> {
    let reported = |message: &Message| match message {
        Message::MajorityContact(current) => Some(*current),
        _ => None,
    };
    received.borrow().iter().filter_map(reported).collect()
}

fn suspects_received(received: &ReceivedMessages) -> usize {
    let named = |message: &Message| match message {
        Message::Suspects(keys) => keys.items().len(),
        _ => 0,
    };
    received.borrow().iter().map(named).max().unwrap_or(0)
}

/// Asserts that the first member answers each kind of call with 503 at once.
async fn rejects_all(world: &World) {
    let calls = [
        ("GET", READ, "", String::new()),
        ("POST", REPLACE, "X-Base-Version: 1\r\n", r#"{"version":2,"routes":[],"services":[]}"#.to_owned()),
        ("POST", "/runtrack/instances/i-1/heartbeat", "", heartbeat_body("ready", 1)),
        ("POST", "/runtrack/instances/i-1/heartbeat", "", heartbeat_body("draining", 2)),
        ("POST", "/runtrack/instances/i-1/deregister", "", String::new()),
    ];
    for (method, path, headers, body) in &calls {
        let (status, took) = world.timed(0, method, path, headers, body).await;
        assert_eq!(status, 503, "{method} {path}");
        assert!(took <= REJECTION_TIMEOUT, "{method} {path}: {took:?}");
    }
}

async fn cut_in_both_directions() {
    let mut world = three_members().await;
    let received = agent_at(&world, 0).await;
    sleep(PING_INTERVAL).await;
    assert_eq!(reported_contact(&received), [true], "reported on connect");
    world.cut(0, 1, true);
    world.cut(0, 2, true);
    let (status, took) = world.timed(0, "GET", READ, "", "").await;
    assert_eq!(status, 503);
    assert!(took <= PENDING_ANSWER_TIMEOUT, "{took:?}");
    world.wait_for_event(0, "contact.lost", "").await;
    rejects_all(&world).await;
    assert_eq!(reported_contact(&received), [true, false], "reported on change");
    world.replace_config(1, 1, 3).await;
    assert_eq!(heartbeat(&world, 2, "i-3", "draining", 1).await, 200, "the others continue");
    world.cut(0, 1, false);
    world.wait_for_event(0, "contact.majority", "").await;
    sleep(REJECTION_TIMEOUT).await;
    assert_eq!(reported_contact(&received), [true, false, true], "reported on recovery");
    assert_eq!(world.timed(0, "GET", READ, "", "").await.0, 200);
    assert_eq!(heartbeat(&world, 0, "i-4", "ready", 1).await, 200);
}

/// Drops either the outbound or the inbound messages of the first member.
async fn cut_in_one_direction(outbound_lost: bool) {
    let world = three_members().await;
    for other in [1, 2] {
        if outbound_lost {
            world.cut_one_way(0, other);
        } else {
            world.cut_one_way(other, 0);
        }
    }
    sleep(JUST_LOST).await;
    rejects_all(&world).await;
}

/// Freezes the first member while replies to its probes are in its buffers, and resumes it when no peer answers.
async fn frozen_with_buffered_replies() {
    let world = three_members().await;
    let others = [1, 2];
    others.iter().for_each(|other| world.freeze(*other, true));
    sleep(Duration::from_millis(300)).await; // a probe goes out
    world.freeze(0, true);
    others.iter().for_each(|other| world.freeze(*other, false));
    sleep(Duration::from_millis(10)).await; // it is answered
    others.iter().for_each(|other| world.freeze(*other, true));
    sleep(Duration::from_millis(900)).await;
    world.freeze(0, false);
    sleep(Duration::from_millis(10)).await; // the buffered replies are read
    rejects_all(&world).await;
}

/// One endpoint calls the partitioned member, another one a connected member.
async fn reports_no_suspects_while_partitioned() {
    let world = three_members().await;
    let received = agent_at(&world, 0).await;
    assert_eq!(heartbeat(&world, 1, "i-far", "ready", 1).await, 200);
    assert_eq!(heartbeat(&world, 0, "i-near", "ready", 1).await, 200);
    sleep(PING_INTERVAL).await;
    world.cut(0, 1, true);
    world.cut(0, 2, true);
    for call_seq in 2..12 {
        sleep(Duration::from_millis(1200)).await;
        heartbeat(&world, 0, "i-near", "ready", call_seq).await;
        assert_eq!(heartbeat(&world, 1, "i-far", "ready", call_seq).await, 200);
    }
    assert_eq!(suspects_received(&received), 0, "it does not learn of heartbeats at the others");
    world.cut(0, 1, false);
    world.cut(0, 2, false);
    for call_seq in 12..18 {
        sleep(Duration::from_millis(1200)).await;
        heartbeat(&world, 0, "i-near", "ready", call_seq).await;
        heartbeat(&world, 1, "i-far", "ready", call_seq).await;
    }
    assert_eq!(suspects_received(&received), 0, "it has not received them when contact is back");
}

#[test]
fn a_member_partitioned_in_both_directions_rejects_at_once_and_recovers() {
    run(cut_in_both_directions());
}

#[test]
fn a_member_partitioned_in_one_direction_rejects_as_well() {
    run(cut_in_one_direction(true));
    run(cut_in_one_direction(false));
}

#[test]
fn buffered_replies_do_not_prove_contact_after_a_freeze() {
    run(frozen_with_buffered_replies());
}

#[test]
fn a_partitioned_member_reports_no_suspects() {
    run(reports_no_suspects_while_partitioned());
}

#[test]
fn each_mutant_is_found() {
    assert!(detects_mutant("contact-of-one-side", || run(cut_in_one_direction(true))));
    assert!(detects_mutant("contact-as-of-the-reply", || run(frozen_with_buffered_replies())));
    assert!(detects_mutant("heartbeats-out-of-contact", || run(cut_in_both_directions())));
    assert!(detects_mutant("suspects-out-of-contact", || run(reports_no_suspects_while_partitioned())));
}
