//! Simulates load balancing by each proxy's own in-flight counts when many proxies share many endpoints, without a
//! network.
//!
//! Requests are a Poisson process with exponential service times, as in the paper. Each proxy knows only its own
//! requests and uses a subset of the endpoints. The table compares the load that a request finds at its endpoint for
//! random selection, for the balancer module, and for two choices by the true loads.

use fastrand::Rng;
use runtrack_balancer::fleet::{RetryBudget, Router, SelectionRequest};
use runtrack_balancer::{EndpointId, Outcome};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Number of measured requests, after as many that warm up the simulation.
const MEASURED_REQUESTS: usize = 100_000;
const NO_RETRIES: RetryBudget = RetryBudget { ratio: 0.0, slack: 0.0, window: Duration::from_secs(1) };

/// How the endpoint of a request is selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SelectionPolicy {
    Random,
    OwnCounts,
    TrueCounts,
}

/// Distribution of the loads that requests find at their endpoints.
struct LoadSummary {
    mean: f64,
    p99: usize,
    max: usize,
}

/// Prints one row per subset size.
pub fn run(proxies: usize, endpoints: usize, load: f64) {
    println!("{proxies} proxies, {endpoints} endpoints, {load} requests in flight at each on the mean");
    println!("way           subset  load found: mean   p99  most");
    let show = |policy: SelectionPolicy, subset: usize| {
        let summary = simulate(policy, proxies, endpoints, subset, load);
        println!(
            "{:12} {subset:7} {:17.2} {:5} {:5}",
            format!("{policy:?}"),
            summary.mean,
            summary.p99,
            summary.max
        );
    };
    show(SelectionPolicy::Random, endpoints);
    let mut subset = endpoints;
    while subset >= 8 && subset * proxies >= endpoints {
        show(SelectionPolicy::OwnCounts, subset);
        subset /= 4;
    }
    show(SelectionPolicy::TrueCounts, endpoints);
}

fn simulate(
    policy: SelectionPolicy,
    proxies: usize,
    endpoints: usize,
    subset: usize,
    load: f64,
) -> LoadSummary {
    let mut fleet = SimulatedFleet::new(proxies, endpoints, subset);
    let (mut now, rate) = (0.0, endpoints as f64 * load);
    let mut load_counts = vec![0usize; 1];
    for request in 0..2 * MEASURED_REQUESTS {
        now += fleet.draw_exponential() / rate;
        let at = Duration::from_secs_f64(now);
        fleet.complete_requests_until(at);
        let proxy = fleet.rng.usize(..proxies);
        let id = fleet.choose(policy, proxy, at);
        let load = fleet.start_request(proxy, id, at);
        if request >= MEASURED_REQUESTS {
            if load_counts.len() <= load {
                load_counts.resize(load + 1, 0);
            }
            load_counts[load] += 1;
        }
    }
    summarize(&load_counts)
}

/// Proxies, their shared endpoints, and the requests in flight.
struct SimulatedFleet {
    rng: Rng,
    endpoints: Vec<EndpointId>,
    /// Endpoints used by each proxy.
    subsets: Vec<Vec<EndpointId>>,
    routers: Vec<Router>,
    /// Requests in flight per endpoint.
    loads: Vec<usize>,
    /// Completion time, proxy and endpoint of each request in flight, the earliest first.
    completions: BinaryHeap<Reverse<(Duration, usize, EndpointId)>>,
}

impl SimulatedFleet {
    /// Each proxy uses an arc of the ring of endpoints; the starts of the arcs are evenly spaced.
    fn new(proxies: usize, endpoints: usize, subset: usize) -> Self {
        let ids: Vec<EndpointId> = (0..endpoints as u64).map(EndpointId).collect();
        let arc = |proxy: usize| -> Vec<EndpointId> {
            let start = proxy * endpoints / proxies;
            (0..subset).map(|at| ids[(start + at) % endpoints]).collect()
        };
        SimulatedFleet {
            rng: Rng::with_seed(1),
            subsets: (0..proxies).map(arc).collect(),
            routers: (0..proxies).map(|seed| Router::new(seed as u64, NO_RETRIES, 1)).collect(),
            loads: vec![0; endpoints],
            completions: BinaryHeap::new(),
            endpoints: ids,
        }
    }

    /// Draws from the exponential distribution with mean 1.
    fn draw_exponential(&mut self) -> f64 {
        -self.rng.f64().max(1e-12).ln()
    }

    fn complete_requests_until(&mut self, now: Duration) {
        while let Some(Reverse((end, proxy, id))) =
            self.completions.peek().copied().filter(|Reverse((end, _, _))| *end <= now)
        {
            self.completions.pop();
            self.loads[id.0 as usize] -= 1;
            self.routers[proxy].on_ended(end, id, Outcome::Ok);
        }
    }

    fn choose(&mut self, policy: SelectionPolicy, proxy: usize, now: Duration) -> EndpointId {
        match policy {
            SelectionPolicy::Random => self.draw_endpoint(),
            SelectionPolicy::TrueCounts => {
                let (one, other) = (self.draw_endpoint(), self.draw_endpoint());
                if self.loads[one.0 as usize] <= self.loads[other.0 as usize] { one } else { other }
            }
            SelectionPolicy::OwnCounts => {
                let ready = &self.subsets[proxy];
                let request = SelectionRequest { now, ready, tried: &[], prompt: None };
                self.routers[proxy].choose(request).unwrap_or(self.endpoints[0])
            }
        }
    }

    fn draw_endpoint(&mut self) -> EndpointId {
        self.endpoints[self.rng.usize(..self.endpoints.len())]
    }

    /// Starts a request at an endpoint; returns the number of requests in flight there before it.
    fn start_request(&mut self, proxy: usize, id: EndpointId, now: Duration) -> usize {
        self.routers[proxy].on_sent(now, id, None);
        let end = now + Duration::from_secs_f64(self.draw_exponential());
        self.completions.push(Reverse((end, proxy, id)));
        let load = self.loads[id.0 as usize];
        self.loads[id.0 as usize] += 1;
        load
    }
}

fn summarize(load_counts: &[usize]) -> LoadSummary {
    let count: usize = load_counts.iter().sum();
    let mean = load_counts.iter().enumerate().map(|(load, count)| load as f64 * *count as f64).sum::<f64>()
        / count as f64;
    let (mut below, mut p99) = (0, 0);
    for (load, here) in load_counts.iter().enumerate() {
        below += here;
        if below * 100 >= count * 99 {
            p99 = load;
            break;
        }
    }
    LoadSummary { mean, p99, max: load_counts.len() - 1 }
}
