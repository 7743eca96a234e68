//! Which members have confirmed a record. No I/O and no clock.

use runtrack_message::Member;
use runtrack_net::mutant;
use runtrack_register::has_majority;
use std::collections::{BTreeMap, BTreeSet};

/// Number of a link among all that this process has had: one that came up again has another number.
pub type SessionKey = usize;

/// The members that were asked to confirm one record, by link, and the links on which it was confirmed.
#[derive(Clone, Debug, Default)]
pub struct ConfirmationTracker {
    asked: BTreeMap<SessionKey, Member>,
    confirmed: BTreeSet<SessionKey>,
    /// This process has the record on its own disk.
    is_on_own_disk: bool,
}

impl ConfirmationTracker {
    /// Notes that a member is asked on a link; whether it has not been before.
    pub fn ask(&mut self, link: SessionKey, member: Member) -> bool {
        self.asked.insert(link, member).is_none()
    }

    /// The record was confirmed on a link.
    pub fn on_confirmed(&mut self, link: SessionKey) {
        self.confirmed.insert(link);
    }

    /// The write to this process's own disk has ended; `written` where the record is there.
    pub fn on_own_write(&mut self, written: bool) {
        self.is_on_own_disk |= written;
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
        let still_linked = confirmed.filter(|(link, member)| links.get(link) == Some(member));
        let own = self.is_on_own_disk.then_some(me);
        let members: BTreeSet<Member> = still_linked.map(|(_, member)| *member).chain(own).collect();
        let has = |member: &Member| {
            let address = member.address();
            members.contains(member)
                || mutant("confirmations-by-address") && members.iter().any(|has| has.address() == address)
        };
        !sets.is_empty() && sets.iter().all(|set| has_majority(set, has))
    }
}
