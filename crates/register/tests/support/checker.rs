//! What a history of operators and readers must be like, whatever serves them.

use std::collections::{BTreeMap, BTreeSet};

/// A request as the operator knows it. Two with one version number may differ in their bodies: a request is identified
/// by its index in [`History::requests`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    pub base: u64,
    pub version: u64,
}

/// Something that an operator, a reader or a process saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request was sent, for the first time or again.
    Requested { id: usize, request: usize },
    /// It was acknowledged.
    Acknowledged { id: usize, request: usize },
    /// It was refused for good, perhaps because this version is current.
    Refused { id: usize, request: usize, current: Option<u64> },
    /// A read began.
    ReadBegan { id: usize },
    /// It was answered with what this request brought; nothing where no configuration is there.
    Read { id: usize, request: Option<usize> },
    /// A process takes this for chosen.
    Chosen { sequence: u64, request: Option<usize> },
    /// Nothing fails any more; reads from now on must be answered.
    Healed,
    /// All is read.
    Ended,
}

/// All that was seen, in the order of time, and the requests that were sent.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub events: Vec<Event>,
    pub requests: Vec<Known>,
}

/// What is wrong with a history; nothing where it is right.
pub fn check(history: &History) -> Option<String> {
    let mut checker = Checker { requests: &history.requests, ..Checker::default() };
    for event in &history.events {
        if let Err(problem) = checker.take(*event) {
            return Some(problem);
        }
    }
    checker.at_end().err()
}

#[derive(Default)]
struct Checker<'a> {
    requests: &'a [Known],
    acknowledged: BTreeSet<usize>,
    refused: BTreeSet<usize>,
    chosen: BTreeMap<u64, Option<usize>>,
    /// The newest version that had been answered to anybody when an operation began.
    began: BTreeMap<usize, u64>,
    newest_seen: u64,
    ended: bool,
    read_last: Option<u64>,
}

impl Checker<'_> {
    fn version(&self, request: Option<usize>) -> u64 {
        request.map_or(0, |request| self.requests[request].version)
    }

    fn take(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Requested { id, .. } | Event::ReadBegan { id } => {
                self.began.insert(id, self.newest_seen);
                Ok(())
            }
            Event::Acknowledged { request, .. } => self.acknowledge(request),
            Event::Refused { id, request, current } => self.refuse(id, request, current),
            Event::Read { id, request } => self.read(id, request),
            Event::Chosen { sequence, request } => self.choose(sequence, request),
            Event::Healed => {
                self.read_last = None;
                Ok(())
            }
            Event::Ended => {
                self.ended = true;
                Ok(())
            }
        }
    }

    fn acknowledge(&mut self, request: usize) -> Result<(), String> {
        let Known { base, version } = self.requests[request];
        let rivals = |other: &&usize| {
            let other_request = self.requests[**other];
            **other != request && (other_request.base == base || other_request.version == version)
        };
        if let Some(rival) = self.acknowledged.iter().find(rivals) {
            let rival = self.requests[*rival];
            return Err(format!("{version} on {base} and {rival:?} are both acknowledged"));
        }
        if self.refused.contains(&request) {
            return Err(format!("{version} on {base} was refused and is acknowledged"));
        }
        self.acknowledged.insert(request);
        self.newest_seen = self.newest_seen.max(version);
        Ok(())
    }

    fn refuse(&mut self, id: usize, request: usize, current: Option<u64>) -> Result<(), String> {
        let version = self.requests[request].version;
        if self.acknowledged.contains(&request) {
            return Err(format!("{version} was acknowledged and is refused"));
        }
        if self.chosen.values().any(|chosen| *chosen == Some(request)) {
            return Err(format!("{version} was in force and is refused"));
        }
        self.refused.insert(request);
        let Some(current) = current else { return Ok(()) };
        let seen = self.began[&id];
        if current < seen {
            return Err(format!("{version} is refused for {current} after {seen} was seen"));
        }
        self.newest_seen = self.newest_seen.max(current);
        Ok(())
    }

    fn read(&mut self, id: usize, request: Option<usize>) -> Result<(), String> {
        let version = self.version(request);
        let seen = self.began[&id];
        if version < seen {
            return Err(format!("{version} is read after {seen} was seen"));
        }
        if request.is_some_and(|request| self.refused.contains(&request)) {
            return Err(format!("{version} was refused and is read"));
        }
        self.newest_seen = self.newest_seen.max(version);
        self.read_last = Some(version);
        Ok(())
    }

    fn choose(&mut self, sequence: u64, request: Option<usize>) -> Result<(), String> {
        let before = self.chosen.insert(sequence, request);
        if let Some(other) = before.filter(|other| *other != request) {
            let (other, version) = (self.version(other), self.version(request));
            return Err(format!("at {sequence} both {other} and {version} are chosen"));
        }
        if request.is_some_and(|request| self.refused.contains(&request)) {
            return Err(format!("{} was refused and comes into force", self.version(request)));
        }
        Ok(())
    }

    fn at_end(&self) -> Result<(), String> {
        if !self.ended {
            return Err("the history has no end".into());
        }
        let Some(read) = self.read_last else { return Err("nothing can be read at the end".into()) };
        let newest = self.acknowledged.iter().map(|request| self.requests[*request].version).max();
        match newest.filter(|newest| read < *newest) {
            Some(newest) => Err(format!("{newest} was acknowledged, and the end reads {read}")),
            None => Ok(()),
        }
    }
}
