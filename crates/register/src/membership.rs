//! Planning of changes of members. No I/O and no clock: a [`MembershipView`] states what the coordinator knows, the
//! [`MembershipPlan`] what it does next. `change.rs` has the two halves of the change itself.
//!
//! One member is added, replaced or removed at a time, and the next change waits until the members that are present
//! have the value of the one before on disk. The register makes each change safe, whichever process proposes it; the plan
//! keeps the replicas complete, so that a second loss right after a change finds as many of them as the first one did.

use runtrack_message::{Ballot, Member};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Shortest time after which a member is suspected: above the lease of contact (800 ms in `runtrack-controller`), so that a
/// probe or two may be late.
const MIN_SUSPICION: Duration = Duration::from_millis(1000);

/// Time-outs of the membership, derived from the deployment's bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipTimes {
    /// A member without proven contact for longer than this is suspected.
    pub suspicion: Duration,
    /// How long the next change of members waits for a replica that is missing.
    pub replica_wait: Duration,
    /// How long a leaving member waits for the replicas of the others.
    pub leave: Duration,
}

impl MembershipTimes {
    /// Suspicion and replica wait are a quarter of `settle` each, so that a replacement has its replica within half of it;
    /// a leave takes at most a quarter of `grace`, the time between the signal to end and the kill.
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
    /// It has lacked the value of the last change for longer than the replica wait: changes don't wait for it any more.
    pub overdue: bool,
}

/// What the coordinator knows when it plans.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipView {
    /// The set in force.
    pub current: BTreeSet<Member>,
    /// Number of members that there should be.
    pub wanted: usize,
    /// Ballot of the value by which the current set came into force.
    pub membership: Ballot,
    /// Ballot of the committed value that a joining member must have on disk before it is admitted.
    pub required: Ballot,
    /// Members of the current set that can be reached.
    pub present: BTreeMap<Member, PresentMember>,
    /// Members without contact to a majority of the current set.
    pub suspects: BTreeSet<Member>,
    /// Processes that ask to join, with the ballot of the value that they have on disk.
    pub joining: BTreeMap<Member, Ballot>,
    /// Members that are about to leave.
    pub leaving: BTreeSet<Member>,
}

/// What the coordinator does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipPlan {
    /// No change is due, or none is possible.
    Keep,
    /// Propose this set as the next one.
    Change(BTreeSet<Member>),
    /// A change is due, and waits.
    Wait(WaitReason),
}

/// What a change that is due waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The joining member lacks the committed value.
    JoiningMemberLacksValue(Member),
    /// A member can't be reached and is not suspected by a majority yet: beside it a further member would only enlarge
    /// the majority.
    MemberUnreachable(Member),
    /// A present member lacks the value of the last change.
    ReplicaMissing(Member),
}

/// The next change of members, or the reason why it waits.
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

/// Admits the first process that asks to join and has the committed value; else the reason to wait for one, if any.
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

/// The set with this joining member in it; none where no further member is wanted.
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

/// Removes a member beyond the wanted number that is suspected or about to leave.
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
