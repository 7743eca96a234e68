//! Starts the machines of a run and injects the faults of its script.

use crate::fleet::disruption::SHUTDOWN_GRACE_MS;
use crate::fleet::host::{Host, Program};
use crate::fleet::script::{CutScope, Direction, Fault, Script};
use crate::fleet::world::{World, agent_ip, core_ip};
use crate::net::NetFault;
use runtrack_link::ProcessEvent;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep_until;

/// How a core machine is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopKind {
    Killed,
    Power,
}

/// What happens to a machine's disk while the machine is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DiskChange {
    Unchanged,
    Wiped,
    RolledBack(u32),
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Stop(u32, StopKind, DiskChange),
    Start(u32),
    Terminate(u32),
    /// Kills the process if it has not ended by itself, and starts it again.
    Restart(u32),
    Freeze(u32, bool),
    Add(u32),
    Remove(u32),
    ResetConnections(u32),
    ChangeSeeds(u32),
    StopAgent(u32),
    StartAgent(u32),
    FreezeAgent(u32, bool),
}

/// The machines of a run, and the faults that are injected into them.
pub struct FaultInjector {
    world: Rc<World>,
    cores: RefCell<BTreeMap<u32, Rc<Host>>>,
    agents: Vec<Rc<Host>>,
}

impl FaultInjector {
    /// Creates the machines that exist at the start, without starting them.
    pub fn new(world: Rc<World>) -> Rc<Self> {
        let core = |core| (core, Host::new(world.clone(), Program::Controller(core)));
        let agent = |agent| Host::new(world.clone(), Program::Agent(agent));
        let cores = (0..world.script.cores).map(core).collect();
        let agents = (0..world.script.agents).map(agent).collect();
        Rc::new(FaultInjector { world, cores: RefCell::new(cores), agents })
    }

    /// The host of an agent.
    pub fn agent_host(&self, agent: u32) -> Rc<Host> {
        self.agents[agent as usize].clone()
    }

    /// The host of a core machine; created on first use.
    fn core_host(&self, core: u32) -> Rc<Host> {
        let make = || Host::new(self.world.clone(), Program::Controller(core));
        self.cores.borrow_mut().entry(core).or_insert_with(make).clone()
    }

    /// The core machines whose process is running, with their numbers.
    pub fn running_cores(&self) -> Vec<(u32, Rc<Host>)> {
        let cores = self.cores.borrow();
        let running_cores = cores.iter().filter(|(_, host)| host.is_running());
        running_cores.map(|(core, host)| (*core, host.clone())).collect()
    }

    /// Starts all machines and injects every fault of the script at its time.
    pub async fn run(self: Rc<Self>) {
        for host in self.cores.borrow().values() {
            host.start(true);
        }
        self.agents.iter().for_each(|host| host.start(true));
        let script = self.world.script.clone();
        script.faults.iter().for_each(|fault| self.schedule_fault(fault));
        for (at, step) in steps(&script) {
            sleep_until(self.world.instant_at(at)).await;
            self.apply(step).await;
        }
    }

    fn all_core_ips(&self) -> Vec<IpAddr> {
        (0..self.world.script.machine_count()).map(|core| core_ip(core).into()).collect()
    }

    fn network_fault(&self, fault: NetFault, (at, lasts): (u32, u32)) {
        self.world.network.add_fault(fault, self.world.instant_at(at), self.world.instant_at(at + lasts));
    }

    fn stall_link(&self, from: Ipv4Addr, to: IpAddr, way: Direction, span: (u32, u32)) {
        let from = IpAddr::from(from);
        if way != Direction::In {
            self.network_fault(NetFault::Stalled(from, to), span);
        }
        if way != Direction::Out {
            self.network_fault(NetFault::Stalled(to, from), span);
        }
    }

    /// Registers the part of a fault that the network or a disk applies by itself at the given time.
    fn schedule_fault(&self, fault: &Fault) {
        let span = fault.span();
        match fault {
            Fault::Cut { core, way, from, .. } => self.cut_off(*core, *way, *from, span),
            Fault::PairCut { core, other, way, .. } => {
                self.stall_link(core_ip(*core), core_ip(*other).into(), *way, span);
            }
            Fault::AgentCut { agent, but, .. } => {
                let except = but.map(|core| IpAddr::from(core_ip(core)));
                for core in self.all_core_ips().into_iter().filter(|core| Some(*core) != except) {
                    self.stall_link(agent_ip(*agent), core, Direction::Both, span);
                }
            }
            Fault::SlowLinks { core, by, .. } => {
                let by = Duration::from_millis((*by).into());
                self.network_fault(NetFault::Slow(core_ip(*core).into(), by), span);
            }
            Fault::Loss { core, percent, .. } => {
                self.network_fault(NetFault::Lossy(core_ip(*core).into(), *percent), span);
            }
            Fault::Power { core, .. } => self.network_fault(NetFault::Silent(core_ip(*core).into()), span),
            Fault::PowerAll { .. } => {
                for core in self.all_core_ips() {
                    self.network_fault(NetFault::Silent(core), span);
                }
            }
            Fault::Disk { core, what, .. } => {
                let (at, lasts) = span;
                self.core_host(*core).disk.add_fault(
                    *what,
                    self.world.instant_at(at),
                    self.world.instant_at(at + lasts),
                );
            }
            _ => {}
        }
    }

    fn cut_off(&self, core: u32, way: Direction, from: CutScope, span: (u32, u32)) {
        let own = core_ip(core);
        for other in self.all_core_ips().into_iter().filter(|other| *other != IpAddr::from(own)) {
            self.stall_link(own, other, way, span);
        }
        let agents = match from {
            CutScope::Cores => 0,
            CutScope::Near => self.world.script.agents / 2,
            CutScope::All => self.world.script.agents,
        };
        for agent in 0..agents {
            self.stall_link(own, agent_ip(agent).into(), way, span);
        }
    }

    async fn apply(&self, step: Step) {
        match step {
            Step::Stop(core, how, disk) => self.stop_core(core, how, disk).await,
            Step::Start(core) => self.start_host(&self.core_host(core)),
            Step::Terminate(core) => self.core_host(core).send_event(ProcessEvent::Terminate),
            Step::Restart(core) => {
                let host = self.core_host(core);
                host.kill(false).await;
                self.start_host(&host);
            }
            Step::Freeze(core, frozen) => self.core_host(core).set_frozen(frozen),
            Step::Add(core) => {
                self.world.cores.borrow_mut().push(core);
                self.core_host(core).start(false);
            }
            Step::Remove(core) => {
                self.world.cores.borrow_mut().retain(|other| *other != core);
                let now = self.world.now();
                self.world.facts.borrow_mut().removed_cores.push((core, now));
                let host = self.core_host(core);
                host.set_held(true); // never released
                host.kill(true).await;
            }
            Step::ResetConnections(core) => self.world.network.reset_connections(core_ip(core).into()),
            Step::ChangeSeeds(first) => self.change_seeds(first),
            Step::StopAgent(agent) => {
                let host = self.agent_host(agent);
                host.set_held(true);
                host.kill(false).await;
            }
            Step::StartAgent(agent) => self.start_host(&self.agent_host(agent)),
            Step::FreezeAgent(agent, frozen) => self.agent_host(agent).set_frozen(frozen),
        }
    }

    async fn stop_core(&self, core: u32, how: StopKind, disk: DiskChange) {
        let host = self.core_host(core);
        host.set_held(true);
        host.kill(how == StopKind::Power).await;
        match disk {
            DiskChange::Unchanged => {}
            DiskChange::Wiped => host.disk.wipe(),
            DiskChange::RolledBack(age) => {
                let copy = host.disk.restore_copy(Duration::from_millis(age.into()));
                copy.into_iter().for_each(|copy| self.world.record_disk_rollback(core, &copy));
            }
        }
    }

    fn start_host(&self, host: &Host) {
        if host.set_held(false) {
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
        for (core, host) in self.running_cores() {
            let node = self.world.core_settings(core, false).map(Box::new);
            host.send_event(ProcessEvent::Settings(node));
        }
        for (agent, host) in self.agents.iter().enumerate() {
            let node = self.world.agent_settings(agent as u32).map(Box::new);
            host.send_event(ProcessEvent::Settings(node));
        }
    }
}

/// The steps of all faults, ordered by time in milliseconds.
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

fn steps_of(script: &Script, fault: &Fault, new_core: u32) -> Vec<(u32, Step)> {
    let (at, lasts) = fault.span();
    let until = at + lasts;
    let outage = |core: u32, how, disk| vec![(at, Step::Stop(core, how, disk)), (until, Step::Start(core))];
    let all_cores =
        |how| (0..script.cores).flat_map(|core| outage(core, how, DiskChange::Unchanged)).collect();
    match fault {
        Fault::Cut { core, resets: true, .. } | Fault::Reset { core, .. } => {
            vec![(at, Step::ResetConnections(*core))]
        }
        Fault::Kill { core, .. } => outage(*core, StopKind::Killed, DiskChange::Unchanged),
        Fault::Power { core, .. } => outage(*core, StopKind::Power, DiskChange::Unchanged),
        Fault::Wipe { core, .. } => outage(*core, StopKind::Killed, DiskChange::Wiped),
        Fault::OlderDisk { core, age, .. } => outage(*core, StopKind::Killed, DiskChange::RolledBack(*age)),
        Fault::KillAll { .. } => all_cores(StopKind::Killed),
        Fault::PowerAll { .. } => all_cores(StopKind::Power),
        Fault::Freeze { core, .. } => {
            vec![(at, Step::Freeze(*core, true)), (until, Step::Freeze(*core, false))]
        }
        Fault::Replace { core, planned: true, .. } => {
            let terminate_at = until.saturating_sub(SHUTDOWN_GRACE_MS).max(at + lasts / 2);
            vec![
                (at, Step::Add(new_core)),
                (terminate_at, Step::Terminate(*core)),
                (terminate_at + SHUTDOWN_GRACE_MS, Step::Remove(*core)),
            ]
        }
        Fault::Replace { core, planned: false, .. } => {
            vec![(at, Step::Remove(*core)), (until, Step::Add(new_core))]
        }
        Fault::Spare { .. } => vec![(at, Step::Add(new_core))],
        Fault::Term { core, .. } => restart(*core, at, lasts),
        Fault::Roll { gap, .. } => {
            (0..script.cores).flat_map(|core| restart(core, at + core * gap, *gap)).collect()
        }
        Fault::Seeds { first, .. } => vec![(at, Step::ChangeSeeds(*first))],
        Fault::AgentKill { agent, .. } => {
            vec![(at, Step::StopAgent(*agent)), (until, Step::StartAgent(*agent))]
        }
        Fault::AgentFreeze { agent, .. } => {
            vec![(at, Step::FreezeAgent(*agent, true)), (until, Step::FreezeAgent(*agent, false))]
        }
        Fault::Cut { .. }
        | Fault::PairCut { .. }
        | Fault::AgentCut { .. }
        | Fault::SlowLinks { .. }
        | Fault::Loss { .. }
        | Fault::Disk { .. } => Vec::new(),
    }
}

/// Sends SIGTERM, and restarts the process once it has ended or its grace period is over.
fn restart(core: u32, at: u32, lasts: u32) -> Vec<(u32, Step)> {
    vec![(at, Step::Terminate(core)), (at + lasts.clamp(600, SHUTDOWN_GRACE_MS), Step::Restart(core))]
}
