//! Rules about membership changes, as the members' disks show them: one at a time, only after the previous
//! change has been copied, and without removing members that can be reached.

use super::disks::{disk_state_at, is_connected, newest_acknowledged};
use super::{Rule, Violation};
use crate::fleet::facts::{DiskState, Facts, MemberId};
use std::collections::BTreeSet;
use std::time::Duration;

/// A change waits this long for missing copies of the previous one: slightly less than a quarter of
/// `settleS`.
const COPY_WAIT: Duration = Duration::from_millis(950);
/// A joining member may lack changes acknowledged this shortly before. It must hold what has been known for
/// a second, and the coordinator may learn of a change slightly after its acknowledgement.
const JOIN_LAG: Duration = Duration::from_millis(2_000);
/// Delay until others learn what a disk holds: controllers probe each other every 250 ms and check the
/// results every 200 ms.
const PROBE_DELAY: Duration = Duration::from_millis(500);
/// Time within which a started process has learned the committed value.
const STARTUP: Duration = Duration::from_millis(1_000);

/// A membership change, as first seen on a disk.
struct Change<'a> {
    at: Duration,
    old: &'a BTreeSet<MemberId>,
    new: &'a BTreeSet<MemberId>,
    /// When the old set was first seen as the only one, and the sequence number of that value.
    previous: Option<(Duration, u64)>,
}

/// Checks all membership changes.
pub fn check(facts: &Facts) -> Vec<Violation> {
    let mut violations = Vec::new();
    for change in changes(&facts.disk_states) {
        violations.extend(change.check_one_at_a_time());
        violations.extend(change.check_copies_first(facts));
        violations.extend(change.check_joiner_copy(facts));
        violations.extend(change.check_member_stays(facts));
    }
    violations
}

/// All membership changes that were started, each once.
fn changes(states: &[DiskState]) -> Vec<Change<'_>> {
    let mut changes: Vec<Change> = Vec::new();
    for (index, state) in states.iter().enumerate() {
        let [old, new] = state.sets.as_slice() else { continue };
        let previous = first_in_force(&states[..index], old, state.sequence);
        let seen = |change: &Change| change.old == old && change.new == new && change.previous == previous;
        if !changes.iter().any(seen) {
            changes.push(Change { at: state.at, old, new, previous });
        }
    }
    changes
}

/// When a set was first seen as the only one since the last change to it, considering values below the
/// given sequence number.
fn first_in_force(states: &[DiskState], set: &BTreeSet<MemberId>, below: u64) -> Option<(Duration, u64)> {
    let to_it = states.iter().filter(|state| state.sets.len() == 2 && state.sets[1] == *set);
    let begun = to_it.map(|state| state.sequence).filter(|sequence| *sequence < below).max().unwrap_or(0);
    let alone = |state: &&DiskState| {
        state.sets.len() == 1 && state.sets[0] == *set && state.sequence > begun && state.sequence < below
    };
    states.iter().find(alone).map(|state| (state.at, state.sequence))
}

/// Since when a copy that changes wait for may have been missing. Changes wait for the first value, for a
/// value whose members differ from those of the value before it, and for any value that a process finds at
/// its start.
fn missing_since(facts: &Facts, held: &DiskState) -> Duration {
    let newer = || facts.disk_states.iter().filter(|state| state.sequence > held.sequence);
    let changed = newer().find(|state| {
        let same = |other: &&DiskState| other.sequence + 1 == state.sequence && other.sets == state.sets;
        !facts.disk_states.iter().any(|other| same(&other))
    });
    let first = newer().next().map(|state| state.at);
    let after =
        |(_, start): &(u32, Duration)| first.filter(|at| *at <= *start + STARTUP).map(|at| at.max(*start));
    let found = facts.core_starts.iter().filter_map(after);
    found.chain(changed.map(|state| state.at)).min().unwrap_or(Duration::MAX)
}

impl Change<'_> {
    fn check_one_at_a_time(&self) -> Option<Violation> {
        let (removed, added) =
            (self.old.difference(self.new).count(), self.new.difference(self.old).count());
        (removed > 1 || added > 1).then(|| {
            let what = format!("{removed} members are removed and {added} added at once");
            Violation::new(Rule::OneChange, self.at, what)
        })
    }

    /// Members that stay and can be reached hold the value of the previous change, or have lacked it for
    /// long.
    fn check_copies_first(&self, facts: &Facts) -> Option<Violation> {
        let (since, sequence) = self.previous.filter(|(since, _)| self.at < *since + COPY_WAIT)?;
        let lacks = |(core, incarnation): &&MemberId| {
            let Some(state) = disk_state_at(facts, *core, self.at) else { return false };
            let lacks = state.incarnation == *incarnation && state.sequence < sequence;
            // The others may not have learned of its current state before the previous change took effect.
            let known = disk_state_at(facts, *core, since.saturating_sub(PROBE_DELAY)).unwrap_or(state);
            let overdue = lacks && missing_since(facts, known) + COPY_WAIT <= self.at;
            lacks && !overdue && is_connected(facts, *core, self.at)
        };
        let (core, _) = self.old.intersection(self.new).find(lacks)?;
        let what = format!("membership changes while core-{core} lacks the change of {since:?}");
        Some(Violation::new(Rule::CopiesFirst, self.at, what))
    }

    /// A member that joins holds what has been acknowledged. What its disk lost just before the change
    /// cannot be known to the others.
    fn check_joiner_copy(&self, facts: &Facts) -> Option<Violation> {
        let least = newest_acknowledged(facts, self.at.saturating_sub(JOIN_LAG));
        let lacks_version_at = |(core, incarnation): &MemberId, at: Duration| {
            let state = disk_state_at(facts, *core, at);
            state.is_none_or(|state| state.incarnation != *incarnation || state.version < least)
        };
        let lacks = |member: &&MemberId| {
            let held_before = facts.disk_states.iter().any(|state| {
                let is_recent = state.at + PROBE_DELAY >= self.at && state.at <= self.at;
                state.core == member.0 && is_recent && !lacks_version_at(member, state.at)
            });
            let held_before = held_before || !lacks_version_at(member, self.at.saturating_sub(PROBE_DELAY));
            lacks_version_at(member, self.at) && !held_before
        };
        let (core, _) = self.new.difference(self.old).find(lacks).filter(|_| least > 0)?;
        let what = format!("core-{core} becomes a member without version {least}");
        Some(Violation::new(Rule::JoinsWhole, self.at, what))
    }

    /// A member on a healthy machine is not removed, unless it was terminated or its disk holds another
    /// member by now.
    fn check_member_stays(&self, facts: &Facts) -> Option<Violation> {
        let is_healthy = |(core, incarnation): &&MemberId| {
            disk_state_at(facts, *core, self.at).is_some_and(|state| state.incarnation == *incarnation)
                && is_connected(facts, *core, self.at)
        };
        let (core, _) = self.old.difference(self.new).find(is_healthy)?;
        Some(Violation::new(Rule::MemberStays, self.at, format!("core-{core} is healthy but was removed")))
    }
}
