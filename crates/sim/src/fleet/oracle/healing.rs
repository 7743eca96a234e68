//! Rules for the time after the last fault: changes and reads succeed, and there are enough copies.

use super::{Rule, Violation};
use crate::fleet::facts::{CallKind, Facts};
use crate::fleet::script::Script;
use std::time::Duration;

/// Checks the end of a run.
pub fn check(script: &Script, facts: &Facts) -> Vec<Violation> {
    let mut violations = Vec::new();
    if !facts.last_acknowledged {
        let what = "no change is acknowledged after the last fault";
        violations.push(Violation::new(Rule::Heals, facts.end, what));
    }
    for core in &facts.unreadable_cores {
        violations.push(Violation::new(
            Rule::Heals,
            facts.end,
            format!("core-{core} gives no definite answer"),
        ));
    }
    for (name, at, problem) in
        facts.exits.iter().filter(|(name, at, _)| !is_stale_disk_exit(facts, name, *at))
    {
        violations.push(Violation::new(Rule::Runs, *at, format!("{name}: {problem}")));
    }
    violations.extend(check_copies(script, facts).filter(|_| facts.last_acknowledged));
    violations
}

/// Whether the process ended because its disk had been rolled back; it returns as another member.
fn is_stale_disk_exit(facts: &Facts, name: &str, at: Duration) -> bool {
    facts
        .disk_rollbacks
        .iter()
        .any(|rollback| format!("core-{}", rollback.core) == name && rollback.at <= at)
}

fn check_copies(script: &Script, facts: &Facts) -> Option<Violation> {
    let versions = facts.calls.iter().filter_map(|call| {
        let CallKind::Replace(change) = call.asked else { return None };
        let accepted = call.answer.as_ref().is_some_and(|answer| answer.status == 200);
        accepted.then(|| facts.changes[change].version)
    });
    let newest = versions.max()?;
    let complete =
        facts.final_disks.values().filter(|disk| disk.is_some_and(|(version, _)| version >= newest));
    let (complete, required) =
        (complete.count(), (2 * script.tolerance as usize + 1).min(facts.final_disks.len()));
    (complete < required).then(|| {
        let what = format!("version {newest} is on {complete} disks instead of {required}");
        Violation::new(Rule::Copies, facts.end, what)
    })
}
