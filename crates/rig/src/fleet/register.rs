//! Checks that changes and reads of the configuration behave like operations on one register.
//!
//! A change is accepted only on the version that it is based on, and version numbers rise. So the versions that came
//! into force form one chain, which is followed back from the newest one; unknown is when each came into force. Every
//! observation bounds these times, and the check searches for times within the bounds in the order of the chain.

use super::check::Rule;
use super::history::{Event, EventKind, Version};
use crate::check::Violation;
use std::collections::{BTreeMap, BTreeSet};

/// Bound on the chains that are tried if no observation shows an intermediate version.
const MAX_CHAINS: usize = 64;
/// Bound on the mismatch responses for which both possible times are tried.
const MAX_ALTERNATIVES: usize = 24;

/// All attempts of one change.
struct Change {
    base: u64,
    valid: bool,
    began: u64,
    acknowledged: Option<u64>,
    refused: Option<(u64, u16)>,
}

/// An observation and its time.
enum Observation {
    /// This version was in force at some time in the interval.
    Read { began: u64, ended: u64, version: Version },
    /// This version had come into force by this time.
    Reported { at: u64, version: Version },
    /// A version other than `base` was in force at some time in the interval.
    Mismatch { began: u64, ended: u64, base: u64 },
    /// A version with at least this number had come into force by this time.
    NotAbove { at: u64, number: u64 },
}

struct Facts {
    changes: BTreeMap<Version, Change>,
    observations: Vec<Observation>,
    seen_versions: BTreeSet<Version>,
}

impl Facts {
    fn of(events: &[Event]) -> Facts {
        let mut facts =
            Facts { changes: BTreeMap::new(), observations: Vec::new(), seen_versions: BTreeSet::new() };
        events.iter().for_each(|event| facts.add(event));
        facts
    }

    fn add(&mut self, event: &Event) {
        let (began, ended) = (event.began, event.ended.unwrap_or(u64::MAX));
        match &event.what {
            EventKind::Replace { base, version, valid, status, .. } => {
                self.add_attempt(began, ended, *base, version, *valid, *status);
            }
            EventKind::Read { version: Some(version), .. } => {
                self.observe(version);
                self.observations.push(Observation::Read { began, ended, version: version.clone() });
            }
            EventKind::Told { version, .. } => {
                self.observe(version);
                self.observations.push(Observation::Reported { at: ended, version: version.clone() });
            }
            _ => {}
        }
    }

    fn observe(&mut self, version: &Version) {
        if version.number > 0 {
            self.seen_versions.insert(version.clone());
        }
    }

    fn add_attempt(
        &mut self,
        began: u64,
        ended: u64,
        base: u64,
        version: &Version,
        valid: bool,
        status: Option<u16>,
    ) {
        let new = Change { base, valid, began, acknowledged: None, refused: None };
        let change = self.changes.entry(version.clone()).or_insert(new);
        change.began = change.began.min(began);
        match status {
            Some(200) => {
                change.acknowledged = Some(change.acknowledged.unwrap_or(ended).min(ended));
                self.observe(version);
            }
            Some(status) if status < 500 => change.refused = change.refused.or(Some((ended, status))),
            _ => {}
        }
        match status {
            Some(412) if valid => self.observations.push(Observation::Mismatch { began, ended, base }),
            Some(409) if valid => {
                self.observations.push(Observation::NotAbove { at: ended, number: version.number })
            }
            _ => {}
        }
    }

    /// Changes that may have come into force under a number.
    fn candidates(&self, number: u64) -> Vec<&Version> {
        let under = |version: &&Version| version.number == number;
        let seen_versions: Vec<&Version> = self.seen_versions.iter().filter(under).collect();
        if !seen_versions.is_empty() {
            return seen_versions;
        }
        let possible = self.changes.iter().filter(|(_, change)| change.valid && change.refused.is_none());
        possible.map(|(version, _)| version).filter(under).collect()
    }

    /// The chains that may lead to a version, without the initial state.
    fn chains(&self, newest: &Version) -> Vec<Vec<Version>> {
        let mut partial = vec![vec![newest.clone()]];
        let mut complete = Vec::new();
        while let Some(chain) = partial.pop().filter(|_| complete.len() < MAX_CHAINS) {
            let base = chain.last().and_then(|version| self.changes.get(version)).map(|change| change.base);
            match base {
                Some(0) => complete.push(chain.into_iter().rev().collect()),
                Some(base) => {
                    for before in self.candidates(base) {
                        let mut longer = chain.clone();
                        longer.push(before.clone());
                        partial.push(longer);
                    }
                }
                None => {}
            }
        }
        complete
    }
}

/// Earliest and latest times at which the versions of a chain came into force.
#[derive(Clone)]
struct Windows {
    earliest: Vec<u64>,
    latest: Vec<u64>,
}

impl Windows {
    /// Raises the earliest time of a version and its successors.
    fn not_before(&mut self, at: usize, moment: u64) {
        for earliest in self.earliest.iter_mut().skip(at) {
            if *earliest >= moment {
                return;
            }
            *earliest = moment;
        }
    }

    /// Lowers the latest time of a version and its predecessors.
    fn not_after(&mut self, at: usize, moment: u64) {
        for latest in self.latest[..=at].iter_mut().rev() {
            if *latest <= moment {
                return;
            }
            *latest = moment;
        }
    }

    /// The first version of the chain whose window is empty.
    fn empty_window(&self) -> Option<usize> {
        (0..self.earliest.len()).find(|at| self.earliest[*at] > self.latest[*at])
    }
}

/// A chain of versions, starting with the fleet without a configuration.
struct Chain<'a> {
    facts: &'a Facts,
    versions: Vec<Version>,
}

/// Why a chain does not fit the observations.
struct Contradiction {
    at: u64,
    evidence: String,
}

impl Chain<'_> {
    fn position(&self, version: &Version) -> Option<usize> {
        self.versions.iter().position(|other| other == version)
    }

    /// Whether times exist for all versions of the chain.
    fn fits(&self) -> Result<(), Contradiction> {
        let mut windows =
            Windows { earliest: vec![0; self.versions.len()], latest: vec![u64::MAX; self.versions.len()] };
        windows.latest[0] = 0;
        for (at, version) in self.versions.iter().enumerate().skip(1) {
            let change = &self.facts.changes[version];
            windows.not_before(at, change.began);
            windows.not_after(at, change.acknowledged.unwrap_or(u64::MAX));
        }
        let mut alternatives = Vec::new();
        for observation in &self.facts.observations {
            self.constrain(observation, &mut windows, &mut alternatives)?;
            if let Some(empty_window) = windows.empty_window() {
                return Err(self.contradiction(observation, empty_window));
            }
        }
        if resolve(windows, &alternatives, MAX_ALTERNATIVES) {
            return Ok(());
        }
        Err(Contradiction { at: 0, evidence: "no times satisfy all responses 412".to_owned() })
    }

    fn contradiction(&self, observation: &Observation, empty_window: usize) -> Contradiction {
        let (at, what) = match observation {
            Observation::Read { began, ended, version } => {
                (*began, format!("{version:?} was read up to {ended}"))
            }
            Observation::Reported { at, version } => (*at, format!("an agent reported {version:?}")),
            Observation::Mismatch { began, base, .. } => (*began, format!("412 for a change on {base}")),
            Observation::NotAbove { at, number } => (*at, format!("409 for {number}")),
        };
        Contradiction {
            at,
            evidence: format!(
                "{what}, and no time is left at which {:?} can have come into force",
                self.versions[empty_window]
            ),
        }
    }

    /// Narrows the windows by an observation; a response 412 may leave two alternatives.
    fn constrain(
        &self,
        observation: &Observation,
        windows: &mut Windows,
        alternatives: &mut Vec<Alternative>,
    ) -> Result<(), Contradiction> {
        match observation {
            Observation::Read { began, ended, version } => {
                let Some(at) = self.position(version) else { return Ok(()) }; // reported by `off_chain`
                windows.not_after(at, *ended);
                windows.not_before(at + 1, *began);
            }
            Observation::Reported { at: moment, version } => {
                if let Some(at) = self.position(version) {
                    windows.not_after(at, *moment);
                }
            }
            Observation::NotAbove { at: moment, number } => {
                let Some(at) = self.versions.iter().position(|version| version.number >= *number) else {
                    let evidence = format!("409 for {number}, and no version has a number as high");
                    return Err(Contradiction { at: *moment, evidence });
                };
                windows.not_after(at, *moment);
            }
            Observation::Mismatch { began, ended, base } => {
                if let Some(at) = self.versions.iter().position(|version| version.number == *base) {
                    alternatives.push(Alternative { at, began: *began, ended: *ended });
                }
            }
        }
        Ok(())
    }
}

/// The version at this position was not yet, or no longer, in force at some time in the interval.
struct Alternative {
    at: usize,
    began: u64,
    ended: u64,
}

impl Alternative {
    fn holds(&self, windows: &Windows) -> bool {
        let ended_before = windows.latest.get(self.at + 1).is_some_and(|latest| *latest <= self.ended);
        ended_before || windows.earliest[self.at] > self.began
    }
}

/// Whether times within the windows satisfy all alternatives; `depth_left` bounds the branches.
fn resolve(mut windows: Windows, alternatives: &[Alternative], depth_left: usize) -> bool {
    loop {
        if windows.empty_window().is_some() {
            return false;
        }
        let open: Vec<&Alternative> =
            alternatives.iter().filter(|alternative| !alternative.holds(&windows)).collect();
        let Some(first) = open.first() else { return true };
        let mut later = windows.clone();
        later.not_before(first.at, first.began.saturating_add(1));
        let mut sooner = windows.clone();
        if first.at + 1 < sooner.latest.len() {
            sooner.not_after(first.at + 1, first.ended);
        } else {
            sooner.latest[0] = 0;
            sooner.earliest[0] = 1;
        }
        match (sooner.empty_window().is_none(), later.empty_window().is_none()) {
            (false, false) => return false,
            (true, false) => windows = sooner,
            (false, true) => windows = later,
            (true, true) if depth_left == 0 => return true, // undecided within the bound: not reported
            (true, true) => {
                return resolve(sooner, alternatives, depth_left - 1)
                    || resolve(later, alternatives, depth_left - 1);
            }
        }
    }
}

/// Checks all changes and reads of a round.
pub fn check_register(events: &[Event], violations: &mut Vec<Violation<Rule>>) {
    let facts = Facts::of(events);
    check_refusals(events, &facts, violations);
    let Some(newest) = facts.seen_versions.last() else { return };
    let chains = facts.chains(newest);
    let mut contradictions = Vec::new();
    for versions in chains {
        let versions: Vec<Version> = std::iter::once(Version::none()).chain(versions).collect();
        let chain = Chain { facts: &facts, versions };
        let off_chain = off_chain(&facts, &chain);
        if off_chain.is_empty() && chain.fits().is_ok() {
            return;
        }
        let contradiction = chain.fits().err().map(|Contradiction { at, evidence }| Violation {
            rule: Rule::Order,
            at,
            evidence,
        });
        contradictions = off_chain.into_iter().chain(contradiction).collect();
    }
    if contradictions.is_empty() {
        let evidence = format!("{newest:?} is based on versions that were not sent or were refused");
        contradictions.push(Violation { rule: Rule::Order, at: 0, evidence });
    }
    violations.append(&mut contradictions);
}

/// Versions that were observed and are not on the chain to the newest one.
fn off_chain(facts: &Facts, chain: &Chain) -> Vec<Violation<Rule>> {
    let newest = chain.versions.last().cloned().unwrap_or_else(Version::none);
    let missing = facts.seen_versions.iter().filter(|version| chain.position(version).is_none());
    let violation = |version: &Version| {
        let acknowledged = facts.changes.get(version).and_then(|change| change.acknowledged);
        let (rule, what) = match acknowledged {
            Some(_) => (Rule::Lost, "acknowledged"),
            None => (Rule::Order, "read or reported"),
        };
        let evidence = format!("{version:?} was {what} and is not a predecessor of {newest:?}");
        Violation { rule, at: acknowledged.unwrap_or(0), evidence }
    };
    missing.map(violation).collect()
}

/// Refused or invalid changes that came into force, and valid changes that were answered 400.
fn check_refusals(events: &[Event], facts: &Facts, violations: &mut Vec<Violation<Rule>>) {
    for version in &facts.seen_versions {
        let Some(change) = facts.changes.get(version) else {
            let evidence = format!("{version:?} was observed, but was never sent");
            violations.push(Violation { rule: Rule::Order, at: 0, evidence });
            continue;
        };
        if !change.valid {
            let evidence = format!("{version:?} is invalid and came into force");
            violations.push(Violation { rule: Rule::Refused, at: change.began, evidence });
        } else if let Some((at, status)) = change.refused {
            let evidence = format!("{version:?} came into force although it was answered {status}");
            violations.push(Violation { rule: Rule::Refused, at, evidence });
        }
    }
    for event in events {
        if let EventKind::Replace { version, valid: true, status: Some(400), .. } = &event.what {
            let evidence = format!("{version:?} is valid but was answered 400");
            violations.push(Violation { rule: Rule::Refused, at: event.began, evidence });
        }
    }
}
