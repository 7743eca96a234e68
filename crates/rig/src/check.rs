//! Judges a history, apart from the code that made it. What it says is broken names the events that show it.

use crate::history::{Did, Event};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::fmt;

/// Nothing new reaches a draining endpoint later than this after the proxy's instance learned of it, in microseconds.
const GRACE: u64 = 2_000_000;
/// States that the search for an order of one key's reads and writes looks at, at most.
const SEARCH_MOST: usize = 2_000_000;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One leader a term.
    Leader,
    /// Reads and writes have one order that fits them all.
    Order,
    /// What was acknowledged is there, once.
    Committed,
    /// No proxy goes back.
    Back,
    /// Drains are kept.
    Drain,
    /// After healing all comes back in time.
    Return,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach<R = Rule> {
    /// Which.
    pub rule: R,
    /// When, in microseconds.
    pub at: u64,
    /// What shows it.
    pub why: String,
}

impl<R: fmt::Debug> fmt::Display for Breach<R> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: {}", self.rule, self.at as f64 / 1e6, self.why)
    }
}

/// What a judgement found, and how much it looked at.
#[derive(Clone, Debug)]
pub struct Judgement<R = Rule> {
    /// Broken rules.
    pub breaches: Vec<Breach<R>>,
    /// Keys whose search was given up: nothing is said of them.
    pub unjudged: Vec<String>,
    /// Reads, writes, versions and sights looked at.
    pub looked_at: usize,
}

impl<R> Default for Judgement<R> {
    fn default() -> Self {
        Judgement { breaches: Vec::new(), unjudged: Vec::new(), looked_at: 0 }
    }
}

/// Judges a history.
pub fn judge(events: &[Event]) -> Judgement {
    let mut judgement = Judgement { looked_at: events.len(), ..Judgement::default() };
    leaders(events, &mut judgement.breaches);
    orders(events, &mut judgement);
    committed(events, &mut judgement.breaches);
    proxies(events, &mut judgement.breaches);
    drains(events, &mut judgement.breaches);
    for event in events {
        if let Did::Back { what, well: false } = &event.what {
            let why = format!("not within its time after healing: {what}");
            judgement.breaches.push(Breach { rule: Rule::Return, at: event.began, why });
        }
    }
    judgement.breaches.sort_by_key(|breach| breach.at);
    judgement
}

fn leaders(events: &[Event], breaches: &mut Vec<Breach>) {
    let mut of_term: BTreeMap<u64, &str> = BTreeMap::new();
    for event in events {
        let Did::Stood { term, leads: true, .. } = event.what else { continue };
        let first = *of_term.entry(term).or_insert(&event.who);
        if first != event.who {
            let why = format!("{first} and {} both led in term {term}", event.who);
            breaches.push(Breach { rule: Rule::Leader, at: event.began, why });
        }
    }
}

/// A read or write of one key.
#[derive(Clone, Copy, Debug)]
struct Op {
    began: u64,
    /// None: it may take place at any later time, or never.
    ended: Option<u64>,
    write: bool,
    held: bool,
}

fn orders(events: &[Event], judgement: &mut Judgement) {
    let mut keys: BTreeMap<&str, Vec<Op>> = BTreeMap::new();
    for event in events {
        let (began, ended) = (event.began, event.ended);
        match &event.what {
            Did::Hold { key, held, refused: false, .. } => {
                keys.entry(key).or_default().push(Op { began, ended, write: true, held: *held });
            }
            Did::Held { key, held } => {
                keys.entry(key).or_default().push(Op { began, ended, write: false, held: *held });
            }
            _ => {}
        }
    }
    for (key, mut ops) in keys {
        ops.sort_by_key(|op| op.began);
        match linearizable(&ops) {
            Some(Ok(())) => {}
            Some(Err(at)) => {
                let why = format!("no order of the reads and writes of {key} fits them all");
                judgement.breaches.push(Breach { rule: Rule::Order, at, why });
            }
            None => judgement.unjudged.push(key.to_owned()),
        }
    }
}

/// Whether reads and writes of a register that begins as "not held" have an order that fits them all and their times
/// (Wing and Gong 1993, with Lowe's memory of what was seen). An error is when the search got stuck; none: too many
/// states.
fn linearizable(ops: &[Op]) -> Option<Result<(), u64>> {
    // A state: the value, all before `done` has taken place, and so have `ahead`.
    let mut seen: HashSet<(bool, usize, BTreeSet<usize>)> = HashSet::new();
    let mut open = vec![(false, 0_usize, BTreeSet::new())];
    let mut furthest = 0;
    while let Some((value, mut done, mut ahead)) = open.pop() {
        let due = loop {
            while ahead.remove(&done) {
                done += 1;
            }
            // What never ended need not take place.
            let rest = (done..ops.len()).filter(|n| !ahead.contains(n)).filter_map(|n| ops[n].ended);
            let Some(due) = rest.min() else { return Some(Ok(())) };
            // A read that fits changes nothing: it may as well come first.
            let next = (done..ops.len()).take_while(|n| ops[*n].began <= due);
            let fits = |n: &usize| !ops[*n].write && ops[*n].held == value && !ahead.contains(n);
            let fitting: Vec<usize> = next.filter(fits).collect();
            if fitting.is_empty() {
                break due;
            }
            ahead.extend(fitting);
        };
        furthest = furthest.max(due);
        if !seen.insert((value, done, ahead.clone())) {
            continue;
        }
        if seen.len() > SEARCH_MOST {
            return None;
        }
        // Next may be any write that began before the first of those that are left has ended.
        for n in (done..ops.len()).take_while(|n| ops[*n].began <= due) {
            if ops[n].write && !ahead.contains(&n) {
                let mut ahead = ahead.clone();
                ahead.insert(n);
                open.push((ops[n].held, done, ahead));
            }
        }
    }
    Some(Err(furthest))
}

fn committed(events: &[Event], breaches: &mut Vec<Breach>) {
    let mut by_serial: BTreeMap<u64, &str> = BTreeMap::new();
    let mut breach = |at, why| breaches.push(Breach { rule: Rule::Committed, at, why });
    for event in events {
        let Did::Commit { id, serial: Some(serial), .. } = &event.what else { continue };
        if let Some(other) = by_serial.insert(*serial, id)
            && other != id
        {
            breach(event.began, format!("{other} and {id} were both acknowledged as serial {serial}"));
        }
    }
    let mut by_id: BTreeMap<&str, u64> = BTreeMap::new();
    for event in events {
        let Did::Commit { id, serial: Some(serial), .. } = &event.what else { continue };
        let first = *by_id.entry(id).or_insert(*serial);
        if first != *serial {
            breach(event.began, format!("{id} was acknowledged as serial {first}, and again as {serial}"));
        }
    }
    for event in events {
        let Did::Versions { versions } = &event.what else { continue };
        let oldest = versions.first().map_or(0, |(serial, _)| *serial);
        let there: BTreeMap<u64, &str> =
            versions.iter().map(|(serial, id)| (*serial, id.as_str())).collect();
        let ids: BTreeSet<&str> = there.values().copied().collect();
        if ids.len() != there.len() {
            breach(event.began, format!("{} has a write as two versions: {versions:?}", event.who));
        }
        for (serial, id) in by_serial.iter().filter(|(serial, _)| **serial >= oldest) {
            if there.get(serial) != Some(id) {
                let found = there.get(serial).unwrap_or(&"nothing");
                breach(
                    event.began,
                    format!(
                        "{id} was acknowledged as serial {serial}, and {} has {found} there",
                        event.who
                    ),
                );
            }
        }
        for other in events {
            let Did::Commit { id, refused: true, .. } = &other.what else { continue };
            if ids.contains(id.as_str()) {
                breach(event.began, format!("{id} was refused, and {} has it", event.who));
            }
        }
    }
}

/// Epoch and index of a version.
fn place(version: &str) -> Option<(u64, u64)> {
    let mut numbers = version.split('-').next()?.split('.').map(|number| number.parse::<u64>().ok());
    Some((numbers.next()??, numbers.next()??))
}

fn proxies(events: &[Event], breaches: &mut Vec<Breach>) {
    type Place = (u64, u64);
    let mut at_place: BTreeMap<(&str, &str), (Place, &str)> = BTreeMap::new();
    let mut at_serial: BTreeMap<&str, u64> = BTreeMap::new();
    for event in events {
        let Did::Told { kind, version, serial } = &event.what else { continue };
        let mut breach = |why| breaches.push(Breach { rule: Rule::Back, at: event.began, why });
        let Some(now) = place(version) else {
            breach(format!("{} was told {version}, which is no version", event.who));
            continue;
        };
        if let Some((before, was)) = at_place.insert((&event.who, kind), (now, version))
            && now < before
        {
            breach(format!("{} held {was} of {kind} and was told {version}", event.who));
        }
        if let Some(before) = at_serial.insert(&event.who, *serial)
            && *serial < before
        {
            breach(format!("{} had serial {before} and then {serial}, by {version}", event.who));
        }
    }
}

/// Times in which an instance was stopped: it could tell nobody anything.
fn stops<'a>(events: &'a [Event], instance: &'a str) -> impl Iterator<Item = (u64, u64)> + 'a {
    let said = move |event: &Event, words: &str| {
        event.who == instance && matches!(&event.what, Did::Fault { what } if what == words)
    };
    events.iter().filter(move |event| said(event, "stopped")).map(move |from| {
        let end = events.iter().find(|event| event.began >= from.began && said(event, "goes on"));
        (from.began, end.map_or(u64::MAX, |end| end.began))
    })
}

fn drains(events: &[Event], breaches: &mut Vec<Breach>) {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for event in events {
        if let Did::Drained { endpoint, count } = &event.what {
            counts.insert(endpoint, *count);
        }
    }
    for event in events {
        let Did::Reached { endpoint, proxy } = &event.what else { continue };
        let Some(count) = counts.get(endpoint.as_str()) else { continue };
        // Who served the proxy then, and since when.
        let mut served =
            events.iter().filter(|e| e.who == *proxy && e.began <= event.began).filter_map(|e| {
                match &e.what {
                    Did::Fault { what } => Some((what.strip_prefix("served by ")?, e.began)),
                    _ => None,
                }
            });
        let Some((place, since)) = served.next_back() else { continue };
        let instance = format!("i{place}");
        let learned = events.iter().find(|e| {
            e.who == instance && matches!(e.what, Did::Stood { draining, .. } if draining >= *count)
        });
        let Some(learned) = learned.and_then(|e| e.ended) else { continue };
        let from = learned.max(since);
        let stopped: u64 = stops(events, &instance)
            .map(|(begin, end)| end.min(event.began).saturating_sub(begin.max(from)))
            .sum();
        if event.began > from + GRACE + stopped {
            let late = (event.began - from) as f64 / 1e6;
            let why = format!(
                "{proxy} sent a request to {endpoint} {late:.3} s after {instance}, which served it, knew of the drain"
            );
            breaches.push(Breach { rule: Rule::Drain, at: event.began, why });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn event(who: &str, began: u64, ended: u64, what: Did) -> Event {
        Event { began, ended: Some(ended), who: who.to_owned(), what }
    }

    fn hold(began: u64, ended: u64, held: bool) -> Event {
        let (key, id) = ("k".to_owned(), String::new());
        event("holder", began, ended, Did::Hold { key, held, id, refused: false })
    }

    fn held(began: u64, ended: u64, held: bool) -> Event {
        event("reader", began, ended, Did::Held { key: "k".to_owned(), held })
    }

    fn broken(events: &[Event]) -> Vec<Rule> {
        judge(events).breaches.iter().map(|breach| breach.rule).collect()
    }

    #[test]
    fn a_read_that_misses_what_was_acknowledged_has_no_order() {
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
        // Once seen it stays seen, whoever reads.
        assert_eq!(broken(&[hold(1, 9, true), held(2, 3, true), held(4, 5, false)]), [Rule::Order]);
    }

    #[test]
    fn a_write_of_which_nothing_was_heard_may_take_place_later_or_never() {
        let unknown = |began, value| Event { ended: None, ..hold(began, 0, value) };
        assert_eq!(broken(&[unknown(1, true), held(2, 3, false), held(4, 5, true)]), []);
        assert_eq!(broken(&[unknown(1, true), held(2, 3, false)]), []);
        assert_eq!(broken(&[unknown(1, true), held(2, 3, true), held(4, 5, false)]), [Rule::Order]);
    }

    #[test]
    fn two_leaders_of_a_term_are_found() {
        let stood = |who: &str, term, leads| {
            event(who, 1, 1, Did::Stood { run: 1, term, leads, index: 0, draining: 0 })
        };
        assert_eq!(broken(&[stood("i0", 3, true), stood("i1", 3, false), stood("i1", 4, true)]), []);
        assert_eq!(broken(&[stood("i0", 3, true), stood("i1", 3, true)]), [Rule::Leader]);
    }

    #[test]
    fn a_commit_that_is_lost_doubled_or_done_though_refused_is_found() {
        let commit = |id: &str, serial: Option<u64>| {
            event("committer", 1, 2, Did::Commit { id: id.to_owned(), serial, refused: serial.is_none() })
        };
        let versions = |list: &[(u64, &str)]| {
            let versions = list.iter().map(|(serial, id)| (*serial, (*id).to_owned())).collect();
            event("i0", 9, 9, Did::Versions { versions })
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
        // Said again it must be the same.
        assert_eq!(broken(&[commit("a", Some(1)), commit("a", Some(1))]), []);
        assert_eq!(broken(&[commit("a", Some(1)), commit("a", Some(2))]), [Rule::Committed]);
        // Of what is kept no longer nothing is said.
        assert_eq!(broken(&[commit("a", Some(1)), versions(&[(5, "x")])]), []);
    }

    #[test]
    fn a_proxy_that_goes_back_is_found() {
        let told = |at, version: &str, serial| {
            let did = Did::Told { kind: "Cluster".to_owned(), version: version.to_owned(), serial };
            event("p0", at, at, did)
        };
        assert_eq!(broken(&[told(1, "7.5.1-aa", 1), told(2, "7.5.9-bb", 1), told(3, "7.6.1", 2)]), []);
        assert_eq!(broken(&[told(1, "7.6.1-aa", 1), told(2, "7.5.9-bb", 1)]), [Rule::Back]);
        assert_eq!(broken(&[told(1, "7.6.1-aa", 2), told(2, "7.7.9-bb", 1)]), [Rule::Back]);
        assert_eq!(broken(&[told(1, "", 2)]), [Rule::Back]);
    }

    #[test]
    fn a_request_to_a_draining_endpoint_counts_from_when_the_proxys_instance_knew() {
        let fault = |who: &str, at, what: &str| event(who, at, at, Did::Fault { what: what.to_owned() });
        let second = 1_000_000;
        let drained =
            event("discovery", second, second, Did::Drained { endpoint: "e".to_owned(), count: 1 });
        let knew = |who: &str, at| {
            event(who, at, at, Did::Stood { run: 1, term: 1, leads: false, index: 0, draining: 1 })
        };
        let reached =
            |at| event("p0", at, at, Did::Reached { endpoint: "e".to_owned(), proxy: "p0".to_owned() });
        let begin = |more: Vec<Event>| {
            let mut all = vec![fault("p0", 0, "served by 0"), drained.clone()];
            all.extend(more);
            all.sort_by_key(|event| event.began);
            broken(&all)
        };
        assert_eq!(begin(vec![knew("i0", 2 * second), reached(4 * second)]), []);
        assert_eq!(begin(vec![knew("i0", 2 * second), reached(4 * second + 1)]), [Rule::Drain]);
        // Another one's knowledge does not count before the proxy is there.
        assert_eq!(begin(vec![knew("i1", 2 * second), reached(9 * second)]), []);
        let moved = fault("p0", 5 * second, "served by 1");
        assert_eq!(begin(vec![knew("i1", 2 * second), moved.clone(), reached(7 * second)]), []);
        assert_eq!(begin(vec![knew("i1", 2 * second), moved, reached(7 * second + 1)]), [Rule::Drain]);
        // One that is stopped tells nobody.
        let (stop, go) = (fault("i0", 2 * second, "stopped"), fault("i0", 5 * second, "goes on"));
        assert_eq!(begin(vec![knew("i0", 2 * second), stop.clone(), go.clone(), reached(7 * second)]), []);
        assert_eq!(begin(vec![knew("i0", 2 * second), stop, go, reached(7 * second + 1)]), [Rule::Drain]);
    }

    #[test]
    fn what_does_not_come_back_is_named() {
        assert_eq!(
            broken(&[event("rig", 1, 1, Did::Back { what: "x".to_owned(), well: false })]),
            [Rule::Return]
        );
    }
}
