//! Minimizes a script that violates a rule: fewer faults and requests, shorter and rounder times, while the same rule is
//! still violated (delta debugging, Zeller and Hildebrandt 2002).

use crate::oracle::Rule;
use crate::run::run;
use crate::script::Script;

/// Most runs: enough for scripts with hundreds of requests, and a bound in any case.
const MAX_RUNS: usize = 3_000;

/// Returns the minimized script and the number of runs.
pub fn shrink(script: &Script, rule: Rule, mut progress: impl FnMut(usize)) -> (Script, usize) {
    let mut runs = 0;
    let mut breaks = |candidate: &Script| {
        runs += 1;
        runs <= MAX_RUNS && run(candidate, false).violations.iter().any(|breach| breach.rule == rule)
    };
    let mut best = script.clone();
    loop {
        let before = best.clone();
        best = minimize_list(best, |s| &mut s.faults, &mut breaks);
        best = minimize_list(best, |s| &mut s.asks, &mut breaks);
        for simpler in simplifications(&best) {
            if breaks(&simpler) {
                best = simpler;
            }
        }
        best = round_times(best, &mut breaks);
        progress(best.asks.len() + best.faults.len());
        if best == before {
            return (best, runs);
        }
    }
}

/// Removes parts of one list of a script, large ones first, as long as the rest still violates the rule.
pub fn minimize_list<S: Clone, T>(
    mut best: S,
    list: impl Fn(&mut S) -> &mut Vec<T>,
    breaks: &mut impl FnMut(&S) -> bool,
) -> S {
    let mut part = list(&mut best).len().div_ceil(2);
    while part > 0 {
        let mut at = 0;
        while at < list(&mut best).len() {
            let mut candidate = best.clone();
            let items = list(&mut candidate);
            items.drain(at..(at + part).min(items.len()));
            match breaks(&candidate) {
                true => best = candidate,
                false => at += part,
            }
        }
        part = if part == 1 { 0 } else { part.div_ceil(2) };
    }
    best
}

/// Variants of the script with one setting simplified.
fn simplifications(script: &Script) -> Vec<Script> {
    let with = |change: &dyn Fn(&mut Script)| {
        let mut changed = script.clone();
        change(&mut changed);
        changed
    };
    let candidates = [
        with(&|s| s.split = 0),
        with(&|s| s.latency_ms = (1, 1)),
        with(&|s| s.sidecars = 1),
        with(&|s| s.asks.iter_mut().for_each(|ask| ask.client %= 2)),
        with(&|s| s.asks.iter_mut().for_each(|ask| ask.wait = 1_000)),
    ];
    candidates.into_iter().filter(|candidate| candidate != script).collect()
}

/// Rounds times down to whole seconds, or else tenths, where the rule stays violated.
fn round_times(mut best: Script, breaks: &mut impl FnMut(&Script) -> bool) -> Script {
    for n in 0..best.faults.len() {
        for unit in [1_000, 100] {
            let mut candidate = best.clone();
            let (at, lasts) = candidate.faults[n].timing_mut();
            *at -= *at % unit;
            if let Some(lasts) = lasts {
                *lasts = (*lasts / unit).max(1) * unit;
            }
            if candidate != best && breaks(&candidate) {
                best = candidate;
                break;
            }
        }
    }
    for n in 0..best.asks.len() {
        for unit in [1_000, 100] {
            let mut candidate = best.clone();
            candidate.asks[n].at = (candidate.asks[n].at / unit).max(1) * unit;
            if candidate != best && breaks(&candidate) {
                best = candidate;
                break;
            }
        }
    }
    best
}
