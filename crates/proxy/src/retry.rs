//! Decides whether a request, or the remainder of a stream, may be sent to another endpoint after a failed attempt, and why
//! it is given up where it may not.

use crate::attempt::AttemptError;
use crate::routed::RoutedRequest;
use crate::state::{State, service_key};
use runtrack_balancer::EndpointId;
use runtrack_net::mutant;
use tokio::time::Instant;

/// Limit of failed connects per request, which do not count as attempts of the route.
const MAX_CONNECT_ATTEMPTS: usize = 5;

/// Limit of endpoints that state that they have not run a request, which do not count as attempts of the route either.
const MAX_UNEXECUTED: u32 = 3;

/// How an attempt failed, as far as it matters for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The request was not sent.
    NotSent,
    /// The endpoint states that it has not run the request and never will.
    NotExecuted,
    /// The request was sent, and no valid response has started.
    NoResponse,
    /// A response has started, and it is an error, is truncated, or has paused for too long.
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
    /// Endpoints that it was or is being sent to.
    tried: Vec<EndpointId>,
    /// Endpoints that may have run the request.
    dispatched: u32,
    /// Endpoints that have stated that they did not run it.
    unexecuted: u32,
    unconnected: usize,
    may_have_run: bool,
}

impl AttemptState {
    /// Endpoints that it was or is being sent to.
    pub(crate) fn tried(&self) -> &[EndpointId] {
        &self.tried
    }

    /// An attempt at this endpoint begins.
    pub(crate) fn on_attempt(&mut self, endpoint: EndpointId) {
        self.tried.push(endpoint);
    }

    /// The endpoint that was tried last has started its response.
    pub(crate) fn on_response(&mut self) {
        self.dispatched += 1;
    }

    /// The attempt at the endpoint that was tried last was given up: the endpoint may have begun to run the request.
    pub(crate) fn on_abandoned(&mut self) {
        self.dispatched += 1;
    }

    /// Accounts for a failed attempt; returns whether another endpoint may be tried. What was sent before takes a retry off
    /// the budget that all proxies share.
    pub(crate) fn may_retry(&mut self, state: &State, request: &RoutedRequest, failure: Failure) -> bool {
        self.on_failure(failure);
        self.allows_another(request, failure)
            && (failure == Failure::NotSent || acquire_retry(state, request))
    }

    fn on_failure(&mut self, failure: Failure) {
        match failure {
            Failure::NotSent => self.unconnected += 1,
            Failure::NotExecuted => self.unexecuted += 1,
            Failure::NoResponse => {
                self.dispatched += 1;
                self.may_have_run = true;
            }
            Failure::BadResponse => self.may_have_run = true,
        }
    }

    /// Whether another attempt is allowed as far as the request itself is concerned. The route's `maxTries` bounds the
    /// endpoints that may have run it; what was not run counts for the retry budget alone.
    fn allows_another(&self, request: &RoutedRequest, failure: Failure) -> bool {
        match failure {
            Failure::NotSent => self.unconnected < MAX_CONNECT_ATTEMPTS && request.outgoing.is_wanted(),
            Failure::NotExecuted => self.unexecuted <= MAX_UNEXECUTED && request.outgoing.is_wanted(),
            Failure::NoResponse | Failure::BadResponse => {
                may_run_again(request)
                    && self.dispatched < request.max_tries
                    && Instant::now() < request.outgoing.deadline
            }
        }
    }
}

fn may_run_again(request: &RoutedRequest) -> bool {
    request.outgoing.idempotent || mutant("proxy_repeats_what_runs_once")
}

fn acquire_retry(state: &State, request: &RoutedRequest) -> bool {
    state.router().try_acquire_retry(state.now(), service_key(&request.service))
}

/// Why a request was given up.
pub(crate) enum RequestError {
    /// It never ran.
    Refused,
    /// Its deadline has passed, and it may have run.
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
