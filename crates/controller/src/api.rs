//! The outer interfaces over HTTP/1.1: `api/operator.yaml` and `api/endpoints.yaml`.
//!
//! A request passes `server` (connections), this file (which operation it is), `body` (its bytes within bounds), then
//! `config` (the operator's calls) or `endpoint_calls`; `replies` gives each outcome its status. `operations` is the
//! table of paths and statuses, `wire` the JSON that endpoints send.

mod body;
mod config;
mod endpoint_calls;
mod operations;
mod replies;
mod server;
mod wire;

pub use operations::{OPERATIONS, Operation};

use crate::api::body::{base_version, read_body};
use crate::api::operations::{READ, config_change, endpoint_call};
use crate::api::replies::{Reply, refusal};
use crate::contact::MajorityContact;
use crate::endpoints::Endpoints;
use crate::proposer::Proposer;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use runtrack_fleetconfig::MAX_CONFIG;
use runtrack_link::Gossip;
use std::rc::Rc;

/// Bytes of an endpoint's call at most.
const MAX_CALL: usize = 64 << 10;

/// Serves the outer interfaces.
pub(crate) struct Api {
    gossip: Rc<Gossip>,
    proposer: Rc<Proposer>,
    endpoints: Rc<Endpoints>,
    contact: Rc<MajorityContact>,
}

impl Api {
    /// Serves with these.
    pub fn new(
        gossip: Rc<Gossip>,
        proposer: Rc<Proposer>,
        endpoints: Rc<Endpoints>,
        contact: Rc<MajorityContact>,
    ) -> Rc<Self> {
        Rc::new(Api { gossip, proposer, endpoints, contact })
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        let Some(operation) = OPERATIONS.iter().find(|operation| operation.serves(request.uri().path()))
        else {
            return refusal(StatusCode::NOT_FOUND, "no such path");
        };
        if operation.method != *request.method() {
            return refusal(StatusCode::METHOD_NOT_ALLOWED, "not this method");
        }
        let reply = self.carry_out(operation, request).await;
        debug_assert!(
            operation.statuses.contains(&reply.status().as_u16()),
            "{} {}",
            operation.path,
            reply.status()
        );
        reply
    }

    async fn carry_out(self: Rc<Self>, operation: &Operation, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        if operation.path == READ {
            return self.read().await;
        }
        let change = config_change(operation.path);
        let most = if change.is_some() { MAX_CONFIG } else { MAX_CALL };
        let body = match read_body(body, most).await {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        if let Some(change) = change {
            return match base_version(&head.headers) {
                Some(base) => self.change_config(change, base, body).await,
                None => refusal(StatusCode::BAD_REQUEST, "X-Base-Version: is missing or no number"),
            };
        }
        match endpoint_call(path) {
            Some((id, "heartbeat")) => self.heartbeat(id, &body).await,
            Some((id, _)) => self.deregister(id, &body).await,
            None => refusal(StatusCode::BAD_REQUEST, "no endpoint"),
        }
    }
}
