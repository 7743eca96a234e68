//! The check of fleet histories reports violations in constructed histories, and nothing else.

use runtrack_rig::fleet::check::{Rule, check_history};
use runtrack_rig::fleet::history::{Event, EventKind, State, Version};

const SECOND: u64 = 1_000_000;

fn version(number: u64, name: &str) -> Version {
    Version { number, name: name.to_owned() }
}

fn event(began: u64, ended: Option<u64>, what: EventKind) -> Event {
    Event { began, ended, who: "somebody".to_owned(), what }
}

/// A request to put `number` in force on top of `base`; it is valid unless its name begins with `invalid`.
fn replace(began: u64, ended: u64, base: u64, number: u64, name: &str, status: Option<u16>) -> Event {
    let valid = !name.starts_with("invalid");
    let version = version(number, name);
    let observation =
        EventKind::Replace { member: 0, base, version, valid, lost: status.is_none(), status };
    event(began, status.map(|_| ended), observation)
}

fn read(began: u64, ended: u64, number: u64, name: &str) -> Event {
    let observation =
        EventKind::Read { member: 0, status: Some(200), version: Some(version(number, name)) };
    event(began, Some(ended), observation)
}

fn told(at: u64, life: u64, number: u64, name: &str) -> Event {
    event(at, Some(at), EventKind::Told { agent: 0, life, version: version(number, name) })
}

fn trouble(began: u64, ended: u64, kind: &str, member: usize, isolated: bool) -> Event {
    let isolated = isolated.then_some(member);
    let observation =
        EventKind::Trouble { kind: kind.to_owned(), members: vec![member], agents: Vec::new(), isolated };
    event(began, Some(ended), observation)
}

fn call(began: u64, ended: u64, state: State, status: Option<u16>) -> Event {
    let observation = EventKind::Call { member: 0, endpoint: "e".to_owned(), state, status };
    event(began, status.map(|_| ended), observation)
}

fn heard(at: u64) -> Event {
    let observation =
        EventKind::Heard { agent: 0, life: 1, endpoint: "e".to_owned(), state: State::Draining };
    event(at, Some(at), observation)
}

fn broken(events: &[Event]) -> Vec<Rule> {
    let mut rules: Vec<Rule> =
        check_history(events).violations.iter().map(|violation| violation.rule).collect();
    rules.dedup();
    rules
}

#[test]
fn a_linearizable_history_has_no_violations() {
    let events = [
        replace(1, 2, 0, 1, "a", Some(200)),
        read(3, 4, 1, "a"),
        replace(5, 9, 1, 2, "b", Some(200)),
        read(6, 7, 1, "a"),
        read(8, 9, 2, "b"),
        replace(10, 11, 1, 2, "c", Some(412)),
        replace(12, 13, 2, 2, "d", Some(409)),
        replace(14, 15, 0, 1, "a", Some(200)),
        replace(16, 17, 2, 3, "invalid", Some(400)),
        told(18, 1, 2, "b"),
    ];
    assert_eq!(broken(&events), []);
}

#[test]
fn a_change_without_an_answer_may_come_into_force_later_or_never() {
    let lost = replace(3, 0, 1, 2, "b", None);
    let first = replace(1, 2, 0, 1, "a", Some(200));
    assert_eq!(broken(&[first.clone(), lost.clone(), read(4, 5, 1, "a"), read(6, 7, 2, "b")]), []);
    assert_eq!(broken(&[first.clone(), lost.clone(), read(4, 5, 1, "a"), read(6, 7, 1, "a")]), []);
    assert_eq!(
        broken(&[first, lost, read(4, 5, 2, "b"), read(6, 7, 1, "a")]),
        [Rule::Order],
        "once read it stays in force"
    );
}

#[test]
fn a_stale_read_is_found() {
    let events =
        [replace(1, 2, 0, 1, "a", Some(200)), replace(3, 4, 1, 2, "b", Some(200)), read(5, 6, 1, "a")];
    assert_eq!(broken(&events), [Rule::Order]);
}

#[test]
fn a_read_of_a_change_that_was_not_sent_yet_is_found() {
    let events =
        [replace(1, 2, 0, 1, "a", Some(200)), read(3, 4, 2, "b"), replace(5, 6, 1, 2, "b", Some(200))];
    assert_eq!(broken(&events), [Rule::Order]);
}

#[test]
fn a_body_that_nobody_sent_is_found() {
    let events = [replace(1, 2, 0, 1, "a", Some(200)), read(3, 4, 1, "?")];
    assert!(broken(&events).contains(&Rule::Order));
}

#[test]
fn an_acknowledged_change_that_is_lost_is_found() {
    let events = [
        replace(1, 2, 0, 1, "a", Some(200)),
        replace(3, 4, 1, 2, "b", Some(200)),
        replace(5, 6, 1, 3, "c", Some(200)),
        read(7, 8, 3, "c"),
    ];
    assert!(broken(&events).contains(&Rule::Lost), "two changes on one version");
}

#[test]
fn two_changes_acknowledged_under_one_number_are_found() {
    let events = [
        replace(1, 2, 0, 1, "a", Some(200)),
        replace(3, 4, 1, 2, "b", Some(200)),
        replace(3, 5, 1, 2, "c", Some(200)),
    ];
    assert!(broken(&events).contains(&Rule::Lost));
}

#[test]
fn a_refused_change_that_comes_into_force_is_found() {
    let first = replace(1, 2, 0, 1, "a", Some(200));
    for refused in [412, 409, 400] {
        let events = [first.clone(), replace(3, 4, 1, 2, "b", Some(refused)), read(5, 6, 2, "b")];
        assert!(broken(&events).contains(&Rule::Refused), "{refused}");
    }
    let events = [first, replace(3, 4, 1, 2, "invalid", None), read(5, 6, 2, "invalid")];
    assert!(broken(&events).contains(&Rule::Refused));
}

#[test]
fn an_accepted_change_that_is_refused_on_retry_is_found() {
    let events = [
        replace(1, 2, 0, 1, "a", Some(200)),
        replace(3, 4, 1, 2, "b", Some(200)),
        replace(5, 6, 0, 1, "a", Some(412)),
    ];
    assert_eq!(broken(&events), [Rule::Refused]);
}

#[test]
fn a_412_while_the_base_was_in_force_all_the_time_is_found() {
    let events =
        [replace(1, 2, 0, 1, "a", Some(200)), replace(3, 4, 1, 2, "b", Some(412)), read(5, 6, 1, "a")];
    assert_eq!(broken(&events), [Rule::Order]);
    let overlapped = [
        replace(1, 2, 0, 1, "a", Some(200)),
        replace(3, 6, 1, 2, "b", Some(412)),
        replace(4, 5, 1, 2, "c", Some(200)),
        read(7, 8, 2, "c"),
    ];
    assert_eq!(broken(&overlapped), []);
}

#[test]
fn a_version_regression_within_an_agent_incarnation_is_found() {
    let changes = [replace(1, 2, 0, 1, "a", Some(200)), replace(3, 4, 1, 2, "b", Some(200))];
    let with = |more: [Event; 2]| broken(&[changes.as_slice(), more.as_slice()].concat());
    assert_eq!(with([told(5, 1, 2, "b"), told(6, 1, 1, "a")]), [Rule::Back]);
    assert_eq!(with([told(5, 1, 2, "b"), told(6, 2, 1, "a")]), [], "another life may begin with less");
}

#[test]
fn an_agent_that_reports_a_version_not_in_force_is_found() {
    let events = [
        replace(1, 2, 0, 1, "a", Some(200)),
        replace(3, 0, 1, 2, "b", None),
        told(4, 1, 2, "b"),
        read(5, 6, 1, "a"),
    ];
    assert_eq!(broken(&events), [Rule::Order]);
}

#[test]
fn a_drain_not_delivered_to_a_connected_agent_is_found() {
    let start = [replace(1, 2, 0, 1, "a", Some(200)), told(3, 1, 1, "a")];
    let with = |more: &[Event]| {
        let mut events = [start.as_slice(), more].concat();
        events.push(read(60 * SECOND, 60 * SECOND + 1, 1, "a"));
        events.sort_by_key(|event| event.began);
        broken(&events)
    };
    let drain = call(10 * SECOND, 10 * SECOND + 1, State::Draining, Some(200));
    assert_eq!(with(&[drain.clone(), heard(11 * SECOND)]), []);
    assert_eq!(with(&[drain.clone(), heard(12 * SECOND + 2)]), [Rule::Drain]);
    assert_eq!(with(std::slice::from_ref(&drain)), [Rule::Drain]);
    let refused = call(10 * SECOND, 10 * SECOND + 1, State::Draining, Some(503));
    assert_eq!(with(&[refused]), [], "nothing was promised");
    // A fault of a member delays the deadline by its duration and the time until an agent counts as connected again.
    let cut = trouble(11 * SECOND, 20 * SECOND, "cut member", 1, true);
    assert_eq!(with(&[drain.clone(), cut.clone(), heard(25 * SECOND)]), []);
    assert_eq!(with(&[drain, cut, heard(25 * SECOND + 2)]), [Rule::Drain]);
}

#[test]
fn a_member_that_gives_no_answer_is_found() {
    let start = trouble(0, 1, "start", 0, false);
    let at = 10 * SECOND;
    let silent = call(at, 0, State::Ready, None);
    assert_eq!(broken(&[start.clone(), silent.clone()]), [Rule::Answer]);
    for (kind, ended, expected) in [
        ("stop", at + SECOND, vec![]),
        ("stop", at - SECOND / 2, vec![]),
        ("stop", at - 2 * SECOND, vec![Rule::Answer]),
        ("kill", at - 2 * SECOND, vec![]),
        ("kill", at - 6 * SECOND, vec![Rule::Answer]),
        ("cut member", at + 5 * SECOND, vec![Rule::Answer]),
    ] {
        let harm = trouble(2 * SECOND, ended, kind, 0, false);
        assert_eq!(broken(&[start.clone(), harm, silent.clone()]), expected, "{kind} until {ended}");
    }
}

#[test]
fn a_cut_off_member_that_acknowledges_a_call_is_found() {
    let cut = trouble(5 * SECOND, 15 * SECOND, "cut member", 0, true);
    let ready = |began| call(began, began + 1, State::Ready, Some(200));
    assert_eq!(broken(&[cut.clone(), ready(6 * SECOND)]), [], "it may not know yet");
    assert_eq!(broken(&[cut.clone(), ready(8 * SECOND)]), [Rule::Answer]);
    assert_eq!(broken(&[cut.clone(), ready(16 * SECOND)]), []);
    let unclear = call(8 * SECOND, 8 * SECOND + 1, State::Ready, Some(503));
    assert_eq!(broken(&[cut, unclear]), []);
}

#[test]
fn incomplete_recovery_is_found() {
    let back = |well| event(1, Some(1), EventKind::Back { what: "member 0".to_owned(), well });
    assert_eq!(broken(&[back(true)]), []);
    assert_eq!(broken(&[back(false)]), [Rule::Return]);
}

#[test]
fn a_member_that_exits_is_found_unless_its_disk_was_an_older_copy() {
    let restore = trouble(SECOND, 2 * SECOND, "restore", 0, false);
    let end = |member| trouble(3 * SECOND, 3 * SECOND + 1, "ended", member, false);
    assert_eq!(broken(&[restore.clone(), end(0)]), []);
    assert_eq!(broken(&[restore, end(1)]), [Rule::Answer]);
    assert_eq!(broken(&[end(0)]), [Rule::Answer]);
}
