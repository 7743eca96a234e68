//! Subcommands that run and check rounds of the fleet.

use runtrack_rig::check::Verdict;
use runtrack_rig::fleet::check::{Rule, check_history};
use runtrack_rig::fleet::history::Event;
use runtrack_rig::fleet::script::Script;
use runtrack_rig::fleet::{draw, play};
use runtrack_rig::history;
use runtrack_sim::campaign::{self, FaultPairs, SeedArgs, read_script, with_path, write_script};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

#[derive(Default)]
struct Totals {
    pairs: FaultPairs,
    events: usize,
    rounds_with_violations: u64,
    failed_to_run: u64,
    by_rule: BTreeMap<Rule, u64>,
}

fn run_round(script: &Script) -> Result<(Vec<Event>, Verdict<Rule>), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let events = runtime.map_err(|e| e.to_string())?.block_on(play(script));
    let events = events.map_err(|problem| format!("the round failed to run: {problem}"))?;
    let verdict = check_history(&events);
    Ok((events, verdict))
}

/// Runs the rounds of many seeds and reports those that violate a rule.
pub fn search(which: &SeedArgs, out: &Path) -> Result<ExitCode, String> {
    std::fs::create_dir_all(out).map_err(with_path(out))?;
    let began = Instant::now();
    let totals: Mutex<Totals> = Mutex::default();
    let done = campaign::search_seeds(which, "{bar:32} {pos}/{len} rounds {eta} {msg}", |seed, bar| {
        let script = draw::script(seed);
        let played = run_round(&script);
        let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
        match played {
            Ok((events, verdict)) => {
                if let Err(problem) = totals.add(out, &script, &events, &verdict) {
                    bar.suspend(|| eprintln!("{problem}"));
                }
            }
            Err(problem) => {
                totals.failed_to_run += 1;
                println!("seed {seed}: {problem}");
            }
        }
        true
    });
    let totals = totals.into_inner().unwrap_or_else(PoisonError::into_inner);
    Ok(totals.report(done, began))
}

impl Totals {
    fn add(
        &mut self,
        out: &Path,
        script: &Script,
        events: &[Event],
        verdict: &Verdict<Rule>,
    ) -> Result<(), String> {
        self.events += verdict.events_checked;
        self.pairs.add(script.faults.iter().map(|fault| fault.what.kind()));
        if verdict.violations.is_empty() {
            return Ok(());
        }
        self.rounds_with_violations += 1;
        let rules: BTreeSet<Rule> = verdict.violations.iter().map(|violation| violation.rule).collect();
        rules.iter().for_each(|rule| *self.by_rule.entry(*rule).or_default() += 1);
        println!("seed {}: {} violations", script.seed, verdict.violations.len());
        for rule in &rules {
            if let Some(first) = verdict.violations.iter().find(|violation| violation.rule == *rule) {
                println!("  {first}");
            }
        }
        let path = out.join(format!("fleet-{}.history", script.seed));
        write_script(&out.join(format!("fleet-{}.json", script.seed)), script)?;
        history::write(&path, events).map_err(with_path(&path))?;
        println!("  script and history: {}", path.with_extension("{json,history}").display());
        Ok(())
    }

    fn report(&self, done: u64, began: Instant) -> ExitCode {
        let took = began.elapsed().as_secs_f64();
        println!(
            "{done} rounds in {took:.0} s; {} events checked; {}; {} rounds violate a rule {:?}, {} failed to run",
            self.events, self.pairs, self.rounds_with_violations, self.by_rule, self.failed_to_run
        );
        if self.rounds_with_violations + self.failed_to_run == 0 {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}

fn report(verdict: &Verdict<Rule>) -> ExitCode {
    verdict.violations.iter().for_each(|violation| println!("{violation}"));
    println!("{} events, {} rule violations", verdict.events_checked, verdict.violations.len());
    if verdict.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs a script.
pub fn replay(script: &Path, history: Option<&Path>) -> Result<ExitCode, String> {
    let (events, verdict) = run_round(&read_script(script)?)?;
    if let Some(path) = history {
        history::write(path, &events).map_err(with_path(path))?;
    }
    Ok(report(&verdict))
}

/// Checks a recorded history.
pub fn recheck(path: &Path) -> Result<ExitCode, String> {
    let events: Vec<Event> = history::read(path).map_err(with_path(path))?;
    Ok(report(&check_history(&events)))
}
