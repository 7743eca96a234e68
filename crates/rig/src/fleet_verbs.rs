//! The verbs that play and judge rounds of the fleet.

use runtrack_rig::check::Judgement;
use runtrack_rig::fleet::check::{Rule, judge};
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
    broken: u64,
    unplayed: u64,
    by_rule: BTreeMap<Rule, u64>,
}

fn play_round(script: &Script) -> Result<(Vec<Event>, Judgement<Rule>), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let events = runtime.map_err(|e| e.to_string())?.block_on(play(script));
    let events = events.map_err(|problem| format!("the round could not be played: {problem}"))?;
    let judgement = judge(&events);
    Ok((events, judgement))
}

/// Plays the rounds of many seeds, and says which break a rule.
pub fn search(which: &SeedArgs, out: &Path) -> Result<ExitCode, String> {
    std::fs::create_dir_all(out).map_err(with_path(out))?;
    let began = Instant::now();
    let totals: Mutex<Totals> = Mutex::default();
    let done = campaign::search_seeds(which, "{bar:32} {pos}/{len} rounds {eta} {msg}", |seed, bar| {
        let script = draw::script(seed);
        let played = play_round(&script);
        let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
        match played {
            Ok((events, judgement)) => {
                if let Err(problem) = totals.add(out, &script, &events, &judgement) {
                    bar.suspend(|| eprintln!("{problem}"));
                }
            }
            Err(problem) => {
                totals.unplayed += 1;
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
        judgement: &Judgement<Rule>,
    ) -> Result<(), String> {
        self.events += judgement.looked_at;
        self.pairs.add(script.faults.iter().map(|fault| fault.what.kind()));
        if judgement.breaches.is_empty() {
            return Ok(());
        }
        self.broken += 1;
        let rules: BTreeSet<Rule> = judgement.breaches.iter().map(|breach| breach.rule).collect();
        rules.iter().for_each(|rule| *self.by_rule.entry(*rule).or_default() += 1);
        println!("seed {}: {} breaches", script.seed, judgement.breaches.len());
        for rule in &rules {
            if let Some(first) = judgement.breaches.iter().find(|breach| breach.rule == *rule) {
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
            "{done} rounds in {took:.0} s; {} events judged; {}; {} rounds break a rule {:?}, {} could not be played",
            self.events, self.pairs, self.broken, self.by_rule, self.unplayed
        );
        if self.broken + self.unplayed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }
}

fn report(judgement: &Judgement<Rule>) -> ExitCode {
    judgement.breaches.iter().for_each(|breach| println!("{breach}"));
    println!("{} events, {} broken rules", judgement.looked_at, judgement.breaches.len());
    if judgement.breaches.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Plays a script.
pub fn replay(script: &Path, history: Option<&Path>) -> Result<ExitCode, String> {
    let (events, judgement) = play_round(&read_script(script)?)?;
    if let Some(path) = history {
        history::write(path, &events).map_err(with_path(path))?;
    }
    Ok(report(&judgement))
}

/// Judges a history again.
pub fn judge_again(path: &Path) -> Result<ExitCode, String> {
    let events: Vec<Event> = history::read(path).map_err(with_path(path))?;
    Ok(report(&judge(&events)))
}
