//! A round from its first process to its last read.

use super::check::{ENDED, acknowledged_drains};
use super::cluster::Cluster;
use super::endpoint::Caller;
use super::feed;
use super::history::{Did, Event, State, Version};
use super::operator::{Operator, read_from};
use super::script::Script;
use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// After all is healed, everything has to be back within this.
pub const BACK: Duration = Duration::from_secs(20);
/// How often it is looked whether everything is back.
const LOOK: Duration = Duration::from_millis(100);
const OPERATORS: u64 = 2;
const ENDPOINTS: u64 = 3;

/// Plays a round and gives its history. An error is the rig's own: nothing was judged.
pub async fn play(script: &Script) -> io::Result<Vec<Event>> {
    let cluster = Arc::new(Cluster::new(script).await?);
    let newest = Arc::new(AtomicU64::new(0));
    let operator = |number| Operator::new(cluster.clone(), number, newest.clone());
    let mut listeners = JoinSet::new();
    let mut operators: Vec<Operator> = (0..OPERATORS).map(operator).collect();
    build(&cluster, &mut operators[0], &mut listeners).await?;
    note_start(&cluster);
    let mut supervisor = JoinSet::new();
    supervisor.spawn(supervise(cluster.clone()));
    let mut callers = JoinSet::new();
    operators.into_iter().for_each(|operator| drop(callers.spawn(operator.run())));
    for number in 0..ENDPOINTS {
        callers.spawn(Caller::new(cluster.clone(), number).run());
    }
    carry_out_faults(&cluster).await?;
    while callers.join_next().await.is_some() {}
    come_back(&cluster).await?;
    cluster.end();
    listeners.abort_all();
    Ok(cluster.history.events())
}

/// Starts members again that end by themselves, and notes that they did.
async fn supervise(cluster: Arc<Cluster>) {
    loop {
        let began = cluster.history.now();
        sleep(LOOK).await;
        // A start that fails is tried again at the next look.
        let members = cluster.restart_ended().unwrap_or_default();
        if !members.is_empty() {
            let did = Did::Trouble { kind: ENDED.to_owned(), members, agents: Vec::new(), isolated: None };
            cluster.history.note("rig", began, Some(cluster.history.now()), did);
        }
    }
}

async fn build(
    cluster: &Arc<Cluster>,
    operator: &mut Operator,
    listeners: &mut JoinSet<()>,
) -> io::Result<()> {
    (0..cluster.script.members).try_for_each(|member| cluster.start(member, true))?;
    if timeout(BACK, operator.begin()).await.is_err() {
        return Err(io::Error::other(format!("no first configuration was taken\n{}", cluster.logs())));
    }
    for agent in 0..cluster.script.agents {
        cluster.start_agent(agent)?;
        listeners.spawn(feed::listen(cluster.clone(), agent));
    }
    let end = Instant::now() + BACK;
    while !(0..cluster.script.agents).all(|agent| told(cluster, agent).is_some()) {
        if Instant::now() >= end {
            return Err(io::Error::other(format!("agents have no configuration\n{}", cluster.logs())));
        }
        sleep(LOOK).await;
    }
    Ok(())
}

/// Until all stood, nobody was owed anything.
fn note_start(cluster: &Cluster) {
    let (members, agents) = ((0..cluster.script.members).collect(), (0..cluster.script.agents).collect());
    let did = Did::Trouble { kind: "start".to_owned(), members, agents, isolated: None };
    cluster.history.note("rig", 0, Some(cluster.history.now()), did);
}

/// Plays all faults to their ends, at the latest when the script is over.
async fn carry_out_faults(cluster: &Arc<Cluster>) -> io::Result<()> {
    let end = Instant::now() + Duration::from_millis(cluster.script.lasts.into());
    let mut faults = JoinSet::new();
    for fault in cluster.script.faults.clone() {
        let cluster = cluster.clone();
        faults.spawn(async move { cluster.carry_out(&fault).await });
    }
    tokio::time::sleep_until(end).await;
    cluster.heal();
    while let Some(done) = faults.join_next().await {
        done.map_err(io::Error::other)??;
    }
    cluster.links.heal();
    Ok(())
}

/// Newest version that an agent told in its present life.
fn told(cluster: &Cluster, agent: usize) -> Option<Version> {
    let now = cluster.life(agent);
    cluster.history.events().into_iter().rev().find_map(|event| match event.what {
        Did::Told { agent: whose, life, version } if (whose, life) == (agent, now) => Some(version),
        _ => None,
    })
}

/// Endpoints of which an agent has told in its present life that they drain or are gone.
fn heard(cluster: &Cluster, agent: usize) -> BTreeSet<(String, State)> {
    let now = cluster.life(agent);
    let events = cluster.history.events().into_iter();
    let heard = events.filter_map(|event| match event.what {
        Did::Heard { agent: whose, life, endpoint, state } if (whose, life) == (agent, now) => {
            Some((endpoint, state))
        }
        _ => None,
    });
    heard.collect()
}

/// What is waited for, and whether it is so.
async fn standing(cluster: &Cluster) -> Vec<(String, bool)> {
    let mut reads = Vec::new();
    for member in 0..cluster.script.members {
        reads.push(read_from(cluster, "end", member).await);
    }
    let newest = reads.iter().flatten().max().cloned();
    let mut standing = Vec::new();
    for (member, read) in reads.iter().enumerate() {
        let is_back = read.is_some() && *read == newest;
        standing.push((format!("member {member} reads {read:?} of {newest:?}"), is_back));
    }
    let drains = acknowledged_drains(&cluster.history.events());
    for agent in 0..cluster.script.agents {
        let told = told(cluster, agent);
        let is_back = told.is_some() && told == newest;
        standing.push((format!("agent {agent} has {told:?} of {newest:?}"), is_back));
        let heard = heard(cluster, agent);
        let knows = |id: &String| heard.iter().any(|(heard, _)| heard == id);
        let missing: Vec<&String> = drains.keys().filter(|id| !knows(id)).collect();
        standing.push((
            format!("agent {agent} has not heard that these drain: {missing:?}"),
            missing.is_empty(),
        ));
    }
    standing
}

/// Starts what does not run, and waits until all is as it should be.
async fn come_back(cluster: &Cluster) -> io::Result<()> {
    for member in 0..cluster.script.members {
        cluster.with_member(member, |process| process.go_on());
        cluster.start(member, false)?;
    }
    for agent in 0..cluster.script.agents {
        cluster.with_agent(agent, |process| process.go_on());
        cluster.start_agent(agent)?;
    }
    let end = Instant::now() + BACK;
    let last = loop {
        let standing = standing(cluster).await;
        if standing.iter().all(|(_, well)| *well) || Instant::now() >= end {
            break standing;
        }
        sleep(LOOK).await;
    };
    if last.iter().any(|(_, well)| !*well) {
        cluster.history.now_that("rig", Did::Logged { text: cluster.logs() });
    }
    for (what, well) in last {
        cluster.history.now_that("rig", Did::Back { what, well });
    }
    Ok(())
}
