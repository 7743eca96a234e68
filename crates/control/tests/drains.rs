//! No request reaches a draining endpoint after the grace period: while updates are partly acknowledged, across
//! restarts, and during outages of discovery.

mod common;
#[path = "common/drain_round.rs"]
mod drain_round;

use common::*;
use runtrack_discovery::State;
use runtrack_testkit::{Control, Discovery, Scripted, TempDir, connect, request, target, until, url};
use std::time::{Duration, Instant};

/// Time after the service has learned of a drain in which proxies must stop sending new requests.
const GRACE_PERIOD: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_request_reaches_a_draining_endpoint_after_the_grace_period_across_a_restart() {
    for seed in 0..3 {
        assert_eq!(drain_round::run_round(BINARY, seed).await, 0, "seed {seed}");
    }
}

/// The number of healthy endpoints in an EDS response.
fn healthy(response: &envoy_types::pb::envoy::service::discovery::v3::DiscoveryResponse) -> usize {
    use envoy_types::pb::envoy::config::core::v3::HealthStatus;
    use envoy_types::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
    use prost::Message;
    let assignment = ClusterLoadAssignment::decode(&response.resources[0].value[..]).expect("EDS");
    let all = assignment.endpoints.iter().flat_map(|locality| &locality.lb_endpoints);
    all.filter(|e| e.health_status == HealthStatus::Healthy as i32).count()
}

/// A drain must not wait for the acknowledgement of earlier updates.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_published_while_an_update_is_partly_acknowledged() {
    let at = |port: u16| ([127, 0, 0, 1], port).into();
    let discovery = Discovery::start(vec![target("a", at(7001), ""), target("b", at(7002), "")]).await;
    let control = Control::start(BINARY, &platform_fleet(discovery.address, ""), "", false).await;
    let mut stream = Scripted::open(connect(control.xds).await).await;
    stream.send(request("scripted", "cds", &[]));
    let clusters = stream.next().await.expect("clusters");
    stream.send(request("scripted", "eds", &["p"]));
    let endpoints = stream.next().await.expect("endpoints");
    assert_eq!((endpoints.type_url.as_str(), healthy(&endpoints)), (url("eds"), 2));
    stream.ack(&clusters, &[]);
    // CDS is acknowledged, EDS is not yet.
    discovery.drain("a");
    let drained = stream.next().await.expect("the drain");
    assert_eq!((drained.type_url.as_str(), healthy(&drained)), (url("eds"), 1));
    // The first EDS response is rejected, then the second endpoint drains.
    stream.nack(&endpoints, "", &["p"], "cannot");
    discovery.drain("b");
    loop {
        let next = stream.next().await.expect("the second drain");
        if healthy(&next) == 0 {
            break;
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restart_with_discovery_down_serves_the_last_list_and_its_drains() {
    let at = |port: u16| ([127, 0, 0, 1], port).into();
    let discovery = Discovery::start(vec![target("a", at(7001), ""), target("b", at(7002), "")]).await;
    let mut control = Control::start(BINARY, &platform_fleet(discovery.address, ""), "", true).await;
    let before = proxy(&control, "before", true);
    until("the list", || before.with(|s| s.ready("p").len() == 2)).await;
    discovery.drain("a");
    until("the drain", || before.with(|s| s.ready("p").len() == 1)).await;
    let epoch = control.status().await["epoch"].as_u64();
    discovery.stop_serving();
    control.kill();
    control.launch().await;
    let status = control.status().await;
    assert!(status["epoch"].as_u64() > epoch, "versions are ordered across restarts");
    assert!(status["pools"]["p"]["stale"].is_object(), "{status}");
    let after = proxy(&control, "after", false);
    until("the last list stands", || after.with(|s| s.ready("p").len() == 1)).await;
    // Changes during the outage arrive once discovery is back.
    discovery.drain("b");
    discovery.resume_serving().await;
    until("no gap", || after.with(|s| s.endpoints["p"].len() == 2 && s.ready("p").is_empty())).await;
    until("the old proxy, too", || before.with(|s| s.ready("p").is_empty())).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_state_folder_and_discovery_proxies_keep_their_state() {
    let at = |port: u16| ([127, 0, 0, 1], port).into();
    let discovery = Discovery::start(vec![target("a", at(7001), "")]).await;
    let mut control = Control::start(BINARY, &platform_fleet(discovery.address, ""), "", false).await;
    let proxies = [proxy(&control, "whole", false), proxy(&control, "incremental", true)];
    for proxy in &proxies {
        until("the list", || proxy.with(|s| s.ready("p").len() == 1)).await;
    }
    discovery.stop_serving();
    control.kill();
    control.launch().await;
    for proxy in &proxies {
        let streams = proxy.with(|s| s.streams);
        until("a new stream", || proxy.with(|s| s.streams > streams || s.streams > 1)).await;
    }
    // The reload pushes known resources after the reconnection; the unknown pool must not be pushed as empty.
    control.reload(&platform_fleet(discovery.address, "").replace("\"1s\"", "\"900ms\""));
    for proxy in &proxies {
        until("the reload", || proxy.with(|s| s.last.is_some_and(|at| at.elapsed() < GRACE_PERIOD))).await;
        assert_eq!(proxy.with(|s| s.ready("p").len()), 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_list_without_most_endpoints_is_held_but_its_drains_apply() {
    let at = |port: u16| ([127, 0, 0, 1], port).into();
    let all: Vec<_> = (0..4u16).map(|n| target(&format!("e{n}"), at(7001 + n), "")).collect();
    let discovery = Discovery::start(all.clone()).await;
    let fleet = platform_fleet(discovery.address, "panic_threshold = 0.5\npanic_hold = \"1500ms\"");
    let control = Control::start(BINARY, &fleet, "", false).await;
    let proxy = proxy(&control, "p", true);
    until("the list", || proxy.with(|s| s.ready("p").len() == 4)).await;
    let drains = runtrack_discovery::Target { state: State::Draining, ..all[0].clone() };
    let published_at = Instant::now();
    discovery.override_list(Some(vec![drains]), None);
    discovery.stop_serving();
    discovery.resume_serving().await;
    until("its drain", || proxy.with(|s| s.ready("p").len() == 3 || s.endpoints["p"].len() < 4)).await;
    assert_eq!(proxy.with(|s| s.endpoints["p"].len()), 4, "the others stand");
    let stale = control.status().await["pools"]["p"]["stale"]["why"].clone();
    assert!(stale.as_str().is_some_and(|why| why.contains("lacks 3 of 4")), "{stale}");
    // The list persists for the hold time: it is accepted.
    until("believed", || proxy.with(|s| s.endpoints["p"].len() == 1)).await;
    assert!(published_at.elapsed() >= Duration::from_millis(1500));
}

#[test]
fn a_test_folder_is_removed_on_drop() {
    let folder = TempDir::new();
    let path = folder.path().to_owned();
    drop(folder);
    assert!(!path.exists());
}
