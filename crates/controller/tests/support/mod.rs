//! Built controllers on loopback, each with an address and a folder of its own.
#![allow(dead_code, reason = "each test file uses a part")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Whatever takes longer than this has failed.
pub const PATIENCE: Duration = Duration::from_secs(30);
const CONTROL: u16 = 8146;
const FIRST_PORT: u16 = 7660;

/// Machines of one test.
pub struct Cluster {
    folder: PathBuf,
    base: u32,
    seeds: Vec<usize>,
    nodes: Vec<Node>,
}

struct Node {
    process: Option<Process>,
}

struct Process {
    child: Child,
    log: Receiver<String>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An answer over HTTP.
#[derive(Debug)]
pub struct Got {
    pub status: u16,
    pub body: String,
}

impl Cluster {
    /// So many machines with nothing running, of which the first three are the seeds.
    pub fn new(name: &str, machines: usize) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("controller-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder); // of a run that was killed
        let base = (127 << 24) | ((128 + (std::process::id() & 0x3f)) << 16) | ((number & 0xff) << 8);
        let nodes = (0..machines).map(|_| Node { process: None }).collect();
        let cluster = Cluster { folder, base, seeds: vec![0, 1, 2], nodes };
        for machine in 0..machines {
            std::fs::create_dir_all(cluster.disk(machine)).expect("a folder");
        }
        cluster
    }

    /// Three members that have started for the first time.
    pub fn started(name: &str, machines: usize) -> Self {
        let mut cluster = Cluster::new(name, machines);
        for machine in 0..3 {
            cluster.start(machine, true);
        }
        cluster
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

    pub fn start(&mut self, machine: usize, first_boot: bool) {
        self.start_with_mutant(machine, first_boot, None);
    }

    /// Starts a machine's process, with an error planted in it if one is named.
    pub fn start_with_mutant(&mut self, machine: usize, first_boot: bool, mutant: Option<&str>) {
        let seeds: Vec<String> = self.seeds.iter().map(|seed| self.control(*seed).to_string()).collect();
        let settings = self.folder.join(format!("node-{machine}.conf"));
        let text = format!(
            "node=core-{machine}\nip={}\nzone=a\nlisten.control={}\nportRange={FIRST_PORT},{}\nseeds={}\nfirstBoot={first_boot}\n\
             dataDir={}\nbeatPeriodMs=1200\ntolerance.machines=1\n",
            self.ip(machine),
            self.control(machine),
            FIRST_PORT + 15,
            seeds.join(","),
            self.disk(machine).display(),
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_runtrack-controller"))
            .env("RUNTRACK_NODE_FILE", &settings)
            .envs(mutant.map(|name| ("RUNTRACK_MUTANT", name)))
            .stderr(Stdio::piped())
            .spawn()
            .expect("the controller starts");
        let (lines, log) = channel();
        let stderr = BufReader::new(child.stderr.take().expect("its log"));
        thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                if lines.send(line).is_err() {
                    return;
                }
            }
        });
        self.nodes[machine].process = Some(Process { child, log });
        self.logged(machine, "controller.start", "");
    }

    /// Kills a machine's process.
    pub fn kill(&mut self, machine: usize) {
        self.nodes[machine].process = None;
    }

    /// Stops a process where it is, or lets it go on.
    pub fn freeze(&self, machine: usize, frozen: bool) {
        let process = self.nodes[machine].process.as_ref().expect("it runs");
        let pid = rustix::process::Pid::from_raw(process.child.id() as i32).expect("a process");
        let signal = if frozen { rustix::process::Signal::STOP } else { rustix::process::Signal::CONT };
        rustix::process::kill_process(pid, signal).expect("it can be told");
    }

    pub fn wipe(&mut self, machine: usize) {
        assert!(self.nodes[machine].process.is_none(), "it is down");
        std::fs::remove_dir_all(self.disk(machine)).expect("its disk");
        std::fs::create_dir_all(self.disk(machine)).expect("an empty disk");
    }

    /// Waits until a process has logged this event with this in it.
    pub fn logged(&self, machine: usize, event: &str, with: &str) -> String {
        let event = format!("\"event\":\"{event}\"");
        let log = &self.nodes[machine].process.as_ref().expect("it runs").log;
        let until = Instant::now() + PATIENCE;
        loop {
            let line = log.recv_timeout(until.saturating_duration_since(Instant::now()));
            let line =
                line.unwrap_or_else(|_| panic!("machine {machine} has not logged {event} with {with:?}"));
            if line.contains(&event) && line.contains(with) {
                return line;
            }
        }
    }

    /// A call over HTTP; nothing where it can't be made.
    pub fn try_call(
        &self,
        machine: usize,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> Option<Got> {
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
        Some(Got { status, body: body.to_owned() })
    }

    pub fn call(&self, machine: usize, method: &str, path: &str, headers: &str, body: &str) -> Got {
        self.try_call(machine, method, path, headers, body).expect("an answer")
    }

    /// Sends an order as operators do: again and again, unchanged, until there is a clear answer.
    pub fn order(&self, machine: usize, base: u64, version: u64) -> u16 {
        let until = Instant::now() + PATIENCE;
        loop {
            let headers = format!("X-Base-Version: {base}\r\n");
            let got =
                self.try_call(machine, "POST", "/runtrack/config/replace", &headers, &config(version));
            match got {
                Some(got) if got.status < 500 => return got.status,
                _ => assert!(Instant::now() < until, "no clear answer to an order: {got:?}"),
            }
        }
    }

    /// Reads until there is an answer.
    pub fn read(&self, machine: usize) -> String {
        let until = Instant::now() + PATIENCE;
        loop {
            match self.try_call(machine, "GET", "/runtrack/config/read", "", "") {
                Some(got) if got.status == 200 => return got.body,
                got => assert!(Instant::now() < until, "nothing is read: {got:?}"),
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
