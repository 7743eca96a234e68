//! Decides whether a request, or the remainder of a stream, may be sent to another endpoint after a failed attempt, and
//! if not, which error the client gets.

use crate::attempt::AttemptError;
use crate::routed::RoutedRequest;
use crate::state::{State, service_key};
use runtrack_balancer::EndpointId;
use runtrack_net::mutant;
use tokio::time::Instant;

/// Maximum number of failed connects per request. They do not count for the route's `maxTries`.
const MAX_FAILED_CONNECTS: usize = 5;

/// Maximum number of retries of a request after endpoints that state that they have not run it. These endpoints do not
/// count for the route's `maxTries` either.
const MAX_UNEXECUTED: u32 = 3;

/// How an attempt failed, as far as it matters for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The request was not sent.
    NotSent,
    /// The endpoint states that it has not run the request and never will.
    NotExecuted,
    /// The request was sent, and no valid response has started.
    NoResponse,
    /// A response has started, and it is an error, is truncated, or has stalled.
    BadResponse,
}

impl From<AttemptError> for Failure {
    fn from(error: AttemptError) -> Self {
        match error {
            AttemptError { dispatched: false, .. } => Failure::NotSent,
            error if error.never_ran() => Failure::NotExecuted,
            _ => Failure::NoResponse,
        }
    }
}

/// State of the attempts of a request.
#[derive(Clone, Default)]
pub(crate) struct AttemptState {
    /// Endpoints that the request was or is being sent to.
    tried: Vec<EndpointId>,
    /// Number of endpoints that may have run the request.
    dispatched: u32,
    /// Number of endpoints that have stated that they did not run the request.
    unexecuted: u32,
    failed_connects: usize,
    may_have_run: bool,
}

impl AttemptState {
    /// Endpoints that the request was or is being sent to.
    pub(crate) fn tried(&self) -> &[EndpointId] {
        &self.tried
    }

    /// Called when an attempt at this endpoint begins.
    pub(crate) fn on_attempt(&mut self, endpoint: EndpointId) {
        self.tried.push(endpoint);
    }

    /// Called when the endpoint that was tried last has started its response.
    pub(crate) fn on_response(&mut self) {
        self.dispatched += 1;
    }

    /// Called when the attempt at the endpoint that was tried last was abandoned; the endpoint may have begun to run
    /// the request.
    pub(crate) fn on_abandoned(&mut self) {
        self.dispatched += 1;
    }

    /// Accounts for a failed attempt; returns whether another endpoint may be tried. Unless the failed attempt was not
    /// sent, the retry is taken from the budget that all proxies share.
    pub(crate) fn may_retry(&mut self, state: &State, request: &RoutedRequest, failure: Failure) -> bool {
        self.on_failure(failure);
        self.allows_retry(request, failure)
            && (failure == Failure::NotSent || acquire_retry(state, request))
    }

    fn on_failure(&mut self, failure: Failure) {
        match failure {
            Failure::NotSent => self.failed_connects += 1,
            Failure::NotExecuted => self.unexecuted += 1,
            Failure::NoResponse => {
                self.dispatched += 1;
                self.may_have_run = true;
            }
            Failure::BadResponse => self.may_have_run = true,
        }
    }

    /// Whether the limits of the request itself allow another attempt. The route's `maxTries` limits the number of
    /// endpoints that may have run the request; endpoints that have not run it only count for [`MAX_UNEXECUTED`] and
    /// the retry budget.
    fn allows_retry(&self, request: &RoutedRequest, failure: Failure) -> bool {
        match failure {
            Failure::NotSent => self.failed_connects < MAX_FAILED_CONNECTS && request.outgoing.is_wanted(),
            Failure::NotExecuted => self.unexecuted <= MAX_UNEXECUTED && request.outgoing.is_wanted(),
            Failure::NoResponse | Failure::BadResponse => {
                may_repeat(request)
                    && self.dispatched < request.max_tries
                    && Instant::now() < request.outgoing.deadline
            }
        }
    }
}

fn may_repeat(request: &RoutedRequest) -> bool {
    request.outgoing.idempotent || mutant("proxy_retries_non_idempotent")
}

fn acquire_retry(state: &State, request: &RoutedRequest) -> bool {
    state.router().try_acquire_retry(state.now(), service_key(&request.service))
}

/// Why a request failed.
pub(crate) enum RequestError {
    /// The request never ran.
    Refused,
    /// The deadline has passed, and the request may have run.
    TimedOut,
    /// The request may have run.
    Failed,
}

impl RequestError {
    /// The error of a request that fails now, after these attempts.
    pub(crate) fn after(request: &RoutedRequest, attempts: &AttemptState) -> Self {
        match attempts.may_have_run {
            _ if mutant("proxy_refuses_dispatched_request") => RequestError::Refused,
            false => RequestError::Refused,
            true if Instant::now() >= request.outgoing.deadline => RequestError::TimedOut,
            true => RequestError::Failed,
        }
    }
}
