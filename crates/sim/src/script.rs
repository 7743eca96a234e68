//! Script of a run: topology, requests and faults. A script is generated from a seed, can be stored and edited as JSON,
//! and fully determines the run.

use serde::{Deserialize, Serialize};

/// The script of a run. Times are in milliseconds since its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Seed of everything the script leaves open: service times, latencies, short reads and writes.
    pub seed: u64,
    /// Number of sidecars, each with clients of its own.
    pub sidecars: u32,
    /// Lowest and highest one-way latency.
    pub latency_ms: (u32, u32),
    /// Percentage of reads and writes that are short.
    pub split: u32,
    /// Most load on a cold endpoint, in tenths of its current capacity.
    pub fall_tenths: u32,
    /// Endpoints that exist from the start; those of [`Fault::Joins`] are numbered after them.
    pub endpoints: u32,
    /// Connect timeout of the sidecars to endpoints, in milliseconds.
    #[serde(default = "default_connect_ms")]
    pub connect_ms: u32,
    /// How long a keyed request may be repeated after it may first have run, in milliseconds.
    #[serde(default = "default_window_ms")]
    pub window_ms: u32,
    /// Whether sidecars may not cancel a request that they have sent.
    #[serde(default)]
    pub uncancelled: bool,
    /// The requests.
    pub asks: Vec<RequestPlan>,
    /// The faults.
    pub faults: Vec<Fault>,
}

/// Connect timeout of scripts that set none, in milliseconds.
pub const fn default_connect_ms() -> u32 {
    250
}

/// Repeat window of scripts that set none, in milliseconds.
pub const fn default_window_ms() -> u32 {
    400
}

/// Class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// May be repeated.
    Quote,
    /// May be repeated within a group of endpoints, for a while.
    Pay,
    /// Must never run twice.
    Book,
}

/// How a client sends its request. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClientBehavior {
    /// Correct use of the protocol.
    Plain,
    /// Disconnects after this time.
    Leaves(u32),
    /// Sends the request in two parts, this far apart.
    Slowly(u32),
    /// Half-closes the connection after the request.
    HalfCloses,
    /// Sends bytes that are not HTTP.
    Rubbish,
    /// Sends two lengths and hides a request in the body (request smuggling).
    Smuggles,
    /// Pipelines a second request.
    Pipelines,
    /// Sends half a request and stops.
    Stops,
}

impl ClientBehavior {
    /// Whether the client follows the protocol, so that its request must be answered.
    pub fn follows_protocol(self) -> bool {
        matches!(self, ClientBehavior::Plain | ClientBehavior::Leaves(_) | ClientBehavior::Slowly(_))
    }
}

/// A request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestPlan {
    /// When it is sent.
    pub at: u32,
    /// The client, with connections of its own. It uses the sidecar with its number modulo the number of sidecars.
    pub client: u32,
    /// Its class.
    pub class: Class,
    /// How long the client waits for the response.
    pub wait: u32,
    /// How it is sent.
    pub manner: ClientBehavior,
}

/// A faulty response to a request that has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseFault {
    /// Bytes that are not HTTP.
    Noise,
    /// A response that is cut short.
    Short,
    /// A valid response and a duplicate this many milliseconds later.
    Twice(u32),
    /// No response, on a connection that stays open.
    Swallowed,
    /// A 1xx response ahead of a valid one.
    Informed,
    /// A response with status 500.
    Error,
    /// A connection reset.
    Reset,
}

/// A fault: the affected part, when it starts (`at`) and its duration (`lasts`).
#[allow(missing_docs, reason = "the fields say the same in every variant")]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// An endpoint's service time is multiplied by `times`.
    Slow { endpoint: u32, at: u32, lasts: u32, times: u32 },
    /// One of `one_of` responses of an endpoint is faulty.
    Spoils { endpoint: u32, at: u32, lasts: u32, one_of: u32, how: ResponseFault },
    /// An endpoint's host is unreachable.
    Silent { endpoint: u32, at: u32, lasts: u32 },
    /// New connections to an endpoint hang.
    Hangs { endpoint: u32, at: u32, lasts: u32 },
    /// An endpoint's connections are reset.
    Resets { endpoint: u32, at: u32 },
    /// Data from a sidecar to an endpoint is delayed until the end, or the responses if `answers` is set.
    Stalls { endpoint: u32, sidecar: u32, answers: bool, at: u32, lasts: u32 },
    /// An endpoint's process dies and restarts cold.
    Dies { endpoint: u32, at: u32, lasts: u32 },
    /// An endpoint drains and is removed at the end.
    Drains { endpoint: u32, at: u32, lasts: u32 },
    /// An endpoint drains and is ready again at the end.
    Wavers { endpoint: u32, at: u32, lasts: u32 },
    /// New endpoints join, cold.
    Joins { at: u32, count: u32 },
    /// Discovery closes all watches and answers no call.
    DiscoveryDown { at: u32, lasts: u32 },
    /// Discovery delivers changes only at the end, all at once.
    DiscoveryLags { at: u32, lasts: u32 },
    /// Discovery breaks all watches; sidecars may reopen them at once.
    WatchesBreak { at: u32 },
    /// All open watches stop sending but stay open.
    WatchesSilent { at: u32 },
    /// New connections to an endpoint are established `by` later.
    LateConnects { endpoint: u32, at: u32, lasts: u32, by: u32 },
    /// A sidecar process is paused.
    Pause { sidecar: u32, at: u32, lasts: u32 },
    /// A sidecar gets SIGTERM and starts again after `lasts`, but not before 3.7 s.
    Term { sidecar: u32, at: u32, lasts: u32 },
    /// A sidecar is killed and starts again after `lasts`.
    Kill { sidecar: u32, at: u32, lasts: u32 },
    /// All sidecars reload a configuration with another discovery server; the old one stops 1.5 s later.
    Moves { at: u32 },
    /// Responses of a client's sidecar to the client's host are delayed until the end.
    ClientStalls { client: u32, at: u32, lasts: u32 },
}

impl Fault {
    /// Name of the kind, for statistics.
    pub fn kind(&self) -> &'static str {
        match self {
            Fault::Slow { .. } => "slow",
            Fault::Spoils { .. } => "spoils",
            Fault::Silent { .. } => "silent",
            Fault::Hangs { .. } => "hangs",
            Fault::Resets { .. } => "resets",
            Fault::Stalls { .. } => "stalls",
            Fault::Dies { .. } => "dies",
            Fault::Drains { .. } => "drains",
            Fault::Wavers { .. } => "wavers",
            Fault::Joins { .. } => "joins",
            Fault::DiscoveryDown { .. } => "discovery_down",
            Fault::DiscoveryLags { .. } => "discovery_lags",
            Fault::WatchesBreak { .. } => "watches_break",
            Fault::WatchesSilent { .. } => "watches_silent",
            Fault::LateConnects { .. } => "late_connects",
            Fault::Pause { .. } => "pause",
            Fault::Term { .. } => "term",
            Fault::Kill { .. } => "kill",
            Fault::Moves { .. } => "moves",
            Fault::ClientStalls { .. } => "client_stalls",
        }
    }

    /// Its start and, if it has one, its duration.
    pub fn timing_mut(&mut self) -> (&mut u32, Option<&mut u32>) {
        match self {
            Fault::Slow { at, lasts, .. }
            | Fault::Spoils { at, lasts, .. }
            | Fault::Silent { at, lasts, .. }
            | Fault::Hangs { at, lasts, .. }
            | Fault::Stalls { at, lasts, .. }
            | Fault::Dies { at, lasts, .. }
            | Fault::Drains { at, lasts, .. }
            | Fault::Wavers { at, lasts, .. }
            | Fault::DiscoveryDown { at, lasts }
            | Fault::DiscoveryLags { at, lasts }
            | Fault::LateConnects { at, lasts, .. }
            | Fault::Pause { at, lasts, .. }
            | Fault::Term { at, lasts, .. }
            | Fault::Kill { at, lasts, .. }
            | Fault::ClientStalls { at, lasts, .. } => (at, Some(lasts)),
            Fault::Resets { at, .. }
            | Fault::Joins { at, .. }
            | Fault::WatchesBreak { at }
            | Fault::WatchesSilent { at }
            | Fault::Moves { at } => (at, None),
        }
    }
}

impl Script {
    /// Number of endpoints including those that join.
    pub fn total_endpoints(&self) -> u32 {
        let joined =
            self.faults.iter().map(|fault| if let Fault::Joins { count, .. } = fault { *count } else { 0 });
        self.endpoints + joined.sum::<u32>()
    }

    /// When the last request is sent.
    pub fn last_request_at(&self) -> u32 {
        self.asks.iter().map(|ask| ask.at).max().unwrap_or(0)
    }
}
