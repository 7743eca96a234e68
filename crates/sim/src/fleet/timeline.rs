//! What happened, for a person: the log of each process and what callers saw, in the order of time.

use crate::fleet::facts::{Asked, Facts, Told};
use crate::fleet::oracle::Breach;
use crate::fleet::script::Script;
use slog::{Discard, Drain, Logger, OwnedKVList, Record, o};
use std::cell::RefCell;
use std::fmt::{self, Write};
use std::time::Duration;
use tokio::time::Instant;

thread_local! {
    static LINES: RefCell<Vec<(Instant, String)>> = const { RefCell::new(Vec::new()) };
}

/// Log events of this thread's run, as lines.
struct Lines {
    node: String,
}

struct Pairs(String);

impl slog::Serializer for Pairs {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments<'_>) -> slog::Result {
        write!(self.0, " {key}={value}")?;
        Ok(())
    }
}

impl Drain for Lines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        let mut pairs = Pairs(format!("{:<9} {}", self.node, record.msg()));
        let _ = slog::KV::serialize(&record.kv(), record, &mut pairs); // text can always be written
        LINES.with_borrow_mut(|lines| lines.push((Instant::now(), pairs.0)));
        Ok(())
    }
}

/// A logger for a process of the run; it keeps lines where they are wanted.
pub fn logger(node: &str, traced: bool) -> Logger {
    if traced { Logger::root(Lines { node: node.to_owned() }, o!()) } else { Logger::root(Discard, o!()) }
}

/// The lines of the run that has just ended on this thread.
pub fn take_lines(start: Instant) -> Vec<(Duration, String)> {
    let lines = LINES.take();
    lines.into_iter().map(|(at, line)| (at.saturating_duration_since(start), line)).collect()
}

fn asked(facts: &Facts, asked: Asked) -> String {
    match asked {
        Asked::Replace(number) => {
            let order = &facts.orders[number];
            format!("replace #{number}: {} on {}", order.version, order.base)
        }
        Asked::Read => "read".to_owned(),
        Asked::Heartbeat(endpoint) => format!("heartbeat of e{endpoint}"),
        Asked::Drain(endpoint) => format!("draining of e{endpoint}"),
        Asked::Deregister(endpoint) => format!("deregistration of e{endpoint}"),
    }
}

fn call_lines(facts: &Facts) -> Vec<(Duration, String)> {
    let mut lines = Vec::new();
    for (number, call) in facts.calls.iter().enumerate() {
        if matches!(call.asked, Asked::Heartbeat(_)) {
            continue;
        }
        let what = asked(facts, call.asked);
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

fn word_lines(facts: &Facts) -> Vec<(Duration, String)> {
    let mut last: Vec<(u32, Told)> = Vec::new();
    let mut lines = Vec::new();
    for word in &facts.words {
        let (agent, told) = (word.agent, &word.told);
        let said = (agent, told.clone());
        // Words that only repeat what was said say nothing.
        if matches!(told, Told::Version(_)) && last.iter().rev().find(|(a, _)| *a == agent) == Some(&said) {
            continue;
        }
        lines.push((word.at, format!("edge-{agent}    tells (life {}): {told:?}", word.life)));
        last.push(said);
    }
    lines
}

/// All that happened.
pub fn whole(script: &Script, facts: &Facts, log: &[(Duration, String)], breaches: &[Breach]) -> String {
    let mut lines: Vec<(Duration, String)> = log.to_vec();
    lines.extend(call_lines(facts));
    lines.extend(word_lines(facts));
    for fault in &script.faults {
        let (at, lasts) = fault.span();
        let text = serde_json::to_string(fault).unwrap_or_default();
        lines.push((Duration::from_millis(at.into()), format!("fault     {text}")));
        let until = Duration::from_millis((at + lasts).into());
        lines.push((until, format!("mended    {text}")));
    }
    for breach in breaches {
        lines.push((breach.at, format!("BROKEN    {breach}")));
    }
    lines.sort_by_key(|(at, _)| *at);
    let mut text = String::new();
    for (at, line) in lines {
        let _ = writeln!(text, "{:>9.3}  {line}", at.as_secs_f64());
    }
    text
}
