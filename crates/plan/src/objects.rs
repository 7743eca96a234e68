//! A fleet as named things with flat fields, and back.

use runtrack_model::Fleet;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::fmt;

/// Which thing of a fleet; in the order in which changes are listed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Address {
    /// The figures of the four rules.
    Rules,
    /// Severities that were raised.
    Risks,
    /// Distances from a zone.
    Zone(String),
    /// A class.
    Class(String),
    /// A pool, but for its endpoints.
    Pool(String),
    /// An endpoint of a pool.
    Endpoint(String, String),
    /// A listener, but for its routes.
    Listener(String),
    /// A route of a listener.
    Route(String, String),
}

impl fmt::Display for Address {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Address::Rules => to.write_str("rules"),
            Address::Risks => to.write_str("risks"),
            Address::Zone(name) => write!(to, "zone.{name}"),
            Address::Class(name) => write!(to, "class.{name}"),
            Address::Pool(name) => write!(to, "pool.{name}"),
            Address::Endpoint(pool, name) => write!(to, "pool.{pool}.endpoint.{name}"),
            Address::Listener(name) => write!(to, "listener.{name}"),
            Address::Route(listener, name) => write!(to, "listener.{listener}.route.{name}"),
        }
    }
}

/// A thing's fields, in their canonical form.
pub type Fields = BTreeMap<String, Value>;

/// A fleet in parts. The order of routes is kept beside them: only it has a meaning.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Objects {
    pub(crate) things: BTreeMap<Address, Fields>,
    pub(crate) order: BTreeMap<String, Vec<String>>,
}

/// The fields of what serialises to a map.
fn fields(thing: &impl Serialize) -> Fields {
    match serde_json::to_value(thing) {
        Ok(Value::Object(map)) => map.into_iter().collect(),
        _ => Fields::new(), // every thing of a fleet is a struct or a map with text for keys
    }
}

impl Objects {
    pub(crate) fn of(fleet: &Fleet) -> Objects {
        let mut all = Objects::default();
        all.things.insert(Address::Rules, fields(&fleet.rules));
        all.things.insert(Address::Risks, fields(&fleet.risks));
        for (name, steps) in &fleet.zones {
            all.things.insert(Address::Zone(name.clone()), fields(steps));
        }
        for (name, class) in &fleet.classes {
            all.things.insert(Address::Class(name.clone()), fields(class));
        }
        for (name, pool) in &fleet.pools {
            let mut pool = fields(pool);
            if let Some(Value::Object(list)) = pool.get_mut("source").and_then(|s| s.get_mut("static")) {
                for (id, endpoint) in std::mem::take(list) {
                    let endpoint = fields(&endpoint);
                    all.things.insert(Address::Endpoint(name.clone(), id), endpoint);
                }
            }
            all.things.insert(Address::Pool(name.clone()), pool);
        }
        for (name, listener) in &fleet.listeners {
            let mut listener_fields = fields(listener);
            listener_fields.remove("routes");
            all.things.insert(Address::Listener(name.clone()), listener_fields);
            for route in &listener.routes {
                let mut route_fields = fields(route);
                route_fields.remove("name");
                all.things.insert(Address::Route(name.clone(), route.name.clone()), route_fields);
            }
            let order = listener.routes.iter().map(|route| route.name.clone()).collect();
            all.order.insert(name.clone(), order);
        }
        all
    }

    /// The fleet that the parts make; what does not fit together is told.
    pub(crate) fn into_fleet(mut self) -> Result<Fleet, String> {
        let mut root = Map::new();
        let mut maps: BTreeMap<&str, Map<String, Value>> = BTreeMap::new();
        let mut endpoints: BTreeMap<String, Map<String, Value>> = BTreeMap::new();
        let mut routes: BTreeMap<(String, String), Fields> = BTreeMap::new();
        for (address, thing) in std::mem::take(&mut self.things) {
            let whole: Map<String, Value> = thing.clone().into_iter().collect();
            let (of, name) = match address {
                Address::Rules => {
                    root.insert("rules".to_owned(), Value::Object(whole));
                    continue;
                }
                Address::Risks => {
                    root.insert("risks".to_owned(), Value::Object(whole));
                    continue;
                }
                Address::Endpoint(pool, id) => {
                    endpoints.entry(pool).or_default().insert(id, Value::Object(whole));
                    continue;
                }
                Address::Route(listener, name) => {
                    routes.insert((listener, name), thing);
                    continue;
                }
                Address::Zone(name) => ("zones", name),
                Address::Class(name) => ("classes", name),
                Address::Pool(name) => ("pools", name),
                Address::Listener(name) => ("listeners", name),
            };
            maps.entry(of).or_default().insert(name, Value::Object(whole));
        }
        for (pool, list) in endpoints {
            let source = maps.get_mut("pools").and_then(|pools| pools.get_mut(&pool));
            match source.and_then(|pool| pool.get_mut("source")?.get_mut("static")) {
                Some(place) => *place = Value::Object(list),
                None => {
                    return Err(format!("pool {pool} has no place for endpoints that are written down"));
                }
            }
        }
        for (listener, order) in &self.order {
            let mut list = Vec::new();
            for name in order {
                let Some(mut route) = routes.remove(&(listener.clone(), name.clone())) else {
                    return Err(format!("listener {listener}: route {name} has a place and is not there"));
                };
                route.insert("name".to_owned(), json!(name));
                list.push(Value::Object(route.into_iter().collect()));
            }
            match maps.get_mut("listeners").and_then(|l| l.get_mut(listener)?.as_object_mut()) {
                Some(listener) => drop(listener.insert("routes".to_owned(), Value::Array(list))),
                None if list.is_empty() => {}
                None => return Err(format!("listener {listener} has routes and is not there")),
            }
        }
        if let Some((listener, name)) = routes.into_keys().next() {
            return Err(format!("listener {listener}: route {name} has no place among the others"));
        }
        for of in ["zones", "classes", "pools", "listeners"] {
            root.insert(of.to_owned(), Value::Object(maps.remove(of).unwrap_or_default()));
        }
        serde_json::from_value(Value::Object(root)).map_err(|e| e.to_string())
    }
}
