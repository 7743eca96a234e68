//! One change of the members, carried through the register.

use crate::membership::Membership;
use runtrack_message::{Member, Value};
use runtrack_register::{Decision, Outcome, finish_membership, is_joint, members_of, replace_members};
use slog::info;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// Time-out of a change of the membership.
const MEMBERSHIP_CHANGE_TIMEOUT: Duration = Duration::from_millis(1500);

/// The state on which a change was planned.
pub(super) struct BasisOfChange {
    /// The members.
    pub members: BTreeSet<Member>,
    /// Whether nothing had been written.
    pub is_empty: bool,
}

impl BasisOfChange {
    /// Whether a change may be made to this value.
    fn holds_for(&self, value: &Value) -> bool {
        members_of(value) == self.members && (!self.is_empty || value.sequence == 0)
    }
}

impl Membership {
    /// Executes one change: the joint sets, then the new set alone. If the members differ from those of the plan, nothing is
    /// changed; if another change is in progress, that one is finished. A change planned before the first value is planned again
    /// if a first value was written meanwhile, since its replication has priority.
    pub(super) async fn change(&self, planned_on: &BasisOfChange, next: &BTreeSet<Member>) {
        let deadline = Instant::now() + MEMBERSHIP_CHANGE_TIMEOUT;
        let mut begin = |current: Option<&Value>| match current.unwrap_or(&self.initial) {
            value if is_joint(value) || planned_on.holds_for(value) => replace_members(value, next),
            _ => Decision::Read,
        };
        let outcome = self.proposer.decide(deadline, &mut begin).await;
        let Some(Outcome::Committed(_, value)) = outcome else { return };
        if is_joint(&value) {
            let finish = |current: Option<&Value>| current.map_or(Decision::Read, finish_membership);
            self.proposer.decide(deadline, &mut { finish }).await;
        }
        let names: Vec<String> =
            members_of(&value).iter().map(|member| member.address().to_string()).collect();
        info!(self.gossip.logger(), "members.changed"; "sequence" => value.sequence, "members" => names.join(" "));
    }
}
