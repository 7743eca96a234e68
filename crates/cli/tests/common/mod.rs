//! Helpers for the tests and the benchmark of killed applies.
#![allow(dead_code)]

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use runtrack_model::Fleet;
use runtrack_plan::{Load, Plan, PlanRequest, fleet_at};
use runtrack_store::{Folder, Store};
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const BINARY: &str = env!("CARGO_BIN_EXE_runtrackctl");

pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("clock before 1970").as_millis() as u64
}

/// Runs `runtrackctl` in a folder, with its subfolder `state` as the state.
pub fn ctl(folder: &Path, args: &[&str]) -> Output {
    command(folder, args).output().expect("failed to start runtrackctl")
}

pub fn command(folder: &Path, args: &[&str]) -> Command {
    let mut command = Command::new(BINARY);
    command.current_dir(folder).args(args).env("USER", "somchai").env_remove("RUNTRACK_STATE");
    command.stdin(Stdio::null());
    command
}

pub fn code(output: &Output) -> i32 {
    output.status.code().expect("killed by a signal")
}

pub fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

pub fn err(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// A fleet file with a number of pools with one endpoint each, all with the same request limit, and a route to each.
pub fn fleet(pools: usize, limit: u32) -> String {
    let mut text = "[[class]]\nname = \"c\"\nsemantics = \"unsafe\"\ndeadline = \"1s\"\n".to_owned();
    for n in 0..pools {
        let (host, port) = (n / 60_000, 1000 + n % 60_000);
        text += &format!(
            "[[pool]]\nname = \"p{n}\"\nmax_requests = {limit}\n[[pool.endpoint]]\nname = \"e\"\naddress = \"127.0.{host}.1:{port}\"\n"
        );
    }
    text += "[[listener]]\nname = \"l\"\naddress = \"127.0.0.1:8080\"\n";
    for n in 0..pools {
        text += &format!(
            "[[listener.route]]\nname = \"r{n}\"\nprefix = \"/{n}/\"\nclass = \"c\"\npool = \"p{n}\"\n"
        );
    }
    text
}

pub fn open(folder: &Path) -> Store<Folder> {
    let files = Folder::new(&folder.join("state")).expect("failed to open the folder");
    Store::open(files).expect("the state is not readable").expect("no state")
}

/// Kills `rounds` applies at random times. Returns how many had committed, and how many left a state that was neither
/// the old nor the new one.
pub fn kill_applies(folder: &Path, rounds: usize, pools: usize, seed: u64) -> (usize, usize) {
    let mut random = Pcg32::seed_from_u64(seed);
    assert_eq!(code(&ctl(folder, &["init"])), 0);
    let fleets = [fleet(pools, 100), fleet(pools, 200)]
        .map(|text| Fleet::from_toml(&text).expect("failed to read the fleet"));
    let plan = |index: usize| {
        let store = open(folder);
        let request = PlanRequest {
            author: "nok",
            reason: "",
            now_ms: now_ms(),
            lifetime_ms: 3_600_000,
            lineage: store.lineage(),
            base: store.current(),
            load: &Load::default(),
            stages: &[],
            pause_ms: 0,
        };
        let plan = Plan::new(
            request,
            &fleet_at(&store, store.serial()).expect("failed to read the fleet"),
            &fleets[index],
        );
        std::fs::write(folder.join("plan"), plan.to_bytes()).expect("failed to write the plan");
    };
    plan(0);
    let started_at = Instant::now();
    let first_apply = ctl(folder, &["apply", "plan"]);
    assert_eq!(code(&first_apply), 0, "{}", err(&first_apply));
    // Kill times are spread over slightly more than a complete run, so that every part of it is covered.
    let max_delay_us = started_at.elapsed().as_micros() as u64 * 5 / 4;
    let (mut committed, mut inconsistent, mut current) = (0, 0, 0);
    for _ in 0..rounds {
        let before = open(folder).serial();
        plan(1 - current);
        let mut child = command(folder, &["apply", "plan"])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("failed to start runtrackctl");
        std::thread::sleep(Duration::from_micros(u64::from(random.next_u32()) % max_delay_us));
        let _ = child.kill();
        let _ = child.wait();
        let store = open(folder);
        let found = fleet_at(&store, store.serial());
        match store.serial() - before {
            0 if found.as_ref().is_ok_and(|found| *found == fleets[current]) => {}
            1 if found.as_ref().is_ok_and(|found| *found == fleets[1 - current]) => {
                committed += 1;
                current = 1 - current;
            }
            _ => inconsistent += 1,
        }
    }
    (committed, inconsistent)
}
