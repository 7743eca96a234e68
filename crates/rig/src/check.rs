//! Checks a recorded history for violations, independently of the code that recorded it. Each violation names the
//! events that show it.

use crate::history::{Event, EventKind};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::fmt;

/// How long after the proxy's instance learned of a drain new requests may still reach the endpoint.
const DRAIN_GRACE_MICROS: u64 = 2_000_000;
/// Bound on the states that the linearizability search visits for one key.
const MAX_SEARCH_STATES: usize = 2_000_000;

/// A property that every history must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// At most one leader per term.
    Leader,
    /// Reads and writes of each key are linearizable.
    Order,
    /// Every acknowledged commit is present exactly once, and no refused commit is.
    Committed,
    /// The version that a proxy holds never regresses.
    Back,
    /// Draining endpoints get no new requests after the grace period.
    Drain,
    /// After all faults have ended, everything recovers within the time limit.
    Return,
}

/// A violated rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation<R = Rule> {
    /// The rule that was violated.
    pub rule: R,
    /// Time of the violation, in microseconds from the start of the round.
    pub at: u64,
    /// The events that show the violation.
    pub evidence: String,
}

impl<R: fmt::Debug> fmt::Display for Violation<R> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: {}", self.rule, self.at as f64 / 1e6, self.evidence)
    }
}

/// The result of checking a history.
#[derive(Clone, Debug)]
pub struct Verdict<R = Rule> {
    /// Violations, in the order of their times.
    pub violations: Vec<Violation<R>>,
    /// Keys whose search reached its bound, so that linearizability was not decided.
    pub undecided_keys: Vec<String>,
    /// Number of events in the history.
    pub events_checked: usize,
}

impl<R> Default for Verdict<R> {
    fn default() -> Self {
        Verdict { violations: Vec::new(), undecided_keys: Vec::new(), events_checked: 0 }
    }
}

/// Checks a history against all rules.
pub fn check_history(events: &[Event]) -> Verdict {
    let mut verdict = Verdict { events_checked: events.len(), ..Verdict::default() };
    check_leaders(events, &mut verdict.violations);
    check_linearizability(events, &mut verdict);
    check_commits(events, &mut verdict.violations);
    check_proxies(events, &mut verdict.violations);
    check_drains(events, &mut verdict.violations);
    for event in events {
        if let EventKind::Back { what, well: false } = &event.what {
            let evidence = format!("not recovered within the time limit: {what}");
            verdict.violations.push(Violation { rule: Rule::Return, at: event.began, evidence });
        }
    }
    verdict.violations.sort_by_key(|violation| violation.at);
    verdict
}

fn check_leaders(events: &[Event], violations: &mut Vec<Violation>) {
    let mut of_term: BTreeMap<u64, &str> = BTreeMap::new();
    for event in events {
        let EventKind::Stood { term, leads: true, .. } = event.what else { continue };
        let first = *of_term.entry(term).or_insert(&event.who);
        if first != event.who {
            let evidence = format!("{first} and {} were both leader in term {term}", event.who);
            violations.push(Violation { rule: Rule::Leader, at: event.began, evidence });
        }
    }
}

/// A read or write of one key.
#[derive(Clone, Copy, Debug)]
struct Operation {
    began: u64,
    /// `None`: the outcome is unknown, so the operation may take effect at any later time or never.
    ended: Option<u64>,
    write: bool,
    held: bool,
}

fn check_linearizability(events: &[Event], verdict: &mut Verdict) {
    let mut keys: BTreeMap<&str, Vec<Operation>> = BTreeMap::new();
    for event in events {
        let (began, ended) = (event.began, event.ended);
        match &event.what {
            EventKind::Hold { key, held, refused: false, .. } => {
                keys.entry(key).or_default().push(Operation { began, ended, write: true, held: *held });
            }
            EventKind::Held { key, held } => {
                keys.entry(key).or_default().push(Operation { began, ended, write: false, held: *held });
            }
            _ => {}
        }
    }
    for (key, mut operations) in keys {
        operations.sort_by_key(|op| op.began);
        match linearizable(&operations) {
            Some(Ok(())) => {}
            Some(Err(at)) => {
                let evidence = format!("the reads and writes of {key} are not linearizable");
                verdict.violations.push(Violation { rule: Rule::Order, at, evidence });
            }
            None => verdict.undecided_keys.push(key.to_owned()),
        }
    }
}

/// Whether reads and writes of a register that is initially "not held" are linearizable (Wing and Gong 1993, with
/// Lowe's cache of visited states). An error is the time at which the search could not continue; `None`: the bound on
/// states was reached.
fn linearizable(operations: &[Operation]) -> Option<Result<(), u64>> {
    // A state is the value, the length of the prefix that has taken effect, and the later operations that have.
    let mut seen: HashSet<(bool, usize, BTreeSet<usize>)> = HashSet::new();
    let mut frontier = vec![(false, 0_usize, BTreeSet::new())];
    let mut latest_deadline = 0;
    while let Some((value, mut done, mut completed_ahead)) = frontier.pop() {
        let deadline = loop {
            while completed_ahead.remove(&done) {
                done += 1;
            }
            // An operation without a known end need not take effect.
            let rest = (done..operations.len())
                .filter(|n| !completed_ahead.contains(n))
                .filter_map(|n| operations[n].ended);
            let Some(deadline) = rest.min() else { return Some(Ok(())) };
            // A read that returns the current value changes nothing and can be linearized first.
            let next = (done..operations.len()).take_while(|n| operations[*n].began <= deadline);
            let fits = |n: &usize| {
                !operations[*n].write && operations[*n].held == value && !completed_ahead.contains(n)
            };
            let fitting: Vec<usize> = next.filter(fits).collect();
            if fitting.is_empty() {
                break deadline;
            }
            completed_ahead.extend(fitting);
        };
        latest_deadline = latest_deadline.max(deadline);
        if !seen.insert((value, done, completed_ahead.clone())) {
            continue;
        }
        if seen.len() > MAX_SEARCH_STATES {
            return None;
        }
        // The next operation may be any write that began before the earliest end among the remaining operations.
        for n in (done..operations.len()).take_while(|n| operations[*n].began <= deadline) {
            if operations[n].write && !completed_ahead.contains(&n) {
                let mut completed_ahead = completed_ahead.clone();
                completed_ahead.insert(n);
                frontier.push((operations[n].held, done, completed_ahead));
            }
        }
    }
    Some(Err(latest_deadline))
}

fn check_commits(events: &[Event], violations: &mut Vec<Violation>) {
    let mut acknowledged: BTreeMap<u64, &str> = BTreeMap::new();
    let mut violation = |at, evidence| violations.push(Violation { rule: Rule::Committed, at, evidence });
    for event in events {
        let EventKind::Commit { id, serial: Some(serial), .. } = &event.what else { continue };
        if let Some(other) = acknowledged.insert(*serial, id)
            && other != id
        {
            violation(event.began, format!("{other} and {id} were both acknowledged as serial {serial}"));
        }
    }
    let mut by_id: BTreeMap<&str, u64> = BTreeMap::new();
    for event in events {
        let EventKind::Commit { id, serial: Some(serial), .. } = &event.what else { continue };
        let first = *by_id.entry(id).or_insert(*serial);
        if first != *serial {
            violation(
                event.began,
                format!("{id} was acknowledged as serial {first}, and again as {serial}"),
            );
        }
    }
    for event in events {
        let EventKind::Versions { versions } = &event.what else { continue };
        let oldest = versions.first().map_or(0, |(serial, _)| *serial);
        let present: BTreeMap<u64, &str> =
            versions.iter().map(|(serial, id)| (*serial, id.as_str())).collect();
        let ids: BTreeSet<&str> = present.values().copied().collect();
        if ids.len() != present.len() {
            violation(event.began, format!("{} has one write as two versions: {versions:?}", event.who));
        }
        for (serial, id) in acknowledged.iter().filter(|(serial, _)| **serial >= oldest) {
            if present.get(serial) != Some(id) {
                let found = present.get(serial).unwrap_or(&"nothing");
                violation(
                    event.began,
                    format!(
                        "{id} was acknowledged as serial {serial}, and {} has {found} there",
                        event.who
                    ),
                );
            }
        }
        for other in events {
            let EventKind::Commit { id, refused: true, .. } = &other.what else { continue };
            if ids.contains(id.as_str()) {
                violation(event.began, format!("{id} was refused, and {} has it", event.who));
            }
        }
    }
}

/// Parses epoch and index of a version.
fn parse_position(version: &str) -> Option<(u64, u64)> {
    let mut numbers = version.split('-').next()?.split('.').map(|number| number.parse::<u64>().ok());
    Some((numbers.next()??, numbers.next()??))
}

fn check_proxies(events: &[Event], violations: &mut Vec<Violation>) {
    type Position = (u64, u64);
    let mut positions: BTreeMap<(&str, &str), (Position, &str)> = BTreeMap::new();
    let mut serials: BTreeMap<&str, u64> = BTreeMap::new();
    for event in events {
        let EventKind::Told { kind, version, serial } = &event.what else { continue };
        let mut violation =
            |evidence| violations.push(Violation { rule: Rule::Back, at: event.began, evidence });
        let Some(now) = parse_position(version) else {
            violation(format!("{} received the malformed version {version}", event.who));
            continue;
        };
        if let Some((before, was)) = positions.insert((&event.who, kind), (now, version))
            && now < before
        {
            violation(format!("{} regressed from {was} to {version} of {kind}", event.who));
        }
        if let Some(before) = serials.insert(&event.who, *serial)
            && *serial < before
        {
            violation(format!(
                "{} regressed from serial {before} to {serial} with version {version}",
                event.who
            ));
        }
    }
}

/// Intervals in which an instance was paused (SIGSTOP) and could not send updates.
fn pauses<'a>(events: &'a [Event], instance: &'a str) -> impl Iterator<Item = (u64, u64)> + 'a {
    let said = move |event: &Event, words: &str| {
        event.who == instance && matches!(&event.what, EventKind::Fault { what } if what == words)
    };
    events.iter().filter(move |event| said(event, "stopped")).map(move |from| {
        let end = events.iter().find(|event| event.began >= from.began && said(event, "goes on"));
        (from.began, end.map_or(u64::MAX, |end| end.began))
    })
}

fn check_drains(events: &[Event], violations: &mut Vec<Violation>) {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for event in events {
        if let EventKind::Drained { endpoint, count } = &event.what {
            counts.insert(endpoint, *count);
        }
    }
    for event in events {
        let EventKind::Reached { endpoint, proxy } = &event.what else { continue };
        let Some(count) = counts.get(endpoint.as_str()) else { continue };
        // The instance that served the proxy at that time, and since when.
        let mut served =
            events.iter().filter(|e| e.who == *proxy && e.began <= event.began).filter_map(|e| {
                match &e.what {
                    EventKind::Fault { what } => Some((what.strip_prefix("served by ")?, e.began)),
                    _ => None,
                }
            });
        let Some((index, since)) = served.next_back() else { continue };
        let instance = format!("i{index}");
        let learned = events.iter().find(|e| {
            e.who == instance && matches!(e.what, EventKind::Stood { draining, .. } if draining >= *count)
        });
        let Some(learned) = learned.and_then(|e| e.ended) else { continue };
        let from = learned.max(since);
        let stopped: u64 = pauses(events, &instance)
            .map(|(begin, end)| end.min(event.began).saturating_sub(begin.max(from)))
            .sum();
        if event.began > from + DRAIN_GRACE_MICROS + stopped {
            let late = (event.began - from) as f64 / 1e6;
            let evidence = format!(
                "{proxy} sent a request to {endpoint} {late:.3} s after {instance}, which served it, learned of the drain"
            );
            violations.push(Violation { rule: Rule::Drain, at: event.began, evidence });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn event(who: &str, began: u64, ended: u64, what: EventKind) -> Event {
        Event { began, ended: Some(ended), who: who.to_owned(), what }
    }

    fn hold(began: u64, ended: u64, held: bool) -> Event {
        let (key, id) = ("k".to_owned(), String::new());
        event("holder", began, ended, EventKind::Hold { key, held, id, refused: false })
    }

    fn held(began: u64, ended: u64, held: bool) -> Event {
        event("reader", began, ended, EventKind::Held { key: "k".to_owned(), held })
    }

    fn broken(events: &[Event]) -> Vec<Rule> {
        check_history(events).violations.iter().map(|violation| violation.rule).collect()
    }

    #[test]
    fn a_stale_read_is_not_linearizable() {
        assert_eq!(
            broken(&[
                hold(1, 2, true),
                held(3, 4, true),
                hold(5, 9, false),
                held(6, 7, true),
                held(8, 9, false)
            ]),
            []
        );
        assert_eq!(broken(&[hold(1, 2, true), held(3, 4, false)]), [Rule::Order]);
        // A value that one reader has seen must be seen by all later reads.
        assert_eq!(broken(&[hold(1, 9, true), held(2, 3, true), held(4, 5, false)]), [Rule::Order]);
    }

    #[test]
    fn a_write_with_unknown_outcome_may_take_effect_later_or_never() {
        let unknown = |began, value| Event { ended: None, ..hold(began, 0, value) };
        assert_eq!(broken(&[unknown(1, true), held(2, 3, false), held(4, 5, true)]), []);
        assert_eq!(broken(&[unknown(1, true), held(2, 3, false)]), []);
        assert_eq!(broken(&[unknown(1, true), held(2, 3, true), held(4, 5, false)]), [Rule::Order]);
    }

    #[test]
    fn two_leaders_of_a_term_are_found() {
        let stood = |who: &str, term, leads| {
            event(who, 1, 1, EventKind::Stood { run: 1, term, leads, index: 0, draining: 0 })
        };
        assert_eq!(broken(&[stood("i0", 3, true), stood("i1", 3, false), stood("i1", 4, true)]), []);
        assert_eq!(broken(&[stood("i0", 3, true), stood("i1", 3, true)]), [Rule::Leader]);
    }

    #[test]
    fn a_lost_duplicated_or_refused_commit_is_found() {
        let commit = |id: &str, serial: Option<u64>| {
            event(
                "committer",
                1,
                2,
                EventKind::Commit { id: id.to_owned(), serial, refused: serial.is_none() },
            )
        };
        let versions = |list: &[(u64, &str)]| {
            let versions = list.iter().map(|(serial, id)| (*serial, (*id).to_owned())).collect();
            event("i0", 9, 9, EventKind::Versions { versions })
        };
        assert_eq!(
            broken(&[commit("a", Some(1)), commit("b", Some(2)), versions(&[(1, "a"), (2, "b")])]),
            []
        );
        assert_eq!(
            broken(&[commit("a", Some(1)), commit("b", Some(2)), versions(&[(1, "a")])]),
            [Rule::Committed]
        );
        assert_eq!(broken(&[commit("a", Some(1)), versions(&[(1, "a"), (2, "a")])]), [Rule::Committed]);
        assert_eq!(broken(&[commit("a", Some(1)), commit("b", Some(1))]), [Rule::Committed]);
        assert_eq!(broken(&[commit("a", None), versions(&[(1, "a")])]), [Rule::Committed]);
        // A retried commit must get the same serial.
        assert_eq!(broken(&[commit("a", Some(1)), commit("a", Some(1))]), []);
        assert_eq!(broken(&[commit("a", Some(1)), commit("a", Some(2))]), [Rule::Committed]);
        // Nothing is concluded about versions that are older than the oldest retained one.
        assert_eq!(broken(&[commit("a", Some(1)), versions(&[(5, "x")])]), []);
    }

    #[test]
    fn a_version_regression_at_a_proxy_is_found() {
        let told = |at, version: &str, serial| {
            let observation =
                EventKind::Told { kind: "Cluster".to_owned(), version: version.to_owned(), serial };
            event("p0", at, at, observation)
        };
        assert_eq!(broken(&[told(1, "7.5.1-aa", 1), told(2, "7.5.9-bb", 1), told(3, "7.6.1", 2)]), []);
        assert_eq!(broken(&[told(1, "7.6.1-aa", 1), told(2, "7.5.9-bb", 1)]), [Rule::Back]);
        assert_eq!(broken(&[told(1, "7.6.1-aa", 2), told(2, "7.7.9-bb", 1)]), [Rule::Back]);
        assert_eq!(broken(&[told(1, "", 2)]), [Rule::Back]);
    }

    #[test]
    fn drain_grace_starts_when_the_instance_of_the_proxy_knows_of_the_drain() {
        let fault =
            |who: &str, at, what: &str| event(who, at, at, EventKind::Fault { what: what.to_owned() });
        let second = 1_000_000;
        let drained =
            event("discovery", second, second, EventKind::Drained { endpoint: "e".to_owned(), count: 1 });
        let knew = |who: &str, at| {
            event(who, at, at, EventKind::Stood { run: 1, term: 1, leads: false, index: 0, draining: 1 })
        };
        let reached = |at| {
            event("p0", at, at, EventKind::Reached { endpoint: "e".to_owned(), proxy: "p0".to_owned() })
        };
        let begin = |more: Vec<Event>| {
            let mut all = vec![fault("p0", 0, "served by 0"), drained.clone()];
            all.extend(more);
            all.sort_by_key(|event| event.began);
            broken(&all)
        };
        assert_eq!(begin(vec![knew("i0", 2 * second), reached(4 * second)]), []);
        assert_eq!(begin(vec![knew("i0", 2 * second), reached(4 * second + 1)]), [Rule::Drain]);
        // What another instance knows does not count before the proxy has moved to it.
        assert_eq!(begin(vec![knew("i1", 2 * second), reached(9 * second)]), []);
        let moved = fault("p0", 5 * second, "served by 1");
        assert_eq!(begin(vec![knew("i1", 2 * second), moved.clone(), reached(7 * second)]), []);
        assert_eq!(begin(vec![knew("i1", 2 * second), moved, reached(7 * second + 1)]), [Rule::Drain]);
        // A paused instance can't send updates.
        let (stop, go) = (fault("i0", 2 * second, "stopped"), fault("i0", 5 * second, "goes on"));
        assert_eq!(begin(vec![knew("i0", 2 * second), stop.clone(), go.clone(), reached(7 * second)]), []);
        assert_eq!(begin(vec![knew("i0", 2 * second), stop, go, reached(7 * second + 1)]), [Rule::Drain]);
    }

    #[test]
    fn incomplete_recovery_is_found() {
        assert_eq!(
            broken(&[event("rig", 1, 1, EventKind::Back { what: "x".to_owned(), well: false })]),
            [Rule::Return]
        );
    }
}
