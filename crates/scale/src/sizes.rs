//! Real control members under simulated agents and endpoints of several sizes.

use crate::endpoints::{HEARTBEAT, beat_for_ever, heartbeat, path};
use crate::machines::{Machines, Process, Program};
use crate::operator::{config, connect, order, post};
use crate::slope;
use hdrhistogram::Histogram;
use runtrack_link::slog::{Discard, Logger, o};
use runtrack_link::{Gossip, dial_for_ever};
use runtrack_message::{EndpointState, Hello, Member, Role, WIRE_VERSION};
use runtrack_registry::key_of;
use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Parts of the whole size that are played, as divisors.
const PARTS: [usize; 5] = [16, 8, 4, 2, 1];
/// Endpoints whose heartbeats share a connection.
const BUNDLE: usize = 50;
/// Whatever takes longer has failed.
const PATIENCE: Duration = Duration::from_secs(60);
/// Routes of the configuration that changes.
const ROUTES: usize = 100;

/// What was measured at one size.
struct Measured {
    agents: usize,
    endpoints: usize,
    change: Histogram<u64>,
    drain: Histogram<u64>,
    /// Of one member, in cores.
    processor: f64,
    /// Of one member, in bytes.
    memory: u64,
    acknowledged: f64,
}

/// Plays all sizes and prints how the figures grow.
pub async fn run(agents: usize, endpoints: usize, members: usize, seconds: u64) -> Result<(), String> {
    println!(
        "agents endpoints  change p50/p99/most ms  drain p50/p99/most ms  a member: cores  MiB  heartbeats/s"
    );
    let mut all = Vec::new();
    for part in PARTS {
        let measured = play((agents / part).max(1), (endpoints / part).max(1), members, seconds).await?;
        let times = |h: &Histogram<u64>| {
            let ms = |micros: u64| micros as f64 / 1000.0;
            format!(
                "{:.1}/{:.1}/{:.1}",
                ms(h.value_at_quantile(0.5)),
                ms(h.value_at_quantile(0.99)),
                ms(h.max())
            )
        };
        println!(
            "{:6} {:9}  {:>22}  {:>21}  {:>15.3} {:>5.1} {:>8.0}",
            measured.agents,
            measured.endpoints,
            times(&measured.change),
            times(&measured.drain),
            measured.processor,
            measured.memory as f64 / 1_048_576.0,
            measured.acknowledged,
        );
        all.push(measured);
    }
    let by_endpoints = |figure: fn(&Measured) -> f64| -> Vec<(f64, f64)> {
        all.iter().map(|measured| (measured.endpoints as f64, figure(measured))).collect()
    };
    slope::print("processor of a member", "cores", "endpoint", &by_endpoints(|m| m.processor));
    slope::print("memory of a member", "MiB", "endpoint", &by_endpoints(|m| m.memory as f64 / 1_048_576.0));
    let by_agents: Vec<(f64, f64)> =
        all.iter().map(|m| (m.agents as f64, m.change.max() as f64 / 1000.0)).collect();
    slope::print("a change at the last agent", "ms", "agent", &by_agents);
    Ok(())
}

struct Agent {
    gossip: Rc<Gossip>,
    /// Its links and its repeats; they end with it.
    _tasks: JoinSet<()>,
}

fn simulated_agent(machines: &Machines, members: usize, number: usize) -> Agent {
    let hello = Hello {
        wire: WIRE_VERSION,
        role: Role::Agent,
        node: format!("simulated-{number}").as_str().into(),
        member: Member::none(),
    };
    let gossip = Gossip::new(hello, HEARTBEAT, Logger::root(Discard, o!()), Box::new(()));
    let mut tasks = JoinSet::new();
    tasks.spawn_local(gossip.clone().run());
    for member in 0..members.min(5) {
        tasks.spawn_local(dial_for_ever(gossip.clone(), machines.links(member)));
    }
    Agent { gossip, _tasks: tasks }
}

/// Waits until each agent's copy is such; the time that each took.
async fn reached(
    agents: &[Agent],
    such: impl Fn(&Gossip) -> bool + Clone + 'static,
) -> Result<Histogram<u64>, String> {
    let began = Instant::now();
    let mut waits = JoinSet::new();
    for agent in agents {
        let (gossip, such) = (agent.gossip.clone(), such.clone());
        waits.spawn_local(async move {
            let mut changes = gossip.changes();
            while !such(&gossip) {
                if changes.changed().await.is_err() {
                    return None;
                }
            }
            Some(began.elapsed())
        });
    }
    let mut times = Histogram::<u64>::new(3).map_err(|error| format!("{error:?}"))?;
    let gather = async {
        while let Some(time) = waits.join_next().await {
            if let Ok(Some(time)) = time {
                let _ = times.record(time.as_micros() as u64); // it grows as it must
            }
        }
    };
    timeout(PATIENCE, gather).await.map_err(|_| "not all agents were reached".to_owned())?;
    Ok(times)
}

async fn play(agents: usize, endpoints: usize, members: usize, seconds: u64) -> Result<Measured, String> {
    let machines = Machines::new(members)?;
    let processes: Vec<Process> = (0..members)
        .map(|member| machines.start(Program::Controller, member, true))
        .collect::<Result<_, _>>()?;
    let controls: Vec<SocketAddrV4> = (0..members).map(|member| machines.control(member)).collect();
    order(&controls, 0, &config(1, ROUTES)).await?;
    let simulated: Vec<Agent> =
        (0..agents).map(|number| simulated_agent(&machines, members, number)).collect();
    let acknowledged = Rc::new(Cell::new(0));
    let _heartbeats = send_heartbeats(&controls, endpoints, &acknowledged);
    reached(&simulated, move |gossip| {
        gossip.replica().registry().len() >= endpoints && gossip.replica().version() == 1
    })
    .await?;
    let (processor, acknowledged) = measure_at_rest(&processes, &acknowledged, seconds).await?;
    let change = measure_change(&simulated, &controls).await?;
    let drain = measure_drain(&simulated, controls[0]).await?;
    let memory = processes.iter().filter_map(|process| process.peak_memory().ok()).max().unwrap_or(0);
    processes.iter().for_each(Process::terminate);
    Ok(Measured { agents, endpoints, change, drain, processor, memory, acknowledged })
}

/// Sends the heartbeats of simulated endpoints until the caller drops this.
fn send_heartbeats(
    controls: &[SocketAddrV4],
    endpoints: usize,
    acknowledged: &Rc<Cell<u64>>,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    for first in (0..endpoints).step_by(BUNDLE) {
        let count = BUNDLE.min(endpoints - first);
        tasks.spawn_local(beat_for_ever(controls.to_vec(), first, count, acknowledged.clone()));
    }
    tasks
}

/// What the members do while nothing changes: cores that one of them uses, heartbeats acknowledged a second by all.
async fn measure_at_rest(
    processes: &[Process],
    acknowledged: &Cell<u64>,
    seconds: u64,
) -> Result<(f64, f64), String> {
    let (began, processor_before, acknowledged_before) =
        (Instant::now(), processor(processes)?, acknowledged.get());
    sleep(Duration::from_secs(seconds)).await;
    let elapsed = began.elapsed().as_secs_f64();
    let processor = (processor(processes)? - processor_before).as_secs_f64();
    let rate = (acknowledged.get() - acknowledged_before) as f64 / elapsed;
    Ok((processor / elapsed / processes.len() as f64, rate))
}

/// How long a change of the configuration takes to each agent.
async fn measure_change(agents: &[Agent], controls: &[SocketAddrV4]) -> Result<Histogram<u64>, String> {
    let second = config(2, ROUTES);
    let (times, _) = tokio::join!(
        reached(agents, |gossip| gossip.replica().version() == 2),
        order(controls, 1, &second)
    );
    times
}

/// How long the news that an endpoint is draining takes to each agent.
async fn measure_drain(agents: &[Agent], control: SocketAddrV4) -> Result<Histogram<u64>, String> {
    let leaving = key_of("i-0");
    let is_draining = move |gossip: &Gossip| {
        let state = gossip.replica().registry().get(leaving).map(|record| record.state);
        state == Some(EndpointState::Draining)
    };
    let (times, _) = tokio::join!(reached(agents, is_draining), drain_first(control));
    times
}

fn processor(processes: &[Process]) -> Result<Duration, String> {
    processes.iter().map(|process| process.processor_time().map_err(|error| error.to_string())).sum()
}

async fn drain_first(control: SocketAddrV4) {
    let address = SocketAddrV4::new(Ipv4Addr::from(0x0a80_0000), 8080);
    if let Some(mut sender) = connect(control).await {
        let _ = post(&mut sender, &path("i-0"), None, heartbeat(address, "draining", u64::MAX)).await; // told by the agents
    }
}
