//! Runs a small fleet that serves streams, and prints statistics every second.

use crate::endpoints::start_endpoint;
use crate::machines::{Machines, Process, Program};
use crate::operator::{config, connect, submit_config};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, interval, sleep, timeout};

const MEMBERS: usize = 3;
const EDGES: usize = 2;
const ENDPOINTS: usize = 4;
/// Time limit of a stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(8);
/// Time limit until the fleet serves.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Statistics of the clients within a second.
struct SecondStats {
    sent: u32,
    completed: u32,
    failed: u32,
    first_event: Histogram<u64>,
}

impl SecondStats {
    fn new() -> Result<Self, String> {
        let first_event = Histogram::new(3).map_err(|error| format!("{error:?}"))?;
        Ok(SecondStats { sent: 0, completed: 0, failed: 0, first_event })
    }

    fn print(&self, number: u64) {
        let SecondStats { sent, completed, failed, first_event } = self;
        let ms = |quantile| first_event.value_at_quantile(quantile) as f64 / 1000.0;
        println!("{number:6} {sent:6} {completed:6} {failed:7}  {:.1}/{:.1}", ms(0.5), ms(0.99));
    }
}

/// Runs the demo and prints its progress.
pub async fn run(seconds: u64, rate: f64) -> Result<(), String> {
    let mut fleet = Fleet::start()?;
    println!("{MEMBERS} control members, {EDGES} proxies with their agents, {ENDPOINTS} endpoints");
    let status = submit_config(&fleet.controls, 0, &config(1, 0)).await?;
    println!("configuration 1: {status}");
    for number in 0..ENDPOINTS {
        start_endpoint(format!("i-{}", number + 1), fleet.controls.clone()).await?;
    }
    let took = wait_until_serving(&fleet.fronts).await?;
    println!(
        "serving after {:.1} s\n\nsecond   sent   done  failed  first event p50/p99 ms",
        took.as_secs_f64()
    );
    let current_stats = Rc::new(RefCell::new(SecondStats::new()?));
    spawn_local(generate_load(fleet.fronts.clone(), rate, current_stats.clone()));
    let mut ticks = interval(Duration::from_secs(1));
    ticks.tick().await;
    for second in 1..=seconds {
        ticks.tick().await;
        current_stats.replace(SecondStats::new()?).print(second);
        if second == seconds / 3 {
            let status = submit_config(&fleet.controls, 1, &config(2, 20)).await?;
            println!("        configuration 2, with 20 more routes: {status}");
        }
        if second == seconds * 2 / 3 {
            fleet.kill_first_member();
            println!("        control member 1 killed");
            let status = submit_config(&fleet.controls, 2, &config(3, 0)).await?;
            println!("        configuration 3, sent to the other two: {status}");
        }
    }
    fleet.terminate_edges();
    println!("\nended");
    Ok(())
}

/// The processes of the fleet; killed when dropped.
struct Fleet {
    members: Vec<Process>,
    /// Control addresses of the running members.
    controls: Vec<SocketAddrV4>,
    /// Agent and proxy of each edge machine.
    edges: Vec<(Process, Process)>,
    /// Client addresses of the proxies.
    fronts: Vec<SocketAddrV4>,
    /// Folder of the processes' data, deleted after they have stopped.
    _machines: Machines,
}

impl Fleet {
    fn start() -> Result<Self, String> {
        let machines = Machines::new(MEMBERS)?;
        let start_member = |member| machines.start(Program::Controller, member, true);
        let start_edge = |edge| -> Result<(Process, Process), String> {
            let agent = machines.start(Program::Agent, edge, true)?;
            Ok((agent, machines.start(Program::Proxy, edge, true)?))
        };
        Ok(Fleet {
            members: (0..MEMBERS).map(start_member).collect::<Result<_, _>>()?,
            controls: (0..MEMBERS).map(|member| machines.control(member)).collect(),
            edges: (0..EDGES).map(start_edge).collect::<Result<_, _>>()?,
            fronts: (0..EDGES).map(|edge| machines.front(edge)).collect(),
            _machines: machines,
        })
    }

    fn kill_first_member(&mut self) {
        self.members.remove(0);
        self.controls.remove(0);
    }

    fn terminate_edges(&self) {
        self.edges.iter().for_each(|(agent, proxy)| {
            proxy.terminate();
            agent.terminate();
        });
    }
}

/// Waits until each proxy has served a complete stream; returns the duration.
async fn wait_until_serving(fronts: &[SocketAddrV4]) -> Result<Duration, String> {
    let began = Instant::now();
    for front in fronts {
        while request_stream(*front, 0).await.is_none() {
            if began.elapsed() > START_TIMEOUT {
                return Err(format!("the fleet did not serve within {} s", START_TIMEOUT.as_secs()));
            }
            sleep(RETRY_DELAY).await;
        }
    }
    Ok(began.elapsed())
}

/// Sends requests at this rate, independently of the responses (open loop).
async fn generate_load(fronts: Vec<SocketAddrV4>, rate: f64, current_stats: Rc<RefCell<SecondStats>>) {
    let mut next = Instant::now();
    for number in 1u64.. {
        next += Duration::from_secs_f64(-fastrand::f64().max(1e-9).ln() / rate);
        tokio::time::sleep_until(next).await;
        let (front, current_stats) = (fronts[fastrand::usize(..fronts.len())], current_stats.clone());
        current_stats.borrow_mut().sent += 1;
        spawn_local(async move {
            let first = request_stream(front, number).await;
            let mut second = current_stats.borrow_mut();
            match first {
                Some(first) => {
                    second.completed += 1;
                    let _ = second.first_event.record(first.as_micros() as u64); // the histogram resizes itself
                }
                None => second.failed += 1,
            }
        });
    }
}

/// Requests a stream; returns the time to its first event if it completes.
async fn request_stream(front: SocketAddrV4, number: u64) -> Option<Duration> {
    let began = Instant::now();
    let mut sender = connect(front).await?;
    let shared = number % 7;
    let request = Request::post("/chat/1")
        .header("host", "chat.example")
        .header("x-attempt-id", format!("{number:016x}"))
        .header("x-model", "m")
        .header("x-token-count", "4000,60")
        .header("x-prompt-prefix", format!("{shared:08x}:3000,{number:08x}:1000"))
        .header("x-time-budget-ms", STREAM_TIMEOUT.as_millis().to_string())
        .body(Full::new(Bytes::from_static(b"a prompt")))
        .ok()?;
    let answer = async {
        let response = sender.send_request(request).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let mut body = response.into_body();
        let mut first = None;
        while let Some(frame) = body.frame().await {
            frame.ok()?;
            first = first.or(Some(began.elapsed()));
        }
        first
    };
    timeout(STREAM_TIMEOUT, answer).await.ok()?
}
