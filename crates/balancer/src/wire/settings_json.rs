//! JSON representation of settings on the wire.

use serde::Deserialize;
use serde::de::IgnoredAny;

// Omitted on purpose: names of classes, tenants, zones and machine types and the family, which no decision uses,
// and costs of what a balancer cannot do here (fleet, moves, origin, peer).
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Conf {
    #[serde(default)]
    pub(super) areas: Vec<IgnoredAny>,
    #[serde(default)]
    pub(super) tiers: Vec<IgnoredAny>,
    #[serde(default)]
    pub(super) blend: ConfBlend,
    #[serde(default)]
    pub(super) counted_by: ConfCounted,
    #[serde(default)]
    pub(super) clients: ConfClients,
    pub(super) balancers: u32,
    #[serde(default)]
    pub(super) me: u32,
    pub(super) my_zone: u32,
    #[serde(default)]
    pub(super) stage: u32,
    pub(super) classes: Vec<ConfClass>,
    #[serde(default)]
    pub(super) tenants: Vec<ConfTenant>,
    #[serde(default = "one")]
    pub(super) over_share_worth: f64,
    pub(super) discovery: ConfDiscovery,
    pub(super) limits: ConfLimits,
    pub(super) rules: ConfRules,
    #[serde(default)]
    pub(super) costs: ConfCosts,
    #[serde(default)]
    pub(super) telemetry: ConfTelemetry,
    #[serde(default)]
    pub(super) weight_kind: ConfWeights,
    #[serde(default)]
    pub(super) resolution_ms: f64,
    #[serde(default)]
    pub(super) family_info: ConfFamily,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct ConfBlend {
    pub(super) whole: f64,
    pub(super) worst_window: f64,
    pub(super) worst_class: f64,
    pub(super) worst_tenant: f64,
    pub(super) nines_part: f64,
    pub(super) nines_wanted: f64,
}

impl Default for ConfBlend {
    fn default() -> Self {
        let (whole, nines_wanted) = (1.0, 3.0);
        let (worst_window, worst_class, worst_tenant, nines_part) = Default::default();
        ConfBlend { whole, worst_window, worst_class, worst_tenant, nines_part, nines_wanted }
    }
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum ConfCounted {
    #[default]
    Request,
    Work,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct ConfClients {
    pub(super) marks_retry: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ConfClass {
    #[serde(default)]
    pub(super) aim_stretch: f64,
    pub(super) objective_ms: f64,
    pub(super) deadline_ms: f64,
    pub(super) semantics: ConfSemantics,
    #[serde(default)]
    pub(super) group: ConfGroup,
    #[serde(default)]
    pub(super) repeat_window_ms: f64,
    #[serde(default)]
    pub(super) late_value: f64,
    #[serde(default)]
    pub(super) streamed: bool,
    #[serde(default = "one")]
    pub(super) worth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ConfTenant {
    #[serde(default)]
    pub(super) allowance_per_s: f64,
    #[serde(default)]
    pub(super) portion: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ConfLimits {
    #[serde(default)]
    pub(super) cancelling: bool,
    #[serde(default)]
    pub(super) probes: bool,
    #[serde(default)]
    pub(super) peers: bool,
    #[serde(default)]
    pub(super) retry_after: bool,
    #[serde(default)]
    pub(super) max_retry_after_ms: f64,
    #[serde(default)]
    pub(super) second_copies: bool,
    pub(super) max_attempts: u32,
    #[serde(default)]
    pub(super) connect_timeout_ms: f64,
    #[serde(default)]
    pub(super) streams_per_conn: u32,
    #[serde(default)]
    pub(super) idle_close_ms: f64,
    #[serde(default)]
    pub(super) open_cap: u32,
    #[serde(default)]
    pub(super) cpu_us_per_s: f64,
    #[serde(default)]
    pub(super) cpu_us_per_request: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ConfRules {
    #[serde(default)]
    pub(super) ask_within_ms: f64,
    pub(super) cold_share: f64,
    pub(super) warm_within_ms: f64,
    pub(super) drain_grace_ms: f64,
    pub(super) fall_multiple: f64,
    pub(super) fall_ms: f64,
    pub(super) grace_to_answer_ms: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct ConfCosts {
    pub(super) connection: f64,
    pub(super) discovery: f64,
    pub(super) cross_zone: f64,
    pub(super) waste: f64,
    pub(super) handshake: f64,
    pub(super) probe: f64,
    pub(super) late_fail: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct ConfTelemetry {
    pub(super) via: ConfVia,
    pub(super) fields: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct ConfFamily {
    pub(super) passes_deadline: bool,
    pub(super) warm_keys: bool,
}

impl Default for ConfFamily {
    fn default() -> Self {
        ConfFamily { passes_deadline: true, warm_keys: false }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum ConfSemantics {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum ConfGroup {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum ConfDiscovery {
    Automatic,
    Subscribe,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ConfVia {
    #[default]
    Off,
    Inline,
    OnProbe,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum ConfWeights {
    #[default]
    Off,
    Nominal,
    Rough,
    Live,
}

fn one() -> f64 {
    1.0
}
