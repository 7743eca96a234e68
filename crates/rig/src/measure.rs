//! Measures the cost of consensus, compared with one write and sync on the same disk in the same run.

use crate::link::locked;
use crate::round::Round;
use crate::script::Script;
use serde_json::{Value, json};
use std::io::{self, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Sequential writes whose latency is measured.
const TIMED_WRITES: usize = 400;
/// Concurrent writers of the throughput measurement, and its duration.
const CONCURRENT_WRITERS: usize = 64;
const LOAD_DURATION: Duration = Duration::from_secs(5);
/// Duration of the measurement without load.
const IDLE_DURATION: Duration = Duration::from_secs(5);

fn percentile(times: &mut [Duration], quantile: f64) -> f64 {
    times.sort();
    let at = ((times.len() as f64 - 1.0) * quantile).round() as usize;
    times.get(at).map_or(0.0, |time| time.as_secs_f64() * 1e3)
}

fn hold_command(n: usize) -> Value {
    let by = json!({"author": "measure", "reason": "", "at_ms": 0});
    json!({"hold": {"pool": "h", "uid": format!("k{}", n % 100), "held": n % 200 < 100, "by": by}})
}

/// Appends and syncs a record of the size of a write, as often as writes are measured.
fn time_syncs(round: &Round) -> io::Result<Vec<Duration>> {
    let mut file = std::fs::File::create(round.folder().join("bare"))?;
    (0..TIMED_WRITES)
        .map(|_| {
            let began = Instant::now();
            file.write_all(&[7; 400])?;
            file.sync_data()?;
            Ok(began.elapsed())
        })
        .collect()
}

/// Measures a cluster of so many instances and prints one line per figure.
pub async fn measure_cluster(count: u32, kills: usize, pools: usize) -> io::Result<()> {
    let script = Script { seed: 1, instances: count, proxies: 1, lasts: 0, faults: Vec::new() };
    let round = Round::build(&script, None).await?;
    let leader = || {
        let round = round.clone();
        async move {
            loop {
                for index in 0..count as usize {
                    let response = round.get(index, "/cluster").await.unwrap_or_default();
                    if response["standing"]["role"] == "leader" && response["majority"] == true {
                        return index;
                    }
                }
                sleep(Duration::from_millis(10)).await;
            }
        }
    };
    let first = leader().await;
    let mut sync_times = time_syncs(&round)?;
    let mut times = Vec::new();
    for n in 0..TIMED_WRITES {
        let began = Instant::now();
        round.write(first, &format!("m-{n}"), &hold_command(n)).await;
        times.push(began.elapsed());
    }
    let (p50, p99) = (percentile(&mut times, 0.5), percentile(&mut times, 0.99));
    let (sync_p50, sync_p99) = (percentile(&mut sync_times, 0.5), percentile(&mut sync_times, 0.99));
    println!(
        "{count} instances: a write at the leader {p50:.2} ms (p99 {p99:.2}); one write and sync here {sync_p50:.2} ms \
         (p99 {sync_p99:.2}): {:.1} and {:.1} times",
        p50 / sync_p50,
        p99 / sync_p99
    );
    println!(
        "  writes a second, {CONCURRENT_WRITERS} at once: {:.0}",
        write_throughput(&round, first).await
    );
    sleep(Duration::from_secs(1)).await;
    let before = round.bytes();
    sleep(IDLE_DURATION).await;
    let rate = (round.bytes() - before) as f64 / IDLE_DURATION.as_secs_f64();
    let memory: Vec<String> =
        round.memory_kib().iter().map(|kib| format!("{:.1}", *kib as f64 / 1024.0)).collect();
    println!("  at rest: {:.1} KB a second between them all; memory {} MiB", rate / 1e3, memory.join(", "));
    measure_failover(&round, kills, leader).await?;
    if pools > 0 {
        measure_large_fleet(&round, pools).await?;
    }
    Ok(())
}

async fn write_throughput(round: &Arc<Round>, at: usize) -> f64 {
    let (began, mut writers) = (Instant::now(), JoinSet::new());
    for writer in 0..CONCURRENT_WRITERS {
        let round = round.clone();
        writers.spawn(async move {
            let mut done = 0_u32;
            while began.elapsed() < LOAD_DURATION {
                let id = format!("l-{writer}-{done}");
                done += u32::from(round.write(at, &id, &hold_command(writer)).await.is_some());
            }
            done
        });
    }
    let mut all = 0;
    while let Some(done) = writers.join_next().await {
        all += done.unwrap_or_default();
    }
    f64::from(all) / began.elapsed().as_secs_f64()
}

/// Measures the time from the kill of a leader to the next acknowledged write.
async fn measure_failover<F: Future<Output = usize>>(
    round: &Arc<Round>,
    kills: usize,
    leader: impl Fn() -> F,
) -> io::Result<()> {
    let mut times = Vec::new();
    for kill in 0..kills {
        let index = leader().await;
        locked(&round.instances)[index].process.kill();
        let began = Instant::now();
        let next = (index + 1) % round.script.instances as usize;
        if round.write(next, &format!("k-{kill}"), &hold_command(kill)).await.is_some() {
            times.push(began.elapsed());
        }
        round.start_instance(index)?;
        // Another kill before the killed instance follows again would lose the majority.
        let end = Instant::now() + crate::round::RECOVERY_TIMEOUT;
        while Instant::now() < end {
            let response = round.get(index, "/cluster").await.unwrap_or_default();
            if response["majority"] == true {
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
    if kills > 0 {
        println!(
            "  without writes after a leader's kill: {:.0} ms (p99 {:.0}), {} kills",
            percentile(&mut times, 0.5),
            percentile(&mut times, 0.99),
            times.len()
        );
    }
    Ok(())
}

/// Measures the commit of a configuration with many pools, and its replication to an empty member.
async fn measure_large_fleet(round: &Arc<Round>, pools: usize) -> io::Result<()> {
    let (bytes, took) = round.commit_pools(pools).await?;
    println!(
        "  a commit of {pools} pools ({:.1} MB): {:.0} ms",
        bytes as f64 / 1e6,
        took.as_secs_f64() * 1e3
    );
    let took = round.add_empty_member().await?;
    println!("  an empty member has them after {:.0} ms", took.as_secs_f64() * 1e3);
    Ok(())
}
