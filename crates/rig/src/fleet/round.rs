//! Runs a round of the fleet from the first process to the last read.

use super::check::{EXITED_KIND, acknowledged_drains};
use super::cluster::Cluster;
use super::endpoint::SimulatedEndpoint;
use super::feed;
use super::history::{Event, EventKind, State, Version};
use super::operator::{Operator, read_from};
use super::script::Script;
use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Time limit of recovery after all faults have ended.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
/// Poll interval of the startup, the supervisor and the recovery.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const OPERATORS: u64 = 2;
const ENDPOINTS: u64 = 3;

/// Runs a round and returns its history. An error means that the rig itself failed and nothing can be checked.
pub async fn play(script: &Script) -> io::Result<Vec<Event>> {
    let cluster = Arc::new(Cluster::new(script).await?);
    let newest = Arc::new(AtomicU64::new(0));
    let operator = |number| Operator::new(cluster.clone(), number, newest.clone());
    let mut listeners = JoinSet::new();
    let mut operators: Vec<Operator> = (0..OPERATORS).map(operator).collect();
    start_cluster(&cluster, &mut operators[0], &mut listeners).await?;
    record_start(&cluster);
    let mut supervisor = JoinSet::new();
    supervisor.spawn(supervise(cluster.clone()));
    let mut clients = JoinSet::new();
    operators.into_iter().for_each(|operator| drop(clients.spawn(operator.run())));
    for number in 0..ENDPOINTS {
        clients.spawn(SimulatedEndpoint::new(cluster.clone(), number).run());
    }
    inject_faults(&cluster).await?;
    while clients.join_next().await.is_some() {}
    wait_for_recovery(&cluster).await?;
    cluster.stop_clients();
    listeners.abort_all();
    Ok(cluster.history.events())
}

/// Restarts members that exit by themselves, and records the exits.
async fn supervise(cluster: Arc<Cluster>) {
    loop {
        let began = cluster.history.now_micros();
        sleep(POLL_INTERVAL).await;
        // A failed start is retried after the next interval.
        let members = cluster.restart_ended().unwrap_or_default();
        if !members.is_empty() {
            let observation = EventKind::Trouble {
                kind: EXITED_KIND.to_owned(),
                members,
                agents: Vec::new(),
                isolated: None,
            };
            cluster.history.record("rig", began, Some(cluster.history.now_micros()), observation);
        }
    }
}

async fn start_cluster(
    cluster: &Arc<Cluster>,
    operator: &mut Operator,
    listeners: &mut JoinSet<()>,
) -> io::Result<()> {
    (0..cluster.script.members).try_for_each(|member| cluster.start(member, true))?;
    if timeout(RECOVERY_TIMEOUT, operator.send_first_configuration()).await.is_err() {
        return Err(io::Error::other(format!(
            "the first configuration was not accepted\n{}",
            cluster.logs()
        )));
    }
    for agent in 0..cluster.script.agents {
        cluster.start_agent(agent)?;
        listeners.spawn(feed::listen(cluster.clone(), agent));
    }
    let end = Instant::now() + RECOVERY_TIMEOUT;
    while !(0..cluster.script.agents).all(|agent| reported_version(cluster, agent).is_some()) {
        if Instant::now() >= end {
            return Err(io::Error::other(format!(
                "agents did not receive the configuration\n{}",
                cluster.logs()
            )));
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Records the startup as a fault period of all members and agents, so that nothing is required of them before.
fn record_start(cluster: &Cluster) {
    let (members, agents) = ((0..cluster.script.members).collect(), (0..cluster.script.agents).collect());
    let observation = EventKind::Trouble { kind: "start".to_owned(), members, agents, isolated: None };
    cluster.history.record("rig", 0, Some(cluster.history.now_micros()), observation);
}

/// Injects all faults and ends them, at the latest when the script ends.
async fn inject_faults(cluster: &Arc<Cluster>) -> io::Result<()> {
    let end = Instant::now() + Duration::from_millis(cluster.script.lasts.into());
    let mut faults = JoinSet::new();
    for fault in cluster.script.faults.clone() {
        let cluster = cluster.clone();
        faults.spawn(async move { cluster.inject(&fault).await });
    }
    tokio::time::sleep_until(end).await;
    cluster.heal();
    while let Some(done) = faults.join_next().await {
        done.map_err(io::Error::other)??;
    }
    cluster.links.heal();
    Ok(())
}

/// Newest version that an agent has reported in its current incarnation.
fn reported_version(cluster: &Cluster, agent: usize) -> Option<Version> {
    let now = cluster.incarnation(agent);
    cluster.history.events().into_iter().rev().find_map(|event| match event.what {
        EventKind::Told { agent: whose, life, version } if (whose, life) == (agent, now) => Some(version),
        _ => None,
    })
}

/// Endpoints that an agent has reported as draining or gone in its current incarnation.
fn reported_endpoints(cluster: &Cluster, agent: usize) -> BTreeSet<(String, State)> {
    let now = cluster.incarnation(agent);
    let events = cluster.history.events().into_iter();
    let reported_endpoints = events.filter_map(|event| match event.what {
        EventKind::Heard { agent: whose, life, endpoint, state } if (whose, life) == (agent, now) => {
            Some((endpoint, state))
        }
        _ => None,
    });
    reported_endpoints.collect()
}

/// Conditions of recovery, and whether they hold.
async fn recovery_status(cluster: &Cluster) -> Vec<(String, bool)> {
    let mut reads = Vec::new();
    for member in 0..cluster.script.members {
        reads.push(read_from(cluster, "end", member).await);
    }
    let newest = reads.iter().flatten().max().cloned();
    let mut recovery_status = Vec::new();
    for (member, read) in reads.iter().enumerate() {
        let is_back = read.is_some() && *read == newest;
        recovery_status.push((format!("member {member} reads {read:?} of {newest:?}"), is_back));
    }
    let drains = acknowledged_drains(&cluster.history.events());
    for agent in 0..cluster.script.agents {
        let reported_version = reported_version(cluster, agent);
        let is_back = reported_version.is_some() && reported_version == newest;
        recovery_status.push((format!("agent {agent} has {reported_version:?} of {newest:?}"), is_back));
        let reported_endpoints = reported_endpoints(cluster, agent);
        let knows =
            |id: &String| reported_endpoints.iter().any(|(reported_endpoints, _)| reported_endpoints == id);
        let missing: Vec<&String> = drains.keys().filter(|id| !knows(id)).collect();
        recovery_status.push((
            format!("agent {agent} did not report that these drain: {missing:?}"),
            missing.is_empty(),
        ));
    }
    recovery_status
}

/// Starts all stopped processes and waits until the fleet has recovered.
async fn wait_for_recovery(cluster: &Cluster) -> io::Result<()> {
    for member in 0..cluster.script.members {
        cluster.with_member(member, |process| process.resume());
        cluster.start(member, false)?;
    }
    for agent in 0..cluster.script.agents {
        cluster.with_agent(agent, |process| process.resume());
        cluster.start_agent(agent)?;
    }
    let end = Instant::now() + RECOVERY_TIMEOUT;
    let last = loop {
        let recovery_status = recovery_status(cluster).await;
        if recovery_status.iter().all(|(_, well)| *well) || Instant::now() >= end {
            break recovery_status;
        }
        sleep(POLL_INTERVAL).await;
    };
    if last.iter().any(|(_, well)| !*well) {
        cluster.history.record_now("rig", EventKind::Logged { text: cluster.logs() });
    }
    for (what, well) in last {
        cluster.history.record_now("rig", EventKind::Back { what, well });
    }
    Ok(())
}
