//! The environment of a process: the network, the log, and events such as a request to terminate. Tests pass an
//! environment of their own, so that the same code runs in virtual time.

use crate::logs::json_logger;
use crate::process::Signals;
use runtrack_fleetconfig::Node;
use runtrack_net::{Network, Tcp};
use slog::Logger;
use std::rc::Rc;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::spawn_local;

/// The environment of a process.
#[derive(Clone)]
pub struct Environment {
    /// Dials and accepts connections.
    pub network: Rc<dyn Network>,
    /// Receives log events.
    pub logger: Logger,
}

impl Environment {
    /// The system's sockets, and a log on standard error.
    pub fn system(program: &'static str, node: &Node) -> Self {
        Environment { network: Rc::new(Tcp), logger: json_logger(program, &node.name) }
    }
}

/// An event from outside the process, such as a signal.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessEvent {
    /// The process is to terminate.
    Terminate,
    /// The settings file was read again: the new settings, or why they are invalid.
    Settings(Result<Box<Node>, String>),
}

/// The events of a process, in the order in which they occurred.
pub type ProcessEvents = UnboundedReceiver<ProcessEvent>;

impl Signals {
    /// Turns signals into events, in a task of this thread.
    pub fn events(mut self) -> ProcessEvents {
        let (events, receiver) = unbounded_channel();
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
        receiver
    }
}
