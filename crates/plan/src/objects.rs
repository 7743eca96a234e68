//! Conversion of a fleet into addressed objects with flat fields, and back.

use runtrack_model::Fleet;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::fmt;

/// Path of an object in a fleet. The order of the variants is the order in which changes are listed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Address {
    /// The parameters of the four rules.
    Rules,
    /// Minimum severities of risks, as raised in the fleet file.
    Risks,
    /// Distances from a zone to the others.
    Zone(String),
    /// A request class.
    Class(String),
    /// A pool, without its static endpoints.
    Pool(String),
    /// A static endpoint: name of the pool, name of the endpoint.
    Endpoint(String, String),
    /// A listener, without its routes.
    Listener(String),
    /// A route: name of the listener, name of the route.
    Route(String, String),
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Address::Rules => f.write_str("rules"),
            Address::Risks => f.write_str("risks"),
            Address::Zone(name) => write!(f, "zone.{name}"),
            Address::Class(name) => write!(f, "class.{name}"),
            Address::Pool(name) => write!(f, "pool.{name}"),
            Address::Endpoint(pool, name) => write!(f, "pool.{pool}.endpoint.{name}"),
            Address::Listener(name) => write!(f, "listener.{name}"),
            Address::Route(listener, name) => write!(f, "listener.{listener}.route.{name}"),
        }
    }
}

/// An object's fields by name, in their canonical form.
pub type Fields = BTreeMap<String, Value>;

/// A fleet split into objects. The order of a listener's routes is kept separately: no other order is significant.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Objects {
    pub(crate) objects: BTreeMap<Address, Fields>,
    pub(crate) route_order: BTreeMap<String, Vec<String>>,
}

/// The fields of a value that serializes to a map.
fn fields(object: &impl Serialize) -> Fields {
    match serde_json::to_value(object) {
        Ok(Value::Object(map)) => map.into_iter().collect(),
        _ => Fields::new(), // unreachable: every object of a fleet is a struct or a map with string keys
    }
}

impl Objects {
    pub(crate) fn of(fleet: &Fleet) -> Objects {
        let mut result = Objects::default();
        result.objects.insert(Address::Rules, fields(&fleet.rules));
        result.objects.insert(Address::Risks, fields(&fleet.risks));
        for (name, distances) in &fleet.zones {
            result.objects.insert(Address::Zone(name.clone()), fields(distances));
        }
        for (name, class) in &fleet.classes {
            result.objects.insert(Address::Class(name.clone()), fields(class));
        }
        for (name, pool) in &fleet.pools {
            let mut pool = fields(pool);
            if let Some(Value::Object(list)) = pool.get_mut("source").and_then(|s| s.get_mut("static")) {
                for (id, endpoint) in std::mem::take(list) {
                    let endpoint = fields(&endpoint);
                    result.objects.insert(Address::Endpoint(name.clone(), id), endpoint);
                }
            }
            result.objects.insert(Address::Pool(name.clone()), pool);
        }
        for (name, listener) in &fleet.listeners {
            let mut listener_fields = fields(listener);
            listener_fields.remove("routes");
            result.objects.insert(Address::Listener(name.clone()), listener_fields);
            for route in &listener.routes {
                let mut route_fields = fields(route);
                route_fields.remove("name");
                result.objects.insert(Address::Route(name.clone(), route.name.clone()), route_fields);
            }
            let order = listener.routes.iter().map(|route| route.name.clone()).collect();
            result.route_order.insert(name.clone(), order);
        }
        result
    }

    /// Reassembles the fleet; the error says which objects do not fit together.
    pub(crate) fn into_fleet(mut self) -> Result<Fleet, String> {
        let mut root = Map::new();
        let mut maps: BTreeMap<&str, Map<String, Value>> = BTreeMap::new();
        let mut endpoints: BTreeMap<String, Map<String, Value>> = BTreeMap::new();
        let mut routes: BTreeMap<(String, String), Fields> = BTreeMap::new();
        for (address, object) in std::mem::take(&mut self.objects) {
            let value: Map<String, Value> = object.clone().into_iter().collect();
            let (section, name) = match address {
                Address::Rules => {
                    root.insert("rules".to_owned(), Value::Object(value));
                    continue;
                }
                Address::Risks => {
                    root.insert("risks".to_owned(), Value::Object(value));
                    continue;
                }
                Address::Endpoint(pool, id) => {
                    endpoints.entry(pool).or_default().insert(id, Value::Object(value));
                    continue;
                }
                Address::Route(listener, name) => {
                    routes.insert((listener, name), object);
                    continue;
                }
                Address::Zone(name) => ("zones", name),
                Address::Class(name) => ("classes", name),
                Address::Pool(name) => ("pools", name),
                Address::Listener(name) => ("listeners", name),
            };
            maps.entry(section).or_default().insert(name, Value::Object(value));
        }
        for (pool, list) in endpoints {
            let source = maps.get_mut("pools").and_then(|pools| pools.get_mut(&pool));
            match source.and_then(|pool| pool.get_mut("source")?.get_mut("static")) {
                Some(endpoints) => *endpoints = Value::Object(list),
                None => {
                    return Err(format!("pool {pool} does not exist or has no static endpoints"));
                }
            }
        }
        for (listener, order) in &self.route_order {
            let mut list = Vec::new();
            for name in order {
                let Some(mut route) = routes.remove(&(listener.clone(), name.clone())) else {
                    return Err(format!(
                        "listener {listener}: route {name} is in the order but does not exist"
                    ));
                };
                route.insert("name".to_owned(), json!(name));
                list.push(Value::Object(route.into_iter().collect()));
            }
            match maps.get_mut("listeners").and_then(|l| l.get_mut(listener)?.as_object_mut()) {
                Some(listener) => drop(listener.insert("routes".to_owned(), Value::Array(list))),
                None if list.is_empty() => {}
                None => return Err(format!("listener {listener} has routes but does not exist")),
            }
        }
        if let Some((listener, name)) = routes.into_keys().next() {
            return Err(format!("listener {listener}: route {name} is missing from the order"));
        }
        for section in ["zones", "classes", "pools", "listeners"] {
            root.insert(section.to_owned(), Value::Object(maps.remove(section).unwrap_or_default()));
        }
        serde_json::from_value(Value::Object(root)).map_err(|e| e.to_string())
    }
}
