//! Requests of quorum reads that wait for members' replies.

use crate::pending::PendingRequests;
use runtrack_link::{Gossip, Session};
use runtrack_message::{CONTACT_WIRE_VERSION, InspectReply, Member, Message, Role};
use runtrack_register::Inspection;
use std::cell::RefCell;
use tokio::sync::mpsc::UnboundedSender;

/// A member and its reply; no reply where it can't be reached.
pub(super) type Replied = (Member, Option<InspectReply>);
/// Where the replies to one quorum read go.
pub(super) type Replies = UnboundedSender<Replied>;

/// Quorum reads that wait for replies.
pub(super) struct Inspections {
    pending: RefCell<PendingRequests<(Member, Replies)>>,
}

impl Inspections {
    /// None.
    pub fn new() -> Self {
        Inspections { pending: RefCell::new(PendingRequests::starting_at(fastrand::u64(..))) }
    }

    /// A reply to a request of this number came over this session.
    pub fn replied(&self, session: usize, number: u64, reply: InspectReply) {
        if let Some((from, replies)) = self.pending.borrow_mut().replied(session, number) {
            let _ = replies.send((from, Some(reply))); // the read may be over
        }
    }

    /// Asks another member; whether it can be reached.
    pub fn send(&self, gossip: &Gossip, (to, request): &Inspection, replies: &Replies) -> bool {
        let sessions = gossip.peers(Role::Controller);
        let Some(session) = sessions.iter().find(|session| is_link_to(session, to)) else { return false };
        let mut pending = self.pending.borrow_mut();
        pending.retain(|(_, replies)| !replies.is_closed());
        let number = pending.sent(session.key, (*to, replies.clone()));
        session.send(&Message::Inspect(number, *request));
        true
    }
}

fn is_link_to(session: &Session, member: &Member) -> bool {
    session.dialled == Some(member.address()) && session.peer_wire() >= CONTACT_WIRE_VERSION
}
