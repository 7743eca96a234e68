//! `runtrackctl`: what a person types to change a fleet: plan, look, apply, and back.

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

/// Plan changes of a fleet, see what they risk, apply exactly that, and go back.
#[derive(Parser)]
#[command(name = "runtrackctl", version, about, after_help = CODES)]
struct Cli {
    /// The state's folder.
    #[arg(long, global = true, env = "RUNTRACK_STATE", default_value = "state", value_name = "FOLDER")]
    state: PathBuf,
    /// The admin addresses of a cluster's instances, in place of a folder: any of them will do.
    #[arg(long, global = true, env = "RUNTRACK_CLUSTER", value_delimiter = ',', value_name = "ADDRESSES")]
    cluster: Vec<String>,
    /// Who is acting, for the history.
    #[arg(long, global = true, env = "USER", default_value = "unknown", value_name = "NAME")]
    author: String,
    #[command(subcommand)]
    command: Command,
}

const CODES: &str = "\
Exit codes: 0 done; 1 a file or the command line is wrong; 2 `plan --detailed-exitcode` found changes;
3 the control service does not answer, or a cluster has no majority; 10 the plan is damaged or does not fit; 11 the state has moved;
12 the plan is another state's; 13 the plan is too old, or a clock is wrong; 14 a high risk is not accepted;
15 somebody else is writing; 16 the state is damaged or its disk fails.";

#[derive(Subcommand)]
enum Command {
    /// Check a fleet's file; print every problem with its place, or the fleet's hash.
    Validate {
        /// The fleet's file (TOML).
        file: PathBuf,
    },
    /// Make an empty state.
    Init,
    /// Say exactly what a fleet's file would change, and what that risks.
    Plan {
        /// The wanted fleet (TOML).
        file: PathBuf,
        #[command(flatten)]
        made: common::Made,
        /// Exit with 2 where there is something to change.
        #[arg(long)]
        detailed_exitcode: bool,
    },
    /// Show a plan file.
    Show {
        /// The plan.
        plan: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Do what a plan says, and nothing else.
    Apply {
        /// The plan.
        plan: PathBuf,
        /// A high risk that is taken, by its id; once for each.
        #[arg(long, value_name = "ID")]
        accept_risk: Vec<String>,
        /// The control service's admin address, or the path of its socket: wait until every proxy has acknowledged.
        #[arg(long, value_name = "ADDRESS")]
        wait: Option<String>,
        /// For how long to wait for that.
        #[arg(long, value_name = "TIME", default_value = "30s", value_parser = humantime::parse_duration)]
        wait_most: Duration,
    },
    /// List the versions that are kept, the newest first.
    History {
        /// From a cluster: as a majority has it now, at the price of a round.
        #[arg(long)]
        consistent: bool,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Plan the way back to an earlier version; apply it like any other plan.
    Rollback {
        /// The version.
        serial: u64,
        #[command(flatten)]
        made: common::Made,
    },
    /// Finish a roll-out in stages, either way.
    #[command(subcommand)]
    Rollout(Rollout),
    /// Several instances as one: make a cluster, change its members, see how it stands.
    #[command(subcommand)]
    Cluster(cluster::Ask),
    /// Have an endpoint get nothing new, whatever discovery says of it, or no longer.
    Hold {
        /// The pool.
        pool: String,
        /// The endpoint's name.
        endpoint: String,
        /// Let it get requests again.
        #[arg(long)]
        release: bool,
        /// Why, for the history.
        #[arg(long, default_value = "", value_name = "TEXT")]
        reason: String,
    },
    /// Look at the state itself.
    #[command(subcommand)]
    State(State),
    /// Ask a running control service how it stands.
    Status {
        /// Its admin address, or the path of its socket.
        #[arg(long, env = "RUNTRACK_ADMIN", default_value = "./control.sock", value_name = "ADDRESS")]
        admin: String,
        /// All that it says, as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Follow a control service until every proxy has what it serves.
    Watch {
        /// Its admin address, or the path of its socket.
        #[arg(long, env = "RUNTRACK_ADMIN", default_value = "./control.sock", value_name = "ADDRESS")]
        admin: String,
        /// For how long.
        #[arg(long, value_name = "TIME", default_value = "30s", value_parser = humantime::parse_duration)]
        most: Duration,
    },
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Print the manual page.
    Man,
}

#[derive(Subcommand)]
enum Rollout {
    /// Go on with one that has halted.
    Resume {
        /// The control service's admin address, or the path of its socket.
        #[arg(long, env = "RUNTRACK_ADMIN", default_value = "./control.sock", value_name = "ADDRESS")]
        admin: String,
    },
    /// Go back to the version before, for all proxies at once.
    Abort,
}

#[derive(Subcommand)]
enum State {
    /// The current version, or an earlier one.
    Show {
        /// Which.
        serial: Option<u64>,
    },
    /// Write a version's fleet in its canonical form (JSON).
    Export {
        /// Which; without it the current one.
        serial: Option<u64>,
        /// Where to; without it to standard output.
        #[arg(short, long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Make an exported fleet the first version of an empty state.
    Import {
        /// The exported fleet (JSON).
        file: PathBuf,
    },
}

fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(problem) => {
            let _ = problem.print();
            // 2 is taken: `plan --detailed-exitcode` says by it that there are changes.
            return if problem.use_stderr() { ExitCode::FAILURE } else { ExitCode::SUCCESS };
        }
    };
    let place = common::Place { folder: cli.state, cluster: cli.cluster, author: cli.author };
    let done = match cli.command {
        Command::Validate { file } => run::validate(&file),
        Command::Init => place.init(),
        Command::Plan { file, made, detailed_exitcode } => place.plan(&file, &made, detailed_exitcode),
        Command::Show { plan, json } => run::show(&plan, json),
        Command::Apply { plan, accept_risk, wait, wait_most } => {
            place.apply(&plan, accept_risk, wait.map(|at| (at, wait_most)))
        }
        Command::History { json, consistent } => place.history(json, consistent),
        Command::Rollback { serial, made } => place.rollback(serial, &made),
        Command::Rollout(Rollout::Resume { admin }) => service::resume(&admin),
        Command::Rollout(Rollout::Abort) => place.abort(),
        Command::Cluster(ask) => cluster::run(ask, &place),
        Command::Hold { pool, endpoint, release, reason } => {
            cluster::hold(&place, &pool, &endpoint, !release, &reason)
        }
        Command::State(State::Show { serial }) => place.state(serial),
        Command::State(State::Export { serial, out }) => place.export(serial, out.as_deref()),
        Command::State(State::Import { file }) => place.import(&file),
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
    match done {
        Ok(code) => ExitCode::from(code),
        Err(failure) => {
            anstream::eprintln!("{failure}");
            ExitCode::from(failure.code())
        }
    }
}
