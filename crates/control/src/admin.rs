//! The admin interface: JSON over HTTP, on loopback or a Unix socket.

use crate::rollout::Rollout;
use crate::shared::Shared;
use crate::{cluster, replicated};
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::serve::Listener;
use axum::{Json, Router};
use runtrack_agree::Command;
use runtrack_agree::command::{RolloutAction, RolloutStep};
use runtrack_xds::{RequestCounts, ResourceType};
use serde_json::{Value, json};
use std::fmt::Debug;
use std::fs::{DirBuilder, Permissions};
use std::io;
use std::os::unix::fs::{DirBuilderExt, PermissionsExt};
use std::path::Path;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::net::UnixListener;

/// Time to wait for the cluster to commit a resumption; it may still be committed later.
const RESUME_TIMEOUT: Duration = Duration::from_secs(5);

/// Resumes a halted roll-out.
async fn resume(State(shared): State<Arc<Shared>>) -> StatusCode {
    let halted = {
        let rollout = shared.rollout.lock().unwrap_or_else(PoisonError::into_inner);
        let progress = rollout.as_ref().map(Rollout::progress).filter(|progress| progress.halted.is_some());
        progress.map(|progress| (progress.serial, progress.stage))
    };
    let Some((serial, stage)) = halted else { return StatusCode::CONFLICT };
    if let Some(cluster) = &shared.cluster {
        let step = RolloutStep { serial, stage, to: RolloutAction::Resume };
        return match cluster.write("", Command::Rollout(step), RESUME_TIMEOUT).await {
            Ok((_, outcome)) if outcome.is_done() => StatusCode::ACCEPTED,
            Ok(_) => StatusCode::CONFLICT,
            Err(_) => StatusCode::SERVICE_UNAVAILABLE,
        };
    }
    shared.resume.notify_one();
    StatusCode::ACCEPTED
}

/// Readiness: in a cluster, an instance is ready while it is in touch with a majority.
async fn ready(State(shared): State<Arc<Shared>>) -> (StatusCode, String) {
    match shared.cluster.as_ref().filter(|handle| !handle.has_majority()) {
        Some(handle) => {
            (StatusCode::SERVICE_UNAVAILABLE, replicated::describe_trouble(&handle.view()) + "\n")
        }
        None => (StatusCode::OK, "ready\n".to_owned()),
    }
}

/// Serves `GET /status`, `GET /ready`, `POST /rollout/resume` and the routes of a cluster, on a TCP or a Unix listener.
pub async fn serve<L: Listener<Addr: Debug>>(listener: L, shared: Arc<Shared>) {
    let cluster = shared.cluster.clone().map(cluster::router);
    let router = Router::new()
        .route("/status", get(|State(shared): State<Arc<Shared>>| async move { Json(status(&shared)) }))
        .route("/ready", get(ready))
        .route("/rollout/resume", post(resume))
        .with_state(shared)
        .merge(cluster.unwrap_or_default());
    if let Err(problem) = axum::serve(listener, router).await {
        eprintln!("admin: {problem}");
    }
}

/// Binds a Unix socket that only this user can connect to at any time: it is created in a private folder, and renamed
/// to its path (replacing an earlier socket) once its own permissions are set.
pub fn bind_socket(at: &Path) -> io::Result<UnixListener> {
    let folder = at.with_extension(format!("new-{}", std::process::id()));
    DirBuilder::new().mode(0o700).create(&folder)?;
    let made = folder.join("s");
    let bound = UnixListener::bind(&made).and_then(|listener| {
        std::fs::set_permissions(&made, Permissions::from_mode(0o600))?;
        std::fs::rename(&made, at)?;
        Ok(listener)
    });
    if bound.is_err() {
        let _ = std::fs::remove_file(&made);
    }
    std::fs::remove_dir(&folder)?;
    bound
}

/// The status of the service as JSON. Times are ages in seconds.
pub fn status(shared: &Shared) -> Value {
    let (hub_now, now) = (shared.hub.now(), shared.clock.now());
    let ago = |at: Duration| hub_now.saturating_sub(at).as_secs_f64();
    let mut pools = serde_json::Map::new();
    for (name, pool) in shared.pools.lock().unwrap_or_else(PoisonError::into_inner).iter() {
        let stale = pool
            .stale
            .as_ref()
            .map(|stale| json!({"for_s": now.saturating_sub(stale.since).as_secs_f64(), "why": stale.why}));
        let pool = json!({
            "known": pool.known, "ready": pool.ready, "draining": pool.draining, "cold": pool.cold, "stale": stale,
        });
        pools.insert(name.clone(), pool);
    }
    let fleet = shared.fleet_state.lock().unwrap_or_else(PoisonError::into_inner).fleet().hash();
    let version = shared.version.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let rollout = shared.rollout.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let before = rollout.as_ref().map(|rollout| rollout.progress().from);
    let rollout = rollout.map(|rollout| {
        let progress = rollout.progress();
        json!({
            "serial": progress.serial, "from": progress.from, "stage": progress.stage + 1,
            "stages": rollout.stages().len(), "share": rollout.share(), "halted": progress.halted,
        })
    });
    let loads = shared.hub.loads(|loads| {
        let tally = |tally: RequestCounts| json!({"ended": tally.ended, "failed": tally.failed});
        let recent: serde_json::Map<String, Value> =
            loads.recent(hub_now).map(|(pool, sum)| (pool.to_owned(), tally(sum))).collect();
        let compared: serde_json::Map<String, Value> = loads
            .rollout_comparisons()
            .map(|(pool, sides)| {
                let sides = json!({
                    "with": tally(sides.with), "without": tally(sides.without), "before": tally(sides.before),
                });
                (pool.to_owned(), sides)
            })
            .collect();
        let (reports, unknown) = loads.report_counts();
        json!({"reports": reports, "unknown_pools": unknown, "recent": recent, "rollout": compared})
    });
    let newest = shared.hub.newest_version_id();
    let serial = version.as_ref().map(|version| version.serial);
    // During a roll-out, proxies outside of the stage have the previous version.
    let serial_of = |line: u64| if line == newest { serial } else { before };
    let proxies: Vec<Value> = shared.hub.streams().iter().map(|stream| {
        let types: Vec<Value> = stream.type_statuses.iter().map(|s| {
            json!({
                "type": type_name(s.kind), "wildcard": s.wildcard, "names": s.names,
                "sent": s.sent.as_ref().map(|(version, at)| json!({"version": version, "ago_s": ago(*at)})),
                "acked": s.acked.as_ref().map(|(version, at)| json!({"version": version, "ago_s": ago(*at)})),
                "rejected": s.rejected.as_ref().map(|r| {
                    json!({"version": r.version, "detail": r.detail, "ago_s": ago(r.at)})
                }),
                "rejections": s.rejections, "stale_requests": s.stale, "from_future": s.from_future,
                "behind": s.behind,
            })
        }).collect();
        json!({
            "node": stream.node, "cluster": stream.cluster, "zone": stream.zone,
            "serial": serial_of(stream.version_id), "incremental": stream.incremental, "for_s": ago(stream.since), "requests": stream.requests,
            "responses": stream.responses, "bytes": stream.bytes, "types": types,
        })
    }).collect();
    let ended: Vec<Value> = shared
        .hub
        .ended()
        .iter()
        .map(|ended| json!({"node": ended.node, "ago_s": ago(ended.at), "why": ended.why}))
        .collect();
    let (resources, epoch, seq, encodings) = shared.hub.cache(|cache| {
        let count = |&kind: &ResourceType| (type_name(kind).to_owned(), json!(cache.len(kind)));
        let resources: serde_json::Map<String, Value> = ResourceType::ALL.iter().map(count).collect();
        (resources, cache.epoch(), cache.seq(), cache.encodings())
    });
    let troubles = shared.troubles.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let cluster = shared.cluster.as_ref().map(cluster::status);
    json!({
        "cluster": cluster, "epoch": epoch, "seq": seq, "encodings": encodings, "fleet": fleet,
        "serial": serial, "version": version, "rollout": rollout,
        "resources": resources, "pools": pools, "loads": loads, "proxies": proxies, "ended": ended, "troubles": troubles,
    })
}

fn type_name(kind: ResourceType) -> &'static str {
    match kind {
        ResourceType::Cluster => "cds",
        ResourceType::Endpoint => "eds",
        ResourceType::Listener => "lds",
        ResourceType::Route => "rds",
    }
}
