//! The program's verb for the control plane: play a seed, search many, make one small, and find planted errors.

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

/// The real controllers and agents, in place of the sidecar.
#[derive(Subcommand)]
pub enum Fleet {
    /// Run one seed.
    Play {
        /// The seed.
        seed: u64,
        /// The world is around this theme.
        #[arg(long)]
        theme: Option<draw::Theme>,
        /// Print all that happened, a line an event.
        #[arg(long)]
        timeline: bool,
        /// Write its script here.
        #[arg(long, value_name = "FILE")]
        script: Option<PathBuf>,
    },
    /// Run a script (JSON).
    Replay {
        /// The script.
        script: PathBuf,
        /// Print all that happened, a line an event.
        #[arg(long)]
        timeline: bool,
    },
    /// Run many seeds and say which break a rule.
    Search {
        /// Which seeds.
        #[command(flatten)]
        which: SeedArgs,
        /// Only worlds around this theme.
        #[arg(long)]
        theme: Option<draw::Theme>,
    },
    /// Make a seed that breaks a rule small; write its script to this file.
    Shrink {
        /// The seed.
        seed: u64,
        /// The world is around this theme.
        #[arg(long)]
        theme: Option<draw::Theme>,
        /// Where the script goes.
        #[arg(long, value_name = "FILE")]
        to: PathBuf,
    },
    /// Plant each error in turn, and count the seeds until it is found.
    Mutants {
        /// How long they are searched for.
        #[command(flatten)]
        starts: MutantArgs,
        /// Only errors whose name holds this.
        #[arg(long)]
        only: Option<String>,
        /// So many errors at once.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
    },
}

fn report(script: &Script, outcome: &Outcome, whole: bool) -> ExitCode {
    if whole {
        print!("{}", timeline::whole(script, &outcome.facts, &outcome.log, &outcome.breaches));
    }
    outcome.breaches.iter().for_each(|breach| println!("{breach}"));
    let facts = &outcome.facts;
    println!(
        "{} calls, {} orders, {} words of agents; {:.1} s of the world's time; hash {:016x}; {} broken rules",
        facts.calls.len(),
        facts.orders.len(),
        facts.words.len(),
        facts.end.as_secs_f64(),
        outcome.hash,
        outcome.breaches.len()
    );
    if outcome.breaches.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Carries the verb out.
pub fn carry_out(verb: Fleet, mutant: Option<&str>) -> Result<ExitCode, String> {
    let play = |script: &Script, whole: bool| {
        let outcome = mutants::with(mutant, || run(script, whole));
        report(script, &outcome, whole)
    };
    match verb {
        Fleet::Play { seed, theme, timeline, script } => {
            let drawn = draw::script_of(theme, seed);
            let kept = script.map_or(Ok(()), |path| campaign::write_script(&path, &drawn));
            kept.map(|()| play(&drawn, timeline))
        }
        Fleet::Replay { script, timeline } => {
            campaign::read_script(&script).map(|script| play(&script, timeline))
        }
        Fleet::Search { which, theme } => Ok(search(&which, theme, mutant)),
        Fleet::Shrink { seed, theme, to } => {
            let script = draw::script_of(theme, seed);
            let outcome = mutants::with(mutant, || run(&script, false));
            let Some(breach) = outcome.breaches.first() else {
                return Err("it breaks no rule".to_owned());
            };
            let (small, runs) =
                mutants::with(mutant, || shrink::shrink(&script, breach.rule, shrink::RUNS));
            campaign::write_script(&to, &small)?;
            println!("{}: {} faults, {runs} runs", to.display(), small.faults.len());
            Ok(play(&small, false))
        }
        Fleet::Mutants { starts, only, jobs } => Ok(plant(&starts, jobs, only.as_deref())),
    }
}

fn search(which: &SeedArgs, theme: Option<draw::Theme>, mutant: Option<&str>) -> ExitCode {
    let began = Instant::now();
    let sums: Mutex<(FaultPairs, u64, u64, f64)> = Mutex::default();
    let bar = "{bar:32} {pos}/{len} seeds {per_sec} {eta} {msg}";
    let done = campaign::search_seeds(which, bar, |seed, bar| {
        let script = draw::script_of(theme, seed);
        let outcome = mutants::with(mutant, || run(&script, false));
        let (pairs, calls, broken, lasted) = &mut *sums.lock().unwrap_or_else(PoisonError::into_inner);
        pairs.add(script.faults.iter().map(|fault| fault.kind()));
        *calls += outcome.facts.calls.len() as u64;
        *lasted += outcome.facts.end.as_secs_f64();
        if let Some(breach) = outcome.breaches.first() {
            bar.suspend(|| println!("seed {seed}: {breach}"));
            *broken += 1;
        }
        true
    });
    let (pairs, calls, broken, lasted) = sums.into_inner().unwrap_or_else(PoisonError::into_inner);
    let took = began.elapsed().as_secs_f64();
    println!(
        "{done} seeds in {took:.1} s: {:.1} a second, {:.0} s of the world's time a second; {calls} calls; {pairs}; \
         {broken} seeds break a rule",
        done as f64 / took,
        lasted / took
    );
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Seeds until an error is found, from each start; none where none of the seeds shows it.
fn seeds_until_found(name: &str, starts: &MutantArgs) -> Vec<Option<(u64, Rule)>> {
    let breaks = |seed: u64| {
        let outcome = mutants::with(Some(name), || run(&draw::script(seed), false));
        outcome.breaches.first().map(|breach| breach.rule)
    };
    let from = |first: u64| {
        (first..first + starts.most).find_map(|seed| breaks(seed).map(|rule| (seed - first + 1, rule)))
    };
    (0..starts.starts).map(|start| from(start * 100_000)).collect()
}

fn plant(starts: &MutantArgs, jobs: usize, only: Option<&str>) -> ExitCode {
    let wanted: Vec<_> =
        MUTANTS.iter().filter(|mutant| only.is_none_or(|only| mutant.name.contains(only))).collect();
    let rows: Mutex<BTreeMap<u64, String>> = Mutex::default();
    let missed = AtomicBool::new(false);
    let seeds = SeedArgs { seeds: 0..wanted.len() as u64, jobs };
    campaign::search_seeds(&seeds, "{pos}/{len} planted errors", |number, _| {
        let mutant = wanted[number as usize];
        let found = seeds_until_found(mutant.name, starts);
        if found.contains(&None) {
            missed.store(true, Ordering::Relaxed);
        }
        let mut rows = rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.insert(number, row(mutant, starts, &found));
        true
    });
    println!("| point | planted | rule | seeds until found, each start | median |");
    println!("| --- | --- | --- | --- | --- |");
    let rows = rows.into_inner().unwrap_or_else(PoisonError::into_inner);
    rows.values().for_each(|row| println!("{row}"));
    if missed.into_inner() { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

fn row(mutant: &Mutant, starts: &MutantArgs, found: &[Option<(u64, Rule)>]) -> String {
    let text =
        |count: Option<u64>| count.map_or(format!("over {}", starts.most), |count| count.to_string());
    let counts: Vec<Option<u64>> = found.iter().map(|found| found.map(|(count, _)| count)).collect();
    let mut sorted = counts.clone();
    sorted.sort_unstable_by_key(|count| count.unwrap_or(u64::MAX));
    let median = sorted.get(sorted.len() / 2).copied().flatten();
    let rule = found.iter().flatten().next().map_or("-".to_owned(), |(_, rule)| format!("{rule:?}"));
    let each: Vec<String> = counts.into_iter().map(text).collect();
    format!("| {} | `{}` | {rule} | {} | {} |", mutant.point, mutant.name, each.join(", "), text(median))
}
