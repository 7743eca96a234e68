//! A sidecar inside the test's own process, on real sockets: its connections can be held back one by one, its gauges
//! read, and an error planted in it alone.
#![allow(dead_code)]

use super::{PATIENCE, wait_for};
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

/// Where connections are held back, and how many wait there.
#[derive(Clone, Default)]
pub struct Gate(Arc<Mutex<HashMap<SocketAddr, usize>>>, Arc<Mutex<Option<Still>>>);

/// The process stands still until then, as one attempt has its turn to wait for a connection to there.
struct Still(SocketAddr, Instant);

impl Gate {
    /// No connection to there comes up from now on.
    pub fn hold(&self, to: SocketAddr) {
        self.0.lock().unwrap().entry(to).or_default();
    }

    /// Those that wait come up, and all others.
    pub fn open(&self, to: SocketAddr) {
        self.0.lock().unwrap().remove(&to);
    }

    /// Connections that wait to come up.
    pub fn waiting(&self, to: SocketAddr) -> usize {
        self.0.lock().unwrap().get(&to).copied().unwrap_or(0)
    }

    /// The next connection that is made to there takes all of the process's time until then, and fails.
    pub fn stand_still(&self, to: SocketAddr, until: Instant) {
        *self.1.lock().unwrap() = Some(Still(to, until));
    }

    fn stands_still(&self, to: SocketAddr) -> Option<Instant> {
        self.1.lock().unwrap().take_if(|still| still.0 == to).map(|Still(_, until)| until)
    }

    /// The system's network behind this gate.
    pub fn network(&self) -> Rc<dyn Network> {
        Rc::new(Gated(self.clone()))
    }

    fn add(&self, to: SocketAddr, change: isize) -> bool {
        let mut held = self.0.lock().unwrap();
        held.get_mut(&to).map(|count| *count = count.saturating_add_signed(change)).is_some()
    }
}

/// One that waits; also gone when it is given up.
struct Waits<'a>(&'a Gate, SocketAddr);

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.add(self.1, -1);
    }
}

struct Gated(Gate);

impl Network for Gated {
    fn connect(&self, to: SocketAddr) -> Connecting {
        let gate = self.0.clone();
        Box::pin(async move {
            if let Some(until) = gate.stands_still(to) {
                // Its thread is the whole process: nothing else has a turn meanwhile.
                std::thread::sleep(until.saturating_duration_since(Instant::now()));
                return Err(io::ErrorKind::ConnectionRefused.into());
            }
            if gate.add(to, 1) {
                let _waits = Waits(&gate, to);
                while gate.add(to, 0) {
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

/// A running sidecar. It ends with its process at the latest.
pub struct Inside {
    pub address: SocketAddr,
    pub gate: Gate,
    orders: UnboundedSender<Command>,
    ended: mpsc::Receiver<Result<(), String>>,
    _thread: JoinHandle<()>,
}

impl Inside {
    /// Started, and listening. With no name, no error is planted.
    pub fn start(config: &Value, planted: &'static str) -> Inside {
        let inside = Inside::begin(config, planted);
        wait_for("the listener", || inside.listens());
        inside
    }

    /// Started, and perhaps not listening yet.
    pub fn begin(config: &Value, planted: &'static str) -> Inside {
        let address = config["listen"].as_str().unwrap().parse().unwrap();
        let (text, gate) = (config.to_string(), Gate::default());
        let (orders, taken) = unbounded_channel();
        let (done, ended) = mpsc::channel();
        let network = gate.clone();
        let thread = std::thread::spawn(move || {
            runtrack_net::log_to_stderr();
            runtrack_net::set_mutant(Some(planted).filter(|name| !name.is_empty()));
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            let ran = match Config::parse(&text, None, None, None) {
                Ok(config) => {
                    let run = sidecar::run(config, network.network(), Clock::start(), taken);
                    LocalSet::new().block_on(&runtime, run)
                }
                Err(problem) => Err(problem.to_string()),
            };
            let _ = done.send(ran);
        });
        Inside { address, gate, orders, ended, _thread: thread }
    }

    /// Whether it listens, by the kernel's word: a connection made to find out would be one more to serve.
    pub fn listens(&self) -> bool {
        runtrack_testkit::is_listened_at(self.address)
    }

    pub fn client(&self) -> super::Client {
        super::Client::connect(self.address).expect("the sidecar accepts")
    }

    /// So many clients, each with a request that its endpoint never answers. Each sends as it connects: where that takes
    /// the last place, one that says nothing is closed to make room.
    pub fn occupied_by(&self, count: usize) -> Vec<super::Client> {
        let mut open = Vec::new();
        while open.len() < count {
            let mut client = self.client();
            client.send(&super::request("book", &format!("open-{}", open.len()), "20000m"));
            self.wait_open(open.len() + 1);
            open.push(client);
        }
        open
    }

    /// How much is open.
    pub fn gauges(&self) -> Gauges {
        let (to, told) = oneshot::channel();
        assert!(self.orders.send(Command::Report(to)).is_ok(), "it runs");
        told.blocking_recv().expect("it answers")
    }

    /// Waits until so many requests are open, with or without an attempt.
    pub fn wait_open(&self, count: usize) {
        wait_for(&format!("{count} open requests"), || self.gauges().open == count);
    }

    /// All that was open has ended, and the module counts nothing.
    pub fn at_rest(&self) {
        wait_for("rest", || {
            let gauges = self.gauges();
            (gauges.open, gauges.attempts, gauges.calls_in_flight) == (0, 0, 0)
        });
    }

    /// Tells it to drain, and waits for nothing.
    pub fn order_drain(&self) {
        let _ = self.orders.send(Command::Drain);
    }

    /// Tells it to drain, and waits until it does.
    pub fn drain(&self) {
        self.order_drain();
        wait_for("the drain to begin", || {
            let mut client = self.client();
            client.send("GET /-/ready HTTP/1.1\r\nHost: t\r\n\r\n");
            client.receive().is_none_or(|answer| answer.status() == 503)
        });
    }

    /// Gives it another configuration.
    pub fn reload(&self, config: &Value) {
        let config = Config::parse(&config.to_string(), None, None, None).map(Box::new);
        let _ = self.orders.send(Command::Reload(config));
    }

    /// How it ended.
    pub fn ended(&self) -> Result<(), String> {
        self.ended.recv_timeout(PATIENCE).expect("the sidecar's end")
    }
}
