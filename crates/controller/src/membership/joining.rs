//! The way in: requests to join, those of others and this process's own.

use crate::membership::Membership;
use runtrack_link::Session;
use runtrack_message::{Member, Message, Role};
use std::time::Duration;
use tokio::time::Instant;

/// A request to join is repeated this often.
const JOIN_REQUEST_INTERVAL: Duration = Duration::from_millis(400);

impl Membership {
    /// The process at the other side of a link asks to become a member.
    pub fn on_join_request(&self, session: &Session, joining: Member) {
        let speaks_for_itself = session.peer.borrow().as_ref().is_some_and(|peer| peer.member == joining);
        if speaks_for_itself && self.requests.borrow_mut().join(joining) {
            self.wake.notify_one();
        }
    }

    /// Asks the members to take this process in, where it is ready and has not just asked.
    pub(super) fn request_to_join(&self) {
        self.leave_sync.ask();
        let unable =
            self.shutting_down.get() || !self.member.is_durable() || !self.leave_sync.is_complete();
        if unable || self.asked_to_join_at.get().is_some_and(|at| at.elapsed() < JOIN_REQUEST_INTERVAL) {
            return;
        }
        self.asked_to_join_at.set(Some(Instant::now()));
        self.gossip.broadcast_to(Role::Controller, &Message::Join(self.me));
    }
}
