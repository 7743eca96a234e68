//! TCP links between processes. The rig listens in front of each process and forwards connections; it can block,
//! delay, throttle, reset or refuse them per source process and direction.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Bytes per read.
const CHUNK_BYTES: usize = 16 << 10;
/// Chunks in flight in one direction. When the queue is full, the sender's TCP window fills as on a real link.
const MAX_CHUNKS_IN_FLIGHT: usize = 64;

/// State of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectionState {
    /// No data is delivered.
    pub blocked: bool,
    /// Minimum delay; a random jitter of up to the same length is added.
    pub delay: Duration,
    /// Throughput in bytes per second; 0: unlimited.
    pub bytes_per_s: u32,
}

/// State of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// Data from the process that opened the connection.
    pub to_target: DirectionState,
    /// Data to the process that opened the connection.
    pub to_source: DirectionState,
    /// New and existing connections are reset.
    pub refused: bool,
    /// Each increment resets the existing connections once.
    pub resets: u32,
}

type Pair = (String, String);

/// What the first bytes of a connection reveal about its source.
pub enum Handshake {
    /// More bytes are needed.
    Incomplete,
    /// Name of the process that connects.
    From(String),
    /// The bytes are no handshake of this project.
    Malformed,
}

/// All links of a round.
#[derive(Clone, Default)]
pub struct Links {
    states: Arc<Mutex<BTreeMap<Pair, watch::Sender<LinkState>>>>,
    /// Names of processes by process id, to identify the source of a connection.
    names: Arc<Mutex<BTreeMap<u32, String>>>,
    /// Total of forwarded bytes.
    bytes: Arc<AtomicU64>,
}

pub(crate) fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Links {
    /// Registers the name of a process.
    pub fn name(&self, pid: u32, name: &str) {
        locked(&self.names).insert(pid, name.to_owned());
    }

    /// Changes the state of a link.
    pub fn set(&self, from: &str, to: &str, change: impl FnOnce(&mut LinkState)) {
        let mut states = locked(&self.states);
        states.entry((from.to_owned(), to.to_owned())).or_default().send_modify(change);
    }

    /// Total of bytes forwarded by all links.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Removes all faults from all links.
    pub fn heal(&self) {
        for state in locked(&self.states).values() {
            state.send_modify(|state| *state = LinkState { resets: state.resets, ..LinkState::default() });
        }
    }

    fn state(&self, from: &str, to: &str) -> watch::Receiver<LinkState> {
        locked(&self.states).entry((from.to_owned(), to.to_owned())).or_default().subscribe()
    }

    /// Name of the process at the other end of a connection; empty if it is not registered.
    fn peer_name(&self, peer: SocketAddr, me: SocketAddr) -> String {
        let names = locked(&self.names).clone();
        let Some(inode) = socket_inode(peer, me) else { return String::new() };
        let holds = |pid: &u32| {
            let open = std::fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten().flatten();
            let wanted = format!("socket:[{inode}]");
            open.filter_map(|file| std::fs::read_link(file.path()).ok())
                .any(|to| to.as_os_str() == wanted.as_str())
        };
        names.iter().find(|(pid, _)| holds(pid)).map(|(_, name)| name.clone()).unwrap_or_default()
    }

    /// Listens at `at` and forwards connections to `target_address`, under the link state of the connecting process
    /// and `to`. Stops when the returned tasks are dropped.
    pub async fn intercept(
        &self,
        to: &str,
        at: SocketAddr,
        target_address: SocketAddr,
    ) -> io::Result<JoinSet<()>> {
        let (links, to) = (self.clone(), to.to_owned());
        let link_id = move |peer, me| (links.peer_name(peer, me), to.clone());
        let links = self.clone();
        let target = watch::Sender::new(target_address);
        listen(
            at,
            self.bytes.clone(),
            move |peer, me| links.state_of(link_id(peer, me)),
            target.subscribe(),
        )
        .await
        .map(|mut tasks| {
            tasks.spawn(async move { target.closed().await });
            tasks
        })
    }

    /// Like [`Links::intercept`], but identifies the source by the first bytes of a connection. Searching the kernel's
    /// socket table takes long on a machine with many connections.
    pub async fn intercept_identified(
        &self,
        to: &str,
        at: SocketAddr,
        target_address: SocketAddr,
        parse_handshake: fn(&[u8]) -> Handshake,
    ) -> io::Result<JoinSet<()>> {
        let (links, to, target) = (self.clone(), to.to_owned(), watch::Sender::new(target_address));
        let listener = TcpListener::bind(at).await?;
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (links, to, target) = (links.clone(), to.clone(), target.subscribe());
                connections.spawn(async move {
                    if let Some((stream, from, first)) = identify_peer(stream, parse_handshake).await {
                        forward_connection(
                            stream,
                            links.state(&from, &to),
                            target,
                            links.bytes.clone(),
                            first,
                        )
                        .await;
                    }
                });
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(tasks)
    }

    fn state_of(&self, (from, to): Pair) -> watch::Receiver<LinkState> {
        self.state(&from, &to)
    }

    /// Forwards connections of one source to the address that `target` holds when they are opened; existing ones are
    /// reset when it changes.
    pub async fn intercept_routed(
        &self,
        from: &str,
        to: &str,
        at: SocketAddr,
        target: watch::Receiver<SocketAddr>,
    ) -> io::Result<JoinSet<()>> {
        let state = self.state(from, to);
        listen(at, self.bytes.clone(), move |_, _| state.clone(), target).await
    }
}

/// Inode of the socket at the other end of a local connection.
fn socket_inode(peer: SocketAddr, me: SocketAddr) -> Option<u64> {
    let hex = |at: SocketAddr| match at {
        SocketAddr::V4(at) => format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port()),
        SocketAddr::V6(_) => String::new(), // the rig uses IPv4 only
    };
    let (local, remote) = (hex(peer), hex(me));
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().skip(1).find_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let there = fields.next() == Some(&local) && fields.next() == Some(&remote);
        // Skipped fields: state, queues, timer, retransmissions, uid, time-out; then the inode.
        if there { fields.nth(6).and_then(|inode| inode.parse().ok()) } else { None }
    })
}

/// Reads until the source is identified; returns the bytes that were read as well.
async fn identify_peer(
    mut stream: TcpStream,
    parse_handshake: fn(&[u8]) -> Handshake,
) -> Option<(TcpStream, String, Vec<u8>)> {
    let mut first = Vec::new();
    loop {
        match parse_handshake(&first) {
            Handshake::From(name) => return Some((stream, name, first)),
            Handshake::Malformed => return None,
            Handshake::Incomplete if stream.read_buf(&mut first).await.ok()? == 0 => return None,
            Handshake::Incomplete => {}
        }
    }
}

async fn listen(
    at: SocketAddr,
    bytes: Arc<AtomicU64>,
    state: impl Fn(SocketAddr, SocketAddr) -> watch::Receiver<LinkState> + Send + 'static,
    target: watch::Receiver<SocketAddr>,
) -> io::Result<JoinSet<()>> {
    let listener = TcpListener::bind(at).await?;
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, peer)) = listener.accept().await {
            let Ok(me) = stream.local_addr() else { continue };
            connections.spawn(forward_connection(
                stream,
                state(peer, me),
                target.clone(),
                bytes.clone(),
                Vec::new(),
            ));
            while connections.try_join_next().is_some() {}
        }
    });
    Ok(tasks)
}

/// Makes closing the stream send a reset.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn forward_connection(
    source: TcpStream,
    mut state: watch::Receiver<LinkState>,
    mut target: watch::Receiver<SocketAddr>,
    bytes: Arc<AtomicU64>,
    first: Vec<u8>,
) {
    let initial_resets = state.borrow_and_update().resets;
    let is_closed = |state: &LinkState| state.refused || state.resets != initial_resets;
    // While both directions are blocked, a new connection is accepted but not forwarded.
    let open = state
        .wait_for(|state| is_closed(state) || !(state.to_target.blocked && state.to_source.blocked))
        .await;
    let refused = open.map_or(true, |state| is_closed(&state));
    let to = *target.borrow_and_update();
    let target_stream = if refused { None } else { TcpStream::connect(to).await.ok() };
    let Some(target_stream) = target_stream else { return reset(&source) };
    let _ = (source.set_nodelay(true), target_stream.set_nodelay(true));
    // Both connections are reset, whichever half is dropped last.
    if let (Ok(source_handle), Ok(target_handle)) = (duplicate(&source), duplicate(&target_stream)) {
        let ((source_in, source_out), (target_in, target_out)) =
            (source.into_split(), target_stream.into_split());
        let mut directions = JoinSet::new();
        directions.spawn(forward_direction(
            source_in,
            target_out,
            state.clone(),
            |state| state.to_target,
            bytes.clone(),
            first,
        ));
        directions.spawn(forward_direction(
            target_in,
            source_out,
            state.clone(),
            |state| state.to_source,
            bytes,
            Vec::new(),
        ));
        let both = async { while directions.join_next().await.is_some() {} };
        tokio::select! {
            () = both => {}
            _ = state.wait_for(is_closed) => (source_handle.reset_on_close(), target_handle.reset_on_close()).0,
            _ = target.changed() => (source_handle.reset_on_close(), target_handle.reset_on_close()).0,
        }
    }
}

/// A duplicate of a connection's socket, to reset it while its halves are in use.
struct SocketHandle(socket2::Socket);

fn duplicate(stream: &TcpStream) -> io::Result<SocketHandle> {
    SockRef::from(stream).try_clone().map(SocketHandle)
}

impl SocketHandle {
    fn reset_on_close(&self) {
        let _ = self.0.set_linger(Some(Duration::ZERO));
    }
}

async fn forward_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    direction: fn(&LinkState) -> DirectionState,
    forwarded_bytes: Arc<AtomicU64>,
    first: Vec<u8>,
) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_CHUNKS_IN_FLIGHT);
    let mut rng = Pcg32::seed_from_u64(7);
    let mut clock = state.clone();
    let read = async move {
        let mut due = Instant::now();
        forwarded_bytes.fetch_add(first.len() as u64, Ordering::Relaxed);
        if sender.send((due, first)).await.is_err() {
            return;
        }
        loop {
            let mut bytes = vec![0; CHUNK_BYTES];
            match from.read(&mut bytes).await {
                Ok(n) if n > 0 => bytes.truncate(n),
                _ => return,
            }
            forwarded_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            let DirectionState { delay, bytes_per_s, .. } = direction(&clock.borrow_and_update());
            let jitter = delay.mul_f64(f64::from(rng.next_u32()) / f64::from(u32::MAX));
            // Chunks stay in order, and each takes its transfer time on a throttled link.
            let transfer_time = match bytes_per_s {
                0 => Duration::ZERO,
                bytes_per_s => Duration::from_secs_f64(bytes.len() as f64 / f64::from(bytes_per_s)),
            };
            due = due.max(Instant::now() + delay + jitter) + transfer_time;
            if sender.send((due, bytes)).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, bytes)) = receiver.recv().await {
            sleep_until(due).await;
            if state.wait_for(|state| !direction(state).blocked).await.is_err()
                || to.write_all(&bytes).await.is_err()
            {
                return;
            }
        }
        // A blocked direction also blocks the end of the stream.
        if state.wait_for(|state| !direction(state).blocked).await.is_ok() {
            let _ = to.shutdown().await;
        }
    };
    tokio::join!(read, write);
}

/// Blocks and unblocks links so many times per second until it is dropped.
pub async fn flap(links: &Links, pairs: &[(String, String)], per_second: u32) {
    let half = Duration::from_secs(1) / (2 * per_second.max(1));
    loop {
        for blocked in [true, false] {
            for (from, to) in pairs {
                links.set(from, to, |state| {
                    (state.to_target.blocked, state.to_source.blocked) = (blocked, blocked)
                });
            }
            sleep(half).await;
        }
    }
}
