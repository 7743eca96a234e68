//! The service on a store: plans that are applied reach proxies, across kills, and damage reaches nobody.

mod common;

use common::*;
use runtrack_model::Fleet;
use runtrack_plan::{Applied, Load, Plan, Request, apply, current};
use runtrack_store::{Folder as Files, Store};
use runtrack_testkit::{Control, Folder, until};
use std::collections::BTreeSet;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// Applies what is wanted, with all risks accepted; gives the serial.
fn change(folder: &Path, wanted: &str) -> u64 {
    let wanted = Fleet::read(wanted).unwrap_or_else(|problems| panic!("{problems}"));
    let mut store = Store::open_or_make(Files::new(folder).expect("a folder"), "l").expect("a store");
    let from = current(&store, store.serial()).expect("a fleet");
    let request = Request {
        author: "nok",
        reason: "a test",
        now_ms: now_ms(),
        life_ms: 60_000,
        lineage: "l",
        base: store.current(),
        load: &Load::default(),
    };
    let plan = Plan::make(request, &from, &wanted);
    let high = plan.risks.iter().filter(|risk| risk.severity == runtrack_model::Severity::High);
    let accepted: BTreeSet<String> = high.map(|risk| risk.id.clone()).collect();
    match apply(&mut store, &plan, &accepted, "nok", now_ms()).expect("it applies") {
        Applied::Now(serial) => serial,
        Applied::Before(serial) => panic!("applied before as {serial}"),
    }
}

async fn serial(control: &Control) -> u64 {
    control.status().await["serial"].as_u64().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_applied_plan_reaches_all_proxies_without_a_signal_and_again_after_a_kill() {
    let folder = Folder::new();
    change(folder.path(), &static_fleet(&[(7001, "ready"), (7002, "ready")]));
    let mut control = Control::start_on_store(BINARY, folder.path(), "").await;
    let proxies = [proxy(&control, "whole", false), proxy(&control, "incremental", true)];
    for proxy in &proxies {
        until("the list", || proxy.with(|s| s.ready("p").len() == 2)).await;
    }
    assert_eq!(serial(&control).await, 1);
    assert_eq!(
        change(folder.path(), &static_fleet(&[(7001, "draining"), (7002, "ready"), (7003, "ready")])),
        2
    );
    let wanted = |proxy: &runtrack_testkit::Proxy, ports: &[u16]| {
        proxy.with(|s| {
            let mut ready: Vec<u16> = s.ready("p").iter().map(|address| address.port()).collect();
            ready.sort_unstable();
            ready == ports
        })
    };
    for proxy in &proxies {
        until("the change", || wanted(proxy, &[7002, 7003])).await;
    }
    // Applied while the service is down: served from the start.
    control.kill();
    change(folder.path(), &static_fleet(&[(7003, "ready")]));
    control.launch().await;
    assert_eq!(serial(&control).await, 3);
    for proxy in &proxies {
        until("the change after the kill", || wanted(proxy, &[7003])).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_damaged_store_changes_nothing_and_says_so_until_it_is_whole_again() {
    let folder = Folder::new();
    change(folder.path(), &static_fleet(&[(7001, "ready"), (7002, "ready")]));
    let control = Control::start_on_store(BINARY, folder.path(), "").await;
    let proxy = proxy(&control, "whole", false);
    until("the list", || proxy.with(|s| s.ready("p").len() == 2)).await;

    change(folder.path(), &static_fleet(&[(7001, "ready"), (7002, "ready"), (7003, "ready")]));
    until("the change", || proxy.with(|s| s.ready("p").len() == 3)).await;
    let head = folder.path().join("head");
    let good = std::fs::read(&head).expect("a head");
    let mut bad = good.clone();
    let middle = bad.len() / 2;
    bad[middle] ^= 1;
    std::fs::write(&head, &bad).expect("a damaged head");
    let trouble = trouble(&control, true).await;
    assert!(trouble.contains("damaged") && trouble.contains("the old state goes on"), "{trouble}");
    assert_eq!(proxy.with(|s| s.ready("p").len()), 3);
    assert_eq!(serial(&control).await, 2);
    std::fs::write(&head, &good).expect("the head as it was");
    assert_eq!(self::trouble(&control, false).await, "");
    assert_eq!(control.log().matches("damaged").count(), 1, "said once:\n{}", control.log());
}

/// The trouble with the desired state, once there is one or none.
async fn trouble(control: &Control, wanted: bool) -> String {
    let end = tokio::time::Instant::now() + Duration::from_secs(20);
    loop {
        let trouble = control.status().await["troubles"]["reload"].as_str().unwrap_or_default().to_owned();
        if trouble.is_empty() != wanted || tokio::time::Instant::now() > end {
            return trouble;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[test]
fn settings_name_a_file_or_a_store_and_not_both() {
    let folder = Folder::new();
    let check = |text: &str| {
        let path = folder.write("control.toml", text);
        let run = std::process::Command::new(BINARY).args(["check", "--config"]).arg(path).output();
        let run = run.expect("the program starts");
        (run.status.success(), String::from_utf8_lossy(&run.stderr).into_owned())
    };
    for from in ["", "fleet = \"f\"\nstore = \"s\"\n"] {
        let (good, said) = check(&format!("{from}listen = \"127.0.0.1:1\"\n"));
        assert!(!good && said.contains("one of the two"), "{said}");
    }
    let (good, said) = check("store = \"nowhere\"\nlisten = \"127.0.0.1:1\"\n");
    assert!(!good && said.contains("runtrackctl --state") && said.contains("nowhere init"), "{said}");
    change(&folder.path().join("s"), &static_fleet(&[(7001, "ready")]));
    assert!(check("store = \"s\"\nlisten = \"127.0.0.1:1\"\n").0);
}
