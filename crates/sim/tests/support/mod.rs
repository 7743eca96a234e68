//! Shared by the tests of both simulations: seeds on two threads, runs in another process, folders of scripts.

use serde::de::DeserializeOwned;
use std::ops::Range;
use std::path::PathBuf;
use std::process::Command;

/// Checks each seed, on two threads since CI has two cores.
pub fn each(seeds: Range<u64>, check: impl Fn(u64) + Sync) {
    let middle = seeds.start + (seeds.end - seeds.start) / 2;
    std::thread::scope(|scope| {
        scope.spawn(|| (seeds.start..middle).for_each(&check));
        (middle..seeds.end).for_each(&check);
    });
}

/// The last line that `runtrack-sim` prints with these arguments.
pub fn last_line_of(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_runtrack-sim")).args(arguments).output();
    let text = String::from_utf8(output.expect("it runs").stdout).expect("text");
    text.lines().last().expect("a summary").to_owned()
}

/// The scripts in a folder of `tests`, with their paths; fails if there are none.
pub fn scripts_in<S: DeserializeOwned>(folder: &str) -> Vec<(PathBuf, S)> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests").join(folder);
    let mut scripts = Vec::new();
    for file in std::fs::read_dir(folder).expect("a folder of scripts") {
        let path = file.expect("a script").path();
        let text = std::fs::read_to_string(&path).expect("a script");
        let script = serde_json::from_str(&text).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        scripts.push((path, script));
    }
    assert!(!scripts.is_empty());
    scripts
}
