//! Cleared crates use the terms of `docs/GLOSSARY.md`: none of the withdrawn words occurs in their names, comments and
//! texts, and the items that the glossary names exist.

#[path = "support/words.rs"]
mod words;

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use words::{Kind, Word, words};

/// Crates that must contain no withdrawn words. Crates are added once they are clear and are never removed.
const CLEARED: [&str; 8] =
    ["register", "record_store", "hash_ring", "failure_detector", "message", "link", "registry", "agent"];
/// Source folders of a crate.
const FOLDERS: [&str; 3] = ["src", "tests", "benches"];
/// Ordinary English and names of the standard library that contain a withdrawn word.
const ORDINARY: [&str; 5] = ["as a whole", "half life", "try from", "try recv", "try fold"];

/// A withdrawn word or phrase and its replacement.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Withdrawn {
    phrase: Vec<String>,
    instead: String,
    /// Whether it is withdrawn in names only; elsewhere it is ordinary English.
    names_only: bool,
}

fn project_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn glossary() -> String {
    fs::read_to_string(project_root().join("docs/GLOSSARY.md")).expect("the glossary")
}

/// Rows of the table under a heading, as cells, without the header row.
fn rows(text: &str, heading: &str) -> Vec<Vec<String>> {
    let section = text.split("\n## ").find(|section| section.starts_with(heading)).expect("a section");
    let rows = section.lines().filter(|line| line.starts_with('|')).skip(2);
    rows.map(|row| row.trim_matches('|').split('|').map(|cell| cell.trim().to_owned()).collect()).collect()
}

fn withdrawn() -> Vec<Withdrawn> {
    let read = |row: Vec<String>| match row.as_slice() {
        [word, instead, scope] => Withdrawn {
            phrase: word.split(' ').map(str::to_owned).collect(),
            instead: instead.clone(),
            names_only: match scope.as_str() {
                "names" => true,
                "everywhere" => false,
                other => panic!("{word}: no such scope as {other}"),
            },
        },
        other => panic!("a row of three cells: {other:?}"),
    };
    rows(&glossary(), "Withdrawn words").into_iter().map(read).collect()
}

fn is_phrase_at(words: &[Word], phrase: &[String]) -> bool {
    words.len() >= phrase.len() && words.iter().zip(phrase).all(|(word, wanted)| word.text == *wanted)
}

/// Whether the word at an index is part of an ordinary phrase.
fn is_ordinary(words: &[Word], at: usize) -> bool {
    ORDINARY.iter().any(|ordinary| {
        let phrase: Vec<String> = ordinary.split(' ').map(str::to_owned).collect();
        let starts = (0..phrase.len()).filter_map(|before| at.checked_sub(before));
        starts.into_iter().any(|start| is_phrase_at(&words[start..], &phrase))
    })
}

/// Reports one line per withdrawn word in a source.
fn findings(source: &str, withdrawn: &[Withdrawn]) -> Vec<String> {
    let words = words(source);
    let mut found = Vec::new();
    for (at, word) in words.iter().enumerate() {
        let is_match = |old: &&Withdrawn| {
            is_phrase_at(&words[at..], &old.phrase) && (word.kind == Kind::Name || !old.names_only)
        };
        for old in withdrawn.iter().filter(is_match).filter(|_| !is_ordinary(&words, at)) {
            found.push(format!("{}: \"{}\" is {}", word.line, old.phrase.join(" "), old.instead));
        }
    }
    found
}

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    let Ok(entries) = fs::read_dir(folder) else { return };
    for entry in entries {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

fn sources_of(name: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for folder in FOLDERS {
        collect_sources(&project_root().join("crates").join(name).join(folder), &mut found);
    }
    found.sort();
    assert!(!found.is_empty(), "no sources in crate {name}");
    found
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).expect("a source file")
}

fn finding_count(source: &str) -> usize {
    findings(source, &withdrawn()).len()
}

#[test]
fn no_withdrawn_word_comes_back_in_a_cleared_crate() {
    let withdrawn = withdrawn();
    assert!(withdrawn.len() > 40, "the table is read");
    let mut found = Vec::new();
    for path in CLEARED.into_iter().flat_map(sources_of) {
        let lines = findings(&read(&path), &withdrawn);
        found.extend(lines.into_iter().map(|line| format!("{}:{line}", path.display())));
        let name = path.file_stem().expect("a name").to_string_lossy().into_owned();
        let in_name = findings(&name, &withdrawn);
        found.extend(in_name.into_iter().map(|line| format!("name of {}:{line}", path.display())));
    }
    assert!(found.is_empty(), "{} withdrawn words:\n{}", found.len(), found.join("\n"));
}

#[test]
fn the_items_that_the_glossary_names_in_cleared_crates_exist() {
    let rows = rows(&glossary(), "Terms");
    let mut checked = 0;
    for location in
        rows.iter().flat_map(|row| row.last()).flat_map(|cell| cell.split('`').skip(1).step_by(2))
    {
        let (name, item) = location.split_once("::").unwrap_or((location, ""));
        assert!(project_root().join("crates").join(name).is_dir(), "{location}: no such crate");
        if item.is_empty() || !CLEARED.contains(&name) {
            continue;
        }
        let declared = |text: &str| {
            let kinds = ["struct", "enum", "trait", "fn", "const"];
            kinds.iter().any(|kind| {
                let head = format!("pub {kind} {item}");
                let next = |at: usize| text[at + head.len()..].chars().next();
                text.match_indices(&head)
                    .any(|(at, _)| next(at).is_none_or(|letter| !letter.is_alphanumeric() && letter != '_'))
            })
        };
        assert!(sources_of(name).iter().any(|path| declared(&read(path))), "{location}: no such item");
        checked += 1;
    }
    assert!(checked > 20, "{checked} locations are read");
}

#[test]
fn each_withdrawn_word_is_found_in_names_of_all_forms() {
    for old in withdrawn() {
        let snake = old.phrase.join("_");
        let capital = |word: &String| word[..1].to_uppercase() + &word[1..];
        let camel: String = old.phrase.iter().map(capital).collect();
        let forms = [
            format!("fn is_{snake}() {{}}"),
            format!("let {snake} = 1;"),
            format!("struct Old{camel};"),
            format!("struct {camel}Table;"),
            format!("const {}: u8 = 1;", snake.to_uppercase()),
            format!("/// See [`{camel}`] and `{snake}_at`."),
        ];
        for form in forms {
            assert_ne!(finding_count(&form), 0, "{form}");
        }
    }
}

#[test]
fn each_withdrawn_word_is_found_in_comments_and_texts() {
    for old in withdrawn().into_iter().filter(|old| !old.names_only) {
        let words = old.phrase.join(" ");
        let broken = old.phrase.join("\n/// ");
        for form in [
            format!("/// It is {words}, as before."),
            format!("/* of\n{words} */"),
            format!("info!(logger, \"{words}.event\")"),
            format!("let text = r#\"a \" {words}\"#;"),
            format!("let text = \"one\\n{words}\";"),
            format!("/// It is {broken}."),
        ] {
            assert_ne!(finding_count(&form), 0, "{form}");
        }
    }
}

#[test]
fn ordinary_english_and_longer_words_are_not_found() {
    let ordinary = [
        "/// Cut short, in order to try again; a mark of trouble in cold rooms.",
        "/// The configuration as a whole, with a half-life of a second, is withheld.",
        "let (lifetime, heartbeat, remarks, cutoff, threshold, worthless) = entry();",
        "fn reorder(entry: Recordered, wholesale: Tolderton) {}",
        "fn longest<'lifetime>(quote: char) -> bool { quote == '\"' }",
    ];
    for text in ordinary {
        assert_eq!(findings(text, &withdrawn()), Vec::<String>::new(), "{text}");
    }
}

#[test]
fn a_finding_names_the_line_and_what_to_use() {
    let source = "//! One.\n\n/// Two \\\" \"told\".\nlet whole = \"held\";\n";
    let expected = [
        "3: \"told\" is notified, acknowledged, answered, reported",
        "4: \"whole\" is complete",
        "4: \"held\" is pending, in flight, reserved",
    ];
    assert_eq!(findings(source, &withdrawn()), expected);
}

#[test]
fn quotes_and_comment_signs_within_texts_and_letters_change_nothing() {
    let source = "let a = ('\"', \"// no comment\", '\\'', r\"\\\"); let order = 1; // in order\n";
    let names: BTreeSet<String> =
        words(source).into_iter().filter(|word| word.kind == Kind::Name).map(|word| word.text).collect();
    assert_eq!(names, ["1", "a", "let", "order"].map(str::to_owned).into());
    assert_eq!(finding_count(source), 1);
}
