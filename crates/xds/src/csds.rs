//! Client Status Discovery Service (CSDS): the versions that each proxy was sent, acknowledged and rejected.
//!
//! Reports one entry per stream and resource type, named after the stream. A session keeps only a cursor per type, so
//! acknowledgements are known per type, not per resource.

use crate::hub::{Hub, StreamInfo};
use crate::server::Responses;
use crate::session::TypeStatus;
use envoy_types::pb;
use pb::envoy::admin::v3::{ClientResourceStatus, UpdateFailureState};
use pb::envoy::config::core::v3::{Locality, Node};
use pb::envoy::service::status::v3 as status;
use pb::envoy::r#type::matcher::v3::{NodeMatcher, string_matcher::MatchPattern};
use pb::google::protobuf::Timestamp;
use status::client_config::GenericXdsConfig;
use status::client_status_discovery_service_server::ClientStatusDiscoveryService;
use status::{ClientConfig, ClientStatusRequest, ClientStatusResponse, ConfigStatus};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use tonic::{Request, Response, Status, Streaming};

/// The CSDS implementation.
pub struct ClientStatus {
    hub: Arc<Hub>,
}

impl ClientStatus {
    /// Reports the status of the hub's streams.
    pub fn new(hub: Arc<Hub>) -> Self {
        ClientStatus { hub }
    }
}

#[tonic::async_trait]
impl ClientStatusDiscoveryService for ClientStatus {
    type StreamClientStatusStream = Responses<ClientStatusResponse>;

    async fn stream_client_status(
        &self,
        request: Request<Streaming<ClientStatusRequest>>,
    ) -> Result<Response<Self::StreamClientStatusStream>, Status> {
        let (hub, mut requests) = (self.hub.clone(), request.into_inner());
        let (out, responses) = mpsc::channel(1);
        tokio::spawn(async move {
            while let Ok(Some(request)) = requests.message().await {
                if out.send(respond(&hub, &request)).await.is_err() {
                    return;
                }
            }
        });
        Ok(Response::new(Responses::new(responses)))
    }

    async fn fetch_client_status(
        &self,
        request: Request<ClientStatusRequest>,
    ) -> Result<Response<ClientStatusResponse>, Status> {
        respond(&self.hub, request.get_ref()).map(Response::new)
    }
}

fn respond(hub: &Hub, request: &ClientStatusRequest) -> Result<ClientStatusResponse, Status> {
    let node_ids = request.node_matchers.iter().map(node_id).collect::<Result<Vec<_>, _>>()?;
    let clock =
        Clock { hub: hub.now(), unix: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default() };
    let streams = hub.streams();
    let streams = streams.iter().filter(|s| node_ids.is_empty() || node_ids.contains(&s.node.as_str()));
    let config = streams.map(|stream| client(stream, &clock)).collect();
    Ok(ClientStatusResponse { config })
}

/// The node id of a matcher. Only exact matches of the node id are supported.
fn node_id(matcher: &NodeMatcher) -> Result<&str, Status> {
    let pattern = matcher.node_id.as_ref().and_then(|id| id.match_pattern.as_ref());
    match pattern {
        Some(MatchPattern::Exact(id)) if matcher.node_metadatas.is_empty() => Ok(id),
        _ => Err(Status::invalid_argument("nodes are matched by `node_id` with `exact` alone")),
    }
}

struct Clock {
    hub: Duration,
    unix: Duration,
}

impl Clock {
    fn timestamp(&self, at: Duration) -> Timestamp {
        let unix = self.unix.saturating_sub(self.hub.saturating_sub(at));
        Timestamp { seconds: unix.as_secs() as i64, nanos: unix.subsec_nanos() as i32 }
    }
}

fn client(stream: &StreamInfo, clock: &Clock) -> ClientConfig {
    let locality = Some(Locality { zone: stream.zone.clone(), ..Default::default() });
    ClientConfig {
        node: Some(Node {
            id: stream.node.clone(),
            cluster: stream.cluster.clone(),
            locality,
            ..Default::default()
        }),
        generic_xds_configs: stream.type_statuses.iter().map(|s| config(stream, s, clock)).collect(),
        client_scope: if stream.incremental { "incremental" } else { "state-of-the-world" }.to_owned(),
        ..Default::default()
    }
}

fn config(stream: &StreamInfo, type_status: &TypeStatus, clock: &Clock) -> GenericXdsConfig {
    let (config_status, client_status) = match type_status {
        TypeStatus { rejected: Some(_), .. } => (ConfigStatus::Error, ClientResourceStatus::Nacked),
        TypeStatus { sent: None, .. } => (ConfigStatus::NotSent, ClientResourceStatus::Requested),
        TypeStatus { behind: true, .. } => (ConfigStatus::Stale, ClientResourceStatus::Requested),
        _ => (ConfigStatus::Synced, ClientResourceStatus::Acked),
    };
    let last = type_status.acked.as_ref().or(type_status.sent.as_ref());
    GenericXdsConfig {
        type_url: type_status.kind.url().to_owned(),
        name: format!("stream {}", stream.number),
        version_info: last.map(|(version, _)| version.clone()).unwrap_or_default(),
        last_updated: last.map(|(_, at)| clock.timestamp(*at)),
        config_status: config_status as i32,
        client_status: client_status as i32,
        error_state: type_status.rejected.as_ref().map(|rejected| UpdateFailureState {
            details: rejected.detail.clone(),
            version_info: rejected.version.clone(),
            last_update_attempt: Some(clock.timestamp(rejected.at)),
            ..Default::default()
        }),
        ..Default::default()
    }
}
