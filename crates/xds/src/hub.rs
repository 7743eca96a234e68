//! What all streams share: the cache, who is connected, and who may be.

use crate::cache::{Cache, Change, hash};
use crate::load::{InvalidReport, LoadReport, LoadStats};
use crate::resource_type::ResourceType;
use crate::session::{Limits, TypeStatus};
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
    pub max_streams: usize,
    /// Streams of one node id: one of each type and one aggregated, twice over for a reconnection.
    pub max_streams_per_node: usize,
    /// Streams of one connection.
    pub max_streams_per_connection: u32,
    /// Connections in all.
    pub max_connections: usize,
    /// Longest request, in bytes.
    pub max_request_bytes: usize,
    /// Requests that a stream may send a second on average, and ten times as many at once. Against those that
    /// send without pause.
    pub max_requests_per_s: f64,
    /// A stream that says nothing for so long at first is ended.
    pub first_request_timeout: Duration,
    /// Nodes that may connect; empty: all.
    pub access: Vec<AccessRule>,
    /// How often proxies are asked to report how their requests ended.
    pub load_report_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            identifier: "runtrack-control".to_owned(),
            limits: Limits::default(),
            max_streams: 20_000,
            max_streams_per_node: 12,
            max_streams_per_connection: 16,
            max_connections: 10_000,
            max_request_bytes: 4 << 20,
            max_requests_per_s: 500.0,
            first_request_timeout: Duration::from_secs(10),
            access: Vec::new(),
            load_report_interval: Duration::from_secs(10),
        }
    }
}

/// Nodes that may connect. A text that ends in `*` stands for all that begin like it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccessRule {
    /// Their ids.
    pub id: String,
    /// Their clusters.
    pub cluster: String,
}

impl AccessRule {
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
pub struct StreamInfo {
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
    /// The version that it follows: [`Hub::newest_version_id`] or the one before.
    pub version_id: u64,
    /// How each type stands.
    pub type_statuses: Vec<TypeStatus>,
}

/// How a stream that has ended did so.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedStream {
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
    open: BTreeMap<u64, StreamInfo>,
    of_node: BTreeMap<String, usize>,
    ended: std::collections::VecDeque<EndedStream>,
    /// Streams that report loads, by node.
    load_streams: BTreeMap<String, usize>,
}

/// A node has one stream less.
fn decrement_stream_count(of_node: &mut BTreeMap<String, usize>, node: &str) {
    if let Some(count) = of_node.get_mut(node) {
        *count -= 1;
        if *count == 0 {
            of_node.remove(node);
        }
    }
}

/// A stream that reports loads, while it is open.
pub(crate) struct LoadStream {
    hub: Arc<Hub>,
    node: String,
}

impl Drop for LoadStream {
    fn drop(&mut self) {
        decrement_stream_count(&mut self.hub.lock().load_streams, &self.node);
    }
}

/// A state that is served, and where it parted from the one before.
pub(crate) struct ServedVersion {
    pub(crate) id: u64,
    pub(crate) cache: Cache,
    /// The version that it was the same as, up to this change.
    pub(crate) forked_from: Option<(u64, u64)>,
}

/// What is served: one version, or two while a version is rolled out.
pub(crate) struct ServedVersions {
    main: ServedVersion,
    /// The newer one, and the part of the nodes that follow it, in 10,000.
    next: Option<(ServedVersion, u32)>,
}

impl ServedVersions {
    /// What a node of this bucket follows.
    pub(crate) fn of(&self, bucket: u32) -> &ServedVersion {
        self.next.as_ref().filter(|(_, share)| bucket < *share).map_or(&self.main, |(version, _)| version)
    }

    fn caches(&mut self) -> impl Iterator<Item = &mut Cache> {
        let next = self.next.as_mut().map(|(version, _)| &mut version.cache);
        [&mut self.main.cache].into_iter().chain(next)
    }

    fn newest(&self) -> &ServedVersion {
        self.next.as_ref().map_or(&self.main, |(version, _)| version)
    }
}

/// A node's bucket among all, `0..10_000`: a part of the nodes are those below it. The same in every run.
pub fn rollout_bucket(node: &str) -> u32 {
    (hash([node.as_bytes()]) % 10_000) as u32
}

/// What all streams share.
pub struct Hub {
    pub(crate) settings: Settings,
    versions: RwLock<ServedVersions>,
    head: watch::Sender<u64>,
    streams: Mutex<Streams>,
    loads: Mutex<LoadStats>,
    next_stream: AtomicU64,
    /// No other run of an instance has the same: streams are named after it.
    pub(crate) run: u64,
    started: Instant,
}

impl Hub {
    /// A hub whose versions are ordered after those of all earlier epochs.
    pub fn new(epoch: u64, settings: Settings) -> Arc<Hub> {
        Arc::new(Hub {
            loads: Mutex::new(LoadStats::new(settings.load_report_interval)),
            settings,
            versions: RwLock::new(ServedVersions {
                main: ServedVersion { id: 1, cache: Cache::new(epoch), forked_from: None },
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

    /// Takes changes of the newest version, all at once: no proxy sees some without the others. Tells whether anything
    /// differs.
    pub fn publish(&self, changes: impl IntoIterator<Item = Change>) -> bool {
        let now = self.now();
        self.change(|versions| match &mut versions.next {
            Some((version, _)) => version.cache.apply(now, changes),
            None => versions.main.cache.apply(now, changes),
        })
    }

    /// Takes changes of the version before the newest, where there are two.
    pub fn publish_previous(&self, changes: impl IntoIterator<Item = Change>) -> bool {
        let now = self.now();
        self.change(|versions| versions.next.is_some() && versions.main.cache.apply(now, changes))
    }

    /// Parts a new version from the one that is served, for nobody yet. Where there are two already, nothing happens.
    pub fn fork(&self) {
        self.change(|versions| {
            if versions.next.is_none() {
                let (id, cache) = (versions.main.id + 1, versions.main.cache.clone());
                let forked_from = Some((versions.main.id, cache.seq()));
                versions.next = Some((ServedVersion { id, cache, forked_from }, 0));
                self.loads(|loads| loads.start_rollout(self.now()));
            }
            false
        });
    }

    /// Gives the newest version to so many of 10,000 nodes, by their [`rollout_bucket`].
    pub fn set_rollout_share(&self, share: u32) {
        self.change(|versions| {
            versions.next.as_mut().is_some_and(|(_, was)| std::mem::replace(was, share) != share)
        });
        self.loads(|loads| loads.start_stage(self.now(), share));
    }

    /// Gives the newest version to all, and forgets the one before.
    pub fn finish_rollout(&self) {
        self.change(|versions| {
            let next = versions.next.take();
            let settled = next.is_some();
            if let Some((version, _)) = next {
                versions.main = version;
            }
            settled
        });
        self.cache(|cache| {
            self.loads(|loads| {
                loads.finish_rollout(|pool| cache.get(ResourceType::Cluster, pool).is_some())
            });
        });
    }

    fn change(&self, with: impl FnOnce(&mut ServedVersions) -> bool) -> bool {
        let changed = with(&mut self.versions.write().unwrap_or_else(PoisonError::into_inner));
        if changed {
            self.head.send_modify(|changes| *changes += 1);
        }
        changed
    }

    /// From now on what is served is to hold what is agreed up to this index of a cluster's log. No stream is told
    /// anything until it is [`settled`](Self::finish_update) there.
    pub fn begin_update(&self, epoch: u64, index: u64) {
        self.change(|versions| {
            versions.caches().for_each(|cache| cache.begin_update(epoch, index));
            false
        });
    }

    /// What is served holds what is agreed up to the index that it was moved to.
    pub fn finish_update(&self) {
        self.change(|versions| {
            versions.caches().for_each(Cache::finish_update);
            true
        });
    }

    /// Looks at what the newest version serves.
    pub fn cache<T>(&self, with: impl FnOnce(&Cache) -> T) -> T {
        with(&self.versions().newest().cache)
    }

    /// Looks at what the version before the newest serves, or the only one.
    pub fn previous_cache<T>(&self, with: impl FnOnce(&Cache) -> T) -> T {
        with(&self.versions().main.cache)
    }

    /// Looks at what proxies report of their requests. Where the versions are locked too, they come first.
    pub fn loads<T>(&self, with: impl FnOnce(&mut LoadStats) -> T) -> T {
        with(&mut self.loads.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes a report of a node of this [`rollout_bucket`].
    pub(crate) fn report(&self, bucket: u32, reports: &[LoadReport]) -> Result<(), InvalidReport> {
        let (now, versions) = (self.now(), self.versions());
        let cache = &versions.of(bucket).cache;
        self.loads(|loads| {
            loads.report(now, bucket, reports, |pool| cache.get(ResourceType::Cluster, pool).is_some())
        })
    }

    /// Takes a stream in that reports loads, or says why not.
    pub(crate) fn open_load_stream(
        self: &Arc<Hub>,
        node: &str,
        cluster: &str,
    ) -> Result<LoadStream, tonic::Status> {
        self.check_node(node, cluster)?;
        let mut streams = self.lock();
        let (all, most) = (streams.load_streams.values().sum::<usize>(), self.settings.max_streams);
        let of_node = streams.load_streams.get(node).copied().unwrap_or_default();
        if all >= most || of_node >= self.settings.max_streams_per_node {
            let what =
                format!("{all} streams report loads, {of_node} of them of node `{node}`: no more may");
            return Err(tonic::Status::resource_exhausted(what));
        }
        *streams.load_streams.entry(node.to_owned()).or_default() += 1;
        Ok(LoadStream { hub: self.clone(), node: node.to_owned() })
    }

    /// Whether a node may connect: its names are of a length that can be kept, and the settings allow it.
    pub(crate) fn check_node(&self, node: &str, cluster: &str) -> Result<(), tonic::Status> {
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

    /// The newest version, as [`StreamInfo::version_id`] names it.
    pub fn newest_version_id(&self) -> u64 {
        self.versions().newest().id
    }

    pub(crate) fn versions(&self) -> RwLockReadGuard<'_, ServedVersions> {
        self.versions.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// The streams that are open, by number.
    pub fn streams(&self) -> Vec<StreamInfo> {
        self.lock().open.values().cloned().collect()
    }

    /// Streams that ended lately, the last one last.
    pub fn ended(&self) -> Vec<EndedStream> {
        self.lock().ended.iter().cloned().collect()
    }

    pub(crate) fn head(&self) -> watch::Receiver<u64> {
        self.head.subscribe()
    }

    pub(crate) fn number(&self) -> u64 {
        self.next_stream.fetch_add(1, Ordering::Relaxed)
    }

    /// Takes a stream in, or says why not.
    pub(crate) fn open(&self, stream: StreamInfo) -> Result<(), tonic::Status> {
        let (node, settings) = (stream.node.clone(), &self.settings);
        self.check_node(&node, &stream.cluster)?;
        let mut streams = self.lock();
        if streams.open.len() >= settings.max_streams {
            let what = format!("{} streams are open, the most there may be", settings.max_streams);
            return Err(tonic::Status::resource_exhausted(what));
        }
        let of_node = streams.of_node.entry(node).or_default();
        if *of_node >= settings.max_streams_per_node {
            let what = format!("node `{}` has {of_node} streams open, the most it may have", stream.node);
            return Err(tonic::Status::resource_exhausted(what));
        }
        *of_node += 1;
        streams.open.insert(stream.number, stream);
        Ok(())
    }

    pub(crate) fn update(&self, number: u64, change: impl FnOnce(&mut StreamInfo)) {
        if let Some(stream) = self.lock().open.get_mut(&number) {
            change(stream);
        }
    }

    pub(crate) fn close(&self, number: u64, why: String) {
        let at = self.now();
        let mut streams = self.lock();
        let Some(stream) = streams.open.remove(&number) else { return };
        decrement_stream_count(&mut streams.of_node, &stream.node);
        if streams.ended.len() == ENDED_MOST {
            streams.ended.pop_front();
        }
        streams.ended.push_back(EndedStream { node: stream.node, at, why });
    }

    fn lock(&self) -> MutexGuard<'_, Streams> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
