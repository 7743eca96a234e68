//! The module's whole interface: settings, events, actions and outcomes.
//!
//! Times are `Duration`s on the caller's clock, which may start anywhere.

use std::time::Duration;
use thiserror::Error;

/// A request as its host names it; never used again once finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);
/// A server process that requests can be sent to; survives restarts of the process. All balancers should know
/// an endpoint by the same number, such as a hash of its address: callers inside a tier divide the endpoints by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointId(pub u64);
/// Number of an attempt within its request: 0, 1, 2 ... in the order sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptNo(pub u32);
/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassId(pub usize);
/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TenantId(pub usize);
/// A zone (data centre); crossing zones may cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub u32);
/// A small set of endpoints that share which repeat keys they have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CellId(pub u64);
/// A machine kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KindId(pub u32);
/// Names a timer of the balancer's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TimerToken(pub u64);

/// Everything a balancer is told when it is made.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Balancers in this tier, this one included.
    pub balancers: u32,
    /// This balancer's number among them.
    pub me: u32,
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
    /// Worth of a request above its tenant's share, as a fraction of the class's worth.
    pub over_share_worth: f64,
    /// How the endpoint list reaches the balancer.
    pub discovery: Discovery,
    /// What the deployment allows.
    pub limits: Limits,
    /// Figures of the four rules.
    pub rules: Rules,
    /// What the result is made of.
    pub goal: Goal,
    /// Prices.
    pub costs: Costs,
    /// What load reports hold and how they come.
    pub load_reports: LoadReports,
    /// What [`EndpointInfo::weight`] means.
    pub weights: WeightKind,
    /// Least time between two rounds of events.
    pub tick: Duration,
    /// Calls to the next tier carry the caller's time left rather than the class's deadline.
    pub passes_deadline: bool,
    /// An endpoint that served a key of late serves it with less work.
    pub warm_keys: bool,
    /// Clients mark their repeats, see [`Request::client_retry`].
    pub clients_mark_retries: bool,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Answers within this time earn the full worth.
    pub objective: Duration,
    /// The time a client waits in all.
    pub deadline: Duration,
    /// What a repeat may do.
    pub semantics: Semantics,
    /// Fraction of the worth for an answer after the objective.
    pub late_value: f64,
    /// The answer is streamed.
    pub streamed: bool,
    /// Worth of one request.
    pub worth: f64,
    /// The objective grows by this multiple of the request's own work, up to the deadline.
    pub aim_stretch: f64,
}

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// Any repeat is harmless.
    Safe,
    /// Endpoints of one group drop repeats for a while.
    Keyed {
        /// Which endpoints drop each other's repeats.
        group: Group,
        /// For how long, from the first send that may have run.
        window: Duration,
    },
    /// Must never run twice.
    Unsafe,
}

/// The endpoints among which a keyed repeat is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
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
    Ask,
}

/// What the deployment allows.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts may be cancelled.
    pub cancelling: bool,
    /// Probes may be sent.
    pub probes: bool,
    /// Messages to other balancers may be sent.
    pub peers: bool,
    /// Refusals may carry advice on when to come back.
    pub retry_after: bool,
    /// Longest such advice that clients heed.
    pub max_retry_after: Duration,
    /// Two attempts of one request may be out at once.
    pub second_copies: bool,
    /// Attempts a request may have.
    pub max_attempts: u32,
    /// A connection not up after this long has failed.
    pub connect_timeout: Duration,
    /// Simultaneous attempts one connection carries.
    pub streams_per_connection: u32,
    /// Idle connections are closed after this long; zero where nothing is said.
    pub idle_close: Duration,
    /// Open requests this balancer may have; more are turned away before they reach it. Zero: not stated.
    pub open_cap: u32,
    /// Processor time this balancer may use in a second; zero: not stated.
    pub cpu_per_s: Duration,
    /// Processor time for a request with its outcomes; zero: no limit.
    pub cpu_per_request: Duration,
}

impl Limits {
    /// What a refusal may say of when to come back, where this long would be of use.
    pub fn advice(&self, wait: Duration) -> Option<Duration> {
        self.retry_after.then(|| wait.min(self.max_retry_after))
    }
}

/// Figures of the four rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// With [`Discovery::Ask`]: ask again within this.
    pub ask_within: Duration,
    /// A cold endpoint starts at this fraction of its capacity or more.
    pub cold_share: f64,
    /// And is warm within this.
    pub warm_within: Duration,
    /// Sends to a draining endpoint must stop within this.
    pub drain_grace: Duration,
    /// A cold endpoint sent more than this multiple of its capacity ...
    pub fall_multiple: f64,
    /// ... for this long falls over.
    pub fall_after: Duration,
    /// A final answer still counts this long after the deadline.
    pub answer_grace: Duration,
}

/// What the result is made of: weights of its parts.
#[derive(Clone, Debug, PartialEq)]
pub struct Goal {
    /// The whole day.
    pub whole: f64,
    /// The worst ten seconds.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant, within its share.
    pub worst_tenant: f64,
    /// Tenfold steps that the unserved share lies below the whole, over spans of five seconds.
    pub nines: f64,
    /// So many such steps earn that weight in full; not a weight.
    pub nines_wanted: f64,
    /// What worth is reckoned by.
    pub counted_by: CountedBy,
}

/// What worth is reckoned by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedBy {
    /// Each request counts alike within its class.
    Request,
    /// Worth is for each unit of work, see [`Request::work_hint`].
    Work,
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
    /// Worth left unserved after its objective had passed.
    pub late_fail: f64,
}

/// What load reports hold and how they come.
#[derive(Clone, Debug)]
pub struct LoadReports {
    /// How they come.
    pub via: ReportVia,
    /// Their values, in order.
    pub fields: Vec<LoadField>,
}

/// How load reports come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportVia {
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

/// Settings that make no sense.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsError {
    /// There is no class to serve.
    #[error("classes: there must be at least one")]
    NoClasses,
    /// A value lies outside its range.
    #[error("{field}: {value} is out of range")]
    OutOfRange {
        /// The setting.
        field: &'static str,
        /// Its value.
        value: f64,
    },
}

/// What discovery says of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointInfo {
    /// Which endpoint.
    pub id: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it may be sent to.
    pub state: EndpointState,
    /// Its weight, see [`WeightKind`].
    pub weight: f64,
    /// When its process last started; `None` means long ago.
    pub started: Option<Duration>,
}

/// An endpoint's standing in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// May be sent to.
    Ready,
    /// Finishing its work; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// How an endpoint stands with a balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing<'a> {
    /// What discovery says of it.
    pub info: &'a EndpointInfo,
    /// The part of its capacity that it surely has: below one while it is cold.
    pub part: f64,
    /// Recent failures there as calls in flight; zero for an endpoint that is well.
    pub heat: f64,
    /// Own calls in flight there.
    pub in_flight: u32,
}

/// What discovery brings.
#[derive(Clone, Debug, PartialEq)]
pub enum Membership {
    /// The complete list: what is missing from it is gone.
    Full(Vec<EndpointInfo>),
    /// The complete list as last held, possibly stale; brought at the start.
    Cached(Vec<EndpointInfo>),
    /// Changed entries only.
    Delta(Vec<EndpointInfo>),
    /// A call to discovery failed or the subscription broke; the list stays.
    Failed,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News from discovery.
    Membership(Membership),
    /// A request arrived and is owed one final answer.
    Request(Request),
    /// A streamed answer has begun; the client owns the attempt now.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// The client left, or its answer is overdue; nothing is owed any more.
    RequestGone(RequestId),
    /// The host ends: its final answer is due now.
    GiveUp(RequestId),
    /// A timer came due.
    Timer(TimerToken),
    /// A probe ended.
    ProbeEnded {
        /// The endpoint asked.
        endpoint: EndpointId,
        /// How it went.
        outcome: Outcome,
        /// Time since sending.
        elapsed: Duration,
        /// The values of [`LoadReports::fields`], if any came.
        report: Option<Vec<f64>>,
    },
    /// A message from another balancer of this tier.
    PeerMessage {
        /// The sender's number.
        from: u32,
        /// What it said.
        payload: Vec<u8>,
    },
}

/// A request as it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Time until the client gives this try up.
    pub time_left: Duration,
    /// Expected work on a standard core, where known.
    pub work_hint: Option<Duration>,
    /// What it is about; requests with one key belong together.
    pub key: Option<u64>,
    /// The client says this is a repeat.
    pub client_retry: bool,
    /// It writes.
    pub write: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// Where it was sent.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since sending.
    pub elapsed: Duration,
    /// The request is finished, by this outcome or before it.
    pub finished: bool,
    /// The values of [`LoadReports::fields`], if any came.
    pub report: Option<Vec<f64>>,
}

/// The ways an attempt or probe can end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The endpoint answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection came up.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// Give up on it after this long.
        timeout: Duration,
    },
    /// Final answer: refused; trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Advice to stay away this long.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed; nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Wake the balancer.
    SetTimer {
        /// Comes back with the event.
        token: TimerToken,
        /// From now.
        after: Duration,
    },
    /// Follow changes of the endpoint list (or stop).
    Watch(bool),
    /// Ask for the complete list once.
    FetchList,
    /// Ask an endpoint for its load.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A line for the operators.
    Log(String),
}

impl EndpointInfo {
    /// A warm, ready endpoint of zone 0, for tests and first steps.
    pub fn ready(id: u64) -> Self {
        EndpointInfo {
            id: EndpointId(id),
            zone: ZoneId(0),
            kind: KindId(0),
            cell: CellId(0),
            state: EndpointState::Ready,
            weight: 1.0,
            started: None,
        }
    }
}

impl Event {
    /// A plain request of class 0 and tenant 0.
    pub fn request(id: RequestId, time_left: Duration) -> Self {
        Event::Request(Request {
            id,
            class: ClassId(0),
            tenant: TenantId(0),
            time_left,
            work_hint: None,
            key: None,
            client_retry: false,
            write: false,
        })
    }
}

impl Default for Goal {
    fn default() -> Self {
        Goal {
            whole: 1.0,
            worst_window: 0.0,
            worst_class: 0.0,
            worst_tenant: 0.0,
            nines: 0.0,
            nines_wanted: 3.0,
            counted_by: CountedBy::Request,
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
            worth: 1.0,
            aim_stretch: 0.0,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            cancelling: true,
            probes: false,
            peers: false,
            retry_after: true,
            max_retry_after: Duration::from_secs(1),
            second_copies: false,
            max_attempts: 3,
            connect_timeout: Duration::from_millis(250),
            streams_per_connection: 1,
            idle_close: Duration::ZERO,
            open_cap: 0,
            cpu_per_s: Duration::ZERO,
            cpu_per_request: Duration::ZERO,
        }
    }
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            ask_within: Duration::from_secs(10),
            cold_share: 0.25,
            warm_within: Duration::from_secs(10),
            drain_grace: Duration::from_millis(250),
            fall_multiple: 2.0,
            fall_after: Duration::from_secs(1),
            answer_grace: Duration::from_millis(10),
        }
    }
}

impl Default for Settings {
    /// One balancer, one class, one zone, a list that is pushed.
    fn default() -> Self {
        Settings {
            balancers: 1,
            me: 0,
            zone: ZoneId(0),
            zones: 1,
            tier: 0,
            tiers: 1,
            classes: vec![Class::default()],
            tenants: Vec::new(),
            over_share_worth: 1.0,
            discovery: Discovery::Push,
            limits: Limits::default(),
            rules: Rules::default(),
            goal: Goal::default(),
            costs: Costs::default(),
            load_reports: LoadReports { via: ReportVia::Off, fields: Vec::new() },
            weights: WeightKind::Off,
            tick: Duration::from_millis(1),
            passes_deadline: true,
            warm_keys: false,
            clients_mark_retries: false,
        }
    }
}

impl Settings {
    /// Checks that the settings make sense.
    pub fn validate(&self) -> Result<(), SettingsError> {
        fn within(field: &'static str, value: f64, low: f64, high: f64) -> Result<(), SettingsError> {
            if (low..=high).contains(&value) {
                Ok(())
            } else {
                Err(SettingsError::OutOfRange { field, value })
            }
        }
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        within("balancers", f64::from(self.balancers), 1.0, 1e6)?;
        within("limits.max_attempts", f64::from(self.limits.max_attempts), 1.0, 1e6)?;
        within("rules.cold_share", self.rules.cold_share, 0.0, 1.0)?;
        within("rules.fall_multiple", self.rules.fall_multiple, 0.0, 1e6)?;
        within("over_share_worth", self.over_share_worth, 0.0, 1.0)?;
        let goal = &self.goal;
        for (field, value) in [
            ("goal.whole", goal.whole),
            ("goal.worst_window", goal.worst_window),
            ("goal.worst_class", goal.worst_class),
            ("goal.worst_tenant", goal.worst_tenant),
            ("goal.nines", goal.nines),
            ("goal.nines_wanted", goal.nines_wanted),
        ] {
            within(field, value, 0.0, 1e6)?;
        }
        for class in &self.classes {
            within("classes[].worth", class.worth, 0.0, 1e12)?;
            within("classes[].late_value", class.late_value, 0.0, 1.0)?;
            within("classes[].aim_stretch", class.aim_stretch, 0.0, 1e6)?;
            within("classes[].objective", class.objective.as_secs_f64(), 1e-6, 1e6)?;
            within("classes[].deadline", class.deadline.as_secs_f64(), 1e-6, 1e6)?;
        }
        for tenant in &self.tenants {
            within("tenants[].allowance_per_s", tenant.allowance_per_s, 0.0, 1e12)?;
            within("tenants[].portion", tenant.portion, 0.0, 1.0)?;
        }
        Ok(())
    }
}
