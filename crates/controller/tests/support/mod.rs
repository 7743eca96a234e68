//! Runs built controllers on loopback, each with its own address and folder.
#![allow(dead_code, reason = "each test file uses some of it")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Timeout of every wait in the tests.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which each of several logs is polled in turn.
const LOG_POLL_TIMEOUT: Duration = Duration::from_millis(5);
const CONTROL: u16 = 8146;
const FIRST_PORT: u16 = 7660;

/// The machines of one test.
pub struct Cluster {
    folder: PathBuf,
    base: u32,
    seeds: Vec<usize>,
    nodes: Vec<Node>,
    /// Settings other than addresses.
    pub settings: Settings,
    /// Mutant of all processes.
    pub mutant: Option<&'static str>,
    /// Timeout for log events.
    pub patience: Duration,
}

/// Settings that tests vary.
pub struct Settings {
    pub tolerance: usize,
    pub settle_s: f64,
    pub grace_s: f64,
}

struct Node {
    process: Option<Process>,
}

struct Process {
    child: Child,
    log: Receiver<String>,
    /// All log lines, printed if the test fails.
    lines: Arc<Mutex<Vec<String>>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            self.lines.lock().iter().flat_map(|lines| lines.iter()).for_each(|line| println!("{line}"));
        }
    }
}

/// An HTTP response.
#[derive(Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub body: String,
}

impl Cluster {
    /// Creates machines without running processes; the first three are the seeds.
    pub fn new(name: &str, machines: usize) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("controller-{name}-{}-{number}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder); // left by a killed run
        // Ten bits of the process id separate concurrent test runs on one machine.
        let process = std::process::id();
        let (second, third) = (64 + (process & 0x7f), ((process >> 7) & 7) << 5 | (number & 0x1f));
        let base = (127 << 24) | (second << 16) | (third << 8);
        let nodes = (0..machines).map(|_| Node { process: None }).collect();
        let settings = Settings { tolerance: 1, settle_s: 4.0, grace_s: 8.0 };
        let seeds = vec![0, 1, 2];
        let cluster =
            Cluster { folder, base, seeds, nodes, settings, mutant: None, patience: WAIT_TIMEOUT };
        for machine in 0..machines {
            cluster.make_disk(machine);
        }
        cluster
    }

    /// Creates machines and starts the three seeds for the first time.
    pub fn started(name: &str, machines: usize) -> Self {
        let mut cluster = Cluster::new(name, machines);
        cluster.first_boot();
        cluster
    }

    /// Starts the seeds for the first time.
    pub fn first_boot(&mut self) {
        for machine in self.seeds.clone() {
            self.start(machine, true);
        }
    }

    fn ip(&self, machine: usize) -> Ipv4Addr {
        Ipv4Addr::from(self.base + machine as u32 + 1)
    }

    pub fn control(&self, machine: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(machine), CONTROL)
    }

    /// A machine's name as a member.
    pub fn member(&self, machine: usize) -> String {
        SocketAddrV4::new(self.ip(machine), FIRST_PORT).to_string()
    }

    fn disk(&self, machine: usize) -> PathBuf {
        self.folder.join(format!("disk-{machine}"))
    }

    /// Folder of a machine's value files. Its disk folder has symbolic links to them, so that a test can make them unavailable.
    fn values(&self, machine: usize) -> PathBuf {
        self.folder.join(format!("values-{machine}"))
    }

    fn make_disk(&self, machine: usize) {
        std::fs::create_dir_all(self.disk(machine)).expect("a folder");
        std::fs::create_dir_all(self.values(machine)).expect("a folder");
        for file in value_files() {
            let link = self.disk(machine).join(&file);
            std::os::unix::fs::symlink(self.values(machine).join(&file), link).expect("a link");
        }
    }

    /// Makes a machine's disk reject values; promises are still accepted.
    pub fn reject_values(&self, machine: usize) {
        std::fs::rename(self.values(machine), self.values(machine).with_extension("away"))
            .expect("its values");
    }

    /// Makes the disk accept values again; it still holds the previous ones.
    pub fn accept_values(&self, machine: usize) {
        let _ = std::fs::remove_dir_all(self.values(machine)); // exists if writes were stalled
        std::fs::rename(self.values(machine).with_extension("away"), self.values(machine))
            .expect("its values");
    }

    /// Makes every write of a value to a machine's disk stall forever.
    pub fn stall_values(&self, machine: usize) {
        self.reject_values(machine);
        std::fs::create_dir_all(self.values(machine)).expect("a folder");
        for file in value_files() {
            let mode = rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR;
            let path = self.values(machine).join(file);
            // Opening a pipe for writing blocks until it is opened for reading.
            rustix::fs::mkfifoat(rustix::fs::CWD, path, mode).expect("a pipe");
        }
    }

    /// Parent of the machines' folders.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Whether a machine's disk holds a record that contains `body`.
    pub fn holds(&self, machine: usize, body: &str) -> bool {
        value_files().any(|file| {
            let content = std::fs::read(self.disk(machine).join(file)).unwrap_or_default();
            content.windows(body.len()).any(|window| window == body.as_bytes())
        })
    }

    /// Copies the disk of a stopped machine, for [`Self::restore_disk`].
    pub fn save_disk(&self, machine: usize) {
        let saved = self.folder.join(format!("saved-{machine}"));
        copy_files(&self.disk(machine), &saved);
        copy_files(&self.values(machine), &saved);
    }

    /// Restores the saved disk.
    pub fn restore_disk(&mut self, machine: usize) {
        self.wipe(machine);
        let saved = self.folder.join(format!("saved-{machine}"));
        for entry in std::fs::read_dir(saved).expect("what was saved") {
            let path = entry.expect("a file").path();
            let name = path.file_name().expect("a name");
            std::fs::copy(&path, self.disk(machine).join(name)).expect("the file can be restored");
        }
    }

    fn settings_file(&self, machine: usize) -> PathBuf {
        self.folder.join(format!("node-{machine}.conf"))
    }

    fn write_settings(&self, machine: usize, first_boot: bool) {
        let seeds: Vec<String> = self.seeds.iter().map(|seed| self.control(*seed).to_string()).collect();
        let Settings { tolerance, settle_s, grace_s } = self.settings;
        let text = format!(
            "node=core-{machine}\nip={}\nzone=a\nlisten.control={}\nportRange={FIRST_PORT},{}\nseeds={}\nfirstBoot={first_boot}\n\
             dataDir={}\nbeatPeriodMs=1200\ntolerance.machines={tolerance}\n\
             bounds.settleS={settle_s}\nbounds.graceS={grace_s}\n",
            self.ip(machine),
            self.control(machine),
            FIRST_PORT + 15,
            seeds.join(","),
            self.disk(machine).display(),
        );
        std::fs::write(self.settings_file(machine), text).expect("the settings can be written");
    }

    pub fn start(&mut self, machine: usize, first_boot: bool) {
        self.start_with_mutant(machine, first_boot, self.mutant);
    }

    /// Starts a machine's process, with a mutant if one is named.
    pub fn start_with_mutant(&mut self, machine: usize, first_boot: bool, mutant: Option<&str>) {
        self.write_settings(machine, first_boot);
        let mut child = Command::new(env!("CARGO_BIN_EXE_runtrack-controller"))
            .env("RUNTRACK_NODE_FILE", self.settings_file(machine))
            .envs(mutant.map(|name| ("RUNTRACK_MUTANT", name)))
            .stderr(Stdio::piped())
            .spawn()
            .expect("the controller starts");
        let (lines, log) = channel();
        let stderr = BufReader::new(child.stderr.take().expect("its log"));
        let lines_of_all = Arc::new(Mutex::new(Vec::new()));
        let all = lines_of_all.clone();
        thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                all.lock().expect("the lock is not poisoned").push(line.clone());
                if lines.send(line).is_err() {
                    return;
                }
            }
        });
        self.nodes[machine].process = Some(Process { child, log, lines: lines_of_all });
        self.wait_for_event(machine, "controller.start", "");
    }

    /// Kills a machine's process.
    pub fn kill(&mut self, machine: usize) {
        self.nodes[machine].process = None;
    }

    /// Sends SIGTERM to a process.
    pub fn terminate(&self, machine: usize) {
        self.signal(machine, rustix::process::Signal::TERM);
    }

    fn signal(&self, machine: usize, signal: rustix::process::Signal) {
        let process = self.nodes[machine].process.as_ref().expect("the process is running");
        let pid = rustix::process::Pid::from_raw(process.child.id() as i32).expect("a process");
        rustix::process::kill_process(pid, signal).expect("it can be signalled");
    }

    /// Sets the seeds in the settings of processes that start later.
    pub fn set_seeds(&mut self, seeds: &[usize]) {
        self.seeds = seeds.to_vec();
    }

    /// Rewrites a machine's settings with other seeds and signals its process to reload them.
    pub fn reload_with_seeds(&mut self, machine: usize, seeds: &[usize]) {
        self.set_seeds(seeds);
        self.write_settings(machine, false);
        self.signal(machine, rustix::process::Signal::HUP);
    }

    /// Freezes or resumes a process.
    pub fn freeze(&self, machine: usize, frozen: bool) {
        self.signal(
            machine,
            if frozen { rustix::process::Signal::STOP } else { rustix::process::Signal::CONT },
        );
    }

    pub fn wipe(&mut self, machine: usize) {
        assert!(self.nodes[machine].process.is_none(), "it is down");
        std::fs::remove_dir_all(self.disk(machine)).expect("its disk");
        std::fs::remove_dir_all(self.values(machine)).expect("its disk");
        self.make_disk(machine);
    }

    /// Waits until a process has exited by itself.
    pub fn wait_for_exit(&mut self, machine: usize) {
        let process = self.nodes[machine].process.as_mut().expect("the process is running");
        process.child.wait().expect("the process exits");
        self.nodes[machine].process = None;
    }

    /// Waits until a process logs this event with `with` in the line, and returns the line.
    pub fn wait_for_event(&self, machine: usize, event: &str, with: &str) -> String {
        let event = format!("\"event\":\"{event}\"");
        let log = &self.nodes[machine].process.as_ref().expect("the process is running").log;
        let until = Instant::now() + self.patience;
        loop {
            let line = log.recv_timeout(until.saturating_duration_since(Instant::now()));
            let line =
                line.unwrap_or_else(|_| panic!("machine {machine} has not logged {event} with {with:?}"));
            if line.contains(&event) && line.contains(with) {
                return line;
            }
        }
    }

    /// Waits until one of these processes logs this event with `with` in the line, and returns its machine.
    pub fn wait_for_event_at_any(&self, machines: &[usize], event: &str, with: &str) -> usize {
        let name = format!("\"event\":\"{event}\"");
        let until = Instant::now() + self.patience;
        while Instant::now() < until {
            for machine in machines {
                let log = &self.nodes[*machine].process.as_ref().expect("the process is running").log;
                // Drains all available lines, so that a process that logs a lot is read as fast as it writes.
                let first = log.recv_timeout(LOG_POLL_TIMEOUT).ok();
                let mut lines = first.into_iter().chain(log.try_iter());
                if lines.any(|line| line.contains(&name) && line.contains(with)) {
                    return *machine;
                }
            }
        }
        panic!("none of {machines:?} has logged {event} with {with:?}")
    }

    /// Makes an HTTP call; `None` if it fails.
    pub fn try_call(
        &self,
        machine: usize,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> Option<HttpResponse> {
        let mut stream =
            TcpStream::connect_timeout(&self.control(machine).into(), Duration::from_secs(2)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
        );
        stream.write_all(request.as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let (head, body) = answer.split_once("\r\n\r\n")?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some(HttpResponse { status, body: body.to_owned() })
    }

    pub fn call(
        &self,
        machine: usize,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> HttpResponse {
        self.try_call(machine, method, path, headers, body).expect("an answer")
    }

    /// Replaces the configuration as operators do: repeats the request unchanged until the response is definite.
    pub fn replace_config(&self, machine: usize, base: u64, version: u64) -> u16 {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let headers = format!("X-Base-Version: {base}\r\n");
            let response =
                self.try_call(machine, "POST", "/runtrack/config/replace", &headers, &config(version));
            match response {
                Some(response) if response.status < 500 => return response.status,
                _ => assert!(Instant::now() < until, "no definite response: {response:?}"),
            }
        }
    }

    /// Status of one read from a process that may have just started.
    pub fn read_status(&self, machine: usize) -> u16 {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(response) = self.try_call(machine, "GET", "/runtrack/config/read", "", "") {
                return response.status;
            }
            assert!(Instant::now() < until, "machine {machine} takes no calls");
        }
    }

    /// Calls as endpoints do: repeats the call until it is acknowledged.
    pub fn call_until_acknowledged(&self, machine: usize, path: &str, body: &str) {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            match self.try_call(machine, "POST", path, "", body) {
                Some(response) if response.status == 200 => return,
                Some(response) if response.status != 503 => panic!("{path}: {response:?}"),
                response => assert!(Instant::now() < until, "{path} is not acknowledged: {response:?}"),
            }
        }
    }

    /// Repeats a read until it succeeds.
    pub fn read(&self, machine: usize) -> String {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            match self.try_call(machine, "GET", "/runtrack/config/read", "", "") {
                Some(response) if response.status == 200 => return response.body,
                response => assert!(Instant::now() < until, "no read succeeded: {response:?}"),
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn value_files() -> impl Iterator<Item = String> {
    (0..3).map(|place| format!("value-{place}.ring"))
}

/// Copies the plain files of a folder.
fn copy_files(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("a folder");
    for entry in std::fs::read_dir(from).expect("a folder") {
        let path = entry.expect("a file").path();
        if path.symlink_metadata().expect("a file").is_file() {
            std::fs::copy(&path, to.join(path.file_name().expect("a name"))).expect("a copy");
        }
    }
}

/// A valid configuration.
pub fn config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"h.example","pathPrefix":"/a/","kind":"idempotent","timeoutMs":1000,"service":"s"}}],"services":[{{"name":"s","healthPath":"/health","connLimit":10,"protocol":"h1","tls":false}}],"limits":{{}}}}"#
    )
}

/// A heartbeat's body.
pub fn heartbeat(state: &str, call_seq: u64) -> String {
    format!(
        r#"{{"service":"s","address":"10.0.0.1:8080","zone":"a","version":"v1","capacity":4,"state":"{state}","coldLeftMs":0,"callSeq":{call_seq}}}"#
    )
}
