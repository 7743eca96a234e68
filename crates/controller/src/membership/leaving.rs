//! The way out: others that leave, and this process's own end.

use crate::membership::Membership;
use crate::membership::change::BasisOfChange;
use runtrack_message::{Member, Message, Role};
use std::collections::BTreeSet;
use tokio::time::timeout;

impl Membership {
    /// Handles the request of a member that is about to end.
    pub fn on_leave_request(&self, leaving: Member) {
        self.requests.borrow_mut().leave(leaving);
    }

    /// Hands over before the process ends: waits until the other reachable members hold the committed value, and leaves the
    /// register if the rest tolerates a loss without this member.
    pub async fn leave(&self) {
        self.shutting_down.set(true);
        if timeout(self.leave_timeout, self.hand_over()).await.is_err() {
            self.copies.log_missing();
        }
    }

    async fn hand_over(&self) {
        self.copies.wait_until_complete().await;
        let members = self.members();
        if !members.contains(&self.me) || members.len() <= self.wanted {
            return;
        }
        self.gossip.broadcast_to(Role::Controller, &Message::Leave(self.me));
        self.on_leave_request(self.me);
        let next: BTreeSet<Member> = members.iter().filter(|member| **member != self.me).copied().collect();
        self.change(&BasisOfChange { members, is_empty: false }, &next).await;
        self.copies.wait_until_complete().await;
    }
}
