//! What own counts are worth where many proxies share many endpoints: the choice alone, without a network.
//!
//! Requests come as a Poisson process and take exponential times, as in the paper; each proxy knows its own calls only
//! and uses a subset of the endpoints. Compared are the load that a request finds at its endpoint, for one random choice,
//! for the module, and for two choices on true loads.

use fastrand::Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use weirwharf::fleet::{RetryBudget, Router, SelectionRequest};
use weirwharf::{EndpointId, Outcome};

/// Requests that are counted, after as many that only fill the fleet.
const REQUESTS: usize = 100_000;
const SECOND: RetryBudget = RetryBudget { ratio: 0.0, slack: 0.0, window: Duration::from_secs(1) };

/// How a request's endpoint is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Random,
    OwnCounts,
    TrueCounts,
}

/// Loads found, by how many requests found them.
struct Found {
    mean: f64,
    p99: usize,
    most: usize,
}

/// Prints a row for each subset size.
pub fn run(proxies: usize, endpoints: usize, load: f64) {
    println!("{proxies} proxies, {endpoints} endpoints, {load} requests in flight at each on the mean");
    println!("way           subset  load found: mean   p99  most");
    let show = |way: Way, subset: usize| {
        let found = play(way, proxies, endpoints, subset, load);
        println!(
            "{:12} {subset:7} {:17.2} {:5} {:5}",
            format!("{way:?}"),
            found.mean,
            found.p99,
            found.most
        );
    };
    show(Way::Random, endpoints);
    let mut subset = endpoints;
    while subset >= 8 && subset * proxies >= endpoints {
        show(Way::OwnCounts, subset);
        subset /= 4;
    }
    show(Way::TrueCounts, endpoints);
}

fn play(way: Way, proxies: usize, endpoints: usize, subset: usize, load: f64) -> Found {
    let mut rng = Rng::with_seed(1);
    let ids: Vec<EndpointId> = (0..endpoints as u64).map(EndpointId).collect();
    // Each proxy uses an arc of the ring of endpoints; the arcs' starts are spread evenly.
    let part = |proxy: usize| -> Vec<EndpointId> {
        let start = proxy * endpoints / proxies;
        (0..subset).map(|at| ids[(start + at) % endpoints]).collect()
    };
    let parts: Vec<Vec<EndpointId>> = (0..proxies).map(part).collect();
    let mut routers: Vec<Router> = (0..proxies).map(|seed| Router::new(seed as u64, SECOND, 1)).collect();
    let mut loads = vec![0usize; endpoints];
    let mut ends: BinaryHeap<Reverse<(Duration, usize, EndpointId)>> = BinaryHeap::new();
    let (mut now, rate) = (0.0, endpoints as f64 * load);
    let mut found = vec![0usize; 1];
    for request in 0..2 * REQUESTS {
        now += -rng.f64().max(1e-12).ln() / rate;
        let at = Duration::from_secs_f64(now);
        while let Some(Reverse((end, proxy, id))) =
            ends.peek().copied().filter(|Reverse((end, _, _))| *end <= at)
        {
            ends.pop();
            loads[id.0 as usize] -= 1;
            routers[proxy].ended(end, id, Outcome::Ok);
        }
        let proxy = rng.usize(..proxies);
        let id = match way {
            Way::Random => ids[rng.usize(..endpoints)],
            Way::TrueCounts => {
                let (one, other) = (ids[rng.usize(..endpoints)], ids[rng.usize(..endpoints)]);
                if loads[one.0 as usize] <= loads[other.0 as usize] { one } else { other }
            }
            Way::OwnCounts => {
                let ask = SelectionRequest { now: at, ready: &parts[proxy], tried: &[], prompt: None };
                routers[proxy].choose(ask).unwrap_or(ids[0])
            }
        };
        routers[proxy].sent(id, None);
        let place = &mut loads[id.0 as usize];
        if request >= REQUESTS {
            if found.len() <= *place {
                found.resize(*place + 1, 0);
            }
            found[*place] += 1;
        }
        *place += 1;
        ends.push(Reverse((at + Duration::from_secs_f64(-rng.f64().max(1e-12).ln()), proxy, id)));
    }
    summary(&found)
}

fn summary(found: &[usize]) -> Found {
    let count: usize = found.iter().sum();
    let mean = found.iter().enumerate().map(|(load, count)| load as f64 * *count as f64).sum::<f64>()
        / count as f64;
    let (mut below, mut p99) = (0, 0);
    for (load, here) in found.iter().enumerate() {
        below += here;
        if below * 100 >= count * 99 {
            p99 = load;
            break;
        }
    }
    Found { mean, p99, most: found.len() - 1 }
}
