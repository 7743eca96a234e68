//! The script of a run, stored as JSON: the machines, the actions of operators and endpoints, and the
//! faults.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time from the end of the last fault until everything must have recovered.
pub const RECOVERY_TIME: Duration = Duration::from_millis(5_000);

/// A run of the control plane.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Script {
    /// Seed of all random draws during the run.
    pub seed: u64,
    /// Number of core machines at first boot, each with a controller; three of them are the seeds.
    pub cores: u32,
    /// Number of edge machines, each with an agent.
    pub agents: u32,
    /// Number of core machines that may fail at once.
    pub tolerance: u32,
    /// Shortest and longest one-way latency between two machines, in milliseconds.
    pub latency_ms: (u32, u32),
    /// Percentage of reads and writes that are short.
    pub split: u32,
    /// When the last fault has ended, in milliseconds.
    pub healed_ms: u32,
    /// Requests of operators.
    pub requests: Vec<Request>,
    /// Lifetimes of endpoints.
    pub endpoints: Vec<EndpointPlan>,
    /// The faults.
    pub faults: Vec<Fault>,
}

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// When it is sent, in milliseconds.
    pub at: u32,
    /// Number of the operator.
    pub operator: u32,
    /// Number of the member that is asked first, modulo the number of members at that time.
    pub member: u32,
    /// What is requested.
    pub what: RequestKind,
}

/// What an operator requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RequestKind {
    /// Reads the configuration.
    Read,
    /// Sends a configuration on top of the newest version that operators know of.
    Replace {
        /// How far its version is above the one that it builds on.
        step: u32,
        /// How it is sent.
        manner: SendMode,
    },
    /// Sends a configuration on top of a version that is not current.
    ReplaceStale {
        /// How far the base is behind the current version; negative if it is ahead.
        behind: i32,
    },
    /// Sends an invalid configuration.
    ReplaceInvalid,
    /// Sends an earlier change again.
    Repeat {
        /// How many changes back; 0 is the latest.
        back: u32,
    },
}

/// How a change is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendMode {
    /// Retries at the next member after a timeout or 503, until there is a definite answer.
    Patient,
    /// Sends it once.
    Once,
    /// Loses the first answer: closes the connection this many milliseconds after the request was sent,
    /// then retries as `Patient` does.
    AnswerLost(u32),
}

/// The lifetime of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointPlan {
    /// When it starts, in milliseconds.
    pub at: u32,
    /// When it leaves, in milliseconds, and how; `None` if it stays.
    pub leaves: Option<(u32, Departure)>,
    /// Number of the member that it calls first.
    pub member: u32,
    /// Start and duration of a pause in which it sends nothing, in milliseconds.
    #[serde(default)]
    pub pauses: Option<(u32, u32)>,
    /// Whether it knows only one member, and retries a failed call there.
    #[serde(default)]
    pub stays: bool,
}

impl EndpointPlan {
    /// An endpoint that sends heartbeats from the given time to the end of the run.
    pub fn steady(member: u32, at: u32) -> Self {
        EndpointPlan { at, leaves: None, member, pauses: None, stays: false }
    }
}

/// How an endpoint leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Departure {
    /// It drains, and then deregisters.
    Drains,
    /// It deregisters at once.
    Deregisters,
    /// It sends nothing more.
    Crashes,
}

/// The direction in which a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Direction {
    /// Both directions.
    Both,
    /// What the machine sends is held up.
    Out,
    /// What is sent to the machine is held up.
    In,
}

/// The machines from which a core machine is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CutScope {
    /// The other core machines.
    Cores,
    /// All other machines.
    All,
    /// The other core machines and half of the agents.
    Near,
}

/// A fault of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskFault {
    /// Writes take this many times as long.
    Slow(u32),
    /// Writes do not complete.
    Stall,
    /// Writes are refused.
    Full,
    /// Writes of values reach the disk, but their sync reports an error.
    FailingSync,
}

/// A fault. `at` is its start and `lasts` its duration, both in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(
    missing_docs,
    reason = "the fields of all variants have the same meaning: start, duration and machine"
)]
pub enum Fault {
    /// A core machine is cut off.
    Cut { core: u32, way: Direction, from: CutScope, resets: bool, at: u32, lasts: u32 },
    /// Two core machines are cut off from each other only.
    PairCut { core: u32, other: u32, way: Direction, at: u32, lasts: u32 },
    /// An agent is cut off from all core machines, or from all but one.
    AgentCut { agent: u32, but: Option<u32>, at: u32, lasts: u32 },
    /// Everything that a core machine sends or receives is delayed by `by` milliseconds.
    SlowLinks { core: u32, by: u32, at: u32, lasts: u32 },
    /// Packets of a core machine are lost and retransmitted.
    Loss { core: u32, percent: u32, at: u32, lasts: u32 },
    /// All connections of a core machine are reset.
    Reset { core: u32, at: u32 },
    /// A controller is killed and restarted.
    Kill { core: u32, at: u32, lasts: u32 },
    /// All controllers are killed and restarted.
    KillAll { at: u32, lasts: u32 },
    /// A core machine is frozen.
    Freeze { core: u32, at: u32, lasts: u32 },
    /// A core machine loses power, along with the write in progress.
    Power { core: u32, at: u32, lasts: u32 },
    /// All core machines lose power.
    PowerAll { at: u32, lasts: u32 },
    /// A disk fails in the given way.
    Disk { core: u32, what: DiskFault, at: u32, lasts: u32 },
    /// A controller is killed and restarted with an empty disk.
    Wipe { core: u32, at: u32, lasts: u32 },
    /// A core machine is removed for good and replaced by an empty one at another address, which starts
    /// before the removal if it is planned and after it otherwise.
    Replace { core: u32, planned: bool, at: u32, lasts: u32 },
    /// A core machine is added.
    Spare { at: u32 },
    /// A controller gets SIGTERM and is restarted.
    Term { core: u32, at: u32, lasts: u32 },
    /// Each controller in turn gets SIGTERM and is restarted, `gap` milliseconds apart.
    Roll { at: u32, gap: u32 },
    /// The settings name other seeds.
    Seeds { first: u32, at: u32 },
    /// An agent is killed and restarted.
    AgentKill { agent: u32, at: u32, lasts: u32 },
    /// An agent is frozen.
    AgentFreeze { agent: u32, at: u32, lasts: u32 },
    /// A controller is killed and restarted with the state that its disk had `age` milliseconds before.
    OlderDisk { core: u32, age: u32, at: u32, lasts: u32 },
}

impl Fault {
    /// Name of the kind of fault.
    pub fn kind(&self) -> &'static str {
        match self {
            Fault::Cut { way: Direction::Both, .. } => "cut",
            Fault::Cut { .. } => "cut_one_way",
            Fault::PairCut { .. } => "pair_cut",
            Fault::AgentCut { .. } => "agent_cut",
            Fault::SlowLinks { .. } => "slow_links",
            Fault::Loss { .. } => "loss",
            Fault::Reset { .. } => "reset",
            Fault::Kill { .. } => "kill",
            Fault::KillAll { .. } => "kill_all",
            Fault::Freeze { .. } => "freeze",
            Fault::Power { .. } => "power",
            Fault::PowerAll { .. } => "power_all",
            Fault::Disk { what: DiskFault::Slow(_), .. } => "disk_slow",
            Fault::Disk { what: DiskFault::Stall, .. } => "disk_stall",
            Fault::Disk { what: DiskFault::Full, .. } => "disk_full",
            Fault::Disk { what: DiskFault::FailingSync, .. } => "disk_failing_sync",
            Fault::Wipe { .. } => "wipe",
            Fault::Replace { .. } => "replace",
            Fault::Spare { .. } => "spare",
            Fault::Term { .. } => "term",
            Fault::Roll { .. } => "roll",
            Fault::Seeds { .. } => "seeds",
            Fault::AgentKill { .. } => "agent_kill",
            Fault::AgentFreeze { .. } => "agent_freeze",
            Fault::OlderDisk { .. } => "older_disk",
        }
    }

    /// Start and duration, in milliseconds.
    pub fn span(&self) -> (u32, u32) {
        match self {
            Fault::Cut { at, lasts, .. }
            | Fault::PairCut { at, lasts, .. }
            | Fault::AgentCut { at, lasts, .. }
            | Fault::SlowLinks { at, lasts, .. }
            | Fault::Loss { at, lasts, .. }
            | Fault::Kill { at, lasts, .. }
            | Fault::KillAll { at, lasts }
            | Fault::Freeze { at, lasts, .. }
            | Fault::Power { at, lasts, .. }
            | Fault::PowerAll { at, lasts }
            | Fault::Disk { at, lasts, .. }
            | Fault::Wipe { at, lasts, .. }
            | Fault::Replace { at, lasts, .. }
            | Fault::Term { at, lasts, .. }
            | Fault::AgentKill { at, lasts, .. }
            | Fault::AgentFreeze { at, lasts, .. }
            | Fault::OlderDisk { at, lasts, .. } => (*at, *lasts),
            Fault::Reset { at, .. } | Fault::Spare { at } | Fault::Seeds { at, .. } => (*at, 0),
            Fault::Roll { at, gap } => (*at, *gap * 5),
        }
    }
}

impl Script {
    /// Number of core machines over the whole run, including those added by faults.
    pub fn machine_count(&self) -> u32 {
        let new = |fault: &&Fault| matches!(fault, Fault::Replace { .. } | Fault::Spare { .. });
        self.cores + self.faults.iter().filter(new).count() as u32
    }
}
