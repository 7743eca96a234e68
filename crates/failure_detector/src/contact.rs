//! Proven contact with other processes: which peers a process has exchanged messages with, and as of when.
//!
//! A probe that was answered proves contact in both directions **as of the moment when it was sent**, not when its
//! answer was read. A process that was paused therefore finds, when it resumes, that all its contact is outdated, also
//! where answers wait in its buffers. Dating from the reply would let such a process act on a membership that has changed
//! meanwhile. Time is passed in as a [`Duration`] on a monotonic clock that runs on while the process is paused.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The time-outs of the detector. `suspicion` must exceed `lease`, so that a probe or two may be late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContactTimes {
    /// Contact that was proven within this time is current (a lease: Gray and Cheriton, 1989).
    pub lease: Duration,
    /// A member without proven contact for longer than this is suspected.
    pub suspicion: Duration,
}

/// A probe without a reply so far.
#[derive(Clone, Debug)]
struct SentProbe<M> {
    to: M,
    sent_at: Duration,
}

/// What is known of one peer.
#[derive(Clone, Debug)]
struct Peer<M> {
    /// Start of the suspicion time where no newer contact is proven.
    watched_since: Duration,
    /// When the newest answered probe was sent.
    proven_at: Option<Duration>,
    /// The members that the peer itself could not reach, as of `proven_at`.
    unreachable: BTreeSet<M>,
}

impl<M> Peer<M> {
    fn watched_from(now: Duration) -> Self {
        Peer { watched_since: now, proven_at: None, unreachable: BTreeSet::new() }
    }
}

/// The peers that this process has proven contact with.
#[derive(Clone, Debug)]
pub struct ContactTable<M> {
    me: M,
    times: ContactTimes,
    next_number: u64,
    probes: BTreeMap<u64, SentProbe<M>>,
    peers: BTreeMap<M, Peer<M>>,
    observed_at: Duration,
}

impl<M: Clone + Ord> ContactTable<M> {
    /// An empty table. Probes are numbered from `first_number`, which is drawn at random at each start of a process, so
    /// that an answer to a probe from before a restart matches none.
    pub fn new(me: M, times: ContactTimes, first_number: u64) -> Self {
        ContactTable {
            me,
            times,
            next_number: first_number,
            probes: BTreeMap::new(),
            peers: BTreeMap::new(),
            observed_at: Duration::ZERO,
        }
    }

    /// Notes the time. A process that has not done so for a full lease was paused: it can't know whether the others
    /// could be reached, so that suspicion starts anew.
    fn observe(&mut self, now: Duration) {
        if now.saturating_sub(self.observed_at) > self.times.lease {
            for peer in self.peers.values_mut() {
                peer.watched_since = now;
            }
        }
        self.observed_at = self.observed_at.max(now);
    }

    /// Replaces the set of watched members; of others only recent contact is kept.
    pub fn watch(&mut self, now: Duration, members: &BTreeSet<M>) {
        self.observe(now);
        let oldest = now.saturating_sub(self.times.suspicion);
        self.probes.retain(|_, probe| probe.sent_at >= oldest);
        self.peers.retain(|member, peer| {
            members.contains(member) || peer.proven_at.unwrap_or(peer.watched_since) >= oldest
        });
        for member in members.iter().filter(|member| **member != self.me) {
            self.peers.entry(member.clone()).or_insert_with(|| Peer::watched_from(now));
        }
    }

    /// Registers a probe that is sent to a peer now; returns its number.
    pub fn probe(&mut self, now: Duration, to: &M) -> u64 {
        self.observe(now);
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        self.probes.insert(number, SentProbe { to: to.clone(), sent_at: now });
        number
    }

    /// A peer has answered the probe of this number, and could not reach the members `unreachable`. Returns whether the
    /// answer proves newer contact.
    pub fn on_reply(&mut self, now: Duration, from: &M, number: u64, unreachable: BTreeSet<M>) -> bool {
        self.observe(now);
        if self.probes.get(&number).is_none_or(|probe| probe.to != *from) {
            return false;
        }
        let Some(probe) = self.probes.remove(&number) else { return false };
        let peer = self.peers.entry(probe.to).or_insert_with(|| Peer::watched_from(now));
        if peer.proven_at.is_some_and(|proven| proven >= probe.sent_at) {
            return false;
        }
        peer.proven_at = Some(probe.sent_at);
        peer.unreachable = unreachable;
        true
    }

    /// Time as of which contact with a peer is proven.
    fn proven_at(&self, member: &M) -> Option<Duration> {
        self.peers.get(member)?.proven_at
    }

    /// Whether there is current contact with a peer.
    pub fn is_in_contact(&self, now: Duration, member: &M) -> bool {
        *member == self.me
            || self.proven_at(member).is_some_and(|proven| now.saturating_sub(proven) <= self.times.lease)
    }

    /// When contact with a majority of each of these sets expires if no more is proven; none where there has been no such
    /// contact, or `sets` is empty.
    pub fn majority_until(&self, sets: &[BTreeSet<M>]) -> Option<Duration> {
        sets.iter().map(|set| self.majority_of_set_until(set)).min().flatten()
    }

    fn majority_of_set_until(&self, set: &BTreeSet<M>) -> Option<Duration> {
        let others = majority(set.len()) - usize::from(set.contains(&self.me));
        let Some(last_needed) = others.checked_sub(1) else { return Some(Duration::MAX) };
        let others = set.iter().filter(|member| **member != self.me);
        let mut proven: Vec<Duration> = others.filter_map(|member| self.proven_at(member)).collect();
        proven.sort_unstable_by(|left, right| right.cmp(left));
        proven.get(last_needed).map(|proven| proven.saturating_add(self.times.lease))
    }

    /// Whether this process is in contact with a majority of each of these sets, counting itself where it is in one.
    pub fn is_current(&self, now: Duration, sets: &[BTreeSet<M>]) -> bool {
        self.majority_until(sets).is_some_and(|until| now <= until)
    }

    /// Whether this process has had no contact with a member that it watches for longer than the suspicion time.
    pub fn is_unreachable(&mut self, now: Duration, member: &M) -> bool {
        self.observe(now);
        let Some(peer) = self.peers.get(member) else { return false };
        let last = peer.proven_at.map_or(peer.watched_since, |proven| proven.max(peer.watched_since));
        now.saturating_sub(last) > self.times.suspicion
    }

    /// The members of a set without proven contact for longer than the suspicion time.
    pub fn unreachable(&mut self, now: Duration, set: &BTreeSet<M>) -> Vec<M> {
        set.iter().filter(|member| self.is_unreachable(now, member)).cloned().collect()
    }

    /// Whether a majority of a set, counting this process where it is in it, has not reached a member for longer than the
    /// suspicion time. A peer's report counts while there is current contact with that peer.
    pub fn is_suspected_by_majority(&mut self, now: Duration, set: &BTreeSet<M>, member: &M) -> bool {
        let by_me = set.contains(&self.me) && self.is_unreachable(now, member);
        let by_peers = set.iter().filter(|voter| **voter != self.me && *voter != member).filter(|voter| {
            let peer = self.peers.get(*voter);
            self.is_in_contact(now, voter) && peer.is_some_and(|peer| peer.unreachable.contains(member))
        });
        usize::from(by_me) + by_peers.count() >= majority(set.len())
    }
}

/// The size of a majority of this many members.
fn majority(members: usize) -> usize {
    members / 2 + 1
}
