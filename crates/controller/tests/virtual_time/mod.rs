//! Runs controllers in one thread and in virtual time, with in-memory links that can be cut, in-memory disks that can be made
//! to fail, and processes that can be frozen.
#![allow(dead_code, reason = "each test file uses some of it")]

mod delayed_stream;
pub mod operator;

use delayed_stream::DelayedStream;
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

/// Timeout for a log event, in virtual time.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of the operator's machine.
const OPERATOR_MACHINE: usize = 99;
/// Number of the machine with the agent.
const EDGE_MACHINE: usize = 98;
/// Interval of endpoints' heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1200);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const BUFFER: usize = 1 << 20;
/// Maximum factor by which a write to an uneven disk is slowed down.
const UNEVENNESS: f64 = 32.0;
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(5);
const CONTROL: u16 = 8146;
const FIRST_PORT: u16 = 7660;
/// Number of machines that the settings name as seeds.
const SEEDS: usize = 3;

/// A connection that can be cut, in both directions or one.
struct Link {
    stream: DelayedStream<DuplexStream>,
    cut: Rc<Cell<bool>>,
    /// Bytes written at this end are dropped while this is set.
    outbound_cut: Rc<Cell<bool>>,
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
        // A link stays cut once it was: both sides detect the stall and dial again.
        if self.cut.get() { Poll::Pending } else { Pin::new(&mut self.stream).poll_read(cx, out) }
    }
}

impl AsyncWrite for Link {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.cut.get() || self.outbound_cut.get() {
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

/// The simulated network: listeners, links and faults.
#[derive(Default)]
struct NetworkState {
    listening: BTreeMap<SocketAddr, Incoming>,
    cut: BTreeSet<(usize, usize)>,
    links: Vec<(usize, usize, Rc<Cell<bool>>)>,
    /// Sender, receiver and cut flag of each direction of each link.
    one_way_cuts: Vec<(usize, usize, Rc<Cell<bool>>)>,
    /// Machines without power: connecting to them does not return.
    powered_off: BTreeSet<usize>,
    /// One-way delay of all links.
    latency: Duration,
}

fn pair(one: usize, other: usize) -> (usize, usize) {
    (one.min(other), one.max(other))
}

/// The network interface of one machine.
struct MachineNetwork {
    machine: usize,
    network_state: Rc<RefCell<NetworkState>>,
}

struct AcceptQueue(RefCell<UnboundedReceiver<Box<dyn Connection>>>);

impl Listener for AcceptQueue {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Box<dyn Connection>>> {
        self.0.borrow_mut().poll_recv(cx).map(|came| came.ok_or_else(|| io::ErrorKind::NotConnected.into()))
    }
}

impl Network for MachineNetwork {
    fn connect(&self, to: SocketAddr) -> Connecting {
        let target = machine_at(to);
        let mut network_state = self.network_state.borrow_mut();
        let (one, other) = pair(self.machine, target);
        if network_state.powered_off.contains(&target) {
            return Box::pin(pending());
        }
        let refused = || -> Connecting { Box::pin(async { Err(io::ErrorKind::ConnectionRefused.into()) }) };
        if network_state.cut.contains(&(one, other)) {
            return refused();
        }
        let Some(incoming) = network_state.listening.get(&to).cloned() else { return refused() };
        let (here, there) = tokio::io::duplex(BUFFER);
        let (here, there) = (
            DelayedStream::new(here, network_state.latency),
            DelayedStream::new(there, network_state.latency),
        );
        let cut = Rc::new(Cell::new(false));
        let (outbound_cut, their_cut) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
        let link = Link { stream: there, cut: cut.clone(), outbound_cut: their_cut.clone() };
        if incoming.send(Box::new(link)).is_err() {
            return refused();
        }
        network_state.links.push((one, other, cut.clone()));
        network_state.one_way_cuts.push((self.machine, target, outbound_cut.clone()));
        network_state.one_way_cuts.push((target, self.machine, their_cut));
        Box::pin(
            async move { Ok(Box::new(Link { stream: here, cut, outbound_cut }) as Box<dyn Connection>) },
        )
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let (incoming, accept_queue) = unbounded_channel();
        self.network_state.borrow_mut().listening.insert(at, incoming);
        Ok(Box::new(AcceptQueue(RefCell::new(accept_queue))))
    }
}

struct MemoryDisk {
    leaves: Vec<LeaveRecord>,
    placements: PrefixPlacements,
    endpoints: Vec<Endpoint>,
    /// While set, writes of leaves fail; all other writes succeed.
    rejects_leaves: Rc<Cell<bool>>,
    /// Number of leave writes so far.
    leave_writes: Rc<Cell<usize>>,
    /// Serializes the writes.
    rings: Rc<Mutex<Rings<Memory>>>,
    /// Duration of a write. A write in progress is lost when the process is killed.
    delay: Rc<Cell<Duration>>,
    /// Number of writes started.
    writes: Rc<Cell<u64>>,
    /// While set, no write completes.
    stalled: Rc<Cell<bool>>,
    /// Some writes take up to [`UNEVENNESS`] times as long.
    uneven: bool,
}

impl MemberDisk for MemoryDisk {
    fn persist(&self, record: Record) -> Persisting {
        let (rings, delay, stalled) = (self.rings.clone(), self.delay.clone(), self.stalled.clone());
        let (rejects_leaves, leave_writes) = (self.rejects_leaves.clone(), self.leave_writes.clone());
        self.writes.set(self.writes.get() + 1);
        let times = if self.uneven { UNEVENNESS.powf(fastrand::f64()) } else { 1.0 };
        Box::pin(async move {
            let mut rings = rings.lock().await;
            sleep(delay.get().mul_f64(times)).await;
            while stalled.get() {
                sleep(STALL_POLL_INTERVAL).await;
            }
            if matches!(record, Record::Leaves(_)) {
                if rejects_leaves.get() {
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

/// Log lines of one process; notifies waiters of each new one.
#[derive(Clone, Default)]
struct LogBuffer {
    written: Arc<sync::Mutex<Vec<u8>>>,
    appended: Arc<Notify>,
}

impl io::Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.written.lock().expect("the lock is not poisoned").extend_from_slice(bytes);
        self.appended.notify_one();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogBuffer {
    fn all(&self) -> Vec<String> {
        let written = self.written.lock().expect("the lock is not poisoned");
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
    rejects_leaves: Rc<Cell<bool>>,
    leave_writes: Rc<Cell<usize>>,
    lines: LogBuffer,
    read: usize,
    frozen: Rc<Cell<bool>>,
    thaw: Rc<RefCell<Option<Waker>>>,
    events: Option<UnboundedSender<ProcessEvent>>,
    process: Option<JoinHandle<()>>,
    /// The disk handle of the most recently started process.
    mounted: Weak<MemoryDisk>,
}

/// Simulated machines, of which the first three are the seeds.
pub struct World {
    machines: Vec<Machine>,
    network_state: Rc<RefCell<NetworkState>>,
    settle_s: f64,
    /// Number of lost machines that must be tolerated.
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
    /// Creates machines without running processes.
    pub fn new(machines: usize, settle_s: f64) -> Self {
        let machine = |_| Machine {
            disk: Memory::default(),
            disk_delay: Rc::default(),
            disk_writes: Rc::default(),
            disk_stalled: Rc::default(),
            rejects_leaves: Rc::default(),
            leave_writes: Rc::default(),
            lines: LogBuffer::default(),
            read: 0,
            frozen: Rc::default(),
            thaw: Rc::default(),
            events: None,
            mounted: Weak::new(),
            process: None,
        };
        World {
            machines: (0..machines).map(machine).collect(),
            network_state: Rc::default(),
            settle_s,
            tolerance: 1,
            uneven_disks: false,
        }
    }

    /// Starts members with the given link latency and disk write time, and commits version 1.
    pub async fn with_members(self, members: usize, latency: Duration, write: Duration) -> Self {
        let (machines, mut world) = (self.machines.len(), self);
        world.tolerance = members as u32 / 2;
        world.network_state.borrow_mut().latency = latency;
        (0..machines).for_each(|machine| world.slow_disk(machine, write));
        (0..SEEDS).for_each(|machine| world.start(machine, true));
        for machine in 0..SEEDS {
            world.wait_for_event(machine, "contact.majority", "").await;
        }
        world.replace_config(0, 0, 1).await;
        for machine in SEEDS..members {
            world.start(machine, false);
            world.wait_for_event(machine, "member.joined", "").await;
        }
        world
    }

    /// Sets the number of lost machines that must be tolerated.
    pub fn tolerating(self, tolerance: u32) -> Self {
        World { tolerance, ..self }
    }

    /// Creates machines and starts the first three, which are in contact and hold version 1.
    pub async fn with_three_members(machines: usize, settle_s: f64) -> Self {
        let mut world = World::new(machines, settle_s);
        for machine in 0..3 {
            world.start(machine, true);
        }
        for machine in 0..3 {
            world.wait_for_event(machine, "contact.majority", "").await;
        }
        world.replace_config(0, 0, 1).await;
        world
    }

    /// A machine's name as a member.
    pub fn member(&self, machine: usize) -> String {
        address(machine, FIRST_PORT).to_string()
    }

    /// Starts a process, which runs until it terminates or is killed.
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
        let node = Node::read(&text).expect("the settings are valid");
        self.network_state.borrow_mut().powered_off.remove(&machine); // it has power
        let opened = Rings::open(self.machines[machine].disk.clone(), || new_incarnation(&node));
        let (rings, acceptor) = opened.expect("the disk can be read");
        let disk = Rc::new(MemoryDisk {
            leaves: rings.recovered_leaves().to_vec(),
            placements: rings.recovered_placements().clone(),
            endpoints: rings.recovered_endpoints().to_vec(),
            rejects_leaves: self.machines[machine].rejects_leaves.clone(),
            leave_writes: self.machines[machine].leave_writes.clone(),
            rings: Rc::new(Mutex::new(rings)),
            delay: self.machines[machine].disk_delay.clone(),
            writes: self.machines[machine].disk_writes.clone(),
            stalled: self.machines[machine].disk_stalled.clone(),
            uneven: self.uneven_disks,
        });
        let network = Rc::new(MachineNetwork { machine, network_state: self.network_state.clone() });
        let state = &mut self.machines[machine];
        state.mounted = Rc::downgrade(&disk);
        let environment = Environment { network, logger: state.lines.logger() };
        let (events, received) = unbounded_channel();
        state.events = Some(events);
        let process = async move {
            // Ending the main task ends all other tasks of the process.
            LocalSet::new().run_until(run_in(environment, disk, acceptor, node, received)).await
        };
        let process = run_unless_frozen(process, state.frozen.clone(), state.thaw.clone());
        state.process = Some(spawn_local(process));
    }

    /// Kills a process; writes in progress are lost.
    pub async fn kill(&mut self, machine: usize) {
        let process = self.machines[machine].process.take().expect("the process is running");
        process.abort();
        let _ = process.await; // it was aborted
    }

    /// Whether any state of the machine's last process is still in memory.
    pub fn is_in_memory(&self, machine: usize) -> bool {
        self.machines[machine].mounted.strong_count() > 0
    }

    /// Cuts a machine's power: its connections are not closed, and unsynced data is lost.
    pub async fn lose_power(&mut self, machine: usize) {
        {
            let mut network_state = self.network_state.borrow_mut();
            network_state.powered_off.insert(machine);
            let own =
                network_state.links.iter().filter(|(one, other, _)| *one == machine || *other == machine);
            own.for_each(|(_, _, link)| link.set(true));
        }
        self.kill(machine).await;
        self.disk(machine).lose_power();
    }

    /// Commits version 2 on members 0 and 2 of three, then kills member 2 and restores its disk to version 1. Member 1 stays
    /// partitioned from both.
    pub async fn restore_disk_to_version_one(&mut self) {
        let copy = self.disk(2).snapshot();
        self.cut(0, 1, true);
        self.cut(1, 2, true);
        self.replace_config(0, 1, 2).await;
        self.kill(2).await;
        self.disk(2).restore(&copy);
    }

    /// Stalls or resumes the writes to a machine's disk.
    pub fn stall_disk(&self, machine: usize, stalled: bool) {
        self.machines[machine].disk_stalled.set(stalled);
    }

    /// An operator that calls from a separate machine.
    pub fn operator(&self) -> Operator {
        Operator::new(MachineNetwork {
            machine: OPERATOR_MACHINE,
            network_state: self.network_state.clone(),
        })
    }

    /// Configuration version on a machine's disk.
    pub fn version_on_disk(&self, machine: usize) -> Option<u64> {
        let (_, acceptor) = Rings::open(self.disk(machine).clone(), || 0).expect("it can be read");
        acceptor.accepted().map(|accepted| accepted.value.version)
    }

    /// Makes a machine's disk reject or accept leave records; other records are always accepted.
    pub fn reject_leaves(&self, machine: usize, refuses: bool) {
        self.machines[machine].rejects_leaves.set(refuses);
    }

    /// Number of leave writes to a machine's disk so far.
    pub fn leave_writes(&self, machine: usize) -> usize {
        self.machines[machine].leave_writes.get()
    }

    /// Sends an endpoint's heartbeat with this state; returns the status and the duration of the call.
    pub async fn heartbeat(&self, machine: usize, id: &str, state: &str) -> (u16, Duration) {
        let path = format!("/runtrack/instances/{id}/heartbeat");
        let body =
            format!(r#"{{"service":"llm","address":"10.0.3.1:8000","state":"{state}","callSeq":1}}"#);
        self.timed(machine, "POST", &path, "", &body).await
    }

    /// The network interface of the edge machine.
    pub fn edge_network(&self) -> Rc<dyn Network> {
        Rc::new(MachineNetwork { machine: EDGE_MACHINE, network_state: self.network_state.clone() })
    }

    /// The gossip of an agent that keeps links to the first three machines.
    pub fn agent(&self) -> Rc<Gossip> {
        let network =
            Rc::new(MachineNetwork { machine: EDGE_MACHINE, network_state: self.network_state.clone() });
        let environment = Environment { network, logger: Logger::root(slog::Discard, o!()) };
        let me = Member::new(address(EDGE_MACHINE, FIRST_PORT), 1);
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

    /// Partitions the agent from all members, or reconnects it.
    pub fn cut_agent(&self, cut: bool) {
        (0..3).for_each(|machine| self.cut(EDGE_MACHINE, machine, cut));
    }

    /// Waits until a process has terminated by itself.
    pub async fn wait_for_exit(&mut self, machine: usize) {
        let process = self.machines[machine].process.take().expect("the process is running");
        let ended = timeout(WAIT_TIMEOUT, process).await;
        ended.expect("the process exits").expect("the process does not panic");
    }

    /// A machine's disk.
    pub fn disk(&self, machine: usize) -> &Memory {
        &self.machines[machine].disk
    }

    /// Connects from the edge machine to a controller's link port.
    pub async fn dial_link(&self, machine: usize) -> Box<dyn Connection> {
        let network = MachineNetwork { machine: EDGE_MACHINE, network_state: self.network_state.clone() };
        network.connect(address(machine, FIRST_PORT).into()).await.expect("it listens")
    }

    /// Listens on a machine's link port, for a member that the test simulates.
    pub fn listen_for_links(&self, machine: usize) -> Box<dyn Listener> {
        let network = MachineNetwork { machine, network_state: self.network_state.clone() };
        network.listen(address(machine, FIRST_PORT).into()).expect("the port is free")
    }

    /// A machine's address as a member.
    pub fn link_address(&self, machine: usize) -> SocketAddrV4 {
        address(machine, FIRST_PORT)
    }

    /// Makes an HTTP call; returns the status and the duration.
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
        let status = timeout(WAIT_TIMEOUT, self.call(machine, request)).await;
        (status.expect("in time").expect("an answer"), from.elapsed())
    }

    /// Drops messages from one machine to another on existing links; new links between them are refused.
    pub fn cut_one_way(&self, from: usize, to: usize) {
        let mut network_state = self.network_state.borrow_mut();
        network_state.cut.insert(pair(from, to));
        let muted =
            network_state.one_way_cuts.iter().filter(|(one, other, _)| (*one, *other) == (from, to));
        muted.for_each(|(_, _, outbound_cut)| outbound_cut.set(true));
    }

    /// Makes an HTTP call from a machine that is not a member; returns the status, or `None` without a response.
    async fn call(&self, machine: usize, request: String) -> Option<u16> {
        let answer = self.answer(machine, request).await?;
        answer.split(' ').nth(1)?.parse().ok()
    }

    /// Makes an HTTP call; returns the complete response, or `None` without one.
    async fn answer(&self, machine: usize, request: String) -> Option<String> {
        let network =
            MachineNetwork { machine: OPERATOR_MACHINE, network_state: self.network_state.clone() };
        let mut connection = network.connect(address(machine, CONTROL).into()).await.ok()?;
        connection.write_all(request.as_bytes()).await.ok()?;
        let mut answer = String::new();
        connection.read_to_string(&mut answer).await.ok()?;
        Some(answer)
    }

    /// Reads the configuration; returns the status and the version, 0 without a configuration. `None` if the process ends before
    /// it responds.
    pub async fn read(&self, machine: usize) -> Option<(u16, u64)> {
        let request = "GET /runtrack/config/read HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = self.answer(machine, request.to_owned()).await?;
        let status = answer.split(' ').nth(1)?.parse().ok()?;
        let version = answer.split_once("\"version\":").map(|(_, rest)| rest);
        let version = version.and_then(|rest| rest.split(',').next()?.parse().ok());
        Some((status, version.unwrap_or(0)))
    }

    /// Number of writes started on all disks so far.
    pub fn writes(&self) -> u64 {
        self.machines.iter().map(|machine| machine.disk_writes.get()).sum()
    }

    /// Repeats a configuration change until it is acknowledged.
    pub async fn replace_config(&self, machine: usize, base: u64, version: u64) {
        assert_eq!(self.definite_status(machine, base, version, WAIT_TIMEOUT).await, Some(200));
    }

    /// Repeats a configuration change until the response is definite; `None` if there is no such response in time.
    pub async fn definite_status(
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

    /// Sets the duration of each write to a machine's disk.
    pub fn slow_disk(&self, machine: usize, delay: Duration) {
        self.machines[machine].disk_delay.set(delay);
    }

    /// Cuts or restores the connection between two machines.
    pub fn cut(&self, one: usize, other: usize, cut: bool) {
        let ends = pair(one, other);
        let mut network_state = self.network_state.borrow_mut();
        if cut {
            network_state.cut.insert(ends)
        } else {
            network_state.cut.remove(&ends)
        };
        network_state
            .links
            .iter()
            .filter(|(a, b, _)| (*a, *b) == ends)
            .for_each(|(_, _, link)| link.set(true));
    }

    /// Makes some disk writes of processes started from now on take up to 32 times as long.
    pub fn make_disks_uneven(&mut self) {
        self.uneven_disks = true;
    }

    /// Freezes or resumes a process. Its clock continues meanwhile.
    pub fn freeze(&self, machine: usize, frozen: bool) {
        let state = &self.machines[machine];
        state.frozen.set(frozen);
        if let Some(waker) = state.thaw.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits until a process logs this event with `with` in the line, after the events that were waited for before.
    pub async fn wait_for_event(&mut self, machine: usize, event: &str, with: &str) {
        let found = timeout(WAIT_TIMEOUT, self.find(machine, event, with)).await;
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
            state.lines.appended.notified().await;
        }
    }

    /// All log lines of this event from a process.
    pub fn lines(&self, machine: usize, event: &str) -> Vec<String> {
        let event = format!("\"event\":\"{event}\"");
        self.machines[machine].lines.all().into_iter().filter(|line| line.contains(&event)).collect()
    }
}

/// Polls a process's future while it is not frozen.
async fn run_unless_frozen(
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

/// Whether a scenario fails with this mutant, that is, detects it.
pub fn detects_mutant(mutant: &str, scenario: impl FnOnce()) -> bool {
    set_mutant(Some(mutant));
    let found = catch_unwind(AssertUnwindSafe(scenario)).is_err();
    set_mutant(None);
    found
}
