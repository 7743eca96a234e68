//! Division of a body into chunks, and digests.

use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Nesting depth of the items of a list: the body is an object (1) that holds lists (2).
const ITEM_DEPTH: usize = 2;

/// Digest of a whole body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConfigDigest(pub [u8; 16]);

impl ConfigDigest {
    /// The digest of these bytes.
    pub fn of(body: &[u8]) -> Self {
        ConfigDigest(xxh3_128(body).to_le_bytes())
    }
}

/// A part of a body: an item of a list, with the bytes between it and the previous item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Its length in bytes.
    pub length: usize,
    /// Digest of its bytes. Two chunks with the same digest are assumed to be equal; the digest of the whole body
    /// detects collisions.
    pub digest: u64,
}

impl Chunk {
    fn of(bytes: &[u8]) -> Self {
        Chunk { length: bytes.len(), digest: xxh3_64(bytes) }
    }
}

/// Tracks the nesting of JSON. Other bytes are divided at arbitrary positions, which is harmless.
struct Scanner {
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Scanner {
    /// Processes the next byte; returns whether an item of a list ends with it.
    fn ends_item(&mut self, byte: u8) -> bool {
        if self.in_string {
            self.in_string = self.escaped || byte != b'"';
            self.escaped = byte == b'\\' && !self.escaped;
            return false;
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => {
                self.depth = self.depth.saturating_sub(1);
                return byte == b'}' && self.depth == ITEM_DEPTH;
            }
            _ => {}
        }
        false
    }
}

/// The chunks of a body.
pub(crate) fn split_body(body: &[u8]) -> Vec<Chunk> {
    split(body, 0)
}

/// The chunks of a part of a body that begins after an item.
pub(crate) fn split_items(part: &[u8]) -> Vec<Chunk> {
    split(part, ITEM_DEPTH)
}

fn split(bytes: &[u8], depth: usize) -> Vec<Chunk> {
    let mut scanner = Scanner { depth, in_string: false, escaped: false };
    let mut chunks = Vec::new();
    let mut start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if scanner.ends_item(*byte) {
            chunks.push(Chunk::of(&bytes[start..=index]));
            start = index + 1;
        }
    }
    if start < bytes.len() {
        chunks.push(Chunk::of(&bytes[start..]));
    }
    chunks
}
