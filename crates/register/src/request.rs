//! The operator's request: a complete configuration in place of the current one, or an amendment of it. It is the change
//! function of CASPaxos (Rystsov 2018) as compare-and-set with idempotence: applied requests are remembered in the value
//! itself, so that each member acknowledges a retry.

use crate::change::Decision;
use crate::digest::{amendment_digest, legacy_request_digest, request_digest};
use crate::sets::wire_sets;
use runtrack_fleetconfig::Amendment;
use runtrack_message::{AppliedRequest, Member, RequestDigest, Value};
use std::collections::BTreeSet;

/// Number of requests that are remembered as applied, so that a retry is acknowledged again: 12 KiB of each value.
pub const MAX_APPLIED_REQUESTS: usize = 512;

/// What a request's body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConfigChange {
    /// A complete configuration.
    Replace,
    /// An [`Amendment`] of the configuration that it builds on.
    Amend,
}

/// An operator's request: a new configuration on top of a version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigRequest {
    /// The version that it builds on; 0 for the first.
    pub base: u64,
    /// Its own version, above `base`.
    pub version: u64,
    /// Digest of its body and its base.
    pub digest: RequestDigest,
    /// What its body is.
    pub change: ConfigChange,
    /// The body as the operator sent it.
    pub body: Vec<u8>,
}

/// What a round found out about a request. It may be answered once the round has committed or read, not before: until then
/// the value that it rests on may never be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConfigAnswer {
    /// The request is, or was, in force.
    Applied,
    /// A newer version than the one that it builds on is current: it never was and never will be in force.
    VersionMismatch(u64),
    /// Its version is not above this one, which is current or its own base: it never was and never will be in force.
    VersionNotIncreasing(u64),
    /// It can't be applied to this version, which it builds on: it never was and never will be in force.
    Invalid(u64),
    /// It is not known whether the request was, or will be, in force.
    Indeterminate,
}

/// What a round on behalf of a request does with the value that it found.
pub type Step = (Decision, ConfigAnswer);

impl ConfigRequest {
    /// A request for a complete configuration, with the digest of its base and body.
    pub fn replace(base: u64, version: u64, body: Vec<u8>) -> Self {
        let digest = request_digest(base, &body);
        ConfigRequest { base, version, digest, change: ConfigChange::Replace, body }
    }

    /// A request for an amendment, with the digest of its base and body.
    pub fn amend(base: u64, version: u64, body: Vec<u8>) -> Self {
        let digest = amendment_digest(base, &body);
        ConfigRequest { base, version, digest, change: ConfigChange::Amend, body }
    }

    /// Decides on the value that a round found; `first` are the sets of members before the first value.
    pub fn decide(&self, current: Option<&Value>, first: &[BTreeSet<Member>]) -> Step {
        self.decide_within(current, first, MAX_APPLIED_REQUESTS)
    }

    /// As [`Self::decide`], with another bound on the number of requests that are remembered.
    pub fn decide_within(
        &self,
        current: Option<&Value>,
        first: &[BTreeSet<Member>],
        max_applied: usize,
    ) -> Step {
        match self.answer(current) {
            ConfigAnswer::Applied if !self.is_applied_in(current) => match self.config_on(current) {
                Some(config) => {
                    let value = self.apply(current, config, first, max_applied);
                    (Decision::Propose(value), ConfigAnswer::Applied)
                }
                None => (Decision::Read, ConfigAnswer::Invalid(self.base)),
            },
            answer => (Decision::Read, answer),
        }
    }

    /// The complete configuration that it makes of the current one, which has the version that it builds on; none where an
    /// amendment does not apply to that. A version has one configuration, so the result is the same at any member and at
    /// any time.
    fn config_on(&self, current: Option<&Value>) -> Option<Vec<u8>> {
        match self.change {
            ConfigChange::Replace => Some(self.body.clone()),
            ConfigChange::Amend => Amendment::read(&self.body).ok()?.apply(current?.config.as_slice()).ok(),
        }
    }

    /// The answer on top of this value. A rejection must be final: the current version only rises, so a base below it never
    /// comes back, while one above it may still be committed, and a duplicate of this request be applied on top of it.
    /// Applied versions rise too, so whatever was applied above the floor is in the table; of a version at or below the
    /// floor that is not there, nothing is known.
    fn answer(&self, current: Option<&Value>) -> ConfigAnswer {
        let version = current.map_or(0, |value| value.version);
        let floor = current.map_or(0, |value| value.floor);
        if self.is_applied_in(current) {
            return ConfigAnswer::Applied;
        }
        if self.version <= self.base {
            return ConfigAnswer::VersionNotIncreasing(version.max(self.base));
        }
        if self.version <= floor || self.base > version {
            return ConfigAnswer::Indeterminate;
        }
        if self.base < version {
            return ConfigAnswer::VersionMismatch(version);
        }
        ConfigAnswer::Applied
    }

    fn is_applied_in(&self, current: Option<&Value>) -> bool {
        let mut entries = current.map(|value| value.applied.items()).unwrap_or_default().iter();
        entries.any(|entry| entry.version == self.version && self.has_digest(&entry.digest))
    }

    fn has_digest(&self, digest: &RequestDigest) -> bool {
        let is_legacy = || *digest == legacy_request_digest(self.base, &self.body);
        *digest == self.digest || (self.change == ConfigChange::Replace && is_legacy())
    }

    fn apply(
        &self,
        current: Option<&Value>,
        config: Vec<u8>,
        first: &[BTreeSet<Member>],
        max_applied: usize,
    ) -> Value {
        let mut applied = current.map(|value| value.applied.items().to_vec()).unwrap_or_default();
        applied.push(AppliedRequest { version: self.version, digest: self.digest });
        let surplus = applied.len().saturating_sub(max_applied);
        let dropped = applied.drain(..surplus).map(|entry| entry.version).max();
        let floor = current.map_or(0, |value| value.floor);
        Value {
            sequence: current.map_or(1, |value| value.sequence + 1),
            version: self.version,
            sets: current.map_or_else(|| wire_sets(first), |value| value.sets.clone()),
            floor: floor.max(dropped.unwrap_or(0)),
            applied: applied.into(),
            config: config.into(),
        }
    }
}
