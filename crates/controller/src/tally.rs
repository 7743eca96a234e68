//! Who has confirmed a record, free of I/O.

use runtrack_message::Member;
use runtrack_net::mutant;
use runtrack_register::has_majority;
use std::collections::{BTreeMap, BTreeSet};

/// A link, by its place among all that this process has had: one that came up again is another one.
pub type SessionKey = usize;

/// Who was asked for one record on which link, and on which links it was confirmed.
#[derive(Clone, Debug, Default)]
pub struct ConfirmationTally {
    asked: BTreeMap<SessionKey, Member>,
    confirmed: BTreeSet<SessionKey>,
    /// This process has the record on its own disk.
    kept: bool,
}

impl ConfirmationTally {
    /// Notes that a member is asked on a link; whether it has not been before.
    pub fn ask(&mut self, link: SessionKey, member: Member) -> bool {
        self.asked.insert(link, member).is_none()
    }

    /// The record was confirmed on a link.
    pub fn on_confirmed(&mut self, link: SessionKey) {
        self.confirmed.insert(link);
    }

    /// The write to this process's own disk has ended; `kept` where the record is there.
    pub fn on_own_write(&mut self, kept: bool) {
        self.kept |= kept;
    }

    /// Whether a majority of each set has the record: `me` once it is on the own disk, and those that confirmed on a link
    /// that is still up, as the member that was asked on it. Behind a link that ended may be another process, on a disk
    /// that has lost what was confirmed.
    pub fn has_majorities(
        &self,
        me: Member,
        links: &BTreeMap<SessionKey, Member>,
        sets: &[BTreeSet<Member>],
    ) -> bool {
        let confirmed = self.asked.iter().filter(|(link, _)| self.confirmed.contains(link));
        let still_there = confirmed.filter(|(link, member)| links.get(link) == Some(member));
        let own = self.kept.then_some(me);
        let members: BTreeSet<Member> = still_there.map(|(_, member)| *member).chain(own).collect();
        let has = |member: &Member| {
            let address = member.address();
            members.contains(member)
                || mutant("confirmations-by-address") && members.iter().any(|has| has.address() == address)
        };
        !sets.is_empty() && sets.iter().all(|set| has_majority(set, has))
    }
}
