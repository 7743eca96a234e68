//! 100,000 simulated power cuts during a commit: at each file operation, with random losses of unsynced data.
//!
//! `cargo bench -p runtrack-store --bench cuts`

#[path = "../tests/support/mod.rs"]
mod support;

fn main() {
    let start = std::time::Instant::now();
    let (mut old, mut new) = (0, 0);
    for versions in [0, 1, 3, 100] {
        let seeds = if versions == 100 { 300 } else { 4_800 };
        let (kept_old, committed) = support::cut_commits(versions, 0..seeds);
        println!(
            "{versions:>4} versions: {} cuts, {kept_old} left the old state, {committed} the new, 0 a mix",
            kept_old + committed
        );
        (old, new) = (old + kept_old, new + committed);
    }
    println!(
        "{} cuts in {:.1} s; a mix would have ended this run",
        old + new,
        start.elapsed().as_secs_f64()
    );
}
