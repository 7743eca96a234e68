//! Compares the sidecar with a plain proxy on the same endpoints in one run.
//!
//! `cargo bench -p runtrack --bench wire -- [closed] [bodies] [fleet] [open] [overload] [steady]`; without arguments,
//! all but `steady`.
//!
//! The plain proxy is hyper's server and client without further logic, on one thread; each client has its own
//! connection to an endpoint. The sidecar is a single-threaded process. Load and endpoints run on two threads of this
//! program. Processor time is the kernel's count for the proxy's thread and for the sidecar. In an open loop calls
//! are due at regular times, and latency is measured from the due time, whether or not the call could be sent then.

#[path = "../tests/support/load.rs"]
mod load;
#[path = "../tests/support/node.rs"]
mod support;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use load::{Behavior, Caller, Endpoints};
use serde_json::json;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::task::{JoinSet, LocalSet, spawn_local};

const WARM_UP: Duration = Duration::from_millis(500);
const MEASURED: Duration = Duration::from_secs(2);

/// Processor time that a proxy has used, in seconds, from the kernel's `stat` file.
fn cpu_seconds(stat: &str) -> f64 {
    let text = std::fs::read_to_string(stat).expect("the proxy runs");
    let fields: Vec<&str> =
        text.rsplit(')').next().expect("a line of figures").split_whitespace().collect();
    let cpu_ticks = |at: usize| fields[at].parse::<f64>().expect("a figure");
    (cpu_ticks(11) + cpu_ticks(12)) / 100.0
}

/// A proxy under measurement.
struct Proxy {
    address: SocketAddr,
    /// The kernel's `stat` file of its thread or process.
    stat: String,
}

/// Starts a plain proxy on its own thread, which runs until the program ends.
fn plain_proxy(endpoints: Vec<SocketAddr>) -> Proxy {
    let (ready_tx, ready_rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port on loopback");
            let this = std::fs::read_link("/proc/thread-self").expect("a thread of a process");
            let (address, stat) = (listener.local_addr().expect("a bound port"), this.join("stat"));
            let stat = format!("/proc/{}", stat.display());
            ready_tx.send(Proxy { address, stat }).expect("the caller waits");
            for turn in 0.. {
                let Ok((client_stream, _)) = listener.accept().await else { return };
                spawn_local(forward(client_stream, endpoints[turn % endpoints.len()]));
            }
        });
    });
    ready_rx.recv().expect("the proxy starts")
}

async fn forward(client_stream: TcpStream, to: SocketAddr) {
    let endpoint_stream = TcpStream::connect(to).await.expect("an endpoint is up");
    let _ = (client_stream.set_nodelay(true), endpoint_stream.set_nodelay(true));
    let made = hyper::client::conn::http1::handshake(TokioIo::new(endpoint_stream)).await;
    let (sender, connection) = made.expect("a handshake without I/O");
    spawn_local(connection);
    let sender = Rc::new(RefCell::new(sender));
    let service = service_fn(move |request: Request<Incoming>| {
        // Only one request at a time arrives on a connection, so the connection to the endpoint is free.
        let answer = sender.borrow_mut().send_request(request);
        async move {
            let (head, body) = answer.await?.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok::<_, hyper::Error>(Response::from_parts(head, Full::<Bytes>::new(body)))
        }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(client_stream), service)
        .await;
    if let Err(problem) = served {
        eprintln!("bare proxy: {problem:?}");
    }
}

#[derive(Default)]
struct Measurements {
    /// Served calls, and those of them within the objective.
    calls: usize,
    good: usize,
    refused: usize,
    reopened: usize,
    /// Latencies of served calls, sorted.
    times: Vec<Duration>,
    /// The longest time until a refusal.
    refusal: Duration,
}

impl Measurements {
    fn add(&mut self, one: Measurements) {
        self.calls += one.calls;
        self.good += one.good;
        self.refused += one.refused;
        self.reopened += one.reopened;
        self.times.extend(one.times);
        self.refusal = self.refusal.max(one.refusal);
    }

    fn record(&mut self, status: u16, time: Duration, objective: Duration) {
        if status == 200 {
            self.calls += 1;
            self.good += usize::from(time <= objective);
            self.times.push(time);
        } else {
            self.refused += 1;
            self.refusal = self.refusal.max(time);
        }
    }

    fn rate(&self) -> f64 {
        self.calls as f64 / MEASURED.as_secs_f64()
    }

    fn percentile_us(&self, part: f64) -> f64 {
        let place = (self.times.len() as f64 * part) as usize;
        self.times.get(place.min(self.times.len().saturating_sub(1))).map_or(0.0, |t| t.as_secs_f64() * 1e6)
    }
}

/// Runs this number of clients, each with one call in flight at a time.
async fn closed_loop(to: SocketAddr, clients: usize, class: &'static str) -> Measurements {
    let mut tasks = JoinSet::new();
    let began = Instant::now();
    for _ in 0..clients {
        tasks.spawn(async move {
            let (mut caller, mut measurements) = (Caller::connect(to).await, Measurements::default());
            while began.elapsed() < WARM_UP + MEASURED {
                let sent = Instant::now();
                let status = caller.call(class).await;
                if began.elapsed() >= WARM_UP {
                    measurements.record(status, sent.elapsed(), Duration::MAX);
                }
            }
            measurements.reopened = caller.reopened;
            measurements
        });
    }
    gather(tasks).await
}

async fn gather(mut tasks: JoinSet<Measurements>) -> Measurements {
    let mut all = Measurements::default();
    while let Some(one) = tasks.join_next().await {
        all.add(one.expect("a client ends"));
    }
    all.times.sort();
    all
}

/// Makes `rate` calls per second, each due at its time whatever the state of the others, on up to `clients`
/// connections.
async fn open_loop(
    to: SocketAddr,
    rate: f64,
    clients: usize,
    class: &'static str,
    objective: Duration,
) -> Measurements {
    let (mut tasks, next) = (JoinSet::new(), Arc::new(AtomicUsize::new(0)));
    let began = Instant::now();
    for _ in 0..clients {
        let next = next.clone();
        tasks.spawn(async move {
            let (mut caller, mut measurements) = (Caller::connect(to).await, Measurements::default());
            loop {
                let due = Duration::from_secs_f64(next.fetch_add(1, Ordering::Relaxed) as f64 / rate);
                if due > WARM_UP + MEASURED {
                    measurements.reopened = caller.reopened;
                    return measurements;
                }
                tokio::time::sleep_until((began + due).into()).await;
                let status = caller.call(class).await;
                if due >= WARM_UP {
                    measurements.record(status, began.elapsed() - due, objective);
                }
            }
        });
    }
    gather(tasks).await
}

/// Prints one line for both proxies under the same load.
fn compare(
    what: &str,
    plain_proxy: &Proxy,
    sidecar: &Proxy,
    endpoints: &Endpoints,
    load: impl Fn(SocketAddr) -> Measurements,
) {
    let measure = |proxy: &Proxy| {
        let before = (cpu_seconds(&proxy.stat), endpoints.accepted.load(Ordering::Relaxed));
        let measurements = load(proxy.address);
        let whole = (WARM_UP + MEASURED).as_secs_f64() / MEASURED.as_secs_f64();
        let answers = (measurements.calls + measurements.refused).max(1) as f64 * whole;
        let used = (cpu_seconds(&proxy.stat) - before.0) * 1e6 / answers;
        (measurements, used, endpoints.accepted.load(Ordering::Relaxed) - before.1)
    };
    let (plain, plain_cpu, _) = measure(plain_proxy);
    let (ours, cpu, connections) = measure(sidecar);
    println!(
        "{what:<28} | {:>7.0} {:>6.0} {:>6.0} {:>7.0} {:>5.1} | {:>7.0} {:>6.0} {:>6.0} {:>7.0} {:>5.1} {:>5} {:>5} {:>5} | {:>5.2} {:>6.0} {:>5.2}",
        plain.rate(),
        plain.percentile_us(0.5),
        plain.percentile_us(0.99),
        plain.percentile_us(0.999),
        plain_cpu,
        ours.rate(),
        ours.percentile_us(0.5),
        ours.percentile_us(0.99),
        ours.percentile_us(0.999),
        cpu,
        ours.refused,
        ours.reopened,
        connections,
        ours.rate() / plain.rate(),
        ours.percentile_us(0.5) - plain.percentile_us(0.5),
        cpu / plain_cpu
    );
}

fn heading(what: &str) {
    println!("\n{what}; {MEASURED:?} after {WARM_UP:?}");
    println!(
        "{:<28} | bare: calls/s, us p50 p99 p99.9 CPU | sidecar: the same, refused, reopened, connections | ratio, us added, CPU ratio",
        ""
    );
}

/// 512 clients and as many attempts need more sockets than the tests' configuration has.
fn bench_config(endpoints: &Endpoints) -> serde_json::Value {
    let mut config = support::config_at(&endpoints.addresses);
    config["limits"] = json!({"cores": 1.0, "memory_mb": 384, "sockets": 2048});
    config
}

fn start_proxies(endpoints: &Endpoints) -> (Proxy, support::Sidecar, Proxy) {
    let plain = plain_proxy(endpoints.addresses.clone());
    let sidecar = support::Sidecar::start(&bench_config(endpoints));
    let ours = proxy(&sidecar);
    (plain, sidecar, ours)
}

fn proxy(sidecar: &support::Sidecar) -> Proxy {
    Proxy { address: sidecar.address, stat: format!("/proc/{}/stat", sidecar.child.id()) }
}

/// Runs a closed loop of clients for each service time and number of endpoints.
fn closed(runtime: &Runtime, times: &[u64], counts: &[usize], clients: &[usize], class: &'static str) {
    for &takes in times {
        for &count in counts {
            let behavior = Behavior::serving(Duration::from_millis(takes));
            let endpoints = Endpoints::start(runtime, &vec![behavior; count]);
            let (plain, _sidecar, ours) = start_proxies(&endpoints);
            for &clients in clients {
                let what = format!("{takes} ms, {count} endpoints, {clients} calls");
                compare(&what, &plain, &ours, &endpoints, |to| {
                    runtime.block_on(closed_loop(to, clients, class))
                });
            }
        }
    }
}

/// Open loops at fixed rates.
fn open_loops(runtime: &Runtime) {
    let endpoints = Endpoints::start(runtime, &[Behavior::serving(Duration::from_millis(1)); 4]);
    let (plain, _sidecar, ours) = start_proxies(&endpoints);
    for rate in [500.0, 2000.0, 8000.0] {
        let what = format!("1 ms, 4 endpoints, {rate}/s");
        compare(&what, &plain, &ours, &endpoints, |to| {
            runtime.block_on(open_loop(to, rate, 256, "quote", Duration::MAX))
        });
    }
}

/// Load up to four times the endpoints' capacity: 4 endpoints, 10 ms, 4 calls at a time, so 1,600 calls per second.
fn overload(runtime: &Runtime) {
    let objective = Duration::from_millis(200);
    println!(
        "\noverload: 4 endpoints of 10 ms, 4 calls at a time; the objective is {objective:?}, half the calls are worth 4, half 1"
    );
    println!(
        "offered/s | good/s of peak | worth 4: offered good p99 us | worth 1: offered good | longest refusal ms"
    );
    let mut peak: f64 = 0.0;
    for part in [0.9, 1.0, 2.0, 4.0] {
        let behavior = Behavior { at_once: 4, ..Behavior::serving(Duration::from_millis(10)) };
        let endpoints = Endpoints::start(runtime, &[behavior; 4]);
        let mut config = bench_config(&endpoints);
        for class in config["settings"]["classes"].as_array_mut().expect("classes") {
            class["objectiveMs"] = json!(objective.as_millis() as f64);
            class["deadlineMs"] = json!(1000.0);
            class["worth"] = json!(if class["name"] == "pay" { 4.0 } else { 1.0 });
        }
        let sidecar = support::Sidecar::start(&config);
        let rate = 1600.0 * part / 2.0;
        let (worthy, other) = runtime.block_on(async {
            let loops =
                ["pay", "quote"].map(|class| open_loop(sidecar.address, rate, 400, class, objective));
            let [worthy, other] = loops;
            tokio::join!(worthy, other)
        });
        let seconds = MEASURED.as_secs_f64();
        let good = (worthy.good + other.good) as f64 / seconds;
        peak = peak.max(good);
        println!(
            "{:>9.0} | {good:>6.0} {:>7.3} | {:>6} {:>5} {:>8.0} | {:>6} {:>5} | {:>6.1}",
            rate * 2.0,
            good / peak,
            worthy.calls + worthy.refused,
            worthy.good,
            worthy.percentile_us(0.99),
            other.calls + other.refused,
            other.good,
            worthy.refusal.max(other.refusal).as_secs_f64() * 1e3
        );
    }
}

/// A million calls: the sidecar's memory must not grow in the second half.
fn steady(runtime: &Runtime) {
    const CALLS: usize = 1_000_000;
    let endpoints = Endpoints::start(runtime, &[Behavior::serving(Duration::ZERO); 4]);
    let sidecar = support::Sidecar::start(&bench_config(&endpoints));
    let resident = || {
        let status = std::fs::read_to_string(format!("/proc/{}/status", sidecar.child.id()));
        let status = status.expect("the sidecar runs");
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("its memory");
        line.split_whitespace().nth(1).and_then(|kib| kib.parse::<usize>().ok()).expect("a figure")
    };
    println!("\nsteady: {CALLS} calls, 64 in flight");
    let (mut done, mut half) = (0, 0);
    while done < CALLS {
        let round = runtime.block_on(closed_loop(sidecar.address, 64, "quote"));
        assert_eq!(round.refused, 0, "nothing is refused");
        done += round.calls;
        println!("{done:>8} calls: {} KiB", resident());
        if half == 0 && done >= CALLS / 2 {
            half = resident();
        }
    }
    let log = sidecar.log();
    for kind in ["outcomes", "served"] {
        println!("{}", log.lines().rfind(|line| line.starts_with(kind)).unwrap_or_default());
    }
    let end = resident();
    assert!(end <= half + half / 20, "{half} KiB at the half, {end} KiB at the end");
}

fn main() {
    let named: Vec<String> = std::env::args().skip(1).filter(|arg| !arg.starts_with("--")).collect();
    let wanted =
        |what: &str| named.iter().any(|name| name == what) || (named.is_empty() && what != "steady");
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("a runtime");
    if wanted("closed") {
        heading("closed loop, GET");
        closed(&runtime, &[0, 1, 10, 100], &[4], &[1, 8, 64, 512], "quote");
    }
    if wanted("bodies") {
        heading("closed loop, POST that must not run twice");
        closed(&runtime, &[0], &[4], &[1, 64], "book");
        heading("closed loop, POST with a key");
        closed(&runtime, &[0], &[4], &[1, 64], "pay");
    }
    if wanted("fleet") {
        heading("closed loop, GET, many endpoints");
        closed(&runtime, &[0], &[40, 400], &[64], "quote");
    }
    if wanted("open") {
        heading("open loop, GET");
        open_loops(&runtime);
    }
    if wanted("overload") {
        overload(&runtime);
    }
    if wanted("steady") {
        steady(&runtime);
    }
}
