//! Incarnations: which member a process is, at an address where others may have been before.

use runtrack_fleetconfig::Node;
use runtrack_net::mutant;

/// The incarnation of a member whose disk holds none: the first one where the whole system starts for the first time and
/// this is one of its first members, a new one otherwise.
pub fn new_incarnation(node: &Node) -> u64 {
    let first_boot = node.first_boot || mutant("wiped-member-votes");
    if first_boot && node.seed_members().contains(&node.member_address()) { 0 } else { fastrand::u64(1..) }
}
