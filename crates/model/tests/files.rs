//! Files good and bad. Each bad file has one mistake, and one message that names its place and its remedy.

use runtrack_model::{Fleet, Semantics, Source};
use std::time::Duration;

const GOOD: &str = include_str!("../../../examples/fleet.toml");

/// A small sound file that single lines of can be spoilt.
const BASE: &str = r#"
[rules]
cold_share = 0.25

[zones]
a = { b = 1 }
b = { a = 1 }

[[class]]
name = "quote"
semantics = "safe"
objective = "1s"
deadline = "2s"

[[class]]
name = "post"
semantics = "keyed"
group = "all"
window = "10s"
deadline = "2s"

[[pool]]
name = "one"
panic_threshold = 0.5

[[pool.endpoint]]
name = "e1"
address = "127.0.0.1:9001"
zone = "a"

[[pool.endpoint]]
name = "e2"
address = "127.0.0.1:9002"

[[listener]]
name = "front"
address = "127.0.0.1:8080"

[[listener.route]]
name = "r1"
prefix = "/quote"
class = "quote"
pool = "one"
"#;

#[test]
fn the_example_is_sound() {
    let fleet = Fleet::from_toml(GOOD).expect("sound");
    assert_eq!(fleet.classes["rate-quote"].deadline, Duration::from_secs(3));
    assert_eq!(fleet.classes["exchange-post"].semantics, Semantics::Unsafe);
    assert!(matches!(&fleet.pools["quotes"].source, Source::Static(endpoints) if endpoints.len() == 2));
    Fleet::from_toml(BASE).expect("sound");
}

#[test]
fn order_and_spelling_do_not_change_the_hash_but_meaning_does() {
    let fleet = Fleet::from_toml(BASE).expect("sound");
    let parts: Vec<&str> = BASE.split("[[class]]").collect();
    let pool = parts[2].find("[[pool]]").expect("there");
    let swapped = format!(
        "# a comment\n{}[[class]]{}[[class]]{}{}",
        parts[0],
        &parts[2][..pool],
        parts[1].replace("\"1s\"", "\"1000ms\""),
        &parts[2][pool..]
    );
    let same = Fleet::from_toml(&swapped).expect("sound");
    assert_eq!((same.to_canonical_json(), same.hash()), (fleet.to_canonical_json(), fleet.hash()));
    let other = Fleet::from_toml(&BASE.replace("\"1s\"", "\"1001ms\"")).expect("sound");
    assert_ne!(other.hash(), fleet.hash());
    assert_eq!(fleet.hash().len(), 64);
}

#[test]
fn the_canonical_form_reads_back() {
    for text in [GOOD, BASE] {
        let fleet = Fleet::from_toml(text).expect("sound");
        let back: Fleet = serde_json::from_str(&fleet.to_canonical_json()).expect("its own form");
        assert_eq!(back, fleet);
        assert_eq!(back.to_canonical_json(), fleet.to_canonical_json());
    }
}

/// What is replaced, by what, the line of the message, and words that it must hold.
const BAD: &[(&str, &str, usize, &str)] = &[
    ("cold_share = 0.25", "cold_share = 0.0", 3, "rules.cold_share: must lie between 0.01 and 1"),
    ("cold_share = 0.25", "cold_share = 2", 3, "rules.cold_share"),
    ("cold_share = 0.25", "cold_share = nan", 3, "no finite number"),
    ("cold_share = 0.25", "cold_share = \"much\"", 3, "must be a number, not a TOML string"),
    ("cold_share = 0.25", "cold_shar = 0.25", 3, "did you mean `cold_share`?"),
    ("cold_share = 0.25", "drain_grace = \"10ms\"", 3, "100 ms"),
    ("cold_share = 0.25", "drain_grace = 2", 3, "\"2ms\" or \"2s\""),
    ("cold_share = 0.25", "warm_within = \"30 s\"", 3, "no time"),
    ("cold_share = 0.25", "warm_within = \"30\"", 3, "has no unit"),
    ("cold_share = 0.25", "warm_within = \"2days\"", 3, "us, ms, s, m or h"),
    ("cold_share = 0.25", "warm_within = \"48h\"", 3, "longer than a day"),
    ("cold_share = 0.25", "retry_budget = -0.1", 3, "rules.retry_budget"),
    ("cold_share = 0.25", "fall_multiple = 0.5", 3, "rules.fall_multiple"),
    ("b = { a = 1 }", "b = { c = 1 }", 7, "zone `c` is not declared"),
    ("b = { a = 1 }", "b = { a = -1 }", 7, "no whole number"),
    ("b = { a = 1 }", "b = 1", 7, "must be a table"),
    ("semantics = \"safe\"", "semantics = \"unsave\"", 11, "did you mean `unsafe`?"),
    ("semantics = \"safe\"", "", 9, "`semantics` is missing"),
    ("semantics = \"safe\"", "semantics = \"safe\"\nwindow = \"1s\"", 9, "is for keyed classes"),
    ("objective = \"1s\"", "objective = \"3s\"", 12, "longer than the deadline"),
    ("objective = \"1s\"", "objective = \"0s\"", 12, "longer than 0"),
    ("objective = \"1s\"", "attempts = 0", 12, "1 to 10"),
    ("objective = \"1s\"", "attempts = 11", 12, "1 to 10"),
    ("objective = \"1s\"", "attempts = 99999999999", 12, "is more than"),
    ("objective = \"1s\"\ndeadline = \"2s\"", "objective = \"1s\"", 9, "`deadline` is missing"),
    ("group = \"all\"\n", "", 15, "`group` is missing"),
    ("group = \"all\"", "group = \"some\"", 18, "none of all, zone, cell"),
    ("window = \"10s\"", "window = \"0s\"", 19, "longer than 0"),
    ("name = \"post\"", "name = \"quote\"", 15, "line 9 has another `quote`"),
    ("name = \"post\"", "name = \"po st\"", 15, "is no name"),
    ("panic_threshold = 0.5", "panic_threshold = 1.5", 24, "between 0 and 1"),
    ("panic_threshold = 0.5", "max_requests = 0", 24, "would refuse every request"),
    ("panic_threshold = 0.5", "connect_timeout = \"0s\"", 24, "pool.one.connect_timeout"),
    ("panic_threshold = 0.5", "platform = \"127.0.0.1:8500\"", 26, "asks the platform"),
    ("panic_threshold = 0.5", "platform = \"discovery\"", 24, "no address and port"),
    ("name = \"e2\"", "name = \"e1\"", 31, "line 26 has another `e1`"),
    ("name = \"e2\"", "", 31, "`name` is missing"),
    ("127.0.0.1:9002", "127.0.0.1:9001", 33, "is endpoint `e1`'s already"),
    ("127.0.0.1:9002", "127.0.0.1:0", 33, "port 0"),
    ("127.0.0.1:9002", "somewhere", 33, "no address and port"),
    ("zone = \"a\"", "zone = \"z\"", 29, "zone `z` is not declared"),
    ("zone = \"a\"", "weight = 0", 29, "out of range"),
    ("zone = \"a\"", "state = \"drained\"", 29, "none of ready, draining"),
    ("zone = \"a\"", "started_ms = -5", 29, "no whole number"),
    ("address = \"127.0.0.1:8080\"", "", 35, "nobody can reach it"),
    ("prefix = \"/quote\"", "prefix = \"quote\"", 41, "does not begin with `/`"),
    ("prefix = \"/quote\"", "hosts = []", 41, "names no host"),
    ("prefix = \"/quote\"", "hosts = [\"a b\"]", 41, "is no host"),
    ("prefix = \"/quote\"", "hosts = \"a\"", 41, "must be a list of strings"),
    ("class = \"quote\"", "class = \"quotes\"", 42, "did you mean `quote`?"),
    ("pool = \"one\"", "pool = \"two\"", 43, "there is no pool `two`"),
    ("pool = \"one\"", "", 39, "goes to no pool"),
    ("pool = \"one\"", "pools = { one = 0 }", 43, "sum to 0"),
    ("pool = \"one\"", "pool = \"one\"\npools = { one = 1 }", 39, "both `pool` and `pools`"),
    (
        "pool = \"one\"",
        "pool = \"one\"\n[[listener.route]]\nname = \"r2\"\nprefix = \"/quote\"\nclass = \"post\"\npool = \"one\"",
        44,
        "route `r1` before it",
    ),
    ("[[listener.route]]", "[[listener.routes]]", 39, "did you mean `route`?"),
    ("[rules]", "[rules", 2, "]"),
    ("name = \"quote\"", "name = \"quote", 10, ""),
];

#[test]
fn each_bad_file_has_one_clear_message() {
    assert!(BAD.len() >= 30);
    let mut wrong = Vec::new();
    for &(old, new, line, words) in BAD {
        assert!(BASE.contains(old), "`{old}` is in the file");
        let Err(problems) = Fleet::from_toml(&BASE.replacen(old, new, 1)) else {
            wrong.push(format!("`{new}` is accepted"));
            continue;
        };
        let shown: Vec<String> = problems.0.iter().map(ToString::to_string).collect();
        // A list under a wrong name leaves its owner without one, which is told too.
        let most = if new.contains("routes]]") { 2 } else { 1 };
        let found = problems.0.iter().any(|p| p.line == line && p.to_string().contains(words));
        if !found || shown.len() > most {
            wrong.push(format!("`{new}` on line {line}, `{words}`: {shown:#?}"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn all_problems_are_told_at_once_in_the_files_order() {
    let text = BASE.replace("0.25", "7").replace("\"/quote\"", "\"quote\"").replace("\"two\"", "\"one\"");
    let text = text.replace("127.0.0.1:9002", "nowhere");
    let lines: Vec<usize> = Fleet::from_toml(&text).expect_err("bad").0.iter().map(|p| p.line).collect();
    assert_eq!(lines, [3, 33, 41]);
}
