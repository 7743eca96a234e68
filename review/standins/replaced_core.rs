//! Plays a small deployment on loopback: one core machine, one edge machine, four endpoints, an operator and a client.
//! The core machine is replaced by another one (planned: the new one first, SIGTERM to the old one once the new one has
//! run for `settleS`) while the edge machine is frozen for 4.7 s, and the edge machine's settings file names the new seed
//! from then on. Afterwards all machines run and reach each other, and the script checks whether the edge machine follows
//! configurations and draining endpoints.
//!
//! Starts the programs of the deploy file as separate processes. Client, endpoints and operator are threads of this
//! program. TROUBLE=0 does the same without the freeze.

mod common;

use common::{Place, Processes, Record, call, ms, read_message, run, wait_for};
use std::fs;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const HEARTBEAT: Duration = Duration::from_millis(1200);
/// `drainMs`, `convergeMs` and `stretchMaxMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2000);
const CONVERGE: Duration = Duration::from_millis(2000);
const STRETCH: Duration = Duration::from_millis(5000);
/// `seedLagS` of the settings: so late is the list of those who serve `controller`.
const SEED_LAG: Duration = Duration::from_millis(3000);
/// `contactMs` of the settings.
const CONTACT: Duration = Duration::from_millis(3000);
/// `settleS` of the settings: so long after its start the new core machine no longer counts as lost.
const SETTLE: Duration = Duration::from_millis(4000);
/// How long the edge machine is frozen: the longest `node_freeze` of the site file.
const FREEZE: Duration = Duration::from_millis(4700);
/// The new core machine starts so long before the freeze.
const HEAD_START: Duration = Duration::from_millis(50);
/// Spare time on top of a bound, so that the record is clear.
const SPARE: Duration = Duration::from_millis(1000);

/// An endpoint: answers requests, and sends heartbeats to whoever serves `controller`.
struct Endpoint {
    id: String,
    service: String,
    address: SocketAddr,
    draining: AtomicBool,
    /// When its `draining` was acknowledged first.
    acknowledged: Mutex<Option<Instant>>,
    /// The ids of the requests that it ran, and when.
    ran: Mutex<Vec<(Instant, String)>>,
    sequence: AtomicU64,
}

impl Endpoint {
    fn serve(self: &Arc<Self>, listener: TcpListener, record: &Arc<Record>) {
        let (this, record) = (self.clone(), record.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (this, record) = (this.clone(), record.clone());
                spawn(move || this.serve_connection(stream, &record));
            }
        });
    }

    fn serve_connection(&self, stream: TcpStream, record: &Record) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_message(&mut reader) {
            let id = request.headers.get("x-attempt-id").cloned().unwrap_or_default();
            let target = request.headers.get("x-target-instance");
            let (status, extra) = if target.is_some_and(|target| *target != self.id) {
                ("421 Misdirected Request", "X-Not-Executed: 1\r\n".to_owned())
            } else {
                self.ran.lock().unwrap().push((Instant::now(), id.clone()));
                record.note(&format!("endpoint {} runs {id} ({})", self.id, request.line));
                ("200 OK", format!("X-Server-Seal: {}.{id}\r\n", self.id))
            };
            let body = "the endpoint's bytes";
            let closes = if self.draining.load(Ordering::SeqCst) { "Connection: close\r\n" } else { "" };
            let answer = format!(
                "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\n{extra}{closes}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() || !closes.is_empty() {
                return;
            }
        }
    }

    /// Sends a heartbeat to one controller after another until one acknowledges it.
    fn beat(&self, controls: &Mutex<Vec<SocketAddr>>, record: &Record) {
        let list = controls.lock().unwrap().clone();
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        for to in list {
            let body = format!(
                r#"{{"service":"{}","address":"{}","zone":"z1","version":"v1","capacity":64,"state":"{state}","coldLeftMs":0,"callSeq":{sequence}}}"#,
                self.service, self.address
            );
            let head = format!(
                "POST /runtrack/instances/{}/heartbeat HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n",
                self.id
            );
            if matches!(call(to, &head, &body, Duration::from_secs(1)), Ok((200..300, _))) {
                let mut acknowledged = self.acknowledged.lock().unwrap();
                if state == "draining" && acknowledged.is_none() {
                    *acknowledged = Some(Instant::now());
                    record.note(&format!("endpoint {} says draining to {to}: acknowledged", self.id));
                }
                return;
            }
        }
    }

    fn beat_periodically(self: &Arc<Self>, controls: &Arc<Mutex<Vec<SocketAddr>>>, record: &Arc<Record>) {
        let (this, controls, record) = (self.clone(), controls.clone(), record.clone());
        spawn(move || {
            loop {
                this.beat(&controls, &record);
                sleep(HEARTBEAT);
            }
        });
    }
}

/// Addresses and settings of the deployment.
struct Deployment<'a>(&'a Place);

impl Deployment<'_> {
    fn control(&self, number: u8) -> SocketAddr {
        self.0.address(1, number, 16)
    }

    fn front(&self) -> SocketAddr {
        self.0.address(2, 1, 17)
    }

    fn ready(&self) -> SocketAddr {
        self.0.address(2, 1, 18)
    }

    /// Writes the settings file of a process; `own` are the lines of its role.
    fn write_settings(&self, name: &str, ip: &str, seed: SocketAddr, own: &str, first_boot: bool) -> Result<PathBuf, String> {
        let text = format!(
            "node={name}\nip={ip}\nzone=z1\nregion=r1\nzones.z1=r1\n{own}seeds={seed}\nfirstBoot={first_boot}\n\
             tolerance.machines=0\ntolerance.zones=0\ntolerance.regions=0\n{}",
            self.0.common_settings()
        );
        self.0.write_settings(name, &text)
    }

    fn write_core(&self, number: u8, seed: SocketAddr, first_boot: bool) -> Result<PathBuf, String> {
        let data = self.0.folder.join(format!("core-{number}-data"));
        fs::create_dir_all(&data).map_err(|error| error.to_string())?;
        let own = format!(
            "role=controller\nmachineClass=core\nserves=controller\nlisten.control={}\ndataDir={}\ncounted=true\nlimits.diskMb=128\n",
            self.control(number),
            data.display()
        );
        self.write_settings(&format!("core-{number}"), &self.0.ip(1, number), seed, &own, first_boot)
    }

    /// The settings files of the two processes of the edge machine.
    fn write_edge(&self, seed: SocketAddr, first_boot: bool) -> Result<(PathBuf, PathBuf), String> {
        let agent = "role=agent\nmachineClass=edge\ncounted=false\nlimits.diskMb=0\n";
        let proxy = format!(
            "role=proxy\nmachineClass=edge\nserves=edge\nlisten.front={}\nlisten.ready={}\ncounted=false\nlimits.diskMb=0\n",
            self.front(),
            self.ready()
        );
        let ip = self.0.ip(2, 1);
        Ok((
            self.write_settings("edge-1-agent", &ip, seed, agent, first_boot)?,
            self.write_settings("edge-1-proxy", &ip, seed, &proxy, first_boot)?,
        ))
    }
}

/// The configuration of a version; the second one has a further route.
fn config(version: u64) -> String {
    let route = |name: &str, prefix: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","host":"a.example","pathPrefix":"/{prefix}/","kind":"idempotent","timeoutMs":1500,"setpointMs":100,"priority":0,"service":"{service}","maxTries":2,"pinned":false,"resumable":false}}"#
        )
    };
    let mut routes = vec![route("first", "first", "s1")];
    if version > 1 {
        routes.push(route("second", "second", "s2"));
    }
    let service = |name: &str| format!(r#"{{"name":"{name}","healthPath":"/health","connLimit":110,"protocol":"h1","tls":false}}"#);
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{},{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerMs":3000,"idleMs":15000}}}}"#,
        routes.join(","),
        service("s1"),
        service("s2")
    )
}

/// Sends a configuration, again and again, until it is acknowledged.
fn change(record: &Record, to: SocketAddr, base: u64, version: u64) -> Result<(), String> {
    let head = format!(
        "POST /runtrack/config/replace HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nX-Base-Version: {base}\r\n"
    );
    for _ in 0..30 {
        let answer = call(to, &head, &config(version), Duration::from_secs(1));
        record.note(&format!("operator sends version {version} to {to}: {answer:?}"));
        if matches!(answer, Ok((200, _))) {
            return Ok(());
        }
        sleep(Duration::from_millis(300));
    }
    Err(format!("version {version} was not acknowledged"))
}

fn request(record: &Record, front: SocketAddr, prefix: &str, number: u32) -> u16 {
    let head = format!(
        "POST /{prefix}/{number} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {prefix}-{number}\r\nX-Time-Budget-Ms: 1500\r\n"
    );
    let answer = call(front, &head, "a question", Duration::from_secs(2));
    record.note(&format!("client sends {prefix}-{number}: {answer:?}"));
    answer.map_or(0, |(status, _)| status)
}

fn is_ready(ready: SocketAddr) -> bool {
    let head = "GET /runtrack/readiness HTTP/1.1\r\nHost: ready\r\n";
    matches!(call(ready, head, "", Duration::from_secs(1)), Ok((200, _)))
}

/// Plays the case; whether the rules held.
fn play(record: &Arc<Record>, place: &Place, trouble: bool) -> Result<bool, String> {
    let deployment = &Deployment(place);
    let mut processes = Processes::default();
    let log = |name: &str| deployment.0.folder.join(format!("{name}.log"));
    let (old, new) = (deployment.control(1), deployment.control(2));

    // The first start: one core machine and one edge machine.
    let core = deployment.write_core(1, old, true)?;
    let (agent, proxy) = deployment.write_edge(old, true)?;
    processes.start("core-1", "runtrack-controller", &core, &log("core-1"))?;
    processes.start("agent", "runtrack-agent", &agent, &log("agent"))?;
    processes.start("proxy", "runtrack-proxy", &proxy, &log("proxy"))?;
    let controls = Arc::new(Mutex::new(vec![old]));
    let mut endpoints = Vec::new();
    for number in 1..=4 {
        let address = deployment.0.address(3, number, 0);
        let listener = TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?;
        let endpoint = Arc::new(Endpoint {
            id: format!("i-{number}"),
            service: if number <= 2 { "s1" } else { "s2" }.to_owned(),
            address,
            draining: AtomicBool::new(false),
            acknowledged: Mutex::default(),
            ran: Mutex::default(),
            sequence: AtomicU64::new(0),
        });
        endpoint.serve(listener, record);
        endpoint.beat_periodically(&controls, record);
        endpoints.push(endpoint);
    }
    change(record, old, 0, 1)?;
    wait_for("the edge machine is ready", Duration::from_secs(10), || is_ready(deployment.ready()))?;
    sleep(Duration::from_secs(4));
    if request(record, deployment.front(), "first", 0) != 200 {
        return Err("the quiet deployment does not serve".to_owned());
    }

    // The core machine is replaced, the new one first. Meanwhile the edge machine is frozen.
    let core = deployment.write_core(2, old, false)?;
    processes.start("core-2", "runtrack-controller", &core, &log("core-2"))?;
    let new_since = Instant::now();
    record.note(&format!("a new core machine starts: {new}"));
    sleep(HEAD_START);
    let frozen_at = Instant::now();
    if trouble {
        record.note("the edge machine freezes (SIGSTOP to agent and proxy)");
        processes.signal("agent", "STOP");
        processes.signal("proxy", "STOP");
    }
    sleep(SEED_LAG);
    controls.lock().unwrap().push(new);
    sleep(SETTLE.saturating_sub(new_since.elapsed()));
    record.note(&format!("SIGTERM to the old core machine: {old}"));
    processes.signal("core-1", "TERM");
    if !processes.ends_within("core-1", FREEZE.saturating_sub(frozen_at.elapsed())) {
        return Err("the old core machine has not ended in time".to_owned());
    }
    record.note("the old core machine has ended");
    sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
    if trouble {
        processes.signal("agent", "CONT");
        processes.signal("proxy", "CONT");
        record.note(&format!("the edge machine wakes, after {}", ms(frozen_at.elapsed())));
    }
    sleep(SEED_LAG);
    controls.lock().unwrap().retain(|control| *control != old);
    deployment.write_edge(new, false)?;
    record.note(&format!("the edge machine's settings file names the seed {new}; no signal"));

    // All is calm for three times `contactMs`: all machines run, and reach each other.
    sleep(CONTACT * 3);
    change(record, new, 1, 2)?;
    sleep(CONVERGE + STRETCH + SPARE);
    if !["core-2", "agent", "proxy"].iter().all(|name| processes.is_running(name)) {
        return Err("a process has ended".to_owned());
    }
    record.note(&format!("the edge machine is ready: {}", is_ready(deployment.ready())));
    let refused = (1..=20).filter(|number| request(record, deployment.front(), "second", *number) == 404).count();
    record.note(&format!(
        "CONFIG: {refused} of 20 requests on the route of version 2, sent more than {} after its acknowledgement, got 404",
        ms(CONVERGE + STRETCH)
    ));

    // An endpoint drains.
    let leaving = &endpoints[0];
    leaving.draining.store(true, Ordering::SeqCst);
    wait_for("draining is acknowledged", Duration::from_secs(10), || leaving.acknowledged.lock().unwrap().is_some())?;
    sleep(DRAIN + SPARE);
    let from = Instant::now();
    for number in 1..=20 {
        request(record, deployment.front(), "first", number);
    }
    let late = leaving.ran.lock().unwrap().iter().filter(|(at, _)| *at >= from).count();
    record.note(&format!(
        "DRAIN: {late} of 20 requests reached {} more than {} after its draining was acknowledged",
        leaving.id,
        ms(DRAIN)
    ));
    Ok(refused == 0 && late == 0)
}

fn main() -> ExitCode {
    run(play)
}
