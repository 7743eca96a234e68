//! Conversion of JSON settings to [`Settings`].

use super::WireError;
use super::fields::{MAX_MS, duration};
use super::settings_json::*;
use crate::types::*;
use std::time::Duration;

/// Parses the settings object of line number `line`. The sidecar's configuration file contains the same object.
pub fn parse_settings(line: u64, text: &str) -> Result<Settings, WireError> {
    let error = |field: String, problem: String| WireError { line, field, problem };
    let mut json = serde_json::Deserializer::from_str(text);
    let conf: Conf = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let path = e.path().to_string();
        let field = if path == "." { "conf".to_owned() } else { format!("conf.{path}") };
        error(field, e.inner().to_string())
    })?;
    json.end().map_err(|e| error("conf".to_owned(), e.to_string()))?;
    let settings = convert(line, conf)?;
    settings.validate().map_err(|e| error("conf".to_owned(), e.to_string()))?;
    Ok(settings)
}

/// Converts the time in field `field` of line number `line` from milliseconds.
fn time(line: u64, field: &str, ms: f64) -> Result<Duration, WireError> {
    if (0.0..=MAX_MS).contains(&ms) {
        return Ok(duration(ms));
    }
    let (field, problem) = (format!("conf.{field}"), format!("{ms} is out of range"));
    Err(WireError { line, field, problem })
}

fn convert(line: u64, conf: Conf) -> Result<Settings, WireError> {
    let classes = conf.classes.iter().map(|class| convert_class(line, class));
    Ok(Settings {
        balancers: conf.balancers,
        balancer_index: conf.me,
        zone: ZoneId(conf.my_zone),
        zones: conf.areas.len().max(1) as u32,
        tier: conf.stage,
        tiers: conf.tiers.len().max(1) as u32,
        classes: classes.collect::<Result<_, _>>()?,
        tenants: conf.tenants.into_iter().map(Tenant::from).collect(),
        over_share_value: conf.over_share_worth,
        discovery: conf.discovery.into(),
        limits: convert_limits(line, &conf.limits)?,
        rules: convert_rules(line, &conf.rules)?,
        score_weights: convert_score_weights(&conf.blend, conf.counted_by),
        costs: conf.costs.into(),
        load_reports: conf.telemetry.into(),
        weight_kind: conf.weight_kind.into(),
        clock_resolution: time(line, "resolutionMs", conf.resolution_ms)?,
        propagates_deadline: conf.family_info.passes_deadline,
        warm_keys: conf.family_info.warm_keys,
        clients_mark_retries: conf.clients.marks_retry,
    })
}

fn convert_class(line: u64, class: &ConfClass) -> Result<Class, WireError> {
    Ok(Class {
        objective: time(line, "classes.objectiveMs", class.objective_ms)?,
        deadline: time(line, "classes.deadlineMs", class.deadline_ms)?,
        semantics: match class.semantics {
            ConfSemantics::Safe => Semantics::Safe,
            ConfSemantics::Unsafe => Semantics::Unsafe,
            ConfSemantics::Keyed => Semantics::Keyed {
                scope: (&class.group).into(),
                window: time(line, "classes.repeatWindowMs", class.repeat_window_ms)?,
            },
        },
        late_value: class.late_value,
        streamed: class.streamed,
        value: class.worth,
        objective_work_factor: class.aim_stretch,
    })
}

fn convert_limits(line: u64, limits: &ConfLimits) -> Result<Limits, WireError> {
    Ok(Limits {
        cancellation: limits.cancelling,
        probes: limits.probes,
        peer_messages: limits.peers,
        retry_after: limits.retry_after,
        max_retry_after: time(line, "limits.maxRetryAfterMs", limits.max_retry_after_ms)?,
        hedging: limits.second_copies,
        max_attempts: limits.max_attempts,
        connect_timeout: time(line, "limits.connectTimeoutMs", limits.connect_timeout_ms)?,
        streams_per_connection: limits.streams_per_conn,
        idle_timeout: time(line, "limits.idleCloseMs", limits.idle_close_ms)?,
        max_open_requests: limits.open_cap,
        cpu_per_s: time(line, "limits.cpuUsPerS", limits.cpu_us_per_s / 1000.0)?,
        cpu_per_request: time(line, "limits.cpuUsPerRequest", limits.cpu_us_per_request / 1000.0)?,
    })
}

fn convert_rules(line: u64, rules: &ConfRules) -> Result<Rules, WireError> {
    Ok(Rules {
        resubscribe_within: time(line, "rules.askWithinMs", rules.ask_within_ms)?,
        cold_share: rules.cold_share,
        warm_within: time(line, "rules.warmWithinMs", rules.warm_within_ms)?,
        drain_grace: time(line, "rules.drainGraceMs", rules.drain_grace_ms)?,
        cold_overload_factor: rules.fall_multiple,
        cold_overload_window: time(line, "rules.fallMs", rules.fall_ms)?,
        answer_grace: time(line, "rules.graceToAnswerMs", rules.grace_to_answer_ms)?,
    })
}

fn convert_score_weights(blend: &ConfBlend, value_basis: ConfCounted) -> ScoreWeights {
    ScoreWeights {
        overall: blend.whole,
        worst_window: blend.worst_window,
        worst_class: blend.worst_class,
        worst_tenant: blend.worst_tenant,
        availability_nines: blend.nines_part,
        target_nines: blend.nines_wanted,
        value_basis: match value_basis {
            ConfCounted::Request => ValueBasis::Request,
            ConfCounted::Work => ValueBasis::Work,
        },
    }
}

impl From<&ConfGroup> for DedupScope {
    fn from(group: &ConfGroup) -> Self {
        match group {
            ConfGroup::All => DedupScope::All,
            ConfGroup::Zone => DedupScope::Zone,
            ConfGroup::Cell => DedupScope::Cell,
        }
    }
}

impl From<ConfTenant> for Tenant {
    fn from(tenant: ConfTenant) -> Self {
        Tenant { allowance_per_s: tenant.allowance_per_s, portion: tenant.portion }
    }
}

impl From<ConfDiscovery> for Discovery {
    fn from(discovery: ConfDiscovery) -> Self {
        match discovery {
            ConfDiscovery::Automatic => Discovery::Push,
            ConfDiscovery::Subscribe => Discovery::Subscribe,
        }
    }
}

impl From<ConfCosts> for Costs {
    fn from(costs: ConfCosts) -> Self {
        Costs {
            connection: costs.connection,
            discovery: costs.discovery,
            cross_zone: costs.cross_zone,
            waste: costs.waste,
            handshake: costs.handshake,
            probe: costs.probe,
            late_fail: costs.late_fail,
        }
    }
}

impl From<ConfTelemetry> for LoadReports {
    fn from(telemetry: ConfTelemetry) -> Self {
        let delivery = match telemetry.via {
            ConfVia::Off => ReportDelivery::Off,
            ConfVia::Inline => ReportDelivery::Inline,
            ConfVia::OnProbe => ReportDelivery::Probe,
        };
        LoadReports { delivery, fields: telemetry.fields.iter().map(|field| load_field(field)).collect() }
    }
}

impl From<ConfWeights> for WeightKind {
    fn from(weight_kind: ConfWeights) -> Self {
        match weight_kind {
            ConfWeights::Off => WeightKind::Off,
            ConfWeights::Nominal => WeightKind::Nominal,
            ConfWeights::Rough => WeightKind::Rough,
            ConfWeights::Live => WeightKind::Live,
        }
    }
}

fn load_field(name: &str) -> LoadField {
    match name {
        "outstanding" => LoadField::Outstanding,
        "backlog" => LoadField::Backlog,
        "utilization" => LoadField::Utilization,
        "recent_ms" => LoadField::RecentMs,
        "throughput" => LoadField::Throughput,
        "errors_per_s" => LoadField::ErrorsPerS,
        _ => LoadField::Other,
    }
}
