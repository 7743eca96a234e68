//! Copies of the registry: whatever order words come in, they end up alike.

use fastrand::Rng;
use runtrack_message::{DELTA_WIRE_VERSION, Endpoint, EndpointState, Message, WIRE_VERSION};
use runtrack_registry::{HeartbeatTable, RANGES, Registry, Replica, key_of};
use std::time::Duration;

fn record(id: u32, state: EndpointState, call_seq: u64) -> Endpoint {
    Endpoint {
        id: format!("i-{id}").as_str().into(),
        service: "llm".into(),
        ip: 10,
        port: 8000 + (call_seq as u16 % 100),
        zone: "a".into(),
        capacity: 64,
        state,
        warmup_left_ms: 0,
        call_seq,
        models: Vec::new().into(),
    }
}

const STATES: [EndpointState; 3] = [EndpointState::Ready, EndpointState::Draining, EndpointState::Gone];

#[test]
fn replicas_converge_whatever_the_sequence_of_messages() {
    let mut rng = Rng::with_seed(7);
    for _ in 0..300 {
        let mut words: Vec<Endpoint> =
            (0..40).map(|_| record(rng.u32(..6), STATES[rng.usize(..3)], rng.u64(1..20))).collect();
        let mut copies = Vec::new();
        for _ in 0..3 {
            rng.shuffle(&mut words);
            let mut copy = Registry::default();
            for word in &words {
                copy.merge(word.clone());
                if rng.bool() {
                    copy.merge(word.clone()); // said twice
                }
            }
            copies.push(copy);
        }
        for other in &copies[1..] {
            assert_eq!(copies[0].digests(), other.digests());
            for (key, record) in copies[0].iter() {
                let theirs = other.get(key).expect("the same endpoints");
                assert_eq!((record.state, record.call_seq), (theirs.state, theirs.call_seq));
            }
        }
    }
}

#[test]
fn a_late_heartbeat_does_not_bring_back_who_is_gone() {
    let mut registry = Registry::default();
    assert!(registry.merge(record(1, EndpointState::Ready, 3)));
    assert!(registry.merge(record(1, EndpointState::Draining, 4)));
    assert!(!registry.merge(record(1, EndpointState::Ready, 9)), "nobody has to hear of this");
    assert!(registry.merge(record(1, EndpointState::Gone, 5)));
    assert!(!registry.merge(record(1, EndpointState::Ready, 10)));
    assert_eq!(registry.get(key_of("i-1")).expect("it is remembered").state, EndpointState::Gone);
}

#[test]
fn a_heartbeat_of_the_same_state_is_no_news() {
    let mut registry = Registry::default();
    assert!(registry.merge(record(1, EndpointState::Ready, 3)));
    assert!(!registry.merge(record(1, EndpointState::Ready, 4)));
}

#[test]
fn one_difference_among_thousands_is_found_and_only_its_range_is_sent() {
    let (mut one, mut other) = (Registry::default(), Registry::default());
    for id in 0..12_000 {
        one.merge(record(id, EndpointState::Ready, 1));
        other.merge(record(id, EndpointState::Ready, 1));
    }
    assert!(one.differing(&other.digests()).is_empty());
    other.merge(record(77, EndpointState::Draining, 2));
    let sent = other.differing(&one.digests());
    assert!(sent.iter().any(|record| record.state == EndpointState::Draining));
    assert!(sent.len() < 2 * 12_000 / RANGES, "{} records were sent", sent.len());
    for record in sent {
        one.merge(record);
    }
    assert_eq!(one.digests(), other.digests());
}

#[test]
fn who_has_nothing_gets_all() {
    let mut full = Registry::default();
    for id in 0..50 {
        full.merge(record(id, EndpointState::Ready, 1));
    }
    assert_eq!(full.differing(&[]).len(), 50);
    assert_eq!(full.differing(&Registry::default().digests()).len(), 50);
}

#[test]
fn ended_incarnations_are_remembered_within_bounds() {
    let mut registry = Registry::default();
    for id in 0..20_000 {
        registry.merge(record(id, EndpointState::Gone, 1));
    }
    assert!(registry.len() <= 16_384);
    let mut again = Registry::default();
    registry.iter().for_each(|(_, record)| {
        again.merge(record.clone());
    });
    assert_eq!(again.digests(), registry.digests(), "digests follow what is there");
}

#[test]
fn a_configuration_only_rises() {
    let mut replica = Replica::default();
    assert!(replica.take_config(3, b"three".to_vec()));
    assert!(!replica.take_config(3, b"other".to_vec()));
    assert!(!replica.take_config(2, b"two".to_vec()));
    assert_eq!(replica.config().expect("one").body(), b"three");
    assert!(replica.answer_fetch(3, WIRE_VERSION).is_none());
    let complete = replica.answer_fetch(2, DELTA_WIRE_VERSION - 1);
    assert!(matches!(complete, Some(Message::Config(config)) if config.version == 3));
}

const HEARTBEAT: Duration = Duration::from_millis(1200);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn who_misses_heartbeats_while_others_are_heard_is_stale() {
    let mut heard = HeartbeatTable::default();
    heard.note(at(0), HEARTBEAT, [1, 2]);
    for number in 1..=4 {
        heard.note(at(1200 * number), HEARTBEAT, [2]);
    }
    assert!(heard.is_suspect(at(4800), HEARTBEAT, 3, 1));
    assert!(!heard.is_suspect(at(4800), HEARTBEAT, 3, 2));
    heard.note(at(4900), HEARTBEAT, [1]);
    assert!(!heard.is_suspect(at(4900), HEARTBEAT, 3, 1), "it is heard again");
}

#[test]
fn time_in_which_nobody_could_be_heard_does_not_count() {
    let mut heard = HeartbeatTable::default();
    heard.note(at(0), HEARTBEAT, [1, 2]);
    assert!(!heard.is_suspect(at(60_000), HEARTBEAT, 3, 1), "nothing came from anybody");
    heard.note(at(60_000), HEARTBEAT, [2]);
    assert!(!heard.is_suspect(at(60_100), HEARTBEAT, 3, 1), "the feed has only just come back");
    for number in 1..=4 {
        heard.note(at(60_000 + 1200 * number), HEARTBEAT, [2]);
    }
    assert!(heard.is_suspect(at(64_800), HEARTBEAT, 3, 1));
}
