//! The served resources, the sequence number of each resource's last change, and recent removals.
//!
//! Each change takes the next sequence number. The log of a resource type holds each resource once, at its last change,
//! so a session needs only the part of the log after its cursor, and the cost of a change or a session doesn't grow
//! with the fleet. A session that falls so far behind that removals it needs were discarded must reconnect.

use crate::message::{AnyOut, ResourceOut};
use crate::resource_type::ResourceType;
use bytes::Bytes;
use prost::Message;
use runtrack_net::mutant;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Included};
use std::sync::Arc;
use std::time::Duration;

/// Removals kept per type. Sessions further behind must reconnect with the versions that they hold.
const MAX_REMOVALS: usize = 16_384;
/// How long a removed resource stays readable for sessions that defer its removal. Longer than any session may defer a
/// removal.
const REMOVAL_RETENTION: Duration = Duration::from_secs(120);

/// The encoded protobuf of a resource, shared by all proxies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Body {
    /// Default encoding.
    pub plain: Bytes,
    /// Encodings for proxies of a zone, by zone, where they differ from the default.
    pub zones: BTreeMap<String, Bytes>,
    /// Sent only to clients that subscribe by name, not to wildcard subscriptions.
    pub by_name_only: bool,
}

impl From<Vec<u8>> for Body {
    fn from(plain: Vec<u8>) -> Self {
        Body { plain: plain.into(), zones: BTreeMap::new(), by_name_only: false }
    }
}

/// A change of one resource.
#[derive(Clone, Debug)]
pub enum Change {
    /// Adds or replaces the resource.
    Set(ResourceType, String, Body),
    /// Removes the resource.
    Remove(ResourceType, String),
    /// The resource exists but its content isn't known yet; proxies keep what they have.
    Unknown(ResourceType, String),
}

impl Change {
    /// The type and name of the changed resource.
    pub fn key(&self) -> (ResourceType, &str) {
        match self {
            Change::Set(kind, name, _) | Change::Remove(kind, name) | Change::Unknown(kind, name) => {
                (*kind, name)
            }
        }
    }
}

/// A resource encoded for both protocol variants.
#[derive(Clone, Debug)]
pub(crate) struct Encoded {
    /// As `google.protobuf.Any`.
    pub(crate) any: Bytes,
    /// As `envoy.service.discovery.v3.Resource`.
    pub(crate) resource: Bytes,
}

/// A served resource.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Sequence number of the last change.
    pub(crate) seq: u64,
    /// Content hash, the same after a restart and on every instance of a cluster.
    pub(crate) version: u64,
    body: Body,
    plain: Encoded,
    zones: BTreeMap<String, Encoded>,
}

impl Entry {
    pub(crate) fn by_name_only(&self) -> bool {
        self.body.by_name_only
    }

    /// The encoding for proxies of a zone.
    pub(crate) fn encoded(&self, zone: &str) -> &Encoded {
        self.zones.get(zone).unwrap_or(&self.plain)
    }
}

#[derive(Clone)]
struct Removal {
    seq: u64,
    at: Duration,
    entry: Entry,
}

#[derive(Clone, Default)]
struct Table {
    live: BTreeMap<Arc<str>, Entry>,
    /// Live resources by the sequence number of their last change.
    log: BTreeMap<u64, Arc<str>>,
    removals: BTreeMap<Arc<str>, Removal>,
    removal_log: BTreeMap<u64, Arc<str>>,
    /// Removals up to this sequence number may have been discarded.
    discarded_to: u64,
    unknown: BTreeSet<Arc<str>>,
}

/// Position of a cache in the replicated log of a cluster.
#[derive(Clone, Copy)]
struct LogPosition {
    /// The served state includes all entries up to this index; 0: nothing is known yet.
    index: u64,
    /// The cache is still being updated to the index.
    updating: bool,
}

/// All resources of all types. A clone shares the encoded bytes.
#[derive(Clone)]
pub struct Cache {
    epoch: u64,
    seq: u64,
    encodings: u64,
    position: Option<LogPosition>,
    tables: [Table; 4],
}

impl Cache {
    /// An empty cache. Versions of a later epoch are ordered after those of earlier epochs.
    pub fn new(epoch: u64) -> Self {
        Cache { epoch, seq: 0, encodings: 0, position: None, tables: Default::default() }
    }

    /// Starts the update to an index of the cluster's log, in the cluster's epoch. Sessions send nothing until
    /// [`finish_update`](Self::finish_update) is called.
    pub fn begin_update(&mut self, epoch: u64, index: u64) {
        self.epoch = epoch;
        self.position = Some(LogPosition { index, updating: true });
    }

    /// Ends the update: the cache now holds the state at the index given to [`begin_update`](Self::begin_update).
    pub fn finish_update(&mut self) {
        if let Some(position) = &mut self.position {
            position.updating = false;
        }
    }

    /// Index of the cluster's log whose state is served; `None` for an instance that isn't part of a cluster.
    pub fn index(&self) -> Option<u64> {
        self.position.map(|position| position.index)
    }

    /// Whether a proxy that holds the state at `index` may be sent responses: no proxy may get an older state.
    pub(crate) fn reaches(&self, index: u64) -> bool {
        let least = if mutant("goes-back") { 1 } else { index.max(1) };
        self.position.is_none_or(|position| !position.updating && position.index >= least)
    }

    /// The position of the cache, used as the first part of a version.
    pub(crate) fn version_prefix(&self) -> String {
        match self.position {
            Some(position) => format!("{}.{}.{}", self.epoch, position.index, self.seq),
            None => format!("{}.{}", self.epoch, self.seq),
        }
    }

    /// The log index in a version of this epoch; 0 for other versions and outside a cluster.
    pub(crate) fn index_in(&self, version: &str) -> u64 {
        let prefix = version.split('-').next().unwrap_or_default();
        let mut numbers = prefix.split('.').map(|number| number.parse::<u64>().ok());
        match (self.position, numbers.next().flatten(), numbers.next().flatten()) {
            (Some(_), Some(epoch), Some(index)) if epoch == self.epoch => index,
            _ => 0,
        }
    }

    /// Sequence number of the last change.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// The epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of encodings so far, independent of the number of proxies.
    pub fn encodings(&self) -> u64 {
        self.encodings
    }

    /// Number of resources of a type.
    pub fn len(&self, kind: ResourceType) -> usize {
        self.table(kind).live.len()
    }

    /// Sorted names of the resources of a type.
    pub fn names(&self, kind: ResourceType) -> impl Iterator<Item = &str> {
        self.table(kind).live.keys().map(AsRef::as_ref)
    }

    /// The default encoding of a resource.
    pub fn get(&self, kind: ResourceType, name: &str) -> Option<&Bytes> {
        self.table(kind).live.get(name).map(|entry| &entry.body.plain)
    }

    /// Applies changes. Returns whether anything changed.
    pub fn apply(&mut self, now: Duration, changes: impl IntoIterator<Item = Change>) -> bool {
        let before = self.seq;
        for change in changes {
            match change {
                Change::Set(kind, name, body) => self.set(kind, name, body),
                Change::Remove(kind, name) => self.remove(now, kind, &name),
                Change::Unknown(kind, name) => {
                    self.tables[kind.index()].unknown.insert(name.into());
                }
            }
        }
        for table in &mut self.tables {
            table.discard_old_removals(now);
        }
        self.seq != before
    }

    fn set(&mut self, kind: ResourceType, name: String, body: Body) {
        let table = &mut self.tables[kind.index()];
        let known = table.unknown.remove(name.as_str());
        let old = table.live.get(name.as_str());
        if old.is_some_and(|old| old.body == body) {
            self.seq += u64::from(known); // wakes sessions that wait for it
            return;
        }
        self.seq += 1;
        let name: Arc<str> = match old {
            Some(old) => table.log.remove(&old.seq).unwrap_or_else(|| name.into()),
            None => name.into(),
        };
        if let Some(removal) = table.removals.remove(&name) {
            table.removal_log.remove(&removal.seq);
        }
        let version = body.version();
        let text = match self.position {
            Some(position) => format!("{}.{}-{}", self.epoch, position.index, version_text(version)),
            None => version_text(version),
        };
        let encode = |bytes: &Bytes| {
            let any = AnyOut { type_url: kind.url().to_owned(), value: bytes.clone() };
            let any = Bytes::from(any.encode_to_vec());
            let resource =
                ResourceOut { version: text.clone(), resource: any.clone(), name: name.to_string() };
            Encoded { any, resource: resource.encode_to_vec().into() }
        };
        let plain = encode(&body.plain);
        let zones: BTreeMap<_, _> =
            body.zones.iter().map(|(z, bytes)| (z.clone(), encode(bytes))).collect();
        self.encodings += 1 + zones.len() as u64;
        table.log.insert(self.seq, name.clone());
        table.live.insert(name, Entry { seq: self.seq, version, body, plain, zones });
    }

    fn remove(&mut self, now: Duration, kind: ResourceType, name: &str) {
        let table = &mut self.tables[kind.index()];
        self.seq += u64::from(table.unknown.remove(name)); // wakes sessions that wait for it
        let Some((name, entry)) = table.live.remove_entry(name) else { return };
        self.seq += 1;
        table.log.remove(&entry.seq);
        table.removal_log.insert(self.seq, name.clone());
        table.removals.insert(name, Removal { seq: self.seq, at: now, entry });
    }

    fn table(&self, kind: ResourceType) -> &Table {
        &self.tables[kind.index()]
    }

    pub(crate) fn entry(&self, kind: ResourceType, name: &str) -> Option<(&Arc<str>, &Entry)> {
        self.table(kind).live.get_key_value(name)
    }

    /// Whether the resource exists but its content isn't known.
    pub(crate) fn is_unknown(&self, kind: ResourceType, name: &str) -> bool {
        self.table(kind).unknown.contains(name)
    }

    /// Resources changed after a sequence number, in the order of the changes.
    pub(crate) fn changed(
        &self,
        kind: ResourceType,
        after: u64,
    ) -> impl Iterator<Item = (&Arc<str>, &Entry)> {
        let table = self.table(kind);
        let names = table.log.range((Excluded(after), Included(u64::MAX))).map(|(_, name)| name);
        names.filter_map(|name| table.live.get(name).map(|entry| (name, entry)))
    }

    /// All resources of a type, sorted by name.
    pub(crate) fn all(&self, kind: ResourceType) -> impl Iterator<Item = (&Arc<str>, &Entry)> {
        self.table(kind).live.iter()
    }

    /// Resources removed after a sequence number: name, sequence number and time of the removal, and last content.
    pub(crate) fn removed(
        &self,
        kind: ResourceType,
        after: u64,
    ) -> impl Iterator<Item = (&Arc<str>, u64, Duration, &Entry)> {
        let table = self.table(kind);
        let names = table.removal_log.range((Excluded(after), Included(u64::MAX)));
        names.filter_map(|(&seq, name)| table.removals.get(name).map(|r| (name, seq, r.at, &r.entry)))
    }

    /// Whether all removals after a sequence number are still kept.
    pub(crate) fn has_removals_since(&self, kind: ResourceType, after: u64) -> bool {
        after >= self.table(kind).discarded_to
    }
}

impl Table {
    fn discard_old_removals(&mut self, now: Duration) {
        while let Some((&seq, name)) = self.removal_log.first_key_value() {
            let old = self.removals.get(name).is_none_or(|removal| removal.at + REMOVAL_RETENTION < now);
            if !old && self.removal_log.len() <= MAX_REMOVALS {
                break;
            }
            self.removals.remove(name);
            self.removal_log.remove(&seq);
            self.discarded_to = seq;
        }
    }
}

impl Body {
    /// FNV-1a over all encodings: short, and the same on every machine and in every release.
    fn version(&self) -> u64 {
        let zones = self.zones.iter().flat_map(|(zone, bytes)| [zone.as_bytes(), bytes.as_ref()]);
        hash([self.plain.as_ref()].into_iter().chain(zones))
    }
}

/// FNV-1a over the parts, each prefixed with its length.
pub(crate) fn hash<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for part in parts {
        for byte in (part.len() as u64).to_le_bytes().iter().chain(part) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
    hash
}

/// Whether a version held by a proxy has this content hash, whichever instance sent it.
pub(crate) fn is_version(text: &str, version: u64) -> bool {
    text.rsplit('-').next() == Some(version_text(version).as_str())
}

pub(crate) fn version_text(version: u64) -> String {
    format!("{version:016x}")
}
