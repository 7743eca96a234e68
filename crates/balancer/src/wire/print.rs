//! Formatting of actions.

use super::EndpointNames;
use crate::types::Action;
use std::time::Duration;

/// Formats an action of `instance`; `request` is the name on the wire of the request it concerns.
pub fn format_action(instance: u32, action: &Action, request: &str, names: &EndpointNames) -> String {
    match action {
        Action::Send { endpoint, timeout, .. } => {
            // At least a microsecond: zero would mean that the attempt has no timeout of its own.
            let timeout = (*timeout).max(Duration::from_micros(1));
            format!("try {instance} {request} {} {}", millis(timeout), names.name(*endpoint))
        }
        Action::Refuse { retry_after, .. } => match retry_after {
            Some(wait) => format!("not_now {instance} {request} {}", millis(*wait)),
            None => format!("not_now {instance} {request} -"),
        },
        Action::Fail { .. } => format!("surrender {instance} {request}"),
        Action::Cancel { attempt, .. } => format!("revoke {instance} {request} {}", attempt.0),
        Action::SetTimer { token, after } => format!("after {instance} {} {}", token.0, millis(*after)),
        Action::Watch(on) => format!("tail {instance} {}", u8::from(*on)),
        Action::FetchList => format!("lookup {instance}"),
        Action::Probe { endpoint } => format!("ask_load {instance} {}", names.name(*endpoint)),
        Action::CloseIdle { endpoint } => format!("release {instance} {}", names.name(*endpoint)),
        Action::Log(text) => format!("trace {instance} {}", one_line(text)),
    }
}

/// Formats the report of a panic in an instance.
pub fn format_panic(instance: u32, problem: &str) -> String {
    format!("die {instance} {}", one_line(problem))
}

fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}

fn millis(time: Duration) -> f64 {
    time.as_micros() as f64 / 1000.0
}
