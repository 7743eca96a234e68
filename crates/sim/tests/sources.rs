//! Checks the sources of simulated code for uses of the runtime's own random numbers, which no seed controls: unbiased
//! `select!`, and `watch` channels, whose receivers wake in random order.

use std::fs;
use std::path::{Path, PathBuf};

/// Crates whose code runs in a simulation.
const SIMULATED_CRATES: [&str; 16] = [
    "agent",
    "config_delta",
    "controller",
    "discovery",
    "failure_detector",
    "fleetconfig",
    "hash_ring",
    "link",
    "message",
    "net",
    "record_store",
    "register",
    "registry",
    "runtrack",
    "sim",
    "balancer",
];
/// Sources that handle OS signals, which simulations do not have.
const SIGNAL_SOURCES: [&str; 2] = ["link/src/environment.rs", "runtrack/src/main.rs"];

/// Lines of a source, without comments, that use such random numbers.
fn random_uses(source: &str) -> Vec<String> {
    let code: Vec<&str> =
        source.lines().map(|line| line.split("//").next().unwrap_or_default().trim()).collect();
    let draws = |(number, line): (usize, &&str)| {
        let next = code[number + 1..].iter().find(|line| !line.is_empty());
        let unbiased = line.contains("select!")
            && !line.contains("biased;")
            && next.is_none_or(|next| *next != "biased;");
        let channel = line.contains("watch::") || (line.contains("tokio::sync") && line.contains("watch"));
        (unbiased || channel).then(|| (*line).to_owned())
    };
    code.iter().enumerate().filter_map(draws).collect()
}

fn sources_in(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder of sources");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    paths.flat_map(|path| if path.is_dir() { sources_in(&path) } else { vec![path] }).collect()
}

#[test]
fn simulated_code_uses_no_random_numbers_of_the_runtime() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for name in SIMULATED_CRATES {
        let sources = sources_in(&crates.join(name).join("src"));
        assert!(!sources.is_empty(), "crate {name}");
        for path in
            sources.iter().filter(|path| !SIGNAL_SOURCES.iter().any(|signals| path.ends_with(signals)))
        {
            let found = random_uses(&fs::read_to_string(path).expect("a source"));
            assert!(found.is_empty(), "{}: {found:?}", path.display());
        }
    }
}

#[test]
fn watch_channels_and_unbiased_selects_are_detected() {
    let unordered = [
        "use tokio::sync::watch;",
        "use tokio::sync::{Notify, watch};",
        "let (sender, receiver) = watch::channel(0);",
        "tokio::select! {\n    () = one() => {}\n}",
        "tokio::select! {\n    // first\n    () = one() => {}\n}",
    ];
    unordered.iter().for_each(|source| assert_eq!(random_uses(source).len(), 1, "{source}"));
}

#[test]
fn ordered_constructs_are_not_reported() {
    let orderly = "use tokio::sync::{Notify, mpsc};\ntokio::select! {\n    // the first that is ready\n    biased;\n}\n\
                   // a `tokio::sync::watch` channel\nfn watch() {}";
    assert_eq!(random_uses(orderly), Vec::<String>::new());
}
