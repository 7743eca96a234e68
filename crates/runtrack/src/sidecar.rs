//! Assembles a sidecar from its parts and runs it until it has drained.

use crate::net::budget::Budget;
use crate::net::config::{Config, ConfigError};
use crate::net::driver::{Driver, Gauges, Input};
use crate::net::inbound::Inbound;
use crate::net::membership::MembershipTranslator;
use crate::net::outbound::Outbound;
use runtrack_balancer::Balancer;
use runtrack_discovery::{Client, ClientCommand, Clock, Update, WatchMode};
use runtrack_net::Network;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// How long startup waits for the agent's first list. A reachable agent answers at once; after this time the sidecar
/// serves with the last known list.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// A command to a running sidecar.
pub enum Command {
    /// Apply a new configuration, or log the error with which it failed to load.
    Reload(Result<Box<Config>, ConfigError>),
    /// Send the current gauges.
    Report(oneshot::Sender<Gauges>),
    /// Answer all accepted requests, accept no more connections, and exit.
    Drain,
}

/// Runs a sidecar until it has drained. It must be called within a `LocalSet` on a single-threaded runtime; the tasks
/// that it spawns end with that set.
///
/// # Errors
///
/// Fails on invalid settings, if the address can't be listened on, or if the driver task ends.
pub async fn run(
    config: Config,
    network: Rc<dyn Network>,
    clock: Clock,
    mut commands: UnboundedReceiver<Command>,
) -> Result<(), String> {
    let Config {
        name,
        listen,
        discovery,
        seed,
        sockets,
        memory_mb,
        cached_list,
        settings,
        names,
        mut file,
    } = config;
    let balancer =
        Balancer::new(settings.clone(), seed, clock.now()).map_err(|e| format!("settings: {e}"))?;
    let budget = Budget::new(sockets, memory_mb);
    let (inbox, inputs) = unbounded_channel();
    let (discovery_calls, discovery_requests) = unbounded_channel();
    let outbound = Outbound::new(network.clone(), &settings, budget.clone());
    let inbound = Inbound::new(settings.clone(), &names, budget, outbound.clone(), inbox.clone());
    let membership = Rc::new(MembershipTranslator::new(names));
    let watch = match settings.discovery {
        runtrack_balancer::Discovery::Push => WatchMode::LocalAgent, // the decision module never requests a list
        runtrack_balancer::Discovery::Subscribe => WatchMode::OnRequest,
    };
    let (translator, list_inbox) = (membership.clone(), inbox.clone());
    let first_list = Rc::new(Notify::new());
    let first_list_signal = first_list.clone();
    let client = Client::new(network.clone(), discovery, watch, seed, move |update: Update| {
        let _ = list_inbox.send(Input::List(translator.translate(update))); // fails only during process exit
        first_list_signal.notify_one();
    });
    // The last known list is applied before the first client is accepted.
    client.resume_from(cached_list.rev);
    let _ = inbox.send(Input::List(membership.cached(cached_list)));
    let attempts = settings.limits.max_attempts;
    let driver = Driver::new(
        balancer,
        clock,
        attempts,
        outbound.clone(),
        membership,
        discovery_calls.clone(),
        inbox.clone(),
    );
    let mut driver = spawn_local(driver.run(inputs));
    spawn_local(client.run(discovery_requests));
    spawn_local(outbound.sweep());
    if watch == WatchMode::LocalAgent && !runtrack_net::mutant("serves-known-list-first") {
        // The sidecar is expected to act on the agent's current list from its first request on, and the last known
        // list may be older.
        let _ = timeout(FIRST_LIST_TIMEOUT, first_list.notified()).await;
    }
    let listener = network.listen(listen).map_err(|e| format!("listen: {listen}: {e}"))?;
    log::info!("{name}: serving on {listen}");
    let drain = Notify::new();
    let mut serving = pin!(inbound.serve(listener, &drain));
    loop {
        tokio::select! {
            biased;
            () = &mut serving => return Ok(()),
            ended = &mut driver => return Err(format!("the driver ended: {ended:?}")),
            Some(command) = commands.recv() => match command {
                Command::Drain => drain.notify_one(),
                Command::Report(to) => drop(inbox.send(Input::Report(to))), // fails only during process exit
                Command::Reload(config) => {
                    let (moved_to, to_restart) = match config.and_then(|config| Config::reload(&mut file, *config)) {
                        Ok(changes) => changes,
                        Err(problem) => {
                            log::info!("reload failed, keeping the current configuration: {problem}");
                            continue;
                        }
                    };
                    log::info!("reloaded: discovery {}", moved_to.map_or("unchanged".to_owned(), |at| at.to_string()));
                    if !to_restart.is_empty() {
                        log::info!("reloaded: changes that need a restart: {}", to_restart.join(", "));
                    }
                    if let Some(address) = moved_to {
                        // Fails only during process exit.
                        let _ = discovery_calls.send(ClientCommand::SetAddress(address));
                    }
                }
            },
        }
    }
}
