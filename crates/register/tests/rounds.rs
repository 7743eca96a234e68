//! Rounds of the register with messages in forced orders.

mod support;

use runtrack_message::{Ballot, RegisterReply, RegisterRequest, Value};
use runtrack_register::{
    Acceptor, ConfigAnswer, ConfigRequest, Decision, Outcome, Progress, Round, finish_membership, is_joint,
    members_of, replace_members,
};
use std::collections::BTreeSet;
use support::{Cluster, member, request};

#[test]
fn a_request_is_applied_once_and_acknowledged_again_after_other_changes() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
    assert_eq!(cluster.submit(1, &request(1, 5)), Some(ConfigAnswer::Applied));
    assert_eq!(
        cluster.submit(2, &request(0, 1)),
        Some(ConfigAnswer::Applied),
        "the same request again, at another member"
    );
    assert_eq!(cluster.read(0).version, 5);
}

#[test]
fn of_two_requests_on_one_base_one_wins() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
    assert_eq!(cluster.submit(1, &request(1, 3)), Some(ConfigAnswer::Applied));
    assert_eq!(cluster.submit(2, &request(1, 4)), Some(ConfigAnswer::VersionMismatch(3)));
    assert_eq!(cluster.read(1).version, 3);
}

#[test]
fn a_version_that_does_not_increase_is_rejected() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 4)), Some(ConfigAnswer::Applied));
    assert_eq!(cluster.submit(0, &request(4, 4)), Some(ConfigAnswer::VersionNotIncreasing(4)));
}

#[test]
fn a_value_at_a_minority_is_committed_or_superseded_and_a_rejection_is_final() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
    // Only member 0 accepts it, and its proposer gets no further replies.
    let lost = request(1, 2);
    cluster.submit_reaching(0, &lost, &[0]);
    // Members 1 and 2 do not know of it and accept another request.
    cluster.set_partitioned(0, true);
    assert_eq!(cluster.submit(1, &request(1, 3)), Some(ConfigAnswer::Applied));
    cluster.set_partitioned(0, false);
    assert_eq!(cluster.submit(2, &lost), Some(ConfigAnswer::VersionMismatch(3)));
    for at in 0..3 {
        assert_eq!(cluster.read(at).version, 3, "the rejected request must never come into force");
    }
}

#[test]
fn a_rejection_commits_the_value_it_is_based_on() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
    // Only member 1 has accepted version 3 when member 2 rejects another request because of it.
    cluster.submit_reaching(1, &request(1, 3), &[1]);
    cluster.set_partitioned(0, true);
    assert_eq!(cluster.submit(2, &request(1, 4)), Some(ConfigAnswer::VersionMismatch(3)));
    cluster.set_partitioned(0, false);
    cluster.set_partitioned(1, true);
    assert_eq!(cluster.read(0).version, 3, "version 3 is committed without member 1");
}

#[test]
fn a_read_that_finds_a_value_at_a_minority_commits_it() {
    let mut cluster = Cluster::new(3);
    cluster.submit_reaching(0, &request(0, 1), &[0]);
    assert_eq!(cluster.read(0).version, 1);
    cluster.set_partitioned(0, true);
    assert_eq!(cluster.read(1).version, 1, "a value that was read stays committed");
}

#[test]
fn a_proposer_that_resumes_late_is_preempted() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
    let late = request(1, 2);
    let mut paused = cluster.prepared(0, &late);
    assert_eq!(cluster.submit(1, &request(1, 3)), Some(ConfigAnswer::Applied));
    assert_eq!(cluster.submit(2, &request(3, 4)), Some(ConfigAnswer::Applied));
    assert!(matches!(cluster.resume(&mut paused), Some(Outcome::Preempted(_))));
    assert_eq!(cluster.read(0).version, 4);
}

#[test]
fn a_replaced_member_no_longer_counts() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
    cluster.set_partitioned(2, true);
    let new = cluster.add(member(2, 77));
    assert!(cluster.replace(0, &[member(0, 0), member(1, 0), member(2, 77)]));
    cluster.set_partitioned(0, true);
    assert_eq!(
        cluster.submit(1, &request(1, 2)),
        Some(ConfigAnswer::Applied),
        "members 1 and the new one are a majority"
    );
    cluster.set_partitioned(1, true);
    cluster.set_partitioned(2, false);
    assert_eq!(cluster.read_if_any(new), None, "the new one and the one that was replaced are none");
}

#[test]
fn a_round_that_finds_other_sets_continues_if_their_members_have_promised() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
    cluster.add(member(3, 9));
    let four = [member(0, 0), member(1, 0), member(2, 0), member(3, 9)];
    // Only the first half of a change: its sets have three and four members.
    assert!(cluster.begin_replace(0, &four));
    // A proposer whose view is the set of four has thereby asked the set of three as well.
    let view = vec![four.into_iter().collect()];
    let outcome = cluster.round(1, view, &mut |current| current.map_or(Decision::Read, finish_membership));
    let Some(Outcome::Committed(_, value)) = outcome else { panic!("{outcome:?}") };
    assert_eq!(members_of(&value).len(), 4);
    assert_eq!(value.sets.items().len(), 1);
}

#[test]
fn a_proposer_with_an_outdated_view_finds_the_newest_value() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
    let long_ago = cluster.view();
    cluster.add(member(3, 9));
    assert!(cluster.replace(0, &[member(0, 0), member(1, 0), member(3, 9)]));
    cluster.add(member(4, 9));
    assert!(cluster.replace(0, &[member(0, 0), member(4, 9), member(3, 9)]));
    assert_eq!(cluster.submit(0, &request(1, 2)), Some(ConfigAnswer::Applied));
    let outcome = cluster.round(2, long_ago, &mut |_| Decision::Read);
    let Some(Outcome::Read(_, value)) = outcome else { panic!("{outcome:?}") };
    assert_eq!(value.version, 2);
}

#[test]
fn a_wiped_member_rejects_requests_to_its_old_incarnation() {
    let mut acceptor = Acceptor::new(5);
    let ballot = Ballot { round: 1, boot: 1 };
    let request = RegisterRequest::Prepare { to: 0, ballot, have: Ballot::default() };
    let (reply, durable) = acceptor.handle(&request);
    assert_eq!(reply, RegisterReply::WrongIncarnation);
    assert_eq!(durable, None);
}

#[test]
fn replies_to_another_ballot_are_ignored() {
    let set: BTreeSet<_> = (0..3).map(|at| member(at, 0)).collect();
    let (mut round, _) = Round::new(Ballot { round: 7, boot: 1 }, vec![set], None);
    let old = RegisterReply::Promised { ballot: Ballot { round: 6, boot: 1 }, accepted: Ballot::default() };
    for at in 0..3 {
        let progress = round.reply(member(at, 0), old.clone(), &mut |_| panic!("nothing is decided"));
        assert_eq!(progress, Progress::Send(Vec::new()));
    }
}

#[test]
fn a_recovered_acceptor_keeps_its_promise_and_its_value() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
    for at in 0..3 {
        cluster.restart(at);
    }
    assert_eq!(cluster.read(2).version, 1);
}

#[test]
fn a_membership_change_in_progress_is_finished_before_the_next_begins() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
    cluster.add(member(3, 9));
    let four = [member(0, 0), member(1, 0), member(2, 0), member(3, 9)];
    assert!(cluster.begin_replace(0, &four));
    let joint: Value = cluster.read(0);
    let other: BTreeSet<_> = [member(0, 0)].into_iter().collect();
    let Decision::Propose(next) = replace_members(&joint, &other) else { panic!("nothing is written") };
    assert_eq!(members_of(&next), four.into_iter().collect());
}

#[test]
fn the_second_half_of_a_membership_change_waits_until_the_first_is_chosen() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
    let new = cluster.add(member(3, 9));
    let next = [member(0, 0), member(1, 0), member(3, 9)];
    // The first half reaches member 1 and the new one, which is no majority of the old members.
    cluster.begin_replace_reaching(0, &next, &[1, new]);
    let view = cluster.view();
    let outcome = cluster
        .round(1, view, &mut |_| panic!("nothing may be decided on joint sets that may not be chosen"));
    assert!(matches!(outcome, Some(Outcome::MembershipCommitted(..))), "{outcome:?}");
}

#[test]
fn the_table_of_applied_requests_is_bounded() {
    let mut cluster = Cluster::new(1);
    for version in 1..=600 {
        let request = ConfigRequest::replace(version - 1, version, Vec::new());
        assert_eq!(cluster.submit(0, &request), Some(ConfigAnswer::Applied));
    }
    assert_eq!(cluster.read(0).applied.items().len(), 512);
}

#[test]
fn a_member_joins_before_the_first_value() {
    let mut cluster = Cluster::new(3);
    cluster.add(member(3, 9));
    let members = [member(0, 0), member(1, 0), member(2, 0), member(3, 9)];
    assert!(cluster.replace(0, &members));
    let grown = cluster.read(1);
    assert_eq!((grown.sequence, grown.version, grown.config.as_slice()), (2, 0, [].as_slice()));
    assert_eq!(
        cluster.submit(2, &request(1, 2)),
        Some(ConfigAnswer::Indeterminate),
        "there may be a version 1"
    );
    assert_eq!(cluster.submit(2, &request(0, 1)), Some(ConfigAnswer::Applied));
    cluster.set_partitioned(0, true);
    let value = cluster.read(1);
    assert_eq!((value.sequence, value.version), (3, 1));
    assert!(value.sets.items()[0].items().contains(&member(3, 9)));
    cluster.set_partitioned(1, true);
    assert_eq!(cluster.submit(2, &request(1, 2)), None, "two of four are no majority");
}

#[test]
fn a_membership_change_and_a_concurrent_first_value_find_each_other() {
    let members = [member(0, 0), member(1, 0), member(2, 0), member(3, 9)];
    let mut cluster = Cluster::new(3);
    cluster.add(member(3, 9));
    cluster.submit_reaching(0, &request(0, 1), &[1]);
    cluster.set_partitioned(0, true);
    assert!(cluster.replace(2, &members));
    assert_eq!(cluster.read(2).version, 1, "it may have been acknowledged");

    let mut cluster = Cluster::new(3);
    cluster.add(member(3, 9));
    assert!(cluster.begin_replace(0, &members), "joint sets");
    cluster.set_partitioned(0, true);
    assert_eq!(cluster.submit(1, &request(0, 1)), Some(ConfigAnswer::Applied));
    let value = cluster.read(1);
    assert!(is_joint(&value) && value.version == 1, "the sets under way stay");
}
