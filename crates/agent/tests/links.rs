//! Which controllers agents keep links to.

use runtrack_agent::{backlog_members, controllers_to_link};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

fn members(count: u8) -> BTreeSet<SocketAddrV4> {
    (1..=count).map(|last| SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7660)).collect()
}

fn agents() -> impl Iterator<Item = String> {
    (0..200).map(|number| format!("edge-{number}"))
}

/// The member that an agent reports to while it has all the links that it wants but those to lost members.
fn reports_to(name: &str, members: &BTreeSet<SocketAddrV4>, lost: &[SocketAddrV4]) -> Option<SocketAddrV4> {
    let linked = controllers_to_link(name, members);
    backlog_members(linked.into_iter().filter(|member| !lost.contains(member))).first().copied()
}

/// With more members than an agent has watchers, agents have links to different ones.
#[test]
fn all_agents_report_to_one_member_however_many_there_are() {
    for count in 1..=15 {
        let members = members(count);
        let chosen: BTreeSet<_> = agents().map(|name| reports_to(&name, &members, &[])).collect();
        assert_eq!(chosen.len(), 1, "{count} members: {chosen:?}");
        assert!(chosen.iter().all(Option::is_some));
    }
}

#[test]
fn all_agents_report_to_one_other_member_where_the_first_is_lost() {
    for count in 2..=15 {
        let members = members(count);
        let first = backlog_members(members.iter().copied())[0];
        let chosen: BTreeSet<_> = agents().map(|name| reports_to(&name, &members, &[first])).collect();
        assert_eq!(chosen.len(), 1, "{count} members: {chosen:?}");
        assert!(!chosen.contains(&Some(first)));
    }
}

#[test]
fn an_agent_keeps_few_links_and_they_are_spread_over_the_members() {
    let members = members(15);
    let mut links = std::collections::BTreeMap::new();
    for name in agents() {
        let linked = controllers_to_link(&name, &members);
        assert!((5..=7).contains(&linked.len()), "{linked:?}");
        linked.into_iter().for_each(|member| *links.entry(member).or_insert(0) += 1);
    }
    assert_eq!(links.len(), 15);
    assert!(links.values().all(|count| *count >= 20), "{links:?}");
}
