//! The model as resources: what the rules allow each class, which routes a host has, equal bytes for equal input.

use envoy_types::pb::envoy::config::core::v3::HealthStatus;
use envoy_types::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use envoy_types::pb::envoy::config::route::v3::{RetryPolicy, RouteConfiguration, route, route_action};
use prost::Message;
use runtrack_model::Fleet;
use runtrack_xds::translate::{self, ResolvedEndpoint};
use runtrack_xds::{Change, ResourceType};

fn fleet(class: &str, routes: &str) -> Fleet {
    let text = format!(
        "[zones]\na = {{ b = 1, c = 2 }}\nb = {{ a = 1, c = 1 }}\nc = {{}}\n[[class]]\nname = \"k\"\ndeadline = \"2s\"\n{class}\n\
         [[pool]]\nname = \"p\"\nnearest_first = true\n[[pool.endpoint]]\nname = \"e\"\naddress = \"127.0.0.1:1\"\n\
         [[pool]]\nname = \"q\"\n[[pool.endpoint]]\nname = \"e\"\naddress = \"127.0.0.1:1\"\n\
         [[listener]]\nname = \"l\"\napi = true\n{routes}"
    );
    Fleet::from_toml(&text).unwrap_or_else(|problems| panic!("{problems}\n{text}"))
}

const ROUTE: &str = "[[listener.route]]\nname = \"r\"\nclass = \"k\"\npool = \"p\"\n";

fn routes(fleet: &Fleet) -> RouteConfiguration {
    let changes = translate::listener("l", &fleet.listeners["l"], fleet);
    let body = changes.into_iter().find_map(|change| match change {
        Change::Set(ResourceType::Route, _, body) => Some(body),
        _ => None,
    });
    RouteConfiguration::decode(body.expect("routes").plain).expect("RDS")
}

fn retries(class: &str) -> RetryPolicy {
    let routes = routes(&fleet(class, ROUTE));
    let Some(route::Action::Route(action)) = &routes.virtual_hosts[0].routes[0].action else {
        panic!("{routes:?}")
    };
    assert_eq!(action.timeout.map(|t| t.seconds), Some(2), "the class's deadline");
    action.retry_policy.clone().expect("a policy")
}

/// Conditions that say nothing of whether the request ran.
const MAY_HAVE_RUN: [&str; 6] =
    ["reset", "gateway-error", "unavailable", "cancelled", "deadline-exceeded", "resource-exhausted"];

fn goes_again_after_it_may_have_run(policy: &RetryPolicy) -> bool {
    let on: Vec<&str> = policy.retry_on.split(',').collect();
    assert!(on.contains(&"connect-failure") && on.contains(&"retriable-headers"), "{on:?}");
    let proofs = ["connect-failure", "refused-stream", "reset-before-request", "retriable-headers"];
    let others: Vec<&&str> = on.iter().filter(|c| !proofs.contains(c)).collect();
    assert!(others.iter().all(|c| MAY_HAVE_RUN.contains(c)), "{others:?}");
    assert_eq!(
        policy.per_try_timeout.is_some(),
        !others.is_empty(),
        "a try is cut short only if another may follow"
    );
    !others.is_empty()
}

#[test]
fn a_request_goes_again_only_where_its_class_allows_it() {
    let keyed = |group: &str, window: &str| {
        format!("semantics = \"keyed\"\ngroup = \"{group}\"\nwindow = \"{window}\"\n")
    };
    let again = |class: &str| goes_again_after_it_may_have_run(&retries(class));
    assert!(again("semantics = \"safe\""));
    assert!(!again("semantics = \"unsafe\""));
    assert!(again(&keyed("all", "2s")), "every endpoint drops the repeat for as long as the request lasts");
    assert!(!again(&keyed("all", "1999ms")), "the last try might come after the window");
    assert!(!again(&keyed("zone", "60s")), "a proxy knows no groups");
    assert!(!again(&keyed("cell", "60s")));
    assert_eq!(retries("semantics = \"safe\"\nattempts = 1").num_retries.map(|n| n.value), Some(0));
}

#[test]
fn each_host_has_the_routes_that_cover_it_in_their_order() {
    let route = |name: &str, hosts: &str, prefix: &str| {
        format!(
            "[[listener.route]]\nname = \"{name}\"\nhosts = [{hosts}]\nprefix = \"{prefix}\"\nclass = \"k\"\npool = \"p\"\n"
        )
    };
    let text = [
        route("exact", "\"a.x.org\"", "/one"),
        route("suffix", "\"*.x.org\"", "/"),
        route("prefix", "\"a.*\"", "/two"),
        route("all", "\"*\"", "/"),
    ];
    let routes = routes(&fleet("semantics = \"safe\"", &text.concat()));
    let of = |host: &str| {
        let found = routes.virtual_hosts.iter().find(|v| v.domains == [host]).expect("a virtual host");
        found.routes.iter().map(|r| r.name.as_str()).collect::<Vec<_>>()
    };
    assert_eq!(of("a.x.org"), ["exact", "suffix", "prefix", "all"]);
    assert_eq!(of("*.x.org"), ["suffix", "all"]);
    assert_eq!(of("a.*"), ["prefix", "all"]);
    assert_eq!(of("*"), ["all"]);
}

#[test]
fn weighted_pools_keep_their_weights() {
    let text = "[[listener.route]]\nname = \"r\"\nclass = \"k\"\npools = { p = 90, q = 10 }\n";
    let routes = routes(&fleet("semantics = \"safe\"", text));
    let Some(route::Action::Route(action)) = &routes.virtual_hosts[0].routes[0].action else {
        panic!("{routes:?}")
    };
    let Some(route_action::ClusterSpecifier::WeightedClusters(weighted)) = &action.cluster_specifier else {
        panic!("{action:?}")
    };
    let shares: Vec<_> =
        weighted.clusters.iter().map(|c| (c.name.as_str(), c.weight.map_or(0, |w| w.value))).collect();
    assert_eq!(shares, [("p", 90), ("q", 10)]);
}

fn endpoint(name: &str, zone: &str) -> ResolvedEndpoint {
    let address = ([127, 0, 0, 1], 1).into();
    let (name, zone) = (name.to_owned(), zone.to_owned());
    ResolvedEndpoint {
        name,
        address,
        zone,
        weight: 1.0,
        draining: false,
        capacity_fraction: 1.0,
        failure_penalty: 0.0,
    }
}

#[test]
fn weights_follow_size_part_and_heat_and_never_vanish() {
    let fleet = fleet("semantics = \"safe\"", ROUTE);
    let endpoints = [
        ResolvedEndpoint { weight: 2.0, ..endpoint("large", "") },
        ResolvedEndpoint { capacity_fraction: 0.25, ..endpoint("cold", "") },
        ResolvedEndpoint { failure_penalty: 3.0, ..endpoint("ailing", "") },
        ResolvedEndpoint { capacity_fraction: 0.01, weight: 0.01, ..endpoint("tiny", "") },
        ResolvedEndpoint { draining: true, ..endpoint("leaving", "") },
    ];
    let Change::Set(_, _, body) = translate::endpoints("q", &fleet.pools["q"], &fleet, &endpoints) else {
        panic!()
    };
    let eds = ClusterLoadAssignment::decode(body.plain).expect("EDS");
    let locality = &eds.endpoints[0];
    let weights: Vec<u32> =
        locality.lb_endpoints.iter().map(|e| e.load_balancing_weight.expect("set").value).collect();
    assert_eq!(weights, [200, 25, 25, 1, 100]);
    assert_eq!(locality.lb_endpoints[4].health_status, HealthStatus::Draining as i32);
    assert_eq!(locality.load_balancing_weight.map(|w| w.value), Some(251), "of those that may be sent to");
    assert!(body.zones.is_empty(), "the pool does not ask for the nearest first");
}

#[test]
fn priorities_follow_the_distance_from_the_proxys_zone_without_gaps() {
    let fleet = fleet("semantics = \"safe\"", ROUTE);
    let endpoints =
        [endpoint("1", "a"), endpoint("2", "b"), endpoint("3", "c"), endpoint("4", "elsewhere")];
    let Change::Set(_, _, body) = translate::endpoints("p", &fleet.pools["p"], &fleet, &endpoints) else {
        panic!()
    };
    let priorities = |bytes: &bytes::Bytes| {
        let eds = ClusterLoadAssignment::decode(bytes.clone()).expect("EDS");
        eds.endpoints
            .iter()
            .map(|l| (l.locality.clone().expect("set").zone, l.priority))
            .collect::<Vec<_>>()
    };
    let named = |list: [u32; 4]| {
        ["a", "b", "c", "elsewhere"].map(str::to_owned).into_iter().zip(list).collect::<Vec<_>>()
    };
    assert_eq!(priorities(&body.zones["a"]), named([0, 1, 2, 3]));
    assert_eq!(priorities(&body.zones["b"]), named([1, 0, 1, 2]));
    assert_eq!(priorities(&body.zones["c"]), named([1, 1, 0, 1]), "what is not said is the farthest");
    assert_eq!(priorities(&body.plain), named([0, 0, 0, 0]));
}

#[test]
fn equal_input_gives_equal_bytes() {
    let text = include_str!("../../../examples/fleet.toml");
    let all = || {
        let fleet = Fleet::from_toml(text).expect("sound");
        let mut changes: Vec<Change> = Vec::new();
        for (name, pool) in &fleet.pools {
            changes.push(translate::cluster(name, pool, &fleet.rules));
            changes.push(translate::endpoints(
                name,
                pool,
                &fleet,
                &[endpoint("1", "a"), endpoint("2", "b")],
            ));
        }
        for (name, listener) in &fleet.listeners {
            changes.extend(translate::listener(name, listener, &fleet));
        }
        format!("{changes:?}")
    };
    let first = all();
    assert!((0..20).all(|_| all() == first));
}
