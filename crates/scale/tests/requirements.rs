//! Every test that `docs/design/requirements.md` names for a requirement exists.

use std::fs;
use std::path::{Path, PathBuf};

/// Minimum number of tests named on the page; fewer means that the page was not parsed correctly.
const MIN_NAMED_TESTS: usize = 120;

fn project_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// A reference to a test: crate, file and function.
#[derive(Debug, PartialEq, Eq)]
struct TestReference {
    crate_name: String,
    file: String,
    function: String,
}

/// The tests referenced in a cell. A crate name applies to all references after it in the cell.
fn references_in(cell: &str, mut crate_name: Option<String>) -> (Vec<TestReference>, Option<String>) {
    let mut named = Vec::new();
    let mut parts = cell.split('`');
    while let (Some(text), Some(code)) = (parts.next(), parts.next()) {
        if let Some(word) = text.split_whitespace().last().filter(|word| is_crate(word)) {
            crate_name = Some(word.to_owned());
        }
        let Some((file, function)) = code.split_once("::") else { continue };
        if let Some(crate_name) = crate_name.clone().filter(|_| is_test_name(function)) {
            named.push(TestReference { crate_name, file: file.to_owned(), function: function.to_owned() });
        }
    }
    (named, crate_name)
}

fn is_crate(word: &str) -> bool {
    project_root().join("crates").join(word).is_dir()
}

fn is_test_name(text: &str) -> bool {
    text.contains('_')
        && text
            .chars()
            .all(|letter| letter.is_ascii_lowercase() || letter.is_ascii_digit() || letter == '_')
}

/// The tests referenced in the last column of all tables.
fn references_on(page: &str) -> Vec<TestReference> {
    let rows = page.lines().filter(|line| line.starts_with("| ") && !line.starts_with("| ---"));
    let cells = rows.filter_map(|row| row.trim_end_matches('|').trim().rsplit(" | ").next());
    cells.flat_map(|cell| references_in(cell, None).0).collect()
}

/// Describes why a reference is broken; `None` if the test exists.
fn problem(named: &TestReference) -> Option<String> {
    let path = project_root().join(format!("crates/{}/tests/{}.rs", named.crate_name, named.file));
    let Ok(source) = fs::read_to_string(&path) else {
        return Some(format!("{named:?}: no such file"));
    };
    let is_there = source.contains(&format!("fn {}(", named.function));
    (!is_there).then(|| format!("{named:?}: no such test"))
}

#[test]
fn each_test_that_the_requirements_name_exists() {
    let page = fs::read_to_string(project_root().join("docs/design/requirements.md")).expect("the page");
    let named = references_on(&page);
    assert!(named.len() >= MIN_NAMED_TESTS, "{} tests are read", named.len());
    let problems: Vec<String> = named.iter().filter_map(problem).collect();
    assert!(problems.is_empty(), "{}", problems.join("\n"));
}

#[test]
fn a_name_without_a_test_is_found() {
    let page = "| asked | kept in | shown by |\n| --- | --- | --- |\n\
        | a | proxy, `b` | proxy `attempts::no_such_test`, register `no_such_file::a_test` |\n";
    let named = references_on(page);
    assert_eq!(named.len(), 2);
    let problems: Vec<Option<String>> = named.iter().map(problem).collect();
    assert!(problems[0].as_ref().is_some_and(|problem| problem.ends_with("no such test")), "{problems:?}");
    assert!(problems[1].as_ref().is_some_and(|problem| problem.ends_with("no such file")), "{problems:?}");
}
