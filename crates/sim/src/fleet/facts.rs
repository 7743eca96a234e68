//! The record of a run that the oracle judges: what operators, endpoints and the observers of agents saw,
//! and what was done to the machines. Times are since the start of the run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A configuration change that an operator sends, on top of a base version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigChange {
    /// The version that it builds on.
    pub base: u64,
    /// Its own version.
    pub version: u64,
    /// Number that distinguishes its body from all others.
    pub marker: u64,
    /// Whether its body is a valid configuration.
    pub valid: bool,
}

impl ConfigChange {
    /// Whether it is sent as an amendment of its base rather than as a whole configuration. This holds for
    /// every second change that has a base.
    pub fn is_amendment(&self) -> bool {
        self.base > 0 && self.marker % 2 == 1
    }
}

/// What a call asks of a member. Its `Debug` form is part of a run's hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Apply the configuration change with this number.
    Replace(usize),
    /// Return the configuration.
    Read,
    /// Accept a heartbeat of this ready endpoint.
    Heartbeat(usize),
    /// Record that this endpoint drains.
    Drain(usize),
    /// Record that this endpoint has ended.
    Deregister(usize),
}

/// A complete HTTP answer. Its `Debug` form is part of a run's hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Version and marker of the configuration in the body.
    pub config: Option<(u64, u64)>,
    /// The current version that a refusal (412) names in its reason.
    pub named: Option<u64>,
}

/// A call to a member. Its `Debug` form is part of a run's hash.
#[derive(Clone, Debug)]
pub struct Call {
    /// What the call asks for.
    pub asked: CallKind,
    /// The core machine that was called.
    pub core: u32,
    /// When the call began.
    pub began: Duration,
    /// When the call was answered or given up.
    pub ended: Option<Duration>,
    /// Whether the caller's connection was established.
    pub connected: bool,
    /// Whether the caller closes the connection without waiting for an answer.
    pub left: bool,
    /// The answer, if one arrived.
    pub answer: Option<Answer>,
    /// Whether more bytes followed the answer.
    pub surplus: bool,
}

/// A message of an agent to its proxy. Its `Debug` form is part of a run's hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// The newest version that the agent knows of.
    Version(u64),
    /// Version and marker of a configuration.
    Config(u64, u64),
    /// An endpoint's state: 0 ready, 1 draining, 2 gone.
    Endpoint(usize, u8),
    /// The endpoints that the agent suspects to have failed.
    Suspects(Vec<usize>),
}

/// A message of an agent, as recorded by its observer.
#[derive(Clone, Debug)]
pub struct AgentEvent {
    /// The agent.
    pub agent: u32,
    /// Number of the process start that it belongs to, from 1.
    pub start_number: u32,
    /// When it arrived.
    pub at: Duration,
    /// The message.
    pub report: Report,
}

/// A time during which a fault affected a machine or its links.
#[derive(Clone, Debug)]
pub struct Disruption {
    /// The affected core machine, if it is one.
    pub core: Option<u32>,
    /// The affected agent, if it is one.
    pub agent: Option<u32>,
    /// Start of the time.
    pub from: Duration,
    /// End of the time.
    pub until: Duration,
    /// The core machine runs, but is cut off from all other core machines in at least one direction for the
    /// whole time.
    pub isolates: bool,
    /// The links are slow or lossy for the whole time.
    pub degraded: bool,
    /// Only the disk is affected.
    pub disk_only: bool,
    /// The process is frozen and then resumes.
    pub freezes: bool,
    /// Added latency of everything that the machine sends and receives; zero if anything else is wrong.
    pub delay: Duration,
}

/// A member of the register: its core machine and its incarnation there.
pub type MemberId = (u32, u64);

/// What the disk of a core machine holds from a given time on.
#[derive(Clone, Debug, Default)]
pub struct DiskState {
    /// The core machine.
    pub core: u32,
    /// When the disk reached this state.
    pub at: Duration,
    /// Incarnation of the member on the disk.
    pub incarnation: u64,
    /// Sequence number of the member's value; 0 if there is none.
    pub sequence: u64,
    /// Version of the configuration in the value; 0 if there is none.
    pub version: u64,
    /// The sets of members that the value names; two while the membership changes.
    pub sets: Vec<BTreeSet<MemberId>>,
}

/// A rollback of a core machine's disk to an older state.
#[derive(Clone, Debug)]
pub struct DiskRollback {
    /// The core machine.
    pub core: u32,
    /// When the disk was rolled back.
    pub at: Duration,
    /// Incarnation of the member in the restored state.
    pub incarnation: u64,
    /// Sequence number of the value in the restored state.
    pub sequence: u64,
    /// Whether the disk had held a newer value for long enough that other members knew of it.
    pub is_stale: bool,
}

/// A request to a controller to terminate.
#[derive(Clone, Debug)]
pub struct Termination {
    /// The core machine.
    pub core: u32,
    /// When termination was requested.
    pub requested: Duration,
    /// When the process ended by itself, if it did.
    pub ended: Option<Duration>,
}

/// All that was recorded during a run.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Configuration changes; the index is their number.
    pub changes: Vec<ConfigChange>,
    /// Calls, ordered by when they began.
    pub calls: Vec<Call>,
    /// Messages of agents, ordered by time.
    pub events: Vec<AgentEvent>,
    /// Effects of faults on machines.
    pub disruptions: Vec<Disruption>,
    /// When all connections of a core machine were reset.
    pub connection_resets: Vec<(u32, Duration)>,
    /// When the processes of agents started.
    pub agent_starts: Vec<(u32, Duration)>,
    /// When the last fault has ended.
    pub healed_at: Duration,
    /// Configurations that were seen: when, and the versions that each is made of, starting with the one
    /// that was sent as a whole.
    pub lineages: Vec<(Duration, Vec<u64>)>,
    /// Processes that ended by themselves: name, time and reason.
    pub exits: Vec<(String, Duration, String)>,
    /// Whether the final change, made after all faults ended, was acknowledged.
    pub last_acknowledged: bool,
    /// Core machines that gave no definite answer to the final read.
    pub unreadable_cores: Vec<u32>,
    /// At the end of the run: version and marker on the disk of each running controller.
    pub final_disks: BTreeMap<u32, Option<(u64, u64)>>,
    /// States of the core machines' disks, ordered by time.
    pub disk_states: Vec<DiskState>,
    /// When the processes of controllers started.
    pub core_starts: Vec<(u32, Duration)>,
    /// Core machines that were removed for good, and when.
    pub removed_cores: Vec<(u32, Duration)>,
    /// Rollbacks of disks to older states.
    pub disk_rollbacks: Vec<DiskRollback>,
    /// Requests to controllers to terminate.
    pub terminations: Vec<Termination>,
    /// When each endpoint that crashed did so.
    pub crashed_at: BTreeMap<usize, Duration>,
    /// End of the run.
    pub end: Duration,
}
