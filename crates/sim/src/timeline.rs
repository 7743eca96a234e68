//! What happened, for a person: a line an event, in the order of time, and what led to a broken rule.

use crate::oracle::Breach;
use crate::run::Outcome;
use crate::script::Script;
use std::fmt::Write;
use std::time::Duration;

fn state(ready: bool) -> &'static str {
    if ready { "up" } else { "draining or gone" }
}

fn events(outcome: &Outcome, about: Option<&str>) -> Vec<(Duration, String)> {
    let (facts, mut events) = (&outcome.facts, Vec::new());
    let wanted = |id: &str| about.is_none_or(|about| about == id || id.starts_with(&format!("{about}-")));
    for asked in facts.asked.iter().filter(|asked| wanted(&asked.id)) {
        let id = &asked.id;
        events.push((
            asked.began,
            format!("client     {id} asks {:?}, {:?}, waits {:?}", asked.class, asked.manner, asked.wait),
        ));
        if let Some(taken) = asked.taken.filter(|taken| *taken < outcome.lasted) {
            events.push((taken, format!("sidecar {}  has {id} whole", asked.sidecar)));
        }
        for answer in &asked.answers {
            let what =
                format!("sidecar {}  answers {id}: {} {:?}", asked.sidecar, answer.status, answer.body);
            events.push((answer.wrote, what));
        }
        if let Some(left) = asked.left {
            events.push((left, format!("client     leaves {id}")));
        }
        if let Some(broke) = asked.broke {
            events.push((broke, format!("client     {id}'s connection has ended")));
        }
    }
    for attempt in facts.attempts.iter().filter(|attempt| wanted(&attempt.id)) {
        let (id, sidecar, endpoint, link) = (&attempt.id, attempt.sidecar, attempt.endpoint, attempt.link);
        events.push((
            attempt.first,
            format!("sidecar {sidecar}  sends {id} to endpoint {endpoint} on #{link}"),
        ));
        if let Some(whole) = attempt.whole {
            events.push((whole, format!("sidecar {sidecar}  has sent {id} to endpoint {endpoint} whole")));
        }
        if let Some(at) = attempt.turned_away {
            events.push((at, format!("endpoint {endpoint} turns {id} away")));
        }
    }
    for effect in facts.effects.iter().filter(|effect| wanted(&effect.id)) {
        events.push((effect.at, format!("endpoint {} runs {}", effect.endpoint, effect.id)));
    }
    for (endpoint, at, ready) in &facts.known {
        events.push((*at, format!("discovery  endpoint {endpoint} is {}", state(*ready))));
    }
    for told in &facts.told {
        let (sidecar, endpoint, state) = (told.sidecar, told.endpoint, state(told.ready));
        events.push((told.at, format!("sidecar {sidecar}  is told: endpoint {endpoint} is {state}")));
    }
    for (endpoint, at) in &facts.started {
        events.push((*at, format!("endpoint {endpoint} starts, cold")));
    }
    for life in &facts.lives {
        events.push((life.from, format!("sidecar {}  starts", life.sidecar)));
        events.extend(life.told.map(|at| (at, format!("sidecar {}  is told to drain", life.sidecar))));
        let how = if life.killed { "is killed" } else { "ends" };
        events.extend(life.until.map(|at| (at, format!("sidecar {}  {how}", life.sidecar))));
    }
    for (sidecar, from, until) in &facts.pauses {
        events.push((*from, format!("sidecar {sidecar}  gets no processor")));
        events.push((*until, format!("sidecar {sidecar}  goes on")));
    }
    events.sort_by_key(|(at, _)| *at);
    events
}

fn text(events: Vec<(Duration, String)>) -> String {
    let mut out = String::new();
    for (at, what) in events {
        let _ = writeln!(out, "{:>9.3}  {what}", at.as_secs_f64());
    }
    out
}

/// All that happened; with the network's events where the run has kept them.
pub fn whole(outcome: &Outcome) -> String {
    let mut all = events(outcome, None);
    all.extend(outcome.lines.iter().map(|(at, line)| (*at, format!("           {line}"))));
    all.sort_by_key(|(at, _)| *at);
    text(all)
}

/// What led to a broken rule: the events of the request or endpoint that it is about, and the script's faults.
pub fn explain(script: &Script, outcome: &Outcome, breach: &Breach) -> String {
    let request = outcome.facts.asked.iter().any(|asked| asked.id == breach.about);
    let mut led = events(outcome, request.then_some(&breach.about));
    led.retain(|(at, what)| {
        let near =
            *at <= breach.at && (breach.at == Duration::MAX || *at + Duration::from_secs(10) >= breach.at);
        near && (request || what.contains(&breach.about))
    });
    let mut out = format!("{breach}\n\nfaults:\n");
    for fault in &script.faults {
        let _ = writeln!(out, "  {}", serde_json::to_string(fault).unwrap_or_default());
    }
    let _ = writeln!(out, "\nwhat led to it:");
    out + &text(led)
}
