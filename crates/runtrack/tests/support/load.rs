//! Endpoints and callers in large numbers, as async tasks.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::Semaphore;

/// Maximum time that a call may take.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a message's head and body. Returns its status, or zero for a request; `None` at the end of the connection.
async fn message(from: &mut BufReader<TcpStream>, line: &mut String) -> Option<u16> {
    let (mut length, mut status) = (0, None);
    loop {
        line.clear();
        if from.read_line(line).await.ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        status = status.or_else(|| Some(text.split(' ').nth(1)?.parse().unwrap_or(0)));
        if let Some((name, value)) =
            text.split_once(':').filter(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        {
            length = value.trim().parse().unwrap_or_else(|_| panic!("{name}: {value}"));
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).await.ok()?;
    status
}

/// Behavior of an endpoint.
#[derive(Clone, Copy)]
pub struct Behavior {
    /// Service time of a call.
    pub takes: Duration,
    /// Number of calls processed at a time; further ones wait.
    pub at_once: usize,
    /// Status of its answers.
    pub status: u16,
}

impl Behavior {
    /// Serves any number of calls at a time.
    pub fn serving(takes: Duration) -> Behavior {
        Behavior { takes, at_once: Semaphore::MAX_PERMITS, status: 200 }
    }
}

/// Running endpoints.
pub struct Endpoints {
    pub addresses: Vec<SocketAddr>,
    /// Calls received by each endpoint.
    pub calls: Vec<Arc<AtomicUsize>>,
    /// Number of connections accepted so far.
    pub accepted: Arc<AtomicUsize>,
}

impl Endpoints {
    pub fn start(runtime: &Runtime, behaviors: &[Behavior]) -> Endpoints {
        let (addresses, calls, accepted) = Default::default();
        let mut endpoints = Endpoints { addresses, calls, accepted };
        for &behavior in behaviors {
            let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("a port on loopback");
            endpoints.addresses.push(listener.local_addr().expect("a bound port"));
            let (accepted, calls) = (endpoints.accepted.clone(), Arc::<AtomicUsize>::default());
            endpoints.calls.push(calls.clone());
            let slots = Arc::new(Semaphore::new(behavior.at_once));
            runtime.spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    accepted.fetch_add(1, Ordering::Relaxed);
                    tokio::spawn(serve(stream, behavior, slots.clone(), calls.clone()));
                }
            });
        }
        endpoints
    }
}

async fn serve(stream: TcpStream, behavior: Behavior, slots: Arc<Semaphore>, calls: Arc<AtomicUsize>) {
    let _ = stream.set_nodelay(true);
    let answer = format!("HTTP/1.1 {} x\r\nContent-Length: 2\r\n\r\nok", behavior.status);
    let (mut stream, mut line) = (BufReader::new(stream), String::new());
    while message(&mut stream, &mut line).await.is_some() {
        calls.fetch_add(1, Ordering::Relaxed);
        if !behavior.takes.is_zero() {
            let _slot = slots.acquire().await;
            tokio::time::sleep(behavior.takes).await;
        }
        if stream.get_mut().write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// A client that makes one call at a time.
pub struct Caller {
    to: SocketAddr,
    stream: BufReader<TcpStream>,
    line: String,
    /// Number of connections opened after the first.
    pub reopened: usize,
}

impl Caller {
    pub async fn connect(to: SocketAddr) -> Caller {
        Caller { to, stream: open(to).await, line: String::new(), reopened: 0 }
    }

    /// Makes one call of a class. If the proxy has closed the connection between requests, the call is repeated on a
    /// new one.
    pub async fn call(&mut self, class: &str) -> u16 {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let id = NEXT.fetch_add(1, Ordering::Relaxed);
        let ask = crate::support::request(class, &format!("{id:016x}"), "2000m");
        let began = Instant::now();
        loop {
            if self.stream.get_mut().write_all(ask.as_bytes()).await.is_ok()
                && let Some(status) = message(&mut self.stream, &mut self.line).await
            {
                return status;
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "no answer on any connection");
            self.reopened += 1;
            self.stream = open(self.to).await;
        }
    }
}

async fn open(to: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(to).await.expect("the proxy accepts");
    stream.set_nodelay(true).expect("a socket");
    BufReader::new(stream)
}
