//! Sets of members and their majorities.

use runtrack_message::{Member, MemberSet, MemberSets, Value};
use std::collections::BTreeSet;

/// The sets of a value. Who has accepted a value and knows no more may begin a round at all of its sets: a single set is
/// only ever written once the change to it is chosen.
pub fn sets_of(value: &Value) -> Vec<BTreeSet<Member>> {
    value.sets.items().iter().map(|set| set.items().iter().copied().collect()).collect()
}

/// The members that are in force after a value: of its last set.
pub fn members_of(value: &Value) -> BTreeSet<Member> {
    sets_of(value).pop().unwrap_or_default()
}

/// Whether a change of membership has begun and is not over.
pub fn is_joint(value: &Value) -> bool {
    value.sets.items().len() > 1
}

/// How many of so many members are a majority.
pub fn majority_of(members: usize) -> usize {
    members / 2 + 1
}

/// Whether more than half of a set is such.
pub fn has_majority(set: &BTreeSet<Member>, such: impl Fn(&Member) -> bool) -> bool {
    set.iter().filter(|member| such(member)).count() >= majority_of(set.len())
}

/// Sets as a value carries them.
pub(crate) fn wire_sets(sets: &[BTreeSet<Member>]) -> MemberSets {
    let wire = |set: &BTreeSet<Member>| MemberSet::from(set.iter().copied().collect::<Vec<_>>());
    sets.iter().map(wire).collect::<Vec<_>>().into()
}
