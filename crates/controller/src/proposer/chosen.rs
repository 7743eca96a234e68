//! What is chosen, as far as this process knows: learning it, telling the others, and whether it is behind.

use crate::proposer::Proposer;
use runtrack_message::{Ballot, Member, Message, Role, Value};
use runtrack_net::mutant;
use runtrack_register::{members_of, sets_of};
use std::collections::BTreeSet;
use std::rc::Rc;

impl Proposer {
    /// Another controller says under which ballot it has a value on disk. Where that is newer than what is known here,
    /// a round finds out what is chosen: the same value may have been accepted again under a higher ballot, and word of
    /// that is told once and may be lost.
    pub fn on_peer_accepted(&self, ballot: Ballot) {
        self.newest_elsewhere.set(self.newest_elsewhere.get().max(ballot));
    }

    /// The newest ballot that this member or, as far as it is not accounted for, another one has accepted.
    pub(super) fn newest_accepted(&self) -> Ballot {
        let accepted = self.member.accepted().map(|accepted| accepted.ballot).unwrap_or_default();
        let elsewhere = self.newest_elsewhere.get();
        if elsewhere > self.settled.get() { accepted.max(elsewhere) } else { accepted }
    }

    /// Whether this ballot, or what others say, is newer than what is known here.
    pub(super) fn is_behind(&self, accepted: Ballot) -> bool {
        let told = self.gossip.replica().members().sequence;
        let known = self.known.borrow();
        let (ballot, sequence) =
            known.as_ref().map_or_else(Default::default, |(ballot, value)| (*ballot, value.sequence));
        accepted > ballot || sequence < told
    }

    /// Another member says that the value of this ballot is chosen.
    pub fn on_committed(&self, ballot: Ballot) {
        self.on_peer_accepted(ballot);
        if self.known.borrow().as_ref().is_some_and(|(known, _)| *known >= ballot) {
            return;
        }
        match self.member.accepted() {
            Some(accepted) if accepted.ballot == ballot || mutant("commit-of-any-ballot") => {
                self.learn(ballot, accepted.value);
            }
            _ => self.unsettled.notify_one(),
        }
    }

    /// This process has found out that a value is chosen: the others are told.
    pub(super) fn take_chosen(&self, ballot: Ballot, value: Rc<Value>) {
        let before = self.known.borrow().as_ref().map(|(known, _)| *known);
        self.learn(ballot, value);
        if before != Some(ballot) {
            self.gossip.broadcast_to(Role::Controller, &Message::Commit(ballot));
        }
        self.informed.set(true);
    }

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

    /// The sets of members to begin with: of what is told to be chosen, or of what this member has accepted, whichever
    /// is newer. After the end of all processes there is nobody to tell.
    pub fn sets(&self) -> Vec<BTreeSet<Member>> {
        let replica = self.gossip.replica();
        let told = replica.members();
        match self.member.accepted() {
            Some(accepted) if accepted.value.sequence > told.sequence => sets_of(&accepted.value),
            _ if told.sequence > 0 => vec![told.set.clone()],
            _ => vec![self.first.clone()],
        }
    }
}
