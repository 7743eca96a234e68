//! The program as a person uses it.

mod common;

use common::*;
use runtrack_store::Lock;
use runtrack_testkit::TempDir;
use std::path::Path;
use std::process::Stdio;

const SMALL: &str = r#"
[[class]]
name = "post"
semantics = "unsafe"
deadline = "3s"

[[pool]]
name = "bookings"
[[pool.endpoint]]
name = "b1"
address = "127.0.0.1:9001"
[[pool.endpoint]]
name = "b2"
address = "127.0.0.1:9002"

[[listener]]
name = "kiosk"
address = "127.0.0.1:8080"
[[listener.route]]
name = "all"
class = "post"
pool = "bookings"
"#;

/// A state that holds `SMALL`, in `fleet.toml` as well.
fn small(folder: &TempDir) {
    folder.write("fleet.toml", SMALL);
    for args in [&["init"][..], &["plan", "fleet.toml", "-o", "first.plan"], &["apply", "first.plan"]] {
        let done = ctl(folder.path(), args);
        assert_eq!(code(&done), 0, "{args:?}: {}", err(&done));
    }
}

fn drained(which: &[u32]) -> String {
    which.iter().fold(SMALL.to_owned(), |text, n| {
        let line = format!("address = \"127.0.0.1:900{n}\"\n");
        text.replace(&line, &format!("{line}state = \"draining\"\n"))
    })
}

fn contains(text: &str, wanted: &[&str]) {
    for wanted in wanted {
        assert!(text.contains(wanted), "{wanted:?} is not in:\n{text}");
    }
}

#[test]
fn a_change_from_plan_to_rollback() {
    let folder = TempDir::new();
    small(&folder);
    let at = folder.path();
    assert_eq!(code(&ctl(at, &["plan", "fleet.toml", "--detailed-exitcode"])), 0, "nothing to change");

    folder.write("wanted.toml", &drained(&[1]));
    let planned =
        ctl(at, &["plan", "wanted.toml", "-o", "p", "--reason", "b1 is slow", "--detailed-exitcode"]);
    assert_eq!(code(&planned), 2, "there is something to change");
    let text = out(&planned);
    contains(
        &text,
        &[
            "~ pool.bookings.endpoint.b1",
            "state: \"ready\" -> \"draining\"",
            "Plan: 0 to add, 1 to change, 0 to destroy",
        ],
    );
    contains(&text, &["high pool-thin/pool.bookings", "2 high risks"]);
    assert_eq!(out(&ctl(at, &["show", "p"])), text, "the file shows as it was made");

    let refused = ctl(at, &["apply", "p"]);
    assert_eq!(code(&refused), 14);
    contains(
        &err(&refused),
        &["--accept-risk pool-thin/pool.bookings", "--accept-risk capacity-lost/pool.bookings"],
    );
    let accept = [
        "apply",
        "p",
        "--accept-risk",
        "pool-thin/pool.bookings",
        "--accept-risk",
        "capacity-lost/pool.bookings",
    ];
    let applied = ctl(at, &accept);
    assert_eq!((code(&applied), err(&applied)), (0, String::new()));
    contains(&out(&applied), &["applied as serial 2"]);
    contains(&out(&ctl(at, &accept)), &["applied before, as serial 2: nothing done"]);

    let back = ctl(at, &["rollback", "1", "-o", "back"]);
    contains(&out(&back), &["state: \"draining\" -> \"ready\"", "no risk found"]);
    assert_eq!(code(&ctl(at, &["apply", "back"])), 0);
    let history = out(&ctl(at, &["history"]));
    contains(&history, &["somchai  back to serial 1", "somchai  b1 is slow"]);
    let hashes: Vec<&str> = history.lines().filter_map(|line| line.split_whitespace().nth(2)).collect();
    assert_eq!((hashes.len(), hashes[0]), (3, hashes[2]), "the way back restores the hash");

    let exported = out(&ctl(at, &["state", "export"]));
    folder.write("export.json", exported.trim_end());
    assert_eq!(code(&ctl(at, &["--state", "copy", "init"])), 0);
    assert_eq!(code(&ctl(at, &["--state", "copy", "state", "import", "export.json"])), 0);
    assert_eq!(out(&ctl(at, &["--state", "copy", "state", "export"])), exported);
    assert_eq!(
        code(&ctl(at, &["--state", "copy", "state", "import", "export.json"])),
        1,
        "only into an empty state"
    );
}

#[test]
fn what_is_refused_has_an_exit_code_of_its_own_and_one_clear_message() {
    let folder = TempDir::new();
    small(&folder);
    let at = folder.path();
    let refused = |args: &[&str], wanted: i32, message: &str| {
        let done = ctl(at, args);
        assert_eq!(code(&done), wanted, "{args:?}: {}", err(&done));
        contains(&err(&done), &[message]);
        assert_eq!(out(&done), "", "{args:?}");
    };
    folder.write("bad.toml", &SMALL.replace("class = \"post\"", "class = \"pots\""));
    refused(&["validate", "bad.toml"], 1, "bad.toml:21:9: listener.kiosk.route.all.class");
    refused(&["plan", "bad.toml"], 1, "did you mean `post`?");
    refused(&["plan", "missing.toml"], 1, "missing.toml");
    refused(&["--state", "nowhere", "history"], 1, "runtrackctl init");
    refused(&["rollback", "7"], 16, "serial 7 is not kept");
    refused(&["apply", "fleet.toml"], 10, "it is no plan");

    folder.write("more.toml", &SMALL.replace("deadline = \"3s\"", "deadline = \"4s\""));
    for plan in ["p", "q"] {
        assert_eq!(code(&ctl(at, &["plan", "more.toml", "-o", plan, "--reason", plan])), 0);
    }
    let bytes = std::fs::read(at.join("p")).expect("a plan");
    std::fs::write(at.join("short"), &bytes[..bytes.len() - 1]).expect("a shorter plan");
    refused(&["apply", "short"], 10, "changed or cut short");
    assert_eq!(code(&ctl(at, &["--state", "other", "init"])), 0);
    refused(&["--state", "other", "apply", "p"], 12, "the plan is for the state");
    refused(&["apply", "p", "--accept-risk", "pool-thin/pool.ghost"], 14, "the plan has no risk");
    assert_eq!(code(&ctl(at, &["plan", "more.toml", "-o", "old", "--life", "0s"])), 0);
    std::thread::sleep(std::time::Duration::from_millis(5));
    refused(&["apply", "old"], 13, "make it anew");
    {
        let _lock = Lock::acquire(&at.join("state"), "nok, process 1").expect("free");
        refused(&["apply", "p"], 15, "locked by nok, process 1");
    }
    assert_eq!(code(&ctl(at, &["apply", "q"])), 0);
    refused(&["apply", "p"], 11, "made by somchai (q); changed: class.post");
    std::fs::write(at.join("state/head"), "runtrack-state 9 00\n").expect("a newer head");
    refused(&["history"], 16, "format 9");
    refused(&["status", "--admin", "127.0.0.1:1"], 3, "127.0.0.1:1");
}

/// Hard case 2: two applies, and an apply and a rollback, at the same time.
#[test]
fn of_two_writers_at_once_one_wins_and_the_other_is_told() {
    let folder = TempDir::new();
    small(&folder);
    let at = folder.path();
    for round in 0..8 {
        let serial = open(at).serial();
        folder.write(
            "a.toml",
            &SMALL.replace("deadline = \"3s\"", &format!("deadline = \"{}s\"", 10 + round)),
        );
        assert_eq!(code(&ctl(at, &["plan", "a.toml", "-o", "a"])), 0);
        let other = if round % 2 == 0 {
            ctl(at, &["plan", "a.toml", "-o", "b", "--reason", "the other"])
        } else {
            ctl(at, &["rollback", &(serial - 1).to_string(), "-o", "b"])
        };
        assert_eq!(code(&other), 0, "{}", err(&other));
        let start = |plan: &str| {
            command(at, &["apply", plan])
                .stdout(Stdio::piped())
                .stderr(Stdio::piped())
                .spawn()
                .expect("it starts")
        };
        let both = [start("a"), start("b")].map(|child| child.wait_with_output().expect("it ends"));
        let mut codes: Vec<i32> = both.iter().map(code).collect();
        codes.sort_unstable();
        assert!(matches!(codes[..], [0, 11] | [0, 15]), "{codes:?}: {} {}", err(&both[0]), err(&both[1]));
        assert_eq!(open(at).serial(), serial + 1, "one commit");
    }
}

#[test]
fn a_change_in_stages_says_so_and_is_aborted_as_one_commit() {
    let folder = TempDir::new();
    small(&folder);
    let at = folder.path();
    assert_eq!(code(&ctl(at, &["rollout", "abort"])), 1, "nothing is handed out in stages");
    folder.write("more.toml", &SMALL.replace("deadline = \"3s\"", "deadline = \"4s\""));
    for bad in ["10", "0%", "101%", "x%", "-5%"] {
        assert_eq!(code(&ctl(at, &["plan", "more.toml", &format!("--stages={bad}")])), 1, "{bad}");
    }
    let falling = ctl(at, &["plan", "more.toml", "--stages", "50%,10%"]);
    contains(&err(&falling), &["each must be larger"]);
    let planned = ctl(at, &["plan", "more.toml", "-o", "p", "--stages", "10%,50%", "--pause", "2m"]);
    contains(&out(&planned), &["Handed out to 10%, 50%, 100% of the proxies, 2m apart at least."]);
    assert_eq!(code(&ctl(at, &["apply", "p"])), 0);
    let version = open(at).current().cloned().expect("a version");
    assert_eq!((version.stages, version.pause_ms), (vec![1000, 5000, 10_000], 120_000));
    contains(&out(&ctl(at, &["rollout", "abort"])), &["serial 3: as serial 1 was"]);
    let store = open(at);
    assert_eq!(
        (store.history()[2].hash.clone(), store.history()[2].stages.len()),
        (store.history()[0].hash.clone(), 0)
    );
}

/// Hard case 4, as far as the program sees it: a folder that can't be written to.
#[test]
fn a_state_that_cannot_be_written_is_left_as_it_is() {
    let folder = TempDir::new();
    small(&folder);
    let at = folder.path();
    folder.write("a.toml", &SMALL.replace("deadline = \"3s\"", "deadline = \"4s\""));
    assert_eq!(code(&ctl(at, &["plan", "a.toml", "-o", "a"])), 0);
    // A folder in the version's place can't be written over, not even by root.
    std::fs::create_dir(at.join("state/state-0000000002")).expect("a folder");
    let refused = ctl(at, &["apply", "a"]);
    assert_eq!(code(&refused), 16, "{}", err(&refused));
    contains(&err(&refused), &["state-0000000002"]);
    assert_eq!(open(at).serial(), 1);
    std::fs::remove_dir(at.join("state/state-0000000002")).expect("it is empty");
    assert_eq!(code(&ctl(at, &["apply", "a"])), 0);
}

#[test]
fn help_completions_and_the_manual_name_every_command() {
    let at = Path::new(".");
    for args in [&["--help"][..], &["completions", "bash"], &["man"]] {
        let text = out(&ctl(at, args));
        contains(
            &text,
            &["validate", "plan", "show", "apply", "history", "rollback", "state", "status", "watch"],
        );
    }
    contains(&out(&ctl(at, &["--help"])), &["Exit codes: 0 done"]);
}
