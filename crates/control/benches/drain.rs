//! Repeats the test of drains across a kill and an outage: `cargo bench -p runtrack-control --bench drain [-- ROUNDS]`.

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/common/drain_round.rs"]
mod drain_round;

fn main() {
    let rounds = std::env::args().filter_map(|arg| arg.parse::<u64>().ok()).next().unwrap_or(50);
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let late: Vec<usize> =
        (0..rounds).map(|seed| runtime.block_on(drain_round::run_round(common::BINARY, seed))).collect();
    println!(
        "{rounds} rounds, {} requests reached a draining endpoint after 2 s",
        late.iter().sum::<usize>()
    );
}
