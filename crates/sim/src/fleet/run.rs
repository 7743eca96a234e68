//! Runs a script: sets up its machines and callers, and has the oracle judge what they saw.

use crate::fleet::facts::{Facts, Report};
use crate::fleet::fault_injector::FaultInjector;
use crate::fleet::oracle::{self, Violation};
use crate::fleet::script::{RECOVERY_TIME, Script};
use crate::fleet::world::World;
use crate::fleet::{config_body, disruption, endpoint, observer, operator, timeline};
use crate::net::fnv1a;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// Time from the final acknowledged change until all agents and disks have it.
const PROPAGATION_WAIT: Duration = Duration::from_millis(2_500);

/// The result of a run.
pub struct Outcome {
    /// The rules that were broken, ordered by time.
    pub violations: Vec<Violation>,
    /// What was recorded.
    pub facts: Facts,
    /// Hash of all network traffic, calls and agents' reports; equal for equal runs.
    pub hash: u64,
    /// Log lines of the processes, if the run was traced.
    pub log: Vec<(Duration, String)>,
}

/// Runs a script; if `traced` is set, the log of each process is kept.
pub fn run(script: &Script, traced: bool) -> Outcome {
    fastrand::seed(script.seed);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a current-thread runtime without I/O needs only memory");
    LocalSet::new().block_on(&runtime, run_script(script.clone(), traced))
}

async fn run_script(script: Script, traced: bool) -> Outcome {
    let start = Instant::now();
    let world = World::new(script, traced);
    let script = &world.script;
    let healed = Duration::from_millis(script.healed_ms.into());
    {
        let facts = &mut world.facts.borrow_mut();
        facts.disruptions =
            script.faults.iter().flat_map(|fault| disruption::disruptions_of(script, fault)).collect();
        facts.connection_resets =
            script.faults.iter().filter_map(disruption::connection_reset_of).collect();
        facts.healed_at = healed;
    }
    let fault_injector = FaultInjector::new(world.clone());
    spawn_local(fault_injector.clone().run());
    for agent in 0..script.agents {
        spawn_local(observer::run(world.clone(), agent, fault_injector.agent_host(agent)));
    }
    for (number, plan) in script.endpoints.iter().enumerate() {
        spawn_local(endpoint::run(world.clone(), number, plan.clone()));
    }
    for request in &script.requests {
        spawn_local(operator::run(world.clone(), request.clone()));
    }
    sleep_until(start + healed + RECOVERY_TIME).await;
    finish(&world, &fault_injector).await;
    let facts = world.facts.borrow().clone();
    let violations = oracle::check(script, &facts);
    let hash = hash(world.network.hash(), &facts);
    let log = if traced { timeline::take_lines(start) } else { Vec::new() };
    Outcome { violations, facts, hash, log }
}

/// Makes a final change that every machine must receive, reads from each member, and records the content of
/// the disks.
async fn finish(world: &Rc<World>, fault_injector: &FaultInjector) {
    let acknowledged = operator::final_change(world, world.random()).await;
    world.facts.borrow_mut().last_acknowledged = acknowledged;
    sleep(PROPAGATION_WAIT).await;
    let cores = world.cores.borrow().clone();
    let mut unread = Vec::new();
    for core in cores {
        if !operator::read(world, 0, core).await {
            unread.push(core);
        }
    }
    let disks = fault_injector.running_cores().into_iter().map(|(core, host)| {
        let acceptor = host.disk.stored_acceptor();
        let value = acceptor.and_then(|acceptor| acceptor.accepted().map(|found| found.value.clone()));
        (core, value.and_then(|value| config_body::parse_config(value.config.as_slice())))
    });
    let disks = disks.collect();
    let facts = &mut world.facts.borrow_mut();
    (facts.unreadable_cores, facts.final_disks, facts.end) = (unread, disks, world.now());
}

fn hash(network_hash: u64, facts: &Facts) -> u64 {
    let mut hash = fnv1a(network_hash, &[]);
    for call in &facts.calls {
        hash = fnv1a(hash, format!("{call:?}").as_bytes());
    }
    let report_text = |report: &Report| format!("{report:?}");
    for event in &facts.events {
        let at = event.at.as_micros().to_le_bytes();
        hash = fnv1a(fnv1a(hash, &at), report_text(&event.report).as_bytes());
    }
    hash
}
