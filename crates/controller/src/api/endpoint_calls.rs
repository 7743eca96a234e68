//! The endpoints' calls: heartbeats and deregistrations.

use crate::api::Api;
use crate::api::body::read_body;
use crate::api::operations::endpoint_call;
use crate::api::replies::{Reply, done, out_of_contact, refusal, refused_body};
use crate::api::wire::{deregistration_call_seq, gone_record, heartbeat_record};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use runtrack_message::{Endpoint, EndpointState};
use slog::warn;
use std::time::Duration;
use tokio::time::Instant;

/// Bytes of an endpoint's call at most.
const MAX_CALL: usize = 64 << 10;
/// Minimum interval between log lines about malformed heartbeats.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The endpoint's id and the body of a call.
struct EndpointCall {
    id: String,
    body: Bytes,
}

impl Api {
    /// Handles an endpoint's heartbeat in state ready or draining.
    pub(super) async fn heartbeat(&self, request: Request<Incoming>) -> Reply {
        let call = match read_call(request).await {
            Ok(call) => call,
            Err(reply) => return reply,
        };
        match heartbeat_record(&call.id, &call.body) {
            Some(record) => self.acknowledge(record).await,
            None => {
                self.log_refused(&call);
                refusal(StatusCode::BAD_REQUEST, "the heartbeat can't be read")
            }
        }
    }

    /// Logs a heartbeat that can't be read: its endpoint will never be known. Bounded, since it comes again and again.
    fn log_refused(&self, call: &EndpointCall) {
        let now = Instant::now();
        if self.refusal_logged.get().is_some_and(|last| now - last < REFUSAL_LOG_INTERVAL) {
            return;
        }
        self.refusal_logged.set(Some(now));
        warn!(self.gossip.logger(), "heartbeat.refused"; "id" => &call.id, "bytes" => call.body.len());
    }

    /// An endpoint has ended.
    pub(super) async fn deregister(&self, request: Request<Incoming>) -> Reply {
        let call = match read_call(request).await {
            Ok(call) => call,
            Err(reply) => return reply,
        };
        let known = self.gossip.replica().registry().get(runtrack_registry::key_of(&call.id)).cloned();
        let record = known.unwrap_or_else(|| gone_record(&call.id));
        let call_seq = deregistration_call_seq(&call.body).unwrap_or(record.call_seq + 1);
        self.acknowledge(Endpoint { state: EndpointState::Gone, call_seq, ..record }).await
    }

    async fn acknowledge(&self, record: Endpoint) -> Reply {
        if self.endpoints.on_call(record).await { done() } else { out_of_contact() }
    }
}

/// Reads a call within bounds; the refusal where that fails.
async fn read_call(request: Request<Incoming>) -> Result<EndpointCall, Reply> {
    let (head, body) = request.into_parts();
    let body = read_body(body, MAX_CALL).await.map_err(|problem| refused_body(&problem))?;
    let call = endpoint_call(head.uri.path());
    let (id, _) = call.ok_or_else(|| refusal(StatusCode::BAD_REQUEST, "no endpoint"))?;
    Ok(EndpointCall { id: id.to_owned(), body })
}
