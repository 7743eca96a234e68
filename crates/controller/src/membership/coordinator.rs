//! The coordinator, the member that changes the membership: its selection, its view and its actions.

use crate::membership::Membership;
use crate::membership::change::BasisOfChange;
use runtrack_hash_ring::{hash, rendezvous};
use runtrack_message::{Ballot, Member, Value};
use runtrack_net::mutant;
use runtrack_register::{
    MembershipPlan, MembershipView, PresentMember, WaitReason, is_joint, members_of, plan_membership,
};
use slog::info;
use std::collections::{BTreeMap, BTreeSet};

/// Key of rendezvous hashing for the coordinator.
const COORDINATOR_KEY: &[u8] = b"membership";

impl Membership {
    /// Whether a majority of the members has lost contact with a member.
    fn is_suspect(&self, member: &Member) -> bool {
        if mutant("one-watcher-is-enough") {
            return *member != self.me && !self.contact.reaches(member);
        }
        *member != self.me && self.contact.suspected_by_majority(member)
    }

    /// Whether this process is the coordinator: one of the members that are not lost, the same one for all processes with the
    /// same view.
    pub(super) fn is_coordinator(&self, members: &BTreeSet<Member>) -> bool {
        let alive = members
            .iter()
            .filter(|member| !self.is_suspect(member) && !self.requests.borrow().supersedes(member));
        let names = alive.map(|member| hash(member.address().to_string().as_bytes()));
        rendezvous(hash(COORDINATOR_KEY), names) == Some(hash(self.me.address().to_string().as_bytes()))
    }

    /// The view that the plan is based on.
    fn view(&self, current: BTreeSet<Member>) -> MembershipView {
        let copies = self.copies.table();
        let mut present = copies.present(self.gossip.now());
        if mutant("two-changes-at-a-time") {
            present.values_mut().for_each(|member: &mut PresentMember| member.overdue = true);
        }
        let requests = self.requests.borrow();
        let mut joining: BTreeMap<Member, Ballot> = requests
            .joining()
            .filter_map(|member| Some((*member, self.copies.accepted_by(member)?)))
            .collect();
        if mutant("joining-member-counts-at-once") {
            joining.values_mut().for_each(|accepted| *accepted = copies.required());
        }
        MembershipView {
            wanted: self.wanted,
            membership: copies.membership(),
            required: copies.required(),
            present,
            suspects: current.iter().filter(|member| self.is_suspect(member)).copied().collect(),
            joining,
            leaving: requests.leaving(),
            current,
        }
    }

    /// Makes the change that is due, as the coordinator.
    pub(super) async fn coordinate(&self, value: &Value) {
        let basis = BasisOfChange { members: members_of(value), is_empty: value.sequence == 0 };
        if is_joint(value) {
            return self.change(&basis, &basis.members).await;
        }
        let plan = plan_membership(&self.view(basis.members.clone()));
        let waiting = match &plan {
            MembershipPlan::Wait(reason) => Some(*reason),
            MembershipPlan::Keep | MembershipPlan::Change(_) => None,
        };
        if let Some(reason) = waiting.filter(|reason| self.waiting.get() != Some(*reason)) {
            let (what, member) = describe(reason);
            info!(self.gossip.logger(), "membership.waiting"; "for" => what, "member" => member.address().to_string());
        }
        self.waiting.set(waiting);
        if let MembershipPlan::Change(next) = plan {
            self.change(&basis, &next).await;
        }
    }
}

/// A reason to wait, as the log names it.
fn describe(reason: WaitReason) -> (&'static str, Member) {
    match reason {
        WaitReason::JoiningMemberLacksValue(member) => ("joining_member_lacks_value", member),
        WaitReason::MemberUnreachable(member) => ("member_unreachable", member),
        WaitReason::ReplicaMissing(member) => ("copy_missing", member),
    }
}
