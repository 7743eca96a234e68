//! The `runtrack` binary: runs the sidecar on system sockets, clock and signals.

use runtrack::net::config::Config;
use runtrack::sidecar::{self, Command};
use runtrack_discovery::Clock;
use runtrack_net::Tcp;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::{LocalSet, spawn_local};

fn main() -> ExitCode {
    runtrack_net::log_to_stderr();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime.map_err(|e| e.to_string()).and_then(|rt| LocalSet::new().block_on(&rt, run()));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("runtrack: {problem}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    if runtrack_net::mutant("signals-late") {
        Config::from_env().map_err(|e| e.to_string())?;
    }
    // Handlers are installed before the configuration is read: the default action of both signals would terminate
    // the process, and a signal may arrive during the read.
    let mut hup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let config = Config::from_env().map_err(|e| e.to_string())?;
    let (commands_tx, commands) = unbounded_channel();
    spawn_local(async move {
        loop {
            let command = tokio::select! {
                _ = hup.recv() => Command::Reload(Config::from_env().map(Box::new)),
                _ = term.recv() => Command::Drain,
            };
            let _ = commands_tx.send(command); // fails only during process exit
        }
    });
    sidecar::run(config, Rc::new(Tcp), Clock::start(), commands).await
}
