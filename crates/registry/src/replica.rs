//! The replica of the fleet's state that each process holds: configuration, members and endpoints. Versions, sequence
//! numbers and endpoints' states only increase, so that merging is independent of the order of messages.

use crate::Registry;
use runtrack_config_delta::{BaseDigests, ChunkedBody, ConfigDigest, ConfigHistory, DeltaError};
use runtrack_message::{
    ChunkDigests, Config, ConfigDelta, DELTA_WIRE_VERSION, Digest, Endpoint, MAX_LIST, Member, Message,
    StateSummary,
};
use std::collections::BTreeSet;
use std::rc::Rc;

/// A committed configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredConfig {
    /// Its version.
    pub version: u64,
    chunked: ChunkedBody,
}

impl StoredConfig {
    /// The operator's JSON, unchanged.
    pub fn body(&self) -> &[u8] {
        self.chunked.body()
    }
}

/// The members of the register.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Sequence number of the register's value that the set is part of; 0 for none.
    pub sequence: u64,
    /// The member set.
    pub set: BTreeSet<Member>,
}

/// The replica of one process.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    config: Option<Rc<StoredConfig>>,
    /// The configurations before it.
    history: ConfigHistory,
    members: Members,
    registry: Registry,
}

impl Replica {
    /// The configuration.
    pub fn config(&self) -> Option<&Rc<StoredConfig>> {
        self.config.as_ref()
    }

    /// Version of the configuration; 0 for none.
    pub fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// The members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The endpoints.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Stores a configuration if its version is higher; returns whether it was.
    pub fn take_config(&mut self, version: u64, body: Vec<u8>) -> bool {
        if version <= self.version() {
            return false;
        }
        self.replace_config(version, ChunkedBody::new(body));
        true
    }

    /// The same for a configuration that comes by difference. An error leaves the one that is here as it is.
    pub fn take_config_delta(&mut self, delta: &ConfigDelta) -> Result<bool, DeltaError> {
        if delta.version <= self.version() {
            return Ok(false);
        }
        let base = self.config.as_ref().map(|config| (config.version, &config.chunked));
        let chunked = ChunkedBody::rebuild(base, delta)?;
        self.replace_config(delta.version, chunked);
        Ok(true)
    }

    fn replace_config(&mut self, version: u64, chunked: ChunkedBody) {
        if let Some(before) = self.config.take() {
            self.history.remember(before.chunked.base_digests(before.version));
        }
        self.config = Some(Rc::new(StoredConfig { version, chunked }));
    }

    /// Stores a member set if its sequence number is higher; returns whether it was.
    pub fn take_members(&mut self, sequence: u64, set: BTreeSet<Member>) -> bool {
        if sequence <= self.members.sequence || set.is_empty() {
            return false;
        }
        self.members = Members { sequence, set };
        true
    }

    /// Merges endpoint records; returns those that are to be forwarded to other processes.
    pub fn merge(&mut self, records: Vec<Endpoint>) -> Vec<Endpoint> {
        let registry = &mut self.registry;
        records.into_iter().filter(|record| registry.merge(record.clone())).collect()
    }

    /// The digest of this replica as a message, for a peer to compare.
    pub fn digest(&self) -> Message {
        Message::Digest(Digest { version: self.version(), digest: self.registry.digest() })
    }

    /// The announcement of this replica's configuration version and members, with the number of live proxies.
    pub fn summary(&self, proxies: u32) -> Message {
        Message::StateSummary(StateSummary {
            version: self.version(),
            sequence: self.members.sequence,
            members: self.members.set.iter().copied().collect::<Vec<_>>().into(),
            proxies,
        })
    }

    /// Answers a request for a configuration newer than the version `than` that comes from a process with this version of
    /// the wire format. Where that version is no longer remembered the answer asks for its digests first.
    pub fn answer_fetch(&self, than: u64, peer_wire: u16) -> Option<Message> {
        let config = self.config.as_ref().filter(|config| config.version > than)?;
        if peer_wire < DELTA_WIRE_VERSION {
            let body = config.body().to_vec().into();
            return Some(Message::Config(Config { version: config.version, body }));
        }
        let base = self.history.base(than);
        if than > 0 && base.is_none() {
            return Some(Message::FetchChunkDigests(than));
        }
        Some(Message::ConfigDelta(config.chunked.delta_from(base, config.version)))
    }

    /// Answers a request for the digests of the chunks of the configuration that is here.
    pub fn answer_fetch_digests(&self) -> Option<Message> {
        let config = self.config.as_ref()?;
        let mut base = config.chunked.base_digests(config.version);
        if base.chunks.len() > MAX_LIST as usize {
            base.chunks.clear(); // more than a message holds: the complete body comes
        }
        Some(Message::ChunkDigests(ChunkDigests {
            version: base.version,
            digest: base.body.0,
            chunks: base.chunks.into(),
        }))
    }

    /// Answers the digests that a peer was asked for.
    pub fn answer_digests(&self, theirs: ChunkDigests) -> Option<Message> {
        let config = self.config.as_ref().filter(|config| config.version > theirs.version)?;
        let base = BaseDigests {
            version: theirs.version,
            body: ConfigDigest(theirs.digest),
            chunks: theirs.chunks.into_vec(),
        };
        Some(Message::ConfigDelta(config.chunked.delta_from(Some(&base), config.version)))
    }

    /// Answers a peer's digest with the digests of all ranges; none where the endpoint records are equal.
    pub fn answer_digest(&self, theirs: &Digest) -> Option<Message> {
        (theirs.digest != self.registry.digest())
            .then(|| Message::RangeDigests(self.registry.digests().into()))
    }

    /// Answers a peer's range digests with the records of the ranges that differ; none where none does.
    pub fn answer_ranges(&self, ranges: &[u64]) -> Option<Message> {
        let records = self.registry.differing(ranges);
        (!records.is_empty()).then(|| Message::Entries(records.into()))
    }
}
