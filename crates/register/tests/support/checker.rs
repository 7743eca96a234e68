//! Checks histories of operators' requests and reads, independently of the implementation that served them.

use std::collections::{BTreeMap, BTreeSet};

/// A request as the operator knows it. Two with one version number may differ in their bodies: a request is identified
/// by its index in [`History::requests`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownRequest {
    pub base: u64,
    pub version: u64,
}

/// An event observed by an operator, a reader or a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request was sent, for the first time or again.
    Requested { id: usize, request: usize },
    /// It was acknowledged.
    Acknowledged { id: usize, request: usize },
    /// It was rejected for good, optionally because this version is current.
    Refused { id: usize, request: usize, current: Option<u64> },
    /// A read began.
    ReadBegan { id: usize },
    /// It returned the configuration of this request, or `None` without a configuration.
    Read { id: usize, request: Option<usize> },
    /// A process considers this value chosen.
    Chosen { sequence: u64, request: Option<usize> },
    /// Faults have ended; later reads must be answered.
    Healed,
    /// All final reads are done.
    Ended,
}

/// Observed events in chronological order, and the requests that were sent.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub events: Vec<Event>,
    pub requests: Vec<KnownRequest>,
}

/// Returns the first violation in a history, if any.
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
    requests: &'a [KnownRequest],
    acknowledged: BTreeSet<usize>,
    refused: BTreeSet<usize>,
    chosen: BTreeMap<u64, Option<usize>>,
    /// The newest version returned to any caller before an operation began.
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
        let KnownRequest { base, version } = self.requests[request];
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
