//! The replicated state: commands go in by their index in the log, outcomes and effects come out. No I/O, no clock, no
//! hash order: equal logs give equal states, to the byte of their snapshots.

use crate::command::{
    Command, Commit, Endpoint, MAX_WRITE_ID_BYTES, MemberChange, MemberId, Outcome, PoolUpdate, Proposal,
    RolloutAction, RolloutStep,
};
use runtrack_net::mutant;
use runtrack_store::{MAX_VERSIONS, Version, seal};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Outcomes remembered for repeats. A client repeats for minutes at most; this many writes take longer.
pub const MAX_OUTCOMES: usize = 4_096;
/// Bytes of versions' texts that are kept: beyond it the oldest go, but for those that are in use.
pub const MAX_TEXT_BYTES: usize = 64 << 20;
/// Members, learners included. Each one costs the leader a stream and the log a copy.
pub const MAX_MEMBERS: usize = 16;
/// Removed members that are remembered, so that they can be told.
const REMOVED_MOST: usize = 1_000;
/// Longest name of a member, pool or endpoint, in bytes.
const NAME_MOST: usize = 256;

/// A member of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its name, for people.
    pub name: String,
    /// Where other members reach it.
    pub address: String,
    /// Whether it votes.
    pub voter: bool,
    /// What its folder must show once.
    pub ticket: String,
    /// Its folder's own random number, once it has shown itself.
    pub folder: Option<String>,
}

/// One that was a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RemovedMember {
    /// Its name.
    pub name: String,
    /// The index of its removal.
    pub index: u64,
}

/// A roll-out under way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The version.
    pub serial: u64,
    /// The one that proxies have until they get it.
    pub from: u64,
    /// The stage that it is in, from 0.
    pub stage: usize,
    /// Why it goes no further, until somebody says so.
    pub halted: Option<String>,
}

/// What is listed of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The version of discovery's list.
    pub rev: u64,
    /// Endpoints by uid.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// Of those that drain, the version of the list that said so.
    pub drained_at: BTreeMap<String, u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Answered {
    id: String,
    outcome: Outcome,
}

/// Everything that is agreed. A clone shares what is large.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Made once, with the cluster.
    pub lineage: String,
    /// Orders the versions that proxies are told after those of earlier lineages; made with the lineage.
    pub epoch: u64,
    /// The last index that was applied.
    pub index: u64,
    /// The last index that may change what proxies are told.
    pub served: u64,
    /// Versions of the fleet, the newest last.
    pub versions: Vec<Version>,
    texts: BTreeMap<u64, Arc<str>>,
    /// The roll-out under way.
    pub rollout: Option<Rollout>,
    /// Pools that follow discovery.
    pub pools: BTreeMap<String, Arc<Pool>>,
    /// Endpoints that somebody holds back, by pool and uid.
    pub held: BTreeSet<(String, String)>,
    /// Members by number.
    pub members: BTreeMap<MemberId, Member>,
    /// Those that were members, by number.
    pub removed: BTreeMap<MemberId, RemovedMember>,
    next_member: MemberId,
    answered: Arc<BTreeMap<u64, Answered>>,
}

/// What a command has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effects {
    /// The fleet's current version.
    pub version: bool,
    /// The roll-out.
    pub rollout: bool,
    /// What is listed, held or drains.
    pub pools: bool,
    /// The members.
    pub members: bool,
}

impl Effects {
    /// Whether what proxies are told may change.
    pub fn affects_proxies(&self) -> bool {
        self.version || self.rollout || self.pools
    }

    /// Both together.
    pub fn union(self, other: Effects) -> Effects {
        Effects {
            version: self.version | other.version,
            rollout: self.rollout | other.rollout,
            pools: self.pools | other.pools,
            members: self.members | other.members,
        }
    }
}

const VERSION: Effects = Effects { version: true, rollout: true, pools: false, members: false };
const ROLLOUT: Effects = Effects { version: false, rollout: true, pools: false, members: false };
const POOLS: Effects = Effects { version: false, rollout: false, pools: true, members: false };
const MEMBERS: Effects = Effects { version: false, rollout: false, pools: false, members: true };

type Applied = (Outcome, Effects);

fn refused(why: impl Into<String>) -> Applied {
    (Outcome::Refused(why.into()), Effects::default())
}

impl State {
    /// A new cluster of one member, whose folder has this random number.
    pub fn new(lineage: &str, epoch: u64, name: &str, address: &str, folder: &str) -> State {
        let member = Member {
            name: name.to_owned(),
            address: address.to_owned(),
            voter: true,
            ticket: String::new(),
            folder: Some(folder.to_owned()),
        };
        State {
            lineage: lineage.to_owned(),
            epoch,
            index: 0,
            served: 0,
            versions: Vec::new(),
            texts: BTreeMap::new(),
            rollout: None,
            pools: BTreeMap::new(),
            held: BTreeSet::new(),
            members: [(1, member)].into(),
            removed: BTreeMap::new(),
            next_member: 2,
            answered: Arc::default(),
        }
    }

    /// With the versions that a state of one instance had, the newest last; of those whose text is not given nothing is
    /// kept.
    pub fn with_versions(mut self, versions: impl IntoIterator<Item = (Version, String)>) -> State {
        for (version, text) in versions {
            self.texts.insert(version.serial, text.into());
            self.versions.push(version);
        }
        self.trim();
        self
    }

    /// The number that the next new member gets.
    pub fn next_member(&self) -> MemberId {
        self.next_member
    }

    /// The current version.
    pub fn current(&self) -> Option<&Version> {
        self.versions.last()
    }

    /// The serial of the current version; 0 before the first.
    pub fn serial(&self) -> u64 {
        self.current().map_or(0, |version| version.serial)
    }

    /// A version's text, if it is still kept.
    pub fn text(&self, serial: u64) -> Option<&str> {
        self.texts.get(&serial).map(AsRef::as_ref)
    }

    /// What came of the write of this id, if that is known, and at which index.
    pub fn outcome(&self, id: &str) -> Option<(u64, &Outcome)> {
        if id.is_empty() {
            return None;
        }
        // A repeat is likelier of a late write than of an early one.
        let found = self.answered.iter().rev().find(|(_, answered)| answered.id == id);
        found.map(|(index, answered)| (*index, &answered.outcome))
    }

    /// Whether an endpoint is to get nothing new.
    pub fn is_draining(&self, pool: &str, uid: &str) -> bool {
        let listed = self.pools.get(pool).and_then(|pool| pool.endpoints.get(uid));
        listed.is_some_and(|endpoint| endpoint.draining)
            || self.held.contains(&(pool.to_owned(), uid.to_owned()))
    }

    /// Takes a command.
    pub fn apply(&mut self, index: u64, proposal: Proposal) -> Applied {
        self.index = index;
        let Proposal { id, command } = proposal;
        if id.len() > MAX_WRITE_ID_BYTES {
            return refused(format!(
                "a write's id has {} bytes, and {MAX_WRITE_ID_BYTES} is the most",
                id.len()
            ));
        }
        if let Some((_, outcome)) = self.outcome(&id) {
            return (outcome.clone(), Effects::default());
        }
        let (outcome, effects) = match command {
            Command::Commit(commit) => self.commit(commit),
            Command::Rollout(step) => self.step(step),
            Command::Listed(listed) => self.listed(listed),
            Command::Draining { pool, uid, boot_ms, rev } => self.draining(&pool, &uid, boot_ms, rev),
            Command::Hold { pool, uid, held, .. } => self.hold(pool, uid, held),
            Command::Seen { member, ticket, folder } => self.seen(member, &ticket, folder),
        };
        if effects.affects_proxies() {
            self.served = index;
        }
        self.remember(index, id, &outcome);
        (outcome, effects)
    }

    fn remember(&mut self, index: u64, id: String, outcome: &Outcome) {
        if id.is_empty() {
            return;
        }
        let answered = Arc::make_mut(&mut self.answered);
        answered.insert(index, Answered { id, outcome: outcome.clone() });
        while answered.len() > MAX_OUTCOMES {
            answered.pop_first();
        }
    }

    fn commit(&mut self, commit: Commit) -> Applied {
        let Commit { on, parent, text, by, plan, stages, pause_ms } = commit;
        if let Some(version) = self.versions.iter().find(|v| !plan.is_empty() && v.plan == plan) {
            return (Outcome::Before(version.serial), Effects::default());
        }
        let hash = self.current().map(|version| version.hash.clone()).unwrap_or_default();
        if (on, &parent) != (self.serial(), &hash) {
            let by = self.current().map(|version| format!("{} ({})", version.author, version.reason));
            let (found, by) = (self.serial(), by.unwrap_or_else(|| "nobody".to_owned()));
            return (Outcome::Moved { expected: on, found, by }, Effects::default());
        }
        if text.len() > MAX_TEXT_BYTES / 2 {
            return refused(format!(
                "the fleet has {} bytes, and {} is the most",
                text.len(),
                MAX_TEXT_BYTES / 2
            ));
        }
        if !stages.is_empty() && self.rollout.is_some() {
            return refused("another version is being rolled out: resume that, or abort it");
        }
        let serial = on + 1;
        // What is not staged goes to all at once, and ends a roll-out: so does going back in a hurry.
        let staged = !stages.is_empty() && on > 0;
        self.rollout = staged.then_some(Rollout { serial, from: on, stage: 0, halted: None });
        self.versions.push(Version {
            serial,
            hash: seal::hash(&text),
            parent,
            author: by.author,
            reason: by.reason,
            at_ms: by.at_ms,
            plan,
            stages,
            pause_ms,
        });
        self.texts.insert(serial, text.into());
        self.trim();
        (Outcome::Committed(serial), VERSION)
    }

    /// Forgets versions that are too many or too long, the oldest first; not the current one nor those that a roll-out
    /// needs.
    fn trim(&mut self) {
        let needed = self.rollout.as_ref().map_or(u64::MAX, |rollout| rollout.from);
        loop {
            let bytes: usize = self.texts.values().map(|text| text.len()).sum();
            let Some(oldest) = self.versions.first().map(|version| version.serial) else { return };
            let over = self.versions.len() > MAX_VERSIONS || bytes > MAX_TEXT_BYTES;
            if !over || self.versions.len() == 1 || oldest >= needed {
                return;
            }
            self.versions.remove(0);
            self.texts.remove(&oldest);
        }
    }

    fn step(&mut self, step: RolloutStep) -> Applied {
        let stages = self.current().map_or(0, |version| version.stages.len());
        let Some(rollout) = &mut self.rollout else { return refused("no version is being rolled out") };
        if (rollout.serial, rollout.stage) != (step.serial, step.stage) {
            let (serial, stage) = (rollout.serial, rollout.stage + 1);
            return refused(format!("serial {serial} is in stage {stage}"));
        }
        match step.to {
            RolloutAction::Halt(why) => rollout.halted = Some(why),
            RolloutAction::Resume if rollout.halted.is_none() => return refused("no roll-out has halted"),
            RolloutAction::Resume => rollout.halted = None,
            RolloutAction::Next if rollout.halted.is_some() => return refused("the roll-out has halted"),
            RolloutAction::Next => {
                rollout.stage += 1;
                if rollout.stage >= stages {
                    self.rollout = None;
                    self.trim();
                }
            }
        }
        (Outcome::Done, ROLLOUT)
    }

    fn listed(&mut self, listed: PoolUpdate) -> Applied {
        let PoolUpdate { pool: name, rev, whole, settled, endpoints } = listed;
        if name.len() > NAME_MOST {
            return refused("the pool's name is too long");
        }
        let before = self.pools.get(&name);
        let mut pool = before.map(|pool| Pool::clone(pool)).unwrap_or_default();
        if whole {
            pool.endpoints.retain(|uid, _| endpoints.contains_key(uid));
        }
        for (uid, endpoint) in endpoints {
            let Some(mut endpoint) = endpoint else {
                pool.endpoints.remove(&uid);
                continue;
            };
            let older =
                pool.endpoints.get(&uid).filter(|old| old.draining && old.boot_ms >= endpoint.boot_ms);
            // Only a newer word of the source takes a drain back, or one that has stood.
            let said_at = pool.drained_at.get(&uid).copied().unwrap_or_default();
            if !endpoint.draining && older.is_some() && rev <= said_at && !settled && !mutant("undrained") {
                endpoint.draining = true;
            }
            match endpoint.draining {
                true => drop(pool.drained_at.entry(uid.clone()).or_insert(rev)),
                false => drop(pool.drained_at.remove(&uid)),
            }
            pool.endpoints.insert(uid, endpoint);
        }
        pool.drained_at.retain(|uid, _| pool.endpoints.contains_key(uid));
        pool.rev = rev;
        let same = before.is_some_and(|before| **before == pool);
        self.pools.insert(name, pool.into());
        (Outcome::Done, if same { Effects::default() } else { POOLS })
    }

    fn draining(&mut self, pool: &str, uid: &str, boot_ms: u64, rev: u64) -> Applied {
        let Some(pool) = self.pools.get_mut(pool).map(Arc::make_mut) else {
            return refused("there is no such pool");
        };
        let Some(endpoint) = pool.endpoints.get_mut(uid) else { return refused("it is not listed") };
        if endpoint.boot_ms > boot_ms {
            return refused("another process runs there now");
        }
        let said_at = pool.drained_at.entry(uid.to_owned()).or_insert(rev);
        *said_at = rev.max(*said_at);
        let news = !std::mem::replace(&mut endpoint.draining, true);
        (Outcome::Done, if news { POOLS } else { Effects::default() })
    }

    fn hold(&mut self, pool: String, uid: String, held: bool) -> Applied {
        if pool.len() > NAME_MOST || uid.len() > NAME_MOST {
            return refused("a name is too long");
        }
        let news = match held {
            true => self.held.insert((pool, uid)),
            false => self.held.remove(&(pool, uid)),
        };
        (Outcome::Done, if news { POOLS } else { Effects::default() })
    }

    fn seen(&mut self, member: MemberId, ticket: &str, folder: String) -> Applied {
        let Some(known) = self.members.get_mut(&member) else { return refused("there is no such member") };
        match &known.folder {
            Some(seen) if *seen == folder => (Outcome::Done, Effects::default()),
            Some(_) => {
                refused("this number belongs to another folder: remove the member, and add a new one")
            }
            None if known.ticket != ticket => refused("the invitation is not that of this member"),
            None => {
                known.folder = Some(folder);
                (Outcome::Done, MEMBERS)
            }
        }
    }

    /// Why a change of members makes no sense; none: it may be made.
    pub fn change_rejection(&self, change: &MemberChange) -> Option<String> {
        let known = self.members.get(&change.member());
        match change {
            MemberChange::Add { member, .. } if *member != self.next_member => {
                Some(format!("{member} is not the next number, which is {}", self.next_member))
            }
            MemberChange::Add { name, .. } if self.members.values().any(|known| known.name == *name) => {
                Some(format!("there is a member {name} already"))
            }
            MemberChange::Add { address, .. } if self.members.values().any(|m| m.address == *address) => {
                Some(format!("there is a member at {address} already"))
            }
            MemberChange::Add { name, address, .. }
                if name.is_empty() || name.len().max(address.len()) > NAME_MOST =>
            {
                Some(format!("a member needs a name, and name and address may have {NAME_MOST} bytes"))
            }
            MemberChange::Add { .. } if self.members.len() >= MAX_MEMBERS => {
                Some(format!("there are {MAX_MEMBERS} members, the most there may be"))
            }
            MemberChange::Add { .. } => None,
            _ if known.is_none() => Some("there is no such member".to_owned()),
            MemberChange::Promote { .. } if known.is_some_and(|known| known.voter) => {
                Some("it votes already".to_owned())
            }
            MemberChange::Promote { .. } if known.is_some_and(|known| known.folder.is_none()) => {
                Some("it has never shown itself: start it with its invitation first".to_owned())
            }
            MemberChange::Promote { .. } => None,
            MemberChange::Remove { member } => {
                let voters = self.members.iter().filter(|(id, known)| known.voter && *id != member);
                (voters.count() == 0).then(|| "it is the last one that votes".to_owned())
            }
        }
    }

    /// Takes a change of members; with an outcome other than `Done` nothing has changed.
    pub fn change_members(&mut self, index: u64, id: String, change: MemberChange) -> Applied {
        self.index = index;
        if let Some((_, outcome)) = self.outcome(&id) {
            return (outcome.clone(), Effects::default());
        }
        let applied = match self.change_rejection(&change) {
            Some(why) => refused(why),
            None => {
                match change {
                    MemberChange::Add { member, name, address, ticket } => {
                        let member_ = Member { name, address, voter: false, ticket, folder: None };
                        self.members.insert(member, member_);
                        self.next_member = member + 1;
                    }
                    MemberChange::Promote { member } => {
                        if let Some(known) = self.members.get_mut(&member) {
                            known.voter = true;
                        }
                    }
                    MemberChange::Remove { member } => {
                        if let Some(known) = self.members.remove(&member) {
                            self.removed.insert(member, RemovedMember { name: known.name, index });
                        }
                        while self.removed.len() > REMOVED_MOST {
                            self.removed.pop_first();
                        }
                    }
                }
                (Outcome::Done, MEMBERS)
            }
        };
        self.remember(index, id, &applied.0);
        applied
    }

    /// An entry of the log that says nothing.
    pub fn skip(&mut self, index: u64) {
        self.index = index;
    }

    /// The state in its canonical form: equal states give equal bytes.
    pub fn snapshot(&self) -> String {
        let mut state = self.clone();
        if mutant("snapshot-forgets-writes") {
            state.answered = Arc::default();
        }
        serde_json::to_string(&state).unwrap_or_default() // fails only for maps with keys that are no text
    }

    /// The state of a snapshot, or what is wrong with that.
    pub fn from_snapshot(text: &str) -> Result<State, String> {
        serde_json::from_str(text).map_err(|problem| problem.to_string())
    }
}
