//! The endpoints' calls: heartbeats and deregistrations.

use crate::api::Api;
use crate::api::replies::{Reply, done, out_of_contact, refusal};
use crate::api::wire::{deregistration_call_seq, gone_record, heartbeat_record};
use hyper::StatusCode;
use runtrack_message::{Endpoint, EndpointState};

impl Api {
    /// An endpoint says that it is there, ready or draining.
    pub(super) async fn heartbeat(&self, id: &str, body: &[u8]) -> Reply {
        let Some(record) = heartbeat_record(id, body) else {
            return refusal(StatusCode::BAD_REQUEST, "the heartbeat can't be read");
        };
        self.acknowledge(record).await
    }

    /// An endpoint has ended.
    pub(super) async fn deregister(&self, id: &str, body: &[u8]) -> Reply {
        let known = self.gossip.replica().registry().get(runtrack_registry::key_of(id)).cloned();
        let record = known.unwrap_or_else(|| gone_record(id));
        let call_seq = deregistration_call_seq(body).unwrap_or(record.call_seq + 1);
        self.acknowledge(Endpoint { state: EndpointState::Gone, call_seq, ..record }).await
    }

    async fn acknowledge(&self, record: Endpoint) -> Reply {
        if self.endpoints.called(record).await { done() } else { out_of_contact() }
    }
}
