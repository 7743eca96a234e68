//! Forwards responses that are received completely first.

use crate::attempt::ResponseStarted;
use crate::forward::{Forwarder, Reply};
use crate::headers::{closes, keep_alive, remove_hop_headers};
use crate::in_flight::ActiveResponse;
use crate::pool::Reuse;
use crate::reply_body::{BodyAborted, full_body, next_bytes};
use crate::response_relay::ResponseRelay;
use crate::retry::AttemptState;
use crate::routed::{RoutedRequest, TruncatedResponse};
use bytes::{Bytes, BytesMut};
use hyper::Response;
use runtrack_balancer::Outcome;
use std::rc::Rc;
use tokio::time::timeout_at;

/// Size in bytes up to which a response is buffered; a larger one is forwarded as it is received.
const MAX_BUFFERED_BODY_BYTES: usize = 256 << 10;

impl Forwarder {
    /// Receives a response completely before forwarding it, so that a truncated one can be retried or replaced by an
    /// error. A response larger than [`MAX_BUFFERED_BODY_BYTES`] is forwarded as it is received.
    pub(crate) async fn forward_complete(
        self: Rc<Self>,
        request: &Rc<RoutedRequest>,
        mut active: ActiveResponse,
        attempts: &AttemptState,
    ) -> Result<Reply, TruncatedResponse> {
        let mut received = BytesMut::new();
        while let Some(bytes) = self.next_in_time(request, &mut active).await? {
            received.extend_from_slice(&bytes);
            if received.len() > MAX_BUFFERED_BODY_BYTES {
                return Ok(self.relay_from(
                    request,
                    active,
                    attempts,
                    ResponseRelay::for_bytes(),
                    received.freeze(),
                ));
            }
        }
        let head = reply_head(&active);
        let failed = active.started.response.status().is_server_error();
        self.finish(request, active, if failed { Outcome::Error } else { Outcome::Ok });
        Ok(head.map(|()| full_body(received.freeze())))
    }

    /// The next bytes of a response of which nothing has been forwarded yet; `None` at its end.
    pub(crate) async fn next_in_time(
        &self,
        request: &RoutedRequest,
        active: &mut ActiveResponse,
    ) -> Result<Option<Bytes>, TruncatedResponse> {
        let body = active.started.response.body_mut();
        let outcome = match timeout_at(request.outgoing.deadline, next_bytes(body)).await {
            Ok(None) => return Ok(None),
            Ok(Some(Ok(bytes))) => return Ok(Some(bytes)),
            Ok(Some(Err(BodyAborted))) => Outcome::Reset,
            Err(_) => Outcome::TimedOut,
        };
        active.in_flight.outcome = outcome;
        Err(TruncatedResponse)
    }

    /// Ends the accounting of a complete response, and returns its connection to the pool if it can be reused.
    pub(crate) fn finish(&self, request: &RoutedRequest, mut active: ActiveResponse, outcome: Outcome) {
        active.in_flight.outcome = outcome;
        let ResponseStarted { response, connection, .. } = active.started;
        let headers = response.headers();
        if !closes(headers) && request.outgoing.reuse() != Reuse::None {
            self.connections.release(active.in_flight.key, connection, keep_alive(headers));
        }
    }
}

/// Status and headers of a response, without hop-by-hop headers.
pub(crate) fn reply_head(active: &ActiveResponse) -> Response<()> {
    let response = &active.started.response;
    let mut head = Response::new(());
    *head.status_mut() = response.status();
    *head.headers_mut() = response.headers().clone();
    remove_hop_headers(head.headers_mut());
    head
}
