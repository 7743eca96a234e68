//! `runtrackctl`: the command line for planning, reviewing, applying and rolling back changes of a fleet.

mod cluster;
mod common;
mod failure;
mod run;
mod service;
mod show;

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Plan changes of a fleet, review their risks, apply them and roll them back.
#[derive(Parser)]
#[command(name = "runtrackctl", version, about, after_help = EXIT_CODES_HELP)]
struct Cli {
    /// Folder of the state.
    #[arg(long, global = true, env = "RUNTRACK_STATE", default_value = "state", value_name = "FOLDER")]
    state: PathBuf,
    /// Admin addresses of the cluster's instances, instead of a folder. One is enough.
    #[arg(long, global = true, env = "RUNTRACK_CLUSTER", value_delimiter = ',', value_name = "ADDRESSES")]
    cluster: Vec<String>,
    /// Author of the changes, for the history.
    #[arg(long, global = true, env = "USER", default_value = "unknown", value_name = "NAME")]
    author: String,
    #[command(subcommand)]
    command: Command,
}

const EXIT_CODES_HELP: &str = "\
Exit codes: 0 done; 1 a file or the command line is invalid; 2 `plan --detailed-exitcode` found changes;
3 the control service does not respond, or a cluster has no majority; 10 the plan is damaged or inconsistent; 11 the state has moved;
12 the plan is for another state; 13 the plan has expired, or a clock is wrong; 14 a high risk is not accepted;
15 another writer holds the lock; 16 the state is damaged or its disk fails.";

#[derive(Subcommand)]
enum Command {
    /// Validate a fleet file; print every problem with its position, or the hash of the fleet.
    Validate {
        /// The fleet file (TOML).
        file: PathBuf,
    },
    /// Create an empty state.
    Init,
    /// Show what a fleet file would change, and the risks of the change.
    Plan {
        /// The wanted fleet (TOML).
        file: PathBuf,
        #[command(flatten)]
        args: common::PlanArgs,
        /// Exit with 2 if there are changes.
        #[arg(long)]
        detailed_exitcode: bool,
    },
    /// Show a plan file.
    Show {
        /// The plan file.
        plan: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Apply a plan.
    Apply {
        /// The plan file.
        plan: PathBuf,
        /// Id of a high risk to accept; repeat for each one.
        #[arg(long, value_name = "ID")]
        accept_risk: Vec<String>,
        /// Wait until every proxy has acknowledged the change: the control service's admin address, or the path of its socket.
        #[arg(long, value_name = "ADDRESS")]
        wait: Option<String>,
        /// Maximum time to wait.
        #[arg(long, value_name = "TIME", default_value = "30s", value_parser = humantime::parse_duration)]
        wait_most: Duration,
    },
    /// List the versions that are kept, newest first.
    History {
        /// Read from a majority of the cluster, which costs a round trip between its members.
        #[arg(long)]
        consistent: bool,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Plan a change back to an earlier version, to be applied like any other plan.
    Rollback {
        /// Serial of the version.
        serial: u64,
        #[command(flatten)]
        args: common::PlanArgs,
    },
    /// Resume or abort a staged roll-out.
    #[command(subcommand)]
    Rollout(Rollout),
    /// Create a cluster of control instances, change its members, show its status.
    #[command(subcommand)]
    Cluster(cluster::Action),
    /// Hold an endpoint, so that it receives no new requests whatever discovery reports, or release it.
    Hold {
        /// Name of the pool.
        pool: String,
        /// Name of the endpoint.
        endpoint: String,
        /// Release the endpoint, so that it receives requests again.
        #[arg(long)]
        release: bool,
        /// Reason, for the history.
        #[arg(long, default_value = "", value_name = "TEXT")]
        reason: String,
    },
    /// Show, export or import the state.
    #[command(subcommand)]
    State(State),
    /// Show the status of a running control service.
    Status {
        /// The service's admin address, or the path of its socket.
        #[arg(long, env = "RUNTRACK_ADMIN", default_value = "./control.sock", value_name = "ADDRESS")]
        admin: String,
        /// Print the complete status as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Watch a control service until every proxy has received what it serves.
    Watch {
        /// The service's admin address, or the path of its socket.
        #[arg(long, env = "RUNTRACK_ADMIN", default_value = "./control.sock", value_name = "ADDRESS")]
        admin: String,
        /// Maximum time to wait.
        #[arg(long, value_name = "TIME", default_value = "30s", value_parser = humantime::parse_duration)]
        most: Duration,
    },
    /// Print shell completions.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Print the manual page.
    Man,
}

#[derive(Subcommand)]
enum Rollout {
    /// Resume a roll-out that has halted.
    Resume {
        /// The control service's admin address, or the path of its socket.
        #[arg(long, env = "RUNTRACK_ADMIN", default_value = "./control.sock", value_name = "ADDRESS")]
        admin: String,
    },
    /// Return to the previous version, for all proxies at once.
    Abort,
}

#[derive(Subcommand)]
enum State {
    /// Show the current version, or an earlier one.
    Show {
        /// Serial of the version; by default the current one.
        serial: Option<u64>,
    },
    /// Export the fleet of a version in its canonical form (JSON).
    Export {
        /// Serial of the version; by default the current one.
        serial: Option<u64>,
        /// Output file; by default standard output.
        #[arg(short, long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Import an exported fleet as the first version of an empty state.
    Import {
        /// The exported fleet (JSON).
        file: PathBuf,
    },
}

fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) => {
            let _ = error.print();
            // Not 2, which clap would use: with `plan --detailed-exitcode` it means that there are changes.
            return if error.use_stderr() { ExitCode::FAILURE } else { ExitCode::SUCCESS };
        }
    };
    let context = common::Context { folder: cli.state, cluster: cli.cluster, author: cli.author };
    let result = match cli.command {
        Command::Validate { file } => run::validate(&file),
        Command::Init => context.init(),
        Command::Plan { file, args, detailed_exitcode } => context.plan(&file, &args, detailed_exitcode),
        Command::Show { plan, json } => run::show(&plan, json),
        Command::Apply { plan, accept_risk, wait, wait_most } => {
            context.apply(&plan, accept_risk, wait.map(|address| (address, wait_most)))
        }
        Command::History { json, consistent } => context.history(json, consistent),
        Command::Rollback { serial, args } => context.rollback(serial, &args),
        Command::Rollout(Rollout::Resume { admin }) => service::resume(&admin),
        Command::Rollout(Rollout::Abort) => context.abort(),
        Command::Cluster(command) => cluster::run(command, &context),
        Command::Hold { pool, endpoint, release, reason } => {
            cluster::hold(&context, &pool, &endpoint, !release, &reason)
        }
        Command::State(State::Show { serial }) => context.state(serial),
        Command::State(State::Export { serial, out }) => context.export(serial, out.as_deref()),
        Command::State(State::Import { file }) => context.import(&file),
        Command::Status { admin, json } => service::status(&admin, json),
        Command::Watch { admin, most } => service::watch(&admin, None, most),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "runtrackctl", &mut std::io::stdout());
            Ok(0)
        }
        Command::Man => {
            let page = clap_mangen::Man::new(Cli::command()).render(&mut std::io::stdout());
            page.map(|()| 0).map_err(failure::Failure::file("standard output".as_ref()))
        }
    };
    match result {
        Ok(code) => ExitCode::from(code),
        Err(failure) => {
            anstream::eprintln!("{failure}");
            ExitCode::from(failure.code())
        }
    }
}
