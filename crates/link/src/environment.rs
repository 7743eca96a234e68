//! What a process of the fleet runs on: the network, its log, and what its surroundings tell it. A test gives one of its
//! own, so that the same code runs in virtual time.

use crate::logs::json_logger;
use crate::process::Signals;
use runtrack_fleetconfig::Node;
use runtrack_net::{Network, Tcp};
use slog::Logger;
use std::rc::Rc;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::spawn_local;

/// What a process runs on.
#[derive(Clone)]
pub struct Environment {
    /// Makes and takes its connections.
    pub network: Rc<dyn Network>,
    /// Takes its log events.
    pub logger: Logger,
}

impl Environment {
    /// The system's sockets, and a log on standard error.
    pub fn system(program: &'static str, node: &Node) -> Self {
        Environment { network: Rc::new(Tcp), logger: json_logger(program, &node.name) }
    }
}

/// What a running process is told by its surroundings.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessEvent {
    /// It is to end.
    Terminate,
    /// The settings have changed; or why they can't be read.
    Settings(Result<Box<Node>, String>),
}

/// The events of a process, in their order.
pub type ProcessEvents = UnboundedReceiver<ProcessEvent>;

impl Signals {
    /// The signals as events. They are heeded for as long as this thread's tasks run.
    pub fn events(mut self) -> ProcessEvents {
        let (events, told) = unbounded_channel();
        spawn_local(async move {
            loop {
                let event = tokio::select! {
                    _ = self.terminate.recv() => ProcessEvent::Terminate,
                    _ = self.hangup.recv() => ProcessEvent::Settings(
                        Node::from_env().map(Box::new).map_err(|error| error.to_string()),
                    ),
                };
                if events.send(event).is_err() {
                    return; // the process ends
                }
            }
        });
        told
    }
}
