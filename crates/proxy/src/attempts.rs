//! The attempts of a request up to the start of a response, one endpoint after another.

use crate::attempt::attempt;
use crate::forward::Forwarder;
use crate::in_flight::{ActiveResponse, InFlight};
use crate::retry::{AttemptState, RequestError};
use crate::routed::RoutedRequest;
use crate::state::Target;
use hyper::header::HeaderValue;
use runtrack_balancer::Outcome;
use runtrack_balancer::fleet::SelectionRequest;

impl Forwarder {
    fn choose(&self, request: &RoutedRequest, attempts: &AttemptState) -> Option<Target> {
        let pool = self.state.pool(&request.service);
        let selection = SelectionRequest {
            now: self.state.now(),
            ready: &pool.ready,
            tried: attempts.tried(),
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
            attempts.on_attempt(target.key);
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
                    attempts.on_response();
                    return Ok(ActiveResponse { started, in_flight });
                }
                Err(failed) => failed,
            };
            in_flight.outcome = failed.outcome;
            drop(in_flight);
            if failed.outcome != Outcome::Rejected {
                self.connections.close_idle(target.key);
            }
            if !attempts.may_retry(&self.state, request, failed.into()) {
                return Err(RequestError::after(request, attempts));
            }
        }
    }
}
