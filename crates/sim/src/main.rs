//! `runtrack-sim`: runs scripts and seeds, searches for broken rules, makes them small, and explains them.

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
        #[command(flatten)]
        which: SeedArgs,
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
    /// The fleet's controllers and agents, in place of the sidecar.
    #[command(subcommand)]
    Fleet(fleet::command::Command),
    /// Plant each error in turn, and count the seeds until it is found and the lines of its smallest script.
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
    /// Run many seeds and say which break a rule.
    Search(SeedArgs),
    /// Run a script.
    Replay {
        /// The script (JSON).
        script: PathBuf,
    },
    /// Plant each error in turn, and count the seeds until it is found and the faults of its smallest script.
    Mutants(MutantArgs),
}

fn write(path: &Path, script: &Script) -> Result<(), String> {
    std::fs::write(path, short(script)).map_err(with_path(path))
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

/// All planted errors that there are, each with what it does.
fn known_mutants() -> impl Iterator<Item = (&'static str, &'static str)> {
    let of_fleet = fleet::MUTANTS.iter().map(|mutant| (mutant.name, mutant.effect));
    mutants::ALL.into_iter().chain(agreement::MUTANTS).chain(of_fleet)
}

fn main() -> ExitCode {
    let cli: Cli = match campaign::parse_args() {
        Ok(cli) => cli,
        Err(code) => return code,
    };
    if let Some(name) = &cli.mutant
        && known_mutants().all(|(known, _)| known != name)
    {
        eprintln!("there is no mutant `{name}`; those that there are:");
        known_mutants().for_each(|(name, what)| eprintln!("  {name}: {what}"));
        return ExitCode::from(2);
    }
    let mutant = cli.mutant.as_deref();
    let done = match cli.command {
        Command::Run { seed, script } => {
            let drawn = draw::script(seed);
            let kept = script.map_or(Ok(()), |path| write(&path, &drawn));
            kept.map(|()| report(&mutants::with(mutant, || run(&drawn, false))))
        }
        Command::Search { which, first } => Ok(search(&which, first, mutant)),
        Command::Shrink { script: path } => shrink_file(&path, mutant),
        Command::Replay { script, trace } => read_script(&script).map(|script| {
            let outcome = mutants::with(mutant, || run(&script, trace));
            if trace {
                print!("{}", timeline::whole(&outcome));
            }
            report(&outcome)
        }),
        Command::Explain { script } => read_script(&script).map(|script| {
            let outcome = mutants::with(mutant, || run(&script, false));
            for breach in &outcome.breaches {
                println!("{}", timeline::explain(&script, &outcome, breach));
            }
            report(&outcome)
        }),
        Command::Cluster(ask) => cluster(ask, mutant),
        Command::Fleet(verb) => fleet::command::execute(verb, mutant),
        Command::Mutants(starts) => Ok(plant_all(starts)),
    };
    done.unwrap_or_else(|problem| {
        eprintln!("{problem}");
        ExitCode::from(2)
    })
}

fn shrink_file(path: &Path, mutant: Option<&str>) -> Result<ExitCode, String> {
    let script = read_script(path)?;
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

fn search(which: &SeedArgs, first: bool, mutant: Option<&str>) -> ExitCode {
    let began = Instant::now();
    let sums: Mutex<(FaultPairs, Duration, u64)> = Mutex::default();
    let bar = "{bar:32} {pos}/{len} seeds {per_sec} {eta} {msg}";
    let done = campaign::search_seeds(which, bar, |seed, bar| {
        let script = draw::script(seed);
        let outcome = mutants::with(mutant, || run(&script, false));
        let (pairs, lasted, broken) = &mut *sums.lock().unwrap_or_else(PoisonError::into_inner);
        *lasted += outcome.lasted;
        pairs.add(script.faults.iter().map(|fault| fault.kind()));
        let Some(breach) = outcome.breaches.first() else { return true };
        bar.suspend(|| println!("seed {seed}: {breach}"));
        *broken += 1;
        !first
    });
    let (pairs, lasted, broken) = sums.into_inner().unwrap_or_else(PoisonError::into_inner);
    let took = began.elapsed().as_secs_f64();
    println!(
        "{done} seeds in {took:.1} s: {:.1} a second, {:.0} s of the world's time a second; {pairs}; {broken} seeds break a \
         rule",
        done as f64 / took,
        lasted.as_secs_f64() / took
    );
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn plant_all(starts: MutantArgs) -> ExitCode {
    let find = |name: &str, seed: u64| {
        let script = draw::script(seed);
        let outcome = mutants::with(Some(name), || run(&script, false));
        outcome.breaches.first().map(|breach| (script, breach.rule))
    };
    let shrink = |name: &str, script: Script, rule| {
        let (small, _) = mutants::with(Some(name), || shrink::shrink(&script, rule, |_| {}));
        format!("{} and {}", small.asks.len(), small.faults.len())
    };
    campaign::measure_mutants(
        mutants::ALL.map(|(name, _)| name),
        "requests and faults",
        starts,
        find,
        shrink,
    )
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
            let kept = script.map_or(Ok(()), |path| campaign::write_script(&path, &drawn));
            kept.map(|()| report(&drawn))
        }
        Cluster::Replay { script } => read_script(&script).map(|script| report(&script)),
        Cluster::Search(which) => Ok(search_cluster(&which, mutant)),
        Cluster::Mutants(starts) => Ok(plant_cluster(starts)),
    }
}

fn search_cluster(which: &SeedArgs, mutant: Option<&str>) -> ExitCode {
    let began = Instant::now();
    let sums: Mutex<(FaultPairs, u64, u64)> = Mutex::default();
    let bar = "{bar:32} {pos}/{len} seeds {per_sec} {eta} {msg}";
    let done = campaign::search_seeds(which, bar, |seed, bar| {
        let script = agreement::script(seed);
        let done = mutants::with(mutant, || agreement::run(&script));
        let (pairs, answers, broken) = &mut *sums.lock().unwrap_or_else(PoisonError::into_inner);
        *answers += done.answered;
        pairs.add(script.faults.iter().map(|fault| fault.what.kind()));
        if let Some(breach) = done.breaches.first() {
            bar.suspend(|| println!("seed {seed}: {breach}"));
            *broken += 1;
        }
        true
    });
    let (pairs, answers, broken) = sums.into_inner().unwrap_or_else(PoisonError::into_inner);
    let took = began.elapsed().as_secs_f64();
    println!(
        "{done} seeds in {took:.1} s: {:.0} a second; {answers} answers; {pairs}; {broken} seeds break a rule",
        done as f64 / took
    );
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn plant_cluster(starts: MutantArgs) -> ExitCode {
    let find = |name: &str, seed: u64| {
        let script = agreement::script(seed);
        let done = mutants::with(Some(name), || agreement::run(&script));
        done.breaches.first().map(|breach| (script, breach.rule))
    };
    let shrink = |name: &str, script, rule| {
        let mut breaks = |candidate: &agreement::Script| {
            let done = mutants::with(Some(name), || agreement::run(candidate));
            done.breaches.iter().any(|breach| breach.rule == rule)
        };
        let small = shrink::minimize_list(script, |s: &mut agreement::Script| &mut s.faults, &mut breaks);
        small.faults.len().to_string()
    };
    campaign::measure_mutants(agreement::MUTANTS.map(|(name, _)| name), "faults", starts, find, shrink)
}
