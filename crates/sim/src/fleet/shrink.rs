//! Shrinks a script that breaks a rule: removes faults, requests and endpoints as long as the same rule is
//! still broken.

use crate::fleet::oracle::Rule;
use crate::fleet::run::run;
use crate::fleet::script::Script;
use crate::shrink::minimize_list;

/// Number of runs that usually suffices to shrink a script.
pub const DEFAULT_MAX_RUNS: usize = 600;

/// Shrinks a script with at most `max_runs` runs; returns the smaller script and the number of runs made.
pub fn shrink(script: &Script, rule: Rule, max_runs: usize) -> (Script, usize) {
    let mut runs = 0;
    let mut still_violates = |candidate: &Script| {
        runs += 1;
        runs <= max_runs && run(candidate, false).violations.iter().any(|violation| violation.rule == rule)
    };
    let mut best = script.clone();
    loop {
        let before = best.clone();
        best = minimize_list(best, |script| &mut script.faults, &mut still_violates);
        best = minimize_list(best, |script| &mut script.requests, &mut still_violates);
        best = minimize_list(best, |script| &mut script.endpoints, &mut still_violates);
        for simpler in simplifications(&best) {
            if still_violates(&simpler) {
                best = simpler;
            }
        }
        if best == before {
            return (best, runs);
        }
    }
}

/// Variants of the script with one setting simplified.
fn simplifications(script: &Script) -> Vec<Script> {
    let with = |change: &dyn Fn(&mut Script)| {
        let mut changed = script.clone();
        change(&mut changed);
        changed
    };
    let candidates = [
        with(&|script| script.split = 0),
        with(&|script| script.latency_ms = (1, 1)),
        with(&|script| script.agents = 1),
    ];
    candidates.into_iter().filter(|candidate| candidate != script).collect()
}
