//! Replicas of the registry converge regardless of the order of messages.

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
                    copy.merge(word.clone()); // duplicate message
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
fn a_late_heartbeat_does_not_revive_a_gone_endpoint() {
    let mut registry = Registry::default();
    assert!(registry.merge(record(1, EndpointState::Ready, 3)));
    assert!(registry.merge(record(1, EndpointState::Draining, 4)));
    assert!(!registry.merge(record(1, EndpointState::Ready, 9)), "an outdated record is not forwarded");
    assert!(registry.merge(record(1, EndpointState::Gone, 5)));
    assert!(!registry.merge(record(1, EndpointState::Ready, 10)));
    assert_eq!(registry.get(key_of("i-1")).expect("it is remembered").state, EndpointState::Gone);
}

#[test]
fn a_heartbeat_without_a_state_change_is_not_forwarded() {
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
fn an_empty_replica_receives_all_records() {
    let mut full = Registry::default();
    for id in 0..50 {
        full.merge(record(id, EndpointState::Ready, 1));
    }
    assert_eq!(full.differing(&[]).len(), 50);
    assert_eq!(full.differing(&Registry::default().digests()).len(), 50);
}

#[test]
fn the_number_of_gone_incarnations_is_bounded() {
    let mut registry = Registry::default();
    for id in 0..20_000 {
        registry.merge(record(id, EndpointState::Gone, 1));
    }
    assert!(registry.len() <= 16_384);
    let mut again = Registry::default();
    registry.iter().for_each(|(_, record)| {
        again.merge(record.clone());
    });
    assert_eq!(again.digests(), registry.digests(), "digests depend on the records only");
}

#[test]
fn configuration_versions_only_increase() {
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
fn an_endpoint_without_heartbeats_is_stale_while_others_send_theirs() {
    let mut heard = HeartbeatTable::default();
    heard.note(at(0), HEARTBEAT, [1, 2]);
    for number in 1..=4 {
        heard.note(at(1200 * number), HEARTBEAT, [2]);
    }
    assert!(heard.is_suspect(at(4800), HEARTBEAT, 3, 1));
    assert!(!heard.is_suspect(at(4800), HEARTBEAT, 3, 2));
    heard.note(at(4900), HEARTBEAT, [1]);
    assert!(!heard.is_suspect(at(4900), HEARTBEAT, 3, 1), "its heartbeats are back");
}

#[test]
fn time_without_any_heartbeats_does_not_count() {
    let mut heard = HeartbeatTable::default();
    heard.note(at(0), HEARTBEAT, [1, 2]);
    assert!(!heard.is_suspect(at(60_000), HEARTBEAT, 3, 1), "no heartbeats arrived at all");
    heard.note(at(60_000), HEARTBEAT, [2]);
    assert!(!heard.is_suspect(at(60_100), HEARTBEAT, 3, 1), "the feed has only just resumed");
    for number in 1..=4 {
        heard.note(at(60_000 + 1200 * number), HEARTBEAT, [2]);
    }
    assert!(heard.is_suspect(at(64_800), HEARTBEAT, 3, 1));
}
