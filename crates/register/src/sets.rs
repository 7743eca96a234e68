//! Sets of members and their majorities: the quorums of this register. While members change there are two sets, and each
//! quorum is a majority of both.

use runtrack_message::{Member, MemberSet, MemberSets, Value};
use std::collections::BTreeSet;

/// The sets of a value. A process that has accepted a value and knows no more may begin a round at all of its sets: a
/// single set is only ever written once the joint sets before it are chosen.
pub fn sets_of(value: &Value) -> Vec<BTreeSet<Member>> {
    value.sets.items().iter().map(|set| set.items().iter().copied().collect()).collect()
}

/// The members that are in force after a value: those of its last set.
pub fn members_of(value: &Value) -> BTreeSet<Member> {
    sets_of(value).pop().unwrap_or_default()
}

/// Whether a change of membership has begun and is not finished.
pub fn is_joint(value: &Value) -> bool {
    value.sets.items().len() > 1
}

/// The size of a majority of this many members.
pub fn majority_of(members: usize) -> usize {
    members / 2 + 1
}

/// Whether a majority of a set meets a condition. An empty set has no majority.
pub fn has_majority(set: &BTreeSet<Member>, meets: impl Fn(&Member) -> bool) -> bool {
    set.iter().filter(|member| meets(member)).count() >= majority_of(set.len())
}

/// Sets as a value carries them.
pub(crate) fn wire_sets(sets: &[BTreeSet<Member>]) -> MemberSets {
    let wire = |set: &BTreeSet<Member>| MemberSet::from(set.iter().copied().collect::<Vec<_>>());
    sets.iter().map(wire).collect::<Vec<_>>().into()
}
