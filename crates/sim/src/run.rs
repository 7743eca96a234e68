//! Runs a script: builds the simulated world, runs the sidecars' real code in it and has the oracle check the result.

use crate::client::{self, IdleConnections};
use crate::discovery::Discovery;
use crate::endpoint::{self, Endpoint};
use crate::facts::{Facts, ProcessRun};
use crate::gate::{Gate, Gated};
use crate::oracle::{self, Violation};
use crate::script::{Fault, Script};
use crate::world::{MAX_DEADLINE, START_UNIX_TIME, World, ms, sidecar_ip};
use runtrack::net::config::Config;
use runtrack::sidecar::{self, Command};
use runtrack_discovery::Clock;
use serde_json::{Value, json};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{sleep, sleep_until, timeout_at};

/// Time from the end of the last request until everything must be closed: idle client connections last up to 20 s.
const SETTLE_TIME: Duration = Duration::from_secs(26);
/// Time from SIGTERM to SIGKILL.
const SIGKILL_DELAY: Duration = Duration::from_millis(3700);
/// Most entries in the decision module's state once nothing is open: its endpoints, each with a few timers.
const MAX_STATE_PER_ENDPOINT: usize = 6;
const MAX_BASE_STATE: usize = 16;

/// Result of a run.
pub struct Outcome {
    /// Violated rules in order of time.
    pub violations: Vec<Violation>,
    /// The recorded events.
    pub facts: Facts,
    /// Hash over all network events.
    pub hash: u64,
    /// Descriptions of the network events, if enabled.
    pub network_events: Vec<(Duration, String)>,
    /// Virtual duration.
    pub virtual_duration: Duration,
}

/// A running sidecar process.
struct Process {
    gate: Rc<Gate>,
    commands: UnboundedSender<Command>,
    task: JoinHandle<()>,
    run_index: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Resume,
    Start,
    Move,
    Pause,
    Term,
    /// SIGKILL at the end of the grace after SIGTERM.
    KillAfterGrace,
    /// SIGKILL without warning.
    Kill,
}

/// An endpoint list without endpoints.
fn empty_list() -> Value {
    json!({"rev": 0, "all": true, "targets": []})
}

/// Runs one sidecar through the script.
struct SidecarRunner {
    world: Rc<World>,
    number: u32,
    discovery: Rc<Discovery>,
    server: Cell<u32>,
    start_count: Cell<usize>,
}

impl SidecarRunner {
    fn start(&self) -> Process {
        let (world, number) = (self.world.clone(), self.number);
        let start_count = self.start_count.replace(self.start_count.get() + 1);
        // A restarted process knows no endpoints.
        let known = if start_count == 0 { self.discovery.list() } else { empty_list() };
        let config = world.config(number, start_count, self.server.get(), &known);
        let (commands, receiver) = unbounded_channel();
        let run_index = {
            let facts = &mut world.facts.borrow_mut();
            facts.process_runs.push(ProcessRun {
                sidecar: number,
                started: world.now(),
                ended: None,
                drain_requested: None,
                killed: false,
            });
            facts.process_runs.len() - 1
        };
        let network = world.network.host(sidecar_ip(number));
        let clock = Clock::at(START_UNIX_TIME + world.now());
        let process = async move {
            let done = match Config::parse(&config.to_string(), None, None, None) {
                Ok(config) => {
                    let set = LocalSet::new();
                    set.run_until(sidecar::run(config, network, clock, receiver)).await
                }
                Err(problem) => Err(problem.to_string()),
            };
            let now = world.now();
            let facts = &mut world.facts.borrow_mut();
            facts.process_runs[run_index].ended = Some(now);
            if let Err(problem) = done {
                facts.crashes.push((number, now, problem));
            }
        };
        let gate: Rc<Gate> = Rc::default();
        let task = spawn_local(Gated { gate: gate.clone(), inner: Box::pin(process) });
        Process { gate, commands, task, run_index }
    }

    async fn kill(&self, process: Process, killed: bool) {
        if !process.task.is_finished() {
            self.world.network.process_died(sidecar_ip(self.number));
            process.task.abort();
            let _ = process.task.await;
            let process_run = &mut self.world.facts.borrow_mut().process_runs[process.run_index];
            (process_run.ended, process_run.killed) = (Some(self.world.now()), killed);
        }
    }

    fn steps(&self) -> Vec<(Duration, Step)> {
        let ms = |time: &u32| ms(*time);
        let mut steps = Vec::new();
        for fault in &self.world.script.faults {
            match fault {
                Fault::Pause { sidecar, at, lasts } if *sidecar == self.number => {
                    steps.extend([(ms(at), Step::Pause), (ms(at) + ms(lasts), Step::Resume)]);
                    let span = (*sidecar, ms(at), ms(at) + ms(lasts));
                    self.world.facts.borrow_mut().pauses.push(span);
                }
                Fault::Term { sidecar, at, lasts } if *sidecar == self.number => {
                    steps.extend([
                        (ms(at), Step::Term),
                        (ms(at) + SIGKILL_DELAY, Step::KillAfterGrace),
                        (ms(at) + ms(lasts).max(SIGKILL_DELAY) + Duration::from_millis(1), Step::Start),
                    ]);
                }
                Fault::Kill { sidecar, at, lasts } if *sidecar == self.number => {
                    steps.extend([
                        (ms(at), Step::Kill),
                        (ms(at) + ms(lasts).max(Duration::from_millis(1)), Step::Start),
                    ]);
                }
                Fault::Moves { at } => steps.push((ms(at), Step::Move)),
                _ => {}
            }
        }
        steps.sort_unstable();
        steps
    }

    /// Executes the steps of the script and records what is still open at the end.
    async fn run(self, end: Duration) {
        let world = self.world.clone();
        let mut process = Some(self.start());
        for (at, step) in self.steps() {
            sleep_until(world.start + at).await;
            match (step, &process) {
                (Step::Pause | Step::Resume, Some(process)) => process.gate.pause(step == Step::Pause),
                (Step::Term, Some(process)) => {
                    let drain_requested =
                        &mut world.facts.borrow_mut().process_runs[process.run_index].drain_requested;
                    drain_requested.get_or_insert(world.now());
                    let _ = process.commands.send(Command::Drain);
                }
                (Step::Move, running) => {
                    self.server.set(1);
                    if let Some(process) = running {
                        let text = world.config(self.number, 0, 1, &empty_list()).to_string();
                        let config = Config::parse(&text, None, None, None).map(Box::new);
                        let _ = process.commands.send(Command::Reload(config));
                    }
                }
                (Step::Kill | Step::KillAfterGrace, Some(running)) => {
                    // Killed only if its grace has passed: a process that was started since never got SIGTERM.
                    let drain_requested =
                        world.facts.borrow().process_runs[running.run_index].drain_requested;
                    let due = step == Step::Kill
                        || drain_requested
                            .is_some_and(|drain_requested| drain_requested + SIGKILL_DELAY <= world.now());
                    if let Some(process) = process.take_if(|_| due) {
                        self.kill(process, step == Step::Kill).await;
                    }
                }
                (Step::Start, None) => process = Some(self.start()),
                _ => {}
            }
        }
        sleep_until(world.start + end).await;
        let Some(process) = process.filter(|process| !process.task.is_finished()) else { return };
        let (gauges_sender, gauges_receiver) = oneshot::channel();
        let _ = process.commands.send(Command::Report(gauges_sender));
        let Ok(gauges) = gauges_receiver.await else { return }; // the process has just ended and recorded that itself
        let mut open = Vec::new();
        let mut check_limit = |what: &str, count: usize, limit: usize| {
            if count > limit {
                open.push(format!("sidecar {}: {what}: {count}", self.number));
            }
        };
        check_limit("requests open", gauges.open, 0);
        check_limit("calls that the module counts as in flight", gauges.calls_in_flight as usize, 0);
        check_limit("attempts out", gauges.attempts, 0);
        let limit = world.script.total_endpoints() as usize * MAX_STATE_PER_ENDPOINT + MAX_BASE_STATE;
        check_limit("things that the module remembers", gauges.remembered, limit);
        // The watch, and the periodic fetch of the full list.
        check_limit("connections open", world.network.open_connections(sidecar_ip(self.number)), 2);
        world.facts.borrow_mut().leftovers.extend(open);
    }
}

fn schedule_net_faults(world: &World) {
    use crate::net::NetFault::{Hangs, Late, Silent, Stalled};
    use crate::world::{client_ip, endpoint_ip};
    for fault in &world.script.faults {
        let (net_fault, at, lasts) = match fault {
            Fault::Silent { endpoint, at, lasts } => (Silent(endpoint_ip(*endpoint)), at, lasts),
            Fault::Hangs { endpoint, at, lasts } => (Hangs(endpoint_ip(*endpoint)), at, lasts),
            Fault::LateConnects { endpoint, at, lasts, by } => {
                (Late(endpoint_ip(*endpoint), ms(*by)), at, lasts)
            }
            Fault::Stalls { endpoint, sidecar, answers: false, at, lasts } => {
                (Stalled(sidecar_ip(*sidecar), endpoint_ip(*endpoint)), at, lasts)
            }
            Fault::Stalls { endpoint, sidecar, answers: true, at, lasts } => {
                (Stalled(endpoint_ip(*endpoint), sidecar_ip(*sidecar)), at, lasts)
            }
            Fault::ClientStalls { client, at, lasts } => {
                let sidecar = client % world.script.sidecars;
                (Stalled(sidecar_ip(sidecar), client_ip(*client)), at, lasts)
            }
            _ => continue,
        };
        world.network.add_fault(net_fault, world.at(*at), world.at(at + lasts));
    }
}

async fn run_script(script: Script, record_events: bool) -> Outcome {
    let world = World::new(script, record_events);
    schedule_net_faults(&world);
    let discovery = Discovery::new(world.clone());
    let mut from: Vec<Option<u32>> = vec![None; world.script.endpoints as usize];
    for fault in &world.script.faults {
        match fault {
            Fault::Joins { at, count } => from.extend((0..*count).map(|_| Some(*at))),
            Fault::Resets { endpoint, at } => {
                let (world, at) = (world.clone(), world.at(*at));
                let host = crate::world::endpoint_ip(*endpoint);
                spawn_local(async move {
                    sleep_until(at).await;
                    world.network.reset_connections(host);
                });
            }
            _ => {}
        }
    }
    for (number, from) in from.into_iter().enumerate() {
        endpoint::run_process(Endpoint::new(world.clone(), number as u32), from);
    }
    sleep(Duration::from_millis(1)).await;
    discovery.clone().start();
    let faults = world.script.faults.clone();
    let latest = faults.into_iter().map(|mut fault| {
        let (at, lasts) = fault.timing_mut();
        *at + lasts.map_or(0, |lasts| *lasts)
    });
    let last = latest.max().unwrap_or(0).max(world.script.last_request_at()).max(500);
    let end = ms(last) + MAX_DEADLINE + SIGKILL_DELAY + SETTLE_TIME;
    let sidecars: Vec<JoinHandle<()>> = (0..world.script.sidecars)
        .map(|number| {
            let (server, start_count) = Default::default();
            let sidecar = SidecarRunner {
                world: world.clone(),
                number,
                discovery: discovery.clone(),
                server,
                start_count,
            };
            spawn_local(sidecar.run(end))
        })
        .collect();
    let idle_connections: Rc<IdleConnections> = Rc::default();
    let requests: Vec<JoinHandle<()>> = (0..world.script.asks.len())
        .map(|n| spawn_local(client::send_request(world.clone(), idle_connections.clone(), n)))
        .collect();
    for ask in requests {
        let _ = timeout_at(world.start + end, ask).await;
    }
    for sidecar in sidecars {
        let _ = sidecar.await;
    }
    let mut facts = world.facts.borrow().clone();
    facts.assign_responses();
    let violations = oracle::judge(&world.script, &facts);
    let network_events =
        world.network.event_lines().into_iter().map(|(at, line)| (world.time_of(at), line)).collect();
    Outcome { violations, facts, hash: world.network.hash(), network_events, virtual_duration: world.now() }
}

/// Runs a script; `lines` enables descriptions of the network events.
pub fn run(script: &Script, record_events: bool) -> Outcome {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime needs no more than memory");
    LocalSet::new().block_on(&runtime, run_script(script.clone(), record_events))
}
