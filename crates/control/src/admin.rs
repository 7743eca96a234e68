//! What people and their tools may ask, as JSON over HTTP on loopback.

use crate::shared::Shared;
use axum::extract::State;
use axum::routing::get;
use axum::{Json, Router};
use runtrack_xds::Kind;
use serde_json::{Value, json};
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;

/// Serves `GET /status` and `GET /ready`.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let router = Router::new()
        .route("/status", get(|State(shared): State<Arc<Shared>>| async move { Json(status(&shared)) }))
        .route("/ready", get(|| async { "ready\n" }))
        .with_state(shared);
    if let Err(problem) = axum::serve(listener, router).await {
        eprintln!("admin: {problem}");
    }
}

/// All that the service knows of itself. Times are seconds ago.
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
    let fleet = shared.core.lock().unwrap_or_else(PoisonError::into_inner).fleet().hash();
    let version = shared.version.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let proxies: Vec<Value> = shared.hub.streams().iter().map(|stream| {
        let types: Vec<Value> = stream.standings.iter().map(|s| {
            json!({
                "type": short(s.kind), "wildcard": s.wildcard, "names": s.names,
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
            "incremental": stream.incremental, "for_s": ago(stream.since), "requests": stream.requests,
            "responses": stream.responses, "bytes": stream.bytes, "types": types,
        })
    }).collect();
    let ended: Vec<Value> = shared
        .hub
        .ended()
        .iter()
        .map(|ended| json!({"node": ended.node, "ago_s": ago(ended.at), "why": ended.why}))
        .collect();
    let cache = shared.hub.cache();
    let resources: serde_json::Map<String, Value> =
        Kind::ALL.iter().map(|&kind| (short(kind).to_owned(), json!(cache.len(kind)))).collect();
    let troubles = shared.troubles.lock().unwrap_or_else(PoisonError::into_inner).clone();
    json!({
        "epoch": cache.epoch(), "seq": cache.seq(), "encodings": cache.encodings(), "fleet": fleet,
        "serial": version.as_ref().map(|version| version.serial), "version": version,
        "resources": resources, "pools": pools, "proxies": proxies, "ended": ended, "troubles": troubles,
    })
}

fn short(kind: Kind) -> &'static str {
    match kind {
        Kind::Cluster => "cds",
        Kind::Endpoint => "eds",
        Kind::Listener => "lds",
        Kind::Route => "rds",
    }
}
