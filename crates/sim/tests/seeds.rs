//! A fixed set of seeds, the scripts of what was found before, and the same run for the same seed.

mod support;

use runtrack_sim::run::run;
use runtrack_sim::{draw, script::Script};
use support::{each, last_line_of, scripts_in};

#[test]
fn no_seed_of_the_fixed_set_breaks_a_rule() {
    each(0..300, |seed| {
        let outcome = run(&draw::script(seed), false);
        assert!(outcome.violations.is_empty(), "seed {seed}: {}", outcome.violations[0]);
        assert!(
            outcome.facts.requests.iter().any(|request| !request.responses.is_empty()),
            "seed {seed}: nobody was answered"
        );
    });
}

#[test]
fn scripts_of_what_was_found_and_mended_break_no_rule() {
    for (path, script) in scripts_in::<Script>("scripts") {
        let outcome = run(&script, false);
        assert!(outcome.violations.is_empty(), "{}: {}", path.display(), outcome.violations[0]);
    }
}

/// The last line of `run`, which has the hash of all that went over the network.
fn in_a_process(seed: u64) -> String {
    last_line_of(&["run", "--seed", &seed.to_string()])
}

#[test]
fn the_same_seed_is_the_same_run_in_another_process() {
    each(0..40, |seed| {
        let (one, other) = (in_a_process(seed), in_a_process(seed));
        assert!(one.contains("hash "), "{one}");
        assert_eq!(one, other, "seed {seed}");
        let here = format!("hash {:016x};", run(&draw::script(seed), false).hash);
        assert!(one.contains(&here), "seed {seed}: {one}, here {here}");
    });
    assert_ne!(in_a_process(1), in_a_process(2));
}

#[test]
fn what_is_written_down_is_what_was_drawn() {
    for seed in 0..100 {
        let script = draw::script(seed);
        let text = serde_json::to_string(&script).expect("a script is data");
        assert_eq!(serde_json::from_str::<Script>(&text).expect("the same"), script);
    }
}
