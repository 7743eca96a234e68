//! Controllers in one thread and in virtual time: links in memory that can be cut, disks in memory that can be made to
//! refuse, processes that can be frozen.
#![allow(dead_code, reason = "each test file uses some of it")]

mod late;
pub mod operator;

use late::Late;
use operator::Operator;
use runtrack_controller::disk::{MemberDisk, Persisting, Record, Rings, WriteError};
use runtrack_controller::{ControllerError, new_incarnation, run_in};
use runtrack_fleetconfig::Node;
use runtrack_link::{Dials, Environment, Gossip, ProcessEvent};
use runtrack_message::{Endpoint, Hello, Member, PrefixPlacements, Role, WIRE_VERSION};
use runtrack_net::{Connecting, Connection, Listener, Network, PeekStatus, set_mutant};
use runtrack_record_store::Memory;
use runtrack_registry::LeaveRecord;
use slog::{Drain, Logger, o};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::{Future, pending, poll_fn};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::sync::{self, Arc};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Mutex, Notify};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// An event that has not been logged after this much virtual time will not be.
const PATIENCE: Duration = Duration::from_secs(60);
/// The operator's machine.
const OPERATOR: usize = 99;
/// A machine with an agent.
const EDGE: usize = 98;
/// How often endpoints tell that they are there.
const HEARTBEAT: Duration = Duration::from_millis(1200);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const BUFFER: usize = 1 << 20;
/// A write to an uneven disk takes up to so many times as long as another one.
const UNEVENNESS: f64 = 32.0;
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(5);
const CONTROL: u16 = 8146;
const FIRST_PORT: u16 = 7660;
/// Machines that the settings name.
const SEEDS: usize = 3;

/// A link that carries nothing while it is cut.
struct Link {
    stream: Late<DuplexStream>,
    cut: Rc<Cell<bool>>,
    /// What is written at this end does not arrive.
    mute: Rc<Cell<bool>>,
}

impl Connection for Link {
    fn peek_status(&self) -> PeekStatus {
        PeekStatus::Empty
    }
}

impl AsyncRead for Link {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // A link that was cut stays cut: both sides find it stalled and dial anew.
        if self.cut.get() { Poll::Pending } else { Pin::new(&mut self.stream).poll_read(cx, out) }
    }
}

impl AsyncWrite for Link {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.cut.get() || self.mute.get() {
            Poll::Ready(Ok(bytes.len()))
        } else {
            Pin::new(&mut self.stream).poll_write(cx, bytes)
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

type Incoming = UnboundedSender<Box<dyn Connection>>;

/// What connects the machines.
#[derive(Default)]
struct Wires {
    listening: BTreeMap<SocketAddr, Incoming>,
    cut: BTreeSet<(usize, usize)>,
    links: Vec<(usize, usize, Rc<Cell<bool>>)>,
    /// Ends of links: whose words to whom are lost while this is set.
    mutes: Vec<(usize, usize, Rc<Cell<bool>>)>,
    /// Machines without power: who dials them waits.
    dark: BTreeSet<usize>,
    /// How long words are on their way.
    latency: Duration,
}

fn pair(one: usize, other: usize) -> (usize, usize) {
    (one.min(other), one.max(other))
}

/// The network as one machine has it.
struct Wired {
    machine: usize,
    wires: Rc<RefCell<Wires>>,
}

struct Backlog(RefCell<UnboundedReceiver<Box<dyn Connection>>>);

impl Listener for Backlog {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Box<dyn Connection>>> {
        self.0.borrow_mut().poll_recv(cx).map(|came| came.ok_or_else(|| io::ErrorKind::NotConnected.into()))
    }
}

impl Network for Wired {
    fn connect(&self, to: SocketAddr) -> Connecting {
        let target = machine_at(to);
        let mut wires = self.wires.borrow_mut();
        let (one, other) = pair(self.machine, target);
        if wires.dark.contains(&target) {
            return Box::pin(pending());
        }
        let refused = || -> Connecting { Box::pin(async { Err(io::ErrorKind::ConnectionRefused.into()) }) };
        if wires.cut.contains(&(one, other)) {
            return refused();
        }
        let Some(incoming) = wires.listening.get(&to).cloned() else { return refused() };
        let (here, there) = tokio::io::duplex(BUFFER);
        let (here, there) = (Late::new(here, wires.latency), Late::new(there, wires.latency));
        let cut = Rc::new(Cell::new(false));
        let (mute, their_mute) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
        let link = Link { stream: there, cut: cut.clone(), mute: their_mute.clone() };
        if incoming.send(Box::new(link)).is_err() {
            return refused();
        }
        wires.links.push((one, other, cut.clone()));
        wires.mutes.push((self.machine, target, mute.clone()));
        wires.mutes.push((target, self.machine, their_mute));
        Box::pin(async move { Ok(Box::new(Link { stream: here, cut, mute }) as Box<dyn Connection>) })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let (incoming, backlog) = unbounded_channel();
        self.wires.borrow_mut().listening.insert(at, incoming);
        Ok(Box::new(Backlog(RefCell::new(backlog))))
    }
}

struct MemoryDisk {
    leaves: Vec<LeaveRecord>,
    placements: PrefixPlacements,
    endpoints: Vec<Endpoint>,
    /// It takes no leaves, and everything else.
    refuses_leaves: Rc<Cell<bool>>,
    /// Writes of leaves so far.
    leave_writes: Rc<Cell<usize>>,
    /// Writes go there one after another.
    rings: Rc<Mutex<Rings<Memory>>>,
    /// How long a write takes. One that is under way when the process is killed is lost.
    delay: Rc<Cell<Duration>>,
    /// Writes that were begun.
    writes: Rc<Cell<u64>>,
    /// No write ends while this is set.
    stalled: Rc<Cell<bool>>,
    /// Some writes take many times as long.
    uneven: bool,
}

impl MemberDisk for MemoryDisk {
    fn persist(&self, record: Record) -> Persisting {
        let (rings, delay, stalled) = (self.rings.clone(), self.delay.clone(), self.stalled.clone());
        let (refuses_leaves, leave_writes) = (self.refuses_leaves.clone(), self.leave_writes.clone());
        self.writes.set(self.writes.get() + 1);
        let times = if self.uneven { UNEVENNESS.powf(fastrand::f64()) } else { 1.0 };
        Box::pin(async move {
            let mut rings = rings.lock().await;
            sleep(delay.get().mul_f64(times)).await;
            while stalled.get() {
                sleep(STALL_POLL_INTERVAL).await;
            }
            if matches!(record, Record::Leaves(_)) {
                if refuses_leaves.get() {
                    return Err(WriteError::Refused("it takes no leaves"));
                }
                leave_writes.set(leave_writes.get() + 1);
            }
            Ok(rings.write(&record)?)
        })
    }

    fn leaves(&self) -> Vec<LeaveRecord> {
        self.leaves.clone()
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        self.endpoints.clone()
    }

    fn placements(&self) -> PrefixPlacements {
        self.placements.clone()
    }
}

/// Log lines of one process, and a notice of each new one.
#[derive(Clone, Default)]
struct Lines {
    written: Arc<sync::Mutex<Vec<u8>>>,
    news: Arc<Notify>,
}

impl io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.written.lock().expect("nobody panics with it").extend_from_slice(bytes);
        self.news.notify_one();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Lines {
    fn all(&self) -> Vec<String> {
        let written = self.written.lock().expect("nobody panics with it");
        String::from_utf8_lossy(&written).lines().map(str::to_owned).collect()
    }

    fn logger(&self) -> Logger {
        let event = slog::FnValue(|record: &slog::Record<'_>| record.msg().to_string());
        let drain = slog_json::Json::new(self.clone()).add_key_value(o!("event" => event)).build();
        Logger::root(sync::Mutex::new(drain).fuse(), o!())
    }
}

struct Machine {
    disk: Memory,
    disk_delay: Rc<Cell<Duration>>,
    disk_writes: Rc<Cell<u64>>,
    disk_stalled: Rc<Cell<bool>>,
    refuses_leaves: Rc<Cell<bool>>,
    leave_writes: Rc<Cell<usize>>,
    lines: Lines,
    read: usize,
    frozen: Rc<Cell<bool>>,
    thaw: Rc<RefCell<Option<Waker>>>,
    events: Option<UnboundedSender<ProcessEvent>>,
    process: Option<JoinHandle<()>>,
    /// The disk as the process that was started last has it.
    mounted: Weak<MemoryDisk>,
}

/// Machines in virtual time, of which the first three are the seeds.
pub struct World {
    machines: Vec<Machine>,
    wires: Rc<RefCell<Wires>>,
    settle_s: f64,
    /// Machines whose loss is to be borne.
    tolerance: u32,
    uneven_disks: bool,
}

fn address(machine: usize, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, machine as u8 + 1), port)
}

fn machine_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("all addresses are IPv4") };
    address.ip().octets()[3] as usize - 1
}

impl World {
    /// So many machines with nothing running.
    pub fn new(machines: usize, settle_s: f64) -> Self {
        let machine = |_| Machine {
            disk: Memory::default(),
            disk_delay: Rc::default(),
            disk_writes: Rc::default(),
            disk_stalled: Rc::default(),
            refuses_leaves: Rc::default(),
            leave_writes: Rc::default(),
            lines: Lines::default(),
            read: 0,
            frozen: Rc::default(),
            thaw: Rc::default(),
            events: None,
            mounted: Weak::new(),
            process: None,
        };
        World {
            machines: (0..machines).map(machine).collect(),
            wires: Rc::default(),
            settle_s,
            tolerance: 1,
            uneven_disks: false,
        }
    }

    /// Starts so many members, with links and disks that take their time; they hold version 1 then.
    pub async fn with_members(self, members: usize, latency: Duration, write: Duration) -> Self {
        let (machines, mut world) = (self.machines.len(), self);
        world.tolerance = members as u32 / 2;
        world.wires.borrow_mut().latency = latency;
        (0..machines).for_each(|machine| world.slow_disk(machine, write));
        (0..SEEDS).for_each(|machine| world.start(machine, true));
        for machine in 0..SEEDS {
            world.logged(machine, "contact.majority", "").await;
        }
        world.replace_config(0, 0, 1).await;
        for machine in SEEDS..members {
            world.start(machine, false);
            world.logged(machine, "member.joined", "").await;
        }
        world
    }

    /// The same machines for who is to bear the loss of so many of them.
    pub fn tolerating(self, tolerance: u32) -> Self {
        World { tolerance, ..self }
    }

    /// So many machines, of which the first three run, are in contact with each other and hold version 1.
    pub async fn with_three_members(machines: usize, settle_s: f64) -> Self {
        let mut world = World::new(machines, settle_s);
        for machine in 0..3 {
            world.start(machine, true);
        }
        for machine in 0..3 {
            world.logged(machine, "contact.majority", "").await;
        }
        world.replace_config(0, 0, 1).await;
        world
    }

    /// A machine's name as a member.
    pub fn member(&self, machine: usize) -> String {
        address(machine, FIRST_PORT).to_string()
    }

    /// Starts a process; it runs until it ends by itself.
    pub fn start(&mut self, machine: usize, first_boot: bool) {
        let seeds: Vec<String> = (0..SEEDS).map(|seed| address(seed, CONTROL).to_string()).collect();
        let text = format!(
            "node=core-{machine}\nip={}\nzone=a\nlisten.control={}\nportRange={FIRST_PORT},{}\nseeds={}\n\
             firstBoot={first_boot}\nbeatPeriodMs=1200\ntolerance.machines={}\nbounds.settleS={}\n",
            address(machine, 0).ip(),
            address(machine, CONTROL),
            FIRST_PORT + 15,
            seeds.join(","),
            self.tolerance,
            self.settle_s,
        );
        let node = Node::read(&text).expect("the settings are right");
        self.wires.borrow_mut().dark.remove(&machine); // it has power
        let opened = Rings::open(self.machines[machine].disk.clone(), || new_incarnation(&node));
        let (rings, acceptor) = opened.expect("the disk can be read");
        let disk = Rc::new(MemoryDisk {
            leaves: rings.recovered_leaves().to_vec(),
            placements: rings.recovered_placements().clone(),
            endpoints: rings.recovered_endpoints().to_vec(),
            refuses_leaves: self.machines[machine].refuses_leaves.clone(),
            leave_writes: self.machines[machine].leave_writes.clone(),
            rings: Rc::new(Mutex::new(rings)),
            delay: self.machines[machine].disk_delay.clone(),
            writes: self.machines[machine].disk_writes.clone(),
            stalled: self.machines[machine].disk_stalled.clone(),
            uneven: self.uneven_disks,
        });
        let network = Rc::new(Wired { machine, wires: self.wires.clone() });
        let state = &mut self.machines[machine];
        state.mounted = Rc::downgrade(&disk);
        let environment = Environment { network, logger: state.lines.logger() };
        let (events, received) = unbounded_channel();
        state.events = Some(events);
        let process = async move {
            // With its main task all others end.
            LocalSet::new().run_until(run_in(environment, disk, acceptor, node, received)).await
        };
        let process = unless_frozen(process, state.frozen.clone(), state.thaw.clone());
        state.process = Some(spawn_local(process));
    }

    /// Kills a process: what it was writing is lost.
    pub async fn kill(&mut self, machine: usize) {
        let process = self.machines[machine].process.take().expect("it runs");
        process.abort();
        let _ = process.await; // it was aborted
    }

    /// Whether anything of the last process of a machine is still in memory.
    pub fn is_in_memory(&self, machine: usize) -> bool {
        self.machines[machine].mounted.strong_count() > 0
    }

    /// A machine loses its power: nobody hears of it, and what was not synced is gone.
    pub async fn lose_power(&mut self, machine: usize) {
        {
            let mut wires = self.wires.borrow_mut();
            wires.dark.insert(machine);
            let own = wires.links.iter().filter(|(one, other, _)| *one == machine || *other == machine);
            own.for_each(|(_, _, link)| link.set(true));
        }
        self.kill(machine).await;
        self.disk(machine).lose_power();
    }

    /// Members 0 and 2 of three alone acknowledge version 2, and member 2 ends with a disk that is put back to version 1.
    /// Member 1 is still cut off from both.
    pub async fn put_back_before_version_two(&mut self) {
        let copy = self.disk(2).snapshot();
        self.cut(0, 1, true);
        self.cut(1, 2, true);
        self.replace_config(0, 1, 2).await;
        self.kill(2).await;
        self.disk(2).restore(&copy);
    }

    /// From now on no write to a machine's disk ends, or they do again.
    pub fn stall_disk(&self, machine: usize, stalled: bool) {
        self.machines[machine].disk_stalled.set(stalled);
    }

    /// An operator, who calls from a machine of its own.
    pub fn operator(&self) -> Operator {
        Operator::new(Wired { machine: OPERATOR, wires: self.wires.clone() })
    }

    /// Version of the configuration that a machine's disk holds.
    pub fn version_on_disk(&self, machine: usize) -> Option<u64> {
        let (_, acceptor) = Rings::open(self.disk(machine).clone(), || 0).expect("it can be read");
        acceptor.accepted().map(|accepted| accepted.value.version)
    }

    /// From now on a machine's disk takes leaves of endpoints, or does not; other records it takes in any case.
    pub fn refuse_leaves(&self, machine: usize, refuses: bool) {
        self.machines[machine].refuses_leaves.set(refuses);
    }

    /// Writes of leaves to a machine's disk so far.
    pub fn leave_writes(&self, machine: usize) -> usize {
        self.machines[machine].leave_writes.get()
    }

    /// An endpoint tells that it is in this state; the answer, and how long it took.
    pub async fn heartbeat(&self, machine: usize, id: &str, state: &str) -> (u16, Duration) {
        let path = format!("/runtrack/instances/{id}/heartbeat");
        let body =
            format!(r#"{{"service":"llm","address":"10.0.3.1:8000","state":"{state}","callSeq":1}}"#);
        self.timed(machine, "POST", &path, "", &body).await
    }

    /// The network as an edge machine has it.
    pub fn edge_network(&self) -> Rc<dyn Network> {
        Rc::new(Wired { machine: EDGE, wires: self.wires.clone() })
    }

    /// The copy of an agent that is linked to the first three machines wherever it can be.
    pub fn agent(&self) -> Rc<Gossip> {
        let network = Rc::new(Wired { machine: EDGE, wires: self.wires.clone() });
        let environment = Environment { network, logger: Logger::root(slog::Discard, o!()) };
        let me = Member::new(address(EDGE, FIRST_PORT), 1);
        let hello = Hello { wire: WIRE_VERSION, role: Role::Agent, node: "edge".into(), member: me };
        let gossip = Gossip::new_in(environment, hello, HEARTBEAT, Box::new(()));
        spawn_local(gossip.clone().run());
        let dials = Dials::new(gossip.clone());
        spawn_local(async move {
            loop {
                dials.keep(&(0..3).map(|machine| address(machine, FIRST_PORT)).collect());
                sleep(RETRY_INTERVAL).await;
            }
        });
        gossip
    }

    /// Cuts the agent off, or joins it again.
    pub fn cut_agent(&self, cut: bool) {
        (0..3).for_each(|machine| self.cut(EDGE, machine, cut));
    }

    /// Waits until a process has ended by itself.
    pub async fn ended(&mut self, machine: usize) {
        let process = self.machines[machine].process.take().expect("it runs");
        let ended = timeout(PATIENCE, process).await;
        ended.expect("it ends").expect("nothing in it panics");
    }

    /// A machine's disk.
    pub fn disk(&self, machine: usize) -> &Memory {
        &self.machines[machine].disk
    }

    /// A connection of an edge machine to a controller's port for links.
    pub async fn dial_link(&self, machine: usize) -> Box<dyn Connection> {
        let network = Wired { machine: EDGE, wires: self.wires.clone() };
        network.connect(address(machine, FIRST_PORT).into()).await.expect("it listens")
    }

    /// Takes links in at a machine's port for links, for a member that is played by a test.
    pub fn listen_for_links(&self, machine: usize) -> Box<dyn Listener> {
        let network = Wired { machine, wires: self.wires.clone() };
        network.listen(address(machine, FIRST_PORT).into()).expect("nobody listens there")
    }

    /// A machine's address as a member.
    pub fn link_address(&self, machine: usize) -> SocketAddrV4 {
        address(machine, FIRST_PORT)
    }

    /// One call over HTTP, and how long its answer took.
    pub async fn timed(
        &self,
        machine: usize,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> (u16, Duration) {
        let from = tokio::time::Instant::now();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let status = timeout(PATIENCE, self.call(machine, request)).await;
        (status.expect("in time").expect("an answer"), from.elapsed())
    }

    /// From now on what one machine says to another does not arrive, on links that are up; new ones can't be made.
    pub fn cut_one_way(&self, from: usize, to: usize) {
        let mut wires = self.wires.borrow_mut();
        wires.cut.insert(pair(from, to));
        let muted = wires.mutes.iter().filter(|(one, other, _)| (*one, *other) == (from, to));
        muted.for_each(|(_, _, mute)| mute.set(true));
    }

    /// One call over HTTP, from a machine that is not one of the members; the status, once there is one.
    async fn call(&self, machine: usize, request: String) -> Option<u16> {
        let answer = self.answer(machine, request).await?;
        answer.split(' ').nth(1)?.parse().ok()
    }

    /// One call over HTTP; the complete answer, once there is one.
    async fn answer(&self, machine: usize, request: String) -> Option<String> {
        let network = Wired { machine: OPERATOR, wires: self.wires.clone() };
        let mut connection = network.connect(address(machine, CONTROL).into()).await.ok()?;
        connection.write_all(request.as_bytes()).await.ok()?;
        let mut answer = String::new();
        connection.read_to_string(&mut answer).await.ok()?;
        Some(answer)
    }

    /// Reads the configuration: the status, and its version, which is zero where there is none; nothing where the process
    /// ends before it answers.
    pub async fn read(&self, machine: usize) -> Option<(u16, u64)> {
        let request = "GET /runtrack/config/read HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = self.answer(machine, request.to_owned()).await?;
        let status = answer.split(' ').nth(1)?.parse().ok()?;
        let version = answer.split_once("\"version\":").map(|(_, rest)| rest);
        let version = version.and_then(|rest| rest.split(',').next()?.parse().ok());
        Some((status, version.unwrap_or(0)))
    }

    /// Writes to all disks that were begun so far.
    pub fn writes(&self) -> u64 {
        self.machines.iter().map(|machine| machine.disk_writes.get()).sum()
    }

    /// Sends a configuration until it is acknowledged.
    pub async fn replace_config(&self, machine: usize, base: u64, version: u64) {
        assert_eq!(self.clear_answer(machine, base, version, PATIENCE).await, Some(200));
    }

    /// Sends a configuration until there is a clear answer; nothing where there is none in time.
    pub async fn clear_answer(
        &self,
        machine: usize,
        base: u64,
        version: u64,
        within: Duration,
    ) -> Option<u16> {
        let body = format!(r#"{{"version":{version},"routes":[],"services":[],"limits":{{}}}}"#);
        let request = format!(
            "POST /runtrack/config/replace HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Base-Version: {base}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let acknowledged = async {
            loop {
                match self.call(machine, request.clone()).await {
                    Some(status) if status < 500 => return status,
                    _ => sleep(RETRY_INTERVAL).await,
                }
            }
        };
        timeout(within, acknowledged).await.ok()
    }

    /// From now on each write to a machine's disk takes so long.
    pub fn slow_disk(&self, machine: usize, delay: Duration) {
        self.machines[machine].disk_delay.set(delay);
    }

    /// Cuts the link between two machines, or joins them again.
    pub fn cut(&self, one: usize, other: usize, cut: bool) {
        let ends = pair(one, other);
        let mut wires = self.wires.borrow_mut();
        if cut {
            wires.cut.insert(ends)
        } else {
            wires.cut.remove(&ends)
        };
        wires.links.iter().filter(|(a, b, _)| (*a, *b) == ends).for_each(|(_, _, link)| link.set(true));
    }

    /// Processes that are started from now on have disks whose writes take up to 32 times as long.
    pub fn make_disks_uneven(&mut self) {
        self.uneven_disks = true;
    }

    /// Stops a process where it is, or lets it go on. Time goes on for it all the same.
    pub fn freeze(&self, machine: usize, frozen: bool) {
        let state = &self.machines[machine];
        state.frozen.set(frozen);
        if let Some(waker) = state.thaw.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits until a process has logged this event with this in it, after those that were waited for before.
    pub async fn logged(&mut self, machine: usize, event: &str, with: &str) {
        let found = timeout(PATIENCE, self.find(machine, event, with)).await;
        assert!(
            found.is_ok(),
            "machine {machine} has not logged {event} with {with:?}: {:#?}",
            self.machines[machine].lines.all()
        );
    }

    async fn find(&mut self, machine: usize, event: &str, with: &str) {
        let event = format!("\"event\":\"{event}\"");
        let state = &mut self.machines[machine];
        loop {
            let lines = state.lines.all();
            let new = lines.iter().enumerate().skip(state.read);
            if let Some((at, _)) =
                new.clone().find(|(_, line)| line.contains(&event) && line.contains(with))
            {
                state.read = at + 1;
                return;
            }
            state.lines.news.notified().await;
        }
    }

    /// All that a process has logged of this event.
    pub fn lines(&self, machine: usize, event: &str) -> Vec<String> {
        let event = format!("\"event\":\"{event}\"");
        self.machines[machine].lines.all().into_iter().filter(|line| line.contains(&event)).collect()
    }
}

/// Runs a process's tasks while it is not frozen.
async fn unless_frozen(
    process: impl Future<Output = Result<(), ControllerError>>,
    frozen: Rc<Cell<bool>>,
    thaw: Rc<RefCell<Option<Waker>>>,
) {
    let mut process = pin!(process);
    let end = poll_fn(|cx| {
        *thaw.borrow_mut() = Some(cx.waker().clone());
        if frozen.get() { Poll::Pending } else { process.as_mut().poll(cx) }
    });
    let _ = end.await; // why it ended is in its log
}

/// Runs a test in virtual time.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Whether a scenario fails with this mutant.
pub fn finds(mutant: &str, scenario: impl FnOnce()) -> bool {
    set_mutant(Some(mutant));
    let found = catch_unwind(AssertUnwindSafe(scenario)).is_err();
    set_mutant(None);
    found
}
