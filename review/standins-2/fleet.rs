//! A small fleet of real processes on loopback addresses, with settings like those of `cr-citydesk`.

use std::fs::File;
use std::io::Write;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Instant;

pub const CONTROL_PORT: u16 = 8146;
pub const FRONT_PORT: u16 = 8144;
const READY_PORT: u16 = 8140;
const FIRST_PORT: u16 = 7660;

/// `record.txt`: one line an event, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        let file =
            File::create(folder.join("record.txt")).unwrap_or_else(|e| quit(&format!("record.txt: {e}")));
        Record { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn note(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} s  {line}", self.seconds());
    }

    pub fn say(&self, line: &str) {
        self.note(line);
        println!("{:8.3} s  {line}", self.seconds());
    }
}

/// Why the case could not run.
pub struct Quit(pub String);

/// Ends the case: it could not run. The processes are ended on the way out.
pub fn quit(problem: &str) -> ! {
    std::panic::panic_any(Quit(problem.to_owned()))
}

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// A child is killed where this program is: nothing that was started outlives it.
fn die_with_parent(command: &mut Command) -> &mut Command {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: prctl changes nothing but the child itself.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        })
    }
}

#[derive(Clone, Copy, PartialEq)]
pub enum Program {
    Controller,
    Agent,
    Proxy,
}

impl Program {
    fn name(self) -> &'static str {
        match self {
            Program::Controller => "controller",
            Program::Agent => "agent",
            Program::Proxy => "proxy",
        }
    }
}

/// The processes; all are killed, and their folder is removed, when this is dropped.
pub struct Fleet {
    folder: PathBuf,
    net: u8,
    pub cores: u8,
    pub edges: u8,
    children: Vec<(Program, u8, Child)>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, _, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    pub fn new(cores: u8, edges: u8) -> Self {
        let folder = std::env::temp_dir().join(format!("runtrack-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap_or_else(|e| quit(&format!("{}: {e}", folder.display())));
        let mut net = 20 + (std::process::id() % 200) as u8;
        // A block of loopback addresses whose ports are free.
        for _ in 0..200 {
            let free = [CONTROL_PORT, FIRST_PORT]
                .iter()
                .all(|port| TcpListener::bind((format!("127.{net}.1.1"), *port)).is_ok())
                && TcpListener::bind((format!("127.{net}.2.1"), FRONT_PORT)).is_ok();
            if free {
                return Fleet { folder, net, cores, edges, children: Vec::new() };
            }
            net = if net >= 250 { 20 } else { net + 1 };
        }
        quit("no free loopback addresses");
    }

    pub fn core_ip(&self, number: u8) -> String {
        format!("127.{}.1.{}", self.net, number + 1)
    }

    pub fn edge_ip(&self, number: u8) -> String {
        format!("127.{}.2.{}", self.net, number + 1)
    }

    pub fn endpoint_ip(&self, number: u8) -> String {
        format!("127.{}.3.{}", self.net, number + 1)
    }

    pub fn controls(&self) -> Vec<String> {
        (0..self.cores).map(|number| format!("{}:{CONTROL_PORT}", self.core_ip(number))).collect()
    }

    pub fn front(&self, number: u8) -> String {
        format!("{}:{FRONT_PORT}", self.edge_ip(number))
    }

    pub fn start(&mut self, program: Program, number: u8, first_boot: bool) {
        let is_core = program == Program::Controller;
        let ip = if is_core { self.core_ip(number) } else { self.edge_ip(number) };
        let name = format!("{}-{}", program.name(), number + 1);
        let data = self.folder.join(format!("{name}-data"));
        let listens = if is_core {
            let _ = std::fs::create_dir_all(&data);
            format!("listen.control={ip}:{CONTROL_PORT}\ndataDir={}\n", data.display())
        } else {
            format!(
                "listen.front={ip}:{FRONT_PORT}\nlisten.ready={ip}:{READY_PORT}\nlisten.feed={ip}:{}\n",
                FIRST_PORT + 1
            )
        };
        let settings = format!(
            "node={name}\nip={ip}\nzone=city-hall\nregion=chiang-rai\nportRange={FIRST_PORT},{}\nseeds={}\nfirstBoot={first_boot}\n\
             counted={is_core}\nlimits.memoryMb=256\nlimits.fdLimit=4096\nlimits.linkMbps=1000.0\nbeatPeriodMs=1200\n\
             tolerance.machines=1\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.settleS=4\nbounds.drainMs=2000\n\
             bounds.graceS=8\nbounds.lossSlackMs=200\nbounds.convergeMs=2000\nbounds.revertSlackMs=250\n\
             bounds.retryRatio=0.2\nbounds.retryWindowS=10\nbounds.retrySlack=56\nbounds.recoveryS=12\n{listens}",
            FIRST_PORT + 15,
            self.controls().into_iter().take(3).collect::<Vec<_>>().join(","),
        );
        let path = self.folder.join(format!("{name}.conf"));
        std::fs::write(&path, settings).unwrap_or_else(|e| quit(&format!("{}: {e}", path.display())));
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let log = log.unwrap_or_else(|e| quit(&format!("{name}.log: {e}")));
        let binary = format!("target/release/runtrack-{}", program.name());
        let mut command = Command::new(&binary);
        command.env_clear().env("RUNTRACK_NODE_FILE", &path).stdout(Stdio::null()).stderr(log);
        let child = die_with_parent(&mut command).spawn();
        let child = child.unwrap_or_else(|e| quit(&format!("{binary}: {e}")));
        self.children.push((program, number, child));
    }

    pub fn start_all(&mut self) {
        for number in 0..self.cores {
            self.start(Program::Controller, number, true);
        }
        for number in 0..self.edges {
            self.start(Program::Agent, number, true);
            self.start(Program::Proxy, number, true);
        }
    }

    /// SIGKILL; the process is waited for.
    pub fn kill(&mut self, program: Program, number: u8) {
        if let Some(at) = self.children.iter().position(|(p, n, _)| *p == program && *n == number) {
            let (_, _, mut child) = self.children.swap_remove(at);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Each process with its resident memory in MB and its processor seconds, or its end.
    pub fn usage(&mut self) -> Vec<(String, Option<(u64, f64)>)> {
        let mut usage = Vec::new();
        for (program, number, child) in &mut self.children {
            let name = format!("{}-{}", program.name(), *number + 1);
            if let Ok(Some(_)) = child.try_wait() {
                usage.push((name, None));
                continue;
            }
            let read = |what: &str| {
                std::fs::read_to_string(format!("/proc/{}/{what}", child.id())).unwrap_or_default()
            };
            let resident =
                read("status").lines().find_map(|line| line.strip_prefix("VmRSS:").map(str::to_owned));
            let resident =
                resident.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0)
                    / 1024;
            let stat = read("stat");
            let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
            let ticks =
                |at: usize| fields.get(at).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
            usage.push((name, Some((resident, (ticks(11) + ticks(12)) / 100.0))));
        }
        usage
    }
}
