//! Checks the history of a round of the fleet, independently of the code that recorded it.

use super::history::{Event, EventKind, State};
use super::register;
use crate::check::{Verdict, Violation};
use std::collections::BTreeMap;

const MICROS_PER_SECOND: u64 = 1_000_000;
/// Time in which an acknowledged drain must reach the connected agents.
const DRAIN_TIMEOUT_MICROS: u64 = 2 * MICROS_PER_SECOND;
/// Time after a fault until an agent counts as connected again.
const RECONNECT_MICROS: u64 = 3 * MICROS_PER_SECOND;
/// Time in which an isolated member must detect its isolation.
const ISOLATION_DETECTION_MICROS: u64 = 2 * MICROS_PER_SECOND;
/// Time that clients wait for a response.
const RESPONSE_TIMEOUT_MICROS: u64 = 3 * MICROS_PER_SECOND / 2;
/// Time until a member responds again after a pause, and after any other fault of its own.
const RESUME_TIMEOUT_MICROS: u64 = MICROS_PER_SECOND;
const START_TIMEOUT_MICROS: u64 = 5 * MICROS_PER_SECOND;

/// The kind of a fault period in which a process exited by itself.
pub const EXITED_KIND: &str = "ended";

/// A property that every history must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Changes and reads are linearizable.
    Order,
    /// An acknowledged change stays in force until another change is based on it.
    Lost,
    /// A refused change never comes into force, and an accepted one is never refused on retry.
    Refused,
    /// The version that an agent reports never regresses within an incarnation.
    Back,
    /// An acknowledged drain reaches every connected agent in time.
    Drain,
    /// A member exits by itself only after its disk was restored from an older copy; a running member responds in
    /// time; an isolated member acknowledges no endpoint's call.
    Answer,
    /// After all faults have ended, everything recovers within the time limit.
    Return,
}

/// Checks a history against all rules.
pub fn check_history(events: &[Event]) -> Verdict<Rule> {
    let mut verdict = Verdict { events_checked: events.len(), ..Verdict::default() };
    let violations = &mut verdict.violations;
    register::check_register(events, violations);
    check_agents(events, violations);
    check_drains(events, violations);
    check_responses(events, violations);
    for event in events {
        if let EventKind::Back { what, well: false } = &event.what {
            let evidence = format!("not recovered within the time limit: {what}");
            violations.push(Violation { rule: Rule::Return, at: event.began, evidence });
        }
    }
    violations.sort_by_key(|violation| violation.at);
    verdict
}

/// When each endpoint was first acknowledged as draining or gone.
pub fn acknowledged_drains(events: &[Event]) -> BTreeMap<String, u64> {
    let mut drains = BTreeMap::new();
    for event in events {
        let EventKind::Call { endpoint, state, status: Some(200), .. } = &event.what else { continue };
        let Some(ended) = event.ended.filter(|_| *state != State::Ready) else { continue };
        let first = drains.entry(endpoint.clone()).or_insert(ended);
        *first = ended.min(*first);
    }
    drains
}

fn check_agents(events: &[Event], violations: &mut Vec<Violation<Rule>>) {
    let mut newest: BTreeMap<(usize, u64), u64> = BTreeMap::new();
    for event in events {
        let EventKind::Told { agent, life, version } = &event.what else { continue };
        let before = newest.entry((*agent, *life)).or_insert(version.number);
        if version.number < *before {
            let evidence = format!(
                "agent {agent} regressed from version {before} to {} within an incarnation",
                version.number
            );
            violations.push(Violation { rule: Rule::Back, at: event.began, evidence });
        }
        *before = version.number.max(*before);
    }
}

/// A period in which members or agents were under a fault.
struct FaultPeriod<'a> {
    began: u64,
    ended: u64,
    kind: &'a str,
    members: &'a [usize],
    agents: &'a [usize],
    isolated: Option<usize>,
}

fn fault_periods(events: &[Event]) -> Vec<FaultPeriod<'_>> {
    let period =
        |event: &'_ Event| -> Option<(u64, u64)> { Some((event.began, event.ended.unwrap_or(u64::MAX))) };
    let all = events.iter().filter_map(|event| match &event.what {
        EventKind::Trouble { kind, members, agents, isolated } => {
            let (began, ended) = period(event)?;
            Some(FaultPeriod { began, ended, kind, members, agents, isolated: *isolated })
        }
        _ => None,
    });
    all.collect()
}

/// Deadline for delivering an acknowledged drain to an agent: the earliest time late enough after the acknowledgement
/// that ends a sufficiently long period without faults; `None`: there was no such period.
fn deadline(acknowledged: u64, agent: usize, fault_periods: &[FaultPeriod], over: u64) -> Option<u64> {
    let mut due = acknowledged + DRAIN_TIMEOUT_MICROS;
    loop {
        let calm_from = due.saturating_sub(DRAIN_TIMEOUT_MICROS + RECONNECT_MICROS);
        let concerns = |period: &&FaultPeriod| !period.members.is_empty() || period.agents.contains(&agent);
        let overlaps = |period: &&FaultPeriod| period.began <= due && period.ended >= calm_from;
        let last = fault_periods.iter().filter(concerns).filter(overlaps).map(|period| period.ended).max();
        match last {
            None => return Some(due).filter(|due| *due <= over),
            Some(ended) => due = ended.checked_add(DRAIN_TIMEOUT_MICROS + RECONNECT_MICROS + 1)?,
        }
    }
}

fn check_drains(events: &[Event], violations: &mut Vec<Violation<Rule>>) {
    let fault_periods = fault_periods(events);
    let over = events.last().map_or(0, |event| event.began);
    let mut heard: BTreeMap<(usize, &str), u64> = BTreeMap::new();
    let mut agents: Vec<usize> = Vec::new();
    for event in events {
        match &event.what {
            EventKind::Heard { agent, endpoint, .. } => {
                heard.entry((*agent, endpoint.as_str())).or_insert(event.began);
            }
            EventKind::Told { agent, .. } if !agents.contains(agent) => agents.push(*agent),
            _ => {}
        }
    }
    for (endpoint, acknowledged) in acknowledged_drains(events) {
        for agent in &agents {
            let Some(due) = deadline(acknowledged, *agent, &fault_periods, over) else { continue };
            let at = heard.get(&(*agent, endpoint.as_str())).copied().unwrap_or(u64::MAX);
            if at > due {
                let evidence = format!(
                    "the drain of {endpoint} did not reach agent {agent} in time; reported at {at}"
                );
                violations.push(Violation { rule: Rule::Drain, at: due, evidence });
            }
        }
    }
}

/// A call to a member, by an operator or an endpoint.
struct Call {
    member: usize,
    status: Option<u16>,
    by_endpoint: bool,
}

fn call(event: &Event) -> Option<Call> {
    match &event.what {
        EventKind::Replace { member, status, lost: false, .. } | EventKind::Read { member, status, .. } => {
            Some(Call { member: *member, status: *status, by_endpoint: false })
        }
        EventKind::Call { member, status, .. } => {
            Some(Call { member: *member, status: *status, by_endpoint: true })
        }
        _ => None,
    }
}

fn check_responses(events: &[Event], violations: &mut Vec<Violation<Rule>>) {
    let fault_periods = fault_periods(events);
    check_unexpected_exits(&fault_periods, violations);
    for event in events {
        let Some(call) = call(event) else { continue };
        let (began, latest) = (event.began, event.ended.unwrap_or(event.began + RESPONSE_TIMEOUT_MICROS));
        let isolated = fault_periods.iter().any(|period| {
            period.isolated == Some(call.member)
                && period.began + ISOLATION_DETECTION_MICROS <= began
                && latest <= period.ended
        });
        if isolated && call.by_endpoint && call.status == Some(200) {
            let evidence = format!("member {} was isolated and acknowledged {:?}", call.member, event.what);
            violations.push(Violation { rule: Rule::Answer, at: began, evidence });
        }
        if call.status.is_none() && is_expected_to_respond(call.member, began, &fault_periods) {
            let evidence =
                format!("member {} was running and did not respond to {:?}", call.member, event.what);
            violations.push(Violation { rule: Rule::Answer, at: began, evidence });
        }
    }
}

/// Only a member whose disk was restored from an older copy may exit by itself; it rejoins as a new member.
fn check_unexpected_exits(fault_periods: &[FaultPeriod], violations: &mut Vec<Violation<Rule>>) {
    for end in fault_periods.iter().filter(|period| period.kind == EXITED_KIND) {
        for member in end.members {
            let restored = |other: &FaultPeriod| other.kind == "restore" && other.members.contains(member);
            if !fault_periods.iter().any(|other| restored(other) && other.began < end.began) {
                let evidence = format!("member {member} exited by itself");
                violations.push(Violation { rule: Rule::Answer, at: end.began, evidence });
            }
        }
    }
}

/// Whether a member's process had run without a fault for long enough at the start of a call, and until its time-out.
fn is_expected_to_respond(member: usize, began: u64, fault_periods: &[FaultPeriod]) -> bool {
    fault_periods.iter().filter(|period| period.members.contains(&member)).all(|period| {
        let after = match period.kind {
            kind if kind.starts_with("cut") => return true, // its process keeps running
            "stop" => RESUME_TIMEOUT_MICROS,
            _ => START_TIMEOUT_MICROS,
        };
        period.began > began + RESPONSE_TIMEOUT_MICROS || period.ended.saturating_add(after) < began
    })
}
