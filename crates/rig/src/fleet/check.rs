//! Judges the history of a round of the fleet, apart from the code that made it.

use super::history::{Did, Event, State};
use super::register;
use crate::check::{Breach, Judgement};
use std::collections::BTreeMap;

const SECOND: u64 = 1_000_000;
/// An acknowledged drain reaches agents in touch within this.
const DRAIN_LIMIT: u64 = 2 * SECOND;
/// After trouble an agent counts as in touch again after this.
const CONTACT: u64 = 3 * SECOND;
/// A member that is cut off for so long knows it.
const ISOLATED_LIMIT: u64 = 2 * SECOND;
/// Callers wait for so long.
const ANSWER_LIMIT: u64 = 3 * SECOND / 2;
/// A member answers again so long after it was stopped, and after any other trouble of its own.
const WAKE_LIMIT: u64 = SECOND;
const START_LIMIT: u64 = 5 * SECOND;

/// The kind of trouble when a process has ended by itself.
pub const ENDED: &str = "ended";

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Changes and reads have one order that fits their times and answers.
    Order,
    /// What was acknowledged stays in force until another change builds on it.
    Lost,
    /// What was refused is never in force, and what was taken is never refused.
    Refused,
    /// No agent goes back within its life.
    Back,
    /// An acknowledged drain reaches every agent in touch in time.
    Drain,
    /// A member ends by itself only after its disk was put back from an older copy, answers in time while it runs, and one that is cut off acknowledges no endpoint's call.
    Answer,
    /// After healing all comes back in time.
    Return,
}

/// Judges a history.
pub fn judge(events: &[Event]) -> Judgement<Rule> {
    let mut judgement = Judgement { looked_at: events.len(), ..Judgement::default() };
    let breaches = &mut judgement.breaches;
    register::judge(events, breaches);
    agents(events, breaches);
    drains(events, breaches);
    answers(events, breaches);
    for event in events {
        if let Did::Back { what, well: false } = &event.what {
            let why = format!("not within its time after healing: {what}");
            breaches.push(Breach { rule: Rule::Return, at: event.began, why });
        }
    }
    breaches.sort_by_key(|breach| breach.at);
    judgement
}

/// When each endpoint was first acknowledged as draining or gone.
pub fn acknowledged_drains(events: &[Event]) -> BTreeMap<String, u64> {
    let mut drains = BTreeMap::new();
    for event in events {
        let Did::Call { endpoint, state, status: Some(200), .. } = &event.what else { continue };
        let Some(ended) = event.ended.filter(|_| *state != State::Ready) else { continue };
        let first = drains.entry(endpoint.clone()).or_insert(ended);
        *first = ended.min(*first);
    }
    drains
}

fn agents(events: &[Event], breaches: &mut Vec<Breach<Rule>>) {
    let mut newest: BTreeMap<(usize, u64), u64> = BTreeMap::new();
    for event in events {
        let Did::Told { agent, life, version } = &event.what else { continue };
        let before = newest.entry((*agent, *life)).or_insert(version.number);
        if version.number < *before {
            let why = format!("agent {agent} told {before} and then {} within a life", version.number);
            breaches.push(Breach { rule: Rule::Back, at: event.began, why });
        }
        *before = version.number.max(*before);
    }
}

/// A time in which members or agents were harmed.
struct Trouble<'a> {
    began: u64,
    ended: u64,
    kind: &'a str,
    members: &'a [usize],
    agents: &'a [usize],
    isolated: Option<usize>,
}

fn troubles(events: &[Event]) -> Vec<Trouble<'_>> {
    let trouble =
        |event: &'_ Event| -> Option<(u64, u64)> { Some((event.began, event.ended.unwrap_or(u64::MAX))) };
    let all = events.iter().filter_map(|event| match &event.what {
        Did::Trouble { kind, members, agents, isolated } => {
            let (began, ended) = trouble(event)?;
            Some(Trouble { began, ended, kind, members, agents, isolated: *isolated })
        }
        _ => None,
    });
    all.collect()
}

/// When what was acknowledged at a moment is due at an agent: the first moment that is late enough after the
/// acknowledgement and at the end of a time without trouble that is long enough; none: no such time came.
fn due(acknowledged: u64, agent: usize, troubles: &[Trouble], over: u64) -> Option<u64> {
    let mut due = acknowledged + DRAIN_LIMIT;
    loop {
        let calm_from = due.saturating_sub(DRAIN_LIMIT + CONTACT);
        let concerns = |trouble: &&Trouble| !trouble.members.is_empty() || trouble.agents.contains(&agent);
        let overlaps = |trouble: &&Trouble| trouble.began <= due && trouble.ended >= calm_from;
        let last = troubles.iter().filter(concerns).filter(overlaps).map(|trouble| trouble.ended).max();
        match last {
            None => return Some(due).filter(|due| *due <= over),
            Some(ended) => due = ended.checked_add(DRAIN_LIMIT + CONTACT + 1)?,
        }
    }
}

fn drains(events: &[Event], breaches: &mut Vec<Breach<Rule>>) {
    let troubles = troubles(events);
    let over = events.last().map_or(0, |event| event.began);
    let mut heard: BTreeMap<(usize, &str), u64> = BTreeMap::new();
    let mut agents: Vec<usize> = Vec::new();
    for event in events {
        match &event.what {
            Did::Heard { agent, endpoint, .. } => {
                heard.entry((*agent, endpoint.as_str())).or_insert(event.began);
            }
            Did::Told { agent, .. } if !agents.contains(agent) => agents.push(*agent),
            _ => {}
        }
    }
    for (endpoint, acknowledged) in acknowledged_drains(events) {
        for agent in &agents {
            let Some(due) = due(acknowledged, *agent, &troubles, over) else { continue };
            let at = heard.get(&(*agent, endpoint.as_str())).copied().unwrap_or(u64::MAX);
            if at > due {
                let why =
                    format!("the drain of {endpoint} had not reached agent {agent} by then; heard at {at}");
                breaches.push(Breach { rule: Rule::Drain, at: due, why });
            }
        }
    }
}

/// A call to a member, by whomever.
struct Call {
    member: usize,
    status: Option<u16>,
    by_endpoint: bool,
}

fn call(event: &Event) -> Option<Call> {
    match &event.what {
        Did::Replace { member, status, lost: false, .. } | Did::Read { member, status, .. } => {
            Some(Call { member: *member, status: *status, by_endpoint: false })
        }
        Did::Call { member, status, .. } => {
            Some(Call { member: *member, status: *status, by_endpoint: true })
        }
        _ => None,
    }
}

fn answers(events: &[Event], breaches: &mut Vec<Breach<Rule>>) {
    let troubles = troubles(events);
    own_ends(&troubles, breaches);
    for event in events {
        let Some(call) = call(event) else { continue };
        let (began, latest) = (event.began, event.ended.unwrap_or(event.began + ANSWER_LIMIT));
        let isolated = troubles.iter().any(|trouble| {
            trouble.isolated == Some(call.member)
                && trouble.began + ISOLATED_LIMIT <= began
                && latest <= trouble.ended
        });
        if isolated && call.by_endpoint && call.status == Some(200) {
            let why = format!("member {} was cut off and acknowledged {:?}", call.member, event.what);
            breaches.push(Breach { rule: Rule::Answer, at: began, why });
        }
        if call.status.is_none() && runs(call.member, began, &troubles) {
            let why = format!("member {} ran and gave no answer to {:?}", call.member, event.what);
            breaches.push(Breach { rule: Rule::Answer, at: began, why });
        }
    }
}

/// Only a member whose disk is an older copy may end by itself: it comes again as another member.
fn own_ends(troubles: &[Trouble], breaches: &mut Vec<Breach<Rule>>) {
    for end in troubles.iter().filter(|trouble| trouble.kind == ENDED) {
        for member in end.members {
            let restored = |other: &Trouble| other.kind == "restore" && other.members.contains(member);
            if !troubles.iter().any(|other| restored(other) && other.began < end.began) {
                let why = format!("member {member} ended by itself");
                breaches.push(Breach { rule: Rule::Answer, at: end.began, why });
            }
        }
    }
}

/// Whether a member's process has run without trouble for long enough, and goes on to.
fn runs(member: usize, began: u64, troubles: &[Trouble]) -> bool {
    troubles.iter().filter(|trouble| trouble.members.contains(&member)).all(|trouble| {
        let after = match trouble.kind {
            kind if kind.starts_with("cut") => return true, // its process runs
            "stop" => WAKE_LIMIT,
            _ => START_LIMIT,
        };
        trouble.began > began + ANSWER_LIMIT || trouble.ended.saturating_add(after) < began
    })
}
