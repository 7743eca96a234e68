//! `runtrack-agent`: the agent of an edge machine.

use std::process::ExitCode;

const ABOUT: &str =
    "The agent of an edge machine: links to the controllers and supplies the proxy over loopback.";

fn main() -> ExitCode {
    runtrack_link::program("runtrack-agent", ABOUT, runtrack_agent::run)
}
