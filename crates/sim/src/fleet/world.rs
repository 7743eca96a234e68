//! What all parts of a run share: the network, the facts, and who is where.

use crate::fleet::config_body::lineage_of;
use crate::fleet::disk::OlderCopy;
use crate::fleet::facts::{Call, DiskState, Ending, Facts, MemberId, PutBack, Told, Word};
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

/// Where operators and endpoints call.
const CONTROL: u16 = 8146;
/// Where controllers listen for other processes.
const FIRST_PORT: u16 = 7660;
/// Where an agent's proxy comes in.
const FEED: u16 = 7661;
/// How often endpoints tell that they are there.
pub const HEARTBEAT: Duration = Duration::from_millis(400);
/// Seeds that the settings name.
const SEEDS: u32 = 3;

/// The world of one run.
pub struct World {
    /// What is to happen.
    pub script: Script,
    /// The network.
    pub wires: VirtualNetwork,
    /// What was seen.
    pub facts: RefCell<Facts>,
    /// The newest version that operators know of.
    pub known: Cell<u64>,
    /// Core machines that there are now.
    pub cores: RefCell<Vec<u32>>,
    /// Core machines that the settings name.
    pub seeds: RefCell<Vec<u32>>,
    /// Log lines, where they are wanted.
    pub traced: bool,
    start: Instant,
    draws: RefCell<Pcg32>,
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
pub fn control(core: u32) -> SocketAddr {
    SocketAddrV4::new(core_ip(core), CONTROL).into()
}

/// Where an agent takes its proxy.
pub fn feed(agent: u32) -> SocketAddr {
    SocketAddrV4::new(agent_ip(agent), FEED).into()
}

impl World {
    /// The world at its start.
    pub fn new(script: Script, traced: bool) -> Rc<Self> {
        let ms = |time: u32| Duration::from_millis(time.into());
        let latency = (ms(script.latency_ms.0), ms(script.latency_ms.1));
        let wires = VirtualNetwork::new(script.seed, latency, script.split, false);
        let seeds = (0..script.cores.min(SEEDS)).collect();
        Rc::new(World {
            wires,
            facts: RefCell::default(),
            known: Cell::new(0),
            cores: RefCell::new((0..script.cores).collect()),
            seeds: RefCell::new(seeds),
            traced,
            start: Instant::now(),
            draws: RefCell::new(Pcg32::seed_from_u64(script.seed ^ 0x5157)),
            script,
        })
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// A moment of the script.
    pub fn at(&self, ms: u32) -> Instant {
        self.start + Duration::from_millis(ms.into())
    }

    /// A draw of its own.
    pub fn draw(&self) -> u32 {
        self.draws.borrow_mut().next_u32()
    }

    /// The core machine of this number among those that there are.
    pub fn core(&self, number: u32) -> u32 {
        let cores = self.cores.borrow();
        cores[number as usize % cores.len()]
    }

    /// The settings of a core machine.
    pub fn core_settings(&self, core: u32, first_boot: bool) -> Result<Node, String> {
        let (ip, control) = (core_ip(core), control(core));
        self.settings(&format!(
            "node=core-{core}\nip={ip}\nlisten.control={control}\nfirstBoot={first_boot}\n"
        ))
    }

    /// The settings of an edge machine.
    pub fn agent_settings(&self, agent: u32) -> Result<Node, String> {
        let (ip, feed) = (agent_ip(agent), feed(agent));
        self.settings(&format!("node=edge-{agent}\nip={ip}\nlisten.feed={feed}\n"))
    }

    fn settings(&self, own: &str) -> Result<Node, String> {
        let seeds: Vec<String> =
            self.seeds.borrow().iter().map(|seed| control(*seed).to_string()).collect();
        let common = format!(
            "portRange={FIRST_PORT},{}\nseeds={}\nbeatPeriodMs={}\ntolerance.machines={}\n",
            FIRST_PORT + 15,
            seeds.join(","),
            HEARTBEAT.as_millis(),
            self.script.tolerance
        );
        Node::read(&format!("{own}{common}")).map_err(|error| error.to_string())
    }

    /// The network as a machine sees it.
    pub fn network(&self, ip: Ipv4Addr) -> Rc<dyn runtrack_net::Network> {
        self.wires.host(IpAddr::V4(ip))
    }

    /// Notes the beginning of a call; its number.
    pub fn call_begins(&self, call: Call) -> usize {
        let calls = &mut self.facts.borrow_mut().calls;
        calls.push(call);
        calls.len() - 1
    }

    /// Notes what came of a call.
    pub fn call(&self, number: usize, note: impl FnOnce(&mut Call)) {
        if let Some(call) = self.facts.borrow_mut().calls.get_mut(number) {
            note(call);
        }
    }

    /// Notes what the disk of a core machine holds now.
    pub fn disk_holds(&self, core: u32, incarnation: u64, value: Option<&Value>) {
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
    pub fn put_back(&self, core: u32, copy: &OlderCopy) {
        let OlderCopy { incarnation, sequence, older } = *copy;
        let put_back = PutBack { core, at: self.now(), incarnation, sequence, older };
        self.facts.borrow_mut().put_backs.push(put_back);
    }

    /// Notes that a controller was told to end.
    pub fn told_to_end(&self, core: u32) {
        let ending = Ending { core, told: self.now(), ended: None };
        self.facts.borrow_mut().endings.push(ending);
    }

    /// Notes that a controller that was told to end has ended.
    pub fn ended(&self, core: u32) {
        let now = self.now();
        let endings = &mut self.facts.borrow_mut().endings;
        if let Some(ending) = endings.iter_mut().rfind(|ending| ending.core == core) {
            ending.ended = Some(now);
        }
    }

    /// Notes of which versions a configuration was made.
    pub fn saw_config(&self, body: &[u8]) {
        let seen = (self.now(), lineage_of(body));
        self.facts.borrow_mut().lineages.push(seen);
    }

    /// Notes what an agent told.
    pub fn told(&self, agent: u32, life: u32, told: Told) {
        let at = self.now();
        self.facts.borrow_mut().words.push(Word { agent, life, at, told });
    }
}
