//! Nothing that runs in a virtual world draws the runtime's own random numbers, which no seed sets: a `select!` that is not
//! biased, and a `watch` channel, whose receivers wake in random order. What is read is the sources.

use std::fs;
use std::path::{Path, PathBuf};

/// The crates whose code runs in the worlds.
const IN_WORLDS: [&str; 16] = [
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
/// Signals of the system, which no world has: what they wake is not part of a run.
const SIGNALS: [&str; 2] = ["link/src/environment.rs", "runtrack/src/main.rs"];

/// Lines of a source that draw such numbers, without comments.
fn drawing(source: &str) -> Vec<String> {
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
fn nothing_in_the_worlds_draws_the_runtimes_random_numbers() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for name in IN_WORLDS {
        let sources = sources_in(&crates.join(name).join("src"));
        assert!(!sources.is_empty(), "crate {name}");
        for path in sources.iter().filter(|path| !SIGNALS.iter().any(|signals| path.ends_with(signals))) {
            let found = drawing(&fs::read_to_string(path).expect("a source"));
            assert!(found.is_empty(), "{}: {found:?}", path.display());
        }
    }
}

#[test]
fn a_channel_or_a_selection_of_random_order_is_seen() {
    let planted = [
        "use tokio::sync::watch;",
        "use tokio::sync::{Notify, watch};",
        "let (sender, receiver) = watch::channel(0);",
        "tokio::select! {\n    () = one() => {}\n}",
        "tokio::select! {\n    // first\n    () = one() => {}\n}",
    ];
    planted.iter().for_each(|source| assert_eq!(drawing(source).len(), 1, "{source}"));
}

#[test]
fn what_keeps_its_order_is_not_named() {
    let orderly = "use tokio::sync::{Notify, mpsc};\ntokio::select! {\n    // the first that is ready\n    biased;\n}\n\
                   // a `tokio::sync::watch` channel\nfn watch() {}";
    assert_eq!(drawing(orderly), Vec::<String>::new());
}
