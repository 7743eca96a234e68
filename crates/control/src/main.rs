//! `runtrack-control`: the control plane. Learns of endpoints, their health and drains, and configures proxies through
//! xDS.

mod admin;
mod cluster;
mod desired;
mod error_rate;
mod fleet_state;
mod persistence;
mod pool;
mod progress;
mod replicated;
mod rollout;
mod serve;
mod serving_state;
mod settings;
mod shared;
mod single_instance;
mod source;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Hands the fleet's state to proxies and proxyless gRPC clients through xDS v3.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM. SIGHUP reads the fleet's file again, a store is followed; what is bad leaves the old
    /// state serving.
    Serve {
        /// The service's settings.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Check the settings and the fleet's file; print what is wrong, or the fleet's hash.
    Check {
        /// The service's settings.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
}

fn main() -> ExitCode {
    runtrack_net::log_to_stderr();
    let done = match Cli::parse().command {
        Command::Serve { config } => match tokio::runtime::Builder::new_multi_thread().enable_all().build()
        {
            Ok(runtime) => {
                let done = runtime.block_on(serve::serve(&config));
                runtime.shutdown_background();
                done.map_err(|problem| problem.to_string())
            }
            Err(problem) => Err(problem.to_string()),
        },
        Command::Check { config } => settings::Settings::read(&config)
            .map_err(desired::DesiredError::from)
            .and_then(|settings| match &settings.cluster {
                Some(cluster) => Ok(format!("a member of a cluster, in {}", cluster.member.display())),
                None => {
                    desired::Origin::from_settings(&settings).read().map(|desired| desired.fleet.hash())
                }
            })
            .map(|found| println!("{found}"))
            .map_err(|problem| problem.to_string()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("{problem}");
            ExitCode::FAILURE
        }
    }
}
