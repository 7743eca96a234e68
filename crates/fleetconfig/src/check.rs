//! Checks a parsed configuration and converts it to [`FleetConfig`].

use crate::Finding;
use crate::error::ConfigError;
use crate::fleet::{Engine, FleetConfig, Limits, Route, RouteKind, Service, Share};
use crate::wire::{ConfigWire, LimitsWire, RouteWire, ServiceWire, ShareWire};
use std::collections::HashMap;
use std::time::Duration;

/// Maximum duration in milliseconds: one day.
const MAX_TIME_MS: f64 = 86_400_000.0;

/// The problems found in a configuration.
#[derive(Default)]
pub(crate) struct Findings(Vec<Finding>);

impl Findings {
    pub(crate) fn add(&mut self, place: impl Into<String>, problem: impl Into<String>) {
        self.0.push(Finding { place: place.into(), problem: problem.into() });
    }

    /// Returns the checked value if there are no findings.
    pub(crate) fn into_result<T>(self, checked: T) -> Result<T, ConfigError> {
        if self.0.is_empty() { Ok(checked) } else { Err(ConfigError::Invalid(self.0)) }
    }

    fn time(&mut self, place: impl Into<String>, ms: f64) -> Duration {
        if ms.is_finite() && (0.0..=MAX_TIME_MS).contains(&ms) {
            return Duration::from_micros((ms * 1000.0) as u64);
        }
        self.add(place, format!("{ms} is no time in milliseconds"));
        Duration::ZERO
    }
}

pub(crate) fn check(wire: ConfigWire) -> Result<FleetConfig, ConfigError> {
    let mut findings = Findings::default();
    if wire.version == 0 {
        findings.add("version", "0 is the version before the first configuration");
    }
    let (services, by_name) = services(wire.services, &mut findings);
    let mut places = HashMap::new();
    let mut routes = Vec::with_capacity(wire.routes.len());
    for (index, route) in wire.routes.into_iter().enumerate() {
        let route = check_route(index, route, &by_name, &mut findings);
        if let Some(other) = places.insert((route.host.clone(), route.path_prefix.clone()), index) {
            findings.add(
                format!("routes[{index}].pathPrefix"),
                format!("routes[{other}] has the same host and prefix"),
            );
        }
        routes.push(route);
    }
    let limits = limits(wire.limits, &mut findings);
    findings.into_result(FleetConfig { version: wire.version, routes, services, limits })
}

fn services(wire: Vec<ServiceWire>, findings: &mut Findings) -> (Vec<Service>, HashMap<String, usize>) {
    let mut by_name = HashMap::new();
    let mut services = Vec::with_capacity(wire.len());
    for (index, service) in wire.into_iter().enumerate() {
        if service.name.is_empty() {
            findings.add(format!("services[{index}].name"), "is empty");
        }
        if let Some(other) = by_name.insert(service.name.clone(), index) {
            findings.add(format!("services[{index}].name"), format!("services[{other}] has the same name"));
        }
        let positive_integer = |number: Option<f64>| number.filter(|n| *n >= 1.0).map(|n| n as u64);
        services.push(Service {
            name: service.name,
            connection_limit: positive_integer(service.conn_limit)
                .map_or(u32::MAX, |n| n.min(u32::MAX.into()) as u32),
            engine: service.engine.map(|engine| Engine {
                capacity: positive_integer(engine.capacity).unwrap_or(1) as u32,
                kv_tokens: positive_integer(engine.kv_capacity).unwrap_or(0),
            }),
        });
    }
    (services, by_name)
}

fn check_route(
    index: usize,
    wire: RouteWire,
    services: &HashMap<String, usize>,
    findings: &mut Findings,
) -> Route {
    let place = |field: &str| format!("routes[{index}].{field}");
    if wire.host.is_empty() {
        findings.add(place("host"), "is empty");
    }
    if !wire.path_prefix.starts_with('/') || !wire.path_prefix.ends_with('/') {
        findings.add(place("pathPrefix"), "does not begin and end with a slash");
    }
    let kind = route_kind(&wire.kind, place("kind"), findings);
    let timeout = findings.time(place("timeoutMs"), wire.timeout_ms);
    if timeout.is_zero() {
        findings.add(place("timeoutMs"), "is 0");
    }
    let shares = shares(index, wire.service, wire.split, services, findings);
    Route {
        name: wire.name.unwrap_or_default(),
        host: wire.host.to_ascii_lowercase(),
        path_prefix: wire.path_prefix,
        kind,
        timeout,
        objective: wire.setpoint_ms.map_or(timeout, |ms| findings.time(place("setpointMs"), ms)),
        priority: wire.priority.unwrap_or(0.0).clamp(0.0, 9.0) as u8,
        shares,
        max_tries: wire.max_tries.unwrap_or(1.0).clamp(1.0, 100.0) as u32,
        pinned: wire.pinned.unwrap_or(false),
        resumable: wire.resumable.unwrap_or(false),
        pause: wire.gap_aim_ms.map(|ms| findings.time(place("gap_aim_ms"), ms)),
    }
}

fn route_kind(kind: &str, place: String, findings: &mut Findings) -> RouteKind {
    match kind {
        "idempotent" => RouteKind::Idempotent,
        "streaming" => RouteKind::Streaming,
        "non_idempotent" => RouteKind::NonIdempotent,
        other => {
            findings.add(place, format!("{other:?} is none of idempotent, non_idempotent, streaming"));
            RouteKind::NonIdempotent
        }
    }
}

fn shares(
    index: usize,
    service: Option<String>,
    split: Option<Vec<ShareWire>>,
    services: &HashMap<String, usize>,
    findings: &mut Findings,
) -> Vec<Share> {
    let mut service_index = |name: &str, place: String| match services.get(name) {
        Some(service) => *service,
        None => {
            findings.add(place, format!("there is no service {name:?}"));
            0
        }
    };
    let split = match (service, split) {
        (_, Some(split)) if !split.is_empty() => split,
        (Some(service), _) => {
            return vec![Share {
                service: service_index(&service, format!("routes[{index}].service")),
                weight: 1.0,
            }];
        }
        (None, _) => {
            findings.add(format!("routes[{index}].service"), "is missing, and there is no split");
            return Vec::new();
        }
    };
    let mut shares = Vec::with_capacity(split.len());
    for (share_index, share) in split.iter().enumerate() {
        let service =
            service_index(&share.service, format!("routes[{index}].split[{share_index}].service"));
        shares.push(Share { service, weight: share.weight });
    }
    check_weights(index, &shares, findings);
    shares
}

fn check_weights(index: usize, shares: &[Share], findings: &mut Findings) {
    for (share_index, share) in shares.iter().enumerate() {
        if !share.weight.is_finite() || share.weight < 0.0 {
            findings.add(
                format!("routes[{index}].split[{share_index}].weight"),
                format!("{} is no weight", share.weight),
            );
        }
    }
    if shares.iter().map(|share| share.weight).sum::<f64>() <= 0.0 {
        findings.add(format!("routes[{index}].split"), "the weights add up to 0");
    }
}

fn limits(wire: Option<LimitsWire>, findings: &mut Findings) -> Limits {
    let mut limits = Limits::default();
    let Some(wire) = wire else { return limits };
    let bytes =
        |given: Option<f64>, default: usize| given.filter(|n| *n >= 1.0).map_or(default, |n| n as usize);
    limits.header_bytes = bytes(wire.header_bytes, limits.header_bytes);
    limits.body_bytes = bytes(wire.body_bytes, limits.body_bytes);
    if let Some(ms) = wire.header_ms {
        limits.header_time = findings.time("limits.headerMs", ms);
    }
    if let Some(ms) = wire.idle_ms {
        limits.idle = findings.time("limits.idleMs", ms);
    }
    limits
}
