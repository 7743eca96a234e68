//! Measures the replication of configurations between real processes on loopback:
//! `cargo bench -p runtrack-controller --bench copies`. All figures are from one run on one disk; those that depend on the
//! disk are printed together with the time of a plain sync and of a plain HTTP call.

#[path = "../tests/support/mod.rs"]
mod support;

use runtrack_record_store::{Folder, RecordStore};
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::{Cluster, config};

/// Preallocated size of a value's file in bytes, as in the controller.
const VALUE_ROOM: usize = 384 << 10;
/// Copies that are not complete within this time are reported as missing.
const COPY_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const CHANGES: u64 = 200;

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() / 2]
}

fn timed<T>(run: impl FnOnce() -> T) -> Duration {
    let start = Instant::now();
    run();
    start.elapsed()
}

/// Formatted time since `since` until the disks of these machines hold a configuration.
fn until_complete(cluster: &Cluster, machines: &[usize], version: u64, since: Instant) -> String {
    while since.elapsed() < COPY_TIMEOUT {
        if machines.iter().all(|machine| cluster.holds(*machine, &config(version))) {
            return format!("{:.0} ms", millis(since.elapsed()));
        }
        sleep(POLL_INTERVAL);
    }
    format!("not within {} s", COPY_TIMEOUT.as_secs())
}

fn replace_configs(cluster: &Cluster, machine: usize, from: u64, count: u64) -> Vec<Duration> {
    let replace =
        |version: u64| timed(|| assert_eq!(cluster.replace_config(machine, version - 1, version), 200));
    (from + 1..=from + count).map(replace).collect()
}

/// Alternates a change, a plain sync and a plain HTTP call, so that disk and machine conditions are the same for all three.
fn compared(cluster: &Cluster, ring: &mut RecordStore<Folder>, from: u64) -> String {
    let record = vec![7; 2048];
    let (mut changes, mut syncs, mut calls) = (Vec::new(), Vec::new(), Vec::new());
    for version in from + 1..=from + CHANGES {
        changes.extend(replace_configs(cluster, 0, version - 1, 1));
        syncs.push(timed(|| ring.append(&record).expect("room")));
        calls.push(timed(|| cluster.call(0, "GET", "/nowhere", "", "")));
    }
    let (change, sync, call) = (median(changes), median(syncs), median(calls));
    let times = millis(change) / millis(sync + call);
    format!(
        "{:.2} ms, {times:.1} times a sync ({:.2} ms) and a call ({:.2} ms)",
        millis(change),
        millis(sync),
        millis(call)
    )
}

fn acknowledged_change() {
    let cluster = Cluster::started("bench-change", 3);
    replace_configs(&cluster, 0, 0, 10);
    let bare = cluster.folder().join("bare");
    std::fs::create_dir_all(&bare).expect("a folder");
    let (mut ring, _) = RecordStore::open(Folder(bare), "bare", VALUE_ROOM).expect("a ring");
    (0..10).for_each(|_| ring.append(&[7; 2048]).expect("room"));
    println!("an acknowledged change: {}", compared(&cluster, &mut ring, 10));
    cluster.stall_values(2);
    println!("with one disk stalled: {}", compared(&cluster, &mut ring, 10 + CHANGES));
}

fn without_writes_after_a_loss() {
    for lost in [1, 2] {
        let mut cluster = Cluster::started("bench-loss", 3);
        replace_configs(&cluster, 0, 0, 50);
        cluster.kill(lost);
        let longest = replace_configs(&cluster, 0, 50, CHANGES).into_iter().max().unwrap_or_default();
        println!("longest change after member {lost} is lost: {:.1} ms", millis(longest));
    }
}

fn complete_after_a_replacement() {
    let mut cluster = Cluster::started("bench-replaced", 4);
    replace_configs(&cluster, 0, 0, 5);
    cluster.kill(2);
    let start = Instant::now();
    cluster.start(3, false);
    println!("complete copies after a replacement: {}", until_complete(&cluster, &[0, 1, 3], 5, start));
    cluster.wait_for_event(3, "member.joined", "");
    println!("it counts as a member after {:.0} ms", millis(start.elapsed()));
}

fn complete_after_a_wipe() {
    let mut cluster = Cluster::started("bench-wiped", 3);
    replace_configs(&cluster, 0, 0, 5);
    cluster.kill(2);
    cluster.wipe(2);
    let start = Instant::now();
    cluster.start(2, false);
    println!("complete copies after a wipe: {}", until_complete(&cluster, &[0, 1, 2], 5, start));
    cluster.wait_for_event(2, "member.joined", "");
    println!("it counts as a member after {:.0} ms", millis(start.elapsed()));
}

fn complete_after_a_freeze() {
    let cluster = Cluster::started("bench-frozen", 3);
    replace_configs(&cluster, 0, 0, 5);
    cluster.freeze(2, true);
    sleep(Duration::from_secs(2)); // until the other members close its links and drop what they send to it
    replace_configs(&cluster, 0, 5, 5);
    let start = Instant::now();
    cluster.freeze(2, false);
    println!(
        "complete copies after a freeze through changes: {}",
        until_complete(&cluster, &[0, 1, 2], 10, start)
    );
}

fn current_after_a_restart() {
    for changes in [10, 100, 1000] {
        let mut cluster = Cluster::started("bench-restart", 3);
        replace_configs(&cluster, 0, 0, 5);
        cluster.kill(2);
        replace_configs(&cluster, 0, 5, changes);
        let start = Instant::now();
        cluster.start(2, false);
        cluster.wait_for_event(2, "config.taken", &format!("\"version\":{}", 5 + changes));
        let current = start.elapsed();
        let complete = until_complete(&cluster, &[0, 1, 2], 5 + changes, start);
        println!(
            "restart after {changes} changes: current after {:.0} ms, on its disk after {complete}",
            millis(current)
        );
    }
}

fn main() {
    acknowledged_change();
    without_writes_after_a_loss();
    complete_after_a_replacement();
    complete_after_a_wipe();
    complete_after_a_freeze();
    current_after_a_restart();
}
