//! Deltas reproduce the operator's body exactly, have a size proportional to the change, and are refused if damaged.

use proptest::prelude::*;
use runtrack_config_delta::{BaseDigests, ChunkedBody, ConfigHistory, DeltaError};
use runtrack_message::{ConfigDelta, DeltaStep, Message, encode};

fn route(name: u32, timeout: u32) -> String {
    format!(
        r#"{{"name":"r-{name:07x}","host":"h{}.example","pathPrefix":"/{name:05x}/","kind":"streaming","timeoutMs":{timeout},"setpointMs":800,"priority":1,"split":[{{"service":"s-{}","weight":90}},{{"service":"s-2","weight":10}}],"maxTries":1,"pinned":true,"resumable":false,"gap_aim_ms":300}}"#,
        name % 50,
        name % 3,
    )
}

fn body(version: u64, routes: &[String]) -> Vec<u8> {
    let routes = routes.join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"s-1","healthPath":"/}}]\"{{"}}],"limits":{{"idleMs":15000}}}}"#
    )
    .into_bytes()
}

fn routes(count: u32) -> Vec<String> {
    (0..count).map(|name| route(name, 5000)).collect()
}

/// The delta from one body to another, and the result of its application.
fn delta_and_result(before: &[u8], after: &[u8]) -> (ConfigDelta, Result<ChunkedBody, DeltaError>) {
    let (before, after) = (ChunkedBody::new(before.to_vec()), ChunkedBody::new(after.to_vec()));
    let delta = after.delta_from(Some(&before.base_digests(1)), 2);
    let result = ChunkedBody::rebuild(Some((1, &before)), &delta);
    (delta, result)
}

fn encoded_size(delta: ConfigDelta) -> usize {
    encode(&Message::ConfigDelta(delta)).expect("failed to encode the delta").len()
}

#[test]
fn the_size_of_a_delta_depends_on_the_change() {
    for count in [100, 900, 2500] {
        let before = routes(count);
        let mut after = before.clone();
        after[count as usize / 2] = route(count / 2, 7000);
        let (delta, result) = delta_and_result(&body(1, &before), &body(2, &after));
        assert_eq!(result.expect("failed to apply the delta").body(), body(2, &after));
        let bytes = encoded_size(delta);
        println!("{count} routes: {} bytes whole, {bytes} as a delta", body(2, &after).len());
        assert!(bytes < 700, "{bytes} bytes for one of {count} routes");
    }
}

#[test]
fn a_whole_body_is_compressed() {
    let whole = body(1, &routes(2500));
    let chunked = ChunkedBody::new(whole.clone());
    let delta = chunked.delta_from(None, 1);
    assert_eq!(
        ChunkedBody::rebuild(None, &delta).expect("failed to apply the delta without a base"),
        chunked
    );
    let bytes = encoded_size(delta);
    println!("whole: {} bytes, {bytes} compressed", whole.len());
    assert!(bytes * 6 < whole.len(), "{bytes} of {}", whole.len());
}

#[test]
fn added_removed_and_moved_routes_are_reproduced() {
    let before = routes(200);
    let mut after = before[20..].to_vec();
    after.extend((500..700).map(|name| route(name, 4000)));
    after.swap(3, 90);
    after.insert(50, before[0].clone());
    after.insert(51, before[0].clone());
    let (_, result) = delta_and_result(&body(1, &before), &body(2, &after));
    assert_eq!(
        result.expect("failed to apply the delta"),
        ChunkedBody::new(body(2, &after)),
        "body and chunks"
    );
}

#[test]
fn a_delta_for_another_base_is_refused() {
    let (one, other) = (ChunkedBody::new(body(1, &routes(9))), ChunkedBody::new(body(1, &routes(8))));
    let delta = ChunkedBody::new(body(2, &routes(10))).delta_from(Some(&one.base_digests(1)), 2);
    assert!(ChunkedBody::rebuild(Some((1, &one)), &delta).is_ok());
    assert_eq!(ChunkedBody::rebuild(Some((1, &other)), &delta), Err(DeltaError::AnotherBase(1)));
    assert_eq!(ChunkedBody::rebuild(Some((3, &one)), &delta), Err(DeltaError::AnotherBase(3)));
    assert_eq!(ChunkedBody::rebuild(None, &delta), Err(DeltaError::AnotherBase(0)));
}

#[test]
fn a_chunk_digest_collision_is_detected() {
    let before = ChunkedBody::new(body(1, &routes(9)));
    let after = ChunkedBody::new(body(2, &routes(10)));
    let mut base = before.base_digests(1);
    // Simulates a collision of the digests of two different chunks.
    base.chunks.swap(3, 4);
    let delta = after.delta_from(Some(&base), 2);
    assert_eq!(ChunkedBody::rebuild(Some((1, &before)), &delta), Err(DeltaError::WrongResult));
}

#[test]
fn a_malformed_delta_is_refused() {
    let before = ChunkedBody::new(body(1, &routes(9)));
    let valid = ChunkedBody::new(body(2, &routes(10))).delta_from(Some(&before.base_digests(1)), 2);
    let refused = |change: &dyn Fn(&mut ConfigDelta)| {
        let mut delta = valid.clone();
        change(&mut delta);
        ChunkedBody::rebuild(Some((1, &before)), &delta).expect_err("the delta was accepted")
    };
    let copy = |first, count| vec![DeltaStep::Copy { first, count }].into();
    assert_eq!(refused(&|delta| delta.steps = copy(u32::MAX, u32::MAX)), DeltaError::Malformed);
    assert_eq!(refused(&|delta| delta.steps = copy(0, 10_000)), DeltaError::Malformed);
    assert_eq!(refused(&|delta| delta.length = u32::MAX), DeltaError::Malformed);
    assert_eq!(refused(&|delta| delta.length -= 1), DeltaError::WrongResult);
    assert_eq!(refused(&|delta| delta.inserted = vec![0xff; 40].into()), DeltaError::Malformed);
    let repeated_copies = vec![DeltaStep::Copy { first: 0, count: 9 }; 1000];
    assert_eq!(refused(&|delta| delta.steps = repeated_copies.clone().into()), DeltaError::Malformed);
    let oversized_inserts = vec![DeltaStep::Insert { length: u32::MAX }; 3];
    assert_eq!(refused(&|delta| delta.steps = oversized_inserts.clone().into()), DeltaError::Malformed);
}

#[test]
fn a_delta_with_too_many_steps_contains_the_whole_body() {
    let before = routes(140_000);
    let after = (0..140_000).map(|name| route(name, if name % 2 == 0 { 5000 } else { 6000 }));
    let (delta, result) = delta_and_result(&body(1, &before), &body(2, &after.collect::<Vec<_>>()));
    assert_eq!(delta.base_version, 0, "the delta contains the whole body");
    assert!(result.is_err(), "43 MB are more than a frame holds");
}

#[test]
fn the_history_keeps_the_newest_versions_within_its_bound() {
    let mut history = ConfigHistory::default();
    let base = |version| BaseDigests {
        version,
        chunks: vec![version; 1000],
        ..ChunkedBody::new(vec![]).base_digests(1)
    };
    (1..=1000).for_each(|version| history.remember(base(version)));
    let known: Vec<u64> = (1..=1000).filter(|version| history.base(*version).is_some()).collect();
    assert_eq!(known, (936..=1000).collect::<Vec<_>>(), "65 of them have 65,000 digests");
}

proptest! {
    #[test]
    fn a_delta_between_any_two_bodies_is_reproduced(
        before in proptest::collection::vec((0_u32..30, 0_u32..3), 0..40),
        after in proptest::collection::vec((0_u32..30, 0_u32..3), 0..40),
    ) {
        let write = |items: &[(u32, u32)]| items.iter().map(|(name, timeout)| route(*name, *timeout)).collect::<Vec<_>>();
        let (before, after) = (body(1, &write(&before)), body(2, &write(&after)));
        let (_, result) = delta_and_result(&before, &after);
        prop_assert_eq!(result.expect("failed to apply the delta"), ChunkedBody::new(after));
    }

    #[test]
    fn bodies_that_are_not_json_are_reproduced(
        before in proptest::collection::vec(any::<u8>(), 0..400),
        after in proptest::collection::vec(any::<u8>(), 0..400),
    ) {
        let (_, result) = delta_and_result(&before, &after);
        let result = result.expect("failed to apply the delta");
        prop_assert_eq!(result.body(), after.as_slice());
    }

    #[test]
    fn bodies_with_unbalanced_brackets_and_quotes_are_reproduced(
        before in "[\\[\\]{},\"\\\\a]{0,80}",
        after in "[\\[\\]{},\"\\\\a]{0,80}",
    ) {
        let (_, result) = delta_and_result(before.as_bytes(), after.as_bytes());
        let result = result.expect("failed to apply the delta");
        prop_assert_eq!(result.body(), after.as_bytes());
    }

    #[test]
    fn a_damaged_delta_is_refused_or_reproduces_the_body(
        at in any::<prop::sample::Index>(),
        with in any::<u8>(),
    ) {
        let before = ChunkedBody::new(body(1, &routes(12)));
        let after = ChunkedBody::new(body(2, &routes(14)));
        let delta = after.delta_from(Some(&before.base_digests(1)), 2);
        let mut bytes = encode(&Message::ConfigDelta(delta)).expect("failed to encode the delta");
        let at = at.index(bytes.len());
        bytes[at] = with;
        if let Ok(Message::ConfigDelta(damaged)) = runtrack_message::decode(&bytes)
            && let Ok(result) = ChunkedBody::rebuild(Some((1, &before)), &damaged)
        {
            prop_assert_eq!(result.body(), after.body());
        }
    }
}
