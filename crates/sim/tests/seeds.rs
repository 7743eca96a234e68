//! A fixed set of seeds, scripts of faults fixed earlier, and equal runs for equal seeds.

mod support;

use runtrack_sim::run::run;
use runtrack_sim::{draw, script::Script};
use support::{each, last_line_of, scripts_in};

#[test]
fn no_seed_of_the_fixed_set_violates_a_rule() {
    each(0..300, |seed| {
        let outcome = run(&draw::script(seed), false);
        assert!(outcome.violations.is_empty(), "seed {seed}: {}", outcome.violations[0]);
        assert!(
            outcome.facts.requests.iter().any(|request| !request.responses.is_empty()),
            "seed {seed}: no request was answered"
        );
    });
}

#[test]
fn scripts_of_fixed_faults_violate_no_rule() {
    for (path, script) in scripts_in::<Script>("scripts") {
        let outcome = run(&script, false);
        assert!(outcome.violations.is_empty(), "{}: {}", path.display(), outcome.violations[0]);
    }
}

/// The summary line of `run` in another process, with the hash over all network events.
fn summary_of_process(seed: u64) -> String {
    last_line_of(&["run", "--seed", &seed.to_string()])
}

#[test]
fn equal_seeds_give_equal_runs_in_other_processes() {
    each(0..40, |seed| {
        let (one, other) = (summary_of_process(seed), summary_of_process(seed));
        assert!(one.contains("hash "), "{one}");
        assert_eq!(one, other, "seed {seed}");
        let here = format!("hash {:016x};", run(&draw::script(seed), false).hash);
        assert!(one.contains(&here), "seed {seed}: {one}, here {here}");
    });
    assert_ne!(summary_of_process(1), summary_of_process(2));
}

#[test]
fn scripts_survive_serialization() {
    for seed in 0..100 {
        let script = draw::script(seed);
        let text = serde_json::to_string(&script).expect("a script is data");
        assert_eq!(serde_json::from_str::<Script>(&text).expect("the same"), script);
    }
}
