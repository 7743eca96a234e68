//! The replicated state machine in isolation.

mod support;

use runtrack_agree::command::{Attribution, Commit, Endpoint, PoolUpdate, RolloutAction, RolloutStep};
use runtrack_agree::{Command, Effects, MAX_OUTCOMES, MAX_TEXT_BYTES, Outcome, Proposal, State};
use support::{commit, proposal};

fn state() -> State {
    State::new("lineage-1", 7, "m1", "a1", "folder-1")
}

fn run(state: &mut State, command: Command) -> (Outcome, Effects) {
    let index = state.index + 1;
    state.apply(index, Proposal { id: String::new(), command })
}

fn staged(state: &State, text: &str) -> Command {
    let Command::Commit(plain) = commit(state, text) else { unreachable!() };
    Command::Commit(Commit { stages: vec![1_000, 10_000], ..plain })
}

fn step(serial: u64, stage: usize, to: RolloutAction) -> Command {
    Command::Rollout(RolloutStep { serial, stage, to })
}

fn up(boot_ms: u64) -> Endpoint {
    Endpoint { said: format!("{{\"boot\":{boot_ms}}}"), draining: false, boot_ms }
}

fn listed(rev: u64, whole: bool, endpoints: &[(&str, Option<Endpoint>)]) -> Command {
    let endpoints = endpoints.iter().map(|(uid, endpoint)| ((*uid).to_owned(), endpoint.clone()));
    Command::Listed(PoolUpdate {
        pool: "p".to_owned(),
        rev,
        whole,
        settled: false,
        endpoints: endpoints.collect(),
    })
}

fn draining(uid: &str, boot_ms: u64, rev: u64) -> Command {
    Command::Draining { pool: "p".to_owned(), uid: uid.to_owned(), boot_ms, rev }
}

#[test]
fn of_two_commits_on_one_version_the_second_is_refused() {
    let mut state = state();
    let (first, second) = (commit(&state, "one"), commit(&state, "two"));
    assert_eq!(run(&mut state, first).0, Outcome::Committed(1));
    let Outcome::Moved { expected, found, by } = run(&mut state, second).0 else { panic!("taken") };
    assert_eq!((expected, found, by.as_str()), (0, 1, "somchai (a test)"));
    assert_eq!((state.serial(), state.text(1)), (1, Some("one")));
}

#[test]
fn a_plan_is_applied_once() {
    let mut state = state();
    let Command::Commit(plain) = commit(&state, "one") else { unreachable!() };
    let planned = Command::Commit(Commit { plan: "plan-1".to_owned(), ..plain });
    assert_eq!(run(&mut state, planned.clone()).0, Outcome::Committed(1));
    assert_eq!(run(&mut state, planned).0, Outcome::Before(1));
}

#[test]
fn repeated_writes_are_applied_once_and_outcomes_survive_snapshots() {
    let mut state = state();
    let write = proposal("w", commit(&state, "one"));
    assert_eq!(state.apply(2, write.clone()).0, Outcome::Committed(1));
    let mut restored = State::from_snapshot(&state.snapshot()).expect("a snapshot");
    assert_eq!(restored, state);
    assert_eq!(restored.apply(3, write).0, Outcome::Committed(1));
    assert_eq!(restored.serial(), 1);
    for n in 0..2 * MAX_OUTCOMES as u64 {
        restored.apply(4 + n, proposal(&format!("n{n}"), draining("x", 0, 0)));
    }
    assert!(restored.snapshot().len() < 1_000_000, "outcomes are bounded");
    assert!(
        restored.outcome("w").is_none() && restored.outcome(&format!("n{}", MAX_OUTCOMES + 5)).is_some()
    );
}

#[test]
fn texts_are_bounded_and_versions_in_a_rollout_are_kept() {
    let mut state = state();
    let text = "z".repeat(MAX_TEXT_BYTES / 4);
    for n in 0..9 {
        let command = commit(&state, &format!("{n}{text}"));
        assert!(run(&mut state, command).0.is_done());
    }
    let kept: usize =
        state.versions.iter().filter_map(|version| state.text(version.serial)).map(str::len).sum();
    assert!(kept <= MAX_TEXT_BYTES && state.versions.len() == 3, "{} versions", state.versions.len());
    let command = staged(&state, &format!("staged {text}"));
    assert_eq!(run(&mut state, command).0, Outcome::Committed(10));
    assert!(state.text(9).is_some() && state.text(10).is_some());
    let command = commit(&state, &"z".repeat(MAX_TEXT_BYTES));
    assert!(matches!(run(&mut state, command).0, Outcome::Refused(_)));
}

#[test]
fn a_rollout_takes_each_stage_once_and_in_order() {
    let mut state = state();
    let command = commit(&state, "one");
    run(&mut state, command);
    let command = staged(&state, "two");
    assert_eq!(run(&mut state, command).0, Outcome::Committed(2));
    let command = staged(&state, "three");
    let Outcome::Refused(why) = run(&mut state, command).0 else { panic!("two at once") };
    assert!(why.contains("being rolled out"), "{why}");
    assert!(
        matches!(run(&mut state, step(2, 1, RolloutAction::Next)).0, Outcome::Refused(_)),
        "a stage is skipped"
    );
    assert_eq!(run(&mut state, step(2, 0, RolloutAction::Halt("ill".to_owned()))).0, Outcome::Done);
    assert!(
        matches!(run(&mut state, step(2, 0, RolloutAction::Next)).0, Outcome::Refused(_)),
        "it has halted"
    );
    assert_eq!(run(&mut state, step(2, 0, RolloutAction::Resume)).0, Outcome::Done);
    assert_eq!(run(&mut state, step(2, 0, RolloutAction::Next)).0, Outcome::Done);
    assert!(
        matches!(run(&mut state, step(2, 0, RolloutAction::Next)).0, Outcome::Refused(_)),
        "a stage twice"
    );
    assert_eq!(state.rollout.as_ref().map(|rollout| rollout.stage), Some(1));
    assert_eq!(run(&mut state, step(2, 1, RolloutAction::Next)).0, Outcome::Done);
    assert_eq!(state.rollout, None);
    // A commit without stages, such as an urgent rollback, ends the roll-out.
    let command = staged(&state, "three");
    run(&mut state, command);
    let command = commit(&state, "two");
    assert_eq!(run(&mut state, command).0, Outcome::Committed(4));
    assert_eq!(state.rollout, None);
}

#[test]
fn a_drain_is_cancelled_only_by_a_newer_list() {
    let mut state = state();
    run(&mut state, listed(5, true, &[("a", Some(up(1))), ("b", Some(up(1)))]));
    assert!(run(&mut state, draining("a", 1, 9)).1.pools);
    assert!(state.is_draining("p", "a") && !state.is_draining("p", "b"));
    // A control instance that was partitioned proposes an older list.
    run(&mut state, listed(7, true, &[("a", Some(up(1))), ("b", Some(up(1)))]));
    assert!(state.is_draining("p", "a"), "undone by an older list");
    run(&mut state, listed(10, false, &[("a", Some(up(1)))]));
    assert!(!state.is_draining("p", "a"), "a newer list");
    run(&mut state, draining("a", 1, 12));
    run(&mut state, listed(11, false, &[("a", Some(up(2)))]));
    assert!(!state.is_draining("p", "a"), "another process");
    assert!(
        matches!(run(&mut state, draining("a", 1, 13)).0, Outcome::Refused(_)),
        "the one before it drained"
    );
    // A source that restarted its revisions is accepted once its list is settled.
    run(&mut state, draining("a", 2, 14));
    let Command::Listed(anew) = listed(1, true, &[("a", Some(up(2)))]) else { unreachable!() };
    run(&mut state, Command::Listed(PoolUpdate { settled: true, ..anew }));
    assert!(!state.is_draining("p", "a"));
}

#[test]
fn an_endpoint_that_returns_after_removal_is_not_draining() {
    let mut state = state();
    run(&mut state, listed(5, true, &[("a", Some(up(1)))]));
    run(&mut state, draining("a", 1, 9));
    run(&mut state, listed(10, false, &[("a", None)]));
    assert!(state.pools["p"].endpoints.is_empty() && state.pools["p"].drained_at.is_empty());
    run(&mut state, listed(6, false, &[("a", Some(up(1)))]));
    assert!(!state.is_draining("p", "a"));
}

#[test]
fn a_hold_overrides_discovery() {
    let mut state = state();
    let hold = |held| Command::Hold {
        pool: "p".to_owned(),
        uid: "a".to_owned(),
        held,
        by: Attribution::default(),
    };
    assert!(run(&mut state, hold(true)).1.pools);
    run(&mut state, listed(5, true, &[("a", Some(up(1)))]));
    assert!(state.is_draining("p", "a"));
    assert!(!run(&mut state, hold(true)).1.pools, "nothing new");
    run(&mut state, hold(false));
    assert!(!state.is_draining("p", "a"));
}

#[test]
fn redundant_updates_do_not_affect_proxies() {
    let mut state = state();
    let list = listed(5, true, &[("a", Some(up(1)))]);
    run(&mut state, list.clone());
    let served = state.served;
    assert!(!run(&mut state, list).1.affects_proxies());
    run(&mut state, draining("z", 1, 9));
    assert_eq!(state.served, served);
}
