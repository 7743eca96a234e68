//! What must be on the disks of core machines, and when: copies that were missed, older copies that were put back, and
//! who is told to end.

use super::{Breach, Rule};
use crate::fleet::facts::{Asked, DiskState, Ending, Facts, PutBack};
use crate::fleet::script::{SETTLE, Script};
use std::time::Duration;

/// A leaving member waits so long for the copies of the others: a quarter of `graceS`, and a little less.
const HAND_OVER: Duration = Duration::from_millis(1_950);
/// What was acknowledged so long ago is known to all that are in touch.
const KNOWN: Duration = Duration::from_millis(1_000);
/// Machines that nothing has befallen for so long are in touch.
const IN_TOUCH: Duration = Duration::from_millis(4_000);

/// Judges what was on the disks.
pub fn judge(script: &Script, facts: &Facts) -> Vec<Breach> {
    let mut breaches: Vec<Breach> = facts.put_backs.iter().filter_map(|back| older(facts, back)).collect();
    breaches.extend(facts.endings.iter().filter_map(|ending| hands_over(facts, ending)));
    breaches.extend(copies_made_up_for(script, facts));
    breaches
}

/// What a disk held at a moment.
pub(super) fn held(facts: &Facts, core: u32, at: Duration) -> Option<&DiskState> {
    facts.disk_states.iter().rev().find(|state| state.core == core && state.at <= at)
}

/// The newest version that was acknowledged by then.
pub(super) fn acknowledged(facts: &Facts, by: Duration) -> u64 {
    let versions = facts.calls.iter().filter_map(|call| {
        let Asked::Replace(order) = call.asked else { return None };
        let taken = call.answer.as_ref().is_some_and(|answer| answer.status == 200);
        (taken && call.ended? <= by).then(|| facts.orders[order].version)
    });
    versions.max().unwrap_or(0)
}

/// Whether a machine and its links were well for a while up to a moment, whatever its disk did.
pub(super) fn in_touch(facts: &Facts, core: u32, until: Duration) -> bool {
    let from = until.saturating_sub(IN_TOUCH);
    let mut harms = facts.harms.iter().filter(|harm| harm.core == Some(core) && !harm.disk);
    let started = facts.disk_states.iter().find(|state| state.core == core);
    let gone = facts.gone.iter().any(|(gone, at)| *gone == core && *at <= until);
    !gone
        && started.is_some_and(|first| first.at <= from)
        && harms.all(|harm| harm.until < from || harm.from > until)
}

/// A member that goes on with an older disk has forgotten what it owes.
fn older(facts: &Facts, back: &PutBack) -> Option<Breach> {
    let went_on = facts.disk_states.iter().find(|state| {
        let same = state.core == back.core && state.incarnation == back.incarnation;
        same && state.at > back.at && state.sequence > back.sequence
    });
    let state = went_on.filter(|_| back.older)?;
    let what = format!("core-{} goes on as the same member with an older disk", back.core);
    Some(Breach::new(Rule::OlderDisk, state.at, what))
}

/// Who ends before its time for that is up leaves no machine in touch without what was acknowledged.
fn hands_over(facts: &Facts, ending: &Ending) -> Option<Breach> {
    let ended = ending.ended.filter(|ended| *ended < ending.told + HAND_OVER)?;
    let least = acknowledged(facts, ending.told.saturating_sub(KNOWN));
    // It must itself have been in touch, up to the moment at which it was told to end.
    let members = &held(facts, ending.core, ending.told).filter(|_| in_touch_before(facts, ending))?.sets;
    let others = members.last()?.iter().filter(|(core, _)| *core != ending.core);
    let lacks = |(core, incarnation): &&(u32, u64)| {
        let state = held(facts, *core, ended);
        state.is_some_and(|state| state.incarnation == *incarnation && state.version < least)
            && in_touch(facts, *core, ended)
    };
    let (core, _) = others.clone().find(lacks)?;
    let what = format!("core-{} ends while core-{core} lacks version {least}", ending.core);
    Some(Breach::new(Rule::HandsOver, ended, what))
}

fn in_touch_before(facts: &Facts, ending: &Ending) -> bool {
    in_touch(facts, ending.core, ending.told.saturating_sub(Duration::from_millis(1)))
}

/// Once all is mended, copies that were missed are made up for, though nothing changes any more.
fn copies_made_up_for(script: &Script, facts: &Facts) -> Option<Breach> {
    let at = facts.healed + SETTLE;
    let newest = acknowledged(facts, facts.healed);
    let states = facts.disks.keys().filter_map(|core| held(facts, *core, at));
    let (whole, lacking): (Vec<_>, Vec<_>) = states.partition(|state| state.version >= newest);
    let wanted = (2 * script.tolerance as usize + 1).min(whole.len() + lacking.len());
    (whole.len() < wanted).then(|| {
        let what = format!("version {newest} is on {} disks, not on {wanted}", whole.len());
        Breach::new(Rule::Copies, at, what)
    })
}
