//! Simulated TCP between hosts on tokio's paused clock: latency, short reads and writes, back-pressure, resets,
//! half-closes, refused connections, and time windows with faults such as stalled directions or silent hosts.
//!
//! A segment's arrival time is fixed when it is written and is never before that of the segment in front of it. Each
//! connection draws from a random generator of its own, so that connections do not affect each other's timing.

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

/// Bytes that may be in flight or unread before the writer blocks.
const SEND_WINDOW_BYTES: usize = 64 * 1024;
/// Initial retransmission timeout; it doubles with each loss.
const RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);

/// A network fault that is active during a time window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NetFault {
    /// Data from the first host to the second arrives only after the window.
    Stalled(IpAddr, IpAddr),
    /// The host is unreachable: all traffic from and to it is lost, and its connections are reset when it is back.
    Silent(IpAddr),
    /// New connections to this host hang until the window ends.
    Hangs(IpAddr),
    /// New connections to this host are established this much later.
    Late(IpAddr, Duration),
    /// All traffic from and to this host takes this much longer.
    Slow(IpAddr, Duration),
    /// Percentage of this host's packets that are lost and arrive after retransmission.
    Lossy(IpAddr, u32),
}

#[derive(Clone, Copy, Debug)]
struct FaultWindow {
    fault: NetFault,
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
    /// Segments in flight or unread, in order of arrival.
    segments: VecDeque<(Instant, Segment)>,
    /// Number of bytes in `segments`.
    buffered_bytes: usize,
    /// Total bytes written, and total read before the reader closed its own direction.
    written: u64,
    read: u64,
    /// For each write: the offset after its last byte, the time of the write and the time of arrival.
    times: VecDeque<(u64, Instant, Instant)>,
    reader: Option<Waker>,
    writer: Option<Waker>,
    /// The writer has closed this direction.
    ended: bool,
}

impl Pipe {
    fn push(&mut self, at: Instant, segment: Segment) {
        let at = self.segments.back().map_or(at, |(last, _)| at.max(*last));
        if let Segment::Data(bytes) = &segment {
            self.buffered_bytes += bytes.len();
        }
        self.segments.push_back((at, segment));
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }
}

struct Link {
    hosts: [IpAddr; 2],
    /// `pipes[n]` carries what side n writes.
    pipes: [Pipe; 2],
    /// Which sides have dropped their stream.
    closed: [bool; 2],
    /// Data was lost while a host was silent: nothing arrives on this connection any more.
    cut: bool,
    rng: Pcg32,
}

#[derive(Default)]
struct Port {
    /// Connections that wait to be accepted, in order.
    backlog: VecDeque<u64>,
    waker: Option<Waker>,
}

/// Observer of the bytes that hosts write.
pub trait WriteObserver {
    /// Called when an observed host writes these bytes to another host on a connection.
    fn on_write(&mut self, link: u64, from: IpAddr, to: IpAddr, bytes: &[u8], now: Instant);
}

struct State {
    start: Instant,
    seed: u64,
    /// Lowest and highest one-way latency.
    latency: (Duration, Duration),
    /// Percentage of reads and writes that are short.
    short_io_percent: u32,
    links: BTreeMap<u64, Link>,
    next: u64,
    ports: BTreeMap<SocketAddr, Port>,
    windows: Vec<FaultWindow>,
    observer: Option<(Vec<IpAddr>, Box<dyn WriteObserver>)>,
    /// Hash over all connects, writes, closes and resets in order.
    hash: u64,
    /// Description of each event, if enabled.
    event_lines: Option<Vec<(Instant, String)>>,
}

/// The simulated network; clones share its state.
#[derive(Clone)]
pub struct VirtualNetwork(Rc<RefCell<State>>);

/// Continues an FNV-1a hash.
pub(crate) fn fnv1a(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

impl State {
    fn record_event(&mut self, link: u64, side: usize, what: &str, count: usize) {
        let now = Instant::now();
        self.hash = fnv1a(self.hash, &now.duration_since(self.start).as_micros().to_le_bytes());
        self.hash = fnv1a(self.hash, &link.to_le_bytes());
        self.hash = fnv1a(self.hash, &[side as u8]);
        self.hash = fnv1a(self.hash, what.as_bytes());
        self.hash = fnv1a(self.hash, &(count as u64).to_le_bytes());
        if let Some(lines) = &mut self.event_lines
            && let Some(Link { hosts, .. }) = self.links.get(&link)
        {
            let line = format!("{} -> {} #{link} {what} {count}", hosts[side], hosts[1 - side]);
            lines.push((now, line));
        }
    }

    /// When data sent now arrives; `None` if it is lost.
    fn arrival_time(&mut self, from: IpAddr, to: IpAddr, draw: u32) -> Option<Instant> {
        let now = Instant::now();
        let silent = |at: Instant| {
            self.windows.iter().any(|window| {
                let affected = matches!(window.fault, NetFault::Silent(host) if host == from || host == to);
                affected && window.from <= at && at < window.until
            })
        };
        if silent(now) {
            return None;
        }
        let stalls = self.windows.iter().filter(|window| window.fault == NetFault::Stalled(from, to));
        let begin =
            stalls.filter(|window| window.from <= now).map(|window| window.until).fold(now, Instant::max);
        let (least, most) = self.latency;
        let extra = (most - least).mul_f64(f64::from(draw) / f64::from(u32::MAX));
        let at = begin + least + extra + self.extra_delay(from, to, draw);
        (!silent(at)).then_some(at)
    }

    /// Additional delay from slow hosts and retransmissions.
    fn extra_delay(&self, from: IpAddr, to: IpAddr, draw: u32) -> Duration {
        let now = Instant::now();
        let running = self.windows.iter().filter(|window| window.from <= now && now < window.until);
        let delays = running.map(|window| match window.fault {
            NetFault::Slow(host, by) if host == from || host == to => by,
            NetFault::Lossy(host, percent) if host == from || host == to => {
                // The retransmission timeout doubles each time.
                let lost = [draw >> 3, draw >> 11, draw >> 19].map(|draw| draw % 100 < percent);
                match lost {
                    [true, true, true] => RETRANSMIT_TIMEOUT * 7,
                    [true, true, false] => RETRANSMIT_TIMEOUT * 3,
                    [true, false, _] => RETRANSMIT_TIMEOUT,
                    [false, _, _] => Duration::ZERO,
                }
            }
            _ => Duration::ZERO,
        });
        delays.sum()
    }

    /// When a currently silent host of these two is back, if there is one.
    fn silence_end(&self, hosts: [IpAddr; 2]) -> Option<Instant> {
        let now = Instant::now();
        let silent = self.windows.iter().filter(|window| {
            matches!(window.fault, NetFault::Silent(host) if hosts.contains(&host))
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

    fn reset_link(&mut self, number: u64) {
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
        self.record_event(number, 0, "reset", 0);
    }

    /// Sends a segment from one side.
    fn send_segment(&mut self, number: u64, side: usize, segment: Segment) {
        let Some(link) = self.links.get_mut(&number) else { return };
        let (hosts, draw) = (link.hosts, link.rng.next_u32());
        let cut = link.cut;
        let at = self.arrival_time(hosts[side], hosts[1 - side], draw);
        let Some(link) = self.links.get_mut(&number) else { return };
        let now = Instant::now();
        if let Segment::Data(bytes) = &segment {
            let pipe = &mut link.pipes[side];
            pipe.written += bytes.len() as u64;
            let never = now + Duration::from_secs(1 << 30);
            pipe.times.push_back((pipe.written, now, at.filter(|_| !cut).unwrap_or(never)));
        }
        match at {
            // The peer no longer knows the connection and responds with a reset.
            Some(at) if cut => link.pipes[1 - side].push(at, Segment::Reset),
            Some(at) if link.closed[1 - side] => {
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
    /// Creates a network with this range of one-way latency and this percentage of short reads and writes;
    /// `lines` enables event descriptions.
    pub fn new(
        seed: u64,
        latency: (Duration, Duration),
        short_io_percent: u32,
        lines: bool,
    ) -> VirtualNetwork {
        VirtualNetwork(Rc::new(RefCell::new(State {
            start: Instant::now(),
            seed,
            latency,
            short_io_percent,
            links: BTreeMap::new(),
            next: 0,
            ports: BTreeMap::new(),
            windows: Vec::new(),
            observer: None,
            hash: 0xcbf2_9ce4_8422_2325,
            event_lines: lines.then(Vec::new),
        })))
    }

    /// Activates a fault from one instant to another.
    pub fn add_fault(&self, fault: NetFault, from: Instant, until: Instant) {
        self.0.borrow_mut().windows.push(FaultWindow { fault, from, until });
    }

    /// Reports all writes of these hosts to the observer.
    pub fn observe_writes(&self, hosts: Vec<IpAddr>, observer: Box<dyn WriteObserver>) {
        self.0.borrow_mut().observer = Some((hosts, observer));
    }

    /// The network interface of a host.
    pub fn host(&self, host: IpAddr) -> Rc<dyn Network> {
        Rc::new(HostNetwork { wires: self.clone(), host })
    }

    /// Resets all connections of a host and closes its ports, since its process has died.
    pub fn process_died(&self, host: IpAddr) {
        let mut state = self.0.borrow_mut();
        state.ports.retain(|at, _| at.ip() != host);
        for number in state.links_of(host) {
            state.reset_link(number);
            if let Some(link) = state.links.get_mut(&number) {
                (0..2).filter(|side| link.hosts[*side] == host).for_each(|side| link.closed[side] = true);
            }
        }
    }

    /// Closes the ports of a host that has lost power; its peers get a reset only when they send again.
    pub fn lost_power(&self, host: IpAddr) {
        let mut state = self.0.borrow_mut();
        state.ports.retain(|at, _| at.ip() != host);
        for number in state.links_of(host) {
            if let Some(link) = state.links.get_mut(&number) {
                link.cut = true;
            }
        }
    }

    /// Resets all connections of a host whose process keeps running.
    pub fn reset_connections(&self, host: IpAddr) {
        let mut state = self.0.borrow_mut();
        for number in state.links_of(host) {
            state.reset_link(number);
        }
    }

    /// When the byte before an offset was written by a side, and when it arrives at the other host.
    pub fn write_times(&self, link: u64, side: usize, offset: u64) -> Option<(Instant, Instant)> {
        let state = self.0.borrow();
        let times = &state.links.get(&link)?.pipes[side].times;
        times.iter().find(|(end, ..)| *end >= offset).map(|(_, wrote, arrives)| (*wrote, *arrives))
    }

    /// How many of the bytes that a side wrote were read by the other before that one closed its own direction. Later reads
    /// are discarded (lingering close), and a client may send those bytes again.
    pub fn bytes_read(&self, link: u64, side: usize) -> u64 {
        self.0.borrow().links.get(&link).map_or(0, |link| link.pipes[side].read)
    }

    /// Number of connections that a host has not closed.
    pub fn open_connections(&self, host: IpAddr) -> usize {
        let state = self.0.borrow();
        let open = |link: &&Link| (0..2).any(|side| link.hosts[side] == host && !link.closed[side]);
        state.links.values().filter(open).count()
    }

    /// Hash over all events so far, in order.
    pub fn hash(&self) -> u64 {
        self.0.borrow().hash
    }

    /// Descriptions of all events, if enabled.
    pub fn event_lines(&self) -> Vec<(Instant, String)> {
        self.0.borrow().event_lines.clone().unwrap_or_default()
    }

    /// Connects and returns the concrete stream type, which exposes more than [`Connection`].
    pub async fn connect(&self, from: IpAddr, to: SocketAddr) -> io::Result<Stream> {
        let (hosts, hangs) = ([from, to.ip()], NetFault::Hangs(to.ip()));
        let (arrives, number) = {
            let mut state = self.0.borrow_mut();
            let number = state.next;
            state.next += 1;
            let mut rng = Pcg32::seed_from_u64(state.seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let draw = rng.next_u32();
            let arrives = state.arrival_time(from, to.ip(), draw);
            let link = Link { hosts, pipes: Default::default(), closed: [false, true], cut: false, rng };
            state.links.insert(number, link);
            state.record_event(number, 0, "connects", to.port().into());
            (arrives, number)
        };
        let stream = Stream { wires: self.clone(), link: number, side: 0, timer: None };
        let Some(arrives) = arrives else {
            let silence_end = self.0.borrow().silence_end(hosts);
            match silence_end {
                Some(silence_end) => sleep_until(silence_end).await,
                None => std::future::pending().await,
            }
            return Err(io::ErrorKind::ConnectionReset.into());
        };
        let hang_end = {
            let state = self.0.borrow();
            let hang_end =
                state.windows.iter().filter(|w| w.fault == hangs && w.from <= arrives && arrives < w.until);
            hang_end.map(|window| window.until).max()
        };
        let connect_delay = {
            let state = self.0.borrow();
            let connect_delay = state.windows.iter().filter(|w| w.from <= arrives && arrives < w.until);
            connect_delay
                .filter_map(|w| match w.fault {
                    NetFault::Late(host, by) if host == to.ip() => Some(by),
                    _ => None,
                })
                .max()
        };
        sleep_until(hang_end.unwrap_or(arrives) + connect_delay.unwrap_or_default()).await;
        let reply = {
            let mut state = self.0.borrow_mut();
            let accepted = match state.ports.get_mut(&to) {
                Some(port) => {
                    port.backlog.push_back(number);
                    if let Some(waker) = port.waker.take() {
                        waker.wake();
                    }
                    if let Some(link) = state.links.get_mut(&number) {
                        link.closed[1] = false;
                    }
                    true
                }
                None => false,
            };
            let draw = state.links.get_mut(&number).map_or(0, |link| link.rng.next_u32());
            state.arrival_time(to.ip(), from, draw).map(|at| (at, accepted))
        };
        match reply {
            Some((at, accepted)) => {
                sleep_until(at).await;
                if accepted {
                    return Ok(stream);
                }
                Err(io::ErrorKind::ConnectionRefused.into())
            }
            None => std::future::pending().await,
        }
    }

    /// Opens a listening port.
    pub fn listen(&self, at: SocketAddr) -> io::Result<VirtualListener> {
        let mut state = self.0.borrow_mut();
        if state.ports.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        state.ports.insert(at, Port::default());
        Ok(VirtualListener { wires: self.clone(), at })
    }
}

/// One end of a connection.
pub struct Stream {
    wires: VirtualNetwork,
    link: u64,
    /// 0 for the side that connected, 1 for the one that accepted.
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

    /// Total bytes that this side has written.
    pub fn written(&self) -> u64 {
        self.wires.0.borrow().links.get(&self.link).map_or(0, |link| link.pipes[self.side].written)
    }

    /// Resets the connection.
    pub fn abort(&self) {
        self.wires.0.borrow_mut().reset_link(self.link);
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        let mut state = self.wires.0.borrow_mut();
        let (number, side) = (self.link, self.side);
        let Some(link) = state.links.get_mut(&number) else { return };
        link.closed[side] = true;
        let now = Instant::now();
        // Like a kernel, sends a reset if received data is still unread.
        let unread =
            link.pipes[1 - side].segments.iter().any(|(at, s)| *at <= now && matches!(s, Segment::Data(_)));
        let ended = std::mem::replace(&mut link.pipes[side].ended, true);
        state.record_event(number, side, "closes", 0);
        if unread {
            state.send_segment(number, side, Segment::Reset);
        } else if !ended {
            state.send_segment(number, side, Segment::End);
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
                let short_io_percent = state.short_io_percent;
                let Some(link) = state.links.get_mut(&self.link) else { return Poll::Ready(Ok(())) };
                let short = link.rng.next_u32() % 100 < short_io_percent;
                let draw = link.rng.next_u32() as usize;
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
                        pipe.buffered_bytes -= count;
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
        let (short_io_percent, now) = (state.short_io_percent, Instant::now());
        let Some(link) = state.links.get_mut(&self.link) else {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        };
        let reset =
            |pipe: &Pipe| pipe.segments.iter().any(|(at, s)| *at <= now && matches!(s, Segment::Reset));
        if reset(&link.pipes[1 - self.side]) || link.pipes[self.side].ended {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let room = SEND_WINDOW_BYTES.saturating_sub(link.pipes[self.side].buffered_bytes);
        if room == 0 && !link.cut {
            link.pipes[self.side].writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let mut count = bytes.len().min(room.max(1));
        let short = link.rng.next_u32() % 100 < short_io_percent;
        let draw = link.rng.next_u32() as usize;
        if short && count > 1 {
            count = 1 + draw % (count - 1);
        }
        let hosts = link.hosts;
        state.record_event(self.link, self.side, "writes", count);
        if let Some((observed_hosts, observer)) = &mut state.observer
            && observed_hosts.contains(&hosts[self.side])
        {
            observer.on_write(self.link, hosts[self.side], hosts[1 - self.side], &bytes[..count], now);
        }
        state.send_segment(self.link, self.side, Segment::Data(bytes[..count].to_vec()));
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
            state.record_event(self.link, self.side, "ends", 0);
            state.send_segment(self.link, self.side, Segment::End);
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

/// A listening port.
pub struct VirtualListener {
    wires: VirtualNetwork,
    at: SocketAddr,
}

impl VirtualListener {
    fn poll(&self, cx: &mut Context<'_>) -> Poll<io::Result<Stream>> {
        let mut state = self.wires.0.borrow_mut();
        let Some(port) = state.ports.get_mut(&self.at) else {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        };
        match port.backlog.pop_front() {
            Some(link) => Poll::Ready(Ok(Stream { wires: self.wires.clone(), link, side: 1, timer: None })),
            None => {
                port.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    /// Accepts the next connection.
    pub async fn next(&self) -> io::Result<Stream> {
        std::future::poll_fn(|cx| self.poll(cx)).await
    }
}

impl Listener for VirtualListener {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Box<dyn Connection>>> {
        self.poll(cx).map_ok(|stream| Box::new(stream) as Box<dyn Connection>)
    }
}

impl Drop for VirtualListener {
    fn drop(&mut self) {
        let mut state = self.wires.0.borrow_mut();
        if let Some(port) = state.ports.remove(&self.at) {
            for number in port.backlog {
                state.reset_link(number);
                if let Some(link) = state.links.get_mut(&number) {
                    link.closed[1] = true;
                }
            }
        }
    }
}

struct HostNetwork {
    wires: VirtualNetwork,
    host: IpAddr,
}

impl Network for HostNetwork {
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
