//! An xDS v3 server, which provides proxies and proxyless gRPC clients with clusters, endpoints, listeners and routes.
//!
//! [`Cache`] holds the served resources. [`Session`] is the state machine of one stream, without I/O: it takes requests,
//! and [`Session::poll`] returns the next response from the newest state whenever the stream can take one. [`translate`]
//! converts the model to resources. [`LoadStats`] aggregates the load reports of proxies (LRS).

mod accept;
mod cache;
mod csds;
mod hub;
mod load;
mod lrs;
mod message;
mod rate_limit;
mod resource_type;
mod server;
mod session;
pub mod translate;

pub use accept::{Incoming, LimitedConnection};
pub use cache::{Body, Cache, Change};
pub use csds::ClientStatus;
pub use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_server::LoadReportingServiceServer;
pub use envoy_types::pb::envoy::service::status::v3::client_status_discovery_service_server::ClientStatusDiscoveryServiceServer;
pub use hub::{AccessRule, EndedStream, Hub, Settings, StreamInfo, rollout_bucket};
pub use load::{InvalidReport, LoadReport, LoadStats, RequestCounts, RolloutComparison};
pub use lrs::LoadReporting;
pub use resource_type::ResourceType;
pub use server::{Aggregated, Clusters, Discovery, Endpoints, Listeners, Routes, ServiceType};
pub use session::{Limits, Rejection, Request, Response, Session, SessionError, TypeStatus};
