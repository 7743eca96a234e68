//! Plans, histories and times, as people read them.

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
const GO: Style = AnsiColor::Red.on_default();
const HEAD: Style = Style::new().bold();

/// Fields that hold microseconds.
const TIMES: [&str; 7] =
    ["connect_timeout", "deadline", "drain_grace", "objective", "panic_hold", "warm_within", "window"];

/// A field's value: times with their unit, the rest as in JSON.
fn value(field: &str, value: &Value) -> String {
    match value {
        Value::Null => "(none)".to_owned(),
        Value::Number(n) if TIMES.contains(&field) => match n.as_u64() {
            Some(micros) => humantime::format_duration(Duration::from_micros(micros)).to_string(),
            None => n.to_string(),
        },
        Value::Object(map) if field == "semantics" => {
            let parts: Vec<String> =
                map.iter().map(|(kind, of)| format!("{kind} {}", fields_inline(of))).collect();
            parts.join(", ")
        }
        other => other.to_string(),
    }
}

fn fields_inline(of: &Value) -> String {
    let Value::Object(map) = of else { return of.to_string() };
    let parts: Vec<String> =
        map.iter().map(|(name, held)| format!("{name} {}", value(name, held))).collect();
    parts.join(", ")
}

fn whole(out: &mut String, fields: &Fields) {
    for (name, held) in fields {
        let _ = writeln!(out, "      {name} = {}", value(name, held));
    }
}

fn edits(out: &mut String, fields: &BTreeMap<String, Edit>) {
    for (name, edit) in fields {
        let _ =
            writeln!(out, "      {name}: {} -> {}", value(name, &edit.before), value(name, &edit.after));
    }
}

/// A plan: its steps, its risks, and the line that sums it up.
pub fn plan(plan: &Plan) -> String {
    let mut out = String::new();
    for step in &plan.steps {
        let what = step.what();
        let (sign, style, more) = match step {
            Step::Create { .. } => ("+", ADD, String::new()),
            Step::Change { .. } => ("~", CHANGE, String::new()),
            Step::Replace { .. } => ("-/+", CHANGE, "   another one takes the name".to_owned()),
            Step::Move { after: Some(after), .. } => (">", CHANGE, format!("   moves behind {after}")),
            Step::Move { after: None, .. } => (">", CHANGE, "   moves to the front".to_owned()),
            Step::Delete { .. } => ("-", GO, String::new()),
        };
        let _ = writeln!(out, "{style}{sign:>3} {what}{style:#}{more}");
        match step {
            Step::Create { fields, .. } => whole(&mut out, fields),
            Step::Change { fields, .. } | Step::Replace { fields, .. } => edits(&mut out, fields),
            Step::Move { .. } | Step::Delete { .. } => {}
        }
    }
    if !plan.risks.is_empty() {
        let _ = writeln!(out, "\n{HEAD}Risks{HEAD:#}");
    }
    for risk in &plan.risks {
        let style = match risk.severity {
            Severity::High => GO,
            Severity::Medium => CHANGE,
            Severity::Low => Style::new(),
        };
        let _ = writeln!(
            out,
            "{style}{:>8}{style:#} {}\n         {}",
            risk.severity.name(),
            risk.id,
            risk.what
        );
    }
    let serial = match plan.serial {
        0 => "an empty state".to_owned(),
        serial => format!("serial {serial}"),
    };
    let _ = match plan.steps.is_empty() {
        true => writeln!(out, "{HEAD}Nothing to change{HEAD:#}: {serial} is what is wanted."),
        false => {
            writeln!(out, "\n{HEAD}Plan{HEAD:#}: {}.\nMade on {serial}.{}", plan.summary(), stages(plan))
        }
    };
    out
}

/// How it is handed out, where that is in stages.
fn stages(plan: &Plan) -> String {
    if plan.stages.is_empty() {
        return String::new();
    }
    let parts: Vec<String> =
        plan.stages.iter().map(|part| format!("{}%", f64::from(*part) / 100.0)).collect();
    let pause = humantime::format_duration(Duration::from_millis(plan.pause_ms));
    format!(" Handed out to {} of the proxies, {pause} apart at least.", parts.join(", "))
}

/// Versions, the newest first.
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
