//! The outer interfaces over HTTP/1.1: `api/operator.yaml` and `api/endpoints.yaml`.
//!
//! A request passes `server` (connections), this file (which operation it is), then `config` (the operator's calls) or
//! `endpoint_calls`, which read its `body` within bounds; `replies` gives each outcome its status. `operations` is the
//! table of paths and statuses, `wire` the JSON that endpoints send.

mod body;
mod config;
mod endpoint_calls;
mod operations;
mod replies;
mod server;
mod wire;

pub use operations::{OPERATIONS, Operation, OperationKind};

use crate::api::replies::{Reply, refusal};
use crate::contact::MajorityContact;
use crate::endpoints::Endpoints;
use crate::proposer::Proposer;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use runtrack_link::Gossip;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// Serves the outer interfaces.
pub(crate) struct Api {
    gossip: Rc<Gossip>,
    proposer: Rc<Proposer>,
    endpoints: Rc<Endpoints>,
    contact: Rc<MajorityContact>,
    /// When a heartbeat that can't be read was logged last.
    refusal_logged: Cell<Option<Instant>>,
}

impl Api {
    /// Serves with these components.
    pub fn new(
        gossip: Rc<Gossip>,
        proposer: Rc<Proposer>,
        endpoints: Rc<Endpoints>,
        contact: Rc<MajorityContact>,
    ) -> Rc<Self> {
        Rc::new(Api { gossip, proposer, endpoints, contact, refusal_logged: Cell::new(None) })
    }

    /// Answers a request: with 404 or 405 where it is no operation.
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        let Some(operation) = OPERATIONS.iter().find(|operation| operation.serves(request.uri().path()))
        else {
            return refusal(StatusCode::NOT_FOUND, "no such path");
        };
        if operation.method != *request.method() {
            return refusal(StatusCode::METHOD_NOT_ALLOWED, "not this method");
        }
        let reply = self.execute(operation, request).await;
        debug_assert!(
            operation.statuses.contains(&reply.status().as_u16()),
            "{} {}",
            operation.path,
            reply.status()
        );
        reply
    }

    async fn execute(self: Rc<Self>, operation: &Operation, request: Request<Incoming>) -> Reply {
        match operation.kind {
            OperationKind::ReadConfig => self.read().await,
            OperationKind::ChangeConfig(change) => self.change_config(change, request).await,
            OperationKind::Heartbeat => self.heartbeat(request).await,
            OperationKind::Deregister => self.deregister(request).await,
        }
    }
}
