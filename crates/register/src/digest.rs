//! Digests of requests: a request that comes again is told from another one under the same number.

use runtrack_message::{DIGEST_BYTES, RequestDigest};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The first 128 bits of SHA-256 over the base and the body. Two requests that differ share it by chance once in 2^64
/// pairs at the birthday bound, and nobody can make two that do.
pub fn request_digest(base: u64, body: &[u8]) -> RequestDigest {
    let hash = Sha256::new().chain_update(base.to_le_bytes()).chain_update(body).finalize();
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&hash[..DIGEST_BYTES]);
    RequestDigest(digest)
}

/// The digest of the same request in a value that was written before the wider one: 64 bits of xxh3.
pub fn legacy_request_digest(base: u64, body: &[u8]) -> RequestDigest {
    RequestDigest::from_legacy(xxh3_64_with_seed(body, base))
}
