//! `runtrack-proxy`: the proxy of an edge machine.

use std::process::ExitCode;

const ABOUT: &str =
    "The edge proxy of the router fleet: accepts clients' requests and load-balances them over endpoints.";

fn main() -> ExitCode {
    runtrack_link::program("runtrack-proxy", ABOUT, runtrack_proxy::run)
}
