//! Quorum reads beside everything else: requests and replies late, lost and in any order, members that restart or change
//! meanwhile. They draw from a source of their own, so that a world is otherwise the same with and without them.

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
/// Reads at a time.
const MAX_READS: usize = 3;
/// Steps after which a read is given up.
const READ_STEPS: usize = 120;
/// For a mutant: a member with an older disk answers for so many steps before it finds that out.
const UNCHECKED_STEPS: usize = 100;
/// Separates the draws of quorum reads from those of their world, which has the same seed.
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

/// A member as its older disk has it.
struct Unchecked {
    member: Member,
    node: Node,
    until: usize,
}

/// The quorum reads of a world.
pub(super) struct Reads {
    rng: Rng,
    /// Of a hundred steps so many begin one.
    rate: u32,
    /// Of a hundred packets so many are lost.
    lost: u32,
    usual_delay: usize,
    open: Vec<OpenRead>,
    packets: Vec<Packet>,
    unchecked: Vec<Unchecked>,
    /// For that mutant: what was on the members' disks, a copy for each value.
    copies: BTreeMap<Member, Vec<Disk>>,
    next: usize,
    /// Reads that were answered, and such that only a round could tell.
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
    /// Reads begin, hear of members and are given up.
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

    /// Everybody reads, as right after a member has come back.
    pub(super) fn read_at_once(&mut self) {
        for _ in 0..self.processes.len() {
            self.begin_read();
        }
    }

    fn begin_read(&mut self) {
        let at = self.reads.rng.usize(..self.processes.len());
        let process = &self.processes[at];
        let (read, inspections) =
            ReadAttempt::new(process.view.1.clone(), process.known.clone(), self.terms.mutant);
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

    /// What a member answers to a reader; nothing where it is down or gone.
    fn inspect(&self, member: Member, request: &InspectRequest) -> Option<InspectReply> {
        if let Some(unchecked) = self.reads.unchecked.iter().find(|other| other.member == member) {
            return Some(unchecked.node.inspect(request));
        }
        let voter = self.voters.iter().find(|voter| voter.member == member && voter.up)?;
        if self.terms.mutant == Mutant::UnsyncedReported {
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
        if self.terms.mutant != Mutant::InspectedBeforeDiskCheck {
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

    /// For a mutant: a member whose disk is an older one answers readers before it has found out. The worst copy is one of
    /// the value that another member has not got beyond.
    pub(super) fn leave_unchecked(&mut self, at: usize) {
        if self.terms.mutant != Mutant::InspectedBeforeDiskCheck {
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
        self.reads.unchecked.push(Unchecked { member, node, until });
    }
}
