//! Carries the faults of a script out.

use crate::fleet::harm::GRACE;
use crate::fleet::host::{Host, Program};
use crate::fleet::script::{Fault, From, Script, Way};
use crate::fleet::world::{World, agent_ip, core_ip};
use crate::net::NetFault;
use runtrack_link::ProcessEvent;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep_until;

/// How a machine goes down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Down {
    Killed,
    Power,
}

/// What happens to its disk meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DiskChange {
    Nothing,
    Wiped,
    PutBack(u32),
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Down(u32, Down, DiskChange),
    Up(u32),
    Terminate(u32),
    /// Kills what has not ended by itself, and starts it again.
    Restart(u32),
    Freeze(u32, bool),
    New(u32),
    Gone(u32),
    ResetConnections(u32),
    Seeds(u32),
    AgentDown(u32),
    AgentUp(u32),
    AgentFreeze(u32, bool),
}

/// All machines and what befalls them.
pub struct Director {
    world: Rc<World>,
    cores: RefCell<BTreeMap<u32, Rc<Host>>>,
    agents: Vec<Rc<Host>>,
}

impl Director {
    /// Makes the machines that there are at the start.
    pub fn new(world: Rc<World>) -> Rc<Self> {
        let core = |core| (core, Host::new(world.clone(), Program::Controller(core)));
        let agent = |agent| Host::new(world.clone(), Program::Agent(agent));
        let cores = (0..world.script.cores).map(core).collect();
        let agents = (0..world.script.agents).map(agent).collect();
        Rc::new(Director { world, cores: RefCell::new(cores), agents })
    }

    /// An edge machine.
    pub fn agent(&self, agent: u32) -> Rc<Host> {
        self.agents[agent as usize].clone()
    }

    /// A core machine.
    fn core(&self, core: u32) -> Rc<Host> {
        let make = || Host::new(self.world.clone(), Program::Controller(core));
        self.cores.borrow_mut().entry(core).or_insert_with(make).clone()
    }

    /// Core machines whose process runs, with their numbers.
    pub fn running(&self) -> Vec<(u32, Rc<Host>)> {
        let cores = self.cores.borrow();
        let running = cores.iter().filter(|(_, host)| host.is_running());
        running.map(|(core, host)| (*core, host.clone())).collect()
    }

    /// Starts all, and carries the faults out to the end.
    pub async fn play(self: Rc<Self>) {
        for host in self.cores.borrow().values() {
            host.start(true);
        }
        self.agents.iter().for_each(|host| host.start(true));
        let script = self.world.script.clone();
        script.faults.iter().for_each(|fault| self.set_troubles(fault));
        for (at, step) in steps(&script) {
            sleep_until(self.world.at(at)).await;
            self.take(step).await;
        }
    }

    fn every_core(&self) -> Vec<IpAddr> {
        (0..self.world.script.machines()).map(|core| core_ip(core).into()).collect()
    }

    fn trouble(&self, trouble: NetFault, (at, lasts): (u32, u32)) {
        self.world.wires.add_fault(trouble, self.world.at(at), self.world.at(at + lasts));
    }

    fn stall(&self, from: Ipv4Addr, to: IpAddr, way: Way, span: (u32, u32)) {
        let from = IpAddr::from(from);
        if way != Way::In {
            self.trouble(NetFault::Stalled(from, to), span);
        }
        if way != Way::Out {
            self.trouble(NetFault::Stalled(to, from), span);
        }
    }

    /// What is known beforehand to the network and the disks.
    fn set_troubles(&self, fault: &Fault) {
        let span = fault.span();
        match fault {
            Fault::Cut { core, way, from, .. } => self.cut(*core, *way, *from, span),
            Fault::PairCut { core, other, way, .. } => {
                self.stall(core_ip(*core), core_ip(*other).into(), *way, span);
            }
            Fault::AgentCut { agent, but, .. } => {
                let except = but.map(|core| IpAddr::from(core_ip(core)));
                for core in self.every_core().into_iter().filter(|core| Some(*core) != except) {
                    self.stall(agent_ip(*agent), core, Way::Both, span);
                }
            }
            Fault::SlowLinks { core, by, .. } => {
                let by = Duration::from_millis((*by).into());
                self.trouble(NetFault::Slow(core_ip(*core).into(), by), span);
            }
            Fault::Loss { core, percent, .. } => {
                self.trouble(NetFault::Lossy(core_ip(*core).into(), *percent), span);
            }
            Fault::Power { core, .. } => self.trouble(NetFault::Silent(core_ip(*core).into()), span),
            Fault::PowerAll { .. } => {
                for core in self.every_core() {
                    self.trouble(NetFault::Silent(core), span);
                }
            }
            Fault::Disk { core, what, .. } => {
                let (at, lasts) = span;
                self.core(*core).disk.trouble(*what, self.world.at(at), self.world.at(at + lasts));
            }
            _ => {}
        }
    }

    fn cut(&self, core: u32, way: Way, from: From, span: (u32, u32)) {
        let own = core_ip(core);
        for other in self.every_core().into_iter().filter(|other| *other != IpAddr::from(own)) {
            self.stall(own, other, way, span);
        }
        let agents = match from {
            From::Cores => 0,
            From::Near => self.world.script.agents / 2,
            From::All => self.world.script.agents,
        };
        for agent in 0..agents {
            self.stall(own, agent_ip(agent).into(), way, span);
        }
    }

    async fn take(&self, step: Step) {
        match step {
            Step::Down(core, how, disk) => self.down(core, how, disk).await,
            Step::Up(core) => self.up(&self.core(core)),
            Step::Terminate(core) => self.core(core).tell(ProcessEvent::Terminate),
            Step::Restart(core) => {
                let host = self.core(core);
                host.kill(false).await;
                self.up(&host);
            }
            Step::Freeze(core, frozen) => self.core(core).freeze(frozen),
            Step::New(core) => {
                self.world.cores.borrow_mut().push(core);
                self.core(core).start(false);
            }
            Step::Gone(core) => {
                self.world.cores.borrow_mut().retain(|other| *other != core);
                let now = self.world.now();
                self.world.facts.borrow_mut().gone.push((core, now));
                let host = self.core(core);
                host.hold(true); // for good
                host.kill(true).await;
            }
            Step::ResetConnections(core) => self.world.wires.reset_connections(core_ip(core).into()),
            Step::Seeds(first) => self.change_seeds(first),
            Step::AgentDown(agent) => {
                let host = self.agent(agent);
                host.hold(true);
                host.kill(false).await;
            }
            Step::AgentUp(agent) => self.up(&self.agent(agent)),
            Step::AgentFreeze(agent, frozen) => self.agent(agent).freeze(frozen),
        }
    }

    async fn down(&self, core: u32, how: Down, disk: DiskChange) {
        let host = self.core(core);
        host.hold(true);
        host.kill(how == Down::Power).await;
        match disk {
            DiskChange::Nothing => {}
            DiskChange::Wiped => host.disk.wipe(),
            DiskChange::PutBack(age) => {
                let copy = host.disk.put_back(Duration::from_millis(age.into()));
                copy.into_iter().for_each(|copy| self.world.put_back(core, &copy));
            }
        }
    }

    fn up(&self, host: &Host) {
        if host.hold(false) {
            host.start(false);
        }
    }

    fn change_seeds(&self, first: u32) {
        let cores = self.world.cores.borrow().clone();
        let seeds = (0..3).map(|n| cores[(first as usize + n) % cores.len()]);
        let mut seeds: Vec<u32> = seeds.collect();
        seeds.sort_unstable();
        seeds.dedup();
        *self.world.seeds.borrow_mut() = seeds;
        for (core, host) in self.running() {
            let node = self.world.core_settings(core, false).map(Box::new);
            host.tell(ProcessEvent::Settings(node));
        }
        for (agent, host) in self.agents.iter().enumerate() {
            let node = self.world.agent_settings(agent as u32).map(Box::new);
            host.tell(ProcessEvent::Settings(node));
        }
    }
}

/// What is done when, in order.
fn steps(script: &Script) -> Vec<(u32, Step)> {
    let mut steps = Vec::new();
    let mut next_core = script.cores;
    for fault in &script.faults {
        steps.extend(steps_of(script, fault, next_core));
        if matches!(fault, Fault::Replace { .. } | Fault::Spare { .. }) {
            next_core += 1;
        }
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

fn steps_of(script: &Script, fault: &Fault, new: u32) -> Vec<(u32, Step)> {
    let (at, lasts) = fault.span();
    let until = at + lasts;
    let down = |core: u32, how, disk| vec![(at, Step::Down(core, how, disk)), (until, Step::Up(core))];
    let all = |how| (0..script.cores).flat_map(|core| down(core, how, DiskChange::Nothing)).collect();
    match fault {
        Fault::Cut { core, resets: true, .. } | Fault::Reset { core, .. } => {
            vec![(at, Step::ResetConnections(*core))]
        }
        Fault::Kill { core, .. } => down(*core, Down::Killed, DiskChange::Nothing),
        Fault::Power { core, .. } => down(*core, Down::Power, DiskChange::Nothing),
        Fault::Wipe { core, .. } => down(*core, Down::Killed, DiskChange::Wiped),
        Fault::OlderDisk { core, age, .. } => down(*core, Down::Killed, DiskChange::PutBack(*age)),
        Fault::KillAll { .. } => all(Down::Killed),
        Fault::PowerAll { .. } => all(Down::Power),
        Fault::Freeze { core, .. } => {
            vec![(at, Step::Freeze(*core, true)), (until, Step::Freeze(*core, false))]
        }
        Fault::Replace { core, planned: true, .. } => {
            let gone = until.saturating_sub(GRACE).max(at + lasts / 2);
            vec![(at, Step::New(new)), (gone, Step::Terminate(*core)), (gone + GRACE, Step::Gone(*core))]
        }
        Fault::Replace { core, planned: false, .. } => {
            vec![(at, Step::Gone(*core)), (until, Step::New(new))]
        }
        Fault::Spare { .. } => vec![(at, Step::New(new))],
        Fault::Term { core, .. } => restart(*core, at, lasts),
        Fault::Roll { gap, .. } => {
            (0..script.cores).flat_map(|core| restart(core, at + core * gap, *gap)).collect()
        }
        Fault::Seeds { first, .. } => vec![(at, Step::Seeds(*first))],
        Fault::AgentKill { agent, .. } => {
            vec![(at, Step::AgentDown(*agent)), (until, Step::AgentUp(*agent))]
        }
        Fault::AgentFreeze { agent, .. } => {
            vec![(at, Step::AgentFreeze(*agent, true)), (until, Step::AgentFreeze(*agent, false))]
        }
        Fault::Cut { .. }
        | Fault::PairCut { .. }
        | Fault::AgentCut { .. }
        | Fault::SlowLinks { .. }
        | Fault::Loss { .. }
        | Fault::Disk { .. } => Vec::new(),
    }
}

/// SIGTERM, and a start once it has ended or its time is up.
fn restart(core: u32, at: u32, lasts: u32) -> Vec<(u32, Step)> {
    vec![(at, Step::Terminate(core)), (at + lasts.clamp(600, GRACE), Step::Restart(core))]
}
