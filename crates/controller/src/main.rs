//! `runtrack-controller`: a control member on a core machine.

use std::process::ExitCode;

const ABOUT: &str =
    "A control member of the router fleet: endpoints and the operator call it, agents link to it.";

fn main() -> ExitCode {
    runtrack_link::program("runtrack-controller", ABOUT, runtrack_controller::run)
}
