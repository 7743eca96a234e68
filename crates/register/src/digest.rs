//! Digests of requests: a request that comes again is told from another one under the same number.

use runtrack_message::{DIGEST_BYTES, RequestDigest};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashed in front of an amendment's base.
const AMENDMENT_DOMAIN: &[u8] = b"amendment";

/// The first 128 bits of SHA-256 over the base and the body. Two requests that differ share it by chance once in 2^64
/// pairs at the birthday bound, and nobody can make two that do.
pub fn request_digest(base: u64, body: &[u8]) -> RequestDigest {
    truncated(&Sha256::new().chain_update(base.to_le_bytes()).chain_update(body).finalize())
}

/// The digest of an amendment: the same bytes sent as a whole configuration are another request.
pub fn amendment_digest(base: u64, body: &[u8]) -> RequestDigest {
    let hashed =
        Sha256::new().chain_update(AMENDMENT_DOMAIN).chain_update(base.to_le_bytes()).chain_update(body);
    truncated(&hashed.finalize())
}

fn truncated(hash: &[u8]) -> RequestDigest {
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&hash[..DIGEST_BYTES]);
    RequestDigest(digest)
}

/// The digest of the same request in a value that was written before the wider one: 64 bits of xxh3.
pub fn legacy_request_digest(base: u64, body: &[u8]) -> RequestDigest {
    RequestDigest::from_legacy(xxh3_64_with_seed(body, base))
}
