//! Selection of the controllers that agents keep links to and send load reports to.

use runtrack_agent::{backlog_aggregators, controllers_to_link};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

fn members(count: u8) -> BTreeSet<SocketAddrV4> {
    (1..=count).map(|last| SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7660)).collect()
}

fn agents() -> impl Iterator<Item = String> {
    (0..200).map(|number| format!("edge-{number}"))
}

/// The controller that an agent sends load reports to while it has all the links that it wants except those to the lost
/// members.
fn target_of(name: &str, members: &BTreeSet<SocketAddrV4>, lost: &[SocketAddrV4]) -> Option<SocketAddrV4> {
    let linked = controllers_to_link(name, members);
    backlog_aggregators(linked.into_iter().filter(|member| !lost.contains(member))).first().copied()
}

/// With more members than an agent keeps links to, agents are linked to different members and could send their reports
/// to different ones.
#[test]
fn all_agents_report_to_the_same_member_for_any_number_of_members() {
    for count in 1..=15 {
        let members = members(count);
        let targets: BTreeSet<_> = agents().map(|name| target_of(&name, &members, &[])).collect();
        assert_eq!(targets.len(), 1, "{count} members: {targets:?}");
        assert!(targets.iter().all(Option::is_some));
    }
}

#[test]
fn all_agents_report_to_the_same_second_member_if_the_first_is_lost() {
    for count in 2..=15 {
        let members = members(count);
        let first = backlog_aggregators(members.iter().copied())[0];
        let targets: BTreeSet<_> = agents().map(|name| target_of(&name, &members, &[first])).collect();
        assert_eq!(targets.len(), 1, "{count} members: {targets:?}");
        assert!(!targets.contains(&Some(first)));
    }
}

#[test]
fn an_agent_keeps_few_links_and_links_are_distributed_over_all_members() {
    let members = members(15);
    let mut link_counts = std::collections::BTreeMap::new();
    for name in agents() {
        let linked = controllers_to_link(&name, &members);
        assert!((5..=7).contains(&linked.len()), "{linked:?}");
        linked.into_iter().for_each(|member| *link_counts.entry(member).or_insert(0) += 1);
    }
    assert_eq!(link_counts.len(), 15);
    assert!(link_counts.values().all(|count| *count >= 20), "{link_counts:?}");
}
