//! xDS v3, the protocol by which proxies and proxyless gRPC clients learn of clusters, endpoints, listeners and
//! routes.
//!
//! [`Cache`] holds what is served; [`Session`] is one stream of one proxy, without I/O: requests go in, and
//! [`Session::poll`] gives the next response from the newest state whenever the stream can take one. [`translate`]
//! turns the model into resources. [`LoadStats`] sums up what proxies report of their requests (LRS).

mod accept;
mod allowance;
mod cache;
mod csds;
mod hub;
mod kind;
mod load;
mod lrs;
mod message;
mod server;
mod session;
pub mod translate;

pub use accept::{Incoming, LimitedConnection};
pub use cache::{Body, Cache, Change};
pub use csds::ClientStatus;
pub use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_server::LoadReportingServiceServer;
pub use envoy_types::pb::envoy::service::status::v3::client_status_discovery_service_server::ClientStatusDiscoveryServiceServer;
pub use hub::{AccessRule, EndedStream, Hub, Settings, StreamInfo, rollout_bucket};
pub use kind::ResourceType;
pub use load::{InvalidReport, LoadReport, LoadStats, RequestCounts, RolloutComparison};
pub use lrs::LoadReporting;
pub use server::{Aggregated, Clusters, Discovery, Endpoints, Listeners, Routes, ServiceType};
pub use session::{Limits, Rejection, Request, Response, Session, SessionError, TypeStatus};
