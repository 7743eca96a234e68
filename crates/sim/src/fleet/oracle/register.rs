//! The configuration as one register: a linearizable compare-and-set with repeats.

use super::{Breach, Rule};
use crate::fleet::facts::{Asked, Call, Facts, Order, Told};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A configuration was seen in force, at the latest at this time.
struct Sighting {
    version: u64,
    marker: u64,
    at: Duration,
    by: String,
}

/// Judges all calls and words about configurations.
pub fn judge(facts: &Facts) -> Vec<Breach> {
    let register = Register::new(facts);
    let mut breaches = register.one_configuration();
    breaches.extend(register.sent());
    breaches.extend(register.amended());
    breaches.extend(register.current());
    match register.history() {
        Ok(history) => breaches.extend(register.judge_history(&history)),
        Err(breach) => breaches.push(breach),
    }
    breaches
}

struct Register<'a> {
    facts: &'a Facts,
    /// In the order of time.
    sightings: Vec<Sighting>,
    /// The marker that was seen first of each version.
    markers: BTreeMap<u64, u64>,
    /// Orders that were refused, and when.
    refused: BTreeMap<usize, Duration>,
    /// When each order was sent first.
    sent: BTreeMap<usize, Duration>,
}

fn sighting_of(facts: &Facts, number: usize, call: &Call) -> Option<Sighting> {
    let (answer, at) = (call.answer.as_ref()?, call.ended?);
    let by = format!("call {number} to core-{}", call.core);
    match call.asked {
        Asked::Replace(order) if answer.status == 200 => {
            let order = &facts.orders[order];
            Some(Sighting { version: order.version, marker: order.marker, at, by })
        }
        Asked::Read if answer.status == 200 => {
            let (version, marker) = answer.config?;
            Some(Sighting { version, marker, at, by })
        }
        _ => None,
    }
}

impl<'a> Register<'a> {
    fn new(facts: &'a Facts) -> Self {
        let calls = facts.calls.iter().enumerate();
        let mut sightings: Vec<Sighting> =
            calls.filter_map(|(number, call)| sighting_of(facts, number, call)).collect();
        sightings.extend(facts.words.iter().filter_map(|word| match word.told {
            Told::Config(version, marker) => {
                Some(Sighting { version, marker, at: word.at, by: format!("edge-{}", word.agent) })
            }
            _ => None,
        }));
        sightings.sort_by_key(|sighting| sighting.at);
        let mut markers = BTreeMap::new();
        for sighting in &sightings {
            markers.entry(sighting.version).or_insert(sighting.marker);
        }
        let (mut refused, mut sent) = (BTreeMap::new(), BTreeMap::new());
        for call in &facts.calls {
            let Asked::Replace(order) = call.asked else { continue };
            sent.entry(order).or_insert(call.began);
            if call.answer.as_ref().is_some_and(|answer| matches!(answer.status, 400 | 409 | 412)) {
                refused.entry(order).or_insert(call.ended.unwrap_or(call.began));
            }
        }
        Register { facts, sightings, markers, refused, sent }
    }

    fn one_configuration(&self) -> Vec<Breach> {
        let other = self.sightings.iter().find(|s| self.markers.get(&s.version) != Some(&s.marker));
        let breach = other.map(|s| {
            let what = format!("version {} is #{} and #{}", s.version, self.markers[&s.version], s.marker);
            Breach::new(Rule::OneConfiguration, s.at, format!("{what} ({})", s.by))
        });
        breach.into_iter().collect()
    }

    fn sent(&self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for Sighting { version, marker, at, by } in &self.sightings {
            let order = self.facts.orders.get(*marker as usize);
            let known = order.is_some_and(|order| order.valid && order.version == *version);
            let in_time = self.sent.get(&(*marker as usize)).is_some_and(|sent| sent <= at);
            if !known || !in_time {
                let what = format!("version {version} of #{marker} was not sent, or is not valid ({by})");
                breaches.push(Breach::new(Rule::Sent, *at, what));
            }
        }
        breaches.truncate(1);
        breaches
    }

    /// Each configuration was made of one that was sent whole and of amendments, each on top of the one before.
    fn amended(&self) -> Vec<Breach> {
        let broken = self.facts.lineages.iter().find(|(_, lineage)| !self.is_sound(lineage));
        let breach = broken.map(|(at, lineage)| {
            Breach::new(Rule::Amended, *at, format!("a configuration was made of versions {lineage:?}"))
        });
        breach.into_iter().collect()
    }

    fn is_sound(&self, lineage: &[u64]) -> bool {
        let orders = &self.facts.orders;
        let sent_whole =
            |version: &u64| orders.iter().any(|order| order.version == *version && !order.is_amendment());
        let builds_on = |base: u64, version: u64| {
            let amends =
                |order: &Order| order.is_amendment() && (order.base, order.version) == (base, version);
            orders.iter().any(amends)
        };
        lineage.first().is_some_and(sent_whole)
            && lineage.windows(2).all(|pair| builds_on(pair[0], pair[1]))
    }

    /// What each answer shows must not be older than what was known before it was asked for.
    fn current(&self) -> Vec<Breach> {
        let mut known: Vec<(Duration, u64)> = self.sightings.iter().map(|s| (s.at, s.version)).collect();
        for word in &self.facts.words {
            if let Told::Version(version) = word.told {
                known.push((word.at, version));
            }
        }
        for call in &self.facts.calls {
            let named = call.answer.as_ref().and_then(|answer| answer.named);
            known.extend(named.zip(call.ended).map(|(version, at)| (at, version)));
        }
        known.sort_unstable();
        // The highest version up to each moment.
        let mut highest = 0;
        for (_, version) in &mut known {
            highest = highest.max(*version);
            *version = highest;
        }
        let floor = |at: Duration| {
            let before = known.partition_point(|(time, _)| *time < at);
            before.checked_sub(1).map_or(0, |last| known[last].1)
        };
        let calls = self.facts.calls.iter().enumerate();
        let stale = calls.filter_map(|(number, call)| {
            let shown = shown(call)?;
            let least = floor(call.began);
            (shown < least).then(|| {
                let what = format!("call {number} to core-{} shows {shown}, {least} was known", call.core);
                Breach::new(Rule::Current, call.ended.unwrap_or(call.began), what)
            })
        });
        stale.take(1).collect()
    }

    /// Orders from the newest to the first, each on top of the next one.
    fn history(&self) -> Result<Vec<usize>, Breach> {
        let Some((newest, marker)) = self.markers.last_key_value() else { return Ok(Vec::new()) };
        let mut found = None;
        let mut deepest = Vec::new();
        self.walk(*marker as usize, &mut Vec::new(), &mut found, &mut deepest);
        found.ok_or_else(|| {
            let on: BTreeSet<u64> = deepest.iter().map(|order| self.facts.orders[*order].version).collect();
            let lost = self.sightings.iter().find(|sighting| !on.contains(&sighting.version));
            let (at, what) = lost.map_or((self.facts.end, "nothing".to_owned()), |sighting| {
                (sighting.at, format!("version {} ({})", sighting.version, sighting.by))
            });
            Breach::new(Rule::Durable, at, format!("{what} is not below version {newest}"))
        })
    }

    fn walk(
        &self,
        order: usize,
        path: &mut Vec<usize>,
        found: &mut Option<Vec<usize>>,
        deepest: &mut Vec<usize>,
    ) {
        let Some(Some(base)) = self.facts.orders.get(order).map(|order| Some(order.base)) else { return };
        path.push(order);
        if path.len() > deepest.len() {
            deepest.clone_from(path);
        }
        if base == 0 {
            let on: BTreeSet<u64> = path.iter().map(|order| self.facts.orders[*order].version).collect();
            if self.markers.keys().all(|version| on.contains(version)) {
                *found = Some(path.clone());
            }
        } else if let Some(marker) = self.markers.get(&base) {
            self.walk(*marker as usize, path, found, deepest);
        } else {
            // Nobody has seen it in force: whatever was sent under that number and not refused may be it.
            let orders = self.facts.orders.iter().enumerate();
            let below = orders.filter(|(number, below)| {
                below.version == base && below.valid && !self.refused.contains_key(number)
            });
            for (number, _) in below {
                if found.is_none() {
                    self.walk(number, path, found, deepest);
                }
            }
        }
        path.pop();
    }

    fn judge_history(&self, history: &[usize]) -> Vec<Breach> {
        let mut breaches = Vec::new();
        // The earliest moment at which something above was in force.
        let mut above = Duration::MAX;
        for order in history {
            let version = self.facts.orders[*order].version;
            if let Some(at) = self.refused.get(order) {
                let what = format!("#{order} (version {version}) came into force and was refused");
                breaches.push(Breach::new(Rule::Refused, *at, what));
            }
            let sent = self.sent.get(order).copied().unwrap_or(Duration::MAX);
            if sent > above {
                let what =
                    format!("#{order} (version {version}) was sent after something above it was seen");
                breaches.push(Breach::new(Rule::Current, above, what));
            }
            let seen = self.sightings.iter().find(|sighting| sighting.version == version);
            above = above.min(seen.map_or(Duration::MAX, |sighting| sighting.at));
        }
        breaches
    }
}

/// The version that an answer shows to be current.
fn shown(call: &Call) -> Option<u64> {
    let answer = call.answer.as_ref()?;
    match (call.asked, answer.status) {
        (Asked::Read, 200) => answer.config.map(|(version, _)| version),
        (Asked::Read, 404) => Some(0),
        (Asked::Replace(_), 412) => answer.named,
        _ => None,
    }
}
