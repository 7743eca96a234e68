//! Settings of a balancer.

use super::{Limits, Rules, ZoneId};
use std::time::Duration;

/// Settings of a balancer, fixed at its creation.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of balancers in this tier, including this one.
    pub balancers: u32,
    /// This balancer's index among them, from 0.
    pub balancer_index: u32,
    /// Zone this balancer runs in.
    pub zone: ZoneId,
    /// Number of zones in the deployment.
    pub zones: u32,
    /// The tier it sends to; tier 0 takes client requests.
    pub tier: u32,
    /// Number of tiers in the deployment.
    pub tiers: u32,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Value of a request above its tenant's share, as a fraction of the class's value.
    pub over_share_value: f64,
    /// How the endpoint list reaches the balancer.
    pub discovery: Discovery,
    /// What the deployment allows.
    pub limits: Limits,
    /// Parameters of the four rules.
    pub rules: Rules,
    /// Weights of the parts of the score.
    pub score_weights: ScoreWeights,
    /// Costs of side effects.
    pub costs: Costs,
    /// Contents and delivery of load reports.
    pub load_reports: LoadReports,
    /// What [`EndpointInfo::weight`](crate::EndpointInfo::weight) means.
    pub weight_kind: WeightKind,
    /// Least time between two batches of events.
    pub clock_resolution: Duration,
    /// Calls to the next tier carry the caller's remaining time rather than the class's deadline.
    pub propagates_deadline: bool,
    /// An endpoint serves a key that it served recently with less work.
    pub warm_keys: bool,
    /// Clients mark their retries, see [`Request::client_retry`](crate::Request::client_retry).
    pub clients_mark_retries: bool,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency objective: answers within it earn the full value.
    pub objective: Duration,
    /// How long a client waits.
    pub deadline: Duration,
    /// Whether the request may be executed again.
    pub semantics: Semantics,
    /// Fraction of the value that an answer after the objective earns.
    pub late_value: f64,
    /// Whether the answer is streamed.
    pub streamed: bool,
    /// Value of one request.
    pub value: f64,
    /// Multiple of the request's own work that is added to the objective, up to the deadline.
    pub objective_work_factor: f64,
}

/// Whether a request may be executed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// Idempotent: may be executed any number of times.
    Safe,
    /// Carries an idempotency key: endpoints in one scope drop duplicates for a while.
    Keyed {
        /// The endpoints among which duplicates are dropped.
        scope: DedupScope,
        /// For how long, from the first send that may have been executed.
        window: Duration,
    },
    /// Must not be executed twice.
    Unsafe,
}

/// The endpoints among which duplicates of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// A tenant and its share.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second within its share, over all balancers.
    pub allowance_per_s: f64,
    /// Fraction of the service that it is entitled to.
    pub portion: f64,
}

/// How the endpoint list reaches the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed without a subscription.
    Push,
    /// The balancer must subscribe to changes.
    Subscribe,
}

/// Unit in which value is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueBasis {
    /// All requests of a class count equally.
    Request,
    /// Value is proportional to work, see [`Request::work_hint`](crate::Request::work_hint).
    Work,
}

/// Weights of the parts of the score.
#[derive(Clone, Debug, PartialEq)]
pub struct ScoreWeights {
    /// The whole run.
    pub overall: f64,
    /// The worst window of ten seconds.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant, counting requests within its share.
    pub worst_tenant: f64,
    /// Availability in nines (powers of ten by which the unserved fraction is below one), over 5 s spans.
    pub availability_nines: f64,
    /// Number of nines that earns that weight in full; not itself a weight.
    pub target_nines: f64,
    /// Unit in which value is counted.
    pub value_basis: ValueBasis,
}

/// Costs of side effects, in points of the score.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    /// Mean open connections, relative to 100 per endpoint.
    pub connection: f64,
    /// Discovery entries sent, relative to 100 per first attempt.
    pub discovery: f64,
    /// Cross-zone attempts per first attempt.
    pub cross_zone: f64,
    /// Work without an answer, as a fraction of the work offered.
    pub waste: f64,
    /// New connections per first attempt.
    pub handshake: f64,
    /// Probes per first attempt.
    pub probe: f64,
    /// Value of requests that fail after their objective has passed.
    pub late_fail: f64,
}

/// Contents and delivery of load reports.
#[derive(Clone, Debug)]
pub struct LoadReports {
    /// How they are delivered.
    pub delivery: ReportDelivery,
    /// Their fields, in order.
    pub fields: Vec<LoadField>,
}

/// How load reports are delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportDelivery {
    /// Not at all.
    Off,
    /// With every outcome and probe.
    Inline,
    /// With probes only.
    Probe,
}

/// A field of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Requests being processed.
    Outstanding,
    /// Requests queued.
    Backlog,
    /// Fraction of the processor in use.
    Utilization,
    /// Recent service time in milliseconds.
    RecentMs,
    /// Requests served per second.
    Throughput,
    /// Errors per second.
    ErrorsPerS,
    /// A field that this version does not know.
    Other,
}

/// Meaning of [`EndpointInfo::weight`](crate::EndpointInfo::weight).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightKind {
    /// Ignored.
    Off,
    /// The endpoint's registered capacity.
    Nominal,
    /// The endpoint's approximate capacity.
    Rough,
    /// The capacity divided by one plus the requests per core that it recently held.
    Live,
}

impl Default for Settings {
    /// One balancer, one class and one zone, with pushed endpoint lists.
    fn default() -> Self {
        Settings {
            balancers: 1,
            balancer_index: 0,
            zone: ZoneId(0),
            zones: 1,
            tier: 0,
            tiers: 1,
            classes: vec![Class::default()],
            tenants: Vec::new(),
            over_share_value: 1.0,
            discovery: Discovery::Push,
            limits: Limits::default(),
            rules: Rules::default(),
            score_weights: ScoreWeights::default(),
            costs: Costs::default(),
            load_reports: LoadReports { delivery: ReportDelivery::Off, fields: Vec::new() },
            weight_kind: WeightKind::Off,
            clock_resolution: Duration::from_millis(1),
            propagates_deadline: true,
            warm_keys: false,
            clients_mark_retries: false,
        }
    }
}

impl Default for Class {
    fn default() -> Self {
        Class {
            objective: Duration::from_millis(500),
            deadline: Duration::from_secs(2),
            semantics: Semantics::Safe,
            late_value: 0.5,
            streamed: false,
            value: 1.0,
            objective_work_factor: 0.0,
        }
    }
}

impl Default for ScoreWeights {
    fn default() -> Self {
        ScoreWeights {
            overall: 1.0,
            worst_window: 0.0,
            worst_class: 0.0,
            worst_tenant: 0.0,
            availability_nines: 0.0,
            target_nines: 3.0,
            value_basis: ValueBasis::Request,
        }
    }
}
