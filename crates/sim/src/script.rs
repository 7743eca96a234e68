//! A run as data: what is there, what is asked, and what goes wrong when. A script is drawn from a seed, can be written
//! down and edited, and is all that a run depends on.

use serde::{Deserialize, Serialize};

/// A run. Times are in milliseconds from its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Of every draw that the script leaves open: service times, latencies, splits.
    pub seed: u64,
    /// Sidecars, each with clients of its own.
    pub sidecars: u32,
    /// One way, at least and at most.
    pub latency_ms: (u32, u32),
    /// Of 100 reads and writes, how many are short.
    pub split: u32,
    /// How a cold endpoint may be loaded: this many tenths of what it can do.
    pub fall_tenths: u32,
    /// Endpoints that are there from the start; those that [`Fault::Joins`] brings come after them.
    pub endpoints: u32,
    /// How long a sidecar may wait for a connection to an endpoint, in milliseconds.
    #[serde(default = "default_connect_ms")]
    pub connect_ms: u32,
    /// How long a keyed request may be repeated after it may have run first, in milliseconds.
    #[serde(default = "default_window_ms")]
    pub window_ms: u32,
    /// What has been sent may not be cancelled.
    #[serde(default)]
    pub uncancelled: bool,
    /// What is asked.
    pub asks: Vec<RequestPlan>,
    /// What goes wrong.
    pub faults: Vec<Fault>,
}

/// What a sidecar's settings allow a connection where a script says nothing else.
pub const fn default_connect_ms() -> u32 {
    250
}

/// The window for repeats where a script says nothing else.
pub const fn default_window_ms() -> u32 {
    400
}

/// A class of requests.
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

/// How a client goes about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClientBehavior {
    /// As the protocol has it.
    Plain,
    /// It leaves after so long.
    Leaves(u32),
    /// It sends the request in two parts, so long apart.
    Slowly(u32),
    /// It ends its sending behind the request.
    HalfCloses,
    /// It sends what can't be read.
    Rubbish,
    /// It states two lengths, and hides a request in the body.
    Smuggles,
    /// It sends another request right behind.
    Pipelines,
    /// It sends half a request and says nothing more.
    Stops,
}

impl ClientBehavior {
    /// Whether the client keeps to the protocol, so that its request is owed an answer.
    pub fn follows_protocol(self) -> bool {
        matches!(self, ClientBehavior::Plain | ClientBehavior::Leaves(_) | ClientBehavior::Slowly(_))
    }
}

/// A request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestPlan {
    /// When.
    pub at: u32,
    /// Whose connections it uses; the client's sidecar is its number modulo theirs.
    pub client: u32,
    /// Its class.
    pub class: Class,
    /// For how long the client waits.
    pub wait: u32,
    /// How.
    pub manner: ClientBehavior,
}

/// How an answer is spoilt. The request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseFault {
    /// Noise in its place.
    Noise,
    /// It breaks off half-way.
    Short,
    /// A good one, and a second copy this much later.
    Twice(u32),
    /// None comes, and the connection stays open.
    Swallowed,
    /// A 1xx comes ahead of a good one.
    Informed,
    /// A 500.
    Error,
    /// The connection is reset in place of the answer.
    Reset,
}

/// Something that goes wrong: to whom, `at` when, and for how long it `lasts`.
#[allow(missing_docs, reason = "the fields say the same in every variant")]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// An endpoint takes so many times as long.
    Slow { endpoint: u32, at: u32, lasts: u32, times: u32 },
    /// An endpoint spoils one answer of so many.
    Spoils { endpoint: u32, at: u32, lasts: u32, one_of: u32, how: ResponseFault },
    /// An endpoint's machine is gone, and back.
    Silent { endpoint: u32, at: u32, lasts: u32 },
    /// New connections to an endpoint hang.
    Hangs { endpoint: u32, at: u32, lasts: u32 },
    /// An endpoint's connections are reset.
    Resets { endpoint: u32, at: u32 },
    /// What a sidecar sends to an endpoint comes late, or what the endpoint answers.
    Stalls { endpoint: u32, sidecar: u32, answers: bool, at: u32, lasts: u32 },
    /// An endpoint's process dies and is back, cold.
    Dies { endpoint: u32, at: u32, lasts: u32 },
    /// An endpoint drains, and is gone so much later.
    Drains { endpoint: u32, at: u32, lasts: u32 },
    /// An endpoint drains, and is up again so much later.
    Wavers { endpoint: u32, at: u32, lasts: u32 },
    /// Endpoints join, cold.
    Joins { at: u32, count: u32 },
    /// Discovery ends all watches and answers nobody.
    DiscoveryDown { at: u32, lasts: u32 },
    /// Discovery tells what happens only at the end of it, all at once.
    DiscoveryLags { at: u32, lasts: u32 },
    /// Discovery breaks its watches; they may come again at once.
    WatchesBreak { at: u32 },
    /// All watches that are open then fall silent, and stay open.
    WatchesSilent { at: u32 },
    /// New connections to an endpoint come up this much late.
    LateConnects { endpoint: u32, at: u32, lasts: u32, by: u32 },
    /// A sidecar gets no processor.
    Pause { sidecar: u32, at: u32, lasts: u32 },
    /// A sidecar gets SIGTERM, and starts again so much later, at 3.7 s the earliest.
    Term { sidecar: u32, at: u32, lasts: u32 },
    /// A sidecar is killed, and starts again so much later.
    Kill { sidecar: u32, at: u32, lasts: u32 },
    /// All sidecars get SIGHUP with a configuration that names another discovery; the old one ends 1.5 s later.
    Moves { at: u32 },
    /// What a client's sidecar answers comes late to one machine of clients.
    ClientStalls { client: u32, at: u32, lasts: u32 },
}

impl Fault {
    /// Its kind, for counting.
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

    /// When it begins, and how long it lasts if it does.
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
    /// Endpoints in all.
    pub fn total_endpoints(&self) -> u32 {
        let joined =
            self.faults.iter().map(|fault| if let Fault::Joins { count, .. } = fault { *count } else { 0 });
        self.endpoints + joined.sum::<u32>()
    }

    /// When the last request is asked.
    pub fn last_request_at(&self) -> u32 {
        self.asks.iter().map(|ask| ask.at).max().unwrap_or(0)
    }
}
