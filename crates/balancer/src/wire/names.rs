//! Names of endpoints on the wire.

use crate::types::EndpointId;
use std::collections::HashMap;

/// Names of endpoints and their ids. An id is a hash of the name, so that it is the same at all balancers.
#[derive(Debug, Default)]
pub struct EndpointNames {
    names: HashMap<EndpointId, String>,
}

impl EndpointNames {
    /// The id of a name, new if it was never seen.
    pub fn id(&mut self, name: &str) -> EndpointId {
        // FNV-1a: short, and the same on every machine and in every release.
        let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
        for byte in name.bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        let mut id = EndpointId(hash);
        while let Some(known) = self.names.get(&id) {
            if known == name {
                return id;
            }
            id = EndpointId(id.0.wrapping_add(1)); // another name has this hash
        }
        self.names.insert(id, name.to_owned());
        id
    }

    /// Keeps only the names of these: endpoints come under new names for ever.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.names.retain(|&id, _| keep(id));
    }

    /// How many names are kept.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// The name of an id given out before.
    pub fn name(&self, id: EndpointId) -> &str {
        self.names.get(&id).map_or("-", String::as_str)
    }
}
