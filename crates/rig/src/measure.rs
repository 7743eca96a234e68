//! Figures: what agreement costs, side by side with one write and sync on the same disk in the same run.

use crate::link::locked;
use crate::script::Script;
use crate::world::World;
use serde_json::{Value, json};
use std::io::{self, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Writes whose times are taken, one after the other.
const WRITES: usize = 400;
/// Writers at once, and for how long.
const WRITERS: usize = 64;
const LOAD: Duration = Duration::from_secs(5);
/// At rest it is looked for so long.
const REST: Duration = Duration::from_secs(5);

fn percentile(times: &mut [Duration], part: f64) -> f64 {
    times.sort();
    let at = ((times.len() as f64 - 1.0) * part).round() as usize;
    times.get(at).map_or(0.0, |time| time.as_secs_f64() * 1e3)
}

fn hold(n: usize) -> Value {
    let by = json!({"author": "measure", "reason": "", "at_ms": 0});
    json!({"hold": {"pool": "h", "uid": format!("k{}", n % 100), "held": n % 200 < 100, "by": by}})
}

/// Appends and syncs as small a record as a write is, as often.
fn sync_times(world: &World) -> io::Result<Vec<Duration>> {
    let mut file = std::fs::File::create(world.folder().join("bare"))?;
    (0..WRITES)
        .map(|_| {
            let began = Instant::now();
            file.write_all(&[7; 400])?;
            file.sync_data()?;
            Ok(began.elapsed())
        })
        .collect()
}

/// Measures a cluster of so many instances and prints a line for each figure.
pub async fn instances(count: u32, kills: usize, pools: usize) -> io::Result<()> {
    let script = Script { seed: 1, instances: count, proxies: 1, lasts: 0, faults: Vec::new() };
    let world = World::build(&script, None).await?;
    let leader = || {
        let world = world.clone();
        async move {
            loop {
                for place in 0..count as usize {
                    let said = world.get(place, "/cluster").await.unwrap_or_default();
                    if said["standing"]["role"] == "leader" && said["majority"] == true {
                        return place;
                    }
                }
                sleep(Duration::from_millis(10)).await;
            }
        }
    };
    let first = leader().await;
    let mut bare = sync_times(&world)?;
    let mut times = Vec::new();
    for n in 0..WRITES {
        let began = Instant::now();
        world.write(first, &format!("m-{n}"), &hold(n)).await;
        times.push(began.elapsed());
    }
    let (p50, p99) = (percentile(&mut times, 0.5), percentile(&mut times, 0.99));
    let (bare50, bare99) = (percentile(&mut bare, 0.5), percentile(&mut bare, 0.99));
    println!(
        "{count} instances: a write at the leader {p50:.2} ms (p99 {p99:.2}); one write and sync here {bare50:.2} ms \
         (p99 {bare99:.2}): {:.1} and {:.1} times",
        p50 / bare50,
        p99 / bare99
    );
    println!("  writes a second, {WRITERS} at once: {:.0}", load(&world, first).await);
    sleep(Duration::from_secs(1)).await;
    let before = world.bytes();
    sleep(REST).await;
    let rate = (world.bytes() - before) as f64 / REST.as_secs_f64();
    let memory: Vec<String> =
        world.memory_kib().iter().map(|kib| format!("{:.1}", *kib as f64 / 1024.0)).collect();
    println!("  at rest: {:.1} KB a second between them all; memory {} MiB", rate / 1e3, memory.join(", "));
    without_leader(&world, kills, leader).await?;
    if pools > 0 {
        many_pools(&world, pools).await?;
    }
    Ok(())
}

async fn load(world: &Arc<World>, at: usize) -> f64 {
    let (began, mut writers) = (Instant::now(), JoinSet::new());
    for writer in 0..WRITERS {
        let world = world.clone();
        writers.spawn(async move {
            let mut done = 0_u32;
            while began.elapsed() < LOAD {
                let id = format!("l-{writer}-{done}");
                done += u32::from(world.write(at, &id, &hold(writer)).await.is_some());
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

/// From the kill of a leader to the first write that is acknowledged.
async fn without_leader<F: Future<Output = usize>>(
    world: &Arc<World>,
    kills: usize,
    leader: impl Fn() -> F,
) -> io::Result<()> {
    let mut times = Vec::new();
    for kill in 0..kills {
        let place = leader().await;
        locked(&world.instances)[place].process.kill();
        let began = Instant::now();
        let next = (place + 1) % world.script.instances as usize;
        if world.write(next, &format!("k-{kill}"), &hold(kill)).await.is_some() {
            times.push(began.elapsed());
        }
        world.launch(place)?;
        // Until the one that was killed follows again, another kill would take the majority.
        let end = Instant::now() + crate::world::BACK;
        while Instant::now() < end {
            let said = world.get(place, "/cluster").await.unwrap_or_default();
            if said["majority"] == true {
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

/// A fleet of many pools: its commit, and its way to an empty member.
async fn many_pools(world: &Arc<World>, pools: usize) -> io::Result<()> {
    let (bytes, took) = world.commit_pools(pools).await?;
    println!(
        "  a commit of {pools} pools ({:.1} MB): {:.0} ms",
        bytes as f64 / 1e6,
        took.as_secs_f64() * 1e3
    );
    let took = world.newcomer().await?;
    println!("  an empty member has them after {:.0} ms", took.as_secs_f64() * 1e3);
    Ok(())
}
