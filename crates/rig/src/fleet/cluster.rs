//! The processes of a round, their addresses, settings and disks.

use super::cuts::Cuts;
use super::history::History;
use super::script::Script;
use crate::link::{Greeting, Links, locked};
use crate::process::{Process, program};
use runtrack_message::{Message, decode};
use runtrack_testkit::TempDir;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const CONTROL_PORT: u16 = 8146;
const FIRST_PORT: u16 = 7660;
const LAST_PORT: u16 = 7675;
/// Endpoints tell that they are there this often.
pub const HEARTBEAT: Duration = Duration::from_millis(400);
/// Host numbers: machines as others see them, where their controllers bind, and agents.
const MACHINE_HOST: u32 = 1;
const BIND_HOST: u32 = 101;
const AGENT_HOST: u32 = 201;
/// Second bytes of loopback addresses that rounds use, and how many.
const NETWORKS: (u32, u32) = (200, 50);
/// The longest first frame of a link.
const MAX_HELLO: usize = 8 << 10;
/// How often a wait looks whether it is over.
const LOOK: Duration = Duration::from_millis(20);

/// Who connects, by the first frame of a link.
fn greeting(bytes: &[u8]) -> Greeting {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Greeting::Incomplete };
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_HELLO {
        return Greeting::Malformed;
    }
    let Some(frame) = rest.get(..length) else { return Greeting::Incomplete };
    match decode(frame) {
        Ok(Message::Hello(hello)) => Greeting::From(hello.node.as_string()),
        _ => Greeting::Malformed,
    }
}

/// A place among the members: a machine, and what runs there.
struct Place {
    machine: u32,
    process: Process,
    disk: PathBuf,
    _links: JoinSet<()>,
}

struct AgentPlace {
    process: Process,
    life: u64,
}

/// What all tasks of a round share.
pub struct Cluster {
    /// The round.
    pub script: Script,
    /// All links between processes.
    pub links: Links,
    /// Cuts of links that are in force.
    pub cuts: Cuts,
    /// What happened so far.
    pub history: History,
    folder: TempDir,
    network: u32,
    controller: PathBuf,
    places: Mutex<Vec<Place>>,
    agents: Mutex<Vec<AgentPlace>>,
    machines: AtomicU32,
    healing: AtomicBool,
    over: AtomicBool,
}

impl Cluster {
    /// Machines and agents with nothing running.
    pub async fn new(script: &Script) -> io::Result<Cluster> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let round = NEXT.fetch_add(1, Ordering::Relaxed);
        let second = NETWORKS.0 + std::process::id() % NETWORKS.1;
        let cluster = Cluster {
            script: script.clone(),
            links: Links::default(),
            cuts: Cuts::default(),
            history: History::default(),
            folder: TempDir::new(),
            network: (127 << 24) | (second << 16) | ((round & 0xff) << 8),
            controller: program("runtrack-controller")?,
            places: Mutex::default(),
            agents: Mutex::default(),
            machines: AtomicU32::new(0),
            healing: AtomicBool::new(false),
            over: AtomicBool::new(false),
        };
        for _ in 0..script.members {
            let place = cluster.machine().await?;
            locked(&cluster.places).push(place);
        }
        let agent = program("runtrack-agent")?;
        for number in 0..script.agents {
            let process = cluster.process(&agent, &format!("a{number}"));
            locked(&cluster.agents).push(AgentPlace { process, life: 0 });
        }
        Ok(cluster)
    }

    fn address(&self, host: u32, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.network + host), port)
    }

    fn settings(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.conf"))
    }

    fn process(&self, program: &Path, name: &str) -> Process {
        let log = self.folder.path().join(format!("{name}.log"));
        let settings = self.settings(name).display().to_string();
        Process::new(program.to_owned(), Vec::new(), &log, None)
            .with_variable("RUNTRACK_NODE_FILE", &settings)
    }

    /// A new machine with an empty disk, behind a link of the rig's.
    async fn machine(&self) -> io::Result<Place> {
        let machine = self.machines.fetch_add(1, Ordering::SeqCst);
        let name = format!("m{machine}");
        let disk = self.folder.path().join(format!("disk-{machine}"));
        std::fs::create_dir_all(&disk)?;
        let dialled = self.address(MACHINE_HOST + machine, FIRST_PORT);
        let bound = self.address(BIND_HOST + machine, FIRST_PORT);
        let links = self.links.stand_before_greeted(&name, dialled.into(), bound.into(), greeting).await?;
        Ok(Place { machine, process: self.process(&self.controller, &name), disk, _links: links })
    }

    /// Name of a member's machine, as links know it.
    pub fn name(&self, member: usize) -> String {
        format!("m{}", locked(&self.places)[member].machine)
    }

    /// Where a member takes calls.
    pub fn control(&self, member: usize) -> SocketAddr {
        self.address(MACHINE_HOST + locked(&self.places)[member].machine, CONTROL_PORT).into()
    }

    /// Where an agent tells what it knows.
    pub fn feed(&self, agent: usize) -> SocketAddr {
        self.address(AGENT_HOST + agent as u32, FIRST_PORT + 1).into()
    }

    /// The life of an agent.
    pub fn life(&self, agent: usize) -> u64 {
        locked(&self.agents)[agent].life
    }

    /// Control addresses of the first three of those that are members now.
    fn seeds(&self) -> String {
        let places = locked(&self.places);
        let first =
            places.iter().take(3).map(|place| self.address(MACHINE_HOST + place.machine, CONTROL_PORT));
        first.map(|address| address.to_string()).collect::<Vec<_>>().join(",")
    }

    fn write_settings(&self, name: &str, host: u32, more: &str) -> io::Result<()> {
        let text = format!(
            "node={name}\nip={}\nzone=a\nportRange={FIRST_PORT},{LAST_PORT}\nseeds={}\nbeatPeriodMs={}\n{more}",
            self.address(host, 0).ip(),
            self.seeds(),
            HEARTBEAT.as_millis(),
        );
        std::fs::write(self.settings(name), text)
    }

    /// Starts a member unless it runs.
    pub fn start(&self, member: usize, first_boot: bool) -> io::Result<()> {
        let (machine, disk) = {
            let places = locked(&self.places);
            (places[member].machine, places[member].disk.clone())
        };
        let name = format!("m{machine}");
        let more = format!(
            "listen.control={}\nlisten.peer={}\nfirstBoot={first_boot}\ndataDir={}\ntolerance.machines={}\n",
            self.address(MACHINE_HOST + machine, CONTROL_PORT),
            self.address(BIND_HOST + machine, FIRST_PORT),
            disk.display(),
            (self.script.members - 1) / 2,
        );
        self.write_settings(&name, MACHINE_HOST + machine, &more)?;
        let process = &mut locked(&self.places)[member].process;
        if process.pid().is_none() || process.has_ended() {
            process.start()?;
        }
        Ok(())
    }

    /// Starts members again whose processes have ended by themselves, as a supervisor does; gives their places.
    pub fn restart_ended(&self) -> io::Result<Vec<usize>> {
        let ended = |process: &mut Process| process.pid().is_some() && process.has_ended();
        let places: Vec<usize> = {
            let mut places = locked(&self.places);
            (0..places.len()).filter(|member| ended(&mut places[*member].process)).collect()
        };
        places.iter().try_for_each(|member| self.start(*member, false))?;
        Ok(places)
    }

    /// Starts an agent unless it runs.
    pub fn start_agent(&self, agent: usize) -> io::Result<()> {
        let name = format!("a{agent}");
        let more = format!("listen.feed={}\nfirstBoot=false\n", self.feed(agent));
        self.write_settings(&name, AGENT_HOST + agent as u32, &more)?;
        let place = &mut locked(&self.agents)[agent];
        if place.process.pid().is_none() || place.process.has_ended() {
            place.life += 1;
            place.process.start()?;
        }
        Ok(())
    }

    /// Does something with a member's process.
    pub fn with_member(&self, member: usize, act: impl FnOnce(&mut Process)) {
        act(&mut locked(&self.places)[member].process);
    }

    /// Does something with an agent's process.
    pub fn with_agent(&self, agent: usize, act: impl FnOnce(&mut Process)) {
        act(&mut locked(&self.agents)[agent].process);
    }

    /// A member's disk.
    pub fn disk(&self, member: usize) -> PathBuf {
        locked(&self.places)[member].disk.clone()
    }

    /// A new machine takes the place of one that is gone for good.
    pub async fn replace(&self, member: usize) -> io::Result<()> {
        let place = self.machine().await?;
        locked(&self.places)[member] = place;
        Ok(())
    }

    /// Whether everything is to be healed.
    pub fn is_healing(&self) -> bool {
        self.healing.load(Ordering::SeqCst)
    }

    /// Everything is to be healed from now on.
    pub fn heal(&self) {
        self.healing.store(true, Ordering::SeqCst);
        self.links.heal();
    }

    /// Whether operators and endpoints are to end.
    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Operators and endpoints are to end.
    pub fn end(&self) {
        self.over.store(true, Ordering::SeqCst);
    }

    /// Waits, at most until everything is healed.
    pub async fn lasts(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end && !self.is_healing() {
            sleep(LOOK.min(end - Instant::now())).await;
        }
    }

    /// The last lines of all logs.
    pub fn logs(&self) -> String {
        let last = |log: String| {
            let lines: Vec<&str> = log.lines().collect();
            lines[lines.len().saturating_sub(20)..].join("\n")
        };
        let places = locked(&self.places);
        places.iter().map(|place| format!("m{}:\n{}\n", place.machine, last(place.process.log()))).collect()
    }
}
