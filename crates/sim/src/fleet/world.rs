//! State that all parts of a run share: the network, the record of the run, and the addresses and settings
//! of the machines.

use crate::fleet::config_body::parse_lineage;
use crate::fleet::disk::RestoredCopy;
use crate::fleet::facts::{
    AgentEvent, Call, DiskRollback, DiskState, Facts, MemberId, Report, Termination,
};
use crate::fleet::script::Script;
use crate::net::VirtualNetwork;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use runtrack_fleetconfig::Node;
use runtrack_message::{Member, Value};
use runtrack_register::sets_of;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Port on which controllers serve operators and endpoints.
const CONTROL_PORT: u16 = 8146;
/// First port on which controllers listen for other processes.
const FIRST_PEER_PORT: u16 = 7660;
/// Port on which an agent serves its proxy.
const FEED_PORT: u16 = 7661;
/// Interval between heartbeats of an endpoint.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Number of seeds in the settings.
const SEED_COUNT: u32 = 3;

/// The shared state of a run.
pub struct World {
    /// The script of the run.
    pub script: Script,
    /// The simulated network.
    pub network: VirtualNetwork,
    /// What was recorded.
    pub facts: RefCell<Facts>,
    /// The newest version that operators know of.
    pub newest_known: Cell<u64>,
    /// The core machines that currently exist.
    pub cores: RefCell<Vec<u32>>,
    /// The core machines that the settings name as seeds.
    pub seeds: RefCell<Vec<u32>>,
    /// Whether log lines are kept.
    pub traced: bool,
    start: Instant,
    rng: RefCell<Pcg32>,
}

/// Address of a core machine.
pub fn core_ip(core: u32) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, core as u8 + 1)
}

/// Address of an edge machine.
pub fn agent_ip(agent: u32) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 1, agent as u8 + 1)
}

/// Converts a member of the register to its core machine and incarnation.
fn member_id(member: &Member) -> MemberId {
    let [.., last] = member.address().ip().octets();
    (u32::from(last).saturating_sub(1), member.incarnation)
}

/// Address of an operator or an endpoint.
pub fn caller_ip(caller: u32) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 2, caller as u8 + 1)
}

/// Address on which a core machine serves calls.
pub fn control_address(core: u32) -> SocketAddr {
    SocketAddrV4::new(core_ip(core), CONTROL_PORT).into()
}

/// Address on which an agent serves its proxy.
pub fn feed_address(agent: u32) -> SocketAddr {
    SocketAddrV4::new(agent_ip(agent), FEED_PORT).into()
}

impl World {
    /// Creates the state at the start of a run.
    pub fn new(script: Script, traced: bool) -> Rc<Self> {
        let ms = |time: u32| Duration::from_millis(time.into());
        let latency = (ms(script.latency_ms.0), ms(script.latency_ms.1));
        let network = VirtualNetwork::new(script.seed, latency, script.split, false);
        let seeds = (0..script.cores.min(SEED_COUNT)).collect();
        Rc::new(World {
            network,
            facts: RefCell::default(),
            newest_known: Cell::new(0),
            cores: RefCell::new((0..script.cores).collect()),
            seeds: RefCell::new(seeds),
            traced,
            start: Instant::now(),
            rng: RefCell::new(Pcg32::seed_from_u64(script.seed ^ 0x5157)),
            script,
        })
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The instant that is this many milliseconds after the start.
    pub fn instant_at(&self, ms: u32) -> Instant {
        self.start + Duration::from_millis(ms.into())
    }

    /// The next random number of the run.
    pub fn random(&self) -> u32 {
        self.rng.borrow_mut().next_u32()
    }

    /// The core machine at this index, modulo the number of machines that currently exist.
    pub fn nth_core(&self, number: u32) -> u32 {
        let cores = self.cores.borrow();
        cores[number as usize % cores.len()]
    }

    /// Settings of a core machine.
    pub fn core_settings(&self, core: u32, first_boot: bool) -> Result<Node, String> {
        let (ip, control) = (core_ip(core), control_address(core));
        self.settings(&format!(
            "node=core-{core}\nip={ip}\nlisten.control={control}\nfirstBoot={first_boot}\n"
        ))
    }

    /// Settings of an edge machine.
    pub fn agent_settings(&self, agent: u32) -> Result<Node, String> {
        let (ip, feed) = (agent_ip(agent), feed_address(agent));
        self.settings(&format!("node=edge-{agent}\nip={ip}\nlisten.feed={feed}\n"))
    }

    fn settings(&self, own: &str) -> Result<Node, String> {
        let seeds: Vec<String> =
            self.seeds.borrow().iter().map(|seed| control_address(*seed).to_string()).collect();
        let common = format!(
            "portRange={FIRST_PEER_PORT},{}\nseeds={}\nbeatPeriodMs={}\ntolerance.machines={}\n",
            FIRST_PEER_PORT + 15,
            seeds.join(","),
            HEARTBEAT_INTERVAL.as_millis(),
            self.script.tolerance
        );
        Node::read(&format!("{own}{common}")).map_err(|error| error.to_string())
    }

    /// The network as seen from a machine.
    pub fn network(&self, ip: Ipv4Addr) -> Rc<dyn runtrack_net::Network> {
        self.network.host(IpAddr::V4(ip))
    }

    /// Records the start of a call; returns the call's number.
    pub fn record_call_start(&self, call: Call) -> usize {
        let calls = &mut self.facts.borrow_mut().calls;
        calls.push(call);
        calls.len() - 1
    }

    /// Updates the record of a call.
    pub fn update_call(&self, number: usize, update: impl FnOnce(&mut Call)) {
        if let Some(call) = self.facts.borrow_mut().calls.get_mut(number) {
            update(call);
        }
    }

    /// Records what the disk of a core machine now holds.
    pub fn record_disk_state(&self, core: u32, incarnation: u64, value: Option<&Value>) {
        let sets = value.map(sets_of).unwrap_or_default();
        let state = DiskState {
            core,
            at: self.now(),
            incarnation,
            sequence: value.map_or(0, |value| value.sequence),
            version: value.map_or(0, |value| value.version),
            sets: sets.iter().map(|set| set.iter().map(member_id).collect()).collect(),
        };
        self.facts.borrow_mut().disk_states.push(state);
    }

    /// Records a rollback of a disk.
    pub fn record_disk_rollback(&self, core: u32, copy: &RestoredCopy) {
        let RestoredCopy { incarnation, sequence, is_stale } = *copy;
        let rollback = DiskRollback { core, at: self.now(), incarnation, sequence, is_stale };
        self.facts.borrow_mut().disk_rollbacks.push(rollback);
    }

    /// Records a request to a controller to terminate.
    pub fn record_termination_request(&self, core: u32) {
        let termination = Termination { core, requested: self.now(), ended: None };
        self.facts.borrow_mut().terminations.push(termination);
    }

    /// Records that a terminating controller has ended.
    pub fn record_termination(&self, core: u32) {
        let now = self.now();
        let terminations = &mut self.facts.borrow_mut().terminations;
        if let Some(termination) = terminations.iter_mut().rfind(|termination| termination.core == core) {
            termination.ended = Some(now);
        }
    }

    /// Records which versions a configuration is made of.
    pub fn record_lineage(&self, body: &[u8]) {
        let seen = (self.now(), parse_lineage(body));
        self.facts.borrow_mut().lineages.push(seen);
    }

    /// Records a message of an agent.
    pub fn record_report(&self, agent: u32, start_number: u32, report: Report) {
        let at = self.now();
        self.facts.borrow_mut().events.push(AgentEvent { agent, start_number, at, report });
    }
}
