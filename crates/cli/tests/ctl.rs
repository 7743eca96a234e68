//! End-to-end tests of `runtrackctl`: output and exit codes of its commands.

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

/// Writes `SMALL` to `fleet.toml` and applies it to a new state.
fn apply_small_fleet(folder: &TempDir) {
    folder.write("fleet.toml", SMALL);
    for args in [&["init"][..], &["plan", "fleet.toml", "-o", "first.plan"], &["apply", "first.plan"]] {
        let done = ctl(folder.path(), args);
        assert_eq!(code(&done), 0, "{args:?}: {}", err(&done));
    }
}

fn fleet_with_draining(which: &[u32]) -> String {
    which.iter().fold(SMALL.to_owned(), |text, n| {
        let line = format!("address = \"127.0.0.1:900{n}\"\n");
        text.replace(&line, &format!("{line}state = \"draining\"\n"))
    })
}

fn assert_contains(text: &str, wanted: &[&str]) {
    for wanted in wanted {
        assert!(text.contains(wanted), "{wanted:?} is not in:\n{text}");
    }
}

#[test]
fn plan_apply_and_rollback() {
    let folder = TempDir::new();
    apply_small_fleet(&folder);
    let path = folder.path();
    assert_eq!(code(&ctl(path, &["plan", "fleet.toml", "--detailed-exitcode"])), 0, "nothing to change");

    folder.write("wanted.toml", &fleet_with_draining(&[1]));
    let planned =
        ctl(path, &["plan", "wanted.toml", "-o", "p", "--reason", "b1 is slow", "--detailed-exitcode"]);
    assert_eq!(code(&planned), 2, "there is something to change");
    let text = out(&planned);
    assert_contains(
        &text,
        &[
            "~ pool.bookings.endpoint.b1",
            "state: \"ready\" -> \"draining\"",
            "Plan: 0 to add, 1 to change, 0 to destroy",
        ],
    );
    assert_contains(&text, &["high pool-thin/pool.bookings", "2 high risks"]);
    assert_eq!(out(&ctl(path, &["show", "p"])), text, "`show` prints the same as `plan`");

    let refused = ctl(path, &["apply", "p"]);
    assert_eq!(code(&refused), 14);
    assert_contains(
        &err(&refused),
        &["--accept-risk pool-thin/pool.bookings", "--accept-risk capacity-lost/pool.bookings"],
    );
    let apply_args = [
        "apply",
        "p",
        "--accept-risk",
        "pool-thin/pool.bookings",
        "--accept-risk",
        "capacity-lost/pool.bookings",
    ];
    let applied = ctl(path, &apply_args);
    assert_eq!((code(&applied), err(&applied)), (0, String::new()));
    assert_contains(&out(&applied), &["applied as serial 2"]);
    assert_contains(&out(&ctl(path, &apply_args)), &["applied before, as serial 2: nothing done"]);

    let back = ctl(path, &["rollback", "1", "-o", "back"]);
    assert_contains(&out(&back), &["state: \"draining\" -> \"ready\"", "no risk found"]);
    assert_eq!(code(&ctl(path, &["apply", "back"])), 0);
    let history = out(&ctl(path, &["history"]));
    assert_contains(&history, &["somchai  back to serial 1", "somchai  b1 is slow"]);
    let hashes: Vec<&str> = history.lines().filter_map(|line| line.split_whitespace().nth(2)).collect();
    assert_eq!((hashes.len(), hashes[0]), (3, hashes[2]), "the rollback restores the hash");

    let exported = out(&ctl(path, &["state", "export"]));
    folder.write("export.json", exported.trim_end());
    assert_eq!(code(&ctl(path, &["--state", "copy", "init"])), 0);
    assert_eq!(code(&ctl(path, &["--state", "copy", "state", "import", "export.json"])), 0);
    assert_eq!(out(&ctl(path, &["--state", "copy", "state", "export"])), exported);
    assert_eq!(
        code(&ctl(path, &["--state", "copy", "state", "import", "export.json"])),
        1,
        "import needs an empty state"
    );
}

#[test]
fn each_refusal_has_its_exit_code_and_message() {
    let folder = TempDir::new();
    apply_small_fleet(&folder);
    let path = folder.path();
    let refused = |args: &[&str], wanted: i32, message: &str| {
        let done = ctl(path, args);
        assert_eq!(code(&done), wanted, "{args:?}: {}", err(&done));
        assert_contains(&err(&done), &[message]);
        assert_eq!(out(&done), "", "{args:?}");
    };
    folder.write("bad.toml", &SMALL.replace("class = \"post\"", "class = \"pots\""));
    refused(&["validate", "bad.toml"], 1, "bad.toml:21:9: listener.kiosk.route.all.class");
    refused(&["plan", "bad.toml"], 1, "did you mean `post`?");
    refused(&["plan", "missing.toml"], 1, "missing.toml");
    refused(&["--state", "nowhere", "history"], 1, "runtrackctl init");
    refused(&["rollback", "7"], 16, "serial 7 is not kept");
    refused(&["apply", "fleet.toml"], 10, "not a plan file");

    folder.write("more.toml", &SMALL.replace("deadline = \"3s\"", "deadline = \"4s\""));
    for plan in ["p", "q"] {
        assert_eq!(code(&ctl(path, &["plan", "more.toml", "-o", plan, "--reason", plan])), 0);
    }
    let bytes = std::fs::read(path.join("p")).expect("failed to read the plan");
    std::fs::write(path.join("short"), &bytes[..bytes.len() - 1])
        .expect("failed to write the truncated plan");
    refused(&["apply", "short"], 10, "modified or truncated");
    assert_eq!(code(&ctl(path, &["--state", "other", "init"])), 0);
    refused(&["--state", "other", "apply", "p"], 12, "the plan is for the state");
    refused(&["apply", "p", "--accept-risk", "pool-thin/pool.ghost"], 14, "the plan has no risk");
    assert_eq!(code(&ctl(path, &["plan", "more.toml", "-o", "old", "--life", "0s"])), 0);
    std::thread::sleep(std::time::Duration::from_millis(5));
    refused(&["apply", "old"], 13, "create a new plan");
    {
        let _lock = Lock::acquire(&path.join("state"), "nok, process 1").expect("the state is locked");
        refused(&["apply", "p"], 15, "locked by nok, process 1");
    }
    assert_eq!(code(&ctl(path, &["apply", "q"])), 0);
    refused(&["apply", "p"], 11, "committed by somchai (q); changed: class.post");
    std::fs::write(path.join("state/head"), "runtrack-state 9 00\n").expect("failed to write the head");
    refused(&["history"], 16, "format 9");
    refused(&["status", "--admin", "127.0.0.1:1"], 3, "127.0.0.1:1");
}

/// Two applies, or an apply and a rollback, run at the same time.
#[test]
fn of_two_concurrent_writers_one_commits_and_the_other_fails() {
    let folder = TempDir::new();
    apply_small_fleet(&folder);
    let path = folder.path();
    for round in 0..8 {
        let serial = open(path).serial();
        folder.write(
            "a.toml",
            &SMALL.replace("deadline = \"3s\"", &format!("deadline = \"{}s\"", 10 + round)),
        );
        assert_eq!(code(&ctl(path, &["plan", "a.toml", "-o", "a"])), 0);
        let other = if round % 2 == 0 {
            ctl(path, &["plan", "a.toml", "-o", "b", "--reason", "the other"])
        } else {
            ctl(path, &["rollback", &(serial - 1).to_string(), "-o", "b"])
        };
        assert_eq!(code(&other), 0, "{}", err(&other));
        let start = |plan: &str| {
            command(path, &["apply", plan])
                .stdout(Stdio::piped())
                .stderr(Stdio::piped())
                .spawn()
                .expect("failed to start runtrackctl")
        };
        let both = [start("a"), start("b")]
            .map(|child| child.wait_with_output().expect("failed to wait for runtrackctl"));
        let mut codes: Vec<i32> = both.iter().map(code).collect();
        codes.sort_unstable();
        assert!(matches!(codes[..], [0, 11] | [0, 15]), "{codes:?}: {} {}", err(&both[0]), err(&both[1]));
        assert_eq!(open(path).serial(), serial + 1, "one commit");
    }
}

#[test]
fn a_staged_change_is_shown_and_aborted_as_one_commit() {
    let folder = TempDir::new();
    apply_small_fleet(&folder);
    let path = folder.path();
    assert_eq!(code(&ctl(path, &["rollout", "abort"])), 1, "there is no staged roll-out");
    folder.write("more.toml", &SMALL.replace("deadline = \"3s\"", "deadline = \"4s\""));
    for bad in ["10", "0%", "101%", "x%", "-5%"] {
        assert_eq!(code(&ctl(path, &["plan", "more.toml", &format!("--stages={bad}")])), 1, "{bad}");
    }
    let falling = ctl(path, &["plan", "more.toml", "--stages", "50%,10%"]);
    assert_contains(&err(&falling), &["each must be larger"]);
    let planned = ctl(path, &["plan", "more.toml", "-o", "p", "--stages", "10%,50%", "--pause", "2m"]);
    assert_contains(&out(&planned), &["Rolled out to 10%, 50%, 100% of the proxies, at least 2m apart."]);
    assert_eq!(code(&ctl(path, &["apply", "p"])), 0);
    let version = open(path).current().cloned().expect("no version");
    assert_eq!((version.stages, version.pause_ms), (vec![1000, 5000, 10_000], 120_000));
    assert_contains(&out(&ctl(path, &["rollout", "abort"])), &["serial 3: as serial 1 was"]);
    let store = open(path);
    assert_eq!(
        (store.history()[2].hash.clone(), store.history()[2].stages.len()),
        (store.history()[0].hash.clone(), 0)
    );
}

/// A failed write to the state folder: the exit code says so, and the state stays unchanged.
#[test]
fn a_failed_write_leaves_the_state_unchanged() {
    let folder = TempDir::new();
    apply_small_fleet(&folder);
    let path = folder.path();
    folder.write("a.toml", &SMALL.replace("deadline = \"3s\"", "deadline = \"4s\""));
    assert_eq!(code(&ctl(path, &["plan", "a.toml", "-o", "a"])), 0);
    // A folder in place of the version file can't be overwritten, not even by root.
    std::fs::create_dir(path.join("state/state-0000000002")).expect("failed to create the folder");
    let refused = ctl(path, &["apply", "a"]);
    assert_eq!(code(&refused), 16, "{}", err(&refused));
    assert_contains(&err(&refused), &["state-0000000002"]);
    assert_eq!(open(path).serial(), 1);
    std::fs::remove_dir(path.join("state/state-0000000002")).expect("failed to remove the folder");
    assert_eq!(code(&ctl(path, &["apply", "a"])), 0);
}

#[test]
fn help_completions_and_manual_list_every_command() {
    let path = Path::new(".");
    for args in [&["--help"][..], &["completions", "bash"], &["man"]] {
        let text = out(&ctl(path, args));
        assert_contains(
            &text,
            &["validate", "plan", "show", "apply", "history", "rollback", "state", "status", "watch"],
        );
    }
    assert_contains(&out(&ctl(path, &["--help"])), &["Exit codes: 0 done"]);
}
