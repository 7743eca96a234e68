//! Staged roll-outs: which proxies get a version when, what halts it, and what a restart after a kill restores.

mod common;

use common::*;
use runtrack_testkit::{
    Control, Discovery, Proxy, ScriptedDelta, ScriptedLoad, TempDir, connect, delta_request, target, until,
    url,
};
use runtrack_xds::rollout_bucket;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Share of the proxies in the first stage, in 1/10,000.
const FIRST_STAGE: u32 = 3000;
const HOUR_MS: u64 = 3_600_000;
const GRACE_PERIOD: Duration = Duration::from_secs(2);

/// The n-th node id inside the first stage if `first`, else outside of it.
fn id(first: bool, n: usize) -> String {
    let mut ids =
        (0..).map(|n| format!("node-{n}")).filter(|id| (rollout_bucket(id) < FIRST_STAGE) == first);
    ids.nth(n).expect("there are enough")
}

/// Two proxies in the first stage and two outside of it, one of each xDS variant.
fn proxies(control: &Control) -> (Vec<Proxy>, Vec<Proxy>) {
    let both = |first| (0..2).map(|n| proxy(control, &id(first, n), n == 1)).collect();
    (both(true), both(false))
}

/// A fleet with a pool that follows discovery, and the named static pools.
fn fleet(discovery: SocketAddr, more: &[&str]) -> String {
    let pool = |name: &&str| {
        format!(
            "\n[[pool]]\nname = \"{name}\"\n[[pool.endpoint]]\nname = \"e\"\naddress = \"127.0.0.1:7999\"\n"
        )
    };
    platform_fleet(discovery, &more.iter().map(pool).collect::<String>())
}

fn has(proxy: &Proxy, pool: &str) -> bool {
    proxy.with(|state| state.versions.get(url("cds")).is_some_and(|held| held.contains_key(pool)))
}

fn ready(proxy: &Proxy) -> usize {
    proxy.with(|state| state.ready("p").len())
}

async fn discovery() -> Discovery {
    let at = |port: u16| ([127, 0, 0, 1], port).into();
    Discovery::start((0..4u16).map(|n| target(&format!("e{n}"), at(7000 + n), "")).collect()).await
}

/// Polls the status until the condition holds.
async fn status(control: &Control, what: &str, holds: impl Fn(&Value) -> bool) -> Value {
    let end = Instant::now() + Duration::from_secs(20);
    loop {
        let status = control.status().await;
        if holds(&status) {
            return status;
        }
        assert!(Instant::now() < end, "never came: {what}: {status:#}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn serial_of(status: &Value, node: &str) -> Value {
    let proxies = status["proxies"].as_array().expect("a list");
    proxies.iter().find(|proxy| proxy["node"] == node).expect("it is connected")["serial"].clone()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_the_stage_gets_the_version_and_all_get_drains_across_a_kill() {
    let (folder, discovery) = (TempDir::new(), discovery().await);
    apply_change(folder.path(), &fleet(discovery.address, &[]));
    let mut control = Control::start_on_store(BINARY, folder.path(), "").await;
    let (first, others) = proxies(&control);
    let all = || first.iter().chain(&others);
    for proxy in all() {
        until("the list", || ready(proxy) == 4).await;
    }
    apply_staged_change(folder.path(), &fleet(discovery.address, &["q"]), &[FIRST_STAGE, 10_000], HOUR_MS);
    for proxy in &first {
        until("the first stage has it", || has(proxy, "q")).await;
    }
    let shown = status(&control, "all acknowledged", |s| {
        s["proxies"].as_array().is_some_and(|all| {
            all.iter()
                .all(|p| p["types"].as_array().is_some_and(|t| t.iter().all(|t| t["behind"] == false)))
        })
    })
    .await;
    assert_eq!((&shown["rollout"]["stage"], &shown["rollout"]["share"]), (&1.into(), &FIRST_STAGE.into()));
    assert_eq!((serial_of(&shown, &id(true, 0)), serial_of(&shown, &id(false, 0))), (2.into(), 1.into()));
    assert!(others.iter().all(|proxy| !has(proxy, "q")));

    let drained_at = Instant::now();
    discovery.drain("e0");
    for proxy in all() {
        until("the drain", || ready(proxy) == 3).await;
    }
    assert!(drained_at.elapsed() < GRACE_PERIOD, "{:?}", drained_at.elapsed());

    control.kill();
    control.launch().await;
    discovery.drain("e1");
    for proxy in all() {
        until("the drain after the kill", || ready(proxy) == 2).await;
    }
    let shown =
        status(&control, "all are back", |s| s["proxies"].as_array().is_some_and(|all| all.len() == 4))
            .await;
    assert_eq!((&shown["rollout"]["stage"], &shown["rollout"]["share"]), (&1.into(), &FIRST_STAGE.into()));
    assert_eq!((serial_of(&shown, &id(true, 1)), serial_of(&shown, &id(false, 1))), (2.into(), 1.into()));
    assert!(first.iter().all(|proxy| has(proxy, "q")) && others.iter().all(|proxy| !has(proxy, "q")));

    // A rollback without stages applies at once and ends the roll-out.
    apply_change(folder.path(), &fleet(discovery.address, &[]));
    for proxy in &first {
        until("the first stage has lost it", || !has(proxy, "q")).await;
    }
    let shown =
        status(&control, "the roll-out is over", |s| s["rollout"].is_null() && s["serial"] == 3).await;
    assert_eq!((serial_of(&shown, &id(true, 0)), serial_of(&shown, &id(false, 0))), (3.into(), 3.into()));
    discovery.drain("e2");
    for proxy in all() {
        until("a drain after it all", || ready(proxy) == 1).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_acknowledged_version_completes_all_stages_across_a_restart() {
    let (folder, discovery) = (TempDir::new(), discovery().await);
    apply_change(folder.path(), &fleet(discovery.address, &[]));
    let mut control = Control::start_on_store(BINARY, folder.path(), "").await;
    let (first, others) = proxies(&control);
    for proxy in first.iter().chain(&others) {
        until("the list", || ready(proxy) == 4).await;
    }
    apply_staged_change(folder.path(), &fleet(discovery.address, &["q"]), &[FIRST_STAGE, 6000, 10_000], 0);
    for proxy in first.iter().chain(&others) {
        until("all have it", || has(proxy, "q")).await;
    }
    status(&control, "the roll-out is over", |s| s["rollout"].is_null() && s["serial"] == 2).await;
    control.kill();
    control.launch().await;
    let shown = control.status().await;
    assert!(shown["rollout"].is_null() && shown["serial"] == 2, "{shown:#}");
    discovery.drain("e0");
    for proxy in first.iter().chain(&others) {
        until("the drain", || ready(proxy) == 3).await;
        assert!(has(proxy, "q"));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rejection_halts_the_rollout_and_resuming_completes_it_and_the_queued_one() {
    let (folder, discovery) = (TempDir::new(), discovery().await);
    apply_change(folder.path(), &fleet(discovery.address, &[]));
    let mut control = Control::start_on_store(BINARY, folder.path(), "").await;
    let (first, others) = proxies(&control);
    for proxy in first.iter().chain(&others) {
        until("the list", || ready(proxy) == 4).await;
    }
    // Rejects responses that contain pool q until the flag is cleared.
    let rejects = Arc::new(AtomicBool::new(true));
    let mut stream = ScriptedDelta::open(connect(control.xds).await).await;
    stream.send(delta_request(&id(true, 7), "cds", &["*"]));
    let rejects_in_task = rejects.clone();
    let rejecting = tokio::spawn(async move {
        while let Ok(response) = stream.next().await {
            let named = response.resources.iter().any(|resource| resource.name == "q");
            stream.answer(
                &response,
                (named && rejects_in_task.load(Ordering::SeqCst)).then_some("no such pool"),
            );
        }
    });
    status(&control, "the angry one is known", |s| {
        s["proxies"].as_array().is_some_and(|all| all.len() == 5)
    })
    .await;
    assert_eq!(control.post("/rollout/resume").await, 409, "there is none");
    apply_staged_change(folder.path(), &fleet(discovery.address, &["q"]), &[FIRST_STAGE, 10_000], 0);
    let shown = status(&control, "it halts", |s| s["rollout"]["halted"].is_string()).await;
    let halt_reason = shown["rollout"]["halted"].as_str().unwrap_or_default();
    assert!(halt_reason.contains(&id(true, 7)) && halt_reason.contains("no such pool"), "{halt_reason}");
    assert!(
        shown["troubles"]["rollout"].as_str().is_some_and(|t| t.contains("serial 2 goes no further")),
        "{shown:#}"
    );
    assert!(others.iter().all(|proxy| !has(proxy, "q")));

    apply_staged_change(folder.path(), &fleet(discovery.address, &["q", "r"]), &[FIRST_STAGE, 10_000], 0);
    status(&control, "serial 3 waits", |s| {
        s["troubles"]["reload"].as_str().is_some_and(|t| t.contains("serial 3: waits"))
    })
    .await;

    // Both versions get drains during the halt, so that proxies that switch later have seen updates of the old version
    // from after the fork.
    for (n, id) in ["e0", "e1", "e2"].into_iter().enumerate() {
        discovery.drain(id);
        for proxy in first.iter().chain(&others) {
            until("a drain while it stands", || ready(proxy) == 3 - n).await;
        }
    }
    rejects.store(false, Ordering::SeqCst);
    rejecting.abort();
    assert_eq!(control.post("/rollout/resume").await, 202);
    for proxy in first.iter().chain(&others) {
        until("both versions", || has(proxy, "q") && has(proxy, "r")).await;
    }
    let done = status(&control, "all is over", |s| s["rollout"].is_null() && s["serial"] == 3).await;
    assert_eq!(done["troubles"], serde_json::json!({}), "{done:#}");
    control.kill();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_halted_rollout_stays_halted_after_a_kill() {
    let (folder, discovery) = (TempDir::new(), discovery().await);
    apply_change(folder.path(), &fleet(discovery.address, &[]));
    let mut control = Control::start_on_store(BINARY, folder.path(), "").await;
    let mut stream = ScriptedDelta::open(connect(control.xds).await).await;
    stream.send(delta_request(&id(true, 0), "cds", &["*"]));
    let response = stream.next().await.expect("clusters");
    stream.answer(&response, None);
    apply_staged_change(folder.path(), &fleet(discovery.address, &["q"]), &[FIRST_STAGE, 10_000], 0);
    let response = stream.next().await.expect("the new cluster");
    stream.answer(&response, Some("no such pool"));
    status(&control, "it halts", |s| s["rollout"]["halted"].is_string()).await;
    control.kill();
    control.launch().await;
    let shown = control.status().await;
    assert!(
        shown["rollout"]["halted"].as_str().is_some_and(|halt_reason| halt_reason.contains("no such pool")),
        "{shown:#}"
    );
    assert_eq!(control.post("/rollout/resume").await, 202);
    status(&control, "nobody objects", |s| s["rollout"].is_null() && s["serial"] == 2).await;
}

/// Sends load reports of successful requests, and waits until the service has counted them.
async fn send_baseline_reports(control: &Control, reports: &[&ScriptedLoad], most: u64) {
    for report in reports {
        report.report("p", 1000, 1, 100);
    }
    status(control, "the reports are taken", |s| s["loads"]["reports"].as_u64() >= Some(most)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn errors_with_the_new_version_halt_it_but_errors_everywhere_do_not() {
    let (folder, discovery) = (TempDir::new(), discovery().await);
    apply_change(folder.path(), &fleet(discovery.address, &[]));
    let control =
        Control::start_on_store(BINARY, folder.path(), "\n[rollouts]\nreports_every_ms = 200\n").await;
    let (first, others) = proxies(&control);
    for proxy in first.iter().chain(&others) {
        until("the list", || ready(proxy) == 4).await;
    }
    let mut with_version = ScriptedLoad::open(connect(control.xds).await, &id(true, 0)).await;
    let mut without_version = ScriptedLoad::open(connect(control.xds).await, &id(false, 0)).await;
    for stream in [&mut with_version, &mut without_version] {
        let asked = stream.next().await.expect("it asks for reports");
        let every = asked.load_reporting_interval.expect("and says how often");
        assert_eq!((asked.send_all_clusters, every.seconds, every.nanos), (true, 0, 200_000_000));
    }
    send_baseline_reports(&control, &[&with_version, &without_version], 2).await;
    apply_staged_change(folder.path(), &fleet(discovery.address, &["q"]), &[FIRST_STAGE, 10_000], HOUR_MS);
    for proxy in &first {
        until("the first stage has it", || has(proxy, "q")).await;
    }

    // An incident that affects all proxies alike must not halt the roll-out.
    tokio::time::sleep(Duration::from_millis(2)).await; // so that the reported interval lies within the stage
    without_version.report("p", 500, 500, 1);
    with_version.report("p", 500, 500, 1);
    let both = |s: &Value, side: &str| s["loads"]["rollout"]["p"][side]["ended"] == 1000;
    status(&control, "both are counted", |s| both(s, "with") && both(s, "without")).await;
    tokio::time::sleep(Duration::from_millis(600)).await; // longer than the interval of evaluations
    assert!(control.status().await["rollout"]["halted"].is_null());

    // Requests keep failing with the new version, and succeed without it.
    with_version.report("p", 100, 9000, 1);
    without_version.report("p", 90_000, 0, 1);
    let shown = status(&control, "it halts", |s| s["rollout"]["halted"].is_string()).await;
    let halt_reason = shown["rollout"]["halted"].as_str().unwrap_or_default();
    assert!(
        halt_reason.contains("requests to pool p fail more often: 94.1% of 10100 with it"),
        "{halt_reason}"
    );
    assert!(others.iter().all(|proxy| !has(proxy, "q")));

    // After a resumption earlier failures no longer count, but new ones do.
    assert_eq!(control.post("/rollout/resume").await, 202);
    status(&control, "it goes on", |s| s["rollout"]["halted"].is_null()).await;
    tokio::time::sleep(Duration::from_millis(2)).await;
    without_version.report("p", 1000, 1, 1);
    with_version.report("p", 1000, 900, 1);
    status(&control, "it halts again", |s| s["rollout"]["halted"].is_string()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn load_report_streams_are_limited_and_end_on_invalid_reports() {
    let control = Control::start(BINARY, &static_fleet(&[(7001, "ready")]), "", false).await;
    let channel = connect(control.xds).await;
    let mut invalid_reporter = ScriptedLoad::open(channel.clone(), "liar").await;
    invalid_reporter.next().await.expect("it asks for reports");
    invalid_reporter.report("p", u64::MAX, 0, 100);
    let ended = invalid_reporter.next().await.expect_err("it ends");
    assert_eq!(ended.code(), tonic::Code::InvalidArgument, "{ended}");

    let mut nameless = ScriptedLoad::open(channel.clone(), "").await;
    assert_eq!(nameless.next().await.expect_err("refused").code(), tonic::Code::InvalidArgument);

    let mut one = Vec::new();
    for _ in 0..12 {
        let mut stream = ScriptedLoad::open(channel.clone(), "same").await;
        stream.next().await.expect("it asks for reports");
        one.push(stream);
    }
    let mut over = ScriptedLoad::open(channel.clone(), "same").await;
    assert_eq!(over.next().await.expect_err("refused").code(), tonic::Code::ResourceExhausted);
    drop(one);
    drop(channel);
    let channel = connect(control.xds).await;
    for end in (0..200).rev() {
        let mut again = ScriptedLoad::open(channel.clone(), "same").await;
        if again.next().await.is_ok() {
            break;
        }
        assert!(end > 0, "those that have ended still count");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let shown = control.status().await;
    assert_eq!(shown["loads"]["recent"], serde_json::json!({}), "nothing of it was kept");
}
