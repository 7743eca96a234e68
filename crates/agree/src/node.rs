//! A Raft member without I/O of its own besides its storage folder: it takes ticks, messages and proposals, and returns
//! messages and applied commands once the entries and votes that they depend on are durable. It uses no socket or clock.

use crate::command::{MemberChange, MemberId, Outcome, Proposal};
use crate::disk::{DiskError, Identity, LogBase, MemberStore, SnapshotMeta};
use crate::memory::{MemStorage, conf_state, entry_from_raft, hard_state_from_raft};
use crate::message::PeerMessage;
use crate::record::HardStateRecord;
use crate::state::{Effects, State};
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2, Entry, EntryType, Snapshot};
use raft::{Config, Progress, ProgressState, RawNode, SnapshotStatus, StateRole};
use runtrack_net::mutant;
use runtrack_store::{Files, seal};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use thiserror::Error;

/// Maximum size of the entries in one message, in bytes.
const MAX_APPEND_BYTES: u64 = 1 << 20;
/// Maximum number of unacknowledged append messages per member.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// Maximum size of uncommitted entries, in bytes. Beyond it proposals are refused, so that a leader without a majority
/// does not exhaust its memory.
const MAX_UNCOMMITTED_BYTES: u64 = 64 << 20;
/// Maximum size of the committed entries applied per ready state, in bytes.
const MAX_APPLY_BYTES: u64 = 16 << 20;
/// Entries kept before a snapshot for lagging members, as divisors of `log_bytes`: always a quarter, and up to half if
/// a reachable member still needs them.
const TAIL_DIVISOR: u64 = 4;
const MAX_TAIL_DIVISOR: u64 = 2;
/// Maximum number of missing entries with which a learner may be promoted to a voter.
const MAX_PROMOTION_LAG: u64 = 64;

/// Why a member cannot continue.
#[derive(Debug, Error)]
pub enum NodeError {
    /// Its folder cannot be used.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The log holds an entry that this version does not know. Skipping it would make this member's state diverge.
    #[error("log entry {index} cannot be read ({problem}): a newer version wrote it, run that one")]
    Entry {
        /// Index of the entry.
        index: u64,
        /// What is wrong with it.
        problem: String,
    },
    /// A snapshot cannot be parsed.
    #[error("the snapshot of index {index} cannot be read: {problem}")]
    Snapshot {
        /// Index of the snapshot.
        index: u64,
        /// What is wrong with it.
        problem: String,
    },
    /// The raft library reports an error.
    #[error("raft: {0}")]
    Raft(#[from] raft::Error),
}

/// Raft timing, in ticks, and the size at which the log is compacted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Interval of the leader's heartbeats.
    pub heartbeat_ticks: usize,
    /// Minimum election timeout; the actual timeout is random, up to twice this.
    pub election_ticks: usize,
    /// A log larger than this, and than twice the last snapshot, is compacted behind a new snapshot. In bytes.
    pub log_bytes: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning { heartbeat_ticks: 2, election_ticks: 20, log_bytes: 4 << 20 }
    }
}

/// A member's current role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Candidate in an election or pre-election.
    Candidate,
    /// Leader of the current term.
    Leader,
}

/// Replication progress of another member, as seen by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerProgress {
    /// Index of the last entry known to be replicated to it.
    pub matched: u64,
    /// Whether it was heard from within the last election timeout.
    pub heard: bool,
    /// Whether it is being sent a snapshot.
    pub snapshot: bool,
}

/// Status of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Member id.
    pub member: MemberId,
    /// Current role.
    pub role: Role,
    /// Whether it votes; otherwise it is a learner.
    pub voter: bool,
    /// Current term.
    pub term: u64,
    /// The leader, as far as it knows; 0 for none.
    pub leader: MemberId,
    /// Commit index, as far as it knows.
    pub committed: u64,
    /// Index of the last applied entry.
    pub applied: u64,
    /// Index of the last entry in its log.
    pub last: u64,
    /// Index of its last snapshot.
    pub snapshot: u64,
    /// Progress of the other members, on the leader only.
    pub peers: BTreeMap<MemberId, PeerProgress>,
}

/// A command that was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Log index.
    pub index: u64,
    /// Term of the leader that proposed it.
    pub term: u64,
    /// The write's id; may be empty.
    pub id: String,
    /// Outcome of the command.
    pub outcome: Outcome,
    /// Parts of the state that it changed.
    pub effects: Effects,
}

/// A snapshot to fetch from another member and to pass to [`Node::snapshot_fetched`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotFetch {
    /// The member to fetch it from.
    pub from: MemberId,
    /// The snapshot to fetch.
    pub snapshot: SnapshotMeta,
}

/// Output of [`Node::drive`].
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to send; everything that they acknowledge is durable.
    pub messages: Vec<PeerMessage>,
    /// Commands that were applied, in log order.
    pub applied: Vec<Applied>,
    /// Numbers of the reads that may now be answered from the current state.
    pub reads: Vec<u64>,
    /// A snapshot to fetch.
    pub fetch: Option<SnapshotFetch>,
    /// Whether the state was replaced by a snapshot from another member.
    pub installed: bool,
}

/// A membership change as it is encoded in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct LoggedChange {
    id: String,
    change: MemberChange,
}

/// A member of the Raft group.
pub struct Node<F: Files> {
    storage: MemberStore<F>,
    raw: RawNode<MemStorage>,
    state: Option<Arc<State>>,
    tuning: Tuning,
    seed: u64,
    /// Number of elections and pre-elections that it has started, which enters the random election timeout.
    campaigns: u64,
    /// The snapshot offer whose text is being fetched, with its metadata.
    offered: Option<(PeerMessage, SnapshotMeta)>,
    /// Hash and text of a snapshot that was fetched.
    fetched_text: Option<(String, String)>,
    /// Reads confirmed by the leader, as number and read index, until that index is applied.
    reads: VecDeque<(u64, u64)>,
    voters: Vec<MemberId>,
    learners: Vec<MemberId>,
    output: Output,
}

impl<F: Files> Node<F> {
    /// Creates the first member of a new cluster in an empty folder, with its initial state.
    pub fn bootstrap(files: F, identity: Identity, state: &State) -> Result<(), NodeError> {
        let mut state = state.clone();
        (state.index, state.served) = (1, 1);
        let text = state.snapshot();
        let snapshot_meta =
            SnapshotMeta { index: 1, term: 1, voters: vec![identity.member], ..SnapshotMeta::default() };
        MemberStore::create(files, identity, Some((snapshot_meta, &text)))?;
        Ok(())
    }

    /// Creates an invited member in an empty folder.
    pub fn join(files: F, identity: Identity) -> Result<(), NodeError> {
        MemberStore::create(files, identity, None)?;
        Ok(())
    }

    /// Opens a member's folder. Runs with equal seeds, ticks and messages are identical.
    pub fn open(files: F, tuning: Tuning, seed: u64) -> Result<Node<F>, NodeError> {
        let (storage, mut recovered) = MemberStore::open(files)?;
        let (id, snapshot_meta) = (storage.identity().member, recovered.snapshot_meta.clone());
        let state = match &recovered.snapshot_text {
            Some(text) => Some(Arc::new(read_snapshot(&snapshot_meta, text)?)),
            None => None,
        };
        recovered.hard_state.commit = recovered.hard_state.commit.max(snapshot_meta.index);
        let conf = conf_state(&snapshot_meta);
        let config = Config {
            id,
            election_tick: tuning.election_ticks,
            heartbeat_tick: tuning.heartbeat_ticks,
            applied: snapshot_meta.index,
            max_size_per_msg: MAX_APPEND_BYTES,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            max_committed_size_per_ready: MAX_APPLY_BYTES,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, MemStorage::new(recovered), &logger)?;
        let mut node = Node {
            storage,
            raw,
            state,
            tuning,
            seed,
            campaigns: 0,
            offered: None,
            fetched_text: None,
            reads: VecDeque::new(),
            voters: conf.voters.clone(),
            learners: conf.learners.clone(),
            output: Output::default(),
        };
        node.randomize_election_timeout();
        Ok(node)
    }

    /// Sets the random election timeout, derived from the seed, the member, the term and the number of campaigns. The
    /// library's own value comes from a thread-local random generator and would not be reproducible.
    fn randomize_election_timeout(&mut self) {
        let raft = &self.raw.raft;
        let mut sum = Sha256::new();
        for part in [self.seed, raft.id, raft.term, self.campaigns] {
            sum.update(part.to_le_bytes());
        }
        let digest = sum.finalize();
        let drawn = u64::from_le_bytes(std::array::from_fn(|n| digest[n]));
        let timeout = self.tuning.election_ticks + (drawn % self.tuning.election_ticks as u64) as usize;
        self.raw.raft.set_randomized_election_timeout(timeout);
    }

    /// Identity of this member.
    pub fn identity(&self) -> &Identity {
        self.storage.identity()
    }

    /// The replicated state as applied here; `None` for a new member that has not received any state yet.
    pub fn state(&self) -> Option<&State> {
        self.state.as_deref()
    }

    /// An immutable copy of [`Node::state`] that later commands do not change.
    pub fn shared_state(&self) -> Option<Arc<State>> {
        self.state.clone()
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        self.raw.raft.state == StateRole::Leader && !self.is_removed()
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// The leader, as far as this member knows; 0 for none.
    pub fn leader(&self) -> MemberId {
        self.raw.raft.leader_id
    }

    /// Metadata of the last snapshot.
    pub fn snapshot(&self) -> &SnapshotMeta {
        self.storage.snapshot()
    }

    /// Text of the last snapshot.
    pub fn snapshot_text(&self) -> Result<Option<String>, DiskError> {
        self.storage.snapshot_text()
    }

    /// Length of the current log segment, in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.storage.segment_bytes()
    }

    /// Current status of this member.
    pub fn status(&self) -> MemberStatus {
        let raft = &self.raw.raft;
        let role = match raft.state {
            StateRole::Leader => Role::Leader,
            StateRole::Follower => Role::Follower,
            StateRole::Candidate | StateRole::PreCandidate => Role::Candidate,
        };
        let others = raft.prs().iter().filter(|(id, _)| **id != raft.id && role == Role::Leader);
        let peers = others.map(|(id, progress)| {
            let snapshot = progress.state == ProgressState::Snapshot;
            (*id, PeerProgress { matched: progress.matched, heard: progress.recent_active, snapshot })
        });
        MemberStatus {
            member: raft.id,
            role,
            voter: self.voters.contains(&raft.id),
            term: raft.term,
            leader: raft.leader_id,
            committed: raft.raft_log.committed,
            applied: self.state.as_ref().map_or(0, |state| state.index),
            last: raft.raft_log.last_index(),
            snapshot: self.storage.snapshot().index,
            peers: peers.collect(),
        }
    }

    /// Whether this member knows that it was removed. It may have been the leader, and the library cannot continue with
    /// a leader that is not a member; so a removed member stops participating, and the others elect a new leader.
    fn is_removed(&self) -> bool {
        self.state.as_ref().is_some_and(|state| state.removed.contains_key(&self.raw.raft.id))
    }

    /// Advances the clock by one tick.
    pub fn tick(&mut self) {
        if self.is_removed() {
            return;
        }
        let elapsed = self.raw.raft.election_elapsed;
        self.raw.tick();
        if !self.is_leader() && self.raw.raft.election_elapsed < elapsed {
            self.campaigns += 1;
        }
        self.randomize_election_timeout();
    }

    /// Handles a message from another member. Invalid or misaddressed messages are dropped.
    pub fn step(&mut self, message: PeerMessage) {
        if message.to != self.raw.raft.id || self.is_removed() {
            return;
        }
        if !mutant("removed-votes") && self.is_from_removed_member(&message) {
            return;
        }
        if let Some(snapshot_meta) = message.snapshot_meta() {
            // The message is processed once the snapshot's text has been fetched; the leader waits until then.
            let is_committed = snapshot_meta.index <= self.raw.raft.raft_log.committed;
            let has_text = self.fetched_text.as_ref().is_some_and(|(hash, _)| *hash == snapshot_meta.hash);
            if !is_committed && !has_text {
                let is_repeat = self.offered.as_ref().is_some_and(|(_, offered)| *offered == snapshot_meta);
                if !is_repeat {
                    self.output.fetch =
                        Some(SnapshotFetch { from: message.from, snapshot: snapshot_meta.clone() });
                }
                self.offered = Some((message, snapshot_meta));
                return;
            }
        }
        if let Some(message) = message.into_raft() {
            let _ = self.raw.step(message); // only stale messages are refused
            self.randomize_election_timeout();
        }
    }

    /// Whether the sender of a message was removed from the cluster.
    fn is_from_removed_member(&self, message: &PeerMessage) -> bool {
        self.state.as_ref().is_some_and(|state| state.removed.contains_key(&message.from))
    }

    /// Passes in the text of the snapshot that was to be fetched. Returns whether its hash matches the offer.
    pub fn snapshot_fetched(&mut self, text: String) -> bool {
        let Some((message, snapshot_meta)) = self.offered.take() else { return false };
        let hash = seal::hash(&text);
        if hash != snapshot_meta.hash {
            self.offered = Some((message, snapshot_meta));
            return false;
        }
        self.fetched_text = Some((hash, text));
        self.step(message);
        true
    }

    /// Reports that the offered snapshot could not be fetched. It is requested again at the leader's next offer.
    pub fn snapshot_fetch_failed(&mut self) {
        self.offered = None;
    }

    /// Reports that messages to a member were lost.
    pub fn report_unreachable(&mut self, member: MemberId) {
        self.raw.report_unreachable(member);
    }

    /// Reports that a member has stopped fetching its snapshot, so that the snapshot is offered again.
    pub fn retry_snapshot(&mut self, member: MemberId) {
        self.raw.report_snapshot(member, SnapshotStatus::Failure);
    }

    /// Proposes a command, directly or through the leader. After `Ok` the proposal may still be lost; a command has taken
    /// effect only once it is applied.
    ///
    /// # Errors
    ///
    /// The command was not proposed.
    pub fn propose(&mut self, proposal: &Proposal) -> Result<(), NodeError> {
        if self.is_removed() {
            return Err(raft::Error::ProposalDropped.into());
        }
        let data = serde_json::to_vec(proposal).unwrap_or_default(); // only fails for non-string map keys
        Ok(self.raw.propose(Vec::new(), data)?)
    }

    /// Requests a linearizable read. Once the local state is recent enough, [`Output::reads`] contains `number`. The
    /// request may be lost and must then be repeated.
    pub fn request_read(&mut self, number: u64) {
        if (mutant("stale-read") && self.is_leader()) || mutant("lone-read") {
            return self.output.reads.push(number);
        }
        if !self.is_removed() {
            self.raw.read_index(number.to_le_bytes().to_vec());
        }
    }

    /// Transfers leadership to another member, if this one leads.
    pub fn transfer_leader(&mut self, to: MemberId) {
        self.raw.transfer_leader(to);
    }

    /// Proposes a membership change. Only the leader may do so, and only while no other change is in progress.
    ///
    /// # Errors
    ///
    /// Why the change was refused.
    pub fn change_members(&mut self, id: &str, change: &MemberChange) -> Result<(), String> {
        let Some(state) = self.state.as_ref().filter(|_| self.is_leader()) else {
            return Err("this member does not lead".to_owned());
        };
        if let Some((_, outcome)) = state.outcome(id) {
            return match outcome {
                Outcome::Refused(why) => Err(why.clone()),
                _ => Ok(()),
            };
        }
        if let Some(why) = state.change_rejection(change) {
            return Err(why);
        }
        if self.raw.raft.has_pending_conf() && !mutant("two-changes") {
            return Err("another change of members is under way: wait for it to end".to_owned());
        }
        let (kind, member) = match change {
            MemberChange::Add { member, .. } => (ConfChangeType::AddLearnerNode, *member),
            MemberChange::Promote { member } => (ConfChangeType::AddNode, *member),
            MemberChange::Remove { member } => (ConfChangeType::RemoveNode, *member),
        };
        match change {
            MemberChange::Remove { .. } if member == self.raw.raft.id => {
                return Err("it leads: transfer leadership first".to_owned());
            }
            MemberChange::Promote { .. } => {
                let last = self.raw.raft.raft_log.last_index();
                let progress = self.raw.raft.prs().get(member);
                let missing = progress.map_or(last, |p| last.saturating_sub(p.matched));
                // A learner that is still receiving a snapshot has no log yet; its vote would delay commits.
                let is_replicating =
                    |p: &Progress| p.recent_active && p.state != ProgressState::Snapshot && p.matched > 0;
                if missing > MAX_PROMOTION_LAG || !progress.is_some_and(is_replicating) {
                    return Err(format!(
                        "it has not caught up: it lacks {missing} entries, or is not heard"
                    ));
                }
            }
            _ => {}
        }
        let context = LoggedChange { id: id.to_owned(), change: change.clone() };
        let context = serde_json::to_vec(&context).unwrap_or_default();
        let proposed = self.raw.propose_conf_change(context, conf_change(kind, member));
        proposed.map_err(|problem| problem.to_string())
    }

    /// Processes all pending work: persists entries and hard state, applies committed entries, and returns the output.
    ///
    /// # Errors
    ///
    /// After an error the node must be dropped and its folder reopened.
    pub fn drive(&mut self) -> Result<Output, NodeError> {
        while !self.is_removed() && self.raw.has_ready() {
            let mut ready = self.raw.ready();
            self.queue_messages(ready.take_messages());
            let hard_state = ready.hs().map(hard_state_from_raft);
            if !ready.snapshot().is_empty() {
                self.install_snapshot(&ready.snapshot().clone(), hard_state)?;
            }
            let entries = ready.take_entries();
            self.storage.save(entries.iter().map(entry_from_raft).collect(), hard_state)?;
            self.raw.mut_store().append(&entries);
            if let Some(hard_state) = hard_state {
                self.raw.mut_store().set_hard_state(hard_state);
            }
            for read in ready.take_read_states() {
                let number: Option<[u8; 8]> = read.request_ctx.as_slice().try_into().ok();
                self.reads.extend(number.map(|number| (u64::from_le_bytes(number), read.index)));
            }
            self.queue_messages(ready.take_persisted_messages());
            let committed = ready.take_committed_entries();
            self.apply(committed)?;
            if self.is_removed() {
                break;
            }
            let mut light = self.raw.advance_append(ready);
            if let Some(commit) = light.commit_index() {
                self.raw.mut_store().set_commit(commit);
            }
            self.queue_messages(light.take_messages());
            self.apply(light.take_committed_entries())?;
            if self.is_removed() {
                break;
            }
            self.raw.advance_apply();
            self.randomize_election_timeout();
        }
        self.compact_log()?;
        let applied = self.state.as_ref().map_or(0, |state| state.index);
        let (done, left) =
            std::mem::take(&mut self.reads).into_iter().partition(|(_, index)| *index <= applied);
        self.reads = left;
        let done: VecDeque<(u64, u64)> = done;
        self.output.reads.extend(done.into_iter().map(|(number, _)| number));
        Ok(std::mem::take(&mut self.output))
    }

    fn queue_messages(&mut self, messages: Vec<raft::eraftpb::Message>) {
        self.output.messages.extend(messages.iter().map(PeerMessage::from_raft));
    }

    fn install_snapshot(
        &mut self,
        snapshot: &Snapshot,
        hard_state: Option<HardStateRecord>,
    ) -> Result<(), NodeError> {
        let invalid = |problem: &str| {
            let index = snapshot.get_metadata().index;
            NodeError::Snapshot { index, problem: problem.to_owned() }
        };
        let snapshot_meta: SnapshotMeta =
            serde_json::from_slice(&snapshot.data).map_err(|e| invalid(&e.to_string()))?;
        let (_, text) = self.fetched_text.take().ok_or_else(|| invalid("its text was not received"))?;
        let state = read_snapshot(&snapshot_meta, &text)?;
        let hard_state = hard_state.unwrap_or(self.raw.store().hard_state());
        let hard_state = HardStateRecord { commit: snapshot_meta.index, ..hard_state };
        let base = LogBase { index: snapshot_meta.index, term: snapshot_meta.term };
        self.storage.replace(snapshot_meta.clone(), Some(&text), hard_state, base, &[])?;
        (self.voters, self.learners) = (snapshot_meta.voters.clone(), snapshot_meta.learners.clone());
        self.raw.mut_store().install(snapshot_meta, hard_state);
        self.state = Some(Arc::new(state));
        self.output.installed = true;
        Ok(())
    }

    fn apply(&mut self, entries: Vec<Entry>) -> Result<(), NodeError> {
        for entry in entries {
            let (index, term) = (entry.index, entry.term);
            let invalid = |problem: String| NodeError::Entry { index, problem };
            let Some(state) = self.state.as_mut().map(Arc::make_mut) else {
                return Err(invalid("there is no state yet".to_owned()));
            };
            let (id, (outcome, effects)) = match entry.entry_type {
                EntryType::EntryNormal if entry.data.is_empty() => {
                    state.skip(index);
                    continue;
                }
                EntryType::EntryNormal => {
                    let proposal: Proposal =
                        serde_json::from_slice(&entry.data).map_err(|e| invalid(e.to_string()))?;
                    (proposal.id.clone(), state.apply(index, proposal))
                }
                _ => {
                    let LoggedChange { id, change } =
                        serde_json::from_slice(&entry.context).map_err(|e| invalid(e.to_string()))?;
                    let applied = state.change_members(index, id.clone(), change.clone());
                    if applied.0 == Outcome::Done && applied.1.members {
                        self.apply_conf_change(&change)?;
                    }
                    (id, applied)
                }
            };
            self.output.applied.push(Applied { index, term, id, outcome, effects });
        }
        Ok(())
    }

    fn apply_conf_change(&mut self, change: &MemberChange) -> Result<(), NodeError> {
        let (kind, member) = match change {
            MemberChange::Add { member, .. } => (ConfChangeType::AddLearnerNode, *member),
            MemberChange::Promote { member } => (ConfChangeType::AddNode, *member),
            MemberChange::Remove { member } => (ConfChangeType::RemoveNode, *member),
        };
        let conf = self.raw.apply_conf_change(&conf_change(kind, member))?;
        (self.voters, self.learners) = (conf.voters.clone(), conf.learners.clone());
        Ok(())
    }

    /// Compacts the log behind a new snapshot if the log has grown too long or a member needs a newer snapshot.
    fn compact_log(&mut self) -> Result<(), NodeError> {
        let is_wanted = self.raw.store().take_snapshot_wanted();
        let snapshot_meta = self.raw.store().snapshot_meta().clone();
        let is_long = self.storage.segment_bytes() > self.tuning.log_bytes.max(2 * snapshot_meta.size);
        let Some(state) =
            self.state.as_ref().filter(|state| (is_long || is_wanted) && state.index > snapshot_meta.index)
        else {
            return Ok(());
        };
        let (index, text) = (state.index, state.snapshot());
        let (store, raft) = (self.raw.store(), &self.raw.raft);
        // Entries that a reachable member still needs are kept, within bounds.
        let heard = raft.prs().iter().filter(|(id, p)| **id != raft.id && p.recent_active);
        let needed_after = heard.map(|(_, progress)| progress.matched).min().unwrap_or(index);
        let needed_after = if self.is_leader() { needed_after } else { index };
        let [tail, longest_tail] = [TAIL_DIVISOR, MAX_TAIL_DIVISOR]
            .map(|divisor| store.tail_start(self.tuning.log_bytes / divisor));
        let base = store.base_at(needed_after.min(tail).max(longest_tail).min(index));
        let at = store.base_at(index);
        let mut snapshot_meta = SnapshotMeta {
            index,
            term: at.term,
            voters: self.voters.clone(),
            learners: self.learners.clone(),
            hash: seal::hash(&text),
            size: text.len() as u64,
        };
        snapshot_meta.voters.sort_unstable();
        snapshot_meta.learners.sort_unstable();
        let hard_state = HardStateRecord { commit: raft.raft_log.committed, ..store.hard_state() };
        let entries = store.entries_after(base.index);
        self.storage.replace(snapshot_meta.clone(), Some(&text), hard_state, base, &entries)?;
        self.raw.mut_store().compact(snapshot_meta, base);
        Ok(())
    }
}

fn conf_change(kind: ConfChangeType, member: MemberId) -> ConfChangeV2 {
    let single = ConfChangeSingle { change_type: kind, node_id: member, ..ConfChangeSingle::default() };
    ConfChangeV2 { changes: vec![single].into(), ..ConfChangeV2::default() }
}

fn read_snapshot(snapshot_meta: &SnapshotMeta, text: &str) -> Result<State, NodeError> {
    State::from_snapshot(text)
        .map_err(|problem| NodeError::Snapshot { index: snapshot_meta.index, problem })
}
