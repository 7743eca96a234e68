//! `runtrack-proxy`: the fleet's proxy on an edge machine.

use bpaf::Bpaf;
use runtrack_fleetconfig::Node;
use runtrack_link::{Signals, run_single_threaded};
use runtrack_proxy::run;
use std::process::ExitCode;

/// The edge proxy of the router fleet: takes clients' requests and sends each to an endpoint that the module chooses.
/// Its settings are in the file that RUNTRACK_NODE_FILE names.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Read and check the settings, print what is wrong, and end
    check: bool,
}

fn main() -> ExitCode {
    let Arguments { check } = arguments().run();
    run_single_threaded("runtrack-proxy", async move {
        let signals = Signals::new().map_err(|error| error.to_string())?;
        let node = Node::from_env().map_err(|error| error.to_string())?;
        if check {
            return Ok(());
        }
        run(node, signals).await
    })
}
