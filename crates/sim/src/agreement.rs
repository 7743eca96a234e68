//! Several control instances in virtual time: the agreement's real members over disks that are cut off and links that
//! lose, delay and cut, with clients that repeat their writes, consistent readers, a discovery that drains, and proxies
//! that move between instances with their sessions. One seed gives one run; what is broken is judged as it happens, from
//! what the members applied and answered.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use runtrack_agree::command::{By, Commit, Endpoint, Listed};
use runtrack_agree::{
    Applied, Command, DiskError, Identity, MemberChange, MemberId, Node, NodeError, Outcome, Output,
    PeerMessage, Proposal, State, Tuning,
};
use runtrack_testkit::Disk;
use runtrack_xds::{Cache, Change, Kind, Limits, Request, Session};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

const TUNING: Tuning = Tuning { heartbeat: 1, election: 10, log_bytes: 6_000 };
/// Ticks in which all must be back after everything was healed.
const BACK: u64 = 3_000;
/// Ticks after which somebody without an answer asks elsewhere.
const ASKS: u64 = 25;
/// Ticks after which a member whose disk failed opens its folder again.
const REOPENS: u64 = 15;
/// Ticks after which a snapshot that was not fetched is offered again.
const OFFERS: u64 = 60;
/// Kinds of messages that answer one that stands, or would stand, for election, as the library numbers them.
const VOTES: [u32; 2] = [6, 18];
const POOL: &str = "p";
const ENDPOINTS: u64 = 5;
const WRITERS: usize = 3;
const PROXIES: usize = 2;

/// A run as data. Times are in ticks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Of every draw that the script leaves open.
    pub seed: u64,
    /// Members at the start.
    pub members: u64,
    /// How long before everything is healed.
    pub lasts: u64,
    /// A message takes from one to so many ticks.
    pub late: u64,
    /// What goes wrong, and what people do.
    pub faults: Vec<Fault>,
}

/// Something that happens at a tick, and may last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When.
    pub at: u64,
    /// For how long.
    pub lasts: u64,
    /// What.
    pub what: What,
}

/// What happens. Members are named by their place among those there are then; 99: whoever leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// It is cut off from all others.
    Cut(u64),
    /// What it sends is lost.
    Mute(u64),
    /// What is sent to it is lost.
    Deaf(u64),
    /// Of a hundred messages so many are lost, everywhere.
    Lossy(u64),
    /// Its power goes, with what was not synced.
    Crash(u64),
    /// An operation of its disk fails, so many from now.
    DiskFull(u64, u64),
    /// Its disk is cut off in the middle of an operation, so many from now, and its power goes.
    DiskCut(u64, u64),
    /// It stops, and goes on with what it believed.
    Stall(u64),
    /// Whoever has given a vote loses its power at once, every other time.
    Flicker,
    /// A member is removed.
    Remove(u64),
    /// A member is added, and promoted once it has caught up.
    Add,
    /// Leadership is handed over.
    Transfer(u64),
    /// An endpoint drains.
    Drain(u64),
    /// It hears nothing of discovery.
    Blind(u64),
    /// A proxy goes over to a member.
    Move(usize, u64),
}

impl What {
    /// The kind, for what came together with what.
    pub fn kind(&self) -> &'static str {
        match self {
            What::Cut(_) => "cut",
            What::Mute(_) => "mute",
            What::Deaf(_) => "deaf",
            What::Lossy(_) => "lossy",
            What::Crash(_) => "crash",
            What::DiskFull(..) => "disk full",
            What::DiskCut(..) => "disk cut",
            What::Stall(_) => "stall",
            What::Flicker => "flicker",
            What::Remove(_) => "remove",
            What::Add => "add",
            What::Transfer(_) => "transfer",
            What::Drain(_) => "drain",
            What::Blind(_) => "blind",
            What::Move(..) => "move",
        }
    }
}

/// The run of a seed.
pub fn script(seed: u64) -> Script {
    let mut draws = Pcg32::seed_from_u64(seed ^ 0xa9ee);
    let mut below = |most: u64| u64::from(draws.next_u32()) % most.max(1);
    let members = if below(3) == 0 { 5 } else { 3 };
    let lasts = 250 + below(250);
    let late = 1 + below(4);
    let mut faults = Vec::new();
    for _ in 0..2 + below(5) {
        let who = if below(2) == 0 { 99 } else { below(members) };
        let what = match below(18) {
            0 | 1 => What::Cut(who),
            2 => What::Mute(who),
            3 => What::Deaf(who),
            4 => What::Lossy(5 + below(40)),
            5..=7 => What::Crash(who),
            8 => What::DiskFull(who, below(12)),
            9 | 10 => What::DiskCut(who, below(12)),
            11 | 12 => What::Stall(who),
            13 => What::Remove(below(members)),
            14 => What::Add,
            15 => What::Transfer(below(members)),
            _ => What::Blind(who),
        };
        faults.push(Fault { at: 20 + below(lasts - 40), lasts: 10 + below(120), what });
    }
    if below(3) == 0 {
        let at = 20 + below(lasts - 40);
        faults.push(Fault { at, lasts: 60 + below(120), what: What::Flicker });
        faults.push(Fault { at: at + 5, lasts: 40, what: What::Cut(99) });
    }
    for _ in 0..1 + below(3) {
        faults.push(Fault { at: 20 + below(lasts - 40), lasts: 0, what: What::Drain(below(ENDPOINTS)) });
    }
    for _ in 0..below(4) {
        let what = What::Move(below(PROXIES as u64) as usize, below(members));
        faults.push(Fault { at: 20 + below(lasts - 40), lasts: 0, what });
    }
    faults.sort_by_key(|fault| fault.at);
    Script { seed, members, lasts, late, faults }
}

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Two lead in a term.
    Leaders,
    /// Two members applied different things under one index, or hold different states of one.
    Agreement,
    /// What was acknowledged is not there, or otherwise.
    Lost,
    /// A write took effect twice, or its repeat was answered otherwise.
    Twice,
    /// A consistent read missed what was acknowledged before it was asked.
    Stale,
    /// A drain was undone.
    Undrained,
    /// A proxy went back.
    Back,
    /// One that was removed is answered.
    Removed,
    /// Two changes of members at once.
    Changes,
    /// A folder can't be opened again.
    Folder,
    /// After healing it does not come back.
    Return,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// When, in ticks.
    pub at: u64,
    /// What shows it.
    pub why: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?} at tick {}: {}", self.rule, self.at, self.why)
    }
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Broken rules, the first of each.
    pub breaches: Vec<Breach>,
    /// Writes and reads that were answered.
    pub answered: u64,
    /// The last index.
    pub index: u64,
    /// A hash over all that was applied: equal runs have equal ones.
    pub hash: u64,
}

/// A write on its way.
struct Write {
    proposal: Proposal,
    at: MemberId,
    asked: u64,
}

struct Read {
    number: u64,
    at: MemberId,
    /// What had been acknowledged before it was asked.
    least: u64,
    asked: u64,
}

/// What an instance serves to proxies.
struct Serving {
    cache: Cache,
    served: Option<(u64, u64)>,
}

struct Proxy {
    at: MemberId,
    /// The instance's run that the session belongs to.
    run: u64,
    session: Session,
    /// The version of clusters that it holds, and its index; the serial that it says.
    held: (String, u64, u64),
    draining: BTreeSet<String>,
}

struct World<'a> {
    script: &'a Script,
    draws: Pcg32,
    now: u64,
    nodes: BTreeMap<MemberId, Node<Disk>>,
    disks: BTreeMap<MemberId, Disk>,
    /// Those that are off until a tick.
    off: BTreeMap<MemberId, u64>,
    stalled: BTreeMap<MemberId, u64>,
    runs: BTreeMap<MemberId, u64>,
    wire: BTreeMap<(u64, u64), PeerMessage>,
    sent: u64,
    /// Until when which messages are lost.
    cuts: Vec<(What, MemberId, u64)>,
    members: BTreeSet<MemberId>,
    next_member: MemberId,
    wanted: Vec<MemberChange>,
    promote: BTreeSet<MemberId>,
    accepted: BTreeMap<MemberId, (String, u64)>,
    changed: u64,
    rev: u64,
    drains: BTreeMap<String, u64>,
    heard: BTreeMap<MemberId, u64>,
    proxies: Vec<Proxy>,
    serving: BTreeMap<MemberId, Serving>,
    writes: Vec<Option<Write>>,
    reads: Vec<Read>,
    numbers: u64,
    last_number: u64,
    /// What was acknowledged: by id, its index and outcome; and the highest index.
    acked: BTreeMap<String, (u64, Outcome)>,
    acked_to: u64,
    applied: BTreeMap<u64, Applied>,
    effects: BTreeMap<String, u64>,
    leaders: BTreeMap<u64, MemberId>,
    drained: BTreeMap<String, u64>,
    snapshots: BTreeMap<u64, u64>,
    outcomes: Outcomes,
}

fn identity(member: MemberId) -> Identity {
    let text = |what: &str| format!("{what}-{member}");
    Identity { lineage: "l".to_owned(), member, ticket: text("t"), folder: text("f"), others: Vec::new() }
}

fn fnv(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Plays a run. A member that panics has noticed that something was lost.
pub fn run(script: &Script) -> Outcomes {
    std::panic::catch_unwind(|| play(script)).unwrap_or_else(|problem| {
        let words = problem.downcast_ref::<String>().cloned();
        let words = words.or_else(|| problem.downcast_ref::<&str>().map(|words| (*words).to_owned()));
        let why = format!("a member panicked: {}", words.unwrap_or_else(|| "with no word".to_owned()));
        Outcomes { breaches: vec![Breach { rule: Rule::Lost, at: 0, why }], ..Outcomes::default() }
    })
}

fn play(script: &Script) -> Outcomes {
    let mut world = World::new(script);
    world.build_up();
    let began = world.now;
    let mut faults = script.faults.iter();
    let mut next = faults.next();
    while world.now < began + script.lasts && world.outcomes.breaches.is_empty() {
        while let Some(fault) = next.filter(|fault| fault.at + began <= world.now) {
            world.fault(fault);
            next = faults.next();
        }
        world.turn(true);
    }
    if world.outcomes.breaches.is_empty() {
        world.come_back();
    }
    let World { mut outcomes, applied, .. } = world;
    outcomes.index = applied.last_key_value().map_or(0, |(index, _)| *index);
    outcomes.hash = applied.values().fold(0, |hash, applied| fnv(hash, format!("{applied:?}").as_bytes()));
    outcomes
}

impl World<'_> {
    fn new(script: &Script) -> World<'_> {
        let disk = Disk::default();
        let state = State::new("l", 7, "m1", "a1", "f-1");
        let made = Node::found(disk.clone(), identity(1), &state);
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
            acked: BTreeMap::new(),
            acked_to: 0,
            applied: BTreeMap::new(),
            effects: BTreeMap::new(),
            leaders: BTreeMap::new(),
            drained: BTreeMap::new(),
            snapshots: BTreeMap::new(),
            outcomes: Outcomes::default(),
        };
        if let Err(problem) = made {
            world.breach(Rule::Folder, format!("it could not be made: {problem}"));
        }
        world.start(1);
        world
    }

    fn below(&mut self, most: u64) -> u64 {
        u64::from(self.draws.next_u32()) % most.max(1)
    }

    fn breach(&mut self, rule: Rule, why: String) {
        if self.outcomes.breaches.iter().all(|breach| breach.rule != rule) {
            self.outcomes.breaches.push(Breach { rule, at: self.now, why });
        }
    }

    fn start(&mut self, member: MemberId) {
        match Node::open(self.disks[&member].clone(), TUNING, self.script.seed) {
            Ok(node) => {
                self.nodes.insert(member, node);
                *self.runs.entry(member).or_default() += 1;
                let mut cache = Cache::new(0);
                cache.move_to(0, 0);
                self.serving.insert(member, Serving { cache, served: None });
            }
            Err(NodeError::Disk(DiskError::File { .. })) => {
                // It is full, or has been cut off while it was opened.
                self.disks[&member].fail(None);
                self.crash(member, self.now + REOPENS);
            }
            Err(problem) => self.breach(Rule::Folder, format!("{member}: {problem}")),
        }
    }

    fn build_up(&mut self) {
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

    fn add(&mut self) {
        let member = self.next_member;
        self.next_member += 1;
        let identity = identity(member);
        let change = MemberChange::Add {
            member,
            name: format!("m{member}"),
            address: format!("a{member}"),
            ticket: identity.ticket,
        };
        self.wanted.push(change);
    }

    fn leader(&self) -> Option<MemberId> {
        let leading = self.nodes.iter().filter(|(id, node)| node.leads() && !self.stalled.contains_key(id));
        leading.map(|(id, node)| (node.term(), *id)).max().map(|(_, id)| id)
    }

    /// A member by its place, or whoever leads.
    fn who(&self, place: u64) -> MemberId {
        let members: Vec<MemberId> = self.members.iter().copied().collect();
        let at = members[place as usize % members.len()];
        if place == 99 { self.leader().unwrap_or(at) } else { at }
    }

    fn fault(&mut self, fault: &Fault) {
        let until = self.now + fault.lasts;
        match fault.what {
            What::Cut(who) | What::Mute(who) | What::Deaf(who) | What::Blind(who) => {
                self.cuts.push((fault.what.clone(), self.who(who), until));
            }
            What::Lossy(_) | What::Flicker => self.cuts.push((fault.what.clone(), 0, until)),
            What::Crash(who) => self.crash(self.who(who), until),
            What::DiskFull(who, operations) | What::DiskCut(who, operations) => {
                let (who, dead) = (self.who(who), matches!(fault.what, What::DiskCut(..)));
                let disk = &self.disks[&who];
                disk.fail(Some((disk.done() + operations as usize, dead)));
            }
            What::Stall(who) => drop(self.stalled.insert(self.who(who), until)),
            What::Remove(who) if self.members.len() > 3 => {
                let member = self.who(who);
                self.wanted.push(MemberChange::Remove { member });
            }
            What::Remove(_) => {}
            What::Add if self.members.len() < 6 => self.add(),
            What::Add => {}
            What::Transfer(to) => {
                let to = self.who(to);
                if let Some(node) = self.leader().and_then(|leader| self.nodes.get_mut(&leader)) {
                    node.transfer(to);
                }
            }
            What::Drain(endpoint) => {
                self.rev += 1;
                self.drains.entry(format!("e{endpoint}")).or_insert(self.rev);
            }
            What::Move(proxy, to) => self.proxies[proxy].at = self.who(to),
        }
    }

    fn crash(&mut self, member: MemberId, until: u64) {
        self.nodes.remove(&member);
        let left = self.disks[&member].after_cut(&mut self.draws);
        self.disks.insert(member, left);
        self.wire.retain(|_, message| message.to != member);
        self.accepted.remove(&member);
        self.off.insert(member, until.max(self.now + 1));
    }

    fn lost(&mut self, message: &PeerMessage) -> bool {
        let now = self.now;
        self.cuts.retain(|(_, _, until)| *until > now);
        let (from, to) = (message.from, message.to);
        let cut = self.cuts.iter().any(|(what, who, _)| match what {
            What::Cut(_) => *who == from || *who == to,
            What::Mute(_) => *who == from,
            What::Deaf(_) => *who == to,
            _ => false,
        });
        let share = self
            .cuts
            .iter()
            .find_map(|(what, ..)| if let What::Lossy(share) = what { Some(*share) } else { None });
        cut || share.is_some_and(|share| self.below(100) < share)
    }

    /// One tick of all members, and what comes of it.
    fn turn(&mut self, people: bool) {
        self.now += 1;
        let now = self.now;
        for member in self
            .off
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(member, _)| *member)
            .collect::<Vec<_>>()
        {
            self.off.remove(&member);
            self.start(member);
        }
        self.stalled.retain(|_, until| *until > now);
        let awake: Vec<MemberId> =
            self.nodes.keys().copied().filter(|id| !self.stalled.contains_key(id)).collect();
        for member in &awake {
            if let Some(node) = self.nodes.get_mut(member) {
                node.tick();
            }
        }
        // What is due reaches who is awake; a stalled member's messages wait for it.
        let due: Vec<(u64, u64)> = self.wire.range(..(now + 1, 0)).map(|(key, _)| *key).collect();
        for key in due {
            let Some(message) = self.wire.get(&key) else { continue };
            if self.stalled.contains_key(&message.to) {
                continue;
            }
            let message = self.wire.remove(&key);
            if let Some((message, node)) =
                message.and_then(|m| Some((self.nodes.get_mut(&m.to)?, m))).map(|(n, m)| (m, n))
            {
                node.step(message);
            }
        }
        if self.now.is_multiple_of(OFFERS) {
            for node in self.nodes.values_mut().filter(|node| node.leads()) {
                let fetching: Vec<MemberId> = node
                    .standing()
                    .peers
                    .iter()
                    .filter(|(_, peer)| peer.snapshot)
                    .map(|(id, _)| *id)
                    .collect();
                fetching.into_iter().for_each(|member| node.offer_again(member));
            }
        }
        self.change_members();
        if people {
            self.work(&awake);
        }
        self.discover(&awake);
        for member in awake {
            self.drive(member);
        }
        self.serve();
    }

    fn drive(&mut self, member: MemberId) {
        let Some(node) = self.nodes.get_mut(&member) else { return };
        let removed: BTreeSet<MemberId> =
            node.state().map(|state| state.removed.keys().copied().collect()).unwrap_or_default();
        let Output { messages, applied, reads, fetch, .. } = match node.drive() {
            Ok(output) => output,
            Err(_) => {
                // The disk failed, for now or for good.
                let disk = self.disks[&member].clone();
                disk.fail(None);
                let dead = self.below(2) == 0;
                match dead {
                    true => self.crash(member, self.now + REOPENS),
                    false => {
                        self.nodes.remove(&member);
                        self.accepted.remove(&member);
                        self.off.insert(member, self.now + REOPENS);
                    }
                }
                return;
            }
        };
        if node.leads() {
            let term = node.term();
            let first = *self.leaders.entry(term).or_insert(member);
            if first != member {
                self.breach(Rule::Leaders, format!("{first} and {member} lead in term {term}"));
            }
        }
        let flickers = self.cuts.iter().any(|(what, _, until)| *what == What::Flicker && *until > self.now);
        let voted = flickers && messages.iter().any(|message| message.kind == VOTES[0] && !message.reject);
        for message in messages {
            // A read that it asked while it was one may be answered; its vote may not.
            if VOTES.contains(&message.kind) && removed.contains(&message.to) {
                let why = format!("{member} answers {}, which was removed: {message:?}", message.to);
                self.breach(Rule::Removed, why);
            }
            if !self.lost(&message) {
                let due = self.now + 1 + self.below(self.script.late);
                self.sent += 1;
                self.wire.insert((due, self.sent), message);
            }
        }
        self.took(member, applied);
        self.answer(member, &reads);
        if voted && self.below(2) == 0 {
            return self.crash(member, self.now + 1);
        }
        if let Some(fetch) = fetch {
            let reaches = !self.cuts.iter().any(|(what, who, _)| {
                matches!(what, What::Cut(_)) && (*who == member || *who == fetch.from)
            });
            let from =
                self.nodes.get(&fetch.from).filter(|from| reaches && *from.snapshot() == fetch.place);
            let text = from.and_then(|from| from.snapshot_text().ok()?);
            let Some(node) = self.nodes.get_mut(&member) else { return };
            let well = match text {
                Some(text) => node.fetched(text),
                None => {
                    node.not_fetched();
                    true
                }
            };
            if !well {
                self.breach(
                    Rule::Agreement,
                    format!("{member} was given another snapshot than it was offered"),
                );
            }
        }
    }

    /// What a member applied.
    fn took(&mut self, member: MemberId, applied: Vec<Applied>) {
        for one in applied {
            if let Some(before) = self.applied.get(&one.index) {
                if *before != one {
                    self.breach(
                        Rule::Agreement,
                        format!("entry {}: {before:?} and, at {member}, {one:?}", one.index),
                    );
                }
                continue;
            }
            let effect = one.outcome.is_done() && one.effects != runtrack_agree::Effects::default();
            let first = if effect && !one.id.is_empty() {
                self.effects.insert(one.id.clone(), one.index)
            } else {
                None
            };
            if let Some(first) = first {
                self.breach(Rule::Twice, format!("{} took effect at {first} and at {}", one.id, one.index));
            }
            self.applied.insert(one.index, one);
        }
        let Some(state) = self.nodes.get(&member).and_then(Node::state) else { return };
        // Equal indices, equal states, to the byte; now and then, since it costs.
        let index = state.index;
        let drained: Vec<(String, bool)> = state
            .pools
            .get(POOL)
            .into_iter()
            .flat_map(|pool| &pool.endpoints)
            .map(|(uid, endpoint)| (uid.clone(), endpoint.draining))
            .collect();
        let hash = index.is_multiple_of(8).then(|| fnv(0, state.snapshot().as_bytes()));
        if let Some(hash) = hash
            && *self.snapshots.entry(index).or_insert(hash) != hash
        {
            self.breach(
                Rule::Agreement,
                format!("{member} holds another state of index {index} than the first did"),
            );
        }
        for (uid, draining) in drained {
            match self.drained.get(&uid) {
                Some(at) if index >= *at && !draining => {
                    let why =
                        format!("{uid} drained at index {at}, and at {index} {member} holds it for ready");
                    self.breach(Rule::Undrained, why);
                }
                None if draining => drop(self.drained.insert(uid, index)),
                _ => {}
            }
        }
    }

    // ---- members ----

    fn change_members(&mut self) {
        let Some(leader) = self.leader() else { return };
        // What it accepted is over once it has applied it, or leads no more.
        let term = self.nodes[&leader].term();
        let open = self.accepted.get(&leader).filter(|(id, of)| {
            *of == term && self.nodes[&leader].state().is_some_and(|state| state.outcome(id).is_none())
        });
        let open = open.map(|(id, _)| id.clone());
        let mut done = Vec::new();
        let wanted: Vec<MemberChange> = self.wanted.clone();
        for (n, change) in wanted.iter().enumerate() {
            let member = change.member();
            let there = self.nodes[&leader].state().is_some_and(|state| match change {
                MemberChange::Remove { .. } => state.removed.contains_key(&member),
                _ => state.members.contains_key(&member),
            });
            if there {
                done.push(n);
                continue;
            }
            self.changed += 1;
            let id = format!("c{}", self.changed);
            self.offer(leader, term, &id, change, open.as_deref());
        }
        for n in done.into_iter().rev() {
            let change = self.wanted.remove(n);
            match change {
                MemberChange::Add { member, .. } => self.join(member),
                MemberChange::Remove { member } => drop(self.members.remove(&member)),
                MemberChange::Promote { .. } => {}
            }
        }
        for member in self.promote.clone() {
            let state = self.nodes[&leader].state();
            if state.is_none_or(|state| state.members.get(&member).is_none_or(|m| m.voter)) {
                self.promote.remove(&member);
                continue;
            }
            if state.is_some_and(|state| state.members[&member].folder.is_none()) {
                let identity = identity(member);
                let seen = Command::Seen { member, ticket: identity.ticket, folder: identity.folder };
                self.numbers += 1;
                let proposal = Proposal { id: format!("s{}", self.numbers), command: seen };
                if self.now.is_multiple_of(10)
                    && let Some(node) = self.nodes.get_mut(&leader)
                {
                    let _ = node.propose(&proposal); // it is said again
                }
                continue;
            }
            self.changed += 1;
            let id = format!("c{}", self.changed);
            self.offer(leader, term, &id, &MemberChange::Promote { member }, open.as_deref());
        }
    }

    fn offer(&mut self, leader: MemberId, term: u64, id: &str, change: &MemberChange, open: Option<&str>) {
        if !self.now.is_multiple_of(5) {
            return;
        }
        let Some(node) = self.nodes.get_mut(&leader) else { return };
        if let Err(why) = node.change_members(id, change) {
            // One that leads is not removed: somebody else is to lead first.
            if matches!(change, MemberChange::Remove { member } if *member == leader)
                && why.contains("transfer")
            {
                let voting = |id: &&MemberId| **id != leader && !self.off.contains_key(*id);
                if let Some(to) = self.members.iter().find(voting) {
                    node.transfer(*to);
                }
            }
            return;
        }
        if let Some(open) = open {
            self.breach(Rule::Changes, format!("{leader} took {change:?} while {open} was under way"));
        }
        self.accepted.insert(leader, (id.to_owned(), term));
    }

    fn join(&mut self, member: MemberId) {
        let disk = Disk::default();
        if let Err(problem) = Node::join(disk.clone(), identity(member)) {
            self.breach(Rule::Folder, format!("{member}: {problem}"));
        }
        self.disks.insert(member, disk);
        self.members.insert(member);
        self.promote.insert(member);
        self.start(member);
    }

    // ---- people ----

    fn work(&mut self, awake: &[MemberId]) {
        if awake.is_empty() {
            return;
        }
        for writer in 0..WRITERS {
            let write = self.writes[writer].take();
            let write = match write {
                Some(write) => self.go_on(write, awake),
                None if self.below(4) == 0 => {
                    let at = awake[self.below(awake.len() as u64) as usize];
                    self.numbers += 1;
                    let id = format!("w{writer}-{}", self.numbers);
                    let state = self.nodes[&at].state();
                    let command = match self.numbers % 3 {
                        0 => state.map(|state| commit(state, self.numbers)),
                        n => {
                            let uid = format!("h{}", self.numbers % 4);
                            Some(Command::Hold {
                                pool: "h".to_owned(),
                                uid,
                                held: n == 1,
                                by: By::default(),
                            })
                        }
                    };
                    command.map(|command| Write { proposal: Proposal { id, command }, at, asked: 0 })
                }
                None => None,
            };
            self.writes[writer] = write.map(|mut write| {
                if write.asked == 0 {
                    write.asked = self.now;
                    if let Some(node) = self.nodes.get_mut(&write.at) {
                        let _ = node.propose(&write.proposal); // it is asked again elsewhere
                    }
                }
                write
            });
        }
        if self.below(3) == 0 {
            let at = awake[self.below(awake.len() as u64) as usize];
            self.last_number += 1;
            let (number, least, asked) = (self.last_number, self.acked_to, self.now);
            if let Some(node) = self.nodes.get_mut(&at) {
                node.read(number);
            }
            self.reads.push(Read { number, at, least, asked });
            self.reads.retain(|read| read.asked + 4 * ASKS > asked);
        }
    }

    /// Looks whether a write is answered where it was asked, or asks elsewhere with the same id.
    fn go_on(&mut self, mut write: Write, awake: &[MemberId]) -> Option<Write> {
        let state = self
            .nodes
            .get(&write.at)
            .filter(|_| !self.stalled.contains_key(&write.at))
            .and_then(Node::state);
        let answer = state
            .and_then(|state| state.outcome(&write.proposal.id))
            .map(|(index, outcome)| (index, outcome.clone()));
        if let Some((index, outcome)) = answer {
            self.outcomes.answered += 1;
            self.acked_to = self.acked_to.max(index);
            // A refusal must be one: nothing of it may have been done.
            if !outcome.is_done()
                && let Some(first) = self.effects.get(&write.proposal.id)
            {
                let why =
                    format!("{} took effect at {first} and was answered {outcome:?}", write.proposal.id);
                self.breach(Rule::Twice, why);
            }
            self.acked.insert(write.proposal.id, (index, outcome));
            return None;
        }
        if self.now > write.asked + ASKS && !awake.is_empty() {
            write.at = awake[self.below(awake.len() as u64) as usize];
            write.asked = 0;
        }
        Some(write)
    }

    fn answer(&mut self, member: MemberId, numbers: &[u64]) {
        let Some(index) = self.nodes.get(&member).and_then(Node::state).map(|state| state.index) else {
            return;
        };
        for number in numbers {
            let Some(n) = self.reads.iter().position(|read| read.number == *number && read.at == member)
            else {
                continue;
            };
            let read = self.reads.swap_remove(n);
            self.outcomes.answered += 1;
            if index < read.least {
                let why = format!(
                    "{member} answered a read from index {index}, and {} had been acknowledged before",
                    read.least
                );
                self.breach(Rule::Stale, why);
            }
        }
    }

    // ---- discovery ----

    fn discover(&mut self, awake: &[MemberId]) {
        for member in awake {
            let blind = self.cuts.iter().any(|(what, who, until)| {
                matches!(what, What::Blind(_)) && who == member && *until > self.now
            });
            if blind || self.below(6) != 0 {
                continue;
            }
            let before = self.heard.insert(*member, self.rev).unwrap_or(0);
            let news: Vec<(String, u64)> = self
                .drains
                .iter()
                .filter(|(_, rev)| **rev > before)
                .map(|(uid, rev)| (uid.clone(), *rev))
                .collect();
            for (uid, rev) in news {
                self.propose(*member, Command::Draining { pool: POOL.to_owned(), uid, boot_ms: 1, rev });
            }
        }
        let Some(leader) = self.leader().filter(|_| self.now.is_multiple_of(7)) else { return };
        let rev = self.heard.get(&leader).copied().unwrap_or(1);
        // It tells what it has heard, though others may have heard more.
        let endpoint = |n: u64| {
            let uid = format!("e{n}");
            let draining = self.drains.get(&uid).is_some_and(|at| *at <= rev);
            (uid, Some(Endpoint { said: "x".to_owned(), draining, boot_ms: 1 }))
        };
        let endpoints = (0..ENDPOINTS).map(endpoint).collect();
        let listed = Listed { pool: POOL.to_owned(), rev, whole: true, settled: false, endpoints };
        self.propose(leader, Command::Listed(listed));
    }

    fn propose(&mut self, at: MemberId, command: Command) {
        if let Some(node) = self.nodes.get_mut(&at) {
            let _ = node.propose(&Proposal { id: String::new(), command }); // nobody waits for it
        }
    }

    // ---- proxies ----

    fn serve(&mut self) {
        let now = Duration::from_secs(self.now);
        for (member, serving) in &mut self.serving {
            let Some(state) = self.nodes.get(member).and_then(Node::state) else { continue };
            if serving.served == Some((state.epoch, state.served)) {
                continue;
            }
            serving.served = Some((state.epoch, state.served));
            let draining: Vec<String> = state
                .pools
                .get(POOL)
                .into_iter()
                .flat_map(|pool| &pool.endpoints)
                .filter(|(_, e)| e.draining)
                .map(|(uid, _)| uid.clone())
                .collect();
            let text = format!("serial {} draining {}", state.serial(), draining.join(","));
            serving.cache.move_to(state.epoch, state.served);
            serving
                .cache
                .apply(now, [Change::Set(Kind::Cluster, "c".to_owned(), text.into_bytes().into())]);
            serving.cache.settle();
        }
        for n in 0..self.proxies.len() {
            self.poll(n, now);
        }
    }

    fn poll(&mut self, n: usize, now: Duration) {
        let proxy = &mut self.proxies[n];
        let (Some(serving), Some(run)) = (self.serving.get(&proxy.at), self.runs.get(&proxy.at).copied())
        else {
            return;
        };
        if !self.nodes.contains_key(&proxy.at) || self.stalled.contains_key(&proxy.at) {
            return;
        }
        let stream = (proxy.at << 32) | run;
        if proxy.run != stream {
            proxy.run = stream;
            proxy.session = Session::new(format!("p{n}"), n % 2 == 1, None, Limits::default());
            let mut request = Request { type_url: Kind::Cluster.url().to_owned(), ..Request::default() };
            match (n % 2 == 1, proxy.held.0.is_empty()) {
                (_, true) => {}
                (true, false) => {
                    drop(request.initial_versions.insert("c".to_owned(), proxy.held.0.clone()))
                }
                (false, false) => request.version = proxy.held.0.clone(),
            }
            let _ = proxy.session.request(&serving.cache, now, request); // a refusal shows as a proxy that is told nothing
        }
        while let Ok(Some(response)) = proxy.session.poll(&serving.cache, now) {
            let text = response
                .resources
                .iter()
                .map(|bytes| String::from_utf8_lossy(bytes).into_owned())
                .collect::<String>();
            let number = |after: &str| {
                let from = text.find(after).map_or(text.len(), |at| at + after.len());
                text[from..]
                    .chars()
                    .take_while(char::is_ascii_digit)
                    .collect::<String>()
                    .parse::<u64>()
                    .unwrap_or(0)
            };
            let index: u64 = response
                .version
                .split('.')
                .nth(1)
                .and_then(|i| i.split('-').next()?.parse().ok())
                .unwrap_or(0);
            let serial = number("serial ");
            let draining: BTreeSet<String> = text
                .rsplit("draining ")
                .next()
                .into_iter()
                .flat_map(|list| list.split(','))
                .map(|uid| uid.chars().take_while(char::is_ascii_alphanumeric).collect())
                .filter(|uid: &String| !uid.is_empty())
                .collect();
            let (was, old, before) = (proxy.held.0.clone(), proxy.held.1, proxy.held.2);
            let back = index < old || serial < before || !proxy.draining.is_subset(&draining);
            // As the incremental variant names it, or the whole.
            let held = match n % 2 == 1 {
                true => format!("7.{index}-0"),
                false => response.version.clone(),
            };
            proxy.held = (held, index, serial);
            proxy.draining = draining;
            let ack = Request {
                type_url: Kind::Cluster.url().to_owned(),
                nonce: response.nonce.clone(),
                version: response.version.clone(),
                ..Request::default()
            };
            let _ = proxy.session.request(&serving.cache, now, ack);
            let at = proxy.at;
            if back {
                let why = format!(
                    "proxy {n} held {was} (serial {before}) and was told {} (serial {serial}) by {at}",
                    response.version
                );
                self.breach(Rule::Back, why);
                return;
            }
        }
    }

    // ---- the end ----

    fn come_back(&mut self) {
        self.cuts.clear();
        self.stalled.clear();
        for until in self.off.values_mut() {
            *until = 0;
        }
        self.disks.values().for_each(|disk| disk.fail(None));
        let end = self.now + BACK;
        let mut open = Vec::new();
        while self.now < end && self.outcomes.breaches.is_empty() {
            let awake: Vec<MemberId> = self.nodes.keys().copied().collect();
            // Writes under way are seen to their ends.
            open = std::mem::take(&mut self.writes);
            let (mut left, mut waiting) = (Vec::new(), 0);
            for write in open.drain(..) {
                let write = write.and_then(|write| self.go_on(write, &awake));
                left.push(write.map(|mut write| {
                    waiting += 1;
                    if write.asked == 0 {
                        write.asked = self.now;
                        if let Some(node) = self.nodes.get_mut(&write.at) {
                            let _ = node.propose(&write.proposal);
                        }
                    }
                    write
                }));
            }
            self.writes = left;
            self.turn(false);
            let leader = self.leader();
            let applied = |id: &MemberId| self.nodes.get(id).and_then(Node::state).map(|state| state.index);
            let there = leader.and_then(|leader| self.nodes[&leader].state());
            let members: Vec<MemberId> =
                there.map(|state| state.members.keys().copied().collect()).unwrap_or_default();
            let same = !members.is_empty()
                && members.iter().all(|id| applied(id).is_some() && applied(id) == applied(&members[0]));
            let quiet =
                waiting == 0 && self.wanted.is_empty() && self.promote.is_empty() && self.off.is_empty();
            if same && quiet {
                return self.look_at_the_end(&members);
            }
        }
        drop(open);
        if self.outcomes.breaches.is_empty() {
            let standings: Vec<String> =
                self.nodes.iter().map(|(id, node)| format!("{id}: {:?}", node.standing())).collect();
            self.breach(Rule::Return, standings.join("; "));
        }
    }

    fn look_at_the_end(&mut self, members: &[MemberId]) {
        let states: Vec<(MemberId, Arc<State>)> =
            members.iter().filter_map(|id| Some((*id, self.nodes.get(id)?.shared_state()?))).collect();
        for (member, state) in &states {
            for (id, (index, outcome)) in &self.acked.clone() {
                let found = state.outcome(id);
                if found != Some((*index, outcome)) {
                    let why =
                        format!("{id} was answered {outcome:?} at {index}, and {member} has {found:?}");
                    self.breach(Rule::Lost, why);
                }
            }
        }
        if states.windows(2).any(|pair| pair[0].1.snapshot() != pair[1].1.snapshot()) {
            self.breach(Rule::Agreement, "equal logs, unequal states".to_owned());
        }
    }
}

/// A version on top of the one that a state has.
fn commit(state: &State, number: u64) -> Command {
    let parent = state.current().map(|version| version.hash.clone()).unwrap_or_default();
    Command::Commit(Commit {
        on: state.serial(),
        parent,
        text: format!("{number}"),
        by: By::default(),
        plan: String::new(),
        stages: Vec::new(),
        pause_ms: 0,
    })
}

/// Errors planted for this world, and what they do.
pub const MUTANTS: [(&str, &str); 9] = [
    ("vote-unsynced", "a vote is given before it is durable"),
    ("entry-unsynced", "an entry is acknowledged before it is durable"),
    ("stale-read", "a leader answers consistent reads from what it believes"),
    ("lone-read", "any instance does"),
    ("snapshot-forgets-writes", "a snapshot forgets which writes were done"),
    ("removed-votes", "one that was removed is still answered"),
    ("two-changes", "a second change of members is taken while one is under way"),
    ("goes-back", "a proxy that moves is told what is older"),
    ("undrained", "an instance that was away takes a drain back"),
];
