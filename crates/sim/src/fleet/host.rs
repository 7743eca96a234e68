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
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::{JoinHandle, LocalSet, spawn_local};

/// Which program a machine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// The controller of a core machine.
    Controller(u32),
    /// The agent of an edge machine.
    Agent(u32),
}

struct Process {
    gate: Rc<Gate>,
    events: UnboundedSender<ProcessEvent>,
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
        let disk = SimDisk::new(world.script.seed ^ (seed << 32));
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
        let (program, disk) = (self.program, self.disk.clone());
        let process = async move {
            let set = LocalSet::new();
            let running = run(world.clone(), program, disk, environment, told, first_boot);
            let done = set.run_until(running).await;
            drop(set);
            if let Err(problem) = done {
                let now = world.now();
                world.facts.borrow_mut().crashed.push((name, now, problem));
            }
        };
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
            self.world.wires.died(self.ip().into());
        }
        process.task.abort();
        let _ = process.task.await; // an error says that it was aborted
        self.disk.interrupted(power);
    }

    /// Tells its process something.
    pub fn tell(&self, event: ProcessEvent) {
        if let Some(process) = &*self.process.borrow() {
            let _ = process.events.send(event); // it may just have ended
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
            runtrack_controller::run_in(environment, disk, acceptor, node, events).await
        }
        Program::Agent(agent) => {
            let node = world.agent_settings(agent)?;
            runtrack_agent::run_in(environment, node, events).await
        }
    }
}
