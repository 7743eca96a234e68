//! Links between processes: a listener of the rig's stands before each process, and what goes through it is held, late,
//! slow, reset or refused, by who connects and in which direction.

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

/// Bytes read at once.
const CHUNK: usize = 16 << 10;
/// Chunks on their way in one direction: beyond them the sender's own window fills, as on a real link.
const ON_THE_WAY: usize = 64;

/// How one direction stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Way {
    /// Nothing gets through.
    pub held: bool,
    /// All is late by this, and up to as much more.
    pub late: Duration,
    /// Bytes a second; 0: as fast as it goes.
    pub rate: u32,
}

/// How a link stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rule {
    /// What the one that connects sends.
    pub there: Way,
    /// What comes back.
    pub back: Way,
    /// Connections end at once.
    pub refused: bool,
    /// Raised by one: connections that stand are reset.
    pub resets: u32,
}

type Pair = (String, String);

/// What the first bytes of a connection say.
pub enum Greeting {
    /// More of them are needed.
    Incomplete,
    /// Who connects.
    From(String),
    /// They are none that this project's processes send.
    Malformed,
}

/// All links of a round.
#[derive(Clone, Default)]
pub struct Links {
    rules: Arc<Mutex<BTreeMap<Pair, watch::Sender<Rule>>>>,
    /// Processes by their ids, to tell who connects.
    names: Arc<Mutex<BTreeMap<u32, String>>>,
    /// Bytes that went through, in all.
    bytes: Arc<AtomicU64>,
}

pub(crate) fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Links {
    /// Names a process.
    pub fn name(&self, pid: u32, name: &str) {
        locked(&self.names).insert(pid, name.to_owned());
    }

    /// Changes how a link stands.
    pub fn set(&self, from: &str, to: &str, change: impl FnOnce(&mut Rule)) {
        let mut rules = locked(&self.rules);
        rules.entry((from.to_owned(), to.to_owned())).or_default().send_modify(change);
    }

    /// Bytes that went through any of them so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Opens all links.
    pub fn heal(&self) {
        for rule in locked(&self.rules).values() {
            rule.send_modify(|rule| *rule = Rule { resets: rule.resets, ..Rule::default() });
        }
    }

    fn rule(&self, from: &str, to: &str) -> watch::Receiver<Rule> {
        locked(&self.rules).entry((from.to_owned(), to.to_owned())).or_default().subscribe()
    }

    /// Who holds the other end of a connection; empty for one that is not named.
    fn who(&self, peer: SocketAddr, me: SocketAddr) -> String {
        let names = locked(&self.names).clone();
        let Some(inode) = inode(peer, me) else { return String::new() };
        let holds = |pid: &u32| {
            let open = std::fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten().flatten();
            let wanted = format!("socket:[{inode}]");
            open.filter_map(|file| std::fs::read_link(file.path()).ok())
                .any(|to| to.as_os_str() == wanted.as_str())
        };
        names.iter().find(|(pid, _)| holds(pid)).map(|(_, name)| name.clone()).unwrap_or_default()
    }

    /// Stands before a process: what connects to `at` reaches it at `behind`. Ends with what is returned.
    pub async fn stand_before(
        &self,
        to: &str,
        at: SocketAddr,
        behind: SocketAddr,
    ) -> io::Result<JoinSet<()>> {
        let (links, to) = (self.clone(), to.to_owned());
        let whose = move |peer, me| (links.who(peer, me), to.clone());
        let links = self.clone();
        let target = watch::Sender::new(behind);
        listen(at, self.bytes.clone(), move |peer, me| links.rule_of(whose(peer, me)), target.subscribe())
            .await
            .map(|mut tasks| {
                tasks.spawn(async move { target.closed().await });
                tasks
            })
    }

    /// Stands before a process as [`Links::stand_before`] does, and tells by the first bytes of a connection who connects:
    /// its kernel's table need not be searched, which takes long on a machine with many connections.
    pub async fn stand_before_greeted(
        &self,
        to: &str,
        at: SocketAddr,
        behind: SocketAddr,
        greeting: fn(&[u8]) -> Greeting,
    ) -> io::Result<JoinSet<()>> {
        let (links, to, target) = (self.clone(), to.to_owned(), watch::Sender::new(behind));
        let listener = TcpListener::bind(at).await?;
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (links, to, target) = (links.clone(), to.clone(), target.subscribe());
                connections.spawn(async move {
                    if let Some((stream, from, first)) = greeted(stream, greeting).await {
                        carry(stream, links.rule(&from, &to), target, links.bytes.clone(), first).await;
                    }
                });
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(tasks)
    }

    fn rule_of(&self, (from, to): Pair) -> watch::Receiver<Rule> {
        self.rule(&from, &to)
    }

    /// A link of one that connects always here, to whatever the receiver names at that time.
    pub async fn lead(
        &self,
        from: &str,
        to: &str,
        at: SocketAddr,
        target: watch::Receiver<SocketAddr>,
    ) -> io::Result<JoinSet<()>> {
        let rule = self.rule(from, to);
        listen(at, self.bytes.clone(), move |_, _| rule.clone(), target).await
    }
}

/// The inode of the socket at the other end of a connection on this machine.
fn inode(peer: SocketAddr, me: SocketAddr) -> Option<u64> {
    let hex = |at: SocketAddr| match at {
        SocketAddr::V4(at) => format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port()),
        SocketAddr::V6(_) => String::new(), // the rig's addresses are IPv4
    };
    let (local, remote) = (hex(peer), hex(me));
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().skip(1).find_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let there = fields.next() == Some(&local) && fields.next() == Some(&remote);
        // State, queues, timer, retransmissions, uid, time-out, inode.
        if there { fields.nth(6).and_then(|inode| inode.parse().ok()) } else { None }
    })
}

/// Reads who connects; gives the bytes that were read for it too.
async fn greeted(
    mut stream: TcpStream,
    greeting: fn(&[u8]) -> Greeting,
) -> Option<(TcpStream, String, Vec<u8>)> {
    let mut first = Vec::new();
    loop {
        match greeting(&first) {
            Greeting::From(name) => return Some((stream, name, first)),
            Greeting::Malformed => return None,
            Greeting::Incomplete if stream.read_buf(&mut first).await.ok()? == 0 => return None,
            Greeting::Incomplete => {}
        }
    }
}

async fn listen(
    at: SocketAddr,
    bytes: Arc<AtomicU64>,
    rule: impl Fn(SocketAddr, SocketAddr) -> watch::Receiver<Rule> + Send + 'static,
    target: watch::Receiver<SocketAddr>,
) -> io::Result<JoinSet<()>> {
    let listener = TcpListener::bind(at).await?;
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, peer)) = listener.accept().await {
            let Ok(me) = stream.local_addr() else { continue };
            connections.spawn(carry(stream, rule(peer, me), target.clone(), bytes.clone(), Vec::new()));
            while connections.try_join_next().is_some() {}
        }
    });
    Ok(tasks)
}

/// Closes a connection by a reset.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn carry(
    near: TcpStream,
    mut rule: watch::Receiver<Rule>,
    mut target: watch::Receiver<SocketAddr>,
    bytes: Arc<AtomicU64>,
    first: Vec<u8>,
) {
    let began = rule.borrow_and_update().resets;
    let over = |rule: &Rule| rule.refused || rule.resets != began;
    // A connection that hangs reaches nobody until the link is open.
    let open = rule.wait_for(|rule| over(rule) || !(rule.there.held && rule.back.held)).await;
    let refused = open.map_or(true, |rule| over(&rule));
    let to = *target.borrow_and_update();
    let far = if refused { None } else { TcpStream::connect(to).await.ok() };
    let Some(far) = far else { return reset(&near) };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    // They end by a reset, whichever end drops last.
    if let (Ok(near_again), Ok(far_again)) = (again(&near), again(&far)) {
        let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
        let mut pumps = JoinSet::new();
        pumps.spawn(pump(near_in, far_out, rule.clone(), |rule| rule.there, bytes.clone(), first));
        pumps.spawn(pump(far_in, near_out, rule.clone(), |rule| rule.back, bytes, Vec::new()));
        let both = async { while pumps.join_next().await.is_some() {} };
        tokio::select! {
            () = both => {}
            _ = rule.wait_for(over) => (near_again.kill(), far_again.kill()).0,
            _ = target.changed() => (near_again.kill(), far_again.kill()).0,
        }
    }
}

/// A second hold on a connection, to reset it while its halves are in use.
struct Again(socket2::Socket);

fn again(stream: &TcpStream) -> io::Result<Again> {
    SockRef::from(stream).try_clone().map(Again)
}

impl Again {
    fn kill(&self) {
        let _ = self.0.set_linger(Some(Duration::ZERO));
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut rule: watch::Receiver<Rule>,
    way: fn(&Rule) -> Way,
    through: Arc<AtomicU64>,
    first: Vec<u8>,
) {
    let (give, mut take) = mpsc::channel::<(Instant, Vec<u8>)>(ON_THE_WAY);
    let mut draws = Pcg32::seed_from_u64(7);
    let mut clock = rule.clone();
    let read = async move {
        let mut due = Instant::now();
        through.fetch_add(first.len() as u64, Ordering::Relaxed);
        if give.send((due, first)).await.is_err() {
            return;
        }
        loop {
            let mut bytes = vec![0; CHUNK];
            match from.read(&mut bytes).await {
                Ok(n) if n > 0 => bytes.truncate(n),
                _ => return,
            }
            through.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            let Way { late, rate, .. } = way(&clock.borrow_and_update());
            let spread = late.mul_f64(f64::from(draws.next_u32()) / f64::from(u32::MAX));
            // Bytes stay in order, and take their time on a slow link.
            let takes = match rate {
                0 => Duration::ZERO,
                rate => Duration::from_secs_f64(bytes.len() as f64 / f64::from(rate)),
            };
            due = due.max(Instant::now() + late + spread) + takes;
            if give.send((due, bytes)).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, bytes)) = take.recv().await {
            sleep_until(due).await;
            if rule.wait_for(|rule| !way(rule).held).await.is_err() || to.write_all(&bytes).await.is_err() {
                return;
            }
        }
        // An end is held like all else.
        if rule.wait_for(|rule| !way(rule).held).await.is_ok() {
            let _ = to.shutdown().await;
        }
    };
    tokio::join!(read, write);
}

/// Holds a link and opens it again so often a second, for as long as it is polled.
pub async fn flap(links: &Links, pairs: &[(String, String)], times: u32) {
    let half = Duration::from_secs(1) / (2 * times.max(1));
    loop {
        for held in [true, false] {
            for (from, to) in pairs {
                links.set(from, to, |rule| (rule.there.held, rule.back.held) = (held, held));
            }
            sleep(half).await;
        }
    }
}
