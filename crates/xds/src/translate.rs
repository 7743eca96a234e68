//! Translation of the model to xDS resources.
//!
//! `docs/design/xds.md` explains why each field is set. No message contains a map, so equal input gives equal bytes.

use crate::cache::{Body, Change};
use crate::kind::ResourceType;
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

/// Endpoints sampled per request: power of two choices, as in the balancer.
const CHOICE_COUNT: u32 = 2;
/// Weight of a warm endpoint of weight 1 without failures; fractions of it are then representable as integers.
const UNIT_WEIGHT: f64 = 100.0;
/// Consecutive failures after which a proxy ejects an endpoint: as many as make the balancer avoid one for seconds.
const EJECTION_FAILURES: u32 = 5;
/// Base ejection time. The balancer's failure penalty falls to a third in 4 s.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(4);
/// Maximum share of endpoints that a proxy may eject at once, in percent. If more than a quarter fail, the cause is
/// unlikely to be in single endpoints.
const MAX_EJECTION_PERCENT: u32 = 25;
/// Retries allowed in flight regardless of the budget, so that a proxy with few requests can retry at all.
const MIN_RETRY_CONCURRENCY: u32 = 3;

/// An endpoint with the state that the pool's balancer has derived for it.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedEndpoint {
    /// Name.
    pub name: String,
    /// Address it listens on.
    pub address: SocketAddr,
    /// Zone.
    pub zone: String,
    /// Capacity relative to other endpoints.
    pub weight: f64,
    /// Whether it must not be sent new requests.
    pub draining: bool,
    /// Fraction of its full capacity that it is certain to have, `0.01..=1`.
    pub capacity_fraction: f64,
    /// Penalty for recent failures, as an equivalent number of requests in flight.
    pub failure_penalty: f64,
}

/// The CDS resource of a pool.
pub fn cluster(name: &str, pool: &Pool, rules: &Rules) -> Change {
    // Slow start counts from when the proxy first sees an endpoint; the fraction by the endpoint's own age is in its
    // weight. Where both apply, the more cautious one has effect, which is the safe side.
    let slow_start = (!rules.warm_within.is_zero()).then(|| cds::cluster::SlowStartConfig {
        slow_start_window: Some(time(rules.warm_within)),
        min_weight_percent: Some(Percent { value: rules.cold_share * 100.0 }),
        ..Default::default()
    });
    let least_request = cds::cluster::LeastRequestLbConfig {
        choice_count: Some(number(CHOICE_COUNT)),
        slow_start_config: slow_start,
        ..Default::default()
    };
    let budget = cds::circuit_breakers::thresholds::RetryBudget {
        budget_percent: Some(Percent { value: rules.retry_budget * 100.0 }),
        min_retry_concurrency: Some(number(MIN_RETRY_CONCURRENCY)),
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
        consecutive_gateway_failure: Some(number(EJECTION_FAILURES)),
        enforcing_consecutive_gateway_failure: Some(number(100)),
        // A 500 may be caused by a service behind the endpoint, so it is no evidence against the endpoint.
        enforcing_consecutive_5xx: Some(number(0)),
        split_external_local_origin_errors: true,
        consecutive_local_origin_failure: Some(number(EJECTION_FAILURES)),
        enforcing_success_rate: Some(number(0)),
        interval: Some(time(Duration::from_secs(1))),
        base_ejection_time: Some(time(BASE_EJECTION_TIME)),
        max_ejection_percent: Some(number(MAX_EJECTION_PERCENT)),
        ..Default::default()
    };
    let cluster = cds::Cluster {
        name: name.to_owned(),
        cluster_discovery_type: Some(cds::cluster::ClusterDiscoveryType::Type(
            cds::cluster::DiscoveryType::Eds as i32,
        )),
        eds_cluster_config: Some(cds::cluster::EdsClusterConfig {
            eds_config: Some(ads_source()),
            service_name: String::new(),
        }),
        connect_timeout: Some(time(pool.connect_timeout)),
        load_balancing_policy: Some(load_balancing_policy(rules)),
        // The same policy for proxies that don't support `load_balancing_policy`.
        lb_policy: cds::cluster::LbPolicy::LeastRequest as i32,
        lb_config: Some(cds::cluster::LbConfig::LeastRequestLbConfig(least_request)),
        circuit_breakers: Some(cds::CircuitBreakers { thresholds: vec![thresholds], ..Default::default() }),
        outlier_detection: Some(outliers),
        // Load reports go to the control service, which halts a rollout when the error rate rises.
        lrs_server: Some(self_source()),
        // In panic mode a proxy sends to all endpoints, including draining ones, which must not get new requests.
        common_lb_config: Some(cds::cluster::CommonLbConfig {
            healthy_panic_threshold: Some(Percent { value: 0.0 }),
            ..Default::default()
        }),
        ..Default::default()
    };
    set(ResourceType::Cluster, name, cluster.encode_to_vec())
}

/// Least request with two choices, then locality-weighted round robin, which all clients support, for clients without
/// it such as gRPC's C core. A client takes the first policy that it supports (gRFC A52).
fn load_balancing_policy(rules: &Rules) -> cds::LoadBalancingPolicy {
    use policies::common::v3::SlowStartConfig;
    let least_request = policies::least_request::v3::LeastRequest {
        choice_count: Some(number(CHOICE_COUNT)),
        slow_start_config: (!rules.warm_within.is_zero()).then(|| SlowStartConfig {
            slow_start_window: Some(time(rules.warm_within)),
            min_weight_percent: Some(Percent { value: rules.cold_share * 100.0 }),
            ..Default::default()
        }),
        ..Default::default()
    };
    let round_robin = policies::round_robin::v3::RoundRobin::default();
    let round_robin = policies::wrr_locality::v3::WrrLocality {
        endpoint_picking_policy: Some(policy(&[(
            "envoy.load_balancing_policies.round_robin",
            any(&round_robin),
        )])),
    };
    policy(&[
        ("envoy.load_balancing_policies.least_request", any(&least_request)),
        ("envoy.load_balancing_policies.wrr_locality", any(&round_robin)),
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

/// The EDS resource of a pool, with the endpoints in the given order. For a pool with `nearest_first`, each zone of the
/// fleet gets an encoding with its own priorities.
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
        // gRPC clients ignore localities without a weight.
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
    // The penalty counts as requests in flight: a penalty of one halves the weight.
    let weight = (UNIT_WEIGHT * endpoint.weight * endpoint.capacity_fraction
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

/// The LDS and RDS resources of a listener: an API listener for gRPC clients under the listener's name, one for proxies
/// that listen on a socket, and the routes that both refer to.
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
            config_source: Some(ads_source()),
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
        // Proxies with a wildcard subscription would reject a listener without an address.
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

/// Name of the resource of a socket listener. The plain name is the one that gRPC clients dial.
pub fn socket_listener(name: &str) -> String {
    format!("{name}@socket")
}

/// The RDS resource of a listener. A proxy selects the most specific virtual host, then the first matching route in it,
/// so each virtual host has all routes whose hosts cover it, in their order.
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

/// Whether the pattern `wide` matches every host that the pattern `narrow` matches.
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
        retry_policy: class.map(retry_policy),
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

/// Retry conditions that prove that the attempt was not executed: no connection, a refused stream, a connection reset
/// before the request was written, or the endpoint's `x-not-processed` header.
const NOT_EXECUTED: &str = "connect-failure,refused-stream,reset-before-request,retriable-headers";
/// Retry conditions after which the attempt may have been executed. The gRPC names are those of gRFC A44; other clients
/// ignore them.
const POSSIBLY_EXECUTED: &str =
    "reset,gateway-error,unavailable,cancelled,deadline-exceeded,resource-exhausted";

fn retry_policy(class: &Class) -> rds::RetryPolicy {
    // A proxy knows neither deduplication groups nor the age of a key. So a keyed request that may have been executed
    // is retried only if all endpoints discard duplicates, for at least as long as the request can last.
    let retry_if_executed = match class.semantics {
        Semantics::Safe => true,
        Semantics::Keyed { group, window } => group == DedupScope::All && class.deadline <= window,
        Semantics::Unsafe => false,
    };
    let retry_on = if retry_if_executed {
        format!("{NOT_EXECUTED},{POSSIBLY_EXECUTED}")
    } else {
        NOT_EXECUTED.to_owned()
    };
    rds::RetryPolicy {
        retry_on,
        num_retries: Some(number(class.attempts - 1)),
        // Leaves time for the other attempts; useless where no retry may follow a timeout.
        per_try_timeout: retry_if_executed.then(|| time(class.deadline / class.attempts)),
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

fn ads_source() -> core::ConfigSource {
    source(core::config_source::ConfigSourceSpecifier::Ads(core::AggregatedConfigSource {}))
}

/// The server that this resource was received from.
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
