//! Load Reporting Service (LRS): requests reports for all pools and passes them to [`LoadStats`](crate::LoadStats).

use crate::hub::{Hub, rollout_bucket};
use crate::load::LoadReport;
use crate::rate_limit::TokenBucket;
use crate::server::{Responses, first_request};
use envoy_types::pb;
use lrs::load_reporting_service_server::LoadReportingService;
use lrs::{LoadStatsRequest, LoadStatsResponse};
use pb::envoy::config::core::v3::Node;
use pb::envoy::config::endpoint::v3::ClusterStats;
use pb::envoy::service::load_stats::v3 as lrs;
use pb::google::protobuf::Duration as ProtoDuration;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tonic::{Request, Response, Status, Streaming};

/// Upper bound of a report's interval; longer ones are shortened to it.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(3600);

/// The load reporting service.
pub struct LoadReporting {
    hub: Arc<Hub>,
}

impl LoadReporting {
    /// Passes reports to this hub.
    pub fn new(hub: Arc<Hub>) -> Self {
        LoadReporting { hub }
    }
}

#[tonic::async_trait]
impl LoadReportingService for LoadReporting {
    type StreamLoadStatsStream = Responses<LoadStatsResponse>;

    async fn stream_load_stats(
        &self,
        request: Request<Streaming<LoadStatsRequest>>,
    ) -> Result<Response<Self::StreamLoadStatsStream>, Status> {
        let (hub, requests) = (self.hub.clone(), request.into_inner());
        let (out, responses) = mpsc::channel(1);
        tokio::spawn(async move {
            if let Err(status) = receive_reports(&hub, requests, &out).await {
                let _ = timeout(hub.settings.first_request_timeout, out.send(Err(status))).await;
            }
        });
        Ok(Response::new(Responses::new(responses)))
    }
}

type Out = mpsc::Sender<Result<LoadStatsResponse, Status>>;

/// Processes the reports of a stream until it ends.
async fn receive_reports(
    hub: &Arc<Hub>,
    mut requests: Streaming<LoadStatsRequest>,
    out: &Out,
) -> Result<(), Status> {
    let Some(first) = first_request(hub, &mut requests).await? else { return Ok(()) };
    let node: Node = first.node.clone().unwrap_or_default();
    let _open = hub.open_load_stream(&node.id, &node.cluster)?;
    let every = hub.settings.load_report_interval;
    // Asks for all clusters, since the set of pools changes and the proxy knows which ones it uses.
    let ask = LoadStatsResponse {
        send_all_clusters: true,
        load_reporting_interval: Some(ProtoDuration {
            seconds: every.as_secs() as i64,
            nanos: every.subsec_nanos() as i32,
        }),
        ..Default::default()
    };
    if out.send(Ok(ask)).await.is_err() {
        return Ok(());
    }
    let bucket = rollout_bucket(&node.id);
    let mut tokens = TokenBucket::new(hub.settings.max_requests_per_s);
    let mut next = Some(first);
    while let Some(request) = next {
        if !tokens.take() {
            let what = format!("more than {} reports a second", hub.settings.max_requests_per_s);
            return Err(Status::resource_exhausted(what));
        }
        let reports: Vec<LoadReport> = request.cluster_stats.into_iter().map(report).collect();
        if !reports.is_empty() {
            hub.report(bucket, &reports)
                .map_err(|problem| Status::invalid_argument(problem.to_string()))?;
        }
        next = tokio::select! {
            read = requests.message() => read?,
            () = out.closed() => None,
        };
    }
    Ok(())
}

fn report(stats: ClusterStats) -> LoadReport {
    let sum = |of: fn(&pb::envoy::config::endpoint::v3::UpstreamLocalityStats) -> u64| {
        stats.upstream_locality_stats.iter().fold(0_u64, |sum, stats| sum.saturating_add(of(stats)))
    };
    let interval = stats.load_report_interval.as_ref().and_then(|interval| {
        let interval =
            Duration::new(u64::try_from(interval.seconds).ok()?, u32::try_from(interval.nanos).ok()?);
        Some(interval.min(MAX_REPORT_INTERVAL))
    });
    LoadReport {
        succeeded: sum(|stats| stats.total_successful_requests),
        failed: sum(|stats| stats.total_error_requests),
        dropped: stats.total_dropped_requests,
        interval,
        pool: stats.cluster_name,
    }
}
