//! Five hundred real kills of an apply, and what plan and apply cost by size. Each figure of one run.
//!
//! `cargo bench -p runtrack-cli --bench kills`

#[path = "../tests/common/mod.rs"]
mod common;

use runtrack_store::{Files, Folder as Files_, Store};
use runtrack_testkit::TempDir;
use std::path::Path;
use std::time::Instant;

fn main() {
    println!("plan and apply, whole processes; a limit of one pool changes\n");
    println!(
        "{:>8} {:>10} {:>10} {:>12} {:>12}",
        "pools", "plan ms", "apply ms", "plan bytes", "state bytes"
    );
    for pools in [10, 1000, 10_000] {
        let folder = TempDir::new();
        size(folder.path(), pools);
    }
    let (commit, bare) = commits();
    println!(
        "\na commit of 100 KB {commit:.2} ms, a bare write and sync of it {bare:.2} ms, ratio {:.2}",
        commit / bare
    );
    println!("\nopening a state, checks and the current version's text included:");
    for versions in [1, 10, 100] {
        println!("{versions:>8} versions of 100 KB: {:.3} ms", opening(versions));
    }
    println!("\nkills, at random times over a whole apply:");
    for (pools, rounds) in [(10, 300), (1000, 200)] {
        let folder = TempDir::new();
        let (committed, mixes) = common::kills(folder.path(), rounds, pools, 1);
        println!("{pools:>8} pools: {rounds} kills, {committed} had committed, {mixes} mixes");
    }
}

fn size(folder: &Path, pools: usize) {
    use common::{code, ctl, fleet};
    let run = |args: &[&str]| {
        let began = Instant::now();
        let done = ctl(folder, args);
        assert_eq!(code(&done), 0, "{}", common::err(&done));
        began.elapsed().as_secs_f64() * 1000.0
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

/// Medians of a commit and of a bare write and sync of the same bytes, in ms, in turn.
fn commits() -> (f64, f64) {
    let folder = TempDir::new();
    let files = || Files_::new(folder.path()).expect("a folder");
    let mut store = Store::open_or_create(files(), "l").expect("a store");
    let text = "x".repeat(100_000);
    let (mut commits, mut bares) = (Vec::new(), Vec::new());
    for n in 0..200 {
        let began = Instant::now();
        let entry = runtrack_store::CommitInfo {
            author: "a",
            reason: "b",
            at_ms: 0,
            ..runtrack_store::CommitInfo::default()
        };
        store.commit(n, &text, entry).expect("a commit");
        commits.push(began.elapsed().as_secs_f64() * 1000.0);
        let began = Instant::now();
        let bare = files();
        bare.write("bare", text.as_bytes()).expect("a write");
        bare.sync("bare").expect("a sync");
        bares.push(began.elapsed().as_secs_f64() * 1000.0);
    }
    commits.sort_by(f64::total_cmp);
    bares.sort_by(f64::total_cmp);
    (commits[commits.len() / 2], bares[bares.len() / 2])
}

/// Median time in which a state with so many versions is open and its current text read, in ms.
fn opening(versions: u64) -> f64 {
    let folder = TempDir::new();
    let files = || Files_::new(folder.path()).expect("a folder");
    let mut store = Store::open_or_create(files(), "l").expect("a store");
    let text = "x".repeat(100_000);
    for n in 0..versions {
        store.commit(n, &text, runtrack_store::CommitInfo::default()).expect("a commit");
    }
    let once = || {
        let began = Instant::now();
        let store = Store::open(files()).expect("readable").expect("there");
        assert_eq!(store.text(versions).expect("readable").len(), text.len());
        began.elapsed().as_secs_f64() * 1000.0
    };
    let mut times: Vec<f64> = (0..50).map(|_| once()).collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}
