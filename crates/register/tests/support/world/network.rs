//! Packets in flight: each has its own delay, some are very late, and some are lost.

use super::World;
use runtrack_message::{Ballot, Member, RegisterReply, RegisterRequest};
use runtrack_register::Send;

/// Payload of a packet.
pub enum Content {
    Request(RegisterRequest),
    Reply(RegisterReply),
}

/// A request to a member, or its reply.
pub struct Packet {
    operation: usize,
    ballot: Ballot,
    member: Member,
    content: Content,
    due: usize,
}

/// The accept request in a packet for this member, if it is one.
pub fn accept_for(packet: &Packet, member: Member) -> Option<&RegisterRequest> {
    match &packet.content {
        Content::Request(request @ RegisterRequest::Accept { .. }) if packet.member == member => {
            Some(request)
        }
        _ => None,
    }
}

impl World {
    pub(super) fn send(&mut self, operation: usize, ballot: Ballot, sends: Vec<Send>) {
        for (member, request) in sends {
            self.post(operation, ballot, member, Content::Request(request));
        }
    }

    fn post(&mut self, operation: usize, ballot: Ballot, member: Member, content: Content) {
        let is_value = matches!(content, Content::Request(RegisterRequest::Accept { .. }));
        let lags = self.profile.has_lagging_member && is_value && member == self.voters[0].member;
        let is_late = (lags && self.rng.bool()) || self.rng.u32(..100) < self.profile.late;
        let most = if is_late { self.profile.latest } else { self.profile.usual_delay };
        let due = self.now + self.rng.usize(..most);
        self.packets.push(Packet { operation, ballot, member, content, due });
    }

    pub(super) fn drop_packet(&mut self) {
        if !self.packets.is_empty() {
            let at = self.rng.usize(..self.packets.len());
            self.packets.swap_remove(at);
        }
    }

    /// Delivers a packet that is due, or advances the time to the next one.
    pub(super) fn deliver(&mut self) {
        let Some(first) = self.packets.iter().map(|packet| packet.due).min() else { return };
        self.now = self.now.max(first);
        let due: Vec<usize> =
            (0..self.packets.len()).filter(|at| self.packets[*at].due <= self.now).collect();
        let at = due[self.rng.usize(..due.len())];
        let Packet { operation, ballot, member, content, .. } = self.packets.swap_remove(at);
        match content {
            Content::Request(request) => {
                let mutant = self.settings.mutant;
                let Some(voter) = self.voters.iter_mut().find(|voter| voter.member == member && voter.up)
                else {
                    return;
                };
                let reply = voter.node.handle(&request, mutant);
                self.post(operation, ballot, member, Content::Reply(reply));
            }
            Content::Reply(reply) => self.on_reply(operation, ballot, member, reply),
        }
    }
}
