//! The registry of endpoints and the replica of the fleet's state that each process holds. No I/O and no clock.
//!
//! An incarnation of an endpoint only advances from ready through draining to gone: replicas are merged by maximum, so
//! that late and repeated messages change nothing. Replicas are compared by one digest, where it differs by digests of
//! ranges of ids, and only the ranges that differ are sent.

mod heartbeats;
mod leaves;
mod replica;

pub use heartbeats::HeartbeatTable;
pub use leaves::{LEAVE_GENERATIONS, Leave, LeaveBatch, LeaveRecord, LeaveTable, MAX_LEAVE_RECORD};
pub use replica::{Members, Replica, StoredConfig};

use runtrack_message::{Endpoint, EndpointState};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use xxhash_rust::xxh3::xxh3_64;

/// Number of ranges of ids with a digest each.
pub const RANGES: usize = 256;
/// Gone incarnations that are kept; beyond this number some are removed.
const MAX_GONE: usize = 16_384;

/// Key of an endpoint: the hash of its id.
pub fn key_of(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

fn range_of(key: u64) -> usize {
    (key >> 32) as usize % RANGES
}

/// The address that an endpoint listens on.
pub fn address_of(endpoint: &Endpoint) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(endpoint.ip), endpoint.port)
}

/// All known incarnations of endpoints, by key.
#[derive(Clone, Debug)]
pub struct Registry {
    records: BTreeMap<u64, Endpoint>,
    digests: [u64; RANGES],
    gone: usize,
}

impl Default for Registry {
    fn default() -> Self {
        Registry { records: BTreeMap::new(), digests: [0; RANGES], gone: 0 }
    }
}

/// Digest of what replicas must agree on: id and state.
fn digest(key: u64, state: EndpointState) -> u64 {
    let mut bytes = [0; 9];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8] = state as u8;
    xxh3_64(&bytes)
}

impl Registry {
    /// Merges a record; returns whether it is to be forwarded to other processes.
    pub fn merge(&mut self, new: Endpoint) -> bool {
        let key = key_of(&new.id.as_string());
        let range = &mut self.digests[range_of(key)];
        match self.records.get_mut(&key) {
            None => {
                *range ^= digest(key, new.state);
                self.gone += usize::from(new.state == EndpointState::Gone);
                self.records.insert(key, new);
                self.forget_surplus(key);
                true
            }
            Some(old) => {
                let (before, state) = (old.state, old.state.max(new.state));
                if new.call_seq > old.call_seq && new.port != 0 {
                    *old = new;
                }
                old.state = state;
                if state == before {
                    return false;
                }
                *range ^= digest(key, before) ^ digest(key, state);
                self.gone += usize::from(state == EndpointState::Gone);
                true
            }
        }
    }

    /// Bounds the number of gone incarnations; the one that was just merged stays.
    fn forget_surplus(&mut self, merged: u64) {
        if self.gone <= MAX_GONE {
            return;
        }
        let gone = self.records.iter().find(|(key, r)| r.state == EndpointState::Gone && **key != merged);
        let Some(key) = gone.map(|(key, _)| *key) else { return };
        self.records.remove(&key);
        self.digests[range_of(key)] ^= digest(key, EndpointState::Gone);
        self.gone -= 1;
    }

    /// The record of a key.
    pub fn get(&self, key: u64) -> Option<&Endpoint> {
        self.records.get(&key)
    }

    /// All records with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Endpoint)> {
        self.records.iter().map(|(key, record)| (*key, record))
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Digest of all records.
    pub fn digest(&self) -> u64 {
        let bytes: Vec<u8> = self.digests.iter().flat_map(|digest| digest.to_le_bytes()).collect();
        xxh3_64(&bytes)
    }

    /// Digest of each range.
    pub fn digests(&self) -> Vec<u64> {
        self.digests.to_vec()
    }

    /// The records of all ranges whose digests differ from a peer's; `theirs` has [`RANGES`] of them.
    pub fn differing(&self, theirs: &[u64]) -> Vec<Endpoint> {
        let differs = |range: usize| theirs.get(range) != Some(&self.digests[range]);
        self.iter().filter(|(key, _)| differs(range_of(*key))).map(|(_, record)| record.clone()).collect()
    }
}
