//! The way out: others that leave, and this process's own end.

use crate::membership::Membership;
use crate::membership::change::BasisOfChange;
use runtrack_message::{Member, Message, Role};
use std::collections::BTreeSet;
use tokio::time::timeout;

impl Membership {
    /// A member is about to end, and there are members to spare.
    pub fn on_leave_request(&self, leaving: Member) {
        self.requests.borrow_mut().leave(leaving);
    }

    /// Hands over before the process ends: the others that can be reached hold what is committed, and where they bear
    /// the loss without it, it leaves the register.
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
