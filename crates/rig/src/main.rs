//! `runtrack-rig`: runs rounds of real processes under injected faults and checks their histories.

mod fleet_verbs;

use clap::{Parser, Subcommand};
use runtrack_rig::check::{Verdict, check_history};
use runtrack_rig::history::{self, Event};
use runtrack_rig::script::Script;
use runtrack_rig::{draw, measure, round};
use runtrack_sim::campaign::{self, FaultPairs, SeedArgs, read_script, with_path, write_script};
use runtrack_sim::shrink::minimize_list;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Runs rounds of real processes of the project under injected faults and checks their histories.
#[derive(Parser)]
#[command(
    name = "runtrack-rig",
    version,
    about,
    after_help = "Exit codes: 0 no rule violated; 1 a rule was violated; 2 the command line or a file is invalid, or a round failed to run."
)]
struct Cli {
    /// Mutant to enable in the instances, if they were built with mutants.
    #[arg(long, global = true, value_name = "NAME")]
    mutant: Option<String>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the round of a seed.
    Run {
        /// The seed.
        #[arg(long)]
        seed: u64,
        /// Write the generated script to this file.
        #[arg(long, value_name = "FILE")]
        script: Option<PathBuf>,
        /// Write the history to this file, one JSON object per line.
        #[arg(long, value_name = "FILE")]
        history: Option<PathBuf>,
    },
    /// Run the rounds of many seeds and report those that violate a rule.
    Search {
        #[command(flatten)]
        which: SeedArgs,
        /// Folder for the scripts and histories of rounds that violate a rule.
        #[arg(long, default_value = "found", value_name = "FOLDER")]
        out: PathBuf,
    },
    /// Run a script.
    Replay {
        /// The script (JSON).
        script: PathBuf,
        /// Write the history to this file, one JSON object per line.
        #[arg(long, value_name = "FILE")]
        history: Option<PathBuf>,
    },
    /// Measure the cost of consensus with three and with five instances.
    Measure {
        /// Number of times that the leader is killed.
        #[arg(long, default_value_t = 30)]
        kills: usize,
        /// Number of pools of a large configuration.
        #[arg(long, default_value_t = 10_000)]
        pools: usize,
    },
    /// Run rounds of controllers and agents of the fleet and report those that violate a rule.
    Fleet {
        #[command(flatten)]
        which: SeedArgs,
        /// Folder for the scripts and histories of rounds that violate a rule.
        #[arg(long, default_value = "found", value_name = "FOLDER")]
        out: PathBuf,
    },
    /// Run a script of the fleet.
    FleetReplay {
        /// The script (JSON).
        script: PathBuf,
        /// Write the history to this file, one JSON object per line.
        #[arg(long, value_name = "FILE")]
        history: Option<PathBuf>,
    },
    /// Check a recorded history of the fleet.
    FleetJudge {
        /// The history.
        history: PathBuf,
    },
    /// Check a recorded history.
    Judge {
        /// The history.
        history: PathBuf,
    },
    /// Remove the faults from a script that the violated rule does not need; writes the result with the suffix
    /// `.small`.
    Shrink {
        /// The script (JSON).
        script: PathBuf,
        /// Maximum number of rounds to run.
        #[arg(long, default_value_t = 60)]
        rounds: usize,
    },
}

fn run_round(script: &Script, mutant: Option<&str>) -> Result<(Vec<Event>, Verdict), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let events = runtime.map_err(|e| e.to_string())?.block_on(round::play(script, mutant));
    let events = events.map_err(|problem| format!("the round failed to run: {problem}"))?;
    let verdict = check_history(&events);
    Ok((events, verdict))
}

fn measure_costs(kills: usize, pools: usize) -> Result<ExitCode, String> {
    let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
    for count in [3, 5] {
        runtime.block_on(measure::measure_cluster(count, kills, pools)).map_err(|e| e.to_string())?;
    }
    Ok(ExitCode::SUCCESS)
}

fn report(verdict: &Verdict) -> ExitCode {
    for violation in &verdict.violations {
        println!("{violation}");
    }
    for key in &verdict.undecided_keys {
        println!("{key}: too many possible orders; linearizability was not decided");
    }
    println!("{} events, {} rule violations", verdict.events_checked, verdict.violations.len());
    if verdict.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn run_script(script: &Script, history: Option<&Path>, mutant: Option<&str>) -> Result<ExitCode, String> {
    let (events, verdict) = run_round(script, mutant)?;
    if let Some(path) = history {
        history::write(path, &events).map_err(with_path(path))?;
    }
    Ok(report(&verdict))
}

fn main() -> ExitCode {
    let cli: Cli = match campaign::parse_args() {
        Ok(cli) => cli,
        Err(code) => return code,
    };
    let mutant = cli.mutant.as_deref();
    let done = match cli.command {
        Command::Run { seed, script, history } => {
            let drawn = draw::script(seed);
            let saved = script.map_or(Ok(()), |path| write_script(&path, &drawn));
            saved.and_then(|()| run_script(&drawn, history.as_deref(), mutant))
        }
        Command::Search { which, out } => search(&which, &out, mutant),
        Command::Replay { script, history } => {
            read_script(&script).and_then(|script| run_script(&script, history.as_deref(), mutant))
        }
        Command::Fleet { which, out } => fleet_verbs::search(&which, &out),
        Command::FleetReplay { script, history } => fleet_verbs::replay(&script, history.as_deref()),
        Command::FleetJudge { history } => fleet_verbs::recheck(&history),
        Command::Measure { kills, pools } => measure_costs(kills, pools),
        Command::Judge { history } => history::read(&history)
            .map_err(with_path(&history))
            .map(|events| report(&check_history(&events))),
        Command::Shrink { script, rounds } => shrink(&script, rounds, mutant),
    };
    done.unwrap_or_else(|problem| {
        eprintln!("{problem}");
        ExitCode::from(2)
    })
}

#[derive(Default)]
struct Totals {
    pairs: FaultPairs,
    events: usize,
    rounds_with_violations: u64,
    failed_to_run: u64,
}

fn search(which: &SeedArgs, out: &Path, mutant: Option<&str>) -> Result<ExitCode, String> {
    std::fs::create_dir_all(out).map_err(with_path(out))?;
    let began = Instant::now();
    let totals: Mutex<Totals> = Mutex::default();
    let done = campaign::search_seeds(which, "{bar:32} {pos}/{len} rounds {eta} {msg}", |seed, bar| {
        let script = draw::script(seed);
        let runs = run_round(&script, mutant);
        let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
        let (events, verdict) = match runs {
            Ok(runs) => runs,
            Err(problem) => {
                totals.failed_to_run += 1;
                bar.suspend(|| println!("seed {seed}: {problem}"));
                return true;
            }
        };
        totals.events += verdict.events_checked;
        totals.pairs.add(script.faults.iter().map(|fault| fault.what.kind()));
        if let Some(violation) = verdict.violations.first() {
            totals.rounds_with_violations += 1;
            bar.suspend(|| println!("seed {seed}: {violation}"));
            let path = out.join(format!("rig-{seed}.history"));
            let saved = write_script(&out.join(format!("rig-{seed}.json")), &script);
            let saved = saved.and_then(|()| history::write(&path, &events).map_err(with_path(&path)));
            if let Err(problem) = saved {
                bar.suspend(|| eprintln!("{problem}"));
            }
        }
        true
    });
    let Totals { pairs, events, rounds_with_violations, failed_to_run } =
        totals.into_inner().unwrap_or_else(PoisonError::into_inner);
    let took = began.elapsed().as_secs_f64();
    println!(
        "{done} rounds in {took:.0} s, {:.0} an hour; {events} events checked; {pairs}; {rounds_with_violations} rounds violate a rule, {failed_to_run} \
         failed to run",
        done as f64 * 3600.0 / took
    );
    Ok(if rounds_with_violations + failed_to_run == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Real processes are not deterministic: a round that violated a rule may not do so again. A fault is removed if the
/// rule was violated at least once without it.
fn shrink(path: &Path, rounds: usize, mutant: Option<&str>) -> Result<ExitCode, String> {
    let script = read_script(path)?;
    let (_, verdict) = run_round(&script, mutant)?;
    let Some(rule) = verdict.violations.first().map(|violation| violation.rule) else {
        return Err("the script violated no rule in this run".to_owned());
    };
    let mut runs = 0;
    let mut still_violates = |candidate: &Script| {
        runs += 1;
        let violates_rule = |(_, verdict): (Vec<Event>, Verdict)| {
            verdict.violations.iter().any(|violation| violation.rule == rule)
        };
        runs <= rounds && run_round(candidate, mutant).is_ok_and(violates_rule)
    };
    let small = minimize_list(script, |script: &mut Script| &mut script.faults, &mut still_violates);
    let to = PathBuf::from(format!("{}.small", path.display()));
    write_script(&to, &small)?;
    println!(
        "{}: {} faults, after {runs} rounds, and {rule:?} is still violated",
        to.display(),
        small.faults.len()
    );
    Ok(ExitCode::FAILURE)
}
