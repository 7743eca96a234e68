//! Makes a script that breaks a rule small: fewer faults, fewer requests, shorter and rounder times, with the same rule
//! still broken (delta debugging, Zeller and Hildebrandt 2002).

use crate::oracle::Rule;
use crate::run::run;
use crate::script::Script;

/// Runs at most: enough for hundreds of requests, and an end in any case.
const RUNS_MOST: usize = 3_000;

/// The smaller script, and how many runs that took.
pub fn shrink(script: &Script, rule: Rule, mut progress: impl FnMut(usize)) -> (Script, usize) {
    let mut runs = 0;
    let mut breaks = |candidate: &Script| {
        runs += 1;
        runs <= RUNS_MOST && run(candidate, false).breaches.iter().any(|breach| breach.rule == rule)
    };
    let mut best = script.clone();
    loop {
        let before = best.clone();
        best = minimize_list(best, |s| &mut s.faults, &mut breaks);
        best = minimize_list(best, |s| &mut s.asks, &mut breaks);
        for simpler in simpler(&best) {
            if breaks(&simpler) {
                best = simpler;
            }
        }
        best = rounder(best, &mut breaks);
        progress(best.asks.len() + best.faults.len());
        if best == before {
            return (best, runs);
        }
    }
}

/// Leaves out parts of a script's list, large ones first, for as long as what is left still breaks the rule.
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
            let held = list(&mut candidate);
            held.drain(at..(at + part).min(held.len()));
            match breaks(&candidate) {
                true => best = candidate,
                false => at += part,
            }
        }
        part = if part == 1 { 0 } else { part.div_ceil(2) };
    }
    best
}

/// Scripts that differ in one setting, each simpler.
fn simpler(script: &Script) -> Vec<Script> {
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

/// Times in whole tenths of a second, as early as they go.
fn rounder(mut best: Script, breaks: &mut impl FnMut(&Script) -> bool) -> Script {
    for n in 0..best.faults.len() {
        for unit in [1_000, 100] {
            let mut candidate = best.clone();
            let (at, lasts) = candidate.faults[n].times();
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
