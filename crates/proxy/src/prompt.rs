//! The parts of a prompt that a request names in its headers.

use runtrack_balancer::fleet::Prompt;
use xxhash_rust::xxh3::xxh3_64;

/// A prompt from `X-Prompt-Prefix`: parts in order as `ID:TOKENS`, separated by commas. All but the last may be shared
/// with other requests; the last belongs to the request or its session. None if the header is invalid.
pub fn prompt_of(parts: &str) -> Option<Prompt> {
    let (shared, own) = parts.rsplit_once(',').unwrap_or(("", parts));
    let shared: Option<Vec<(u64, u32)>> =
        shared.split(',').filter(|part| !part.is_empty()).map(part_of).collect();
    let (_, own_tokens) = part_of(own)?;
    Some(Prompt::new(shared?, own_tokens))
}

/// The hash of a part's id, and its tokens.
fn part_of(part: &str) -> Option<(u64, u32)> {
    let (id, tokens) = part.split_once(':')?;
    Some((xxh3_64(id.trim().as_bytes()), tokens.trim().parse().ok()?))
}
