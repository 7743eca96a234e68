//! The processes of a round, their addresses, settings and disks.

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
/// Endpoints tell that they are there this often.
pub const HEARTBEAT: Duration = Duration::from_millis(400);
/// Host numbers: machines as others see them, where their controllers bind, and agents.
const MACHINE_HOST: u32 = 1;
const BIND_HOST: u32 = 101;
const AGENT_HOST: u32 = 201;
/// Second bytes of loopback addresses that rounds use, and how many.
const LOOPBACK_SECOND_OCTETS: (u32, u32) = (200, 50);
/// The longest first frame of a link.
const MAX_HELLO_BYTES: usize = 8 << 10;
/// How often a wait looks whether it is over.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Who connects, by the first frame of a link.
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

/// A slot among the members: a machine, and what runs there.
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
    slots: Mutex<Vec<MemberSlot>>,
    agents: Mutex<Vec<AgentSlot>>,
    machines: AtomicU32,
    healing: AtomicBool,
    stopping: AtomicBool,
}

impl Cluster {
    /// Machines and agents with nothing running.
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

    /// A new machine with an empty disk, behind a link of the rig's.
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

    /// Name of a member's machine, as links know it.
    pub fn machine_name(&self, member: usize) -> String {
        format!("m{}", locked(&self.slots)[member].machine)
    }

    /// Where a member takes calls.
    pub fn control_address(&self, member: usize) -> SocketAddr {
        self.address(MACHINE_HOST + locked(&self.slots)[member].machine, CONTROL_PORT).into()
    }

    /// Where an agent tells what it knows.
    pub fn feed_address(&self, agent: usize) -> SocketAddr {
        self.address(AGENT_HOST + agent as u32, FIRST_PORT + 1).into()
    }

    /// The life of an agent.
    pub fn incarnation(&self, agent: usize) -> u64 {
        locked(&self.agents)[agent].incarnation
    }

    /// Control addresses of the first three of those that are members now.
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

    /// Starts a member unless it runs.
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

    /// Starts members again whose processes have ended by themselves, as a supervisor does; gives their slots.
    pub fn restart_ended(&self) -> io::Result<Vec<usize>> {
        let ended = |process: &mut Process| process.pid().is_some() && process.has_exited();
        let slots: Vec<usize> = {
            let mut slots = locked(&self.slots);
            (0..slots.len()).filter(|member| ended(&mut slots[*member].process)).collect()
        };
        slots.iter().try_for_each(|member| self.start(*member, false))?;
        Ok(slots)
    }

    /// Starts an agent unless it runs.
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

    /// Does something with a member's process.
    pub fn with_member(&self, member: usize, act: impl FnOnce(&mut Process)) {
        act(&mut locked(&self.slots)[member].process);
    }

    /// Does something with an agent's process.
    pub fn with_agent(&self, agent: usize, act: impl FnOnce(&mut Process)) {
        act(&mut locked(&self.agents)[agent].process);
    }

    /// A member's disk.
    pub fn disk_path(&self, member: usize) -> PathBuf {
        locked(&self.slots)[member].disk.clone()
    }

    /// A new machine takes the slot of one that is gone for good.
    pub async fn replace(&self, member: usize) -> io::Result<()> {
        let slot = self.new_machine().await?;
        locked(&self.slots)[member] = slot;
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
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Operators and endpoints are to end.
    pub fn stop_clients(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Waits, at most until everything is healed.
    pub async fn sleep_until_healing(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end && !self.is_healing() {
            sleep(POLL_INTERVAL.min(end - Instant::now())).await;
        }
    }

    /// The last lines of all logs.
    pub fn logs(&self) -> String {
        let last = |log: String| {
            let lines: Vec<&str> = log.lines().collect();
            lines[lines.len().saturating_sub(20)..].join("\n")
        };
        let slots = locked(&self.slots);
        slots.iter().map(|slot| format!("m{}:\n{}\n", slot.machine, last(slot.process.log()))).collect()
    }
}
