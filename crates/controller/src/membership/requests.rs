//! Requests to join and to leave, until they expire.

use runtrack_message::Member;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// A request to join that is not repeated is dropped after this time.
const JOIN_REQUEST_LIFETIME: Duration = Duration::from_millis(1500);
/// Time for which a leaving member is not admitted again. After that it is another process at the address.
const LEAVE_REQUEST_LIFETIME: Duration = Duration::from_millis(3000);

/// Requests of other processes, and of this one at its end, with the time of the last one of each.
#[derive(Default)]
pub(super) struct MembershipRequests {
    joining: BTreeMap<Member, Instant>,
    leaving: BTreeMap<Member, Instant>,
}

impl MembershipRequests {
    /// Records a request to join, which replaces any other incarnation at its address; returns whether it is new. Requests of a
    /// leaving member are ignored.
    pub fn join(&mut self, joining: Member) -> bool {
        if self.leaving.contains_key(&joining) {
            return false;
        }
        self.joining.retain(|other, _| other.address() != joining.address() || *other == joining);
        self.joining.insert(joining, Instant::now()).is_none()
    }

    /// Records that a member is leaving.
    pub fn leave(&mut self, leaving: Member) {
        self.joining.remove(&leaving);
        self.leaving.insert(leaving, Instant::now());
    }

    /// Removes expired requests.
    pub fn forget_old(&mut self) {
        self.joining.retain(|_, at| at.elapsed() < JOIN_REQUEST_LIFETIME);
        self.leaving.retain(|_, at| at.elapsed() < LEAVE_REQUEST_LIFETIME);
    }

    /// Processes that ask to join.
    pub fn joining(&self) -> impl Iterator<Item = &Member> {
        self.joining.keys()
    }

    /// Members that leave.
    pub fn leaving(&self) -> BTreeSet<Member> {
        self.leaving.keys().copied().collect()
    }

    /// Whether another incarnation asks to join from a member's address: the member is lost with its disk.
    pub fn supersedes(&self, member: &Member) -> bool {
        self.joining().any(|other| other.address() == member.address() && other != member)
    }
}
