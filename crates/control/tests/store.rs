//! The service with a store: applied plans reach proxies, also across kills, and a damaged store changes nothing.

mod common;

use common::*;
use runtrack_testkit::{Control, TempDir, until};
use std::time::Duration;

async fn serial(control: &Control) -> u64 {
    control.status().await["serial"].as_u64().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_applied_plan_reaches_all_proxies_without_a_signal_and_again_after_a_kill() {
    let folder = TempDir::new();
    apply_change(folder.path(), &static_fleet(&[(7001, "ready"), (7002, "ready")]));
    let mut control = Control::start_on_store(BINARY, folder.path(), "").await;
    let proxies = [proxy(&control, "whole", false), proxy(&control, "incremental", true)];
    for proxy in &proxies {
        until("the list", || proxy.with(|s| s.ready("p").len() == 2)).await;
    }
    assert_eq!(serial(&control).await, 1);
    assert_eq!(
        apply_change(folder.path(), &static_fleet(&[(7001, "draining"), (7002, "ready"), (7003, "ready")])),
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
    // A plan applied while the service is down is served from the start.
    control.kill();
    apply_change(folder.path(), &static_fleet(&[(7003, "ready")]));
    control.launch().await;
    assert_eq!(serial(&control).await, 3);
    for proxy in &proxies {
        until("the change after the kill", || wanted(proxy, &[7003])).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_damaged_store_changes_nothing_and_is_reported_until_it_is_repaired() {
    let folder = TempDir::new();
    apply_change(folder.path(), &static_fleet(&[(7001, "ready"), (7002, "ready")]));
    let control = Control::start_on_store(BINARY, folder.path(), "").await;
    let proxy = proxy(&control, "whole", false);
    until("the list", || proxy.with(|s| s.ready("p").len() == 2)).await;

    apply_change(folder.path(), &static_fleet(&[(7001, "ready"), (7002, "ready"), (7003, "ready")]));
    until("the change", || proxy.with(|s| s.ready("p").len() == 3)).await;
    let head = folder.path().join("head");
    let good = std::fs::read(&head).expect("a head");
    let mut bad = good.clone();
    let middle = bad.len() / 2;
    bad[middle] ^= 1;
    std::fs::write(&head, &bad).expect("a damaged head");
    let trouble = trouble(&control, true).await;
    assert!(trouble.contains("damaged") && trouble.contains("keeping the old state"), "{trouble}");
    assert_eq!(proxy.with(|s| s.ready("p").len()), 3);
    assert_eq!(serial(&control).await, 2);
    std::fs::write(&head, &good).expect("the head as it was");
    assert_eq!(self::trouble(&control, false).await, "");
    assert_eq!(control.log().matches("damaged").count(), 1, "said once:\n{}", control.log());
}

/// Polls the `reload` problem until there is one (`wanted`) or none.
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

/// The status is served on the Unix socket, which only this user may access, also if an old socket was left behind.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_admin_socket_is_private_and_replaces_an_old_one() {
    use std::os::unix::fs::PermissionsExt;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (folder, sockets) = (TempDir::new(), TempDir::new());
    apply_change(folder.path(), &static_fleet(&[(7001, "ready")]));
    let at = sockets.path().join("control.sock");
    let setting = format!("admin_socket = {:?}\n", at.display().to_string());
    let mut control = Control::start_on_store(BINARY, folder.path(), &setting).await;
    for _ in 0..2 {
        assert_eq!(std::fs::metadata(&at).expect("a socket").permissions().mode() & 0o777, 0o600);
        assert_eq!(std::fs::read_dir(sockets.path()).expect("a folder").count(), 1, "nothing else is left");
        let mut stream = tokio::net::UnixStream::connect(&at).await.expect("it listens");
        let ask = "GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(ask.as_bytes()).await.expect("a request is taken");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("an answer comes");
        assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("\"serial\":1"), "{answer}");
        control.kill();
        control.launch().await;
    }
}

#[test]
fn settings_name_exactly_one_origin() {
    let folder = TempDir::new();
    let check = |text: &str| {
        let path = folder.write("control.toml", text);
        let run = std::process::Command::new(BINARY).args(["check", "--config"]).arg(path).output();
        let run = run.expect("the program starts");
        (run.status.success(), String::from_utf8_lossy(&run.stderr).into_owned())
    };
    for from in ["", "fleet = \"f\"\nstore = \"s\"\n"] {
        let (good, said) = check(&format!("{from}listen = \"127.0.0.1:1\"\n"));
        assert!(!good && said.contains("one of the three"), "{said}");
    }
    let (good, said) = check("store = \"nowhere\"\nlisten = \"127.0.0.1:1\"\n");
    assert!(!good && said.contains("runtrackctl --state") && said.contains("nowhere init"), "{said}");
    apply_change(&folder.path().join("s"), &static_fleet(&[(7001, "ready")]));
    assert!(check("store = \"s\"\nlisten = \"127.0.0.1:1\"\n").0);
}
