//! A round: processes, links, people at work, faults, and the way back.

mod back;
mod faults;
mod figures;
mod instances;
mod people;
mod proxies;

use crate::history::{Did, Event, History};
use crate::link::{Links, locked};
use crate::process::{Process, program};
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

/// The tick of the agreement: an election is due after 0.4 to 0.8 s without a leader.
const TICK_MS: u64 = 20;
/// After all is healed, everything has to be back within this.
pub const BACK: Duration = Duration::from_secs(20);
/// Somebody who has no answer after so long asks another instance.
const ANSWER: Duration = Duration::from_secs(3);
/// Somebody who writes asks the next one sooner.
const WRITE_ANSWER: Duration = Duration::from_secs(1);
/// A write is repeated for so long.
const REPEATS: Duration = Duration::from_secs(8);
/// How often it is looked how an instance stands.
const LOOK: Duration = Duration::from_millis(40);
/// A proxy whose instance ended finds another one after so long.
const FINDS: Duration = Duration::from_millis(150);
/// Endpoints that people hold back and release, beside those that drain.
const KEYS: u32 = 5;
const ENDPOINTS: usize = 6;

pub(crate) struct Instance {
    name: String,
    pub(crate) process: Process,
    member: PathBuf,
    xds: SocketAddr,
    admin: SocketAddr,
    /// Where others reach it: the rig's link.
    address: SocketAddr,
    _links: JoinSet<()>,
}

struct ProxyAt {
    target: watch::Sender<SocketAddr>,
    at: usize,
    proxy: Proxy,
    _link: JoinSet<()>,
}

/// What all tasks of a round share.
pub(crate) struct World {
    pub(crate) script: Script,
    folder: TempDir,
    links: Links,
    history: History,
    control: PathBuf,
    ctl: PathBuf,
    mutant: Option<String>,
    /// By place: a member that is replaced keeps its predecessor's place.
    pub(crate) instances: Mutex<Vec<Instance>>,
    proxies: Mutex<Vec<ProxyAt>>,
    discovery: Discovery,
    /// Where instances find discovery: the rig's link.
    discovery_at: SocketAddr,
    _before_discovery: JoinSet<()>,
    endpoints: Vec<Endpoint>,
    drained: Mutex<Vec<usize>>,
    leader: AtomicU32,
    runs: AtomicU64,
    /// Held while a member is replaced: the next one loses its folder only once the one before has come back.
    replacing: tokio::sync::Mutex<()>,
    healing: AtomicBool,
    over: AtomicBool,
}

fn at(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, host, 1], port))
}

/// The fleet of a serial: the pool that proxies send to, and one whose name says the serial.
fn fleet(discovery: SocketAddr, serial: u64) -> String {
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

/// The serial that a cluster's name says.
fn serial_of(name: &str) -> Option<u64> {
    name.split('@').next()?.strip_prefix("v-")?.parse().ok()
}

/// Plays a round and gives its history. An error is the rig's own: nothing was judged.
pub async fn play(script: &Script, mutant: Option<&str>) -> io::Result<Vec<Event>> {
    let world = World::build(script, mutant).await?;
    let mut people = JoinSet::new();
    for n in 0..2 {
        people.spawn(world.clone().holder(n));
    }
    people.spawn(world.clone().reader());
    people.spawn(world.clone().committer());
    let mut looks = JoinSet::new();
    for place in 0..script.instances as usize {
        looks.spawn(world.clone().look(place));
    }
    let began = Instant::now();
    let mut faults = JoinSet::new();
    for fault in script.faults.clone() {
        let world = world.clone();
        faults.spawn(async move {
            sleep(Duration::from_millis(fault.at.into())).await;
            world.fault(&fault.what, Duration::from_millis(fault.lasts.into())).await
        });
    }
    sleep(Duration::from_millis(script.lasts.into()).saturating_sub(began.elapsed())).await;
    // Faults that last longer end now, but for a replacement under way, which waits for a majority.
    world.healing.store(true, Ordering::SeqCst);
    world.links.heal();
    let ended = async { while faults.join_next().await.is_some() {} };
    let replaced = timeout(BACK, ended).await.is_ok();
    world.links.heal();
    world.history.now_that("rig", Did::Back { what: "faults have ended".to_owned(), well: replaced });
    world.come_back().await?;
    world.over.store(true, Ordering::SeqCst);
    while people.join_next().await.is_some() {}
    while looks.join_next().await.is_some() {}
    world.finish().await;
    Ok(world.history.events())
}

async fn start_endpoints() -> Vec<Endpoint> {
    let mut endpoints = Vec::new();
    for _ in 0..ENDPOINTS {
        endpoints.push(Endpoint::start().await);
    }
    endpoints
}

fn targets_of(endpoints: &[Endpoint]) -> Vec<Target> {
    let numbered = endpoints.iter().enumerate();
    numbered.map(|(number, endpoint)| target(&format!("e{number}"), endpoint.address, "a")).collect()
}

impl World {
    pub(crate) async fn build(script: &Script, mutant: Option<&str>) -> io::Result<Arc<World>> {
        let endpoints = start_endpoints().await;
        let discovery = Discovery::start(targets_of(&endpoints)).await;
        let links = Links::default();
        let discovery_at = at(9, free_port());
        let before = links.stand_before("discovery", discovery_at, discovery.address).await?;
        let world = Arc::new(World {
            script: script.clone(),
            folder: TempDir::new(),
            links,
            history: History::default(),
            control: program("runtrack-control")?,
            ctl: program("runtrackctl")?,
            mutant: mutant.map(str::to_owned),
            instances: Mutex::default(),
            proxies: Mutex::default(),
            discovery,
            discovery_at,
            _before_discovery: before,
            endpoints,
            drained: Mutex::default(),
            leader: AtomicU32::new(0),
            runs: AtomicU64::new(0),
            replacing: tokio::sync::Mutex::default(),
            healing: AtomicBool::new(false),
            over: AtomicBool::new(false),
        });
        for place in 0..script.instances as usize {
            world.add_instance(place).await?;
        }
        world.wait_for_votes_and_a_version().await?;
        for n in 0..script.proxies {
            world.add_proxy(n).await?;
        }
        world.wait_for_endpoints().await?;
        for proxy in locked(&world.proxies).iter_mut() {
            proxy.proxy.send("p", 2, Duration::from_millis(5));
        }
        Ok(world)
    }

    /// Starts an instance, the first one as a cluster of its own, the others as invited members.
    async fn add_instance(self: &Arc<Self>, place: usize) -> io::Result<()> {
        let instance = self.instance(place, &format!("i{place}")).await?;
        if place == 0 {
            let (address, member) = (instance.address.to_string(), instance.member.display().to_string());
            let init = ["cluster", "init", "--name", "i0", "--address", &address, "--member", &member];
            self.ctl(&init).await?;
        } else {
            self.invite(&instance).await?;
        }
        locked(&self.instances).push(instance);
        self.launch(place)?;
        self.until("it answers", || self.clone().answers(place)).await
    }

    async fn wait_for_votes_and_a_version(self: &Arc<Self>) -> io::Result<()> {
        let voting = || {
            let world = self.clone();
            async move { world.voters().await == world.script.instances as usize }
        };
        self.until("all vote", voting).await?;
        let first = || {
            let world = self.clone();
            async move { world.commit(0, "first").await.is_ok_and(|serial| serial.is_some()) }
        };
        self.until("a first version", first).await
    }

    async fn wait_for_endpoints(self: &Arc<Self>) -> io::Result<()> {
        let all = || {
            let world = self.clone();
            async move {
                locked(&world.proxies).iter().all(|p| p.proxy.with(|s| s.ready("p").len() == ENDPOINTS))
            }
        };
        self.until("proxies know all endpoints", all).await
    }

    /// Waits for a condition of the build-up.
    async fn until<F: Future<Output = bool>>(
        &self,
        what: &str,
        mut holds: impl FnMut() -> F,
    ) -> io::Result<()> {
        let end = Instant::now() + BACK;
        while !holds().await {
            if Instant::now() >= end {
                let logs: Vec<String> = locked(&self.instances)
                    .iter()
                    .map(|i| format!("{}:\n{}", i.name, i.process.log()))
                    .collect();
                return Err(io::Error::other(format!("never came: {what}\n{}", logs.join("\n"))));
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }
}
