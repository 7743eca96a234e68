//! Plays a small deployment on loopback: one core machine, one edge machine, four endpoints, an operator and a client.
//! The core machine is replaced by another one (planned: the new one first, SIGTERM to the old one once the new one has
//! run for `settleS`) while the edge machine is frozen for 4.7 s, and the edge machine's settings file names the new seed
//! from then on. Afterwards all machines run and reach each other, and the script checks whether the edge machine follows
//! configurations and draining endpoints.
//!
//! Starts the programs of the deploy file as separate processes. Client, endpoints and operator are threads of this
//! program. TROUBLE=0 does the same without the freeze.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

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

fn ms(duration: Duration) -> String {
    format!("{:.3} s", duration.as_secs_f64())
}

/// What was sent, answered and run.
struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    fn note(&self, text: &str) {
        let line = format!("{:>10} {text}\n", ms(self.started.elapsed()));
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ends the processes that it holds.
#[derive(Default)]
struct Processes(HashMap<String, Child>);

impl Processes {
    fn start(&mut self, name: &str, program: &str, settings: &Path, log: &Path) -> Result<(), String> {
        let log = File::create(log).map_err(|error| error.to_string())?;
        let child = Command::new(format!("target/release/{program}"))
            .env("RUNTRACK_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        self.0.insert(name.to_owned(), child);
        Ok(())
    }

    fn signal(&self, name: &str, signal: &str) {
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(self.0[name].id().to_string()).status();
    }

    fn ends_within(&mut self, name: &str, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if let Ok(Some(_)) = self.0.get_mut(name).unwrap().try_wait() {
                return true;
            }
            sleep(Duration::from_millis(10));
        }
        false
    }

    fn is_running(&mut self, name: &str) -> bool {
        matches!(self.0.get_mut(name).map(Child::try_wait), Some(Ok(None)))
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in self.0.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// One HTTP/1.1 message: its first line, its headers in lower case, and its body.
struct Message {
    line: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

fn read_message(reader: &mut BufReader<TcpStream>) -> std::io::Result<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        match header.trim().split_once(':') {
            Some((name, value)) => headers.insert(name.to_ascii_lowercase(), value.trim().to_owned()),
            None => break,
        };
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Message { line: line.trim().to_owned(), headers, body })
}

/// Sends a request on a new connection; the status and the body of the answer.
fn call(to: SocketAddr, head: &str, body: &str, wait: Duration) -> Result<(u16, String), String> {
    let attempt = || -> std::io::Result<Message> {
        let mut stream = TcpStream::connect_timeout(&to, wait)?;
        stream.set_read_timeout(Some(wait))?;
        stream.set_nodelay(true)?;
        let length = body.len();
        stream.write_all(format!("{head}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}").as_bytes())?;
        read_message(&mut BufReader::new(stream))
    };
    let answer = attempt().map_err(|error| error.to_string())?;
    let status = answer.line.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok((status.ok_or("no status")?, String::from_utf8_lossy(&answer.body).into_owned()))
}

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

/// Addresses and ports of the deployment, and the folder of its files.
struct Deployment {
    folder: PathBuf,
    network: u8,
    port: u16,
}

impl Deployment {
    fn new() -> Result<Self, String> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|error| error.to_string())?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let network = 20 + (now.subsec_nanos() / 1000 % 200) as u8;
        for step in 0..100 {
            let port = 20_000 + ((now.subsec_nanos() / 1000) as u16 % 300) * 30 + step * 20 % 9000;
            let is_free = |ip: [u8; 4]| (port..port + 20).all(|port| TcpListener::bind((std::net::Ipv4Addr::from(ip), port)).is_ok());
            if is_free([127, 0, 0, 1]) && is_free([127, network, 1, 1]) && is_free([127, network, 2, 1]) {
                return Ok(Deployment { folder, network, port });
            }
        }
        Err("no free ports".to_owned())
    }

    fn ip(&self, group: u8, number: u8) -> String {
        format!("127.{}.{group}.{number}", self.network)
    }

    fn address(&self, group: u8, number: u8, offset: u16) -> SocketAddr {
        format!("{}:{}", self.ip(group, number), self.port + offset).parse().unwrap()
    }

    fn control(&self, number: u8) -> SocketAddr {
        self.address(1, number, 16)
    }

    fn front(&self) -> SocketAddr {
        self.address(2, 1, 17)
    }

    fn ready(&self) -> SocketAddr {
        self.address(2, 1, 18)
    }

    /// Writes a settings file as the platform does.
    fn write_settings(&self, name: &str, ip: &str, seed: SocketAddr, own: &str, first_boot: bool) -> Result<PathBuf, String> {
        let text = format!(
            "node={name}\nip={ip}\nzone=z1\nregion=r1\nzones.z1=r1\n{own}portRange={},{}\nseeds={seed}\n\
             firstBoot={first_boot}\nlimits.cpuShare=0.6\nlimits.cores=1\nlimits.memoryMb=256\nlimits.fdLimit=4096\n\
             limits.linkMbps=1000.0\ndiscovery=self_register\nentry=vip\nbeatPeriodMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream\ntolerance.machines=0\ntolerance.zones=0\n\
             tolerance.regions=0\nbounds.seedLagS=3\nbounds.reuseDelayS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\n\
             bounds.settleS=4\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.convergeMs=2000\n\
             bounds.revertSlackMs=250\nbounds.stretchMaxMs=5000\nbounds.retryRatio=0.2\nbounds.retryWindowS=10\n\
             bounds.retrySlack=56\nbounds.recoveryS=12\nbounds.pass_ms=120\nbounds.again_s=0\n",
            self.port,
            self.port + 15
        );
        let path = self.folder.join(format!("{name}.conf"));
        let new = self.folder.join(format!("{name}.conf.new"));
        fs::write(&new, text).and_then(|()| fs::rename(&new, &path)).map_err(|error| error.to_string())?;
        Ok(path)
    }

    fn write_core(&self, number: u8, seed: SocketAddr, first_boot: bool) -> Result<PathBuf, String> {
        let data = self.folder.join(format!("core-{number}-data"));
        fs::create_dir_all(&data).map_err(|error| error.to_string())?;
        let own = format!(
            "role=controller\nmachineClass=core\nserves=controller\nlisten.control={}\ndataDir={}\ncounted=true\nlimits.diskMb=128\n",
            self.control(number),
            data.display()
        );
        self.write_settings(&format!("core-{number}"), &self.ip(1, number), seed, &own, first_boot)
    }

    /// The settings files of the two processes of the edge machine.
    fn write_edge(&self, seed: SocketAddr, first_boot: bool) -> Result<(PathBuf, PathBuf), String> {
        let agent = "role=agent\nmachineClass=edge\ncounted=false\nlimits.diskMb=0\n";
        let proxy = format!(
            "role=proxy\nmachineClass=edge\nserves=edge\nlisten.front={}\nlisten.ready={}\ncounted=false\nlimits.diskMb=0\n",
            self.front(),
            self.ready()
        );
        let ip = self.ip(2, 1);
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

fn wait_for(what: &str, time: Duration, mut met: impl FnMut() -> bool) -> Result<(), String> {
    let until = Instant::now() + time;
    while !met() {
        if Instant::now() > until {
            return Err(format!("{what}: not within {}", ms(time)));
        }
        sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Plays the case; whether the rules held.
fn play(record: &Arc<Record>, deployment: &Deployment, trouble: bool) -> Result<bool, String> {
    let mut processes = Processes::default();
    let log = |name: &str| deployment.folder.join(format!("{name}.log"));
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
        let address = deployment.address(3, number, 0);
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
    let Some(path) = std::env::args().nth(1) else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(file) = File::create(path) else { return ExitCode::from(2) };
    let record = Arc::new(Record { file: Mutex::new(file), started: Instant::now() });
    record.note(if trouble { "with the disruption" } else { "without the disruption (TROUBLE=0)" });
    let deployment = match Deployment::new() {
        Ok(deployment) => deployment,
        Err(problem) => {
            record.note(&format!("could not run: {problem}"));
            return ExitCode::from(2);
        }
    };
    let played = play(&record, &deployment, trouble);
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&deployment.folder);
    }
    match played {
        Ok(true) => {
            record.note("the rules held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.note("a rule was broken");
            ExitCode::from(1)
        }
        Err(problem) => {
            record.note(&format!("could not run: {problem}"));
            ExitCode::from(2)
        }
    }
}
