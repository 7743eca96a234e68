//! Validation of a complete fleet configuration, independent of the format that it was read from.

use crate::fleet::{Fleet, Semantics, Source};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Names appear in every message about their object, so their length is bounded.
const MAX_NAME_BYTES: usize = 128;
/// A longer duration is assumed to be a mistake in the unit.
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);

/// Kinds of risks that a change can have; the keys allowed in `[risks]`.
pub const RISK_KINDS: [&str; 12] = [
    "capacity-lost",
    "class-time",
    "cold-together",
    "drain-short",
    "limit-lowered",
    "listener-gone",
    "pool-emptied",
    "pool-replaced",
    "pool-thin",
    "protection-lost",
    "route-shadowed",
    "traffic-moved",
];

/// An invalid value and its path, such as `pool.exchange.endpoint.x1.weight`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {message}")]
pub struct ValidationError {
    /// Path of the invalid value.
    pub path: String,
    /// What is wrong and how to correct it.
    pub message: String,
}

struct ErrorList(Vec<ValidationError>);

impl ErrorList {
    fn check(&mut self, holds: bool, path: impl Into<String>, what: impl FnOnce() -> String) {
        if !holds {
            self.0.push(ValidationError { path: path.into(), message: what() });
        }
    }
}

impl Fleet {
    /// Validates the configuration. Returns all errors in the order of the sections; empty if it is valid.
    pub fn validation_errors(&self) -> Vec<ValidationError> {
        let mut errors = ErrorList(Vec::new());
        self.check_rules(&mut errors);
        self.check_classes(&mut errors);
        self.check_pools(&mut errors);
        self.check_listeners(&mut errors);
        let known = RISK_KINDS.map(str::to_owned);
        for kind in self.risks.keys() {
            errors.check(known.contains(kind), format!("risks.{kind}"), || {
                format!("there is no risk `{kind}`{}", suggest(kind, &known))
            });
        }
        errors.0
    }

    fn check_rules(&self, errors: &mut ErrorList) {
        let rules = &self.rules;
        let range = |least: f64, most: f64| move || format!("must lie between {least} and {most}");
        errors.check((0.01..=1.0).contains(&rules.cold_share), "rules.cold_share", range(0.01, 1.0));
        errors.check((0.0..=1.0).contains(&rules.retry_budget), "rules.retry_budget", range(0.0, 1.0));
        errors.check(
            (1.0..=1000.0).contains(&rules.fall_multiple),
            "rules.fall_multiple",
            range(1.0, 1000.0),
        );
        errors.check(rules.warm_within <= MAX_DURATION, "rules.warm_within", longer_than_a_day);
        errors.check(
            rules.drain_grace >= Duration::from_millis(100) && rules.drain_grace <= MAX_DURATION,
            "rules.drain_grace",
            || "must lie between 100 ms, the time that a push to all proxies needs, and a day".to_owned(),
        );
        for (from, steps) in &self.zones {
            for to in steps.keys().filter(|to| !self.zones.contains_key(*to)) {
                let what = || format!("zone `{to}` is not declared: add it to [zones]");
                errors.check(false, format!("zones.{from}.{to}"), what);
            }
        }
    }

    fn check_classes(&self, errors: &mut ErrorList) {
        for (name, class) in &self.classes {
            let at = |field: &str| format!("class.{name}.{field}");
            check_name(errors, name, &format!("class.{name}"));
            errors
                .check(!class.objective.is_zero(), at("objective"), || "must be longer than 0".to_owned());
            errors.check(class.deadline <= MAX_DURATION, at("deadline"), longer_than_a_day);
            errors.check(class.objective <= class.deadline, at("objective"), || {
                format!("{:?} is longer than the deadline, {:?}", class.objective, class.deadline)
            });
            errors.check((1..=10).contains(&class.attempts), at("attempts"), || {
                format!("{} is out of range: 1 to 10, the first one included", class.attempts)
            });
            if let Semantics::Keyed { window, .. } = class.semantics {
                errors.check(!window.is_zero(), at("window"), || "must be longer than 0".to_owned());
            }
        }
    }

    fn check_pools(&self, errors: &mut ErrorList) {
        for (name, pool) in &self.pools {
            let at = |field: &str| format!("pool.{name}.{field}");
            check_name(errors, name, &format!("pool.{name}"));
            let whole = (0.0..=1.0).contains(&pool.panic_threshold);
            errors.check(whole, at("panic_threshold"), || "must lie between 0 and 1".to_owned());
            errors.check(pool.panic_hold <= MAX_DURATION, at("panic_hold"), longer_than_a_day);
            let connect =
                !pool.connect_timeout.is_zero() && pool.connect_timeout <= Duration::from_secs(60);
            errors.check(connect, at("connect_timeout"), || "must lie between 0 and a minute".to_owned());
            let limits = [
                ("max_connections", pool.max_connections),
                ("max_requests", pool.max_requests),
                ("max_pending", pool.max_pending),
            ];
            for (field, limit) in limits {
                errors
                    .check(limit > 0, at(field), || "0 would refuse every request: at least 1".to_owned());
            }
            if pool.nearest_first && self.zones.is_empty() {
                let what = || "there are no distances to go by: declare [zones]".to_owned();
                errors.check(false, at("nearest_first"), what);
            }
            let Source::Static(endpoints) = &pool.source else { continue };
            let mut taken = BTreeMap::new();
            for (id, endpoint) in endpoints {
                let at = |field: &str| format!("pool.{name}.endpoint.{id}.{field}");
                check_name(errors, id, &format!("pool.{name}.endpoint.{id}"));
                let weight = endpoint.weight > 0.0 && endpoint.weight <= 1000.0;
                errors.check(weight, at("weight"), || {
                    format!("{} is out of range: above 0, at most 1000", endpoint.weight)
                });
                let known = self.zones.is_empty()
                    || endpoint.zone.is_empty()
                    || self.zones.contains_key(&endpoint.zone);
                errors.check(known, at("zone"), || {
                    format!("zone `{}` is not declared: add it to [zones]", endpoint.zone)
                });
                errors
                    .check(endpoint.address.port() != 0, at("address"), || "port 0 is no port".to_owned());
                if let Some(other) = taken.insert(endpoint.address, id) {
                    let what = || format!("{} is endpoint `{other}`'s already", endpoint.address);
                    errors.check(false, at("address"), what);
                }
            }
        }
    }

    fn check_listeners(&self, errors: &mut ErrorList) {
        let mut taken = BTreeMap::new();
        for (name, listener) in &self.listeners {
            let at = |field: &str| format!("listener.{name}.{field}");
            check_name(errors, name, &format!("listener.{name}"));
            errors.check(listener.address.is_some() || listener.api, format!("listener.{name}"), || {
                "nobody can reach it: give it an `address`, `api = true`, or both".to_owned()
            });
            if let Some(address) = listener.address {
                errors.check(address.port() != 0, at("address"), || "port 0 is no port".to_owned());
                if let Some(other) = taken.insert(address, name) {
                    let what = || format!("{address} is listener `{other}`'s already");
                    errors.check(false, at("address"), what);
                }
            }
            errors.check(!listener.routes.is_empty(), format!("listener.{name}"), || {
                "has no route: it would answer every request 404".to_owned()
            });
            let mut names = BTreeSet::new();
            let mut matches = BTreeMap::new();
            for route in &listener.routes {
                let at = |field: &str| format!("listener.{name}.route.{}.{field}", route.name);
                let here = format!("listener.{name}.route.{}", route.name);
                check_name(errors, &route.name, &here);
                errors.check(names.insert(&route.name), here.clone(), || {
                    "the listener has another route of this name".to_owned()
                });
                errors.check(route.prefix.starts_with('/'), at("prefix"), || {
                    format!("`{}` does not begin with `/`", route.prefix)
                });
                errors.check(!route.hosts.is_empty(), at("hosts"), || {
                    "names no host: use \"*\" for all".to_owned()
                });
                for host in &route.hosts {
                    errors.check(is_valid_host(host), at("hosts"), || {
                        format!("`{host}` is no host: `name`, `*.suffix`, `prefix.*` or `*`")
                    });
                    if let Some(other) = matches.insert((host, &route.prefix), &route.name) {
                        let what = || format!("route `{other}` before it matches the same host and prefix");
                        errors.check(other == &route.name, here.clone(), what);
                    }
                }
                errors.check(self.classes.contains_key(&route.class), at("class"), || {
                    format!(
                        "there is no class `{}`{}",
                        route.class,
                        suggest(&route.class, self.classes.keys())
                    )
                });
                errors.check(!route.to.is_empty(), here.clone(), || "goes to no pool".to_owned());
                let sum: u64 = route.to.iter().map(|share| u64::from(share.weight)).sum();
                errors.check(route.to.is_empty() || sum > 0, at("pools"), || {
                    "the weights sum to 0: no pool would be sent to".to_owned()
                });
                errors.check(sum <= u64::from(u32::MAX), at("pools"), || {
                    format!("the weights sum to {sum}; proxies take at most {}", u32::MAX)
                });
                let mut seen = BTreeSet::new();
                for share in &route.to {
                    errors.check(self.pools.contains_key(&share.pool), at("pools"), || {
                        format!(
                            "there is no pool `{}`{}",
                            share.pool,
                            suggest(&share.pool, self.pools.keys())
                        )
                    });
                    errors.check(seen.insert(&share.pool), at("pools"), || {
                        format!("names pool `{}` twice", share.pool)
                    });
                }
            }
        }
    }
}

fn longer_than_a_day() -> String {
    "is longer than a day".to_owned()
}

fn check_name(errors: &mut ErrorList, name: &str, path: &str) {
    let good = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    let fits = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(good);
    errors.check(fits, path, || {
        format!("`{name}` is no name: 1 to {MAX_NAME_BYTES} letters, digits, `.`, `_` and `-`")
    });
}

fn is_valid_host(host: &str) -> bool {
    let body = match (host.strip_prefix("*."), host.strip_suffix(".*")) {
        _ if host == "*" => return true,
        (Some(rest), _) | (None, Some(rest)) => rest,
        (None, None) => host,
    };
    !body.is_empty() && body.chars().all(|c| c.is_ascii_alphanumeric() || "._-:".contains(c))
}

/// A suffix `: did you mean ...?` if a known name is within two edits, else empty.
pub(crate) fn suggest<'a>(name: &str, known: impl IntoIterator<Item = &'a String>) -> String {
    let close = known.into_iter().map(|k| (edit_distance(name, k), k)).min();
    match close {
        Some((steps, close)) if steps <= 2 => format!(": did you mean `{close}`?"),
        _ => String::new(),
    }
}

/// Levenshtein distance.
fn edit_distance(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.chars().count()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut corner = std::mem::replace(&mut row[0], i + 1);
        for (j, y) in b.chars().enumerate() {
            let step = (corner + usize::from(x != y)).min(row[j] + 1).min(row[j + 1] + 1);
            corner = std::mem::replace(&mut row[j + 1], step);
        }
    }
    row[row.len() - 1]
}
