//! What a member that is cut off from all others of the core may say, and one answer to each caller.

use super::{Breach, Rule};
use crate::fleet::facts::{Asked, Call, Facts, Harm};
use crate::fleet::script::Script;
use std::time::Duration;

/// From the cut on, until the member must know of it.
pub(super) const KNOWS: Duration = Duration::from_millis(1_100);
/// What was proven before a cut counts for so long, on a clock that runs on while the process stands still.
const LEASE: Duration = Duration::from_millis(800);
/// Timers, and what was on its way when the cut began.
const SLACK: Duration = Duration::from_millis(10);
/// A caller waits so long for a clear answer.
const CLEAR: Duration = Duration::from_millis(1_000);

/// Judges calls to members that are cut off, and surplus answers.
pub fn judge(script: &Script, facts: &Facts) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for harm in facts.harms.iter().filter(|harm| harm.isolates && !disturbed(facts, harm)) {
        let calls = facts.calls.iter().enumerate();
        let calls = calls.filter(|(_, call)| within(harm, call) && !reset(facts, call));
        breaches.extend(calls.filter_map(|(number, call)| judge_call(number, call)));
    }
    for harm in facts.harms.iter().filter(|harm| harm.isolates) {
        breaches.extend(acknowledged_late(script, facts, harm));
    }
    let surplus = facts.calls.iter().enumerate().filter(|(_, call)| call.surplus);
    breaches.extend(surplus.map(|(number, call)| {
        Breach::new(Rule::OneAnswer, call.began, format!("call {number} has got more than an answer"))
    }));
    breaches
}

/// Whether something else was wrong with the machine while it was cut off.
fn disturbed(facts: &Facts, cut: &Harm) -> bool {
    facts.harms.iter().any(|harm| {
        let same = harm.core == cut.core && !harm.isolates && !harm.disk;
        same && harm.from <= cut.until && cut.from <= harm.until + CLEAR
    })
}

/// A heartbeat that a member acknowledges after all its contact has become old. It may have stood still meanwhile, with
/// whatever was in its buffers, and its links may have been slow.
fn acknowledged_late(script: &Script, facts: &Facts, cut: &Harm) -> Option<Breach> {
    let mut delay = Duration::from_millis(script.latency_ms.1.into()) + SLACK;
    for other in facts.harms.iter().filter(|harm| harm.core == cut.core && !harm.isolates && !harm.disk) {
        let meets = other.from <= cut.until && other.until + CLEAR >= cut.from;
        if meets && !other.stands_still && other.delay.is_zero() {
            return None;
        }
        delay += other.delay;
    }
    let old = cut.from + LEASE + delay;
    let mut calls = facts.calls.iter().enumerate().filter(|(_, call)| cut.core == Some(call.core));
    calls.find_map(|(number, call)| {
        let at = call.ended.filter(|at| (old..cut.until).contains(at))?;
        let acknowledged = call.answer.as_ref().is_some_and(|answer| answer.status == 200);
        let heartbeat = matches!(call.asked, Asked::Heartbeat(_));
        let what = format!("call {number} to core-{}: {:?}: 200 on old contact", call.core, call.asked);
        (heartbeat && acknowledged).then(|| Breach::new(Rule::CutOffSilent, at, what))
    })
}

fn within(cut: &Harm, call: &Call) -> bool {
    let in_time = call.began >= cut.from + KNOWS && call.began + CLEAR <= cut.until;
    cut.core == Some(call.core) && in_time && call.connected && !call.left
}

/// Whether the caller's connection was reset on its way: then nothing that the member said could come.
fn reset(facts: &Facts, call: &Call) -> bool {
    let until = call.ended.unwrap_or(call.began + CLEAR);
    facts.resets.iter().any(|(core, at)| *core == call.core && call.began <= *at && *at <= until)
}

fn judge_call(number: usize, call: &Call) -> Option<Breach> {
    let at = call.ended.unwrap_or(call.began + CLEAR);
    let Some(answer) = call.answer.as_ref().filter(|_| at <= call.began + CLEAR) else {
        let what = format!("call {number} to core-{}: {:?}: no answer", call.core, call.asked);
        return Some(Breach::new(Rule::CutOffAnswers, at, what));
    };
    let says_nothing = match call.asked {
        Asked::Replace(_) => matches!(answer.status, 400 | 503),
        _ => answer.status == 503,
    };
    let what = format!("call {number} to core-{}: {:?}: {}", call.core, call.asked, answer.status);
    (!says_nothing).then(|| Breach::new(Rule::CutOffSilent, at, what))
}
