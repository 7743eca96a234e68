//! A simulated machine and its process: the production code in a task set of its own, which can be killed,
//! frozen, asked to terminate, and restarted.

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

/// The program that a machine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// The controller of a core machine.
    Controller(u32),
    /// The agent of an edge machine.
    Agent(u32),
}

/// Delay before a controller that ended by itself is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(100);

struct Process {
    gate: Rc<Gate>,
    /// Channel for the events of the current process.
    events: Rc<RefCell<UnboundedSender<ProcessEvent>>>,
    task: JoinHandle<()>,
}

/// A simulated machine.
pub struct Host {
    world: Rc<World>,
    program: Program,
    /// The disk; used by core machines only.
    pub disk: Rc<SimDisk>,
    process: RefCell<Option<Process>>,
    start_number: Cell<u32>,
    frozen: Cell<bool>,
    /// Number of active faults that keep the machine down.
    hold_count: Cell<u32>,
}

impl Host {
    /// Creates a machine without a running process.
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
                    watched.record_disk_state(core, incarnation, value);
                }
            }),
        );
        Rc::new(Host {
            world,
            program,
            disk,
            process: RefCell::default(),
            start_number: Cell::new(0),
            frozen: Cell::new(false),
            hold_count: Cell::new(0),
        })
    }

    /// The machine's address.
    pub fn ip(&self) -> Ipv4Addr {
        match self.program {
            Program::Controller(core) => core_ip(core),
            Program::Agent(agent) => agent_ip(agent),
        }
    }

    /// Number of times that the program has been started.
    pub fn start_number(&self) -> u32 {
        self.start_number.get()
    }

    /// Whether the process is running.
    pub fn is_running(&self) -> bool {
        self.process.borrow().as_ref().is_some_and(|process| !process.task.is_finished())
    }

    /// Adds or removes a fault that keeps the machine down; returns whether none is left.
    pub fn set_held(&self, down: bool) -> bool {
        let hold_count =
            if down { self.hold_count.get() + 1 } else { self.hold_count.get().saturating_sub(1) };
        self.hold_count.set(hold_count);
        hold_count == 0
    }

    fn name(&self) -> String {
        match self.program {
            Program::Controller(core) => format!("core-{core}"),
            Program::Agent(agent) => format!("edge-{agent}"),
        }
    }

    /// Starts the program unless it is running.
    pub fn start(&self, first_boot: bool) {
        if self.is_running() {
            return;
        }
        self.start_number.set(self.start_number.get() + 1);
        let (world, name) = (self.world.clone(), self.name());
        if let Program::Agent(agent) = self.program {
            let now = world.now();
            world.facts.borrow_mut().agent_starts.push((agent, now));
        }
        let environment = Environment {
            network: world.network(self.ip()),
            logger: timeline::logger(&name, world.traced),
        };
        let (events, receiver) = unbounded_channel();
        let events = Rc::new(RefCell::new(events));
        let process = Supervised {
            world,
            name,
            program: self.program,
            disk: self.disk.clone(),
            environment,
            events: events.clone(),
        };
        let process = process.run(receiver, first_boot);
        let gate: Rc<Gate> = Rc::default();
        let task = spawn_local(Gated { gate: gate.clone(), inner: Box::pin(process) });
        gate.pause(self.frozen.get());
        *self.process.borrow_mut() = Some(Process { gate, events, task });
    }

    /// Kills the process at once. After a loss of power its peers are not notified.
    pub async fn kill(&self, power_lost: bool) {
        let process = self.process.borrow_mut().take();
        let Some(process) = process else { return };
        if power_lost {
            self.world.network.lost_power(self.ip().into());
        } else {
            self.world.network.process_died(self.ip().into());
        }
        process.task.abort();
        let _ = process.task.await; // fails with "cancelled", as the task was aborted
        self.disk.process_stopped(power_lost);
    }

    /// Sends an event to the process.
    pub fn send_event(&self, event: ProcessEvent) {
        if let (ProcessEvent::Terminate, Program::Controller(core)) = (&event, self.program) {
            self.world.record_termination_request(core);
        }
        if let Some(process) = &*self.process.borrow() {
            let _ = process.events.borrow().send(event); // fails if the process has just ended
        }
    }

    /// Freezes the process, or lets it resume.
    pub fn set_frozen(&self, frozen: bool) {
        self.frozen.set(frozen);
        if let Some(process) = &*self.process.borrow() {
            process.gate.pause(frozen);
        }
    }
}

/// A program that is restarted if it is a controller and ends with an error.
struct Supervised {
    world: Rc<World>,
    name: String,
    program: Program,
    disk: Rc<SimDisk>,
    environment: Environment,
    events: Rc<RefCell<UnboundedSender<ProcessEvent>>>,
}

impl Supervised {
    async fn run(self, mut receiver: ProcessEvents, first_boot: bool) {
        while let Err(problem) = self.run_once(receiver, first_boot).await {
            let now = self.world.now();
            self.world.facts.borrow_mut().exits.push((self.name.clone(), now, problem));
            if matches!(self.program, Program::Agent(_)) {
                return;
            }
            sleep(RESTART_DELAY).await;
            let (events, new_receiver) = unbounded_channel();
            *self.events.borrow_mut() = events;
            receiver = new_receiver;
        }
        if let Program::Controller(core) = self.program {
            self.world.record_termination(core);
        }
    }

    async fn run_once(&self, receiver: ProcessEvents, first_boot: bool) -> Result<(), String> {
        if let Program::Controller(core) = self.program {
            let now = self.world.now();
            self.world.facts.borrow_mut().core_starts.push((core, now));
        }
        let set = LocalSet::new();
        let (world, disk) = (self.world.clone(), self.disk.clone());
        let running = run(world, self.program, disk, self.environment.clone(), receiver, first_boot);
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
