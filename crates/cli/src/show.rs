//! Human-readable output of plans and histories.

use anstyle::{AnsiColor, Style};
use runtrack_model::Severity;
use runtrack_plan::{Edit, Fields, Plan, Step};
use runtrack_store::Version;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const ADD: Style = AnsiColor::Green.on_default();
const CHANGE: Style = AnsiColor::Yellow.on_default();
const DELETE: Style = AnsiColor::Red.on_default();
const HEADING: Style = Style::new().bold();

/// Fields that hold durations, in microseconds.
const DURATION_FIELDS: [&str; 7] =
    ["connect_timeout", "deadline", "drain_grace", "objective", "panic_hold", "warm_within", "window"];

/// Formats the value of a field: durations with their unit, other values as JSON.
fn format_value(field: &str, value: &Value) -> String {
    match value {
        Value::Null => "(none)".to_owned(),
        Value::Number(n) if DURATION_FIELDS.contains(&field) => match n.as_u64() {
            Some(micros) => humantime::format_duration(Duration::from_micros(micros)).to_string(),
            None => n.to_string(),
        },
        Value::Object(map) if field == "semantics" => {
            let shares: Vec<String> =
                map.iter().map(|(kind, of)| format!("{kind} {}", format_inline(of))).collect();
            shares.join(", ")
        }
        other => other.to_string(),
    }
}

fn format_inline(of: &Value) -> String {
    let Value::Object(map) = of else { return of.to_string() };
    let shares: Vec<String> =
        map.iter().map(|(name, value)| format!("{name} {}", format_value(name, value))).collect();
    shares.join(", ")
}

fn write_fields(out: &mut String, fields: &Fields) {
    for (name, value) in fields {
        let _ = writeln!(out, "      {name} = {}", format_value(name, value));
    }
}

fn write_edits(out: &mut String, fields: &BTreeMap<String, Edit>) {
    for (name, edit) in fields {
        let _ = writeln!(
            out,
            "      {name}: {} -> {}",
            format_value(name, &edit.before),
            format_value(name, &edit.after)
        );
    }
}

/// Formats a plan: its steps, its risks and its summary.
pub fn plan(plan: &Plan) -> String {
    let mut out = String::new();
    for step in &plan.steps {
        let address = step.address();
        let (symbol, style, note) = match step {
            Step::Create { .. } => ("+", ADD, String::new()),
            Step::Change { .. } => ("~", CHANGE, String::new()),
            Step::Replace { .. } => ("-/+", CHANGE, "   replaced by a new one".to_owned()),
            Step::Move { after: Some(after), .. } => (">", CHANGE, format!("   moves after {after}")),
            Step::Move { after: None, .. } => (">", CHANGE, "   moves to the front".to_owned()),
            Step::Delete { .. } => ("-", DELETE, String::new()),
        };
        let _ = writeln!(out, "{style}{symbol:>3} {address}{style:#}{note}");
        match step {
            Step::Create { fields, .. } => write_fields(&mut out, fields),
            Step::Change { fields, .. } | Step::Replace { fields, .. } => write_edits(&mut out, fields),
            Step::Move { .. } | Step::Delete { .. } => {}
        }
    }
    if !plan.risks.is_empty() {
        let _ = writeln!(out, "\n{HEADING}Risks{HEADING:#}");
    }
    for risk in &plan.risks {
        let style = match risk.severity {
            Severity::High => DELETE,
            Severity::Medium => CHANGE,
            Severity::Low => Style::new(),
        };
        let _ = writeln!(
            out,
            "{style}{:>8}{style:#} {}\n         {}",
            risk.severity.name(),
            risk.id,
            risk.description
        );
    }
    let serial = match plan.serial {
        0 => "an empty state".to_owned(),
        serial => format!("serial {serial}"),
    };
    let _ = match plan.steps.is_empty() {
        true => writeln!(out, "{HEADING}Nothing to change{HEADING:#}: {serial} is up to date."),
        false => {
            writeln!(
                out,
                "\n{HEADING}Plan{HEADING:#}: {}.\nBased on {serial}.{}",
                plan.summary(),
                stages(plan)
            )
        }
    };
    out
}

/// Formats the stages of the roll-out; empty if there are none.
fn stages(plan: &Plan) -> String {
    if plan.stages.is_empty() {
        return String::new();
    }
    let shares: Vec<String> =
        plan.stages.iter().map(|share| format!("{}%", f64::from(*share) / 100.0)).collect();
    let pause = humantime::format_duration(Duration::from_millis(plan.pause_ms));
    format!(" Rolled out to {} of the proxies, at least {pause} apart.", shares.join(", "))
}

/// Formats versions, newest first.
pub fn history(versions: &[Version]) -> String {
    let mut out = String::new();
    for version in versions.iter().rev() {
        let at = UNIX_EPOCH.checked_add(Duration::from_millis(version.at_ms)).unwrap_or(SystemTime::now());
        let plan = version.plan.get(..12).unwrap_or("-");
        let _ = writeln!(
            out,
            "{:>6}  {}  {}  plan {plan}  {}  {}",
            version.serial,
            humantime::format_rfc3339_seconds(at),
            version.hash.get(..12).unwrap_or("-"),
            version.author,
            version.reason
        );
    }
    out
}
