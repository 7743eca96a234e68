//! Hash functions with the same results in all proxies.

use crate::types::EndpointId;

/// Mixes the bits of a number (splitmix64).
pub(super) fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The endpoint with the highest weight for a key (rendezvous hashing).
pub(super) fn rendezvous(key: u64, endpoints: &[EndpointId]) -> Option<EndpointId> {
    endpoints.iter().copied().max_by_key(|id| (mix(key ^ mix(id.0)), *id))
}
