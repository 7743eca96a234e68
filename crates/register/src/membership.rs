//! Which change of members comes next. No I/O and no clock: a [`MembershipView`] says what the coordinator knows, the
//! [`MembershipPlan`] what it does about it.
//!
//! One member is added, replaced or removed at a time, and the next change waits until the members that are present
//! hold the value of the one before. The register itself makes the change safe whoever proposes it; the plan keeps the
//! copies whole, so that a second loss right after a change finds as many copies as there were before the first.

use runtrack_message::{Ballot, Member};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Shortest time after which a member is suspected: above the lease of contact, so that a probe or two may be late.
const MIN_SUSPICION: Duration = Duration::from_millis(1000);

/// The times of the membership, from the figures of the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipTimes {
    /// A member that was not reached for longer is suspect.
    pub suspicion: Duration,
    /// A missing copy is waited for so long before the next change of members.
    pub replica_wait: Duration,
    /// A leaving member waits so long for the copies of the others.
    pub leave: Duration,
}

impl MembershipTimes {
    /// A lost member is suspected within a quarter of `settle`, so that its replacement holds its copy within half of
    /// it; who leaves does so within a quarter of `grace`.
    pub fn new(settle: Duration, grace: Duration) -> Self {
        let quarter = settle / 4;
        MembershipTimes { suspicion: quarter.max(MIN_SUSPICION), replica_wait: quarter, leave: grace / 4 }
    }
}

/// A member of the current set that can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PresentMember {
    /// Ballot of the value that it has on disk.
    pub accepted: Ballot,
    /// It has lacked the value of the last change for so long that it is not waited for any more.
    pub overdue: bool,
}

/// What the coordinator knows when it plans.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipView {
    /// The set in force.
    pub current: BTreeSet<Member>,
    /// How many members there should be.
    pub wanted: usize,
    /// Ballot of the value by which the current set came into force.
    pub membership: Ballot,
    /// Ballot of the committed value that a joining member must hold before it counts.
    pub required: Ballot,
    /// Members of the current set that can be reached.
    pub present: BTreeMap<Member, PresentMember>,
    /// Members without contact to a majority of the current set.
    pub suspects: BTreeSet<Member>,
    /// Who asks to join, with the ballot of the value that it has on disk.
    pub joining: BTreeMap<Member, Ballot>,
    /// Who is about to leave.
    pub leaving: BTreeSet<Member>,
}

/// What the coordinator does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipPlan {
    /// The members are as they should be, as far as can be had.
    Keep,
    /// This set comes next.
    Change(BTreeSet<Member>),
    /// A change is due, but not yet.
    Wait(WaitReason),
}

/// What a change that is due waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The joining member does not hold the committed value yet.
    JoiningMemberLacksValue(Member),
    /// A member can't be reached and is not suspected by a majority yet: beside it a further member would only raise
    /// what a majority is.
    MemberUnreachable(Member),
    /// A present member lacks the value of the last change.
    ReplicaMissing(Member),
}

/// The next change of members, or what it waits for.
pub fn plan_membership(view: &MembershipView) -> MembershipPlan {
    let plan = join(view).or_else(|| remove(view)).unwrap_or(MembershipPlan::Keep);
    match plan {
        MembershipPlan::Change(next) => match missing_replica(view, &next) {
            Some(member) => MembershipPlan::Wait(WaitReason::ReplicaMissing(member)),
            None => MembershipPlan::Change(next),
        },
        other => other,
    }
}

/// A present member that stays and lacks the value of the last change.
fn missing_replica(view: &MembershipView, next: &BTreeSet<Member>) -> Option<Member> {
    let lacks = |present: &PresentMember| present.accepted < view.membership && !present.overdue;
    let staying = view.present.iter().filter(|(member, _)| next.contains(member));
    staying.filter(|(_, present)| lacks(present)).map(|(member, _)| *member).next()
}

/// What becomes of those who ask to join: the first that holds the committed value, else a reason to wait.
fn join(view: &MembershipView) -> Option<MembershipPlan> {
    let new = view.joining.iter().filter(|(member, _)| !view.current.contains(member));
    let (ready, lacking): (Vec<_>, Vec<_>) = new.partition(|(_, accepted)| **accepted >= view.required);
    let planned: Vec<MembershipPlan> =
        ready.iter().filter_map(|(member, _)| admit(view, **member)).collect();
    let change = planned.iter().find(|plan| matches!(plan, MembershipPlan::Change(_)));
    if let Some(plan) = change.or(planned.first()) {
        return Some(plan.clone());
    }
    let awaited = lacking.iter().map(|(member, _)| **member).find(|member| admit(view, *member).is_some());
    awaited.map(|member| MembershipPlan::Wait(WaitReason::JoiningMemberLacksValue(member)))
}

/// The set with this joining member in it; nothing where there is no place for it.
fn admit(view: &MembershipView, joining: Member) -> Option<MembershipPlan> {
    // Another incarnation at its address has lost its disk, and is no member any more.
    let former = view.current.iter().find(|member| member.address() == joining.address());
    if let Some(lost) = former.or_else(|| view.suspects.intersection(&view.current).next()) {
        return Some(MembershipPlan::Change(replaced(view, lost, Some(joining))));
    }
    if view.current.len() > view.wanted {
        return None;
    }
    let unreachable = view.current.iter().find(|member| !view.present.contains_key(member));
    Some(match unreachable {
        Some(member) => MembershipPlan::Wait(WaitReason::MemberUnreachable(*member)),
        None => MembershipPlan::Change(view.current.iter().copied().chain([joining]).collect()),
    })
}

/// A member to spare that is lost or about to leave.
fn remove(view: &MembershipView) -> Option<MembershipPlan> {
    if view.current.len() <= view.wanted.max(1) {
        return None;
    }
    let lost = view.current.intersection(&view.suspects).next();
    let member = lost.or_else(|| view.current.intersection(&view.leaving).next())?;
    Some(MembershipPlan::Change(replaced(view, member, None)))
}

fn replaced(view: &MembershipView, old: &Member, new: Option<Member>) -> BTreeSet<Member> {
    view.current.iter().filter(|member| *member != old).copied().chain(new).collect()
}
