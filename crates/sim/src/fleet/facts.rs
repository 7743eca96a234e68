//! What operators, endpoints and those who look on at agents have seen, and what was done to the machines. Times are since
//! the start of the run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An order: a configuration on top of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigChange {
    /// The version that it builds on.
    pub base: u64,
    /// Its own.
    pub version: u64,
    /// What sets its body apart from all others.
    pub marker: u64,
    /// Its body is valid.
    pub valid: bool,
}

impl ConfigChange {
    /// Whether it is sent as an amendment of its base instead of as a whole configuration: every second one that has a
    /// base.
    pub fn is_amendment(&self) -> bool {
        self.base > 0 && self.marker % 2 == 1
    }
}

/// What was asked of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// To take the order of this number.
    Replace(usize),
    /// The configuration.
    Read,
    /// To take a heartbeat of a ready endpoint.
    Heartbeat(usize),
    /// To take it that an endpoint drains.
    Drain(usize),
    /// To take it that an endpoint has ended.
    Deregister(usize),
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Version and marker of the configuration in it; of a refusal, the version that it names.
    pub config: Option<(u64, u64)>,
    /// It names a version in its reason.
    pub named: Option<u64>,
}

/// A call to a member.
#[derive(Clone, Debug)]
pub struct Call {
    /// What was asked.
    pub asked: CallKind,
    /// The core machine.
    pub core: u32,
    /// When it began.
    pub began: Duration,
    /// When it was over: by its answer, or given up.
    pub ended: Option<Duration>,
    /// The caller had a connection.
    pub connected: bool,
    /// The caller goes before an answer can come.
    pub left: bool,
    /// The answer.
    pub answer: Option<Answer>,
    /// More came behind the answer.
    pub surplus: bool,
}

/// What an agent told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// The newest version that it has.
    Version(u64),
    /// A configuration: version and marker.
    Config(u64, u64),
    /// An endpoint's state: 0 ready, 1 draining, 2 gone.
    Endpoint(usize, u8),
    /// Endpoints that are silent.
    Suspects(Vec<usize>),
}

/// A word of an agent.
#[derive(Clone, Debug)]
pub struct AgentEvent {
    /// Which agent.
    pub agent: u32,
    /// In which of its lives.
    pub start_number: u32,
    /// When it came.
    pub at: Duration,
    /// What.
    pub report: Report,
}

/// A time through which something was wrong with a machine, or with its links.
#[derive(Clone, Debug)]
pub struct Disruption {
    /// The core machine, or none.
    pub core: Option<u32>,
    /// The agent, or none.
    pub agent: Option<u32>,
    /// From when.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
    /// The core machine had no way, both ways, to any other core machine all that time, while its process ran.
    pub isolates: bool,
    /// It is slower or lossy, all the time.
    pub degraded: bool,
    /// It is the disk's alone.
    pub disk_only: bool,
    /// The process stood still, and went on as if nothing had been.
    pub freezes: bool,
    /// All that it sends and gets takes this much longer, and nothing else is wrong.
    pub delay: Duration,
}

/// A member of the register: its core machine and its incarnation there.
pub type MemberId = (u32, u64);

/// What the disk of a core machine holds from a moment on.
#[derive(Clone, Debug, Default)]
pub struct DiskState {
    /// The core machine.
    pub core: u32,
    /// From when.
    pub at: Duration,
    /// The incarnation of the member that is on it.
    pub incarnation: u64,
    /// Sequence number of its value; 0 for none.
    pub sequence: u64,
    /// Version of the configuration in that; 0 for none.
    pub version: u64,
    /// The sets of members that the value names: two while they change.
    pub sets: Vec<BTreeSet<MemberId>>,
}

/// An older copy was put back onto the disk of a core machine.
#[derive(Clone, Debug)]
pub struct DiskRollback {
    /// The core machine.
    pub core: u32,
    /// When.
    pub at: Duration,
    /// The incarnation of the member that is on the copy.
    pub incarnation: u64,
    /// Sequence number of the value on the copy.
    pub sequence: u64,
    /// The disk had held a newer value for long enough to be known of elsewhere.
    pub is_stale: bool,
}

/// A controller was told to end.
#[derive(Clone, Debug)]
pub struct Termination {
    /// The core machine.
    pub core: u32,
    /// When it was told.
    pub requested: Duration,
    /// When it had ended by itself.
    pub ended: Option<Duration>,
}

/// What happened.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Orders, by number.
    pub changes: Vec<ConfigChange>,
    /// Calls in the order of their beginning.
    pub calls: Vec<Call>,
    /// What agents told, in the order of time.
    pub events: Vec<AgentEvent>,
    /// What was done to machines.
    pub disruptions: Vec<Disruption>,
    /// When all connections of a core machine were reset.
    pub connection_resets: Vec<(u32, Duration)>,
    /// When agents' processes started.
    pub agent_starts: Vec<(u32, Duration)>,
    /// All is mended from here on.
    pub healed_at: Duration,
    /// Configurations that were seen: when, and the versions that the newest one was made of, the oldest, which was sent
    /// whole, first.
    pub lineages: Vec<(Duration, Vec<u64>)>,
    /// Processes that ended by themselves, and why.
    pub exits: Vec<(String, Duration, String)>,
    /// The last change, after all was mended, was acknowledged.
    pub last_acknowledged: bool,
    /// Core machines that gave no clear answer to the last read.
    pub unreadable_cores: Vec<u32>,
    /// At the end: version on the disk of each controller that runs, and its marker.
    pub final_disks: BTreeMap<u32, Option<(u64, u64)>>,
    /// What disks of core machines held, in the order of time.
    pub disk_states: Vec<DiskState>,
    /// When controllers' processes started.
    pub core_starts: Vec<(u32, Duration)>,
    /// Core machines that are gone for good, and since when.
    pub removed_cores: Vec<(u32, Duration)>,
    /// Older copies that were put back onto disks.
    pub disk_rollbacks: Vec<DiskRollback>,
    /// Controllers that were told to end.
    pub terminations: Vec<Termination>,
    /// When each endpoint crashed, of those that did.
    pub silent_since: BTreeMap<usize, Duration>,
    /// The end.
    pub end: Duration,
}
