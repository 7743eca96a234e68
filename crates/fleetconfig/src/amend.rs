//! Amendments: items of a configuration that are added, replaced or removed by name.
//!
//! An amendment is applied to the JSON of the configuration that it builds on, so that fields which this version does
//! not know are kept, and the result is checked as a whole.

use crate::FleetConfig;
use crate::check::Findings;
use crate::error::ConfigError;
use crate::read::parse;
use crate::wire::AmendmentWire;
use miniserde::json::{self, Array, Object, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Lists that an amendment may create; others must exist in the configuration.
const KNOWN_LISTS: [&str; 2] = ["routes", "services"];

/// Changes to one list of named items.
#[derive(Clone, Debug, Default)]
struct ListChanges {
    /// Items to add, or to replace, by name.
    upsert: BTreeMap<String, Value>,
    /// Names of the items to remove.
    remove: BTreeSet<String>,
}

/// A syntactically valid amendment. Whether it applies to a configuration is checked by [`Amendment::apply`].
#[derive(Clone, Debug)]
pub struct Amendment {
    version: u64,
    lists: BTreeMap<String, ListChanges>,
}

impl Amendment {
    /// Parses an operator's JSON.
    pub fn read(body: &[u8]) -> Result<Self, ConfigError> {
        let wire: AmendmentWire = parse(body)?;
        let mut findings = Findings::default();
        if wire.version == 0 {
            findings.add("version", "0 is the version before the first configuration");
        }
        let mut lists: BTreeMap<String, ListChanges> = BTreeMap::new();
        for (list, items) in wire.upsert.unwrap_or_default() {
            lists.entry(list.clone()).or_default().upsert = named_items(&list, items, &mut findings);
        }
        for (list, names) in wire.remove.unwrap_or_default() {
            let changes = lists.entry(list.clone()).or_default();
            for (index, name) in names.into_iter().enumerate() {
                let place = format!("remove.{list}[{index}]");
                if changes.upsert.contains_key(&name) {
                    findings.add(place, format!("{name:?} is in upsert as well"));
                } else if !changes.remove.insert(name.clone()) {
                    findings.add(place, format!("{name:?} is named twice"));
                }
            }
        }
        findings.into_result(Amendment { version: wire.version, lists })
    }

    /// Version of the amended configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies the amendment to the JSON of a configuration and returns the amended JSON, which is a valid configuration.
    pub fn apply(&self, current: &[u8]) -> Result<Vec<u8>, ConfigError> {
        let mut config: Object = parse(current)?;
        let mut findings = Findings::default();
        for (list, changes) in &self.lists {
            match config.get_mut(list) {
                Some(Value::Array(items)) => changes.apply(list, items, &mut findings),
                None if KNOWN_LISTS.contains(&list.as_str()) => {
                    let mut items = Array::new();
                    changes.apply(list, &mut items, &mut findings);
                    config.insert(list.clone(), Value::Array(items));
                }
                _ => findings.add(list.as_str(), "the configuration has no such list"),
            }
        }
        config.insert("version".to_owned(), Value::Number(json::Number::U64(self.version)));
        let amended = findings.into_result(json::to_string(&config).into_bytes())?;
        FleetConfig::read(&amended)?;
        Ok(amended)
    }
}

impl ListChanges {
    fn apply(&self, list: &str, items: &mut Array, findings: &mut Findings) {
        let mut present: BTreeMap<String, usize> = BTreeMap::new();
        for name in items.iter().filter_map(name_of) {
            *present.entry(name.to_owned()).or_default() += 1;
        }
        for name in self.remove.iter().filter(|name| !present.contains_key(*name)) {
            findings.add(format!("remove.{list}"), format!("there is no {name:?}"));
        }
        for name in self.upsert.keys().chain(&self.remove) {
            if present.get(name).is_some_and(|count| *count > 1) {
                findings.add(list, format!("several items have the name {name:?}"));
            }
        }
        let kept = std::mem::take(items).into_iter().filter_map(|item| match name_of(&item) {
            Some(name) if self.remove.contains(name) => None,
            Some(name) => Some(self.upsert.get(name).cloned().unwrap_or(item)),
            None => Some(item),
        });
        *items = kept.collect();
        let added = self.upsert.iter().filter(|(name, _)| !present.contains_key(*name));
        items.extend(added.map(|(_, item)| item.clone()));
    }
}

/// The items of a list in an `upsert`, by name.
fn named_items(list: &str, items: Vec<Value>, findings: &mut Findings) -> BTreeMap<String, Value> {
    let mut named = BTreeMap::new();
    for (index, item) in items.into_iter().enumerate() {
        let place = format!("upsert.{list}[{index}]");
        match name_of(&item).map(str::to_owned) {
            Some(name) if !name.is_empty() => {
                if named.insert(name.clone(), item).is_some() {
                    findings.add(place, format!("{name:?} is named twice"));
                }
            }
            _ => findings.add(place, "has no name"),
        }
    }
    named
}

fn name_of(item: &Value) -> Option<&str> {
    match item {
        Value::Object(fields) => match fields.get("name") {
            Some(Value::String(name)) => Some(name),
            _ => None,
        },
        _ => None,
    }
}
