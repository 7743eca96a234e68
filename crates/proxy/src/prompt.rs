//! The parts of a prompt that a request names.

use weirwharf::fleet::Prompt;
use xxhash_rust::xxh3::xxh3_64;

/// The shared parts of a prompt from `X-Prompt-Prefix` (`ID:TOKENS`, separated by commas): all but the last, which
/// belongs to the request or its session. None where there are none, or where it can't be read.
pub fn prompt_of(parts: &str) -> Option<Prompt> {
    let (shared, _own) = parts.rsplit_once(',')?;
    let mut tokens = 0u32;
    for part in shared.split(',') {
        let (_, count) = part.split_once(':')?;
        tokens = tokens.saturating_add(count.trim().parse().ok()?);
    }
    Some(Prompt { key: xxh3_64(shared.as_bytes()), shared_tokens: tokens })
}
