//! The attempts of a request: selects the next endpoint, and decides whether there is a next attempt.

use crate::attempt::{AttemptError, attempt};
use crate::forward::Forwarder;
use crate::in_flight::{ActiveResponse, InFlight};
use crate::routed::{AttemptState, RequestError, RoutedRequest};
use crate::state::{Target, service_key};
use hyper::header::HeaderValue;
use runtrack_net::mutant;
use tokio::time::Instant;
use weirwharf::Outcome;
use weirwharf::fleet::SelectionRequest;

/// Limit of failed connects per request, which do not count as attempts of the route.
const MAX_CONNECT_ATTEMPTS: usize = 5;

/// Limit of endpoints that state that they have not run a request, which do not count as attempts of the route either.
const MAX_UNEXECUTED: u32 = 3;

impl Forwarder {
    /// Whether a dispatched request may be sent to another endpoint. Takes a retry off the budget.
    pub(crate) fn may_retry(&self, request: &RoutedRequest, attempts: &AttemptState) -> bool {
        if attempts.dispatched >= request.max_tries || Instant::now() >= request.outgoing.deadline {
            return false;
        }
        self.acquire_retry(request)
    }

    /// Whether a request that an endpoint has not run may be sent to another one. The route's `maxTries` bounds the
    /// endpoints that may have run a request; what was not run counts for the budget alone.
    fn may_retry_unexecuted(&self, request: &RoutedRequest, attempts: &mut AttemptState) -> bool {
        attempts.unexecuted += 1;
        if attempts.unexecuted > MAX_UNEXECUTED || !request.outgoing.is_wanted() {
            return false;
        }
        self.acquire_retry(request)
    }

    /// Takes a retry off the budget.
    fn acquire_retry(&self, request: &RoutedRequest) -> bool {
        let now = self.state.now();
        self.state.router().try_acquire_retry(now, service_key(&request.service))
    }

    fn choose(&self, request: &RoutedRequest, attempts: &AttemptState) -> Option<Target> {
        let pool = self.state.pool(&request.service);
        let selection = SelectionRequest {
            now: self.state.now(),
            ready: &pool.ready,
            tried: &attempts.tried,
            prompt: request.prompt,
        };
        let key = self.state.router().choose(selection)?;
        pool.target(key).cloned()
    }

    /// Sends a request to one endpoint after another until one starts a response.
    pub(crate) async fn begin(
        &self,
        request: &RoutedRequest,
        attempts: &mut AttemptState,
        after: Option<&HeaderValue>,
    ) -> Result<ActiveResponse, RequestError> {
        loop {
            let Some(target) = self.choose(request, attempts) else {
                return Err(RequestError::after(request, attempts));
            };
            attempts.tried.push(target.key);
            let mut in_flight = InFlight::new(&self.state, target.key, request.prompt);
            let sent = attempt(
                &self.state,
                &self.connections,
                &target,
                request.connection_limit,
                &request.outgoing,
                after,
            )
            .await;
            let failed = match sent {
                Ok(started) => {
                    attempts.dispatched += 1;
                    return Ok(ActiveResponse { started, in_flight });
                }
                Err(failed) => failed,
            };
            in_flight.outcome = failed.outcome;
            drop(in_flight);
            if failed.outcome != Outcome::Full {
                self.connections.close_idle(target.key);
            }
            if !self.after_failure(request, attempts, failed) {
                return Err(RequestError::after(request, attempts));
            }
        }
    }

    fn after_failure(
        &self,
        request: &RoutedRequest,
        attempts: &mut AttemptState,
        failed: AttemptError,
    ) -> bool {
        if !failed.dispatched {
            attempts.unconnected += 1;
            return attempts.unconnected < MAX_CONNECT_ATTEMPTS && request.outgoing.is_wanted();
        }
        if failed.never_ran() {
            return self.may_retry_unexecuted(request, attempts);
        }
        attempts.dispatched += 1;
        attempts.may_have_run = true;
        let may_run_again = request.outgoing.idempotent || mutant("proxy_repeats_what_runs_once");
        may_run_again && self.may_retry(request, attempts)
    }
}
