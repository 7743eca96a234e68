//! xDS and load reporting streams on which a test sends every request itself.

use crate::WAIT_TIMEOUT;
use envoy_types::pb::envoy::config::core::v3::{Locality, Node};
use envoy_types::pb::envoy::config::endpoint::v3::{ClusterStats, UpstreamLocalityStats};
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_client::LoadReportingServiceClient;
use envoy_types::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use envoy_types::pb::google::protobuf::Duration as ProtoDuration;
use envoy_types::pb::google::rpc;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::transport::{Channel, Endpoint};
use tonic::{Status, Streaming};

/// Type URL of the short name `cds`, `eds`, `lds` or `rds`; panics for any other name.
pub fn url(short: &str) -> &'static str {
    match short {
        "cds" => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
        "eds" => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
        "lds" => "type.googleapis.com/envoy.config.listener.v3.Listener",
        "rds" => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
        other => panic!("unknown xDS type `{other}`"),
    }
}

/// A node with this id and zone.
pub fn node(id: &str, zone: &str) -> Option<Node> {
    let locality = Some(Locality { zone: zone.to_owned(), ..Default::default() });
    Some(Node { id: id.to_owned(), cluster: "test".to_owned(), locality, ..Default::default() })
}

/// A request for resources of a type by name.
pub fn request(id: &str, short: &str, names: &[&str]) -> DiscoveryRequest {
    DiscoveryRequest {
        node: node(id, ""),
        type_url: url(short).to_owned(),
        resource_names: names.iter().map(|name| (*name).to_owned()).collect(),
        ..Default::default()
    }
}

/// An incremental request that subscribes to resources of a type by name.
pub fn delta_request(id: &str, short: &str, names: &[&str]) -> DeltaDiscoveryRequest {
    DeltaDiscoveryRequest {
        node: node(id, ""),
        type_url: url(short).to_owned(),
        resource_names_subscribe: names.iter().map(|name| (*name).to_owned()).collect(),
        ..Default::default()
    }
}

fn error(detail: &str) -> Option<rpc::Status> {
    Some(rpc::Status { code: 3, message: detail.to_owned(), ..Default::default() })
}

/// Connects to the service, retrying until it is up.
pub async fn connect(to: SocketAddr) -> Channel {
    let endpoint = Endpoint::from_shared(format!("http://{to}")).expect("an address is a URL");
    let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        match endpoint.connect().await {
            Ok(channel) => return channel,
            Err(e) => assert!(tokio::time::Instant::now() < end, "no connection to {to}: {e}"),
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn client(channel: Channel) -> AggregatedDiscoveryServiceClient<Channel> {
    AggregatedDiscoveryServiceClient::new(channel).max_decoding_message_size(256 << 20)
}

/// A stream of requests and responses.
pub struct Stream<Q, R> {
    requests: mpsc::UnboundedSender<Q>,
    responses: Streaming<R>,
}

impl<Q, R> Stream<Q, R> {
    /// Sends a request.
    pub fn send(&self, request: Q) {
        let _ = self.requests.send(request); // the end of the stream is reported by the next read
    }

    /// The next response; panics if there is none within the time limit.
    pub async fn next(&mut self) -> Result<R, Status> {
        let next = timeout(WAIT_TIMEOUT, self.responses.message()).await.expect("a response in time")?;
        next.ok_or_else(|| Status::unknown("the stream ended"))
    }

    /// The next response, if one arrives within this time.
    pub async fn next_within(&mut self, time: Duration) -> Option<R> {
        timeout(time, self.responses.message()).await.ok()?.ok()?
    }
}

/// A state-of-the-world ADS stream.
pub type Scripted = Stream<DiscoveryRequest, DiscoveryResponse>;

impl Scripted {
    /// Opens a stream; panics on failure.
    pub async fn open(channel: Channel) -> Scripted {
        Scripted::try_open(channel).await.expect("the stream opens")
    }

    /// Opens a stream; an error if the connection is closed first.
    pub async fn try_open(channel: Channel) -> Result<Scripted, Status> {
        let (requests, sent) = mpsc::unbounded_channel();
        let opened = client(channel).stream_aggregated_resources(UnboundedReceiverStream::new(sent)).await;
        Ok(Scripted { requests, responses: opened?.into_inner() })
    }

    /// Acknowledges a response and subscribes to these names.
    pub fn ack(&self, response: &DiscoveryResponse, names: &[&str]) {
        self.send(DiscoveryRequest {
            version_info: response.version_info.clone(),
            response_nonce: response.nonce.clone(),
            type_url: response.type_url.clone(),
            resource_names: names.iter().map(|name| (*name).to_owned()).collect(),
            ..Default::default()
        });
    }

    /// Rejects a response; `version` is the last accepted version, which stays in use.
    pub fn nack(&self, response: &DiscoveryResponse, version: &str, names: &[&str], detail: &str) {
        self.send(DiscoveryRequest {
            version_info: version.to_owned(),
            response_nonce: response.nonce.clone(),
            type_url: response.type_url.clone(),
            resource_names: names.iter().map(|name| (*name).to_owned()).collect(),
            error_detail: error(detail),
            ..Default::default()
        });
    }
}

/// An incremental ADS stream.
pub type ScriptedDelta = Stream<DeltaDiscoveryRequest, DeltaDiscoveryResponse>;

impl ScriptedDelta {
    /// Opens a stream; panics on failure.
    pub async fn open(channel: Channel) -> ScriptedDelta {
        let (requests, sent) = mpsc::unbounded_channel();
        let opened = client(channel).delta_aggregated_resources(UnboundedReceiverStream::new(sent)).await;
        ScriptedDelta { requests, responses: opened.expect("the stream opens").into_inner() }
    }

    /// Acknowledges a response, or rejects it with a reason.
    pub fn answer(&self, response: &DeltaDiscoveryResponse, rejected: Option<&str>) {
        self.send(DeltaDiscoveryRequest {
            type_url: response.type_url.clone(),
            response_nonce: response.nonce.clone(),
            error_detail: rejected.and_then(error),
            ..Default::default()
        });
    }
}

/// A load reporting stream (LRS).
pub type ScriptedLoad = Stream<LoadStatsRequest, LoadStatsResponse>;

impl ScriptedLoad {
    /// Opens a stream for a node with this id.
    pub async fn open(channel: Channel, id: &str) -> ScriptedLoad {
        let (requests, sent) = mpsc::unbounded_channel();
        let first = LoadStatsRequest { node: node(id, ""), ..Default::default() };
        let _ = requests.send(first);
        let mut client = LoadReportingServiceClient::new(channel);
        let opened = client.stream_load_stats(UnboundedReceiverStream::new(sent)).await;
        Stream { requests, responses: opened.expect("the stream opens").into_inner() }
    }

    /// Reports the number of succeeded and failed requests to a pool within the last `over_ms` milliseconds.
    pub fn report(&self, pool: &str, succeeded: u64, failed: u64, over_ms: i32) {
        let locality = UpstreamLocalityStats {
            total_successful_requests: succeeded,
            total_error_requests: failed,
            total_issued_requests: succeeded.saturating_add(failed),
            ..Default::default()
        };
        let stats = ClusterStats {
            cluster_name: pool.to_owned(),
            upstream_locality_stats: vec![locality],
            load_report_interval: Some(ProtoDuration { seconds: 0, nanos: over_ms * 1_000_000 }),
            ..Default::default()
        };
        self.send(LoadStatsRequest { node: None, cluster_stats: vec![stats] });
    }
}
