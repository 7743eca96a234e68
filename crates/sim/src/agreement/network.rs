//! The network between members: delayed and lost messages.

use super::*;

impl World<'_> {
    /// Sends a member's messages, except those that are lost.
    pub(super) fn send(
        &mut self,
        member: MemberId,
        messages: Vec<PeerMessage>,
        removed: &BTreeSet<MemberId>,
    ) {
        for message in messages {
            // A removed member may get the answer to an earlier read, but no vote response.
            if VOTE_RESPONSE_KINDS.contains(&message.kind) && removed.contains(&message.to) {
                let detail = format!("{member} answers {}, which was removed: {message:?}", message.to);
                self.report_violation(Rule::Removed, detail);
            }
            if !self.is_lost(&message) {
                let due = self.now + 1 + self.draw_below(self.script.late);
                self.sent_count += 1;
                self.in_flight.insert((due, self.sent_count), message);
            }
        }
    }

    /// Delivers the messages that are due; those to a stalled member wait until it continues.
    pub(super) fn deliver(&mut self) {
        let due: Vec<(u64, u64)> = self.in_flight.range(..(self.now + 1, 0)).map(|(key, _)| *key).collect();
        for key in due {
            let Some(message) = self.in_flight.get(&key) else { continue };
            if self.stalled.contains_key(&message.to) {
                continue;
            }
            if let Some(message) = self.in_flight.remove(&key)
                && let Some(node) = self.nodes.get_mut(&message.to)
            {
                node.step(message);
            }
        }
    }

    fn is_lost(&mut self, message: &PeerMessage) -> bool {
        let now = self.now;
        self.active_faults.retain(|(_, _, until)| *until > now);
        let (from, to) = (message.from, message.to);
        let cut = self.active_faults.iter().any(|(kind, target, _)| match kind {
            FaultKind::Cut(_) => *target == from || *target == to,
            FaultKind::Mute(_) => *target == from,
            FaultKind::Deaf(_) => *target == to,
            _ => false,
        });
        let share = self
            .active_faults
            .iter()
            .find_map(|(kind, ..)| if let FaultKind::Lossy(share) = kind { Some(*share) } else { None });
        cut || share.is_some_and(|share| self.draw_below(100) < share)
    }
}
