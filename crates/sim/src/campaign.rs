//! Shared parts of the programs that search for violations by seed: command-line arguments, script files, parallel
//! seeds, counts of fault combinations and the table of mutants.

use clap::{Args, Parser};
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::ops::Range;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};

/// Parses the command line. Prints the message and returns the exit code if it is invalid or asks for help.
pub fn parse_args<C: Parser>() -> Result<C, ExitCode> {
    C::try_parse().map_err(|problem| {
        let _ = problem.print();
        if problem.use_stderr() { ExitCode::from(2) } else { ExitCode::SUCCESS }
    })
}

/// The range of seeds and how many run in parallel.
#[derive(Args)]
pub struct SeedArgs {
    /// Seeds from A to B, without B: A..B.
    #[arg(long, value_parser = range)]
    pub seeds: Range<u64>,
    /// Number of threads; each runs seeds of its own.
    #[arg(long, default_value_t = 1)]
    pub jobs: usize,
}

/// How long to search for each mutant.
#[derive(Args)]
pub struct MutantArgs {
    /// Number of searches from different first seeds; the median of these is printed.
    #[arg(long, default_value_t = 5)]
    pub starts: u64,
    /// Most seeds to try in each search.
    #[arg(long, default_value_t = 2000)]
    pub most: u64,
}

fn range(text: &str) -> Result<Range<u64>, String> {
    let parts = text.split_once("..").and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    parts.ok_or_else(|| format!("`{text}` is not a range; expected A..B"))
}

/// Returns a function for `map_err` that puts the path in front of the error.
pub fn with_path<E: std::fmt::Display>(path: &Path) -> impl Fn(E) -> String {
    let path = path.display().to_string();
    move |problem| format!("{path}: {problem}")
}

/// Reads a script (JSON).
pub fn read_script<S: DeserializeOwned>(path: &Path) -> Result<S, String> {
    let text = std::fs::read_to_string(path).map_err(with_path(path))?;
    serde_json::from_str(&text).map_err(with_path(path))
}

/// Writes a script (JSON).
pub fn write_script(path: &Path, script: &impl Serialize) -> Result<(), String> {
    let text = serde_json::to_string_pretty(script).unwrap_or_default(); // fails only for maps with odd keys
    std::fs::write(path, text + "\n").map_err(with_path(path))
}

/// Runs `each` for every seed, on several threads and with a progress bar of this template, until one call returns
/// false. Returns how many seeds were run.
pub fn search_seeds(
    which: &SeedArgs,
    template: &str,
    each: impl Fn(u64, &ProgressBar) -> bool + Sync,
) -> u64 {
    let Range { start, end } = which.seeds;
    let (next, last) = (AtomicU64::new(start), AtomicU64::new(end));
    let style = ProgressStyle::with_template(template);
    let bar = ProgressBar::new(end.saturating_sub(start));
    let bar = bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    std::thread::scope(|scope| {
        for _ in 0..which.jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= last.load(Ordering::Relaxed) {
                        return;
                    }
                    if !each(seed, &bar) {
                        last.store(0, Ordering::Relaxed);
                    }
                    bar.inc(1);
                }
            });
        }
    });
    bar.finish_and_clear();
    next.into_inner().min(end).saturating_sub(start)
}

/// How often each pair of fault kinds occurred in the same run.
#[derive(Debug, Default)]
pub struct FaultPairs(BTreeMap<(&'static str, &'static str), u64>);

impl FaultPairs {
    /// Adds the fault kinds of one run.
    pub fn add(&mut self, kinds: impl Iterator<Item = &'static str>) {
        let mut kinds: Vec<&str> = kinds.collect();
        kinds.sort_unstable();
        kinds.dedup();
        for (n, one) in kinds.iter().enumerate() {
            kinds[n + 1..].iter().for_each(|other| *self.0.entry((one, other)).or_default() += 1);
        }
    }
}

impl std::fmt::Display for FaultPairs {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let rarest = self.0.values().min().unwrap_or(&0);
        write!(f, "{} pairs of kinds of fault seen, the rarest {rarest} times", self.0.len())
    }
}

/// Enables each mutant in turn and prints a table row for it: `find` returns the script and the rule that a seed violates
/// with it, `shrink` describes the minimized script. Returns a failure if a mutant was not found.
pub fn measure_mutants<S, R: Copy + Debug>(
    names: impl IntoIterator<Item = &'static str>,
    left: &str,
    MutantArgs { starts, most }: MutantArgs,
    find: impl Fn(&str, u64) -> Option<(S, R)>,
    shrink: impl Fn(&str, S, R) -> String,
) -> ExitCode {
    println!("| mutant | rule | seeds until found, median of {starts} | worst | {left} left |");
    println!("| --- | --- | --- | --- | --- |");
    let mut missed = false;
    for name in names {
        let first = |from: u64| {
            (from..from + most).find_map(|seed| find(name, seed).map(|found| (seed - from + 1, found)))
        };
        let finds: Vec<_> = (0..starts.max(1)).map(|start| first(start * 100_000)).collect();
        let mut counts: Vec<u64> =
            finds.iter().map(|found| found.as_ref().map_or(u64::MAX, |f| f.0)).collect();
        counts.sort_unstable();
        missed |= counts.contains(&u64::MAX);
        let count = |count: u64| if count == u64::MAX { format!("over {most}") } else { count.to_string() };
        let (rule, left) = match finds.into_iter().flatten().next() {
            Some((_, (script, rule))) => (format!("{rule:?}"), shrink(name, script, rule)),
            None => ("-".to_owned(), "-".to_owned()),
        };
        let (median, worst) = (count(counts[counts.len() / 2]), count(counts[counts.len() - 1]));
        println!("| `{name}` | {rule} | {median} | {worst} | {left} |");
    }
    if missed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
