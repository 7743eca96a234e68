//! The network between members: messages on their way, and those that are lost.

use super::*;

impl World<'_> {
    /// Sends what a member puts out, as far as it is not lost.
    pub(super) fn send(
        &mut self,
        member: MemberId,
        messages: Vec<PeerMessage>,
        removed: &BTreeSet<MemberId>,
    ) {
        for message in messages {
            // A read that it asked while it was one may be answered; its vote may not.
            if VOTES.contains(&message.kind) && removed.contains(&message.to) {
                let why = format!("{member} answers {}, which was removed: {message:?}", message.to);
                self.breach(Rule::Removed, why);
            }
            if !self.lost(&message) {
                let due = self.now + 1 + self.below(self.script.late);
                self.sent += 1;
                self.wire.insert((due, self.sent), message);
            }
        }
    }

    /// What is due reaches who is awake; a stalled member's messages wait for it.
    pub(super) fn deliver(&mut self) {
        let due: Vec<(u64, u64)> = self.wire.range(..(self.now + 1, 0)).map(|(key, _)| *key).collect();
        for key in due {
            let Some(message) = self.wire.get(&key) else { continue };
            if self.stalled.contains_key(&message.to) {
                continue;
            }
            if let Some(message) = self.wire.remove(&key)
                && let Some(node) = self.nodes.get_mut(&message.to)
            {
                node.step(message);
            }
        }
    }

    fn lost(&mut self, message: &PeerMessage) -> bool {
        let now = self.now;
        self.cuts.retain(|(_, _, until)| *until > now);
        let (from, to) = (message.from, message.to);
        let cut = self.cuts.iter().any(|(what, who, _)| match what {
            What::Cut(_) => *who == from || *who == to,
            What::Mute(_) => *who == from,
            What::Deaf(_) => *who == to,
            _ => false,
        });
        let share = self
            .cuts
            .iter()
            .find_map(|(what, ..)| if let What::Lossy(share) = what { Some(*share) } else { None });
        cut || share.is_some_and(|share| self.below(100) < share)
    }
}
