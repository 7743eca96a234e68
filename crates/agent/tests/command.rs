//! The command line that the fleet's programs share.

use std::process::{Command, Output};

fn agent(arguments: &[&str], settings: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_runtrack-agent"));
    command.args(arguments).env_remove("RUNTRACK_NODE_FILE");
    let name = format!("agent-command-{}-{:?}", std::process::id(), std::thread::current().id());
    let path = std::env::temp_dir().join(name);
    if let Some(settings) = settings {
        std::fs::write(&path, settings).expect("the settings can be written");
        command.env("RUNTRACK_NODE_FILE", &path);
    }
    let output = command.output().expect("it runs");
    let _ = std::fs::remove_file(path); // there may be none
    output
}

fn problem(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn valid_settings_are_reported_by_the_exit_code() {
    let output =
        agent(&["--check"], Some("node=edge-1\nip=10.0.0.1\nportRange=7660,7675\nseeds=10.0.0.2:8146\n"));
    assert!(output.status.success(), "{}", problem(&output));
    assert!(output.stderr.is_empty());
}

#[test]
fn all_findings_in_the_settings_are_reported_at_once() {
    let output = agent(&["--check"], Some("ip=nowhere\nportRange=x\n"));
    assert_eq!(output.status.code(), Some(1));
    let problem = problem(&output);
    for part in ["runtrack-agent: ", "node: is missing", "ip: \"nowhere\"", "portRange: \"x\""] {
        assert!(problem.contains(part), "{part:?} is not in {problem}");
    }
}

#[test]
fn without_settings_the_variable_is_named() {
    let output = agent(&[], None);
    assert_eq!(output.status.code(), Some(1));
    assert!(problem(&output).contains("RUNTRACK_NODE_FILE is not set"));
}

#[test]
fn help_and_wrong_words_have_exit_codes_of_their_own() {
    let help = agent(&["--help"], None);
    assert!(help.status.success());
    assert!(String::from_utf8_lossy(&help.stdout).contains("--check"));
    assert!(!agent(&["--chekc"], None).status.success());
}
