//! A randomized simulation of members, processes and operators. A seed determines the order of messages, losses, restarts,
//! wipes, restored disks and membership changes; mutants are supported. It records a history, which `checker.rs` checks
//! without knowledge of the register.

mod faults;
mod network;
mod operations;
mod profile;
mod reads;

use super::attempt::OperationSettings;
use super::checker::{Event, History};
use super::member;
use super::mutants::Mutant;
use super::node::{Disk, Node};
use fastrand::Rng;
use network::Packet;
use operations::Operation;
use profile::Profile;
use reads::Reads;
use runtrack_message::{Ballot, Member, Value};
use runtrack_register::{ConfigRequest, Decision, DurableWatermarks};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Number of steps without faults at the end, before the final reads and for each of them.
const HEALING_STEPS: usize = 1500;
const READING_STEPS: usize = 500;

/// One kind of step of a simulation.
type Action = fn(&mut World);

/// Id of the operations that set up a simulation.
pub const SETUP_OPERATION: usize = usize::MAX;

/// A member, and the copy of its disk that was made, if any.
struct MemberState {
    member: Member,
    node: Node,
    up: bool,
    copy: Option<Disk>,
}

impl MemberState {
    fn new(member: Member) -> Self {
        MemberState { member, node: Node::new(member.incarnation), up: true, copy: None }
    }

    fn start(&mut self) {
        self.node.restart();
        self.up = true;
    }
}

/// A process that proposes.
struct Process {
    boot: u64,
    round: u64,
    known: Option<(Ballot, Rc<Value>)>,
    /// The sets that it starts rounds with, and the sequence number of their value.
    view: (u64, Vec<BTreeSet<Member>>),
    watermarks: DurableWatermarks,
}

impl Process {
    /// Updates the view if these sets are newer.
    fn update_view(&mut self, sequence: u64, sets: &[BTreeSet<Member>]) {
        if self.view.0 < sequence {
            self.view = (sequence, sets.to_vec());
        }
    }
}

/// A simulation.
pub struct World {
    rng: Rng,
    profile: Profile,
    settings: OperationSettings,
    voters: Vec<MemberState>,
    /// The first members' processes, in their order.
    processes: Vec<Process>,
    operations: BTreeMap<usize, Operation>,
    packets: Vec<Packet>,
    reads: Reads,
    now: usize,
    next: usize,
    version: u64,
    requests: Vec<ConfigRequest>,
    /// All values that any process considered committed.
    committed: Vec<(Ballot, Rc<Value>)>,
    /// Index of the next address.
    spare: u8,
    /// The wanted members; the change to them is retried until it is committed.
    wanted: Option<BTreeSet<Member>>,
    /// Number of older disks that were detected, and of those without a watermark.
    restores: u64,
    unknown_restores: u64,
    history: History,
}

/// Result of a simulation.
pub struct RunResult {
    pub history: History,
    pub restores: u64,
    pub unknown_restores: u64,
    /// Number of quorum reads that were answered, and of those that were unsettled.
    pub quorum_reads: u64,
    pub unsettled_reads: u64,
    /// None of the first members is left.
    pub all_replaced: bool,
    /// Members changed before the first request was applied.
    pub changed_before_first_value: bool,
}

impl World {
    pub fn new(seed: u64, mutant: Mutant) -> Self {
        let mut rng = Rng::with_seed(seed);
        let profile = Profile::draw(&mut rng);
        let first: BTreeSet<Member> = (0..profile.members).map(|at| member(at, 0)).collect();
        let settings = OperationSettings {
            first: vec![first.clone()],
            changes_before_first_value: profile.changes_before_first_value,
            max_applied: profile.max_applied,
            mutant,
        };
        let process = |at: u8| Process {
            boot: if mutant == Mutant::BallotsShared { 1 } else { u64::from(at) + 1 },
            round: 0,
            known: None,
            view: (0, settings.first.clone()),
            watermarks: DurableWatermarks::default(),
        };
        let mut world = World {
            processes: (0..profile.members).map(process).collect(),
            voters: first.iter().copied().map(MemberState::new).collect(),
            spare: profile.members,
            rng,
            profile,
            settings,
            operations: BTreeMap::new(),
            packets: Vec::new(),
            reads: Reads::new(seed),
            now: 0,
            next: 0,
            version: 0,
            requests: Vec::new(),
            committed: Vec::new(),
            wanted: None,
            restores: 0,
            unknown_restores: 0,
            history: History::default(),
        };
        world.run_setup();
        world
    }

    /// Applies the setup requests: each is acknowledged, and all members have the last value.
    fn run_setup(&mut self) {
        let mut value: Option<Value> = None;
        for base in 0..self.profile.applied_before {
            let request = ConfigRequest::replace(base, base + 1, format!("before {base}").into_bytes());
            let (Decision::Propose(next), _) =
                request.decide_within(value.as_ref(), &self.settings.first, self.settings.max_applied)
            else {
                panic!("a request on the newest version is proposed")
            };
            value = Some(next);
            let request = self.add_request(request);
            self.history.events.push(Event::Acknowledged { id: SETUP_OPERATION, request });
        }
        let Some(value) = value.map(Rc::new) else { return };
        self.version = value.version;
        let ballot = Ballot { round: 0, boot: 1 };
        for voter in &mut self.voters {
            voter.node.adopt(ballot, &value, Mutant::None);
        }
        for process in &mut self.processes {
            process.known = Some((ballot, value.clone()));
        }
    }

    /// Runs the simulation, then ends all faults and reads the final value.
    pub fn run(mut self) -> RunResult {
        for _ in 0..self.profile.steps {
            self.step();
        }
        self.end_faults();
        let all_replaced = self.newest_view().is_disjoint(&self.settings.first[0]);
        let changed_before_first_value = self.committed.iter().any(|(_, value)| value.version == 0);
        let World { history, restores, unknown_restores, reads, .. } = self;
        let (quorum_reads, unsettled_reads) = (reads.answered, reads.unsettled);
        RunResult {
            history,
            restores,
            unknown_restores,
            quorum_reads,
            unsettled_reads,
            all_replaced,
            changed_before_first_value,
        }
    }

    fn step(&mut self) {
        self.now += 1;
        let rates = self.profile.rates.clone();
        let actions: [(u32, Action); 12] = [
            (rates.request, World::start_request),
            (rates.read, World::start_read),
            (rates.drop_packet, World::drop_packet),
            (rates.kill_or_start, World::kill_or_start),
            (rates.restart_member, World::restart_member),
            (rates.restart_process, World::restart_process),
            (rates.wipe, World::wipe),
            (rates.restore, World::copy_or_restore),
            (rates.change_members, World::change_members),
            (rates.retry_change, World::retry_change),
            (rates.adopt, World::adopt),
            (rates.gossip, World::gossip),
        ];
        let mut drawn = self.rng.u32(..1000);
        let chosen = actions.into_iter().find(|(rate, _)| {
            let is_it = drawn < *rate;
            drawn = drawn.saturating_sub(*rate);
            is_it
        });
        if let Some((_, action)) = chosen {
            action(self);
        }
        for _ in 0..self.rng.u32(1..3) {
            self.deliver();
        }
        self.time_out_idle();
        self.step_reads();
    }

    /// Starts all members, ends message loss, and then reads at every process.
    fn end_faults(&mut self) {
        for voter in self.voters.iter_mut().filter(|voter| !voter.up) {
            voter.start();
        }
        for _ in 0..HEALING_STEPS {
            self.deliver();
            self.time_out_idle();
        }
        self.clear_all_watermarks();
        self.gossip_to_all();
        self.history.events.push(Event::Healed);
        for at in 0..self.processes.len() {
            self.start(at, super::attempt::Purpose::Read, None);
            for _ in 0..READING_STEPS {
                self.deliver();
                self.time_out_idle();
            }
            self.clear_all_watermarks();
        }
        self.history.events.push(Event::Ended);
    }

    fn clear_all_watermarks(&mut self) {
        self.operations.clear();
        self.packets.clear();
    }
}
