//! Links to members, seeds and joining processes.

use crate::membership::Membership;
use runtrack_message::Member;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

impl Membership {
    /// Keeps links to members, seeds and joining members up.
    pub(super) fn dial(&self) {
        let mut wanted: BTreeSet<SocketAddrV4> = self.members().iter().map(Member::address).collect();
        // While the membership changes, members of both sets. After the end of all processes the own disk alone names
        // the members: the seeds may all have been replaced.
        let known = self.proposer.known().map(|(_, value)| value);
        for value in known.into_iter().chain(self.member.accepted().map(|accepted| accepted.value)) {
            wanted.extend(value.sets.items().iter().flat_map(|set| set.items()).map(Member::address));
        }
        wanted.extend(self.seeds.borrow().iter());
        wanted.extend(self.requests.borrow().joining().map(Member::address));
        wanted.remove(&self.me.address());
        self.dials.keep(&wanted);
    }
}
