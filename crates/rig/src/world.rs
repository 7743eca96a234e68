//! A round: processes, links, people at work, faults, and the way back.

use crate::history::{Did, Event, History};
use crate::link::{Links, Rule, flap, locked};
use crate::process::{Process, program};
use crate::script::{How, Script, What, Who};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use runtrack_discovery::Target;
use runtrack_model::Fleet;
use runtrack_testkit::{
    Discovery, Endpoint, Folder, Proxy, ProxyTo, ask, free_port, memory_kib, platform_fleet, target,
};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
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
    folder: Folder,
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
    healing: AtomicBool,
    over: AtomicBool,
}

fn at(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, host, 1], port))
}

/// The fleet of a serial: the pool that proxies send to, and one whose name says the serial.
fn fleet(discovery: SocketAddr, serial: u64) -> String {
    Fleet::read(&fleet_toml(discovery, serial)).map(|fleet| fleet.canonical()).unwrap_or_default()
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

impl World {
    pub(crate) async fn build(script: &Script, mutant: Option<&str>) -> io::Result<Arc<World>> {
        let mut endpoints = Vec::new();
        for _ in 0..ENDPOINTS {
            endpoints.push(Endpoint::start().await);
        }
        let targets: Vec<Target> =
            endpoints.iter().enumerate().map(|(n, e)| target(&format!("e{n}"), e.address, "a")).collect();
        let discovery = Discovery::start(targets).await;
        let links = Links::default();
        let discovery_at = at(9, free_port());
        let before = links.stand_before("discovery", discovery_at, discovery.address).await?;
        let world = Arc::new(World {
            script: script.clone(),
            folder: Folder::new(),
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
            healing: AtomicBool::new(false),
            over: AtomicBool::new(false),
        });
        for place in 0..script.instances as usize {
            let instance = world.instance(place, &format!("i{place}")).await?;
            if place == 0 {
                world
                    .ctl(&[
                        "cluster",
                        "init",
                        "--name",
                        "i0",
                        "--address",
                        &instance.address.to_string(),
                        "--member",
                        &instance.member.display().to_string(),
                    ])
                    .await?;
            } else {
                world.invite(&instance).await?;
            }
            locked(&world.instances).push(instance);
            world.launch(place)?;
            world.until("it answers", || world.clone().answers(place)).await?;
        }
        let voting = || {
            let world = world.clone();
            async move { world.voters().await == world.script.instances as usize }
        };
        world.until("all vote", voting).await?;
        // The first version.
        let first = || {
            let world = world.clone();
            async move { world.commit(0, "first").await.is_ok_and(|serial| serial.is_some()) }
        };
        world.until("a first version", first).await?;
        for n in 0..script.proxies {
            world.add_proxy(n).await?;
        }
        let all = || {
            let world = world.clone();
            async move {
                locked(&world.proxies).iter().all(|p| p.proxy.with(|s| s.ready("p").len() == ENDPOINTS))
            }
        };
        world.until("proxies know all endpoints", all).await?;
        for proxy in locked(&world.proxies).iter_mut() {
            proxy.proxy.send("p", 2, Duration::from_millis(5));
        }
        Ok(world)
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

    async fn instance(&self, place: usize, name: &str) -> io::Result<Instance> {
        let host = 20 + place as u8;
        let (listen, address) = (at(host, free_port()), at(100 + place as u8, free_port()));
        let (xds, admin) = (at(host, free_port()), at(host, free_port()));
        let member = self.folder.path().join(name);
        let text = format!(
            "listen = \"{xds}\"\nadmin = \"{admin}\"\n[cluster]\nmember = \"{name}\"\nlisten = \"{listen}\"\ntick_ms = {TICK_MS}\nlog_bytes = 20000\n"
        );
        let config = self.folder.write(&format!("{name}.toml"), &text);
        let args = vec!["serve".to_owned(), "--config".to_owned(), config.display().to_string()];
        let log = self.folder.path().join(format!("{name}.log"));
        let process = Process::new(self.control.clone(), args, &log, self.mutant.as_deref());
        let links = self.links.stand_before(&format!("i{place}"), address, listen).await?;
        Ok(Instance { name: name.to_owned(), process, member, xds, admin, address, _links: links })
    }

    /// Runs `runtrackctl`, for as long as a person would wait.
    async fn ctl(&self, args: &[&str]) -> io::Result<String> {
        let admins: Vec<String> = locked(&self.instances).iter().map(|i| i.admin.to_string()).collect();
        let mut command = tokio::process::Command::new(&self.ctl);
        command.args(args).env("RUNTRACK_CLUSTER", admins.join(",")).kill_on_drop(true);
        let done = timeout(BACK, command.output()).await.map_err(|_| io::ErrorKind::TimedOut)??;
        match done.status.success() {
            true => Ok(String::from_utf8_lossy(&done.stdout).into_owned()),
            false => Err(io::Error::other(format!("{args:?}: {}", String::from_utf8_lossy(&done.stderr)))),
        }
    }

    /// Adds a member and makes its folder.
    async fn invite(&self, instance: &Instance) -> io::Result<()> {
        let file = self.folder.path().join(format!("{}.json", instance.name)).display().to_string();
        self.ctl(&["cluster", "add", &instance.name, &instance.address.to_string(), "-o", &file]).await?;
        self.ctl(&["cluster", "join", &file, "--member", &instance.member.display().to_string()]).await?;
        Ok(())
    }

    pub(crate) fn launch(&self, place: usize) -> io::Result<()> {
        let instance = &mut locked(&self.instances)[place];
        if instance.process.pid().is_none() || instance.process.has_ended() {
            let pid = instance.process.start()?;
            self.links.name(pid, &format!("i{place}"));
            self.runs.fetch_add(1, Ordering::SeqCst);
        }
        Ok(())
    }

    fn admin(&self, place: usize) -> SocketAddr {
        locked(&self.instances)[place].admin
    }

    pub(crate) async fn get(&self, place: usize, path: &str) -> Option<Value> {
        let answer = timeout(ANSWER, ask(self.admin(place), "GET", path, "")).await.ok()?.ok()?;
        (answer.0 == 200).then(|| serde_json::from_str(&answer.1).ok()).flatten()
    }

    async fn answers(self: Arc<Self>, place: usize) -> bool {
        self.get(place, "/cluster").await.is_some()
    }

    async fn voters(&self) -> usize {
        let said = self.get(0, "/cluster").await.unwrap_or_default();
        let members = said["members"].as_array().into_iter().flatten();
        members.filter(|member| member["voter"] == true).count()
    }

    async fn add_proxy(&self, n: u32) -> io::Result<()> {
        let at_instance = (n % self.script.instances) as usize;
        let xds = locked(&self.instances)[at_instance].xds;
        let (target, receiver) = watch::channel(xds);
        let (id, from) = (format!("p{n}"), at(50 + n as u8, free_port()));
        let link = self.links.lead(&id, "xds", from, receiver).await?;
        let to = ProxyTo { control: from, id: id.clone(), zone: String::new(), incremental: n % 2 == 1 };
        self.history.now_that(&id, Did::Fault { what: format!("served by {at_instance}") });
        locked(&self.proxies).push(ProxyAt {
            target,
            at: at_instance,
            proxy: Proxy::start(to),
            _link: link,
        });
        Ok(())
    }

    /// A proxy goes over to another instance.
    fn lead(&self, proxy: usize, to: usize) {
        let xds = locked(&self.instances)[to].xds;
        let mut proxies = locked(&self.proxies);
        let Some(proxy_at) = proxies.get_mut(proxy) else { return };
        if proxy_at.at != to {
            proxy_at.at = to;
            self.history.now_that(&format!("p{proxy}"), Did::Fault { what: format!("served by {to}") });
        }
        proxy_at.target.send_replace(xds);
    }

    /// Proxies of an instance that ended find another one that runs.
    async fn flee(&self, place: usize) {
        sleep(FINDS).await;
        let running = {
            let mut instances = locked(&self.instances);
            (0..instances.len())
                .filter(|n| instances[*n].process.pid().is_some() && !instances[*n].process.has_ended())
                .collect::<Vec<_>>()
        };
        let theirs: Vec<usize> = locked(&self.proxies)
            .iter()
            .enumerate()
            .filter(|(_, p)| p.at == place)
            .map(|(n, _)| n)
            .collect();
        for (n, proxy) in theirs.into_iter().enumerate() {
            if let Some(to) = running.get(n % running.len().max(1)) {
                self.lead(proxy, *to);
            }
        }
    }

    // ---- for figures ----

    pub(crate) fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    /// Bytes that went through links so far.
    pub(crate) fn bytes(&self) -> u64 {
        self.links.bytes()
    }

    /// Resident memory of each instance, in KiB.
    pub(crate) fn memory_kib(&self) -> Vec<u64> {
        let instances = locked(&self.instances);
        instances.iter().filter_map(|instance| instance.process.pid()).map(memory_kib).collect()
    }

    /// Commits a fleet of so many pools; gives its bytes, and how long that took.
    pub(crate) async fn commit_pools(&self, pools: usize) -> io::Result<(usize, Duration)> {
        let mut toml = fleet_toml(self.discovery_at, 2);
        for n in 0..pools {
            toml.push_str(&format!(
                "[[pool]]\nname = \"q-{n}\"\n[[pool.endpoint]]\nname = \"e\"\naddress = \"127.0.0.1:9\"\n"
            ));
        }
        let text = Fleet::read(&toml)
            .map(|fleet| fleet.canonical())
            .map_err(|e| io::Error::other(e.to_string()))?;
        let bytes = text.len();
        let began = Instant::now();
        match self.commit_text(0, "pools", |_| text.clone()).await? {
            Some(_) => Ok((bytes, began.elapsed())),
            None => Err(io::Error::other("the fleet of many pools was not committed")),
        }
    }

    /// Starts an empty member; gives how long it takes until that has the current version.
    pub(crate) async fn newcomer(&self) -> io::Result<Duration> {
        let wanted = self.get(0, "/cluster").await.unwrap_or_default()["serial"].as_u64();
        let place = locked(&self.instances).len();
        let instance = self.instance(place, "late").await?;
        self.invite(&instance).await?;
        locked(&self.instances).push(instance);
        self.launch(place)?;
        let began = Instant::now();
        while self.get(place, "/cluster").await.unwrap_or_default()["serial"].as_u64() != wanted {
            if began.elapsed() > 3 * BACK {
                return Err(io::Error::other("the new member never had the current version"));
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(began.elapsed())
    }

    // ---- what goes wrong ----

    fn place(&self, who: Who) -> usize {
        let place = match who {
            Who::Leader => self.leader.load(Ordering::SeqCst),
            Who::Instance(place) => place,
        };
        (place % self.script.instances) as usize
    }

    /// Waits, at most until everything is healed.
    async fn lasts(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end && !self.healing.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(20).min(end - Instant::now())).await;
        }
    }

    async fn fault(&self, what: &What, lasts: Duration) {
        let say = |who: &str, what: &str| self.history.now_that(who, Did::Fault { what: what.to_owned() });
        let others =
            |place: usize| (0..self.script.instances as usize).filter(move |other| *other != place);
        let name = |place: usize| format!("i{place}");
        match *what {
            What::Cut { who, how } => {
                let place = self.place(who);
                let pairs = others(place)
                    .flat_map(|other| [(name(place), name(other)), (name(other), name(place))]);
                self.spoil(&pairs.collect::<Vec<_>>(), place, how, lasts).await;
            }
            What::Link { from, to, how } => {
                let (from, to) = (self.place(from), self.place(to));
                let pairs = [(name(from), name(to)), (name(to), name(from))];
                self.spoil(&pairs, from, how, lasts).await;
            }
            What::Blind { who } => {
                let place = self.place(who);
                say(&name(place), "blind");
                let set = |held| {
                    self.links.set(&name(place), "discovery", |rule| {
                        (rule.there.held, rule.back.held) = (held, held)
                    })
                };
                set(true);
                self.lasts(lasts).await;
                set(false);
                say(&name(place), "sees");
            }
            What::Kill { who } | What::End { who } => {
                let place = self.place(who);
                say(&name(place), "down");
                let process = |with: fn(&mut Process)| with(&mut locked(&self.instances)[place].process);
                process(if matches!(what, What::End { .. }) { Process::end } else { Process::kill });
                self.flee(place).await;
                self.lasts(lasts).await;
                let _ = self.launch(place);
                say(&name(place), "up");
            }
            What::Lose { who } => {
                let place = self.place(who);
                say(&name(place), "lost");
                self.replace(place, lasts).await;
                say(&name(place), "replaced");
            }
            What::Stop { who } => {
                let place = self.place(who);
                say(&name(place), "stopped");
                locked(&self.instances)[place].process.stop();
                self.lasts(lasts).await;
                locked(&self.instances)[place].process.go_on();
                say(&name(place), "goes on");
            }
            What::PowerOff => {
                say("all", "power off");
                for place in 0..self.script.instances as usize {
                    say(&name(place), "down");
                }
                locked(&self.instances).iter_mut().for_each(|instance| instance.process.kill());
                self.lasts(lasts).await;
                for place in 0..self.script.instances as usize {
                    let _ = self.launch(place);
                    say(&name(place), "up");
                }
            }
            What::Drain => {
                let endpoint = {
                    let mut drained = locked(&self.drained);
                    let next = drained.len();
                    drained.push(next);
                    next
                };
                if endpoint + 2 < ENDPOINTS {
                    let count = endpoint as u64 + 1;
                    self.discovery.drain(&format!("e{endpoint}"));
                    let endpoint = self.endpoints[endpoint].address.to_string();
                    self.history.now_that("discovery", Did::Drained { endpoint, count });
                }
            }
            What::Apply => self.apply().await,
            What::Move { proxy, to } => self.lead(proxy as usize, to as usize),
            What::Transfer { to } => {
                say(&name(to as usize), "is to lead");
                let name = locked(&self.instances)[to as usize].name.clone();
                let _ = timeout(ANSWER, self.ctl(&["cluster", "transfer", &name])).await; // it may be in vain
            }
        }
    }

    async fn spoil(&self, pairs: &[(String, String)], place: usize, how: How, lasts: Duration) {
        self.history
            .now_that(&format!("i{place}"), Did::Fault { what: format!("links {how:?} {pairs:?}") });
        let set = |change: &dyn Fn(&mut Rule, bool)| {
            for (from, to) in pairs {
                // There is away from the one that is cut off, whoever connects.
                let away = *from == format!("i{place}");
                self.links.set(from, to, |rule| change(rule, away));
            }
        };
        match how {
            How::Held => set(&|rule, _| (rule.there.held, rule.back.held) = (true, true)),
            How::HeldThere => {
                set(&|rule, away| if away { rule.there.held = true } else { rule.back.held = true })
            }
            How::HeldBack => {
                set(&|rule, away| if away { rule.back.held = true } else { rule.there.held = true })
            }
            How::Refused => set(&|rule, _| rule.refused = true),
            How::Reset => set(&|rule, _| rule.resets += 1),
            How::Late(ms) => set(&|rule, _| {
                (rule.there.late, rule.back.late) =
                    (Duration::from_millis(ms.into()), Duration::from_millis(ms.into()))
            }),
            How::Slow(kib) => set(&|rule, _| (rule.there.rate, rule.back.rate) = (kib << 10, kib << 10)),
            How::Flaps(times) => {
                let flaps = flap(&self.links, pairs, times);
                tokio::select! {
                    () = flaps => {}
                    () = self.lasts(lasts) => {}
                }
            }
        }
        self.lasts(if matches!(how, How::Flaps(_)) { Duration::ZERO } else { lasts }).await;
        set(&|rule, _| *rule = Rule { resets: rule.resets, ..Rule::default() });
        self.history.now_that(&format!("i{place}"), Did::Fault { what: "links open".to_owned() });
    }

    /// A member's folder is lost: it is removed, and another one takes its place.
    async fn replace(&self, place: usize, lasts: Duration) {
        let (old, folder) = {
            let instance = &mut locked(&self.instances)[place];
            instance.process.kill();
            (instance.name.clone(), instance.member.clone())
        };
        let _ = std::fs::remove_dir_all(folder);
        self.flee(place).await;
        self.lasts(lasts).await;
        let new = format!("{old}n");
        let Ok(instance) = self.instance(place, &new).await else { return };
        let end = Instant::now() + 2 * BACK;
        // Each step is repeated until a majority has taken it.
        let steps = [vec!["cluster", "remove", &old]];
        for step in &steps {
            while let Err(problem) = self.ctl(step).await {
                if problem.to_string().contains("no member") || Instant::now() >= end {
                    break;
                }
            }
        }
        while let Err(problem) = self.invite(&instance).await {
            if Instant::now() >= end {
                return self
                    .history
                    .now_that("rig", Did::Fault { what: format!("not replaced: {problem}") });
            }
        }
        let xds = instance.xds;
        locked(&self.instances)[place] = instance;
        let _ = self.launch(place);
        for proxy in locked(&self.proxies).iter().filter(|proxy| proxy.at == place) {
            proxy.target.send_replace(xds);
        }
    }

    // ---- people at work ----

    fn draws(&self, who: u64) -> Pcg32 {
        Pcg32::seed_from_u64(self.script.seed.wrapping_mul(31).wrapping_add(who))
    }

    fn goes_on(&self) -> bool {
        !self.over.load(Ordering::SeqCst)
    }

    /// Asks one instance after the other until one knows; none: nobody does.
    pub(crate) async fn write(
        &self,
        first: usize,
        id: &str,
        command: &Value,
    ) -> Option<Result<Value, String>> {
        let body = json!({"id": id, "command": command}).to_string();
        let end = Instant::now() + REPEATS;
        for n in 0.. {
            let place = (first + n) % self.script.instances as usize;
            match timeout(WRITE_ANSWER, ask(self.admin(place), "POST", "/write", &body)).await {
                Ok(Ok((200, body))) => {
                    return serde_json::from_str::<Value>(&body)
                        .ok()
                        .map(|body| Ok(body["outcome"].clone()));
                }
                // Refused in the log, by its index, or by this instance alone, which another one may not do.
                Ok(Ok((409, body))) if body.contains("\"index\"") => return Some(Err(body)),
                _ => {}
            }
            if Instant::now() >= end {
                return None;
            }
            sleep(Duration::from_millis(30)).await;
        }
        None
    }

    async fn holder(self: Arc<Self>, n: u64) {
        let (who, mut draws) = (format!("holder-{n}"), self.draws(n));
        let (mut count, mut last) = (0, BTreeMap::new());
        while self.goes_on() {
            // Two keys of its own, which it turns each time, so that what is old can be told; and one of everybody's.
            let key = match draws.next_u32() % 5 {
                0 => KEYS - 1,
                draw => 2 * n as u32 + draw % 2,
            };
            let held =
                if key + 1 == KEYS { draws.next_u32() % 2 == 0 } else { !last.get(&key).unwrap_or(&false) };
            last.insert(key, held);
            let key = format!("k{key}");
            let (first, id) =
                ((draws.next_u32() % self.script.instances) as usize, format!("{who}-{count}"));
            count += 1;
            let by = json!({"author": who, "reason": "", "at_ms": 0});
            let command = json!({"hold": {"pool": "h", "uid": key, "held": held, "by": by}});
            let began = self.history.now();
            let done = self.write(first, &id, &command).await;
            let ended = done.as_ref().map(|_| self.history.now());
            let refused = matches!(done, Some(Err(_)));
            self.history.note(&who, began, ended, Did::Hold { key, held, id, refused });
            sleep(Duration::from_millis(u64::from(draws.next_u32() % 60))).await;
        }
    }

    /// Reads without waiting for the answer to the read before: a process that stalls is asked again meanwhile.
    async fn reader(self: Arc<Self>) {
        let (mut draws, mut reads) = (self.draws(77), JoinSet::new());
        while self.goes_on() {
            let place = (draws.next_u32() % self.script.instances) as usize;
            reads.spawn(self.clone().read(place));
            while reads.try_join_next().is_some() {}
            sleep(Duration::from_millis(20 + u64::from(draws.next_u32() % 60))).await;
        }
        while reads.join_next().await.is_some() {}
    }

    async fn read(self: Arc<Self>, place: usize) {
        let began = self.history.now();
        let Some(said) = self.get(place, "/versions/now").await else { return };
        let ended = Some(self.history.now());
        let pairs = said["held"].as_array().into_iter().flatten();
        let held: BTreeSet<&str> = pairs.filter_map(|pair| pair[1].as_str()).collect();
        for key in (0..KEYS).map(|key| format!("k{key}")) {
            let held = held.contains(key.as_str());
            self.history.note(&format!("reader at i{place}"), began, ended, Did::Held { key, held });
        }
    }

    /// Commits one version on top of what an instance says is the current one.
    async fn commit(&self, place: usize, id: &str) -> io::Result<Option<u64>> {
        self.commit_text(place, id, |serial| fleet(self.discovery_at, serial)).await
    }

    async fn commit_text(
        &self,
        place: usize,
        id: &str,
        text: impl Fn(u64) -> String,
    ) -> io::Result<Option<u64>> {
        let Some(said) = self.get(place, "/versions").await else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let current =
            said["versions"].as_array().and_then(|versions| versions.last()).cloned().unwrap_or_default();
        let (on, parent) =
            (said["serial"].as_u64().unwrap_or(0), current["hash"].as_str().unwrap_or_default());
        let by = json!({"author": "rig", "reason": "", "at_ms": 0});
        let commit = json!({"commit": {
            "on": on, "parent": parent, "text": text(on + 1), "by": by, "plan": id, "stages": [], "pause_ms": 0,
        }});
        let began = self.history.now();
        let done = self.write(place, id, &commit).await;
        let ended = done.as_ref().map(|_| self.history.now());
        let serial = match &done {
            Some(Ok(outcome)) => outcome["committed"].as_u64(),
            _ => None,
        };
        let refused = done.is_some() && serial.is_none();
        self.history.note("committer", began, ended, Did::Commit { id: id.to_owned(), serial, refused });
        Ok(serial)
    }

    /// Plans a change of the fleet and applies it; once more, that must give the same answer.
    async fn apply(&self) {
        let path = |suffix: &str| self.folder.path().join(format!("apply-{}.{suffix}", self.history.now()));
        for _ in 0..10 {
            let Some(said) = self.get(0, "/versions").await else {
                sleep(FINDS).await;
                continue;
            };
            let toml = fleet_toml(self.discovery_at, said["serial"].as_u64().unwrap_or(0) + 1);
            let (file, plan) = (path("toml"), path("plan"));
            let (file, plan) = (file.display().to_string(), plan.display().to_string());
            if std::fs::write(&file, toml).is_err()
                || self.ctl(&["plan", &file, "-o", &plan]).await.is_err()
            {
                continue;
            }
            // A plan's id is the hash on its first line.
            let text = std::fs::read_to_string(&plan).unwrap_or_default();
            let id = text.split_whitespace().nth(2).unwrap_or_default().to_owned();
            let mut moved = false;
            for _ in 0..2 {
                let began = self.history.now();
                let done = self.ctl(&["apply", &plan]).await;
                let word = done.as_ref().ok().and_then(|said| said.split("as serial ").nth(1));
                let digits =
                    word.map(|word| word.chars().take_while(char::is_ascii_digit).collect::<String>());
                let serial = digits.and_then(|digits| digits.parse().ok());
                moved = done.as_ref().is_err_and(|problem| problem.to_string().contains("has moved"));
                let known = serial.is_some() || moved;
                let ended = known.then(|| self.history.now());
                let did = Did::Commit { id: id.clone(), serial, refused: moved };
                self.history.note("runtrackctl", began, ended, did);
            }
            if !moved {
                return;
            }
        }
    }

    async fn committer(self: Arc<Self>) {
        let mut draws = self.draws(99);
        for n in 0_u32.. {
            if !self.goes_on() {
                return;
            }
            let place = (draws.next_u32() % self.script.instances) as usize;
            let _ = self.commit(place, &format!("commit-{n}")).await; // one that is down says nothing
            sleep(Duration::from_millis(100 + u64::from(draws.next_u32() % 300))).await;
        }
    }

    /// Looks how an instance stands, again and again.
    async fn look(self: Arc<Self>, place: usize) {
        while self.goes_on() {
            let run = self.runs.load(Ordering::SeqCst);
            let began = self.history.now();
            if let Some(said) = self.get(place, "/status").await {
                let ended = Some(self.history.now());
                let standing = &said["cluster"]["standing"];
                let leads = standing["role"] == "leader";
                if leads {
                    self.leader.store(place as u32, Ordering::SeqCst);
                }
                let did = Did::Stood {
                    run,
                    term: standing["term"].as_u64().unwrap_or(0),
                    leads,
                    index: said["cluster"]["index"].as_u64().unwrap_or(0),
                    draining: said["pools"]["p"]["draining"].as_u64().unwrap_or(0),
                };
                self.history.note(&format!("i{place}"), began, ended, did);
            }
            sleep(LOOK).await;
        }
    }

    // ---- the way back ----

    /// Starts what does not run, and waits until all is as it should be.
    async fn come_back(&self) -> io::Result<()> {
        for place in 0..self.script.instances as usize {
            locked(&self.instances)[place].process.go_on();
            self.launch(place)?;
        }
        let end = Instant::now() + BACK;
        // What is waited for, whether it is so, and what is to be seen instead.
        let mut waits: BTreeMap<String, (bool, String)> = BTreeMap::new();
        loop {
            let mut newest = 0;
            for place in 0..self.script.instances as usize {
                let said = self.get(place, "/cluster").await.unwrap_or_default();
                newest = newest.max(said["serial"].as_u64().unwrap_or(0));
                let seen = format!("serial {}, majority {}", said["serial"], said["majority"]);
                waits.insert(
                    format!("i{place} is in touch with a majority"),
                    (said["majority"] == true, seen),
                );
            }
            let drained = locked(&self.drained).len().min(ENDPOINTS - 2);
            for (n, proxy) in locked(&self.proxies).iter().enumerate() {
                let (serial, ready, streams) = proxy.proxy.with(|state| {
                    let clusters = state.told.last().map(|told| told.clusters.clone()).unwrap_or_default();
                    let serial = clusters.iter().filter_map(|name| serial_of(name)).max();
                    (serial, state.ready("p").len(), state.streams)
                });
                // Commits go on meanwhile: a proxy may be one behind.
                let current = serial.is_some_and(|serial| serial + 1 >= newest);
                let at = proxy.at;
                let seen = format!("{serial:?} of {newest}, at i{at}, on its stream {streams}");
                waits.insert(format!("p{n} has the newest version"), (current, seen));
                let seen = format!("{ready} of {}, at i{at}", ENDPOINTS - drained);
                let known = ready == ENDPOINTS - drained;
                waits.insert(format!("p{n} knows of all drains and no others"), (known, seen));
            }
            if waits.values().all(|(well, _)| *well) || Instant::now() >= end {
                break;
            }
            sleep(LOOK).await;
        }
        for (what, (well, seen)) in waits {
            let what = if well { what } else { format!("{what}: {seen}") };
            self.history.now_that("rig", Did::Back { what, well });
        }
        Ok(())
    }

    /// Notes what is to be seen at the end.
    async fn finish(&self) {
        for place in 0..self.script.instances as usize {
            if let Some(said) = self.get(place, "/versions/now").await {
                let versions = said["versions"].as_array().into_iter().flatten();
                let versions =
                    versions.filter_map(|v| Some((v["serial"].as_u64()?, v["plan"].as_str()?.to_owned())));
                self.history.now_that(&format!("i{place}"), Did::Versions { versions: versions.collect() });
            }
        }
        let drained = locked(&self.drained).len().min(ENDPOINTS - 2);
        for (n, proxy) in locked(&self.proxies).iter().enumerate() {
            let (who, state) = (format!("p{n}"), proxy.proxy.state());
            for told in &state.told {
                let serial = told.clusters.iter().filter_map(|name| serial_of(name)).max().unwrap_or(0);
                let kind = told.kind.rsplit('.').next().unwrap_or_default().to_owned();
                let at = self.history.at(told.at);
                self.history.note(
                    &who,
                    at,
                    Some(at),
                    Did::Told { kind, version: told.version.clone(), serial },
                );
            }
            for endpoint in &self.endpoints[..drained] {
                if let Some(last) = state.sent.get(&endpoint.address) {
                    let (at, endpoint) = (self.history.at(*last), endpoint.address.to_string());
                    self.history.note(&who, at, Some(at), Did::Reached { endpoint, proxy: who.clone() });
                }
            }
        }
    }
}
