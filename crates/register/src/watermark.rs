//! Whether a member that starts has its newest disk, or one that was put back from an older copy.
//!
//! A disk alone can't tell: an older copy is whole and valid, and a newest record that is damaged looks like one whose
//! write was never acknowledged. So each member remembers, in memory, the highest ballots that every other member has
//! shown to have on disk ([`DurableWatermarks`]), and one that starts with records asks the others before it promises
//! anything ([`DiskCheck`]). Who is told of a higher ballot than its own has an older disk: under its incarnation it
//! must neither promise nor accept any more, since it has forgotten what it owes, and joins again as another one.
//!
//! What is remembered goes with the process. Where all members start at once nobody remembers, and the check says that
//! it is not known. A ballot that only a proposer has seen that has ended since is not known either.

use crate::sets::has_majority;
use runtrack_message::{Ballot, Member, RegisterReply, Watermark};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Once a majority has answered, the others get so much longer.
pub const LATE_ANSWERS_TIMEOUT: Duration = Duration::from_millis(300);

/// What members have shown to have on disk, as far as this process has seen since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableWatermarks {
    seen: BTreeMap<Member, Watermark>,
}

impl DurableWatermarks {
    /// A member's reply: it is only sent once what it says is on disk.
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

    /// A member says that the value of this ballot is on its disk.
    pub fn on_accepted(&mut self, from: Member, ballot: Ballot) {
        self.raise(from, Watermark { promised: ballot, accepted: ballot });
    }

    fn raise(&mut self, member: Member, watermark: Watermark) {
        let seen = self.seen.entry(member).or_default();
        *seen = seen.highest(&watermark);
    }

    /// What is remembered of a member; zeros where that is nothing.
    pub fn of(&self, member: &Member) -> Watermark {
        self.seen.get(member).copied().unwrap_or_default()
    }

    /// How many members it remembers.
    pub fn remembered_members(&self) -> usize {
        self.seen.len()
    }

    /// Forgets all members but these.
    pub fn retain(&mut self, members: &BTreeSet<Member>) {
        self.seen.retain(|member, _| members.contains(member));
    }
}

/// What a starting member knows about its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskVerdict {
    /// It has to wait for more answers, and must not promise or accept anything.
    Waiting,
    /// Nobody remembers more than is on the disk, and somebody remembers something.
    Current,
    /// Nobody who answered remembers anything of this member: it goes on, and it is not known whether the disk is the
    /// newest one.
    Unknown,
    /// It has shown these ballots, and the disk lacks one of them: it must join again as another incarnation.
    Older(Watermark),
}

/// The question of a starting member with records on its disk, and the answers so far.
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
    /// A member that has this on its disk, and asks the members of these sets.
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

    /// Newer sets than those on the disk have become known. An older copy may name members of long ago.
    pub fn set_sets(&mut self, sets: Vec<BTreeSet<Member>>) {
        if self.sets != sets {
            self.sets = sets;
            self.majority_since = None;
        }
    }

    /// Who has still to be asked.
    pub fn unanswered(&self) -> BTreeSet<Member> {
        self.others().filter(|member| !self.answers.contains_key(member)).collect()
    }

    /// A member says what it remembers of this one.
    pub fn on_answer(&mut self, from: Member, remembered: Watermark) {
        let answer = self.answers.entry(from).or_default();
        *answer = answer.highest(&remembered);
    }

    /// Another incarnation has taken the place of this member, which remembers nothing any more: nobody waits for it.
    /// That is no answer, and does not count towards a majority.
    pub fn on_replaced(&mut self, member: Member) {
        self.replaced.insert(member);
    }

    /// What is known at this moment of a steady clock. It is asked again after each answer and each tick until it is
    /// something else than [`DiskVerdict::Waiting`]. Without a majority it waits on, which costs nothing: nothing could
    /// be committed with this member either.
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
