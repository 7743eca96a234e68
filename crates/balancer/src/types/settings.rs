//! What a balancer is told when it is made.

use super::{Limits, Rules, ZoneId};
use std::time::Duration;

/// Everything a balancer is told when it is made.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Balancers in this tier, this one included.
    pub balancers: u32,
    /// This balancer's number among them.
    pub balancer_index: u32,
    /// Zone this balancer runs in.
    pub zone: ZoneId,
    /// Zones of the deployment.
    pub zones: u32,
    /// The tier it sends to: 0 takes the clients' requests.
    pub tier: u32,
    /// Tiers of the deployment.
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
    /// Figures of the four rules.
    pub rules: Rules,
    /// What the result is made of.
    pub score_weights: ScoreWeights,
    /// Prices.
    pub costs: Costs,
    /// What load reports hold and how they come.
    pub load_reports: LoadReports,
    /// What [`EndpointInfo::weight`](crate::EndpointInfo::weight) means.
    pub weight_kind: WeightKind,
    /// Least time between two rounds of events.
    pub clock_resolution: Duration,
    /// Calls to the next tier carry the caller's time left rather than the class's deadline.
    pub propagates_deadline: bool,
    /// An endpoint that served a key of late serves it with less work.
    pub warm_keys: bool,
    /// Clients mark their repeats, see [`Request::client_retry`](crate::Request::client_retry).
    pub clients_mark_retries: bool,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Answers within this time earn the full value.
    pub objective: Duration,
    /// The time a client waits in all.
    pub deadline: Duration,
    /// What a repeat may do.
    pub semantics: Semantics,
    /// Fraction of the value for an answer after the objective.
    pub late_value: f64,
    /// The answer is streamed.
    pub streamed: bool,
    /// Value of one request.
    pub value: f64,
    /// The objective grows by this multiple of the request's own work, up to the deadline.
    pub objective_work_factor: f64,
}

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// Any repeat is harmless.
    Safe,
    /// Endpoints of one group drop repeats for a while.
    Keyed {
        /// Which endpoints drop each other's repeats.
        scope: DedupScope,
        /// For how long, from the first send that may have run.
        window: Duration,
    },
    /// Must never run twice.
    Unsafe,
}

/// The endpoints among which a keyed repeat is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A tenant and what it may ask for.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within its share, over all balancers.
    pub allowance_per_s: f64,
    /// Its fraction of the service.
    pub portion: f64,
}

/// How the endpoint list reaches the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come by themselves.
    Push,
    /// Only what is asked for comes.
    Subscribe,
}

/// What value is counted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueBasis {
    /// Each request counts alike within its class.
    Request,
    /// Value is for each unit of work, see [`Request::work_hint`](crate::Request::work_hint).
    Work,
}

/// What the result is made of: weights of its parts.
#[derive(Clone, Debug, PartialEq)]
pub struct ScoreWeights {
    /// The whole day.
    pub overall: f64,
    /// The worst ten seconds.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant, within its share.
    pub worst_tenant: f64,
    /// Tenfold steps that the unserved share lies below the whole, over spans of five seconds.
    pub availability_nines: f64,
    /// So many such steps earn that weight in full; not a weight.
    pub target_nines: f64,
    /// What value is counted by.
    pub value_basis: ValueBasis,
}

/// Prices, in points of the result.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    /// Mean open connections, over a hundred for each endpoint.
    pub connection: f64,
    /// List lines sent, over a hundred for each first try.
    pub discovery: f64,
    /// Attempts that cross zones, a first try.
    pub cross_zone: f64,
    /// Work that produced no answer, as a fraction of the work offered.
    pub waste: f64,
    /// New connections, a first try.
    pub handshake: f64,
    /// Probes, a first try.
    pub probe: f64,
    /// Value left unserved after its objective had passed.
    pub late_fail: f64,
}

/// What load reports hold and how they come.
#[derive(Clone, Debug)]
pub struct LoadReports {
    /// How they come.
    pub delivery: ReportDelivery,
    /// Their values, in order.
    pub fields: Vec<LoadField>,
}

/// How load reports come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportDelivery {
    /// Never.
    Off,
    /// With every outcome and probe.
    Inline,
    /// With probes alone.
    Probe,
}

/// One value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Requests being handled.
    Outstanding,
    /// Requests queued.
    Backlog,
    /// Fraction of the processor in use.
    Utilization,
    /// Recent service time in milliseconds.
    RecentMs,
    /// Requests served a second.
    Throughput,
    /// Errors a second.
    ErrorsPerS,
    /// A value this version does not know.
    Other,
}

/// What an endpoint's weight means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightKind {
    /// Nothing.
    Off,
    /// Its registered size.
    Nominal,
    /// Roughly its size.
    Rough,
    /// Its size over one plus the requests it held for each core, some time ago.
    Live,
}

impl Default for Settings {
    /// One balancer, one class, one zone, a list that is pushed.
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
