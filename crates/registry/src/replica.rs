//! The copy of the fleet's state that a process keeps: configuration, members and endpoints. All of it only rises.

use crate::Registry;
use runtrack_message::{Config, Digest, Endpoint, Member, Message, StateSummary};
use std::collections::BTreeSet;
use std::rc::Rc;

/// A configuration as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredConfig {
    /// Its version.
    pub version: u64,
    /// Its bytes.
    pub body: Vec<u8>,
}

/// The register's members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Sequence number of the value that they are of.
    pub sequence: u64,
    /// The members.
    pub set: BTreeSet<Member>,
}

/// The copy of one process.
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

    /// Takes a configuration if it is newer; whether it was.
    pub fn take_config(&mut self, version: u64, body: Vec<u8>) -> bool {
        if version <= self.version() {
            return false;
        }
        self.config = Some(Rc::new(StoredConfig { version, body }));
        true
    }

    /// Takes members if they are newer; whether they were.
    pub fn take_members(&mut self, sequence: u64, set: BTreeSet<Member>) -> bool {
        if sequence <= self.members.sequence || set.is_empty() {
            return false;
        }
        self.members = Members { sequence, set };
        true
    }

    /// Merges records; those that others should hear of.
    pub fn merge(&mut self, records: Vec<Endpoint>) -> Vec<Endpoint> {
        let registry = &mut self.registry;
        records.into_iter().filter(|record| registry.merge(record.clone())).collect()
    }

    /// What this copy has, for another to send what differs.
    pub fn have(&self) -> Message {
        Message::Digest(Digest { version: self.version(), digest: self.registry.digest() })
    }

    /// That there is a configuration, and who the members are.
    pub fn notice(&self, proxies: u32) -> Message {
        Message::StateSummary(StateSummary {
            version: self.version(),
            sequence: self.members.sequence,
            members: self.members.set.iter().copied().collect::<Vec<_>>().into(),
            proxies,
        })
    }

    /// Answers a request for what is newer than this version.
    pub fn answer_fetch(&self, than: u64) -> Option<Message> {
        let config = self.config.as_ref().filter(|config| config.version > than)?;
        Some(Message::Config(Config { version: config.version, body: config.body.clone().into() }))
    }

    /// The ranges of this copy, where another one is not like it.
    pub fn answer_have(&self, have: &Digest) -> Option<Message> {
        (have.digest != self.registry.digest())
            .then(|| Message::RangeDigests(self.registry.digests().into()))
    }

    /// What another copy with these ranges lacks, or may lack.
    pub fn answer_ranges(&self, ranges: &[u64]) -> Option<Message> {
        let records = self.registry.differing(ranges);
        (!records.is_empty()).then(|| Message::Entries(records.into()))
    }
}
