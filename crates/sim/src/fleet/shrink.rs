//! Makes a script that breaks a rule small: fewer faults, requests and endpoints, with the same rule still broken.

use crate::fleet::oracle::Rule;
use crate::fleet::run::run;
use crate::fleet::script::Script;
use crate::shrink::minimize_list;

/// Runs that are enough for a script of this size, in most cases.
pub const RUNS: usize = 600;

/// The smaller script, after so many runs at most, and how many it took.
pub fn shrink(script: &Script, rule: Rule, runs_most: usize) -> (Script, usize) {
    let mut runs = 0;
    let mut breaks = |candidate: &Script| {
        runs += 1;
        runs <= runs_most && run(candidate, false).breaches.iter().any(|breach| breach.rule == rule)
    };
    let mut best = script.clone();
    loop {
        let before = best.clone();
        best = minimize_list(best, |script| &mut script.faults, &mut breaks);
        best = minimize_list(best, |script| &mut script.requests, &mut breaks);
        best = minimize_list(best, |script| &mut script.endpoints, &mut breaks);
        for simpler in simpler(&best) {
            if breaks(&simpler) {
                best = simpler;
            }
        }
        if best == before {
            return (best, runs);
        }
    }
}

/// Scripts that differ in one setting, each simpler.
fn simpler(script: &Script) -> Vec<Script> {
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
