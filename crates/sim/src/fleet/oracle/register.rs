//! Rules about the configuration, which is a linearizable compare-and-set register whose changes may be
//! repeated.

use super::{Rule, Violation};
use crate::fleet::facts::{Call, CallKind, ConfigChange, Facts, Report};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A configuration was seen in effect, at the given time at the latest.
struct Observation {
    version: u64,
    marker: u64,
    at: Duration,
    source: String,
}

/// Checks all calls and agents' reports about configurations.
pub fn check(facts: &Facts) -> Vec<Violation> {
    let register = Register::new(facts);
    let mut violations = register.check_one_configuration();
    violations.extend(register.check_sent());
    violations.extend(register.check_amendments());
    violations.extend(register.check_current());
    match register.find_history() {
        Ok(history) => violations.extend(register.check_history(&history)),
        Err(violation) => violations.push(violation),
    }
    violations
}

struct Register<'a> {
    facts: &'a Facts,
    /// Ordered by time.
    observations: Vec<Observation>,
    /// The marker that was first seen for each version.
    markers: BTreeMap<u64, u64>,
    /// The changes that were refused, and when.
    refused: BTreeMap<usize, Duration>,
    /// When each change was first sent.
    sent: BTreeMap<usize, Duration>,
}

fn observation_of(facts: &Facts, number: usize, call: &Call) -> Option<Observation> {
    let (answer, at) = (call.answer.as_ref()?, call.ended?);
    let source = format!("call {number} to core-{}", call.core);
    match call.asked {
        CallKind::Replace(change) if answer.status == 200 => {
            let change = &facts.changes[change];
            Some(Observation { version: change.version, marker: change.marker, at, source })
        }
        CallKind::Read if answer.status == 200 => {
            let (version, marker) = answer.config?;
            Some(Observation { version, marker, at, source })
        }
        _ => None,
    }
}

impl<'a> Register<'a> {
    fn new(facts: &'a Facts) -> Self {
        let calls = facts.calls.iter().enumerate();
        let mut observations: Vec<Observation> =
            calls.filter_map(|(number, call)| observation_of(facts, number, call)).collect();
        observations.extend(facts.events.iter().filter_map(|event| match event.report {
            Report::Config(version, marker) => {
                Some(Observation { version, marker, at: event.at, source: format!("edge-{}", event.agent) })
            }
            _ => None,
        }));
        observations.sort_by_key(|observation| observation.at);
        let mut markers = BTreeMap::new();
        for observation in &observations {
            markers.entry(observation.version).or_insert(observation.marker);
        }
        let (mut refused, mut sent) = (BTreeMap::new(), BTreeMap::new());
        for call in &facts.calls {
            let CallKind::Replace(change) = call.asked else { continue };
            sent.entry(change).or_insert(call.began);
            if call.answer.as_ref().is_some_and(|answer| matches!(answer.status, 400 | 409 | 412)) {
                refused.entry(change).or_insert(call.ended.unwrap_or(call.began));
            }
        }
        Register { facts, observations, markers, refused, sent }
    }

    fn check_one_configuration(&self) -> Vec<Violation> {
        let other = self.observations.iter().find(|s| self.markers.get(&s.version) != Some(&s.marker));
        let violation = other.map(|s| {
            let what =
                format!("version {} is both #{} and #{}", s.version, self.markers[&s.version], s.marker);
            Violation::new(Rule::OneConfiguration, s.at, format!("{what} ({})", s.source))
        });
        violation.into_iter().collect()
    }

    fn check_sent(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for Observation { version, marker, at, source } in &self.observations {
            let change = self.facts.changes.get(*marker as usize);
            let known = change.is_some_and(|change| change.valid && change.version == *version);
            let in_time = self.sent.get(&(*marker as usize)).is_some_and(|sent| sent <= at);
            if !known || !in_time {
                let what = format!("version {version} of #{marker} was not sent or is invalid ({source})");
                violations.push(Violation::new(Rule::Sent, *at, what));
            }
        }
        violations.truncate(1);
        violations
    }

    /// Each configuration is made of one that was sent as a whole, followed by amendments that each build
    /// on the one before.
    fn check_amendments(&self) -> Vec<Violation> {
        let broken = self.facts.lineages.iter().find(|(_, lineage)| !self.is_valid_lineage(lineage));
        let violation = broken.map(|(at, lineage)| {
            Violation::new(
                Rule::Amended,
                *at,
                format!("no sequence of changes gives a configuration made of versions {lineage:?}"),
            )
        });
        violation.into_iter().collect()
    }

    fn is_valid_lineage(&self, lineage: &[u64]) -> bool {
        let changes = &self.facts.changes;
        let sent_whole = |version: &u64| changes.iter().any(|c| c.version == *version && !c.is_amendment());
        let builds_on = |base: u64, version: u64| {
            let amends = |c: &ConfigChange| c.is_amendment() && (c.base, c.version) == (base, version);
            changes.iter().any(amends)
        };
        lineage.first().is_some_and(sent_whole)
            && lineage.windows(2).all(|pair| builds_on(pair[0], pair[1]))
    }

    /// No answer shows an older version than was known before its call began.
    fn check_current(&self) -> Vec<Violation> {
        let mut known: Vec<(Duration, u64)> = self.observations.iter().map(|s| (s.at, s.version)).collect();
        for event in &self.facts.events {
            if let Report::Version(version) = event.report {
                known.push((event.at, version));
            }
        }
        for call in &self.facts.calls {
            let named = call.answer.as_ref().and_then(|answer| answer.named);
            known.extend(named.zip(call.ended).map(|(version, at)| (at, version)));
        }
        known.sort_unstable();
        // Replaces each version by the highest one up to that time.
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
            let shown = shown_version(call)?;
            let least = floor(call.began);
            (shown < least).then(|| {
                let what =
                    format!("call {number} to core-{} shows {shown} though {least} was known", call.core);
                Violation::new(Rule::Current, call.ended.unwrap_or(call.began), what)
            })
        });
        stale.take(1).collect()
    }

    /// The changes from the newest to the first, each followed by the one that it builds on.
    fn find_history(&self) -> Result<Vec<usize>, Violation> {
        let Some((newest, marker)) = self.markers.last_key_value() else { return Ok(Vec::new()) };
        let mut found = None;
        let mut deepest = Vec::new();
        self.search(*marker as usize, &mut Vec::new(), &mut found, &mut deepest);
        found.ok_or_else(|| {
            let versions: BTreeSet<u64> =
                deepest.iter().map(|change| self.facts.changes[*change].version).collect();
            let lost =
                self.observations.iter().find(|observation| !versions.contains(&observation.version));
            let (at, what) = lost.map_or((self.facts.end, "nothing".to_owned()), |observation| {
                (observation.at, format!("version {} ({})", observation.version, observation.source))
            });
            Violation::new(Rule::Durable, at, format!("{what} is not in the history of version {newest}"))
        })
    }

    fn search(
        &self,
        change: usize,
        path: &mut Vec<usize>,
        found: &mut Option<Vec<usize>>,
        deepest: &mut Vec<usize>,
    ) {
        let Some(Some(base)) = self.facts.changes.get(change).map(|c| Some(c.base)) else { return };
        path.push(change);
        if path.len() > deepest.len() {
            deepest.clone_from(path);
        }
        if base == 0 {
            let versions: BTreeSet<u64> =
                path.iter().map(|change| self.facts.changes[*change].version).collect();
            if self.markers.keys().all(|version| versions.contains(version)) {
                *found = Some(path.clone());
            }
        } else if let Some(marker) = self.markers.get(&base) {
            self.search(*marker as usize, path, found, deepest);
        } else {
            // No caller saw this version in effect, so it may be any change that was sent with that number
            // and not refused.
            let changes = self.facts.changes.iter().enumerate();
            let candidates = changes.filter(|(number, candidate)| {
                candidate.version == base && candidate.valid && !self.refused.contains_key(number)
            });
            for (number, _) in candidates {
                if found.is_none() {
                    self.search(number, path, found, deepest);
                }
            }
        }
        path.pop();
    }

    fn check_history(&self, history: &[usize]) -> Vec<Violation> {
        let mut violations = Vec::new();
        // The earliest time at which a newer version was seen in effect.
        let mut newer_seen_at = Duration::MAX;
        for change in history {
            let version = self.facts.changes[*change].version;
            if let Some(at) = self.refused.get(change) {
                let what = format!("#{change} (version {version}) took effect and was refused");
                violations.push(Violation::new(Rule::Refused, *at, what));
            }
            let sent = self.sent.get(change).copied().unwrap_or(Duration::MAX);
            if sent > newer_seen_at {
                let what = format!("#{change} (version {version}) was sent after a newer version was seen");
                violations.push(Violation::new(Rule::Current, newer_seen_at, what));
            }
            let seen = self.observations.iter().find(|observation| observation.version == version);
            newer_seen_at = newer_seen_at.min(seen.map_or(Duration::MAX, |observation| observation.at));
        }
        violations
    }
}

/// The version that an answer shows as the current one.
fn shown_version(call: &Call) -> Option<u64> {
    let answer = call.answer.as_ref()?;
    match (call.asked, answer.status) {
        (CallKind::Read, 200) => answer.config.map(|(version, _)| version),
        (CallKind::Read, 404) => Some(0),
        (CallKind::Replace(_), 412) => answer.named,
        _ => None,
    }
}
