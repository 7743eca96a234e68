//! Parsing of the prompt's parts from a request's headers.

use runtrack_balancer::fleet::Prompt;
use xxhash_rust::xxh3::xxh3_64;

/// Parses the value of `X-Prompt-Prefix`: parts in order as `ID:TOKENS`, separated by commas. All but the last may be
/// shared with other requests; the last belongs to the request or its session. Returns `None` if the value is invalid.
pub fn parse_prompt(parts: &str) -> Option<Prompt> {
    let (shared, last) = parts.rsplit_once(',').unwrap_or(("", parts));
    let shared: Option<Vec<(u64, u32)>> =
        shared.split(',').filter(|part| !part.is_empty()).map(parse_part).collect();
    let (_, own_tokens) = parse_part(last)?;
    Some(Prompt::new(shared?, own_tokens))
}

/// Parses one part into the hash of its id and its number of tokens.
fn parse_part(part: &str) -> Option<(u64, u32)> {
    let (id, tokens) = part.split_once(':')?;
    Some((xxh3_64(id.trim().as_bytes()), tokens.trim().parse().ok()?))
}
