//! Which members have the committed value on disk. No I/O and no clock: time is passed in as a [`Duration`] on a monotonic
//! clock. `membership.rs` plans on what is known here.
//!
//! A committed value is on the disks of a majority. After a change of members, or once a member can be reached again,
//! the [`ReplicaTable`] watches until every member can be reached and has it too.

use crate::membership::PresentMember;
use crate::sets::{is_joint, members_of};
use runtrack_message::{Ballot, Member, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// A joining member must have each value that has been known to be committed for this long. While configurations change
/// all the time it never has quite the newest one.
pub const JOIN_LAG: Duration = Duration::from_millis(1000);

/// A change in the replication of the committed value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaEvent {
    /// Every member can be reached and has the value of this sequence number.
    Complete {
        /// Sequence number of the value.
        sequence: u64,
        /// Time since the members changed, or one of them could be reached again.
        after: Duration,
    },
    /// A member that can be reached has lacked the value for so long that changes of members don't wait for it any more.
    Missing {
        /// The member.
        member: Member,
    },
}

/// A value that all members should have.
#[derive(Clone, Copy, Debug)]
struct Target {
    ballot: Ballot,
    sequence: u64,
    since: Duration,
}

/// Which members have the committed value.
#[derive(Clone, Debug)]
pub struct ReplicaTable {
    wait: Duration,
    set: BTreeSet<Member>,
    /// Ballot of the first value that was known with the current set.
    membership: Ballot,
    reached: BTreeMap<Member, Ballot>,
    target: Option<Target>,
    /// Members that can be reached and lack the value of the last change, with the time since when.
    lacking: BTreeMap<Member, Duration>,
    reported: BTreeSet<Member>,
    /// Ballots of committed values and since when each is known: the last one before [`JOIN_LAG`], and all since.
    recent: VecDeque<(Duration, Ballot)>,
}

impl ReplicaTable {
    /// An empty table. A member that lacks the value for longer than `wait` is reported as missing, once.
    pub fn new(wait: Duration) -> Self {
        ReplicaTable {
            wait,
            set: BTreeSet::new(),
            membership: Ballot::default(),
            reached: BTreeMap::new(),
            target: None,
            lacking: BTreeMap::new(),
            reported: BTreeSet::new(),
            recent: VecDeque::new(),
        }
    }

    /// Notes the newest committed value, its ballot, and the ballots that the members which can be reached have on disk,
    /// this one included; a member that is absent from `durable` can't be reached.
    pub fn observe(
        &mut self,
        now: Duration,
        ballot: Ballot,
        value: &Value,
        durable: BTreeMap<Member, Ballot>,
    ) -> Vec<ReplicaEvent> {
        let is_written = ballot > Ballot::default();
        // Before `reached` is replaced: a member that has come back is one that was not in it.
        let has_returned = durable.keys().any(|member| !self.reached.contains_key(member));
        let has_changed = self.note_set(ballot, value);
        if is_written && (has_changed || has_returned) {
            self.target = Some(Target { ballot, sequence: value.sequence, since: now });
        }
        self.reached = durable;
        if is_written {
            self.note_committed(now, ballot);
        }
        let mut events = self.note_missing(now);
        events.extend(self.note_complete(now));
        events
    }

    /// Notes the members of a value; whether they came into force with it. Joint sets change nothing here: the change is
    /// not finished.
    fn note_set(&mut self, ballot: Ballot, value: &Value) -> bool {
        let set = members_of(value);
        // With the first value its members come into force, also where they are the same as before it.
        let is_first = ballot > Ballot::default() && self.membership == Ballot::default();
        let has_changed = !is_joint(value) && (is_first || set != self.set);
        if has_changed {
            self.set = set;
            self.membership = ballot;
        }
        has_changed
    }

    fn note_committed(&mut self, now: Duration, ballot: Ballot) {
        if self.recent.back().is_none_or(|(_, newest)| *newest < ballot) {
            self.recent.push_back((now, ballot));
        }
        let is_past_lag = |(since, _): &(Duration, Ballot)| now.saturating_sub(*since) >= JOIN_LAG;
        while self.recent.get(1).is_some_and(is_past_lag) {
            self.recent.pop_front();
        }
    }

    fn note_missing(&mut self, now: Duration) -> Vec<ReplicaEvent> {
        let lacks =
            |(member, accepted): (&Member, &Ballot)| (*accepted < self.membership).then_some(*member);
        let lacking: BTreeSet<Member> = self.reached.iter().filter_map(lacks).collect();
        self.lacking.retain(|member, _| lacking.contains(member));
        self.reported.retain(|member| lacking.contains(member));
        for member in &lacking {
            self.lacking.entry(*member).or_insert(now);
        }
        let overdue: Vec<Member> =
            lacking.into_iter().filter(|member| self.is_overdue(now, member)).collect();
        let new = overdue.into_iter().filter(|member| self.reported.insert(*member));
        new.map(|member| ReplicaEvent::Missing { member }).collect()
    }

    fn note_complete(&mut self, now: Duration) -> Option<ReplicaEvent> {
        let target = self.target?;
        if !self.is_complete(target.ballot) {
            return None;
        }
        self.target = None;
        let after = now.saturating_sub(target.since);
        Some(ReplicaEvent::Complete { sequence: target.sequence, after })
    }

    fn is_overdue(&self, now: Duration, member: &Member) -> bool {
        self.lacking.get(member).is_some_and(|since| now.saturating_sub(*since) > self.wait)
    }

    /// Whether every member can be reached and has the value of this ballot, or a newer one. Beside one that can't be
    /// reached the next loss may leave no majority, however complete the replicas of the others are.
    pub fn is_complete(&self, ballot: Ballot) -> bool {
        let has_it = |member| self.reached.get(member).is_some_and(|accepted| *accepted >= ballot);
        self.set.iter().all(has_it)
    }

    /// Ballot of the value by which the current set came into force.
    pub fn membership(&self) -> Ballot {
        self.membership
    }

    /// Ballot of the value that a joining member must have on disk before it is admitted.
    pub fn required(&self) -> Ballot {
        self.recent.front().map(|(_, ballot)| *ballot).unwrap_or_default()
    }

    /// The members that can be reached, with what they have on disk.
    pub fn present(&self, now: Duration) -> BTreeMap<Member, PresentMember> {
        let present = |(member, accepted): (&Member, &Ballot)| {
            (*member, PresentMember { accepted: *accepted, overdue: self.is_overdue(now, member) })
        };
        self.reached.iter().map(present).collect()
    }
}
