//! The state of a run: members with their disks, the network between them, and what was judged so far.

use super::*;

pub(super) struct World<'a> {
    pub(super) script: &'a Script,
    pub(super) draws: Pcg32,
    pub(super) now: u64,
    pub(super) nodes: BTreeMap<MemberId, Node<Disk>>,
    pub(super) disks: BTreeMap<MemberId, Disk>,
    /// Those that are off until a tick.
    pub(super) off: BTreeMap<MemberId, u64>,
    pub(super) stalled: BTreeMap<MemberId, u64>,
    pub(super) runs: BTreeMap<MemberId, u64>,
    pub(super) wire: BTreeMap<(u64, u64), PeerMessage>,
    pub(super) sent: u64,
    /// Until when which messages are lost.
    pub(super) cuts: Vec<(What, MemberId, u64)>,
    pub(super) members: BTreeSet<MemberId>,
    pub(super) next_member: MemberId,
    pub(super) wanted: Vec<MemberChange>,
    pub(super) promote: BTreeSet<MemberId>,
    pub(super) accepted: BTreeMap<MemberId, (String, u64)>,
    pub(super) changed: u64,
    pub(super) rev: u64,
    pub(super) drains: BTreeMap<String, u64>,
    pub(super) heard: BTreeMap<MemberId, u64>,
    pub(super) proxies: Vec<Proxy>,
    pub(super) serving: BTreeMap<MemberId, Serving>,
    pub(super) writes: Vec<Option<Write>>,
    pub(super) reads: Vec<Read>,
    pub(super) numbers: u64,
    pub(super) last_number: u64,
    pub(super) observed: Observed,
    pub(super) outcomes: Outcomes,
}

/// What was seen of all members together, for the rules.
#[derive(Default)]
pub(super) struct Observed {
    /// What was acknowledged: by id, its index and outcome; and the highest index.
    pub(super) acked: BTreeMap<String, (u64, Outcome)>,
    pub(super) acked_to: u64,
    pub(super) applied: BTreeMap<u64, Applied>,
    pub(super) effects: BTreeMap<String, u64>,
    pub(super) leaders: BTreeMap<u64, MemberId>,
    pub(super) drained: BTreeMap<String, u64>,
    pub(super) snapshots: BTreeMap<u64, u64>,
}

pub(super) fn identity(member: MemberId) -> Identity {
    let text = |what: &str| format!("{what}-{member}");
    Identity { lineage: "l".to_owned(), member, ticket: text("t"), folder: text("f"), others: Vec::new() }
}

pub(super) fn fnv1a(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

impl World<'_> {
    pub(super) fn new(script: &Script) -> World<'_> {
        let disk = Disk::default();
        let state = State::new("l", 7, "m1", "a1", "f-1");
        let made = Node::bootstrap(disk.clone(), identity(1), &state);
        let mut world = World {
            script,
            draws: Pcg32::seed_from_u64(script.seed),
            now: 0,
            nodes: BTreeMap::new(),
            disks: [(1, disk)].into(),
            off: BTreeMap::new(),
            stalled: BTreeMap::new(),
            runs: BTreeMap::new(),
            wire: BTreeMap::new(),
            sent: 0,
            cuts: Vec::new(),
            members: [1].into(),
            next_member: 2,
            wanted: Vec::new(),
            promote: BTreeSet::new(),
            accepted: BTreeMap::new(),
            changed: 0,
            rev: 1,
            drains: BTreeMap::new(),
            heard: BTreeMap::new(),
            proxies: Vec::new(),
            serving: BTreeMap::new(),
            writes: (0..WRITERS).map(|_| None).collect(),
            reads: Vec::new(),
            numbers: 0,
            last_number: 0,
            observed: Observed::default(),
            outcomes: Outcomes::default(),
        };
        if let Err(problem) = made {
            world.breach(Rule::Folder, format!("it could not be made: {problem}"));
        }
        world.start(1);
        world
    }

    pub(super) fn below(&mut self, most: u64) -> u64 {
        u64::from(self.draws.next_u32()) % most.max(1)
    }

    pub(super) fn breach(&mut self, rule: Rule, why: String) {
        if self.outcomes.breaches.iter().all(|breach| breach.rule != rule) {
            self.outcomes.breaches.push(Breach { rule, at: self.now, why });
        }
    }

    pub(super) fn leader(&self) -> Option<MemberId> {
        let leading =
            self.nodes.iter().filter(|(id, node)| node.is_leader() && !self.stalled.contains_key(id));
        leading.map(|(id, node)| (node.term(), *id)).max().map(|(_, id)| id)
    }

    /// A member by its place, or whoever leads.
    pub(super) fn who(&self, place: u64) -> MemberId {
        let members: Vec<MemberId> = self.members.iter().copied().collect();
        let at = members[place as usize % members.len()];
        if place == 99 { self.leader().unwrap_or(at) } else { at }
    }

    pub(super) fn start(&mut self, member: MemberId) {
        match Node::open(self.disks[&member].clone(), TUNING, self.script.seed) {
            Ok(node) => {
                self.nodes.insert(member, node);
                *self.runs.entry(member).or_default() += 1;
                let mut cache = Cache::new(0);
                cache.begin_update(0, 0);
                self.serving.insert(member, Serving { cache, served: None });
            }
            Err(NodeError::Disk(DiskError::File { .. })) => {
                // It is full, or has been cut off while it was opened.
                self.disks[&member].fail_at(None);
                self.crash(member, self.now + REOPENS);
            }
            Err(problem) => self.breach(Rule::Folder, format!("{member}: {problem}")),
        }
    }

    pub(super) fn build_up(&mut self) {
        for _ in 1..self.script.members {
            self.add();
        }
        for _ in 0..2_000 {
            self.turn(false);
            let voting = |node: &Node<Disk>| {
                node.state().is_some_and(|s| {
                    s.members.values().filter(|m| m.voter).count() as u64 == self.script.members
                })
            };
            if self.wanted.is_empty() && self.promote.is_empty() && self.nodes.values().all(voting) {
                break;
            }
        }
        for n in 0..PROXIES {
            let at = 1 + n as u64 % self.script.members;
            let session = Session::new(format!("p{n}"), n % 2 == 1, None, Limits::default());
            let held = (String::new(), 0, 0);
            self.proxies.push(Proxy { at, run: 0, session, held, draining: BTreeSet::new() });
        }
    }

    pub(super) fn crash(&mut self, member: MemberId, until: u64) {
        self.nodes.remove(&member);
        let left = self.disks[&member].after_power_loss(&mut self.draws);
        self.disks.insert(member, left);
        self.wire.retain(|_, message| message.to != member);
        self.accepted.remove(&member);
        self.off.insert(member, until.max(self.now + 1));
    }
}
