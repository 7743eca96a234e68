//! A world of members, processes and operators whose messages are delivered in an order drawn from a seed, with losses,
//! restarts, wipes, older disks and changes of members, and with mutants. It records a history; what
//! the history must be like is checked in `checker.rs`, which knows nothing of the register.

mod faults;
mod network;
mod operations;
mod profile;
mod reads;

use super::attempt::Terms;
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

/// Steps in which all is healed; for each read of the end the same once more.
const HEALING_STEPS: usize = 1500;
const READING_STEPS: usize = 500;

/// One thing that happens to a world.
type Action = fn(&mut World);

/// Id of operations before the world begins.
pub const BEFORE: usize = usize::MAX;

/// A member, and a copy of its disk that somebody made.
struct Voter {
    member: Member,
    node: Node,
    up: bool,
    copy: Option<Disk>,
}

impl Voter {
    fn new(member: Member) -> Self {
        Voter { member, node: Node::new(member.incarnation), up: true, copy: None }
    }

    fn start(&mut self) {
        self.node.restart();
        self.up = true;
    }
}

/// A process that runs rounds.
struct Process {
    boot: u64,
    round: u64,
    known: Option<(Ballot, Rc<Value>)>,
    /// The sets that it begins at, and the sequence that they are from.
    view: (u64, Vec<BTreeSet<Member>>),
    watermarks: DurableWatermarks,
}

impl Process {
    /// Newer sets of members become known.
    fn hear(&mut self, sequence: u64, sets: &[BTreeSet<Member>]) {
        if self.view.0 < sequence {
            self.view = (sequence, sets.to_vec());
        }
    }
}

/// The world.
pub struct World {
    rng: Rng,
    profile: Profile,
    terms: Terms,
    voters: Vec<Voter>,
    /// The first members' processes, in their order.
    processes: Vec<Process>,
    operations: BTreeMap<usize, Operation>,
    packets: Vec<Packet>,
    reads: Reads,
    now: usize,
    next: usize,
    version: u64,
    requests: Vec<ConfigRequest>,
    /// All that any process took for committed.
    committed: Vec<(Ballot, Rc<Value>)>,
    /// Index of the next address.
    spare: u8,
    /// Members that there should be; the change to them is retried until it is committed.
    wanted: Option<BTreeSet<Member>>,
    /// Older disks that were recognized, and such that nobody remembered anything of.
    restores: u64,
    unknown_restores: u64,
    history: History,
}

/// What came of a world.
pub struct Played {
    pub history: History,
    pub restores: u64,
    pub unknown_restores: u64,
    /// Quorum reads that were answered, and such that only a round could tell.
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
        let terms = Terms {
            first: vec![first.clone()],
            changes_before_first_value: profile.changes_before_first_value,
            max_applied: profile.max_applied,
            mutant,
        };
        let process = |at: u8| Process {
            boot: if mutant == Mutant::BallotsShared { 1 } else { u64::from(at) + 1 },
            round: 0,
            known: None,
            view: (0, terms.first.clone()),
            watermarks: DurableWatermarks::default(),
        };
        let mut world = World {
            processes: (0..profile.members).map(process).collect(),
            voters: first.iter().copied().map(Voter::new).collect(),
            spare: profile.members,
            rng,
            profile,
            terms,
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
        world.play_before();
        world
    }

    /// What was applied long ago: each request was acknowledged, and all members have the last value.
    fn play_before(&mut self) {
        let mut value: Option<Value> = None;
        for base in 0..self.profile.applied_before {
            let request = ConfigRequest::replace(base, base + 1, format!("before {base}").into_bytes());
            let (Decision::Propose(next), _) =
                request.decide_within(value.as_ref(), &self.terms.first, self.terms.max_applied)
            else {
                panic!("a request on the newest version is proposed")
            };
            value = Some(next);
            let request = self.add_request(request);
            self.history.events.push(Event::Acknowledged { id: BEFORE, request });
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

    /// Plays a world through, then heals it and reads what is left.
    pub fn play(mut self) -> Played {
        for _ in 0..self.profile.steps {
            self.step();
        }
        self.heal();
        let all_replaced = self.newest_view().is_disjoint(&self.terms.first[0]);
        let changed_before_first_value = self.committed.iter().any(|(_, value)| value.version == 0);
        let World { history, restores, unknown_restores, reads, .. } = self;
        let (quorum_reads, unsettled_reads) = (reads.answered, reads.unsettled);
        Played {
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
        self.give_up_idle();
        self.step_reads();
    }

    /// All is up and nothing is lost any more; then everybody reads.
    fn heal(&mut self) {
        for voter in self.voters.iter_mut().filter(|voter| !voter.up) {
            voter.start();
        }
        for _ in 0..HEALING_STEPS {
            self.deliver();
            self.give_up_idle();
        }
        self.forget_all();
        self.gossip_to_all();
        self.history.events.push(Event::Healed);
        for at in 0..self.processes.len() {
            self.start(at, super::attempt::Purpose::Read, None);
            for _ in 0..READING_STEPS {
                self.deliver();
                self.give_up_idle();
            }
            self.forget_all();
        }
        self.history.events.push(Event::Ended);
    }

    fn forget_all(&mut self) {
        self.operations.clear();
        self.packets.clear();
    }
}
