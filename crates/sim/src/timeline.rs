//! Readable timeline of a run, one line per event, and the events that led to a violation.

use crate::oracle::Violation;
use crate::run::Outcome;
use crate::script::Script;
use std::fmt::Write;
use std::time::Duration;

fn state_name(ready: bool) -> &'static str {
    if ready { "up" } else { "draining or removed" }
}

fn events(outcome: &Outcome, subject: Option<&str>) -> Vec<(Duration, String)> {
    let (facts, mut events) = (&outcome.facts, Vec::new());
    let wanted =
        |id: &str| subject.is_none_or(|subject| subject == id || id.starts_with(&format!("{subject}-")));
    for request in facts.requests.iter().filter(|request| wanted(&request.id)) {
        let id = &request.id;
        events.push((
            request.started,
            format!(
                "client     {id} asks {:?}, {:?}, waits {:?}",
                request.class, request.behavior, request.timeout
            ),
        ));
        if let Some(arrived) = request.arrived.filter(|arrived| *arrived < outcome.virtual_duration) {
            events.push((arrived, format!("sidecar {}  has received {id} completely", request.sidecar)));
        }
        for answer in &request.responses {
            let what =
                format!("sidecar {}  answers {id}: {} {:?}", request.sidecar, answer.status, answer.body);
            events.push((answer.completed, what));
        }
        if let Some(disconnected) = request.disconnected {
            events.push((disconnected, format!("client     disconnects from {id}")));
        }
        if let Some(connection_lost) = request.connection_lost {
            events.push((connection_lost, format!("client     {id}'s connection has ended")));
        }
    }
    for attempt in facts.attempts.iter().filter(|attempt| wanted(&attempt.id)) {
        let (id, sidecar, endpoint, link) =
            (&attempt.id, attempt.sidecar, attempt.endpoint, attempt.connection);
        events.push((
            attempt.first_byte,
            format!("sidecar {sidecar}  sends {id} to endpoint {endpoint} on #{link}"),
        ));
        if let Some(last_byte) = attempt.last_byte {
            events.push((
                last_byte,
                format!("sidecar {sidecar}  has sent {id} to endpoint {endpoint} completely"),
            ));
        }
        if let Some(at) = attempt.rejected {
            events.push((at, format!("endpoint {endpoint} rejects {id}")));
        }
    }
    for effect in facts.executions.iter().filter(|effect| wanted(&effect.id)) {
        events.push((effect.at, format!("endpoint {} runs {}", effect.endpoint, effect.id)));
    }
    for (endpoint, at, ready) in &facts.discovery_states {
        events.push((*at, format!("discovery  endpoint {endpoint} is {}", state_name(*ready))));
    }
    for notice in &facts.notices {
        let (sidecar, endpoint, state) = (notice.sidecar, notice.endpoint, state_name(notice.ready));
        events.push((notice.at, format!("sidecar {sidecar}  is notified: endpoint {endpoint} is {state}")));
    }
    for (endpoint, at) in &facts.endpoint_starts {
        events.push((*at, format!("endpoint {endpoint} starts, cold")));
    }
    for process_run in &facts.process_runs {
        events.push((process_run.started, format!("sidecar {}  starts", process_run.sidecar)));
        events.extend(
            process_run
                .drain_requested
                .map(|at| (at, format!("sidecar {}  gets the order to drain", process_run.sidecar))),
        );
        let how = if process_run.killed { "is killed" } else { "ends" };
        events.extend(process_run.ended.map(|at| (at, format!("sidecar {}  {how}", process_run.sidecar))));
    }
    for (sidecar, from, until) in &facts.pauses {
        events.push((*from, format!("sidecar {sidecar}  is paused")));
        events.push((*until, format!("sidecar {sidecar}  continues")));
    }
    events.sort_by_key(|(at, _)| *at);
    events
}

fn format_events(events: Vec<(Duration, String)>) -> String {
    let mut out = String::new();
    for (at, what) in events {
        let _ = writeln!(out, "{:>9.3}  {what}", at.as_secs_f64());
    }
    out
}

/// All events of a run, with the network events if the run recorded them.
pub fn render(outcome: &Outcome) -> String {
    let mut all = events(outcome, None);
    all.extend(outcome.network_events.iter().map(|(at, line)| (*at, format!("           {line}"))));
    all.sort_by_key(|(at, _)| *at);
    format_events(all)
}

/// Explains a violation: the script's faults, and the events of the 10 s before it that concern its subject.
pub fn explain(script: &Script, outcome: &Outcome, violation: &Violation) -> String {
    let request = outcome.facts.requests.iter().any(|request| request.id == violation.subject);
    let mut relevant = events(outcome, request.then_some(&violation.subject));
    relevant.retain(|(at, what)| {
        let near = *at <= violation.at
            && (violation.at == Duration::MAX || *at + Duration::from_secs(10) >= violation.at);
        near && (request || what.contains(&violation.subject))
    });
    let mut out = format!("{violation}\n\nfaults:\n");
    for fault in &script.faults {
        let _ = writeln!(out, "  {}", serde_json::to_string(fault).unwrap_or_default());
    }
    let _ = writeln!(out, "\nevents before it:");
    out + &format_events(relevant)
}
