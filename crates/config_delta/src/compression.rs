//! Compression of the bytes that a delta carries. Routes repeat their field names, so they compress to a sixth or less.

use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use std::io::{self, Read};

/// DEFLATE level: the fastest one, since a member compresses while other processes wait for it.
const LEVEL: Compression = Compression::fast();

/// Compresses bytes.
pub(crate) fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut compressed = Vec::with_capacity(bytes.len() / 4);
    // Reading from memory into memory fails only if memory is exhausted.
    let _ = DeflateEncoder::new(bytes, LEVEL).read_to_end(&mut compressed);
    compressed
}

/// Decompresses bytes whose result must have exactly this length, which bounds the memory allocated.
pub(crate) fn decompress(compressed: &[u8], length: usize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::with_capacity(length);
    DeflateDecoder::new(compressed).take(length as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() == length { Ok(bytes) } else { Err(io::ErrorKind::InvalidData.into()) }
}
