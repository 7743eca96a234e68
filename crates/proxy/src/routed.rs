//! A request with what its route says of it, and what has become of it so far.

use crate::client::Presence;
use crate::headers::{ATTEMPT_ID, PROMPT_PREFIX, TIME_BUDGET, remove_hop_headers};
use crate::outgoing::Outgoing;
use crate::prompt::prompt_of;
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use runtrack_fleetconfig::{Route, RouteKind, Service};
use runtrack_net::mutant;
use std::time::Duration;
use tokio::time::Instant;
use weirwharf::EndpointId;
use weirwharf::fleet::Prompt;

/// A stream that is under way and says nothing for so many of the longest pauses it may make, or for this long at the
/// least, speaks against its endpoint.
const SILENT_PAUSES: u32 = 4;
const MIN_SILENCE: Duration = Duration::from_millis(1000);

/// A request with what its route says of it.
pub(crate) struct RoutedRequest {
    pub(crate) outgoing: Outgoing,
    pub(crate) service: String,
    pub(crate) connection_limit: u32,
    pub(crate) max_tries: u32,
    pub(crate) resumable: bool,
    pub(crate) streaming: bool,
    /// A stream that pauses for longer speaks against its endpoint.
    pub(crate) silent_after: Duration,
    pub(crate) prompt: Option<Prompt>,
}

impl RoutedRequest {
    /// A request that has come whole.
    pub(crate) fn new(
        route: &Route,
        service: &Service,
        mut head: Parts,
        body: Bytes,
        deadline: Instant,
        client: Presence,
    ) -> Self {
        let prompt = prompt_at(route, &head.headers);
        let id = head.headers.get(ATTEMPT_ID).cloned();
        remove_hop_headers(&mut head.headers);
        let outgoing = Outgoing {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            id,
            priority: route.priority,
            idempotent: route.repeatable(),
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
            silent_after: silent_after(route),
            prompt,
        }
    }
}

/// The time that a request has: its client's, and no more than its route's.
pub(crate) fn time_budget(route: &Route, headers: &HeaderMap) -> Duration {
    let told = headers.get(TIME_BUDGET).and_then(|value| value.to_str().ok()?.trim().parse().ok());
    told.map_or(route.timeout, Duration::from_millis).min(route.timeout)
}

fn prompt_at(route: &Route, headers: &HeaderMap) -> Option<Prompt> {
    let prefix = headers.get(PROMPT_PREFIX).and_then(|value| value.to_str().ok());
    prefix.filter(|_| route.pinned).and_then(prompt_of)
}

fn silent_after(route: &Route) -> Duration {
    route.pause.map_or(MIN_SILENCE, |pause| (pause * SILENT_PAUSES).max(MIN_SILENCE))
}

/// What has become of a request so far.
#[derive(Clone, Default)]
pub(crate) struct AttemptState {
    pub(crate) tried: Vec<EndpointId>,
    pub(crate) dispatched: u32,
    pub(crate) may_have_run: bool,
    pub(crate) unconnected: usize,
    /// The next second send has been taken off the budget already.
    pub(crate) retry_acquired: bool,
}

/// The answer broke off before any of it went on.
pub(crate) struct TruncatedResponse;

/// Why a request was given up.
pub(crate) enum RequestError {
    /// It never ran.
    Refused,
    /// Its time is up, and it may have run.
    TimedOut,
    /// It may have run.
    Failed,
}

impl RequestError {
    /// Why a request is given up now, after these attempts.
    pub(crate) fn after(request: &RoutedRequest, attempts: &AttemptState) -> Self {
        match attempts.may_have_run {
            _ if mutant("proxy_refuses_what_was_sent") => RequestError::Refused,
            false => RequestError::Refused,
            true if Instant::now() >= request.outgoing.deadline => RequestError::TimedOut,
            true => RequestError::Failed,
        }
    }
}
