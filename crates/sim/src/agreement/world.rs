//! State of a run: members with their disks, the network between them and the observations for the rules.

use super::*;

pub(super) struct World<'a> {
    pub(super) script: &'a Script,
    pub(super) draws: Pcg32,
    pub(super) now: u64,
    pub(super) nodes: BTreeMap<MemberId, Node<Disk>>,
    pub(super) disks: BTreeMap<MemberId, Disk>,
    /// Members without power, and the tick at which they restart.
    pub(super) powered_off: BTreeMap<MemberId, u64>,
    pub(super) stalled: BTreeMap<MemberId, u64>,
    pub(super) start_counts: BTreeMap<MemberId, u64>,
    pub(super) in_flight: BTreeMap<(u64, u64), PeerMessage>,
    pub(super) sent_count: u64,
    /// Active faults: kind, member, end.
    pub(super) active_faults: Vec<(FaultKind, MemberId, u64)>,
    pub(super) members: BTreeSet<MemberId>,
    pub(super) next_member: MemberId,
    pub(super) pending_changes: Vec<MemberChange>,
    pub(super) awaiting_promotion: BTreeSet<MemberId>,
    pub(super) accepted_changes: BTreeMap<MemberId, (String, u64)>,
    pub(super) last_change_number: u64,
    pub(super) rev: u64,
    pub(super) drains: BTreeMap<String, u64>,
    pub(super) heard_revs: BTreeMap<MemberId, u64>,
    pub(super) proxies: Vec<Proxy>,
    pub(super) serving: BTreeMap<MemberId, Serving>,
    pub(super) writes: Vec<Option<Write>>,
    pub(super) reads: Vec<Read>,
    pub(super) last_write_number: u64,
    pub(super) last_read_number: u64,
    pub(super) observed: Observed,
    pub(super) outcomes: Outcomes,
}

/// Observations of all members, for the rules.
#[derive(Default)]
pub(super) struct Observed {
    /// Acknowledged writes by id, with index and outcome.
    pub(super) acked: BTreeMap<String, (u64, Outcome)>,
    pub(super) max_acked_index: u64,
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
        let bootstrapped = Node::bootstrap(disk.clone(), identity(1), &state);
        let mut world = World {
            script,
            draws: Pcg32::seed_from_u64(script.seed),
            now: 0,
            nodes: BTreeMap::new(),
            disks: [(1, disk)].into(),
            powered_off: BTreeMap::new(),
            stalled: BTreeMap::new(),
            start_counts: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            sent_count: 0,
            active_faults: Vec::new(),
            members: [1].into(),
            next_member: 2,
            pending_changes: Vec::new(),
            awaiting_promotion: BTreeSet::new(),
            accepted_changes: BTreeMap::new(),
            last_change_number: 0,
            rev: 1,
            drains: BTreeMap::new(),
            heard_revs: BTreeMap::new(),
            proxies: Vec::new(),
            serving: BTreeMap::new(),
            writes: (0..WRITERS).map(|_| None).collect(),
            reads: Vec::new(),
            last_write_number: 0,
            last_read_number: 0,
            observed: Observed::default(),
            outcomes: Outcomes::default(),
        };
        if let Err(problem) = bootstrapped {
            world.report_violation(Rule::Folder, format!("it could not be made: {problem}"));
        }
        world.start(1);
        world
    }

    pub(super) fn draw_below(&mut self, most: u64) -> u64 {
        u64::from(self.draws.next_u32()) % most.max(1)
    }

    pub(super) fn report_violation(&mut self, rule: Rule, detail: String) {
        if self.outcomes.violations.iter().all(|violation| violation.rule != rule) {
            self.outcomes.violations.push(Violation { rule, at: self.now, detail });
        }
    }

    pub(super) fn leader(&self) -> Option<MemberId> {
        let leading =
            self.nodes.iter().filter(|(id, node)| node.is_leader() && !self.stalled.contains_key(id));
        leading.map(|(id, node)| (node.term(), *id)).max().map(|(_, id)| id)
    }

    /// The member at a position, or the leader for 99.
    pub(super) fn member_at(&self, place: u64) -> MemberId {
        let members: Vec<MemberId> = self.members.iter().copied().collect();
        let at = members[place as usize % members.len()];
        if place == 99 { self.leader().unwrap_or(at) } else { at }
    }

    pub(super) fn start(&mut self, member: MemberId) {
        match Node::open(self.disks[&member].clone(), TUNING, self.script.seed) {
            Ok(node) => {
                self.nodes.insert(member, node);
                *self.start_counts.entry(member).or_default() += 1;
                let mut cache = Cache::new(0);
                cache.begin_update(0, 0);
                self.serving.insert(member, Serving { cache, served: None });
            }
            Err(NodeError::Disk(DiskError::File { .. })) => {
                // The disk is full or failed during the opening.
                self.disks[&member].fail_at(None);
                self.crash(member, self.now + REOPEN_TICKS);
            }
            Err(problem) => self.report_violation(Rule::Folder, format!("{member}: {problem}")),
        }
    }

    pub(super) fn bootstrap_cluster(&mut self) {
        for _ in 1..self.script.members {
            self.request_new_member();
        }
        for _ in 0..2_000 {
            self.tick(false);
            let voting = |node: &Node<Disk>| {
                node.state().is_some_and(|s| {
                    s.members.values().filter(|m| m.voter).count() as u64 == self.script.members
                })
            };
            if self.pending_changes.is_empty()
                && self.awaiting_promotion.is_empty()
                && self.nodes.values().all(voting)
            {
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
        self.in_flight.retain(|_, message| message.to != member);
        self.accepted_changes.remove(&member);
        self.powered_off.insert(member, until.max(self.now + 1));
    }
}
