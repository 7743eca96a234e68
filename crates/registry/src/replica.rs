//! The replica of the fleet's state that each process holds: configuration, members and endpoints. Versions, sequence
//! numbers and endpoints' states only increase, so that merging is independent of the order of messages.

use crate::Registry;
use runtrack_message::{Config, Digest, Endpoint, Member, Message, StateSummary};
use std::collections::BTreeSet;
use std::rc::Rc;

/// A committed configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredConfig {
    /// Its version.
    pub version: u64,
    /// The operator's JSON, unchanged.
    pub body: Vec<u8>,
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
        self.config = Some(Rc::new(StoredConfig { version, body }));
        true
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

    /// Answers a request for a configuration newer than the version `than`.
    pub fn answer_fetch(&self, than: u64) -> Option<Message> {
        let config = self.config.as_ref().filter(|config| config.version > than)?;
        Some(Message::Config(Config { version: config.version, body: config.body.clone().into() }))
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
