//! xDS v3, the protocol by which proxies and proxyless gRPC clients learn of clusters, endpoints, listeners and
//! routes.
//!
//! [`Cache`] holds what is served; [`Session`] is one stream of one proxy, without I/O: requests go in, and
//! [`Session::poll`] gives the next response from the newest state whenever the stream can take one. [`translate`]
//! turns the model into resources.

mod accept;
mod cache;
mod csds;
mod hub;
mod kind;
mod message;
mod server;
mod session;
pub mod translate;

pub use accept::{Counted, Incoming};
pub use cache::{Body, Cache, Change};
pub use csds::ClientStatus;
pub use envoy_types::pb::envoy::service::status::v3::client_status_discovery_service_server::ClientStatusDiscoveryServiceServer;
pub use hub::{Access, Ended, Hub, Settings, Stream, place};
pub use kind::Kind;
pub use server::{Aggregated, Clusters, Discovery, Endpoints, Listeners, Routes, Served};
pub use session::{Limits, Refusal, Rejection, Request, Response, Session, Standing};
