//! What the tests and the measurement of kills share.
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
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// Runs the program in a folder, with `state` as the state's.
pub fn ctl(folder: &Path, args: &[&str]) -> Output {
    command(folder, args).output().expect("the program starts")
}

pub fn command(folder: &Path, args: &[&str]) -> Command {
    let mut command = Command::new(BINARY);
    command.current_dir(folder).args(args).env("USER", "somchai").env_remove("RUNTRACK_STATE");
    command.stdin(Stdio::null());
    command
}

pub fn code(output: &Output) -> i32 {
    output.status.code().expect("it ended by itself")
}

pub fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

pub fn err(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// A fleet of so many pools with an endpoint each, all with this limit, and a route to each.
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
    let files = Folder::new(&folder.join("state")).expect("a folder");
    Store::open(files).expect("readable at any time").expect("a state")
}

/// Kills so many applies at random times; gives how many had committed, and how many states were neither the old one
/// nor the new one.
pub fn kills(folder: &Path, rounds: usize, pools: usize, seed: u64) -> (usize, usize) {
    let mut draws = Pcg32::seed_from_u64(seed);
    assert_eq!(code(&ctl(folder, &["init"])), 0);
    let fleets =
        [fleet(pools, 100), fleet(pools, 200)].map(|text| Fleet::from_toml(&text).expect("a fleet"));
    let plan = |which: usize| {
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
        let plan = Plan::new(request, &fleet_at(&store, store.serial()).expect("a fleet"), &fleets[which]);
        std::fs::write(folder.join("plan"), plan.to_bytes()).expect("a plan");
    };
    plan(0);
    let began = Instant::now();
    let first = ctl(folder, &["apply", "plan"]);
    assert_eq!(code(&first), 0, "{}", err(&first));
    // Spread over somewhat more than a whole run, so that every part of it is hit.
    let span = began.elapsed().as_micros() as u64 * 5 / 4;
    let (mut committed, mut mixes, mut is) = (0, 0, 0);
    for _ in 0..rounds {
        let before = open(folder).serial();
        plan(1 - is);
        let mut child = command(folder, &["apply", "plan"])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        std::thread::sleep(Duration::from_micros(u64::from(draws.next_u32()) % span));
        let _ = child.kill();
        let _ = child.wait();
        let store = open(folder);
        let found = fleet_at(&store, store.serial());
        match store.serial() - before {
            0 if found.as_ref().is_ok_and(|found| *found == fleets[is]) => {}
            1 if found.as_ref().is_ok_and(|found| *found == fleets[1 - is]) => {
                committed += 1;
                is = 1 - is;
            }
            _ => mixes += 1,
        }
    }
    (committed, mixes)
}
