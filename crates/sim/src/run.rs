//! A run: the world as a script has it, the sidecars' real code in it, and what the oracle says of that.

use crate::client::{self, Kept};
use crate::discovery::Discovery;
use crate::endpoint::{self, Endpoint};
use crate::facts::{Facts, Life};
use crate::gate::{Gate, Gated};
use crate::oracle::{self, Breach};
use crate::script::{Fault, Script};
use crate::world::{DEADLINE, UNIX, World, ms, sidecar_ip};
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

/// From the last request's end until all must be at rest: clients' connections rest for 20 s at most.
const REST: Duration = Duration::from_secs(26);
/// SIGKILL comes this much after SIGTERM.
const KILLED_AFTER: Duration = Duration::from_millis(3700);
/// What the module may remember once nothing is open: its endpoints, each with a few timers.
const REMEMBERED_OF_ENDPOINT: usize = 6;
const REMEMBERED_MORE: usize = 16;

/// What came of a run.
pub struct Outcome {
    /// Broken rules, in the order of time.
    pub breaches: Vec<Breach>,
    /// What was seen.
    pub facts: Facts,
    /// All that went over the network, hashed.
    pub hash: u64,
    /// The network's events in words, where they were wanted.
    pub lines: Vec<(Duration, String)>,
    /// How long it was, in the world's time.
    pub lasted: Duration,
}

/// A sidecar's process.
struct Process {
    gate: Rc<Gate>,
    orders: UnboundedSender<Command>,
    task: JoinHandle<()>,
    life: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    Resume,
    Start,
    Move,
    Pause,
    Term,
    /// SIGKILL at the end of a planned restart.
    End,
    /// Killed outright.
    Kill,
}

/// A list with nobody on it.
fn nobody() -> Value {
    json!({"rev": 0, "all": true, "targets": []})
}

/// A sidecar through the script.
struct Player {
    world: Rc<World>,
    number: u32,
    discovery: Rc<Discovery>,
    server: Cell<u32>,
    lives: Cell<usize>,
}

impl Player {
    fn start(&self) -> Process {
        let (world, number) = (self.world.clone(), self.number);
        let lives = self.lives.replace(self.lives.get() + 1);
        // What is started again knows nothing.
        let known = if lives == 0 { self.discovery.list() } else { nobody() };
        let config = world.config(number, lives, self.server.get(), &known);
        let (orders, taken) = unbounded_channel();
        let life = {
            let facts = &mut world.facts.borrow_mut();
            facts.lives.push(Life {
                sidecar: number,
                from: world.now(),
                until: None,
                told: None,
                killed: false,
            });
            facts.lives.len() - 1
        };
        let network = world.wires.host(sidecar_ip(number));
        let clock = Clock::at(UNIX + world.now());
        let process = async move {
            let done = match Config::parse(&config.to_string(), None, None, None) {
                Ok(config) => {
                    let set = LocalSet::new();
                    set.run_until(sidecar::run(config, network, clock, taken)).await
                }
                Err(problem) => Err(problem.to_string()),
            };
            let now = world.now();
            let facts = &mut world.facts.borrow_mut();
            facts.lives[life].until = Some(now);
            if let Err(problem) = done {
                facts.crashed.push((number, now, problem));
            }
        };
        let gate: Rc<Gate> = Rc::default();
        let task = spawn_local(Gated { gate: gate.clone(), inner: Box::pin(process) });
        Process { gate, orders, task, life }
    }

    async fn kill(&self, process: Process, killed: bool) {
        if !process.task.is_finished() {
            self.world.wires.process_died(sidecar_ip(self.number));
            process.task.abort();
            let _ = process.task.await;
            let life = &mut self.world.facts.borrow_mut().lives[process.life];
            (life.until, life.killed) = (Some(self.world.now()), killed);
        }
    }

    fn turns(&self) -> Vec<(Duration, Turn)> {
        let ms = |time: &u32| ms(*time);
        let mut turns = Vec::new();
        for fault in &self.world.script.faults {
            match fault {
                Fault::Pause { sidecar, at, lasts } if *sidecar == self.number => {
                    turns.extend([(ms(at), Turn::Pause), (ms(at) + ms(lasts), Turn::Resume)]);
                    let span = (*sidecar, ms(at), ms(at) + ms(lasts));
                    self.world.facts.borrow_mut().pauses.push(span);
                }
                Fault::Term { sidecar, at, lasts } if *sidecar == self.number => {
                    turns.extend([
                        (ms(at), Turn::Term),
                        (ms(at) + KILLED_AFTER, Turn::End),
                        (ms(at) + ms(lasts).max(KILLED_AFTER) + Duration::from_millis(1), Turn::Start),
                    ]);
                }
                Fault::Kill { sidecar, at, lasts } if *sidecar == self.number => {
                    turns.extend([
                        (ms(at), Turn::Kill),
                        (ms(at) + ms(lasts).max(Duration::from_millis(1)), Turn::Start),
                    ]);
                }
                Fault::Moves { at } => turns.push((ms(at), Turn::Move)),
                _ => {}
            }
        }
        turns.sort_unstable();
        turns
    }

    /// Plays to the end, and says what it has left open.
    async fn play(self, end: Duration) {
        let world = self.world.clone();
        let mut process = Some(self.start());
        for (at, turn) in self.turns() {
            sleep_until(world.start + at).await;
            match (turn, &process) {
                (Turn::Pause | Turn::Resume, Some(process)) => process.gate.pause(turn == Turn::Pause),
                (Turn::Term, Some(process)) => {
                    let told = &mut world.facts.borrow_mut().lives[process.life].told;
                    told.get_or_insert(world.now());
                    let _ = process.orders.send(Command::Drain);
                }
                (Turn::Move, running) => {
                    self.server.set(1);
                    if let Some(process) = running {
                        let text = world.config(self.number, 0, 1, &nobody()).to_string();
                        let config = Config::parse(&text, None, None, None).map(Box::new);
                        let _ = process.orders.send(Command::Reload(config));
                    }
                }
                (Turn::Kill | Turn::End, Some(running)) => {
                    // After SIGTERM it has had its time: what is unanswered then is lost. Another process, started
                    // since, was never told.
                    let told = world.facts.borrow().lives[running.life].told;
                    let due =
                        turn == Turn::Kill || told.is_some_and(|told| told + KILLED_AFTER <= world.now());
                    if let Some(process) = process.take_if(|_| due) {
                        self.kill(process, turn == Turn::Kill).await;
                    }
                }
                (Turn::Start, None) => process = Some(self.start()),
                _ => {}
            }
        }
        sleep_until(world.start + end).await;
        let Some(process) = process.filter(|process| !process.task.is_finished()) else { return };
        let (ask, told) = oneshot::channel();
        let _ = process.orders.send(Command::Report(ask));
        let Ok(gauges) = told.await else { return }; // it has just ended, and says so itself
        let mut open = Vec::new();
        let mut left = |what: &str, count: usize, most: usize| {
            if count > most {
                open.push(format!("sidecar {}: {what}: {count}", self.number));
            }
        };
        left("requests open", gauges.open, 0);
        left("calls that the module counts as in flight", gauges.calls_in_flight as usize, 0);
        left("attempts out", gauges.attempts, 0);
        let most = world.script.all_endpoints() as usize * REMEMBERED_OF_ENDPOINT + REMEMBERED_MORE;
        left("things that the module remembers", gauges.remembered, most);
        // The watch, and what asks for a list now and then.
        left("connections open", world.wires.open_connections(sidecar_ip(self.number)), 2);
        world.facts.borrow_mut().open.extend(open);
    }
}

fn troubles(world: &World) {
    use crate::net::NetFault::{Hangs, Late, Silent, Stalled};
    use crate::world::{client_ip, endpoint_ip};
    for fault in &world.script.faults {
        let (trouble, at, lasts) = match fault {
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
        world.wires.add_fault(trouble, world.at(*at), world.at(at + lasts));
    }
}

async fn play(script: Script, lines: bool) -> Outcome {
    let world = World::new(script, lines);
    troubles(&world);
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
                    world.wires.reset_connections(host);
                });
            }
            _ => {}
        }
    }
    for (number, from) in from.into_iter().enumerate() {
        endpoint::play(Endpoint::new(world.clone(), number as u32), from);
    }
    sleep(Duration::from_millis(1)).await;
    discovery.clone().play();
    let faults = world.script.faults.clone();
    let latest = faults.into_iter().map(|mut fault| {
        let (at, lasts) = fault.times();
        *at + lasts.map_or(0, |lasts| *lasts)
    });
    let last = latest.max().unwrap_or(0).max(world.script.last_ask()).max(500);
    let end = ms(last) + DEADLINE + KILLED_AFTER + REST;
    let players: Vec<JoinHandle<()>> = (0..world.script.sidecars)
        .map(|number| {
            let (server, lives) = Default::default();
            let player =
                Player { world: world.clone(), number, discovery: discovery.clone(), server, lives };
            spawn_local(player.play(end))
        })
        .collect();
    let kept: Rc<Kept> = Rc::default();
    let asks: Vec<JoinHandle<()>> = (0..world.script.asks.len())
        .map(|n| spawn_local(client::ask(world.clone(), kept.clone(), n)))
        .collect();
    for ask in asks {
        let _ = timeout_at(world.start + end, ask).await;
    }
    for player in players {
        let _ = player.await;
    }
    let mut facts = world.facts.borrow().clone();
    facts.assign();
    let breaches = oracle::judge(&world.script, &facts);
    let lines = world.wires.lines().into_iter().map(|(at, line)| (world.since(at), line)).collect();
    Outcome { breaches, facts, hash: world.wires.hash(), lines, lasted: world.now() }
}

/// Runs a script; with `lines` the network's events are kept in words.
pub fn run(script: &Script, lines: bool) -> Outcome {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime needs no more than memory");
    LocalSet::new().block_on(&runtime, play(script.clone(), lines))
}
