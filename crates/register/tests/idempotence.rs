//! Two operators, one number; a request that comes again after its answer was lost. A refusal is given only where it is
//! certain for good.

mod support;

use runtrack_register::{ConfigAnswer, ConfigRequest, Decision};
use support::{Cluster, member, request};

#[test]
fn a_request_that_builds_on_a_version_yet_to_come_is_not_refused() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
    // Its base is version 2, which another member is about to commit.
    let early = request(2, 3);
    assert_eq!(cluster.submit(0, &early), Some(ConfigAnswer::Indeterminate));
    assert_eq!(cluster.submit(1, &request(1, 2)), Some(ConfigAnswer::Applied));
    assert_eq!(cluster.submit(2, &early), Some(ConfigAnswer::Applied), "another copy of the same request");
    assert_eq!(cluster.submit(0, &early), Some(ConfigAnswer::Applied), "and the first one, repeated");
}

#[test]
fn before_the_first_version_nothing_that_builds_on_another_is_refused() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(1, 2)), Some(ConfigAnswer::Indeterminate));
    assert_eq!(cluster.submit(1, &request(0, 1)), Some(ConfigAnswer::Applied));
    assert_eq!(cluster.submit(2, &request(1, 2)), Some(ConfigAnswer::Applied));
}

#[test]
fn a_version_that_is_not_above_its_own_base_can_never_be_applied_and_is_refused_at_once() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 0)), Some(ConfigAnswer::VersionNotIncreasing(0)));
    assert_eq!(cluster.submit(0, &request(9, 9)), Some(ConfigAnswer::VersionNotIncreasing(9)));
    for base in 0..12 {
        assert_eq!(cluster.submit(1, &request(base, base + 1)), Some(ConfigAnswer::Applied));
    }
    assert_eq!(cluster.submit(2, &request(9, 9)), Some(ConfigAnswer::VersionNotIncreasing(12)));
}

#[test]
fn of_two_requests_under_one_number_one_is_confirmed_and_the_other_is_refused_for_good() {
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

/// Requests on top of each other, the last of them under `last`.
fn apply_up_to(cluster: &mut Cluster, from: u64, last: u64) {
    for base in from..last {
        let at = (base % 3) as usize;
        assert_eq!(cluster.submit(at, &request(base, base + 1)), Some(ConfigAnswer::Applied));
    }
}

#[test]
fn what_was_confirmed_is_confirmed_again_after_hundreds_of_changes_and_never_refused() {
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
fn below_the_floor_a_rival_gets_no_clear_answer_either_and_above_it_a_refusal() {
    let mut cluster = Cluster::new(3);
    apply_up_to(&mut cluster, 0, 600);
    let rival = |version: u64| ConfigRequest::replace(version - 1, version, b"a rival".to_vec());
    assert_eq!(cluster.submit(0, &rival(600 - 512)), Some(ConfigAnswer::Indeterminate));
    assert_eq!(cluster.submit(0, &rival(600 - 511)), Some(ConfigAnswer::VersionMismatch(600)));
    assert_eq!(cluster.submit(0, &rival(600)), Some(ConfigAnswer::VersionMismatch(600)));
}

#[test]
fn versions_that_rise_in_uneven_steps_keep_the_floor_at_the_highest_that_was_dropped() {
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
fn what_was_confirmed_is_confirmed_again_after_a_restart_of_all() {
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
fn what_was_confirmed_is_confirmed_again_after_all_members_were_replaced_one_by_one() {
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
fn a_request_whose_answer_was_lost_half_way_is_confirmed_or_superseded_and_its_rival_gets_the_other_answer()
{
    // The first copy reaches one member alone, and its proposer hears no more; a rival under the same number comes to
    // another member, with and without the one that has accepted.
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
