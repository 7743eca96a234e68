//! The command line interface that all programs of the fleet share, tested on the agent.

use std::process::{Command, Output};

fn run(arguments: &[&str], settings: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_runtrack-agent"));
    command.args(arguments).env_remove("RUNTRACK_NODE_FILE");
    let name = format!("agent-command-{}-{:?}", std::process::id(), std::thread::current().id());
    let path = std::env::temp_dir().join(name);
    if let Some(settings) = settings {
        std::fs::write(&path, settings).expect("failed to write the settings file");
        command.env("RUNTRACK_NODE_FILE", &path);
    }
    let output = command.output().expect("failed to run the agent");
    let _ = std::fs::remove_file(path); // absent without settings
    output
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn valid_settings_are_reported_by_the_exit_code() {
    let output =
        run(&["--check"], Some("node=edge-1\nip=10.0.0.1\nportRange=7660,7675\nseeds=10.0.0.2:8146\n"));
    assert!(output.status.success(), "{}", stderr_text(&output));
    assert!(output.stderr.is_empty());
}

#[test]
fn all_errors_in_the_settings_are_reported_at_once() {
    let output = run(&["--check"], Some("ip=nowhere\nportRange=x\n"));
    assert_eq!(output.status.code(), Some(1));
    let stderr = stderr_text(&output);
    for part in ["runtrack-agent: ", "node: is missing", "ip: \"nowhere\"", "portRange: \"x\""] {
        assert!(stderr.contains(part), "{part:?} is not in {stderr}");
    }
}

#[test]
fn missing_settings_are_reported_with_the_name_of_the_variable() {
    let output = run(&[], None);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr_text(&output).contains("RUNTRACK_NODE_FILE is not set"));
}

#[test]
fn help_succeeds_and_an_unknown_option_fails() {
    let help = run(&["--help"], None);
    assert!(help.status.success());
    assert!(String::from_utf8_lossy(&help.stdout).contains("--check"));
    assert!(!run(&["--chekc"], None).status.success());
}
