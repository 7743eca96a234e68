//! A simulated machine and the process on it: the real program in a task set of its own, which can be killed, stopped
//! where it is, told to end, and started again.

use crate::fleet::disk::SimDisk;
use crate::fleet::timeline;
use crate::fleet::world::{World, agent_ip, core_ip};
use crate::gate::{Gate, Gated};
use runtrack_link::{Environment, ProcessEvent, ProcessEvents};
use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::sleep;

/// Which program a machine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// The controller of a core machine.
    Controller(u32),
    /// The agent of an edge machine.
    Agent(u32),
}

/// A controller that ended by itself is started again after this.
const RESTART: Duration = Duration::from_millis(100);

struct Process {
    gate: Rc<Gate>,
    /// Where the process that runs now takes its events.
    events: Rc<RefCell<UnboundedSender<ProcessEvent>>>,
    task: JoinHandle<()>,
}

/// A machine.
pub struct Host {
    world: Rc<World>,
    program: Program,
    /// The disk of a core machine.
    pub disk: Rc<SimDisk>,
    process: RefCell<Option<Process>>,
    life: Cell<u32>,
    frozen: Cell<bool>,
    /// Faults that hold it down.
    held: Cell<u32>,
}

impl Host {
    /// A machine with nothing running.
    pub fn new(world: Rc<World>, program: Program) -> Rc<Self> {
        let seed = match program {
            Program::Controller(core) => u64::from(core) + 1,
            Program::Agent(agent) => u64::from(agent) + 1000,
        };
        let watched = world.clone();
        let disk = SimDisk::new(
            world.script.seed ^ (seed << 32),
            Box::new(move |incarnation, value| {
                if let Program::Controller(core) = program {
                    watched.disk_holds(core, incarnation, value);
                }
            }),
        );
        Rc::new(Host {
            world,
            program,
            disk,
            process: RefCell::default(),
            life: Cell::new(0),
            frozen: Cell::new(false),
            held: Cell::new(0),
        })
    }

    /// Its address.
    pub fn ip(&self) -> Ipv4Addr {
        match self.program {
            Program::Controller(core) => core_ip(core),
            Program::Agent(agent) => agent_ip(agent),
        }
    }

    /// How often its program has been started.
    pub fn life(&self) -> u32 {
        self.life.get()
    }

    /// Whether a process is there.
    pub fn is_running(&self) -> bool {
        self.process.borrow().as_ref().is_some_and(|process| !process.task.is_finished())
    }

    /// A fault holds it down, or does no longer; whether none does.
    pub fn hold(&self, down: bool) -> bool {
        let held = if down { self.held.get() + 1 } else { self.held.get().saturating_sub(1) };
        self.held.set(held);
        held == 0
    }

    fn name(&self) -> String {
        match self.program {
            Program::Controller(core) => format!("core-{core}"),
            Program::Agent(agent) => format!("edge-{agent}"),
        }
    }

    /// Starts its program.
    pub fn start(&self, first_boot: bool) {
        if self.is_running() {
            return;
        }
        self.life.set(self.life.get() + 1);
        let (world, name) = (self.world.clone(), self.name());
        if let Program::Agent(agent) = self.program {
            let now = world.now();
            world.facts.borrow_mut().agent_starts.push((agent, now));
        }
        let environment = Environment {
            network: world.network(self.ip()),
            logger: timeline::logger(&name, world.traced),
        };
        let (events, told) = unbounded_channel();
        let events = Rc::new(RefCell::new(events));
        let process = Supervised {
            world,
            name,
            program: self.program,
            disk: self.disk.clone(),
            environment,
            events: events.clone(),
        };
        let process = process.run(told, first_boot);
        let gate: Rc<Gate> = Rc::default();
        let task = spawn_local(Gated { gate: gate.clone(), inner: Box::pin(process) });
        gate.pause(self.frozen.get());
        *self.process.borrow_mut() = Some(Process { gate, events, task });
    }

    /// Ends its process at once; with a loss of power nobody hears of it.
    pub async fn kill(&self, power: bool) {
        let process = self.process.borrow_mut().take();
        let Some(process) = process else { return };
        if power {
            self.world.wires.lost_power(self.ip().into());
        } else {
            self.world.wires.process_died(self.ip().into());
        }
        process.task.abort();
        let _ = process.task.await; // an error says that it was aborted
        self.disk.interrupted(power);
    }

    /// Tells its process something.
    pub fn tell(&self, event: ProcessEvent) {
        if let (ProcessEvent::Terminate, Program::Controller(core)) = (&event, self.program) {
            self.world.told_to_end(core);
        }
        if let Some(process) = &*self.process.borrow() {
            let _ = process.events.borrow().send(event); // it may just have ended
        }
    }

    /// Stops its process where it is, or lets it go on.
    pub fn freeze(&self, frozen: bool) {
        self.frozen.set(frozen);
        if let Some(process) = &*self.process.borrow() {
            process.gate.pause(frozen);
        }
    }
}

/// A program with what starts it again where it is a controller that ends by itself.
struct Supervised {
    world: Rc<World>,
    name: String,
    program: Program,
    disk: Rc<SimDisk>,
    environment: Environment,
    events: Rc<RefCell<UnboundedSender<ProcessEvent>>>,
}

impl Supervised {
    async fn run(self, mut told: ProcessEvents, first_boot: bool) {
        while let Err(problem) = self.run_once(told, first_boot).await {
            let now = self.world.now();
            self.world.facts.borrow_mut().crashed.push((self.name.clone(), now, problem));
            if matches!(self.program, Program::Agent(_)) {
                return;
            }
            sleep(RESTART).await;
            let (events, heard) = unbounded_channel();
            *self.events.borrow_mut() = events;
            told = heard;
        }
        if let Program::Controller(core) = self.program {
            self.world.ended(core);
        }
    }

    async fn run_once(&self, told: ProcessEvents, first_boot: bool) -> Result<(), String> {
        if let Program::Controller(core) = self.program {
            let now = self.world.now();
            self.world.facts.borrow_mut().core_starts.push((core, now));
        }
        let set = LocalSet::new();
        let (world, disk) = (self.world.clone(), self.disk.clone());
        let running = run(world, self.program, disk, self.environment.clone(), told, first_boot);
        set.run_until(running).await
    }
}

async fn run(
    world: Rc<World>,
    program: Program,
    disk: Rc<SimDisk>,
    environment: Environment,
    events: ProcessEvents,
    first_boot: bool,
) -> Result<(), String> {
    match program {
        Program::Controller(core) => {
            let node = world.core_settings(core, first_boot)?;
            let (disk, acceptor) = disk.mount(|| runtrack_controller::new_incarnation(&node))?;
            let running = runtrack_controller::run_in(environment, disk, acceptor, node, events);
            running.await.map_err(|error| error.to_string())
        }
        Program::Agent(agent) => {
            let node = world.agent_settings(agent)?;
            runtrack_agent::run_in(environment, node, events).await
        }
    }
}
