//! What all streams share: the cache, who is connected, and who may be.

use crate::cache::{Cache, Change, hash};
use crate::kind::Kind;
use crate::load::{Impossible, Loads, Report};
use crate::session::{Limits, Standing};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Settings of the service; each limit guards against proxies that are many, broken or hostile.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What the service calls itself in responses.
    pub identifier: String,
    /// Limits of each stream.
    pub limits: Limits,
    /// Streams in all. Against thousands of streams from one place that would fill the memory.
    pub streams: usize,
    /// Streams of one node id: one of each type and one aggregated, twice over for a reconnection.
    pub streams_of_node: usize,
    /// Streams of one connection.
    pub streams_of_connection: u32,
    /// Connections in all.
    pub connections: usize,
    /// Longest request, in bytes.
    pub request_bytes: usize,
    /// Requests that a stream may send a second on average, and ten times as many at once. Against those that
    /// send without pause.
    pub requests_per_s: f64,
    /// A stream that says nothing for so long at first is ended.
    pub first_request: Duration,
    /// Nodes that may connect; empty: all.
    pub access: Vec<Access>,
    /// How often proxies are asked to report how their requests ended.
    pub report_every: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            identifier: "runtrack-control".to_owned(),
            limits: Limits::default(),
            streams: 20_000,
            streams_of_node: 12,
            streams_of_connection: 16,
            connections: 10_000,
            request_bytes: 4 << 20,
            requests_per_s: 500.0,
            first_request: Duration::from_secs(10),
            access: Vec::new(),
            report_every: Duration::from_secs(10),
        }
    }
}

/// Nodes that may connect. A text that ends in `*` stands for all that begin like it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Access {
    /// Their ids.
    pub id: String,
    /// Their clusters.
    pub cluster: String,
}

impl Access {
    fn allows(&self, id: &str, cluster: &str) -> bool {
        let fits = |pattern: &str, text: &str| match pattern.strip_suffix('*') {
            Some(start) => text.starts_with(start),
            None => pattern == text,
        };
        fits(&self.id, id) && fits(&self.cluster, cluster)
    }
}

/// A connected stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Stream {
    /// Its number, unique in this run of the service.
    pub number: u64,
    /// The node's id.
    pub node: String,
    /// The node's cluster.
    pub cluster: String,
    /// The node's zone.
    pub zone: String,
    /// Incremental or state-of-the-world.
    pub incremental: bool,
    /// Since when, on the hub's clock.
    pub since: Duration,
    /// Requests taken.
    pub requests: u64,
    /// Responses handed to the connection, and their resources' bytes.
    pub responses: u64,
    /// Bytes of resources handed to the connection.
    pub bytes: u64,
    /// The line that it follows: [`Hub::newest_line`] or the one before.
    pub line: u64,
    /// How each type stands.
    pub standings: Vec<Standing>,
}

/// How a stream that has ended did so.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// The node's id.
    pub node: String,
    /// When, on the hub's clock.
    pub at: Duration,
    /// Why.
    pub why: String,
}

/// Longest node id, cluster or zone that is taken.
pub(crate) const NODE_NAME_MOST: usize = 256;
/// Ended streams remembered for people.
const ENDED_MOST: usize = 64;

#[derive(Default)]
struct Streams {
    open: BTreeMap<u64, Stream>,
    of_node: BTreeMap<String, usize>,
    ended: std::collections::VecDeque<Ended>,
    /// Streams that report loads, by node.
    reporters: BTreeMap<String, usize>,
}

/// A node has one stream less.
fn one_less(of_node: &mut BTreeMap<String, usize>, node: &str) {
    if let Some(count) = of_node.get_mut(node) {
        *count -= 1;
        if *count == 0 {
            of_node.remove(node);
        }
    }
}

/// A stream that reports loads, while it is open.
pub(crate) struct Reporter {
    hub: Arc<Hub>,
    node: String,
}

impl Drop for Reporter {
    fn drop(&mut self) {
        one_less(&mut self.hub.lock().reporters, &self.node);
    }
}

/// A state that is served, and where it parted from the one before.
pub(crate) struct Line {
    pub(crate) id: u64,
    pub(crate) cache: Cache,
    /// The line that it was the same as, up to this change.
    pub(crate) forked: Option<(u64, u64)>,
}

/// What is served: one line, or two while a version is rolled out.
pub(crate) struct Lines {
    main: Line,
    /// The newer one, and the part of the nodes that follow it, in 10,000.
    next: Option<(Line, u32)>,
}

impl Lines {
    /// What a node of this place follows.
    pub(crate) fn of(&self, place: u32) -> &Line {
        self.next.as_ref().filter(|(_, share)| place < *share).map_or(&self.main, |(line, _)| line)
    }

    fn caches(&mut self) -> impl Iterator<Item = &mut Cache> {
        let next = self.next.as_mut().map(|(line, _)| &mut line.cache);
        [&mut self.main.cache].into_iter().chain(next)
    }

    fn newest(&self) -> &Line {
        self.next.as_ref().map_or(&self.main, |(line, _)| line)
    }
}

/// A node's place among all, `0..10_000`: a part of the nodes are those below it. The same in every run.
pub fn place(node: &str) -> u32 {
    (hash([node.as_bytes()]) % 10_000) as u32
}

/// What all streams share.
pub struct Hub {
    pub(crate) settings: Settings,
    lines: RwLock<Lines>,
    head: watch::Sender<u64>,
    streams: Mutex<Streams>,
    loads: Mutex<Loads>,
    next_stream: AtomicU64,
    /// No other run of an instance has the same: streams are named after it.
    pub(crate) run: u64,
    started: Instant,
}

impl Hub {
    /// A hub whose versions are ordered after those of all earlier epochs.
    pub fn new(epoch: u64, settings: Settings) -> Arc<Hub> {
        Arc::new(Hub {
            loads: Mutex::new(Loads::new(settings.report_every)),
            settings,
            lines: RwLock::new(Lines {
                main: Line { id: 1, cache: Cache::new(epoch), forked: None },
                next: None,
            }),
            head: watch::Sender::new(0),
            streams: Mutex::default(),
            next_stream: AtomicU64::new(1),
            run: RandomState::new().hash_one(epoch),
            started: Instant::now(),
        })
    }

    /// Time on the hub's clock.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Takes changes of the newest line, all at once: no proxy sees some without the others. Tells whether anything
    /// differs.
    pub fn publish(&self, changes: impl IntoIterator<Item = Change>) -> bool {
        let now = self.now();
        self.change(|lines| match &mut lines.next {
            Some((line, _)) => line.cache.apply(now, changes),
            None => lines.main.cache.apply(now, changes),
        })
    }

    /// Takes changes of the line before the newest, where there are two.
    pub fn publish_before(&self, changes: impl IntoIterator<Item = Change>) -> bool {
        let now = self.now();
        self.change(|lines| lines.next.is_some() && lines.main.cache.apply(now, changes))
    }

    /// Parts a new line from the one that is served, for nobody yet. Where there are two already, nothing happens.
    pub fn fork(&self) {
        self.change(|lines| {
            if lines.next.is_none() {
                let (id, cache) = (lines.main.id + 1, lines.main.cache.clone());
                let forked = Some((lines.main.id, cache.seq()));
                lines.next = Some((Line { id, cache, forked }, 0));
                self.loads(|loads| loads.part(self.now()));
            }
            false
        });
    }

    /// Gives the newest line to so many of 10,000 nodes, by their [`place`].
    pub fn set_share(&self, share: u32) {
        self.change(|lines| {
            lines.next.as_mut().is_some_and(|(_, was)| std::mem::replace(was, share) != share)
        });
        self.loads(|loads| loads.stage(self.now(), share));
    }

    /// Gives the newest line to all, and forgets the one before.
    pub fn settle(&self) {
        self.change(|lines| {
            let next = lines.next.take();
            let settled = next.is_some();
            if let Some((line, _)) = next {
                lines.main = line;
            }
            settled
        });
        self.cache(|cache| {
            self.loads(|loads| loads.settle(|pool| cache.get(Kind::Cluster, pool).is_some()));
        });
    }

    fn change(&self, with: impl FnOnce(&mut Lines) -> bool) -> bool {
        let changed = with(&mut self.lines.write().unwrap_or_else(PoisonError::into_inner));
        if changed {
            self.head.send_modify(|changes| *changes += 1);
        }
        changed
    }

    /// From now on what is served is to hold what is agreed up to this index of a cluster's log. No stream is told
    /// anything until it is [`settled`](Self::arrive) there.
    pub fn move_to(&self, epoch: u64, index: u64) {
        self.change(|lines| {
            lines.caches().for_each(|cache| cache.move_to(epoch, index));
            false
        });
    }

    /// What is served holds what is agreed up to the index that it was moved to.
    pub fn arrive(&self) {
        self.change(|lines| {
            lines.caches().for_each(Cache::settle);
            true
        });
    }

    /// Looks at what the newest line serves.
    pub fn cache<T>(&self, with: impl FnOnce(&Cache) -> T) -> T {
        with(&self.lines().newest().cache)
    }

    /// Looks at what the line before the newest serves, or the only one.
    pub fn cache_before<T>(&self, with: impl FnOnce(&Cache) -> T) -> T {
        with(&self.lines().main.cache)
    }

    /// Looks at what proxies report of their requests. Where the lines are locked too, they come first.
    pub fn loads<T>(&self, with: impl FnOnce(&mut Loads) -> T) -> T {
        with(&mut self.loads.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes a report of a node of this [`place`].
    pub(crate) fn report(&self, place: u32, reports: &[Report]) -> Result<(), Impossible> {
        let (now, lines) = (self.now(), self.lines());
        let cache = &lines.of(place).cache;
        self.loads(|loads| {
            loads.report(now, place, reports, |pool| cache.get(Kind::Cluster, pool).is_some())
        })
    }

    /// Takes a stream in that reports loads, or says why not.
    pub(crate) fn open_reporter(
        self: &Arc<Hub>,
        node: &str,
        cluster: &str,
    ) -> Result<Reporter, tonic::Status> {
        self.admits(node, cluster)?;
        let mut streams = self.lock();
        let (all, most) = (streams.reporters.values().sum::<usize>(), self.settings.streams);
        let of_node = streams.reporters.get(node).copied().unwrap_or_default();
        if all >= most || of_node >= self.settings.streams_of_node {
            let what =
                format!("{all} streams report loads, {of_node} of them of node `{node}`: no more may");
            return Err(tonic::Status::resource_exhausted(what));
        }
        *streams.reporters.entry(node.to_owned()).or_default() += 1;
        Ok(Reporter { hub: self.clone(), node: node.to_owned() })
    }

    /// Whether a node may connect: its names are of a length that can be kept, and the settings allow it.
    pub(crate) fn admits(&self, node: &str, cluster: &str) -> Result<(), tonic::Status> {
        if node.is_empty() {
            let what = "the first request must name the node: `node.id` is empty";
            return Err(tonic::Status::invalid_argument(what));
        }
        if [node, cluster].iter().any(|name| name.len() > NODE_NAME_MOST) {
            let what = format!("a name of the node is over {NODE_NAME_MOST} bytes");
            return Err(tonic::Status::invalid_argument(what));
        }
        let access = &self.settings.access;
        if !access.is_empty() && !access.iter().any(|a| a.allows(node, cluster)) {
            let what = format!("node `{node}` of cluster `{cluster}` may not connect here");
            return Err(tonic::Status::permission_denied(what));
        }
        Ok(())
    }

    /// The newest line, as [`Stream::line`] names it.
    pub fn newest_line(&self) -> u64 {
        self.lines().newest().id
    }

    pub(crate) fn lines(&self) -> RwLockReadGuard<'_, Lines> {
        self.lines.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// The streams that are open, by number.
    pub fn streams(&self) -> Vec<Stream> {
        self.lock().open.values().cloned().collect()
    }

    /// Streams that ended lately, the last one last.
    pub fn ended(&self) -> Vec<Ended> {
        self.lock().ended.iter().cloned().collect()
    }

    pub(crate) fn head(&self) -> watch::Receiver<u64> {
        self.head.subscribe()
    }

    pub(crate) fn number(&self) -> u64 {
        self.next_stream.fetch_add(1, Ordering::Relaxed)
    }

    /// Takes a stream in, or says why not.
    pub(crate) fn open(&self, stream: Stream) -> Result<(), tonic::Status> {
        let (node, settings) = (stream.node.clone(), &self.settings);
        self.admits(&node, &stream.cluster)?;
        let mut streams = self.lock();
        if streams.open.len() >= settings.streams {
            let what = format!("{} streams are open, the most there may be", settings.streams);
            return Err(tonic::Status::resource_exhausted(what));
        }
        let of_node = streams.of_node.entry(node).or_default();
        if *of_node >= settings.streams_of_node {
            let what = format!("node `{}` has {of_node} streams open, the most it may have", stream.node);
            return Err(tonic::Status::resource_exhausted(what));
        }
        *of_node += 1;
        streams.open.insert(stream.number, stream);
        Ok(())
    }

    pub(crate) fn update(&self, number: u64, change: impl FnOnce(&mut Stream)) {
        if let Some(stream) = self.lock().open.get_mut(&number) {
            change(stream);
        }
    }

    pub(crate) fn close(&self, number: u64, why: String) {
        let at = self.now();
        let mut streams = self.lock();
        let Some(stream) = streams.open.remove(&number) else { return };
        one_less(&mut streams.of_node, &stream.node);
        if streams.ended.len() == ENDED_MOST {
            streams.ended.pop_front();
        }
        streams.ended.push_back(Ended { node: stream.node, at, why });
    }

    fn lock(&self) -> MutexGuard<'_, Streams> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
