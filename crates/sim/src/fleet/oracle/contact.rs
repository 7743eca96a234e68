//! What a member that is cut off from all others of the core may say, and one answer to each caller.

use super::{Breach, Rule};
use crate::fleet::facts::{Asked, Call, Facts, Harm};
use std::time::Duration;

/// From the cut on, until the member must know of it.
const KNOWS: Duration = Duration::from_millis(1_100);
/// A caller waits so long for a clear answer.
const CLEAR: Duration = Duration::from_millis(1_000);

/// Judges calls to members that are cut off, and surplus answers.
pub fn judge(facts: &Facts) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for harm in facts.harms.iter().filter(|harm| harm.isolates && !disturbed(facts, harm)) {
        let calls = facts.calls.iter().enumerate();
        let calls = calls.filter(|(_, call)| within(harm, call) && !reset(facts, call));
        breaches.extend(calls.filter_map(|(number, call)| judge_call(number, call)));
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
