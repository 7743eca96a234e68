//! One round of a drain across a kill of the service and an outage of discovery.

use crate::common::{platform_fleet, proxy};
use runtrack_testkit::{Control, Discovery, Endpoint, target, until};
use std::time::{Duration, Instant};

/// Time after the service has learned of a drain in which proxies must stop sending new requests.
const GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Plays one round: two proxies send without pause while an endpoint drains, the control service is
/// killed and restarted, and discovery is down. Returns the number of requests to the draining endpoint after the grace
/// period.
pub async fn run_round(binary: &str, seed: u64) -> usize {
    let mut endpoints = Vec::new();
    for _ in 0..4 {
        endpoints.push(Endpoint::start().await);
    }
    let names = ["e0", "e1", "e2", "e3"];
    let targets = names.iter().zip(&endpoints).map(|(name, e)| target(name, e.address, "a"));
    let discovery = Discovery::start(targets.collect()).await;
    let mut control = Control::start(binary, &platform_fleet(discovery.address, ""), "", true).await;
    let mut proxies = [proxy(&control, "whole", false), proxy(&control, "incremental", true)];
    for proxy in &mut proxies {
        until("both proxies know all endpoints", || proxy.with(|s| s.ready("p").len() == 4)).await;
        proxy.send_continuously("p", 3);
    }
    until("requests reach all", || endpoints.iter().all(|e| !e.arrivals().is_empty())).await;

    // The endpoint drains; then, after delays derived from the seed, discovery and the service go down.
    let drained = &endpoints[(seed % 4) as usize];
    discovery.drain(names[(seed % 4) as usize]);
    let drained_at = loop {
        let status = control.status().await;
        if status["pools"]["p"]["draining"] == 1 {
            break Instant::now();
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    };
    tokio::time::sleep(Duration::from_millis(seed * 37 % 150)).await;
    discovery.stop_serving();
    control.kill();
    tokio::time::sleep(Duration::from_millis(seed * 53 % 200)).await;
    control.launch().await;
    // A new proxy can learn of the drain only from the restarted service.
    let mut late = proxy(&control, "late", seed.is_multiple_of(2));
    until("a new proxy knows the rest", || late.with(|s| s.ready("p").len() == 3)).await;
    late.send_continuously("p", 2);
    tokio::time::sleep(
        (drained_at + GRACE_PERIOD + Duration::from_millis(600)).saturating_duration_since(Instant::now()),
    )
    .await;
    for proxy in proxies.iter().chain([&late]) {
        assert!(proxy.with(|s| !s.ready("p").contains(&drained.address)), "un-drained");
        assert!(proxy.with(|s| s.ready("p").len() == 3), "the others are lost");
    }
    let others = endpoints.iter().filter(|e| e.address != drained.address);
    assert!(others.clone().all(|e| e.after(drained_at + GRACE_PERIOD) > 0), "the others still serve");
    drained.after(drained_at + GRACE_PERIOD)
}
