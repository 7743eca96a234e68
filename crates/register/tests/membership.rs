//! Planning of membership changes: tables of views and the resulting plans.

mod support;

use runtrack_message::{Ballot, Member};
use runtrack_register::{
    MembershipPlan, MembershipTimes, MembershipView, PresentMember, WaitReason, plan_membership,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use support::member;

const OLD: Ballot = Ballot { round: 3, boot: 1 };
const MEMBERSHIP: Ballot = Ballot { round: 5, boot: 1 };
const NEWEST: Ballot = Ballot { round: 9, boot: 2 };

fn holding(accepted: Ballot) -> PresentMember {
    PresentMember { accepted, overdue: false }
}

/// Members 1 to `count`, all present and with all committed values.
fn complete_view(count: u8) -> MembershipView {
    let current: BTreeSet<Member> = (1..=count).map(|at| member(at, 0)).collect();
    MembershipView {
        present: current.iter().map(|member| (*member, holding(NEWEST))).collect(),
        current,
        wanted: 3,
        membership: MEMBERSHIP,
        required: NEWEST,
        joining: BTreeMap::new(),
        leaving: BTreeSet::new(),
        suspects: BTreeSet::new(),
    }
}

/// Builder steps for the views of the tables.
trait Edit {
    fn absent(self, at: u8) -> Self;
    fn lost(self, at: u8) -> Self;
    fn joining(self, at: u8, incarnation: u64, accepted: Ballot) -> Self;
    fn leaving(self, at: u8) -> Self;
    fn lacking(self, at: u8, accepted: Ballot, overdue: bool) -> Self;
}

impl Edit for MembershipView {
    fn absent(mut self, at: u8) -> Self {
        self.present.remove(&member(at, 0));
        self
    }

    fn lost(self, at: u8) -> Self {
        let mut view = self.absent(at);
        view.suspects.insert(member(at, 0));
        view
    }

    fn joining(mut self, at: u8, incarnation: u64, accepted: Ballot) -> Self {
        self.joining.insert(member(at, incarnation), accepted);
        self
    }

    fn leaving(mut self, at: u8) -> Self {
        self.leaving.insert(member(at, 0));
        self
    }

    fn lacking(mut self, at: u8, accepted: Ballot, overdue: bool) -> Self {
        self.present.insert(member(at, 0), PresentMember { accepted, overdue });
        self
    }
}

fn set(members: &[(u8, u64)]) -> BTreeSet<Member> {
    members.iter().map(|(at, incarnation)| member(*at, *incarnation)).collect()
}

fn change(members: &[(u8, u64)]) -> MembershipPlan {
    MembershipPlan::Change(set(members))
}

fn wait(reason: WaitReason) -> MembershipPlan {
    MembershipPlan::Wait(reason)
}

#[test]
fn a_complete_membership_is_left_unchanged() {
    assert_eq!(plan_membership(&complete_view(3)), MembershipPlan::Keep);
    assert_eq!(plan_membership(&complete_view(4)), MembershipPlan::Keep, "one surplus member is kept");
    assert_eq!(
        plan_membership(&complete_view(3).lost(2)),
        MembershipPlan::Keep,
        "no process can replace it"
    );
    assert_eq!(
        plan_membership(&complete_view(3).leaving(2)),
        MembershipPlan::Keep,
        "as many as are wanted"
    );
    assert_eq!(
        plan_membership(&complete_view(3).joining(2, 0, NEWEST)),
        MembershipPlan::Keep,
        "it is a member"
    );
}

#[test]
fn a_joining_member_takes_the_place_of_a_lost_one() {
    assert_eq!(
        plan_membership(&complete_view(3).lost(2).joining(7, 70, NEWEST)),
        change(&[(1, 0), (3, 0), (7, 70)])
    );
}

#[test]
fn a_joining_member_counts_only_once_it_holds_the_committed_value() {
    let lacks = wait(WaitReason::JoiningMemberLacksValue(member(7, 70)));
    for accepted in [Ballot::default(), OLD, MEMBERSHIP] {
        let view = complete_view(3).joining(7, 70, accepted);
        assert_eq!(plan_membership(&view), lacks, "beside all the others");
        assert_eq!(plan_membership(&view.lost(2)), lacks, "in place of a lost one");
    }
    let wiped = complete_view(3).absent(2).joining(2, 20, OLD);
    assert_eq!(plan_membership(&wiped), wait(WaitReason::JoiningMemberLacksValue(member(2, 20))));
}

#[test]
fn a_caught_up_joining_member_does_not_wait_for_one_that_is_behind() {
    let view = complete_view(3).lost(2).joining(6, 60, OLD).joining(7, 70, NEWEST);
    assert_eq!(plan_membership(&view), change(&[(1, 0), (3, 0), (7, 70)]));
}

#[test]
fn a_wiped_member_replaces_its_former_incarnation_at_once() {
    let view = complete_view(3).absent(2).joining(2, 20, NEWEST);
    assert_eq!(plan_membership(&view), change(&[(1, 0), (2, 20), (3, 0)]));
    let another_lost = complete_view(3).absent(2).lost(3).joining(2, 20, NEWEST);
    assert_eq!(plan_membership(&another_lost), change(&[(1, 0), (2, 20), (3, 0)]), "its own place first");
}

#[test]
fn changes_wait_for_an_unreachable_member_that_no_majority_suspects() {
    let view = complete_view(3).absent(2).joining(7, 70, NEWEST);
    assert_eq!(plan_membership(&view), wait(WaitReason::MemberUnreachable(member(2, 0))));
}

#[test]
fn only_one_change_is_made_at_a_time() {
    let view = complete_view(3).lost(2).lost(3).joining(6, 60, NEWEST).joining(7, 70, NEWEST);
    assert_eq!(plan_membership(&view), change(&[(1, 0), (3, 0), (6, 60)]));
    let two = complete_view(3).joining(6, 60, NEWEST).joining(7, 70, NEWEST);
    assert_eq!(plan_membership(&two), change(&[(1, 0), (2, 0), (3, 0), (6, 60)]));
}

#[test]
fn changes_wait_for_a_present_member_that_lacks_the_membership_value() {
    let lacks = wait(WaitReason::ReplicaMissing(member(3, 0)));
    for view in [
        complete_view(3).lost(2).joining(7, 70, NEWEST),
        complete_view(3).joining(7, 70, NEWEST),
        complete_view(4).lost(2),
        complete_view(4).leaving(2),
    ] {
        assert_eq!(plan_membership(&view.clone().lacking(3, OLD, false)), lacks);
        let holds = plan_membership(&view.clone().lacking(3, MEMBERSHIP, false));
        assert!(
            matches!(holds, MembershipPlan::Change(_)),
            "a later configuration may be on its way: {holds:?}"
        );
        let overdue = plan_membership(&view.lacking(3, OLD, true));
        assert!(matches!(overdue, MembershipPlan::Change(_)), "its disk may refuse for ever: {overdue:?}");
    }
}

#[test]
fn changes_do_not_wait_for_the_value_at_a_member_being_replaced() {
    let view = complete_view(3).lacking(2, OLD, false).joining(2, 20, NEWEST);
    assert_eq!(plan_membership(&view), change(&[(1, 0), (2, 20), (3, 0)]));
}

#[test]
fn surplus_members_are_removed_when_lost_or_leaving() {
    assert_eq!(plan_membership(&complete_view(4).lost(2)), change(&[(1, 0), (3, 0), (4, 0)]));
    assert_eq!(plan_membership(&complete_view(4).leaving(2)), change(&[(1, 0), (3, 0), (4, 0)]));
    assert_eq!(
        plan_membership(&complete_view(4).absent(2)),
        MembershipPlan::Keep,
        "unreachable, but not suspected by a majority"
    );
}

#[test]
fn at_most_one_surplus_member_is_admitted() {
    assert_eq!(plan_membership(&complete_view(4).joining(7, 70, NEWEST)), MembershipPlan::Keep);
    assert_eq!(
        plan_membership(&complete_view(4).lost(2).joining(7, 70, NEWEST)),
        change(&[(1, 0), (3, 0), (4, 0), (7, 70)]),
        "but a lost one is replaced"
    );
}

#[test]
fn the_last_member_is_never_removed() {
    let mut view = complete_view(1).leaving(1);
    view.wanted = 0;
    assert_eq!(plan_membership(&view), MembershipPlan::Keep);
}

#[test]
fn timeouts_are_derived_from_the_deployment_bounds() {
    let (settle, grace) = (Duration::from_secs(6), Duration::from_secs(8));
    let times = MembershipTimes::new(settle, grace);
    assert_eq!(times.suspicion, Duration::from_millis(1500));
    assert_eq!(times.replica_wait, Duration::from_millis(1500));
    assert_eq!(times.leave, Duration::from_secs(2));
    let short = MembershipTimes::new(Duration::from_millis(400), grace);
    assert_eq!(short.suspicion, Duration::from_millis(1000), "a probe or two may be late");
}
