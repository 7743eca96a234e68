//! End-to-end tests of the service: flapping sources, reloads, resources for gRPC clients and proxies, settings files.

mod common;

use common::*;
use envoy_types::pb::envoy::config::cluster::v3::{Cluster, cluster};
use envoy_types::pb::envoy::config::core::v3::HealthStatus;
use envoy_types::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use envoy_types::pb::envoy::config::listener::v3::Listener;
use envoy_types::pb::envoy::config::route::v3::{RouteConfiguration, route};
use envoy_types::pb::envoy::extensions::filters::network::http_connection_manager::v3::HttpConnectionManager;
use prost::Message;
use runtrack_discovery::State;
use runtrack_testkit::{
    Control, Discovery, Proxy, ProxyConfig, Scripted, TempDir, connect, request, target, until,
};
use std::process::Command;
use std::time::{Duration, Instant};

/// A thousand changes per second.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_flapping_source_is_pushed_at_a_limited_rate_and_its_last_state_arrives() {
    let at = |port: u16| ([127, 0, 0, 1], port).into();
    let discovery =
        Discovery::start((0..50u16).map(|n| target(&format!("e{n}"), at(7000 + n), "")).collect()).await;
    let control = Control::start(BINARY, &platform_fleet(discovery.address, ""), "", false).await;
    let proxies = [proxy(&control, "whole", false), proxy(&control, "incremental", true)];
    for proxy in &proxies {
        until("the list", || proxy.with(|s| s.ready("p").len() == 50)).await;
    }
    let before: Vec<u64> = proxies.iter().map(|p| p.with(|s| s.responses)).collect();
    let began = Instant::now();
    let mut ticks = tokio::time::interval(Duration::from_millis(1));
    for n in 0..2000u16 {
        ticks.tick().await;
        let state = if n / 50 % 2 == 0 { State::Draining } else { State::Up };
        let old = target(&format!("e{}", n % 50), at(7000 + n % 50), "");
        discovery.change(runtrack_discovery::Target { state, boot_ms: f64::from(n), ..old });
    }
    discovery.drain("e7");
    let took = began.elapsed();
    for (proxy, before) in proxies.iter().zip(before) {
        // The last change of each endpoint was to up; then e7 drained.
        until("the last state", || proxy.with(|s| s.ready("p").len() == 49)).await;
        let pushes = proxy.with(|s| s.responses) - before;
        let most = took.as_millis() as u64 / 50 + 10;
        assert!(pushes <= most, "{pushes} pushes in {took:?}");
        assert!(pushes >= 5, "told on the way, too: {pushes}");
    }
}

/// An invalid file leaves the old state in service, and the error names the position.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_reload_changes_nothing_and_a_valid_one_is_published() {
    let good = static_fleet(&[(7001, "ready"), (7002, "ready")]);
    let control = Control::start(BINARY, &good, "", false).await;
    let proxies = [proxy(&control, "whole", false), proxy(&control, "incremental", true)];
    for proxy in &proxies {
        until("the list", || proxy.with(|s| s.ready("p").len() == 2)).await;
    }
    let hash = control.status().await["fleet"].clone();
    control.reload(&good.replace("class = \"post\"", "class = \"pots\""));
    let mut trouble = serde_json::Value::Null;
    for _ in 0..400 {
        trouble = control.status().await["troubles"]["reload"].clone();
        if trouble.is_string() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let trouble = trouble.as_str().expect("it is told").to_owned();
    assert!(trouble.contains("fleet.toml:") && trouble.contains("did you mean `post`?"), "{trouble}");
    assert_eq!(control.status().await["fleet"], hash);
    assert!(proxies.iter().all(|p| p.with(|s| s.ready("p").len() == 2)));

    control.reload(&static_fleet(&[(7001, "draining"), (7003, "ready")]));
    for proxy in &proxies {
        until("the new state", || proxy.with(|s| s.ready("p") == [([127, 0, 0, 1], 7003).into()])).await;
        assert_eq!(proxy.with(|s| s.endpoints["p"].len()), 2);
    }
    assert!(control.status().await["troubles"]["reload"].is_null());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replaced_pool_is_removed_only_after_its_routes() {
    let fleet = static_fleet(&[(7001, "ready")]);
    let control = Control::start(BINARY, &fleet, "", false).await;
    let mut stream = Scripted::open(connect(control.xds).await).await;
    stream.send(request("s", "cds", &[]));
    let first = stream.next().await.expect("clusters");
    stream.ack(&first, &[]);
    stream.send(request("s", "rds", &["front"]));
    let routes = stream.next().await.expect("routes");
    stream.ack(&routes, &["front"]);
    control.reload(&fleet.replace("\"p\"", "\"q\""));
    let both = stream.next().await.expect("the new pool");
    assert_eq!(both.resources.len(), 2, "beside the old one");
    let routes = stream.next().await.expect("the new routes");
    assert!(routes.type_url.ends_with("RouteConfiguration"));
    assert!(
        stream.next_within(Duration::from_millis(700)).await.is_none(),
        "the old one stays until that is taken"
    );
    stream.ack(&both, &[]);
    stream.ack(&routes, &["front"]);
    let last = stream.next().await.expect("the old pool goes");
    let names: Vec<String> =
        last.resources.iter().map(|any| Cluster::decode(&any.value[..]).expect("CDS").name).collect();
    assert_eq!(names, ["q"]);
}

async fn fetch(control: &Control, short: &str, name: &str) -> Vec<u8> {
    let mut stream = Scripted::open(connect(control.xds).await).await;
    stream.send(request("reader", short, &[name]));
    stream.next().await.expect("a resource").resources[0].value.clone()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resources_implement_the_rules() {
    let fleet = std::fs::read_to_string("../../examples/fleet.toml").expect("the example");
    let control = Control::start(BINARY, &fleet, "", false).await;

    // SQ(2), and no panic mode: a proxy in panic mode would send to draining endpoints.
    let cds = Cluster::decode(&fetch(&control, "cds", "bookings").await[..]).expect("CDS");
    assert_eq!(cds.lb_policy, cluster::LbPolicy::LeastRequest as i32);
    let Some(cluster::LbConfig::LeastRequestLbConfig(least)) = cds.lb_config else {
        panic!("{:?}", cds.lb_config)
    };
    assert_eq!(least.choice_count.map(|n| n.value), Some(2));
    assert_eq!(least.slow_start_config.and_then(|s| s.slow_start_window).map(|d| d.seconds), Some(30));
    assert_eq!(cds.common_lb_config.and_then(|c| c.healthy_panic_threshold).map(|p| p.value), Some(0.0));

    // Drains, zones and weights.
    let eds = ClusterLoadAssignment::decode(&fetch(&control, "eds", "bookings").await[..]).expect("EDS");
    let zones: Vec<String> = eds.endpoints.iter().map(|l| l.locality.clone().expect("set").zone).collect();
    assert_eq!(zones, ["a", "b"]);
    let health = |i: usize| eds.endpoints[i].lb_endpoints[0].health_status;
    assert_eq!((health(0), health(1)), (HealthStatus::Healthy as i32, HealthStatus::Draining as i32));
    assert!(
        eds.endpoints.iter().all(|l| l.load_balancing_weight.is_some_and(|w| w.value > 0)),
        "gRPC wants it"
    );

    // Requests of an unsafe class are retried only if they provably were not executed; those of a safe one more often.
    let rds = RouteConfiguration::decode(&fetch(&control, "rds", "kiosk").await[..]).expect("RDS");
    let policy = |name: &str| {
        let found = rds.virtual_hosts[0].routes.iter().find(|r| r.name == name).expect("the route");
        let Some(route::Action::Route(action)) = &found.action else { panic!("{found:?}") };
        action.retry_policy.clone().expect("a policy")
    };
    let bookings = policy("bookings");
    let on: Vec<&str> = bookings.retry_on.split(',').collect();
    assert_eq!(on, ["connect-failure", "refused-stream", "reset-before-request", "retriable-headers"]);
    assert_eq!(bookings.retriable_headers[0].name, "x-not-processed");
    assert!(bookings.per_try_timeout.is_none());
    let quotes = policy("quotes");
    assert!(quotes.retry_on.contains("reset,") && quotes.num_retries.map(|n| n.value) == Some(2));
    assert_eq!(quotes.per_try_timeout.map(|d| d.seconds), Some(1));

    // A socket listener for proxies, and an API listener for gRPC clients, with the same routes.
    let api = Listener::decode(&fetch(&control, "lds", "kiosk").await[..]).expect("LDS");
    let manager = api.api_listener.and_then(|l| l.api_listener).expect("an API listener");
    let manager = HttpConnectionManager::decode(&manager.value[..]).expect("its manager");
    assert_eq!(manager.http_filters.last().map(|f| f.name.as_str()), Some("envoy.filters.http.router"));
    let socket = Listener::decode(&fetch(&control, "lds", "kiosk@socket").await[..]).expect("LDS");
    assert!(socket.address.is_some() && socket.api_listener.is_none());
    let mut all = Scripted::open(connect(control.xds).await).await;
    all.send(request("envoy", "lds", &[]));
    assert_eq!(
        all.next().await.expect("listeners").resources.len(),
        1,
        "the API listener is for those that ask"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cold_endpoints_have_reduced_weight_and_the_nearest_zone_has_priority() {
    let now =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970").as_millis();
    let at = |port: u16| ([127, 0, 0, 1], port).into();
    let cold = runtrack_discovery::Target { boot_ms: now as f64, ..target("cold", at(7002), "b") };
    let discovery = Discovery::start(vec![target("warm", at(7001), "a"), cold]).await;
    let fleet = platform_fleet(discovery.address, "nearest_first = true").replace(
        "warm_within = \"0s\"",
        "warm_within = \"4s\"\ncold_share = 0.25\n[zones]\na = { b = 1 }\nb = { a = 1 }",
    );
    let control = Control::start(BINARY, &fleet, "", false).await;
    let to = |zone: &str| ProxyConfig {
        control: control.xds,
        id: format!("in-{zone}"),
        zone: zone.to_owned(),
        incremental: true,
    };
    let (in_a, in_b) = (Proxy::start(to("a")), Proxy::start(to("b")));
    let of = |proxy: &Proxy, port: u16| {
        proxy.with(|s| s.endpoints.get("p").and_then(|l| l.iter().find(|e| e.0 == at(port)).copied()))
    };
    until("the list", || of(&in_a, 7002).is_some() && of(&in_b, 7002).is_some()).await;
    let (_, weight, _, far) = of(&in_a, 7002).expect("there");
    assert!((25..90).contains(&weight) && far == 1, "weight {weight}, priority {far}");
    assert_eq!(of(&in_b, 7002).map(|e| e.3), Some(0), "near for its own zone");
    assert_eq!(of(&in_b, 7001).map(|e| e.3), Some(1));
    let first = weight;
    until("warm in the end", || of(&in_a, 7002).is_some_and(|e| e.1 == 100)).await;
    assert!(first < 100);
}

#[test]
fn invalid_settings_are_rejected_with_their_position() {
    let bad = [
        ("fleet = 1\nlisten = \"127.0.0.1:1\"", "control.toml:1:9"),
        ("listen = \"127.0.0.1:1\"", "one of the three"),
        ("fleet = \"fleet.toml\"\nlisten = \"0.0.0.0:1\"", "not loopback"),
        ("fleet = \"fleet.toml\"\nlisten = \"nowhere\"", "control.toml:2:10"),
        (
            "fleet = \"fleet.toml\"\nlisten = \"127.0.0.1:1\"\nadmin = \"0.0.0.0:2\"",
            "has no authentication",
        ),
        ("fleet = \"fleet.toml\"\nlisten = \"127.0.0.1:1\"\nspeed = 1", "unknown field `speed`"),
        (
            "fleet = \"fleet.toml\"\nlisten = \"127.0.0.1:1\"\n[limits]\npush_every_ms = 5000",
            "drains come late",
        ),
        ("fleet = \"none.toml\"\nlisten = \"127.0.0.1:1\"", "none.toml"),
        ("fleet = \"bad.toml\"\nlisten = \"127.0.0.1:1\"", "bad.toml:1:1: pool.po ol"),
        ("fleet = [", "control.toml:1:"),
    ];
    let folder = TempDir::new();
    folder.write("fleet.toml", &static_fleet(&[(7001, "ready")]));
    folder.write(
        "bad.toml",
        "[[pool]]\nname = \"po ol\"\n[[pool.endpoint]]\nname = \"e\"\naddress = \"127.0.0.1:1\"",
    );
    for (text, words) in bad {
        let path = folder.write("control.toml", text);
        let done = Command::new(BINARY).arg("check").arg("--config").arg(path).output().expect("it runs");
        let said = String::from_utf8_lossy(&done.stderr).into_owned();
        assert!(!done.status.success() && said.contains(words), "{text}: {said}");
        assert!(said.trim().lines().count() == 1, "{said}");
    }
    let path = folder.write("control.toml", "fleet = \"fleet.toml\"\nlisten = \"127.0.0.1:1\"");
    let done = Command::new(BINARY).arg("check").arg("--config").arg(path).output().expect("it runs");
    assert!(done.status.success());
}
