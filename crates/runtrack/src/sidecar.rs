//! One sidecar, put together.

use crate::net::budget::Budget;
use crate::net::config::{Config, ConfigError};
use crate::net::driver::{Driver, Gauges, Input};
use crate::net::inbound::Inbound;
use crate::net::listing::Listing;
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

/// The agent answers at once; where it does not, discovery is down, and the list as last held has to do.
const FIRST_WORD: Duration = Duration::from_secs(1);

/// What a running sidecar is told.
pub enum Command {
    /// Another configuration takes the place of the one it has, or is not understood.
    Reload(Result<Box<Config>, ConfigError>),
    /// Say how much is open.
    Report(oneshot::Sender<Gauges>),
    /// Answer what has been taken, take nothing more, and end.
    Drain,
}

/// Runs a sidecar until it has drained, or can't go on. It needs a single-threaded runtime with a `LocalSet`, and what it
/// starts there ends with that set.
pub async fn run(
    config: Config,
    network: Rc<dyn Network>,
    clock: Clock,
    mut orders: UnboundedReceiver<Command>,
) -> Result<(), String> {
    let Config { name, listen, discovery, seed, sockets, memory_mb, known, settings, names, mut file } =
        config;
    let balancer =
        Balancer::new(settings.clone(), seed, clock.now()).map_err(|e| format!("settings: {e}"))?;
    let budget = Budget::new(sockets, memory_mb);
    let (inbox, inputs) = unbounded_channel();
    let (calls, asked) = unbounded_channel();
    let outbound = Outbound::new(network.clone(), &settings, budget.clone());
    let inbound = Inbound::new(settings.clone(), &names, budget, outbound.clone(), inbox.clone());
    let listing = Rc::new(Listing::new(names));
    let watch = match settings.discovery {
        runtrack_balancer::Discovery::Push => WatchMode::LocalAgent, // the module never asks for one
        runtrack_balancer::Discovery::Subscribe => WatchMode::OnRequest,
    };
    let (translate, news) = (listing.clone(), inbox.clone());
    let first = Rc::new(Notify::new());
    let came = first.clone();
    let client = Client::new(network.clone(), discovery, watch, seed, move |told: Update| {
        let _ = news.send(Input::List(translate.told(told))); // fails only while the process ends
        came.notify_one();
    });
    // The list as last held is there before the first client.
    client.resume_from(known.rev);
    let _ = inbox.send(Input::List(listing.cached(known)));
    let attempts = settings.limits.max_attempts;
    let driver =
        Driver::new(balancer, clock, attempts, outbound.clone(), listing, calls.clone(), inbox.clone());
    let mut driver = spawn_local(driver.run(inputs));
    spawn_local(client.run(asked));
    spawn_local(outbound.sweep());
    if watch == WatchMode::LocalAgent && !runtrack_net::mutant("old-list-first") {
        // What the agent has counts as told from the first moment on, and the list as last held may be older.
        let _ = timeout(FIRST_WORD, first.notified()).await;
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
            Some(order) = orders.recv() => match order {
                Command::Drain => drain.notify_one(),
                Command::Report(to) => drop(inbox.send(Input::Report(to))), // fails only while the process ends
                Command::Reload(config) => {
                    let (moved, restart) = match config.and_then(|config| Config::reload(&mut file, *config)) {
                        Ok(changes) => changes,
                        Err(problem) => {
                            log::info!("reload: {problem}; going on as before");
                            continue;
                        }
                    };
                    log::info!("reloaded: discovery {}", moved.map_or("as it was".to_owned(), |at| at.to_string()));
                    if !restart.is_empty() {
                        log::info!("reloaded: changes that need a restart: {}", restart.join(", "));
                    }
                    if let Some(address) = moved {
                        let _ = calls.send(ClientCommand::SetAddress(address)); // fails only while the process ends
                    }
                }
            },
        }
    }
}
