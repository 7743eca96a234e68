//! The parts of a prompt that a request names in its headers.

use weirwharf::fleet::Prompt;
use xxhash_rust::xxh3::xxh3_64;

/// A prompt from `X-Prompt-Prefix`: parts in order as `ID:TOKENS`, separated by commas. All but the last may be shared
/// with other requests; the last belongs to the request or its session. None if the header is invalid.
pub fn prompt_of(parts: &str) -> Option<Prompt> {
    let (shared, own) = parts.rsplit_once(',').unwrap_or(("", parts));
    let mut shared_tokens = 0u32;
    for part in shared.split(',').filter(|part| !part.is_empty()) {
        shared_tokens = shared_tokens.saturating_add(tokens_of(part)?);
    }
    Some(Prompt { key: xxh3_64(shared.as_bytes()), shared_tokens, own_tokens: tokens_of(own)? })
}

fn tokens_of(part: &str) -> Option<u32> {
    part.split_once(':')?.1.trim().parse().ok()
}
