//! Digests of older configurations, kept to compute deltas for peers that still have one of them.

use crate::ConfigDigest;
use std::collections::VecDeque;

/// Maximum number of chunk digests kept over all versions (512 KiB). A version of 2,500 routes has 2,500 of them.
const MAX_REMEMBERED_CHUNKS: usize = 65_536;

/// Digests of a body from which a delta can be computed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BaseDigests {
    /// Version of the configuration.
    pub version: u64,
    /// Digest of the whole body.
    pub body: ConfigDigest,
    /// Digests of its chunks, in order.
    pub chunks: Vec<u64>,
}

/// Digests of the configurations before the current one, oldest first, with bounded memory.
#[derive(Clone, Debug, Default)]
pub struct ConfigHistory {
    bases: VecDeque<BaseDigests>,
    chunks: usize,
}

impl ConfigHistory {
    /// Adds a configuration that has been replaced; drops the oldest ones beyond the memory bound.
    pub fn remember(&mut self, base: BaseDigests) {
        self.chunks += base.chunks.len();
        self.bases.push_back(base);
        while self.chunks > MAX_REMEMBERED_CHUNKS {
            let Some(oldest) = self.bases.pop_front() else { return };
            self.chunks -= oldest.chunks.len();
        }
    }

    /// The digests of a version, if they are still kept.
    pub fn base(&self, version: u64) -> Option<&BaseDigests> {
        self.bases.iter().rev().find(|base| base.version == version)
    }
}
