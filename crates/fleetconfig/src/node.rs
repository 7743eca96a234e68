//! The settings file of a process: lines of `a.b=value`, with the path in `RUNTRACK_NODE_FILE`.

use crate::Finding;
use ini::{Ini, ParseOption};
use quick_error::quick_error;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::str::FromStr;
use std::time::Duration;

/// Where the path of the settings file stands.
const FILE_VARIABLE: &str = "RUNTRACK_NODE_FILE";

quick_error! {
    /// Settings that a process can't start with.
    #[derive(Debug)]
    pub enum SettingsError {
        /// Nobody said where they are.
        NoFile {
            display("{FILE_VARIABLE} is not set: it holds the path of the settings file")
        }
        /// The file can't be read.
        Unreadable(path: String, error: String) {
            display("{path}: {error}")
        }
        /// Settings are missing or make no sense; all that was found.
        Invalid(findings: Vec<Finding>) {
            display("{}", findings.iter().map(Finding::to_string).collect::<Vec<_>>().join("; "))
        }
    }
}

/// The figures of the rules, see RULES.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// No request goes to an endpoint this long after it was acknowledged as draining.
    pub drain: Duration,
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// A configuration is in force everywhere within this.
    pub converge: Duration,
    /// Second sends over the requests of a service.
    pub retry_ratio: f64,
    /// Window in which they are counted.
    pub retry_window: Duration,
    /// Second sends beyond the ratio, over the whole fleet.
    pub retry_slack: f64,
    /// A machine counts as lost for this long after it is back.
    pub settle: Duration,
}

/// What may be lost at once while every rule is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// Machines that count.
    pub machines: u32,
}

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Name of the machine.
    pub name: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Where clients come in.
    pub front: Option<SocketAddrV4>,
    /// Where readiness is asked for.
    pub ready: Option<SocketAddrV4>,
    /// Where the operator and endpoints come in.
    pub control: Option<SocketAddrV4>,
    /// Where agent and proxy of this machine meet.
    pub feed: SocketAddrV4,
    /// First port for what the fleet's processes say to each other.
    pub first_port: u16,
    /// Where a control member's links come in: `ip` and the first port, which others dial, unless it binds elsewhere
    /// behind an address translation.
    pub peer: SocketAddrV4,
    /// Control addresses of some control members.
    pub seeds: Vec<SocketAddrV4>,
    /// The whole system starts for the first time, with empty disks.
    pub first_boot: bool,
    /// Where files live.
    pub data_dir: Option<String>,
    /// How often an endpoint tells that it is there.
    pub heartbeat: Duration,
    /// Descriptors that the process may have.
    pub descriptors: usize,
    /// Memory that the process may have.
    pub memory_mb: usize,
    /// What may be lost at once.
    pub tolerance: Tolerance,
    /// Figures of the rules.
    pub bounds: Bounds,
}

struct Reader<'a> {
    file: &'a Ini,
    findings: Vec<Finding>,
}

impl Reader<'_> {
    fn text(&self, key: &str) -> Option<&str> {
        self.file.general_section().get(key).map(str::trim).filter(|value| !value.is_empty())
    }

    fn find(&mut self, key: &str, problem: impl Into<String>) {
        self.findings.push(Finding { place: key.to_owned(), problem: problem.into() });
    }

    fn parsed<T: FromStr>(&mut self, key: &str, text: &str) -> Option<T> {
        let value = text.trim().parse().ok();
        if value.is_none() {
            self.find(key, format!("{text:?} can't be read"));
        }
        value
    }

    fn optional<T: FromStr>(&mut self, key: &str) -> Option<T> {
        let text = self.text(key)?.to_owned();
        self.parsed(key, &text)
    }

    fn or<T: FromStr>(&mut self, key: &str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    fn required<T: FromStr>(&mut self, key: &str, stand_in: T) -> T {
        if self.text(key).is_none() {
            self.find(key, "is missing");
        }
        self.or(key, stand_in)
    }

    fn millis(&mut self, key: &str, default: f64) -> Duration {
        Duration::from_secs_f64(self.or(key, default).clamp(0.0, 1e9) / 1000.0)
    }
}

impl Node {
    /// This process's address as others of the fleet dial it.
    pub fn member_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.first_port)
    }

    /// The seeds' addresses for links: ports are alike on all machines.
    pub fn seed_members(&self) -> BTreeSet<SocketAddrV4> {
        self.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), self.first_port)).collect()
    }

    /// The settings in the file that the environment names.
    pub fn from_env() -> Result<Self, SettingsError> {
        let path = std::env::var(FILE_VARIABLE).map_err(|_| SettingsError::NoFile)?;
        let text = std::fs::read_to_string(&path)
            .map_err(|error| SettingsError::Unreadable(path.clone(), error.to_string()))?;
        Node::read(&text)
    }

    /// The settings in a file's text.
    pub fn read(text: &str) -> Result<Self, SettingsError> {
        let options = ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let file = Ini::load_from_str_opt(text, options).map_err(|error| {
            let (place, problem) =
                (format!("line {}", error.line), "is no setting of the form a.b=value".to_owned());
            SettingsError::Invalid(vec![Finding { place, problem }])
        })?;
        let mut reader = Reader { file: &file, findings: Vec::new() };
        let node = reader.node();
        if reader.findings.is_empty() { Ok(node) } else { Err(SettingsError::Invalid(reader.findings)) }
    }
}

impl Reader<'_> {
    fn node(&mut self) -> Node {
        let ports = self.text("portRange").unwrap_or_default().to_owned();
        let first_port = ports.split(',').next().unwrap_or_default().to_owned();
        let first_port: u16 = self.parsed("portRange", &first_port).unwrap_or_default();
        let seeds = self.text("seeds").unwrap_or_default().to_owned();
        let seeds = seeds.split(',').filter(|seed| !seed.trim().is_empty());
        let seeds = seeds.filter_map(|seed| self.parsed("seeds", seed)).collect();
        let name = self.required("node", String::new());
        let ip = self.required("ip", Ipv4Addr::UNSPECIFIED);
        Node {
            name,
            ip,
            zone: self.or("zone", String::new()),
            front: self.optional("listen.front"),
            ready: self.optional("listen.ready"),
            control: self.optional("listen.control"),
            feed: self
                .or("listen.feed", SocketAddrV4::new(Ipv4Addr::LOCALHOST, first_port.saturating_add(1))),
            first_port,
            peer: self.or("listen.peer", SocketAddrV4::new(ip, first_port)),
            seeds,
            first_boot: self.or("firstBoot", false),
            data_dir: self.optional("dataDir"),
            heartbeat: self.millis("beatPeriodMs", 1200.0),
            descriptors: self.or("limits.fdLimit", 1024),
            memory_mb: self.or("limits.memoryMb", 256),
            tolerance: Tolerance { machines: self.or("tolerance.machines", 1) },
            bounds: Bounds {
                drain: self.millis("bounds.drainMs", 2000.0),
                grace: self.millis("bounds.graceS", 8.0) * 1000,
                converge: self.millis("bounds.convergeMs", 2000.0),
                retry_ratio: self.or("bounds.retryRatio", 0.2),
                retry_window: self.millis("bounds.retryWindowS", 10.0) * 1000,
                retry_slack: self.or("bounds.retrySlack", 0.0),
                settle: self.millis("bounds.settleS", 4.0) * 1000,
            },
        }
    }
}
