//! `runtrack-rig`: plays rounds of real processes with faults between them, and judges what happened.

mod fleet_verbs;

use clap::{Parser, Subcommand};
use runtrack_rig::check::{Judgement, judge};
use runtrack_rig::history::{self, Event};
use runtrack_rig::script::Script;
use runtrack_rig::{draw, measure, world};
use runtrack_sim::campaign::{self, FaultPairs, SeedArgs, read_script, with_path, write_script};
use runtrack_sim::shrink::minimize_list;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Plays rounds of real processes of the project with faults between them, and judges what happened.
#[derive(Parser)]
#[command(
    name = "runtrack-rig",
    version,
    about,
    after_help = "Exit codes: 0 no rule broken; 1 a rule was broken; 2 the command line or a file is wrong, or a round could not be played."
)]
struct Cli {
    /// An error to plant in the instances, where they were built with such errors.
    #[arg(long, global = true, value_name = "NAME")]
    mutant: Option<String>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play the round of a seed.
    Run {
        /// The seed.
        #[arg(long)]
        seed: u64,
        /// Write its script here.
        #[arg(long, value_name = "FILE")]
        script: Option<PathBuf>,
        /// Write what happened here, a JSON line an event.
        #[arg(long, value_name = "FILE")]
        history: Option<PathBuf>,
    },
    /// Play the rounds of many seeds, and say which break a rule.
    Search {
        #[command(flatten)]
        which: SeedArgs,
        /// Where scripts and histories of rounds that break a rule go.
        #[arg(long, default_value = "found", value_name = "FOLDER")]
        out: PathBuf,
    },
    /// Play a script.
    Replay {
        /// The script (JSON).
        script: PathBuf,
        /// Write what happened here, a JSON line an event.
        #[arg(long, value_name = "FILE")]
        history: Option<PathBuf>,
    },
    /// Measure what agreement costs, with three instances and with five.
    Measure {
        /// Kills of a leader.
        #[arg(long, default_value_t = 30)]
        kills: usize,
        /// Pools of a large fleet.
        #[arg(long, default_value_t = 10_000)]
        pools: usize,
    },
    /// Play rounds of the fleet's controllers and agents, and say which break a rule.
    Fleet {
        #[command(flatten)]
        which: SeedArgs,
        /// Where scripts and histories of rounds that break a rule go.
        #[arg(long, default_value = "found", value_name = "FOLDER")]
        out: PathBuf,
    },
    /// Play a script of the fleet.
    FleetReplay {
        /// The script (JSON).
        script: PathBuf,
        /// Write what happened here, a JSON line an event.
        #[arg(long, value_name = "FILE")]
        history: Option<PathBuf>,
    },
    /// Judge a history of the fleet again.
    FleetJudge {
        /// The history.
        history: PathBuf,
    },
    /// Judge a history again.
    Judge {
        /// The history.
        history: PathBuf,
    },
    /// Leave out of a script what the broken rule does not need; write it with `.small` behind.
    Shrink {
        /// The script (JSON).
        script: PathBuf,
        /// Rounds at most.
        #[arg(long, default_value_t = 60)]
        rounds: usize,
    },
}

fn play(script: &Script, mutant: Option<&str>) -> Result<(Vec<Event>, Judgement), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let events = runtime.map_err(|e| e.to_string())?.block_on(world::play(script, mutant));
    let events = events.map_err(|problem| format!("the round could not be played: {problem}"))?;
    let judgement = judge(&events);
    Ok((events, judgement))
}

fn figures(kills: usize, pools: usize) -> Result<ExitCode, String> {
    let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
    for count in [3, 5] {
        runtime.block_on(measure::instances(count, kills, pools)).map_err(|e| e.to_string())?;
    }
    Ok(ExitCode::SUCCESS)
}

fn report(judgement: &Judgement) -> ExitCode {
    for breach in &judgement.breaches {
        println!("{breach}");
    }
    for key in &judgement.unjudged {
        println!("{key}: too many possible orders, not judged");
    }
    println!("{} events, {} broken rules", judgement.looked_at, judgement.breaches.len());
    if judgement.breaches.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn one(script: &Script, history: Option<&Path>, mutant: Option<&str>) -> Result<ExitCode, String> {
    let (events, judgement) = play(script, mutant)?;
    if let Some(path) = history {
        history::write(path, &events).map_err(with_path(path))?;
    }
    Ok(report(&judgement))
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
            let kept = script.map_or(Ok(()), |path| write_script(&path, &drawn));
            kept.and_then(|()| one(&drawn, history.as_deref(), mutant))
        }
        Command::Search { which, out } => search(&which, &out, mutant),
        Command::Replay { script, history } => {
            read_script(&script).and_then(|script| one(&script, history.as_deref(), mutant))
        }
        Command::Fleet { which, out } => fleet_verbs::search(&which, &out),
        Command::FleetReplay { script, history } => fleet_verbs::replay(&script, history.as_deref()),
        Command::FleetJudge { history } => fleet_verbs::judge_again(&history),
        Command::Measure { kills, pools } => figures(kills, pools),
        Command::Judge { history } => {
            history::read(&history).map_err(with_path(&history)).map(|events| report(&judge(&events)))
        }
        Command::Shrink { script, rounds } => shrink(&script, rounds, mutant),
    };
    done.unwrap_or_else(|problem| {
        eprintln!("{problem}");
        ExitCode::from(2)
    })
}

#[derive(Default)]
struct Sums {
    pairs: FaultPairs,
    events: usize,
    broken: u64,
    unplayed: u64,
}

fn search(which: &SeedArgs, out: &Path, mutant: Option<&str>) -> Result<ExitCode, String> {
    std::fs::create_dir_all(out).map_err(with_path(out))?;
    let began = Instant::now();
    let sums: Mutex<Sums> = Mutex::default();
    let done = campaign::search_seeds(which, "{bar:32} {pos}/{len} rounds {eta} {msg}", |seed, bar| {
        let script = draw::script(seed);
        let played = play(&script, mutant);
        let mut sums = sums.lock().unwrap_or_else(PoisonError::into_inner);
        let (events, judgement) = match played {
            Ok(played) => played,
            Err(problem) => {
                sums.unplayed += 1;
                bar.suspend(|| println!("seed {seed}: {problem}"));
                return true;
            }
        };
        sums.events += judgement.looked_at;
        sums.pairs.add(script.faults.iter().map(|fault| fault.what.kind()));
        if let Some(breach) = judgement.breaches.first() {
            sums.broken += 1;
            bar.suspend(|| println!("seed {seed}: {breach}"));
            let path = out.join(format!("rig-{seed}.history"));
            let kept = write_script(&out.join(format!("rig-{seed}.json")), &script);
            let kept = kept.and_then(|()| history::write(&path, &events).map_err(with_path(&path)));
            if let Err(problem) = kept {
                bar.suspend(|| eprintln!("{problem}"));
            }
        }
        true
    });
    let Sums { pairs, events, broken, unplayed } =
        sums.into_inner().unwrap_or_else(PoisonError::into_inner);
    let took = began.elapsed().as_secs_f64();
    println!(
        "{done} rounds in {took:.0} s, {:.0} an hour; {events} events judged; {pairs}; {broken} rounds break a rule, {unplayed} \
         could not be played",
        done as f64 * 3600.0 / took
    );
    Ok(if broken + unplayed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Real processes are no virtual world: a round that broke a rule may not do so again. What is left out is what the rule
/// broke without, at least once.
fn shrink(path: &Path, rounds: usize, mutant: Option<&str>) -> Result<ExitCode, String> {
    let script = read_script(path)?;
    let (_, judgement) = play(&script, mutant)?;
    let Some(rule) = judgement.breaches.first().map(|breach| breach.rule) else {
        return Err("it breaks no rule, this time".to_owned());
    };
    let mut played = 0;
    let mut breaks = |candidate: &Script| {
        played += 1;
        let broken = |(_, judgement): (Vec<Event>, Judgement)| {
            judgement.breaches.iter().any(|breach| breach.rule == rule)
        };
        played <= rounds && play(candidate, mutant).is_ok_and(broken)
    };
    let small = minimize_list(script, |script: &mut Script| &mut script.faults, &mut breaks);
    let to = PathBuf::from(format!("{}.small", path.display()));
    write_script(&to, &small)?;
    println!(
        "{}: {} faults, after {played} rounds, and {rule:?} still breaks",
        to.display(),
        small.faults.len()
    );
    Ok(ExitCode::FAILURE)
}
