//! Who holds the committed value on disk. No I/O and no clock: time comes in as a [`Duration`] on a steady clock.
//!
//! A committed value is on the disks of a majority. After a change of members, or once a member can be reached again,
//! the [`ReplicaTable`] watches until every member can be reached and holds it too.

use crate::membership::PresentMember;
use crate::sets::{is_joint, members_of};
use runtrack_message::{Ballot, Member, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// A joining member must hold what has been known to be committed for so long: while configurations change all the time
/// it is never quite at the newest one.
pub const JOIN_LAG: Duration = Duration::from_millis(1000);

/// What became of the copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaEvent {
    /// Every member can be reached and holds the value of this sequence number, so long after it was first wanted.
    Complete {
        /// Sequence number of the value.
        sequence: u64,
        /// Time since the members changed, or one of them could be reached again.
        after: Duration,
    },
    /// A member that can be reached has lacked the value for so long that changes of members don't wait for it.
    Missing {
        /// The member.
        member: Member,
    },
}

/// A value that everyone should hold.
#[derive(Clone, Copy, Debug)]
struct Target {
    ballot: Ballot,
    sequence: u64,
    since: Duration,
}

/// Who holds the committed value.
#[derive(Clone, Debug)]
pub struct ReplicaTable {
    wait: Duration,
    set: BTreeSet<Member>,
    /// Ballot of the first value that was known with the current set.
    membership: Ballot,
    reached: BTreeMap<Member, Ballot>,
    target: Option<Target>,
    /// Members that can be reached and lack the value of the last change, since when.
    lacking: BTreeMap<Member, Duration>,
    reported: BTreeSet<Member>,
    /// Ballots of committed values and since when each is known: the last one before [`JOIN_LAG`], and all since.
    recent: VecDeque<(Duration, Ballot)>,
}

impl ReplicaTable {
    /// Nothing is known. A copy that is missing for longer than `wait` is not waited for.
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

    /// Notes the newest committed value, and what the members that can be reached hold, this one included.
    pub fn observe(
        &mut self,
        now: Duration,
        ballot: Ballot,
        value: &Value,
        holding: BTreeMap<Member, Ballot>,
    ) -> Vec<ReplicaEvent> {
        let set = members_of(value);
        let is_written = ballot > Ballot::default();
        // The first value that is written brings its members into force anew, also where they are the first ones.
        let is_first = is_written && self.membership == Ballot::default();
        let changed = !is_joint(value) && (is_first || set != self.set);
        let returned = holding.keys().any(|member| !self.reached.contains_key(member));
        if changed {
            self.set = set;
            self.membership = ballot;
        }
        if is_written && (changed || returned) {
            self.target = Some(Target { ballot, sequence: value.sequence, since: now });
        }
        self.reached = holding;
        if is_written {
            self.note_committed(now, ballot);
        }
        let mut events = self.note_missing(now);
        events.extend(self.note_complete(now));
        events
    }

    fn note_committed(&mut self, now: Duration, ballot: Ballot) {
        if self.recent.back().is_none_or(|(_, newest)| *newest < ballot) {
            self.recent.push_back((now, ballot));
        }
        let settled = |(since, _): &(Duration, Ballot)| now.saturating_sub(*since) >= JOIN_LAG;
        while self.recent.get(1).is_some_and(settled) {
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

    /// Whether every member can be reached and holds the value of this ballot, or a newer one. Beside one that can't be
    /// reached the next loss may leave no majority, however whole the copies of the others are.
    pub fn is_complete(&self, ballot: Ballot) -> bool {
        let holds = |member| self.reached.get(member).is_some_and(|accepted| *accepted >= ballot);
        self.set.iter().all(holds)
    }

    /// Ballot of the value by which the current set came into force.
    pub fn membership(&self) -> Ballot {
        self.membership
    }

    /// Ballot of the value that a joining member must hold before it counts.
    pub fn required(&self) -> Ballot {
        self.recent.front().map(|(_, ballot)| *ballot).unwrap_or_default()
    }

    /// The members that can be reached, with what they hold.
    pub fn present(&self, now: Duration) -> BTreeMap<Member, PresentMember> {
        let present = |(member, accepted): (&Member, &Ballot)| {
            (*member, PresentMember { accepted: *accepted, overdue: self.is_overdue(now, member) })
        };
        self.reached.iter().map(present).collect()
    }
}
