//! The member's thread: orders and ticks in, one turn of the node, and what follows from it out.

use super::link::Links;
use super::{Order, Reply, RequestError, Settings, View};
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

/// Orders taken in one turn, so that one sync stands for many.
const BATCH: usize = 256;
/// A folder that can't be used is opened anew this often.
const REOPEN: Duration = Duration::from_secs(1);
/// A member that was offered a snapshot and fetches nothing for so long is offered it again.
const FETCH_IDLE: Duration = Duration::from_secs(10);

struct Write {
    proposal: Proposal,
    until: Instant,
    /// When it was proposed last, and to which leader of which term.
    proposed: Option<(Instant, u64, MemberId)>,
    replies: Vec<Reply<(u64, Outcome)>>,
}

struct Read {
    until: Instant,
    asked: Option<Instant>,
    reply: Reply<Arc<State>>,
}

struct Change {
    id: String,
    change: MemberChange,
    until: Instant,
    proposed: bool,
    reply: Reply<()>,
}

struct Transfer {
    to: MemberId,
    until: Instant,
    reply: Reply<()>,
}

pub(super) struct Worker {
    node: Option<Node<Folder>>,
    folder: Folder,
    settings: Settings,
    links: Arc<Links>,
    show: watch::Sender<Arc<View>>,
    /// Held so that the channel stays open for as long as the member runs.
    _orders: mpsc::Sender<Order>,
    draws: Pcg32,
    writes: BTreeMap<String, Write>,
    reads: BTreeMap<u64, Read>,
    next_read: u64,
    changes: Vec<Change>,
    transfers: Vec<Transfer>,
    /// When members that are sent a snapshot fetched last.
    fetching: BTreeMap<MemberId, Instant>,
    reopen_at: Instant,
    last_quorum_contact: Option<Instant>,
    storage_error: Option<String>,
    removed: Option<String>,
    leader: MemberId,
    elections: u64,
}

pub(super) fn view_of(node: &Node<Folder>) -> View {
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
        show: watch::Sender<Arc<View>>,
        orders: mpsc::Sender<Order>,
    ) -> Worker {
        let draws = Pcg32::seed_from_u64(settings.seed);
        Worker {
            node: Some(node),
            folder,
            settings,
            links,
            show,
            _orders: orders,
            draws,
            writes: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_read: 1,
            changes: Vec::new(),
            transfers: Vec::new(),
            fetching: BTreeMap::new(),
            reopen_at: Instant::now(),
            last_quorum_contact: None,
            storage_error: None,
            removed: None,
            leader: 0,
            elections: 0,
        }
    }

    /// Runs until it is told to stop.
    pub(super) async fn run(mut self, mut orders: mpsc::Receiver<Order>) {
        let mut ticks = interval(self.settings.tick);
        // A process that was stopped has not lived through the ticks that it missed.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => {
                    if let Some(node) = self.node.as_mut().filter(|_| self.removed.is_none()) {
                        node.tick();
                    }
                    self.look();
                }
                taken = orders.recv_many(&mut batch, BATCH) => if taken == 0 { return },
            }
            for order in batch.drain(..) {
                if matches!(order, Order::Stop) {
                    return;
                }
                self.take(order);
            }
            // What came meanwhile goes into the same sync.
            while let Ok(order) = orders.try_recv() {
                if matches!(order, Order::Stop) {
                    return;
                }
                self.take(order);
            }
            self.turn();
        }
    }

    fn take(&mut self, order: Order) {
        match order {
            Order::Message(message) => {
                let Some(node) = &mut self.node else { return };
                if message.from == node.leader() && message.from != 0 {
                    self.last_quorum_contact = Some(Instant::now());
                }
                node.step(message);
            }
            Order::Write { id, command, until, reply } => self.write(id, command, until, reply),
            Order::Read { until, reply } => {
                self.reads.insert(self.next_read, Read { until, asked: None, reply });
                self.next_read += 1;
            }
            Order::Change { id, change, until, reply } => {
                self.changes.push(Change { id, change, until, proposed: false, reply });
            }
            Order::Transfer { to, until, reply } => self.transfer(to, until, reply),
            Order::Text { hash, reply } => {
                let node = self.node.as_ref().filter(|node| node.snapshot().hash == hash);
                let text = node.and_then(|node| node.snapshot_text().ok().flatten());
                let _ = reply.send(text.map(Arc::from)); // fails where the asker has gone
            }
            Order::Fetched(text) => {
                let Some(node) = &mut self.node else { return };
                match text {
                    Ok(text) => {
                        if !node.snapshot_fetched(text) {
                            node.snapshot_fetch_failed();
                        }
                    }
                    Err(why) => {
                        eprintln!("agreement: the snapshot did not come: {why}");
                        node.snapshot_fetch_failed();
                    }
                }
            }
            Order::Lost(member) => {
                if let Some(node) = &mut self.node {
                    node.report_unreachable(member);
                }
            }
            Order::Fetching(member) => drop(self.fetching.insert(member, Instant::now())),
            Order::Removed(why) => {
                if self.removed.is_none() {
                    eprintln!("agreement: {why}");
                }
                self.removed = Some(why);
            }
            Order::Stop => {}
        }
    }

    fn write(&mut self, id: String, command: Command, until: Instant, reply: Reply<(u64, Outcome)>) {
        if id.len() > MAX_WRITE_ID_BYTES {
            let why = format!("a write's id has {} bytes, and {MAX_WRITE_ID_BYTES} is the most", id.len());
            return drop(reply.send(Err(RequestError::Refused(why))));
        }
        // Without an id of its client's it gets one of this member's, to be known by.
        let id = match id.is_empty() {
            true => format!("m{:016x}{:016x}", self.draws.next_u64(), self.draws.next_u64()),
            false => id,
        };
        let fresh = || Write {
            proposal: Proposal { id: id.clone(), command },
            until,
            proposed: None,
            replies: Vec::new(),
        };
        let write = self.writes.entry(id.clone()).or_insert_with(fresh);
        write.until = write.until.max(until);
        write.replies.push(reply);
    }

    fn transfer(&mut self, to: MemberId, until: Instant, reply: Reply<()>) {
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
                self.transfers.push(Transfer { to, until, reply });
            }
        }
    }

    /// Looks at the clock.
    fn look(&mut self) {
        let now = Instant::now();
        if self.node.is_none() && now >= self.reopen_at {
            self.reopen_at = now + REOPEN;
            match Node::open(self.folder.clone(), self.settings.tuning, self.settings.seed) {
                Ok(node) => {
                    eprintln!("agreement: the folder can be used again");
                    (self.node, self.storage_error) = (Some(node), None);
                }
                Err(problem) => self.report_storage_error(&problem),
            }
        }
        let Some(node) = &mut self.node else { return };
        if node.is_leader() {
            let status = node.status();
            let heard = status.peers.values().filter(|peer| peer.heard).count() + 1;
            // The library itself steps down once it has not heard a majority for an election time-out.
            let voters = node.state().map_or(1, |state| state.members.values().filter(|m| m.voter).count());
            if heard * 2 > voters {
                self.last_quorum_contact = Some(now);
            }
            for (member, _) in status.peers.iter().filter(|(_, peer)| peer.snapshot) {
                let last = *self.fetching.entry(*member).or_insert(now);
                if now >= last + FETCH_IDLE {
                    self.fetching.remove(member);
                    node.retry_snapshot(*member);
                }
            }
        }
    }

    fn report_storage_error(&mut self, problem: &NodeError) {
        let problem = problem.to_string();
        if self.storage_error.as_ref() != Some(&problem) {
            eprintln!("agreement: {problem}; what is agreed is served on, and nothing is promised");
        }
        self.storage_error = Some(problem);
    }

    /// One turn: what waits is proposed, the node does what there is to do, and who waits is answered.
    fn turn(&mut self) {
        let now = Instant::now();
        self.propose(now);
        let output = match self.node.as_mut().map(Node::drive) {
            None => None,
            Some(Ok(output)) => Some(output),
            Some(Err(problem)) => {
                self.report_storage_error(&problem);
                self.node = None;
                self.reopen_at = now + REOPEN;
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
        self.answer(now);
        self.publish();
    }

    fn propose(&mut self, now: Instant) {
        let again = self.settings.election_timeout() / 2;
        let Some(node) = &mut self.node else { return };
        let (leader, term) = (node.leader(), node.term());
        for write in self.writes.values_mut() {
            let due =
                write.proposed.is_none_or(|(at, of, to)| now >= at + again || (of, to) != (term, leader));
            if leader != 0 && due {
                // What it refuses, for want of room or of a leader, is proposed again.
                let _ = node.propose(&write.proposal);
                write.proposed = Some((now, term, leader));
            }
        }
        for (number, read) in &mut self.reads {
            if (leader != 0 || mutant("lone-read")) && read.asked.is_none_or(|at| now >= at + again) {
                node.request_read(*number);
                read.asked = Some(now);
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

    fn answer(&mut self, now: Instant) {
        let state = self.node.as_ref().and_then(Node::shared_state);
        let unavailable = self.removed.clone().or_else(|| self.storage_error.clone());
        let failure = |over: bool| match &unavailable {
            Some(why) => Some(RequestError::Refused(why.clone())),
            None => over.then_some(RequestError::OutcomeUnknown),
        };
        self.writes.retain(|id, write| {
            let outcome = state.as_ref().and_then(|state| state.outcome(id));
            if let Some((index, outcome)) = outcome {
                write.replies.drain(..).for_each(|reply| drop(reply.send(Ok((index, outcome.clone())))));
                return false;
            }
            // Proposed, it may come to pass yet, whatever ails this member now.
            let failure = match (now >= write.until, write.proposed) {
                (true, Some(_)) => Some(RequestError::OutcomeUnknown),
                (over, _) => failure(over),
            };
            if let Some(failure) = failure {
                write.replies.drain(..).for_each(|reply| drop(reply.send(Err(failure.clone()))));
                return false;
            }
            true
        });
        let over: Vec<u64> = self.reads.iter().filter(|(_, r)| now >= r.until).map(|(n, _)| *n).collect();
        let lost = if unavailable.is_some() { self.reads.keys().copied().collect() } else { over };
        for number in lost {
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
                None if now >= change.until => Some(Err(RequestError::OutcomeUnknown)),
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
            } else if now >= transfer.until {
                let _ = transfer.reply.send(Err(RequestError::OutcomeUnknown));
            } else {
                self.transfers.push(transfer);
            }
        }
    }

    /// Shows what is known, and keeps links to those that are members.
    fn publish(&mut self) {
        let before = self.show.borrow().clone();
        let (state, status) = match &self.node {
            Some(node) => (node.shared_state(), Some(node.status())),
            None => (before.state.clone(), None),
        };
        let leader = status.as_ref().map_or(0, |status| status.leader);
        if leader != self.leader && leader != 0 {
            self.elections += 1;
        }
        self.leader = leader;
        let me = self.node.as_ref().map_or(0, |node| node.identity().member);
        if let Some(removed) = state.as_ref().and_then(|state| state.removed.get(&me)) {
            let what = format!(
                "this member, {}, was removed from the cluster at index {}",
                removed.name, removed.index
            );
            self.removed.get_or_insert(what);
        }
        if let Some(node) = &self.node {
            let members: BTreeMap<MemberId, String> = match &state {
                Some(state) => {
                    state.members.iter().map(|(id, member)| (*id, member.address.clone())).collect()
                }
                None => node.identity().others.iter().cloned().collect(),
            };
            self.links.keep(&members);
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
        // Those who wait are woken only by news.
        let same_state = match (&before.state, &view.state) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (a, b) => a.is_none() && b.is_none(),
        };
        let same = same_state
            && before.status.as_ref().map(|s| (s.leader, s.role, s.voter))
                == view.status.as_ref().map(|s| (s.leader, s.role, s.voter))
            && (&before.storage_error, &before.removed) == (&view.storage_error, &view.removed);
        self.show.send_if_modified(|shown| {
            *shown = Arc::new(view);
            !same
        });
    }
}
