//! Size limits of the decision logic, which is ported by hand and must stay short and narrow.

use std::path::Path;

/// Name and text of each file of the decision logic.
fn policy_files() -> Vec<(String, String)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/balance");
    let mut files: Vec<(String, String)> = std::fs::read_dir(folder)
        .expect("the folder of the decision logic")
        .map(|entry| entry.expect("a directory entry").path())
        .map(|path| {
            let text = std::fs::read_to_string(&path).expect("a readable file");
            (path.file_name().expect("a file name").to_string_lossy().into_owned(), text)
        })
        .collect();
    files.sort();
    assert!(!files.is_empty());
    files
}

#[test]
fn decision_logic_stays_within_line_limit() {
    let files = policy_files();
    let lines = files.iter().flat_map(|(_, text)| text.lines());
    let lines = lines.filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 1_200, "{lines} non-blank lines");
}

#[test]
fn decision_logic_stays_within_width_limit() {
    for (name, text) in policy_files() {
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "line {} of {name} is too wide", number + 1);
        }
    }
}

#[test]
fn decision_logic_does_not_use_the_wire() {
    for (name, text) in policy_files() {
        assert!(!text.contains("wire::"), "{name}");
    }
}

/// A file that is not listed would be missing from the line count of the decision logic.
#[test]
fn deployment_lists_every_file_of_the_decision_logic() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deployment =
        std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy/balancer.toml");
    let policy = deployment.split_once("policy = [").expect("a list of files").1;
    let policy = policy.split_once(']').expect("the end of the list").0;
    let mut listed: Vec<&str> = policy.split('"').skip(1).step_by(2).collect();
    listed.sort_unstable();
    let files = policy_files();
    let found = files.iter().map(|(name, _)| format!("crates/balancer/src/balance/{name}"));
    assert_eq!(listed, found.collect::<Vec<_>>());
}
