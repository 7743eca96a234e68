//! What a change risks, computed from both fleets, the load that they carry and the clock.

use crate::shadow::shadowed;
use runtrack_balancer::DedupScope;
use runtrack_model::{
    Class, Endpoint, EndpointState, Fleet, Listener, Pool, Route, Semantics, Severity, Source,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Ready endpoints under which a pool has nothing to fall back on.
const POOL_LEAST: usize = 2;
/// Parts of something (traffic, capacity, a pool that is cold) that weigh high, or medium.
const PART_HIGH: f64 = 0.5;
const PART_MEDIUM: f64 = 0.2;
/// Use of what is left above which queues form: high where it is full.
const USE_MEDIUM: f64 = 0.8;
const USE_HIGH: f64 = 1.0;

/// One thing that a change risks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Risk {
    /// Its kind and the thing, such as `capacity-lost/pool.quotes`: what `--accept-risk` takes.
    pub id: String,
    /// Its weight.
    pub severity: Severity,
    /// What may happen, with the figures.
    pub what: String,
    /// The figures alone: parts from 0 to 1, weights, requests a second, seconds.
    pub figures: BTreeMap<String, f64>,
}

/// What a fleet carries now. All of it may be left out; what is not known is not guessed, and routes and
/// endpoints are then counted by number and weight.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Requests a second of each route, by `LISTENER.ROUTE`.
    pub routes: BTreeMap<String, f64>,
    /// By pool.
    pub pools: BTreeMap<String, PoolLoad>,
}

/// What a pool carries now.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoolLoad {
    /// Requests a second.
    pub requests_per_s: Option<f64>,
    /// Requests a second that an endpoint of weight 1 can serve.
    pub capacity_per_s: Option<f64>,
    /// Most connections of one proxy.
    pub connections: Option<u32>,
    /// Most requests in flight of one proxy.
    pub requests: Option<u32>,
    /// Most requests of one proxy that wait for a connection.
    pub pending: Option<u32>,
}

/// What is known beside the two fleets.
#[derive(Clone, Copy, Debug)]
pub struct RiskContext<'a> {
    /// The load.
    pub load: &'a Load,
    /// When the fleet before was applied, Unix time in milliseconds: its drains are no older.
    pub applied_at_ms: u64,
    /// Now, likewise.
    pub now_ms: u64,
}

/// The risks of going from one fleet to the other, the heaviest first. Severities that the new fleet raises are
/// raised; none is lowered.
pub fn assess_risks(from: &Fleet, to: &Fleet, seen: RiskContext) -> Vec<Risk> {
    let mut found = Found { risks: Vec::new(), raised: &to.risks };
    for (name, pool) in &to.pools {
        if let Some(before) = from.pools.get(name) {
            pool_risks(&mut found, name, (before, from), (pool, to), seen);
        }
    }
    rule_risks(&mut found, from, to);
    class_risks(&mut found, from, to);
    listener_risks(&mut found, from, to);
    traffic_risks(&mut found, from, to, seen.load);
    let mut risks = found.risks;
    risks.sort_by(|a, b| b.severity.cmp(&a.severity).then_with(|| a.id.cmp(&b.id)));
    risks
}

struct Found<'a> {
    risks: Vec<Risk>,
    raised: &'a BTreeMap<String, Severity>,
}

impl Found<'_> {
    fn add(&mut self, kind: &str, of: &str, severity: Severity, what: String, figures: &[(&str, f64)]) {
        let least = self.raised.get(kind).copied().unwrap_or(Severity::Low);
        self.risks.push(Risk {
            id: format!("{kind}/{of}"),
            severity: severity.max(least),
            what,
            figures: figures.iter().map(|&(name, value)| (name.to_owned(), value)).collect(),
        });
    }
}

fn by_part(part: f64) -> Severity {
    match part {
        _ if part >= PART_HIGH => Severity::High,
        _ if part >= PART_MEDIUM => Severity::Medium,
        _ => Severity::Low,
    }
}

fn percent(part: f64) -> String {
    format!("{:.0}%", part * 100.0)
}

fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

// ---- pools ----

fn ready(pool: &Pool) -> BTreeMap<&String, &Endpoint> {
    match &pool.source {
        Source::Static(list) => list.iter().filter(|(_, e)| e.state == EndpointState::Ready).collect(),
        Source::Platform(_) => BTreeMap::new(),
    }
}

fn weight<'e>(endpoints: impl IntoIterator<Item = &'e Endpoint>) -> f64 {
    endpoints.into_iter().map(|endpoint| endpoint.weight).sum()
}

fn pool_risks(
    found: &mut Found,
    name: &str,
    (before, from): (&Pool, &Fleet),
    (after, to): (&Pool, &Fleet),
    seen: RiskContext,
) {
    let of = format!("pool.{name}");
    limit_risks(found, name, &of, before, after, seen.load);
    let (Source::Static(old), Source::Static(new)) = (&before.source, &after.source) else {
        if before.source != after.source {
            let what = "its endpoints come from another source: those known now stand until that one answers, \
                        and nothing is known of what it will name";
            found.add("pool-replaced", &of, Severity::High, what.to_owned(), &[]);
        }
        return;
    };
    drain_risks(found, name, (old, from), new, seen);
    let (was, is) = (ready(before), ready(after));
    let (had, has) = (weight(was.values().copied()), weight(is.values().copied()));
    if !was.is_empty() && is.is_empty() {
        let what = format!(
            "all {} ready endpoints drain or go at once: every request would be refused",
            was.len()
        );
        found.add("pool-emptied", &of, Severity::High, what, &[("ready_before", was.len() as f64)]);
        return;
    }
    if has < had {
        capacity_risk(found, name, &of, had, has, seen.load);
    }
    let zones = |ready: &BTreeMap<&String, &Endpoint>| -> BTreeSet<String> {
        ready.values().map(|endpoint| endpoint.zone.clone()).collect()
    };
    let (zones_had, zones_has) = (zones(&was).len(), zones(&is).len());
    if was.len() >= POOL_LEAST && is.len() < POOL_LEAST {
        let what = format!(
            "{} ready endpoint is left of {}: the next failure empties the pool",
            is.len(),
            was.len()
        );
        let figures = [("ready_before", was.len() as f64), ("ready_after", is.len() as f64)];
        found.add("pool-thin", &of, Severity::High, what, &figures);
    } else if zones_had > 1 && zones_has == 1 {
        let what = format!("1 zone is left of {zones_had}: losing it empties the pool");
        let figures = [("zones_before", zones_had as f64), ("zones_after", 1.0)];
        found.add("pool-thin", &of, Severity::Medium, what, &figures);
    }
    cold_risk(found, &of, &was, &is, to, seen.now_ms);
}

/// Rule four: what is new or restarted starts cold, and takes its share of the pool's requests at once.
fn cold_risk(
    found: &mut Found,
    of: &str,
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
    let young = |endpoint: &Endpoint| endpoint.started_ms + warm_ms > now_ms;
    let cold: Vec<&Endpoint> =
        is.iter().filter(|(id, e)| !old(id, e) && young(e)).map(|(_, endpoint)| *endpoint).collect();
    if cold.is_empty() || was.is_empty() || warm_ms == 0 {
        return;
    }
    let part = weight(cold.iter().copied()) / weight(is.values().copied());
    let capacity = 1.0 - part * (1.0 - to.rules.cold_share);
    let what = format!(
        "{} of {} ready endpoints start cold together: for {} s the pool has {} of its capacity",
        cold.len(),
        is.len(),
        to.rules.warm_within.as_secs(),
        percent(capacity)
    );
    let figures =
        [("cold_part", part), ("capacity_part", capacity), ("warm_s", seconds(to.rules.warm_within))];
    found.add("cold-together", of, by_part(part), what, &figures);
}

fn capacity_risk(found: &mut Found, name: &str, of: &str, had: f64, has: f64, load: &Load) {
    let part = 1.0 - has / had;
    let lost = format!("{} of its ready weight goes ({had} to {has})", percent(part));
    let figures = [("lost_part", part), ("weight_before", had), ("weight_after", has)];
    let known = load.pools.get(name).and_then(|pool| Some((pool.requests_per_s?, pool.capacity_per_s?)));
    let Some((requests, capacity)) = known else {
        let what = format!("{lost}; its load is not known");
        return found.add("capacity-lost", of, by_part(part), what, &figures);
    };
    let used = requests / (capacity * has);
    let severity = match used {
        _ if used >= USE_HIGH => Severity::High,
        _ if used >= USE_MEDIUM => Severity::Medium,
        _ => Severity::Low,
    };
    let what = format!("{lost}: {requests} requests a second are {} of what is left", percent(used));
    let figures: Vec<_> = figures.into_iter().chain([("use_after", used)]).collect();
    found.add("capacity-lost", of, severity, what, &figures);
}

fn drain_risks(
    found: &mut Found,
    pool: &str,
    (old, from): (&BTreeMap<String, Endpoint>, &Fleet),
    new: &BTreeMap<String, Endpoint>,
    seen: RiskContext,
) {
    let grace = from.rules.drain_grace;
    let drained = Duration::from_millis(seen.now_ms.saturating_sub(seen.applied_at_ms));
    for (id, endpoint) in old {
        let goes = new.get(id).is_none_or(|new| new.address != endpoint.address);
        if !goes {
            continue;
        }
        let of = format!("pool.{pool}.endpoint.{id}");
        let figures = [("grace_s", seconds(grace)), ("drained_s", seconds(drained))];
        match endpoint.state {
            EndpointState::Ready => {
                let what =
                    "goes without having drained: requests that it holds may be cut off. Drain it first";
                found.add("drain-short", &of, Severity::Medium, what.to_owned(), &figures[..1]);
            }
            EndpointState::Draining if drained < grace => {
                let what = format!(
                    "goes {:.1} s after its drain was applied, {:.1} s is the grace",
                    seconds(drained),
                    seconds(grace)
                );
                found.add("drain-short", &of, Severity::Medium, what, &figures);
            }
            EndpointState::Draining => {}
        }
    }
}

fn limit_risks(found: &mut Found, name: &str, of: &str, before: &Pool, after: &Pool, load: &Load) {
    let seen = load.pools.get(name).cloned().unwrap_or_default();
    let limits = [
        ("max_connections", before.max_connections, after.max_connections, seen.connections),
        ("max_requests", before.max_requests, after.max_requests, seen.requests),
        ("max_pending", before.max_pending, after.max_pending, seen.pending),
    ];
    for (limit, was, is, used) in limits.into_iter().filter(|(_, was, is, _)| is < was) {
        let mut figures = vec![("before", f64::from(was)), ("after", f64::from(is))];
        let (severity, present) = match used {
            Some(used) => {
                figures.push(("used", f64::from(used)));
                let severity = if used > is { Severity::High } else { Severity::Low };
                (severity, format!("a proxy uses up to {used} now"))
            }
            None if is <= was / 2 => (Severity::Medium, "its use is not known".to_owned()),
            None => (Severity::Low, "its use is not known".to_owned()),
        };
        let what = format!("{limit} falls from {was} to {is}; {present}");
        found.add("limit-lowered", &format!("{of}.{limit}"), severity, what, &figures);
    }
}

// ---- rules and classes ----

fn rule_risks(found: &mut Found, from: &Fleet, to: &Fleet) {
    let (was, is) = (from.rules.drain_grace, to.rules.drain_grace);
    if is < was {
        let what = format!("the grace of drains falls from {was:?} to {is:?}: those under way end sooner");
        let figures = [("before_s", seconds(was)), ("after_s", seconds(is))];
        found.add("drain-short", "rules", Severity::Medium, what, &figures);
    }
    let (was, is) = (from.rules.warm_within, to.rules.warm_within);
    if is < was || to.rules.cold_share > from.rules.cold_share {
        let what = format!(
            "endpoints count as warm sooner ({was:?} to {is:?}, from {} of their capacity): cold ones get more",
            percent(to.rules.cold_share)
        );
        let figures = [("warm_before_s", seconds(was)), ("warm_after_s", seconds(is))];
        found.add("cold-together", "rules", Severity::Medium, what, &figures);
    }
}

/// Whether the second group takes in endpoints that the first does not.
fn wider(before: DedupScope, after: DedupScope) -> bool {
    let size = |group| match group {
        DedupScope::Cell => 0,
        DedupScope::Zone => 1,
        DedupScope::All => 2,
    };
    size(after) > size(before)
}

/// Why requests may run again that might not before, if so.
fn weaker(before: &Class, after: &Class) -> Option<String> {
    use Semantics::{Keyed, Safe, Unsafe};
    match (&before.semantics, &after.semantics) {
        (Unsafe, Keyed { .. }) => {
            Some("what must never run twice may be sent again with its key".to_owned())
        }
        (Unsafe, Safe) => Some("what must never run twice may be sent again at will".to_owned()),
        (Keyed { .. }, Safe) => Some("repeats may go to any endpoint, at any time".to_owned()),
        (Keyed { group: g, window: w }, Keyed { group, window }) => {
            let wide =
                wider(*g, *group).then(|| "repeats may go to endpoints that do not share keys".to_owned());
            let long =
                || (window > w).then(|| format!("repeats may come {window:?} after the first, not {w:?}"));
            wide.or_else(long)
        }
        _ => None,
    }
}

fn class_risks(found: &mut Found, from: &Fleet, to: &Fleet) {
    for (name, after) in &to.classes {
        let Some(before) = from.classes.get(name) else { continue };
        let of = format!("class.{name}");
        if let Some(why) = weaker(before, after) {
            found.add("protection-lost", &of, Severity::High, why, &[]);
        }
        let times = [
            ("deadline", before.deadline, after.deadline),
            ("objective", before.objective, after.objective),
        ];
        for (field, was, is) in times.into_iter().filter(|(_, was, is)| is < was) {
            let severity = if is * 2 <= was { Severity::Medium } else { Severity::Low };
            let what = format!(
                "its {field} falls from {was:?} to {is:?}: answers that came in time may come late"
            );
            let figures = [("before_s", seconds(was)), ("after_s", seconds(is))];
            found.add("class-time", &format!("{of}.{field}"), severity, what, &figures);
        }
    }
}

// ---- listeners and routes ----

fn listener_risks(found: &mut Found, from: &Fleet, to: &Fleet) {
    for (name, before) in &from.listeners {
        let of = format!("listener.{name}");
        match to.listeners.get(name) {
            None => {
                let what =
                    format!("it goes with its {} routes: whoever uses it is refused", before.routes.len());
                found.add(
                    "listener-gone",
                    &of,
                    Severity::High,
                    what,
                    &[("routes", before.routes.len() as f64)],
                );
            }
            Some(after) if after.address != before.address || (before.api && !after.api) => {
                let what =
                    "it is reached elsewhere: clients that know the old place are refused".to_owned();
                found.add("listener-gone", &of, Severity::High, what, &[]);
            }
            Some(_) => {}
        }
    }
    for (name, listener) in &to.listeners {
        let before = from.listeners.get(name);
        let known = before.map(|before| shadowed(&before.routes)).unwrap_or_default();
        let lived =
            |route: &str| before.is_some_and(|before| before.routes.iter().any(|r| r.name == route));
        for (route, by) in shadowed(&listener.routes) {
            if !known.contains_key(route) {
                let severity = if lived(route) { Severity::High } else { Severity::Medium };
                let what =
                    format!("it can never match: {} before it takes all that it would", by.join(", "));
                found.add("route-shadowed", &format!("listener.{name}.route.{route}"), severity, what, &[]);
            }
        }
        for (route, old) in pairs(before, listener) {
            let classes = (from.classes.get(&old.class), to.classes.get(&route.class));
            if let (Some(was), Some(is)) = classes
                && old.class != route.class
                && let Some(why) = weaker(was, is)
            {
                let what = format!("its class is {} and was {}: {why}", route.class, old.class);
                let of = format!("listener.{name}.route.{}", route.name);
                found.add("protection-lost", &of, Severity::High, what, &[]);
            }
        }
    }
}

/// Routes that are there before and after, the new ones first.
fn pairs<'r>(before: Option<&'r Listener>, after: &'r Listener) -> Vec<(&'r Route, &'r Route)> {
    let old: BTreeMap<&str, &Route> =
        before.into_iter().flat_map(|l| &l.routes).map(|route| (route.name.as_str(), route)).collect();
    let pair = |route: &'r Route| Some((route, *old.get(route.name.as_str())?));
    after.routes.iter().filter_map(pair).collect()
}

/// The part of a route's requests that goes elsewhere than before: half the sum of the shares' differences.
fn moved(before: &Route, after: Option<&Route>) -> f64 {
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
    let part = |shares: &BTreeMap<String, f64>, pool| shares.get(pool).copied().unwrap_or(0.0);
    pools.into_iter().map(|pool| (part(&was, pool) - part(&is, pool)).abs()).sum::<f64>() / 2.0
}

fn traffic_risks(found: &mut Found, from: &Fleet, to: &Fleet, load: &Load) {
    // By class: its requests, those that go elsewhere, and the routes that they come by.
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
            let part = moved(route, after.get(route.name.as_str()).copied());
            let class = classes.entry(&route.class).or_default();
            class.0 += requests;
            class.1 += requests * part;
            if part > 0.0 {
                class.2.push(name);
            }
        }
    }
    for (class, (all, elsewhere, routes)) in classes {
        if routes.is_empty() {
            continue;
        }
        let part = if all > 0.0 { elsewhere / all } else { 0.0 };
        let by = if load.routes.is_empty() { "routes, as no load is known" } else { "requests" };
        let shown: Vec<&str> = routes.iter().take(3).map(String::as_str).collect();
        let more = routes.len().saturating_sub(shown.len());
        let more = if more > 0 { format!(" and {more} more") } else { String::new() };
        let what =
            format!("{} of the class's {by}, go elsewhere: by {}{more}", percent(part), shown.join(", "));
        let figures = [("moved_part", part), ("routes", routes.len() as f64)];
        found.add("traffic-moved", &format!("class.{class}"), by_part(part), what, &figures);
    }
}
