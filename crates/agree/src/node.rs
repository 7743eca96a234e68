//! A member: ticks, messages and proposals go in; messages and what was applied come out, once what they rest on is
//! durable. No socket, no clock.

use crate::command::{MemberChange, MemberId, Outcome, Proposal};
use crate::disk::{DiskError, Identity, LogBase, MemberStore, SnapshotMeta};
use crate::memory::{Memory, entry_out, members, promise_out};
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

/// Bytes of entries in one message.
const MESSAGE_BYTES: u64 = 1 << 20;
/// Messages with entries on their way to one member.
const INFLIGHT: usize = 64;
/// Bytes that are proposed and not agreed yet: beyond them proposals are refused, so that a leader without a majority
/// does not fill its memory.
const UNCOMMITTED_MOST: u64 = 64 << 20;
/// Bytes of committed entries that are applied in one turn.
const APPLY_BYTES: u64 = 16 << 20;
/// Of that, entries that stay before a snapshot for members that are a little behind: a quarter in any case, and half
/// where a member that is heard lacks so much.
const TAIL: u64 = 4;
const TAIL_MOST: u64 = 2;
/// A learner may vote once it lacks no more entries than this.
const CAUGHT_UP: u64 = 64;

/// Why a member can't go on.
#[derive(Debug, Error)]
pub enum NodeError {
    /// Its folder.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The log holds what this version does not know: to skip it would part it from the others.
    #[error(
        "entry {index} of the log is not understood ({problem}): a newer version wrote it, run that one"
    )]
    Entry {
        /// Where.
        index: u64,
        /// What is wrong with it.
        problem: String,
    },
    /// A snapshot is not understood.
    #[error("the snapshot of index {index} is not understood: {problem}")]
    Snapshot {
        /// Where.
        index: u64,
        /// What is wrong with it.
        problem: String,
    },
    /// The library refuses.
    #[error("the agreement: {0}")]
    Raft(#[from] raft::Error),
}

/// How fast members lose patience, in ticks, and how long their logs get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// A leader shows itself this often.
    pub heartbeat_ticks: usize,
    /// A member that has heard of no leader for so long, up to twice that, stands for election.
    pub election_ticks: usize,
    /// A log beyond this size, and twice the snapshot's, is cut behind a new snapshot.
    pub log_bytes: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning { heartbeat_ticks: 2, election_ticks: 20, log_bytes: 4 << 20 }
    }
}

/// What a member is at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It follows a leader, or waits for one.
    Follower,
    /// It asks whether it should stand for election, or stands.
    Candidate,
    /// It leads.
    Leader,
}

/// How another member stands towards the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerProgress {
    /// Up to where it has the log.
    pub matched: u64,
    /// It was heard within the last election time-out.
    pub heard: bool,
    /// It is being sent a snapshot.
    pub snapshot: bool,
}

/// How a member stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its number.
    pub member: MemberId,
    /// What it is.
    pub role: Role,
    /// Whether it votes.
    pub voter: bool,
    /// The term.
    pub term: u64,
    /// Who leads, as far as it knows; 0: nobody.
    pub leader: MemberId,
    /// Up to where the log is agreed, as far as it knows.
    pub committed: u64,
    /// Up to where it is applied.
    pub applied: u64,
    /// The last entry that it has.
    pub last: u64,
    /// The index of its last snapshot.
    pub snapshot: u64,
    /// The others, where it leads.
    pub peers: BTreeMap<MemberId, PeerProgress>,
}

/// A command that was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Its index.
    pub index: u64,
    /// The term of the leader that put it there.
    pub term: u64,
    /// The write's id; may be empty.
    pub id: String,
    /// What came of it.
    pub outcome: Outcome,
    /// What it changed.
    pub effects: Effects,
}

/// A snapshot that is to be fetched from another member, and given by [`Node::fetched`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotFetch {
    /// From whom.
    pub from: MemberId,
    /// Which.
    pub snapshot: SnapshotMeta,
}

/// What a turn has brought.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to others; what they say is durable.
    pub messages: Vec<PeerMessage>,
    /// Commands that were applied, in order.
    pub applied: Vec<Applied>,
    /// Reads that may be answered from the state as it is now, by the numbers they were asked under.
    pub reads: Vec<u64>,
    /// A snapshot to fetch.
    pub fetch: Option<SnapshotFetch>,
    /// The state came whole from elsewhere.
    pub installed: bool,
}

/// A change of members, as the log holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Change {
    id: String,
    change: MemberChange,
}

/// A member.
pub struct Node<F: Files> {
    disk: MemberStore<F>,
    raw: RawNode<Memory>,
    state: Option<Arc<State>>,
    tuning: Tuning,
    seed: u64,
    /// Elections that it has stood for or asked about, and the last draw's reasons.
    campaigns: u64,
    /// A snapshot that was offered and is being fetched.
    offered: Option<(PeerMessage, SnapshotMeta)>,
    /// A snapshot's text that was fetched.
    text: Option<(String, String)>,
    /// Reads that the leader has answered with an index, until that is applied.
    reads: VecDeque<(u64, u64)>,
    voters: Vec<MemberId>,
    learners: Vec<MemberId>,
    out: Output,
}

impl<F: Files> Node<F> {
    /// Makes the first member of a new cluster in an empty folder, with the state that it begins with.
    pub fn bootstrap(files: F, identity: Identity, state: &State) -> Result<(), NodeError> {
        let mut state = state.clone();
        (state.index, state.served) = (1, 1);
        let text = state.snapshot();
        let place =
            SnapshotMeta { index: 1, term: 1, voters: vec![identity.member], ..SnapshotMeta::default() };
        MemberStore::make(files, identity, Some((place, &text)))?;
        Ok(())
    }

    /// Makes a member that was invited, in an empty folder.
    pub fn join(files: F, identity: Identity) -> Result<(), NodeError> {
        MemberStore::make(files, identity, None)?;
        Ok(())
    }

    /// Opens a member's folder. Runs of equal seeds, ticks and messages are equal.
    pub fn open(files: F, tuning: Tuning, seed: u64) -> Result<Node<F>, NodeError> {
        let (disk, mut found) = MemberStore::open(files)?;
        let (id, place) = (disk.identity().member, found.place.clone());
        let state = match &found.snapshot {
            Some(text) => Some(Arc::new(read_snapshot(&place, text)?)),
            None => None,
        };
        found.promise.commit = found.promise.commit.max(place.index);
        let conf = members(&place);
        let config = Config {
            id,
            election_tick: tuning.election_ticks,
            heartbeat_tick: tuning.heartbeat_ticks,
            applied: place.index,
            max_size_per_msg: MESSAGE_BYTES,
            max_inflight_msgs: INFLIGHT,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: UNCOMMITTED_MOST,
            max_committed_size_per_ready: APPLY_BYTES,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, Memory::new(found), &logger)?;
        let mut node = Node {
            disk,
            raw,
            state,
            tuning,
            seed,
            campaigns: 0,
            offered: None,
            text: None,
            reads: VecDeque::new(),
            voters: conf.voters.clone(),
            learners: conf.learners.clone(),
            out: Output::default(),
        };
        node.draw();
        Ok(node)
    }

    /// The library draws the time-out of elections from the thread's own generator; here it follows from the seed, the
    /// member, the term and how often it has campaigned.
    fn draw(&mut self) {
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

    /// Who this is.
    pub fn identity(&self) -> &Identity {
        self.disk.identity()
    }

    /// What is agreed, as far as it is applied here; none for a new member that has heard nothing yet.
    pub fn state(&self) -> Option<&State> {
        self.state.as_deref()
    }

    /// The same, to be kept: what is applied later does not change it.
    pub fn shared_state(&self) -> Option<Arc<State>> {
        self.state.clone()
    }

    /// Whether it leads.
    pub fn is_leader(&self) -> bool {
        self.raw.raft.state == StateRole::Leader && !self.is_removed()
    }

    /// The term.
    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// Who leads, as far as it knows; 0: nobody.
    pub fn leader(&self) -> MemberId {
        self.raw.raft.leader_id
    }

    /// Where the last snapshot stands.
    pub fn snapshot(&self) -> &SnapshotMeta {
        self.disk.snapshot()
    }

    /// The text of the last snapshot.
    pub fn snapshot_text(&self) -> Result<Option<String>, DiskError> {
        self.disk.snapshot_text()
    }

    /// Bytes of the log.
    pub fn log_bytes(&self) -> u64 {
        self.disk.length()
    }

    /// How it stands.
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
            snapshot: self.disk.snapshot().index,
            peers: peers.collect(),
        }
    }

    /// Whether this member knows that it was removed. It may have led by then: the library can't go on with a leader that
    /// is none of its members, so such a one takes no part any more, and the others elect another.
    fn is_removed(&self) -> bool {
        self.state.as_ref().is_some_and(|state| state.removed.contains_key(&self.raw.raft.id))
    }

    /// Time goes on by one tick.
    pub fn tick(&mut self) {
        if self.is_removed() {
            return;
        }
        let elapsed = self.raw.raft.election_elapsed;
        self.raw.tick();
        if !self.is_leader() && self.raw.raft.election_elapsed < elapsed {
            self.campaigns += 1;
        }
        self.draw();
    }

    /// Takes a message. What no member sends to this one is dropped.
    pub fn step(&mut self, message: PeerMessage) {
        if message.to != self.raw.raft.id || self.is_removed() {
            return;
        }
        if !mutant("removed-votes") && self.is_stranger(&message) {
            return;
        }
        if let Some(place) = message.place() {
            // Its text comes first; until then the leader waits.
            let known = place.index <= self.raw.raft.raft_log.committed;
            let there = self.text.as_ref().is_some_and(|(hash, _)| *hash == place.hash);
            if !known && !there {
                let same = self.offered.as_ref().is_some_and(|(_, offered)| *offered == place);
                if !same {
                    self.out.fetch = Some(SnapshotFetch { from: message.from, snapshot: place.clone() });
                }
                self.offered = Some((message, place));
                return;
            }
        }
        if let Some(message) = message.into_raft() {
            let _ = self.raw.step(message); // what it refuses is a message that has lost its meaning
            self.draw();
        }
    }

    /// Whether a message asks for a vote, or was sent, by one that is no member any more.
    fn is_stranger(&self, message: &PeerMessage) -> bool {
        self.state.as_ref().is_some_and(|state| state.removed.contains_key(&message.from))
    }

    /// The text of a snapshot that was to be fetched. Tells whether it is the right one.
    pub fn snapshot_fetched(&mut self, text: String) -> bool {
        let Some((message, place)) = self.offered.take() else { return false };
        let hash = seal::hash(&text);
        if hash != place.hash {
            self.offered = Some((message, place));
            return false;
        }
        self.text = Some((hash, text));
        self.step(message);
        true
    }

    /// A snapshot could not be fetched: it is asked for again when it is offered again.
    pub fn snapshot_fetch_failed(&mut self) {
        self.offered = None;
    }

    /// What was sent to a member is lost.
    pub fn report_unreachable(&mut self, member: MemberId) {
        self.raw.report_unreachable(member);
    }

    /// A member has fetched no snapshot for too long: it is offered again.
    pub fn retry_snapshot(&mut self, member: MemberId) {
        self.raw.report_snapshot(member, SnapshotStatus::Failure);
    }

    /// Proposes a command, here or through the leader. An error says that it was not; without one it may be lost, too:
    /// only what is applied has happened.
    pub fn propose(&mut self, proposal: &Proposal) -> Result<(), NodeError> {
        if self.is_removed() {
            return Err(raft::Error::ProposalDropped.into());
        }
        let data = serde_json::to_vec(proposal).unwrap_or_default(); // fails only for maps with odd keys
        Ok(self.raw.propose(Vec::new(), data)?)
    }

    /// Asks for the right to answer a read from the state as it will be then; [`Output::reads`] names the number. It may
    /// be lost: ask again.
    pub fn request_read(&mut self, number: u64) {
        if (mutant("stale-read") && self.is_leader()) || mutant("lone-read") {
            return self.out.reads.push(number);
        }
        if !self.is_removed() {
            self.raw.read_index(number.to_le_bytes().to_vec());
        }
    }

    /// Hands leadership to another member, if this one leads.
    pub fn transfer_leader(&mut self, to: MemberId) {
        self.raw.transfer_leader(to);
    }

    /// Proposes a change of members. Only the leader may, and none while another one is under way.
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
                let lacks = progress.map_or(last, |p| last.saturating_sub(p.matched));
                // One that is still being sent a snapshot has nothing: its vote would hold up what is agreed.
                let follows =
                    |p: &Progress| p.recent_active && p.state != ProgressState::Snapshot && p.matched > 0;
                if lacks > CAUGHT_UP || !progress.is_some_and(follows) {
                    return Err(format!("it has not caught up: it lacks {lacks} entries, or is not heard"));
                }
            }
            _ => {}
        }
        let context = Change { id: id.to_owned(), change: change.clone() };
        let context = serde_json::to_vec(&context).unwrap_or_default();
        let proposed = self.raw.propose_conf_change(context, conf_change(kind, member));
        proposed.map_err(|problem| problem.to_string())
    }

    /// Does what there is to do: makes promises durable, applies what is agreed, and gives what follows from it. After an
    /// error the member is to be dropped, and its folder opened anew.
    pub fn drive(&mut self) -> Result<Output, NodeError> {
        while !self.is_removed() && self.raw.has_ready() {
            let mut ready = self.raw.ready();
            self.send(ready.take_messages());
            let promise = ready.hs().map(promise_out);
            if !ready.snapshot().is_empty() {
                self.install(&ready.snapshot().clone(), promise)?;
            }
            let entries = ready.take_entries();
            self.disk.save(entries.iter().map(entry_out).collect(), promise)?;
            self.raw.mut_store().append(&entries);
            if let Some(promise) = promise {
                self.raw.mut_store().promised(promise);
            }
            for read in ready.take_read_states() {
                let number: Option<[u8; 8]> = read.request_ctx.as_slice().try_into().ok();
                self.reads.extend(number.map(|number| (u64::from_le_bytes(number), read.index)));
            }
            self.send(ready.take_persisted_messages());
            let committed = ready.take_committed_entries();
            self.apply(committed)?;
            if self.is_removed() {
                break;
            }
            let mut light = self.raw.advance_append(ready);
            if let Some(commit) = light.commit_index() {
                self.raw.mut_store().committed(commit);
            }
            self.send(light.take_messages());
            self.apply(light.take_committed_entries())?;
            if self.is_removed() {
                break;
            }
            self.raw.advance_apply();
            self.draw();
        }
        self.shorten()?;
        let applied = self.state.as_ref().map_or(0, |state| state.index);
        let (done, left) =
            std::mem::take(&mut self.reads).into_iter().partition(|(_, index)| *index <= applied);
        self.reads = left;
        let done: VecDeque<(u64, u64)> = done;
        self.out.reads.extend(done.into_iter().map(|(number, _)| number));
        Ok(std::mem::take(&mut self.out))
    }

    fn send(&mut self, messages: Vec<raft::eraftpb::Message>) {
        self.out.messages.extend(messages.iter().map(PeerMessage::from_raft));
    }

    fn install(&mut self, snapshot: &Snapshot, promise: Option<HardStateRecord>) -> Result<(), NodeError> {
        let damage = |problem: &str| {
            let index = snapshot.get_metadata().index;
            NodeError::Snapshot { index, problem: problem.to_owned() }
        };
        let place: SnapshotMeta =
            serde_json::from_slice(&snapshot.data).map_err(|e| damage(&e.to_string()))?;
        let (_, text) = self.text.take().ok_or_else(|| damage("its text never came"))?;
        let state = read_snapshot(&place, &text)?;
        let promise = promise.unwrap_or(self.raw.store().promise());
        let promise = HardStateRecord { commit: place.index, ..promise };
        let base = LogBase { index: place.index, term: place.term };
        self.disk.replace(place.clone(), Some(&text), promise, base, &[])?;
        (self.voters, self.learners) = (place.voters.clone(), place.learners.clone());
        self.raw.mut_store().install(place, promise);
        self.state = Some(Arc::new(state));
        self.out.installed = true;
        Ok(())
    }

    fn apply(&mut self, entries: Vec<Entry>) -> Result<(), NodeError> {
        for entry in entries {
            let (index, term) = (entry.index, entry.term);
            let damage = |problem: String| NodeError::Entry { index, problem };
            let Some(state) = self.state.as_mut().map(Arc::make_mut) else {
                return Err(damage("there is no state yet".to_owned()));
            };
            let (id, (outcome, effects)) = match entry.entry_type {
                EntryType::EntryNormal if entry.data.is_empty() => {
                    state.skip(index);
                    continue;
                }
                EntryType::EntryNormal => {
                    let proposal: Proposal =
                        serde_json::from_slice(&entry.data).map_err(|e| damage(e.to_string()))?;
                    (proposal.id.clone(), state.apply(index, proposal))
                }
                _ => {
                    let Change { id, change } =
                        serde_json::from_slice(&entry.context).map_err(|e| damage(e.to_string()))?;
                    let applied = state.change_members(index, id.clone(), change.clone());
                    if applied.0 == Outcome::Done && applied.1.members {
                        self.reconfigure(&change)?;
                    }
                    (id, applied)
                }
            };
            self.out.applied.push(Applied { index, term, id, outcome, effects });
        }
        Ok(())
    }

    fn reconfigure(&mut self, change: &MemberChange) -> Result<(), NodeError> {
        let (kind, member) = match change {
            MemberChange::Add { member, .. } => (ConfChangeType::AddLearnerNode, *member),
            MemberChange::Promote { member } => (ConfChangeType::AddNode, *member),
            MemberChange::Remove { member } => (ConfChangeType::RemoveNode, *member),
        };
        let conf = self.raw.apply_conf_change(&conf_change(kind, member))?;
        (self.voters, self.learners) = (conf.voters.clone(), conf.learners.clone());
        Ok(())
    }

    /// Puts a snapshot in the place of a log that has grown long, or where a member needs one.
    fn shorten(&mut self) -> Result<(), NodeError> {
        let wanted = self.raw.store().takes_wanted();
        let place = self.raw.store().place().clone();
        let long = self.disk.length() > self.tuning.log_bytes.max(2 * place.size);
        let Some(state) = self.state.as_ref().filter(|state| (long || wanted) && state.index > place.index)
        else {
            return Ok(());
        };
        let (index, text) = (state.index, state.snapshot());
        let (store, raft) = (self.raw.store(), &self.raw.raft);
        // What a member that is heard lacks stays, within bounds.
        let heard = raft.prs().iter().filter(|(id, p)| **id != raft.id && p.recent_active);
        let lacked = heard.map(|(_, progress)| progress.matched).min().unwrap_or(index);
        let lacked = if self.is_leader() { lacked } else { index };
        let [tail, most] = [TAIL, TAIL_MOST].map(|part| store.within(self.tuning.log_bytes / part));
        let base = store.base_at(lacked.min(tail).max(most).min(index));
        let at = store.base_at(index);
        let mut place = SnapshotMeta {
            index,
            term: at.term,
            voters: self.voters.clone(),
            learners: self.learners.clone(),
            hash: seal::hash(&text),
            size: text.len() as u64,
        };
        place.voters.sort_unstable();
        place.learners.sort_unstable();
        let promise = HardStateRecord { commit: raft.raft_log.committed, ..store.promise() };
        let entries = store.behind(base.index);
        self.disk.replace(place.clone(), Some(&text), promise, base, &entries)?;
        self.raw.mut_store().replace(place, base);
        Ok(())
    }
}

fn conf_change(kind: ConfChangeType, member: MemberId) -> ConfChangeV2 {
    let single = ConfChangeSingle { change_type: kind, node_id: member, ..ConfChangeSingle::default() };
    ConfChangeV2 { changes: vec![single].into(), ..ConfChangeV2::default() }
}

fn read_snapshot(place: &SnapshotMeta, text: &str) -> Result<State, NodeError> {
    State::from_snapshot(text).map_err(|problem| NodeError::Snapshot { index: place.index, problem })
}
