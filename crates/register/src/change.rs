//! Changes of the value: the operator's orders and the membership.

use crate::round::Decision;
use runtrack_message::{AppliedRequest, Member, MemberSet, Value};
use std::collections::BTreeSet;

/// Orders that are remembered as applied, so that one that comes again is acknowledged again.
const MAX_APPLIED_REQUESTS: usize = 512;

/// An operator's order: a whole configuration on top of a version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplaceConfig {
    /// The version that it builds on; 0 for the first.
    pub base: u64,
    /// Its own version.
    pub version: u64,
    /// Digest of its body and its base.
    pub digest: u64,
    /// As it came.
    pub body: Vec<u8>,
}

/// What a round found out about an order. It may be told once the round has ended well, not before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReplaceAnswer {
    /// It is, or was, in force.
    Applied,
    /// Another version is current.
    VersionMismatch(u64),
    /// Its version is not above the current one.
    VersionNotIncreasing(u64),
}

/// What a round on behalf of an order does with the value that it found.
pub type Step = (Decision, ReplaceAnswer);

impl ReplaceConfig {
    /// Decides on the value that was found; `first` are the members before the first value.
    pub fn decide(&self, current: Option<&Value>, first: &[BTreeSet<Member>]) -> Step {
        let applied = AppliedRequest { version: self.version, digest: self.digest };
        let version = current.map_or(0, |value| value.version);
        if current.is_some_and(|value| value.applied.items().contains(&applied)) {
            return (Decision::Read, ReplaceAnswer::Applied);
        }
        if version != self.base {
            return (Decision::Read, ReplaceAnswer::VersionMismatch(version));
        }
        if self.version <= version {
            return (Decision::Read, ReplaceAnswer::VersionNotIncreasing(version));
        }
        let mut list = current.map(|value| value.applied.items().to_vec()).unwrap_or_default();
        list.push(applied);
        let surplus = list.len().saturating_sub(MAX_APPLIED_REQUESTS);
        list.drain(..surplus);
        let value = Value {
            sequence: current.map_or(1, |value| value.sequence + 1),
            version: self.version,
            sets: current.map_or_else(|| wire_sets(first), |value| value.sets.clone()),
            applied: list.into(),
            config: self.body.clone().into(),
        };
        (Decision::Propose(value), ReplaceAnswer::Applied)
    }
}

/// The sets of a value. Who has accepted a value and knows no more may begin a round at all of its sets: a single set is
/// only ever written once the change to it is chosen.
pub fn sets_of(value: &Value) -> Vec<BTreeSet<Member>> {
    value.sets.items().iter().map(|set| set.items().iter().copied().collect()).collect()
}

fn wire_sets(sets: &[BTreeSet<Member>]) -> runtrack_message::MemberSets {
    let wire = |set: &BTreeSet<Member>| MemberSet::from(set.iter().copied().collect::<Vec<_>>());
    sets.iter().map(wire).collect::<Vec<_>>().into()
}

/// Whether more than half of a set is such.
pub(crate) fn has_majority(set: &BTreeSet<Member>, such: impl Fn(&Member) -> bool) -> bool {
    set.iter().filter(|member| such(member)).count() >= majority_of(set.len())
}

/// How many of so many members are a majority.
pub fn majority_of(members: usize) -> usize {
    members / 2 + 1
}

/// The members that are in force after a value: of its last set.
pub fn members_of(value: &Value) -> BTreeSet<Member> {
    sets_of(value).pop().unwrap_or_default()
}

/// Whether a change of membership has begun and is not over.
pub fn is_joint(value: &Value) -> bool {
    value.sets.items().len() > 1
}

fn with_sets(value: &Value, sets: &[BTreeSet<Member>]) -> Value {
    Value { sequence: value.sequence + 1, sets: wire_sets(sets), ..value.clone() }
}

/// The second half of a change of membership: the new set alone.
pub fn finish_membership(current: &Value) -> Decision {
    if !is_joint(current) {
        return Decision::Read;
    }
    Decision::Propose(with_sets(current, &[members_of(current)]))
}

/// The first half of a change of membership. Where the change of another is under way, that is finished first.
pub fn replace_members(current: &Value, next: &BTreeSet<Member>) -> Decision {
    if is_joint(current) {
        return finish_membership(current);
    }
    let before = members_of(current);
    if before == *next || next.is_empty() {
        return Decision::Read;
    }
    Decision::Propose(with_sets(current, &[before, next.clone()]))
}
