//! The resources that are served now, when each last changed, and what went lately.
//!
//! Each change takes the next number of one sequence. A table's log holds each resource once, at its last change:
//! so what a session lacks is the log behind its cursor, and neither a change nor a session costs more for a
//! larger fleet. A session that falls so far behind that removals it needs were forgotten must begin anew.

use crate::kind::ResourceType;
use crate::message::{AnyOut, ResourceOut};
use bytes::Bytes;
use prost::Message;
use runtrack_net::mutant;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Included};
use std::sync::Arc;
use std::time::Duration;

/// Removals remembered of each type: sessions further behind begin anew, with the versions that they hold.
const GONE_MOST: usize = 16_384;
/// What was removed stays readable for so long, for sessions that may not drop it yet: longer than any session
/// may put a removal off.
const GONE_KEPT: Duration = Duration::from_secs(120);

/// The protobuf of a resource, encoded once for all proxies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Body {
    /// For proxies anywhere.
    pub plain: Bytes,
    /// For proxies of one zone, where that differs.
    pub zones: BTreeMap<String, Bytes>,
    /// Only those that ask for it by its name get it, not those that ask for all.
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
    /// It is this from now on.
    Set(ResourceType, String, Body),
    /// It is gone.
    Remove(ResourceType, String),
    /// It exists, but what it is isn't known yet: proxies keep what they have.
    Unknown(ResourceType, String),
}

impl Change {
    /// What it changes.
    pub fn key(&self) -> (ResourceType, &str) {
        match self {
            Change::Set(kind, name, _) | Change::Remove(kind, name) | Change::Unknown(kind, name) => {
                (*kind, name)
            }
        }
    }
}

/// A resource in the forms that responses carry.
#[derive(Clone, Debug)]
pub(crate) struct Encoded {
    /// As `google.protobuf.Any`.
    pub(crate) any: Bytes,
    /// As `envoy.service.discovery.v3.Resource`.
    pub(crate) resource: Bytes,
}

/// A resource.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Its last change.
    pub(crate) seq: u64,
    /// Hash of what it is, the same after a restart, and at every instance of a cluster.
    pub(crate) version: u64,
    body: Body,
    plain: Encoded,
    zones: BTreeMap<String, Encoded>,
}

impl Entry {
    pub(crate) fn by_name_only(&self) -> bool {
        self.body.by_name_only
    }

    /// What a proxy of this zone is sent.
    pub(crate) fn encoded(&self, zone: &str) -> &Encoded {
        self.zones.get(zone).unwrap_or(&self.plain)
    }
}

#[derive(Clone)]
struct Gone {
    seq: u64,
    at: Duration,
    entry: Entry,
}

#[derive(Clone, Default)]
struct Table {
    live: BTreeMap<Arc<str>, Entry>,
    /// Last change of each live resource.
    log: BTreeMap<u64, Arc<str>>,
    gone: BTreeMap<Arc<str>, Gone>,
    gone_log: BTreeMap<u64, Arc<str>>,
    /// Removals up to here may have been forgotten.
    floor: u64,
    unknown: BTreeSet<Arc<str>>,
}

/// Where a cache stands in a log that several instances agree on.
#[derive(Clone, Copy)]
struct Agreed {
    /// What is served holds all up to this index; 0: nothing is known yet.
    index: u64,
    /// It is being brought there.
    moving: bool,
}

/// All resources of all types. Its clone shares their bytes.
#[derive(Clone)]
pub struct Cache {
    epoch: u64,
    seq: u64,
    encodings: u64,
    agreed: Option<Agreed>,
    tables: [Table; 4],
}

impl Cache {
    /// An empty cache. The epoch orders its versions after those of earlier ones.
    pub fn new(epoch: u64) -> Self {
        Cache { epoch, seq: 0, encodings: 0, agreed: None, tables: Default::default() }
    }

    /// From now on it is to hold what is agreed up to this index, in the cluster's epoch. Until it is
    /// [`settled`](Self::finish_update) there, sessions are told nothing.
    pub fn begin_update(&mut self, epoch: u64, index: u64) {
        self.epoch = epoch;
        self.agreed = Some(Agreed { index, moving: true });
    }

    /// It holds what is agreed up to the index that it was moved to.
    pub fn finish_update(&mut self) {
        if let Some(agreed) = &mut self.agreed {
            agreed.moving = false;
        }
    }

    /// The index of the agreed log up to which all is served; none: what is served is this instance's alone.
    pub fn index(&self) -> Option<u64> {
        self.agreed.map(|agreed| agreed.index)
    }

    /// Whether a proxy that holds what was agreed up to an index may be told anything: no proxy goes back.
    pub(crate) fn reaches(&self, index: u64) -> bool {
        let least = if mutant("goes-back") { 1 } else { index.max(1) };
        self.agreed.is_none_or(|agreed| !agreed.moving && agreed.index >= least)
    }

    /// Where it stands, as the first part of a version.
    pub(crate) fn place(&self) -> String {
        match self.agreed {
            Some(agreed) => format!("{}.{}.{}", self.epoch, agreed.index, self.seq),
            None => format!("{}.{}", self.epoch, self.seq),
        }
    }

    /// The index that a version of this epoch names; 0 for any other, and where nothing is agreed with others.
    pub(crate) fn index_in(&self, version: &str) -> u64 {
        let place = version.split('-').next().unwrap_or_default();
        let mut numbers = place.split('.').map(|number| number.parse::<u64>().ok());
        match (self.agreed, numbers.next().flatten(), numbers.next().flatten()) {
            (Some(_), Some(epoch), Some(index)) if epoch == self.epoch => index,
            _ => 0,
        }
    }

    /// Number of the last change.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// The epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Resources encoded so far, however many proxies took them.
    pub fn encodings(&self) -> u64 {
        self.encodings
    }

    /// Resources of a type.
    pub fn len(&self, kind: ResourceType) -> usize {
        self.table(kind).live.len()
    }

    /// Names of a type's resources, in order.
    pub fn names(&self, kind: ResourceType) -> impl Iterator<Item = &str> {
        self.table(kind).live.keys().map(AsRef::as_ref)
    }

    /// The protobuf of a resource.
    pub fn get(&self, kind: ResourceType, name: &str) -> Option<&Bytes> {
        self.table(kind).live.get(name).map(|entry| &entry.body.plain)
    }

    /// Takes changes; tells whether anything differs from before.
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
            table.forget(now);
        }
        self.seq != before
    }

    fn set(&mut self, kind: ResourceType, name: String, body: Body) {
        let table = &mut self.tables[kind.index()];
        let known = table.unknown.remove(name.as_str());
        let old = table.live.get(name.as_str());
        if old.is_some_and(|old| old.body == body) {
            self.seq += u64::from(known); // sessions that waited for it look again
            return;
        }
        self.seq += 1;
        let name: Arc<str> = match old {
            Some(old) => table.log.remove(&old.seq).unwrap_or_else(|| name.into()),
            None => name.into(),
        };
        if let Some(gone) = table.gone.remove(&name) {
            table.gone_log.remove(&gone.seq);
        }
        let version = body.version();
        let text = match self.agreed {
            Some(agreed) => format!("{}.{}-{}", self.epoch, agreed.index, version_text(version)),
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
        self.seq += u64::from(table.unknown.remove(name)); // sessions that waited for it look again
        let Some((name, entry)) = table.live.remove_entry(name) else { return };
        self.seq += 1;
        table.log.remove(&entry.seq);
        table.gone_log.insert(self.seq, name.clone());
        table.gone.insert(name, Gone { seq: self.seq, at: now, entry });
    }

    fn table(&self, kind: ResourceType) -> &Table {
        &self.tables[kind.index()]
    }

    pub(crate) fn entry(&self, kind: ResourceType, name: &str) -> Option<(&Arc<str>, &Entry)> {
        self.table(kind).live.get_key_value(name)
    }

    /// Whether it exists, but isn't known.
    pub(crate) fn is_unknown(&self, kind: ResourceType, name: &str) -> bool {
        self.table(kind).unknown.contains(name)
    }

    /// What changed after one number, in the order of the changes.
    pub(crate) fn changed(
        &self,
        kind: ResourceType,
        after: u64,
    ) -> impl Iterator<Item = (&Arc<str>, &Entry)> {
        let table = self.table(kind);
        let names = table.log.range((Excluded(after), Included(u64::MAX))).map(|(_, name)| name);
        names.filter_map(|name| table.live.get(name).map(|entry| (name, entry)))
    }

    /// All of a type, by name.
    pub(crate) fn all(&self, kind: ResourceType) -> impl Iterator<Item = (&Arc<str>, &Entry)> {
        self.table(kind).live.iter()
    }

    /// What was removed after one number: name, number, when, and what it was.
    pub(crate) fn removed(
        &self,
        kind: ResourceType,
        after: u64,
    ) -> impl Iterator<Item = (&Arc<str>, u64, Duration, &Entry)> {
        let table = self.table(kind);
        let names = table.gone_log.range((Excluded(after), Included(u64::MAX)));
        names.filter_map(|(&seq, name)| table.gone.get(name).map(|g| (name, seq, g.at, &g.entry)))
    }

    /// Whether removals after this number are all remembered.
    pub(crate) fn remembers(&self, kind: ResourceType, after: u64) -> bool {
        after >= self.table(kind).floor
    }
}

impl Table {
    fn forget(&mut self, now: Duration) {
        while let Some((&seq, name)) = self.gone_log.first_key_value() {
            let old = self.gone.get(name).is_none_or(|gone| gone.at + GONE_KEPT < now);
            if !old && self.gone_log.len() <= GONE_MOST {
                break;
            }
            self.gone.remove(name);
            self.gone_log.remove(&seq);
            self.floor = seq;
        }
    }
}

impl Body {
    /// FNV-1a over all its forms: short, and the same on every machine and in every release.
    fn version(&self) -> u64 {
        let zones = self.zones.iter().flat_map(|(zone, bytes)| [zone.as_bytes(), bytes.as_ref()]);
        hash([self.plain.as_ref()].into_iter().chain(zones))
    }
}

/// FNV-1a over parts and their lengths.
pub(crate) fn hash<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for part in parts {
        for byte in (part.len() as u64).to_le_bytes().iter().chain(part) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
    hash
}

/// Whether a version that a proxy holds is that of this content, wherever it was told.
pub(crate) fn is_version(text: &str, version: u64) -> bool {
    text.rsplit('-').next() == Some(version_text(version).as_str())
}

pub(crate) fn version_text(version: u64) -> String {
    format!("{version:016x}")
}
