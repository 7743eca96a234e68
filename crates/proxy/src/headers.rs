//! Headers that concern one connection only, and those that the fleet sets.

use hyper::header::{self, HeaderMap, HeaderName};

/// The client's own id of a try.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");
/// The endpoint that is meant.
pub const TARGET: HeaderName = HeaderName::from_static("x-target-instance");
/// Milliseconds that are left.
pub const TIME_BUDGET: HeaderName = HeaderName::from_static("x-time-budget-ms");
/// The endpoint did not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// The endpoint's seal on its answer.
pub const SEAL: HeaderName = HeaderName::from_static("x-server-seal");
/// The endpoint that answers.
pub const INSTANCE: HeaderName = HeaderName::from_static("x-instance");
/// Parts of the prompt.
pub const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// Rank at the endpoint.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Where a stream goes on.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
/// What a request and its answer mean depends on these: naming one in `Connection` does not take it off.
const END_TO_END: [HeaderName; 10] = [
    ATTEMPT_ID,
    TIME_BUDGET,
    LAST_EVENT_ID,
    PROMPT_PREFIX,
    SEAL,
    header::CONTENT_TYPE,
    header::HOST,
    HeaderName::from_static("x-model"),
    HeaderName::from_static("x-token-count"),
    HeaderName::from_static("versions"),
];

/// Removes what concerns one connection only (RFC 9110, section 7.6.1), and the length, which is set anew.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = (headers.get_all(header::CONNECTION).iter())
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !END_TO_END.contains(name))
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        KEEP_ALIVE,
        PROXY_CONNECTION,
    ] {
        headers.remove(name);
    }
}

/// How long an idle connection is kept, from `Keep-Alive: timeout=SECONDS`.
pub fn keep_alive(headers: &HeaderMap) -> Option<std::time::Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(std::time::Duration::from_secs)
}

/// Whether the connection ends with this message.
pub fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|token| token.trim().eq_ignore_ascii_case("close"))
}
