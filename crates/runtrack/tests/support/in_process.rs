//! A sidecar inside the test process, on real sockets: the test can delay its connections, read its gauges and enable
//! a mutant in it alone.
#![allow(dead_code)]

use super::{WAIT_TIMEOUT, wait_for};
use runtrack::net::config::Config;
use runtrack::net::driver::Gauges;
use runtrack::sidecar::{self, Command};
use runtrack_discovery::Clock;
use runtrack_net::{Connecting, Listener, Network, Tcp};
use serde_json::Value;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::LocalSet;

/// Addresses to which connecting is held back, with the number of waiting connections.
#[derive(Clone, Default)]
pub struct Gate(Arc<Mutex<HashMap<SocketAddr, usize>>>, Arc<Mutex<Option<Standstill>>>);

/// The next connection attempt to this address blocks the process until this time.
struct Standstill(SocketAddr, Instant);

impl Gate {
    /// Holds back all new connections to this address.
    pub fn hold(&self, to: SocketAddr) {
        self.0.lock().unwrap().entry(to).or_default();
    }

    /// Lets waiting and later connections to this address proceed.
    pub fn open(&self, to: SocketAddr) {
        self.0.lock().unwrap().remove(&to);
    }

    /// Number of connections to this address that are held back.
    pub fn waiting(&self, to: SocketAddr) -> usize {
        self.0.lock().unwrap().get(&to).copied().unwrap_or(0)
    }

    /// The next connection attempt to this address blocks the whole process until this time, and fails.
    pub fn block_process(&self, to: SocketAddr, until: Instant) {
        *self.1.lock().unwrap() = Some(Standstill(to, until));
    }

    fn take_standstill(&self, to: SocketAddr) -> Option<Instant> {
        self.1.lock().unwrap().take_if(|still| still.0 == to).map(|Standstill(_, until)| until)
    }

    /// The system network behind this gate.
    pub fn network(&self) -> Rc<dyn Network> {
        Rc::new(GatedNetwork(self.clone()))
    }

    fn adjust(&self, to: SocketAddr, change: isize) -> bool {
        let mut held = self.0.lock().unwrap();
        held.get_mut(&to).map(|count| *count = count.saturating_add_signed(change)).is_some()
    }
}

/// A connection attempt that is held back; uncounted on drop, also when it is cancelled.
struct WaitGuard<'a>(&'a Gate, SocketAddr);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.adjust(self.1, -1);
    }
}

struct GatedNetwork(Gate);

impl Network for GatedNetwork {
    fn connect(&self, to: SocketAddr) -> Connecting {
        let gate = self.0.clone();
        Box::pin(async move {
            if let Some(until) = gate.take_standstill(to) {
                // The sidecar runs on a single thread, so nothing else runs meanwhile.
                std::thread::sleep(until.saturating_duration_since(Instant::now()));
                return Err(io::ErrorKind::ConnectionRefused.into());
            }
            if gate.adjust(to, 1) {
                let _waits = WaitGuard(&gate, to);
                while gate.adjust(to, 0) {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            Tcp.connect(to).await
        })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Tcp.listen(at)
    }
}

/// A running sidecar. It ends with the test process at the latest.
pub struct InProcess {
    pub address: SocketAddr,
    pub gate: Gate,
    commands: UnboundedSender<Command>,
    ended: mpsc::Receiver<Result<(), String>>,
    _thread: JoinHandle<()>,
}

impl InProcess {
    /// Starts a sidecar and waits until it listens. An empty name enables no mutant.
    pub fn start(config: &Value, mutant: &'static str) -> InProcess {
        let sidecar = InProcess::spawn(config, mutant);
        wait_for("the listener to open", || sidecar.is_listening());
        sidecar
    }

    /// Starts a sidecar without waiting until it listens.
    pub fn spawn(config: &Value, mutant: &'static str) -> InProcess {
        let address = config["listen"].as_str().unwrap().parse().unwrap();
        let (text, gate) = (config.to_string(), Gate::default());
        let (commands, command_rx) = unbounded_channel();
        let (done, ended) = mpsc::channel();
        let network = gate.clone();
        let thread = std::thread::spawn(move || {
            runtrack_net::log_to_stderr();
            runtrack_net::set_mutant(Some(mutant).filter(|name| !name.is_empty()));
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            let ran = match Config::parse(&text, None, None, None) {
                Ok(config) => {
                    let run = sidecar::run(config, network.network(), Clock::start(), command_rx);
                    LocalSet::new().block_on(&runtime, run)
                }
                Err(problem) => Err(problem.to_string()),
            };
            let _ = done.send(ran);
        });
        InProcess { address, gate, commands, ended, _thread: thread }
    }

    /// Whether it listens, as reported by the kernel: a test connection would be served as one more client.
    pub fn is_listening(&self) -> bool {
        runtrack_testkit::is_listening(self.address)
    }

    pub fn client(&self) -> super::Client {
        super::Client::connect(self.address).expect("the sidecar accepts")
    }

    /// Opens this number of clients, each with a request that its endpoint never answers. Each sends its request at
    /// once: a silent one could be evicted when the sockets run out.
    pub fn with_open_requests(&self, count: usize) -> Vec<super::Client> {
        let mut open = Vec::new();
        while open.len() < count {
            let mut client = self.client();
            client.send(&super::request("book", &format!("open-{}", open.len()), "20000m"));
            self.wait_open(open.len() + 1);
            open.push(client);
        }
        open
    }

    /// The current gauges.
    pub fn gauges(&self) -> Gauges {
        let (to, told) = oneshot::channel();
        assert!(self.commands.send(Command::Report(to)).is_ok(), "the sidecar is running");
        told.blocking_recv().expect("the sidecar answers")
    }

    /// Waits until this number of requests is open, with or without an attempt.
    pub fn wait_open(&self, count: usize) {
        wait_for(&format!("{count} open requests"), || self.gauges().open == count);
    }

    /// Waits until no request, attempt or call is open.
    pub fn wait_at_rest(&self) {
        wait_for("the sidecar to be at rest", || {
            let gauges = self.gauges();
            (gauges.open, gauges.attempts, gauges.calls_in_flight) == (0, 0, 0)
        });
    }

    /// Sends the command to drain, without waiting.
    pub fn request_drain(&self) {
        let _ = self.commands.send(Command::Drain);
    }

    /// Sends the command to drain and waits until the drain has begun.
    pub fn drain(&self) {
        self.request_drain();
        wait_for("the drain to begin", || {
            let mut client = self.client();
            client.send("GET /-/ready HTTP/1.1\r\nHost: t\r\n\r\n");
            client.receive().is_none_or(|answer| answer.status() == 503)
        });
    }

    /// Sends a new configuration.
    pub fn reload(&self, config: &Value) {
        let config = Config::parse(&config.to_string(), None, None, None).map(Box::new);
        let _ = self.commands.send(Command::Reload(config));
    }

    /// The sidecar's result.
    pub fn wait_exit(&self) -> Result<(), String> {
        self.ended.recv_timeout(WAIT_TIMEOUT).expect("the sidecar to exit")
    }
}
