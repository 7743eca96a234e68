//! Duration of a staged roll-out: `cargo bench -p runtrack-control --bench stages [-- MAX_PROXIES]`.
//!
//! Measures the time from the commit of a plan with three stages (10%, 50%, all, no pause) to the end of the roll-out,
//! compared with the same change without stages, in one run; and the cost of load reports, with a burst of them. The
//! simulated proxies share the cores with the service. The service checks its store and the roll-out twice a second, so
//! that a stage takes at least half a second.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{BINARY, apply_change, apply_staged_change, platform_fleet, proxy};
use runtrack_testkit::{Control, Discovery, Proxy, ScriptedLoad, TempDir, connect, target, url};
use std::time::{Duration, Instant};

const ROUNDS: usize = 7;
const REPORTS: u64 = 200_000;
const POOLS: usize = 20;

fn fleet(discovery: &Discovery, more: usize) -> String {
    let pool = |n: usize| {
        format!(
            "\n[[pool]]\nname = \"q{n}\"\n[[pool.endpoint]]\nname = \"e\"\naddress = \"127.0.0.1:7999\"\n"
        )
    };
    platform_fleet(discovery.address, &(0..more).map(pool).collect::<String>())
}

fn has(proxy: &Proxy, pool: &str) -> bool {
    proxy.with(|state| state.versions.get(url("cds")).is_some_and(|held| held.contains_key(pool)))
}

async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) -> Duration {
    let began = Instant::now();
    while !holds().await {
        assert!(began.elapsed() < Duration::from_secs(120), "never came: {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    began.elapsed()
}

fn median(mut times: Vec<Duration>) -> (f64, f64) {
    times.sort();
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    (ms(times[times.len() / 2]), ms(times[times.len() - 1]))
}

async fn measure(count: usize) {
    let (folder, discovery) =
        (TempDir::new(), Discovery::start(vec![target("e0", ([127, 0, 0, 1], 7000).into(), "")]).await);
    apply_change(folder.path(), &fleet(&discovery, 0));
    let control = Control::start_on_store(BINARY, folder.path(), "").await;
    let proxies: Vec<Proxy> = (0..count).map(|n| proxy(&control, &format!("node-{n}"), true)).collect();
    until("the list", async || proxies.iter().all(|proxy| has(proxy, "p"))).await;
    let (mut at_once, mut staged) = (Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        for (times, stages) in [(&mut at_once, &[][..]), (&mut staged, &[1000, 5000, 10_000][..])] {
            apply_change(folder.path(), &fleet(&discovery, 0));
            until("the way back", async || proxies.iter().all(|proxy| !has(proxy, "q0"))).await;
            // Varies the phase relative to the service's checks.
            tokio::time::sleep(Duration::from_millis(700 + 61 * round as u64)).await;
            let began = Instant::now();
            let serial = apply_staged_change(folder.path(), &fleet(&discovery, 1), stages, 0);
            until("all have it", async || proxies.iter().all(|proxy| has(proxy, "q0"))).await;
            until("it is over", async || {
                let status = control.status().await;
                status["serial"] == serial && status["rollout"].is_null()
            })
            .await;
            times.push(began.elapsed());
        }
    }
    let ((once, once_most), (stages, stages_most)) = (median(at_once), median(staged));
    println!(
        "{count:>5} proxies: at once {once:.0} ms (worst {once_most:.0}), three stages {stages:.0} ms \
         (worst {stages_most:.0}), {:.0} ms a stage",
        (stages - once).max(0.0) / 3.0
    );
}

async fn reports() {
    let discovery = Discovery::start(vec![target("e0", ([127, 0, 0, 1], 7000).into(), "")]).await;
    let settings = "\n[limits]\nrequests_per_s = 1000000.0\n";
    let control = Control::start(BINARY, &fleet(&discovery, POOLS), settings, false).await;
    let mut stream = ScriptedLoad::open(connect(control.xds).await, "node-0").await;
    stream.next().await.expect("it asks for reports");
    let (cpu, memory) = (control.cpu_s(), control.memory_kib());
    for n in 0..REPORTS {
        stream.report(&format!("q{}", n as usize % POOLS), 100, 1, 100);
    }
    until("they are taken", async || control.status().await["loads"]["reports"] == REPORTS).await;
    println!(
        "{REPORTS} reports of one pool each: {:.0} us of the service's processor a report, {} KiB more memory",
        (control.cpu_s() - cpu) * 1e6 / REPORTS as f64,
        control.memory_kib().saturating_sub(memory)
    );
}

fn main() {
    let max_proxies = std::env::args().filter_map(|arg| arg.parse().ok()).next().unwrap_or(1000);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        for count in [10, 100, 1000].into_iter().filter(|count| *count <= max_proxies) {
            measure(count).await;
        }
        reports().await;
    });
}
