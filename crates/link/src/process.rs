//! The start of a process: one thread, signals first.

use std::future::Future;
use std::io;
use std::process::ExitCode;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

/// The signals that a process heeds.
pub struct Signals {
    /// The settings file has changed.
    pub hangup: Signal,
    /// The process is to end.
    pub terminate: Signal,
}

impl Signals {
    /// Heeds signals from now on.
    pub fn new() -> io::Result<Self> {
        Ok(Signals { hangup: signal(SignalKind::hangup())?, terminate: signal(SignalKind::terminate())? })
    }
}

/// Runs a program's future on this thread; an error goes to standard error as a person reads it.
pub fn run_single_threaded<E: std::fmt::Display>(
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
