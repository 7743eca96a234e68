//! `runtrack-sim`: runs scripts and seeds, searches for rule violations, minimizes scripts and explains violations.

use clap::{Parser, Subcommand};
use runtrack_sim::campaign::{FaultPairs, MutantArgs, SeedArgs, read_script, with_path};
use runtrack_sim::run::{Outcome, run};
use runtrack_sim::script::Script;
use runtrack_sim::{agreement, campaign, draw, fleet, mutants, shrink, timeline};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
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
    /// Mutant to enable in the code under test; `mutants` lists them.
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
    /// Run many seeds and print those that break a rule.
    Search {
        #[command(flatten)]
        which: SeedArgs,
        /// Stop at the first seed that breaks a rule.
        #[arg(long)]
        first: bool,
    },
    /// Minimize a script that breaks a rule, and write it next to the original with the suffix `.small`.
    Shrink {
        /// The script (JSON).
        script: PathBuf,
    },
    /// Run a script.
    Replay {
        /// The script (JSON).
        script: PathBuf,
        /// Print all events, one per line.
        #[arg(long)]
        trace: bool,
    },
    /// Run a script and print the events that led to each broken rule.
    Explain {
        /// The script (JSON).
        script: PathBuf,
    },
    /// Simulate a cluster of control instances instead of the sidecar.
    #[command(subcommand)]
    Cluster(Cluster),
    /// Simulate the fleet's controllers and agents instead of the sidecar.
    #[command(subcommand)]
    Fleet(fleet::command::Command),
    /// Enable each mutant in turn; count the seeds until it is found and the lines of its minimized script.
    Mutants(MutantArgs),
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
    /// Run many seeds and print those that break a rule.
    Search(SeedArgs),
    /// Run a script.
    Replay {
        /// The script (JSON).
        script: PathBuf,
    },
    /// Enable each mutant in turn; count the seeds until it is found and the faults of its minimized script.
    Mutants(MutantArgs),
}

fn write(path: &Path, script: &Script) -> Result<(), String> {
    std::fs::write(path, format_script(script)).map_err(with_path(path))
}

/// Formats a script with one line for each request and each fault.
fn format_script(script: &Script) -> String {
    let mut without_lists = script.clone();
    let (asks, faults) =
        (std::mem::take(&mut without_lists.asks), std::mem::take(&mut without_lists.faults));
    let head = serde_json::to_string(&without_lists).unwrap_or_default();
    let lines = |texts: Vec<String>| texts.join(",\n  ");
    let asks = lines(asks.iter().map(|ask| serde_json::to_string(ask).unwrap_or_default()).collect());
    let faults =
        lines(faults.iter().map(|fault| serde_json::to_string(fault).unwrap_or_default()).collect());
    head.replace("\"asks\":[]", &format!("\n\"asks\":[\n  {asks}]"))
        .replace("\"faults\":[]", &format!("\n\"faults\":[\n  {faults}]"))
        + "\n"
}

fn report(outcome: &Outcome) -> ExitCode {
    for violation in &outcome.violations {
        println!("{violation}");
    }
    let facts = &outcome.facts;
    println!(
        "{} requests, {} attempts, {} ran; {:.1} s of the world's time; hash {:016x}; {} broken rules",
        facts.requests.len(),
        facts.attempts.len(),
        facts.executions.len(),
        outcome.virtual_duration.as_secs_f64(),
        outcome.hash,
        outcome.violations.len()
    );
    if outcome.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// All mutants, with their effects.
fn known_mutants() -> impl Iterator<Item = (&'static str, &'static str)> {
    let of_fleet = fleet::MUTANTS.iter().map(|mutant| (mutant.name, mutant.effect));
    mutants::SIDECAR_MUTANTS.into_iter().chain(agreement::MUTANTS).chain(of_fleet)
}

fn main() -> ExitCode {
    let cli: Cli = match campaign::parse_args() {
        Ok(cli) => cli,
        Err(code) => return code,
    };
    if let Some(name) = &cli.mutant
        && known_mutants().all(|(known, _)| known != name)
    {
        eprintln!("unknown mutant `{name}`; known mutants:");
        known_mutants().for_each(|(name, what)| eprintln!("  {name}: {what}"));
        return ExitCode::from(2);
    }
    let mutant = cli.mutant.as_deref();
    let done = match cli.command {
        Command::Run { seed, script } => {
            let drawn = draw::script(seed);
            let saved = script.map_or(Ok(()), |path| write(&path, &drawn));
            saved.map(|()| report(&mutants::with(mutant, || run(&drawn, false))))
        }
        Command::Search { which, first } => Ok(search(&which, first, mutant)),
        Command::Shrink { script: path } => shrink_script_file(&path, mutant),
        Command::Replay { script, trace } => read_script(&script).map(|script| {
            let outcome = mutants::with(mutant, || run(&script, trace));
            if trace {
                print!("{}", timeline::render(&outcome));
            }
            report(&outcome)
        }),
        Command::Explain { script } => read_script(&script).map(|script| {
            let outcome = mutants::with(mutant, || run(&script, false));
            for violation in &outcome.violations {
                println!("{}", timeline::explain(&script, &outcome, violation));
            }
            report(&outcome)
        }),
        Command::Cluster(ask) => run_cluster_command(ask, mutant),
        Command::Fleet(verb) => fleet::command::execute(verb, mutant),
        Command::Mutants(starts) => Ok(measure_sidecar_mutants(starts)),
    };
    done.unwrap_or_else(|problem| {
        eprintln!("{problem}");
        ExitCode::from(2)
    })
}

fn shrink_script_file(path: &Path, mutant: Option<&str>) -> Result<ExitCode, String> {
    let script = read_script(path)?;
    let outcome = mutants::with(mutant, || run(&script, false));
    let Some(violation) = outcome.violations.first() else {
        return Err("the script breaks no rule".to_owned());
    };
    let (small, runs) = mutants::with(mutant, || {
        shrink::shrink(&script, violation.rule, |left| eprintln!("{left} requests and faults"))
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

fn search(which: &SeedArgs, first: bool, mutant: Option<&str>) -> ExitCode {
    let started = Instant::now();
    let sums: Mutex<(FaultPairs, Duration, u64)> = Mutex::default();
    let bar = "{bar:32} {pos}/{len} seeds {per_sec} {eta} {msg}";
    let done = campaign::search_seeds(which, bar, |seed, bar| {
        let script = draw::script(seed);
        let outcome = mutants::with(mutant, || run(&script, false));
        let (pairs, virtual_duration, violating) =
            &mut *sums.lock().unwrap_or_else(PoisonError::into_inner);
        *virtual_duration += outcome.virtual_duration;
        pairs.add(script.faults.iter().map(|fault| fault.kind()));
        let Some(violation) = outcome.violations.first() else { return true };
        bar.suspend(|| println!("seed {seed}: {violation}"));
        *violating += 1;
        !first
    });
    let (pairs, virtual_duration, violating) = sums.into_inner().unwrap_or_else(PoisonError::into_inner);
    let elapsed_s = started.elapsed().as_secs_f64();
    println!(
        "{done} seeds in {elapsed_s:.1} s: {:.1} a second, {:.0} s of the world's time a second; {pairs}; {violating} seeds break a \
         rule",
        done as f64 / elapsed_s,
        virtual_duration.as_secs_f64() / elapsed_s
    );
    if violating == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn measure_sidecar_mutants(starts: MutantArgs) -> ExitCode {
    let find = |name: &str, seed: u64| {
        let script = draw::script(seed);
        let outcome = mutants::with(Some(name), || run(&script, false));
        outcome.violations.first().map(|violation| (script, violation.rule))
    };
    let shrink = |name: &str, script: Script, rule| {
        let (small, _) = mutants::with(Some(name), || shrink::shrink(&script, rule, |_| {}));
        format!("{} and {}", small.asks.len(), small.faults.len())
    };
    campaign::measure_mutants(
        mutants::SIDECAR_MUTANTS.map(|(name, _)| name),
        "requests and faults",
        starts,
        find,
        shrink,
    )
}

// ---- cluster of control instances ----

fn run_cluster_command(ask: Cluster, mutant: Option<&str>) -> Result<ExitCode, String> {
    // A panic of a member is reported as a violation; its message and backtrace are shown only with RUST_BACKTRACE.
    if std::env::var_os("RUST_BACKTRACE").is_none() {
        std::panic::set_hook(Box::new(|_| {}));
    }
    let report = |script: &agreement::Script| {
        let done = mutants::with(mutant, || agreement::run(script));
        done.violations.iter().for_each(|violation| println!("{violation}"));
        let agreement::Outcomes { answered, index, hash, violations } = done;
        println!(
            "{answered} answers, {index} entries; hash {hash:016x}; {} broken rules",
            violations.len()
        );
        if violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    };
    match ask {
        Cluster::Run { seed, script } => {
            let drawn = agreement::script(seed);
            let saved = script.map_or(Ok(()), |path| campaign::write_script(&path, &drawn));
            saved.map(|()| report(&drawn))
        }
        Cluster::Replay { script } => read_script(&script).map(|script| report(&script)),
        Cluster::Search(which) => Ok(search_cluster(&which, mutant)),
        Cluster::Mutants(starts) => Ok(measure_cluster_mutants(starts)),
    }
}

fn search_cluster(which: &SeedArgs, mutant: Option<&str>) -> ExitCode {
    let started = Instant::now();
    let sums: Mutex<(FaultPairs, u64, u64)> = Mutex::default();
    let bar = "{bar:32} {pos}/{len} seeds {per_sec} {eta} {msg}";
    let done = campaign::search_seeds(which, bar, |seed, bar| {
        let script = agreement::script(seed);
        let done = mutants::with(mutant, || agreement::run(&script));
        let (pairs, answers, violating) = &mut *sums.lock().unwrap_or_else(PoisonError::into_inner);
        *answers += done.answered;
        pairs.add(script.faults.iter().map(|fault| fault.what.kind()));
        if let Some(violation) = done.violations.first() {
            bar.suspend(|| println!("seed {seed}: {violation}"));
            *violating += 1;
        }
        true
    });
    let (pairs, answers, violating) = sums.into_inner().unwrap_or_else(PoisonError::into_inner);
    let elapsed_s = started.elapsed().as_secs_f64();
    println!(
        "{done} seeds in {elapsed_s:.1} s: {:.0} a second; {answers} answers; {pairs}; {violating} seeds break a rule",
        done as f64 / elapsed_s
    );
    if violating == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn measure_cluster_mutants(starts: MutantArgs) -> ExitCode {
    let find = |name: &str, seed: u64| {
        let script = agreement::script(seed);
        let done = mutants::with(Some(name), || agreement::run(&script));
        done.violations.first().map(|violation| (script, violation.rule))
    };
    let shrink = |name: &str, script, rule| {
        let mut breaks = |candidate: &agreement::Script| {
            let done = mutants::with(Some(name), || agreement::run(candidate));
            done.violations.iter().any(|violation| violation.rule == rule)
        };
        let small = shrink::minimize_list(script, |s: &mut agreement::Script| &mut s.faults, &mut breaks);
        small.faults.len().to_string()
    };
    campaign::measure_mutants(agreement::MUTANTS.map(|(name, _)| name), "faults", starts, find, shrink)
}
