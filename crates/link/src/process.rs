//! The start of a process: one thread, signals first.

use bpaf::Parser;
use runtrack_fleetconfig::Node;
use std::fmt::Display;
use std::future::Future;
use std::io;
use std::process::ExitCode;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

/// Handlers of the signals SIGHUP and SIGTERM.
pub struct Signals {
    /// SIGHUP: the settings file has changed.
    pub hangup: Signal,
    /// SIGTERM: the process is to terminate.
    pub terminate: Signal,
}

impl Signals {
    /// Installs the handlers.
    pub fn new() -> io::Result<Self> {
        Ok(Signals { hangup: signal(SignalKind::hangup())?, terminate: signal(SignalKind::terminate())? })
    }
}

/// A program of the fleet: reads its settings, from the file that the environment names, and runs until SIGTERM. With
/// `--check` it ends once the settings are read, and prints what is wrong with them.
pub fn program<E: Display, F: Future<Output = Result<(), E>>>(
    name: &'static str,
    about: &'static str,
    run: impl FnOnce(Node, Signals) -> F,
) -> ExitCode {
    let check =
        bpaf::long("check").help("Read and check the settings, print what is wrong, and end").switch();
    let about = format!("{about} Its settings are in the file that RUNTRACK_NODE_FILE names.");
    let check = check.to_options().descr(about.as_str()).version(env!("CARGO_PKG_VERSION")).run();
    run_single_threaded(name, async move {
        // Before anything else: without a handler a signal would end the process.
        let signals = Signals::new().map_err(|error| error.to_string())?;
        let node = Node::from_env().map_err(|error| error.to_string())?;
        if check { Ok(()) } else { run(node, signals).await.map_err(|error| error.to_string()) }
    })
}

/// Runs a program's future on this thread; an error goes to standard error as a person reads it.
pub fn run_single_threaded<E: Display>(
    program: &str,
    main: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let done = match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, main).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("{program}: {problem}");
            ExitCode::FAILURE
        }
    }
}
