//! Decisions on the value that a round found, and changes of the membership.

use crate::sets::{is_joint, members_of, wire_sets};
use runtrack_message::{Member, Value};
use std::collections::BTreeSet;

/// What is to be done with the value that was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Nothing, but it must be chosen for sure.
    Read,
    /// This one takes its place.
    Propose(Value),
}

/// What a register holds before anything is written to it: no configuration, and its first members. A change of members may
/// build on it as on any other value.
pub fn initial_value(first: &BTreeSet<Member>) -> Value {
    Value {
        sequence: 0,
        version: 0,
        sets: wire_sets(std::slice::from_ref(first)),
        floor: 0,
        applied: Vec::new().into(),
        config: Vec::new().into(),
    }
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
