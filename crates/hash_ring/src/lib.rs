//! Assignment of work to members by hashing: processes that know the same members compute the same assignment, and where
//! one is added or removed only its share moves. No I/O.
//!
//! [`HashRing`] is consistent hashing (Karger and others, 1997) with several points a member: it assigns the watchers of a
//! process. [`rendezvous`] is highest-random-weight hashing (Thaler and Ravishankar, 1998): it assigns the owner of a
//! key, such as the member that coordinates changes of membership.

use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Points of each member on the ring (virtual nodes): enough that shares usually differ by a third at most.
const POINTS: u64 = 32;

/// Hash of a name: 64 bits of xxh3. All processes must agree on it, so it must not change between versions.
pub fn hash(name: &[u8]) -> u64 {
    xxh3_64_with_seed(name, 0)
}

/// Weight of a key at a member, given as the [`hash`] of its name; the member with the highest weight owns the key.
pub fn weight(key: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), member)
}

/// The owner of a key among these members, each given as the [`hash`] of its name; none where there are none. Equal weights
/// are decided by the hash, so that the order of the members does not matter.
pub fn rendezvous(key: u64, members: impl IntoIterator<Item = u64>) -> Option<u64> {
    members.into_iter().max_by_key(|member| (weight(key, *member), *member))
}

/// A ring of members for consistent hashing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HashRing<M> {
    points: BTreeMap<u64, M>,
    members: BTreeSet<M>,
}

impl<M: Clone + Ord> HashRing<M> {
    /// A ring of these members; `name` returns the bytes whose hashes are its points.
    pub fn new(members: impl IntoIterator<Item = M>, name: impl Fn(&M) -> Vec<u8>) -> Self {
        let mut ring = HashRing { points: BTreeMap::new(), members: BTreeSet::new() };
        for member in members {
            let hashed_name = hash(&name(&member));
            for point in 0..POINTS {
                ring.points.insert(weight(point, hashed_name), member.clone());
            }
            ring.members.insert(member);
        }
        ring
    }

    /// The members in ascending order.
    pub fn members(&self) -> impl Iterator<Item = &M> {
        self.members.iter()
    }

    /// The first `count` distinct members clockwise from a key's point, or all where there are fewer.
    pub fn successors(&self, key: &[u8], count: usize) -> Vec<M> {
        let start = hash(key);
        let mut found: Vec<M> = Vec::new();
        for (_, member) in self.points.range(start..).chain(self.points.range(..start)) {
            if found.len() == count.min(self.members.len()) {
                break;
            }
            if !found.contains(member) {
                found.push(member.clone());
            }
        }
        found
    }
}
