//! Runs a round: processes, links, clients, faults and recovery.

mod clients;
mod faults;
mod instances;
mod measurement;
mod proxies;
mod recovery;

use crate::history::{Event, EventKind, History};
use crate::link::{Links, locked};
use crate::process::{Process, program_path};
use crate::script::Script;
use runtrack_discovery::Target;
use runtrack_model::Fleet;
use runtrack_testkit::{Discovery, Endpoint, Proxy, TempDir, free_port, platform_fleet, target};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Tick of the consensus protocol: an election starts after 0.4 to 0.8 s without a leader.
const TICK_MS: u64 = 20;
/// Time limit of recovery after all faults have ended.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
/// A client sends a request to another instance after this time without a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Shorter limit for writes, which are retried at the next instance.
const WRITE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a write is retried.
const RETRY_DURATION: Duration = Duration::from_secs(8);
/// Interval of polling the status of an instance.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Delay until the proxies of a stopped instance connect to another one.
const PROXY_FAILOVER_DELAY: Duration = Duration::from_millis(150);
/// Number of endpoints that clients hold back and release, apart from those that drain.
const HOLD_KEYS: u32 = 5;
const ENDPOINT_COUNT: usize = 6;

pub(crate) struct Instance {
    name: String,
    pub(crate) process: Process,
    member: PathBuf,
    xds: SocketAddr,
    admin: SocketAddr,
    /// Address for the other members, where the rig's link listens.
    address: SocketAddr,
    _links: JoinSet<()>,
}

struct ConnectedProxy {
    target: watch::Sender<SocketAddr>,
    at: usize,
    proxy: Proxy,
    _link: JoinSet<()>,
}

/// State shared by all tasks of a round.
pub(crate) struct Round {
    pub(crate) script: Script,
    folder: TempDir,
    links: Links,
    history: History,
    control: PathBuf,
    ctl: PathBuf,
    mutant: Option<String>,
    /// Indexed by instance number; a replacement takes the number of the member that it replaces.
    pub(crate) instances: Mutex<Vec<Instance>>,
    proxies: Mutex<Vec<ConnectedProxy>>,
    discovery: Discovery,
    /// Address of discovery for the instances, where the rig's link listens.
    discovery_at: SocketAddr,
    _discovery_link: JoinSet<()>,
    endpoints: Vec<Endpoint>,
    drained: Mutex<Vec<usize>>,
    leader: AtomicU32,
    runs: AtomicU64,
    /// Locked while a member is replaced: the next one loses its folder only after the previous replacement has
    /// recovered.
    replacing: tokio::sync::Mutex<()>,
    healing: AtomicBool,
    stopping: AtomicBool,
}

fn at(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, host, 1], port))
}

/// The configuration of a serial, with the pool that proxies use and one whose name contains the serial.
fn canonical_fleet(discovery: SocketAddr, serial: u64) -> String {
    Fleet::from_toml(&fleet_toml(discovery, serial))
        .map(|fleet| fleet.to_canonical_json())
        .unwrap_or_default()
}

fn fleet_toml(discovery: SocketAddr, serial: u64) -> String {
    let more = format!(
        "panic_threshold = 1.0\n\n[[pool]]\nname = \"v-{serial}\"\n\
         [[pool.endpoint]]\nname = \"e\"\naddress = \"127.0.0.1:9\"\n"
    );
    platform_fleet(discovery, &more)
}

/// Parses the serial from the name of a cluster.
fn serial_of(name: &str) -> Option<u64> {
    name.split('@').next()?.strip_prefix("v-")?.parse().ok()
}

/// Runs a round and returns its history. An error means that the rig itself failed and nothing can be checked.
pub async fn play(script: &Script, mutant: Option<&str>) -> io::Result<Vec<Event>> {
    let round = Round::build(script, mutant).await?;
    let mut clients = JoinSet::new();
    for n in 0..2 {
        clients.spawn(round.clone().write_holds(n));
    }
    clients.spawn(round.clone().read_continuously());
    clients.spawn(round.clone().commit_continuously());
    let mut pollers = JoinSet::new();
    for index in 0..script.instances as usize {
        pollers.spawn(round.clone().poll_status(index));
    }
    let began = Instant::now();
    let mut faults = JoinSet::new();
    for fault in script.faults.clone() {
        let round = round.clone();
        faults.spawn(async move {
            sleep(Duration::from_millis(fault.at.into())).await;
            round.inject(&fault.what, Duration::from_millis(fault.lasts.into())).await
        });
    }
    sleep(Duration::from_millis(script.lasts.into()).saturating_sub(began.elapsed())).await;
    // Longer faults end now, except a replacement in progress, which needs a majority.
    round.healing.store(true, Ordering::SeqCst);
    round.links.heal();
    let ended = async { while faults.join_next().await.is_some() {} };
    let replaced = timeout(RECOVERY_TIMEOUT, ended).await.is_ok();
    round.links.heal();
    round
        .history
        .record_now("rig", EventKind::Back { what: "faults have ended".to_owned(), well: replaced });
    round.wait_for_recovery().await?;
    round.stopping.store(true, Ordering::SeqCst);
    while clients.join_next().await.is_some() {}
    while pollers.join_next().await.is_some() {}
    round.record_final_state().await;
    Ok(round.history.events())
}

async fn start_endpoints() -> Vec<Endpoint> {
    let mut endpoints = Vec::new();
    for _ in 0..ENDPOINT_COUNT {
        endpoints.push(Endpoint::start().await);
    }
    endpoints
}

fn targets_of(endpoints: &[Endpoint]) -> Vec<Target> {
    let numbered = endpoints.iter().enumerate();
    numbered.map(|(number, endpoint)| target(&format!("e{number}"), endpoint.address, "a")).collect()
}

impl Round {
    pub(crate) async fn build(script: &Script, mutant: Option<&str>) -> io::Result<Arc<Round>> {
        let endpoints = start_endpoints().await;
        let discovery = Discovery::start(targets_of(&endpoints)).await;
        let links = Links::default();
        let discovery_at = at(9, free_port());
        let link = links.intercept("discovery", discovery_at, discovery.address).await?;
        let round = Arc::new(Round {
            script: script.clone(),
            folder: TempDir::new(),
            links,
            history: History::default(),
            control: program_path("runtrack-control")?,
            ctl: program_path("runtrackctl")?,
            mutant: mutant.map(str::to_owned),
            instances: Mutex::default(),
            proxies: Mutex::default(),
            discovery,
            discovery_at,
            _discovery_link: link,
            endpoints,
            drained: Mutex::default(),
            leader: AtomicU32::new(0),
            runs: AtomicU64::new(0),
            replacing: tokio::sync::Mutex::default(),
            healing: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
        });
        for index in 0..script.instances as usize {
            round.add_instance(index).await?;
        }
        round.wait_for_votes_and_a_version().await?;
        for n in 0..script.proxies {
            round.add_proxy(n).await?;
        }
        round.wait_for_endpoints().await?;
        for proxy in locked(&round.proxies).iter_mut() {
            proxy.proxy.send("p", 2, Duration::from_millis(5));
        }
        Ok(round)
    }

    /// Starts an instance: the first one initializes the cluster, the others join as added members.
    async fn add_instance(self: &Arc<Self>, index: usize) -> io::Result<()> {
        let instance = self.new_instance(index, &format!("i{index}")).await?;
        if index == 0 {
            let (address, member) = (instance.address.to_string(), instance.member.display().to_string());
            let init = ["cluster", "init", "--name", "i0", "--address", &address, "--member", &member];
            self.run_ctl(&init).await?;
        } else {
            self.add_member(&instance).await?;
        }
        locked(&self.instances).push(instance);
        self.start_instance(index)?;
        self.wait_for("the instance responds", || self.clone().is_responding(index)).await
    }

    async fn wait_for_votes_and_a_version(self: &Arc<Self>) -> io::Result<()> {
        let voting = || {
            let round = self.clone();
            async move { round.voter_count().await == round.script.instances as usize }
        };
        self.wait_for("all instances are voters", voting).await?;
        let first = || {
            let round = self.clone();
            async move { round.commit(0, "first").await.is_ok_and(|serial| serial.is_some()) }
        };
        self.wait_for("the first version is committed", first).await
    }

    async fn wait_for_endpoints(self: &Arc<Self>) -> io::Result<()> {
        let all = || {
            let round = self.clone();
            async move {
                locked(&round.proxies)
                    .iter()
                    .all(|p| p.proxy.with(|s| s.ready("p").len() == ENDPOINT_COUNT))
            }
        };
        self.wait_for("proxies know all endpoints", all).await
    }

    /// Waits for a condition of the startup.
    async fn wait_for<F: Future<Output = bool>>(
        &self,
        what: &str,
        mut holds: impl FnMut() -> F,
    ) -> io::Result<()> {
        let end = Instant::now() + RECOVERY_TIMEOUT;
        while !holds().await {
            if Instant::now() >= end {
                let logs: Vec<String> = locked(&self.instances)
                    .iter()
                    .map(|i| format!("{}:\n{}", i.name, i.process.log()))
                    .collect();
                return Err(io::Error::other(format!(
                    "timed out waiting for: {what}\n{}",
                    logs.join("\n")
                )));
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }
}
