//! `runtrack-sim`: runs scripts and seeds, searches for broken rules, makes them small, and explains them.

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use runtrack_sim::run::{Outcome, run};
use runtrack_sim::script::Script;
use runtrack_sim::{agreement, draw, mutants, shrink, timeline};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Runs the sidecar's real network code in a virtual world, under one seed.
#[derive(Parser)]
#[command(
    name = "runtrack-sim",
    version,
    about,
    after_help = "Exit codes: 0 no rule broken; 1 a rule was broken; 2 the command line or a file is wrong."
)]
struct Cli {
    /// An error to plant in the code under test; `mutants` lists them.
    #[arg(long, global = true, value_name = "NAME")]
    mutant: Option<String>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one seed.
    Run {
        /// The seed.
        #[arg(long)]
        seed: u64,
        /// Write its script here.
        #[arg(long, value_name = "FILE")]
        script: Option<PathBuf>,
    },
    /// Run many seeds and say which break a rule.
    Search {
        /// From, and up to without: A..B.
        #[arg(long, value_parser = range)]
        seeds: std::ops::Range<u64>,
        /// Threads; each runs seeds of its own.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        /// Stop at the first that breaks a rule.
        #[arg(long)]
        first: bool,
    },
    /// Make a script that breaks a rule small; write it in its place with `.small` behind.
    Shrink {
        /// The script (JSON).
        script: PathBuf,
    },
    /// Run a script.
    Replay {
        /// The script (JSON).
        script: PathBuf,
        /// Print all that happened, a line an event.
        #[arg(long)]
        trace: bool,
    },
    /// Run a script and print what led to each broken rule.
    Explain {
        /// The script (JSON).
        script: PathBuf,
    },
    /// Several control instances that agree, in place of the sidecar.
    #[command(subcommand)]
    Cluster(Cluster),
    /// Plant each error in turn, and count the seeds until it is found and the lines of its smallest script.
    Mutants {
        /// Starts, from which the median is taken.
        #[arg(long, default_value_t = 5)]
        starts: u64,
        /// Seeds at most for each.
        #[arg(long, default_value_t = 2000)]
        most: u64,
    },
}

#[derive(Subcommand)]
enum Cluster {
    /// Run one seed.
    Run {
        /// The seed.
        #[arg(long)]
        seed: u64,
        /// Write its script here.
        #[arg(long, value_name = "FILE")]
        script: Option<PathBuf>,
    },
    /// Run many seeds and say which break a rule.
    Search {
        /// From, and up to without: A..B.
        #[arg(long, value_parser = range)]
        seeds: std::ops::Range<u64>,
        /// Threads; each runs seeds of its own.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
    },
    /// Run a script.
    Replay {
        /// The script (JSON).
        script: PathBuf,
    },
    /// Plant each error in turn, and count the seeds until it is found and the faults of its smallest script.
    Mutants {
        /// Starts, from which the median is taken.
        #[arg(long, default_value_t = 5)]
        starts: u64,
        /// Seeds at most for each.
        #[arg(long, default_value_t = 2000)]
        most: u64,
    },
}

fn range(text: &str) -> Result<std::ops::Range<u64>, String> {
    let parts = text.split_once("..").and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    parts.ok_or_else(|| format!("`{text}` is no range: A..B"))
}

fn read<T: serde::de::DeserializeOwned>(path: &PathBuf) -> Result<T, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn write(path: &PathBuf, script: &Script) -> Result<(), String> {
    std::fs::write(path, short(script)).map_err(|e| format!("{}: {e}", path.display()))
}

/// A script with a line for each request and each fault.
fn short(script: &Script) -> String {
    let mut bare = script.clone();
    let (asks, faults) = (std::mem::take(&mut bare.asks), std::mem::take(&mut bare.faults));
    let head = serde_json::to_string(&bare).unwrap_or_default();
    let lines = |texts: Vec<String>| texts.join(",\n  ");
    let asks = lines(asks.iter().map(|ask| serde_json::to_string(ask).unwrap_or_default()).collect());
    let faults =
        lines(faults.iter().map(|fault| serde_json::to_string(fault).unwrap_or_default()).collect());
    head.replace("\"asks\":[]", &format!("\n\"asks\":[\n  {asks}]"))
        .replace("\"faults\":[]", &format!("\n\"faults\":[\n  {faults}]"))
        + "\n"
}

fn report(outcome: &Outcome) -> ExitCode {
    for breach in &outcome.breaches {
        println!("{breach}");
    }
    let facts = &outcome.facts;
    println!(
        "{} requests, {} attempts, {} ran; {:.1} s of the world's time; hash {:016x}; {} broken rules",
        facts.asked.len(),
        facts.attempts.len(),
        facts.effects.len(),
        outcome.lasted.as_secs_f64(),
        outcome.hash,
        outcome.breaches.len()
    );
    if outcome.breaches.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(problem) => {
            let _ = problem.print();
            return if problem.use_stderr() { ExitCode::from(2) } else { ExitCode::SUCCESS };
        }
    };
    if let Some(name) = &cli.mutant
        && mutants::ALL.iter().chain(&agreement::MUTANTS).all(|(known, _)| known != name)
    {
        eprintln!("there is no mutant `{name}`; those that there are:");
        let all = mutants::ALL.iter().chain(&agreement::MUTANTS);
        all.for_each(|(name, what)| eprintln!("  {name}: {what}"));
        return ExitCode::from(2);
    }
    let mutant = cli.mutant.as_deref();
    let done = match cli.command {
        Command::Run { seed, script } => {
            let drawn = draw::script(seed);
            let kept = script.map_or(Ok(()), |path| write(&path, &drawn));
            kept.map(|()| report(&mutants::with(mutant, || run(&drawn, false))))
        }
        Command::Search { seeds, jobs, first } => Ok(search(seeds, jobs, first, mutant)),
        Command::Shrink { script: path } => shrink_file(&path, mutant),
        Command::Replay { script, trace } => read(&script).map(|script| {
            let outcome = mutants::with(mutant, || run(&script, trace));
            if trace {
                print!("{}", timeline::whole(&outcome));
            }
            report(&outcome)
        }),
        Command::Explain { script } => read(&script).map(|script| {
            let outcome = mutants::with(mutant, || run(&script, false));
            for breach in &outcome.breaches {
                println!("{}", timeline::explain(&script, &outcome, breach));
            }
            report(&outcome)
        }),
        Command::Cluster(ask) => cluster(ask, mutant),
        Command::Mutants { starts, most } => Ok(plant_all(starts, most)),
    };
    done.unwrap_or_else(|problem| {
        eprintln!("{problem}");
        ExitCode::from(2)
    })
}

fn shrink_file(path: &PathBuf, mutant: Option<&str>) -> Result<ExitCode, String> {
    let script = read(path)?;
    let outcome = mutants::with(mutant, || run(&script, false));
    let Some(breach) = outcome.breaches.first() else { return Err("it breaks no rule".to_owned()) };
    let (small, runs) = mutants::with(mutant, || {
        shrink::shrink(&script, breach.rule, |left| eprintln!("{left} requests and faults"))
    });
    let to = PathBuf::from(format!("{}.small", path.display()));
    write(&to, &small)?;
    println!(
        "{}: {} requests and {} faults, after {runs} runs",
        to.display(),
        small.asks.len(),
        small.faults.len()
    );
    Ok(report(&mutants::with(mutant, || run(&small, false))))
}

/// Pairs of kinds of fault that came together, and how often; the world's time; seeds that broke a rule.
type Sums = (BTreeMap<(&'static str, &'static str), u64>, Duration, u64);

fn search(seeds: std::ops::Range<u64>, jobs: usize, first: bool, mutant: Option<&str>) -> ExitCode {
    let (began, next, end) = (Instant::now(), AtomicU64::new(seeds.start), AtomicU64::new(seeds.end));
    let style = ProgressStyle::with_template("{bar:32} {pos}/{len} seeds {per_sec} {eta} {msg}");
    let bar = ProgressBar::new(seeds.end - seeds.start);
    let bar = bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let sums: Mutex<Sums> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= end.load(Ordering::Relaxed) {
                        return;
                    }
                    let script = draw::script(seed);
                    let outcome = mutants::with(mutant, || run(&script, false));
                    bar.inc(1);
                    let (pairs, lasted, broken) = &mut *sums.lock().unwrap_or_else(PoisonError::into_inner);
                    *lasted += outcome.lasted;
                    let mut kinds: Vec<&str> = script.faults.iter().map(|fault| fault.kind()).collect();
                    kinds.sort_unstable();
                    kinds.dedup();
                    for (n, one) in kinds.iter().enumerate() {
                        kinds[n + 1..]
                            .iter()
                            .for_each(|other| *pairs.entry((one, other)).or_default() += 1);
                    }
                    if let Some(breach) = outcome.breaches.first() {
                        bar.suspend(|| println!("seed {seed}: {breach}"));
                        *broken += 1;
                        if first {
                            end.store(0, Ordering::Relaxed);
                        }
                    }
                }
            });
        }
    });
    bar.finish_and_clear();
    let (pairs, lasted, broken) = sums.into_inner().unwrap_or_else(PoisonError::into_inner);
    let (done, took) = (next.into_inner().min(seeds.end) - seeds.start, began.elapsed().as_secs_f64());
    println!(
        "{done} seeds in {took:.1} s: {:.1} a second, {:.0} s of the world's time a second; {} pairs of kinds of fault \
         seen, the rarest {} times; {} seeds break a rule",
        done as f64 / took,
        lasted.as_secs_f64() / took,
        pairs.len(),
        pairs.values().min().unwrap_or(&0),
        broken
    );
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// The first seed from one on that breaks a rule with an error planted, and which rule.
fn found(name: &str, from: u64, most: u64) -> Option<(u64, Script, runtrack_sim::oracle::Rule)> {
    (from..from + most).find_map(|seed| {
        let script = draw::script(seed);
        let outcome = mutants::with(Some(name), || run(&script, false));
        outcome.breaches.first().map(|breach| (seed, script.clone(), breach.rule))
    })
}

fn plant_all(starts: u64, most: u64) -> ExitCode {
    println!(
        "| planted | rule | seeds until found, median of {starts} | worst | requests and faults left |"
    );
    println!("| --- | --- | --- | --- | --- |");
    let mut missed = false;
    for (name, _) in mutants::ALL {
        let starts = (0..starts.max(1)).map(|start| start * 100_000);
        let finds: Vec<_> = starts.map(|from| (from, found(name, from, most))).collect();
        let mut counts: Vec<u64> = finds
            .iter()
            .map(|(from, found)| found.as_ref().map_or(u64::MAX, |(seed, ..)| seed - from + 1))
            .collect();
        counts.sort_unstable();
        let count = |count: u64| if count == u64::MAX { format!("over {most}") } else { count.to_string() };
        let first = finds.into_iter().find_map(|(_, found)| found);
        missed |= counts.contains(&u64::MAX);
        let (rule, left) = match first {
            Some((_, script, rule)) => {
                let (small, _) = mutants::with(Some(name), || shrink::shrink(&script, rule, |_| {}));
                (format!("{rule:?}"), format!("{} and {}", small.asks.len(), small.faults.len()))
            }
            None => ("-".to_owned(), "-".to_owned()),
        };
        let (median, worst) = (count(counts[counts.len() / 2]), count(counts[counts.len() - 1]));
        println!("| `{name}` | {rule} | {median} | {worst} | {left} |");
    }
    if missed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

// ---- several control instances ----

fn cluster(ask: Cluster, mutant: Option<&str>) -> Result<ExitCode, String> {
    // A member that panics is a broken rule, and reported as one; with RUST_BACKTRACE it is also shown where.
    if std::env::var_os("RUST_BACKTRACE").is_none() {
        std::panic::set_hook(Box::new(|_| {}));
    }
    let report = |script: &agreement::Script| {
        let done = mutants::with(mutant, || agreement::run(script));
        done.breaches.iter().for_each(|breach| println!("{breach}"));
        let agreement::Outcomes { answered, index, hash, breaches } = done;
        println!("{answered} answers, {index} entries; hash {hash:016x}; {} broken rules", breaches.len());
        if breaches.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    };
    match ask {
        Cluster::Run { seed, script } => {
            let drawn = agreement::script(seed);
            if let Some(path) = script {
                let text = serde_json::to_string_pretty(&drawn).unwrap_or_default();
                std::fs::write(&path, text + "\n").map_err(|e| format!("{}: {e}", path.display()))?;
            }
            Ok(report(&drawn))
        }
        Cluster::Replay { script } => read(&script).map(|script| report(&script)),
        Cluster::Search { seeds, jobs } => Ok(search_cluster(seeds, jobs, mutant)),
        Cluster::Mutants { starts, most } => Ok(plant_cluster(starts, most)),
    }
}

fn search_cluster(seeds: std::ops::Range<u64>, jobs: usize, mutant: Option<&str>) -> ExitCode {
    let (began, next) = (Instant::now(), AtomicU64::new(seeds.start));
    let (broken, answers) = (AtomicU64::new(0), AtomicU64::new(0));
    let pairs: Mutex<BTreeMap<(&str, &str), u64>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let script = agreement::script(seed);
                    let done = mutants::with(mutant, || agreement::run(&script));
                    answers.fetch_add(done.answered, Ordering::Relaxed);
                    let mut kinds: Vec<&str> =
                        script.faults.iter().map(|fault| fault.what.kind()).collect();
                    kinds.sort_unstable();
                    kinds.dedup();
                    let mut pairs = pairs.lock().unwrap_or_else(PoisonError::into_inner);
                    for (n, one) in kinds.iter().enumerate() {
                        kinds[n + 1..]
                            .iter()
                            .for_each(|other| *pairs.entry((one, other)).or_default() += 1);
                    }
                    if let Some(breach) = done.breaches.first() {
                        broken.fetch_add(1, Ordering::Relaxed);
                        println!("seed {seed}: {breach}");
                    }
                }
            });
        }
    });
    let (pairs, took) =
        (pairs.into_inner().unwrap_or_else(PoisonError::into_inner), began.elapsed().as_secs_f64());
    let (done, broken) = (seeds.end - seeds.start, broken.into_inner());
    println!(
        "{done} seeds in {took:.1} s: {:.0} a second; {} answers; {} pairs of kinds of fault seen, the rarest {} times; {broken} \
         seeds break a rule",
        done as f64 / took,
        answers.into_inner(),
        pairs.len(),
        pairs.values().min().unwrap_or(&0)
    );
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn plant_cluster(starts: u64, most: u64) -> ExitCode {
    println!("| planted | rule | seeds until found, median of {starts} | worst | faults left |");
    println!("| --- | --- | --- | --- | --- |");
    let mut missed = false;
    for (name, _) in agreement::MUTANTS {
        let find = |from: u64| {
            (from..from + most).find_map(|seed| {
                let script = agreement::script(seed);
                let done = mutants::with(Some(name), || agreement::run(&script));
                done.breaches.first().map(|breach| (seed - from + 1, script.clone(), breach.rule))
            })
        };
        let finds: Vec<_> = (0..starts.max(1)).map(|start| find(start * 100_000)).collect();
        let mut counts: Vec<u64> =
            finds.iter().map(|found| found.as_ref().map_or(u64::MAX, |f| f.0)).collect();
        counts.sort_unstable();
        missed |= counts.contains(&u64::MAX);
        let count = |count: u64| if count == u64::MAX { format!("over {most}") } else { count.to_string() };
        let (rule, left) = match finds.into_iter().flatten().next() {
            Some((_, script, rule)) => {
                let breaks = |candidate: &agreement::Script| {
                    let done = mutants::with(Some(name), || agreement::run(candidate));
                    done.breaches.iter().any(|breach| breach.rule == rule)
                };
                let mut breaks = breaks;
                let small = shrink::fewer(script, |s: &mut agreement::Script| &mut s.faults, &mut breaks);
                (format!("{rule:?}"), small.faults.len().to_string())
            }
            None => ("-".to_owned(), "-".to_owned()),
        };
        let (median, worst) = (count(counts[counts.len() / 2]), count(counts[counts.len() - 1]));
        println!("| `{name}` | {rule} | {median} | {worst} | {left} |");
    }
    if missed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
