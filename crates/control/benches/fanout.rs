//! Cost of one change: `cargo bench -p runtrack-control --bench fanout [-- MAX_PROXIES [POOL]]`.
//!
//! The control service runs in its own process; the simulated proxies run in this one, on the same cores, so that times
//! include their decoding. A change is the drain of an endpoint; its time ends when the last proxy has applied and
//! acknowledged it.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{BINARY, proxy};
use runtrack_testkit::{Control, Discovery, Proxy, target};
use std::time::{Duration, Instant};

const ROUNDS: usize = 20;

struct Cell {
    proxies: usize,
    endpoints: usize,
    pool: usize,
    incremental: bool,
}

fn fleet(sources: &[Discovery]) -> String {
    let one = common::platform_fleet(sources[0].address, "");
    let (head, tail) = one.split_once("[[listener]]").expect("a fleet has one");
    let pools = sources.iter().enumerate().skip(1);
    let pools = pools.map(|(n, d)| format!("[[pool]]\nname = \"p{n}\"\nplatform = \"{}\"\n", d.address));
    format!("{head}{}[[listener]]{tail}", pools.collect::<String>())
}

async fn wait(proxies: &[Proxy], done: impl Fn(&Proxy) -> bool) {
    let end = Instant::now() + Duration::from_secs(120);
    for proxy in proxies {
        while !done(proxy) {
            assert!(Instant::now() < end, "a proxy was never told");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

async fn measure(cell: &Cell) {
    let mut sources = Vec::new();
    for pool in 0..cell.endpoints / cell.pool {
        let at = |n: usize| {
            ([127, 0, (pool % 250) as u8, 1 + (n / 10_000) as u8], (1 + n % 10_000) as u16).into()
        };
        let list = (0..cell.pool)
            .map(|n| target(&format!("p{pool}-e{n}"), at(n), if n % 2 == 0 { "a" } else { "b" }));
        sources.push(Discovery::start(list.collect()).await);
    }
    let control = Control::start(BINARY, &fleet(&sources), "", false).await;
    let empty = loop {
        let status = control.status().await;
        let known = status["pools"].as_object().expect("pools").values().all(|p| p["known"] == true);
        if known && status["resources"]["eds"] == sources.len() {
            break control.memory_kib();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let proxies: Vec<Proxy> =
        (0..cell.proxies).map(|n| proxy(&control, &format!("proxy-{n}"), cell.incremental)).collect();
    wait(&proxies, |p| p.with(|s| s.endpoints.len() == sources.len())).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let full = control.memory_kib();
    let encodings = control.status().await["encodings"].as_u64().expect("a number");
    let (cpu, bytes): (f64, u64) = (control.cpu_s(), proxies.iter().map(|p| p.with(|s| s.bytes)).sum());
    let mut times = Vec::new();
    for round in 0..ROUNDS {
        tokio::time::sleep(Duration::from_millis(70)).await;
        let before: Vec<u64> = proxies.iter().map(|p| p.with(|s| s.responses)).collect();
        let began = Instant::now();
        sources[round % sources.len()].drain(&format!("p{}-e{round}", round % sources.len()));
        let numbered: Vec<(&Proxy, u64)> = proxies.iter().zip(before).collect();
        let end = Instant::now() + Duration::from_secs(60);
        for (proxy, before) in numbered {
            while proxy.with(|s| s.responses == before) {
                assert!(Instant::now() < end, "a proxy was never told");
                tokio::time::sleep(Duration::from_micros(200)).await;
            }
        }
        let last = proxies.iter().filter_map(|p| p.with(|s| s.last)).max().expect("told");
        times.push(last.duration_since(began));
    }
    times.sort();
    let bytes_sent: u64 = proxies.iter().map(|p| p.with(|s| s.bytes)).sum::<u64>() - bytes;
    let encoded = control.status().await["encodings"].as_u64().expect("a number") - encodings;
    println!(
        "{:>7} {:>9} {:>6} {:>11}  {:>8.1} {:>8.1}  {:>10}  {:>9.2}  {:>9.1}  {:>7.1}  {:>8.2}",
        cell.proxies,
        cell.endpoints,
        cell.pool,
        if cell.incremental { "incremental" } else { "whole" },
        times[ROUNDS / 2].as_secs_f64() * 1e3,
        times[ROUNDS - 1].as_secs_f64() * 1e3,
        bytes_sent / (ROUNDS * cell.proxies) as u64,
        (control.cpu_s() - cpu) * 1e3 / ROUNDS as f64,
        full.saturating_sub(empty) as f64 / cell.proxies as f64,
        empty as f64 / 1024.0,
        encoded as f64 / ROUNDS as f64,
    );
}

fn main() {
    let mut numbers = std::env::args().filter_map(|arg| arg.parse::<usize>().ok());
    let (max_proxies, only_pool) = (numbers.next().unwrap_or(1000), numbers.next());
    println!("one endpoint of the fleet drains; {ROUNDS} times; p99 is the worst of them");
    println!(
        "proxies endpoints   pool     variant    p50 ms   p99 ms  bytes each  CPU ms ea  KiB/proxy  MiB own  encodings"
    );
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    for pool in
        [100, 10_000].into_iter().filter(|pool| only_pool.is_none_or(|only_pool| only_pool == *pool))
    {
        for incremental in [true, false] {
            for proxies in [10, 100, 1000].into_iter().filter(|n| *n <= max_proxies) {
                for endpoints in [100, 1000, 10_000].into_iter().filter(|n| *n >= pool) {
                    runtime.block_on(measure(&Cell { proxies, endpoints, pool, incremental }));
                }
            }
        }
    }
}
