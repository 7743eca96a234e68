//! A starting member asks the others for its watermark before it promises anything: the disk alone does not show that it was
//! restored from an older copy or that its newest synced record is damaged.

mod support;

use runtrack_message::{Ballot, Member, RegisterReply, Watermark};
use runtrack_register::{ConfigAnswer, DiskCheck, DiskVerdict, DurableWatermarks, LATE_ANSWERS_TIMEOUT};
use std::collections::BTreeSet;
use std::time::Duration;
use support::{Cluster, member, request};

fn ballot(round: u64) -> Ballot {
    Ballot { round, boot: 1 }
}

fn watermark(promised: u64, accepted: u64) -> Watermark {
    Watermark { promised: ballot(promised), accepted: ballot(accepted) }
}

fn three() -> Vec<BTreeSet<Member>> {
    vec![(0..3).map(|at| member(at, 0)).collect()]
}

/// The disk check of member 2 with `own` on its disk.
fn check(own: Watermark) -> DiskCheck {
    DiskCheck::new(member(2, 0), own, three())
}

const START: Duration = Duration::from_secs(5);

#[test]
fn watermarks_only_increase() {
    let mut seen = DurableWatermarks::default();
    let at = member(1, 0);
    assert_eq!(seen.of(&at), Watermark::default());
    seen.on_reply(at, &RegisterReply::Promised { ballot: ballot(5), accepted: ballot(2) });
    assert_eq!(seen.of(&at), watermark(5, 2));
    seen.on_reply(at, &RegisterReply::Accepted { ballot: ballot(4) });
    assert_eq!(seen.of(&at), watermark(5, 4));
    seen.on_reply(at, &RegisterReply::Rejected { ballot: ballot(4), promised: ballot(9) });
    assert_eq!((seen.of(&at).promised, seen.of(&at).accepted), (ballot(9), ballot(4)));
    seen.on_accepted(at, ballot(3));
    seen.on_reply(at, &RegisterReply::WrongIncarnation);
    assert_eq!(seen.of(&at), watermark(9, 4));
    seen.on_accepted(at, ballot(11));
    assert_eq!(seen.of(&at), watermark(11, 11));
    assert_eq!(seen.of(&member(1, 7)), Watermark::default(), "another incarnation is another member");
    assert_eq!(seen.remembered_members(), 1);
    seen.retain(&[member(0, 0)].into_iter().collect());
    assert_eq!(seen.of(&at), Watermark::default());
}

#[test]
fn one_higher_watermark_identifies_an_older_disk() {
    for remembered in [watermark(8, 5), watermark(7, 6)] {
        let mut check = check(watermark(7, 5));
        check.on_answer(member(0, 0), remembered);
        assert!(matches!(check.verdict(START), DiskVerdict::Older(_)), "{remembered:?}");
    }
}

#[test]
fn a_disk_at_or_above_all_watermarks_is_current() {
    let mut check = check(watermark(7, 5));
    assert_eq!(check.verdict(START), DiskVerdict::Waiting);
    check.on_answer(member(0, 0), watermark(7, 4));
    check.on_answer(member(1, 0), watermark(6, 5));
    assert_eq!(check.verdict(START), DiskVerdict::Current);
}

#[test]
fn the_verdict_is_unknown_when_all_members_start_at_once() {
    let mut check = check(watermark(7, 5));
    for at in 0..2 {
        check.on_answer(member(at, 0), Watermark::default());
    }
    assert_eq!(check.verdict(START), DiskVerdict::Unknown);
}

#[test]
fn the_check_waits_while_there_is_no_majority() {
    let mut check = check(watermark(7, 5));
    for minutes in 0..10 {
        assert_eq!(check.verdict(Duration::from_secs(60 * minutes)), DiskVerdict::Waiting);
    }
    assert_eq!(check.unanswered(), [member(0, 0), member(1, 0)].into_iter().collect());
    check.on_answer(member(0, 7), watermark(7, 5));
    assert_eq!(check.verdict(START), DiskVerdict::Waiting, "another incarnation is no member of the set");
}

#[test]
fn late_answers_are_awaited_within_bounds() {
    let mut check = check(watermark(7, 5));
    check.on_answer(member(0, 0), watermark(7, 5));
    assert_eq!(check.verdict(START), DiskVerdict::Waiting);
    let nearly = START + LATE_ANSWERS_TIMEOUT - Duration::from_millis(1);
    assert_eq!(check.verdict(nearly), DiskVerdict::Waiting);
    let mut late = check.clone();
    late.on_answer(member(1, 0), watermark(9, 5));
    assert_eq!(late.verdict(nearly), DiskVerdict::Older(watermark(9, 5)));
    assert_eq!(check.verdict(START + LATE_ANSWERS_TIMEOUT), DiskVerdict::Current);
}

#[test]
fn a_replaced_member_is_not_awaited_and_does_not_count() {
    let mut check = check(watermark(7, 5));
    check.on_replaced(member(0, 0));
    assert_eq!(check.verdict(START + 2 * LATE_ANSWERS_TIMEOUT), DiskVerdict::Waiting);
    check.on_answer(member(1, 0), watermark(7, 5));
    assert_eq!(
        check.verdict(START),
        DiskVerdict::Current,
        "a majority has answered and no other answers are expected"
    );
}

#[test]
fn both_sets_of_a_change_of_members_are_asked() {
    let next = [member(2, 0), member(3, 9), member(4, 9)].into_iter().collect();
    let mut check = DiskCheck::new(member(2, 0), watermark(7, 5), vec![three().remove(0), next]);
    check.on_answer(member(0, 0), watermark(7, 5));
    check.on_answer(member(1, 0), watermark(7, 5));
    assert_eq!(check.verdict(START + 2 * LATE_ANSWERS_TIMEOUT), DiskVerdict::Waiting);
    check.on_answer(member(3, 9), Watermark::default());
    check.on_answer(member(4, 9), watermark(7, 5));
    assert_eq!(check.verdict(START), DiskVerdict::Current);
}

#[test]
fn an_older_disk_asks_the_current_members() {
    let mut check = check(watermark(7, 5));
    let now = [member(2, 0), member(3, 9), member(4, 9)].into_iter().collect();
    check.set_sets(vec![now]);
    assert_eq!(check.unanswered(), [member(3, 9), member(4, 9)].into_iter().collect());
    check.on_answer(member(4, 9), watermark(20, 19));
    assert_eq!(check.verdict(START), DiskVerdict::Older(watermark(20, 19)));
}

/// Version 2 is acknowledged at members 1 and 2, then member 2's disk is restored to where it had version 1.
fn with_older_disk() -> Cluster {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(0, &request(0, 1)), Some(ConfigAnswer::Applied));
    let copy = cluster.copy_disk(2);
    cluster.set_partitioned(0, true);
    assert_eq!(cluster.submit(1, &request(1, 2)), Some(ConfigAnswer::Applied));
    cluster.set_partitioned(0, false);
    cluster.restart_from(2, copy);
    cluster
}

#[test]
fn a_member_that_continues_on_an_older_disk_loses_acknowledged_changes() {
    // Without the disk check this happens every time.
    let mut cluster = with_older_disk();
    cluster.set_partitioned(1, true);
    assert_eq!(cluster.read(0).version, 1, "version 2 was acknowledged");
}

#[test]
fn a_member_with_an_older_disk_is_detected_and_nothing_is_lost() {
    let mut cluster = with_older_disk();
    let mut check = cluster.disk_check(2);
    for at in 0..2 {
        check.on_answer(member(at as u8, 0), cluster.remembered(at, &member(2, 0)));
    }
    assert!(matches!(check.verdict(START), DiskVerdict::Older(_)));
    // It no longer replies under its old incarnation, and joins as a new one.
    cluster.set_partitioned(2, true);
    cluster.add(member(2, 7));
    assert!(cluster.replace(0, &[member(0, 0), member(1, 0), member(2, 7)]));
    cluster.set_partitioned(1, true);
    assert_eq!(cluster.read(0).version, 2);
}

#[test]
fn a_damaged_newest_record_is_detected_like_an_older_disk() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.submit(1, &request(0, 1)), Some(ConfigAnswer::Applied));
    let before = cluster.copy_disk(2);
    assert_eq!(cluster.submit(1, &request(1, 2)), Some(ConfigAnswer::Applied));
    // The ring falls back to the record before the damaged one.
    cluster.restart_from(2, before);
    let mut check = cluster.disk_check(2);
    check.on_answer(member(1, 0), cluster.remembered(1, &member(2, 0)));
    assert!(matches!(check.verdict(START), DiskVerdict::Older(_)));
}

#[test]
fn state_seen_only_by_a_terminated_process_is_not_known() {
    let mut cluster = with_older_disk();
    cluster.clear_watermarks(1);
    let mut check = cluster.disk_check(2);
    for at in 0..2 {
        check.on_answer(member(at as u8, 0), cluster.remembered(at, &member(2, 0)));
    }
    // Member 0 remembers only an older state, so the check can't detect more.
    assert_eq!(check.verdict(START), DiskVerdict::Current);
}
