//! Assignment by consistent hashing is even, identical in all processes, and changes little when members change.

use runtrack_hash_ring::{HashRing, hash, rendezvous, weight};
use std::collections::BTreeMap;

fn ring(members: impl IntoIterator<Item = u32>) -> HashRing<u32> {
    HashRing::new(members, |member| member.to_le_bytes().to_vec())
}

#[test]
fn successors_are_different_members_and_the_same_for_all() {
    let ring_of = ring(0..7);
    for key in 0..200u32 {
        let watchers = ring_of.successors(&key.to_le_bytes(), 3);
        assert_eq!(watchers.len(), 3);
        assert_eq!(watchers.iter().collect::<std::collections::BTreeSet<_>>().len(), 3);
        assert_eq!(
            ring((0..7).rev()).successors(&key.to_le_bytes(), 3),
            watchers,
            "in whatever order the members are added"
        );
    }
}

#[test]
fn more_successors_than_members_are_all_members() {
    assert_eq!(ring(0..3).successors(b"x", 5).len(), 3);
    assert_eq!(ring([]).successors(b"x", 5).len(), 0);
}

#[test]
fn only_the_share_of_a_member_that_leaves_moves() {
    let keys = 4000u64;
    let owners = |members: std::ops::Range<u64>, gone: Option<u64>| -> Vec<u64> {
        let members: Vec<u64> =
            members.filter(|member| Some(*member) != gone).map(|m| hash(&m.to_le_bytes())).collect();
        (0..keys).map(|key| rendezvous(key, members.iter().copied()).expect("an owner")).collect()
    };
    let (before, after) = (owners(0..10, None), owners(0..10, Some(4)));
    let gone = hash(&4u64.to_le_bytes());
    for (before, after) in before.iter().zip(&after) {
        assert!(before == after || *before == gone, "only keys of the member that left may move");
    }
}

#[test]
fn shares_are_even() {
    let members: Vec<u64> = (0..9u64).map(|member| hash(&member.to_le_bytes())).collect();
    let mut shares: BTreeMap<u64, u32> = BTreeMap::new();
    for key in 0..9000 {
        *shares.entry(rendezvous(key, members.iter().copied()).expect("an owner")).or_default() += 1;
    }
    assert!(shares.values().all(|share| (850..1150).contains(share)), "{shares:?}");
}

#[test]
fn a_weight_depends_on_both() {
    assert_ne!(weight(1, 2), weight(2, 1));
    assert_eq!(rendezvous(1, []), None);
}

/// Processes of different versions must compute the same assignment. The numbers are those of the version before the crate
/// got its present name.
#[test]
fn assignments_are_those_of_earlier_versions() {
    assert_eq!(hash(b"10.0.0.1:7000"), 0x6d12_66fe_609c_8600);
    assert_eq!(weight(1, 2), 0x40ec_3339_838d_6d11);
    assert_eq!(rendezvous(7, [1, 2, 3]), Some(2));
    assert_eq!(ring(0..7).successors(b"a process", 3), [4, 0, 2]);
}
