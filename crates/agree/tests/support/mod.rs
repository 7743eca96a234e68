//! A simulated cluster: members on disks that can fail and links that can be cut, driven by one tick clock.
#![allow(dead_code)]

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use runtrack_agree::command::{Attribution, Commit};
use runtrack_agree::{
    Applied, Command, Identity, MemberChange, MemberId, Node, NodeError, Output, PeerMessage, Proposal,
    State, Tuning,
};
use runtrack_testkit::Disk;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const TUNING: Tuning = Tuning { heartbeat_ticks: 1, election_ticks: 10, log_bytes: 20_000 };

pub fn identity(member: MemberId) -> Identity {
    Identity {
        lineage: "lineage-1".to_owned(),
        member,
        ticket: format!("ticket-{member}"),
        folder: format!("folder-{member}"),
        others: Vec::new(),
    }
}

pub fn proposal(id: &str, command: Command) -> Proposal {
    Proposal { id: id.to_owned(), command }
}

/// A commit on top of the current version of a state.
pub fn commit(state: &State, text: &str) -> Command {
    let parent = state.current().map(|version| version.hash.clone()).unwrap_or_default();
    Command::Commit(Commit {
        on: state.serial(),
        parent,
        text: text.to_owned(),
        by: Attribution { author: "somchai".to_owned(), reason: "a test".to_owned(), at_ms: 1 },
        plan: String::new(),
        stages: Vec::new(),
        pause_ms: 0,
    })
}

/// A small command; each `n` holds a different endpoint.
pub fn hold(n: u64) -> Command {
    Command::Hold { pool: "p".to_owned(), uid: format!("e{n}"), held: true, by: Attribution::default() }
}

pub struct Cluster {
    pub nodes: BTreeMap<MemberId, Node<Disk>>,
    pub disks: BTreeMap<MemberId, Disk>,
    /// Messages in flight.
    pub in_flight: VecDeque<PeerMessage>,
    /// Links that are cut, as sender and receiver.
    pub cut_links: BTreeSet<(MemberId, MemberId)>,
    pub rng: Pcg32,
    /// Applied commands by index; a command's id and outcome must be the same on all members.
    pub applied: BTreeMap<u64, Applied>,
    /// Leaders by term.
    pub leaders: BTreeMap<u64, MemberId>,
    pub reads: Vec<(MemberId, u64)>,
    pub errors: Vec<(MemberId, NodeError)>,
    pub ticks: u64,
}

impl Cluster {
    /// A cluster of one member.
    pub fn new(seed: u64) -> Cluster {
        let disk = Disk::default();
        let state = State::new("lineage-1", 7, "m1", "a1", "folder-1");
        Node::bootstrap(disk.clone(), identity(1), &state).expect("made");
        let mut cluster = Cluster {
            nodes: BTreeMap::new(),
            disks: [(1, disk)].into(),
            in_flight: VecDeque::new(),
            cut_links: BTreeSet::new(),
            rng: Pcg32::seed_from_u64(seed),
            applied: BTreeMap::new(),
            leaders: BTreeMap::new(),
            reads: Vec::new(),
            errors: Vec::new(),
            ticks: 0,
        };
        cluster.start(1);
        cluster
    }

    /// A cluster of this many voting members.
    pub fn with_members(members: u64, seed: u64) -> Cluster {
        let mut cluster = Cluster::new(seed);
        for member in 2..=members {
            cluster.add(member);
            cluster.promote(member);
        }
        cluster
    }

    pub fn start(&mut self, member: MemberId) {
        let node = Node::open(self.disks[&member].clone(), TUNING, 11).expect("a sound folder");
        self.nodes.insert(member, node);
    }

    /// Cuts a member's power: unsynced data may be lost.
    pub fn power_off(&mut self, member: MemberId) {
        self.nodes.remove(&member);
        let left = self.disks[&member].after_power_loss(&mut self.rng);
        self.disks.insert(member, left);
        self.in_flight.retain(|message| message.to != member);
    }

    pub fn power_cycle(&mut self, member: MemberId) {
        self.power_off(member);
        self.start(member);
    }

    /// Adds a learner and records its first contact.
    pub fn add(&mut self, member: MemberId) {
        let (name, address) = (format!("m{member}"), format!("a{member}"));
        let change = MemberChange::Add { member, name, address, ticket: format!("ticket-{member}") };
        self.change(&change);
        let disk = Disk::default();
        Node::join(disk.clone(), identity(member)).expect("made");
        self.disks.insert(member, disk);
        self.start(member);
        let folder = format!("folder-{member}");
        let ticket = format!("ticket-{member}");
        self.write("", Command::Seen { member, ticket, folder });
    }

    pub fn promote(&mut self, member: MemberId) {
        self.until("it has caught up", |c| {
            let leader = c.leader().map(|leader| c.nodes[&leader].status());
            leader.is_some_and(|s| s.peers.get(&member).is_some_and(|p| p.heard && p.matched + 10 > s.last))
        });
        self.change(&MemberChange::Promote { member });
    }

    /// Proposes a membership change until it is applied on the leader.
    pub fn change(&mut self, change: &MemberChange) {
        let id = format!("change-{change:?}").chars().take(60).collect::<String>();
        for _ in 0..200 {
            self.until("somebody leads", |c| c.leader().is_some());
            let leader = self.leader().expect("just seen");
            let node = self.nodes.get_mut(&leader).expect("it runs");
            let done = node.change_members(&id, change);
            for _ in 0..5 {
                self.tick_all();
            }
            if self.applied.values().any(|applied| applied.id == id && applied.outcome.is_done()) {
                return;
            }
            drop(done);
        }
        panic!("never made: {change:?}");
    }

    /// The running leader with the highest term.
    pub fn leader(&self) -> Option<MemberId> {
        let standing = self
            .nodes
            .iter()
            .filter(|(_, node)| node.is_leader())
            .map(|(id, node)| (node.status().term, *id));
        standing.max().map(|(_, id)| id)
    }

    /// Proposes a command on the leader until it is applied; returns its index.
    pub fn write(&mut self, id: &str, command: Command) -> u64 {
        let id = if id.is_empty() { format!("write-{}", self.rng.next_u64()) } else { id.to_owned() };
        for _ in 0..200 {
            self.until("somebody leads", |c| c.leader().is_some());
            let leader = self.leader().expect("just seen");
            let node = self.nodes.get_mut(&leader).expect("it runs");
            let _ = node.propose(&proposal(&id, command.clone()));
            for _ in 0..30 {
                self.tick_all();
                if let Some(applied) = self.applied.values().find(|applied| applied.id == id) {
                    return applied.index;
                }
            }
        }
        panic!("never written: {id}");
    }

    pub fn state(&self, member: MemberId) -> &State {
        self.nodes[&member].state().expect("it has heard")
    }

    /// Runs one tick on all members, and delivers the resulting messages.
    pub fn tick_all(&mut self) {
        self.ticks += 1;
        let members: Vec<MemberId> = self.nodes.keys().copied().collect();
        for member in &members {
            if let Some(node) = self.nodes.get_mut(member) {
                node.tick();
            }
        }
        for _ in 0..12 {
            for member in &members {
                self.drive(*member);
            }
            for message in std::mem::take(&mut self.in_flight) {
                if self.cut_links.contains(&(message.from, message.to)) {
                    continue;
                }
                if let Some(node) = self.nodes.get_mut(&message.to) {
                    node.step(message);
                }
            }
        }
    }

    fn drive(&mut self, member: MemberId) {
        let Some(node) = self.nodes.get_mut(&member) else { return };
        let Output { messages, applied, reads, fetch, .. } = match node.drive() {
            Ok(output) => output,
            Err(error) => {
                self.errors.push((member, error));
                self.nodes.remove(&member);
                return;
            }
        };
        if node.is_leader() {
            let term = node.status().term;
            let before = *self.leaders.entry(term).or_insert(member);
            assert_eq!(before, member, "two lead in term {term}");
        }
        self.in_flight.extend(messages);
        self.reads.extend(reads.into_iter().map(|number| (member, number)));
        for applied in applied {
            let before = self.applied.entry(applied.index).or_insert_with(|| applied.clone());
            assert_eq!(before, &applied, "two members disagree on entry {}", applied.index);
        }
        if let Some(fetch) = fetch {
            let from =
                self.nodes.get(&fetch.from).filter(|_| !self.cut_links.contains(&(fetch.from, member)));
            let text = from
                .filter(|from| *from.snapshot() == fetch.snapshot)
                .and_then(|from| from.snapshot_text().ok()?);
            let node = self.nodes.get_mut(&member).expect("it runs");
            match text {
                Some(text) => {
                    assert!(node.snapshot_fetched(text), "the fetched text does not match the offer")
                }
                None => node.snapshot_fetch_failed(),
            }
        }
    }

    /// Runs ticks until a condition holds.
    pub fn until(&mut self, what: &str, holds: impl Fn(&Cluster) -> bool) {
        for _ in 0..2_000 {
            if holds(self) {
                return;
            }
            self.tick_all();
        }
        panic!("never came: {what}");
    }

    /// Waits until all running members have applied the same entries, and checks that their states are equal.
    pub fn wait_for_equal_states(&mut self) {
        self.until("all have applied the same", |c| {
            let applied: BTreeSet<u64> = c.nodes.values().map(|node| node.status().applied).collect();
            let last = c.leader().map(|leader| c.nodes[&leader].status().last);
            applied.len() == 1 && last == applied.first().copied()
        });
        let snapshots: BTreeSet<String> =
            self.nodes.values().map(|node| node.state().expect("it has heard").snapshot()).collect();
        assert_eq!(snapshots.len(), 1, "states differ after equal logs");
    }

    /// Waits until all members but one have applied the same entries.
    pub fn wait_for_equal_states_without(&mut self, member: MemberId) {
        self.until("the others have applied the same", |c| {
            let others = c.nodes.iter().filter(|(id, _)| **id != member);
            let applied: BTreeSet<u64> = others.map(|(_, node)| node.status().applied).collect();
            applied.len() == 1
        });
    }

    /// Cuts all links between a member and the others, in both directions, or restores them.
    pub fn set_partitioned(&mut self, member: MemberId, cut: bool) {
        for other in self.disks.keys().copied().filter(|other| *other != member) {
            for link in [(member, other), (other, member)] {
                if cut {
                    self.cut_links.insert(link)
                } else {
                    self.cut_links.remove(&link)
                };
            }
        }
    }
}
