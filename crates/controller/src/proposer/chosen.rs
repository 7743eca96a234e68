//! The newest chosen value known to this process: learning it, notifying others, and detecting that this process is behind.

use crate::proposer::Proposer;
use runtrack_message::{Ballot, Member, Message, Role, Value};
use runtrack_net::mutant;
use runtrack_register::{members_of, sets_of};
use std::collections::BTreeSet;
use std::rc::Rc;

impl Proposer {
    /// Another controller reports the ballot of the value on its disk. If that is newer than the known one, catching up learns
    /// the chosen value: the same value may have been accepted again under a higher ballot, and the
    /// notice of that is sent once and may be lost.
    pub fn on_peer_accepted(&self, ballot: Ballot) {
        self.newest_elsewhere.set(self.newest_elsewhere.get().max(ballot));
    }

    /// The newest ballot that this member or, as far as it is not accounted for, another one has accepted.
    pub(super) fn newest_accepted(&self) -> Ballot {
        let accepted = self.member.accepted().map(|accepted| accepted.ballot).unwrap_or_default();
        let elsewhere = self.newest_elsewhere.get();
        if elsewhere > self.accounted_for.get() { accepted.max(elsewhere) } else { accepted }
    }

    /// Whether this ballot, or the sequence number that others announce, is newer than the known value.
    pub(super) fn is_behind(&self, accepted: Ballot) -> bool {
        let announced = self.gossip.replica().members().sequence;
        let known = self.known.borrow();
        let (ballot, sequence) =
            known.as_ref().map_or_else(Default::default, |(ballot, value)| (*ballot, value.sequence));
        accepted > ballot || sequence < announced
    }

    /// Another member reports that the value of this ballot is chosen.
    pub fn on_committed(&self, ballot: Ballot) {
        self.on_peer_accepted(ballot);
        if self.known.borrow().as_ref().is_some_and(|(known, _)| *known >= ballot) {
            return;
        }
        match self.member.accepted() {
            Some(accepted) if accepted.ballot == ballot || mutant("commit-of-any-ballot") => {
                self.learn(ballot, accepted.value);
            }
            _ => self.wake.notify_one(),
        }
    }

    /// This process has found out that a value is chosen: the others are notified.
    pub(super) fn take_chosen(&self, ballot: Ballot, value: Rc<Value>) {
        let before = self.known.borrow().as_ref().map(|(known, _)| *known);
        self.learn(ballot, value);
        if before != Some(ballot) {
            self.gossip.broadcast_to(Role::Controller, &Message::Commit(ballot));
        }
        self.informed.set(true);
    }

    /// Stores a chosen value that is newer than the known one: on disk, as the members and as the configuration.
    fn learn(&self, ballot: Ballot, value: Rc<Value>) {
        let newer = self.known.borrow().as_ref().is_none_or(|(known, _)| *known < ballot);
        if !newer {
            return;
        }
        self.round.set(self.round.get().max(ballot.round));
        self.member.adopt_committed(ballot, value.clone());
        *self.known.borrow_mut() = Some((ballot, value.clone()));
        self.gossip.take_members(value.sequence, members_of(&value));
        if value.version > 0 && value.version > self.gossip.replica().version() {
            self.gossip.take_config(value.version, value.config.as_slice().to_vec());
        }
    }

    /// The sets of members to begin with: of the announced value or of the value that this member has accepted, whichever is
    /// newer. After a restart of all processes no value is announced.
    pub fn sets(&self) -> Vec<BTreeSet<Member>> {
        let replica = self.gossip.replica();
        let announced = replica.members();
        match self.member.accepted() {
            Some(accepted) if accepted.value.sequence > announced.sequence => sets_of(&accepted.value),
            _ if announced.sequence > 0 => vec![announced.set.clone()],
            _ => vec![self.first.clone()],
        }
    }
}
