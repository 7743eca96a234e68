//! A completely received request together with the settings of its route.

use crate::client::ClientMonitor;
use crate::headers::{ATTEMPT_ID, PROMPT_PREFIX, TIME_BUDGET, remove_hop_headers};
use crate::outgoing::Outgoing;
use crate::prompt::parse_prompt;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use runtrack_balancer::fleet::Prompt;
use runtrack_fleetconfig::{Route, RouteKind, Service};
use std::time::Duration;
use tokio::time::Instant;

/// A stream counts as stalled after sending nothing for this many times the longest pause that its route allows, and at
/// least for [`MIN_STALL_TIMEOUT`]. A stall counts against the endpoint.
const STALL_PAUSES: u32 = 4;
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// A request with the settings of its route.
pub(crate) struct RoutedRequest {
    pub(crate) outgoing: Outgoing,
    pub(crate) service: String,
    pub(crate) connection_limit: u32,
    pub(crate) max_tries: u32,
    pub(crate) resumable: bool,
    pub(crate) streaming: bool,
    /// A stream that sends nothing for longer than this counts as stalled.
    pub(crate) stall_timeout: Duration,
    pub(crate) prompt: Option<Prompt>,
}

impl RoutedRequest {
    /// Creates the request from its head and its complete body.
    pub(crate) fn new(
        route: &Route,
        service: &Service,
        mut head: Parts,
        body: Bytes,
        deadline: Instant,
        client: ClientMonitor,
    ) -> Self {
        let prompt = pinned_prompt(route, &head.headers);
        let id = head.headers.get(ATTEMPT_ID).cloned();
        remove_hop_headers(&mut head.headers);
        let outgoing = Outgoing {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            id,
            priority: route.priority,
            idempotent: route.is_idempotent(),
            deadline,
            client,
        };
        RoutedRequest {
            outgoing,
            service: service.name.clone(),
            connection_limit: service.connection_limit,
            max_tries: route.max_tries,
            resumable: route.resumable,
            streaming: route.kind == RouteKind::Streaming,
            stall_timeout: stall_timeout(route),
            prompt,
        }
    }
}

/// Time budget of a request: the smallest that the client states, limited by the timeout of its route.
pub(crate) fn time_budget(route: &Route, headers: &HeaderMap) -> Duration {
    headers.get_all(TIME_BUDGET).iter().filter_map(parse_milliseconds).fold(route.timeout, Duration::min)
}

/// Parses a number of milliseconds, which may have a fraction. A negative number counts as zero; `None` if the value is
/// not a number.
fn parse_milliseconds(value: &HeaderValue) -> Option<Duration> {
    let number: f64 = value.to_str().ok()?.trim().parse().ok()?;
    if number.is_nan() {
        return None;
    }
    Some(Duration::try_from_secs_f64(number.max(0.0) / 1000.0).unwrap_or(Duration::MAX))
}

/// The prompt that a request states, if its route selects endpoints by prompt prefix.
fn pinned_prompt(route: &Route, headers: &HeaderMap) -> Option<Prompt> {
    let prefix = headers.get(PROMPT_PREFIX).and_then(|value| value.to_str().ok());
    prefix.filter(|_| route.pinned).and_then(parse_prompt)
}

fn stall_timeout(route: &Route) -> Duration {
    route.pause.map_or(MIN_STALL_TIMEOUT, |pause| (pause * STALL_PAUSES).max(MIN_STALL_TIMEOUT))
}

/// The response was truncated before any of it was forwarded.
pub(crate) struct TruncatedResponse;
