//! Names of endpoints on the wire.

use crate::types::EndpointId;
use std::collections::HashMap;

/// Maps endpoint names to ids and back. An id is a hash of the name, so that all balancers agree on it.
#[derive(Debug, Default)]
pub struct EndpointNames {
    names: HashMap<EndpointId, String>,
}

impl EndpointNames {
    /// The id of a name, which is added if it is new.
    pub fn id(&mut self, name: &str) -> EndpointId {
        // FNV-1a: simple, and stable across machines and releases.
        let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
        for byte in name.bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        let mut id = EndpointId(hash);
        while let Some(known) = self.names.get(&id) {
            if known == name {
                return id;
            }
            id = EndpointId(id.0.wrapping_add(1)); // hash collision with another name
        }
        self.names.insert(id, name.to_owned());
        id
    }

    /// Keeps only the names of ids that `keep` accepts; names would accumulate, as new endpoints get new names.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.names.retain(|&id, _| keep(id));
    }

    /// Number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// The name of an id, or `-` if it is unknown.
    pub fn name(&self, id: EndpointId) -> &str {
        self.names.get(&id).map_or("-", String::as_str)
    }
}
