//! What all parts of a run share: the network, the facts, and who is where.

use crate::fleet::config_body::parse_lineage;
use crate::fleet::disk::RestoredCopy;
use crate::fleet::facts::{
    AgentEvent, Call, DiskRollback, DiskState, Facts, MemberId, Report, Termination,
};
use crate::fleet::script::Script;
use crate::net::Wires;
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

/// Where operators and endpoints call.
const CONTROL_PORT: u16 = 8146;
/// Where controllers listen for other processes.
const FIRST_PEER_PORT: u16 = 7660;
/// Where an agent's proxy comes in.
const FEED_PORT: u16 = 7661;
/// How often endpoints tell that they are there.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Seeds that the settings name.
const SEED_COUNT: u32 = 3;

/// The world of one run.
pub struct World {
    /// What is to happen.
    pub script: Script,
    /// The network.
    pub wires: Wires,
    /// What was seen.
    pub facts: RefCell<Facts>,
    /// The newest version that operators know of.
    pub newest_known: Cell<u64>,
    /// Core machines that there are now.
    pub cores: RefCell<Vec<u32>>,
    /// Core machines that the settings name.
    pub seeds: RefCell<Vec<u32>>,
    /// Log lines, where they are wanted.
    pub traced: bool,
    start: Instant,
    rng: RefCell<Pcg32>,
}

/// A core machine's address.
pub fn core_ip(core: u32) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, core as u8 + 1)
}

/// An edge machine's address.
pub fn agent_ip(agent: u32) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 1, agent as u8 + 1)
}

/// A member of the register, by its core machine.
fn member_id(member: &Member) -> MemberId {
    let [.., last] = member.address().ip().octets();
    (u32::from(last).saturating_sub(1), member.incarnation)
}

/// Where an operator or an endpoint calls from.
pub fn caller_ip(caller: u32) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 2, caller as u8 + 1)
}

/// Where a core machine takes calls.
pub fn control_address(core: u32) -> SocketAddr {
    SocketAddrV4::new(core_ip(core), CONTROL_PORT).into()
}

/// Where an agent takes its proxy.
pub fn feed_address(agent: u32) -> SocketAddr {
    SocketAddrV4::new(agent_ip(agent), FEED_PORT).into()
}

impl World {
    /// The world at its start.
    pub fn new(script: Script, traced: bool) -> Rc<Self> {
        let ms = |time: u32| Duration::from_millis(time.into());
        let latency = (ms(script.latency_ms.0), ms(script.latency_ms.1));
        let wires = Wires::new(script.seed, latency, script.split, false);
        let seeds = (0..script.cores.min(SEED_COUNT)).collect();
        Rc::new(World {
            wires,
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

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// A moment of the script.
    pub fn instant_at(&self, ms: u32) -> Instant {
        self.start + Duration::from_millis(ms.into())
    }

    /// A draw of its own.
    pub fn random(&self) -> u32 {
        self.rng.borrow_mut().next_u32()
    }

    /// The core machine of this number among those that there are.
    pub fn nth_core(&self, number: u32) -> u32 {
        let cores = self.cores.borrow();
        cores[number as usize % cores.len()]
    }

    /// The settings of a core machine.
    pub fn core_settings(&self, core: u32, first_boot: bool) -> Result<Node, String> {
        let (ip, control) = (core_ip(core), control_address(core));
        self.settings(&format!(
            "node=core-{core}\nip={ip}\nlisten.control={control}\nfirstBoot={first_boot}\n"
        ))
    }

    /// The settings of an edge machine.
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

    /// The network as a machine sees it.
    pub fn network(&self, ip: Ipv4Addr) -> Rc<dyn runtrack_net::Network> {
        self.wires.host(IpAddr::V4(ip))
    }

    /// Notes the beginning of a call; its number.
    pub fn record_call_start(&self, call: Call) -> usize {
        let calls = &mut self.facts.borrow_mut().calls;
        calls.push(call);
        calls.len() - 1
    }

    /// Notes what came of a call.
    pub fn update_call(&self, number: usize, update: impl FnOnce(&mut Call)) {
        if let Some(call) = self.facts.borrow_mut().calls.get_mut(number) {
            update(call);
        }
    }

    /// Notes what the disk of a core machine holds now.
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

    /// Notes that an older copy was put back.
    pub fn record_disk_rollback(&self, core: u32, copy: &RestoredCopy) {
        let RestoredCopy { incarnation, sequence, is_stale } = *copy;
        let rollback = DiskRollback { core, at: self.now(), incarnation, sequence, is_stale };
        self.facts.borrow_mut().disk_rollbacks.push(rollback);
    }

    /// Notes that a controller was told to end.
    pub fn record_termination_request(&self, core: u32) {
        let termination = Termination { core, requested: self.now(), ended: None };
        self.facts.borrow_mut().terminations.push(termination);
    }

    /// Notes that a controller that was told to end has ended.
    pub fn record_termination(&self, core: u32) {
        let now = self.now();
        let terminations = &mut self.facts.borrow_mut().terminations;
        if let Some(termination) = terminations.iter_mut().rfind(|termination| termination.core == core) {
            termination.ended = Some(now);
        }
    }

    /// Notes of which versions a configuration was made.
    pub fn record_lineage(&self, body: &[u8]) {
        let seen = (self.now(), parse_lineage(body));
        self.facts.borrow_mut().lineages.push(seen);
    }

    /// Notes what an agent told.
    pub fn record_report(&self, agent: u32, start_number: u32, report: Report) {
        let at = self.now();
        self.facts.borrow_mut().events.push(AgentEvent { agent, start_number, at, report });
    }
}
