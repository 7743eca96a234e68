//! Byte streams between hosts, on tokio's paused clock: latency, short reads and writes, back-pressure, resets,
//! half-closes, refusals, and windows in which a way is stalled or a machine is silent.
//!
//! What happens when is decided when bytes are written: a segment gets its time of arrival, which is never before that
//! of the one in front of it. Every draw comes from the connection's own generator, so that one connection's fate
//! does not change another's.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use runtrack_net::{Connecting, Connection, Listener, Network, PeekStatus};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep_until};

/// Bytes that may be on the way and unread: then a writer waits.
const WINDOW: usize = 64 * 1024;
/// A lost packet is sent again after this at first.
const RETRANSMIT: Duration = Duration::from_millis(200);

/// What is wrong with the network between two moments.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NetFault {
    /// What one host sends to the other arrives after the window.
    Stalled(IpAddr, IpAddr),
    /// The machine is gone: what is sent to it or by it is lost, and its connections are reset when it is back.
    Silent(IpAddr),
    /// New connections to this host hang until the window ends.
    Hangs(IpAddr),
    /// New connections to this host come up this much late.
    Late(IpAddr, Duration),
    /// All that this host sends and gets takes so much longer.
    Slow(IpAddr, Duration),
    /// So many of 100 packets of this host are lost, and come when they are sent again.
    Lossy(IpAddr, u32),
}

#[derive(Clone, Copy, Debug)]
struct Window {
    trouble: NetFault,
    from: Instant,
    until: Instant,
}

#[derive(Debug)]
enum Segment {
    Data(Vec<u8>),
    End,
    Reset,
}

#[derive(Default)]
struct Pipe {
    /// In the order of their arrival.
    segments: VecDeque<(Instant, Segment)>,
    /// Bytes in them.
    bytes: usize,
    /// Bytes ever written, and ever read before the reader ended its own side.
    written: u64,
    read: u64,
    /// When each byte that was written last of a write was written, and will arrive: by the offset behind it.
    times: VecDeque<(u64, Instant, Instant)>,
    reader: Option<Waker>,
    writer: Option<Waker>,
    /// The writer has ended it.
    ended: bool,
}

impl Pipe {
    fn push(&mut self, at: Instant, segment: Segment) {
        let at = self.segments.back().map_or(at, |(last, _)| at.max(*last));
        if let Segment::Data(bytes) = &segment {
            self.bytes += bytes.len();
        }
        self.segments.push_back((at, segment));
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }
}

struct Link {
    hosts: [IpAddr; 2],
    /// `pipes[n]` is what side n writes.
    pipes: [Pipe; 2],
    /// Sides that have closed.
    gone: [bool; 2],
    /// A machine was silent while bytes were on the way: nothing arrives any more.
    cut: bool,
    draws: Pcg32,
}

#[derive(Default)]
struct Port {
    /// Links that have come, in their order.
    waiting: VecDeque<u64>,
    waker: Option<Waker>,
}

/// What is noted of bytes by those who look on.
pub trait WriteObserver {
    /// A host that is looked on wrote these bytes to another one on a connection.
    fn on_write(&mut self, link: u64, from: IpAddr, to: IpAddr, bytes: &[u8], now: Instant);
}

struct State {
    start: Instant,
    seed: u64,
    /// One way between two hosts, at least and at most.
    latency: (Duration, Duration),
    /// Of 100 reads and writes, how many are short.
    split: u32,
    links: BTreeMap<u64, Link>,
    next: u64,
    ports: BTreeMap<SocketAddr, Port>,
    windows: Vec<Window>,
    tapped: Option<(Vec<IpAddr>, Box<dyn WriteObserver>)>,
    /// Every write, arrival of an end and reset, hashed in order.
    hash: u64,
    /// What happened, in words, if wanted.
    lines: Option<Vec<(Instant, String)>>,
}

/// The network.
#[derive(Clone)]
pub struct VirtualNetwork(Rc<RefCell<State>>);

/// FNV-1a, going on from a hash.
pub(crate) fn fnv1a(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

impl State {
    fn note(&mut self, link: u64, side: usize, what: &str, count: usize) {
        let now = Instant::now();
        self.hash = fnv1a(self.hash, &now.duration_since(self.start).as_micros().to_le_bytes());
        self.hash = fnv1a(self.hash, &link.to_le_bytes());
        self.hash = fnv1a(self.hash, &[side as u8]);
        self.hash = fnv1a(self.hash, what.as_bytes());
        self.hash = fnv1a(self.hash, &(count as u64).to_le_bytes());
        if let Some(lines) = &mut self.lines
            && let Some(Link { hosts, .. }) = self.links.get(&link)
        {
            let line = format!("{} -> {} #{link} {what} {count}", hosts[side], hosts[1 - side]);
            lines.push((now, line));
        }
    }

    /// When what is sent now arrives; none: never.
    fn arrival(&mut self, from: IpAddr, to: IpAddr, draw: u32) -> Option<Instant> {
        let now = Instant::now();
        let silent = |at: Instant| {
            self.windows.iter().any(|window| {
                let gone = matches!(window.trouble, NetFault::Silent(host) if host == from || host == to);
                gone && window.from <= at && at < window.until
            })
        };
        if silent(now) {
            return None;
        }
        let stalls = self.windows.iter().filter(|window| window.trouble == NetFault::Stalled(from, to));
        let begin =
            stalls.filter(|window| window.from <= now).map(|window| window.until).fold(now, Instant::max);
        let (least, most) = self.latency;
        let extra = (most - least).mul_f64(f64::from(draw) / f64::from(u32::MAX));
        let at = begin + least + extra + self.delay(from, to, draw);
        (!silent(at)).then_some(at)
    }

    /// How much longer it takes by slow links, and by packets that are sent again.
    fn delay(&self, from: IpAddr, to: IpAddr, draw: u32) -> Duration {
        let now = Instant::now();
        let running = self.windows.iter().filter(|window| window.from <= now && now < window.until);
        let delays = running.map(|window| match window.trouble {
            NetFault::Slow(host, by) if host == from || host == to => by,
            NetFault::Lossy(host, percent) if host == from || host == to => {
                // The timer for sending again doubles each time.
                let lost = [draw >> 3, draw >> 11, draw >> 19].map(|draw| draw % 100 < percent);
                match lost {
                    [true, true, true] => RETRANSMIT * 7,
                    [true, true, false] => RETRANSMIT * 3,
                    [true, false, _] => RETRANSMIT,
                    [false, _, _] => Duration::ZERO,
                }
            }
            _ => Duration::ZERO,
        });
        delays.sum()
    }

    /// When a silent machine of two is back, if one is silent now.
    fn back(&self, hosts: [IpAddr; 2]) -> Option<Instant> {
        let now = Instant::now();
        let silent = self.windows.iter().filter(|window| {
            matches!(window.trouble, NetFault::Silent(host) if hosts.contains(&host))
                && window.from <= now
                && now < window.until
        });
        silent.map(|window| window.until).max()
    }

    fn links_of(&self, host: IpAddr) -> Vec<u64> {
        self.links
            .iter()
            .filter(|(_, link)| link.hosts.contains(&host))
            .map(|(number, _)| *number)
            .collect()
    }

    fn reset(&mut self, number: u64) {
        let now = Instant::now();
        if let Some(link) = self.links.get_mut(&number) {
            for pipe in &mut link.pipes {
                pipe.push(now, Segment::Reset);
                pipe.ended = true;
                if let Some(waker) = pipe.writer.take() {
                    waker.wake();
                }
            }
        }
        self.note(number, 0, "reset", 0);
    }

    /// Sends a segment of one side.
    fn send(&mut self, number: u64, side: usize, segment: Segment) {
        let Some(link) = self.links.get_mut(&number) else { return };
        let (hosts, draw) = (link.hosts, link.draws.next_u32());
        let cut = link.cut;
        let at = self.arrival(hosts[side], hosts[1 - side], draw);
        let Some(link) = self.links.get_mut(&number) else { return };
        let now = Instant::now();
        if let Segment::Data(bytes) = &segment {
            let pipe = &mut link.pipes[side];
            pipe.written += bytes.len() as u64;
            let never = now + Duration::from_secs(1 << 30);
            pipe.times.push_back((pipe.written, now, at.filter(|_| !cut).unwrap_or(never)));
        }
        match at {
            // The machine that answers knows of no such connection any more.
            Some(at) if cut => link.pipes[1 - side].push(at, Segment::Reset),
            Some(at) if link.gone[1 - side] => {
                if matches!(segment, Segment::Data(_)) {
                    link.pipes[1 - side].push(at, Segment::Reset);
                }
            }
            Some(at) => link.pipes[side].push(at, segment),
            None => link.cut = true,
        }
    }
}

impl VirtualNetwork {
    /// A network of this latency one way, with so many of 100 reads and writes short.
    pub fn new(seed: u64, latency: (Duration, Duration), split: u32, lines: bool) -> VirtualNetwork {
        VirtualNetwork(Rc::new(RefCell::new(State {
            start: Instant::now(),
            seed,
            latency,
            split,
            links: BTreeMap::new(),
            next: 0,
            ports: BTreeMap::new(),
            windows: Vec::new(),
            tapped: None,
            hash: 0xcbf2_9ce4_8422_2325,
            lines: lines.then(Vec::new),
        })))
    }

    /// Has something go wrong from one moment to another.
    pub fn add_fault(&self, trouble: NetFault, from: Instant, until: Instant) {
        self.0.borrow_mut().windows.push(Window { trouble, from, until });
    }

    /// Looks on at what these hosts write.
    pub fn observe_writes(&self, hosts: Vec<IpAddr>, tap: Box<dyn WriteObserver>) {
        self.0.borrow_mut().tapped = Some((hosts, tap));
    }

    /// The network as a host sees it.
    pub fn host(&self, host: IpAddr) -> Rc<dyn Network> {
        Rc::new(Host { wires: self.clone(), host })
    }

    /// Resets all connections of a host: its process has died. Its ports no longer listen.
    pub fn process_died(&self, host: IpAddr) {
        let mut state = self.0.borrow_mut();
        state.ports.retain(|at, _| at.ip() != host);
        for number in state.links_of(host) {
            state.reset(number);
            if let Some(link) = state.links.get_mut(&number) {
                (0..2).filter(|side| link.hosts[*side] == host).for_each(|side| link.gone[side] = true);
            }
        }
    }

    /// A host has lost power: what is sent to it finds nobody who knows of the connection.
    pub fn lost_power(&self, host: IpAddr) {
        let mut state = self.0.borrow_mut();
        state.ports.retain(|at, _| at.ip() != host);
        for number in state.links_of(host) {
            if let Some(link) = state.links.get_mut(&number) {
                link.cut = true;
            }
        }
    }

    /// Resets the connections of a host, which goes on.
    pub fn reset_connections(&self, host: IpAddr) {
        let mut state = self.0.borrow_mut();
        for number in state.links_of(host) {
            state.reset(number);
        }
    }

    /// When the byte before an offset was written by a side, and when it arrives at the other machine.
    pub fn write_times(&self, link: u64, side: usize, offset: u64) -> Option<(Instant, Instant)> {
        let state = self.0.borrow();
        let times = &state.links.get(&link)?.pipes[side].times;
        times.iter().find(|(end, ..)| *end >= offset).map(|(_, wrote, arrives)| (*wrote, *arrives))
    }

    /// How much of what a side wrote the other one has read before it ended its own side: what is read after that is
    /// thrown away (lingering close), and a client may send it again.
    pub fn bytes_read(&self, link: u64, side: usize) -> u64 {
        self.0.borrow().links.get(&link).map_or(0, |link| link.pipes[side].read)
    }

    /// Connections of a host that it has not closed.
    pub fn open_connections(&self, host: IpAddr) -> usize {
        let state = self.0.borrow();
        let open = |link: &&Link| (0..2).any(|side| link.hosts[side] == host && !link.gone[side]);
        state.links.values().filter(open).count()
    }

    /// What all writes, ends and resets hash to, in their order.
    pub fn hash(&self) -> u64 {
        self.0.borrow().hash
    }

    /// What happened, in words.
    pub fn lines(&self) -> Vec<(Instant, String)> {
        self.0.borrow().lines.clone().unwrap_or_default()
    }

    /// Connects, as a stream that tells more than a connection does.
    pub async fn connect(&self, from: IpAddr, to: SocketAddr) -> io::Result<Stream> {
        let (hosts, hangs) = ([from, to.ip()], NetFault::Hangs(to.ip()));
        let (asked, number) = {
            let mut state = self.0.borrow_mut();
            let number = state.next;
            state.next += 1;
            let mut draws = Pcg32::seed_from_u64(state.seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let draw = draws.next_u32();
            let asked = state.arrival(from, to.ip(), draw);
            let link = Link { hosts, pipes: Default::default(), gone: [false, true], cut: false, draws };
            state.links.insert(number, link);
            state.note(number, 0, "connects", to.port().into());
            (asked, number)
        };
        let stream = Stream { wires: self.clone(), link: number, side: 0, timer: None };
        let Some(asked) = asked else {
            let back = self.0.borrow().back(hosts);
            match back {
                Some(back) => sleep_until(back).await,
                None => std::future::pending().await,
            }
            return Err(io::ErrorKind::ConnectionReset.into());
        };
        let hung = {
            let state = self.0.borrow();
            let hung =
                state.windows.iter().filter(|w| w.trouble == hangs && w.from <= asked && asked < w.until);
            hung.map(|window| window.until).max()
        };
        let late = {
            let state = self.0.borrow();
            let late = state.windows.iter().filter(|w| w.from <= asked && asked < w.until);
            late.filter_map(|w| match w.trouble {
                NetFault::Late(host, by) if host == to.ip() => Some(by),
                _ => None,
            })
            .max()
        };
        sleep_until(hung.unwrap_or(asked) + late.unwrap_or_default()).await;
        let answered = {
            let mut state = self.0.borrow_mut();
            let listens = match state.ports.get_mut(&to) {
                Some(port) => {
                    port.waiting.push_back(number);
                    if let Some(waker) = port.waker.take() {
                        waker.wake();
                    }
                    if let Some(link) = state.links.get_mut(&number) {
                        link.gone[1] = false;
                    }
                    true
                }
                None => false,
            };
            let draw = state.links.get_mut(&number).map_or(0, |link| link.draws.next_u32());
            state.arrival(to.ip(), from, draw).map(|at| (at, listens))
        };
        match answered {
            Some((at, listens)) => {
                sleep_until(at).await;
                if listens {
                    return Ok(stream);
                }
                Err(io::ErrorKind::ConnectionRefused.into())
            }
            None => std::future::pending().await,
        }
    }

    /// Listens.
    pub fn listen(&self, at: SocketAddr) -> io::Result<Accepts> {
        let mut state = self.0.borrow_mut();
        if state.ports.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        state.ports.insert(at, Port::default());
        Ok(Accepts { wires: self.clone(), at })
    }
}

/// One end of a connection.
pub struct Stream {
    wires: VirtualNetwork,
    link: u64,
    /// 0: it connected.
    side: usize,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    /// The connection's number.
    pub fn link(&self) -> u64 {
        self.link
    }

    /// The host at the other end.
    pub fn peer(&self) -> Option<IpAddr> {
        self.wires.0.borrow().links.get(&self.link).map(|link| link.hosts[1 - self.side])
    }

    /// How much this side has written.
    pub fn written(&self) -> u64 {
        self.wires.0.borrow().links.get(&self.link).map_or(0, |link| link.pipes[self.side].written)
    }

    /// Ends it with a reset.
    pub fn abort(&self) {
        self.wires.0.borrow_mut().reset(self.link);
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        let mut state = self.wires.0.borrow_mut();
        let (number, side) = (self.link, self.side);
        let Some(link) = state.links.get_mut(&number) else { return };
        link.gone[side] = true;
        let now = Instant::now();
        // The system resets where something lies unread.
        let unread =
            link.pipes[1 - side].segments.iter().any(|(at, s)| *at <= now && matches!(s, Segment::Data(_)));
        let ended = std::mem::replace(&mut link.pipes[side].ended, true);
        state.note(number, side, "closes", 0);
        if unread {
            state.send(number, side, Segment::Reset);
        } else if !ended {
            state.send(number, side, Segment::End);
        }
        if let Some(link) = state.links.get_mut(&number)
            && let Some(waker) = link.pipes[1 - side].writer.take()
        {
            waker.wake();
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let wait = {
                let mut state = self.wires.0.borrow_mut();
                let split = state.split;
                let Some(link) = state.links.get_mut(&self.link) else { return Poll::Ready(Ok(())) };
                let short = link.draws.next_u32() % 100 < split;
                let draw = link.draws.next_u32() as usize;
                let ended = link.pipes[self.side].ended;
                let pipe = &mut link.pipes[1 - self.side];
                match pipe.segments.front_mut() {
                    Some((at, _)) if *at > Instant::now() => Some(*at),
                    Some((_, Segment::Data(bytes))) => {
                        let mut count = bytes.len().min(buf.remaining());
                        if short && count > 1 {
                            count = 1 + draw % (count - 1);
                        }
                        buf.put_slice(&bytes[..count]);
                        bytes.drain(..count);
                        if bytes.is_empty() {
                            pipe.segments.pop_front();
                        }
                        pipe.bytes -= count;
                        if !ended {
                            pipe.read += count as u64;
                        }
                        if let Some(waker) = pipe.writer.take() {
                            waker.wake();
                        }
                        return Poll::Ready(Ok(()));
                    }
                    Some((_, Segment::End)) => return Poll::Ready(Ok(())),
                    Some((_, Segment::Reset)) => {
                        return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
                    }
                    None => {
                        pipe.reader = Some(cx.waker().clone());
                        return Poll::Pending;
                    }
                }
            };
            let Some(at) = wait else { continue };
            let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(at)));
            if timer.deadline() != at {
                timer.as_mut().reset(at);
            }
            ready!(timer.as_mut().poll(cx));
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut state = self.wires.0.borrow_mut();
        let (split, now) = (state.split, Instant::now());
        let Some(link) = state.links.get_mut(&self.link) else {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        };
        let reset =
            |pipe: &Pipe| pipe.segments.iter().any(|(at, s)| *at <= now && matches!(s, Segment::Reset));
        if reset(&link.pipes[1 - self.side]) || link.pipes[self.side].ended {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let room = WINDOW.saturating_sub(link.pipes[self.side].bytes);
        if room == 0 && !link.cut {
            link.pipes[self.side].writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let mut count = bytes.len().min(room.max(1));
        let short = link.draws.next_u32() % 100 < split;
        let draw = link.draws.next_u32() as usize;
        if short && count > 1 {
            count = 1 + draw % (count - 1);
        }
        let hosts = link.hosts;
        state.note(self.link, self.side, "writes", count);
        if let Some((tapped, tap)) = &mut state.tapped
            && tapped.contains(&hosts[self.side])
        {
            tap.on_write(self.link, hosts[self.side], hosts[1 - self.side], &bytes[..count], now);
        }
        state.send(self.link, self.side, Segment::Data(bytes[..count].to_vec()));
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut state = self.wires.0.borrow_mut();
        let ended = state
            .links
            .get_mut(&self.link)
            .is_none_or(|link| std::mem::replace(&mut link.pipes[self.side].ended, true));
        if !ended {
            state.note(self.link, self.side, "ends", 0);
            state.send(self.link, self.side, Segment::End);
        }
        Poll::Ready(Ok(()))
    }
}

impl Connection for Stream {
    fn peek_status(&self) -> PeekStatus {
        let state = self.wires.0.borrow();
        let Some(link) = state.links.get(&self.link) else { return PeekStatus::Eof };
        match link.pipes[1 - self.side].segments.front() {
            Some((at, _)) if *at > Instant::now() => PeekStatus::Empty,
            Some((_, Segment::Data(_))) => PeekStatus::Data,
            Some(_) => PeekStatus::Eof,
            None => PeekStatus::Empty,
        }
    }
}

/// A port that listens.
pub struct Accepts {
    wires: VirtualNetwork,
    at: SocketAddr,
}

impl Accepts {
    fn poll(&self, cx: &mut Context<'_>) -> Poll<io::Result<Stream>> {
        let mut state = self.wires.0.borrow_mut();
        let Some(port) = state.ports.get_mut(&self.at) else {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        };
        match port.waiting.pop_front() {
            Some(link) => Poll::Ready(Ok(Stream { wires: self.wires.clone(), link, side: 1, timer: None })),
            None => {
                port.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    /// The next connection that comes.
    pub async fn next(&self) -> io::Result<Stream> {
        std::future::poll_fn(|cx| self.poll(cx)).await
    }
}

impl Listener for Accepts {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Box<dyn Connection>>> {
        self.poll(cx).map_ok(|stream| Box::new(stream) as Box<dyn Connection>)
    }
}

impl Drop for Accepts {
    fn drop(&mut self) {
        let mut state = self.wires.0.borrow_mut();
        if let Some(port) = state.ports.remove(&self.at) {
            for number in port.waiting {
                state.reset(number);
                if let Some(link) = state.links.get_mut(&number) {
                    link.gone[1] = true;
                }
            }
        }
    }
}

struct Host {
    wires: VirtualNetwork,
    host: IpAddr,
}

impl Network for Host {
    fn connect(&self, to: SocketAddr) -> Connecting {
        let (wires, host) = (self.wires.clone(), self.host);
        Box::pin(async move {
            let stream = wires.connect(host, to).await?;
            Ok(Box::new(stream) as Box<dyn Connection>)
        })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Ok(Box::new(self.wires.listen(at)?))
    }
}
