//! The tests that `docs/design/requirements.md` names for each sentence of the users' pages exist.

use std::fs;
use std::path::{Path, PathBuf};

/// Tests that the page names at least; fewer are read only where the reading is at fault.
const LEAST: usize = 120;

fn project() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// A test that the page names: crate, file and function.
#[derive(Debug, PartialEq, Eq)]
struct Named {
    krate: String,
    file: String,
    function: String,
}

/// The tests that a cell names. A crate stands before the first test in it and holds for those behind it.
fn named_in(cell: &str, mut krate: Option<String>) -> (Vec<Named>, Option<String>) {
    let mut named = Vec::new();
    let mut parts = cell.split('`');
    while let (Some(text), Some(code)) = (parts.next(), parts.next()) {
        if let Some(word) = text.split_whitespace().last().filter(|word| is_crate(word)) {
            krate = Some(word.to_owned());
        }
        let Some((file, function)) = code.split_once("::") else { continue };
        if let Some(krate) = krate.clone().filter(|_| is_test_name(function)) {
            named.push(Named { krate, file: file.to_owned(), function: function.to_owned() });
        }
    }
    (named, krate)
}

fn is_crate(word: &str) -> bool {
    project().join("crates").join(word).is_dir()
}

fn is_test_name(text: &str) -> bool {
    text.contains('_')
        && text
            .chars()
            .all(|letter| letter.is_ascii_lowercase() || letter.is_ascii_digit() || letter == '_')
}

/// The tests in the last column of all tables.
fn named_on(page: &str) -> Vec<Named> {
    let rows = page.lines().filter(|line| line.starts_with("| ") && !line.starts_with("| ---"));
    let cells = rows.filter_map(|row| row.trim_end_matches('|').trim().rsplit(" | ").next());
    cells.flat_map(|cell| named_in(cell, None).0).collect()
}

/// What is wrong with a name; nothing where the test is there.
fn problem(named: &Named) -> Option<String> {
    let path = project().join(format!("crates/{}/tests/{}.rs", named.krate, named.file));
    let Ok(source) = fs::read_to_string(&path) else {
        return Some(format!("{named:?}: no such file"));
    };
    let is_there = source.contains(&format!("fn {}(", named.function));
    (!is_there).then(|| format!("{named:?}: no such test"))
}

#[test]
fn each_test_that_the_requirements_name_exists() {
    let page = fs::read_to_string(project().join("docs/design/requirements.md")).expect("the page");
    let named = named_on(&page);
    assert!(named.len() >= LEAST, "{} tests are read", named.len());
    let problems: Vec<String> = named.iter().filter_map(problem).collect();
    assert!(problems.is_empty(), "{}", problems.join("\n"));
}

#[test]
fn a_name_without_a_test_is_found() {
    let page = "| asked | kept in | shown by |\n| --- | --- | --- |\n\
        | a | proxy, `b` | proxy `attempts::no_such_test`, register `no_such_file::a_test` |\n";
    let named = named_on(page);
    assert_eq!(named.len(), 2);
    let problems: Vec<Option<String>> = named.iter().map(problem).collect();
    assert!(problems[0].as_ref().is_some_and(|problem| problem.ends_with("no such test")), "{problems:?}");
    assert!(problems[1].as_ref().is_some_and(|problem| problem.ends_with("no such file")), "{problems:?}");
}
