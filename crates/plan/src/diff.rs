//! Semantic difference of two fleets, as steps that check the state they are applied to.

use crate::objects::{Address, Fields, Objects};
use runtrack_model::Fleet;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Values of a field before and after a step; null where the object has no such field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Value that the field must have before the step.
    pub before: Value,
    /// Value of the field after the step.
    pub after: Value,
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case", deny_unknown_fields)]
pub enum Step {
    /// Creates an object.
    Create {
        /// The object.
        #[serde(rename = "what")]
        address: Address,
        /// All of its fields.
        fields: Fields,
        /// For a route: the route that precedes it; `None` if it is the first.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        after: Option<String>,
    },
    /// Changes fields of an object in place.
    Change {
        /// The object.
        #[serde(rename = "what")]
        address: Address,
        /// The fields that differ.
        fields: BTreeMap<String, Edit>,
    },
    /// Replaces an object by another one of the same name: an endpoint at another address, a pool from another source.
    Replace {
        /// The object.
        #[serde(rename = "what")]
        address: Address,
        /// The fields that differ.
        fields: BTreeMap<String, Edit>,
    },
    /// Moves a route within its listener: of the routes that match a request, the first one takes it.
    Move {
        /// The object.
        #[serde(rename = "what")]
        address: Address,
        /// The route that precedes it; `None` if it becomes the first.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        after: Option<String>,
    },
    /// Deletes an object.
    Delete {
        /// The object.
        #[serde(rename = "what")]
        address: Address,
        /// All fields, which must have these values before the step.
        fields: Fields,
    },
}

impl Step {
    /// Address of the object that the step changes.
    pub fn address(&self) -> &Address {
        match self {
            Step::Create { address, .. }
            | Step::Change { address, .. }
            | Step::Replace { address, .. }
            | Step::Move { address, .. }
            | Step::Delete { address, .. } => address,
        }
    }
}

/// Why steps can't be applied to a fleet.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{subject}: {problem}")]
pub struct StepError {
    /// Address of the object, or `the whole` if the resulting fleet is invalid.
    pub subject: String,
    /// Description of the mismatch.
    pub problem: String,
}

/// Number of objects that a plan changes, by kind of step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StepCounts {
    /// Objects created.
    pub add: usize,
    /// Objects changed, replaced or moved.
    pub change: usize,
    /// Objects deleted.
    pub destroy: usize,
}

/// Counts the objects that the steps change, each once.
pub fn count_steps(steps: &[Step]) -> StepCounts {
    let changed: BTreeSet<&Address> = steps
        .iter()
        .filter(|step| !matches!(step, Step::Create { .. } | Step::Delete { .. }))
        .map(Step::address)
        .collect();
    StepCounts {
        add: steps.iter().filter(|step| matches!(step, Step::Create { .. })).count(),
        change: changed.len(),
        destroy: steps.iter().filter(|step| matches!(step, Step::Delete { .. })).count(),
    }
}

/// Steps that turn one fleet into another: deletions, then objects in the order of their addresses, then routes in
/// their final order. Empty for fleets that are equal, however they were written.
pub fn diff(from: &Fleet, to: &Fleet) -> Vec<Step> {
    let (from, to) = (Objects::of(from), Objects::of(to));
    let deleted = from.objects.iter().filter(|(address, _)| !to.objects.contains_key(address));
    let mut steps: Vec<Step> = deleted
        .map(|(address, fields)| Step::Delete { address: address.clone(), fields: fields.clone() })
        .collect();
    for (address, after) in to.objects.iter().filter(|(address, _)| !matches!(address, Address::Route(..)))
    {
        steps.extend(object_step(address, from.objects.get(address), after, None));
    }
    for (listener, order) in &to.route_order {
        let before: BTreeMap<&String, usize> = from
            .route_order
            .get(listener)
            .into_iter()
            .flatten()
            .enumerate()
            .map(|(n, name)| (name, n))
            .collect();
        let kept: Vec<(usize, &String)> =
            order.iter().filter_map(|name| before.get(name).map(|&position| (position, name))).collect();
        let unmoved = longest_increasing(&kept);
        let mut previous: Option<&String> = None;
        for name in order {
            let address = Address::Route(listener.clone(), name.clone());
            let (old, after) = (from.objects.get(&address), previous.cloned());
            if old.is_some() && !unmoved.contains(name) {
                steps.push(Step::Move { address: address.clone(), after: after.clone() });
            }
            steps.extend(object_step(&address, old, &to.objects[&address], after));
            previous = Some(name);
        }
    }
    steps
}

fn object_step(
    address: &Address,
    before: Option<&Fields>,
    after: &Fields,
    after_route: Option<String>,
) -> Option<Step> {
    let Some(before) = before else {
        return Some(Step::Create { address: address.clone(), fields: after.clone(), after: after_route });
    };
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let value = |object: &Fields, name: &str| object.get(name).cloned().unwrap_or(Value::Null);
    let edits = names.into_iter().filter(|name| before.get(*name) != after.get(*name));
    let fields: BTreeMap<String, Edit> = edits
        .map(|name| (name.clone(), Edit { before: value(before, name), after: value(after, name) }))
        .collect();
    let replaced = match address {
        Address::Endpoint(..) => fields.contains_key("address"),
        Address::Pool(_) => fields.contains_key("source"),
        _ => false,
    };
    match (fields.is_empty(), replaced) {
        (true, _) => None,
        (false, true) => Some(Step::Replace { address: address.clone(), fields }),
        (false, false) => Some(Step::Change { address: address.clone(), fields }),
    }
}

/// The longest subsequence of names that are already in this order: only the others have to move.
fn longest_increasing<'n>(positions: &[(usize, &'n String)]) -> BTreeSet<&'n String> {
    // Patience sorting: the last elements of the best subsequences by length, and the predecessor of each element.
    let (mut tails, mut before): (Vec<usize>, Vec<Option<usize>>) = (Vec::new(), Vec::new());
    for (n, &(position, _)) in positions.iter().enumerate() {
        let length = tails.partition_point(|&tail| positions[tail].0 < position);
        before.push(length.checked_sub(1).map(|shorter| tails[shorter]));
        match tails.get_mut(length) {
            Some(tail) => *tail = n,
            None => tails.push(n),
        }
    }
    let mut subsequence = BTreeSet::new();
    let mut at = tails.last().copied();
    while let Some(n) = at {
        subsequence.insert(positions[n].1);
        at = before[n];
    }
    subsequence
}

/// Applies steps to a fleet. Each step checks the previous values that it states; the resulting fleet is validated as a
/// whole.
pub fn apply_steps(fleet: &Fleet, steps: &[Step]) -> Result<Fleet, StepError> {
    let mut target = Objects::of(fleet);
    // Routes to be placed, each with its predecessor, by listener; other routes keep their order.
    let mut placements: BTreeMap<&String, Vec<(&String, Option<&String>)>> = BTreeMap::new();
    for step in steps {
        let address = step.address();
        let wrong = |problem: &str| StepError { subject: address.to_string(), problem: problem.to_owned() };
        match step {
            Step::Create { address, fields, after } => {
                if target.objects.insert(address.clone(), fields.clone()).is_some() {
                    return Err(wrong("to be created, but it exists already"));
                }
                match address {
                    Address::Route(listener, name) => {
                        placements.entry(listener).or_default().push((name, after.as_ref()));
                    }
                    Address::Listener(name) => drop(target.route_order.entry(name.clone()).or_default()),
                    _ => {}
                }
            }
            Step::Change { fields, .. } | Step::Replace { fields, .. } => {
                let object = target
                    .objects
                    .get_mut(address)
                    .ok_or_else(|| wrong("to be changed, but it does not exist"))?;
                for (name, edit) in fields {
                    let found = object.get(name).cloned().unwrap_or(Value::Null);
                    if found != edit.before {
                        let problem = format!("{name} is {found}, but the plan expects {}", edit.before);
                        return Err(wrong(&problem));
                    }
                    match edit.after.is_null() {
                        true => drop(object.remove(name)),
                        false => drop(object.insert(name.clone(), edit.after.clone())),
                    }
                }
            }
            Step::Move { address: Address::Route(listener, name), after } => {
                if !target.objects.contains_key(address) {
                    return Err(wrong("to be moved, but it does not exist"));
                }
                placements.entry(listener).or_default().push((name, after.as_ref()));
            }
            Step::Move { .. } => return Err(wrong("to be moved, but only routes have an order")),
            Step::Delete { fields, .. } => {
                let found = target
                    .objects
                    .remove(address)
                    .ok_or_else(|| wrong("to be deleted, but it does not exist"))?;
                if found != *fields {
                    return Err(wrong("to be deleted, but its fields differ from the plan"));
                }
                match address {
                    // Removed from the order below in one pass, as a listener may lose thousands of routes.
                    Address::Route(listener, _) => drop(placements.entry(listener).or_default()),
                    Address::Listener(name) => drop(target.route_order.remove(name)),
                    _ => {}
                }
            }
        }
    }
    for (listener, routes) in placements {
        let objects = &target.objects;
        let Some(order) = target.route_order.get_mut(listener) else { continue };
        let moved: BTreeSet<&String> = routes.iter().map(|(name, _)| *name).collect();
        order.retain(|name| {
            !moved.contains(name) && objects.contains_key(&Address::Route(listener.clone(), name.clone()))
        });
        *order = insert_routes(std::mem::take(order), &routes)
            .map_err(|problem| StepError { subject: format!("listener.{listener}"), problem })?;
    }
    let invalid = |problem| StepError { subject: "the whole".to_owned(), problem };
    let fleet = target.into_fleet().map_err(invalid)?;
    match fleet.validation_errors().first() {
        Some(fault) => Err(invalid(fault.to_string())),
        None => Ok(fleet),
    }
}

/// Inserts routes after their predecessors, in one pass. A predecessor may be an inserted route itself, so chains of
/// inserted routes follow one that keeps its place.
fn insert_routes(kept: Vec<String>, routes: &[(&String, Option<&String>)]) -> Result<Vec<String>, String> {
    let (mut first, mut successors): (Vec<&String>, BTreeMap<&str, Vec<&String>>) = Default::default();
    for &(name, after) in routes {
        match after {
            Some(after) => successors.entry(after).or_default().push(name),
            None => first.push(name),
        }
    }
    let total = kept.len() + routes.len();
    let mut order: Vec<String> = Vec::with_capacity(total);
    append_chains(first, &mut successors, &mut order);
    for name in kept {
        let pending = successors.remove(name.as_str()).unwrap_or_default();
        order.push(name);
        append_chains(pending, &mut successors, &mut order);
    }
    match order.len() == total {
        true => Ok(order),
        false => Err("the predecessor of a route does not exist".to_owned()),
    }
}

/// Appends routes, each followed by the chain of its successors. Of several successors of one route, the one named
/// last comes first.
fn append_chains<'n>(
    mut pending: Vec<&'n String>,
    successors: &mut BTreeMap<&'n str, Vec<&'n String>>,
    order: &mut Vec<String>,
) {
    while let Some(name) = pending.pop() {
        order.push(name.clone());
        pending.extend(successors.remove(name.as_str()).unwrap_or_default());
    }
}
