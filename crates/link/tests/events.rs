//! The operators' page documents exactly the events that the fleet's programs log.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const PAGE: &str = include_str!("../../../docs/operators/fleet.md");

/// All files of a folder, recursively.
fn files_in(folder: &Path) -> Vec<PathBuf> {
    let entries =
        std::fs::read_dir(folder).expect("the sources").map(|entry| entry.expect("a file").path());
    entries.flat_map(|path| if path.is_dir() { files_in(&path) } else { vec![path] }).collect()
}

/// Event names in the sources of these crates: the first text of a logging macro.
fn logged() -> BTreeSet<String> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut events = BTreeSet::new();
    for name in ["agent", "controller", "link", "proxy"] {
        for path in files_in(&crates.join(name).join("src")) {
            let source = std::fs::read_to_string(path).expect("it can be read");
            for macro_name in ["info!(", "warn!(", "error!("] {
                for call in source.split(macro_name).skip(1) {
                    let text = call.split('"').nth(1).expect("an event's name");
                    events.insert(text.to_owned());
                }
            }
        }
    }
    events
}

#[test]
fn every_event_is_on_the_operators_page() {
    let table = PAGE.split("| event |").nth(1).expect("a table of events");
    let names =
        table.lines().filter(|line| line.starts_with("| `")).filter_map(|line| line.split('|').nth(1));
    let named: BTreeSet<String> = names
        .flat_map(|cell| cell.split('`'))
        .filter(|part| part.contains('.'))
        .map(str::to_owned)
        .collect();
    assert_eq!(named, logged());
}
