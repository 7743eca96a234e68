//! Detection of a disk that was restored from an older copy when its member starts.
//!
//! The disk alone doesn't show it: an older copy is complete and valid, and a newest record that is damaged looks like one
//! whose write was never acknowledged. So each member remembers, in memory, the highest ballots that every other member has
//! shown to have on disk ([`DurableWatermarks`]), and one that starts with records asks the others before it promises
//! anything ([`DiskCheck`]). A member that learns of a higher ballot than its own has an older disk: under its incarnation
//! it must neither promise nor accept any more, since it has forgotten promises, and joins again as another one.
//!
//! Watermarks end with the process that remembers them. Where all members start at once none are left, and the check ends
//! [`DiskVerdict::Unknown`]. A ballot that only a proposer has seen which has ended since is not known either.

use crate::sets::has_majority;
use runtrack_message::{Ballot, Member, RegisterReply, Watermark};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long the check waits for the remaining answers once a majority of each set has answered.
pub const LATE_ANSWERS_TIMEOUT: Duration = Duration::from_millis(300);

/// The highest ballots that members have shown to have on disk, as seen by this process since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableWatermarks {
    seen: BTreeMap<Member, Watermark>,
}

impl DurableWatermarks {
    /// Notes a member's reply: it is only sent once what it states is on disk.
    pub fn on_reply(&mut self, from: Member, reply: &RegisterReply) {
        let nothing = Ballot::default();
        let watermark = match reply {
            RegisterReply::Promised { ballot, accepted }
            | RegisterReply::PromisedWith { ballot, accepted, .. } => {
                Watermark { promised: *ballot, accepted: *accepted }
            }
            RegisterReply::Accepted { ballot } => Watermark { promised: *ballot, accepted: *ballot },
            RegisterReply::Rejected { promised, .. } => {
                Watermark { promised: *promised, accepted: nothing }
            }
            RegisterReply::WrongIncarnation => return,
        };
        self.raise(from, watermark);
    }

    /// Notes that a member reported the value of this ballot to be on its disk.
    pub fn on_accepted(&mut self, from: Member, ballot: Ballot) {
        self.raise(from, Watermark { promised: ballot, accepted: ballot });
    }

    fn raise(&mut self, member: Member, watermark: Watermark) {
        let seen = self.seen.entry(member).or_default();
        *seen = seen.highest(&watermark);
    }

    /// The watermark of a member; zero ballots where none is known.
    pub fn of(&self, member: &Member) -> Watermark {
        self.seen.get(member).copied().unwrap_or_default()
    }

    /// Number of members with a watermark.
    pub fn remembered_members(&self) -> usize {
        self.seen.len()
    }

    /// Drops the watermarks of all members but these.
    pub fn retain(&mut self, members: &BTreeSet<Member>) {
        self.seen.retain(|member, _| members.contains(member));
    }
}

/// What a starting member may conclude about its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskVerdict {
    /// More answers are needed; until then the member must not promise or accept anything.
    Waiting,
    /// No answer exceeds what is on the disk, and at least one has a watermark.
    Current,
    /// No answer has a watermark of this member: it goes on, and it is not known whether the disk is the newest one.
    Unknown,
    /// The member has shown these ballots, and the disk lacks one of them: it must join again as another incarnation.
    Older(Watermark),
}

/// The check of a starting member with records on its disk, and the answers so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskCheck {
    me: Member,
    own: Watermark,
    sets: Vec<BTreeSet<Member>>,
    answers: BTreeMap<Member, Watermark>,
    /// Members whose place another incarnation has taken.
    replaced: BTreeSet<Member>,
    /// When a majority of each set had answered.
    majority_since: Option<Duration>,
}

impl DiskCheck {
    /// The check of member `me` with `own` on its disk, which asks the members of these sets.
    pub fn new(me: Member, own: Watermark, sets: Vec<BTreeSet<Member>>) -> Self {
        DiskCheck {
            me,
            own,
            sets,
            answers: BTreeMap::new(),
            replaced: BTreeSet::new(),
            majority_since: None,
        }
    }

    /// Replaces the sets by newer ones that have become known: an older copy may name former members.
    pub fn set_sets(&mut self, sets: Vec<BTreeSet<Member>>) {
        if self.sets != sets {
            self.sets = sets;
            self.majority_since = None;
        }
    }

    /// The members that have not answered yet.
    pub fn unanswered(&self) -> BTreeSet<Member> {
        self.others().filter(|member| !self.answers.contains_key(member)).collect()
    }

    /// Notes the watermark that a member has of this one.
    pub fn on_answer(&mut self, from: Member, remembered: Watermark) {
        let answer = self.answers.entry(from).or_default();
        *answer = answer.highest(&remembered);
    }

    /// Another incarnation has replaced this member, and has no watermarks of before: the check doesn't wait for it. That is
    /// no answer, and does not count towards a majority.
    pub fn on_replaced(&mut self, member: Member) {
        self.replaced.insert(member);
    }

    /// The verdict at this time of a monotonic clock. It is asked for after each answer and each tick until it differs from
    /// [`DiskVerdict::Waiting`]. Without a majority it stays there, which costs nothing: without one, nothing could be
    /// committed with this member either.
    pub fn verdict(&mut self, now: Duration) -> DiskVerdict {
        let remembered = self.remembered();
        if remembered.exceeds(&self.own) {
            return DiskVerdict::Older(remembered);
        }
        let answered = |member: &Member| *member == self.me || self.answers.contains_key(member);
        if !self.sets.iter().all(|set| has_majority(set, answered)) {
            self.majority_since = None;
            return DiskVerdict::Waiting;
        }
        let since = *self.majority_since.get_or_insert(now);
        let late = self.unanswered().iter().any(|member| !self.replaced.contains(member));
        if late && now.saturating_sub(since) < LATE_ANSWERS_TIMEOUT {
            return DiskVerdict::Waiting;
        }
        if remembered == Watermark::default() { DiskVerdict::Unknown } else { DiskVerdict::Current }
    }

    fn others(&self) -> impl Iterator<Item = Member> + '_ {
        self.sets.iter().flatten().copied().filter(|member| *member != self.me)
    }

    fn remembered(&self) -> Watermark {
        self.answers.values().fold(Watermark::default(), |highest, answer| highest.highest(answer))
    }
}
