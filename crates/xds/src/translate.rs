//! The model as xDS resources.
//!
//! Every decision here follows from the model and the four rules; `docs/design/xds.md` says why each field is
//! set. Messages hold maps nowhere, so that equal inputs give equal bytes.

use crate::cache::{Body, Change};
use crate::resource_type::ResourceType;
use envoy_types::pb;
use pb::envoy::config::cluster::v3 as cds;
use pb::envoy::config::core::v3 as core;
use pb::envoy::config::endpoint::v3 as eds;
use pb::envoy::config::listener::v3 as lds;
use pb::envoy::config::route::v3 as rds;
use pb::envoy::extensions::filters::http::router::v3::Router;
use pb::envoy::extensions::filters::network::http_connection_manager::v3 as hcm;
use pb::envoy::extensions::load_balancing_policies as policies;
use pb::envoy::r#type::v3::Percent;
use pb::google::protobuf::{Any, Duration as ProtoDuration, UInt32Value};
use prost::{Message, Name};
use runtrack_balancer::DedupScope;
use runtrack_model::{Class, Fleet, Listener, Pool, Route, Rules, Semantics};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Endpoints sampled for a call: SQ(2), as the module does itself.
const CHOICES: u32 = 2;
/// An endpoint of size one, warm and well, has this weight: parts of it can then be told in whole numbers.
const WEIGHT_ONE: f64 = 100.0;
/// Failures in a row after which a proxy rests an endpoint: as many as make the module avoid one for seconds.
const FAILURES: u32 = 5;
/// For so long at first; the module's weight of failures falls to a third in 4 s.
const REST: Duration = Duration::from_secs(4);
/// Endpoints that a proxy may rest at once, in percent: beyond a quarter it is no fault of single endpoints.
const REST_MOST: u32 = 25;
/// Repeats that may be out whatever the budget, so that a proxy with few requests can repeat at all.
const RETRIES_LEAST: u32 = 3;

/// An endpoint as its pool's balancer sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedEndpoint {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its size against others.
    pub weight: f64,
    /// Nothing new may be sent to it.
    pub draining: bool,
    /// The part of its capacity that it surely has, `0.01..=1`.
    pub capacity_fraction: f64,
    /// Recent failures as calls in flight.
    pub failure_penalty: f64,
}

/// The cluster of a pool.
pub fn cluster(name: &str, pool: &Pool, rules: &Rules) -> Change {
    // Slow start as the proxy sees it, from its own first sight of an endpoint; the part by the endpoint's own age
    // is in its weight. Where both apply the more careful one counts, which errs on the safe side.
    let slow_start = (!rules.warm_within.is_zero()).then(|| cds::cluster::SlowStartConfig {
        slow_start_window: Some(time(rules.warm_within)),
        min_weight_percent: Some(Percent { value: rules.cold_share * 100.0 }),
        ..Default::default()
    });
    let least_request = cds::cluster::LeastRequestLbConfig {
        choice_count: Some(number(CHOICES)),
        slow_start_config: slow_start,
        ..Default::default()
    };
    let budget = cds::circuit_breakers::thresholds::RetryBudget {
        budget_percent: Some(Percent { value: rules.retry_budget * 100.0 }),
        min_retry_concurrency: Some(number(RETRIES_LEAST)),
        ..Default::default()
    };
    let thresholds = cds::circuit_breakers::Thresholds {
        max_connections: Some(number(pool.max_connections)),
        max_pending_requests: Some(number(pool.max_pending)),
        max_requests: Some(number(pool.max_requests)),
        retry_budget: Some(budget),
        ..Default::default()
    };
    let outliers = cds::OutlierDetection {
        consecutive_gateway_failure: Some(number(FAILURES)),
        enforcing_consecutive_gateway_failure: Some(number(100)),
        // A 500 may come from a tier behind: it proves nothing about the endpoint.
        enforcing_consecutive_5xx: Some(number(0)),
        split_external_local_origin_errors: true,
        consecutive_local_origin_failure: Some(number(FAILURES)),
        enforcing_success_rate: Some(number(0)),
        interval: Some(time(Duration::from_secs(1))),
        base_ejection_time: Some(time(REST)),
        max_ejection_percent: Some(number(REST_MOST)),
        ..Default::default()
    };
    let cluster = cds::Cluster {
        name: name.to_owned(),
        cluster_discovery_type: Some(cds::cluster::ClusterDiscoveryType::Type(
            cds::cluster::DiscoveryType::Eds as i32,
        )),
        eds_cluster_config: Some(cds::cluster::EdsClusterConfig {
            eds_config: Some(same_stream()),
            service_name: String::new(),
        }),
        connect_timeout: Some(time(pool.connect_timeout)),
        load_balancing_policy: Some(balancing(rules)),
        // The same for proxies that don't know the field above.
        lb_policy: cds::cluster::LbPolicy::LeastRequest as i32,
        lb_config: Some(cds::cluster::LbConfig::LeastRequestLbConfig(least_request)),
        circuit_breakers: Some(cds::CircuitBreakers { thresholds: vec![thresholds], ..Default::default() }),
        outlier_detection: Some(outliers),
        // How requests end is told to the control service too: a roll-out halts by it.
        lrs_server: Some(self_source()),
        // A proxy in panic sends to every endpoint, draining ones too: the drain promise forbids it.
        common_lb_config: Some(cds::cluster::CommonLbConfig {
            healthy_panic_threshold: Some(Percent { value: 0.0 }),
            ..Default::default()
        }),
        ..Default::default()
    };
    set(ResourceType::Cluster, name, cluster.encode_to_vec())
}

/// SQ(2), and for clients that have no such policy, as gRPC's C core, the next best that all have: by turns, with
/// localities by their weights. A client takes the first that it knows (gRFC A52).
fn balancing(rules: &Rules) -> cds::LoadBalancingPolicy {
    use policies::common::v3::SlowStartConfig;
    let least = policies::least_request::v3::LeastRequest {
        choice_count: Some(number(CHOICES)),
        slow_start_config: (!rules.warm_within.is_zero()).then(|| SlowStartConfig {
            slow_start_window: Some(time(rules.warm_within)),
            min_weight_percent: Some(Percent { value: rules.cold_share * 100.0 }),
            ..Default::default()
        }),
        ..Default::default()
    };
    let turns = policies::round_robin::v3::RoundRobin::default();
    let turns = policies::wrr_locality::v3::WrrLocality {
        endpoint_picking_policy: Some(policy(&[(
            "envoy.load_balancing_policies.round_robin",
            any(&turns),
        )])),
    };
    policy(&[
        ("envoy.load_balancing_policies.least_request", any(&least)),
        ("envoy.load_balancing_policies.wrr_locality", any(&turns)),
    ])
}

fn policy(choices: &[(&str, Any)]) -> cds::LoadBalancingPolicy {
    let choices = choices.iter().map(|(name, config)| cds::load_balancing_policy::Policy {
        typed_extension_config: Some(core::TypedExtensionConfig {
            name: (*name).to_owned(),
            typed_config: Some(config.clone()),
        }),
    });
    cds::LoadBalancingPolicy { policies: choices.collect() }
}

/// The endpoints of a pool, in the order given; for each zone of the fleet with priorities of its own, if the pool
/// wants the nearest first.
pub fn endpoints(name: &str, pool: &Pool, fleet: &Fleet, endpoints: &[ResolvedEndpoint]) -> Change {
    let mut body = Body::from(assignment(name, endpoints, |_| 0));
    if pool.nearest_first {
        let zones: BTreeSet<&str> = endpoints.iter().map(|m| m.zone.as_str()).collect();
        for (from, steps) in &fleet.zones {
            let distance =
                |zone: &str| if zone == from { 0 } else { steps.get(zone).copied().unwrap_or(u32::MAX) };
            let ranks: BTreeSet<u32> = zones.iter().map(|zone| distance(zone)).collect();
            let rank = |zone: &str| ranks.range(..distance(zone)).count() as u32;
            body.zones.insert(from.clone(), assignment(name, endpoints, rank).into());
        }
    }
    Change::Set(ResourceType::Endpoint, name.to_owned(), body)
}

fn assignment(name: &str, endpoints: &[ResolvedEndpoint], priority: impl Fn(&str) -> u32) -> Vec<u8> {
    let mut localities: BTreeMap<&str, Vec<eds::LbEndpoint>> = BTreeMap::new();
    for endpoint in endpoints {
        localities.entry(&endpoint.zone).or_default().push(lb_endpoint(endpoint));
    }
    let localities = localities.into_iter().map(|(zone, lb_endpoints)| {
        let weight = |e: &eds::LbEndpoint| e.load_balancing_weight.map_or(0, |w| u64::from(w.value));
        let ready = lb_endpoints.iter().filter(|e| e.health_status == core::HealthStatus::Healthy as i32);
        // gRPC clients take no notice of a locality without a weight.
        let sum = ready.map(weight).sum::<u64>().clamp(1, u64::from(u32::MAX / 1024)) as u32;
        eds::LocalityLbEndpoints {
            locality: Some(core::Locality { zone: zone.to_owned(), ..Default::default() }),
            lb_endpoints,
            load_balancing_weight: Some(number(sum)),
            priority: priority(zone),
            ..Default::default()
        }
    });
    let assignment = eds::ClusterLoadAssignment {
        cluster_name: name.to_owned(),
        endpoints: localities.collect(),
        ..Default::default()
    };
    assignment.encode_to_vec()
}

fn lb_endpoint(endpoint: &ResolvedEndpoint) -> eds::LbEndpoint {
    let health = if endpoint.draining { core::HealthStatus::Draining } else { core::HealthStatus::Healthy };
    // Heat counts like calls in flight: an endpoint with one more takes half as much.
    let weight = (WEIGHT_ONE * endpoint.weight * endpoint.capacity_fraction
        / (1.0 + endpoint.failure_penalty))
        .round()
        .max(1.0);
    eds::LbEndpoint {
        health_status: health as i32,
        load_balancing_weight: Some(number(weight as u32)),
        host_identifier: Some(eds::lb_endpoint::HostIdentifier::Endpoint(eds::Endpoint {
            address: Some(address(endpoint.address)),
            ..Default::default()
        })),
        ..Default::default()
    }
}

/// A listener and its routes: one resource for gRPC clients, by the listener's name, one for proxies that listen
/// on a socket, and the routes of both.
pub fn listener(name: &str, listener: &Listener, fleet: &Fleet) -> Vec<Change> {
    let mut changes = vec![set(ResourceType::Route, name, routes(name, listener, fleet).encode_to_vec())];
    let manager = hcm::HttpConnectionManager {
        stat_prefix: name.to_owned(),
        http_filters: vec![hcm::HttpFilter {
            name: "envoy.filters.http.router".to_owned(),
            config_type: Some(hcm::http_filter::ConfigType::TypedConfig(any(&Router::default()))),
            ..Default::default()
        }],
        route_specifier: Some(hcm::http_connection_manager::RouteSpecifier::Rds(hcm::Rds {
            config_source: Some(same_stream()),
            route_config_name: name.to_owned(),
        })),
        ..Default::default()
    };
    let manager = any(&manager);
    if listener.api {
        let api = lds::Listener {
            name: name.to_owned(),
            api_listener: Some(lds::ApiListener { api_listener: Some(manager.clone()) }),
            ..Default::default()
        };
        // A proxy that asks for all listeners would reject one without an address.
        let body = Body { by_name_only: true, ..Body::from(api.encode_to_vec()) };
        changes.push(Change::Set(ResourceType::Listener, name.to_owned(), body));
    }
    if let Some(at) = listener.address {
        let filter = lds::Filter {
            name: "envoy.filters.network.http_connection_manager".to_owned(),
            config_type: Some(lds::filter::ConfigType::TypedConfig(manager)),
        };
        let name = socket_listener(name);
        let socket = lds::Listener {
            name: name.clone(),
            address: Some(address(at)),
            filter_chains: vec![lds::FilterChain { filters: vec![filter], ..Default::default() }],
            ..Default::default()
        };
        changes.push(set(ResourceType::Listener, &name, socket.encode_to_vec()));
    }
    changes
}

/// What the resource of a listener on a socket is called: the plain name is what gRPC clients dial.
pub fn socket_listener(name: &str) -> String {
    format!("{name}@socket")
}

/// A proxy takes the virtual host whose domain fits best, then the first route in it: so each host's routes are
/// all those that cover it, in their order.
fn routes(name: &str, listener: &Listener, fleet: &Fleet) -> rds::RouteConfiguration {
    let hosts: BTreeSet<&str> =
        listener.routes.iter().flat_map(|r| r.hosts.iter().map(String::as_str)).collect();
    let virtual_hosts = hosts.into_iter().map(|host| {
        let of_host =
            listener.routes.iter().filter(|r| r.hosts.iter().any(|pattern| covers(pattern, host)));
        rds::VirtualHost {
            name: format!("{name}/{host}"),
            domains: vec![host.to_owned()],
            routes: of_host.map(|r| route(r, fleet)).collect(),
            ..Default::default()
        }
    });
    rds::RouteConfiguration {
        name: name.to_owned(),
        virtual_hosts: virtual_hosts.collect(),
        ..Default::default()
    }
}

/// Whether all hosts of a pattern, or the one it names, fall under another pattern.
fn covers(wide: &str, narrow: &str) -> bool {
    if wide == "*" || wide == narrow {
        return true;
    }
    match (wide.strip_prefix('*'), wide.strip_suffix('*')) {
        (Some(end), _) => narrow.len() > end.len() && narrow.ends_with(end),
        (_, Some(start)) => narrow.len() > start.len() && narrow.starts_with(start),
        _ => false,
    }
}

fn route(route: &Route, fleet: &Fleet) -> rds::Route {
    use rds::route_action::ClusterSpecifier;
    let specifier = match &route.to[..] {
        [one] => ClusterSpecifier::Cluster(one.pool.clone()),
        shares => {
            let clusters = shares.iter().map(|share| rds::weighted_cluster::ClusterWeight {
                name: share.pool.clone(),
                weight: Some(number(share.weight)),
                ..Default::default()
            });
            let clusters = clusters.collect();
            ClusterSpecifier::WeightedClusters(rds::WeightedCluster { clusters, ..Default::default() })
        }
    };
    let class = fleet.classes.get(&route.class);
    let action = rds::RouteAction {
        cluster_specifier: Some(specifier),
        timeout: class.map(|class| time(class.deadline)),
        max_stream_duration: class.map(|class| rds::route_action::MaxStreamDuration {
            max_stream_duration: Some(time(class.deadline)),
            grpc_timeout_header_max: Some(time(class.deadline)),
            ..Default::default()
        }),
        retry_policy: class.map(retries),
        ..Default::default()
    };
    rds::Route {
        name: route.name.clone(),
        r#match: Some(rds::RouteMatch {
            path_specifier: Some(rds::route_match::PathSpecifier::Prefix(route.prefix.clone())),
            ..Default::default()
        }),
        action: Some(rds::route::Action::Route(action)),
        ..Default::default()
    }
}

/// What proves that an attempt never ran: no connection, a refused stream, a connection that broke before the
/// request was written, or the endpoint's own word.
const NEVER_RAN: &str = "connect-failure,refused-stream,reset-before-request,retriable-headers";
/// What may have run. The gRPC names are those of A44; others pass over them.
const MAY_HAVE_RUN: &str = "reset,gateway-error,unavailable,cancelled,deadline-exceeded,resource-exhausted";

fn retries(class: &Class) -> rds::RetryPolicy {
    // A proxy knows no groups of endpoints and no clock of its own for a key: only where every endpoint drops the
    // repeat, for longer than the request can last, may a keyed request that may have run go again.
    let anywhere = match class.semantics {
        Semantics::Safe => true,
        Semantics::Keyed { group, window } => group == DedupScope::All && class.deadline <= window,
        Semantics::Unsafe => false,
    };
    let retry_on = if anywhere { format!("{NEVER_RAN},{MAY_HAVE_RUN}") } else { NEVER_RAN.to_owned() };
    rds::RetryPolicy {
        retry_on,
        num_retries: Some(number(class.attempts - 1)),
        // One attempt may not eat the time of all; where nothing may go again after a time-out there is no use.
        per_try_timeout: anywhere.then(|| time(class.deadline / class.attempts)),
        retriable_headers: vec![rds::HeaderMatcher {
            name: "x-not-processed".to_owned(),
            header_match_specifier: Some(rds::header_matcher::HeaderMatchSpecifier::PresentMatch(true)),
            ..Default::default()
        }],
        ..Default::default()
    }
}

fn set(kind: ResourceType, name: &str, bytes: Vec<u8>) -> Change {
    Change::Set(kind, name.to_owned(), bytes.into())
}

fn any<M: Message + Name>(message: &M) -> Any {
    Any { type_url: M::type_url(), value: message.encode_to_vec() }
}

fn same_stream() -> core::ConfigSource {
    source(core::config_source::ConfigSourceSpecifier::Ads(core::AggregatedConfigSource {}))
}

/// Where this resource came from.
fn self_source() -> core::ConfigSource {
    source(core::config_source::ConfigSourceSpecifier::Self_(core::SelfConfigSource::default()))
}

fn source(specifier: core::config_source::ConfigSourceSpecifier) -> core::ConfigSource {
    core::ConfigSource {
        resource_api_version: core::ApiVersion::V3 as i32,
        config_source_specifier: Some(specifier),
        ..Default::default()
    }
}

fn address(at: SocketAddr) -> core::Address {
    core::Address {
        address: Some(core::address::Address::SocketAddress(core::SocketAddress {
            address: at.ip().to_string(),
            port_specifier: Some(core::socket_address::PortSpecifier::PortValue(u32::from(at.port()))),
            ..Default::default()
        })),
    }
}

fn number(value: u32) -> UInt32Value {
    UInt32Value { value }
}

fn time(time: Duration) -> ProtoDuration {
    ProtoDuration { seconds: time.as_secs() as i64, nanos: time.subsec_nanos() as i32 }
}
