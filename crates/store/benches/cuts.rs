//! 100,000 simulated power cuts during a commit: at each file operation, with random losses of unsynced data.
//!
//! `cargo bench -p runtrack-store --bench cuts`

#[path = "../tests/support/mod.rs"]
mod support;

fn main() {
    let began = std::time::Instant::now();
    let (mut old, mut new) = (0, 0);
    for versions in [0, 1, 3, 100] {
        let seeds = if versions == 100 { 300 } else { 4_800 };
        let (kept, made) = support::cuts(versions, 0..seeds);
        println!(
            "{versions:>4} versions: {} cuts, {kept} left the old state, {made} the new, 0 a mix",
            kept + made
        );
        (old, new) = (old + kept, new + made);
    }
    println!(
        "{} cuts in {:.1} s; a mix would have ended this run",
        old + new,
        began.elapsed().as_secs_f64()
    );
}
