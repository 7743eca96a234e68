//! Benchmark of `plan` and `apply` by fleet size, of commits and of opening a state, and a crash test that kills 500
//! applies. Each figure is from one run.
//!
//! `cargo bench -p runtrack-cli --bench kills`

#[path = "../tests/common/mod.rs"]
mod common;

use runtrack_store::{Files, Folder as StoreFolder, Store};
use runtrack_testkit::TempDir;
use std::path::Path;
use std::time::Instant;

fn main() {
    println!("plan and apply as processes; the change is a limit of one pool\n");
    println!(
        "{:>8} {:>10} {:>10} {:>12} {:>12}",
        "pools", "plan ms", "apply ms", "plan bytes", "state bytes"
    );
    for pools in [10, 1000, 10_000] {
        let folder = TempDir::new();
        measure_plan_and_apply(folder.path(), pools);
    }
    let (commit, plain) = measure_commits();
    println!(
        "\na commit of 100 KB {commit:.2} ms, a plain write and sync of it {plain:.2} ms, ratio {:.2}",
        commit / plain
    );
    println!("\nopening a state, checks and the current version's text included:");
    for versions in [1, 10, 100] {
        println!("{versions:>8} versions of 100 KB: {:.3} ms", measure_open(versions));
    }
    println!("\nkills, at random times over a whole apply:");
    for (pools, rounds) in [(10, 300), (1000, 200)] {
        let folder = TempDir::new();
        let (committed, inconsistent) = common::kill_applies(folder.path(), rounds, pools, 1);
        println!(
            "{pools:>8} pools: {rounds} kills, {committed} had committed, {inconsistent} inconsistent"
        );
    }
}

fn measure_plan_and_apply(folder: &Path, pools: usize) {
    use common::{code, ctl, fleet};
    let run = |args: &[&str]| {
        let started_at = Instant::now();
        let done = ctl(folder, args);
        assert_eq!(code(&done), 0, "{}", common::err(&done));
        started_at.elapsed().as_secs_f64() * 1000.0
    };
    let median = |mut times: Vec<f64>| {
        times.sort_by(f64::total_cmp);
        times[times.len() / 2]
    };
    std::fs::write(folder.join("a.toml"), fleet(pools, 100)).expect("a file");
    run(&["init"]);
    run(&["plan", "a.toml", "-o", "p"]);
    run(&["apply", "p"]);
    let (mut plans, mut applies) = (Vec::new(), Vec::new());
    for round in 0..7u32 {
        let text =
            fleet(pools, 100).replacen("max_requests = 100", &format!("max_requests = {}", 200 + round), 1);
        std::fs::write(folder.join("b.toml"), text).expect("a file");
        plans.push(run(&["plan", "b.toml", "-o", "p"]));
        applies.push(run(&["apply", "p"]));
    }
    let bytes = |name: &str| std::fs::metadata(folder.join(name)).map_or(0, |file| file.len());
    println!(
        "{pools:>8} {:>10.1} {:>10.1} {:>12} {:>12}",
        median(plans),
        median(applies),
        bytes("p"),
        bytes("state/state-0000000002")
    );
}

/// Median times of a commit and of a plain write and sync of the same bytes, alternating, in milliseconds.
fn measure_commits() -> (f64, f64) {
    let folder = TempDir::new();
    let files = || StoreFolder::new(folder.path()).expect("a folder");
    let mut store = Store::open_or_create(files(), "l").expect("a store");
    let text = "x".repeat(100_000);
    let (mut commit_times, mut plain_times) = (Vec::new(), Vec::new());
    for n in 0..200 {
        let started_at = Instant::now();
        let entry = runtrack_store::CommitInfo {
            author: "a",
            reason: "b",
            at_ms: 0,
            ..runtrack_store::CommitInfo::default()
        };
        store.commit(n, &text, entry).expect("a commit");
        commit_times.push(started_at.elapsed().as_secs_f64() * 1000.0);
        let started_at = Instant::now();
        let plain = files();
        plain.write("bare", text.as_bytes()).expect("a write");
        plain.sync("bare").expect("a sync");
        plain_times.push(started_at.elapsed().as_secs_f64() * 1000.0);
    }
    commit_times.sort_by(f64::total_cmp);
    plain_times.sort_by(f64::total_cmp);
    (commit_times[commit_times.len() / 2], plain_times[plain_times.len() / 2])
}

/// Median time to open a state with a number of versions and read its current text, in milliseconds.
fn measure_open(versions: u64) -> f64 {
    let folder = TempDir::new();
    let files = || StoreFolder::new(folder.path()).expect("a folder");
    let mut store = Store::open_or_create(files(), "l").expect("a store");
    let text = "x".repeat(100_000);
    for n in 0..versions {
        store.commit(n, &text, runtrack_store::CommitInfo::default()).expect("a commit");
    }
    let measure_once = || {
        let started_at = Instant::now();
        let store = Store::open(files()).expect("readable").expect("there");
        assert_eq!(store.text(versions).expect("readable").len(), text.len());
        started_at.elapsed().as_secs_f64() * 1000.0
    };
    let mut times: Vec<f64> = (0..50).map(|_| measure_once()).collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}
