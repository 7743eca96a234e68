//! Risk assessment of a change, computed from both fleets, the current load and the current time.

use crate::shadow::shadowed;
use runtrack_balancer::DedupScope;
use runtrack_model::{
    Class, Endpoint, EndpointState, Fleet, Listener, Pool, Route, Semantics, Severity, Source,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Minimum number of ready endpoints for a pool to survive the failure of one.
const MIN_READY_ENDPOINTS: usize = 2;
/// Fractions of traffic, capacity or cold endpoints from which a risk is high, or medium.
const HIGH_FRACTION: f64 = 0.5;
const MEDIUM_FRACTION: f64 = 0.2;
/// Utilization of the remaining capacity from which queues form (medium), and from which it is exhausted (high).
const MEDIUM_UTILIZATION: f64 = 0.8;
const HIGH_UTILIZATION: f64 = 1.0;

/// A risk of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Risk {
    /// Kind and subject, such as `capacity-lost/pool.quotes`; `--accept-risk` takes this id.
    pub id: String,
    /// Severity; a high risk must be accepted explicitly.
    pub severity: Severity,
    /// Description of what may happen, with the figures.
    #[serde(rename = "what")]
    pub description: String,
    /// Figures by name: fractions from 0 to 1, weights, counts, requests per second, seconds.
    pub figures: BTreeMap<String, f64>,
}

/// Current load of a fleet. All values are optional. Missing values are not estimated: routes are then counted by
/// number, and endpoints by weight.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Requests per second of each route, by `LISTENER.ROUTE`.
    pub routes: BTreeMap<String, f64>,
    /// Load of each pool, by name.
    pub pools: BTreeMap<String, PoolLoad>,
}

/// Current load of a pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoolLoad {
    /// Requests per second.
    pub requests_per_s: Option<f64>,
    /// Requests per second that an endpoint of weight 1 can serve.
    pub capacity_per_s: Option<f64>,
    /// Maximum number of connections of one proxy.
    pub connections: Option<u32>,
    /// Maximum number of requests in flight of one proxy.
    pub requests: Option<u32>,
    /// Maximum number of requests of one proxy that wait for a connection.
    pub pending: Option<u32>,
}

/// Input of the risk assessment besides the two fleets.
#[derive(Clone, Copy, Debug)]
pub struct RiskContext<'a> {
    /// Current load.
    pub load: &'a Load,
    /// When the previous fleet was applied, Unix time in milliseconds; its drains began no earlier.
    pub applied_at_ms: u64,
    /// Current Unix time in milliseconds.
    pub now_ms: u64,
}

/// Risks of changing one fleet into another, highest severity first. The new fleet may raise severities, but not lower
/// them.
pub fn assess_risks(from: &Fleet, to: &Fleet, context: RiskContext) -> Vec<Risk> {
    let mut collector = RiskCollector { risks: Vec::new(), min_severities: &to.risks };
    for (name, pool) in &to.pools {
        if let Some(before) = from.pools.get(name) {
            pool_risks(&mut collector, name, (before, from), (pool, to), context);
        }
    }
    rule_risks(&mut collector, from, to);
    class_risks(&mut collector, from, to);
    listener_risks(&mut collector, from, to);
    traffic_risks(&mut collector, from, to, context.load);
    let mut risks = collector.risks;
    risks.sort_by(|a, b| b.severity.cmp(&a.severity).then_with(|| a.id.cmp(&b.id)));
    risks
}

struct RiskCollector<'a> {
    risks: Vec<Risk>,
    min_severities: &'a BTreeMap<String, Severity>,
}

impl RiskCollector<'_> {
    fn add(
        &mut self,
        kind: &str,
        subject: &str,
        severity: Severity,
        description: String,
        figures: &[(&str, f64)],
    ) {
        let min_severity = self.min_severities.get(kind).copied().unwrap_or(Severity::Low);
        self.risks.push(Risk {
            id: format!("{kind}/{subject}"),
            severity: severity.max(min_severity),
            description,
            figures: figures.iter().map(|&(name, value)| (name.to_owned(), value)).collect(),
        });
    }
}

fn severity_of_fraction(fraction: f64) -> Severity {
    match fraction {
        _ if fraction >= HIGH_FRACTION => Severity::High,
        _ if fraction >= MEDIUM_FRACTION => Severity::Medium,
        _ => Severity::Low,
    }
}

fn format_percent(fraction: f64) -> String {
    format!("{:.0}%", fraction * 100.0)
}

fn as_seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

// ---- pools ----

fn ready_endpoints(pool: &Pool) -> BTreeMap<&String, &Endpoint> {
    match &pool.source {
        Source::Static(list) => list.iter().filter(|(_, e)| e.state == EndpointState::Ready).collect(),
        Source::Platform(_) => BTreeMap::new(),
    }
}

fn total_weight<'e>(endpoints: impl IntoIterator<Item = &'e Endpoint>) -> f64 {
    endpoints.into_iter().map(|endpoint| endpoint.weight).sum()
}

fn pool_risks(
    collector: &mut RiskCollector,
    name: &str,
    (before, from): (&Pool, &Fleet),
    (after, to): (&Pool, &Fleet),
    context: RiskContext,
) {
    let subject = format!("pool.{name}");
    limit_risks(collector, name, &subject, before, after, context.load);
    let (Source::Static(old), Source::Static(new)) = (&before.source, &after.source) else {
        if before.source != after.source {
            let description = "its endpoints come from another source: the current ones remain in use until that source responds, \
                        and the endpoints that it will report are unknown";
            collector.add("pool-replaced", &subject, Severity::High, description.to_owned(), &[]);
        }
        return;
    };
    drain_risks(collector, name, (old, from), new, context);
    let (was, is) = (ready_endpoints(before), ready_endpoints(after));
    let (weight_before, weight_after) =
        (total_weight(was.values().copied()), total_weight(is.values().copied()));
    if !was.is_empty() && is.is_empty() {
        let description = format!(
            "all {} ready endpoints drain or are removed at once: every request would be refused",
            was.len()
        );
        collector.add(
            "pool-emptied",
            &subject,
            Severity::High,
            description,
            &[("ready_before", was.len() as f64)],
        );
        return;
    }
    if weight_after < weight_before {
        capacity_risk(collector, name, &subject, weight_before, weight_after, context.load);
    }
    let zones = |ready: &BTreeMap<&String, &Endpoint>| -> BTreeSet<String> {
        ready.values().map(|endpoint| endpoint.zone.clone()).collect()
    };
    let (zones_before, zones_after) = (zones(&was).len(), zones(&is).len());
    if was.len() >= MIN_READY_ENDPOINTS && is.len() < MIN_READY_ENDPOINTS {
        let description = format!(
            "{} of {} ready endpoints remains: the next failure empties the pool",
            is.len(),
            was.len()
        );
        let figures = [("ready_before", was.len() as f64), ("ready_after", is.len() as f64)];
        collector.add("pool-thin", &subject, Severity::High, description, &figures);
    } else if zones_before > 1 && zones_after == 1 {
        let description = format!("1 of {zones_before} zones remains: losing it empties the pool");
        let figures = [("zones_before", zones_before as f64), ("zones_after", 1.0)];
        collector.add("pool-thin", &subject, Severity::Medium, description, &figures);
    }
    cold_risk(collector, &subject, &was, &is, to, context.now_ms);
}

/// New and restarted endpoints start cold, but receive their full share of the pool's requests at once.
fn cold_risk(
    collector: &mut RiskCollector,
    subject: &str,
    was: &BTreeMap<&String, &Endpoint>,
    is: &BTreeMap<&String, &Endpoint>,
    to: &Fleet,
    now_ms: u64,
) {
    let warm_ms = to.rules.warm_within.as_millis() as u64;
    let old = |id: &String, endpoint: &Endpoint| {
        was.get(id)
            .is_some_and(|was| (was.address, was.started_ms) == (endpoint.address, endpoint.started_ms))
    };
    let is_warming_up = |endpoint: &Endpoint| endpoint.started_ms + warm_ms > now_ms;
    let cold: Vec<&Endpoint> = is
        .iter()
        .filter(|(id, e)| !old(id, e) && is_warming_up(e))
        .map(|(_, endpoint)| *endpoint)
        .collect();
    if cold.is_empty() || was.is_empty() || warm_ms == 0 {
        return;
    }
    let fraction = total_weight(cold.iter().copied()) / total_weight(is.values().copied());
    let capacity = 1.0 - fraction * (1.0 - to.rules.cold_share);
    let description = format!(
        "{} of {} ready endpoints start cold together: for {} s the pool has {} of its capacity",
        cold.len(),
        is.len(),
        to.rules.warm_within.as_secs(),
        format_percent(capacity)
    );
    let figures = [
        ("cold_part", fraction),
        ("capacity_part", capacity),
        ("warm_s", as_seconds(to.rules.warm_within)),
    ];
    collector.add("cold-together", subject, severity_of_fraction(fraction), description, &figures);
}

fn capacity_risk(
    collector: &mut RiskCollector,
    name: &str,
    subject: &str,
    weight_before: f64,
    weight_after: f64,
    load: &Load,
) {
    let fraction = 1.0 - weight_after / weight_before;
    let lost = format!(
        "{} of its ready weight is lost ({weight_before} to {weight_after})",
        format_percent(fraction)
    );
    let figures =
        [("lost_part", fraction), ("weight_before", weight_before), ("weight_after", weight_after)];
    let known = load.pools.get(name).and_then(|pool| Some((pool.requests_per_s?, pool.capacity_per_s?)));
    let Some((requests, capacity)) = known else {
        let description = format!("{lost}; its load is unknown");
        return collector.add(
            "capacity-lost",
            subject,
            severity_of_fraction(fraction),
            description,
            &figures,
        );
    };
    let utilization = requests / (capacity * weight_after);
    let severity = match utilization {
        _ if utilization >= HIGH_UTILIZATION => Severity::High,
        _ if utilization >= MEDIUM_UTILIZATION => Severity::Medium,
        _ => Severity::Low,
    };
    let description = format!(
        "{lost}: {requests} requests per second are {} of the remaining capacity",
        format_percent(utilization)
    );
    let figures: Vec<_> = figures.into_iter().chain([("use_after", utilization)]).collect();
    collector.add("capacity-lost", subject, severity, description, &figures);
}

fn drain_risks(
    collector: &mut RiskCollector,
    pool: &str,
    (old, from): (&BTreeMap<String, Endpoint>, &Fleet),
    new: &BTreeMap<String, Endpoint>,
    context: RiskContext,
) {
    let grace = from.rules.drain_grace;
    let drained = Duration::from_millis(context.now_ms.saturating_sub(context.applied_at_ms));
    for (id, endpoint) in old {
        let goes = new.get(id).is_none_or(|new| new.address != endpoint.address);
        if !goes {
            continue;
        }
        let subject = format!("pool.{pool}.endpoint.{id}");
        let figures = [("grace_s", as_seconds(grace)), ("drained_s", as_seconds(drained))];
        match endpoint.state {
            EndpointState::Ready => {
                let description =
                    "is removed without draining: its requests in flight may be aborted. Drain it first";
                collector.add(
                    "drain-short",
                    &subject,
                    Severity::Medium,
                    description.to_owned(),
                    &figures[..1],
                );
            }
            EndpointState::Draining if drained < grace => {
                let description = format!(
                    "is removed {:.1} s after its drain was applied; the grace period is {:.1} s",
                    as_seconds(drained),
                    as_seconds(grace)
                );
                collector.add("drain-short", &subject, Severity::Medium, description, &figures);
            }
            EndpointState::Draining => {}
        }
    }
}

fn limit_risks(
    collector: &mut RiskCollector,
    name: &str,
    subject: &str,
    before: &Pool,
    after: &Pool,
    load: &Load,
) {
    let pool_load = load.pools.get(name).cloned().unwrap_or_default();
    let limits = [
        ("max_connections", before.max_connections, after.max_connections, pool_load.connections),
        ("max_requests", before.max_requests, after.max_requests, pool_load.requests),
        ("max_pending", before.max_pending, after.max_pending, pool_load.pending),
    ];
    for (limit, was, is, used) in limits.into_iter().filter(|(_, was, is, _)| is < was) {
        let mut figures = vec![("before", f64::from(was)), ("after", f64::from(is))];
        let (severity, use_note) = match used {
            Some(used) => {
                figures.push(("used", f64::from(used)));
                let severity = if used > is { Severity::High } else { Severity::Low };
                (severity, format!("a proxy currently uses up to {used}"))
            }
            None if is <= was / 2 => (Severity::Medium, "its current use is unknown".to_owned()),
            None => (Severity::Low, "its current use is unknown".to_owned()),
        };
        let description = format!("{limit} is lowered from {was} to {is}; {use_note}");
        collector.add("limit-lowered", &format!("{subject}.{limit}"), severity, description, &figures);
    }
}

// ---- rules and classes ----

fn rule_risks(collector: &mut RiskCollector, from: &Fleet, to: &Fleet) {
    let (was, is) = (from.rules.drain_grace, to.rules.drain_grace);
    if is < was {
        let description = format!(
            "the grace period of drains is shortened from {was:?} to {is:?}: drains in progress end sooner"
        );
        let figures = [("before_s", as_seconds(was)), ("after_s", as_seconds(is))];
        collector.add("drain-short", "rules", Severity::Medium, description, &figures);
    }
    let (was, is) = (from.rules.warm_within, to.rules.warm_within);
    if is < was || to.rules.cold_share > from.rules.cold_share {
        let description = format!(
            "the warm-up is shortened ({was:?} to {is:?}, starting at {} of the capacity): cold endpoints receive more requests",
            format_percent(to.rules.cold_share)
        );
        let figures = [("warm_before_s", as_seconds(was)), ("warm_after_s", as_seconds(is))];
        collector.add("cold-together", "rules", Severity::Medium, description, &figures);
    }
}

/// Whether the second scope includes endpoints that the first does not.
fn is_wider(before: DedupScope, after: DedupScope) -> bool {
    let size = |group| match group {
        DedupScope::Cell => 0,
        DedupScope::Zone => 1,
        DedupScope::All => 2,
    };
    size(after) > size(before)
}

/// Why requests may now be executed more than once that could not be before; `None` if there is no such reason.
fn weaker_protection(before: &Class, after: &Class) -> Option<String> {
    use Semantics::{Keyed, Safe, Unsafe};
    match (&before.semantics, &after.semantics) {
        (Unsafe, Keyed { .. }) => {
            Some("requests that must not run twice may be retried with their key".to_owned())
        }
        (Unsafe, Safe) => Some("requests that must not run twice may be retried freely".to_owned()),
        (Keyed { .. }, Safe) => Some("retries may go to any endpoint, at any time".to_owned()),
        (Keyed { group: g, window: w }, Keyed { group, window }) => {
            let wide = is_wider(*g, *group)
                .then(|| "retries may go to endpoints that do not share keys".to_owned());
            let long =
                || (window > w).then(|| format!("retries may come {window:?} after the first, not {w:?}"));
            wide.or_else(long)
        }
        _ => None,
    }
}

fn class_risks(collector: &mut RiskCollector, from: &Fleet, to: &Fleet) {
    for (name, after) in &to.classes {
        let Some(before) = from.classes.get(name) else { continue };
        let subject = format!("class.{name}");
        if let Some(reason) = weaker_protection(before, after) {
            collector.add("protection-lost", &subject, Severity::High, reason, &[]);
        }
        let times = [
            ("deadline", before.deadline, after.deadline),
            ("objective", before.objective, after.objective),
        ];
        for (field, was, is) in times.into_iter().filter(|(_, was, is)| is < was) {
            let severity = if is * 2 <= was { Severity::Medium } else { Severity::Low };
            let description = format!(
                "its {field} is shortened from {was:?} to {is:?}: responses that were in time may be late"
            );
            let figures = [("before_s", as_seconds(was)), ("after_s", as_seconds(is))];
            collector.add("class-time", &format!("{subject}.{field}"), severity, description, &figures);
        }
    }
}

// ---- listeners and routes ----

fn listener_risks(collector: &mut RiskCollector, from: &Fleet, to: &Fleet) {
    for (name, before) in &from.listeners {
        let subject = format!("listener.{name}");
        match to.listeners.get(name) {
            None => {
                let description = format!(
                    "it is removed with its {} routes: its clients are refused",
                    before.routes.len()
                );
                collector.add(
                    "listener-gone",
                    &subject,
                    Severity::High,
                    description,
                    &[("routes", before.routes.len() as f64)],
                );
            }
            Some(after) if after.address != before.address || (before.api && !after.api) => {
                let description =
                    "it is reached differently: clients that use the old address are refused".to_owned();
                collector.add("listener-gone", &subject, Severity::High, description, &[]);
            }
            Some(_) => {}
        }
    }
    for (name, listener) in &to.listeners {
        let before = from.listeners.get(name);
        let known = before.map(|before| shadowed(&before.routes)).unwrap_or_default();
        let existed =
            |route: &str| before.is_some_and(|before| before.routes.iter().any(|r| r.name == route));
        for (route, by) in shadowed(&listener.routes) {
            if !known.contains_key(route) {
                let severity = if existed(route) { Severity::High } else { Severity::Medium };
                let description =
                    format!("it can never match: {} before it matches all of its requests", by.join(", "));
                collector.add(
                    "route-shadowed",
                    &format!("listener.{name}.route.{route}"),
                    severity,
                    description,
                    &[],
                );
            }
        }
        for (route, old) in matching_routes(before, listener) {
            let classes = (from.classes.get(&old.class), to.classes.get(&route.class));
            if let (Some(was), Some(is)) = classes
                && old.class != route.class
                && let Some(reason) = weaker_protection(was, is)
            {
                let description = format!("its class is {} and was {}: {reason}", route.class, old.class);
                let subject = format!("listener.{name}.route.{}", route.name);
                collector.add("protection-lost", &subject, Severity::High, description, &[]);
            }
        }
    }
}

/// Pairs of the new and the old version of each route that exists in both.
fn matching_routes<'r>(before: Option<&'r Listener>, after: &'r Listener) -> Vec<(&'r Route, &'r Route)> {
    let old: BTreeMap<&str, &Route> =
        before.into_iter().flat_map(|l| &l.routes).map(|route| (route.name.as_str(), route)).collect();
    let pair = |route: &'r Route| Some((route, *old.get(route.name.as_str())?));
    after.routes.iter().filter_map(pair).collect()
}

/// Fraction of a route's requests that changes its destination: half the sum of the differences of the shares.
fn moved_fraction(before: &Route, after: Option<&Route>) -> f64 {
    let Some(after) = after else { return 1.0 };
    if (&before.hosts, &before.prefix, &before.class) != (&after.hosts, &after.prefix, &after.class) {
        return 1.0;
    }
    let shares = |route: &Route| -> BTreeMap<String, f64> {
        let sum: u64 = route.to.iter().map(|share| u64::from(share.weight)).sum();
        route.to.iter().map(|s| (s.pool.clone(), f64::from(s.weight) / sum.max(1) as f64)).collect()
    };
    let (was, is) = (shares(before), shares(after));
    let pools: BTreeSet<&String> = was.keys().chain(is.keys()).collect();
    let fraction = |shares: &BTreeMap<String, f64>, pool| shares.get(pool).copied().unwrap_or(0.0);
    pools.into_iter().map(|pool| (fraction(&was, pool) - fraction(&is, pool)).abs()).sum::<f64>() / 2.0
}

fn traffic_risks(collector: &mut RiskCollector, from: &Fleet, to: &Fleet, load: &Load) {
    // By class: its requests, those that change their destination, and the routes concerned.
    let mut classes: BTreeMap<&str, (f64, f64, Vec<String>)> = BTreeMap::new();
    for (listener, before) in &from.listeners {
        let after: BTreeMap<&str, &Route> = (to.listeners.get(listener).into_iter())
            .flat_map(|l| &l.routes)
            .map(|route| (route.name.as_str(), route))
            .collect();
        for route in &before.routes {
            let name = format!("{listener}.{}", route.name);
            let requests = match load.routes.is_empty() {
                true => 1.0,
                false => load.routes.get(&name).copied().unwrap_or(0.0),
            };
            let fraction = moved_fraction(route, after.get(route.name.as_str()).copied());
            let class = classes.entry(&route.class).or_default();
            class.0 += requests;
            class.1 += requests * fraction;
            if fraction > 0.0 {
                class.2.push(name);
            }
        }
    }
    for (class, (all, moved, routes)) in classes {
        if routes.is_empty() {
            continue;
        }
        let fraction = if all > 0.0 { moved / all } else { 0.0 };
        let by = if load.routes.is_empty() { "routes (no load given)" } else { "requests" };
        let shown: Vec<&str> = routes.iter().take(3).map(String::as_str).collect();
        let more = routes.len().saturating_sub(shown.len());
        let more = if more > 0 { format!(" and {more} more") } else { String::new() };
        let description = format!(
            "{} of the class's {by} change their destination: routes {}{more}",
            format_percent(fraction),
            shown.join(", ")
        );
        let figures = [("moved_part", fraction), ("routes", routes.len() as f64)];
        collector.add(
            "traffic-moved",
            &format!("class.{class}"),
            severity_of_fraction(fraction),
            description,
            &figures,
        );
    }
}
