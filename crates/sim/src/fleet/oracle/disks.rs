//! Rules about the content of core machines' disks: missed copies are repaired, disks that were rolled back
//! are not used again, and terminating members hand over.

use super::{Rule, Violation};
use crate::fleet::facts::{CallKind, DiskRollback, DiskState, Facts, Termination};
use crate::fleet::script::{RECOVERY_TIME, Script};
use std::time::Duration;

/// A terminating member waits this long for the copies of the others: slightly less than a quarter of
/// `graceS`.
const HAND_OVER_WAIT: Duration = Duration::from_millis(1_950);
/// What was acknowledged this long ago is known to all connected members.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_000);
/// A machine that has not been disrupted for this long is connected.
const STABLE_PERIOD: Duration = Duration::from_millis(4_000);

/// Checks the content of the disks.
pub fn check(script: &Script, facts: &Facts) -> Vec<Violation> {
    let mut violations: Vec<Violation> =
        facts.disk_rollbacks.iter().filter_map(|rollback| check_stale_disk(facts, rollback)).collect();
    violations
        .extend(facts.terminations.iter().filter_map(|termination| check_hand_over(facts, termination)));
    violations.extend(check_missed_copies(script, facts));
    violations
}

/// What a disk held at a given time.
pub(super) fn disk_state_at(facts: &Facts, core: u32, at: Duration) -> Option<&DiskState> {
    facts.disk_states.iter().rev().find(|state| state.core == core && state.at <= at)
}

/// The newest version that was acknowledged by the given time.
pub(super) fn newest_acknowledged(facts: &Facts, by: Duration) -> u64 {
    let versions = facts.calls.iter().filter_map(|call| {
        let CallKind::Replace(change) = call.asked else { return None };
        let accepted = call.answer.as_ref().is_some_and(|answer| answer.status == 200);
        (accepted && call.ended? <= by).then(|| facts.changes[change].version)
    });
    versions.max().unwrap_or(0)
}

/// Whether a machine and its links had no disruption for a while before the given time, whatever its disk
/// did.
pub(super) fn is_connected(facts: &Facts, core: u32, until: Duration) -> bool {
    let from = until.saturating_sub(STABLE_PERIOD);
    let mut disruptions = facts
        .disruptions
        .iter()
        .filter(|disruption| disruption.core == Some(core) && !disruption.disk_only);
    let started = facts.disk_states.iter().find(|state| state.core == core);
    let is_removed = facts.removed_cores.iter().any(|(removed, at)| *removed == core && *at <= until);
    !is_removed
        && started.is_some_and(|first| first.at <= from)
        && disruptions.all(|disruption| disruption.until < from || disruption.from > until)
}

/// A member that resumes from an older state of its disk has lost promises that it made.
fn check_stale_disk(facts: &Facts, rollback: &DiskRollback) -> Option<Violation> {
    let resumed = facts.disk_states.iter().find(|state| {
        let same = state.core == rollback.core && state.incarnation == rollback.incarnation;
        same && state.at > rollback.at && state.sequence > rollback.sequence
    });
    let state = resumed.filter(|_| rollback.is_stale)?;
    let what = format!("core-{} resumes as the same member with an older disk", rollback.core);
    Some(Violation::new(Rule::OlderDisk, state.at, what))
}

/// A member that ends before its wait is over leaves no connected machine without what was acknowledged.
fn check_hand_over(facts: &Facts, termination: &Termination) -> Option<Violation> {
    let ended = termination.ended.filter(|ended| *ended < termination.requested + HAND_OVER_WAIT)?;
    let least = newest_acknowledged(facts, termination.requested.saturating_sub(PROPAGATION_TIME));
    // The member itself must have been connected up to the request to terminate.
    let members = &disk_state_at(facts, termination.core, termination.requested)
        .filter(|_| was_connected_before(facts, termination))?
        .sets;
    let others = members.last()?.iter().filter(|(core, _)| *core != termination.core);
    let lacks = |(core, incarnation): &&(u32, u64)| {
        let state = disk_state_at(facts, *core, ended);
        state.is_some_and(|state| state.incarnation == *incarnation && state.version < least)
            && is_connected(facts, *core, ended)
    };
    let (core, _) = others.clone().find(lacks)?;
    let what = format!("core-{} terminates while core-{core} lacks version {least}", termination.core);
    Some(Violation::new(Rule::HandsOver, ended, what))
}

fn was_connected_before(facts: &Facts, termination: &Termination) -> bool {
    is_connected(facts, termination.core, termination.requested.saturating_sub(Duration::from_millis(1)))
}

/// After the last fault, missed copies are repaired even if no further change is made.
fn check_missed_copies(script: &Script, facts: &Facts) -> Option<Violation> {
    let at = facts.healed_at + RECOVERY_TIME;
    let newest = newest_acknowledged(facts, facts.healed_at);
    let states = facts.final_disks.keys().filter_map(|core| disk_state_at(facts, *core, at));
    let (complete, lacking): (Vec<_>, Vec<_>) = states.partition(|state| state.version >= newest);
    let required = (2 * script.tolerance as usize + 1).min(complete.len() + lacking.len());
    (complete.len() < required).then(|| {
        let what = format!("version {newest} is on {} disks instead of {required}", complete.len());
        Violation::new(Rule::Copies, at, what)
    })
}
