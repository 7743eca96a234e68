//! State shared by all streams: the served versions, the open streams, access rules and load reports.

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

/// Settings of the service. The limits protect it from too many, faulty or malicious clients.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Control plane identifier in responses.
    pub identifier: String,
    /// Limits per stream.
    pub limits: Limits,
    /// Maximum open streams. Bounds the memory that a client with thousands of streams can take.
    pub max_streams: usize,
    /// Maximum streams per node id: one per type and one aggregated, doubled for reconnections.
    pub max_streams_per_node: usize,
    /// Maximum streams per connection.
    pub max_streams_per_connection: u32,
    /// Maximum open connections.
    pub max_connections: usize,
    /// Maximum size of a request in bytes.
    pub max_request_bytes: usize,
    /// Maximum average rate of requests per stream; bursts of up to ten seconds' worth are allowed.
    pub max_requests_per_s: f64,
    /// A stream without a first request within this time is closed.
    pub first_request_timeout: Duration,
    /// Nodes that may connect; empty: all nodes.
    pub access: Vec<AccessRule>,
    /// Interval requested for load reports.
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

/// Nodes that may connect. A pattern that ends in `*` matches by prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccessRule {
    /// Pattern for node ids.
    pub id: String,
    /// Pattern for clusters.
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

/// An open stream, for status output.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamInfo {
    /// Number, unique in this run of the service.
    pub number: u64,
    /// The node's id.
    pub node: String,
    /// The node's cluster.
    pub cluster: String,
    /// The node's zone.
    pub zone: String,
    /// Whether the stream uses the incremental variant; else state-of-the-world.
    pub incremental: bool,
    /// Start, on the hub's clock.
    pub since: Duration,
    /// Requests received.
    pub requests: u64,
    /// Responses passed to the connection.
    pub responses: u64,
    /// Bytes of resources passed to the connection.
    pub bytes: u64,
    /// Id of the served version: [`Hub::newest_version_id`] or the previous one.
    pub version_id: u64,
    /// Status per resource type.
    pub type_statuses: Vec<TypeStatus>,
}

/// A closed stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedStream {
    /// The node's id.
    pub node: String,
    /// End, on the hub's clock.
    pub at: Duration,
    /// Reason.
    pub why: String,
}

/// Maximum length of a node id, cluster or zone.
pub(crate) const MAX_NODE_NAME_BYTES: usize = 256;
/// Closed streams kept for status output.
const MAX_ENDED_STREAMS: usize = 64;

#[derive(Default)]
struct Streams {
    open: BTreeMap<u64, StreamInfo>,
    of_node: BTreeMap<String, usize>,
    ended: std::collections::VecDeque<EndedStream>,
    /// Number of open load reporting streams by node.
    load_streams: BTreeMap<String, usize>,
}

/// Decrements the number of streams of a node.
fn decrement_stream_count(of_node: &mut BTreeMap<String, usize>, node: &str) {
    if let Some(count) = of_node.get_mut(node) {
        *count -= 1;
        if *count == 0 {
            of_node.remove(node);
        }
    }
}

/// An open load reporting stream. Unregisters it when dropped.
pub(crate) struct LoadStream {
    hub: Arc<Hub>,
    node: String,
}

impl Drop for LoadStream {
    fn drop(&mut self) {
        decrement_stream_count(&mut self.hub.lock().load_streams, &self.node);
    }
}

/// A served version of the resources, and the version that it was forked from.
pub(crate) struct ServedVersion {
    pub(crate) id: u64,
    pub(crate) cache: Cache,
    /// Id of the parent version, and the sequence number of the last change that both have.
    pub(crate) forked_from: Option<(u64, u64)>,
}

/// The served versions: one, or two during a rollout.
pub(crate) struct ServedVersions {
    main: ServedVersion,
    /// The new version and the share of the nodes that are served it, in 1/10,000.
    next: Option<(ServedVersion, u32)>,
}

impl ServedVersions {
    /// The version for nodes of a bucket.
    pub(crate) fn for_bucket(&self, bucket: u32) -> &ServedVersion {
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

/// The rollout bucket of a node, `0..10_000`, from a hash of its id. A share of the nodes is the buckets below it. The
/// same in every run.
pub fn rollout_bucket(node: &str) -> u32 {
    (hash([node.as_bytes()]) % 10_000) as u32
}

/// State shared by all streams.
pub struct Hub {
    pub(crate) settings: Settings,
    versions: RwLock<ServedVersions>,
    head: watch::Sender<u64>,
    streams: Mutex<Streams>,
    loads: Mutex<LoadStats>,
    next_stream: AtomicU64,
    /// Random id of this run, unique among all runs; part of the names of streams.
    pub(crate) run: u64,
    started: Instant,
}

impl Hub {
    /// An empty hub. Its versions are ordered after those of all earlier epochs.
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

    /// Time since the creation of the hub.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Applies changes to the newest version atomically: no proxy sees only some of them. Returns whether anything
    /// changed.
    pub fn publish(&self, changes: impl IntoIterator<Item = Change>) -> bool {
        let now = self.now();
        self.change(|versions| match &mut versions.next {
            Some((version, _)) => version.cache.apply(now, changes),
            None => versions.main.cache.apply(now, changes),
        })
    }

    /// Applies changes to the previous version during a rollout.
    pub fn publish_previous(&self, changes: impl IntoIterator<Item = Change>) -> bool {
        let now = self.now();
        self.change(|versions| versions.next.is_some() && versions.main.cache.apply(now, changes))
    }

    /// Forks a new version from the served one, with a rollout share of 0. No effect during a rollout.
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

    /// Serves the newest version to a share of the nodes in 1/10,000, by their [`rollout_bucket`].
    pub fn set_rollout_share(&self, share: u32) {
        self.change(|versions| {
            versions.next.as_mut().is_some_and(|(_, was)| std::mem::replace(was, share) != share)
        });
        self.loads(|loads| loads.start_stage(self.now(), share));
    }

    /// Serves the newest version to all nodes and discards the previous one.
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

    /// Starts the update of the served versions to an index of the cluster's log. Streams are sent nothing until
    /// [`finish_update`](Self::finish_update) is called.
    pub fn begin_update(&self, epoch: u64, index: u64) {
        self.change(|versions| {
            versions.caches().for_each(|cache| cache.begin_update(epoch, index));
            false
        });
    }

    /// Ends the update: the served versions hold the state at the index given to [`begin_update`](Self::begin_update).
    pub fn finish_update(&self) {
        self.change(|versions| {
            versions.caches().for_each(Cache::finish_update);
            true
        });
    }

    /// Gives access to the cache of the newest version.
    pub fn cache<T>(&self, with: impl FnOnce(&Cache) -> T) -> T {
        with(&self.versions().newest().cache)
    }

    /// Gives access to the cache of the previous version during a rollout, else of the only one.
    pub fn previous_cache<T>(&self, with: impl FnOnce(&Cache) -> T) -> T {
        with(&self.versions().main.cache)
    }

    /// Gives access to the load statistics. Lock order: the versions before the load statistics.
    pub fn loads<T>(&self, with: impl FnOnce(&mut LoadStats) -> T) -> T {
        with(&mut self.loads.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Adds the reports of a node with this [`rollout_bucket`].
    pub(crate) fn report(&self, bucket: u32, reports: &[LoadReport]) -> Result<(), InvalidReport> {
        let (now, versions) = (self.now(), self.versions());
        let cache = &versions.for_bucket(bucket).cache;
        self.loads(|loads| {
            loads.report(now, bucket, reports, |pool| cache.get(ResourceType::Cluster, pool).is_some())
        })
    }

    /// Registers a load reporting stream. Fails if the node is refused or a limit is reached.
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

    /// Checks that a node may connect: its names are within the length limit and an access rule allows it.
    pub(crate) fn check_node(&self, node: &str, cluster: &str) -> Result<(), tonic::Status> {
        if node.is_empty() {
            let what = "the first request must name the node: `node.id` is empty";
            return Err(tonic::Status::invalid_argument(what));
        }
        if [node, cluster].iter().any(|name| name.len() > MAX_NODE_NAME_BYTES) {
            let what = format!("a name of the node is over {MAX_NODE_NAME_BYTES} bytes");
            return Err(tonic::Status::invalid_argument(what));
        }
        let access = &self.settings.access;
        if !access.is_empty() && !access.iter().any(|a| a.allows(node, cluster)) {
            let what = format!("node `{node}` of cluster `{cluster}` may not connect here");
            return Err(tonic::Status::permission_denied(what));
        }
        Ok(())
    }

    /// Id of the newest version, comparable to [`StreamInfo::version_id`].
    pub fn newest_version_id(&self) -> u64 {
        self.versions().newest().id
    }

    pub(crate) fn versions(&self) -> RwLockReadGuard<'_, ServedVersions> {
        self.versions.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// The open streams, sorted by number.
    pub fn streams(&self) -> Vec<StreamInfo> {
        self.lock().open.values().cloned().collect()
    }

    /// The last closed streams, the most recent last.
    pub fn ended(&self) -> Vec<EndedStream> {
        self.lock().ended.iter().cloned().collect()
    }

    pub(crate) fn head(&self) -> watch::Receiver<u64> {
        self.head.subscribe()
    }

    pub(crate) fn number(&self) -> u64 {
        self.next_stream.fetch_add(1, Ordering::Relaxed)
    }

    /// Registers a stream. Fails if the node is refused or a limit is reached.
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
        if streams.ended.len() == MAX_ENDED_STREAMS {
            streams.ended.pop_front();
        }
        streams.ended.push_back(EndedStream { node: stream.node, at, why });
    }

    fn lock(&self) -> MutexGuard<'_, Streams> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
