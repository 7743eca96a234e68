//! Who has asked to join or said that it leaves, for as long as that counts.

use runtrack_message::Member;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// A request to join that is not repeated is dropped after this time.
const JOIN_REQUEST_LIFETIME: Duration = Duration::from_millis(1500);
/// A member that leaves is not taken in again for this long. After that it is another process at the address.
const LEAVE_REQUEST_LIFETIME: Duration = Duration::from_millis(3000);

/// Requests of other processes, and of this one at its end, with the time of the last one of each.
#[derive(Default)]
pub(super) struct MembershipRequests {
    joining: BTreeMap<Member, Instant>,
    leaving: BTreeMap<Member, Instant>,
}

impl MembershipRequests {
    /// A process asks to join, in place of any other incarnation at its address; whether that is new. One that has said
    /// that it leaves is not heard.
    pub fn join(&mut self, joining: Member) -> bool {
        if self.leaving.contains_key(&joining) {
            return false;
        }
        self.joining.retain(|other, _| other.address() != joining.address() || *other == joining);
        self.joining.insert(joining, Instant::now()).is_none()
    }

    /// A member says that it leaves.
    pub fn leave(&mut self, leaving: Member) {
        self.joining.remove(&leaving);
        self.leaving.insert(leaving, Instant::now());
    }

    /// Forgets requests that count no more.
    pub fn forget_old(&mut self) {
        self.joining.retain(|_, at| at.elapsed() < JOIN_REQUEST_LIFETIME);
        self.leaving.retain(|_, at| at.elapsed() < LEAVE_REQUEST_LIFETIME);
    }

    /// Who asks to join.
    pub fn joining(&self) -> impl Iterator<Item = &Member> {
        self.joining.keys()
    }

    /// Who leaves.
    pub fn leaving(&self) -> BTreeSet<Member> {
        self.leaving.keys().copied().collect()
    }

    /// Whether another incarnation asks to join from a member's address: the member is lost with its disk.
    pub fn supersedes(&self, member: &Member) -> bool {
        self.joining().any(|other| other.address() == member.address() && other != member)
    }
}
