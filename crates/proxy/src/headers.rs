//! Names of the headers that the fleet defines, and handling of hop-by-hop headers.

use hyper::header::{self, HeaderMap, HeaderName};

/// The client's id of its attempt, which the response must repeat.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");
/// Id of the endpoint that a request is sent to.
pub const TARGET_INSTANCE: HeaderName = HeaderName::from_static("x-target-instance");
/// Remaining time of a request in milliseconds.
pub const TIME_BUDGET: HeaderName = HeaderName::from_static("x-time-budget-ms");
/// States that the endpoint has not run the request and never will.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// The endpoint's seal on a successful response.
pub const SERVER_SEAL: HeaderName = HeaderName::from_static("x-server-seal");
/// Id of the endpoint that sends the response.
pub const INSTANCE: HeaderName = HeaderName::from_static("x-instance");
/// Parts of the prompt with their lengths in tokens.
pub const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// Priority at the endpoint; 0 is the highest.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Id of the event after which a stream is resumed.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
/// Headers that are forwarded even if `Connection` names them, since the meaning of requests and responses depends on
/// them.
const END_TO_END: [HeaderName; 10] = [
    ATTEMPT_ID,
    TIME_BUDGET,
    LAST_EVENT_ID,
    PROMPT_PREFIX,
    SERVER_SEAL,
    header::CONTENT_TYPE,
    header::HOST,
    HeaderName::from_static("x-model"),
    HeaderName::from_static("x-token-count"),
    HeaderName::from_static("versions"),
];

/// Removes hop-by-hop headers (RFC 9110, section 7.6.1), and `Content-Length`, which hyper sets again.
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

/// How long the endpoint keeps an idle connection, from `Keep-Alive: timeout=SECONDS`; `None` if it does not state
/// that.
pub fn keep_alive(headers: &HeaderMap) -> Option<std::time::Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(std::time::Duration::from_secs)
}

/// Whether `Connection: close` announces the end of the connection.
pub fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|token| token.trim().eq_ignore_ascii_case("close"))
}
