//! Concurrent quorum reads: requests and replies are delayed, lost and reordered, and members restart or change meanwhile. They
//! use a separate random source, so that a simulation is otherwise the same with and without them.

use super::World;
use super::network::accept_for;
use crate::support::checker::Event;
use crate::support::mutants::Mutant;
use crate::support::node::{Disk, Node};
use crate::support::read_attempt::ReadAttempt;
use fastrand::Rng;
use runtrack_message::{InspectReply, InspectRequest, Member};
use runtrack_register::{Inspection, ReadOutcome, ReadProgress};
use std::collections::BTreeMap;

/// Ids of quorum reads in the history begin here, above those of operations.
const FIRST_ID: usize = usize::MAX / 2;
/// Maximum number of concurrent reads.
const MAX_READS: usize = 3;
/// Steps after which a read times out.
const READ_STEPS: usize = 120;
/// For a mutant: steps during which a member with an older disk answers before its disk check ends.
const UNCHECKED_STEPS: usize = 100;
/// Separates the random source of quorum reads from that of the simulation, which has the same seed.
const SEED: u64 = 0x9e37_79b9_7f4a_7c15;

enum Content {
    Request(InspectRequest),
    Reply(InspectReply),
}

struct Packet {
    read: usize,
    member: Member,
    content: Content,
    due: usize,
}

struct OpenRead {
    id: usize,
    read: ReadAttempt,
    until: usize,
}

/// A member that runs from an older disk.
struct UncheckedMember {
    member: Member,
    node: Node,
    until: usize,
}

/// The quorum reads of a simulation.
pub(super) struct Reads {
    rng: Rng,
    /// Percentage of steps that start a read.
    rate: u32,
    /// Percentage of packets that are lost.
    lost: u32,
    usual_delay: usize,
    open: Vec<OpenRead>,
    packets: Vec<Packet>,
    unchecked: Vec<UncheckedMember>,
    /// For that mutant: copies of the members' disks, one for each value.
    copies: BTreeMap<Member, Vec<Disk>>,
    next: usize,
    /// Number of reads that were answered, and of those that were unsettled.
    pub(super) answered: u64,
    pub(super) unsettled: u64,
}

impl Reads {
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed ^ SEED);
        Reads {
            rate: rng.u32(5..40),
            lost: rng.u32(..10),
            usual_delay: rng.usize(2..25),
            open: Vec::new(),
            packets: Vec::new(),
            unchecked: Vec::new(),
            copies: BTreeMap::new(),
            next: FIRST_ID,
            answered: 0,
            unsettled: 0,
            rng,
        }
    }

    fn post(&mut self, now: usize, read: usize, member: Member, content: Content) {
        if self.rng.u32(..100) >= self.lost {
            let due = now + self.rng.usize(..self.usual_delay);
            self.packets.push(Packet { read, member, content, due });
        }
    }

    fn ask(&mut self, now: usize, read: usize, inspections: Vec<Inspection>) {
        for (member, request) in inspections {
            self.post(now, read, member, Content::Request(request));
        }
    }

    fn take_due(&mut self, now: usize) -> Option<Packet> {
        let due: Vec<usize> = (0..self.packets.len()).filter(|at| self.packets[*at].due <= now).collect();
        if due.is_empty() {
            return None;
        }
        let at = due[self.rng.usize(..due.len())];
        Some(self.packets.swap_remove(at))
    }
}

impl World {
    /// Starts reads, updates their sets and times them out.
    pub(super) fn step_reads(&mut self) {
        let now = self.now;
        self.copy_disks();
        self.reads.open.retain(|open| open.until > now);
        self.reads.unchecked.retain(|unchecked| unchecked.until > now);
        if self.reads.open.len() < MAX_READS && self.reads.rng.u32(..100) < self.reads.rate {
            self.begin_read();
        }
        for _ in 0..2 {
            if let Some(packet) = self.reads.take_due(now) {
                self.deliver_read(packet);
            }
        }
    }

    /// Starts a read at every process, as right after a member has restarted.
    pub(super) fn read_at_once(&mut self) {
        for _ in 0..self.processes.len() {
            self.begin_read();
        }
    }

    fn begin_read(&mut self) {
        let at = self.reads.rng.usize(..self.processes.len());
        let process = &self.processes[at];
        let (read, inspections) =
            ReadAttempt::new(process.view.1.clone(), process.known.clone(), self.settings.mutant);
        let id = self.reads.next;
        self.reads.next += 1;
        self.reads.open.push(OpenRead { id, read, until: self.now + READ_STEPS });
        self.history.events.push(Event::ReadBegan { id });
        self.reads.ask(self.now, id, inspections);
    }

    fn deliver_read(&mut self, packet: Packet) {
        let Packet { read, member, content, .. } = packet;
        match content {
            Content::Request(request) => {
                if let Some(reply) = self.inspect(member, &request) {
                    self.reads.post(self.now, read, member, Content::Reply(reply));
                }
            }
            Content::Reply(reply) => self.on_inspected(read, member, reply),
        }
    }

    /// A member's reply to a reader; `None` if it is down or removed.
    fn inspect(&self, member: Member, request: &InspectRequest) -> Option<InspectReply> {
        if let Some(unchecked) = self.reads.unchecked.iter().find(|other| other.member == member) {
            return Some(unchecked.node.inspect(request));
        }
        let voter = self.voters.iter().find(|voter| voter.member == member && voter.up)?;
        if self.settings.mutant == Mutant::UnsyncedReported {
            let writes = self.packets.iter().filter_map(|packet| accept_for(packet, member));
            let mut reported =
                writes.filter_map(|writing| voter.node.inspect_while_writing(request, writing));
            if let Some(reply) = reported.next() {
                return Some(reply);
            }
        }
        Some(voter.node.inspect(request))
    }

    fn on_inspected(&mut self, read: usize, from: Member, reply: InspectReply) {
        let Some(at) = self.reads.open.iter().position(|open| open.id == read) else { return };
        match self.reads.open[at].read.reply(from, reply) {
            ReadProgress::Ask(more) => self.reads.ask(self.now, read, more),
            ReadProgress::Done(outcome) => {
                self.reads.open.swap_remove(at);
                self.read_ended(read, outcome);
            }
        }
    }

    fn read_ended(&mut self, id: usize, outcome: ReadOutcome) {
        let request = match outcome {
            ReadOutcome::Unsettled => {
                self.reads.unsettled += 1;
                return;
            }
            ReadOutcome::Empty => None,
            ReadOutcome::Chosen(_, value) => {
                let request = self.request_of(&value);
                self.history.events.push(Event::Chosen { sequence: value.sequence, request });
                request
            }
        };
        self.reads.answered += 1;
        self.history.events.push(Event::Read { id, request });
    }

    fn copy_disks(&mut self) {
        if self.settings.mutant != Mutant::InspectedBeforeDiskCheck {
            return;
        }
        for voter in &self.voters {
            let copies = self.reads.copies.entry(voter.member).or_default();
            let value = |disk: &Disk| disk.value.as_ref().map(|value| value.ballot);
            if copies.last().is_none_or(|last| value(last) != value(&voter.node.disk)) {
                copies.push(voter.node.disk.clone());
            }
        }
    }

    /// For a mutant: a member with an older disk answers readers before its disk check. The most harmful copy has the value that
    /// another member still has as its newest.
    pub(super) fn leave_unchecked(&mut self, at: usize) {
        if self.settings.mutant != Mutant::InspectedBeforeDiskCheck {
            return;
        }
        let member = self.voters[at].member;
        let value = |disk: &Disk| disk.value.as_ref().map(|value| value.ballot);
        let others = self.voters.iter().filter(|voter| voter.member != member);
        let lagging: Vec<_> = others.map(|voter| value(&voter.node.disk)).collect();
        let newest = value(&self.voters[at].node.disk);
        let is_worst = |disk: &&Disk| value(disk) < newest && lagging.contains(&value(disk));
        let copy = self.reads.copies.get(&member).and_then(|copies| copies.iter().find(is_worst));
        let Some(disk) = copy.cloned() else { return };
        let mut node = Node { disk, ..self.voters[at].node.clone() };
        node.restart();
        let until = self.now + UNCHECKED_STEPS;
        self.reads.unchecked.push(UncheckedMember { member, node, until });
    }
}
