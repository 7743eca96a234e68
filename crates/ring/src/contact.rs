//! Proven contact with other processes: whom a process has reached and heard, as of when.
//!
//! A probe that was answered proves contact in both directions **as of the moment when it was sent**, not when its
//! answer was read. A process that stood still therefore finds, when it goes on, that all its contact is old, also
//! where answers wait in its buffers. Time comes in as a [`Duration`] on a steady clock that runs on while the
//! process stands still.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long contact counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContactTimes {
    /// Contact that was proven within this time is current.
    pub lease: Duration,
    /// A member that was not reached for longer than this is suspect.
    pub suspicion: Duration,
}

#[derive(Clone, Debug)]
struct SentProbe<M> {
    to: M,
    sent_at: Duration,
}

#[derive(Clone, Debug)]
struct Peer<M> {
    /// Suspicion counts from here where nothing newer is proven.
    watched_since: Duration,
    /// When the newest probe that was answered was sent.
    proven_at: Option<Duration>,
    /// Whom the peer itself could not reach, as of `proven_at`.
    unreachable: BTreeSet<M>,
}

impl<M> Peer<M> {
    fn watched_from(now: Duration) -> Self {
        Peer { watched_since: now, proven_at: None, unreachable: BTreeSet::new() }
    }
}

/// Whom this process has proven contact with.
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
    /// Nobody has been reached. Numbers of probes begin at `first_number`: drawn at each start of a process, so that
    /// an answer to a process before its restart matches nothing.
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

    /// Notes the time. A process that has not looked at it for a whole lease stood still: it can't tell whether the
    /// others were silent, so suspicion counts anew.
    fn observe(&mut self, now: Duration) {
        if now.saturating_sub(self.observed_at) > self.times.lease {
            for peer in self.peers.values_mut() {
                peer.watched_since = now;
            }
        }
        self.observed_at = self.observed_at.max(now);
    }

    /// These are watched from now on; of others only what is recent is kept.
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

    /// A probe to a peer is sent now; its number.
    pub fn probe(&mut self, now: Duration, to: &M) -> u64 {
        self.observe(now);
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        self.probes.insert(number, SentProbe { to: to.clone(), sent_at: now });
        number
    }

    /// A peer has answered the probe of this number, and could not reach these; whether that proves anything.
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

    /// As of when contact with a peer is proven.
    fn proven_at(&self, member: &M) -> Option<Duration> {
        self.peers.get(member)?.proven_at
    }

    /// Whether there is current contact with a peer.
    pub fn is_in_contact(&self, now: Duration, member: &M) -> bool {
        *member == self.me
            || self.proven_at(member).is_some_and(|proven| now.saturating_sub(proven) <= self.times.lease)
    }

    /// Until when contact with a majority of each of these sets lasts if nothing more is proven; nothing where there
    /// has been none, or no set is known.
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

    /// Whether this process is in contact with a majority of each of these sets, itself included where it is in them.
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

    /// Those of a set that this process has not reached for longer than the suspicion time.
    pub fn unreachable(&mut self, now: Duration, set: &BTreeSet<M>) -> Vec<M> {
        set.iter().filter(|member| self.is_unreachable(now, member)).cloned().collect()
    }

    /// Whether a majority of a set, this process included where it is in it, has not reached a member for longer than
    /// the suspicion time. The word of a peer counts while there is current contact with it.
    pub fn is_suspected_by_majority(&mut self, now: Duration, set: &BTreeSet<M>, member: &M) -> bool {
        let by_me = set.contains(&self.me) && self.is_unreachable(now, member);
        let by_peers = set.iter().filter(|voter| **voter != self.me && *voter != member).filter(|voter| {
            let peer = self.peers.get(*voter);
            self.is_in_contact(now, voter) && peer.is_some_and(|peer| peer.unreachable.contains(member))
        });
        usize::from(by_me) + by_peers.count() >= majority(set.len())
    }
}

/// How many of so many members are a majority.
fn majority(members: usize) -> usize {
    members / 2 + 1
}
