//! `runtrack-proxy`: the fleet's proxy on an edge machine.

use std::process::ExitCode;

const ABOUT: &str = "The edge proxy of the router fleet: takes clients' requests and sends each to an endpoint that the module chooses.";

fn main() -> ExitCode {
    runtrack_link::program("runtrack-proxy", ABOUT, runtrack_proxy::run)
}
