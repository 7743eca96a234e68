//! The member's worker thread: feeds requests and ticks to the node, sends its output and answers requests.

use super::link::Links;
use super::{Event, Reply, RequestError, Settings, View};
use crate::command::{Command, MAX_WRITE_ID_BYTES, MemberChange, MemberId, Outcome, Proposal};
use crate::node::{Node, NodeError, Output};
use crate::state::State;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use runtrack_net::mutant;
use runtrack_store::Folder;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Maximum number of events taken from the queue at once, so that one sync covers many writes.
const MAX_BATCH_EVENTS: usize = 256;
/// Interval at which a folder that cannot be used is reopened.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);
/// A member that was offered a snapshot and has fetched nothing for this long is offered it again.
const SNAPSHOT_FETCH_TIMEOUT: Duration = Duration::from_secs(10);

struct Write {
    proposal: Proposal,
    deadline: Instant,
    /// Time, term and leader of the last proposal.
    proposed: Option<(Instant, u64, MemberId)>,
    replies: Vec<Reply<(u64, Outcome)>>,
}

struct Read {
    deadline: Instant,
    requested: Option<Instant>,
    reply: Reply<Arc<State>>,
}

struct Change {
    id: String,
    change: MemberChange,
    deadline: Instant,
    proposed: bool,
    reply: Reply<()>,
}

struct Transfer {
    to: MemberId,
    deadline: Instant,
    reply: Reply<()>,
}

pub(super) struct Worker {
    node: Option<Node<Folder>>,
    folder: Folder,
    settings: Settings,
    links: Arc<Links>,
    view_sender: watch::Sender<Arc<View>>,
    /// Keeps the channel open for as long as the member runs.
    _events: mpsc::Sender<Event>,
    rng: Pcg32,
    writes: BTreeMap<String, Write>,
    reads: BTreeMap<u64, Read>,
    next_read: u64,
    changes: Vec<Change>,
    transfers: Vec<Transfer>,
    /// Time of the last fetch by each member that is being sent a snapshot.
    snapshot_progress: BTreeMap<MemberId, Instant>,
    reopen_at: Instant,
    last_quorum_contact: Option<Instant>,
    storage_error: Option<String>,
    removed: Option<String>,
    leader: MemberId,
    elections: u64,
}

pub(super) fn initial_view(node: &Node<Folder>) -> View {
    View {
        state: node.shared_state(),
        status: Some(node.status()),
        last_quorum_contact: None,
        storage_error: None,
        removed: None,
        links: BTreeMap::new(),
        elections: 0,
    }
}

impl Worker {
    pub(super) fn new(
        node: Node<Folder>,
        folder: Folder,
        settings: Settings,
        links: Arc<Links>,
        view_sender: watch::Sender<Arc<View>>,
        events: mpsc::Sender<Event>,
    ) -> Worker {
        let rng = Pcg32::seed_from_u64(settings.seed);
        Worker {
            node: Some(node),
            folder,
            settings,
            links,
            view_sender,
            _events: events,
            rng,
            writes: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_read: 1,
            changes: Vec::new(),
            transfers: Vec::new(),
            snapshot_progress: BTreeMap::new(),
            reopen_at: Instant::now(),
            last_quorum_contact: None,
            storage_error: None,
            removed: None,
            leader: 0,
            elections: 0,
        }
    }

    /// Runs until it is stopped.
    pub(super) async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        let mut ticks = interval(self.settings.tick);
        // Ticks missed while the process was suspended must not count towards timeouts.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => {
                    if let Some(node) = self.node.as_mut().filter(|_| self.removed.is_none()) {
                        node.tick();
                    }
                    self.on_tick();
                }
                taken = events.recv_many(&mut batch, MAX_BATCH_EVENTS) => if taken == 0 { return },
            }
            for event in batch.drain(..) {
                if matches!(event, Event::Stop) {
                    return;
                }
                self.handle_event(event);
            }
            // Events that arrived in the meantime share the same sync.
            while let Ok(event) = events.try_recv() {
                if matches!(event, Event::Stop) {
                    return;
                }
                self.handle_event(event);
            }
            self.run_iteration();
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Message(message) => {
                let Some(node) = &mut self.node else { return };
                if message.from == node.leader() && message.from != 0 {
                    self.last_quorum_contact = Some(Instant::now());
                }
                node.step(message);
            }
            Event::Write { id, command, deadline, reply } => self.write(id, command, deadline, reply),
            Event::Read { deadline, reply } => {
                self.reads.insert(self.next_read, Read { deadline, requested: None, reply });
                self.next_read += 1;
            }
            Event::Change { id, change, deadline, reply } => {
                self.changes.push(Change { id, change, deadline, proposed: false, reply });
            }
            Event::Transfer { to, deadline, reply } => self.transfer(to, deadline, reply),
            Event::SnapshotText { hash, reply } => {
                let node = self.node.as_ref().filter(|node| node.snapshot().hash == hash);
                let text = node.and_then(|node| node.snapshot_text().ok().flatten());
                let _ = reply.send(text.map(Arc::from)); // fails if the caller is gone
            }
            Event::SnapshotFetched(text) => {
                let Some(node) = &mut self.node else { return };
                match text {
                    Ok(text) => {
                        if !node.snapshot_fetched(text) {
                            node.snapshot_fetch_failed();
                        }
                    }
                    Err(why) => {
                        eprintln!("agreement: cannot fetch the snapshot: {why}");
                        node.snapshot_fetch_failed();
                    }
                }
            }
            Event::LinkLost(member) => {
                if let Some(node) = &mut self.node {
                    node.report_unreachable(member);
                }
            }
            Event::SnapshotProgress(member) => drop(self.snapshot_progress.insert(member, Instant::now())),
            Event::Removed(why) => {
                if self.removed.is_none() {
                    eprintln!("agreement: {why}");
                }
                self.removed = Some(why);
            }
            Event::Stop => {}
        }
    }

    fn write(&mut self, id: String, command: Command, deadline: Instant, reply: Reply<(u64, Outcome)>) {
        if id.len() > MAX_WRITE_ID_BYTES {
            let why = format!("a write's id has {} bytes, and {MAX_WRITE_ID_BYTES} is the most", id.len());
            return drop(reply.send(Err(RequestError::Refused(why))));
        }
        // A write without a client's id gets a random one, by which its outcome is found.
        let id = match id.is_empty() {
            true => format!("m{:016x}{:016x}", self.rng.next_u64(), self.rng.next_u64()),
            false => id,
        };
        let new_write = || Write {
            proposal: Proposal { id: id.clone(), command },
            deadline,
            proposed: None,
            replies: Vec::new(),
        };
        let write = self.writes.entry(id.clone()).or_insert_with(new_write);
        write.deadline = write.deadline.max(deadline);
        write.replies.push(reply);
    }

    fn transfer(&mut self, to: MemberId, deadline: Instant, reply: Reply<()>) {
        let Some(node) = &mut self.node else { return };
        let member = node.state().and_then(|state| state.members.get(&to));
        let why = match member {
            _ if !node.is_leader() => Some("this member does not lead"),
            None => Some("there is no such member"),
            Some(member) if !member.voter => Some("it does not vote: promote it first"),
            Some(_) => None,
        };
        match why {
            Some(why) => drop(reply.send(Err(RequestError::Refused(why.to_owned())))),
            None => {
                node.transfer_leader(to);
                self.transfers.push(Transfer { to, deadline, reply });
            }
        }
    }

    /// Does what is due by the clock: reopens the folder, tracks contact with a majority, and retries snapshots.
    fn on_tick(&mut self) {
        let now = Instant::now();
        if self.node.is_none() && now >= self.reopen_at {
            self.reopen_at = now + REOPEN_INTERVAL;
            match Node::open(self.folder.clone(), self.settings.tuning, self.settings.seed) {
                Ok(node) => {
                    eprintln!("agreement: the storage folder is usable again");
                    (self.node, self.storage_error) = (Some(node), None);
                }
                Err(problem) => self.report_storage_error(&problem),
            }
        }
        let Some(node) = &mut self.node else { return };
        if node.is_leader() {
            let status = node.status();
            let heard = status.peers.values().filter(|peer| peer.heard).count() + 1;
            // The library itself steps down after an election timeout without contact with a majority.
            let voters = node.state().map_or(1, |state| state.members.values().filter(|m| m.voter).count());
            if heard * 2 > voters {
                self.last_quorum_contact = Some(now);
            }
            for (member, _) in status.peers.iter().filter(|(_, peer)| peer.snapshot) {
                let last = *self.snapshot_progress.entry(*member).or_insert(now);
                if now >= last + SNAPSHOT_FETCH_TIMEOUT {
                    self.snapshot_progress.remove(member);
                    node.retry_snapshot(*member);
                }
            }
        }
    }

    fn report_storage_error(&mut self, problem: &NodeError) {
        let problem = problem.to_string();
        if self.storage_error.as_ref() != Some(&problem) {
            eprintln!("agreement: {problem}; serving the last applied state without taking part in Raft");
        }
        self.storage_error = Some(problem);
    }

    /// Runs one iteration: proposes pending requests, drives the node, and answers finished requests.
    fn run_iteration(&mut self) {
        let now = Instant::now();
        self.propose_requests(now);
        let output = match self.node.as_mut().map(Node::drive) {
            None => None,
            Some(Ok(output)) => Some(output),
            Some(Err(problem)) => {
                self.report_storage_error(&problem);
                self.node = None;
                self.reopen_at = now + REOPEN_INTERVAL;
                None
            }
        };
        if let Some(Output { messages, reads, fetch, .. }) = output {
            for message in messages {
                let to = message.to;
                if !self.links.send(message)
                    && let Some(node) = &mut self.node
                {
                    node.report_unreachable(to);
                }
            }
            if let Some(fetch) = fetch {
                self.links.fetch(fetch);
            }
            let state = self.node.as_ref().and_then(Node::shared_state);
            for number in reads {
                if let (Some(read), Some(state)) = (self.reads.remove(&number), &state) {
                    let _ = read.reply.send(Ok(state.clone()));
                }
            }
        }
        self.answer_requests(now);
        self.publish_view();
    }

    fn propose_requests(&mut self, now: Instant) {
        let retry_interval = self.settings.election_timeout() / 2;
        let Some(node) = &mut self.node else { return };
        let (leader, term) = (node.leader(), node.term());
        for write in self.writes.values_mut() {
            let due = write
                .proposed
                .is_none_or(|(at, of, to)| now >= at + retry_interval || (of, to) != (term, leader));
            if leader != 0 && due {
                // Refused proposals, for lack of room or of a leader, are proposed again.
                let _ = node.propose(&write.proposal);
                write.proposed = Some((now, term, leader));
            }
        }
        for (number, read) in &mut self.reads {
            if (leader != 0 || mutant("lone-read"))
                && read.requested.is_none_or(|at| now >= at + retry_interval)
            {
                node.request_read(*number);
                read.requested = Some(now);
            }
        }
        let mut waiting = Vec::new();
        for mut change in std::mem::take(&mut self.changes) {
            if !change.proposed {
                match node.change_members(&change.id, &change.change) {
                    Ok(()) => change.proposed = true,
                    Err(why) => {
                        let _ = change.reply.send(Err(RequestError::Refused(why)));
                        continue;
                    }
                }
            }
            waiting.push(change);
        }
        self.changes = waiting;
    }

    fn answer_requests(&mut self, now: Instant) {
        let state = self.node.as_ref().and_then(Node::shared_state);
        let unavailable = self.removed.clone().or_else(|| self.storage_error.clone());
        let failure = |expired: bool| match &unavailable {
            Some(why) => Some(RequestError::Refused(why.clone())),
            None => expired.then_some(RequestError::OutcomeUnknown),
        };
        self.writes.retain(|id, write| {
            let outcome = state.as_ref().and_then(|state| state.outcome(id));
            if let Some((index, outcome)) = outcome {
                write.replies.drain(..).for_each(|reply| drop(reply.send(Ok((index, outcome.clone())))));
                return false;
            }
            // A proposed write may still take effect, even if this member has failed since.
            let failure = match (now >= write.deadline, write.proposed) {
                (true, Some(_)) => Some(RequestError::OutcomeUnknown),
                (expired, _) => failure(expired),
            };
            if let Some(failure) = failure {
                write.replies.drain(..).for_each(|reply| drop(reply.send(Err(failure.clone()))));
                return false;
            }
            true
        });
        let expired: Vec<u64> =
            self.reads.iter().filter(|(_, r)| now >= r.deadline).map(|(n, _)| *n).collect();
        let failed = if unavailable.is_some() { self.reads.keys().copied().collect() } else { expired };
        for number in failed {
            if let Some(read) = self.reads.remove(&number) {
                let _ = read.reply.send(Err(failure(true).unwrap_or(RequestError::OutcomeUnknown)));
            }
        }
        for change in std::mem::take(&mut self.changes) {
            let outcome =
                state.as_ref().and_then(|state| state.outcome(&change.id)).map(|(_, outcome)| outcome);
            let answer = match outcome {
                Some(Outcome::Refused(why)) => Some(Err(RequestError::Refused(why.clone()))),
                Some(_) => Some(Ok(())),
                None if now >= change.deadline => Some(Err(RequestError::OutcomeUnknown)),
                None => None,
            };
            match answer {
                Some(answer) => drop(change.reply.send(answer)),
                None => self.changes.push(change),
            }
        }
        let leader = self.node.as_ref().map_or(0, Node::leader);
        for transfer in std::mem::take(&mut self.transfers) {
            if leader == transfer.to {
                let _ = transfer.reply.send(Ok(()));
            } else if now >= transfer.deadline {
                let _ = transfer.reply.send(Err(RequestError::OutcomeUnknown));
            } else {
                self.transfers.push(transfer);
            }
        }
    }

    /// Publishes the view, and updates the links to the current members.
    fn publish_view(&mut self) {
        let before = self.view_sender.borrow().clone();
        let (state, status) = match &self.node {
            Some(node) => (node.shared_state(), Some(node.status())),
            None => (before.state.clone(), None),
        };
        let leader = status.as_ref().map_or(0, |status| status.leader);
        if leader != self.leader && leader != 0 {
            self.elections += 1;
        }
        self.leader = leader;
        let member_id = self.node.as_ref().map_or(0, |node| node.identity().member);
        if let Some(removed) = state.as_ref().and_then(|state| state.removed.get(&member_id)) {
            let reason = format!(
                "this member, {}, was removed from the cluster at index {}",
                removed.name, removed.index
            );
            self.removed.get_or_insert(reason);
        }
        if let Some(node) = &self.node {
            let members: BTreeMap<MemberId, String> = match &state {
                Some(state) => {
                    state.members.iter().map(|(id, member)| (*id, member.address.clone())).collect()
                }
                None => node.identity().others.iter().cloned().collect(),
            };
            self.links.set_members(&members);
        }
        let view = View {
            state,
            status,
            last_quorum_contact: self.last_quorum_contact,
            storage_error: self.storage_error.clone(),
            removed: self.removed.clone(),
            links: self.links.statuses(),
            elections: self.elections,
        };
        // Receivers are only notified of relevant changes.
        let same_state = match (&before.state, &view.state) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (a, b) => a.is_none() && b.is_none(),
        };
        let same = same_state
            && before.status.as_ref().map(|s| (s.leader, s.role, s.voter))
                == view.status.as_ref().map(|s| (s.leader, s.role, s.voter))
            && (&before.storage_error, &before.removed) == (&view.storage_error, &view.removed);
        self.view_sender.send_if_modified(|current| {
            *current = Arc::new(view);
            !same
        });
    }
}
