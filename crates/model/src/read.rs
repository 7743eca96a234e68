//! Reads a fleet configuration from TOML.

use crate::fleet::*;
use crate::problem::Diagnostics;
use crate::toml::{SourceText, Table};
use runtrack_balancer::DedupScope;
use std::collections::BTreeMap;
use std::time::Duration;
use toml::de::DeTable;

impl Fleet {
    /// Reads and validates a fleet configuration. Returns all problems at once, each with its position.
    pub fn from_toml(text: &str) -> Result<Fleet, Diagnostics> {
        let source = SourceText::new(text);
        let (table, errors) = DeTable::parse_recoverable(text);
        for error in errors {
            let at = error.span().map_or(0, |span| span.start);
            source.problem(at, "", error.message().replace('\n', " "));
        }
        let broken = source.into_problems();
        if !broken.is_empty() {
            return Err(Diagnostics(broken)); // with syntax errors, further messages could be misleading
        }
        let source = SourceText::new(text);
        let root = Table::new(&source, table.get_ref(), String::new(), 0);
        let fleet = fleet(&root);
        for error in fleet.validation_errors() {
            source.problem(source.offset_of(&error.path), &error.path, error.message);
        }
        let problems = source.into_problems();
        if problems.is_empty() { Ok(fleet) } else { Err(Diagnostics(problems)) }
    }
}

fn fleet(root: &Table) -> Fleet {
    let rules = root.table("rules").map(|table| rules(&table)).unwrap_or_default();
    let zones = root.table("zones").map(|table| zones(&table)).unwrap_or_default();
    let classes = root.tables("class").iter().map(|t| (name(t), class(t))).collect();
    let pools = root.tables("pool").iter().map(|t| (name(t), pool(t))).collect();
    let listeners = root.tables("listener").iter().map(|t| (name(t), listener(t))).collect();
    let risks = root.table("risks").map(|table| risks(&table)).unwrap_or_default();
    root.report_unknown_keys();
    Fleet { rules, zones, classes, pools, listeners, risks }
}

fn risks(table: &Table) -> BTreeMap<String, Severity> {
    let words = [Severity::Low, Severity::Medium, Severity::High].map(|s| (s.name(), s));
    let one = |kind: String| table.one_of(&kind, &words).map(|severity| (kind, severity));
    table.keys().into_iter().filter_map(one).collect()
}

/// The required name of a table. A missing name is reported and replaced by a unique placeholder.
fn name(table: &Table) -> String {
    let name = table.string("name");
    table.required("name", name.as_ref().map(|_| ()));
    name.unwrap_or_else(|| format!("unnamed-{}", table.at))
}

fn rules(table: &Table) -> Rules {
    let defaults = Rules::default();
    let rules = Rules {
        drain_grace: table.duration("drain_grace").unwrap_or(defaults.drain_grace),
        cold_share: table.float("cold_share").unwrap_or(defaults.cold_share),
        warm_within: table.duration("warm_within").unwrap_or(defaults.warm_within),
        fall_multiple: table.float("fall_multiple").unwrap_or(defaults.fall_multiple),
        retry_budget: table.float("retry_budget").unwrap_or(defaults.retry_budget),
    };
    table.report_unknown_keys();
    rules
}

fn zones(table: &Table) -> Zones {
    let mut zones = Zones::new();
    for from in table.keys() {
        let Some(steps) = table.table(&from) else {
            zones.insert(from, Default::default()); // already reported; references to the zone remain valid
            continue;
        };
        let distances = steps.keys().into_iter().filter_map(|to| steps.u32(&to).map(|n| (to, n)));
        zones.insert(from, distances.collect());
    }
    zones
}

fn class(table: &Table) -> Class {
    #[derive(Clone, Copy)]
    enum Name {
        Safe,
        Keyed,
        Unsafe,
    }
    let words = [("safe", Name::Safe), ("keyed", Name::Keyed), ("unsafe", Name::Unsafe)];
    let word = table.one_of("semantics", &words);
    let known = word.is_some();
    let semantics = match word {
        Some(Name::Safe) => Semantics::Safe,
        Some(Name::Keyed) => {
            let groups = [("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Cell)];
            let group = table.one_of("group", &groups);
            table.required("group", group.map(|_| ()));
            let window = table.duration("window");
            table.required("window", window.map(|_| ()));
            // A placeholder for a window that could not be read, which is already reported.
            let window = window.unwrap_or(Duration::from_secs(1));
            Semantics::Keyed { group: group.unwrap_or(DedupScope::Cell), window }
        }
        Some(Name::Unsafe) | None => Semantics::Unsafe,
    };
    table.required("semantics", known.then_some(()));
    if known && !matches!(semantics, Semantics::Keyed { .. }) {
        for key in ["group", "window"].into_iter().filter(|key| table.has(key)) {
            let what = "is for keyed classes: remove it, or set semantics = \"keyed\"";
            table.text.problem(table.at, &table.join(key), what);
            table.mark_known(key);
        }
    }
    let deadline = table.duration("deadline");
    table.required("deadline", deadline.map(|_| ()));
    let objective = table.duration("objective").or(deadline).unwrap_or(Duration::from_micros(1));
    let class = Class {
        semantics,
        objective,
        deadline: deadline.unwrap_or(objective),
        attempts: table.u32("attempts").unwrap_or(2),
    };
    table.report_unknown_keys();
    class
}

fn pool(table: &Table) -> Pool {
    let platform = table.address("platform");
    let tables = table.tables("endpoint");
    let source = match platform {
        Some(address) => {
            if let Some(first) = tables.first() {
                let what = "the pool asks the platform: remove `platform` or the endpoints";
                table.text.problem(first.at, &first.path, what);
            }
            Source::Platform(address)
        }
        None => {
            if tables.is_empty() && !table.has("platform") {
                let what =
                    "has no endpoint: write [[pool.endpoint]], or set `platform` to discovery's address";
                table.text.problem(table.at, &table.path, what);
            }
            Source::Static(tables.iter().map(|t| (name(t), endpoint(t))).collect::<BTreeMap<_, _>>())
        }
    };
    let pool = Pool {
        source,
        nearest_first: table.bool("nearest_first").unwrap_or(false),
        connect_timeout: table.duration("connect_timeout").unwrap_or(Duration::from_millis(250)),
        max_connections: table.u32("max_connections").unwrap_or(1024),
        max_requests: table.u32("max_requests").unwrap_or(1024),
        max_pending: table.u32("max_pending").unwrap_or(256),
        panic_threshold: table.float("panic_threshold").unwrap_or(0.5),
        panic_hold: table.duration("panic_hold").unwrap_or(Duration::from_secs(10)),
    };
    table.report_unknown_keys();
    pool
}

fn endpoint(table: &Table) -> Endpoint {
    let address = table.address("address");
    table.required("address", address.map(|_| ()));
    let endpoint = Endpoint {
        // A unique placeholder for an address that could not be read, which is already reported.
        address: address.unwrap_or_else(|| ([127, 0, 0, 1], (1 + table.at % 65535) as u16).into()),
        zone: table.string("zone").unwrap_or_default(),
        weight: table.float("weight").unwrap_or(1.0),
        state: table
            .one_of("state", &[("ready", EndpointState::Ready), ("draining", EndpointState::Draining)])
            .unwrap_or(EndpointState::Ready),
        started_ms: table.u64("started_ms").unwrap_or(0),
    };
    table.report_unknown_keys();
    endpoint
}

fn listener(table: &Table) -> Listener {
    let listener = Listener {
        address: table.address("address"),
        api: table.bool("api").unwrap_or(false),
        routes: table.tables("route").iter().map(route).collect(),
    };
    table.report_unknown_keys();
    listener
}

fn route(table: &Table) -> Route {
    let to = match table.string("pool") {
        Some(pool) => {
            if table.has("pools") {
                table.text.problem(table.at, &table.path, "has both `pool` and `pools`: keep one of them");
            }
            table.text.record_offset(&table.join("pools"), table.text.offset_of(&table.join("pool")));
            vec![WeightedPool { pool, weight: 1 }]
        }
        None => Vec::new(),
    };
    let shares = table.table("pools").map(|pools| {
        let shares = pools
            .keys()
            .into_iter()
            .filter_map(|pool| pools.u32(&pool).map(|weight| WeightedPool { pool, weight }));
        shares.collect::<Vec<_>>()
    });
    let route = Route {
        name: name(table),
        hosts: table.strings("hosts").unwrap_or_else(|| vec!["*".to_owned()]),
        prefix: table.string("prefix").unwrap_or_else(|| "/".to_owned()),
        class: table.required("class", table.string("class")),
        to: shares.unwrap_or(to),
    };
    table.report_unknown_keys();
    route
}
