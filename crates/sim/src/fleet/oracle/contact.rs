//! Rules about the answers of a member that is cut off from all other core machines, and about one answer
//! per call.

use super::{Rule, Violation};
use crate::fleet::facts::{Call, CallKind, Disruption, Facts};
use crate::fleet::script::Script;
use std::time::Duration;

/// Time after which a member must have noticed that it is cut off.
pub(super) const CUT_DETECTION_BOUND: Duration = Duration::from_millis(1_100);
/// Contact that was proven before a cut counts for this long, on a clock that keeps running while the
/// process is frozen.
const CONTACT_LEASE: Duration = Duration::from_millis(800);
/// Allowance for timers and for messages that were in transit when the cut began.
const SLACK: Duration = Duration::from_millis(10);
/// Time within which a caller must get a definite answer.
const ANSWER_DEADLINE: Duration = Duration::from_millis(1_000);

/// Checks calls to members that are cut off, and calls with more than one answer.
pub fn check(script: &Script, facts: &Facts) -> Vec<Violation> {
    let mut violations = Vec::new();
    for disruption in facts
        .disruptions
        .iter()
        .filter(|disruption| disruption.isolates && !has_other_disruption(facts, disruption))
    {
        let calls = facts.calls.iter().enumerate();
        let calls = calls.filter(|(_, call)| is_during(disruption, call) && !was_reset(facts, call));
        violations.extend(calls.filter_map(|(number, call)| check_call(number, call)));
    }
    for disruption in facts.disruptions.iter().filter(|disruption| disruption.isolates) {
        violations.extend(check_stale_acknowledgement(script, facts, disruption));
    }
    let surplus = facts.calls.iter().enumerate().filter(|(_, call)| call.surplus);
    violations.extend(surplus.map(|(number, call)| {
        Violation::new(Rule::OneAnswer, call.began, format!("call {number} got more than one answer"))
    }));
    violations
}

/// Whether the machine had another disruption while it was cut off.
fn has_other_disruption(facts: &Facts, cut: &Disruption) -> bool {
    facts.disruptions.iter().any(|disruption| {
        let is_same_core = disruption.core == cut.core && !disruption.isolates && !disruption.disk_only;
        is_same_core && disruption.from <= cut.until && cut.from <= disruption.until + ANSWER_DEADLINE
    })
}

/// Finds a heartbeat that a member acknowledged after its contact had expired. The member may have been
/// frozen in between, with requests in its buffers, and its links may have been slow.
fn check_stale_acknowledgement(script: &Script, facts: &Facts, cut: &Disruption) -> Option<Violation> {
    let mut delay = Duration::from_millis(script.latency_ms.1.into()) + SLACK;
    for other in facts
        .disruptions
        .iter()
        .filter(|disruption| disruption.core == cut.core && !disruption.isolates && !disruption.disk_only)
    {
        let overlaps = other.from <= cut.until && other.until + ANSWER_DEADLINE >= cut.from;
        if overlaps && !other.freezes && other.delay.is_zero() {
            return None;
        }
        delay += other.delay;
    }
    let expired_at = cut.from + CONTACT_LEASE + delay;
    let mut calls = facts.calls.iter().enumerate().filter(|(_, call)| cut.core == Some(call.core));
    calls.find_map(|(number, call)| {
        let at = call.ended.filter(|at| (expired_at..cut.until).contains(at))?;
        let acknowledged = call.answer.as_ref().is_some_and(|answer| answer.status == 200);
        let is_heartbeat = matches!(call.asked, CallKind::Heartbeat(_));
        let what =
            format!("call {number} to core-{}: {:?}: 200 after its contact expired", call.core, call.asked);
        (is_heartbeat && acknowledged).then(|| Violation::new(Rule::CutOffSilent, at, what))
    })
}

fn is_during(cut: &Disruption, call: &Call) -> bool {
    let in_time = call.began >= cut.from + CUT_DETECTION_BOUND && call.began + ANSWER_DEADLINE <= cut.until;
    cut.core == Some(call.core) && in_time && call.connected && !call.left
}

/// Whether the caller's connection was reset during the call, in which case no answer of the member could
/// arrive.
fn was_reset(facts: &Facts, call: &Call) -> bool {
    let until = call.ended.unwrap_or(call.began + ANSWER_DEADLINE);
    facts.connection_resets.iter().any(|(core, at)| *core == call.core && call.began <= *at && *at <= until)
}

fn check_call(number: usize, call: &Call) -> Option<Violation> {
    let at = call.ended.unwrap_or(call.began + ANSWER_DEADLINE);
    let Some(answer) = call.answer.as_ref().filter(|_| at <= call.began + ANSWER_DEADLINE) else {
        let what = format!("call {number} to core-{}: {:?}: no answer", call.core, call.asked);
        return Some(Violation::new(Rule::CutOffAnswers, at, what));
    };
    let is_inconclusive = match call.asked {
        CallKind::Replace(_) => matches!(answer.status, 400 | 503),
        _ => answer.status == 503,
    };
    let what = format!("call {number} to core-{}: {:?}: {}", call.core, call.asked, answer.status);
    (!is_inconclusive).then(|| Violation::new(Rule::CutOffSilent, at, what))
}
