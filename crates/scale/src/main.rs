//! `runtrack-scale`: the fleet on one machine, over loopback.

mod choices;
mod demo;
mod endpoints;
mod machines;
mod operator;

use bpaf::Bpaf;
use runtrack_link::run_single_threaded;
use std::process::ExitCode;

/// The router fleet on one machine, over loopback, with stand-ins for endpoints and clients
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Arguments {
    /// A small fleet that serves streams: prints what clients see, second by second, while a configuration changes and a
    /// control member is killed
    #[bpaf(command)]
    Demo {
        /// Seconds to run
        #[bpaf(argument("SECONDS"), fallback(12))]
        seconds: u64,
        /// Requests a second
        #[bpaf(argument("RATE"), fallback(40.0))]
        rate: f64,
    },
    /// The choice of an endpoint alone, without a network: the load that requests find by the size of each proxy's subset
    #[bpaf(command)]
    Choices {
        /// Proxies
        #[bpaf(argument("COUNT"), fallback(410))]
        proxies: usize,
        /// Endpoints
        #[bpaf(argument("COUNT"), fallback(12_000))]
        endpoints: usize,
        /// Requests in flight at each endpoint, on the mean
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
