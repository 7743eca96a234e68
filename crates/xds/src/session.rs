//! One stream of one proxy, as a state machine: requests go in, responses come out when there is room for one.
//!
//! A session holds no queue. For each type it keeps how far in the cache's sequence it has told its proxy;
//! what it tells next is made when the stream can take it, from the newest state. So a slow reader misses
//! states in between, never the last one, and costs no memory for being slow.
//!
//! Both variants of the protocol run here. State-of-the-world: <https://www.envoyproxy.io/docs/envoy/latest/api-docs/xds_protocol>,
//! "Four Variants", "ACK/NACK and resource type instance version", "When to send an update"; incremental: ibid.,
//! "Incremental xDS".

use crate::cache::{Cache, Encoded, Entry, hash, is_version, version_text};
use crate::resource_type::ResourceType;
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Named limits of a session.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Names that a stream may subscribe to, of all types together. A stranger's names would fill the memory.
    pub max_names: usize,
    /// Bytes of names that a stream may subscribe to.
    pub max_name_bytes: usize,
    /// Bytes of resources in one response, where the protocol lets it be split. Each stream may hold two responses in
    /// memory, so that a thousand proxies that connect at once cost a thousand times this; gRPC clients take 4 MiB.
    pub max_response_bytes: usize,
    /// A removal waits no longer than this for what refers to the resource to be acknowledged as gone; on streams
    /// of a single type, which can't tell, it always waits for [`single_type_removal_delay`](Self::single_type_removal_delay).
    pub max_removal_delay: Duration,
    /// How long removals wait on streams of a single type.
    pub single_type_removal_delay: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_names: 20_000,
            max_name_bytes: 2 << 20,
            max_response_bytes: 64 << 10,
            max_removal_delay: Duration::from_secs(30),
            single_type_removal_delay: Duration::from_secs(2),
        }
    }
}

/// Responses whose acknowledgement is remembered, of each type: one that never comes must not fill the memory.
const UNACKED_MOST: usize = 8;
/// Parts into which what was rejected is taken at most.
const APART_MOST: usize = 64;
/// Requests that wait for this instance to know what the proxy knows: a few for each type.
const EARLY_MOST: usize = 64;
/// Of a proxy's words on why it rejects so many bytes are kept.
const DETAIL_MOST: usize = 1024;

/// Why a stream is ended.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// The type is none that is served.
    #[error("type `{0}` is not served here")]
    UnknownType(String),
    /// The stream is of one type, and another one was asked for.
    #[error("type `{0}` does not belong on a stream of {1}")]
    WrongType(String, &'static str),
    /// Too many names.
    #[error("the stream subscribes to more than {names} names or {bytes} bytes of names")]
    TooManyNames {
        /// Names allowed.
        names: usize,
        /// Bytes allowed.
        bytes: usize,
    },
    /// Removals that it needs are forgotten.
    #[error("the stream fell too far behind: reconnect")]
    TooFarBehind,
}

/// A request, of either variant.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Type URL; may be empty on streams of a single type.
    pub type_url: String,
    /// Nonce of the response that this acknowledges or rejects; empty for neither.
    pub nonce: String,
    /// Why the response is rejected; none: it isn't.
    pub error: Option<String>,
    /// State-of-the-world: the version held.
    pub version: String,
    /// State-of-the-world: all names; incremental: names added.
    pub names: Vec<String>,
    /// Incremental: names taken back.
    pub unsubscribe: Vec<String>,
    /// Incremental: versions held from an earlier stream.
    pub initial_versions: BTreeMap<String, String>,
}

/// A response, of either variant.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Its type.
    pub kind: ResourceType,
    /// Its nonce.
    pub nonce: String,
    /// Version of the whole.
    pub version: String,
    /// Resources, encoded for the session's variant and shared with all others.
    pub resources: Vec<Bytes>,
    /// Incremental: names of resources that are gone.
    pub removed: Vec<String>,
}

/// What a proxy rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The version.
    pub version: String,
    /// Why, in the proxy's words.
    pub detail: String,
    /// When.
    pub at: Duration,
}

/// How a type stands on a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TypeStatus {
    /// The type.
    pub kind: ResourceType,
    /// All of it is subscribed.
    pub wildcard: bool,
    /// Names subscribed.
    pub names: usize,
    /// The last version sent, and when.
    pub sent: Option<(String, Duration)>,
    /// The last version acknowledged, and when.
    pub acked: Option<(String, Duration)>,
    /// The last rejection, if nothing was acknowledged since.
    pub rejected: Option<Rejection>,
    /// Rejections in all.
    pub rejections: u64,
    /// Requests that answered another stream's response, or one long past.
    pub stale: u64,
    /// The proxy held a version of a later epoch than this service's.
    pub from_future: bool,
    /// Changes that are not yet acknowledged.
    pub behind: bool,
}

struct Sent {
    nonce: u64,
    version: String,
    names: Vec<Arc<str>>,
    cursor: u64,
    removed_to: u64,
}

#[derive(Default)]
struct Watch {
    wildcard: bool,
    names: BTreeSet<Arc<str>>,
    /// Changes up to here are told.
    cursor: u64,
    /// Removals up to here are told.
    removed_to: u64,
    /// Up to here all is told and acknowledged.
    settled: u64,
    /// To be told whatever the cursor says, in whole or part.
    due: BTreeSet<Arc<str>>,
    /// A whole answer is owed.
    owed: bool,
    /// Versions held from an earlier stream, until the cursor has passed what there was then.
    held: BTreeMap<String, String>,
    /// Names held that are gone.
    lost: BTreeSet<String>,
    /// Parts of what was rejected, to be told apart.
    apart: VecDeque<Vec<Arc<str>>>,
    unacked: VecDeque<Sent>,
    /// State-of-the-world: the version held, from an earlier stream.
    claimed: String,
    sent: Option<(String, Duration)>,
    acked: Option<(String, Duration)>,
    rejected: Option<Rejection>,
    rejections: u64,
    stale: u64,
    from_future: bool,
    /// Number of the last response.
    last: Option<u64>,
    /// Hash of the whole answer being made.
    tag: Option<u64>,
    /// Removals wait for other types.
    waiting: bool,
}

/// One stream.
pub struct Session {
    stream: String,
    incremental: bool,
    only: Option<ResourceType>,
    zone: String,
    limits: Limits,
    watches: [Option<Watch>; 4],
    next_nonce: u64,
    names: usize,
    name_bytes: usize,
    /// The proxy holds what was agreed up to this index: with less it is told nothing.
    floor: u64,
    /// Requests that wait until the cache has come there.
    early: Vec<Request>,
}

impl Session {
    /// A stream with a name that no other one has, of the incremental variant or not, of one type or of all,
    /// of a proxy in this zone.
    pub fn new(stream: String, incremental: bool, only: Option<ResourceType>, limits: Limits) -> Self {
        Session {
            stream,
            incremental,
            only,
            zone: String::new(),
            limits,
            watches: Default::default(),
            next_nonce: 0,
            names: 0,
            name_bytes: 0,
            floor: 0,
            early: Vec::new(),
        }
    }

    /// The proxy's zone, which its first request tells.
    pub fn set_zone(&mut self, zone: &str) {
        zone.clone_into(&mut self.zone);
    }

    /// Takes a request. A refusal ends the stream.
    ///
    /// What the proxy holds may be newer than what this instance knows: then nothing is said of what it asks for until
    /// that has changed.
    pub fn request(&mut self, cache: &Cache, now: Duration, request: Request) -> Result<(), SessionError> {
        self.claim(cache, &request);
        if cache.reaches(self.floor) && self.early.is_empty() {
            return self.take(cache, now, request);
        }
        if self.early.len() >= EARLY_MOST {
            return Err(SessionError::TooFarBehind);
        }
        self.early.push(request);
        Ok(())
    }

    fn claim(&mut self, cache: &Cache, request: &Request) {
        let held = request.initial_versions.values().chain([&request.version]);
        self.floor = held.map(|version| cache.index_in(version)).fold(self.floor, u64::max);
    }

    /// The index that the proxy holds and this instance has yet to reach, if that is so.
    pub fn awaited_index(&self, cache: &Cache) -> Option<u64> {
        (!cache.reaches(self.floor)).then_some(self.floor)
    }

    fn take(&mut self, cache: &Cache, now: Duration, request: Request) -> Result<(), SessionError> {
        let kind = match (self.only, ResourceType::from_url(&request.type_url)) {
            (Some(only), _) if request.type_url.is_empty() => only,
            (Some(only), Some(kind)) if kind == only => only,
            (Some(only), _) => return Err(SessionError::WrongType(clip(&request.type_url), only.url())),
            (None, Some(kind)) => kind,
            (None, None) => return Err(SessionError::UnknownType(clip(&request.type_url))),
        };
        if self.watches[kind.index()].is_none() {
            return self.first(cache, kind, request);
        }
        let fresh = self.answer(kind, now, &request);
        if self.incremental {
            let (add, remove) = (request.names, request.unsubscribe);
            self.unsubscribe(cache, kind, remove);
            return self.subscribe(cache, kind, add, false);
        }
        // What answers an older response was sent before the newest one was seen: another request follows.
        if !fresh {
            return Ok(());
        }
        let names: BTreeSet<Arc<str>> = request.names.into_iter().map(Arc::from).collect();
        let Some(watch) = &self.watches[kind.index()] else { return Ok(()) };
        if watch.wildcard && names.is_empty() {
            return Ok(()); // the old way to ask for all, which holds for as long as no name is given
        }
        let dropped: Vec<String> =
            watch.names.iter().filter(|name| !names.contains(*name)).map(|name| name.to_string()).collect();
        let added =
            names.iter().filter(|name| !watch.names.contains(*name)).map(|n| n.to_string()).collect();
        let all = names.contains("*");
        self.unsubscribe(cache, kind, dropped);
        self.subscribe(cache, kind, added, false)?;
        if let Some(watch) = &mut self.watches[kind.index()] {
            watch.wildcard = all;
        }
        Ok(())
    }

    /// The first request for a type.
    fn first(&mut self, cache: &Cache, kind: ResourceType, request: Request) -> Result<(), SessionError> {
        // Asking for nothing by name is asking for all, for the types that begin a chain of references.
        let all = kind.requires_full_state() && request.names.is_empty();
        let mut watch =
            Watch { wildcard: all, owed: !self.incremental, claimed: request.version, ..Watch::default() };
        watch.from_future = epoch_of(&watch.claimed).is_some_and(|epoch| epoch > cache.epoch());
        // What was removed before is no news, but for names that the proxy says it holds.
        (watch.removed_to, watch.cursor) = (cache.seq(), if all { 0 } else { cache.seq() });
        for (name, version) in request.initial_versions {
            let unknown = cache.is_unknown(kind, &name);
            match cache.entry(kind, &name) {
                Some(_) => drop(watch.held.insert(name, version)),
                None if unknown => {}
                None => drop(watch.lost.insert(name)),
            }
        }
        let subscribed: BTreeSet<&str> = request.names.iter().map(String::as_str).collect();
        watch.lost.retain(|name| all || subscribed.contains("*") || subscribed.contains(name.as_str()));
        self.watches[kind.index()] = Some(watch);
        self.subscribe(cache, kind, request.names, true)
    }

    /// Takes an acknowledgement or rejection; tells whether the request answers the newest response.
    fn answer(&mut self, kind: ResourceType, now: Duration, request: &Request) -> bool {
        let number = request.nonce.strip_prefix(&self.stream).and_then(|rest| rest.strip_prefix('-'));
        let number: Option<u64> = number.and_then(|number| number.parse().ok());
        let Some(watch) = &mut self.watches[kind.index()] else { return false };
        if request.nonce.is_empty() {
            return watch.sent.is_none() || self.incremental;
        }
        let place = watch.unacked.iter().position(|sent| Some(sent.nonce) == number);
        let newest = place.is_some_and(|place| place + 1 == watch.unacked.len());
        let Some(sent) = place.and_then(|place| watch.unacked.drain(..=place).next_back()) else {
            // An answer that was taken already may come again with other names.
            let again = number.is_some() && number == watch.last;
            watch.stale += u64::from(!again);
            return again;
        };
        match &request.error {
            None => {
                watch.settled = watch.settled.max(sent.cursor.min(sent.removed_to));
                watch.acked = Some((sent.version, now));
                if watch.apart.is_empty() {
                    watch.rejected = None;
                }
            }
            Some(detail) => {
                watch.rejections += 1;
                let detail = clip(detail);
                watch.rejected = Some(Rejection { version: sent.version, detail, at: now });
                // One bad resource must not keep the others of its response from the proxy, a drain among them.
                let partial = self.incremental || !kind.requires_full_state();
                if partial && sent.names.len() > 1 && watch.apart.len() + 2 <= APART_MOST {
                    let (a, b) = sent.names.split_at(sent.names.len() / 2);
                    watch.apart.push_back(a.to_vec());
                    watch.apart.push_back(b.to_vec());
                }
            }
        }
        newest
    }

    fn subscribe(
        &mut self,
        cache: &Cache,
        kind: ResourceType,
        names: Vec<String>,
        first: bool,
    ) -> Result<(), SessionError> {
        let Some(watch) = &mut self.watches[kind.index()] else { return Ok(()) };
        for name in names {
            if name == "*" {
                if !watch.wildcard {
                    watch.wildcard = true;
                    watch.cursor = 0;
                    watch.owed |= !self.incremental;
                }
                if self.incremental {
                    continue;
                }
            }
            let name: Arc<str> = match cache.entry(kind, &name) {
                Some((known, entry)) => {
                    // What the proxy holds already needs no sending: only on a first request can it say so.
                    let same = first && watch.held.get(&name).is_some_and(|v| is_version(v, entry.version));
                    if !same && name != "*" {
                        watch.due.insert(known.clone());
                    }
                    known.clone()
                }
                None => {
                    let name: Arc<str> = name.into();
                    if &*name != "*" {
                        watch.due.insert(name.clone());
                    }
                    name
                }
            };
            let bytes = name.len();
            if watch.names.insert(name) {
                self.names += 1;
                self.name_bytes += bytes;
            }
            if self.names > self.limits.max_names || self.name_bytes > self.limits.max_name_bytes {
                let (names, bytes) = (self.limits.max_names, self.limits.max_name_bytes);
                return Err(SessionError::TooManyNames { names, bytes });
            }
        }
        Ok(())
    }

    fn unsubscribe(&mut self, cache: &Cache, kind: ResourceType, names: Vec<String>) {
        let Some(watch) = &mut self.watches[kind.index()] else { return };
        for name in names {
            if name == "*" && self.incremental {
                watch.wildcard = false;
            }
            if let Some(name) = watch.names.take(name.as_str()) {
                self.names -= 1;
                self.name_bytes -= name.len();
                watch.due.remove(&name);
                if self.incremental && watch.wildcard && cache.entry(kind, &name).is_some() {
                    watch.due.insert(name); // it is still among all: the proxy may have dropped it
                }
            }
        }
    }

    /// The next response, if anything is to be told: to be called when the stream can take one, and then until
    /// there is none.
    pub fn poll(&mut self, cache: &Cache, now: Duration) -> Result<Option<Response>, SessionError> {
        let early = std::mem::take(&mut self.early);
        // What they name could not be told from another cluster's while the epoch was not known.
        early.iter().for_each(|request| self.claim(cache, request));
        if !cache.reaches(self.floor) {
            self.early = early;
            return Ok(None);
        }
        for request in early {
            self.take(cache, now, request)?;
        }
        loop {
            let before = self.settled();
            for kind in ResourceType::ALL {
                let response = self.poll_kind(cache, kind, now)?;
                if response.is_some() {
                    return Ok(response);
                }
            }
            // What one type has settled may let another one's removals go.
            if self.settled() == before {
                return Ok(None);
            }
        }
    }

    /// Goes over to a cache that was the same up to this change: all that is different since is told anew.
    pub fn rewind(&mut self, to: u64) {
        for watch in self.watches.iter_mut().flatten() {
            watch.cursor = watch.cursor.min(to);
            watch.removed_to = watch.removed_to.min(to);
            watch.settled = watch.settled.min(to);
            for sent in &mut watch.unacked {
                (sent.cursor, sent.removed_to) = (sent.cursor.min(to), sent.removed_to.min(to));
            }
        }
    }

    fn settled(&self) -> [Option<u64>; 4] {
        std::array::from_fn(|i| self.watches[i].as_ref().map(|watch| watch.settled))
    }

    fn poll_kind(
        &mut self,
        cache: &Cache,
        kind: ResourceType,
        now: Duration,
    ) -> Result<Option<Response>, SessionError> {
        let open = self.open_to(cache, kind, now);
        let Some(watch) = self.watches[kind.index()].as_mut() else { return Ok(None) };
        if watch.removed_to > 0 && !cache.has_removals_since(kind, watch.removed_to) {
            return Err(SessionError::TooFarBehind);
        }
        let (zone, most) = (self.zone.as_str(), self.limits.max_response_bytes);
        let mut batch = Batch { incremental: self.incremental, zone, most, ..Batch::default() };
        let before = watch.cursor;
        let told = if !self.incremental && kind.requires_full_state() {
            watch.whole(cache, kind, open, &mut batch)
        } else {
            watch.part(cache, kind, open, &mut batch)
        };
        if !told {
            if watch.unacked.is_empty() && watch.rejected.is_none() {
                watch.settled = watch.cursor.min(watch.removed_to);
            }
            return Ok(None);
        }
        self.next_nonce += 1;
        let nonce = self.next_nonce;
        let version = match watch.tag.take() {
            Some(tag) => format!("{}-{}", cache.version_prefix(), version_text(tag)),
            None => cache.version_prefix(),
        };
        let Batch { resources, names, removed, .. } = batch;
        watch.sent = Some((version.clone(), now));
        watch.last = Some(nonce);
        if watch.unacked.len() == UNACKED_MOST {
            watch.unacked.pop_front();
        }
        let (cursor, removed_to) = (watch.cursor, watch.removed_to);
        let sent = Sent { nonce, version: version.clone(), names: names.clone(), cursor, removed_to };
        watch.unacked.push_back(sent);
        if kind == ResourceType::Cluster {
            self.warm(cache, &names, before);
        }
        Ok(Some(Response { kind, nonce: format!("{}-{nonce}", self.stream), version, resources, removed }))
    }

    /// A proxy that takes in a changed cluster waits for its endpoints again: they follow, changed or not.
    fn warm(&mut self, cache: &Cache, clusters: &[Arc<str>], before: u64) {
        let Some(watch) = &mut self.watches[ResourceType::Endpoint.index()] else { return };
        for name in clusters {
            let changed =
                cache.entry(ResourceType::Cluster, name).is_some_and(|(_, entry)| entry.seq > before);
            let endpoints = cache.entry(ResourceType::Endpoint, name);
            if changed && endpoints.is_some_and(|(name, entry)| watch.subscribed(name, entry)) {
                watch.due.insert(name.clone());
            }
        }
    }

    /// The last removal of a type that may be told now: what refers to the resource must be gone first, that is,
    /// the proxy has acknowledged all types after this one in make-before-break order as of then.
    fn open_to(&self, cache: &Cache, kind: ResourceType, now: Duration) -> u64 {
        let Some(watch) = &self.watches[kind.index()] else { return 0 };
        let (gate, hold) = match self.only {
            Some(_) => (0, self.limits.single_type_removal_delay),
            None => {
                let later = self.watches[kind.index() + 1..].iter().flatten();
                (later.map(|w| w.settled).min().unwrap_or(u64::MAX), self.limits.max_removal_delay)
            }
        };
        let mut open = watch.removed_to;
        for (_, seq, at, _) in cache.removed(kind, watch.removed_to) {
            if seq > gate && at + hold > now {
                return open;
            }
            open = seq;
        }
        cache.seq().max(open)
    }

    /// Whether removals wait: the session is to be polled again within a second or so, though nothing happens.
    pub fn has_pending_removals(&self) -> bool {
        self.watches.iter().flatten().any(|watch| watch.waiting)
    }

    /// How each type stands, for people.
    pub fn type_statuses(&self, cache: &Cache) -> Vec<TypeStatus> {
        let watches = ResourceType::ALL.into_iter().zip(&self.watches);
        let watched = watches.filter_map(|(kind, watch)| watch.as_ref().map(|watch| (kind, watch)));
        watched
            .map(|(kind, watch)| TypeStatus {
                kind,
                wildcard: watch.wildcard,
                names: watch.names.len(),
                sent: watch.sent.clone(),
                acked: watch.acked.clone(),
                rejected: watch.rejected.clone(),
                rejections: watch.rejections,
                stale: watch.stale,
                from_future: watch.from_future,
                behind: !watch.unacked.is_empty()
                    || !watch.due.is_empty()
                    || cache.changed(kind, watch.cursor).any(|(name, entry)| watch.subscribed(name, entry)),
            })
            .collect()
    }
}

/// A response being put together.
#[derive(Default)]
struct Batch<'a> {
    incremental: bool,
    zone: &'a str,
    most: usize,
    bytes: usize,
    resources: Vec<Bytes>,
    names: Vec<Arc<str>>,
    removed: Vec<String>,
}

impl Batch<'_> {
    fn add(&mut self, name: &Arc<str>, entry: &Entry) {
        let Encoded { any, resource } = entry.encoded(self.zone);
        let bytes = if self.incremental { resource } else { any };
        self.bytes += bytes.len();
        self.resources.push(bytes.clone());
        self.names.push(name.clone());
    }

    fn full(&self) -> bool {
        self.bytes >= self.most
    }
}

impl Watch {
    fn subscribed(&self, name: &str, entry: &Entry) -> bool {
        (self.wildcard && !entry.by_name_only()) || self.names.contains(name)
    }

    /// Everything subscribed, if any of it changed.
    fn whole(&mut self, cache: &Cache, kind: ResourceType, open: u64, batch: &mut Batch) -> bool {
        let changed = cache.changed(kind, self.cursor).any(|(name, entry)| self.subscribed(name, entry));
        let gone = cache
            .removed(kind, self.removed_to)
            .any(|(name, seq, _, entry)| seq <= open && self.subscribed(name, entry));
        let due = self.due.iter().any(|name| !cache.is_unknown(kind, name));
        self.cursor = cache.seq();
        self.removed_to = open;
        self.waiting = cache.removed(kind, open).any(|(name, _, _, entry)| self.subscribed(name, entry));
        if !(self.owed || changed || gone || due) {
            return false;
        }
        self.due.retain(|name| cache.is_unknown(kind, name));
        for (name, entry) in cache.all(kind).filter(|(name, entry)| self.subscribed(name, entry)) {
            batch.add(name, entry);
        }
        // What is gone, but may not be dropped yet.
        for (name, _, _, entry) in
            cache.removed(kind, open).filter(|(name, _, _, entry)| self.subscribed(name, entry))
        {
            batch.add(name, entry);
        }
        let parts = batch.resources.iter().map(|bytes| bytes.as_ref());
        let tag = hash(parts);
        self.tag = Some(tag);
        let claimed = std::mem::take(&mut self.claimed);
        let same = claimed.rsplit_once('-').is_some_and(|(_, held)| held == version_text(tag));
        if std::mem::take(&mut self.owed) && same {
            self.tag = None; // it holds just this, from an earlier stream
            return false;
        }
        true
    }

    /// What changed of what is subscribed, up to one response's size.
    fn part(&mut self, cache: &Cache, kind: ResourceType, open: u64, batch: &mut Batch) -> bool {
        if let Some(names) = self.apart.pop_front() {
            for name in names {
                if let Some((name, entry)) = cache.entry(kind, &name) {
                    batch.add(name, entry);
                }
            }
            if !batch.names.is_empty() {
                return true;
            }
        }
        let due: Vec<Arc<str>> = self.due.iter().cloned().collect();
        for name in due {
            if batch.full() {
                return true;
            }
            match cache.entry(kind, &name) {
                Some((name, entry)) => batch.add(name, entry),
                None if cache.is_unknown(kind, &name) => continue,
                None if batch.incremental => batch.removed.push(name.to_string()),
                None => {} // a state-of-the-world answer has no words for what doesn't exist
            }
            self.due.remove(&name);
        }
        let told: BTreeSet<Arc<str>> = batch.names.iter().cloned().collect();
        for (name, entry) in cache.changed(kind, self.cursor) {
            if batch.full() {
                return true;
            }
            self.cursor = entry.seq;
            let held = self.held.get(&**name).is_some_and(|held| is_version(held, entry.version));
            if self.subscribed(name, entry) && !told.contains(name) && !held {
                batch.add(name, entry);
            }
        }
        self.cursor = cache.seq();
        self.held.clear();
        if batch.incremental {
            batch.removed.extend(std::mem::take(&mut self.lost));
            for (name, seq, _, entry) in cache.removed(kind, self.removed_to) {
                if seq <= open && self.subscribed(name, entry) {
                    batch.removed.push(name.to_string());
                }
            }
        }
        self.removed_to = open;
        self.waiting = batch.incremental
            && cache.removed(kind, open).any(|(name, _, _, entry)| self.subscribed(name, entry));
        !batch.names.is_empty() || !batch.removed.is_empty()
    }
}

/// The epoch of a version of this service's.
fn epoch_of(version: &str) -> Option<u64> {
    version.split_once('.').and_then(|(epoch, _)| epoch.parse().ok())
}

fn clip(text: &str) -> String {
    text[..text.floor_char_boundary(DETAIL_MOST)].to_owned()
}
