//! A run: the machines and callers of a script, and what the oracle says of what they saw.

use crate::fleet::director::Director;
use crate::fleet::facts::{Facts, Told};
use crate::fleet::oracle::{self, Breach};
use crate::fleet::script::{SETTLE, Script};
use crate::fleet::world::World;
use crate::fleet::{config_body, endpoint, harm, observer, operator, timeline};
use crate::net::fnv1a;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// From the last acknowledged change until all agents and disks have it.
const LAST: Duration = Duration::from_millis(2_500);

/// What came of a run.
pub struct Outcome {
    /// Broken rules, in the order of time.
    pub breaches: Vec<Breach>,
    /// What was seen.
    pub facts: Facts,
    /// All that went over the network, and all that was seen.
    pub hash: u64,
    /// Log lines of the processes, where they were wanted.
    pub log: Vec<(Duration, String)>,
}

/// Runs a script; with `traced` the log of each process is kept.
pub fn run(script: &Script, traced: bool) -> Outcome {
    fastrand::seed(script.seed);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime needs no more than memory");
    LocalSet::new().block_on(&runtime, play(script.clone(), traced))
}

async fn play(script: Script, traced: bool) -> Outcome {
    let start = Instant::now();
    let world = World::new(script, traced);
    let script = &world.script;
    let healed = Duration::from_millis(script.healed_ms.into());
    {
        let facts = &mut world.facts.borrow_mut();
        facts.harms = script.faults.iter().flat_map(|fault| harm::of(script, fault)).collect();
        facts.resets = script.faults.iter().filter_map(harm::reset_of).collect();
        facts.healed = healed;
    }
    let director = Director::new(world.clone());
    spawn_local(director.clone().play());
    for agent in 0..script.agents {
        spawn_local(observer::play(world.clone(), agent, director.agent(agent)));
    }
    for (number, plan) in script.endpoints.iter().enumerate() {
        spawn_local(endpoint::play(world.clone(), number, plan.clone()));
    }
    for request in &script.requests {
        spawn_local(operator::play(world.clone(), request.clone()));
    }
    sleep_until(start + healed + SETTLE).await;
    finish(&world, &director).await;
    let facts = world.facts.borrow().clone();
    let breaches = oracle::judge(script, &facts);
    let hash = hash(world.wires.hash(), &facts);
    let log = if traced { timeline::take_lines(start) } else { Vec::new() };
    Outcome { breaches, facts, hash, log }
}

/// One more change, which all must have; a read at each member; what is on the disks.
async fn finish(world: &Rc<World>, director: &Director) {
    let acknowledged = operator::last_replace(world, world.draw()).await;
    world.facts.borrow_mut().last_acknowledged = acknowledged;
    sleep(LAST).await;
    let cores = world.cores.borrow().clone();
    let mut unread = Vec::new();
    for core in cores {
        if !operator::read(world, 0, core).await {
            unread.push(core);
        }
    }
    let disks = director.running().into_iter().map(|(core, host)| {
        let acceptor = host.disk.recovered();
        let value = acceptor.and_then(|acceptor| acceptor.accepted().map(|found| found.value.clone()));
        (core, value.and_then(|value| config_body::config_of(value.config.as_slice())))
    });
    let disks = disks.collect();
    let facts = &mut world.facts.borrow_mut();
    (facts.unread, facts.disks, facts.end) = (unread, disks, world.now());
}

fn hash(wires: u64, facts: &Facts) -> u64 {
    let mut hash = fnv1a(wires, &[]);
    for call in &facts.calls {
        hash = fnv1a(hash, format!("{call:?}").as_bytes());
    }
    let version = |told: &Told| format!("{told:?}");
    for word in &facts.words {
        let at = word.at.as_micros().to_le_bytes();
        hash = fnv1a(fnv1a(hash, &at), version(&word.told).as_bytes());
    }
    hash
}
