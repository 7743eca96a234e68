//! An endpoint that responds immediately and records when requests arrive.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// An endpoint that records requests; stops when dropped.
pub struct Endpoint {
    /// Address of the endpoint.
    pub address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    _task: JoinSet<()>,
}

impl Endpoint {
    /// Starts an endpoint on a free port.
    pub async fn start() -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port on loopback");
        let address = listener.local_addr().expect("a bound port");
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let mut task = JoinSet::new();
        let seen = arrivals.clone();
        task.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(answer(stream, seen.clone()));
                while connections.try_join_next().is_some() {}
            }
        });
        Endpoint { address, arrivals, _task: task }
    }

    /// Arrival times of all requests, by their first byte.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().expect("unpoisoned").clone()
    }

    /// Number of requests that arrived after a moment.
    pub fn after(&self, moment: Instant) -> usize {
        self.arrivals.lock().expect("unpoisoned").iter().filter(|at| **at > moment).count()
    }
}

/// Serves the requests of one connection: one byte each, answered by one byte, as the simulated proxies send them.
async fn answer(mut stream: TcpStream, arrivals: Arc<Mutex<Vec<Instant>>>) {
    let _ = stream.set_nodelay(true);
    let mut bytes = [0; 64];
    loop {
        match stream.read(&mut bytes).await {
            Ok(n) if n > 0 => arrivals.lock().expect("unpoisoned").push(Instant::now()),
            _ => return,
        }
        if stream.write_all(b"k").await.is_err() {
            return;
        }
    }
}
