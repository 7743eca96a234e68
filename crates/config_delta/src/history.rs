//! What a process remembers of older configurations: enough to tell those who still have one what has changed since.

use crate::ConfigDigest;
use std::collections::VecDeque;

/// Digests of chunks that are remembered, over all versions: 512 KiB. A version of 2,500 routes has as many.
const MAX_REMEMBERED_CHUNKS: usize = 65_536;

/// What must be known of a body to compute a delta from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BaseDigests {
    /// Version of the configuration.
    pub version: u64,
    /// Digest of the whole body.
    pub body: ConfigDigest,
    /// Digests of its chunks, in order.
    pub chunks: Vec<u64>,
}

/// Digests of the configurations before the one in force, oldest first, within a bound on their memory.
#[derive(Clone, Debug, Default)]
pub struct ConfigHistory {
    bases: VecDeque<BaseDigests>,
    chunks: usize,
}

impl ConfigHistory {
    /// Remembers a configuration that another one has replaced.
    pub fn remember(&mut self, base: BaseDigests) {
        self.chunks += base.chunks.len();
        self.bases.push_back(base);
        while self.chunks > MAX_REMEMBERED_CHUNKS {
            let Some(oldest) = self.bases.pop_front() else { return };
            self.chunks -= oldest.chunks.len();
        }
    }

    /// What is remembered of a version.
    pub fn base(&self, version: u64) -> Option<&BaseDigests> {
        self.bases.iter().rev().find(|base| base.version == version)
    }
}
