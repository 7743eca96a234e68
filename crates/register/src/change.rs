//! Decisions on the value that a round found, and the two halves of a change of membership (joint sets: Ongaro's thesis
//! 2014, 4.3, applied to a register; the paper on CASPaxos changes acceptors one at a time instead: Rystsov 2018, "Cluster
//! membership change").
//!
//! `request.rs` decides on operators' requests; which change of members is due is decided in `membership.rs`.

use crate::sets::{is_joint, members_of, wire_sets};
use runtrack_message::{Member, Value};
use std::collections::BTreeSet;

/// What a round does with the value that it found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It answers with that value, once it is known to be chosen.
    Read,
    /// It proposes this value in place of the one found.
    Propose(Value),
}

/// The value of a register that nothing was written to: no configuration, and its first members. A change of members may
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

/// The second half of a change of membership: the new set alone. Reads where no change is in progress.
pub fn finish_membership(current: &Value) -> Decision {
    if !is_joint(current) {
        return Decision::Read;
    }
    Decision::Propose(with_sets(current, &[members_of(current)]))
}

/// The first half of a change of membership: joint sets of the current members and the next. Where a change is in progress,
/// that one is finished first, so that there are never more than two sets. Reads where `next` is empty or in force.
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
