//! Simulation of the control cluster: no rule is violated without a mutant, and mutants are detected.

use runtrack_sim::agreement::{Outcomes, Rule, Script, run, script};
use runtrack_sim::mutants;

fn violated_rules(done: &Outcomes) -> Vec<Rule> {
    done.violations.iter().map(|violation| violation.rule).collect()
}

#[test]
fn no_seed_violates_a_rule_and_equal_seeds_give_equal_runs() {
    let mut answered = 0;
    for seed in 0..40 {
        let done = run(&script(seed));
        assert_eq!(done.violations, [], "seed {seed}");
        answered += done.answered;
    }
    assert!(answered > 2_000, "{answered} answers in all");
    let again = [7, 8].map(|seed| (run(&script(seed)).hash, run(&script(seed)).hash));
    assert!(again.iter().all(|(a, b)| a == b) && again[0] != again[1]);
}

/// Guards against a panic of the consensus library: a leader applies its own removal, which an earlier leader had put into
/// the log, and the library cannot continue with a leader that is not a member, at the next message or in the same tick.
#[test]
fn a_removed_leader_stops_participating() {
    let found = [
        include_str!("agreed/agreement-leader-removed.json"),
        include_str!("agreed/agreement-removed-in-a-turn.json"),
    ];
    for text in found {
        let script: Script = serde_json::from_str(text).expect("a script");
        assert_eq!(run(&script).violations, []);
    }
}

#[test]
fn mutants_are_found_within_a_few_seeds() {
    let mutants_to_find = [
        ("entry-unsynced", Rule::Lost, 100),
        ("stale-read", Rule::Stale, 100),
        ("snapshot-forgets-writes", Rule::Lost, 10),
        ("two-changes", Rule::Changes, 10),
        ("goes-back", Rule::Back, 100),
        ("undrained", Rule::Undrained, 20),
    ];
    // A panic of a member also counts as a detection; its message is suppressed.
    std::panic::set_hook(Box::new(|_| {}));
    for (name, rule, most) in mutants_to_find {
        let found = (0..most).any(|seed| {
            let done = mutants::with(Some(name), || run(&script(seed)));
            violated_rules(&done).contains(&rule)
        });
        assert!(found, "{name} was not found within {most} seeds");
    }
    let _ = std::panic::take_hook();
}
