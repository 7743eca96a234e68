//! How the members change, as their disks show it: one at a time, the copies first, and nobody who can be reached.

use super::disks::{disk_state_at, is_connected, newest_acknowledged};
use super::{Rule, Violation};
use crate::fleet::facts::{DiskState, Facts, MemberId};
use std::collections::BTreeSet;
use std::time::Duration;

/// A missing copy is waited for so long before the next change: a quarter of `settleS`, and a little less.
const COPY_WAIT: Duration = Duration::from_millis(950);
/// A joining member may lack what was acknowledged so shortly before: it must hold what has been known for a second, and
/// who has the duty may hear of a change a moment after its acknowledgement.
const JOIN_LAG: Duration = Duration::from_millis(2_000);
/// What a disk holds is heard of this late: controllers probe each other every 250 ms and look at it every 200 ms.
const PROBE_DELAY: Duration = Duration::from_millis(500);
/// By then a process that started has found what is committed.
const STARTUP: Duration = Duration::from_millis(1_000);

/// A change of members, as it was first seen on a disk.
struct Change<'a> {
    at: Duration,
    old: &'a BTreeSet<MemberId>,
    new: &'a BTreeSet<MemberId>,
    /// When the old set was first seen alone, and the sequence number of that value.
    previous: Option<(Duration, u64)>,
}

/// Judges all changes of members.
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

/// The changes that were begun, each one once.
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

/// When a set was first seen to be in force alone, since the last change to it below this sequence number.
fn first_in_force(states: &[DiskState], set: &BTreeSet<MemberId>, below: u64) -> Option<(Duration, u64)> {
    let to_it = states.iter().filter(|state| state.sets.len() == 2 && state.sets[1] == *set);
    let begun = to_it.map(|state| state.sequence).filter(|sequence| *sequence < below).max().unwrap_or(0);
    let alone = |state: &&DiskState| {
        state.sets.len() == 1 && state.sets[0] == *set && state.sequence > begun && state.sequence < below
    };
    states.iter().find(alone).map(|state| (state.at, state.sequence))
}

/// Since when a copy may have been missed that changes wait for: of the first value, of one with other members than the
/// value before it, and of whatever a process has found at its start.
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
        let (gone, come) = (self.old.difference(self.new).count(), self.new.difference(self.old).count());
        (gone > 1 || come > 1).then(|| {
            let what = format!("{gone} members go and {come} come at once");
            Violation::new(Rule::OneChange, self.at, what)
        })
    }

    /// Members that stay and can be reached hold the value of the change before, or have lacked it for long.
    fn check_copies_first(&self, facts: &Facts) -> Option<Violation> {
        let (since, sequence) = self.previous.filter(|(since, _)| self.at < *since + COPY_WAIT)?;
        let lacks = |(core, incarnation): &&MemberId| {
            let Some(state) = disk_state_at(facts, *core, self.at) else { return false };
            let lacks = state.incarnation == *incarnation && state.sequence < sequence;
            // It may not have been heard of any better before the change came into force.
            let heard = disk_state_at(facts, *core, since.saturating_sub(PROBE_DELAY)).unwrap_or(state);
            let overdue = lacks && missing_since(facts, heard) + COPY_WAIT <= self.at;
            lacks && !overdue && is_connected(facts, *core, self.at)
        };
        let (core, _) = self.old.intersection(self.new).find(lacks)?;
        let what = format!("members change while core-{core} lacks the change of {since:?}");
        Some(Violation::new(Rule::CopiesFirst, self.at, what))
    }

    /// Who becomes a member holds what has been acknowledged. What its disk has lost right before the change nobody can know.
    fn check_joiner_copy(&self, facts: &Facts) -> Option<Violation> {
        let least = newest_acknowledged(facts, self.at.saturating_sub(JOIN_LAG));
        let lacks_at = |(core, incarnation): &MemberId, at: Duration| {
            let state = disk_state_at(facts, *core, at);
            state.is_none_or(|state| state.incarnation != *incarnation || state.version < least)
        };
        let lacks = |member: &&MemberId| {
            let had_it = facts.disk_states.iter().any(|state| {
                let heard = state.at + PROBE_DELAY >= self.at && state.at <= self.at;
                state.core == member.0 && heard && !lacks_at(member, state.at)
            });
            let had_it = had_it || !lacks_at(member, self.at.saturating_sub(PROBE_DELAY));
            lacks_at(member, self.at) && !had_it
        };
        let (core, _) = self.new.difference(self.old).find(lacks).filter(|_| least > 0)?;
        let what = format!("core-{core} becomes a member without version {least}");
        Some(Violation::new(Rule::JoinsWhole, self.at, what))
    }

    /// A member on a machine that is well stays, unless it was told to end or its disk holds another member by now.
    fn check_member_stays(&self, facts: &Facts) -> Option<Violation> {
        let is_healthy = |(core, incarnation): &&MemberId| {
            disk_state_at(facts, *core, self.at).is_some_and(|state| state.incarnation == *incarnation)
                && is_connected(facts, *core, self.at)
        };
        let (core, _) = self.old.difference(self.new).find(is_healthy)?;
        Some(Violation::new(
            Rule::MemberStays,
            self.at,
            format!("core-{core} is well and no member any more"),
        ))
    }
}
