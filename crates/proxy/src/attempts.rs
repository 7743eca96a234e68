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
    /// Selects an endpoint that the request has not been sent to yet.
    fn select_target(&self, request: &RoutedRequest, attempts: &AttemptState) -> Option<Target> {
        let endpoints = self.state.endpoints_of(&request.service);
        let selection = SelectionRequest {
            now: self.state.now(),
            ready: &endpoints.ready,
            tried: attempts.tried(),
            prompt: request.prompt,
        };
        let key = self.state.router().choose(selection)?;
        endpoints.target(key).cloned()
    }

    /// Sends a request to one endpoint after another until one starts a response. A stream is resumed after the event
    /// `last_event_id`.
    pub(crate) async fn begin(
        &self,
        request: &RoutedRequest,
        attempts: &mut AttemptState,
        last_event_id: Option<&HeaderValue>,
    ) -> Result<ActiveResponse, RequestError> {
        loop {
            let Some(target) = self.select_target(request, attempts) else {
                return Err(RequestError::after(request, attempts));
            };
            attempts.on_attempt(target.key);
            let mut in_flight = InFlight::new(&self.state, target.key, request.prompt);
            let result = attempt(
                &self.state,
                &self.connections,
                &target,
                request.connection_limit,
                &request.outgoing,
                last_event_id,
            )
            .await;
            let error = match result {
                Ok(started) => {
                    attempts.on_response();
                    return Ok(ActiveResponse { started, in_flight });
                }
                Err(error) => error,
            };
            in_flight.outcome = error.outcome;
            drop(in_flight);
            if error.outcome != Outcome::Rejected {
                self.connections.close_idle(target.key);
            }
            if !attempts.may_retry(&self.state, request, error.into()) {
                return Err(RequestError::after(request, attempts));
            }
        }
    }
}
