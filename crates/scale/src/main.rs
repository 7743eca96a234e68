//! `runtrack-scale`: runs a fleet on one machine over loopback.

mod choices;
mod demo;
mod endpoints;
mod machines;
mod operator;

use bpaf::Bpaf;
use runtrack_link::run_single_threaded;
use std::process::ExitCode;

/// The router fleet on one machine, over loopback, with simulated endpoints and clients
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Arguments {
    /// Run a small fleet that serves streams, and print the clients' statistics every second while the configuration
    /// changes and a control member is killed
    #[bpaf(command)]
    Demo {
        /// Seconds to run
        #[bpaf(argument("SECONDS"), fallback(12))]
        seconds: u64,
        /// Requests per second
        #[bpaf(argument("RATE"), fallback(40.0))]
        rate: f64,
    },
    /// Simulate the selection of endpoints without a network, and print the load that requests find by subset size
    #[bpaf(command)]
    Choices {
        /// Number of proxies
        #[bpaf(argument("COUNT"), fallback(410))]
        proxies: usize,
        /// Number of endpoints
        #[bpaf(argument("COUNT"), fallback(12_000))]
        endpoints: usize,
        /// Mean number of requests in flight per endpoint
        #[bpaf(argument("LOAD"), fallback(2.8))]
        load: f64,
    },
}

fn main() -> ExitCode {
    match arguments().run() {
        Arguments::Choices { proxies, endpoints, load } => {
            choices::run(proxies, endpoints, load);
            ExitCode::SUCCESS
        }
        Arguments::Demo { seconds, rate } => {
            run_single_threaded("runtrack-scale", demo::run(seconds, rate))
        }
    }
}
