//! State machine of one xDS stream: takes requests and returns responses when the stream can take one.
//!
//! A session has no queue. For each resource type it keeps a cursor in the cache's sequence of changes. A response is
//! built from the newest state when the stream can take it, so a slow reader skips intermediate states, always gets the
//! last one, and takes no extra memory.
//!
//! Implements both protocol variants. State-of-the-world: <https://www.envoyproxy.io/docs/envoy/latest/api-docs/xds_protocol>,
//! "Four Variants", "ACK/NACK and resource type instance version", "When to send an update"; incremental: ibid.,
//! "Incremental xDS".

use crate::cache::{Cache, Encoded, Entry, hash, is_version, version_text};
use crate::resource_type::ResourceType;
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Limits of a session.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum names that a stream may subscribe to, over all types. Bounds the memory that a client can take.
    pub max_names: usize,
    /// Maximum total length in bytes of the names that a stream may subscribe to.
    pub max_name_bytes: usize,
    /// Target size in bytes of the resources of one response, where the protocol allows splitting. Each stream may hold
    /// two responses in memory, so memory at a mass reconnection is proportional to this; gRPC clients accept 4 MiB.
    pub max_response_bytes: usize,
    /// Maximum time that a removal is deferred until the removal of references to the resource is acknowledged. On
    /// streams of a single type, where this isn't known, the delay is always [`single_type_removal_delay`](Self::single_type_removal_delay).
    pub max_removal_delay: Duration,
    /// Delay of removals on streams of a single type.
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

/// Maximum unacknowledged responses kept per type, so that missing acknowledgements can't exhaust memory.
const MAX_UNACKED: usize = 8;
/// Maximum parts into which a rejected response is split.
const MAX_REJECTED_PARTS: usize = 64;
/// Maximum requests kept until this instance has caught up with the state that the proxy holds; a few per type.
const MAX_DEFERRED_REQUESTS: usize = 64;
/// Maximum bytes kept of a rejection's error detail.
const MAX_DETAIL_BYTES: usize = 1024;

/// Reason for which the service closes a stream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// The resource type isn't served.
    #[error("type `{0}` is not served here")]
    UnknownType(String),
    /// A request for another type on a stream of a single type.
    #[error("type `{0}` does not belong on a stream of {1}")]
    WrongType(String, &'static str),
    /// The limit on subscribed names is exceeded.
    #[error("the stream subscribes to more than {names} names or {bytes} bytes of names")]
    TooManyNames {
        /// Maximum names.
        names: usize,
        /// Maximum bytes of names.
        bytes: usize,
    },
    /// Removals that the session has yet to send were discarded.
    #[error("the stream fell too far behind: reconnect")]
    TooFarBehind,
}

/// A request of either protocol variant.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Type URL; may be empty on streams of a single type.
    pub type_url: String,
    /// Nonce of the response that this acknowledges or rejects; empty if none.
    pub nonce: String,
    /// Error detail of a rejection (NACK).
    pub error: Option<String>,
    /// State-of-the-world: the version that the client holds.
    pub version: String,
    /// State-of-the-world: all subscribed names; incremental: names to subscribe to.
    pub names: Vec<String>,
    /// Incremental: names to unsubscribe from.
    pub unsubscribe: Vec<String>,
    /// Incremental: versions that the client holds from an earlier stream, by name.
    pub initial_versions: BTreeMap<String, String>,
}

/// A response of either protocol variant.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Resource type.
    pub kind: ResourceType,
    /// Nonce.
    pub nonce: String,
    /// Version of the response.
    pub version: String,
    /// Resources encoded for the session's variant; the bytes are shared by all sessions.
    pub resources: Vec<Bytes>,
    /// Incremental: names of removed resources.
    pub removed: Vec<String>,
}

/// A rejection (NACK).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The rejected version.
    pub version: String,
    /// Error detail from the proxy.
    pub detail: String,
    /// Time of the rejection.
    pub at: Duration,
}

/// Status of a resource type on a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TypeStatus {
    /// Resource type.
    pub kind: ResourceType,
    /// Whether there is a wildcard subscription.
    pub wildcard: bool,
    /// Number of subscribed names.
    pub names: usize,
    /// The last version sent, with the time.
    pub sent: Option<(String, Duration)>,
    /// The last version acknowledged, with the time.
    pub acked: Option<(String, Duration)>,
    /// The last rejection, unless a later response was acknowledged.
    pub rejected: Option<Rejection>,
    /// Number of rejections.
    pub rejections: u64,
    /// Number of requests with the nonce of another stream or of an old response.
    pub stale: u64,
    /// Whether the proxy held a version of a later epoch than this service's.
    pub from_future: bool,
    /// Whether there are changes that aren't acknowledged yet.
    pub behind: bool,
}

struct SentResponse {
    nonce: u64,
    version: String,
    names: Vec<Arc<str>>,
    cursor: u64,
    removed_to: u64,
}

#[derive(Default)]
struct Subscription {
    wildcard: bool,
    names: BTreeSet<Arc<str>>,
    /// Changes up to this sequence number are sent.
    cursor: u64,
    /// Removals up to this sequence number are sent.
    removed_to: u64,
    /// Everything up to this sequence number is sent and acknowledged.
    acked_to: u64,
    /// Names to send regardless of the cursor.
    due: BTreeSet<Arc<str>>,
    /// A full response must be sent.
    full_due: bool,
    /// Versions that the client holds from an earlier stream; cleared once the cursor has reached the present.
    held: BTreeMap<String, String>,
    /// Names that the client holds but that no longer exist.
    removed_before: BTreeSet<String>,
    /// Parts of a rejected response, to be sent separately.
    rejected_parts: VecDeque<Vec<Arc<str>>>,
    unacked: VecDeque<SentResponse>,
    /// State-of-the-world: the version that the client holds from an earlier stream.
    held_version: String,
    sent: Option<(String, Duration)>,
    acked: Option<(String, Duration)>,
    rejected: Option<Rejection>,
    rejections: u64,
    stale: u64,
    from_future: bool,
    /// Number of the last response.
    last_nonce: Option<u64>,
    /// Hash of the full response being built.
    full_hash: Option<u64>,
    /// Removals are deferred until other types are acknowledged.
    removals_pending: bool,
}

/// The session of one stream.
pub struct Session {
    stream: String,
    incremental: bool,
    only: Option<ResourceType>,
    zone: String,
    limits: Limits,
    subscriptions: [Option<Subscription>; 4],
    next_nonce: u64,
    names: usize,
    name_bytes: usize,
    /// Index of the log whose state the proxy holds; nothing is sent from an older state.
    held_index: u64,
    /// Requests deferred until the cache has reached `held_index`.
    deferred: Vec<Request>,
}

impl Session {
    /// A session with a unique stream name, of the incremental or state-of-the-world variant, for the type `only` or for
    /// all types.
    pub fn new(stream: String, incremental: bool, only: Option<ResourceType>, limits: Limits) -> Self {
        Session {
            stream,
            incremental,
            only,
            zone: String::new(),
            limits,
            subscriptions: Default::default(),
            next_nonce: 0,
            names: 0,
            name_bytes: 0,
            held_index: 0,
            deferred: Vec::new(),
        }
    }

    /// Sets the proxy's zone, known from its first request.
    pub fn set_zone(&mut self, zone: &str) {
        zone.clone_into(&mut self.zone);
    }

    /// Processes a request. An error closes the stream.
    ///
    /// If the proxy holds a newer state than this instance, its requests are deferred until the instance has caught up.
    pub fn request(&mut self, cache: &Cache, now: Duration, request: Request) -> Result<(), SessionError> {
        self.note_held_index(cache, &request);
        if cache.reaches(self.held_index) && self.deferred.is_empty() {
            return self.process(cache, now, request);
        }
        if self.deferred.len() >= MAX_DEFERRED_REQUESTS {
            return Err(SessionError::TooFarBehind);
        }
        self.deferred.push(request);
        Ok(())
    }

    fn note_held_index(&mut self, cache: &Cache, request: &Request) {
        let held = request.initial_versions.values().chain([&request.version]);
        self.held_index = held.map(|version| cache.index_in(version)).fold(self.held_index, u64::max);
    }

    /// The index that the proxy holds, if this instance has yet to reach it.
    pub fn awaited_index(&self, cache: &Cache) -> Option<u64> {
        (!cache.reaches(self.held_index)).then_some(self.held_index)
    }

    fn process(&mut self, cache: &Cache, now: Duration, request: Request) -> Result<(), SessionError> {
        let kind = match (self.only, ResourceType::from_url(&request.type_url)) {
            (Some(only), _) if request.type_url.is_empty() => only,
            (Some(only), Some(kind)) if kind == only => only,
            (Some(only), _) => {
                return Err(SessionError::WrongType(truncate(&request.type_url), only.url()));
            }
            (None, Some(kind)) => kind,
            (None, None) => return Err(SessionError::UnknownType(truncate(&request.type_url))),
        };
        if self.subscriptions[kind.index()].is_none() {
            return self.first_request(cache, kind, request);
        }
        let fresh = self.process_ack(kind, now, &request);
        if self.incremental {
            let (add, remove) = (request.names, request.unsubscribe);
            self.unsubscribe(cache, kind, remove);
            return self.subscribe(cache, kind, add, false);
        }
        // A request that answers an older response was sent before the newest one arrived; another one follows.
        if !fresh {
            return Ok(());
        }
        let names: BTreeSet<Arc<str>> = request.names.into_iter().map(Arc::from).collect();
        let Some(subscription) = &self.subscriptions[kind.index()] else { return Ok(()) };
        if subscription.wildcard && names.is_empty() {
            return Ok(()); // legacy wildcard, which applies until names are given
        }
        let dropped: Vec<String> = subscription
            .names
            .iter()
            .filter(|name| !names.contains(*name))
            .map(|name| name.to_string())
            .collect();
        let added = names
            .iter()
            .filter(|name| !subscription.names.contains(*name))
            .map(|n| n.to_string())
            .collect();
        let all = names.contains("*");
        self.unsubscribe(cache, kind, dropped);
        self.subscribe(cache, kind, added, false)?;
        if let Some(subscription) = &mut self.subscriptions[kind.index()] {
            subscription.wildcard = all;
        }
        Ok(())
    }

    /// Processes the first request for a type.
    fn first_request(
        &mut self,
        cache: &Cache,
        kind: ResourceType,
        request: Request,
    ) -> Result<(), SessionError> {
        // For clusters and listeners, a first request without names is a wildcard subscription.
        let all = kind.requires_full_state() && request.names.is_empty();
        let mut subscription = Subscription {
            wildcard: all,
            full_due: !self.incremental,
            held_version: request.version,
            ..Subscription::default()
        };
        subscription.from_future =
            epoch_of(&subscription.held_version).is_some_and(|epoch| epoch > cache.epoch());
        // Earlier removals matter only for names that the proxy holds.
        (subscription.removed_to, subscription.cursor) = (cache.seq(), if all { 0 } else { cache.seq() });
        for (name, version) in request.initial_versions {
            let unknown = cache.is_unknown(kind, &name);
            match cache.entry(kind, &name) {
                Some(_) => drop(subscription.held.insert(name, version)),
                None if unknown => {}
                None => drop(subscription.removed_before.insert(name)),
            }
        }
        let subscribed: BTreeSet<&str> = request.names.iter().map(String::as_str).collect();
        subscription
            .removed_before
            .retain(|name| all || subscribed.contains("*") || subscribed.contains(name.as_str()));
        self.subscriptions[kind.index()] = Some(subscription);
        self.subscribe(cache, kind, request.names, true)
    }

    /// Processes an acknowledgement or rejection. Returns whether the request answers the newest response.
    fn process_ack(&mut self, kind: ResourceType, now: Duration, request: &Request) -> bool {
        let number = request.nonce.strip_prefix(&self.stream).and_then(|rest| rest.strip_prefix('-'));
        let number: Option<u64> = number.and_then(|number| number.parse().ok());
        let Some(subscription) = &mut self.subscriptions[kind.index()] else { return false };
        if request.nonce.is_empty() {
            return subscription.sent.is_none() || self.incremental;
        }
        let place = subscription.unacked.iter().position(|sent| Some(sent.nonce) == number);
        let newest = place.is_some_and(|place| place + 1 == subscription.unacked.len());
        let Some(sent) = place.and_then(|place| subscription.unacked.drain(..=place).next_back()) else {
            // A repeated nonce of the last response may carry other names.
            let again = number.is_some() && number == subscription.last_nonce;
            subscription.stale += u64::from(!again);
            return again;
        };
        match &request.error {
            None => {
                subscription.acked_to = subscription.acked_to.max(sent.cursor.min(sent.removed_to));
                subscription.acked = Some((sent.version, now));
                if subscription.rejected_parts.is_empty() {
                    subscription.rejected = None;
                }
            }
            Some(detail) => {
                subscription.rejections += 1;
                let detail = truncate(detail);
                subscription.rejected = Some(Rejection { version: sent.version, detail, at: now });
                // Splits the response: one invalid resource must not block the others, such as a drain.
                let partial = self.incremental || !kind.requires_full_state();
                if partial
                    && sent.names.len() > 1
                    && subscription.rejected_parts.len() + 2 <= MAX_REJECTED_PARTS
                {
                    let (a, b) = sent.names.split_at(sent.names.len() / 2);
                    subscription.rejected_parts.push_back(a.to_vec());
                    subscription.rejected_parts.push_back(b.to_vec());
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
        let Some(subscription) = &mut self.subscriptions[kind.index()] else { return Ok(()) };
        for name in names {
            if name == "*" {
                if !subscription.wildcard {
                    subscription.wildcard = true;
                    subscription.cursor = 0;
                    subscription.full_due |= !self.incremental;
                }
                if self.incremental {
                    continue;
                }
            }
            let name: Arc<str> = match cache.entry(kind, &name) {
                Some((known, entry)) => {
                    // A resource that the proxy holds already isn't sent; only a first request lists these.
                    let same =
                        first && subscription.held.get(&name).is_some_and(|v| is_version(v, entry.version));
                    if !same && name != "*" {
                        subscription.due.insert(known.clone());
                    }
                    known.clone()
                }
                None => {
                    let name: Arc<str> = name.into();
                    if &*name != "*" {
                        subscription.due.insert(name.clone());
                    }
                    name
                }
            };
            let bytes = name.len();
            if subscription.names.insert(name) {
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
        let Some(subscription) = &mut self.subscriptions[kind.index()] else { return };
        for name in names {
            if name == "*" && self.incremental {
                subscription.wildcard = false;
            }
            if let Some(name) = subscription.names.take(name.as_str()) {
                self.names -= 1;
                self.name_bytes -= name.len();
                subscription.due.remove(&name);
                if self.incremental && subscription.wildcard && cache.entry(kind, &name).is_some() {
                    subscription.due.insert(name); // still part of the wildcard subscription, but the proxy may have dropped it
                }
            }
        }
    }

    /// Returns the next response, if there is anything to send. To be called when the stream can take a response, until
    /// it returns `None`.
    pub fn poll(&mut self, cache: &Cache, now: Duration) -> Result<Option<Response>, SessionError> {
        let deferred = std::mem::take(&mut self.deferred);
        // Their versions could not be assigned to this cluster while its epoch was unknown.
        deferred.iter().for_each(|request| self.note_held_index(cache, request));
        if !cache.reaches(self.held_index) {
            self.deferred = deferred;
            return Ok(None);
        }
        for request in deferred {
            self.process(cache, now, request)?;
        }
        loop {
            let before = self.acked_positions();
            for kind in ResourceType::ALL {
                let response = self.poll_kind(cache, kind, now)?;
                if response.is_some() {
                    return Ok(response);
                }
            }
            // The acknowledged position of one type may release deferred removals of another.
            if self.acked_positions() == before {
                return Ok(None);
            }
        }
    }

    /// Switches to a cache that is equal up to this sequence number: later differences are sent again.
    pub fn rewind(&mut self, to: u64) {
        for subscription in self.subscriptions.iter_mut().flatten() {
            subscription.cursor = subscription.cursor.min(to);
            subscription.removed_to = subscription.removed_to.min(to);
            subscription.acked_to = subscription.acked_to.min(to);
            for sent in &mut subscription.unacked {
                (sent.cursor, sent.removed_to) = (sent.cursor.min(to), sent.removed_to.min(to));
            }
        }
    }

    fn acked_positions(&self) -> [Option<u64>; 4] {
        std::array::from_fn(|i| self.subscriptions[i].as_ref().map(|subscription| subscription.acked_to))
    }

    fn poll_kind(
        &mut self,
        cache: &Cache,
        kind: ResourceType,
        now: Duration,
    ) -> Result<Option<Response>, SessionError> {
        let open = self.removable_to(cache, kind, now);
        let Some(subscription) = self.subscriptions[kind.index()].as_mut() else { return Ok(None) };
        if subscription.removed_to > 0 && !cache.has_removals_since(kind, subscription.removed_to) {
            return Err(SessionError::TooFarBehind);
        }
        let (zone, max_bytes) = (self.zone.as_str(), self.limits.max_response_bytes);
        let mut batch = Batch { incremental: self.incremental, zone, max_bytes, ..Batch::default() };
        let before = subscription.cursor;
        let told = if !self.incremental && kind.requires_full_state() {
            subscription.full_state(cache, kind, open, &mut batch)
        } else {
            subscription.partial_state(cache, kind, open, &mut batch)
        };
        if !told {
            if subscription.unacked.is_empty() && subscription.rejected.is_none() {
                subscription.acked_to = subscription.cursor.min(subscription.removed_to);
            }
            return Ok(None);
        }
        self.next_nonce += 1;
        let nonce = self.next_nonce;
        let version = match subscription.full_hash.take() {
            Some(full_hash) => format!("{}-{}", cache.version_prefix(), version_text(full_hash)),
            None => cache.version_prefix(),
        };
        let Batch { resources, names, removed, .. } = batch;
        subscription.sent = Some((version.clone(), now));
        subscription.last_nonce = Some(nonce);
        if subscription.unacked.len() == MAX_UNACKED {
            subscription.unacked.pop_front();
        }
        let (cursor, removed_to) = (subscription.cursor, subscription.removed_to);
        let sent =
            SentResponse { nonce, version: version.clone(), names: names.clone(), cursor, removed_to };
        subscription.unacked.push_back(sent);
        if kind == ResourceType::Cluster {
            self.resend_endpoints(cache, &names, before);
        }
        Ok(Some(Response { kind, nonce: format!("{}-{nonce}", self.stream), version, resources, removed }))
    }

    /// A proxy that receives a changed cluster waits for its endpoints, so they are sent again even if unchanged.
    fn resend_endpoints(&mut self, cache: &Cache, clusters: &[Arc<str>], before: u64) {
        let Some(subscription) = &mut self.subscriptions[ResourceType::Endpoint.index()] else { return };
        for name in clusters {
            let changed =
                cache.entry(ResourceType::Cluster, name).is_some_and(|(_, entry)| entry.seq > before);
            let endpoints = cache.entry(ResourceType::Endpoint, name);
            if changed && endpoints.is_some_and(|(name, entry)| subscription.subscribed(name, entry)) {
                subscription.due.insert(name.clone());
            }
        }
    }

    /// Sequence number up to which removals of a type may be sent now. References to the resource must be removed first:
    /// the proxy must have acknowledged the later types in make-before-break order up to the removal.
    fn removable_to(&self, cache: &Cache, kind: ResourceType, now: Duration) -> u64 {
        let Some(subscription) = &self.subscriptions[kind.index()] else { return 0 };
        let (gate, hold) = match self.only {
            Some(_) => (0, self.limits.single_type_removal_delay),
            None => {
                let later = self.subscriptions[kind.index() + 1..].iter().flatten();
                (later.map(|w| w.acked_to).min().unwrap_or(u64::MAX), self.limits.max_removal_delay)
            }
        };
        let mut open = subscription.removed_to;
        for (_, seq, at, _) in cache.removed(kind, subscription.removed_to) {
            if seq > gate && at + hold > now {
                return open;
            }
            open = seq;
        }
        cache.seq().max(open)
    }

    /// Whether removals are deferred. The session must then be polled again after a short time even without events.
    pub fn has_pending_removals(&self) -> bool {
        self.subscriptions.iter().flatten().any(|subscription| subscription.removals_pending)
    }

    /// Status of each type, for status output.
    pub fn type_statuses(&self, cache: &Cache) -> Vec<TypeStatus> {
        let subscriptions = ResourceType::ALL.into_iter().zip(&self.subscriptions);
        let active = subscriptions.filter_map(|(kind, subscription)| {
            subscription.as_ref().map(|subscription| (kind, subscription))
        });
        active
            .map(|(kind, subscription)| TypeStatus {
                kind,
                wildcard: subscription.wildcard,
                names: subscription.names.len(),
                sent: subscription.sent.clone(),
                acked: subscription.acked.clone(),
                rejected: subscription.rejected.clone(),
                rejections: subscription.rejections,
                stale: subscription.stale,
                from_future: subscription.from_future,
                behind: !subscription.unacked.is_empty()
                    || !subscription.due.is_empty()
                    || cache
                        .changed(kind, subscription.cursor)
                        .any(|(name, entry)| subscription.subscribed(name, entry)),
            })
            .collect()
    }
}

/// A response being built.
#[derive(Default)]
struct Batch<'a> {
    incremental: bool,
    zone: &'a str,
    max_bytes: usize,
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
        self.bytes >= self.max_bytes
    }
}

impl Subscription {
    fn subscribed(&self, name: &str, entry: &Entry) -> bool {
        (self.wildcard && !entry.by_name_only()) || self.names.contains(name)
    }

    /// Adds all subscribed resources if any of them changed. Returns whether there is anything to send.
    fn full_state(&mut self, cache: &Cache, kind: ResourceType, open: u64, batch: &mut Batch) -> bool {
        let changed = cache.changed(kind, self.cursor).any(|(name, entry)| self.subscribed(name, entry));
        let gone = cache
            .removed(kind, self.removed_to)
            .any(|(name, seq, _, entry)| seq <= open && self.subscribed(name, entry));
        let due = self.due.iter().any(|name| !cache.is_unknown(kind, name));
        self.cursor = cache.seq();
        self.removed_to = open;
        self.removals_pending =
            cache.removed(kind, open).any(|(name, _, _, entry)| self.subscribed(name, entry));
        if !(self.full_due || changed || gone || due) {
            return false;
        }
        self.due.retain(|name| cache.is_unknown(kind, name));
        for (name, entry) in cache.all(kind).filter(|(name, entry)| self.subscribed(name, entry)) {
            batch.add(name, entry);
        }
        // Removed resources whose removal is deferred.
        for (name, _, _, entry) in
            cache.removed(kind, open).filter(|(name, _, _, entry)| self.subscribed(name, entry))
        {
            batch.add(name, entry);
        }
        let parts = batch.resources.iter().map(|bytes| bytes.as_ref());
        let full_hash = hash(parts);
        self.full_hash = Some(full_hash);
        let held_version = std::mem::take(&mut self.held_version);
        let same = held_version.rsplit_once('-').is_some_and(|(_, held)| held == version_text(full_hash));
        if std::mem::take(&mut self.full_due) && same {
            self.full_hash = None; // the client holds this state from an earlier stream
            return false;
        }
        true
    }

    /// Adds changed resources that are subscribed, up to the size of a response. Returns whether there is anything to
    /// send.
    fn partial_state(&mut self, cache: &Cache, kind: ResourceType, open: u64, batch: &mut Batch) -> bool {
        if let Some(names) = self.rejected_parts.pop_front() {
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
                None => {} // state-of-the-world responses can't express a missing resource
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
            batch.removed.extend(std::mem::take(&mut self.removed_before));
            for (name, seq, _, entry) in cache.removed(kind, self.removed_to) {
                if seq <= open && self.subscribed(name, entry) {
                    batch.removed.push(name.to_string());
                }
            }
        }
        self.removed_to = open;
        self.removals_pending = batch.incremental
            && cache.removed(kind, open).any(|(name, _, _, entry)| self.subscribed(name, entry));
        !batch.names.is_empty() || !batch.removed.is_empty()
    }
}

/// The epoch of a version issued by this service.
fn epoch_of(version: &str) -> Option<u64> {
    version.split_once('.').and_then(|(epoch, _)| epoch.parse().ok())
}

fn truncate(text: &str) -> String {
    text[..text.floor_char_boundary(MAX_DETAIL_BYTES)].to_owned()
}
