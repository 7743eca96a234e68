//! Tests of the control plane's oracle on what members' disks held: for each rule about copies and
//! membership changes, a record that breaks it and one that does not.

use runtrack_sim::fleet::draw;
use runtrack_sim::fleet::facts::{
    Answer, Call, CallKind, ConfigChange, DiskRollback, DiskState, Facts, MemberId, Termination,
};
use runtrack_sim::fleet::oracle::{Rule, check};
use std::collections::BTreeSet;
use std::time::Duration;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn set(members: &[u32]) -> BTreeSet<MemberId> {
    members.iter().map(|core| (*core, 0)).collect()
}

/// A disk holds a value with this sequence number and version, with the initial members.
fn state(core: u32, at: u64, sequence: u64, version: u64) -> DiskState {
    let sets = vec![set(&[0, 1, 2])];
    DiskState { core, at: ms(at), incarnation: 0, sequence, version, sets }
}

/// A membership change as a disk shows it.
fn change(core: u32, at: u64, sequence: u64, sets: &[&[u32]]) -> DiskState {
    let sets = sets.iter().map(|members| set(members)).collect();
    DiskState { sets, ..state(core, at, sequence, 2) }
}

fn replace(change: usize, began: u64) -> Call {
    Call {
        asked: CallKind::Replace(change),
        core: 0,
        began: ms(began),
        ended: Some(ms(began + 10)),
        connected: true,
        left: false,
        answer: Some(Answer { status: 200, config: None, named: None }),
        surplus: false,
    }
}

/// Two acknowledged versions, on all disks.
fn valid_facts() -> Facts {
    let config_change = |base, marker| ConfigChange { base, version: base + 1, marker, valid: true };
    let mut facts = Facts {
        changes: vec![config_change(0, 0), config_change(1, 1)],
        calls: vec![replace(0, 100), replace(1, 5_000)],
        last_acknowledged: true,
        healed_at: ms(12_000),
        end: ms(20_000),
        ..Facts::default()
    };
    for core in 0..3 {
        facts.final_disks.insert(core, Some((2, 1)));
        facts.disk_states.extend([state(core, 0, 0, 0), state(core, 105, 1, 1), state(core, 5_005, 2, 2)]);
    }
    facts.disk_states.sort_by_key(|state| state.at);
    facts
}

fn violated_rules(change: impl Fn(&mut Facts)) -> Vec<Rule> {
    let mut script = draw::script(0);
    (script.cores, script.tolerance, script.agents) = (3, 1, 0);
    let mut facts = valid_facts();
    change(&mut facts);
    check(&script, &facts).into_iter().map(|violation| violation.rule).collect()
}

/// Asserts that the first record breaks the rule and the second does not.
#[track_caller]
fn assert_distinguishes(rule: Rule, bad: impl Fn(&mut Facts), good: impl Fn(&mut Facts)) {
    let (bad, good) = (violated_rules(bad), violated_rules(good));
    assert!(bad.contains(&rule), "{bad:?}");
    assert!(!good.contains(&rule), "{good:?}");
}

/// Makes a disk lack the second version.
fn lose_second_version(facts: &mut Facts, core: u32) {
    facts.disk_states.retain(|state| state.core != core || state.sequence < 2);
}

#[test]
fn a_valid_record_breaks_no_rule() {
    assert_eq!(violated_rules(|_| {}), []);
}

#[test]
fn a_member_that_resumes_from_an_older_disk_is_found() {
    let resumes = |facts: &mut Facts, incarnation: u64| {
        let back = DiskRollback { core: 0, at: ms(6_000), incarnation: 0, sequence: 1, is_stale: true };
        facts.disk_rollbacks.push(back);
        facts
            .disk_states
            .extend([state(0, 6_000, 1, 1), DiskState { incarnation, ..state(0, 6_500, 3, 2) }]);
    };
    assert_distinguishes(Rule::OlderDisk, |facts| resumes(facts, 0), |facts| resumes(facts, 7));
    let current = |facts: &mut Facts| {
        resumes(facts, 0);
        facts.disk_rollbacks[0].is_stale = false;
    };
    assert_eq!(violated_rules(current), [], "the restored state was current");
}

#[test]
fn a_process_may_end_only_after_a_disk_rollback() {
    let ends = |facts: &mut Facts| facts.exits.push(("core-0".to_owned(), ms(6_100), "why".to_owned()));
    let older = |facts: &mut Facts| {
        ends(facts);
        facts.disk_rollbacks.push(DiskRollback {
            core: 0,
            at: ms(6_000),
            incarnation: 0,
            sequence: 1,
            is_stale: true,
        });
    };
    assert_distinguishes(Rule::Runs, ends, older);
}

#[test]
fn termination_before_the_others_hold_the_value_is_found() {
    let ends = |facts: &mut Facts, ended: u64| {
        lose_second_version(facts, 1);
        facts.terminations.push(Termination { core: 0, requested: ms(8_000), ended: Some(ms(ended)) });
    };
    assert_distinguishes(Rule::HandsOver, |facts| ends(facts, 8_400), |facts| ends(facts, 10_000));
    let all_hold_it = |facts: &mut Facts| {
        ends(facts, 8_400);
        facts.disk_states.push(state(1, 8_200, 2, 2));
    };
    assert_distinguishes(Rule::HandsOver, |facts| ends(facts, 8_400), all_hold_it);
}

#[test]
fn a_missed_copy_that_is_not_repaired_is_found() {
    let late = |facts: &mut Facts, at: u64| {
        lose_second_version(facts, 2);
        facts.disk_states.push(state(2, at, 2, 2));
    };
    assert_distinguishes(Rule::Copies, |facts| late(facts, 18_000), |facts| late(facts, 16_000));
}

#[test]
fn two_membership_changes_at_once_are_found() {
    let changes = |facts: &mut Facts, next: &[u32]| {
        facts.disk_states.push(change(0, 9_000, 3, &[&[0, 1, 2], next]));
    };
    assert_distinguishes(
        Rule::OneChange,
        |facts| changes(facts, &[0, 3, 4]),
        |facts| changes(facts, &[0, 1, 3]),
    );
    assert_distinguishes(
        Rule::OneChange,
        |facts| changes(facts, &[0]),
        |facts| changes(facts, &[0, 1, 2, 3]),
    );
}

#[test]
fn a_change_before_the_previous_one_is_copied_is_found() {
    // There are four members from 9.1 s on, which core 2 does not know; the next change begins at the given
    // time.
    let changes = |facts: &mut Facts, at: u64| {
        for core in [0, 1, 3] {
            facts.disk_states.push(change(core, 9_000, 3, &[&[0, 1, 2], &[0, 1, 2, 3]]));
            facts.disk_states.push(change(core, 9_100, 4, &[&[0, 1, 2, 3]]));
        }
        facts.disk_states.push(change(0, at, 5, &[&[0, 1, 2, 3], &[1, 2, 3]]));
    };
    assert_distinguishes(Rule::CopiesFirst, |facts| changes(facts, 9_300), |facts| changes(facts, 10_200));
    let copied = |facts: &mut Facts| {
        facts.disk_states.push(change(2, 9_200, 4, &[&[0, 1, 2, 3]]));
        changes(facts, 9_300);
    };
    assert_distinguishes(Rule::CopiesFirst, |facts| changes(facts, 9_300), copied);
}

#[test]
fn a_member_that_joins_without_the_configuration_is_found() {
    let joins = |facts: &mut Facts, version: u64| {
        facts.disk_states.push(state(3, 8_900, version, version));
        facts.disk_states.push(change(0, 9_000, 3, &[&[0, 1, 2], &[0, 1, 2, 3]]));
    };
    assert_distinguishes(Rule::JoinsWhole, |facts| joins(facts, 1), |facts| joins(facts, 2));
}

#[test]
fn a_member_wiped_before_it_joins_is_found_if_that_was_knowable() {
    // Core 3 holds the newest version until its disk becomes empty at the given time.
    let wiped = |facts: &mut Facts, at: u64| {
        facts.disk_states.push(state(3, 8_000, 2, 2));
        facts.disk_states.push(DiskState { incarnation: 0, ..state(3, at, 0, 0) });
        facts.disk_states.push(change(0, 9_000, 3, &[&[0, 1, 2], &[0, 1, 2, 3]]));
    };
    assert_distinguishes(Rule::JoinsWhole, |facts| wiped(facts, 8_300), |facts| wiped(facts, 8_990));
}

#[test]
fn removal_of_a_healthy_member_is_found() {
    let replaced = |facts: &mut Facts| {
        facts.disk_states.push(state(3, 8_900, 2, 2));
        facts.disk_states.push(change(0, 9_000, 3, &[&[0, 1, 2], &[0, 1, 3]]));
    };
    let ended = |facts: &mut Facts| {
        replaced(facts);
        facts.disk_states.insert(0, DiskState { incarnation: 7, ..state(2, 8_000, 0, 0) });
        facts.disk_states.sort_by_key(|state| state.at);
    };
    assert_distinguishes(Rule::MemberStays, replaced, ended);
}
