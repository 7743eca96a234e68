//! Replication, elections, reads and membership changes, with members that are partitioned or removed.

mod support;

use runtrack_agree::{Command, MemberChange, Node, Outcome};
use runtrack_testkit::Disk;
use support::*;

#[test]
fn a_single_member_commits_alone_and_keeps_its_state_after_a_power_cycle() {
    let mut cluster = Cluster::new(1);
    for n in 0..20 {
        cluster.write("", hold(n));
    }
    assert_eq!(cluster.state(1).held.len(), 20);
    cluster.power_cycle(1);
    cluster.until("it leads again", |c| c.leader() == Some(1));
    assert_eq!(cluster.state(1).held.len(), 20);
}

#[test]
fn three_and_five_members_apply_the_same_writes() {
    for members in [3, 5] {
        let mut cluster = Cluster::with_members(members, members);
        for n in 0..50 {
            cluster.write("", hold(n));
        }
        cluster.wait_for_equal_states();
        for member in 1..=members {
            assert_eq!(cluster.state(member).held.len(), 50);
        }
    }
}

#[test]
fn a_write_through_any_member_reaches_the_log() {
    let mut cluster = Cluster::with_members(3, 2);
    let leader = cluster.leader().expect("somebody");
    for (n, member) in (1..=3).enumerate() {
        let write = proposal(&format!("by-{member}"), hold(n as u64));
        cluster.nodes.get_mut(&member).expect("it runs").propose(&write).expect("taken");
        cluster.until("it is applied", |c| c.state(leader).outcome(&write.id).is_some());
    }
}

#[test]
fn a_partitioned_leader_steps_down_and_its_writes_are_not_committed() {
    let mut cluster = Cluster::with_members(3, 3);
    let old = cluster.leader().expect("somebody");
    cluster.set_partitioned(old, true);
    let lost = proposal("lost", hold(99));
    cluster.nodes.get_mut(&old).expect("it runs").propose(&lost).expect("it believes that it leads");
    cluster.until("another leads", |c| c.leader().is_some_and(|leader| leader != old));
    cluster.write("kept", hold(1));
    cluster.until("the old one has stepped down", |c| !c.nodes[&old].is_leader());
    assert!(cluster.state(old).outcome("lost").is_none());
    cluster.set_partitioned(old, false);
    cluster.wait_for_equal_states();
    for member in 1..=3 {
        assert!(cluster.state(member).outcome("kept").is_some());
        assert!(cluster.state(member).outcome("lost").is_none());
    }
}

#[test]
fn a_member_returning_from_a_partition_does_not_disrupt_the_leader() {
    let mut cluster = Cluster::with_members(3, 4);
    let leader = cluster.leader().expect("somebody");
    let other = (1..=3).find(|member| *member != leader).expect("one of the others");
    let term = cluster.nodes[&leader].status().term;
    cluster.set_partitioned(other, true);
    for _ in 0..500 {
        cluster.tick_all();
    }
    cluster.set_partitioned(other, false);
    for _ in 0..100 {
        cluster.tick_all();
    }
    assert_eq!((cluster.leader(), cluster.nodes[&leader].status().term), (Some(leader), term));
}

#[test]
fn a_deposed_leader_does_not_answer_reads() {
    let mut cluster = Cluster::with_members(3, 5);
    let old = cluster.leader().expect("somebody");
    cluster.write("", hold(1));
    cluster.nodes.get_mut(&old).expect("it runs").request_read(1);
    cluster.until("it is answered", |c| c.reads.contains(&(old, 1)));
    cluster.set_partitioned(old, true);
    cluster.nodes.get_mut(&old).expect("it runs").request_read(2);
    cluster.until("another leads", |c| c.leader().is_some_and(|leader| leader != old));
    cluster.write("", hold(2));
    for _ in 0..50 {
        cluster.tick_all();
    }
    assert!(!cluster.reads.contains(&(old, 2)), "it could not know what was written meanwhile");
    // A read through a follower sees what was written before it.
    let follower = (1..=3).find(|m| *m != old && Some(*m) != cluster.leader()).expect("the third");
    cluster.nodes.get_mut(&follower).expect("it runs").request_read(3);
    cluster.until("it is answered", |c| c.reads.contains(&(follower, 3)));
    assert_eq!(cluster.state(follower).held.len(), 2);
}

#[test]
fn all_members_can_be_replaced_one_by_one() {
    let mut cluster = Cluster::with_members(3, 6);
    for n in 0..30 {
        cluster.write("", hold(n));
    }
    for old in 1..=3 {
        let new = old + 3;
        cluster.add(new);
        cluster.promote(new);
        if cluster.leader() == Some(old) {
            cluster.nodes.get_mut(&old).expect("it runs").transfer_leader(new);
            cluster.until("the new one leads", |c| c.leader() == Some(new));
        }
        cluster.change(&MemberChange::Remove { member: old });
        cluster.nodes.remove(&old);
        cluster.write("", hold(100 + old));
    }
    cluster.wait_for_equal_states();
    let members: Vec<u64> = cluster.state(4).members.keys().copied().collect();
    assert_eq!(members, [4, 5, 6]);
    assert_eq!(cluster.state(5).held.len(), 33);
    assert_eq!(cluster.state(6).removed.keys().copied().collect::<Vec<_>>(), [1, 2, 3]);
}

#[test]
fn a_removed_member_does_not_count_towards_a_majority() {
    let mut cluster = Cluster::with_members(3, 7);
    let leader = cluster.leader().expect("somebody");
    let gone = (1..=3).find(|member| *member != leader).expect("one of the others");
    // It does not learn of its removal.
    cluster.set_partitioned(gone, true);
    cluster.change(&MemberChange::Remove { member: gone });
    cluster.wait_for_equal_states_without(gone);
    cluster.set_partitioned(gone, false);
    let term = cluster.nodes[&leader].status().term;
    // With the third member partitioned the leader cannot commit: the removed member must not count towards a majority.
    let third = (1..=3).find(|member| *member != leader && *member != gone).expect("the third");
    cluster.set_partitioned(third, true);
    let write = proposal("alone", hold(1));
    let _ = cluster.nodes.get_mut(&leader).expect("it runs").propose(&write);
    for _ in 0..100 {
        cluster.tick_all();
    }
    assert!(cluster.state(leader).outcome("alone").is_none());
    assert!(cluster.leaders.iter().all(|(_, leader)| *leader != gone) || term > 0);
    assert!(!cluster.nodes[&gone].is_leader());
}

#[test]
fn invalid_membership_changes_are_refused_with_a_reason() {
    let mut cluster = Cluster::with_members(3, 8);
    let leader = cluster.leader().expect("somebody");
    let node = cluster.nodes.get_mut(&leader).expect("it runs");
    let add = |member: u64, name: &str, address: &str| MemberChange::Add {
        member,
        name: name.to_owned(),
        address: address.to_owned(),
        ticket: "t".to_owned(),
    };
    let mut why = |change: &MemberChange| node.change_members("", change).expect_err("it makes no sense");
    assert!(why(&add(9, "m9", "a9")).contains("not the next number"));
    assert!(why(&add(4, "m1", "a9")).contains("a member m1 already"));
    assert!(why(&add(4, "m9", "a1")).contains("a member at a1 already"));
    assert!(why(&add(4, "", "a9")).contains("needs a name"));
    assert!(why(&MemberChange::Promote { member: 9 }).contains("no such member"));
    assert!(why(&MemberChange::Promote { member: 2 }).contains("votes already"));
    assert!(why(&MemberChange::Remove { member: leader }).contains("transfer leadership"));
    node.change_members("", &add(4, "m4", "a4")).expect("it may be made");
    let second = node.change_members("", &MemberChange::Remove { member: 1 + leader % 3 });
    assert!(second.expect_err("one at a time").contains("under way"));
    cluster.until("it is applied", |c| c.state(leader).members.contains_key(&4));
    let node = cluster.nodes.get_mut(&leader).expect("it runs");
    let early = node.change_members("", &MemberChange::Promote { member: 4 });
    assert!(early.expect_err("an empty folder").contains("never shown itself"));
}

#[test]
fn a_second_folder_with_the_same_member_id_is_refused() {
    let mut cluster = Cluster::with_members(3, 9);
    cluster.add(4);
    let seen = |folder: &str| Command::Seen {
        member: 4,
        ticket: "ticket-4".to_owned(),
        folder: folder.to_owned(),
    };
    let again = cluster.write("again", seen("folder-4"));
    assert_eq!(cluster.applied[&again].outcome, Outcome::Done);
    let other = cluster.write("other", seen("another"));
    let Outcome::Refused(why) = &cluster.applied[&other].outcome else { panic!("taken") };
    assert!(why.contains("belongs to another folder"), "{why}");
}

#[test]
fn a_folder_cannot_be_initialized_twice() {
    let disk = Disk::default();
    Node::join(disk.clone(), identity(4)).expect("made");
    let again = Node::join(disk.clone(), identity(5)).expect_err("there is one");
    assert!(again.to_string().contains("a member here already: number 4"), "{again}");
    let Err(none) = Node::open(Disk::default(), TUNING, 1) else { panic!("an empty folder is no member") };
    assert!(none.to_string().contains("cluster init"), "{none}");
}

#[test]
fn a_flapping_link_causes_no_elections() {
    let mut cluster = Cluster::with_members(3, 10);
    let leader = cluster.leader().expect("somebody");
    let term = cluster.nodes[&leader].status().term;
    let other = 1 + leader % 3;
    for turn in 0..2_000 {
        let down = turn % 2 == 0;
        for link in [(leader, other), (other, leader)] {
            if down {
                cluster.cut_links.insert(link)
            } else {
                cluster.cut_links.remove(&link)
            };
        }
        cluster.tick_all();
    }
    let now = cluster.nodes[&leader].status();
    assert_eq!((now.term, cluster.leader()), (term, Some(leader)));
}

#[test]
fn a_one_way_partition_leaves_one_leader_and_writes_continue() {
    for way in [true, false] {
        let mut cluster = Cluster::with_members(3, 11);
        let leader = cluster.leader().expect("somebody");
        for other in (1..=3).filter(|other| *other != leader) {
            cluster.cut_links.insert(if way { (leader, other) } else { (other, leader) });
        }
        for n in 0..10 {
            cluster.write("", hold(n));
        }
        cluster.cut_links.clear();
        cluster.wait_for_equal_states();
        assert_eq!(cluster.state(leader).held.len(), 10);
    }
}
