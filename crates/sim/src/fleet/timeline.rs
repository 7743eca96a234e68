//! A readable timeline of a run: the log lines of the processes and what callers saw, ordered by time.

use crate::fleet::facts::{CallKind, Facts, Report};
use crate::fleet::oracle::Violation;
use crate::fleet::script::Script;
use slog::{Discard, Drain, Logger, OwnedKVList, Record, o};
use std::cell::RefCell;
use std::fmt::{self, Write};
use std::time::Duration;
use tokio::time::Instant;

thread_local! {
    static LINES: RefCell<Vec<(Instant, String)>> = const { RefCell::new(Vec::new()) };
}

/// A log drain that collects the records of the current thread's run as lines.
struct LineDrain {
    node: String,
}

struct KeyValues(String);

impl slog::Serializer for KeyValues {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments<'_>) -> slog::Result {
        write!(self.0, " {key}={value}")?;
        Ok(())
    }
}

impl Drain for LineDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        let mut key_values = KeyValues(format!("{:<9} {}", self.node, record.msg()));
        let _ = slog::KV::serialize(&record.kv(), record, &mut key_values); // writing to a string cannot fail
        LINES.with_borrow_mut(|lines| lines.push((Instant::now(), key_values.0)));
        Ok(())
    }
}

/// A logger for a process of the run; discards its records unless the run is traced.
pub fn logger(node: &str, traced: bool) -> Logger {
    if traced {
        Logger::root(LineDrain { node: node.to_owned() }, o!())
    } else {
        Logger::root(Discard, o!())
    }
}

/// Takes the log lines of the run that has just ended on this thread, with times since its start.
pub fn take_lines(start: Instant) -> Vec<(Duration, String)> {
    let lines = LINES.take();
    lines.into_iter().map(|(at, line)| (at.saturating_duration_since(start), line)).collect()
}

fn describe(facts: &Facts, asked: CallKind) -> String {
    match asked {
        CallKind::Replace(number) => {
            let change = &facts.changes[number];
            format!("replace #{number}: {} on {}", change.version, change.base)
        }
        CallKind::Read => "read".to_owned(),
        CallKind::Heartbeat(endpoint) => format!("heartbeat of e{endpoint}"),
        CallKind::Drain(endpoint) => format!("draining of e{endpoint}"),
        CallKind::Deregister(endpoint) => format!("deregistration of e{endpoint}"),
    }
}

fn call_lines(facts: &Facts) -> Vec<(Duration, String)> {
    let mut lines = Vec::new();
    for (number, call) in facts.calls.iter().enumerate() {
        if matches!(call.asked, CallKind::Heartbeat(_)) {
            continue;
        }
        let what = describe(facts, call.asked);
        lines.push((call.began, format!("caller    call {number} to core-{}: {what}", call.core)));
        let outcome = match &call.answer {
            Some(answer) => match answer.config {
                Some((version, marker)) => format!("{} version {version} of #{marker}", answer.status),
                None => format!("{} {:?}", answer.status, answer.named),
            },
            None => "no answer".to_owned(),
        };
        if let Some(ended) = call.ended {
            lines
                .push((ended, format!("caller    call {number} to core-{}: {what}: {outcome}", call.core)));
        }
    }
    lines
}

fn report_lines(facts: &Facts) -> Vec<(Duration, String)> {
    let mut last: Vec<(u32, Report)> = Vec::new();
    let mut lines = Vec::new();
    for event in &facts.events {
        let (agent, report) = (event.agent, &event.report);
        let reported = (agent, report.clone());
        // Skips versions that repeat the agent's previous report.
        if matches!(report, Report::Version(_))
            && last.iter().rev().find(|(a, _)| *a == agent) == Some(&reported)
        {
            continue;
        }
        lines.push((
            event.at,
            format!("edge-{agent}    reports (start {}): {report:?}", event.start_number),
        ));
        last.push(reported);
    }
    lines
}

/// Renders the whole timeline, one line per event.
pub fn render(
    script: &Script,
    facts: &Facts,
    log: &[(Duration, String)],
    violations: &[Violation],
) -> String {
    let mut lines: Vec<(Duration, String)> = log.to_vec();
    lines.extend(call_lines(facts));
    lines.extend(report_lines(facts));
    for fault in &script.faults {
        let (at, lasts) = fault.span();
        let text = serde_json::to_string(fault).unwrap_or_default();
        lines.push((Duration::from_millis(at.into()), format!("fault     {text}")));
        let until = Duration::from_millis((at + lasts).into());
        lines.push((until, format!("ended     {text}")));
    }
    for violation in violations {
        lines.push((violation.at, format!("BROKEN    {violation}")));
    }
    lines.sort_by_key(|(at, _)| *at);
    let mut text = String::new();
    for (at, line) in lines {
        let _ = writeln!(text, "{:>9.3}  {line}", at.as_secs_f64());
    }
    text
}
