//! `runtrack-agent`: the agent beside a proxy on an edge machine.

use std::process::ExitCode;

const ABOUT: &str =
    "The agent beside a proxy: links to the control members and feeds the proxy over loopback.";

fn main() -> ExitCode {
    runtrack_link::program("runtrack-agent", ABOUT, runtrack_agent::run)
}
