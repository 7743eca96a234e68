//! What happens in a run, as data: the machines, what operators and endpoints do, and what goes wrong.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// From the mending of the last fault until all must be well again.
pub const RECOVERY_TIME: Duration = Duration::from_millis(5_000);

/// A run of the control plane.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Script {
    /// Everything that is drawn while it runs comes from this.
    pub seed: u64,
    /// Core machines of the first boot, each with a controller; three of them are the seeds.
    pub cores: u32,
    /// Edge machines, each with an agent.
    pub agents: u32,
    /// Core machines that may be lost at once.
    pub tolerance: u32,
    /// One way between two machines, least and most, in milliseconds.
    pub latency_ms: (u32, u32),
    /// Of 100 reads and writes, how many are short.
    pub split: u32,
    /// When the last fault has been mended.
    pub healed_ms: u32,
    /// What operators do.
    pub requests: Vec<Request>,
    /// Endpoints.
    pub endpoints: Vec<EndpointPlan>,
    /// What goes wrong.
    pub faults: Vec<Fault>,
}

/// What an operator does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// When, in milliseconds.
    pub at: u32,
    /// Which operator.
    pub operator: u32,
    /// The member that is asked first, by its number among those that there are.
    pub member: u32,
    /// What.
    pub what: RequestKind,
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RequestKind {
    /// The configuration.
    Read,
    /// A configuration on top of the newest version that operators know of, this much above it. With `marker` the body
    /// is another one under the same number.
    Replace {
        /// How far its version is above the one that it builds on.
        step: u32,
        /// How it is sent.
        manner: SendMode,
    },
    /// A configuration on top of a version that is not current.
    ReplaceStale {
        /// How far the base is behind; negative: ahead.
        behind: i32,
    },
    /// A configuration that is not valid.
    ReplaceInvalid,
    /// An earlier replacement again, this many back.
    Repeat {
        /// How many replacements back.
        back: u32,
    },
}

/// How a replacement is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendMode {
    /// Until it is answered clearly: after silence or 503 to the next member.
    Patient,
    /// Once.
    Once,
    /// The first answer is lost: the connection is closed this many milliseconds after the request was sent; then
    /// patiently.
    AnswerLost(u32),
}

/// The life of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointPlan {
    /// When it starts, in milliseconds.
    pub at: u32,
    /// When it leaves, and how.
    pub leaves: Option<(u32, Departure)>,
    /// The member that it reports to first.
    pub member: u32,
    /// It stands still from a moment on, for so long, and then goes on.
    #[serde(default)]
    pub pauses: Option<(u32, u32)>,
    /// It knows no other member: after a call that failed it calls the same one again.
    #[serde(default)]
    pub stays: bool,
}

impl EndpointPlan {
    /// One that beats from a moment on, and does no more.
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
    /// It says nothing more.
    Crashes,
}

/// Which way a cut goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Direction {
    /// Both.
    Both,
    /// What the machine sends is held up.
    Out,
    /// What is sent to it is held up.
    In,
}

/// From whom a core machine is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CutScope {
    /// The other core machines.
    Cores,
    /// All other machines.
    All,
    /// The other core machines and half of the agents.
    Near,
}

/// What a disk does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskFault {
    /// It takes this many times as long.
    Slow(u32),
    /// It answers nothing.
    Stall,
    /// It takes no more bytes.
    Full,
    /// It takes the bytes of a value, and says that their sync has failed.
    FailingSync,
}

/// What goes wrong; `at` and `lasts` in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs, reason = "the fields are named alike: when, how long, and which machine")]
pub enum Fault {
    /// A core machine is cut off.
    Cut { core: u32, way: Direction, from: CutScope, resets: bool, at: u32, lasts: u32 },
    /// Two core machines are cut off from each other, and from nobody else.
    PairCut { core: u32, other: u32, way: Direction, at: u32, lasts: u32 },
    /// An agent is cut off from all core machines but, perhaps, one.
    AgentCut { agent: u32, but: Option<u32>, at: u32, lasts: u32 },
    /// All that a core machine sends and gets takes longer.
    SlowLinks { core: u32, by: u32, at: u32, lasts: u32 },
    /// Packets of a core machine are lost and sent again.
    Loss { core: u32, percent: u32, at: u32, lasts: u32 },
    /// All connections of a core machine are reset.
    Reset { core: u32, at: u32 },
    /// A controller is killed, and started again.
    Kill { core: u32, at: u32, lasts: u32 },
    /// All controllers are killed, and started again.
    KillAll { at: u32, lasts: u32 },
    /// A core machine stands still.
    Freeze { core: u32, at: u32, lasts: u32 },
    /// Power of a core machine is lost, and what its disk was writing.
    Power { core: u32, at: u32, lasts: u32 },
    /// Power of all core machines is lost.
    PowerAll { at: u32, lasts: u32 },
    /// A disk misbehaves.
    Disk { core: u32, what: DiskFault, at: u32, lasts: u32 },
    /// A controller is killed and comes back with an empty disk.
    Wipe { core: u32, at: u32, lasts: u32 },
    /// A core machine is gone for good; an empty one comes at another address, before or after.
    Replace { core: u32, planned: bool, at: u32, lasts: u32 },
    /// Another core machine.
    Spare { at: u32 },
    /// A controller gets SIGTERM and starts again.
    Term { core: u32, at: u32, lasts: u32 },
    /// Each controller gets SIGTERM and starts again, one after another.
    Roll { at: u32, gap: u32 },
    /// The settings name other seeds.
    Seeds { first: u32, at: u32 },
    /// An agent is killed, and started again.
    AgentKill { agent: u32, at: u32, lasts: u32 },
    /// An agent stands still.
    AgentFreeze { agent: u32, at: u32, lasts: u32 },
    /// A controller is killed and comes back with the disk as it was some time ago.
    OlderDisk { core: u32, age: u32, at: u32, lasts: u32 },
}

impl Fault {
    /// Its kind, by name.
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

    /// When it begins, and how long it lasts.
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
    /// Core machines that there are in the course of the run.
    pub fn machine_count(&self) -> u32 {
        let new = |fault: &&Fault| matches!(fault, Fault::Replace { .. } | Fault::Spare { .. });
        self.cores + self.faults.iter().filter(new).count() as u32
    }
}
