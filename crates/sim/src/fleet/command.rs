//! The `fleet` command of `runtrack-sim`: runs, replays, searches and shrinks simulations of the control
//! plane, and measures how soon planted errors are found.

use crate::campaign::{self, FaultPairs, MutantArgs, SeedArgs};
use crate::fleet::oracle::Rule;
use crate::fleet::run::{Outcome, run};
use crate::fleet::script::Script;
use crate::fleet::{MUTANTS, Mutant, draw, shrink, timeline};
use crate::mutants;
use clap::Subcommand;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Simulate the controllers and agents instead of the sidecar.
#[derive(Subcommand)]
pub enum Command {
    /// Run one seed.
    Play {
        /// The seed.
        seed: u64,
        /// Generate the script around this theme.
        #[arg(long)]
        theme: Option<draw::Theme>,
        /// Print the timeline, one line per event.
        #[arg(long)]
        timeline: bool,
        /// Write the generated script to this file.
        #[arg(long, value_name = "FILE")]
        script: Option<PathBuf>,
    },
    /// Run a script (JSON).
    Replay {
        /// The script.
        script: PathBuf,
        /// Print the timeline, one line per event.
        #[arg(long)]
        timeline: bool,
    },
    /// Run many seeds and report those that break a rule.
    Search {
        /// The seeds to run.
        #[command(flatten)]
        which: SeedArgs,
        /// Generate only scripts around this theme.
        #[arg(long)]
        theme: Option<draw::Theme>,
    },
    /// Shrink the script of a seed that breaks a rule and write it to a file.
    Shrink {
        /// The seed.
        seed: u64,
        /// Generate the script around this theme.
        #[arg(long)]
        theme: Option<draw::Theme>,
        /// File for the shrunk script.
        #[arg(long, value_name = "FILE")]
        to: PathBuf,
    },
    /// Plant each error in turn and count the seeds until it is found.
    Mutants {
        /// The searches to make for each error.
        #[command(flatten)]
        starts: MutantArgs,
        /// Only errors whose name contains this text.
        #[arg(long)]
        only: Option<String>,
        /// Number of errors to search for in parallel.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
    },
}

fn report(script: &Script, outcome: &Outcome, with_timeline: bool) -> ExitCode {
    if with_timeline {
        print!("{}", timeline::render(script, &outcome.facts, &outcome.log, &outcome.violations));
    }
    outcome.violations.iter().for_each(|violation| println!("{violation}"));
    let facts = &outcome.facts;
    println!(
        "{} calls, {} changes, {} agent reports; {:.1} s of virtual time; hash {:016x}; {} broken rules",
        facts.calls.len(),
        facts.changes.len(),
        facts.events.len(),
        facts.end.as_secs_f64(),
        outcome.hash,
        outcome.violations.len()
    );
    if outcome.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Executes a command, with an optional planted error, and returns the process's exit code.
pub fn execute(command: Command, mutant: Option<&str>) -> Result<ExitCode, String> {
    let play = |script: &Script, with_timeline: bool| {
        let outcome = mutants::with(mutant, || run(script, with_timeline));
        report(script, &outcome, with_timeline)
    };
    match command {
        Command::Play { seed, theme, timeline, script } => {
            let script_of_seed = draw::script_of(theme, seed);
            let saved = script.map_or(Ok(()), |path| campaign::write_script(&path, &script_of_seed));
            saved.map(|()| play(&script_of_seed, timeline))
        }
        Command::Replay { script, timeline } => campaign::read_script(&script).map(|s| play(&s, timeline)),
        Command::Search { which, theme } => Ok(search(&which, theme, mutant)),
        Command::Shrink { seed, theme, to } => {
            let script = draw::script_of(theme, seed);
            let outcome = mutants::with(mutant, || run(&script, false));
            let Some(violation) = outcome.violations.first() else {
                return Err("the script breaks no rule".to_owned());
            };
            let (small, runs) =
                mutants::with(mutant, || shrink::shrink(&script, violation.rule, shrink::DEFAULT_MAX_RUNS));
            campaign::write_script(&to, &small)?;
            println!("{}: {} faults, {runs} runs", to.display(), small.faults.len());
            Ok(play(&small, false))
        }
        Command::Mutants { starts, only, jobs } => Ok(measure_mutants(&starts, jobs, only.as_deref())),
    }
}

fn search(which: &SeedArgs, theme: Option<draw::Theme>, mutant: Option<&str>) -> ExitCode {
    let began = Instant::now();
    let sums: Mutex<(FaultPairs, u64, u64, f64)> = Mutex::default();
    let bar = "{bar:32} {pos}/{len} seeds {per_sec} {eta} {msg}";
    let done = campaign::search_seeds(which, bar, |seed, bar| {
        let script = draw::script_of(theme, seed);
        let outcome = mutants::with(mutant, || run(&script, false));
        let (pairs, calls, violating, virtual_s) =
            &mut *sums.lock().unwrap_or_else(PoisonError::into_inner);
        pairs.add(script.faults.iter().map(|fault| fault.kind()));
        *calls += outcome.facts.calls.len() as u64;
        *virtual_s += outcome.facts.end.as_secs_f64();
        if let Some(violation) = outcome.violations.first() {
            bar.suspend(|| println!("seed {seed}: {violation}"));
            *violating += 1;
        }
        true
    });
    let (pairs, calls, violating, virtual_s) = sums.into_inner().unwrap_or_else(PoisonError::into_inner);
    let elapsed_s = began.elapsed().as_secs_f64();
    println!(
        "{done} seeds in {elapsed_s:.1} s: {:.1} a second, {:.0} s of virtual time a second; {calls} calls; {pairs}; \
         {violating} seeds break a rule",
        done as f64 / elapsed_s,
        virtual_s / elapsed_s
    );
    if violating == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// For each start, the number of seeds until a planted error was found and the rule that showed it; `None`
/// if no seed of that search showed it.
fn seeds_until_found(name: &str, starts: &MutantArgs) -> Vec<Option<(u64, Rule)>> {
    let violated_rule = |seed: u64| {
        let outcome = mutants::with(Some(name), || run(&draw::script(seed), false));
        outcome.violations.first().map(|violation| violation.rule)
    };
    let from = |first: u64| {
        (first..first + starts.most)
            .find_map(|seed| violated_rule(seed).map(|rule| (seed - first + 1, rule)))
    };
    (0..starts.starts).map(|start| from(start * 100_000)).collect()
}

fn measure_mutants(starts: &MutantArgs, jobs: usize, only: Option<&str>) -> ExitCode {
    let selected: Vec<_> =
        MUTANTS.iter().filter(|mutant| only.is_none_or(|only| mutant.name.contains(only))).collect();
    let rows: Mutex<BTreeMap<u64, String>> = Mutex::default();
    let any_missed = AtomicBool::new(false);
    let seeds = SeedArgs { seeds: 0..selected.len() as u64, jobs };
    campaign::search_seeds(&seeds, "{pos}/{len} planted errors", |number, _| {
        let mutant = selected[number as usize];
        let found = seeds_until_found(mutant.name, starts);
        if found.contains(&None) {
            any_missed.store(true, Ordering::Relaxed);
        }
        let mut rows = rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.insert(number, row(mutant, starts, &found));
        true
    });
    println!("| point | planted | rule | seeds until found, each start | median |");
    println!("| --- | --- | --- | --- | --- |");
    let rows = rows.into_inner().unwrap_or_else(PoisonError::into_inner);
    rows.values().for_each(|row| println!("{row}"));
    if any_missed.into_inner() { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

fn row(mutant: &Mutant, starts: &MutantArgs, found: &[Option<(u64, Rule)>]) -> String {
    let format_count =
        |count: Option<u64>| count.map_or(format!("over {}", starts.most), |count| count.to_string());
    let counts: Vec<Option<u64>> = found.iter().map(|found| found.map(|(count, _)| count)).collect();
    let mut sorted = counts.clone();
    sorted.sort_unstable_by_key(|count| count.unwrap_or(u64::MAX));
    let median = sorted.get(sorted.len() / 2).copied().flatten();
    let rule = found.iter().flatten().next().map_or("-".to_owned(), |(_, rule)| format!("{rule:?}"));
    let each: Vec<String> = counts.into_iter().map(format_count).collect();
    format!(
        "| {} | `{}` | {rule} | {} | {} |",
        mutant.point,
        mutant.name,
        each.join(", "),
        format_count(median)
    )
}
