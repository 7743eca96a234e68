//! Child processes of the fleet, each with a loopback address of its own.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

const CONTROL_PORT: u16 = 8146;
const FRONT_PORT: u16 = 8144;
const READY_PORT: u16 = 8140;
const FIRST_PORT: u16 = 7660;
/// A program of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    Controller,
    Agent,
    Proxy,
}

impl Program {
    fn binary(self) -> &'static str {
        match self {
            Program::Controller => "runtrack-controller",
            Program::Agent => "runtrack-agent",
            Program::Proxy => "runtrack-proxy",
        }
    }
}

/// A child process; killed when dropped.
pub struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have exited
        let _ = self.child.wait();
    }
}

impl Process {
    /// Sends SIGTERM.
    pub fn terminate(&self) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, Signal::TERM); // it may have exited
        }
    }
}

/// Addresses, settings and data of the processes; the data are deleted when dropped.
pub struct Machines {
    folder: PathBuf,
    binaries: PathBuf,
    members: usize,
}

impl Drop for Machines {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Machines {
    /// Creates a folder for the data of so many members. The programs are expected beside the running executable.
    pub fn new(members: usize) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("runtrack-scale-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
        let own = std::env::current_exe().map_err(|error| error.to_string())?;
        let binaries = own.parent().unwrap_or(Path::new(".")).to_owned();
        Ok(Machines { folder, binaries, members })
    }

    fn member_ip(&self, member: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, 90, (std::process::id() & 0x7f) as u8, member as u8 + 1)
    }

    fn edge_ip(&self, edge: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, 91, (std::process::id() & 0x7f) as u8, edge as u8 + 1)
    }

    /// Address of a member for operators and endpoints.
    pub fn control(&self, member: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.member_ip(member), CONTROL_PORT)
    }

    /// Address of a proxy for clients.
    pub fn front(&self, edge: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.edge_ip(edge), FRONT_PORT)
    }

    /// Starts a program with settings of its own; `number` counts members or edge machines.
    pub fn start(&self, program: Program, number: usize, first_boot: bool) -> Result<Process, String> {
        let ip = if program == Program::Controller { self.member_ip(number) } else { self.edge_ip(number) };
        let name = format!("{}-{}", program.binary(), number + 1);
        let data = self.folder.join(format!("{name}-data"));
        std::fs::create_dir_all(&data).map_err(|error| format!("{}: {error}", data.display()))?;
        let seeds: Vec<String> =
            (0..self.members.min(3)).map(|seed| self.control(seed).to_string()).collect();
        let listens = match program {
            Program::Controller => {
                format!("listen.control={}\ndataDir={}\n", self.control(number), data.display())
            }
            _ => format!(
                "listen.front={ip}:{FRONT_PORT}\nlisten.ready={ip}:{READY_PORT}\nlisten.feed={ip}:{}\n",
                FIRST_PORT + 1
            ),
        };
        let settings = format!(
            "node={name}\nip={ip}\nzone=here\nportRange={FIRST_PORT},{}\nseeds={}\nfirstBoot={first_boot}\n{listens}\
             beatPeriodMs=1200\ntolerance.machines={}\nbounds.graceS=8\nbounds.retryRatio=0.2\nbounds.retryWindowS=10\n\
             bounds.retrySlack=56\n",
            FIRST_PORT + 15,
            seeds.join(","),
            (self.members - 1) / 2,
        );
        let path = self.folder.join(format!("{name}.conf"));
        std::fs::write(&path, settings).map_err(|error| format!("{}: {error}", path.display()))?;
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let log = log.map_err(|error| format!("{name}.log: {error}"))?;
        let binary = self.binaries.join(program.binary());
        let child = Command::new(&binary).env("RUNTRACK_NODE_FILE", &path).stderr(log).spawn();
        let child = child.map_err(|error| {
            format!(
                "{}: {error} (build the fleet's programs first, with the same profile)",
                binary.display()
            )
        })?;
        Ok(Process { child })
    }
}
