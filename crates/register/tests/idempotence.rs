//! Two operators that use one version number, and requests that are retried after their answer was lost. A request is rejected
//! only where that is final.

mod support;

use runtrack_register::{ConfigAnswer, ConfigRequest, Decision};
use support::{Cluster, member, request};

#[test]
fn a_request_on_a_future_base_is_not_rejected() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
    // Its base, version 2, is about to be committed by another member.
    let early = request(2, 3);
    assert_eq!(cluster.submit(0, &early), Some(ConfigAnswer::Indeterminate));
    assert_eq!(cluster.submit(1, &request(1, 2)), Some(ConfigAnswer::Applied));
    assert_eq!(cluster.submit(2, &early), Some(ConfigAnswer::Applied), "another copy of the same request");
    assert_eq!(cluster.submit(0, &early), Some(ConfigAnswer::Applied), "and the first one, repeated");
}

#[test]
fn requests_on_a_later_base_are_not_rejected_before_the_first_version() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(1, 2)), Some(ConfigAnswer::Indeterminate));
    assert_eq!(cluster.submit(1, &request(0, 1)), Some(ConfigAnswer::Applied));
    assert_eq!(cluster.submit(2, &request(1, 2)), Some(ConfigAnswer::Applied));
}

#[test]
fn a_version_not_above_its_own_base_is_rejected() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 0)), Some(ConfigAnswer::VersionNotIncreasing(0)));
    assert_eq!(cluster.submit(0, &request(9, 9)), Some(ConfigAnswer::VersionNotIncreasing(9)));
    for base in 0..12 {
        assert_eq!(cluster.submit(1, &request(base, base + 1)), Some(ConfigAnswer::Applied));
    }
    assert_eq!(cluster.submit(2, &request(9, 9)), Some(ConfigAnswer::VersionNotIncreasing(12)));
}

#[test]
fn of_two_requests_with_one_version_exactly_one_is_acknowledged() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
    let one = ConfigRequest::replace(1, 2, b"one".to_vec());
    let other = ConfigRequest::replace(1, 2, b"other".to_vec());
    assert_eq!(cluster.submit(0, &one), Some(ConfigAnswer::Applied));
    for round in 0..50 {
        assert_eq!(cluster.submit(1, &other), Some(ConfigAnswer::VersionMismatch(2 + round)));
        assert_eq!(cluster.submit(2, &one), Some(ConfigAnswer::Applied));
        assert_eq!(cluster.submit(0, &request(2 + round, 3 + round)), Some(ConfigAnswer::Applied));
    }
}

/// Applies consecutive requests up to version `last`.
fn apply_up_to(cluster: &mut Cluster, from: u64, last: u64) {
    for base in from..last {
        let at = (base % 3) as usize;
        assert_eq!(cluster.submit(at, &request(base, base + 1)), Some(ConfigAnswer::Applied));
    }
}

#[test]
fn an_acknowledged_request_is_never_rejected_after_hundreds_of_changes() {
    let mut cluster = Cluster::new(3);
    apply_up_to(&mut cluster, 0, 700);
    assert_eq!(cluster.read(0).floor, 700 - 512);
    for version in 1..=700 {
        let at = (version % 3) as usize;
        let expected =
            if version > 700 - 512 { ConfigAnswer::Applied } else { ConfigAnswer::Indeterminate };
        assert_eq!(cluster.submit(at, &request(version - 1, version)), Some(expected), "version {version}");
    }
    assert_eq!(cluster.read(1).version, 700, "nothing was applied twice");
}

#[test]
fn a_conflicting_request_is_rejected_above_the_floor_and_unknown_below_it() {
    let mut cluster = Cluster::new(3);
    apply_up_to(&mut cluster, 0, 600);
    let rival = |version: u64| ConfigRequest::replace(version - 1, version, b"a rival".to_vec());
    assert_eq!(cluster.submit(0, &rival(600 - 512)), Some(ConfigAnswer::Indeterminate));
    assert_eq!(cluster.submit(0, &rival(600 - 511)), Some(ConfigAnswer::VersionMismatch(600)));
    assert_eq!(cluster.submit(0, &rival(600)), Some(ConfigAnswer::VersionMismatch(600)));
}

#[test]
fn the_floor_is_the_highest_evicted_version() {
    let first = [[member(0, 0)].into_iter().collect()];
    let mut value = None;
    for step in 1..=5u64 {
        let request = request((step - 1) * 10, step * 10);
        let (Decision::Propose(next), _) = request.decide_within(value.as_ref(), &first, 3) else {
            panic!("step {step}")
        };
        value = Some(next);
    }
    let value = value.expect("a value");
    assert_eq!(value.floor, 20);
    assert_eq!(request(10, 20).decide(Some(&value), &first).1, ConfigAnswer::Indeterminate);
    assert_eq!(request(10, 15).decide(Some(&value), &first).1, ConfigAnswer::Indeterminate);
    assert_eq!(request(10, 25).decide(Some(&value), &first).1, ConfigAnswer::VersionMismatch(50));
    assert_eq!(request(20, 30).decide(Some(&value), &first).1, ConfigAnswer::Applied);
}

#[test]
fn an_acknowledged_request_is_acknowledged_again_after_a_restart_of_all() {
    let mut cluster = Cluster::new(3);
    apply_up_to(&mut cluster, 0, 600);
    for at in 0..3 {
        cluster.restart(at);
    }
    for at in 0..3 {
        assert_eq!(cluster.submit(at, &request(299, 300)), Some(ConfigAnswer::Applied));
        assert_eq!(cluster.submit(at, &request(49, 50)), Some(ConfigAnswer::Indeterminate));
    }
}

#[test]
fn an_acknowledged_request_is_acknowledged_again_after_all_members_were_replaced() {
    let mut cluster = Cluster::new(3);
    apply_up_to(&mut cluster, 0, 600);
    let mut set = [member(0, 0), member(1, 0), member(2, 0)];
    for index in 0..3u8 {
        let new = member(10 + index, 7);
        cluster.add(new);
        set[usize::from(index)] = new;
        assert!(cluster.replace(0, &set), "member {index} is replaced");
        cluster.set_partitioned(usize::from(index), true);
    }
    for at in 3..6 {
        assert_eq!(cluster.submit(at, &request(599, 600)), Some(ConfigAnswer::Applied));
        assert_eq!(cluster.submit(at, &request(299, 300)), Some(ConfigAnswer::Applied));
        assert_eq!(cluster.submit(at, &request(49, 50)), Some(ConfigAnswer::Indeterminate));
    }
    apply_up_to(&mut cluster, 600, 610);
    assert_eq!(cluster.read(4).floor, 610 - 512, "the floor came along");
}

#[test]
fn a_partially_accepted_request_and_its_rival_get_opposite_answers() {
    // The first attempt reaches one member only, and its proposer gets no reply. A rival with the same version is submitted at
    // another member, with and without the member that has accepted.
    for partitioned in [None, Some(0)] {
        let mut cluster = Cluster::new(3);
        assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
        let one = ConfigRequest::replace(1, 2, b"one".to_vec());
        let other = ConfigRequest::replace(1, 2, b"other".to_vec());
        cluster.submit_reaching(0, &one, &[0]);
        if let Some(at) = partitioned {
            cluster.set_partitioned(at, true);
        }
        let first = cluster.submit(1, &other);
        if let Some(at) = partitioned {
            cluster.set_partitioned(at, false);
        }
        let second = cluster.submit(2, &one);
        let (applied, refused) = (Some(ConfigAnswer::Applied), Some(ConfigAnswer::VersionMismatch(2)));
        let expected = if partitioned.is_some() { (applied, refused) } else { (refused, applied) };
        assert_eq!((first, second), expected, "partitioned: {partitioned:?}");
    }
}
