//! Processes of a round, with their addresses, settings and disks.

use super::cuts::Cuts;
use super::history::History;
use super::script::Script;
use crate::link::{Handshake, Links, locked};
use crate::process::{Process, program_path};
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
/// Interval of endpoint heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(400);
/// First host numbers: machines as others address them, the addresses that their controllers bind, and agents.
const MACHINE_HOST: u32 = 1;
const BIND_HOST: u32 = 101;
const AGENT_HOST: u32 = 201;
/// First value and number of values of the second octet of the loopback addresses.
const LOOPBACK_SECOND_OCTETS: (u32, u32) = (200, 50);
/// Maximum size of the first frame of a connection.
const MAX_HELLO_BYTES: usize = 8 << 10;
/// Poll interval of [`Cluster::sleep_until_healing`].
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Parses the first frame of a connection, which names its source.
fn parse_handshake(bytes: &[u8]) -> Handshake {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Handshake::Incomplete };
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_HELLO_BYTES {
        return Handshake::Malformed;
    }
    let Some(frame) = rest.get(..length) else { return Handshake::Incomplete };
    match decode(frame) {
        Ok(Message::Hello(hello)) => Handshake::From(hello.node.as_string()),
        _ => Handshake::Malformed,
    }
}

/// A member slot: its current machine and process. A replacement takes over the slot.
struct MemberSlot {
    machine: u32,
    process: Process,
    disk: PathBuf,
    _links: JoinSet<()>,
}

struct AgentSlot {
    process: Process,
    incarnation: u64,
}

/// State shared by all tasks of a round.
pub struct Cluster {
    /// The script of the round.
    pub script: Script,
    /// Links between processes.
    pub links: Links,
    /// Active cuts of links.
    pub cuts: Cuts,
    /// Events recorded so far.
    pub history: History,
    folder: TempDir,
    network: u32,
    controller: PathBuf,
    slots: Mutex<Vec<MemberSlot>>,
    agents: Mutex<Vec<AgentSlot>>,
    machines: AtomicU32,
    healing: AtomicBool,
    stopping: AtomicBool,
}

impl Cluster {
    /// Allocates machines and agents without starting any process.
    pub async fn new(script: &Script) -> io::Result<Cluster> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let round = NEXT.fetch_add(1, Ordering::Relaxed);
        let second = LOOPBACK_SECOND_OCTETS.0 + std::process::id() % LOOPBACK_SECOND_OCTETS.1;
        let cluster = Cluster {
            script: script.clone(),
            links: Links::default(),
            cuts: Cuts::default(),
            history: History::default(),
            folder: TempDir::new(),
            network: (127 << 24) | (second << 16) | ((round & 0xff) << 8),
            controller: program_path("runtrack-controller")?,
            slots: Mutex::default(),
            agents: Mutex::default(),
            machines: AtomicU32::new(0),
            healing: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
        };
        for _ in 0..script.members {
            let slot = cluster.new_machine().await?;
            locked(&cluster.slots).push(slot);
        }
        let agent = program_path("runtrack-agent")?;
        for number in 0..script.agents {
            let process = cluster.process(&agent, &format!("a{number}"));
            locked(&cluster.agents).push(AgentSlot { process, incarnation: 0 });
        }
        Ok(cluster)
    }

    fn address(&self, host: u32, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.network + host), port)
    }

    fn settings_path(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.conf"))
    }

    fn process(&self, program: &Path, name: &str) -> Process {
        let log = self.folder.path().join(format!("{name}.log"));
        let settings = self.settings_path(name).display().to_string();
        Process::new(program.to_owned(), Vec::new(), &log, None)
            .with_variable("RUNTRACK_NODE_FILE", &settings)
    }

    /// Allocates a machine with an empty disk, behind a link of the rig.
    async fn new_machine(&self) -> io::Result<MemberSlot> {
        let machine = self.machines.fetch_add(1, Ordering::SeqCst);
        let name = format!("m{machine}");
        let disk = self.folder.path().join(format!("disk-{machine}"));
        std::fs::create_dir_all(&disk)?;
        let dialled = self.address(MACHINE_HOST + machine, FIRST_PORT);
        let bound = self.address(BIND_HOST + machine, FIRST_PORT);
        let links =
            self.links.intercept_identified(&name, dialled.into(), bound.into(), parse_handshake).await?;
        Ok(MemberSlot { machine, process: self.process(&self.controller, &name), disk, _links: links })
    }

    /// Name of a member's machine in links.
    pub fn machine_name(&self, member: usize) -> String {
        format!("m{}", locked(&self.slots)[member].machine)
    }

    /// Address for calls to a member.
    pub fn control_address(&self, member: usize) -> SocketAddr {
        self.address(MACHINE_HOST + locked(&self.slots)[member].machine, CONTROL_PORT).into()
    }

    /// Address of an agent's feed.
    pub fn feed_address(&self, agent: usize) -> SocketAddr {
        self.address(AGENT_HOST + agent as u32, FIRST_PORT + 1).into()
    }

    /// Incarnation of an agent: number of its starts.
    pub fn incarnation(&self, agent: usize) -> u64 {
        locked(&self.agents)[agent].incarnation
    }

    /// Control addresses of the first three current members.
    fn seeds(&self) -> String {
        let slots = locked(&self.slots);
        let first =
            slots.iter().take(3).map(|slot| self.address(MACHINE_HOST + slot.machine, CONTROL_PORT));
        first.map(|address| address.to_string()).collect::<Vec<_>>().join(",")
    }

    fn write_settings(&self, name: &str, host: u32, more: &str) -> io::Result<()> {
        let text = format!(
            "node={name}\nip={}\nzone=a\nportRange={FIRST_PORT},{LAST_PORT}\nseeds={}\nbeatPeriodMs={}\n{more}",
            self.address(host, 0).ip(),
            self.seeds(),
            HEARTBEAT.as_millis(),
        );
        std::fs::write(self.settings_path(name), text)
    }

    /// Starts a member unless it is running.
    pub fn start(&self, member: usize, first_boot: bool) -> io::Result<()> {
        let (machine, disk) = {
            let slots = locked(&self.slots);
            (slots[member].machine, slots[member].disk.clone())
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
        let process = &mut locked(&self.slots)[member].process;
        if process.pid().is_none() || process.has_exited() {
            process.start()?;
        }
        Ok(())
    }

    /// Restarts members whose processes have exited by themselves, as a supervisor does; returns their slots.
    pub fn restart_ended(&self) -> io::Result<Vec<usize>> {
        let ended = |process: &mut Process| process.pid().is_some() && process.has_exited();
        let slots: Vec<usize> = {
            let mut slots = locked(&self.slots);
            (0..slots.len()).filter(|member| ended(&mut slots[*member].process)).collect()
        };
        slots.iter().try_for_each(|member| self.start(*member, false))?;
        Ok(slots)
    }

    /// Starts an agent unless it is running.
    pub fn start_agent(&self, agent: usize) -> io::Result<()> {
        let name = format!("a{agent}");
        let more = format!("listen.feed={}\nfirstBoot=false\n", self.feed_address(agent));
        self.write_settings(&name, AGENT_HOST + agent as u32, &more)?;
        let slot = &mut locked(&self.agents)[agent];
        if slot.process.pid().is_none() || slot.process.has_exited() {
            slot.incarnation += 1;
            slot.process.start()?;
        }
        Ok(())
    }

    /// Applies a function to a member's process.
    pub fn with_member(&self, member: usize, act: impl FnOnce(&mut Process)) {
        act(&mut locked(&self.slots)[member].process);
    }

    /// Applies a function to an agent's process.
    pub fn with_agent(&self, agent: usize, act: impl FnOnce(&mut Process)) {
        act(&mut locked(&self.agents)[agent].process);
    }

    /// Path of a member's disk.
    pub fn disk_path(&self, member: usize) -> PathBuf {
        locked(&self.slots)[member].disk.clone()
    }

    /// Puts a new machine into the slot of one that is permanently lost.
    pub async fn replace(&self, member: usize) -> io::Result<()> {
        let slot = self.new_machine().await?;
        locked(&self.slots)[member] = slot;
        Ok(())
    }

    /// Whether all faults are to be ended.
    pub fn is_healing(&self) -> bool {
        self.healing.load(Ordering::SeqCst)
    }

    /// Ends all faults from now on.
    pub fn heal(&self) {
        self.healing.store(true, Ordering::SeqCst);
        self.links.heal();
    }

    /// Whether the tasks of the round are to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Tells the tasks of the round to stop.
    pub fn stop_clients(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Sleeps, at most until all faults are to be ended.
    pub async fn sleep_until_healing(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end && !self.is_healing() {
            sleep(POLL_INTERVAL.min(end - Instant::now())).await;
        }
    }

    /// The last lines of the members' logs.
    pub fn logs(&self) -> String {
        let last = |log: String| {
            let lines: Vec<&str> = log.lines().collect();
            lines[lines.len().saturating_sub(20)..].join("\n")
        };
        let slots = locked(&self.slots);
        slots.iter().map(|slot| format!("m{}:\n{}\n", slot.machine, last(slot.process.log()))).collect()
    }
}
