//! Digests of requests: they distinguish a retry from another request with the same version number. They are stored in the
//! value (`request.rs`), so they must not change between versions.

use runtrack_message::{DIGEST_BYTES, RequestDigest};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashed in front of an amendment's base.
const AMENDMENT_DOMAIN: &[u8] = b"amendment";

/// The first 128 bits of SHA-256 over the base, in little-endian bytes, and the body. A collision is expected
/// among some 2^64 requests (the birthday bound), and constructing one takes as many attempts.
pub fn request_digest(base: u64, body: &[u8]) -> RequestDigest {
    truncated(&Sha256::new().chain_update(base.to_le_bytes()).chain_update(body).finalize())
}

/// The digest of an amendment: the same bytes sent as a complete configuration are another request.
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

/// The digest of the same request in a value of the first format: 64 bits of xxh3 over the body, seeded with the base.
pub fn legacy_request_digest(base: u64, body: &[u8]) -> RequestDigest {
    RequestDigest::from_legacy(xxh3_64_with_seed(body, base))
}
