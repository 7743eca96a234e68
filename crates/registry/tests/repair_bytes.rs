//! Bytes transferred until two replicas are equal, by the number of differing records.

use fastrand::Rng;
use runtrack_message::{Endpoint, EndpointState, Message, encode};
use runtrack_registry::Replica;

/// Length of a frame in front of it.
const FRAME: usize = 4;

fn record(id: usize, state: EndpointState) -> Endpoint {
    Endpoint {
        id: format!("endpoint-{id:06}").as_str().into(),
        service: "llm".into(),
        ip: 10,
        port: 8000,
        zone: "a".into(),
        capacity: 64,
        state,
        warmup_left_ms: 0,
        call_seq: 1,
        models: Vec::new().into(),
    }
}

fn bytes(message: &Message) -> usize {
    FRAME + encode(message).expect("a message").len()
}

/// Sends a replica's digest to another one, which answers with range digests and gets records. Returns the bytes in both
/// directions.
fn repair(from: &Replica, to: &mut Replica) -> usize {
    let have = from.digest();
    let Message::Digest(digest) = &have else { panic!("a digest") };
    let Some(ranges) = to.answer_digest(digest) else { return bytes(&have) };
    let Message::RangeDigests(sent) = &ranges else { panic!("ranges") };
    let Some(entries) = from.answer_ranges(sent.items()) else { return bytes(&have) + bytes(&ranges) };
    let all = bytes(&have) + bytes(&ranges) + bytes(&entries);
    let Message::Entries(records) = entries else { panic!("records") };
    to.merge(records.into_vec());
    all
}

/// Bytes until two replicas are equal, each of which has half of the differing records.
fn bytes_until_alike(endpoints: usize, different: usize) -> usize {
    let mut rng = Rng::with_seed(endpoints as u64 ^ different as u64);
    let records: Vec<Endpoint> = (0..endpoints).map(|id| record(id, EndpointState::Ready)).collect();
    let (mut one, mut other) = (Replica::default(), Replica::default());
    one.merge(records.clone());
    other.merge(records);
    for (place, id) in rng.choose_multiple(0..endpoints, different).into_iter().enumerate() {
        let copy = if place % 2 == 0 { &mut one } else { &mut other };
        copy.merge(vec![record(id, EndpointState::Draining)]);
    }
    let there = repair(&one, &mut other);
    let back = repair(&other, &mut one);
    assert_eq!(one.registry().digests(), other.registry().digests());
    there + back
}

#[test]
fn a_repair_sends_digests_and_only_the_differing_ranges() {
    for endpoints in [1_000, 12_000] {
        let all = bytes(&Message::Entries(
            (0..endpoints).map(|id| record(id, EndpointState::Ready)).collect::<Vec<_>>().into(),
        ));
        for different in [1, 10, 100, 1_000] {
            let cost = bytes_until_alike(endpoints, different);
            println!("{endpoints} endpoints ({all} bytes), {different} different: {cost} bytes");
            let ranges = 2 * (256 * 8 + 64);
            let share = (2 * all * different).div_ceil(256).min(2 * all);
            assert!(cost <= ranges + 2 * share, "{endpoints}, {different}: {cost}");
        }
    }
}
