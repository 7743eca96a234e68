//! Judges changes and reads of the configuration as those of one register.
//!
//! A change is taken only on top of the version that it builds on, and versions rise. So the versions that came into force
//! form one chain, which the newest one gives backwards, and what is left open is when each came into force. Each
//! observation bounds that: the search is for moments within these bounds, in the order of the chain.

use super::check::Rule;
use super::history::{Did, Event, Version};
use crate::check::Breach;
use std::collections::{BTreeMap, BTreeSet};

/// Chains that are tried where versions between others were seen by nobody.
const MAX_CHAINS: usize = 64;
/// Refusals for which either of two moments has to be tried, one after the other.
const MAX_CHOICES: usize = 24;

/// All attempts of one change.
struct Change {
    base: u64,
    valid: bool,
    began: u64,
    acknowledged: Option<u64>,
    refused: Option<(u64, u16)>,
}

/// What was seen, and when.
enum Seen {
    /// This version was in force at some moment between these.
    Read { began: u64, ended: u64, version: Version },
    /// This version had come into force by then.
    Told { at: u64, version: Version },
    /// Another version than this one was in force at some moment between these.
    Mismatch { began: u64, ended: u64, base: u64 },
    /// A version of at least this number had come into force by then.
    NotAbove { at: u64, number: u64 },
}

struct Facts {
    changes: BTreeMap<Version, Change>,
    seen: Vec<Seen>,
    observed: BTreeSet<Version>,
}

impl Facts {
    fn of(events: &[Event]) -> Facts {
        let mut facts = Facts { changes: BTreeMap::new(), seen: Vec::new(), observed: BTreeSet::new() };
        events.iter().for_each(|event| facts.take(event));
        facts
    }

    fn take(&mut self, event: &Event) {
        let (began, ended) = (event.began, event.ended.unwrap_or(u64::MAX));
        match &event.what {
            Did::Replace { base, version, valid, status, .. } => {
                self.take_attempt(began, ended, *base, version, *valid, *status);
            }
            Did::Read { version: Some(version), .. } => {
                self.observe(version);
                self.seen.push(Seen::Read { began, ended, version: version.clone() });
            }
            Did::Told { version, .. } => {
                self.observe(version);
                self.seen.push(Seen::Told { at: ended, version: version.clone() });
            }
            _ => {}
        }
    }

    fn observe(&mut self, version: &Version) {
        if version.number > 0 {
            self.observed.insert(version.clone());
        }
    }

    fn take_attempt(
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
            Some(412) if valid => self.seen.push(Seen::Mismatch { began, ended, base }),
            Some(409) if valid => self.seen.push(Seen::NotAbove { at: ended, number: version.number }),
            _ => {}
        }
    }

    /// Changes that may have come into force under a number.
    fn candidates(&self, number: u64) -> Vec<&Version> {
        let under = |version: &&Version| version.number == number;
        let observed: Vec<&Version> = self.observed.iter().filter(under).collect();
        if !observed.is_empty() {
            return observed;
        }
        let possible = self.changes.iter().filter(|(_, change)| change.valid && change.refused.is_none());
        possible.map(|(version, _)| version).filter(under).collect()
    }

    /// The chains that may lead to a version, without the state before the first.
    fn chains(&self, newest: &Version) -> Vec<Vec<Version>> {
        let mut open = vec![vec![newest.clone()]];
        let mut whole = Vec::new();
        while let Some(chain) = open.pop().filter(|_| whole.len() < MAX_CHAINS) {
            let base = chain.last().and_then(|version| self.changes.get(version)).map(|change| change.base);
            match base {
                Some(0) => whole.push(chain.into_iter().rev().collect()),
                Some(base) => {
                    for before in self.candidates(base) {
                        let mut longer = chain.clone();
                        longer.push(before.clone());
                        open.push(longer);
                    }
                }
                None => {}
            }
        }
        whole
    }
}

/// Earliest and latest moments at which the versions of a chain came into force.
#[derive(Clone)]
struct Windows {
    earliest: Vec<u64>,
    latest: Vec<u64>,
}

impl Windows {
    /// Not before this.
    fn not_before(&mut self, at: usize, moment: u64) {
        for earliest in self.earliest.iter_mut().skip(at) {
            if *earliest >= moment {
                return;
            }
            *earliest = moment;
        }
    }

    /// Not after this.
    fn not_after(&mut self, at: usize, moment: u64) {
        for latest in self.latest[..=at].iter_mut().rev() {
            if *latest <= moment {
                return;
            }
            *latest = moment;
        }
    }

    /// The first version of the chain without a moment.
    fn stuck(&self) -> Option<usize> {
        (0..self.earliest.len()).find(|at| self.earliest[*at] > self.latest[*at])
    }
}

/// A chain of versions; the first is that of a fleet without a configuration.
struct Chain<'a> {
    facts: &'a Facts,
    versions: Vec<Version>,
}

/// Why a chain is none.
struct Misfit {
    at: u64,
    why: String,
}

impl Chain<'_> {
    fn place(&self, version: &Version) -> Option<usize> {
        self.versions.iter().position(|other| other == version)
    }

    /// Whether moments can be found for all its versions.
    fn fits(&self) -> Result<(), Misfit> {
        let mut windows =
            Windows { earliest: vec![0; self.versions.len()], latest: vec![u64::MAX; self.versions.len()] };
        windows.latest[0] = 0;
        for (at, version) in self.versions.iter().enumerate().skip(1) {
            let change = &self.facts.changes[version];
            windows.not_before(at, change.began);
            windows.not_after(at, change.acknowledged.unwrap_or(u64::MAX));
        }
        let mut choices = Vec::new();
        for seen in &self.facts.seen {
            self.bound(seen, &mut windows, &mut choices)?;
            if let Some(stuck) = windows.stuck() {
                return Err(self.misfit(seen, stuck));
            }
        }
        if settle(windows, &choices, MAX_CHOICES) {
            return Ok(());
        }
        Err(Misfit { at: 0, why: "no moments fit all answers 412".to_owned() })
    }

    fn misfit(&self, seen: &Seen, stuck: usize) -> Misfit {
        let (at, what) = match seen {
            Seen::Read { began, ended, version } => (*began, format!("{version:?} was read up to {ended}")),
            Seen::Told { at, version } => (*at, format!("an agent told {version:?}")),
            Seen::Mismatch { began, base, .. } => (*began, format!("412 for a change on {base}")),
            Seen::NotAbove { at, number } => (*at, format!("409 for {number}")),
        };
        Misfit {
            at,
            why: format!(
                "{what}, and no moment is left at which {:?} came into force",
                self.versions[stuck]
            ),
        }
    }

    /// What an observation says about the moments; an answer 412 may leave a choice.
    fn bound(&self, seen: &Seen, windows: &mut Windows, choices: &mut Vec<Choice>) -> Result<(), Misfit> {
        match seen {
            Seen::Read { began, ended, version } => {
                let Some(at) = self.place(version) else { return Ok(()) }; // judged by itself
                windows.not_after(at, *ended);
                windows.not_before(at + 1, *began);
            }
            Seen::Told { at: moment, version } => {
                if let Some(at) = self.place(version) {
                    windows.not_after(at, *moment);
                }
            }
            Seen::NotAbove { at: moment, number } => {
                let Some(at) = self.versions.iter().position(|version| version.number >= *number) else {
                    let why = format!("409 for {number}, and no version was ever as high");
                    return Err(Misfit { at: *moment, why });
                };
                windows.not_after(at, *moment);
            }
            Seen::Mismatch { began, ended, base } => {
                if let Some(at) = self.versions.iter().position(|version| version.number == *base) {
                    choices.push(Choice { at, began: *began, ended: *ended });
                }
            }
        }
        Ok(())
    }
}

/// The version at a place in the chain was not yet in force, or no longer, at some moment between these.
struct Choice {
    at: usize,
    began: u64,
    ended: u64,
}

impl Choice {
    fn holds(&self, windows: &Windows) -> bool {
        let ended_before = windows.latest.get(self.at + 1).is_some_and(|latest| *latest <= self.ended);
        ended_before || windows.earliest[self.at] > self.began
    }
}

/// Whether moments within the windows meet all choices, of which so many may be open.
fn settle(mut windows: Windows, choices: &[Choice], most: usize) -> bool {
    loop {
        if windows.stuck().is_some() {
            return false;
        }
        let open: Vec<&Choice> = choices.iter().filter(|choice| !choice.holds(&windows)).collect();
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
        match (sooner.stuck().is_none(), later.stuck().is_none()) {
            (false, false) => return false,
            (true, false) => windows = sooner,
            (false, true) => windows = later,
            (true, true) if most == 0 => return true, // given the benefit of the doubt
            (true, true) => return settle(sooner, choices, most - 1) || settle(later, choices, most - 1),
        }
    }
}

/// Judges all changes and reads of a round.
pub fn judge(events: &[Event], breaches: &mut Vec<Breach<Rule>>) {
    let facts = Facts::of(events);
    refusals(events, &facts, breaches);
    let Some(newest) = facts.observed.last() else { return };
    let chains = facts.chains(newest);
    let mut misfits = Vec::new();
    for versions in chains {
        let versions: Vec<Version> = std::iter::once(Version::none()).chain(versions).collect();
        let chain = Chain { facts: &facts, versions };
        let outside = outside(&facts, &chain);
        if outside.is_empty() && chain.fits().is_ok() {
            return;
        }
        let misfit = chain.fits().err().map(|Misfit { at, why }| Breach { rule: Rule::Order, at, why });
        misfits = outside.into_iter().chain(misfit).collect();
    }
    if misfits.is_empty() {
        let why = format!("{newest:?} builds on versions that nobody sent, or that were refused");
        misfits.push(Breach { rule: Rule::Order, at: 0, why });
    }
    breaches.append(&mut misfits);
}

/// What was observed and does not lead to the newest version.
fn outside(facts: &Facts, chain: &Chain) -> Vec<Breach<Rule>> {
    let newest = chain.versions.last().cloned().unwrap_or_else(Version::none);
    let missing = facts.observed.iter().filter(|version| chain.place(version).is_none());
    let breach = |version: &Version| {
        let acknowledged = facts.changes.get(version).and_then(|change| change.acknowledged);
        let (rule, what) = match acknowledged {
            Some(_) => (Rule::Lost, "acknowledged"),
            None => (Rule::Order, "read or told"),
        };
        let why = format!("{version:?} was {what} and does not lead to {newest:?}");
        Breach { rule, at: acknowledged.unwrap_or(0), why }
    };
    missing.map(breach).collect()
}

/// Changes that were refused or invalid and came into force, and taken ones that were refused.
fn refusals(events: &[Event], facts: &Facts, breaches: &mut Vec<Breach<Rule>>) {
    for version in &facts.observed {
        let Some(change) = facts.changes.get(version) else {
            let why = format!("{version:?} was seen, and nobody sent it");
            breaches.push(Breach { rule: Rule::Order, at: 0, why });
            continue;
        };
        if !change.valid {
            let why = format!("{version:?} is invalid and came into force");
            breaches.push(Breach { rule: Rule::Refused, at: change.began, why });
        } else if let Some((at, status)) = change.refused {
            let why = format!("{version:?} came into force, and was answered {status}");
            breaches.push(Breach { rule: Rule::Refused, at, why });
        }
    }
    for event in events {
        if let Did::Replace { version, valid: true, status: Some(400), .. } = &event.what {
            let why = format!("{version:?} is valid, and was answered 400");
            breaches.push(Breach { rule: Rule::Refused, at: event.began, why });
        }
    }
}
