//! A controller that is cut off, in virtual time: in both directions or one, frozen and thawed, beside an agent.

mod virtual_time;

use runtrack_message::{Hello, Member, Message, Role, WIRE_VERSION, decode, encode};
use runtrack_net::Connection;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, split};
use tokio::task::spawn_local;
use tokio::time::sleep;
use virtual_time::{World, finds, run};

const SETTLE_S: f64 = 10.0;
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// A member that has lost contact answers within this.
const CLEAR_ANSWER: Duration = Duration::from_millis(500);
/// A call that is under way when the cut begins is answered within this: callers wait a second.
const ANSWER_UNDER_WAY: Duration = Duration::from_millis(900);
/// After this a member that was cut off has lost contact, and its links are still up.
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
async fn three() -> World {
    World::with_three_members(3, SETTLE_S).await
}

type Heard = Rc<RefCell<Vec<Message>>>;

/// An agent linked to one controller; all that it receives.
async fn agent_at(world: &World, machine: usize) -> Heard {
    let heard = Heard::default();
    spawn_local(listen(world.dial_link(machine).await, heard.clone()));
    heard
}

async fn listen(connection: Box<dyn Connection>, heard: Heard) {
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
        heard.borrow_mut().push(decode(&payload).expect("it can be read"));
    }
}

fn reported_contact(heard: &Heard) -> Vec<bool> {
    let reported = |message: &Message| match message {
        Message::MajorityContact(current) => Some(*current),
        _ => None,
    };
    heard.borrow().iter().filter_map(reported).collect()
}

fn suspects_told(heard: &Heard) -> usize {
    let named = |message: &Message| match message {
        Message::Suspects(keys) => keys.items().len(),
        _ => 0,
    };
    heard.borrow().iter().map(named).max().unwrap_or(0)
}

/// Each kind of call at the first member is answered 503 at once.
async fn refuses_all(world: &World) {
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
        assert!(took <= CLEAR_ANSWER, "{method} {path}: {took:?}");
    }
}

async fn cut_in_both_directions() {
    let mut world = three().await;
    let heard = agent_at(&world, 0).await;
    sleep(PING_INTERVAL).await;
    assert_eq!(reported_contact(&heard), [true], "reported on connect");
    world.cut(0, 1, true);
    world.cut(0, 2, true);
    let (status, took) = world.timed(0, "GET", READ, "", "").await;
    assert_eq!(status, 503);
    assert!(took <= ANSWER_UNDER_WAY, "{took:?}");
    world.logged(0, "contact.lost", "").await;
    refuses_all(&world).await;
    assert_eq!(reported_contact(&heard), [true, false], "reported on change");
    world.replace_config(1, 1, 3).await;
    assert_eq!(heartbeat(&world, 2, "i-3", "draining", 1).await, 200, "the others go on");
    world.cut(0, 1, false);
    world.logged(0, "contact.majority", "").await;
    sleep(CLEAR_ANSWER).await;
    assert_eq!(reported_contact(&heard), [true, false, true], "reported when it is back");
    assert_eq!(world.timed(0, "GET", READ, "", "").await.0, 200);
    assert_eq!(heartbeat(&world, 0, "i-4", "ready", 1).await, 200);
}

/// What the first member says is lost, and what it is sent arrives; or the other way round.
async fn cut_in_one_direction(its_words_are_lost: bool) {
    let world = three().await;
    for other in [1, 2] {
        if its_words_are_lost {
            world.cut_one_way(0, other);
        } else {
            world.cut_one_way(other, 0);
        }
    }
    sleep(JUST_LOST).await;
    refuses_all(&world).await;
}

/// The first member stands still, with answers to its old probes in its buffers, and goes on when nobody answers.
async fn stood_still_with_answers_waiting() {
    let world = three().await;
    let others = [1, 2];
    others.iter().for_each(|other| world.freeze(*other, true));
    sleep(Duration::from_millis(300)).await; // a probe goes out
    world.freeze(0, true);
    others.iter().for_each(|other| world.freeze(*other, false));
    sleep(Duration::from_millis(10)).await; // it is answered
    others.iter().for_each(|other| world.freeze(*other, true));
    sleep(Duration::from_millis(900)).await;
    world.freeze(0, false);
    sleep(Duration::from_millis(10)).await; // the answers are read
    refuses_all(&world).await;
}

/// An endpoint calls the member that is cut off, and another one a member that is not.
async fn names_nobody_while_cut_off() {
    let world = three().await;
    let heard = agent_at(&world, 0).await;
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
    assert_eq!(suspects_told(&heard), 0, "it does not hear who calls the others");
    world.cut(0, 1, false);
    world.cut(0, 2, false);
    for call_seq in 12..18 {
        sleep(Duration::from_millis(1200)).await;
        heartbeat(&world, 0, "i-near", "ready", call_seq).await;
        heartbeat(&world, 1, "i-far", "ready", call_seq).await;
    }
    assert_eq!(suspects_told(&heard), 0, "nor has it heard them when it is back");
}

#[test]
fn a_member_cut_off_in_both_directions_refuses_at_once_and_comes_back() {
    run(cut_in_both_directions());
}

#[test]
fn a_member_cut_off_in_one_direction_refuses_as_well() {
    run(cut_in_one_direction(true));
    run(cut_in_one_direction(false));
}

#[test]
fn a_member_that_stood_still_does_not_take_old_answers_for_contact() {
    run(stood_still_with_answers_waiting());
}

#[test]
fn a_member_that_is_cut_off_names_no_suspects() {
    run(names_nobody_while_cut_off());
}

#[test]
fn each_mutant_is_found() {
    assert!(finds("contact-of-one-side", || run(cut_in_one_direction(true))));
    assert!(finds("contact-as-of-the-reply", || run(stood_still_with_answers_waiting())));
    assert!(finds("heartbeats-out-of-contact", || run(cut_in_both_directions())));
    assert!(finds("suspects-out-of-contact", || run(names_nobody_while_cut_off())));
}
