//! The replicated state machine: applies commands in log order, and returns outcomes and effects. It does no I/O, reads
//! no clock and depends on no hash order, so equal logs give equal states, with byte-identical snapshots.

use crate::command::{
    Command, Commit, Endpoint, MAX_WRITE_ID_BYTES, MemberChange, MemberId, Outcome, PoolUpdate, Proposal,
    RolloutAction, RolloutStep,
};
use runtrack_net::mutant;
use runtrack_store::{MAX_VERSIONS, Version, seal};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Number of outcomes kept to answer repeated writes. Clients repeat for minutes at most; this many writes take longer.
pub const MAX_OUTCOMES: usize = 4_096;
/// Maximum total size of the kept versions' texts, in bytes. Beyond it the oldest versions not in use are dropped.
pub const MAX_TEXT_BYTES: usize = 64 << 20;
/// Maximum number of members, including learners. Each one costs the leader a stream and a copy of the log.
pub const MAX_MEMBERS: usize = 16;
/// Number of removed members that are remembered, so that they can be told of their removal.
const MAX_REMOVED_MEMBERS: usize = 1_000;
/// Maximum length of the name of a member, pool or endpoint, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// A member of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Display name.
    pub name: String,
    /// Address at which other members reach it.
    pub address: String,
    /// Whether it votes; otherwise it is a learner.
    pub voter: bool,
    /// Ticket that its folder must present once.
    pub ticket: String,
    /// Random id of its folder, once the member has made contact.
    pub folder: Option<String>,
}

/// A member that was removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RemovedMember {
    /// Display name.
    pub name: String,
    /// Log index of the removal.
    pub index: u64,
}

/// A staged roll-out in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Serial of the version that is rolled out.
    pub serial: u64,
    /// Serial of the previous version, which the remaining proxies keep.
    pub from: u64,
    /// Index of the current stage, from 0.
    pub stage: usize,
    /// Why the roll-out is halted, until it is resumed.
    pub halted: Option<String>,
}

/// The endpoints of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Revision of discovery's list.
    pub rev: u64,
    /// Endpoints by uid.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// For each draining endpoint, the revision of the list that reported the drain.
    pub drained_at: BTreeMap<String, u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WriteOutcome {
    id: String,
    outcome: Outcome,
}

/// The replicated state. Clones share the large parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Identifies the cluster; set once, when it is created.
    pub lineage: String,
    /// Orders the configuration versions of this lineage after those of earlier lineages; set with the lineage.
    pub epoch: u64,
    /// Index of the last entry that was applied.
    pub index: u64,
    /// Index of the last entry that may have changed the proxies' configuration.
    pub served: u64,
    /// Versions of the fleet, oldest first.
    pub versions: Vec<Version>,
    texts: BTreeMap<u64, Arc<str>>,
    /// The roll-out in progress.
    pub rollout: Option<Rollout>,
    /// Pools that follow discovery, by name.
    pub pools: BTreeMap<String, Arc<Pool>>,
    /// Endpoints on hold by an operator, by pool and uid.
    pub held: BTreeSet<(String, String)>,
    /// Members by id.
    pub members: BTreeMap<MemberId, Member>,
    /// Removed members by id.
    pub removed: BTreeMap<MemberId, RemovedMember>,
    next_member: MemberId,
    answered: Arc<BTreeMap<u64, WriteOutcome>>,
}

/// The parts of the state that a command has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effects {
    /// The fleet's current version.
    pub version: bool,
    /// The roll-out.
    pub rollout: bool,
    /// Endpoints of pools, holds or drains.
    pub pools: bool,
    /// The members.
    pub members: bool,
}

impl Effects {
    /// Whether the proxies' configuration may have changed.
    pub fn affects_proxies(&self) -> bool {
        self.version || self.rollout || self.pools
    }

    /// Combines the effects of two commands.
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
    /// The state of a new cluster of one member, whose folder has this random id.
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

    /// Adds the versions of a single-instance store, oldest first, with their texts. A version without a text cannot be
    /// kept and must be left out by the caller.
    pub fn with_versions(mut self, versions: impl IntoIterator<Item = (Version, String)>) -> State {
        for (version, text) in versions {
            self.texts.insert(version.serial, text.into());
            self.versions.push(version);
        }
        self.trim_versions();
        self
    }

    /// Id of the next member to be added.
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

    /// Text of a version, if it is still kept.
    pub fn text(&self, serial: u64) -> Option<&str> {
        self.texts.get(&serial).map(AsRef::as_ref)
    }

    /// Index and outcome of the write with this id, if they are still kept.
    pub fn outcome(&self, id: &str) -> Option<(u64, &Outcome)> {
        if id.is_empty() {
            return None;
        }
        // Newest first: most repeats are of recent writes.
        let found = self.answered.iter().rev().find(|(_, answered)| answered.id == id);
        found.map(|(index, answered)| (*index, &answered.outcome))
    }

    /// Whether an endpoint is draining or on hold, so that it gets no new requests.
    pub fn is_draining(&self, pool: &str, uid: &str) -> bool {
        let listed = self.pools.get(pool).and_then(|pool| pool.endpoints.get(uid));
        listed.is_some_and(|endpoint| endpoint.draining)
            || self.held.contains(&(pool.to_owned(), uid.to_owned()))
    }

    /// Applies the command of the entry at `index`.
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
            Command::Commit(commit) => self.apply_commit(commit),
            Command::Rollout(step) => self.apply_rollout_step(step),
            Command::Listed(update) => self.apply_pool_update(update),
            Command::Draining { pool, uid, boot_ms, rev } => self.apply_draining(&pool, &uid, boot_ms, rev),
            Command::Hold { pool, uid, held, .. } => self.apply_hold(pool, uid, held),
            Command::Seen { member, ticket, folder } => self.apply_seen(member, &ticket, folder),
        };
        if effects.affects_proxies() {
            self.served = index;
        }
        self.record_outcome(index, id, &outcome);
        (outcome, effects)
    }

    fn record_outcome(&mut self, index: u64, id: String, outcome: &Outcome) {
        if id.is_empty() {
            return;
        }
        let answered = Arc::make_mut(&mut self.answered);
        answered.insert(index, WriteOutcome { id, outcome: outcome.clone() });
        while answered.len() > MAX_OUTCOMES {
            answered.pop_first();
        }
    }

    fn apply_commit(&mut self, commit: Commit) -> Applied {
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
        // A commit without stages goes to all proxies at once and ends a roll-out in progress, so an urgent rollback
        // does not have to wait for one.
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
        self.trim_versions();
        (Outcome::Committed(serial), VERSION)
    }

    /// Drops the oldest versions while their number or the size of their texts exceeds its limit, but neither the
    /// current version nor those that the roll-out in progress needs.
    fn trim_versions(&mut self) {
        let needed = self.rollout.as_ref().map_or(u64::MAX, |rollout| rollout.from);
        loop {
            let bytes: usize = self.texts.values().map(|text| text.len()).sum();
            let Some(oldest) = self.versions.first().map(|version| version.serial) else { return };
            let exceeds_limit = self.versions.len() > MAX_VERSIONS || bytes > MAX_TEXT_BYTES;
            if !exceeds_limit || self.versions.len() == 1 || oldest >= needed {
                return;
            }
            self.versions.remove(0);
            self.texts.remove(&oldest);
        }
    }

    fn apply_rollout_step(&mut self, step: RolloutStep) -> Applied {
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
                    self.trim_versions();
                }
            }
        }
        (Outcome::Done, ROLLOUT)
    }

    fn apply_pool_update(&mut self, update: PoolUpdate) -> Applied {
        let PoolUpdate { pool: name, rev, whole, settled, endpoints } = update;
        if name.len() > MAX_NAME_BYTES {
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
            let drained_before =
                pool.endpoints.get(&uid).filter(|old| old.draining && old.boot_ms >= endpoint.boot_ms);
            // A drain is only cancelled by a list of a higher revision than the one that reported it, or by a settled
            // list.
            let drain_rev = pool.drained_at.get(&uid).copied().unwrap_or_default();
            if !endpoint.draining
                && drained_before.is_some()
                && rev <= drain_rev
                && !settled
                && !mutant("undrained")
            {
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
        let unchanged = before.is_some_and(|before| **before == pool);
        self.pools.insert(name, pool.into());
        (Outcome::Done, if unchanged { Effects::default() } else { POOLS })
    }

    fn apply_draining(&mut self, pool: &str, uid: &str, boot_ms: u64, rev: u64) -> Applied {
        let Some(pool) = self.pools.get_mut(pool).map(Arc::make_mut) else {
            return refused("there is no such pool");
        };
        let Some(endpoint) = pool.endpoints.get_mut(uid) else { return refused("it is not listed") };
        if endpoint.boot_ms > boot_ms {
            return refused("another process runs there now");
        }
        let drain_rev = pool.drained_at.entry(uid.to_owned()).or_insert(rev);
        *drain_rev = rev.max(*drain_rev);
        let changed = !std::mem::replace(&mut endpoint.draining, true);
        (Outcome::Done, if changed { POOLS } else { Effects::default() })
    }

    fn apply_hold(&mut self, pool: String, uid: String, held: bool) -> Applied {
        if pool.len() > MAX_NAME_BYTES || uid.len() > MAX_NAME_BYTES {
            return refused("a name is too long");
        }
        let changed = match held {
            true => self.held.insert((pool, uid)),
            false => self.held.remove(&(pool, uid)),
        };
        (Outcome::Done, if changed { POOLS } else { Effects::default() })
    }

    fn apply_seen(&mut self, member: MemberId, ticket: &str, folder: String) -> Applied {
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

    /// Why a membership change is not valid; `None` if it is.
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
                if name.is_empty() || name.len().max(address.len()) > MAX_NAME_BYTES =>
            {
                Some(format!("a member needs a name, and name and address may have {MAX_NAME_BYTES} bytes"))
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

    /// Applies a membership change; with an outcome other than `Done` nothing has changed.
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
                        let new_member = Member { name, address, voter: false, ticket, folder: None };
                        self.members.insert(member, new_member);
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
                        while self.removed.len() > MAX_REMOVED_MEMBERS {
                            self.removed.pop_first();
                        }
                    }
                }
                (Outcome::Done, MEMBERS)
            }
        };
        self.record_outcome(index, id, &applied.0);
        applied
    }

    /// Advances the index past an empty entry.
    pub fn skip(&mut self, index: u64) {
        self.index = index;
    }

    /// Serializes the state in its canonical form: equal states give equal bytes.
    pub fn snapshot(&self) -> String {
        let mut state = self.clone();
        if mutant("snapshot-forgets-writes") {
            state.answered = Arc::default();
        }
        serde_json::to_string(&state).unwrap_or_default() // only fails for non-string map keys
    }

    /// Parses a snapshot.
    ///
    /// # Errors
    ///
    /// A description of what is wrong with the text.
    pub fn from_snapshot(text: &str) -> Result<State, String> {
        serde_json::from_str(text).map_err(|problem| problem.to_string())
    }
}
