//! A body with its chunks, and the computation and application of deltas.

use crate::chunk::{Chunk, ConfigDigest, split_body, split_items};
use crate::compression::{compress, decompress};
use crate::history::BaseDigests;
use quick_error::quick_error;
use runtrack_message::{ConfigDelta, DeltaStep, MAX_LIST};
use std::collections::HashMap;

/// Maximum size of the body that a delta results in, in bytes: that of a frame.
const MAX_BODY: usize = runtrack_message::MAX_FRAME;

quick_error! {
    /// Why a delta can't be applied. The remedy is always to request the whole body.
    #[derive(Debug, PartialEq, Eq)]
    pub enum DeltaError {
        /// The delta is based on a different body than the local one of this version.
        AnotherBase(version: u64) {
            display("the delta is based on a different body than the local one of version {version}")
        }
        /// The steps refer to data outside the base or the inserted bytes, or the bytes can't be decompressed.
        Malformed {
            display("the delta is malformed")
        }
        /// The result differs from the body that the delta states.
        WrongResult {
            display("the delta does not result in the body that it states")
        }
    }
}

/// A body, its digest and its chunks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChunkedBody {
    body: Vec<u8>,
    digest: ConfigDigest,
    chunks: Vec<Chunk>,
}

impl ChunkedBody {
    /// Divides a body into chunks.
    pub fn new(body: Vec<u8>) -> Self {
        ChunkedBody { digest: ConfigDigest::of(&body), chunks: split_body(&body), body }
    }

    /// The body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Digest of the whole body.
    pub fn digest(&self) -> ConfigDigest {
        self.digest
    }

    /// The digests that a peer needs to compute a delta from this body.
    pub fn base_digests(&self, version: u64) -> BaseDigests {
        let chunks = self.chunks.iter().map(|chunk| chunk.digest).collect();
        BaseDigests { version, body: self.digest, chunks }
    }

    /// The delta from a base to this body, the configuration of `version`. Without a base, or if the delta would have more
    /// steps than a message can hold, it contains the whole body.
    pub fn delta_from(&self, base: Option<&BaseDigests>, version: u64) -> ConfigDelta {
        let steps = base.map(|base| Steps::between(&base.chunks, &self.chunks, &self.body));
        let (steps, base) = match steps.filter(|steps| steps.steps.len() < MAX_LIST as usize) {
            Some(steps) => (steps, base),
            None => (Steps::insert_all(&self.body), None),
        };
        ConfigDelta {
            base_version: base.map_or(0, |base| base.version),
            base_digest: base.map_or(ConfigDigest::default(), |base| base.body).0,
            version,
            digest: self.digest.0,
            length: self.body.len() as u32,
            steps: steps.steps.into(),
            inserted: compress(&steps.inserted).into(),
        }
    }
}

/// The steps of a delta and the bytes that they insert.
#[derive(Default)]
struct Steps {
    steps: Vec<DeltaStep>,
    inserted: Vec<u8>,
}

impl Steps {
    fn insert_all(body: &[u8]) -> Self {
        let mut steps = Steps::default();
        steps.insert(body);
        steps
    }

    fn between(base: &[u64], chunks: &[Chunk], body: &[u8]) -> Self {
        let mut first_index: HashMap<u64, u32> = HashMap::with_capacity(base.len());
        for (index, digest) in base.iter().enumerate() {
            first_index.entry(*digest).or_insert(index as u32);
        }
        let mut steps = Steps::default();
        let mut start = 0;
        for chunk in chunks {
            let bytes = &body[start..start + chunk.length];
            start += chunk.length;
            // The chunk after the last copied one is preferred, so that equal chunks form one run instead of many.
            let next = steps.next_copied().filter(|next| base.get(*next as usize) == Some(&chunk.digest));
            match next.or_else(|| first_index.get(&chunk.digest).copied()) {
                Some(index) => steps.copy(index),
                None => steps.insert(bytes),
            }
        }
        steps
    }

    /// Index of the chunk of the base after the one that was copied last.
    fn next_copied(&self) -> Option<u32> {
        self.steps.iter().rev().find_map(|step| match step {
            DeltaStep::Copy { first, count } => Some(first + count),
            DeltaStep::Insert { .. } => None,
        })
    }

    fn copy(&mut self, index: u32) {
        match self.steps.last_mut() {
            Some(DeltaStep::Copy { first, count }) if *first + *count == index => *count += 1,
            _ => self.steps.push(DeltaStep::Copy { first: index, count: 1 }),
        }
    }

    fn insert(&mut self, bytes: &[u8]) {
        self.inserted.extend_from_slice(bytes);
        match self.steps.last_mut() {
            Some(DeltaStep::Insert { length }) => *length += bytes.len() as u32,
            _ => self.steps.push(DeltaStep::Insert { length: bytes.len() as u32 }),
        }
    }
}

/// Applies the steps of a delta to a base, which may be empty.
struct Rebuild<'a> {
    base: &'a [u8],
    base_chunks: &'a [Chunk],
    /// Offset of each chunk of the base, and the end of the last one.
    offsets: Vec<usize>,
    inserted: &'a [u8],
    /// Maximum length of the result.
    limit: usize,
    body: Vec<u8>,
    chunks: Vec<Chunk>,
}

impl ChunkedBody {
    /// The body that results from a delta. `base` is the local body with its version; a delta that contains the whole body
    /// needs none.
    pub fn rebuild(
        base: Option<(u64, &ChunkedBody)>,
        delta: &ConfigDelta,
    ) -> Result<ChunkedBody, DeltaError> {
        let length = delta.length as usize;
        if length > MAX_BODY {
            return Err(DeltaError::Malformed);
        }
        let base = base.filter(|_| delta.base_version > 0).map(|(version, base)| {
            let same = version == delta.base_version && base.digest.0 == delta.base_digest;
            if same { Ok(base) } else { Err(DeltaError::AnotherBase(version)) }
        });
        let base = base.transpose()?;
        if base.is_none() && delta.base_version > 0 {
            return Err(DeltaError::AnotherBase(0));
        }
        let inserted = delta.inserted_length().filter(|inserted| *inserted <= length);
        let inserted = decompress(delta.inserted.as_slice(), inserted.ok_or(DeltaError::Malformed)?);
        let inserted = inserted.map_err(|_| DeltaError::Malformed)?;
        let rebuilt = Rebuild::new(base, &inserted, length).run(delta.steps.items())?;
        let digest = ConfigDigest::of(&rebuilt.body);
        if rebuilt.body.len() != length || digest.0 != delta.digest {
            return Err(DeltaError::WrongResult);
        }
        Ok(ChunkedBody { body: rebuilt.body, digest, chunks: rebuilt.chunks })
    }
}

impl<'a> Rebuild<'a> {
    fn new(base: Option<&'a ChunkedBody>, inserted: &'a [u8], length: usize) -> Self {
        let base_chunks = base.map_or(&[][..], |base| &base.chunks);
        let mut end = 0;
        let mut offsets = Vec::with_capacity(base_chunks.len() + 1);
        offsets.push(0);
        for chunk in base_chunks {
            end += chunk.length;
            offsets.push(end);
        }
        let base = base.map_or(&[][..], |base| &base.body);
        Rebuild {
            base,
            base_chunks,
            offsets,
            inserted,
            limit: length,
            body: Vec::with_capacity(length),
            chunks: Vec::new(),
        }
    }

    fn run(mut self, steps: &[DeltaStep]) -> Result<Self, DeltaError> {
        for step in steps {
            match *step {
                DeltaStep::Copy { first, count } => self.copy(first as usize, count as usize)?,
                DeltaStep::Insert { length } => self.insert(length as usize)?,
            }
        }
        Ok(self)
    }

    fn copy(&mut self, first: usize, count: usize) -> Result<(), DeltaError> {
        let end = first.checked_add(count).filter(|end| *end <= self.base_chunks.len());
        let end = end.ok_or(DeltaError::Malformed)?;
        let bytes = &self.base[self.offsets[first]..self.offsets[end]];
        // Copy steps may repeat chunks, so the length of the result is checked before each copy.
        if self.body.len() + bytes.len() > self.limit {
            return Err(DeltaError::WrongResult);
        }
        self.body.extend_from_slice(bytes);
        self.chunks.extend_from_slice(&self.base_chunks[first..end]);
        Ok(())
    }

    fn insert(&mut self, length: usize) -> Result<(), DeltaError> {
        let (bytes, rest) = self.inserted.split_at_checked(length).ok_or(DeltaError::Malformed)?;
        if self.body.len() + bytes.len() > self.limit {
            return Err(DeltaError::WrongResult);
        }
        let chunks = if self.body.is_empty() { split_body(bytes) } else { split_items(bytes) };
        self.inserted = rest;
        self.body.extend_from_slice(bytes);
        self.chunks.extend(chunks);
        Ok(())
    }
}
