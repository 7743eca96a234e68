//! The difference of two fleets by meaning, as steps that can be carried out and that check what they find.

use crate::objects::{Address, Fields, Objects};
use runtrack_model::Fleet;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// A field before and after; null where the thing has no such field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// As it must be found.
    pub before: Value,
    /// As it is left.
    pub after: Value,
}

/// One thing's change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case", deny_unknown_fields)]
pub enum Step {
    /// A new thing.
    Create {
        /// Which.
        what: Address,
        /// All of it.
        fields: Fields,
        /// For a route: the one before it; none: it is the first.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        after: Option<String>,
    },
    /// Fields change; the thing stays.
    Change {
        /// Which.
        what: Address,
        /// The fields.
        fields: BTreeMap<String, Edit>,
    },
    /// Another thing takes the name: an endpoint at another address, a pool from another source.
    Replace {
        /// Which.
        what: Address,
        /// The fields that differ.
        fields: BTreeMap<String, Edit>,
    },
    /// A route takes another place; the first that matches counts.
    Move {
        /// Which.
        what: Address,
        /// The one before it; none: it is the first.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        after: Option<String>,
    },
    /// A thing goes.
    Delete {
        /// Which.
        what: Address,
        /// All of it, as it must be found.
        fields: Fields,
    },
}

impl Step {
    /// The thing.
    pub fn what(&self) -> &Address {
        match self {
            Step::Create { what, .. }
            | Step::Change { what, .. }
            | Step::Replace { what, .. }
            | Step::Move { what, .. }
            | Step::Delete { what, .. } => what,
        }
    }
}

/// Why a step can't be carried out on a state.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{what}: {problem}")]
pub struct StepError {
    /// The thing, or what the steps make as a whole.
    pub what: String,
    /// What does not fit.
    pub problem: String,
}

/// How many things a plan touches, by kind of step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StepCounts {
    /// Created.
    pub add: usize,
    /// Changed, replaced or moved.
    pub change: usize,
    /// Deleted.
    pub destroy: usize,
}

/// Counts things, each once.
pub fn count_steps(steps: &[Step]) -> StepCounts {
    let changed: BTreeSet<&Address> = steps
        .iter()
        .filter(|step| !matches!(step, Step::Create { .. } | Step::Delete { .. }))
        .map(Step::what)
        .collect();
    StepCounts {
        add: steps.iter().filter(|step| matches!(step, Step::Create { .. })).count(),
        change: changed.len(),
        destroy: steps.iter().filter(|step| matches!(step, Step::Delete { .. })).count(),
    }
}

/// What leads from one fleet to the other: deletions, then things in their order, then routes in the order in
/// which they come to stand. None for equal fleets, however they were written.
pub fn diff(from: &Fleet, to: &Fleet) -> Vec<Step> {
    let (from, to) = (Objects::of(from), Objects::of(to));
    let gone = from.things.iter().filter(|(what, _)| !to.things.contains_key(what));
    let mut steps: Vec<Step> =
        gone.map(|(what, fields)| Step::Delete { what: what.clone(), fields: fields.clone() }).collect();
    for (what, after) in to.things.iter().filter(|(what, _)| !matches!(what, Address::Route(..))) {
        steps.extend(one(what, from.things.get(what), after, None));
    }
    for (listener, order) in &to.order {
        let before: BTreeMap<&String, usize> =
            from.order.get(listener).into_iter().flatten().enumerate().map(|(n, name)| (name, n)).collect();
        let kept: Vec<(usize, &String)> =
            order.iter().filter_map(|name| before.get(name).map(|&place| (place, name))).collect();
        let still = longest_rising(&kept);
        let mut previous: Option<&String> = None;
        for name in order {
            let what = Address::Route(listener.clone(), name.clone());
            let (old, after) = (from.things.get(&what), previous.cloned());
            if old.is_some() && !still.contains(name) {
                steps.push(Step::Move { what: what.clone(), after: after.clone() });
            }
            steps.extend(one(&what, old, &to.things[&what], after));
            previous = Some(name);
        }
    }
    steps
}

fn one(what: &Address, before: Option<&Fields>, after: &Fields, place: Option<String>) -> Option<Step> {
    let Some(before) = before else {
        return Some(Step::Create { what: what.clone(), fields: after.clone(), after: place });
    };
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let value = |object: &Fields, name: &str| object.get(name).cloned().unwrap_or(Value::Null);
    let edits = names.into_iter().filter(|name| before.get(*name) != after.get(*name));
    let fields: BTreeMap<String, Edit> = edits
        .map(|name| (name.clone(), Edit { before: value(before, name), after: value(after, name) }))
        .collect();
    let another = match what {
        Address::Endpoint(..) => fields.contains_key("address"),
        Address::Pool(_) => fields.contains_key("source"),
        _ => false,
    };
    match (fields.is_empty(), another) {
        (true, _) => None,
        (false, true) => Some(Step::Replace { what: what.clone(), fields }),
        (false, false) => Some(Step::Change { what: what.clone(), fields }),
    }
}

/// The most names that already stand in this order: all others have to move.
fn longest_rising<'n>(places: &[(usize, &'n String)]) -> BTreeSet<&'n String> {
    // Patience sorting: the ends of the best runs by length, and for each its forerunner.
    let (mut ends, mut before): (Vec<usize>, Vec<Option<usize>>) = (Vec::new(), Vec::new());
    for (n, &(place, _)) in places.iter().enumerate() {
        let length = ends.partition_point(|&end| places[end].0 < place);
        before.push(length.checked_sub(1).map(|shorter| ends[shorter]));
        match ends.get_mut(length) {
            Some(end) => *end = n,
            None => ends.push(n),
        }
    }
    let mut run = BTreeSet::new();
    let mut at = ends.last().copied();
    while let Some(n) = at {
        run.insert(places[n].1);
        at = before[n];
    }
    run
}

/// Carries steps out. Each checks that it finds what it was made for; the whole is checked at the end.
pub fn apply_steps(fleet: &Fleet, steps: &[Step]) -> Result<Fleet, StepError> {
    let mut all = Objects::of(fleet);
    // Where each placed route comes to stand; the others keep their order.
    let mut placed: BTreeMap<&String, Vec<(&String, Option<&String>)>> = BTreeMap::new();
    for step in steps {
        let what = step.what();
        let wrong = |problem: &str| StepError { what: what.to_string(), problem: problem.to_owned() };
        match step {
            Step::Create { what, fields, after } => {
                if all.things.insert(what.clone(), fields.clone()).is_some() {
                    return Err(wrong("is to be created and is there already"));
                }
                match what {
                    Address::Route(listener, name) => {
                        placed.entry(listener).or_default().push((name, after.as_ref()));
                    }
                    Address::Listener(name) => drop(all.order.entry(name.clone()).or_default()),
                    _ => {}
                }
            }
            Step::Change { fields, .. } | Step::Replace { fields, .. } => {
                let thing =
                    all.things.get_mut(what).ok_or_else(|| wrong("is to be changed and is not there"))?;
                for (name, edit) in fields {
                    let found = thing.get(name).cloned().unwrap_or(Value::Null);
                    if found != edit.before {
                        let problem = format!("{name} is {found}, and not {} as planned for", edit.before);
                        return Err(wrong(&problem));
                    }
                    match edit.after.is_null() {
                        true => drop(thing.remove(name)),
                        false => drop(thing.insert(name.clone(), edit.after.clone())),
                    }
                }
            }
            Step::Move { what: Address::Route(listener, name), after } => {
                if !all.things.contains_key(what) {
                    return Err(wrong("is to be moved and is not there"));
                }
                placed.entry(listener).or_default().push((name, after.as_ref()));
            }
            Step::Move { .. } => return Err(wrong("has no place to be moved to: only routes do")),
            Step::Delete { fields, .. } => {
                let found = all.things.remove(what).ok_or_else(|| wrong("is to go and is not there"))?;
                if found != *fields {
                    return Err(wrong("is to go and is not what was planned for"));
                }
                match what {
                    // Its place goes with the others', below: a listener may lose thousands.
                    Address::Route(listener, _) => drop(placed.entry(listener).or_default()),
                    Address::Listener(name) => drop(all.order.remove(name)),
                    _ => {}
                }
            }
        }
    }
    for (listener, routes) in placed {
        let things = &all.things;
        let Some(order) = all.order.get_mut(listener) else { continue };
        let moved: BTreeSet<&String> = routes.iter().map(|(name, _)| *name).collect();
        order.retain(|name| {
            !moved.contains(name) && things.contains_key(&Address::Route(listener.clone(), name.clone()))
        });
        *order = place(std::mem::take(order), &routes)
            .map_err(|problem| StepError { what: format!("listener.{listener}"), problem })?;
    }
    let whole = |problem| StepError { what: "the whole".to_owned(), problem };
    let fleet = all.into_fleet().map_err(whole)?;
    match fleet.validation_errors().first() {
        Some(fault) => Err(whole(fault.to_string())),
        None => Ok(fleet),
    }
}

/// Puts routes behind those that they name, in one pass: chains of new ones hang on one that stands.
fn place(standing: Vec<String>, routes: &[(&String, Option<&String>)]) -> Result<Vec<String>, String> {
    let (mut first, mut behind): (Vec<&String>, BTreeMap<&str, Vec<&String>>) = Default::default();
    for &(name, after) in routes {
        match after {
            Some(after) => behind.entry(after).or_default().push(name),
            None => first.push(name),
        }
    }
    let total = standing.len() + routes.len();
    let mut order: Vec<String> = Vec::with_capacity(total);
    chains(first, &mut behind, &mut order);
    for name in standing {
        let open = behind.remove(name.as_str()).unwrap_or_default();
        order.push(name);
        chains(open, &mut behind, &mut order);
    }
    match order.len() == total {
        true => Ok(order),
        false => Err("a route is to stand behind one that is not there".to_owned()),
    }
}

/// Puts routes next, each with all that hang on it; what is named last stands nearest.
fn chains<'n>(
    mut open: Vec<&'n String>,
    behind: &mut BTreeMap<&'n str, Vec<&'n String>>,
    order: &mut Vec<String>,
) {
    while let Some(name) = open.pop() {
        order.push(name.clone());
        open.extend(behind.remove(name.as_str()).unwrap_or_default());
    }
}
