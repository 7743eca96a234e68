//! Settings of the membership.

use runtrack_fleetconfig::Node;
use runtrack_message::Member;
use runtrack_register::MembershipTimes;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// Settings of the membership.
pub struct MembershipSettings {
    /// Where to look for members.
    pub seeds: BTreeSet<SocketAddrV4>,
    /// Members before the first value.
    pub first: BTreeSet<Member>,
    /// Members that are wanted: `2 x tolerance + 1`, of which a majority is left after that many losses.
    pub wanted: usize,
    /// How long to wait for lost members, copies and a graceful shutdown.
    pub times: MembershipTimes,
}

impl MembershipSettings {
    /// Those of a node with these seeds.
    pub fn new(
        node: &Node,
        seeds: BTreeSet<SocketAddrV4>,
        first: BTreeSet<Member>,
        times: MembershipTimes,
    ) -> Self {
        MembershipSettings { seeds, first, wanted: 2 * node.tolerance.machines as usize + 1, times }
    }
}
